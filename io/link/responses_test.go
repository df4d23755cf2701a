package link

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"lentilproxy/core/spec"

	"pgregory.net/rapid"
)

// framing is how the end of a response can be told.
type framing string

const (
	framingLength  framing = "length"
	framingChunks  framing = "chunks"
	framingNone    framing = "none"
	framingEmpty   framing = "204"
	framingNotRead framing = "304"
)

// drawnResponse describes what a server sends for a request. It is a header of the request.
type drawnResponse struct {
	Framing framing
	Size    int
	// Informational is sent before the response, and Stray after one that has no body.
	Informational, Stray bool
	// Before holds the framings of late copies of earlier responses, which precede the response. After holds those of copies that
	// follow it at once, and PartOfCopy the length of the part of a copy that does; the rest precedes the next response.
	Before, After []framing
	PartOfCopy    int
	// CutAt is the length after which the response ends, by a reset or a FIN; -1 for a whole response.
	CutAt int
	Reset bool
	// Again makes a response that was cut off be followed by a whole copy instead of the end of the connection.
	Again bool
	// Early is set if the response precedes the reading of the request's body.
	Early, Close bool
}

// sentResponse is what a server knows of a response that it has sent.
type sentResponse struct {
	id, method, body string
	number, status   int
	// whole is set if all of it was sent, and sound if besides nothing but skippable copies was sent on its connection before.
	whole, sound bool
}

// framed returns the bytes of a response.
func (sentResponse *sentResponse) framed(framing framing, headers string) string {
	head := fmt.Sprintf("HTTP/1.1 %d x\r\nX-Id: %s\r\n%s: %d\r\n%s", sentResponse.status, sentResponse.id, headerNumber, sentResponse.number, headers)
	body := sentResponse.body
	switch framing {
	case framingLength:
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	case framingChunks:
		head += "Transfer-Encoding: chunked\r\n"
		first := len(body) / 2
		var chunks string
		for _, part := range []string{body[:first], body[first:]} {
			if part != "" {
				chunks += fmt.Sprintf("%x\r\n%s\r\n", len(part), part)
			}
		}
		body = chunks + "0\r\n\r\n"
	default:
	}
	if sentResponse.method == http.MethodHead || sentResponse.status != http.StatusOK {
		body = ""
	}
	return head + "\r\n" + body
}

// drawnServer is a server that responds as its requests say, and records what it has sent.
type drawnServer struct {
	*fakeServer
	mutex    sync.Mutex
	sent     map[int]*sentResponse
	problems []string
}

func newDrawnServer(t *testing.T) *drawnServer {
	t.Helper()
	server := &drawnServer{sent: map[int]*sentResponse{}}
	server.fakeServer = newConnServer(t, func(_ *fakeServer, conn net.Conn) { server.serve(conn.(*net.TCPConn)) })
	return server
}

// serve responds to the requests on a connection.
func (server *drawnServer) serve(conn *net.TCPConn) {
	defer func() { _ = conn.Close() }()
	reader, history, late, clean := bufio.NewReader(conn), []*sentResponse{}, "", true
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		var drawn drawnResponse
		if err = json.Unmarshal([]byte(request.Header.Get("X-Drawn")), &drawn); err != nil {
			server.addProblem("request head: " + err.Error())
			return
		}
		number, _ := strconv.Atoi(request.Header.Get(headerNumber))
		if !drawn.Early && !server.readBody(request, number) {
			return
		}
		current := newSentResponse(request, number, &drawn)
		hasSurplus := len(drawn.After) > 0 || drawn.PartOfCopy > 0 || drawn.Stray
		// The end of a body without a length or chunks cannot be told if bytes follow.
		current.sound = current.whole && clean && (!hasSurplus || drawn.Framing != framingNone)
		clean = clean && !hasSurplus
		content := late
		for index, framing := range drawn.Before {
			if index < len(history) {
				content += history[len(history)-1-index].framed(framing, "")
			}
		}
		late = ""
		response, last := current.encode(&drawn)
		for _, framing := range drawn.After {
			response += current.framed(framing, "")
		}
		if drawn.Stray {
			response += "stray"
		}
		if drawn.PartOfCopy > 0 {
			again := current.framed(framingLength, "")
			part := min(drawn.PartOfCopy, len(again))
			response, late = response+again[:part], again[part:]
		}
		server.mutex.Lock()
		server.sent[number] = current
		server.mutex.Unlock()
		write(conn, content+response)
		if drawn.Early && !server.readBody(request, number) {
			return
		}
		if last {
			if drawn.Reset && !current.whole {
				_ = conn.SetLinger(0)
			}
			return
		}
		history = append(history, current)
	}
}

// newSentResponse returns the response to a request, before it is sent.
func newSentResponse(request *http.Request, number int, drawn *drawnResponse) *sentResponse {
	current := &sentResponse{
		id: request.Header.Get("X-Id"), method: request.Method, number: number, status: http.StatusOK, whole: drawn.CutAt < 0,
		body: strings.Repeat(fmt.Sprintf("(%d)", number), drawn.Size),
	}
	switch drawn.Framing {
	case framingEmpty:
		current.status, current.body = http.StatusNoContent, ""
	case framingNotRead:
		current.status, current.body = http.StatusNotModified, ""
	default:
	}
	return current
}

// encode returns the bytes of the response, and whether its connection ends after them.
func (sentResponse *sentResponse) encode(drawn *drawnResponse) (content string, last bool) {
	headers := ""
	if drawn.Close {
		headers = "Connection: close\r\n"
	}
	content = sentResponse.framed(drawn.Framing, headers)
	informational := ""
	if drawn.Informational {
		informational = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
	}
	if drawn.CutAt >= 0 {
		// The last byte is missing at least.
		again := content
		content = informational + content[:min(drawn.CutAt, len(content)-1)]
		if drawn.Again {
			content += again
		}
		return content, true
	}
	return informational + content, drawn.Close || drawn.Framing == framingNone && sentResponse.method != http.MethodHead
}

// readBody reads the body of a request. It reports whether all of it has arrived.
func (server *drawnServer) readBody(request *http.Request, number int) bool {
	body, err := io.ReadAll(request.Body)
	if strings.Trim(string(body), bodyLetter(number)) != "" {
		server.addProblem(fmt.Sprint("the body of request ", number, " has other bytes"))
	}
	return err == nil
}

func (server *drawnServer) addProblem(problem string) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.problems = append(server.problems, problem)
}

// takeSent returns what was sent for a request, or nil, and forgets it.
func (server *drawnServer) takeSent(number int) *sentResponse {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	sent := server.sent[number]
	delete(server.sent, number)
	return sent
}

func bodyLetter(number int) string { return string(rune('a' + number%26)) }

// drawResponse draws how the server responds to a request.
func drawResponse(check *rapid.T) *drawnResponse {
	framings := []framing{framingLength, framingChunks, framingNone}
	copies := rapid.SliceOfN(rapid.SampledFrom(framings[:2]), 0, maxSkipped)
	rarely := func(name string) bool { return rapid.IntRange(0, 7).Draw(check, name) == 7 }
	drawn := &drawnResponse{
		Framing: rapid.SampledFrom([]framing{framingLength, framingLength, framingChunks, framingChunks, framingNone, framingEmpty, framingNotRead}).Draw(check, "framing"),
		Size:    rapid.SampledFrom([]int{0, 1, 20, 3000}).Draw(check, "size"), Informational: rarely("informational"), Close: rarely("close"),
		Early: rapid.Bool().Draw(check, "early"), CutAt: -1,
	}
	if rapid.Bool().Draw(check, "has copies before") {
		drawn.Before = copies.Draw(check, "before")
	}
	switch rapid.IntRange(0, 9).Draw(check, "fault") {
	case 0:
		drawn.Stray = drawn.Framing == framingEmpty || drawn.Framing == framingNotRead
	case 1:
		drawn.After = rapid.SliceOfN(rapid.SampledFrom(framings), 1, 2).Draw(check, "after")
	case 2:
		drawn.PartOfCopy = rapid.IntRange(1, 120).Draw(check, "part of copy")
		if drawn.Framing == framingNone {
			// Without its status line, it looks like the end of a body without a length or chunks.
			drawn.PartOfCopy += len("HTTP/1.1 200 x\r\n")
		}
	case 3:
		drawn.CutAt = rapid.OneOf(rapid.IntRange(1, 120), rapid.IntRange(1, 10000)).Draw(check, "cut")
		// A body without a length or chunks that ends early by a FIN cannot be told from a whole one.
		drawn.Reset = drawn.Framing == framingNone || rapid.Bool().Draw(check, "reset")
		// A status line that is cut off and sent again may still be one.
		drawn.Again = drawn.CutAt > len("HTTP/1.1 200 x\r\n") && rapid.Bool().Draw(check, "again")
		// Nor does it matter if this header is.
		drawn.Close = drawn.Close && !drawn.Again
	default:
	}
	return drawn
}

// drawnExchange is an attempt that has got a response.
type drawnExchange struct {
	number   int
	response *Response
	cancel   context.CancelFunc
}

// Guards against a response, or a part of one, that belongs to another attempt or looks whole and is not, and against sound responses
// that fail, whatever servers send before, in and after their responses and whenever callers leave.
func TestDrawnResponsesAreWholeAndTheirOwn(t *testing.T) {
	server := newDrawnServer(t)
	number := 0
	rapid.Check(t, func(check *rapid.T) {
		const requests = 4
		limit := rapid.SampledFrom([]int{0, 1, 2}).Draw(check, "limit")
		pool := New(WithLimit(func(string) int { return limit }))
		defer pool.Close()
		var attempts [requests]Attempts
		var open [requests]*drawnExchange
		for range rapid.IntRange(2, 10).Draw(check, "steps") {
			index := rapid.IntRange(0, requests-1).Draw(check, "request")
			if open[index] != nil {
				server.finish(check, open[index])
				open[index] = nil
				continue
			}
			number++
			open[index] = server.begin(check, pool, &attempts[index], fmt.Sprint("request-", index), number)
		}
		for _, exchange := range open {
			if exchange != nil {
				server.finish(check, exchange)
			}
		}
		server.mutex.Lock()
		defer server.mutex.Unlock()
		if len(server.problems) > 0 {
			check.Fatal(server.problems)
		}
	})
}

// begin sends a request. It returns nil if it got no response.
func (server *drawnServer) begin(check *rapid.T, pool *Pool, attempts *Attempts, id string, number int) *drawnExchange {
	content, err := json.Marshal(drawResponse(check))
	if err != nil {
		check.Fatal(err)
	}
	method := rapid.SampledFrom([]string{http.MethodPost, http.MethodPost, http.MethodGet, http.MethodHead}).Draw(check, "method")
	request := &Request{
		Method: method, Target: "/x", Host: "h", Attempts: attempts,
		Header: http.Header{"X-Id": {id}, headerNumber: {strconv.Itoa(number)}, "X-Drawn": {string(content)}},
		ID:     id, ResponseID: func(_ int, header http.Header) string { return header.Get("X-Id") },
	}
	if method == http.MethodPost {
		size := rapid.SampledFrom([]int{0, 10, concurrentWriteBytes, 5 * concurrentWriteBytes}).Draw(check, "body")
		request.Body = []byte(strings.Repeat(bodyLetter(number), size))
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	response, err := pool.Do(ctx, spec.Server{ID: "s", Address: server.address}, request)
	if err != nil {
		cancel()
		sent := server.takeSent(number)
		if sent != nil && sent.sound && errors.Is(err, ErrBroken) {
			check.Fatalf("request %d, %s: a sound response failed: %v", number, method, err)
		}
		return nil
	}
	sent := server.takeSent(number)
	if sent == nil || response.Header().Get(headerNumber) != strconv.Itoa(number) || response.Status() != sent.status {
		check.Fatalf("request %d got the response to %s, status %d", number, response.Header().Get(headerNumber), response.Status())
	}
	server.mutex.Lock()
	server.sent[number] = sent
	server.mutex.Unlock()
	return &drawnExchange{number: number, response: response, cancel: cancel}
}

// finish reads a response, or leaves it.
func (server *drawnServer) finish(check *rapid.T, exchange *drawnExchange) {
	defer exchange.cancel()
	defer exchange.response.Close()
	sent := server.takeSent(exchange.number)
	var body []byte
	var err error
	switch rapid.IntRange(0, 9).Draw(check, "end") {
	case 0:
		return
	case 1:
		exchange.response.Discard()
		return
	case 2:
		body = make([]byte, 10)
		count, _ := exchange.response.Read(body)
		body, err = body[:count], io.ErrUnexpectedEOF
		sent.sound = false
	case 3:
		exchange.cancel()
		body, err = io.ReadAll(exchange.response)
		sent.sound = false
	default:
		body, err = io.ReadAll(exchange.response)
	}
	expected := sent.body
	if sent.method == http.MethodHead {
		expected = ""
	}
	switch {
	case !strings.HasPrefix(expected, string(body)):
		check.Fatalf("request %d: the body of %d bytes is no beginning of the %d sent: %.200q", exchange.number, len(body), len(expected), body)
	case err == nil && !sent.whole && sent.method != http.MethodHead:
		check.Fatalf("request %d: a response that was cut off looks whole: %.200q", exchange.number, body)
	case err == nil && string(body) != expected:
		check.Fatalf("request %d: %d of %d bytes look whole", exchange.number, len(body), len(expected))
	case err != nil && sent.sound:
		check.Fatalf("request %d: a sound response failed: %v", exchange.number, err)
	}
}
