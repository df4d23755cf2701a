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

// script is a server that answers every request on a connection with the next of its answers.
type script struct {
	address  string
	conns    atomic.Int64
	requests atomic.Int64
}

// newScript serves connections with a function that gets each request's ID and writes what it likes.
func newScript(t *testing.T, serve func(conn net.Conn, number int, id string) bool) *script {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	script := &script{address: listener.Addr().String()}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			script.conns.Add(1)
			go func() {
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				for {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, request.Body)
					if !serve(conn, int(script.requests.Add(1)), request.Header.Get("X-Id")) {
						return
					}
				}
			}()
		}
	}()
	return script
}

// newAnswerer answers every request, and keeps the connection or closes it.
func newAnswerer(t *testing.T, keep bool) *script {
	t.Helper()
	return newScript(t, func(conn net.Conn, _ int, id string) bool {
		write(conn, plain(id, "ok"))
		return keep
	})
}

func ask(pool *Pool, script *script, id string) (body string, status int, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	response, err := pool.Do(ctx, spec.Server{ID: "s", Address: script.address}, &Request{
		Method: http.MethodPost, Target: "/x", Host: "h", Header: http.Header{"X-Id": {id}}, Body: []byte("body"),
		Belongs: func(_ int, header http.Header) bool { return header.Get("X-Id") == id },
	})
	if err != nil {
		return "", 0, err
	}
	defer response.Close()
	content, err := io.ReadAll(response)
	return string(content), response.Status(), err
}

func write(conn net.Conn, content string) { _, _ = io.WriteString(conn, content) }

func plain(id, body string) string {
	return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nContent-Length: " + string(rune('0'+len(body))) + "\r\n\r\n" + body
}

func newPool(t *testing.T, options ...Option) *Pool {
	t.Helper()
	pool := New(options...)
	t.Cleanup(pool.Close)
	return pool
}

func TestConnectionsAreReused(t *testing.T) {
	is := is.New(t)
	script := newAnswerer(t, true)
	pool := newPool(t)
	for range 5 {
		body, status, err := ask(pool, script, "a")
		is.NoErr(err)
		is.Equal(status, http.StatusOK)
		is.Equal(body, "ok")
	}
	is.Equal(script.conns.Load(), int64(1))
}

func TestAnswersOfOtherRequestsAreNeverPassedOn(t *testing.T) {
	for name, answer := range map[string]func(id string) string{
		"late answer before it": func(id string) string { return plain("other", "bad") + plain(id, "ok") },
		"second answer after it": func(id string) string {
			return plain(id, "ok") + plain("other", "bad")
		},
		"bytes after it": func(id string) string { return plain(id, "ok") + "garbage" },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			script := newScript(t, func(conn net.Conn, _ int, id string) bool {
				write(conn, answer(id))
				return true
			})
			pool := newPool(t)
			for range 5 {
				body, _, err := ask(pool, script, "mine")
				is.NoErr(err)
				is.Equal(body, "ok")
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
}

func TestBadAnswersMayHaveRun(t *testing.T) {
	for name, answer := range map[string]string{
		"nothing":           "",
		"no answer":         "hello\r\n\r\n",
		"other request":     plain("other", "bad"),
		"half a head":       "HTTP/1.1 200 OK\r\nX-Id: mi",
		"encoded":           "HTTP/1.1 200 OK\r\nX-Id: mine\r\nContent-Encoding: gzip\r\nContent-Length: 2\r\n\r\nok",
		"huge other answer": "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 99999999\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			script := newScript(t, func(conn net.Conn, _ int, _ string) bool {
				write(conn, answer)
				return false
			})
			_, _, err := ask(newPool(t), script, "mine")
			is.True(errors.Is(err, ErrBroken))
			is.True(!errors.Is(err, ErrNotSent))
			is.Equal(script.requests.Load(), int64(1)) // Nothing is sent twice.
		})
	}
}

func TestShortBodiesAreNotWhole(t *testing.T) {
	for name, answer := range map[string]string{
		"length": "HTTP/1.1 200 OK\r\nX-Id: mine\r\nContent-Length: 9\r\n\r\nshort",
		"chunks": "HTTP/1.1 200 OK\r\nX-Id: mine\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			script := newScript(t, func(conn net.Conn, _ int, _ string) bool {
				write(conn, answer)
				return false
			})
			_, _, err := ask(newPool(t), script, "mine")
			is.True(err != nil)
		})
	}
}

func TestAnswerWithoutLengthEndsWithItsConnection(t *testing.T) {
	for name, test := range map[string]struct {
		reset bool
		whole bool
	}{"closed": {false, true}, "reset": {true, false}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			script := newScript(t, func(conn net.Conn, _ int, id string) bool {
				write(conn, "HTTP/1.1 200 OK\r\nX-Id: "+id+"\r\n\r\nall of it")
				time.Sleep(20 * time.Millisecond)
				if test.reset {
					_ = conn.(*net.TCPConn).SetLinger(0)
				}
				return false
			})
			body, _, err := ask(newPool(t), script, "mine")
			is.Equal(err == nil, test.whole)
			is.Equal(body, "all of it")
		})
	}
}

func TestRefusedConnectionProvesThatNothingRan(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := listener.Addr().String()
	_ = listener.Close()
	_, _, err = ask(newPool(t), &script{address: address}, "mine")
	is.True(errors.Is(err, ErrNotSent))
}

// A connection that the server has closed is not used, so that the request is not lost with it.
func TestClosedIdleConnectionsAreNotUsed(t *testing.T) {
	is := is.New(t)
	script := newAnswerer(t, false)
	pool := newPool(t)
	for range 5 {
		_, _, err := ask(pool, script, "mine")
		is.NoErr(err)
		time.Sleep(10 * time.Millisecond)
	}
	is.Equal(script.conns.Load(), int64(5))
}

func TestKeepAliveOfTheServerIsKept(t *testing.T) {
	for content, want := range map[string]time.Duration{
		"timeout=5": 5*time.Second - idleMargin, "max=3, timeout=1": time.Second - idleMargin, "timeout=0": 0, "": defaultIdle, "timeout=x": defaultIdle,
	} {
		is.New(t).Equal(idleLimitOf(http.Header{"Keep-Alive": {content}}), want)
	}
}

func TestEarlyAnswerRetiresTheConnection(t *testing.T) {
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
			// Answers after the head, long before the body is in, and never reads it.
			reader := bufio.NewReaderSize(conn, 64)
			_ = conn.(*net.TCPConn).SetReadBuffer(4096)
			for line := "x"; strings.TrimSpace(line) != ""; {
				line, _ = reader.ReadString('\n')
			}
			write(conn, plain("mine", "no"))
		}
	}()
	pool := newPool(t)
	for range 2 {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		response, err := pool.Do(ctx, spec.Server{ID: "s", Address: listener.Addr().String()}, &Request{
			Method: http.MethodPost, Target: "/x", Host: "h", Header: http.Header{}, Body: make([]byte, 32<<20),
			Belongs: func(int, http.Header) bool { return true },
		})
		is.NoErr(err)
		_, err = io.ReadAll(response)
		is.NoErr(err)
		response.Close()
		cancel()
	}
	is.Equal(conns.Load(), int64(2)) // The rest of the first body must not reach anybody.
}

func TestLimitOfConnections(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	script := newScript(t, func(conn net.Conn, _ int, id string) bool {
		<-release
		write(conn, plain(id, "ok"))
		return true
	})
	pool := newPool(t, WithLimit(func(string) int { return 1 }))
	done := make(chan error, 1)
	go func() {
		_, _, err := ask(pool, script, "a")
		done <- err
	}()
	time.Sleep(50 * time.Millisecond)
	_, _, err := ask(pool, script, "b")
	is.True(errors.Is(err, ErrBusy))
	close(release)
	is.NoErr(<-done)
	_, _, err = ask(pool, script, "b")
	is.NoErr(err)
}

func TestCancelEndsTheConnection(t *testing.T) {
	is := is.New(t)
	gone := make(chan struct{})
	script := newScript(t, func(conn net.Conn, _ int, _ string) bool {
		_, _ = conn.Read(make([]byte, 1))
		close(gone)
		return false
	})
	pool := newPool(t)
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancel)
	_, err := pool.Do(ctx, spec.Server{ID: "s", Address: script.address}, &Request{
		Method: http.MethodGet, Target: "/x", Host: "h", Header: http.Header{}, Belongs: func(int, http.Header) bool { return true },
	})
	is.True(errors.Is(err, ErrBroken))
	select {
	case <-gone:
	case <-time.After(time.Second):
		t.Fatal("the server still works on the request")
	}
}
