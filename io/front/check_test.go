package front

import (
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"lentilproxy/core/spec"
	"lentilproxy/io/hold"

	"github.com/matryer/is"
)

// A body was buffered before the route and the key of its request were checked: a caller without a key could make the host hold it.
func TestBodyOfRefusedRequestIsNotRead(t *testing.T) {
	for name, test := range map[string]struct {
		request string
		unread  bool
	}{
		"announced":  {"POST /refused/ HTTP/1.1\r\nHost: a\r\nContent-Length: 50000\r\n\r\nabc", true},
		"chunked":    {"POST /refused/ HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n", true},
		"expected":   {"POST /refused/ HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nExpect: 100-continue\r\n\r\n", true},
		"has come":   {"POST /refused/ HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc", false},
		"has no one": {"POST /refused/ HTTP/1.1\r\nHost: a\r\n\r\n", false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			unread := make(chan bool, 1)
			server := New(listener, func() spec.Limits { return testLimits }, func(_ context.Context, exchange *Exchange) {
				unread <- exchange.Unread()
				exchange.Respond(http.StatusForbidden, http.Header{}, nil)
			}, WithCheck(func(exchange *Exchange) (accepted, known bool) {
				return !strings.HasPrefix(exchange.Target(), "/refused/"), false
			}))
			defer server.Close()
			is.Equal(exchangeRaw(t, listener.Addr().String(), test.request), "HTTP/1.1 403 Forbidden")
			is.Equal(<-unread, test.unread)
		})
	}
}

// Bodies that stay one byte short held their memory until the body timeout, and others found none. They give way, and all memory is
// free again once their connections have ended.
func TestStalledBodiesGiveWay(t *testing.T) {
	is := is.New(t)
	const memory, bodyBytes = 1, 1_000_000
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	pool := hold.New(memory, 1000)
	defer pool.Close()
	limits := testLimits
	limits.BodyBytes = 2 * bodyBytes
	server := New(listener, func() spec.Limits { return limits }, (&recorder{}).handle, WithPool(pool))
	defer server.Close()
	request := "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1000000\r\n\r\n" + strings.Repeat("a", bodyBytes)
	for range 30 {
		conn, err := net.Dial("tcp", listener.Addr().String())
		is.NoErr(err)
		defer func() { _ = conn.Close() }()
		go func() { _, _ = conn.Write([]byte(request[:len(request)-1])) }()
	}
	is.True(awaitCondition(func() bool { return pool.Used() > 0 }))
	is.True(awaitCondition(func() bool { return exchangeRaw(t, listener.Addr().String(), request) == "HTTP/1.1 200 OK" }))
	server.Close()
	is.True(awaitCondition(func() bool { return pool.Used() == 0 }))
}

func awaitCondition(condition func() bool) bool {
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}
