package link

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"lentilproxy/core/spec"
)

// fakeServer is a server that counts its connections and requests. Its responses are written by a function.
type fakeServer struct {
	address  string
	conns    atomic.Int64
	requests atomic.Int64
}

// newFakeServer starts a server. The function receives the number and the ID of each request, writes the response, and
// returns whether to keep the connection open.
func newFakeServer(t *testing.T, serve func(conn net.Conn, number int, id string) bool) *fakeServer {
	t.Helper()
	return newRequestServer(t, func(conn net.Conn, number int, request *http.Request) bool {
		return serve(conn, number, request.Header.Get("X-Id"))
	})
}

// newRequestServer starts a server like newFakeServer. The function receives the requests.
func newRequestServer(t *testing.T, serve func(conn net.Conn, number int, request *http.Request) bool) *fakeServer {
	t.Helper()
	return newConnServer(t, func(fakeServer *fakeServer, conn net.Conn) {
		defer func() { _ = conn.Close() }()
		reader := bufio.NewReader(conn)
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			if !serve(conn, int(fakeServer.requests.Add(1)), request) {
				return
			}
		}
	})
}

// newConnServer starts a server that counts its connections. The function serves one of them and closes it.
func newConnServer(t *testing.T, serve func(fakeServer *fakeServer, conn net.Conn)) *fakeServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	fakeServer := &fakeServer{address: listener.Addr().String()}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			fakeServer.conns.Add(1)
			go serve(fakeServer, conn)
		}
	}()
	return fakeServer
}

// newOKServer starts a server that responds to every request with status 200, and then keeps or closes the connection.
func newOKServer(t *testing.T, keep bool) *fakeServer {
	t.Helper()
	return newFakeServer(t, func(conn net.Conn, _ int, id string) bool {
		write(conn, okResponse(id, "ok"))
		return keep
	})
}

func send(pool *Pool, fakeServer *fakeServer, id string) (body string, status int, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	response, err := pool.Do(ctx, spec.Server{ID: "s", Address: fakeServer.address}, &Request{
		Method: http.MethodPost, Target: "/x", Host: "h", Header: http.Header{"X-Id": {id}}, Body: []byte("body"),
		ID: id, ResponseID: func(_ int, header http.Header) string { return header.Get("X-Id") },
	})
	if err != nil {
		return "", 0, err
	}
	defer response.Close()
	content, err := io.ReadAll(response)
	return string(content), response.Status(), err
}

func write(conn net.Conn, content string) { _, _ = io.WriteString(conn, content) }

func okResponse(id, body string) string {
	return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nContent-Length: " + string(rune('0'+len(body))) + "\r\n\r\n" + body
}

func newPool(t *testing.T, options ...Option) *Pool {
	t.Helper()
	pool := New(options...)
	t.Cleanup(pool.Close)
	return pool
}
