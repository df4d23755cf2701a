package link

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"lentilproxy/core/spec"

	"github.com/matryer/is"
)

func TestConnectionsAreReused(t *testing.T) {
	is := is.New(t)
	fakeServer := newOKServer(t, true)
	pool := newPool(t)
	for range 5 {
		body, status, err := send(pool, fakeServer, "a")
		is.NoErr(err)
		is.Equal(status, http.StatusOK)
		is.Equal(body, "ok")
	}
	is.Equal(fakeServer.conns.Load(), int64(1))
}

func TestResponsesToOtherRequestsAreDiscarded(t *testing.T) {
	for name, response := range map[string]func(id string) string{
		"late response before it": func(id string) string { return okResponse("other", "bad") + okResponse(id, "ok") },
		"second response after it": func(id string) string {
			return okResponse(id, "ok") + okResponse("other", "bad")
		},
		"bytes after it": func(id string) string { return okResponse(id, "ok") + "garbage" },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			fakeServer := newFakeServer(t, func(conn net.Conn, _ int, id string) bool {
				write(conn, response(id))
				return true
			})
			pool := newPool(t)
			for range 5 {
				body, _, err := send(pool, fakeServer, "mine")
				is.NoErr(err)
				is.Equal(body, "ok")
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
}

func TestInvalidResponsesReturnErrBroken(t *testing.T) {
	for name, response := range map[string]string{
		"nothing":             "",
		"no response":         "hello\r\n\r\n",
		"other request":       okResponse("other", "bad"),
		"half a head":         "HTTP/1.1 200 OK\r\nX-Id: mi",
		"encoded":             "HTTP/1.1 200 OK\r\nX-Id: mine\r\nContent-Encoding: gzip\r\nContent-Length: 2\r\n\r\nok",
		"huge other response": "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 99999999\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			fakeServer := newFakeServer(t, func(conn net.Conn, _ int, _ string) bool {
				write(conn, response)
				return false
			})
			_, _, err := send(newPool(t), fakeServer, "mine")
			is.True(errors.Is(err, ErrBroken))
			is.True(!errors.Is(err, ErrNotSent))
			is.Equal(fakeServer.requests.Load(), int64(1)) // The request is not sent again.
		})
	}
}

func TestTruncatedBodiesReturnErrors(t *testing.T) {
	for name, response := range map[string]string{
		"length": "HTTP/1.1 200 OK\r\nX-Id: mine\r\nContent-Length: 9\r\n\r\nshort",
		"chunks": "HTTP/1.1 200 OK\r\nX-Id: mine\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			fakeServer := newFakeServer(t, func(conn net.Conn, _ int, _ string) bool {
				write(conn, response)
				return false
			})
			_, _, err := send(newPool(t), fakeServer, "mine")
			is.True(err != nil)
		})
	}
}

func TestBodyWithoutLengthEndsWithConnection(t *testing.T) {
	for name, test := range map[string]struct {
		reset bool
		whole bool
	}{"closed": {false, true}, "reset": {true, false}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			fakeServer := newFakeServer(t, func(conn net.Conn, _ int, id string) bool {
				write(conn, "HTTP/1.1 200 OK\r\nX-Id: "+id+"\r\n\r\nall of it")
				time.Sleep(20 * time.Millisecond)
				if test.reset {
					_ = conn.(*net.TCPConn).SetLinger(0)
				}
				return false
			})
			body, _, err := send(newPool(t), fakeServer, "mine")
			is.Equal(err == nil, test.whole)
			is.Equal(body, "all of it")
		})
	}
}

func TestRefusedConnectionReturnsErrNotSent(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := listener.Addr().String()
	_ = listener.Close()
	_, _, err = send(newPool(t), &fakeServer{address: address}, "mine")
	is.True(errors.Is(err, ErrNotSent))
}

// Guards against servers that crash while they write the head of a response: what they had written was taken for an invalid
// response, unless it ended with a line.
func TestHeadThatIsCutOff(t *testing.T) {
	head := okResponse("mine", "ok")
	for length := range len(head) - len("ok") {
		is := is.New(t)
		fakeServer := newFakeServer(t, func(conn net.Conn, _ int, _ string) bool {
			write(conn, head[:length])
			return false
		})
		_, _, err := send(newPool(t), fakeServer, "mine")
		is.True(errors.Is(err, ErrBroken))
		is.True(ClosedByPeer(err))
	}
}

// Guards against a check for a connection that makes it look younger than it is, so that a request is sent on it while the
// server closes it.
func TestOpenDoesNotProlongIdleTime(t *testing.T) {
	is := is.New(t)
	fakeServer := newOKServer(t, true)
	pool := newPool(t)
	server := spec.Server{ID: "s", Address: fakeServer.address}
	is.NoErr(pool.Open(t.Context(), server))
	key := serverKey{incarnation: server.Incarnation(), address: server.Address}
	since := pool.idle[key][0].since
	is.NoErr(pool.Open(t.Context(), server))
	is.Equal(pool.idle[key][0].since, since)
}

// Open connects once for a request that follows, and fails if the server is gone.
func TestOpenKeepsAConnection(t *testing.T) {
	is := is.New(t)
	fakeServer := newOKServer(t, true)
	pool := newPool(t)
	for range 3 {
		is.NoErr(pool.Open(t.Context(), spec.Server{ID: "s", Address: fakeServer.address}))
	}
	_, _, err := send(pool, fakeServer, "mine")
	is.NoErr(err)
	is.Equal(fakeServer.conns.Load(), int64(1))

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	_ = listener.Close()
	is.True(pool.Open(t.Context(), spec.Server{ID: "gone", Address: listener.Addr().String()}) != nil)
}

// A request that is sent on a connection that the server has closed would be lost.
func TestClosedIdleConnectionsAreNotUsed(t *testing.T) {
	is := is.New(t)
	fakeServer := newOKServer(t, false)
	pool := newPool(t)
	for range 5 {
		_, _, err := send(pool, fakeServer, "mine")
		is.NoErr(err)
		time.Sleep(10 * time.Millisecond)
	}
	is.Equal(fakeServer.conns.Load(), int64(5))
}

func TestKeepAliveHeaderSetsIdleTimeout(t *testing.T) {
	for content, want := range map[string]time.Duration{
		"timeout=5": 5*time.Second - idleMargin, "max=3, timeout=1": time.Second - idleMargin, "timeout=0": 0, "": defaultIdleTimeout, "timeout=x": defaultIdleTimeout,
	} {
		is.New(t).Equal(idleTimeoutOf(http.Header{"Keep-Alive": {content}}), want)
	}
}

func TestEarlyResponseClosesConnection(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	var conns atomic.Int64
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			conns.Add(1)
			// The server responds after the headers and never reads the body.
			reader := bufio.NewReaderSize(conn, 64)
			_ = conn.(*net.TCPConn).SetReadBuffer(4096)
			for line := "x"; strings.TrimSpace(line) != ""; {
				line, _ = reader.ReadString('\n')
			}
			write(conn, okResponse("mine", "no"))
		}
	}()
	pool := newPool(t)
	for range 2 {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		response, err := pool.Do(ctx, spec.Server{ID: "s", Address: listener.Addr().String()}, &Request{
			Method: http.MethodPost, Target: "/x", Host: "h", Header: http.Header{}, Body: make([]byte, 32<<20),
			ResponseID: func(int, http.Header) string { return "" },
		})
		is.NoErr(err)
		_, err = io.ReadAll(response)
		is.NoErr(err)
		response.Close()
		cancel()
	}
	is.Equal(conns.Load(), int64(2)) // Otherwise the server would read the rest of the first body as the second request.
}

func TestConnectionLimit(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	fakeServer := newFakeServer(t, func(conn net.Conn, _ int, id string) bool {
		<-release
		write(conn, okResponse(id, "ok"))
		return true
	})
	pool := newPool(t, WithLimit(func(string) int { return 1 }))
	done := make(chan error, 1)
	go func() {
		_, _, err := send(pool, fakeServer, "a")
		done <- err
	}()
	time.Sleep(50 * time.Millisecond)
	_, _, err := send(pool, fakeServer, "b")
	is.True(errors.Is(err, ErrBusy))
	close(release)
	is.NoErr(<-done)
	_, _, err = send(pool, fakeServer, "b")
	is.NoErr(err)
}

func TestCancelClosesConnection(t *testing.T) {
	is := is.New(t)
	closed := make(chan struct{})
	fakeServer := newFakeServer(t, func(conn net.Conn, _ int, _ string) bool {
		_, _ = conn.Read(make([]byte, 1))
		close(closed)
		return false
	})
	pool := newPool(t)
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancel)
	_, err := pool.Do(ctx, spec.Server{ID: "s", Address: fakeServer.address}, &Request{
		Method: http.MethodGet, Target: "/x", Host: "h", Header: http.Header{}, ResponseID: func(int, http.Header) string { return "" },
	})
	is.True(errors.Is(err, ErrBroken))
	select {
	case <-closed:
	case <-time.After(time.Second):
		t.Fatal("the connection is still open 1 s after the cancellation")
	}
}

// endless writes a prefix and then the same content until the other end closes, and counts the bytes.
func endless(conn net.Conn, prefix, content string, written *atomic.Int64) {
	write(conn, prefix)
	chunk := []byte(strings.Repeat(content, 1+4096/len(content)))
	for {
		count, err := conn.Write(chunk)
		written.Add(int64(count))
		if err != nil {
			return
		}
	}
}

// Bytes that are no response may come without end. They are read up to a bound, and the connection is closed.
func TestBytesWithoutEndCloseTheConnection(t *testing.T) {
	// The buffers of both sockets hold bytes that the other side never reads.
	const maxSocketBuffers = 8 << 20
	chunked := "HTTP/1.1 200 OK\r\nX-Id: mine\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, test := range map[string]struct {
		prefix, content string
		// complete is set if a complete response precedes the bytes.
		complete bool
	}{
		"status line":             {"", "x", false},
		"status line with digits": {"HTTP/1.1 200 ", "1", false},
		"header":                  {"HTTP/1.1 200 OK\r\nX-Id: ", "a", false},
		"many headers":            {"HTTP/1.1 200 OK\r\n", "A: b\r\n", false},
		"informational responses": {"", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n", false},
		"other responses":         {"", okResponse("other", "bad"), false},
		"other body":              {"HTTP/1.1 200 OK\r\nX-Id: other\r\n\r\n", "x", false},
		"chunk size":              {chunked, "0", false},
		"chunk extension":         {chunked + "5;", "a", false},
		"trailer":                 {chunked + "2\r\nok\r\n0\r\nA: ", "b", false},
		"many trailers":           {chunked + "2\r\nok\r\n0\r\n", "A: b\r\n", false},
		"longer than announced":   {okResponse("mine", "ok"), "x", true},
		"empty lines":             {"", "\r\n", false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var written atomic.Int64
			closed := make(chan struct{})
			fakeServer := newFakeServer(t, func(conn net.Conn, number int, _ string) bool {
				endless(conn, test.prefix, test.content, &written)
				if number == 1 {
					close(closed)
				}
				return false
			})
			pool := newPool(t)
			startedAt := time.Now()
			body, _, err := send(pool, fakeServer, "mine")
			is.True(time.Since(startedAt) < time.Second)
			if test.complete {
				is.NoErr(err)
				is.Equal(body, "ok")
			} else {
				is.True(err != nil)
			}
			select {
			case <-closed:
			case <-time.After(2 * time.Second):
				t.Fatal("the connection stays open")
			}
			is.True(written.Load() < maxSocketBuffers)
		})
	}
}

// The rest of a short body is read, so that the connection is kept. Nobody waits for a longer or a slower one.
func TestDiscardIsBounded(t *testing.T) {
	for name, test := range map[string]struct {
		body string
		kept bool
	}{
		"complete": {okResponse("mine", "no"), true},
		"slow":     {"HTTP/1.1 503 Busy\r\nX-Id: mine\r\nContent-Length: 20\r\n\r\nno", false},
		"long":     {"HTTP/1.1 503 Busy\r\nX-Id: mine\r\nContent-Length: 200000\r\n\r\n" + strings.Repeat("x", 100_000), false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			fakeServer := newFakeServer(t, func(conn net.Conn, _ int, _ string) bool {
				write(conn, test.body)
				return true
			})
			pool := newPool(t)
			for range 2 {
				response, err := pool.Do(t.Context(), spec.Server{ID: "s", Address: fakeServer.address}, &Request{
					Method: http.MethodPost, Target: "/x", Host: "h", Header: http.Header{}, ResponseID: func(int, http.Header) string { return "" },
				})
				is.NoErr(err)
				startedAt := time.Now()
				response.Discard()
				response.Close()
				is.True(time.Since(startedAt) < 4*discardTime)
			}
			is.Equal(fakeServer.conns.Load() == 1, test.kept)
		})
	}
}

// FuzzResponse checks that any bytes lead to a response or an error, and that what follows a response reaches nobody.
func FuzzResponse(f *testing.F) {
	f.Add([]byte(okResponse("mine", "ok")))
	f.Add([]byte(okResponse("other", "bad") + okResponse("mine", "ok")))
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\n" + okResponse("mine", "ok")))
	f.Add([]byte("HTTP/1.1 200 OK\r\nX-Id: mine\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nA: b\r\n\r\nrest"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nX-Id: mine\r\n\r\nuntil the end"))
	f.Add([]byte("HTTP/1.1 200 OK\nX-Id: mine\nContent-Length: 2\n\nokmore"))
	f.Fuzz(func(t *testing.T, content []byte) {
		near, far := net.Pipe()
		defer func() { _ = near.Close() }()
		go func() {
			_, _ = io.Copy(io.Discard, far)
		}()
		go func() {
			_, _ = far.Write(content)
			_ = far.Close()
		}()
		source := &limitedReader{reader: near, left: unlimited}
		pool := &Pool{idle: map[serverKey][]idleConn{}, open: map[serverKey]int{}, onSurplus: func(string, Surplus, *http.Response) {}}
		conn := &conn{pool: pool, raw: near, source: source, reader: bufio.NewReaderSize(source, readBufferBytes), idleTimeout: defaultIdleTimeout}
		response := &Response{conn: conn, detach: func() bool { return true }}
		err := response.exchange(&Request{
			Method: http.MethodPost, Target: "/x", Host: "h", Header: http.Header{},
			ID: "mine", ResponseID: func(_ int, header http.Header) string { return header.Get("X-Id") },
		})
		if err != nil {
			return
		}
		if response.Header().Get("X-Id") != "mine" {
			t.Fatal("the response belongs to another request")
		}
		body, err := io.ReadAll(response)
		if err == nil && len(body) > len(content) {
			t.Fatalf("a body of %d bytes from %d bytes", len(body), len(content))
		}
		response.Close()
		if conn.reader.Buffered() > 0 && len(pool.idle) > 0 {
			t.Fatal("a connection with unread bytes was kept")
		}
	})
}
