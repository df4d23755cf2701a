package front

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"math"
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

	"lentilproxy/core/budget"
	"lentilproxy/core/spec"
	"lentilproxy/io/hold"

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
	// counted counts the connection, and headShare is what its head holds beyond readBufferBytes. Both may be nil.
	counted   *hold.Conn
	headShare *hold.Share
	// arrived holds bytes of a replaced read buffer that the present one has not taken yet.
	arrived []byte
	mutex   sync.Mutex
	// idle is set while no byte of the next request has been read.
	idle bool
	// served is set once a request has been handled.
	served bool
	// closed is set once closeIdle has closed the connection.
	closed bool
}

// serve handles the requests of the connection until it ends.
func (conn *conn) serve() {
	defer func() {
		conn.headShare.Close()
		_ = conn.raw.Close()
	}()
	for {
		conn.shrinkReader()
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
		if !conn.counted.Set(budget.Serving) {
			request.release()
			return
		}
		kept := conn.handle(request)
		request.release()
		if !kept || !conn.counted.Set(budget.Idle) {
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
	return conn.endIdle() && conn.counted.Set(budget.Reading)
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
	case errors.Is(err, hold.ErrNoRoom):
		return nil, http.StatusServiceUnavailable
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, http.StatusRequestTimeout
	case err != nil:
		return nil, 0
	}
	exchange, err := parseHead(head)
	if err != nil {
		return nil, http.StatusBadRequest
	}
	exchange.conn = conn
	switch size := announcedLength(exchange.header); {
	case size == unreadableLength:
		return nil, http.StatusBadRequest
	case size > limits.BodyBytes:
		return nil, http.StatusRequestEntityTooLarge
	}
	if conn.hasWholeBody(exchange.header) {
		return conn.readArrived(exchange)
	}
	return conn.readSlowly(exchange, limits.BodyBytes)
}

// hasWholeBody reports whether the whole body of a request has arrived, in the read buffer of the connection.
func (conn *conn) hasWholeBody(header http.Header) bool {
	if header.Get("Transfer-Encoding") != "" || header.Get("Expect") != "" {
		return false
	}
	return announcedLength(header) <= int64(conn.reader.Buffered())
}

// unreadableLength is the length of a body whose header has a number that is too large.
const unreadableLength = math.MaxInt64

// announcedLength returns the length of a body according to its header, and 0 if it has none.
func announcedLength(header http.Header) int64 {
	length := header.Get("Content-Length")
	if length == "" {
		return 0
	}
	size, err := strconv.ParseInt(length, 10, 64)
	if err != nil {
		return unreadableLength
	}
	return size
}

// readArrived reads a body that has arrived.
func (conn *conn) readArrived(exchange *Exchange) (*Exchange, int) {
	if size := announcedLength(exchange.header); size > 0 {
		exchange.body = make([]byte, size)
		if _, err := io.ReadFull(conn.reader, exchange.body); err != nil {
			return nil, 0
		}
	}
	return exchange, 0
}

// readSlowly reads a body that has not arrived completely, unless the head is enough to refuse the request.
func (conn *conn) readSlowly(exchange *Exchange, limit int64) (*Exchange, int) {
	accepted, known := conn.server.check(exchange)
	if !accepted {
		exchange.unread = true
		// What follows on the connection is the body.
		exchange.close = true
		return exchange, 0
	}
	if strings.EqualFold(exchange.header.Get("Expect"), "100-continue") {
		// The deadline of the response before this request may be over. After a part of the line nothing else may follow.
		_ = conn.raw.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := conn.raw.Write(continueLine); err != nil {
			return nil, 0
		}
	}
	_ = conn.raw.SetReadDeadline(time.Now().Add(bodyTimeout))
	exchange.share = conn.server.pool.Open(budget.Bodies, known, func() { _ = conn.raw.SetReadDeadline(pastDeadline) })
	exchange.share.Expose()
	body, status := conn.readBody(exchange, limit)
	if !exchange.share.Pin() {
		status = http.StatusServiceUnavailable
	}
	if status != 0 {
		exchange.share.Close()
		return nil, status
	}
	exchange.body = body
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
			if !conn.growReader(min(2*conn.reader.Size(), limit)) {
				return nil, hold.ErrNoRoom
			}
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

// growReader replaces the read buffer by a larger one with the same content. It returns false if there is no memory for it.
func (conn *conn) growReader(size int) bool {
	if conn.headShare == nil {
		conn.headShare = conn.server.pool.Open(budget.Heads, false, func() {})
	}
	if !conn.headShare.Grow(headCopies*int64(size-conn.reader.Size()), headPatience) {
		return false
	}
	buffered, _ := conn.reader.Peek(conn.reader.Buffered())
	conn.arrived = bytes.Clone(buffered)
	conn.reader = bufio.NewReaderSize(arrivedReader{conn}, size)
	return true
}

// shrinkReader gives a grown read buffer back once everything in it has been read.
func (conn *conn) shrinkReader() {
	if conn.reader.Size() <= readBufferBytes || conn.reader.Buffered() > 0 || len(conn.arrived) > 0 {
		return
	}
	conn.reader = bufio.NewReaderSize(conn.raw, readBufferBytes)
	conn.headShare.Close()
	conn.headShare = nil
}

// arrivedReader reads what a replaced read buffer held, and then from the connection.
type arrivedReader struct{ conn *conn }

// Read implements io.Reader.
func (arrivedReader arrivedReader) Read(buffer []byte) (int, error) {
	conn := arrivedReader.conn
	if len(conn.arrived) == 0 {
		return conn.raw.Read(buffer)
	}
	count := copy(buffer, conn.arrived)
	if conn.arrived = conn.arrived[count:]; len(conn.arrived) == 0 {
		conn.arrived = nil
	}
	return count, nil
}

// readBody reads the body according to the Content-Length or Transfer-Encoding header. A status other than 0 means that
// the request is rejected.
func (conn *conn) readBody(exchange *Exchange, limit int64) ([]byte, int) {
	var body []byte
	var err error
	if exchange.header.Get("Transfer-Encoding") != "" {
		body, err = conn.readChunks(exchange.share, limit)
	} else {
		size := announcedLength(exchange.header)
		body, err = exchange.share.ReadAll(conn.watchProgress(io.LimitReader(conn.reader, size)), size, limit, 1)
		if err == nil && int64(len(body)) < size {
			err = io.ErrUnexpectedEOF
		}
	}
	var timeout net.Error
	switch {
	case errors.Is(err, hold.ErrNoRoom):
		return nil, http.StatusServiceUnavailable
	case int64(len(body)) > limit:
		return nil, http.StatusRequestEntityTooLarge
	case errors.As(err, &timeout) && timeout.Timeout():
		return nil, http.StatusRequestTimeout
	case err != nil:
		return nil, http.StatusBadRequest
	}
	return body, 0
}

// progressReader notes the progress of a body, so that a connection on which much arrives does not count as waiting.
type progressReader struct {
	source  io.Reader
	conn    *conn
	arrived int
}

func (conn *conn) watchProgress(source io.Reader) io.Reader {
	return &progressReader{source: source, conn: conn}
}

// Read implements io.Reader.
func (progressReader *progressReader) Read(buffer []byte) (int, error) {
	count, err := progressReader.source.Read(buffer)
	if progressReader.arrived += count; progressReader.arrived >= progressBytes {
		progressReader.arrived = 0
		progressReader.conn.counted.Set(budget.Reading)
	}
	return count, err
}

// readChunks reads a chunked body and discards the trailer.
func (conn *conn) readChunks(share *hold.Share, limit int64) ([]byte, error) {
	body, err := share.ReadAll(conn.watchProgress(io.LimitReader(httputil.NewChunkedReader(conn.reader), limit+1)), -1, limit, 1)
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
	header := http.Header{}
	if status == http.StatusServiceUnavailable {
		// The request has not been passed on, so that it has not run.
		header.Set("Retry-After", retryAfterSeconds)
	}
	exchange.Respond(status, header, nil)
	conn.linger()
}

const (
	// retryAfterSeconds is the time after which a caller should send a request again for which there was no memory.
	retryAfterSeconds = "1"
	// progressBytes is the part of a body whose arrival counts as progress of its connection.
	progressBytes = 64 << 10
	// headCopies is how often a head is held: in the read buffer, as a copy, and in the fields of the request.
	headCopies = 3
	// headPatience is how long a head waits for memory before it is refused.
	headPatience = 300 * time.Millisecond
	// lingerTime and maxLingerBytes bound what is read from a caller after its last response.
	lingerTime     = 500 * time.Millisecond
	maxLingerBytes = 1 << 20
)
