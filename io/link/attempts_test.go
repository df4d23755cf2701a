package link

import (
	"context"
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

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// copyServer is a server that rejects some requests, and sends copies of some responses again, right before the next response
// on their connections. The requests say what happens to them.
type copyServer struct {
	*fakeServer
	mutex sync.Mutex
	// late holds the copies that are still to be sent on a connection.
	late map[net.Conn]string
}

// Headers by which a request tells a copyServer how to respond.
const (
	headerNumber = "X-Number"
	headerStatus = "X-Status"
	headerCopies = "X-Copies"
)

// maxUnopened is the number of attempts of which one may fail because its connection is not opened in time.
const maxUnopened = 1000

func newCopyServer(t *testing.T) *copyServer {
	t.Helper()
	server := &copyServer{late: map[net.Conn]string{}}
	server.fakeServer = newRequestServer(t, func(conn net.Conn, _ int, request *http.Request) bool {
		response := fmt.Sprintf("HTTP/1.1 %s x\r\nX-Id: %s\r\n%s: %s\r\nContent-Length: 2\r\n\r\nok",
			request.Header.Get(headerStatus), request.Header.Get("X-Id"), headerNumber, request.Header.Get(headerNumber))
		copies, _ := strconv.Atoi(request.Header.Get(headerCopies))
		server.mutex.Lock()
		defer server.mutex.Unlock()
		write(conn, server.late[conn]+response)
		server.late[conn] = strings.Repeat(response, copies)
		return true
	})
	return server
}

// attempt sends a request with a number once.
func (server *copyServer) attempt(pool *Pool, attempts *Attempts, id string, number, status, copies int) (*Response, error) {
	return pool.Do(context.Background(), spec.Server{ID: "s", Address: server.address}, &Request{
		Method: http.MethodPost, Target: "/x", Host: "h", Attempts: attempts,
		Header: http.Header{
			"X-Id": {id}, headerNumber: {strconv.Itoa(number)}, headerStatus: {strconv.Itoa(status)}, headerCopies: {strconv.Itoa(copies)},
		},
		ID: id, ResponseID: func(_ int, header http.Header) string { return header.Get("X-Id") },
	})
}

// Guards against a late copy of the rejection of a request that is taken for the response to its next attempt: the order runs twice,
// or its caller is told that it has not run.
func TestLateCopyOfARejectionIsNotTheNextResponse(t *testing.T) {
	for name, limit := range map[string]int{"no limit": 0, "one connection": 1} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := newCopyServer(t)
			pool := newPool(t, WithLimit(func(string) int { return limit }))
			attempts := &Attempts{}
			for number, status := range []int{http.StatusServiceUnavailable, http.StatusServiceUnavailable, http.StatusOK} {
				response, err := server.attempt(pool, attempts, "order", number, status, 1)
				is.NoErr(err)
				is.Equal(response.Status(), status)
				response.Discard()
				response.Close()
			}
			is.Equal(server.requests.Load(), int64(3))
			is.Equal(server.conns.Load(), int64(3))
		})
	}
}

// Connections on which a request was rejected are used for other requests.
func TestConnectionOfARejectionIsKept(t *testing.T) {
	is := is.New(t)
	server := newCopyServer(t)
	pool := newPool(t)
	for number := range 5 {
		response, err := server.attempt(pool, &Attempts{}, fmt.Sprint(number), number, http.StatusServiceUnavailable, 0)
		is.NoErr(err)
		response.Discard()
		response.Close()
	}
	is.Equal(server.conns.Load(), int64(1))
}

// Guards against responses of other attempts, whatever requests are repeated, in whatever order, and whichever of their responses
// are copied. An attempt may fail; its response is never that to another one.
func TestResponsesBelongToTheirAttempts(t *testing.T) {
	server := newCopyServer(t)
	// attempted counts the attempts of all draws, and unopened those whose connections were not opened in time.
	attempted, unopened := 0, 0
	rapid.Check(t, func(check *rapid.T) {
		const requests = 4
		pool := New(WithLimit(func(string) int { return rapid.SampledFrom([]int{0, 3}).Draw(check, "limit") }))
		defer pool.Close()
		var attempts [requests]Attempts
		var open [requests]*Response
		finish := func(index int) {
			if open[index] != nil {
				_, _ = io.Copy(io.Discard, open[index])
				open[index].Close()
				open[index] = nil
			}
		}
		for number := range rapid.IntRange(1, 15).Draw(check, "steps") {
			index := rapid.IntRange(0, requests-1).Draw(check, "request")
			if open[index] != nil {
				finish(index)
				continue
			}
			status := rapid.SampledFrom([]int{http.StatusOK, http.StatusServiceUnavailable}).Draw(check, "status")
			copies := rapid.SampledFrom([]int{0, 0, 1, 2}).Draw(check, "copies")
			response, err := server.attempt(pool, &attempts[index], fmt.Sprint("request-", index), number, status, copies)
			attempted++
			var failure net.Error
			switch {
			case errors.Is(err, ErrBusy) || errors.Is(err, ErrBroken):
				continue
			case errors.Is(err, ErrNotSent) && errors.As(err, &failure) && failure.Timeout():
				// Thousands of connections to one port use ports again; the packet that opens one may have to be sent again.
				unopened++
				continue
			case err != nil:
				check.Fatal(err)
			}
			open[index] = response
			if got := response.Header().Get(headerNumber); got != strconv.Itoa(number) || response.Status() != status {
				check.Fatalf("attempt %d got the response to %s, status %d", number, got, response.Status())
			}
		}
		for index := range open {
			finish(index)
		}
	})
	if unopened > attempted/maxUnopened {
		t.Fatalf("%d of %d connections were not opened in time", unopened, attempted)
	}
}

// A connection that a request cannot use must not keep the request from the server.
func TestConnectionsOfEarlierAttemptsMakeRoom(t *testing.T) {
	is := is.New(t)
	server := newCopyServer(t)
	pool := newPool(t, WithLimit(func(string) int { return 2 }))
	attempts := &Attempts{}
	for number := range 6 {
		startedAt := time.Now()
		response, err := server.attempt(pool, attempts, "order", number, http.StatusServiceUnavailable, 0)
		is.NoErr(err)
		response.Discard()
		response.Close()
		is.True(time.Since(startedAt) < time.Second)
	}
	is.Equal(len(pool.idle), 1)
	is.True(pool.open[serverKey{incarnation: spec.Server{ID: "s"}.Incarnation(), address: server.address}] <= 2)
}
