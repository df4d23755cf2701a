package hold

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"lentilproxy/core/budget"

	"github.com/matryer/is"
)

// A buffer that grew with the announced size let callers hold memory without sending anything, and bytes beyond the limit must not be
// read at all.
func TestBuffersGrowWithWhatArrives(t *testing.T) {
	for name, test := range map[string]struct {
		size, announced, limit int64
		read                   int64
		capacity               int
	}{
		"nothing arrived":     {0, 1 << 20, 1 << 20, 0, 1 << 10},
		"a part arrived":      {100 << 10, 1 << 20, 1 << 20, 100 << 10, 256 << 10},
		"all arrived":         {100 << 10, 100 << 10, 1 << 20, 100 << 10, 112 << 10},
		"not announced":       {100 << 10, -1, 1 << 20, 100 << 10, 256 << 10},
		"more than the limit": {200 << 10, -1, 100 << 10, 100<<10 + 1, 112 << 10},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			pool := New(1_000_000_000, 1000)
			defer pool.Close()
			share := pool.Open(budget.Bodies, true, func() {})
			content, err := share.ReadAll(strings.NewReader(strings.Repeat("a", int(test.size))), test.announced, test.limit, 1)
			is.NoErr(err)
			is.Equal(int64(len(content)), test.read)
			is.True(cap(content) <= test.capacity)
			is.True(pool.Used() <= int64(test.capacity))
			share.Close()
			is.Equal(pool.Used(), int64(0))
		})
	}
}

// A body that finds no memory is refused, and one that loses its place while it is read is not passed on.
func TestBodiesWithoutRoom(t *testing.T) {
	is := is.New(t)
	pool := New(1, 1000)
	defer pool.Close()
	total := budget.Bytes(1)
	large := pool.Open(budget.Bodies, true, func() {})
	is.True(large.Grow(total, 0))
	small := pool.Open(budget.Bodies, true, func() {})
	_, err := small.ReadAll(strings.NewReader(strings.Repeat("a", 100<<10)), -1, 1<<20, 1)
	is.True(errors.Is(err, ErrNoRoom))
	large.Expose()
	is.True(!small.Grow(1, pollInterval))
	is.True(!large.Pin())
	large.Close()
	content, err := small.ReadAll(iotest.HalfReader(bytes.NewReader(make([]byte, 100<<10))), -1, 1<<20, 1)
	is.NoErr(err)
	is.Equal(len(content), 100<<10)
}

// The HTTP server must not get more connections than the limit, and a connection that waits must give way.
func TestListenerBoundsConnections(t *testing.T) {
	is := is.New(t)
	pool := New(1, 0)
	defer pool.Close()
	limit := budget.Connections(1, 0)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), ReadHeaderTimeout: time.Minute}
	Configure(server)
	go func() { _ = server.Serve(pool.Listen(listener)) }()
	defer func() { _ = server.Close() }()
	var conns []net.Conn
	for range 2 * limit {
		conn, err := net.Dial("tcp", listener.Addr().String())
		is.NoErr(err)
		defer func() { _ = conn.Close() }()
		conns = append(conns, conn)
	}
	_ = conns[len(conns)-1].SetReadDeadline(time.Now().Add(5 * time.Second))
	_, err = conns[len(conns)-1].Read(make([]byte, 1))
	is.True(errors.Is(err, io.EOF)) // closed, as all others have just been opened
	answered := false
	for deadline := time.Now().Add(10 * time.Second); !answered && time.Now().Before(deadline); time.Sleep(pollInterval) {
		response, err := http.Get("http://" + listener.Addr().String())
		if answered = err == nil; answered {
			_ = response.Body.Close()
		}
	}
	is.True(answered)
}
