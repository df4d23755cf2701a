package gate

import (
	"bytes"
	"context"
	"errors"
	"io"
	"mime"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"lentilproxy/io/block"
	"lentilproxy/io/hold"
	"lentilproxy/io/link"
)

const (
	dialTimeout = 500 * time.Millisecond
	// maxResponseBytes bounds a response that is read completely before it is forwarded.
	maxResponseBytes = 4 << 20
)

// forwardedHeaders are the only request headers of callers that are forwarded to backend servers.
var forwardedHeaders = []string{"Content-Type", "Accept", HeaderIdempotencyKey}

// errStale is returned by a write if the host became stale before it, for example while the request waited for a
// connection.
var errStale = errors.New("this host cannot prove that its configuration is current")

// errNotFinal means that a server has sent an informational status as its last one, such as that of switched protocols, or one that the
// protocol does not have.
var errNotFinal = errors.New("the backend server sent no final response")

// checkedConn fails writes while the host is stale. Without it, a process that is paused between the check of
// freshness and the write could send a request that an outdated configuration allowed.
type checkedConn struct {
	net.Conn
	fresh     func(now time.Time) bool
	receipt   receipt
	closeOnce sync.Once
	// writing is held during a write, and writeErr is the error of the last one.
	writing  sync.Mutex
	writeErr error
}

// Read implements net.Conn. A reset is reported once: if it makes a write fail, the connection seems to end as if the server had closed it.
func (conn *checkedConn) Read(buffer []byte) (int, error) {
	count, err := conn.Conn.Read(buffer)
	conn.receipt.record(buffer[:count])
	if errors.Is(err, io.EOF) {
		conn.writing.Lock()
		defer conn.writing.Unlock()
		if conn.writeErr != nil {
			err = errors.Join(io.ErrUnexpectedEOF, conn.writeErr)
		}
	}
	return count, err
}

// Close implements net.Conn. If what was read may end with the beginning of another response, it reads once more.
func (conn *checkedConn) Close() error {
	err := net.ErrClosed
	conn.closeOnce.Do(func() {
		if conn.receipt.awaited.Load() && conn.receipt.isSuspect() {
			_ = conn.SetReadDeadline(time.Now().Add(surplusWait))
			_, _ = conn.Read(make([]byte, maxSurplusBytes))
		}
		err = conn.Conn.Close()
		close(conn.receipt.closed)
	})
	return err
}

// Write implements net.Conn.
func (conn *checkedConn) Write(content []byte) (int, error) {
	if !conn.fresh(time.Now()) {
		return 0, errStale
	}
	conn.writing.Lock()
	defer conn.writing.Unlock()
	count, err := conn.Conn.Write(content)
	conn.writeErr = err
	return count, err
}

func checkedDial(fresh func(now time.Time) bool) func(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &checkedConn{Conn: conn, fresh: fresh, receipt: receipt{closed: make(chan struct{})}}, nil
	}
}

// sendResult is the result of sending a request to a backend server once.
type sendResult struct {
	response *http.Response
	err      error
	// connected is set if a connection was obtained, so that a byte of the request may have reached the server.
	connected bool
	// receipt belongs to the connection, or is nil.
	receipt *receipt
}

// send sends the request to a backend server once. The transport never retries it.
func (call *call) send(ctx context.Context, client *http.Client, url string, body []byte) sendResult {
	var connected atomic.Bool
	var receipt atomic.Pointer[receipt]
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		connected.Store(true)
		if conn, isChecked := info.Conn.(*checkedConn); isChecked {
			receipt.Store(&conn.receipt)
		}
	}}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), call.request.Method, url, bytes.NewReader(body))
	if err != nil {
		return sendResult{err: err}
	}
	// The transport retries a request by itself only if it can read the body again.
	request.Body = io.NopCloser(bytes.NewReader(body))
	request.GetBody = nil
	for _, name := range forwardedHeaders {
		if content := call.request.Header.Get(name); content != "" {
			request.Header.Set(name, content)
		}
	}
	request.Header.Set(HeaderRequestID, call.id)
	response, err := client.Do(request)
	if err == nil && (response.StatusCode < http.StatusOK || !link.ValidStatus(response.StatusCode)) {
		_ = response.Body.Close()
		response, err = nil, errNotFinal
	}
	if err == nil && link.HasSecondHead(response) {
		_ = response.Body.Close()
		response, err = nil, link.ErrSecondResponse
	}
	return sendResult{response: response, err: err, connected: connected.Load(), receipt: receipt.Load()}
}

// reachable reports whether a TCP connection to an address can be opened.
func reachable(address string) bool { return connect(address) == nil }

// connect opens and closes a TCP connection to an address.
func connect(address string) error {
	conn, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return err
	}
	return conn.Close()
}

// watch finds out whether the server of a request that has not been completed has crashed.
func (gate *Gate) watch(run *block.Run, address string) {
	gate.node.Blocks().Unfinished(time.Now(), run, func(context.Context, bool) block.ServerState {
		if errors.Is(connect(address), syscall.ECONNREFUSED) {
			return block.ServerCrashed
		}
		return block.ServerSound
	})
}

// bodyReader returns a reader of the body of a response. A body that has neither a length nor chunks ends with its connection. If
// another response follows it there, the reader fails: whether the body before it is whole cannot be told.
func (gate *Gate) bodyReader(response *http.Response) io.Reader {
	if response.ContentLength >= 0 || len(response.TransferEncoding) > 0 {
		return response.Body
	}
	// Bodies of these types are heads and bodies of HTTP messages.
	switch mediaType, _, _ := mime.ParseMediaType(response.Header.Get("Content-Type")); mediaType {
	case "message/http", "application/http":
		return response.Body
	}
	return link.NewUnframedBody(response.Body, func(second *http.Response) bool {
		gate.countSurplus(second.StatusCode)
		return true
	})
}

// readBody reads the body of a response completely. The share holds a number of copies of it.
func (gate *Gate) readBody(result sendResult, share *hold.Share, copies int64) ([]byte, error) {
	if result.receipt != nil {
		result.receipt.awaited.Store(true)
	}
	content, err := share.ReadResponse(io.LimitReader(gate.bodyReader(result.response), maxResponseBytes+1), result.response.ContentLength,
		maxResponseBytes, copies, responsePatience)
	switch {
	case err != nil:
		return nil, err
	case len(content) > maxResponseBytes:
		return nil, io.ErrShortBuffer
	case result.response.ContentLength > 0 && result.receipt != nil && result.receipt.fillsUp(content):
		gate.countSurplus(result.response.StatusCode)
		return nil, link.ErrSecondResponse
	}
	return content, nil
}

// countSurplus records that a body contained another response.
func (gate *Gate) countSurplus(status int) {
	gate.metrics.Tagged(map[string]string{"kind": string(link.SurplusInBody)}).Counter("surplus_from_servers").Inc(1)
	gate.log.Info("a server sent another response within a body", "status", status)
}
