// Package link exchanges requests with backend servers over HTTP/1.1.
//
// It never retries a request. Its errors distinguish requests that were certainly not sent from those that the server
// may have executed. It discards responses that belong to other requests.
package link

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
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
	// dialTimeout bounds the time to connect. A server in the same region responds within a few milliseconds, and a
	// lost SYN packet is retransmitted only after one second, so a longer wait rarely helps.
	dialTimeout = 400 * time.Millisecond
	// defaultIdleTimeout is how long an idle connection is kept if the server sends no Keep-Alive timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is how long before the server's own timeout an idle connection is closed, so that no request is sent
	// while the server closes the connection.
	idleMargin = 700 * time.Millisecond
	// readBufferBytes is the size of a connection's read buffer.
	readBufferBytes = 4 << 10
	// maxHeadBytes bounds the status lines and headers of a response, including the informational ones before it.
	maxHeadBytes = 64 << 10
	// discardTime and maxDiscardBytes bound what is read of a body that nobody needs, so that its connection can be kept.
	discardTime     = 100 * time.Millisecond
	maxDiscardBytes = 4 << 10
	// concurrentWriteBytes is the size from which a request is written while its response is read, since a server may
	// respond before it has received the whole request.
	concurrentWriteBytes = 8 << 10
	// maxSkipped bounds the responses to other requests that are skipped before the expected one.
	maxSkipped = 2
	// maxSkippedBytes bounds the body of a skipped response.
	maxSkippedBytes = 64 << 10
	// keepAliveIdle, keepAliveInterval and keepAliveCount detect a dead connection within 4 s.
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// userTimeout bounds how long sent bytes may remain unacknowledged.
	userTimeout = 3 * time.Second
)

// The errors of an exchange without a valid response.
var (
	// ErrNotSent means that no byte of the request was sent.
	ErrNotSent = errors.New("the request was not sent")
	// ErrBroken means that the server may have executed the request.
	ErrBroken = errors.New("the connection ended before the answer")
	// ErrBusy means that all connections that this host may open to the server are in use.
	ErrBusy = errors.New("all connections to the server are in use")
)

// Request is a request for a backend server.
type Request struct {
	Method string
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// ID identifies the request, and ResponseID returns the ID of the request to which a response belongs; "" if it names none.
	ID         string
	ResponseID func(status int, header http.Header) string
	// Attempts holds the connections of earlier attempts to send this request, on which it is not sent again; nil for none.
	Attempts *Attempts
}

// Attempts holds the connections on which a request has been sent. No connection carries a request twice: a late copy of the
// response to one attempt could not be told from the response to the next. The zero value is empty. It is not safe for
// concurrent use.
type Attempts struct{ conns []*conn }

// has reports whether an attempt was made on a connection.
func (attempts *Attempts) has(conn *conn) bool {
	return attempts != nil && slices.Contains(attempts.conns, conn)
}

// add records an attempt.
func (attempts *Attempts) add(conn *conn) {
	if attempts != nil {
		attempts.conns = append(attempts.conns, conn)
	}
}

// serverKey identifies one incarnation of a server at one address.
type serverKey struct {
	incarnation spec.Incarnation
	address     string
}

type idleConn struct {
	conn  *conn
	since time.Time
}

// Pool keeps connections to backend servers.
type Pool struct {
	mutex sync.Mutex
	idle  map[serverKey][]idleConn
	// open counts the connections to each server, including idle ones and those being opened.
	open map[serverKey]int
	// limit returns the maximum number of connections to one server of a service; 0 means no limit.
	limit  func(service string) int
	onOpen func()
	// sent holds the last requests to all servers.
	sent sentRequests
	// onSurplus is called for bytes that belong to no request.
	onSurplus func(server string, surplus Surplus, response *http.Response)
	dialer    *net.Dialer
	stop      chan struct{}
	done      chan struct{}
}

// Option configures a pool.
type Option func(*Pool)

// WithLimit sets a function that returns the maximum number of connections to one server of a service. There is no
// limit if it returns 0.
func WithLimit(limit func(service string) int) Option {
	return func(pool *Pool) { pool.limit = limit }
}

// WithOnOpen sets a function that is called for each new connection.
func WithOnOpen(onOpen func()) Option { return func(pool *Pool) { pool.onOpen = onOpen } }

// New returns a pool without connections.
func New(options ...Option) *Pool {
	pool := &Pool{
		idle: map[serverKey][]idleConn{}, open: map[serverKey]int{}, limit: func(string) int { return 0 }, onOpen: func() {},
		onSurplus: func(string, Surplus, *http.Response) {}, dialer: Dialer(), stop: make(chan struct{}), done: make(chan struct{}),
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

// sweepInterval is the time between two checks for connections that have been idle for too long.
const sweepInterval = time.Second

// Dialer returns a dialer whose connections fail within seconds if the peer stops responding.
func Dialer() *net.Dialer {
	return &net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var optionErr error
			err := raw.Control(func(descriptor uintptr) {
				optionErr = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
			})
			return errors.Join(err, optionErr)
		},
	}
}

// Done returns a channel that is closed once the pool no longer checks for idle connections.
func (pool *Pool) Done() <-chan struct{} { return pool.done }

// Close closes all idle connections.
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

// sweep closes idle connections that have timed out or are no longer usable.
func (pool *Pool) sweep(now time.Time) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	for key, idle := range pool.idle {
		kept := idle[:0]
		for _, entry := range idle {
			if now.Sub(entry.since) < entry.conn.idleTimeout && entry.conn.usable() {
				kept = append(kept, entry)
				continue
			}
			pool.closeConn(entry.conn)
		}
		if len(kept) == 0 {
			delete(pool.idle, key)
			continue
		}
		pool.idle[key] = kept
	}
}

// closeConn closes a connection and removes it from the count. The caller holds the mutex.
func (pool *Pool) closeConn(conn *conn) {
	_ = conn.raw.Close()
	pool.open[conn.key]--
	if pool.open[conn.key] <= 0 {
		delete(pool.open, conn.key)
	}
}

// take removes and returns the most recently used idle connection that is still usable and has carried none of the attempts. If
// there is none, it returns nil and counts a connection, which the caller has to open. At the limit, that one replaces an idle
// connection, or take returns ErrBusy.
func (pool *Pool) take(now time.Time, key serverKey, attempts *Attempts, limit int) (*conn, error) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	for index := len(pool.idle[key]) - 1; index >= 0; index-- {
		entry := pool.idle[key][index]
		if attempts.has(entry.conn) {
			continue
		}
		pool.removeIdle(key, index)
		if now.Sub(entry.since) < entry.conn.idleTimeout && entry.conn.usable() {
			return entry.conn, nil
		}
		pool.closeConn(entry.conn)
	}
	if limit > 0 && pool.open[key] >= limit {
		if len(pool.idle[key]) == 0 {
			return nil, ErrBusy
		}
		replaced := pool.idle[key][0].conn
		pool.removeIdle(key, 0)
		pool.closeConn(replaced)
	}
	pool.open[key]++
	return nil, nil
}

// removeIdle removes an idle connection. The caller holds the mutex.
func (pool *Pool) removeIdle(key serverKey, index int) {
	if pool.idle[key] = slices.Delete(pool.idle[key], index, index+1); len(pool.idle[key]) == 0 {
		delete(pool.idle, key)
	}
}

// putIdle keeps a connection for a later request. The caller holds the mutex.
func (pool *Pool) putIdle(conn *conn) {
	pool.idle[conn.key] = append(pool.idle[conn.key], idleConn{conn: conn, since: clock.Now()})
}

// Open makes sure that the server accepts connections: an idle one is still open, or a new one is kept for a later request.
// The errors are those of the connection, and ErrBusy.
func (pool *Pool) Open(ctx context.Context, server spec.Server) error {
	if pool.hasIdle(clock.Now(), serverKey{incarnation: server.Incarnation(), address: server.Address}) {
		return nil
	}
	conn, err := pool.connect(ctx, server, nil)
	if err != nil {
		return err
	}
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.putIdle(conn)
	return nil
}

// hasIdle reports whether an idle connection to a server is usable.
func (pool *Pool) hasIdle(now time.Time, key serverKey) bool {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	return slices.ContainsFunc(pool.idle[key], func(entry idleConn) bool {
		return now.Sub(entry.since) < entry.conn.idleTimeout && entry.conn.usable()
	})
}

// connect returns an idle connection to a server that has carried none of the attempts, or a new one.
func (pool *Pool) connect(ctx context.Context, server spec.Server, attempts *Attempts) (*conn, error) {
	key := serverKey{incarnation: server.Incarnation(), address: server.Address}
	if reused, err := pool.take(clock.Now(), key, attempts, pool.limit(server.Service)); reused != nil || err != nil {
		return reused, err
	}
	raw, err := pool.dialer.DialContext(ctx, "tcp", server.Address)
	conn := &conn{pool: pool, key: key, raw: raw, idleTimeout: defaultIdleTimeout}
	if err != nil {
		conn.raw = noConn{}
		pool.mutex.Lock()
		defer pool.mutex.Unlock()
		pool.closeConn(conn)
		return nil, err
	}
	conn.source = &limitedReader{reader: raw, left: unlimited}
	conn.reader = bufio.NewReaderSize(conn.source, readBufferBytes)
	pool.onOpen()
	return conn, nil
}

// noConn replaces a connection that could not be opened. Only its Close may be called.
type noConn struct{ net.Conn }

// Close implements net.Conn.
func (noConn) Close() error { return nil }

// Do sends a request once and returns its response after the headers have arrived. The caller must close the response.
// The errors are ErrNotSent, ErrBusy and ErrBroken, joined with their causes. If the context is cancelled, the request
// and the reading of the response fail.
func (pool *Pool) Do(ctx context.Context, server spec.Server, request *Request) (*Response, error) {
	conn, err := pool.connect(ctx, server, request.Attempts)
	if errors.Is(err, ErrBusy) {
		return nil, err
	}
	if err != nil {
		return nil, errors.Join(ErrNotSent, err)
	}
	request.Attempts.add(conn)
	response := &Response{conn: conn}
	response.detach = context.AfterFunc(ctx, func() { _ = conn.raw.SetDeadline(time.Unix(1, 0)) })
	if err = response.exchange(request); err != nil {
		response.reusable = false
		response.Close()
		return nil, errors.Join(ErrBroken, err)
	}
	return response, nil
}

// encodeHead returns the head of a request in the format of HTTP/1.1.
func encodeHead(request *Request) []byte {
	var out bytes.Buffer
	out.Grow(1024)
	out.WriteString(request.Method + " " + request.Target + " HTTP/1.1\r\nHost: " + request.Host + "\r\n")
	_ = request.Header.Write(&out)
	if len(request.Body) > 0 || (request.Method != http.MethodGet && request.Method != http.MethodHead) {
		out.WriteString("Content-Length: " + strconv.Itoa(len(request.Body)) + "\r\n")
	}
	out.WriteString("\r\n")
	return out.Bytes()
}

// idleTimeoutOf returns how long a connection may be idle according to the server's Keep-Alive header.
func idleTimeoutOf(header http.Header) time.Duration {
	for _, field := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, content, _ := strings.Cut(strings.TrimSpace(field), "=")
		if seconds, err := strconv.Atoi(content); strings.EqualFold(name, "timeout") && err == nil {
			return max(0, time.Duration(seconds)*time.Second-idleMargin)
		}
	}
	return defaultIdleTimeout
}
