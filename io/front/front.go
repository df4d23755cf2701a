// Package front serves callers over HTTP/1.1.
//
// It reads requests strictly, whole, and one at a time per connection, and tells the handler at once when the caller
// has gone. The bounds on callers may change while connections are open, which net/http's server does not allow.
package front

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"lentilproxy/core/spec"
)

const (
	// readBuffer is the first size of a connection's buffer; it grows to the greatest head.
	readBuffer = 4 << 10
	// writeTimeout is how long a caller that does not read may block the answer.
	writeTimeout = 10 * time.Second
	// bodyTimeout bounds the time to read a body.
	bodyTimeout = 20 * time.Second
	// keepAliveIdle, keepAliveInterval and keepAliveCount find connections that fell silent.
	keepAliveIdle     = 5 * time.Second
	keepAliveInterval = 2 * time.Second
	keepAliveCount    = 3
)

// DefaultLimits bound callers until a configuration is known.
var DefaultLimits = spec.Limits{HeaderBytes: 16 << 10, BodyBytes: 4 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}

// Handler serves one request. It has to answer or abort it.
type Handler func(ctx context.Context, exchange *Exchange)

// Server serves callers on one listener.
type Server struct {
	listener net.Listener
	handler  Handler
	limits   func() spec.Limits
	// draining connections are closed after their next answer.
	draining atomic.Bool
	mutex    sync.Mutex
	conns    map[*conn]struct{}
	closed   bool
	active   atomic.Int64
	done     chan struct{}
}

// New serves a listener. The limits are asked for at every request.
func New(listener net.Listener, limits func() spec.Limits, handler Handler) *Server {
	server := &Server{listener: listener, handler: handler, limits: limits, conns: map[*conn]struct{}{}, done: make(chan struct{})}
	go func() {
		defer close(server.done)
		for {
			raw, err := listener.Accept()
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err != nil {
				// Out of descriptors: connections in service have to end first.
				time.Sleep(acceptRetry)
				continue
			}
			server.open(raw)
		}
	}()
	return server
}

// acceptRetry is the wait after a connection could not be accepted.
const acceptRetry = 20 * time.Millisecond

func (server *Server) open(raw net.Conn) {
	if tcp, isTCP := raw.(*net.TCPConn); isTCP {
		_ = tcp.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount})
	}
	opened := &conn{server: server, raw: raw, reader: bufio.NewReaderSize(raw, readBuffer)}
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if server.closed {
		_ = raw.Close()
		return
	}
	server.conns[opened] = struct{}{}
	go func() {
		opened.serve()
		server.mutex.Lock()
		defer server.mutex.Unlock()
		delete(server.conns, opened)
	}()
}

// Done is closed once no more connections are accepted.
func (server *Server) Done() <-chan struct{} { return server.done }

// Active returns the number of requests in service.
func (server *Server) Active() int64 { return server.active.Load() }

// Drain makes every further answer the last one of its connection.
func (server *Server) Drain() { server.draining.Store(true) }

// StopAccepting ends the listener and the connections on which no request is under way.
func (server *Server) StopAccepting() {
	server.Drain()
	_ = server.listener.Close()
	<-server.done
	server.mutex.Lock()
	defer server.mutex.Unlock()
	for open := range server.conns {
		open.closeIdle()
	}
}

// Close ends all connections.
func (server *Server) Close() {
	server.StopAccepting()
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.closed = true
	for open := range server.conns {
		_ = open.raw.Close()
	}
}
