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
	"time"

	"lentilproxy/core/spec"

	"golang.org/x/net/http/httpguts"
)

var continueLine = []byte("HTTP/1.1 100 Continue\r\n\r\n")

// past is a read deadline that ends a read at once.
var past = time.Unix(1, 0)

type conn struct {
	server *Server
	raw    net.Conn
	reader *bufio.Reader
	mutex  sync.Mutex
	// idle says that no byte of a next request has arrived.
	idle bool
	// ended says that the connection must not take a further request.
	ended bool
}

func (conn *conn) serve() {
	defer func() { _ = conn.raw.Close() }()
	for {
		limits := conn.server.limits()
		if !conn.awaitRequest(limits.IdleTimeout) {
			return
		}
		request, status := conn.read(limits)
		if status != 0 {
			conn.reject(status)
			return
		}
		if request == nil || !conn.handle(request) {
			return
		}
	}
}

// awaitRequest waits for the first byte of a request.
func (conn *conn) awaitRequest(idle time.Duration) bool {
	if !conn.setIdle(true) {
		return false
	}
	if conn.reader.Buffered() == 0 {
		_ = conn.raw.SetReadDeadline(time.Now().Add(idle))
		if _, err := conn.reader.Peek(1); err != nil {
			return false
		}
	}
	return conn.setIdle(false)
}

// setIdle marks the connection. It says no if the connection was closed meanwhile.
func (conn *conn) setIdle(idle bool) bool {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	conn.idle = idle
	return !conn.ended
}

// closeIdle ends the connection unless a request is under way.
func (conn *conn) closeIdle() {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	if conn.idle {
		conn.ended = true
		_ = conn.raw.Close()
	}
}

// read reads one request whole. A status other than 0 refuses it; without request and status the connection ended.
func (conn *conn) read(limits spec.Limits) (*Exchange, int) {
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
		_, _ = conn.raw.Write(continueLine)
	}
	_ = conn.raw.SetReadDeadline(time.Now().Add(bodyTimeout))
	body, status := conn.readBody(exchange.header, limits.BodyBytes)
	if status != 0 {
		return nil, status
	}
	exchange.conn, exchange.body = conn, body
	return exchange, 0
}

// parseHead decodes a head that was checked.
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

// readHead returns the head with the empty line that ends it, and takes it from the buffer.
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

// readBody reads the body that a head announces.
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
		body = make([]byte, size)
		_, err = io.ReadFull(conn.reader, body)
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

// readChunks reads a body in chunks with the trailer, which is dropped.
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

// maxTrailerLines bounds the trailer of a body in chunks.
const maxTrailerLines = 32

// handle serves a request. It says whether the connection may serve another one.
func (conn *conn) handle(exchange *Exchange) bool {
	conn.server.active.Add(1)
	defer conn.server.active.Add(-1)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	watched := make(chan struct{})
	_ = conn.raw.SetReadDeadline(time.Time{})
	go func() {
		defer close(watched)
		if _, err := conn.reader.Peek(1); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			exchange.gone.Store(true)
			cancel()
		}
	}()
	conn.server.handler(ctx, exchange)
	if !exchange.complete || exchange.lastAnswer || conn.server.draining.Load() {
		// An answer that began before the drain could not announce the close.
		return false
	}
	_ = conn.raw.SetReadDeadline(past)
	<-watched
	return !exchange.gone.Load()
}

// reject answers a request that could not be read, and ends the connection.
func (conn *conn) reject(status int) {
	exchange := &Exchange{conn: conn, close: true}
	exchange.Respond(status, http.Header{"Content-Type": {"text/plain"}}, []byte(http.StatusText(status)+"\n"))
	// A close with unread bytes would reset the connection before the caller has read the answer.
	if tcp, isTCP := conn.raw.(*net.TCPConn); isTCP {
		_ = tcp.CloseWrite()
		_ = conn.raw.SetReadDeadline(time.Now().Add(lingerTime))
		_, _ = io.Copy(io.Discard, io.LimitReader(conn.raw, maxLingerBytes))
	}
}

const (
	// lingerTime and maxLingerBytes bound what is read from a caller after its request was rejected.
	lingerTime     = 500 * time.Millisecond
	maxLingerBytes = 1 << 20
)
