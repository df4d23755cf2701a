package front

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"lentilproxy/core/spec"

	"pgregory.net/rapid"
)

// headerNumber numbers requests and their responses.
const headerNumber = "X-Number"

// received is one response as a caller has read it.
type received struct {
	status int
	number string
	body   string
	whole  bool
	close  bool
}

var (
	statusLine  = regexp.MustCompile(`^HTTP/1\.1 ([2-9][0-9][0-9]) [^\r\n]*$`)
	headerLine  = regexp.MustCompile(`^([!#$%&'*+.^_|~0-9A-Za-z-]+): ([^\r\n]*)$`)
	chunkSize   = regexp.MustCompile(`^[0-9a-f]+$`)
	errSurplus  = errors.New("bytes where no response is due")
	errNoHead   = errors.New("not the head of a response")
	errNoFrames = errors.New("not the chunks of a body")
)

// readResponses reads the responses to requests with some methods strictly. The content may end anywhere, but nothing may follow the
// response to the last request. interim holds whether a request allows one interim response.
func readResponses(content string, methods []string, interim []bool) ([]received, error) {
	var responses []received
	for index, method := range methods {
		if interim[index] {
			if strings.HasPrefix(string(continueLine), content) {
				return responses, nil
			}
			content = strings.TrimPrefix(content, string(continueLine))
		}
		if content == "" {
			return responses, nil
		}
		head, rest, found := strings.Cut(content, "\r\n\r\n")
		if !found {
			return append(responses, received{}), checkCutHead(content)
		}
		response, length, err := readResponseHead(head)
		if err != nil {
			return responses, err
		}
		if method == http.MethodHead || response.status == http.StatusNoContent || response.status == http.StatusNotModified {
			response.whole, content = true, rest
		} else if content, err = response.readBody(rest, length); err != nil {
			return responses, err
		}
		responses = append(responses, response)
		if !response.whole {
			return responses, nil
		}
		if response.close && content != "" {
			return responses, fmt.Errorf("%w: %q after the last response", errSurplus, content)
		}
		if response.close {
			return responses, nil
		}
	}
	if content != "" {
		return responses, fmt.Errorf("%w: %q", errSurplus, content)
	}
	return responses, nil
}

// checkCutHead checks the lines of a head that was cut off, but for the last one.
func checkCutHead(content string) error {
	lines := strings.Split(content, "\r\n")
	if len(lines) > 1 {
		_, _, err := readResponseHead(strings.Join(lines[:len(lines)-1], "\r\n"))
		if err != nil && !errors.Is(err, errNoFrames) {
			return err
		}
		return nil
	}
	if !strings.HasPrefix(content, "HTTP/1.1 "[:min(len(content), len("HTTP/1.1 "))]) {
		return fmt.Errorf("%w: %q", errNoHead, content)
	}
	return nil
}

// readResponseHead returns the response that a head announces and the length of its body, -1 for chunks and -2 for neither.
func readResponseHead(head string) (received, int, error) {
	lines := strings.Split(head, "\r\n")
	match := statusLine.FindStringSubmatch(lines[0])
	if match == nil {
		return received{}, 0, fmt.Errorf("%w: %q", errNoHead, lines[0])
	}
	response, length, framings := received{}, -2, 0
	response.status, _ = strconv.Atoi(match[1])
	for _, line := range lines[1:] {
		field := headerLine.FindStringSubmatch(line)
		if field == nil {
			return response, 0, fmt.Errorf("%w: %q", errNoHead, line)
		}
		switch field[1] {
		case headerNumber:
			response.number = field[2]
		case "Connection":
			response.close = field[2] == "close"
		case "Content-Length":
			size, err := strconv.Atoi(field[2])
			if err != nil {
				return response, 0, fmt.Errorf("%w: %q", errNoHead, line)
			}
			length, framings = size, framings+1
		case "Transfer-Encoding":
			length, framings = -1, framings+1
		}
	}
	if framings > 1 {
		return response, 0, fmt.Errorf("%w: %d framings in %q", errNoHead, framings, head)
	}
	return response, length, nil
}

// readBody reads the body of a response and returns what follows it.
func (response *received) readBody(content string, length int) (string, error) {
	if length == -2 {
		return "", fmt.Errorf("%w: status %d has neither a length nor chunks", errNoFrames, response.status)
	}
	if length >= 0 {
		response.body, response.whole = content[:min(length, len(content))], len(content) >= length
		return content[len(response.body):], nil
	}
	for {
		line, rest, found := strings.Cut(content, "\r\n")
		if !found {
			if strings.Trim(strings.TrimSuffix(content, "\r"), "0123456789abcdef") != "" {
				return "", fmt.Errorf("%w: %q", errNoFrames, content)
			}
			return "", nil
		}
		if !chunkSize.MatchString(line) {
			return "", fmt.Errorf("%w: %q", errNoFrames, line)
		}
		size, _ := strconv.ParseInt(line, 16, 64)
		response.body += rest[:min(int(size), len(rest))]
		rest = rest[min(int(size), len(rest)):]
		if len(rest) < 2 {
			if rest != "" && rest != "\r" {
				return "", fmt.Errorf("%w: %q", errNoFrames, rest)
			}
			return "", nil
		}
		if !strings.HasPrefix(rest, "\r\n") {
			return "", fmt.Errorf("%w: %q", errNoFrames, rest)
		}
		content = rest[2:]
		if size == 0 {
			response.whole = true
			return content, nil
		}
	}
}

// operation is one step of a drawn handler.
type operation struct {
	kind   string
	status int
	// size is the length of the part that is sent.
	size int
}

// part returns the content that an operation sends, which looks like responses.
func (operation *operation) part() string {
	const content = "HTTP/1.1 200 OK\r\n\r\n"
	return strings.Repeat(content, operation.size/len(content)+1)[:operation.size]
}

// The operations of drawn handlers.
const (
	opRespond = "respond"
	opBegin   = "begin"
	opWrite   = "write"
	opEnd     = "end"
	opDrain   = "drain"
	opStop    = "stop accepting"
	opClose   = "close the server"
	opLimit   = "lower the limit of bodies"
)

const (
	// loweredLimit is the limit of bodies that opLimit sets.
	loweredLimit = 3
	largePart    = 20000
)

// drawnRequest is a request and what its handler does.
type drawnRequest struct {
	content string
	method  string
	body    int
	close   bool
	interim bool
	// rejected is set if the request is malformed.
	rejected bool
	// unended is set if the request has no end.
	unended    bool
	operations []operation
}

var drawnOperations = rapid.Custom(func(t *rapid.T) operation {
	kind := rapid.SampledFrom([]string{
		opRespond, opRespond, opBegin, opBegin, opWrite, opWrite, opWrite, opEnd, opEnd, opDrain, opStop, opClose, opLimit,
	}).Draw(t, "kind")
	status := rapid.SampledFrom([]int{200, 200, 200, 201, 204, 205, 304, 404, 429, 500, 503, 999}).Draw(t, "status")
	size := rapid.SampledFrom([]int{0, 1, 5, 17, largePart}).Draw(t, "size")
	return operation{kind: kind, status: status, size: size}
})

// usualHandlers are the sequences of operations of a sound handler.
var usualHandlers = [][]operation{
	{{kind: opRespond, status: 200, size: 50}},
	{{kind: opBegin, status: 200, size: 5}, {kind: opWrite, size: 6}, {kind: opEnd}},
}

func drawRequest(t *rapid.T, number int) drawnRequest {
	method := rapid.SampledFrom([]string{http.MethodGet, http.MethodPost, http.MethodHead}).Draw(t, "method")
	request := drawnRequest{method: method}
	headers := fmt.Sprintf("Host: a\r\n%s: %d\r\n", headerNumber, number)
	if request.interim = rapid.IntRange(0, 4).Draw(t, "expect") == 0; request.interim {
		headers += "Expect: 100-continue\r\n"
	}
	if request.close = rapid.IntRange(0, 7).Draw(t, "close") == 0; request.close {
		headers += "Connection: close\r\n"
	}
	body := strings.Repeat("G", rapid.SampledFrom([]int{0, 2, 9, 5000}).Draw(t, "body"))
	request.body = len(body)
	switch rapid.IntRange(0, 2).Draw(t, "framing") {
	case 0:
		request.body, body = 0, ""
	case 1:
		headers += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	default:
		headers += "Transfer-Encoding: chunked\r\n"
		trailer := rapid.SampledFrom([]string{"", "X-Sum: 1\r\n"}).Draw(t, "trailer")
		if body = "0\r\n" + trailer + "\r\n"; request.body > 0 {
			body = fmt.Sprintf("%x\r\n%s\r\n", request.body, strings.Repeat("G", request.body)) + body
		}
	}
	switch rapid.IntRange(0, 15).Draw(t, "damage") {
	case 0:
		headers += rapid.SampledFrom([]string{"Broken\r\n", "Content-Length: x\r\n", "Host: b\r\n", "X: y\rz\r\n"}).Draw(t, "malformed")
		request.rejected, request.interim = true, false
	case 1:
		request.unended = true
	}
	request.content = method + " /x/ HTTP/1.1\r\n" + headers + "\r\n" + body
	if request.unended {
		request.content = request.content[:rapid.IntRange(0, len(request.content)-1).Draw(t, "end")]
	}
	if rapid.Bool().Draw(t, "usual") {
		request.operations = rapid.SampledFrom(usualHandlers).Draw(t, "handler")
	} else {
		request.operations = rapid.SliceOfN(drawnOperations, 0, 6).Draw(t, "operations")
	}
	return request
}

// response returns what the caller must receive of a handler's response, and whether something must be received at all.
func (request *drawnRequest) response(number int) (expected received, begun bool) {
	bodiless, ended := request.method == http.MethodHead, false
	expected.number = strconv.Itoa(number)
	suppressed := false
	for _, operation := range request.operations {
		switch operation.kind {
		case opRespond, opBegin:
			if begun {
				suppressed = true
				continue
			}
			begun, expected.status = true, operation.status
			bodiless = bodiless || operation.status == http.StatusNoContent || operation.status == http.StatusNotModified
			expected.body = operation.part()
			ended = operation.kind == opRespond
			expected.whole = ended
		case opWrite:
			if begun && !ended && !suppressed {
				expected.body += operation.part()
			}
		case opEnd:
			if begun && !suppressed {
				ended, expected.whole = true, true
			}
		}
	}
	if bodiless {
		expected.body = ""
	}
	return expected, begun
}

// has reports whether the handler performs an operation.
func (request *drawnRequest) has(kind string) bool {
	for _, operation := range request.operations {
		if operation.kind == kind {
			return true
		}
	}
	return false
}

// drawnServer is a server whose handlers follow drawn operations.
type drawnServer struct {
	*Server
	limits   atomic.Pointer[spec.Limits]
	mutex    sync.Mutex
	requests []drawnRequest
	handled  []string
	wrong    []string
}

// drawnListener is a listener that accepts until it is closed, and wraps connections.
type drawnListener struct {
	net.Listener
	wrap func(raw net.Conn) net.Conn
}

// Accept implements net.Listener.
func (drawnListener *drawnListener) Accept() (net.Conn, error) {
	raw, err := drawnListener.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return drawnListener.wrap(raw), nil
}

// failingConn is a connection of which one write fails after a number of bytes.
type failingConn struct {
	net.Conn
	left   int
	failed bool
}

// Write implements net.Conn.
func (failingConn *failingConn) Write(content []byte) (int, error) {
	if failingConn.failed || len(content) <= failingConn.left {
		failingConn.left -= len(content)
		return failingConn.Conn.Write(content)
	}
	failingConn.failed = true
	count, _ := failingConn.Conn.Write(content[:failingConn.left])
	return count, os.ErrDeadlineExceeded
}

func newDrawnServer(t *rapid.T, requests []drawnRequest, wrap func(raw net.Conn) net.Conn) *drawnServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &drawnServer{requests: requests}
	server.limits.Store(&testLimits)
	ready := make(chan struct{})
	server.Server = New(&drawnListener{Listener: listener, wrap: wrap}, func() spec.Limits { return *server.limits.Load() },
		func(_ context.Context, exchange *Exchange) {
			<-ready
			server.handle(exchange)
		})
	close(ready)
	return server
}

// handle performs the operations of a request.
func (drawnServer *drawnServer) handle(exchange *Exchange) {
	number := exchange.Header().Get(headerNumber)
	drawnServer.mutex.Lock()
	drawnServer.handled = append(drawnServer.handled, number)
	drawnServer.mutex.Unlock()
	index, _ := strconv.Atoi(number)
	request := drawnServer.requests[index]
	if string(exchange.Body()) != strings.Repeat("G", request.body) {
		drawnServer.mutex.Lock()
		drawnServer.wrong = append(drawnServer.wrong, number)
		drawnServer.mutex.Unlock()
	}
	header := http.Header{headerNumber: {number}}
	for _, operation := range request.operations {
		switch operation.kind {
		case opRespond:
			exchange.Respond(operation.status, header, []byte(operation.part()))
		case opBegin:
			exchange.Begin(operation.status, header, []byte(operation.part()))
		case opWrite:
			exchange.Write([]byte(operation.part()))
		case opEnd:
			exchange.End()
		case opDrain:
			drawnServer.Drain()
		case opStop:
			drawnServer.StopAccepting()
		case opClose:
			drawnServer.Close()
		case opLimit:
			lowered := testLimits
			lowered.BodyBytes = loweredLimit
			drawnServer.limits.Store(&lowered)
		}
	}
}

// expect returns the responses that an undisturbed caller must receive, and whether the connection may end earlier.
func expect(requests []drawnRequest) (expected []received, mayEnd bool) {
	lowered, drained := false, false
	for number := range requests {
		request := &requests[number]
		if request.rejected || request.unended || lowered && request.body > loweredLimit {
			return append(expected, received{status: -1, whole: true}), false
		}
		response, begun := request.response(number)
		lowered = lowered || request.has(opLimit)
		drained = drained || request.has(opDrain) || request.has(opStop)
		if request.has(opClose) {
			if begun {
				expected = append(expected, response)
			}
			return expected, true
		}
		if begun {
			expected = append(expected, response)
		}
		if !response.whole || request.close || drained {
			return expected, false
		}
	}
	return expected, false
}

// checkReceived compares the responses that a caller has received with those that it should receive. The connection may end
// earlier if it was disturbed.
func checkReceived(got, expected []received, disturbed bool) error {
	for index, response := range got {
		last := index == len(got)-1
		if !last && !response.whole {
			return fmt.Errorf("response %d was cut and others follow", index)
		}
		if index >= len(expected) {
			return fmt.Errorf("response %d %+v has no request", index, response)
		}
		want := expected[index]
		switch {
		case want.status < 0:
			if response.whole && response.status/100 != 4 {
				return fmt.Errorf("status %d for a request that is malformed", response.status)
			}
		case response.whole && (!want.whole && want.body != response.body || want.whole && response.body != want.body ||
			response.number != want.number || response.status != want.status):
			return fmt.Errorf("response %d is %.200v, not %.200v", index, response, want)
		case response.whole && !want.whole && want.body != "":
			return fmt.Errorf("response %d looks complete", index)
		case !response.whole && !strings.HasPrefix(want.body, response.body):
			return fmt.Errorf("response %d has the wrong beginning: %.200v, not %.200v", index, response, want)
		case !response.whole && want.whole && !disturbed:
			return fmt.Errorf("response %d was cut: %.200v", index, response)
		}
	}
	missing := expected[min(len(got), len(expected)):]
	if !disturbed && len(missing) > 0 && missing[0].status >= 0 {
		return fmt.Errorf("no response: %.200v", missing[0])
	}
	return nil
}

// Guards against bytes that a caller takes for a part of another response: whatever callers send, and handlers and the server do, a
// caller gets the responses to its requests in their order, and one that is not whole is the last and does not look whole.
func TestResponsesOnDrawnConnections(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var requests []drawnRequest
		for number := range rapid.IntRange(1, 6).Draw(t, "requests") {
			requests = append(requests, drawRequest(t, number))
			if requests[number].unended {
				break
			}
		}
		failAfter := -1
		if rapid.IntRange(0, 3).Draw(t, "failing writes") == 0 {
			failAfter = rapid.IntRange(0, 1200).Draw(t, "fail after")
		}
		server := newDrawnServer(t, requests, func(raw net.Conn) net.Conn {
			if failAfter < 0 {
				return raw
			}
			return &failingConn{Conn: raw, left: failAfter}
		})
		defer server.Close()
		content, left, drained := converse(t, server, requests)
		var methods []string
		var interim []bool
		for _, request := range requests {
			methods, interim = append(methods, request.method), append(interim, request.interim)
		}
		got, err := readResponses(content, methods, interim)
		if err != nil {
			t.Fatalf("%v; received %.1000q", err, content)
		}
		expected, mayEnd := expect(requests)
		server.mutex.Lock()
		defer server.mutex.Unlock()
		if drained {
			// Requests that have not been handled need no response.
			expected = slices.DeleteFunc(expected, func(response received) bool {
				return response.status >= 0 && !slices.Contains(server.handled, response.number)
			})
			if last := len(expected) - 1; last >= 0 && len(got) == last && expected[last].status < 0 {
				expected = expected[:last]
			}
		}
		if err := checkReceived(got, expected, mayEnd || failAfter >= 0 || left); err != nil {
			t.Fatalf("%v; received %.1000q", err, content)
		}
		if len(server.wrong) > 0 {
			t.Fatalf("wrong bodies of requests %v", server.wrong)
		}
		for index, number := range server.handled {
			if number != strconv.Itoa(index) {
				t.Fatalf("handled %v", server.handled)
			}
		}
	})
}

// converse sends the requests in drawn pieces, and returns all bytes that arrive, and whether the caller has left early or the server
// was drained meanwhile.
func converse(t *rapid.T, server *drawnServer, requests []drawnRequest) (content string, left, drained bool) {
	raw, err := net.Dial("tcp", server.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	caller := raw.(*net.TCPConn)
	defer func() { _ = caller.Close() }()
	_ = caller.SetDeadline(time.Now().Add(5 * time.Second))
	arrived := make(chan string, 1)
	go func() {
		all, _ := io.ReadAll(caller)
		arrived <- string(all)
	}()
	var sent strings.Builder
	for _, request := range requests {
		sent.WriteString(request.content)
	}
	rest := sent.String()
	leave := rapid.IntRange(0, 7).Draw(t, "leave") == 0
	for pieces := rapid.IntRange(1, 6).Draw(t, "pieces"); len(rest) > 0; pieces-- {
		size := len(rest)
		if pieces > 1 {
			size = rapid.IntRange(1, len(rest)).Draw(t, "piece")
		}
		_, _ = io.WriteString(caller, rest[:size])
		rest = rest[size:]
		if leave && rapid.Bool().Draw(t, "now") {
			if rapid.Bool().Draw(t, "reset") {
				_ = caller.SetLinger(0)
			}
			_ = caller.Close()
			return <-arrived, true, drained
		}
		switch rapid.IntRange(0, 40).Draw(t, "event") {
		case 0:
			drained = true
			server.Drain()
		case 1:
			drained = true
			server.StopAccepting()
		}
	}
	_ = caller.CloseWrite()
	return <-arrived, false, drained
}
