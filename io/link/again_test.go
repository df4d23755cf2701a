package link

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"lentilproxy/core/spec"

	"github.com/matryer/is"
)

// Guards against a response that is sent anew after a part of it, on the same connection: the second head must not be taken for a
// part of the body, whatever the framing, and the response must not look whole.
func TestResponseThatIsSentAnewAfterAPart(t *testing.T) {
	const body = "0123456789012345678901234567890123456789"
	headers := "HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Signature: s\r\n"
	for name, whole := range map[string]string{
		"length": headers + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body),
		"chunks": headers + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body),
		"none":   headers + "\r\n" + body,
	} {
		t.Run(name, func(t *testing.T) {
			for cut := len(headers); cut < len(whole); cut++ {
				server := newFakeServer(t, func(conn net.Conn, _ int, _ string) bool {
					write(conn, whole[:cut]+whole)
					return false
				})
				got, _, err := send(newPool(t), server, "a")
				if err == nil || !strings.HasPrefix(body, got) {
					t.Errorf("cut at %d: %q, %v", cut, got, err)
				}
			}
		})
	}
}

// Guards against the same after a part of the head: the second status line must not end up in a header of the first head.
func TestHeadThatIsSentAnewAfterAPart(t *testing.T) {
	is := is.New(t)
	const headers = "X-Id: a\r\nX-Signature: signature\r\nContent-Length: 2\r\n\r\nok"
	for _, statuses := range [][2]string{{"200 OK", "200 OK"}, {"200 OK", "500 Internal Server Error"}, {"200 ", "200 "}} {
		first, second := "HTTP/1.1 "+statuses[0]+"\r\n"+headers, "HTTP/1.1 "+statuses[1]+"\r\n"+headers
		for cut := len("HTTP/1.1 200 "); cut < strings.Index(first, "\r\n\r\n")+3; cut++ {
			server := newFakeServer(t, func(conn net.Conn, _ int, _ string) bool {
				write(conn, first[:cut]+second)
				return false
			})
			_, status, err := send(newPool(t), server, "a")
			is.Equal(status, 0)
			is.True(err != nil)
		}
	}
}

// Guards against whole bodies that count as broken since they mention a status line and a copy follows them.
func TestBodyBeforeACopyIsWhole(t *testing.T) {
	is := is.New(t)
	const body = "{\"a\":\"HTTP/1.1 200 OK\"}"
	whole := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	for _, copied := range []string{whole, whole[:40], strings.ReplaceAll(whole, "X-Id: a", "X-Id: b"), "H"} {
		server := newFakeServer(t, func(conn net.Conn, _ int, _ string) bool {
			write(conn, whole+copied)
			return true
		})
		got, _, err := send(newPool(t), server, "a")
		is.NoErr(err)
		is.Equal(got, body)
	}
}

// A body with a length or chunks may contain responses of others, and end with the beginning of one.
func TestBodiesThatContainHeadsAreWhole(t *testing.T) {
	for name, body := range map[string]string{
		"response without an ID":             "xHTTP/1.1 200 OK\r\nA: b\r\n\r\ny",
		"response to another request":        "xHTTP/1.1 200 OK\r\nX-Id: b\r\n\r\ny",
		"status line":                        "xHTTP/1.1 200 OK\r\n",
		"status line without its end":        "xHTTP/1.1 200",
		"beginning of a status line":         "xHTT",
		"head without its end":               "HTTP/1.1 200 OK\r\nX-Id: a\r\n",
		"head of the response, without end":  "HTTP/1.1 200 OK\r\nX-Id: a\r\n\r",
		"beginning of a head and of another": "HTTP/1.1 200 OK\r\nX-Id: a\r\nHTTP/1.",
	} {
		for framing, whole := range map[string]string{
			"length": fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body),
			"chunks": fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body),
		} {
			t.Run(name+", "+framing, func(t *testing.T) {
				is := is.New(t)
				server := newFakeServer(t, func(conn net.Conn, _ int, id string) bool {
					write(conn, "HTTP/1.1 200 OK\r\nX-Id: "+id+"\r\n"+whole)
					return true
				})
				pool := newPool(t)
				for range 3 {
					got, _, err := send(pool, server, "a")
					is.NoErr(err)
					is.Equal(got, body)
				}
				is.Equal(server.conns.Load(), int64(1))
			})
		}
	}
}

// Guards against late copies around HEAD requests that are read with a body though they have none, or without the one that they have,
// so that the sound response behind them fails.
func TestCopiesAroundHeadRequests(t *testing.T) {
	for _, methods := range [][2]string{{http.MethodHead, http.MethodPost}, {http.MethodPost, http.MethodHead}} {
		t.Run(fmt.Sprint(methods), func(t *testing.T) {
			is := is.New(t)
			var mutex sync.Mutex
			late := map[net.Conn]string{}
			server := newRequestServer(t, func(conn net.Conn, _ int, request *http.Request) bool {
				response := okResponse(request.Header.Get("X-Id"), "ok")
				if request.Method == http.MethodHead {
					response = strings.TrimSuffix(response, "ok")
				}
				mutex.Lock()
				defer mutex.Unlock()
				write(conn, late[conn]+response)
				late[conn] = response
				return true
			})
			pool := newPool(t)
			for index, method := range methods {
				id := fmt.Sprint("request-", index)
				response, err := pool.Do(t.Context(), spec.Server{ID: "s", Address: server.address}, &Request{
					Method: method, Target: "/x", Host: "h", Header: http.Header{"X-Id": {id}},
					ID: id, ResponseID: func(_ int, header http.Header) string { return header.Get("X-Id") },
				})
				is.NoErr(err)
				body, err := io.ReadAll(response)
				is.NoErr(err)
				is.Equal(string(body) == "ok", method == http.MethodPost)
				response.Close()
			}
		})
	}
}
