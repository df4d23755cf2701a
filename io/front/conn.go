package front

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"net/textproto"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"lentilproxy/core/spec"

	"golang.org/x/net/http/httpguts"
	"golang.org/x/sys/unix"
)

var continueLine = []byte("HTTP/1.1 100 Continue\r\n\r\n")

// pastDeadline is a read deadline that makes a pending read fail immediately.
var pastDeadline = time.Unix(1, 0)

// conn is a connection of a caller.
type conn struct {
	server *Server
	raw    net.Conn
	reader *bufio.Reader
	mutex  sync.Mutex
	// idle is set while no byte of the next request has been read.
	idle bool
	// served is set once a request has been handled.
	served bool
	// closed is set once closeIdle has closed the connection.
	closed bool
}

// serve handles the requests of the connection until it ends.
func (conn *conn) serve() {
	defer func() { _ = conn.raw.Close() }()
	for {
		limits := conn.server.limits()
		if !conn.awaitRequest(limits.IdleTimeout) {
			return
		}
		request, status := conn.readRequest(limits)
		if status != 0 {
			conn.reject(status)
			return
		}
		if request == nil {
			return
		}
		if !conn.handle(request) {
			if request.complete {
				conn.discardUnread()
			}
			return
		}
	}
}

// awaitRequest waits for the first byte of a request. It reports whether one arrived before the idle timeout.
func (conn *conn) awaitRequest(idle time.Duration) bool {
	if conn.reader.Buffered() == 0 {
		if !conn.beginIdle(idle) {
			return false
		}
		if _, err := conn.reader.Peek(1); err != nil {
			return false
		}
	}
	return conn.endIdle()
}

// beginIdle records that the connection waits for a request. It returns false if the connection has been closed.
func (conn *conn) beginIdle(timeout time.Duration) bool {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	conn.idle = true
	if conn.server.stopped.Load() {
		timeout = min(timeout, stopLinger)
	}
	_ = conn.raw.SetReadDeadline(time.Now().Add(timeout))
	return !conn.closed
}

// endIdle records that the connection no longer waits. It returns false if the connection has been closed.
func (conn *conn) endIdle() bool {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	conn.idle = false
	return !conn.closed
}

// closeIdle closes the connection if it is idle. A new connection is kept for stopLinger, since its first request may
// be on the way, and so is one whose next request has arrived and has not been read yet.
func (conn *conn) closeIdle() {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	if !conn.idle {
		return
	}
	if !conn.served || conn.hasUnread() {
		_ = conn.raw.SetReadDeadline(time.Now().Add(stopLinger))
		return
	}
	conn.closed = true
	_ = conn.raw.Close()
}

// hasUnread reports whether bytes have arrived that have not been read.
func (conn *conn) hasUnread() bool {
	socket, isSocket := conn.raw.(syscall.Conn)
	if !isSocket {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	unread := false
	err = raw.Control(func(descriptor uintptr) {
		var buffer [1]byte
		count, _, peekErr := unix.Recvfrom(int(descriptor), buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		unread = peekErr == nil && count > 0
	})
	return err == nil && unread
}

// readRequest reads one complete request. A status other than 0 means that the request is rejected. If there is neither
// a request nor a status, the connection ended.
func (conn *conn) readRequest(limits spec.Limits) (*Exchange, int) {
	_ = conn.raw.SetReadDeadline(time.Now().Add(limits.HeaderTimeout))
	head, err := conn.readHead(limits.HeaderBytes)
	switch {
	case errors.Is(err, errTooLarge):
		return nil, http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, errMalformed):
		return nil, http.StatusBadRequest
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, http.StatusRequestTimeout
	case err != nil:
		return nil, 0
	}
	exchange, err := parseHead(head)
	if err != nil {
		return nil, http.StatusBadRequest
	}
	if strings.EqualFold(exchange.header.Get("Expect"), "100-continue") {
		// The deadline of the response before this request may be over. After a part of the line nothing else may follow.
		_ = conn.raw.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := conn.raw.Write(continueLine); err != nil {
			return nil, 0
		}
	}
	_ = conn.raw.SetReadDeadline(time.Now().Add(bodyTimeout))
	body, status := conn.readBody(exchange.header, limits.BodyBytes)
	if status != 0 {
		return nil, status
	}
	exchange.conn, exchange.body = conn, body
	return exchange, 0
}

// parseHead decodes a head that checkHead has accepted.
func parseHead(head []byte) (*Exchange, error) {
	line, fields, _ := bytes.Cut(head, lineEnd)
	header, err := textproto.NewReader(bufio.NewReader(bytes.NewReader(fields))).ReadMIMEHeader()
	if err != nil {
		return nil, err
	}
	words := strings.Split(string(line), " ")
	exchange := &Exchange{method: words[0], target: words[1], header: http.Header(header), host: header.Get("Host")}
	exchange.header.Del("Host")
	exchange.close = httpguts.HeaderValuesContainsToken(header["Connection"], "close")
	return exchange, nil
}

// readHead reads the head of a request, which is the request line and the headers up to and including the empty line.
func (conn *conn) readHead(limit int) ([]byte, error) {
	for size := 1; ; size = conn.reader.Buffered() + 1 {
		if size > conn.reader.Size() {
			if conn.reader.Size() >= limit {
				return nil, errTooLarge
			}
			conn.reader = bufio.NewReaderSize(conn.reader, min(2*conn.reader.Size(), limit))
			continue
		}
		if _, err := conn.reader.Peek(size); err != nil {
			return nil, err
		}
		buffered, _ := conn.reader.Peek(conn.reader.Buffered())
		end := bytes.Index(buffered, headEnd)
		if end < 0 {
			if bytes.Contains(buffered, []byte("\n\n")) {
				return nil, errMalformed
			}
			continue
		}
		if end+len(headEnd) > limit {
			return nil, errTooLarge
		}
		head := bytes.Clone(buffered[:end+len(headEnd)])
		_, _ = conn.reader.Discard(len(head))
		return head, checkHead(head)
	}
}

// readBody reads the body according to the Content-Length or Transfer-Encoding header. A status other than 0 means that
// the request is rejected.
func (conn *conn) readBody(header http.Header, limit int64) ([]byte, int) {
	var body []byte
	var err error
	if length := header.Get("Content-Length"); length != "" {
		size, invalid := strconv.ParseInt(length, 10, 64)
		switch {
		case invalid != nil:
			return nil, http.StatusBadRequest
		case size > limit:
			return nil, http.StatusRequestEntityTooLarge
		}
		body, err = io.ReadAll(io.LimitReader(conn.reader, size))
		if err == nil && int64(len(body)) < size {
			err = io.ErrUnexpectedEOF
		}
	} else if header.Get("Transfer-Encoding") != "" {
		body, err = conn.readChunks(limit)
	}
	var timeout net.Error
	switch {
	case int64(len(body)) > limit:
		return nil, http.StatusRequestEntityTooLarge
	case errors.As(err, &timeout) && timeout.Timeout():
		return nil, http.StatusRequestTimeout
	case err != nil:
		return nil, http.StatusBadRequest
	}
	return body, 0
}

// readChunks reads a chunked body and discards the trailer.
func (conn *conn) readChunks(limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(httputil.NewChunkedReader(conn.reader), limit+1))
	if err != nil || int64(len(body)) > limit {
		return body, err
	}
	for range maxTrailerLines {
		line, err := conn.reader.ReadSlice('\n')
		if err != nil {
			return nil, err
		}
		if bytes.Equal(line, lineEnd) {
			return body, nil
		}
		if !bytes.HasSuffix(line, lineEnd) {
			return nil, errMalformed
		}
	}
	return nil, errMalformed
}

// maxTrailerLines bounds the trailer of a chunked body.
const maxTrailerLines = 32

// handle passes a request to the handler. It reports whether the connection may serve another request.
func (conn *conn) handle(exchange *Exchange) bool {
	conn.server.active.Add(1)
	defer conn.server.active.Add(-1)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	watchDone := make(chan struct{})
	_ = conn.raw.SetReadDeadline(time.Time{})
	go func() {
		defer close(watchDone)
		if _, err := conn.reader.Peek(1); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			exchange.disconnected.Store(true)
			cancel()
		}
	}()
	conn.server.handler(ctx, exchange)
	conn.setServed()
	if !exchange.complete {
		return false
	}
	_ = conn.raw.SetReadDeadline(pastDeadline)
	<-watchDone
	// A response that began before the drain has no Connection: close header, so the drain is checked again here.
	return !exchange.lastResponse && !conn.server.draining.Load() && !exchange.disconnected.Load()
}

// discardUnread discards what the caller has sent after its last request, if anything.
func (conn *conn) discardUnread() {
	if conn.reader.Buffered() > 0 || conn.hasUnread() {
		conn.linger()
	}
}

// linger ends the responses and discards what the caller sends, for a short time. Closing a connection with unread bytes resets
// it, and the caller might lose the end of the last response.
func (conn *conn) linger() {
	if tcp, isTCP := conn.raw.(*net.TCPConn); isTCP {
		_ = tcp.CloseWrite()
		_ = conn.raw.SetReadDeadline(time.Now().Add(lingerTime))
		_, _ = io.Copy(io.Discard, io.LimitReader(conn.raw, maxLingerBytes))
	}
}

func (conn *conn) setServed() {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	conn.served = true
}

// reject responds to a request that could not be read. The connection must not be used afterwards. The response has no body, since
// the method may be HEAD.
func (conn *conn) reject(status int) {
	exchange := &Exchange{conn: conn, close: true}
	exchange.Respond(status, http.Header{}, nil)
	conn.linger()
}

const (
	// lingerTime and maxLingerBytes bound what is read from a caller after its last response.
	lingerTime     = 500 * time.Millisecond
	maxLingerBytes = 1 << 20
)
