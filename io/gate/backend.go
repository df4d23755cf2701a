package gate

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"
)

const (
	dialTimeout = 500 * time.Millisecond
	// maxAnswerBytes bounds an answer that is passed on whole.
	maxAnswerBytes = 16 << 20
)

// passedHeaders are the callers' headers that backend servers get. Nothing else is passed on.
var passedHeaders = []string{"Content-Type", "Accept", HeaderIdempotencyKey}

// errStale ends a write of a host that lost its proof while it waited for a connection.
var errStale = errors.New("this host cannot prove that its configuration is current")

// guardedConn refuses to send while the host is stale, so that a pause cannot carry an old decision past the check.
type guardedConn struct {
	net.Conn
	fresh func(now time.Time) bool
}

// Write implements net.Conn.
func (conn *guardedConn) Write(content []byte) (int, error) {
	if !conn.fresh(time.Now()) {
		return 0, errStale
	}
	return conn.Conn.Write(content)
}

func guardedDial(fresh func(now time.Time) bool) func(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &guardedConn{Conn: conn, fresh: fresh}, nil
	}
}

// attempt is one try to send a request to a backend server.
type attempt struct {
	response *http.Response
	err      error
	// touched says that a byte of the request may have reached the server.
	touched bool
}

// send sends a request to a backend server. The transport never sends it twice.
func (call *call) send(ctx context.Context, client *http.Client, url string, body []byte) attempt {
	var touched atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { touched.Store(true) }}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), call.request.Method, url, bytes.NewReader(body))
	if err != nil {
		return attempt{err: err}
	}
	// The transport repeats a request on its own only if it can read the body again.
	request.Body = io.NopCloser(bytes.NewReader(body))
	request.GetBody = nil
	for _, name := range passedHeaders {
		if content := call.request.Header.Get(name); content != "" {
			request.Header.Set(name, content)
		}
	}
	request.Header.Set(HeaderRequestID, call.id)
	//nolint:bodyclose // The caller closes the body of the attempt.
	response, err := client.Do(request)
	return attempt{response: response, err: err, touched: touched.Load()}
}

// reachable says whether something listens at an address.
func reachable(address string) bool {
	conn, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

func readAnswer(response *http.Response) ([]byte, error) {
	content, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	if err == nil && len(content) > maxAnswerBytes {
		return nil, io.ErrShortBuffer
	}
	return content, err
}
