package link

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a body that was broken off and is filled up by a late copy of the response to an earlier request of the connection, whole
// or in two parts.
func TestCopiesOfEarlierResponsesDoNotFillBodies(t *testing.T) {
	const size = 400
	content := func(id string) string { return id + strings.Repeat("x", size-len(id)) }
	head := func(id string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Signature: s\r\nX-Id: %s\r\nContent-Length: %d\r\n\r\n", id, size)
	}
	for _, earlier := range []int{1, 2, 7} {
		for _, sent := range []int{100, 390} {
			for _, pause := range []time.Duration{0, 100 * time.Millisecond} {
				t.Run(fmt.Sprintf("%d before, after %d bytes, in parts %v apart", earlier, sent, pause), func(t *testing.T) {
					is := is.New(t)
					var ids []string
					server := newFakeServer(t, func(conn net.Conn, _ int, id string) bool {
						ids = append(ids, id)
						if len(ids) <= 8 {
							write(conn, head(id)+content(id))
							return true
						}
						write(conn, head(id)+content(id)[:sent])
						time.Sleep(10 * time.Millisecond)
						second := head(ids[8-earlier]) + content(ids[8-earlier])
						write(conn, second[:size-sent+5])
						time.Sleep(pause)
						write(conn, second[size-sent+5:])
						time.Sleep(100 * time.Millisecond)
						return false
					})
					pool := newPool(t)
					for number := range 8 {
						body, _, err := send(pool, server, fmt.Sprint("id-", number))
						is.NoErr(err)
						is.Equal(len(body), size)
					}
					body, _, err := send(pool, server, "id-8")
					is.True(err != nil)
					is.Equal(body, content("id-8")[:sent])
				})
			}
		}
	}
}

// Guards against a body that was broken off and is filled up by the response to a request that another connection has carried: a server may
// take a new connection from the same port for the earlier one.
func TestResponsesOfOtherConnectionsDoNotFillBodies(t *testing.T) {
	const size = 400
	is := is.New(t)
	content := func(id string) string { return id + strings.Repeat("x", size-len(id)) }
	head := func(id, more string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Signature: s\r\nX-Id: %s\r\n%sContent-Length: %d\r\n\r\n", id, more, size)
	}
	server := newFakeServer(t, func(conn net.Conn, _ int, id string) bool {
		if id == "id-0" {
			write(conn, head(id, "Connection: close\r\n")+content(id))
			return false
		}
		write(conn, head(id, "")+content(id)[:size/2])
		time.Sleep(10 * time.Millisecond)
		write(conn, head("id-0", "")+content("id-0"))
		time.Sleep(100 * time.Millisecond)
		return false
	})
	pool := newPool(t)
	body, _, err := send(pool, server, "id-0")
	is.NoErr(err)
	is.Equal(body, content("id-0"))
	body, _, err = send(pool, server, "id-1")
	is.True(err != nil)
	is.Equal(body, content("id-1")[:size/2])
}

// Guards against a memory of requests that grows without a bound, or forgets the last ones.
func TestSentRequestsAreBounded(t *testing.T) {
	is := is.New(t)
	var sent sentRequests
	for number := range maxSent + 10 {
		sent.add(fmt.Sprint(number))
	}
	is.Equal(len(sent.hashes), maxSent)
	is.True(!sent.has("9"))
	is.True(sent.has("10"))
	is.True(sent.has(fmt.Sprint(maxSent + 9)))
}
