package link

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"lentilproxy/io/clock"

	"golang.org/x/sys/unix"
)

var (
	errStray   = errors.New("the answer belongs to another request")
	errEncoded = errors.New("the answer is encoded")
)

type conn struct {
	pool      *Pool
	address   address
	raw       net.Conn
	reader    *bufio.Reader
	idleLimit time.Duration
}

// quiet says whether the connection is open and nothing waits to be read, which would belong to no request.
func (conn *conn) quiet() bool {
	if conn.reader.Buffered() > 0 {
		return false
	}
	system, isSystem := conn.raw.(syscall.Conn)
	if !isSystem {
		return true
	}
	raw, err := system.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(descriptor uintptr) bool {
		var buffer [1]byte
		_, _, failure := unix.Recvfrom(int(descriptor), buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(failure, unix.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// Response is the answer of a backend server. It has to be closed.
type Response struct {
	conn     *conn
	response *http.Response
	unwatch  func() bool
	reusable bool
	// unsent says that a part of the request is still being written.
	unsent atomic.Bool
	ended  bool
}

// exchange writes the request and reads the head of its answer.
func (response *Response) exchange(request *Request) error {
	content := encode(request)
	if len(content) < asideBytes {
		if _, err := response.conn.raw.Write(content); err != nil {
			return err
		}
	} else {
		response.unsent.Store(true)
		go func() {
			if _, err := response.conn.raw.Write(content); err == nil {
				response.unsent.Store(false)
			}
		}()
	}
	for range maxStrays + 1 {
		if err := response.readHead(request); err != nil {
			return err
		}
		if request.Belongs(response.response.StatusCode, response.response.Header) {
			return response.check()
		}
		// A late answer to an earlier request may stand before the one that is expected.
		if err := response.skip(); err != nil {
			return err
		}
	}
	return errStray
}

func (response *Response) readHead(request *Request) error {
	for {
		//nolint:bodyclose // The connection of the body ends or is kept by Close.
		read, err := http.ReadResponse(response.conn.reader, &http.Request{Method: request.Method})
		if err != nil {
			return err
		}
		if read.StatusCode >= http.StatusOK {
			response.response = read
			return nil
		}
	}
}

func (response *Response) skip() error {
	if response.response.Close {
		return errStray
	}
	size, err := io.Copy(io.Discard, io.LimitReader(response.response.Body, maxStrayBytes))
	if err == nil && size == maxStrayBytes {
		return errStray
	}
	return err
}

func (response *Response) check() error {
	header := response.response.Header
	if header.Get("Content-Encoding") != "" {
		return errEncoded
	}
	response.reusable = !response.response.Close
	if header.Get("Keep-Alive") != "" {
		response.conn.idleLimit = idleLimitOf(header)
	}
	return nil
}

// Status returns the status code.
func (response *Response) Status() int { return response.response.StatusCode }

// Header returns the headers.
func (response *Response) Header() http.Header { return response.response.Header }

// Read implements io.Reader for the body. The end is io.EOF only if the body is whole.
func (response *Response) Read(buffer []byte) (int, error) {
	count, err := response.response.Body.Read(buffer)
	if errors.Is(err, io.EOF) {
		response.ended = true
	}
	return count, err
}

// Close ends the exchange. A body that was not read to its end ends the connection, and with it the server's work.
func (response *Response) Close() {
	conn := response.conn
	// The watch has started to end the connection if it cannot be stopped.
	live := response.unwatch()
	pool := conn.pool
	keep := live && response.reusable && response.ended && !response.unsent.Load() && conn.idleLimit > 0 && conn.quiet()
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if !keep {
		pool.forget(conn)
		return
	}
	pool.idle[conn.address] = append(pool.idle[conn.address], idleConn{conn: conn, since: clock.Now()})
}
