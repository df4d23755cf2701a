// Package front serves callers over HTTP/1.1.
//
// It rejects ambiguous requests, reads each request completely before it calls the handler, unless its head is enough to refuse it,
// and handles one request at a time per connection. The context of the handler is cancelled as soon as the caller disconnects. The limits may
// change while connections are open, which the server of net/http does not allow.
package front

import (
	"bufio"
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"lentilproxy/core/spec"
	"lentilproxy/io/hold"

	"golang.org/x/sys/unix"
)

const (
	// readBufferBytes is the initial size of a connection's read buffer, which grows to hold the largest head.
	readBufferBytes = 4 << 10
	// writeTimeout bounds the time for which a caller that does not read may block a write of the response.
	writeTimeout = 10 * time.Second
	// bodyTimeout bounds the time to read the body of a request.
	bodyTimeout = 20 * time.Second
	// keepAliveIdle, keepAliveInterval and keepAliveCount configure the detection of dead connections.
	keepAliveIdle     = 5 * time.Second
	keepAliveInterval = 2 * time.Second
	keepAliveCount    = 3
)

// DefaultLimits apply until a configuration is available.
var DefaultLimits = spec.Limits{HeaderBytes: 16 << 10, BodyBytes: 4 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}

// Check looks at a request whose body has not been read. It reports whether the request may be served as far as its head tells, and
// whether its caller is known, that is, has presented a valid key.
type Check func(exchange *Exchange) (accepted, known bool)

// Handler handles one request. If it returns without a complete response, the connection is closed.
type Handler func(ctx context.Context, exchange *Exchange)

// Server serves the connections of one listener.
type Server struct {
	listener net.Listener
	handler  Handler
	limits   func() spec.Limits
	check    Check
	// pool bounds what connections hold, or is nil.
	pool *hold.Pool
	// draining is set if connections are to be closed after their next response, and stopped once no further ones are
	// accepted.
	draining atomic.Bool
	stopped  atomic.Bool
	// acceptUntil is the time in nanoseconds until which a server that stops accepts connections that wait.
	acceptUntil atomic.Int64
	mutex       sync.Mutex
	conns       map[*conn]struct{}
	active      atomic.Int64
	done        chan struct{}
}

// Option configures a server.
type Option func(*Server)

// WithPool bounds what all connections hold together.
func WithPool(pool *hold.Pool) Option { return func(server *Server) { server.pool = pool } }

// WithCheck sets a function that is called before the body of a request is read, unless it has arrived already. The body of a
// request that is not accepted is not read; the handler has to refuse the request.
func WithCheck(check Check) Option { return func(server *Server) { server.check = check } }

// New starts to serve a listener. The function limits is called for every request.
func New(listener net.Listener, limits func() spec.Limits, handler Handler, options ...Option) *Server {
	server := &Server{
		listener: listener, handler: handler, limits: limits, conns: map[*conn]struct{}{}, done: make(chan struct{}),
		check: func(*Exchange) (accepted, known bool) { return true, true },
	}
	for _, option := range options {
		option(server)
	}
	go func() {
		defer close(server.done)
		for {
			raw, err := listener.Accept()
			if errors.Is(err, os.ErrDeadlineExceeded) && time.Now().UnixNano() < server.acceptUntil.Load() && hasPending(listener) {
				setAcceptDeadline(listener)
				continue
			}
			if errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) {
				return
			}
			if err != nil {
				// The process may be out of file descriptors until other connections end.
				time.Sleep(acceptRetryDelay)
				continue
			}
			server.serveConn(raw)
		}
	}()
	return server
}

// setAcceptDeadline limits the time for which a listener accepts connections. It returns false if it cannot be limited.
func setAcceptDeadline(listener net.Listener) bool {
	limited, hasDeadline := listener.(interface{ SetDeadline(at time.Time) error })
	return hasDeadline && limited.SetDeadline(time.Now().Add(acceptLinger)) == nil
}

// hasPending reports whether connections wait in the queue of a listener. A process that was paused may find its deadline
// over and the queue full.
func hasPending(listener net.Listener) bool {
	socket, isSocket := listener.(syscall.Conn)
	if !isSocket {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	pending := false
	err = raw.Control(func(descriptor uintptr) {
		count, pollErr := unix.Poll([]unix.PollFd{{Fd: int32(descriptor), Events: unix.POLLIN}}, 0)
		pending = pollErr == nil && count > 0
	})
	return err == nil && pending
}

const (
	// acceptLinger is how long connections are still accepted once the server stops.
	acceptLinger = 20 * time.Millisecond
	// maxAcceptTime bounds the time for which a server that stops accepts connections from its listener's queue.
	maxAcceptTime = time.Second
	// stopLinger is how long a new connection may take to send its first request once the server has stopped to accept.
	stopLinger = 500 * time.Millisecond
)

// acceptRetryDelay is the delay before the next attempt to accept a connection after a failed one.
const acceptRetryDelay = 20 * time.Millisecond

// serveConn starts to serve a new connection.
func (server *Server) serveConn(raw net.Conn) {
	if tcp, isTCP := raw.(*net.TCPConn); isTCP {
		_ = tcp.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount})
	}
	conn := &conn{server: server, raw: raw, reader: bufio.NewReaderSize(raw, readBufferBytes)}
	counted, allowed := server.pool.OpenConn(raw.RemoteAddr(), func() { _ = raw.Close() })
	if !allowed {
		_ = raw.Close()
		return
	}
	conn.counted = counted
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.conns[conn] = struct{}{}
	go func() {
		conn.serve()
		counted.Close()
		server.mutex.Lock()
		defer server.mutex.Unlock()
		delete(server.conns, conn)
	}()
}

// Done returns a channel that is closed once no more connections are accepted.
func (server *Server) Done() <-chan struct{} { return server.done }

// Active returns the number of requests that are being handled.
func (server *Server) Active() int64 { return server.active.Load() }

// Drain makes the server close each connection after its next response.
func (server *Server) Drain() { server.draining.Store(true) }

// Open returns the number of open connections.
func (server *Server) Open() int {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return len(server.conns)
}

// StopAccepting drains the server, and closes the listener and the idle connections. Connections that wait in the
// listener's queue are accepted first.
func (server *Server) StopAccepting() {
	server.Drain()
	server.stopped.Store(true)
	server.acceptUntil.Store(time.Now().Add(maxAcceptTime).UnixNano())
	if setAcceptDeadline(server.listener) {
		<-server.done
	}
	_ = server.listener.Close()
	<-server.done
	server.mutex.Lock()
	defer server.mutex.Unlock()
	for conn := range server.conns {
		conn.closeIdle()
	}
}

// Close closes the listener and all connections.
func (server *Server) Close() {
	server.StopAccepting()
	server.mutex.Lock()
	defer server.mutex.Unlock()
	for conn := range server.conns {
		_ = conn.raw.Close()
	}
}
