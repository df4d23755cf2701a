package link

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sys/unix"
)

var (
	errMismatch = errors.New("the response belongs to another request")
	errEncoded  = errors.New("the response has a content encoding")
	errHeadSize = errors.New("the head of the response is too long")
	errTwoHeads = errors.New("another response follows in the head of the response")
	errStatus   = errors.New("the response has an invalid status")
)

const (
	// maxCarried is the number of requests that a connection remembers, to recognise copies of their responses.
	maxCarried = 1024
	// followingTime bounds the wait for what follows a body that ends with the beginning of a head. A copy of a response may arrive in parts.
	followingTime = 500 * time.Millisecond
	// minStatus and maxStatus are the least and the greatest status code of a response.
	minStatus = 100
	maxStatus = 599
)

// unlimited is the limit of a limitedReader that reads to the end of its connection.
const unlimited = -1

// limitedReader reads from a connection and fails once it has read a number of bytes. The parser of the standard library
// reads heads of any size.
type limitedReader struct {
	reader io.Reader
	left   int64
	// err is the error that ended the connection, or nil.
	err error
}

// Read implements io.Reader.
func (limitedReader *limitedReader) Read(buffer []byte) (int, error) {
	if limitedReader.left == 0 {
		return 0, errHeadSize
	}
	if limitedReader.left != unlimited {
		buffer = buffer[:min(int64(len(buffer)), limitedReader.left)]
	}
	count, err := limitedReader.reader.Read(buffer)
	if limitedReader.left != unlimited {
		limitedReader.left -= int64(count)
	}
	limitedReader.err = err
	return count, err
}

// conn is a connection to a server, which serves one exchange at a time.
type conn struct {
	pool        *Pool
	key         serverKey
	raw         net.Conn
	source      *limitedReader
	reader      *bufio.Reader
	idleTimeout time.Duration
	// carried holds the hashes of the IDs of the last requests.
	carried []uint64
	// surplus is set once bytes that belong to no request have been found on the connection.
	surplus bool
}

// usable reports whether the connection is open and has no unread data. Such data would belong to no request.
func (conn *conn) usable() bool {
	open, unread := peek(conn.raw)
	unread = unread || conn.reader.Buffered() > 0
	if unread && !conn.surplus {
		conn.surplus = true
		conn.pool.onSurplus(conn.key.incarnation.ID, SurplusAfterResponse, nil)
	}
	return open && !unread
}

// carry records a request that is sent on the connection.
func (conn *conn) carry(id string) {
	conn.carried = append(conn.carried, xxhash.Sum64String(id))
	conn.carried = conn.carried[max(0, len(conn.carried)-maxCarried):]
}

// hasCarried reports whether the connection has carried a request.
func (conn *conn) hasCarried(id string) bool {
	return slices.Contains(conn.carried, xxhash.Sum64String(id))
}

// peek reports whether a connection is open, and whether bytes have arrived on it that have not been read.
func peek(conn net.Conn) (open, unread bool) {
	socket, isSocket := conn.(syscall.Conn)
	if !isSocket {
		return true, false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false, false
	}
	err = raw.Read(func(descriptor uintptr) bool {
		var buffer [1]byte
		count, _, peekErr := unix.Recvfrom(int(descriptor), buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		unread = peekErr == nil && count > 0
		open = unread || errors.Is(peekErr, unix.EAGAIN)
		return true
	})
	return err == nil && open, err == nil && unread
}

// silent reports whether a connection is open and nothing has arrived on it that has not been read.
func silent(conn net.Conn) bool {
	open, unread := peek(conn)
	return open && !unread
}

// Response is the response of a backend server. The caller must close it.
type Response struct {
	conn     *conn
	response *http.Response
	// detach stops the context from ending the exchange. It returns false if the context was cancelled before.
	detach func() bool
	// reusable is set if the server keeps the connection open after the response.
	reusable bool
	// unsent is set until a request that is written concurrently has been written completely. Then written is closed once the writing has
	// ended, and writeErr is its error.
	unsent   atomic.Bool
	written  chan struct{}
	writeErr error
	// complete is set once the body has been read to its end.
	complete bool
	// second is the response that was found within the body, or nil.
	second *http.Response
}

// exchange writes the request and reads the status line and headers of its response.
func (response *Response) exchange(request *Request) error {
	head := encodeHead(request)
	response.conn.carry(request.ID)
	response.conn.pool.sent.add(request.ID)
	if len(head)+len(request.Body) < concurrentWriteBytes {
		if _, err := response.conn.raw.Write(append(head, request.Body...)); err != nil {
			return err
		}
	} else {
		response.unsent.Store(true)
		// A large body is not copied.
		content := net.Buffers{head, request.Body}
		response.written = make(chan struct{})
		go func() {
			defer close(response.written)
			if _, response.writeErr = content.WriteTo(response.conn.raw); response.writeErr == nil {
				response.unsent.Store(false)
			}
		}()
	}
	for range maxSkipped + 1 {
		if err := response.readHead(); err != nil {
			return err
		}
		if request.ResponseID(response.response.StatusCode, response.response.Header) == request.ID {
			response.watchBody(request)
			return response.check(request)
		}
		// The late response to an earlier request may precede the expected one.
		response.conn.pool.onSurplus(response.conn.key.incarnation.ID, SurplusResponse, response.response)
		if err := response.skip(); err != nil {
			return err
		}
	}
	return errMismatch
}

// readHead reads the status line and headers of the next response that is not informational (1xx). Unless it belongs to a HEAD request,
// its body follows.
func (response *Response) readHead() error {
	response.conn.source.left = maxHeadBytes
	defer func() { response.conn.source.left = unlimited }()
	for {
		//nolint:bodyclose // Close closes or keeps the connection that the body is read from.
		read, err := http.ReadResponse(response.conn.reader, nil)
		if err != nil {
			// The parser does not tell a head that was cut off from an invalid one.
			return errors.Join(err, response.conn.source.err)
		}
		if !ValidStatus(read.StatusCode) {
			return errStatus
		}
		if read.StatusCode >= http.StatusOK {
			response.response = read
			return nil
		}
	}
}

// ValidStatus reports whether a status code is one of the protocol. The parser of the standard library accepts any three digits.
func ValidStatus(status int) bool { return status >= minStatus && status <= maxStatus }

// skip discards the body of a response to another request.
func (response *Response) skip() error {
	if response.response.Close {
		return errMismatch
	}
	size, err := io.Copy(io.Discard, io.LimitReader(response.response.Body, maxSkippedBytes))
	if err == nil && size == maxSkippedBytes {
		return errMismatch
	}
	return err
}

// watchBody makes the reading of a body fail at the beginning of another response. A server may send any one in a body that ends with
// its connection, and one to the same request or to an earlier one after a part of a body with a length or chunks. The earlier request may
// have had another connection, whose port this one has taken over.
func (response *Response) watchBody(request *Request) {
	if request.Method == http.MethodHead {
		response.response.Body = http.NoBody
		return
	}
	source, ends := response.response.Body, response.EndsWithConnection()
	isResponse := func(second *http.Response) bool {
		id := request.ResponseID(second.StatusCode, second.Header)
		if id == "" || !ends && id != request.ID && !response.conn.hasCarried(id) && !response.conn.pool.sent.has(id) {
			return false
		}
		response.second = second
		return true
	}
	if ends {
		response.response.Body = io.NopCloser(NewUnframedBody(source, isResponse))
		return
	}
	response.response.Body = io.NopCloser(newFramedBody(source, isResponse, response.conn.arrived))
}

// arrived returns the bytes that have arrived and not been read, up to the size of the read buffer. It waits for a while until a wanted
// number of them has arrived.
func (conn *conn) arrived(wanted int) []byte {
	wanted = min(wanted, readBufferBytes)
	if _, unread := peek(conn.raw); unread && conn.reader.Buffered() == 0 {
		_, _ = conn.reader.Peek(1)
	}
	if conn.reader.Buffered() < wanted {
		_ = conn.raw.SetReadDeadline(time.Now().Add(followingTime))
		_, _ = conn.reader.Peek(wanted)
		_ = conn.raw.SetReadDeadline(time.Time{})
	}
	content, _ := conn.reader.Peek(conn.reader.Buffered())
	return content
}

// check checks the headers and records whether, and for how long, the connection may be kept.
func (response *Response) check(request *Request) error {
	header := response.response.Header
	if header.Get("Content-Encoding") != "" {
		return errEncoded
	}
	if HasSecondHead(response.response) {
		return errTwoHeads
	}
	// A late copy of the response to a HEAD request would be read with a body.
	response.reusable = !response.response.Close && request.Method != http.MethodHead
	if header.Get("Keep-Alive") != "" {
		response.conn.idleTimeout = idleTimeoutOf(header)
	}
	return nil
}

// HasSecondHead reports whether the head of a response was cut off and continued by that of another one: its status line or a header
// contains a status line.
func HasSecondHead(response *http.Response) bool {
	contains := func(content string) bool {
		start := indexStatusLine([]byte(content))
		return start >= 0 && len(content)-start >= len(statusLineForm)
	}
	for _, contents := range response.Header {
		if slices.ContainsFunc(contents, contains) {
			return true
		}
	}
	return contains(response.Status)
}

// Status returns the status code.
func (response *Response) Status() int { return response.response.StatusCode }

// Header returns the headers.
func (response *Response) Header() http.Header { return response.response.Header }

// EndsWithConnection reports whether the body has neither a length nor chunks, and ends with the connection.
func (response *Response) EndsWithConnection() bool {
	return response.response.ContentLength < 0 && len(response.response.TransferEncoding) == 0
}

// Reusable reports whether the server keeps the connection open after the response.
func (response *Response) Reusable() bool { return response.reusable }

// ClosedByPeer reports whether an error means that the server has closed the connection. A connection that timed out may
// have been cut on the way.
func ClosedByPeer(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// Read implements io.Reader for the body. It returns io.EOF only if the body is complete.
func (response *Response) Read(buffer []byte) (int, error) {
	count, err := response.response.Body.Read(buffer)
	if errors.Is(err, io.EOF) {
		err = response.checkEnd(err)
		response.complete = errors.Is(err, io.EOF)
	}
	if errors.Is(err, ErrSecondResponse) && !response.conn.surplus {
		response.conn.surplus = true
		response.conn.pool.onSurplus(response.conn.key.incarnation.ID, SurplusInBody, response.second)
	}
	return count, err
}

// checkEnd returns the error at the end of a body. A reset is reported once: if it makes the writing of a long request fail, a body that
// ends with its connection seems to end there.
func (response *Response) checkEnd(end error) error {
	if response.written == nil || !response.EndsWithConnection() {
		return end
	}
	<-response.written
	if response.writeErr != nil {
		return errors.Join(io.ErrUnexpectedEOF, response.writeErr)
	}
	return end
}

// Discard reads a short body to its end, so that the connection can be kept.
func (response *Response) Discard() {
	_ = response.conn.raw.SetReadDeadline(time.Now().Add(discardTime))
	_, err := io.Copy(io.Discard, io.LimitReader(response, maxDiscardBytes))
	if err == nil {
		_ = response.conn.raw.SetReadDeadline(time.Time{})
	}
}

// Close ends the exchange. If the body was not read to its end, Close closes the connection, so that the server stops
// working on the request.
func (response *Response) Close() {
	conn := response.conn
	// If the context was cancelled before, the deadline of the connection may have been changed already, so the
	// connection is not kept.
	detached := response.detach()
	pool := conn.pool
	keep := detached && response.reusable && response.complete && !response.unsent.Load() && conn.idleTimeout > 0 && conn.usable()
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if !keep {
		pool.closeConn(conn)
		return
	}
	pool.putIdle(conn)
}
