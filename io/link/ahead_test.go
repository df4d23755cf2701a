package link

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
	"github.com/matryer/is"
)

// keepOpen reads until the connection ends.
func keepOpen(_ *fakeServer, conn net.Conn) {
	_, _ = io.Copy(io.Discard, conn)
	_ = conn.Close()
}

func newAhead(t *testing.T) *Ahead {
	t.Helper()
	ahead := NewAhead(Dialer(), logr.Discard())
	t.Cleanup(ahead.Close)
	return ahead
}

func dial(t *testing.T, ahead *Ahead, address string) net.Conn {
	t.Helper()
	conn, err := ahead.DialContext(t.Context(), "tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// opened reports whether a connection to an address was opened ahead within a second.
func (ahead *Ahead) opened(address string) bool {
	for range 200 {
		ahead.mutex.Lock()
		entry := ahead.spares[address]
		found := entry != nil && entry.conn != nil
		ahead.mutex.Unlock()
		if found {
			return true
		}
		time.Sleep(5 * time.Millisecond)
	}
	return false
}

// spare returns the connection that was opened ahead, or nil.
func (ahead *Ahead) spare(address string) net.Conn {
	ahead.mutex.Lock()
	defer ahead.mutex.Unlock()
	if entry := ahead.spares[address]; entry != nil {
		return entry.conn
	}
	return nil
}

// Guards against orders that wait for their connections, which delays each load of an adapter by two round trips.
func TestConnectionsAreOpenedAhead(t *testing.T) {
	is := is.New(t)
	server := newConnServer(t, keepOpen)
	address := server.address
	ahead := newAhead(t)
	dial(t, ahead, address)
	time.Sleep(50 * time.Millisecond)
	is.Equal(server.conns.Load(), int64(1)) // nothing shows yet that others follow
	dial(t, ahead, address)
	for range 5 {
		is.True(ahead.opened(address))
		next := ahead.spare(address)
		is.Equal(dial(t, ahead, address), next)
	}
	is.True(ahead.opened(address))
	is.Equal(server.conns.Load(), int64(8))
	is.Equal(ahead.spare("127.0.0.1:1"), nil) // other addresses have their own
}

// Each exchange has a connection of its own, also if many begin at once.
func TestConnectionsOpenedAheadCarryOneExchange(t *testing.T) {
	is := is.New(t)
	server := newRequestServer(t, func(conn net.Conn, _ int, _ *http.Request) bool {
		write(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		return true
	})
	ahead := newAhead(t)
	client := &http.Client{Transport: &http.Transport{DialContext: ahead.DialContext, DisableKeepAlives: true}}
	const callers, exchanges = 4, 25
	failures := make(chan error, callers)
	for range callers {
		go func() {
			for range exchanges {
				response, err := client.Post("http://"+server.address, "text/plain", strings.NewReader("body"))
				if err != nil {
					failures <- err
					return
				}
				_ = response.Body.Close()
			}
			failures <- nil
		}()
	}
	for range callers {
		is.NoErr(<-failures)
	}
	is.Equal(server.requests.Load(), int64(callers*exchanges))
	is.True(server.conns.Load() >= callers*exchanges)
}

// What is opened ahead is not used once the server has closed it or sent anything, or once it is old.
func TestConnectionsOpenedAheadThatCannotBeUsed(t *testing.T) {
	for name, test := range map[string]struct {
		serve   func(server *fakeServer, conn net.Conn)
		prepare func(ahead *Ahead, address string)
	}{
		"closed by the server": {func(_ *fakeServer, conn net.Conn) { _ = conn.Close() }, nil},
		"with unasked bytes": {func(server *fakeServer, conn net.Conn) {
			write(conn, "HTTP/1.1 200 OK\r\n\r\n")
			keepOpen(server, conn)
		}, nil},
		"old, after a suspension of the host": {keepOpen, func(ahead *Ahead, address string) {
			ahead.mutex.Lock()
			defer ahead.mutex.Unlock()
			ahead.spares[address].openedAt = ahead.spares[address].openedAt.Add(-aheadTime)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address := newConnServer(t, test.serve).address
			ahead := newAhead(t)
			dial(t, ahead, address)
			dial(t, ahead, address)
			is.True(ahead.opened(address))
			time.Sleep(50 * time.Millisecond)
			if test.prepare != nil {
				test.prepare(ahead, address)
			}
			unusable := ahead.spare(address)
			is.True(dial(t, ahead, address) != unusable)
			_, err := unusable.Write(nil)
			is.True(err != nil) // closed
		})
	}
}

func TestConnectionsOpenedAheadAreClosed(t *testing.T) {
	for name, end := range map[string]func(ahead *Ahead){
		"after their time": func(*Ahead) { time.Sleep(aheadTime + 100*time.Millisecond) },
		"at the end":       func(ahead *Ahead) { ahead.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address := newConnServer(t, keepOpen).address
			ahead := newAhead(t)
			first, second := dial(t, ahead, address), dial(t, ahead, address)
			is.True(ahead.opened(address))
			spare := ahead.spare(address)
			end(ahead)
			is.Equal(ahead.spare(address), nil)
			_, err := spare.Write(nil)
			is.True(err != nil) // closed
			for _, used := range []net.Conn{first, second} {
				_, err = used.Write([]byte("x"))
				is.NoErr(err) // those in use stay open
			}
		})
	}
}

// A connection that is opened only after its time is closed.
func TestConnectionOpenedTooLateIsClosed(t *testing.T) {
	is := is.New(t)
	address := newConnServer(t, keepOpen).address
	ahead := newAhead(t)
	outdated := &spare{opening: true}
	ahead.open("tcp", address, outdated)
	is.Equal(outdated.conn, nil)
	is.Equal(ahead.spare(address), nil)
}

// A server that accepts no connection ahead is tried again by the next exchange.
func TestConnectionsThatCannotBeOpenedAhead(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := listener.Addr().String()
	logged := make(chan string, 1)
	ahead := NewAhead(Dialer(), funcr.New(func(_, args string) { logged <- args }, funcr.Options{}))
	defer ahead.Close()
	dial(t, ahead, address)
	is.NoErr(listener.Close())
	_, err = ahead.DialContext(t.Context(), "tcp", address)
	is.True(err != nil)
	is.True(strings.Contains(<-logged, "connection not opened ahead"))
	listener, err = net.Listen("tcp", address)
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	for tries := 0; ahead.spare(address) == nil && tries < 100; tries++ {
		dial(t, ahead, address)
		time.Sleep(10 * time.Millisecond)
	}
	is.True(ahead.spare(address) != nil)
}
