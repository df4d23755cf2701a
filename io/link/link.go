// Package link exchanges requests with backend servers over HTTP/1.1.
//
// It never sends a request twice by itself, tells whether a byte may have left, and passes no answer on that does not
// belong to its request.
package link

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"lentilproxy/core/spec"
	"lentilproxy/io/clock"

	"golang.org/x/sys/unix"
)

const (
	// dialTimeout bounds the time to connect: a server in the same region answers within some milliseconds, and the
	// first packet that was lost is sent again after a second.
	dialTimeout = 400 * time.Millisecond
	// defaultIdle is how long an unused connection is kept if the server does not say.
	defaultIdle = 4 * time.Second
	// idleMargin is how much earlier than the server a connection is given up, so that no request crosses its close.
	idleMargin = 700 * time.Millisecond
	// readBuffer is the size of a connection's buffer.
	readBuffer = 4 << 10
	// asideBytes is the size from which a body is written beside the reading of the answer, which may come first.
	asideBytes = 8 << 10
	// maxStrays bounds the answers to other requests that are skipped on one connection.
	maxStrays = 2
	// maxStrayBytes bounds the body of an answer that is skipped.
	maxStrayBytes = 64 << 10
	// keepAliveIdle, keepAliveInterval and keepAliveCount find connections that fell silent, within 4 s.
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// userTimeout bounds how long sent bytes may stay unacknowledged.
	userTimeout = 3 * time.Second
)

// Outcomes of an exchange without an answer.
var (
	// ErrNotSent means that no byte of the request has left.
	ErrNotSent = errors.New("the request was not sent")
	// ErrBroken means that the request may have run.
	ErrBroken = errors.New("the connection ended before the answer")
	// ErrBusy means that the host's part of the server's connections is in use.
	ErrBusy = errors.New("all connections to the server are in use")
)

// Request is a request for a backend server.
type Request struct {
	Method string
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Belongs says whether an answer is the one to this request.
	Belongs func(status int, header http.Header) bool
}

// address identifies one life of a server.
type address struct {
	life spec.Incarnation
	ip   string
}

type idleConn struct {
	conn  *conn
	since time.Time
}

// Pool keeps connections to backend servers.
type Pool struct {
	mutex sync.Mutex
	idle  map[address][]idleConn
	open  map[address]int
	// limit is the greatest number of connections to one server; 0 stands for none.
	limit  func(service string) int
	opened func()
	dialer *net.Dialer
	stop   chan struct{}
	done   chan struct{}
}

// Option configures a pool.
type Option func(*Pool)

// WithLimit bounds the connections to one server of a service.
func WithLimit(limit func(service string) int) Option {
	return func(pool *Pool) { pool.limit = limit }
}

// WithOpened sets what is called for each new connection.
func WithOpened(opened func()) Option { return func(pool *Pool) { pool.opened = opened } }

// New returns a pool without connections.
func New(options ...Option) *Pool {
	pool := &Pool{
		idle: map[address][]idleConn{}, open: map[address]int{}, limit: func(string) int { return 0 }, opened: func() {},
		dialer: Dialer(), stop: make(chan struct{}), done: make(chan struct{}),
	}
	for _, option := range options {
		option(pool)
	}
	go func() {
		defer close(pool.done)
		ticker := time.NewTicker(sweepInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				pool.sweep(clock.Now())
			case <-pool.stop:
				return
			}
		}
	}()
	return pool
}

// sweepInterval is the time between two looks for connections that have been idle for too long.
const sweepInterval = time.Second

// Dialer returns a dialer whose connections notice within seconds that the other side has fallen silent.
func Dialer() *net.Dialer {
	return &net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var failure error
			err := raw.Control(func(descriptor uintptr) {
				failure = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
			})
			return errors.Join(err, failure)
		},
	}
}

// Done is closed once the pool has ended.
func (pool *Pool) Done() <-chan struct{} { return pool.done }

// Close ends all connections that are not in use.
func (pool *Pool) Close() {
	close(pool.stop)
	<-pool.done
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	for key, idle := range pool.idle {
		for _, entry := range idle {
			_ = entry.conn.raw.Close()
		}
		delete(pool.idle, key)
	}
}

func (pool *Pool) sweep(now time.Time) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	for key, idle := range pool.idle {
		kept := idle[:0]
		for _, entry := range idle {
			if now.Sub(entry.since) < entry.conn.idleLimit && entry.conn.quiet() {
				kept = append(kept, entry)
				continue
			}
			pool.forget(entry.conn)
		}
		if len(kept) == 0 {
			delete(pool.idle, key)
			continue
		}
		pool.idle[key] = kept
	}
}

// forget closes a connection. The caller holds the mutex.
func (pool *Pool) forget(conn *conn) {
	_ = conn.raw.Close()
	pool.open[conn.address]--
	if pool.open[conn.address] <= 0 {
		delete(pool.open, conn.address)
	}
}

// take returns an idle connection that is still usable, the one used last first.
func (pool *Pool) take(now time.Time, key address) *conn {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	idle := pool.idle[key]
	for len(idle) > 0 {
		entry := idle[len(idle)-1]
		idle = idle[:len(idle)-1]
		pool.idle[key] = idle
		if now.Sub(entry.since) < entry.conn.idleLimit && entry.conn.quiet() {
			return entry.conn
		}
		pool.forget(entry.conn)
	}
	delete(pool.idle, key)
	return nil
}

// connect returns a connection to a server.
func (pool *Pool) connect(ctx context.Context, server spec.Server) (*conn, error) {
	key := address{life: server.Incarnation(), ip: server.Address}
	if kept := pool.take(clock.Now(), key); kept != nil {
		return kept, nil
	}
	limit := pool.limit(server.Service)
	pool.mutex.Lock()
	if limit > 0 && pool.open[key] >= limit {
		pool.mutex.Unlock()
		return nil, ErrBusy
	}
	pool.open[key]++
	pool.mutex.Unlock()
	raw, err := pool.dialer.DialContext(ctx, "tcp", server.Address)
	opened := &conn{pool: pool, address: key, raw: raw, idleLimit: defaultIdle}
	if err != nil {
		opened.raw = noConn{}
		pool.mutex.Lock()
		defer pool.mutex.Unlock()
		pool.forget(opened)
		return nil, err
	}
	opened.reader = bufio.NewReaderSize(raw, readBuffer)
	pool.opened()
	return opened, nil
}

// noConn stands for a connection that was never opened.
type noConn struct{ net.Conn }

// Close implements net.Conn.
func (noConn) Close() error { return nil }

// Do sends a request once and returns the head of its answer, whose body has to be closed. The errors are ErrNotSent,
// ErrBusy and ErrBroken, with their causes. The request ends early if the context does.
func (pool *Pool) Do(ctx context.Context, server spec.Server, request *Request) (*Response, error) {
	conn, err := pool.connect(ctx, server)
	if errors.Is(err, ErrBusy) {
		return nil, err
	}
	if err != nil {
		return nil, errors.Join(ErrNotSent, err)
	}
	response := &Response{conn: conn}
	response.unwatch = context.AfterFunc(ctx, func() { _ = conn.raw.SetDeadline(time.Unix(1, 0)) })
	if err = response.exchange(request); err != nil {
		response.reusable = false
		response.Close()
		return nil, errors.Join(ErrBroken, err)
	}
	return response, nil
}

// encode returns the bytes of a request.
func encode(request *Request) []byte {
	var out bytes.Buffer
	out.Grow(len(request.Body) + 1024)
	out.WriteString(request.Method + " " + request.Target + " HTTP/1.1\r\nHost: " + request.Host + "\r\n")
	_ = request.Header.Write(&out)
	if len(request.Body) > 0 || (request.Method != http.MethodGet && request.Method != http.MethodHead) {
		out.WriteString("Content-Length: " + strconv.Itoa(len(request.Body)) + "\r\n")
	}
	out.WriteString("\r\n")
	out.Write(request.Body)
	return out.Bytes()
}

// idleLimitOf returns how long a connection may stay unused, by the server's Keep-Alive header.
func idleLimitOf(header http.Header) time.Duration {
	for _, field := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, content, _ := strings.Cut(strings.TrimSpace(field), "=")
		if seconds, err := strconv.Atoi(content); strings.EqualFold(name, "timeout") && err == nil {
			return max(0, time.Duration(seconds)*time.Second-idleMargin)
		}
	}
	return defaultIdle
}
