package link

import (
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against bytes of a server that belong to no request and leave no trace: a caller who got a wrong response could not be told
// from one whose server has sent a copy that was discarded.
func TestSurplusIsReported(t *testing.T) {
	other := okResponse("other", "bad")
	for name, test := range map[string]struct {
		first, second string
		expected      []Surplus
	}{
		"nothing":                           {okResponse("a", "ok"), okResponse("b", "ok"), nil},
		"copy before the next response":     {okResponse("a", "ok"), okResponse("a", "ok") + okResponse("b", "ok"), []Surplus{SurplusResponse}},
		"two copies before the response":    {okResponse("a", "ok"), okResponse("a", "ok") + other + okResponse("b", "ok"), []Surplus{SurplusResponse, SurplusResponse}},
		"copy at once":                      {okResponse("a", "ok") + okResponse("a", "ok"), okResponse("b", "ok"), []Surplus{SurplusAfterResponse}},
		"part of a copy at once":            {okResponse("a", "ok") + "HTTP/1.1 2", okResponse("b", "ok"), []Surplus{SurplusAfterResponse}},
		"bytes after the last response":     {okResponse("a", "ok"), okResponse("b", "ok") + "x", []Surplus{SurplusAfterResponse}},
		"within a body":                     {okResponse("a", "ok"), "HTTP/1.1 200 OK\r\nX-Id: b\r\n\r\nok" + other, []Surplus{SurplusInBody}},
		"copy at once, and before the next": {other + okResponse("a", "ok") + "x", okResponse("b", "ok"), []Surplus{SurplusResponse, SurplusAfterResponse}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := newFakeServer(t, func(conn net.Conn, _ int, id string) bool {
				write(conn, map[string]string{"a": test.first, "b": test.second}[id])
				return id == "a"
			})
			var reported []Surplus
			pool := New(WithOnSurplus(func(server string, surplus Surplus, response *http.Response) {
				is.Equal(server, "s")
				is.Equal(response != nil, surplus != SurplusAfterResponse)
				reported = append(reported, surplus)
			}))
			for _, id := range []string{"a", "b"} {
				body, _, err := send(pool, server, id)
				is.Equal(err != nil, slices.Contains(reported, SurplusInBody))
				is.Equal(body, "ok")
				time.Sleep(5 * time.Millisecond)
			}
			pool.sweep(time.Now())
			pool.Close()
			is.Equal(reported, test.expected)
		})
	}
}
