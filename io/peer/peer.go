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
	// DialTimeout bounds the time to connect.
	DialTimeout = 500 * time.Millisecond
	// IdleTimeout is how long an unused connection is kept.
	IdleTimeout = 30 * time.Second
)

// Handler answers a call. The result is encoded as JSON.
type Handler func(ctx context.Context, method string, params json.RawMessage) (any, error)

// Server answers the calls of peers.
type Server struct {
	listener net.Listener
	done     chan struct{}
	mutex    sync.Mutex
	conns    map[net.Conn]struct{}
	closing  bool
	meter    *Meter
}

// NewServer serves calls on a listener until it is closed.
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
	if server.closing {
		_ = conn.Close()
		return
	}
	server.conns[conn] = struct{}{}
	rpc := open(conn, server.meter, jsonrpc2.AsyncHandler(jsonrpc2.HandlerWithError(
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

// Done is closed once no more connections are accepted.
func (server *Server) Done() <-chan struct{} { return server.done }

// Close ends the listener and all connections.
func (server *Server) Close() {
	_ = server.listener.Close()
	<-server.done
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.closing = true
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

func open(conn net.Conn, meter *Meter, handler jsonrpc2.Handler) *jsonrpc2.Conn {
	stream := jsonrpc2.NewPlainObjectStream(meter.wrap(conn))
	return jsonrpc2.NewConn(context.Background(), stream, handler, jsonrpc2.SetLogger(quiet))
}

// quiet drops the library's lines about connections that end.
var quiet = log.New(io.Discard, "", 0)

type link struct {
	ready   chan struct{}
	conn    *jsonrpc2.Conn
	err     error
	lastUse time.Time
}

// Pool keeps connections to peers.
type Pool struct {
	mutex  sync.Mutex
	links  map[string]*link
	meter  *Meter
	dialer *net.Dialer
	done   chan struct{}
	stop   chan struct{}
}

// PoolOption configures a pool.
type PoolOption func(*Pool)

// WithLocalIP makes the pool connect from the address that a listener is bound to, if it is bound to one, so that peers
// and networks can tell hosts apart.
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
		links: map[string]*link{}, meter: meter, dialer: &net.Dialer{Timeout: DialTimeout}, done: make(chan struct{}), stop: make(chan struct{}),
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

// Done is closed once the pool has ended.
func (pool *Pool) Done() <-chan struct{} { return pool.done }

// Close ends all connections.
func (pool *Pool) Close() {
	close(pool.stop)
	<-pool.done
	pool.closeIdle(time.Now().Add(2 * IdleTimeout))
}

func (pool *Pool) closeIdle(now time.Time) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	for address, known := range pool.links {
		if now.Sub(known.lastUse) < IdleTimeout {
			continue
		}
		delete(pool.links, address)
		if known.conn != nil {
			_ = known.conn.Close()
		}
	}
}

// Call calls a method of the peer at IP:port and decodes its result.
func (pool *Pool) Call(ctx context.Context, address, method string, params, result any) error {
	failure := oops.Code("peer_unavailable").With("method", method)
	known, err := pool.link(ctx, address)
	if err != nil {
		return failure.Wrap(err)
	}
	err = known.conn.Call(ctx, method, params, result)
	if err == nil {
		return nil
	}
	select {
	case <-known.conn.DisconnectNotify():
		pool.drop(address, known)
	default:
		if ctx.Err() != nil {
			// A peer that does not answer in time may be behind a cut connection.
			pool.drop(address, known)
		}
	}
	return failure.Wrap(err)
}

func (pool *Pool) link(ctx context.Context, address string) (*link, error) {
	pool.mutex.Lock()
	known := pool.links[address]
	if known == nil {
		known = &link{ready: make(chan struct{})}
		pool.links[address] = known
		go pool.dial(address, known)
	}
	known.lastUse = time.Now()
	pool.mutex.Unlock()
	select {
	case <-known.ready:
		return known, known.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (pool *Pool) dial(address string, known *link) {
	defer close(known.ready)
	conn, err := pool.dialer.Dial("tcp", address)
	if err != nil {
		known.err = err
		pool.drop(address, known)
		return
	}
	known.conn = open(conn, pool.meter, refuse{})
}

func (pool *Pool) drop(address string, known *link) {
	pool.mutex.Lock()
	if pool.links[address] == known {
		delete(pool.links, address)
	}
	pool.mutex.Unlock()
	if known.conn != nil {
		_ = known.conn.Close()
	}
}

// refuse answers calls that arrive on an outgoing connection, which the protocol does not use.
type refuse struct{}

// Handle implements jsonrpc2.Handler.
func (refuse) Handle(ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request) {
	if request.Notif {
		return
	}
	_ = conn.ReplyWithError(ctx, request.ID, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "no calls on this connection"})
}
