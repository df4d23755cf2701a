// Package peer carries calls between daemons as JSON-RPC 2.0 over TCP.
package peer

import (
	"context"
	"encoding/json"
	"io"
	"log"
	"net"
	"sync"
	"time"

	"github.com/samber/oops"
	"github.com/sourcegraph/jsonrpc2"
)

const (
	// DialTimeout bounds the time to connect to a peer.
	DialTimeout = 500 * time.Millisecond
	// IdleTimeout is how long an idle connection is kept.
	IdleTimeout = 30 * time.Second
)

// Handler handles a call. Its result is encoded as JSON.
type Handler func(ctx context.Context, method string, params json.RawMessage) (any, error)

// Server serves the calls of peers.
type Server struct {
	listener net.Listener
	done     chan struct{}
	mutex    sync.Mutex
	conns    map[net.Conn]struct{}
	meter    *Meter
}

// NewServer starts to serve the calls on a listener until the server is closed.
func NewServer(listener net.Listener, meter *Meter, handler Handler) *Server {
	server := &Server{listener: listener, done: make(chan struct{}), conns: map[net.Conn]struct{}{}, meter: meter}
	go func() {
		defer close(server.done)
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			server.serve(conn, handler)
		}
	}()
	return server
}

func (server *Server) serve(conn net.Conn, handler Handler) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.conns[conn] = struct{}{}
	rpc := newConn(conn, server.meter, jsonrpc2.AsyncHandler(jsonrpc2.HandlerWithError(
		func(ctx context.Context, _ *jsonrpc2.Conn, request *jsonrpc2.Request) (any, error) {
			var params json.RawMessage
			if request.Params != nil {
				params = *request.Params
			}
			return handler(ctx, request.Method, params)
		},
	)))
	go func() {
		<-rpc.DisconnectNotify()
		server.mutex.Lock()
		defer server.mutex.Unlock()
		delete(server.conns, conn)
	}()
}

// Done returns a channel that is closed once no more connections are accepted.
func (server *Server) Done() <-chan struct{} { return server.done }

// Close closes the listener and all connections.
func (server *Server) Close() {
	_ = server.listener.Close()
	<-server.done
	server.mutex.Lock()
	defer server.mutex.Unlock()
	for conn := range server.conns {
		_ = conn.Close()
	}
}

// Decode decodes the parameters of a call.
func Decode[P any](params json.RawMessage) (P, error) {
	var decoded P
	if err := json.Unmarshal(params, &decoded); err != nil {
		return decoded, oops.Code("bad_params").Wrap(err)
	}
	return decoded, nil
}

func newConn(conn net.Conn, meter *Meter, handler jsonrpc2.Handler) *jsonrpc2.Conn {
	stream := jsonrpc2.NewPlainObjectStream(meter.wrap(conn))
	return jsonrpc2.NewConn(context.Background(), stream, handler, jsonrpc2.SetLogger(discardLogger))
}

// discardLogger discards the log lines of the jsonrpc2 library about connections that end.
var discardLogger = log.New(io.Discard, "", 0)

// poolEntry is the connection to one peer.
type poolEntry struct {
	// ready is closed once conn or err is set.
	ready   chan struct{}
	conn    *jsonrpc2.Conn
	err     error
	lastUse time.Time
	// active is the number of calls in progress.
	active int
}

// Pool keeps one connection to each peer.
type Pool struct {
	mutex   sync.Mutex
	entries map[string]*poolEntry
	meter   *Meter
	dialer  *net.Dialer
	done    chan struct{}
	stop    chan struct{}
}

// PoolOption configures a pool.
type PoolOption func(*Pool)

// WithLocalIP makes the pool connect from the IP address of a listener, unless it listens on all addresses, so that
// peers and networks can identify a host by its source address.
func WithLocalIP(listener net.Listener) PoolOption {
	return func(pool *Pool) {
		if address, isTCP := listener.Addr().(*net.TCPAddr); isTCP && !address.IP.IsUnspecified() {
			pool.dialer.LocalAddr = &net.TCPAddr{IP: address.IP}
		}
	}
}

// NewPool returns a pool without connections.
func NewPool(meter *Meter, options ...PoolOption) *Pool {
	pool := &Pool{
		entries: map[string]*poolEntry{}, meter: meter, dialer: &net.Dialer{Timeout: DialTimeout}, done: make(chan struct{}), stop: make(chan struct{}),
	}
	for _, option := range options {
		option(pool)
	}
	go func() {
		defer close(pool.done)
		ticker := time.NewTicker(IdleTimeout / 2)
		defer ticker.Stop()
		for {
			select {
			case now := <-ticker.C:
				pool.closeIdle(now)
			case <-pool.stop:
				return
			}
		}
	}()
	return pool
}

// Done returns a channel that is closed once the pool no longer checks for idle connections.
func (pool *Pool) Done() <-chan struct{} { return pool.done }

// Close closes all connections.
func (pool *Pool) Close() {
	close(pool.stop)
	<-pool.done
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	for address, entry := range pool.entries {
		pool.remove(address, entry)
	}
}

// remove removes the connection to a peer and closes it. The mutex must be held.
func (pool *Pool) remove(address string, entry *poolEntry) {
	if pool.entries[address] == entry {
		delete(pool.entries, address)
	}
	if entry.conn != nil {
		_ = entry.conn.Close()
	}
}

func (pool *Pool) closeIdle(now time.Time) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	for address, entry := range pool.entries {
		if entry.active > 0 || now.Sub(entry.lastUse) < IdleTimeout {
			continue
		}
		pool.remove(address, entry)
	}
}

// Call calls a method of the peer at an IP:port address and decodes its result.
func (pool *Pool) Call(ctx context.Context, address, method string, params, result any) error {
	failure := oops.Code("peer_unavailable").With("method", method)
	entry, err := pool.connect(ctx, address)
	defer pool.release(entry)
	if err != nil {
		return failure.Wrap(err)
	}
	err = entry.conn.Call(ctx, method, params, result)
	if err == nil {
		return nil
	}
	select {
	case <-entry.conn.DisconnectNotify():
		pool.drop(address, entry)
	default:
		if ctx.Err() != nil {
			// The peer has not responded in time. The connection may be broken without having been closed.
			pool.drop(address, entry)
		}
	}
	return failure.Wrap(err)
}

// release records the end of a call.
func (pool *Pool) release(entry *poolEntry) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	entry.active--
	entry.lastUse = time.Now()
}

// connect returns the connection to a peer once it is open. It starts to dial if there is none. The caller must release
// the entry, also after an error.
func (pool *Pool) connect(ctx context.Context, address string) (*poolEntry, error) {
	pool.mutex.Lock()
	entry := pool.entries[address]
	if entry == nil {
		entry = &poolEntry{ready: make(chan struct{})}
		pool.entries[address] = entry
		go pool.dial(address, entry)
	}
	entry.active++
	pool.mutex.Unlock()
	select {
	case <-entry.ready:
		return entry, entry.err
	case <-ctx.Done():
		return entry, ctx.Err()
	}
}

func (pool *Pool) dial(address string, entry *poolEntry) {
	defer close(entry.ready)
	conn, err := pool.dialer.Dial("tcp", address)
	if err != nil {
		entry.err = err
		pool.drop(address, entry)
		return
	}
	rpc := newConn(conn, pool.meter, rejectCalls{})
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	entry.conn = rpc
	if pool.entries[address] != entry {
		// The entry was removed in the meantime.
		entry.err = net.ErrClosed
		_ = rpc.Close()
	}
}

// drop closes a connection, so that the next call dials again.
func (pool *Pool) drop(address string, entry *poolEntry) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.remove(address, entry)
}

// rejectCalls rejects calls that arrive on an outgoing connection. A peer opens its own connection for its calls.
type rejectCalls struct{}

// Handle implements jsonrpc2.Handler.
func (rejectCalls) Handle(ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request) {
	if request.Notif {
		return
	}
	_ = conn.ReplyWithError(ctx, request.ID, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "no calls on this connection"})
}
