package hold

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"lentilproxy/core/budget"
)

const (
	// headCopies is how often the head of a request is held: as it was read, and in the fields of the request.
	headCopies = 2
	// headPatience is how long a head waits for memory before its connection is closed.
	headPatience = 300 * time.Millisecond
)

// Listen returns a listener whose connections are counted. It closes those that are too many. Configure connects it to the HTTP
// server that uses it.
func (pool *Pool) Listen(listener net.Listener) net.Listener {
	return &countingListener{Listener: listener, pool: pool}
}

type countingListener struct {
	net.Listener
	pool *Pool
}

// Accept implements net.Listener.
func (countingListener *countingListener) Accept() (net.Conn, error) {
	for {
		raw, err := countingListener.Listener.Accept()
		if err != nil {
			return nil, err
		}
		counted, allowed := countingListener.pool.OpenConn(raw.RemoteAddr(), func() { _ = raw.Close() })
		if allowed {
			return &countedConn{Conn: raw, counted: counted, head: countingListener.pool.Open(budget.Heads, false, func() {}), inHead: true}, nil
		}
		_ = raw.Close()
	}
}

// countedConn is a counted connection of an HTTP server.
type countedConn struct {
	net.Conn
	counted *Conn
	mutex   sync.Mutex
	closed  bool
	// head is what a long head holds. inHead is set while no handler has been called for what arrives, headBytes of which have.
	head      *Share
	inHead    bool
	headBytes int64
}

// Read implements net.Conn. It fails if there is no memory for a long head.
func (countedConn *countedConn) Read(buffer []byte) (int, error) {
	count, err := countedConn.Conn.Read(buffer)
	countedConn.mutex.Lock()
	defer countedConn.mutex.Unlock()
	if !countedConn.inHead || countedConn.closed {
		return count, err
	}
	countedConn.headBytes += int64(count)
	if countedConn.headBytes > freeBytes && !countedConn.head.Grow(headCopies*int64(count), headPatience) {
		return 0, ErrNoRoom
	}
	return count, err
}

// Close implements net.Conn.
func (countedConn *countedConn) Close() error {
	err := countedConn.Conn.Close()
	countedConn.mutex.Lock()
	defer countedConn.mutex.Unlock()
	if !countedConn.closed {
		countedConn.closed = true
		countedConn.head.Close()
		countedConn.counted.Close()
	}
	return err
}

// setInHead notes whether what arrives belongs to a head.
func (countedConn *countedConn) setInHead(inHead bool) {
	countedConn.mutex.Lock()
	defer countedConn.mutex.Unlock()
	countedConn.inHead, countedConn.headBytes = inHead, 0
	if inHead {
		countedConn.head.Close()
	}
}

// CloseWrite lets the HTTP server end its responses before it closes the connection.
func (countedConn *countedConn) CloseWrite() error {
	if half, canClose := countedConn.Conn.(interface{ CloseWrite() error }); canClose {
		return half.CloseWrite()
	}
	return nil
}

// connKey is the key of the connection in the context of its requests.
type connKey struct{}

// Configure makes an HTTP server note what the connections of Listen are doing, as far as the server knows.
func Configure(server *http.Server) {
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, conn)
	}
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		counted, isCounted := conn.(*countedConn)
		if !isCounted {
			return
		}
		switch state {
		case http.StateActive:
			counted.counted.Set(budget.Reading)
		case http.StateIdle:
			counted.setInHead(true)
			counted.counted.Set(budget.Idle)
		default:
		}
	}
}

// EndHead notes that the head of a request has been read. The context is that of the request.
func EndHead(ctx context.Context) {
	if conn, isCounted := ctx.Value(connKey{}).(*countedConn); isCounted {
		conn.setInHead(false)
	}
}

// SetState changes the state of the connection of a request, whose context is given. It returns false if the connection has been
// closed for another one; the request must not be passed on then.
func SetState(ctx context.Context, state budget.State) bool {
	conn, isCounted := ctx.Value(connKey{}).(*countedConn)
	return !isCounted || conn.counted.Set(state)
}

// CloseConn closes the connection of a request, whose context is given.
func CloseConn(ctx context.Context) {
	if conn, isCounted := ctx.Value(connKey{}).(*countedConn); isCounted {
		_ = conn.Conn.Close()
	}
}
