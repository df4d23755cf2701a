package front

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"lentilproxy/core/spec"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// recorder records requests and responds with status 200, unless serve is set.
type recorder struct {
	mutex    sync.Mutex
	requests []string
	serve    func(ctx context.Context, exchange *Exchange)
}

func (recorder *recorder) handle(ctx context.Context, exchange *Exchange) {
	recorder.mutex.Lock()
	recorder.requests = append(recorder.requests, exchange.Method()+" "+exchange.Target()+" "+string(exchange.Body()))
	recorder.mutex.Unlock()
	if recorder.serve != nil {
		recorder.serve(ctx, exchange)
		return
	}
	exchange.Respond(http.StatusOK, http.Header{}, []byte("ok"))
}

func (recorder *recorder) recorded() []string {
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	return append([]string(nil), recorder.requests...)
}

var testLimits = spec.Limits{HeaderBytes: 8 << 10, BodyBytes: 64 << 10, HeaderTimeout: 300 * time.Millisecond, IdleTimeout: 2 * time.Second}

func newServer(t *testing.T, recorder *recorder) (*Server, string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := New(listener, func() spec.Limits { return testLimits }, recorder.handle)
	t.Cleanup(server.Close)
	return server, listener.Addr().String()
}

// exchangeRaw sends bytes and returns the status line, or "" if the connection ended without a response.
func exchangeRaw(t *testing.T, address, content string) string {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
	_, _ = io.WriteString(conn, content)
	line, _ := bufio.NewReader(conn).ReadString('\n')
	return strings.TrimSpace(line)
}

func TestAmbiguousRequestsAreRefused(t *testing.T) {
	hidden := "GET /hidden/ HTTP/1.1\r\nHost: a\r\n\r\n"
	for name, test := range map[string]struct {
		content string
		status  string
	}{
		"plain":               {"GET /a/ HTTP/1.1\r\nHost: a\r\n\r\n", "200"},
		"length":              {"POST /a/ HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nhi", "200"},
		"chunks":              {"POST /a/ HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n", "200"},
		"chunks with trailer": {"POST /a/ HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\nX: y\r\n\r\n", "200"},
		"length and chunks":   {"POST /a/ HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + hidden, "400"},
		"chunks and length":   {"POST /a/ HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nContent-Length: 60\r\n\r\n0\r\n\r\n" + hidden, "400"},
		"two lengths":         {"POST /a/ HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\nContent-Length: 36\r\n\r\n" + hidden, "400"},
		"same lengths":        {"POST /a/ HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nhi", "400"},
		"list of lengths":     {"POST /a/ HTTP/1.1\r\nHost: a\r\nContent-Length: 2, 2\r\n\r\nhi", "400"},
		"signed length":       {"POST /a/ HTTP/1.1\r\nHost: a\r\nContent-Length: +2\r\n\r\nhi", "400"},
		"space before colon":  {"POST /a/ HTTP/1.1\r\nHost: a\r\nContent-Length : 36\r\n\r\n" + hidden, "400"},
		"coding twice":        {"POST /a/ HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: x\r\n\r\n0\r\n\r\n", "400"},
		"other coding":        {"POST /a/ HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: xchunked\r\n\r\n0\r\n\r\n" + hidden, "400"},
		"folded line":         {"GET /a/ HTTP/1.1\r\nHost: a\r\nX: b\r\n c\r\n\r\n", "400"},
		"bare line ends":      {"GET /a/ HTTP/1.1\nHost: a\n\n", "400"},
		"bare end in header":  {"GET /a/ HTTP/1.1\r\nHost: a\r\nX: b\nContent-Length: 36\r\n\r\n" + hidden, "400"},
		"bare return":         {"GET /a/ HTTP/1.1\r\nHost: a\r\nX: b\rY: c\r\n\r\n", "400"},
		"bare end in chunk":   {"POST /a/ HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2\nhi\r\n0\r\n\r\n", "400"},
		"bad chunk size":      {"POST /a/ HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0x2\r\nhi\r\n0\r\n\r\n", "400"},
		"no host":             {"GET /a/ HTTP/1.1\r\n\r\n", "400"},
		"two hosts":           {"GET /a/ HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", "400"},
		"whole address":       {"GET http://a/a/ HTTP/1.1\r\nHost: a\r\n\r\n", "400"},
		"old protocol":        {"GET /a/ HTTP/1.0\r\nHost: a\r\n\r\n", "400"},
		"space in target":     {"GET /a/ b HTTP/1.1\r\nHost: a\r\n\r\n", "400"},
		"huge head":           {"GET /a/ HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 10<<10) + "\r\n\r\n", "431"},
		"huge body":           {"POST /a/ HTTP/1.1\r\nHost: a\r\nContent-Length: 70000\r\n\r\n", "413"},
		"huge chunk":          {"POST /a/ HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n11170\r\n" + strings.Repeat("x", 70000), "413"},
		"slow head":           {"GET /a/ HTTP/1.1\r\nHost: a\r\n", "408"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			recorder := &recorder{}
			_, address := newServer(t, recorder)
			line := exchangeRaw(t, address, test.content)
			is.True(strings.HasPrefix(line, "HTTP/1.1 "+test.status+" "))
			for _, request := range recorder.recorded() {
				is.True(!strings.Contains(request, "hidden"))
			}
		})
	}
}

func TestPipelinedRequestsAreHandledInOrder(t *testing.T) {
	is := is.New(t)
	recorder := &recorder{}
	_, address := newServer(t, recorder)
	conn, err := net.Dial("tcp", address)
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	_, _ = io.WriteString(conn, "GET /1/ HTTP/1.1\r\nHost: a\r\n\r\nPOST /2/ HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc")
	reader := bufio.NewReader(conn)
	for range 2 {
		response, err := http.ReadResponse(reader, nil)
		is.NoErr(err)
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
	is.Equal(recorder.recorded(), []string{"GET /1/ ", "POST /2/ abc"})
}

// Bodies are read completely, whatever the sizes of their chunks and packets.
func TestBodiesAreReadCompletely(t *testing.T) {
	recorder := &recorder{}
	_, address := newServer(t, recorder)
	rapid.Check(t, func(t *rapid.T) {
		body := rapid.SliceOfN(rapid.Byte(), 0, 3000).Draw(t, "body")
		var content bytes.Buffer
		content.WriteString("POST /b/ HTTP/1.1\r\nHost: a\r\n")
		if rapid.Bool().Draw(t, "chunked") {
			content.WriteString("Transfer-Encoding: chunked\r\n\r\n")
			for rest := body; len(rest) > 0; {
				size := rapid.IntRange(1, len(rest)).Draw(t, "chunk")
				fmt.Fprintf(&content, "%x\r\n%s\r\n", size, rest[:size])
				rest = rest[size:]
			}
			content.WriteString("0\r\n\r\n")
		} else {
			fmt.Fprintf(&content, "Content-Length: %d\r\n\r\n%s", len(body), body)
		}
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		for rest := content.Bytes(); len(rest) > 0; {
			size := rapid.IntRange(1, len(rest)).Draw(t, "packet")
			_, _ = conn.Write(rest[:size])
			rest = rest[size:]
		}
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Fatalf("no response: %v", err)
		}
		_ = response.Body.Close()
		if response.StatusCode != http.StatusOK {
			t.Fatalf("got status %d", response.StatusCode)
		}
		requests := recorder.recorded()
		if last := requests[len(requests)-1]; last != "POST /b/ "+string(body) {
			t.Fatalf("got %q", last)
		}
	})
}

func TestDisconnectCancelsHandler(t *testing.T) {
	is := is.New(t)
	disconnected := make(chan bool, 1)
	recorder := &recorder{serve: func(ctx context.Context, exchange *Exchange) {
		select {
		case <-ctx.Done():
			disconnected <- exchange.Disconnected()
		case <-time.After(3 * time.Second):
			disconnected <- false
		}
	}}
	_, address := newServer(t, recorder)
	conn, err := net.Dial("tcp", address)
	is.NoErr(err)
	_, _ = io.WriteString(conn, "GET /1/ HTTP/1.1\r\nHost: a\r\n\r\n")
	time.Sleep(50 * time.Millisecond)
	_ = conn.Close()
	is.True(<-disconnected)
}

// A response that began before the drain has no Connection: close header, but its connection must be closed as well.
func TestDrainClosesConnectionsAfterResponse(t *testing.T) {
	is := is.New(t)
	finish := make(chan struct{})
	recorder := &recorder{serve: func(_ context.Context, exchange *Exchange) {
		exchange.Begin(http.StatusOK, http.Header{}, []byte("first"))
		<-finish
		exchange.End()
	}}
	server, address := newServer(t, recorder)
	conn, err := net.Dial("tcp", address)
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	_, _ = io.WriteString(conn, "GET /1/ HTTP/1.1\r\nHost: a\r\n\r\n")
	reader := bufio.NewReader(conn)
	response, err := http.ReadResponse(reader, nil)
	is.NoErr(err)
	defer func() { _ = response.Body.Close() }()
	server.Drain()
	close(finish)
	content, err := io.ReadAll(response.Body)
	is.NoErr(err)
	is.Equal(string(content), "first")
	_, _ = io.WriteString(conn, "GET /2/ HTTP/1.1\r\nHost: a\r\n\r\n")
	_ = conn.SetReadDeadline(time.Now().Add(time.Second))
	_, err = reader.ReadByte()
	is.True(err != nil)
	is.Equal(len(recorder.recorded()), 1)
}

func TestStopClosesIdleConnectionsOnly(t *testing.T) {
	is := is.New(t)
	finish := make(chan struct{})
	recorder := &recorder{serve: func(_ context.Context, exchange *Exchange) {
		if exchange.Target() == "/slow/" {
			<-finish
		}
		exchange.Respond(http.StatusOK, http.Header{}, []byte("ok"))
	}}
	server, address := newServer(t, recorder)
	idle, err := net.Dial("tcp", address)
	is.NoErr(err)
	defer func() { _ = idle.Close() }()
	busy, err := net.Dial("tcp", address)
	is.NoErr(err)
	defer func() { _ = busy.Close() }()
	_, _ = io.WriteString(busy, "GET /slow/ HTTP/1.1\r\nHost: a\r\n\r\n")
	time.Sleep(50 * time.Millisecond)
	server.StopAccepting()
	_ = idle.SetReadDeadline(time.Now().Add(time.Second))
	_, err = idle.Read(make([]byte, 1))
	is.Equal(err, io.EOF)
	close(finish)
	response, err := http.ReadResponse(bufio.NewReader(busy), nil)
	is.NoErr(err)
	defer func() { _ = response.Body.Close() }()
	is.Equal(response.StatusCode, http.StatusOK)
	is.True(response.Close)
	_, err = net.Dial("tcp", address)
	is.True(err != nil)
}

// slowListener accepts its first connection late, as a process under load does.
type slowListener struct {
	*net.TCPListener
	once  sync.Once
	begin <-chan struct{}
	pause time.Duration
}

// Accept implements net.Listener.
func (slowListener *slowListener) Accept() (net.Conn, error) {
	slowListener.once.Do(func() {
		<-slowListener.begin
		time.Sleep(slowListener.pause)
	})
	return slowListener.TCPListener.Accept()
}

// Callers have connected and sent their requests, but the server has not accepted the connections when it stops.
func TestStopAnswersWaitingConnections(t *testing.T) {
	const callers = 50
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	begin := make(chan struct{})
	slow := &slowListener{TCPListener: listener.(*net.TCPListener), begin: begin, pause: 3 * acceptLinger}
	server := New(slow, func() spec.Limits { return testLimits }, (&recorder{}).handle)
	var conns []net.Conn
	for range callers {
		conn, err := net.Dial("tcp", listener.Addr().String())
		is.NoErr(err)
		_, _ = io.WriteString(conn, "GET /1/ HTTP/1.1\r\nHost: a\r\n\r\n")
		conns = append(conns, conn)
	}
	close(begin)
	server.StopAccepting()
	for _, conn := range conns {
		_ = conn.SetReadDeadline(time.Now().Add(2 * time.Second))
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		is.NoErr(err)
		_ = response.Body.Close()
		is.Equal(response.StatusCode, http.StatusOK)
		is.True(response.Close)
		_ = conn.Close()
	}
	for deadline := time.Now().Add(2 * time.Second); server.Open() > 0; time.Sleep(time.Millisecond) {
		is.True(time.Now().Before(deadline))
	}
	server.Close()
}

// A request has arrived on a kept connection, and the server stops before it has read it.
func TestStopServesArrivedRequests(t *testing.T) {
	for name, served := range map[string]bool{"first request": false, "further request": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer func() { _ = listener.Close() }()
			caller, err := net.Dial("tcp", listener.Addr().String())
			is.NoErr(err)
			defer func() { _ = caller.Close() }()
			raw, err := listener.Accept()
			is.NoErr(err)
			server := &Server{handler: (&recorder{}).handle, limits: func() spec.Limits { return testLimits }}
			conn := &conn{server: server, raw: raw, reader: bufio.NewReaderSize(raw, readBufferBytes), idle: true, served: served}
			_, _ = io.WriteString(caller, "GET /1/ HTTP/1.1\r\nHost: a\r\n\r\n")
			for !conn.hasUnread() {
				time.Sleep(time.Millisecond)
			}
			server.Drain()
			server.stopped.Store(true)
			conn.closeIdle()
			conn.serve()
			response, err := http.ReadResponse(bufio.NewReader(caller), nil)
			is.NoErr(err)
			_ = response.Body.Close()
			is.Equal(response.StatusCode, http.StatusOK)
		})
	}
}

// A connection that announces a large body and sends none holds no memory for it.
func TestAnnouncedBodiesHoldNoMemory(t *testing.T) {
	is := is.New(t)
	_, address := newServer(t, &recorder{})
	allocated := func() uint64 {
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		return stats.TotalAlloc
	}
	before := allocated()
	var conns []net.Conn
	for range 100 {
		conn, err := net.Dial("tcp", address)
		is.NoErr(err)
		_, _ = io.WriteString(conn, "POST /1/ HTTP/1.1\r\nHost: a\r\nContent-Length: 65536\r\n\r\n")
		conns = append(conns, conn)
	}
	time.Sleep(100 * time.Millisecond)
	is.True(allocated()-before < 100*(64<<10))
	for _, conn := range conns {
		_ = conn.Close()
	}
}

// A caller must be able to detect that a response was aborted.
func TestAbortedResponseIsIncomplete(t *testing.T) {
	is := is.New(t)
	recorder := &recorder{serve: func(_ context.Context, exchange *Exchange) {
		exchange.Begin(http.StatusOK, http.Header{}, []byte("first"))
	}}
	_, address := newServer(t, recorder)
	response, err := http.Get("http://" + address + "/1/")
	is.NoErr(err)
	_, err = io.ReadAll(response.Body)
	_ = response.Body.Close()
	is.Equal(err, io.ErrUnexpectedEOF)
}

func FuzzHead(f *testing.F) {
	f.Add([]byte("GET /a/ HTTP/1.1\r\nHost: a\r\n\r\n"))
	f.Add([]byte("POST /a/ HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n"))
	f.Fuzz(func(t *testing.T, head []byte) {
		if !bytes.HasSuffix(head, headEnd) || bytes.Index(head, headEnd) != len(head)-len(headEnd) || checkHead(head) != nil {
			return
		}
		// If net/http also accepts the head, it must interpret it in the same way.
		request, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(head)))
		if err != nil {
			return
		}
		exchange, err := parseHead(head)
		if err != nil {
			return
		}
		if request.Method != exchange.method || request.RequestURI != exchange.target {
			t.Fatalf("%q %q is read as %q %q", exchange.method, exchange.target, request.Method, request.RequestURI)
		}
		if len(request.TransferEncoding) > 0 && exchange.header.Get("Content-Length") != "" {
			t.Fatal("two lengths were accepted")
		}
	})
}

// Guards against a second head in a response that has begun: the caller would take it for a part of the body. The caller gets a
// truncated response instead.
func TestOneResponseIsSentForARequest(t *testing.T) {
	for name, second := range map[string]func(exchange *Exchange){
		"whole":        func(exchange *Exchange) { exchange.Respond(http.StatusBadGateway, http.Header{}, []byte("error")) },
		"another part": func(exchange *Exchange) { exchange.Begin(http.StatusOK, http.Header{}, []byte("error")) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			recorder := &recorder{serve: func(_ context.Context, exchange *Exchange) {
				exchange.Begin(http.StatusOK, http.Header{}, []byte("first"))
				second(exchange)
			}}
			_, address := newServer(t, recorder)
			response, err := http.Get("http://" + address + "/a/")
			is.NoErr(err)
			defer func() { _ = response.Body.Close() }()
			content, err := io.ReadAll(response.Body)
			is.True(errors.Is(err, io.ErrUnexpectedEOF))
			is.Equal(string(content), "first")
		})
	}
}

// shortWriter is a connection that sends a part of each write, and fails on the writes before a number of them.
type shortWriter struct {
	net.Conn
	written  bytes.Buffer
	failures int
}

// Write implements net.Conn.
func (writer *shortWriter) Write(content []byte) (int, error) {
	if writer.failures > 0 {
		writer.failures--
		count, _ := writer.written.Write(content[:len(content)/2])
		return count, os.ErrDeadlineExceeded
	}
	return writer.written.Write(content)
}

// SetWriteDeadline implements net.Conn.
func (*shortWriter) SetWriteDeadline(time.Time) error { return nil }

// Guards against a response that lacks bytes in its middle and looks complete: a caller that does not read for writeTimeout may get
// a part of a write, and read on afterwards.
func TestNothingFollowsAPartThatCouldNotBeSent(t *testing.T) {
	for name, whole := range map[string]bool{"the beginning": false, "a later part": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			writer := &shortWriter{}
			server, _ := newServer(t, &recorder{})
			exchange := &Exchange{conn: &conn{server: server, raw: writer}}
			if !whole {
				writer.failures = 1
			}
			is.Equal(exchange.Begin(http.StatusOK, http.Header{}, []byte("first")), whole)
			writer.failures = 1
			is.True(!exchange.Write([]byte("second")))
			sent := writer.written.Len()
			is.True(!exchange.Write([]byte("third")))
			exchange.End()
			is.Equal(writer.written.Len(), sent)
			is.True(!exchange.complete)
		})
	}
}
