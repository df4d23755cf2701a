package front

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httputil"
	"strconv"
	"sync/atomic"
	"time"
)

// Exchange is one request and its answer.
type Exchange struct {
	conn   *conn
	method string
	target string
	host   string
	header http.Header
	body   []byte
	// close says that the caller wants the connection closed.
	close bool
	gone  atomic.Bool
	// begun says that a part of the answer may be out, complete that all of it is.
	begun      bool
	complete   bool
	lastAnswer bool
	chunked    bool
}

// Method returns the request's method.
func (exchange *Exchange) Method() string { return exchange.method }

// Target returns the path and query as the caller sent them.
func (exchange *Exchange) Target() string { return exchange.target }

// Host returns the host that the caller named.
func (exchange *Exchange) Host() string { return exchange.host }

// Header returns the headers without Host.
func (exchange *Exchange) Header() http.Header { return exchange.header }

// Body returns the whole body.
func (exchange *Exchange) Body() []byte { return exchange.body }

// Gone says whether the caller has closed the connection.
func (exchange *Exchange) Gone() bool { return exchange.gone.Load() }

// Begun says whether a part of the answer may have reached the caller.
func (exchange *Exchange) Begun() bool { return exchange.begun }

// Respond sends a whole answer.
func (exchange *Exchange) Respond(status int, header http.Header, body []byte) {
	out := exchange.head(status, header)
	if status != http.StatusNoContent && status != http.StatusNotModified {
		fmt.Fprintf(out, "Content-Length: %d\r\n", len(body))
	}
	out.WriteString("\r\n")
	if exchange.method != http.MethodHead {
		out.Write(body)
	}
	exchange.complete = exchange.write(out.Bytes())
}

// Begin sends the head of an answer whose length is not known.
func (exchange *Exchange) Begin(status int, header http.Header, first []byte) {
	out := exchange.head(status, header)
	out.WriteString("Transfer-Encoding: chunked\r\n\r\n")
	exchange.chunked = true
	appendChunk(out, first)
	exchange.write(out.Bytes())
}

// Write sends a part of an answer that was begun. It says whether the caller still takes it.
func (exchange *Exchange) Write(part []byte) bool {
	var out bytes.Buffer
	appendChunk(&out, part)
	return exchange.write(out.Bytes())
}

func appendChunk(out *bytes.Buffer, part []byte) {
	if len(part) == 0 {
		return
	}
	writer := httputil.NewChunkedWriter(out)
	_, _ = writer.Write(part)
}

// End ends an answer that was begun, as complete.
func (exchange *Exchange) End() {
	exchange.complete = exchange.write([]byte("0\r\n\r\n"))
}

// head starts an answer.
func (exchange *Exchange) head(status int, header http.Header) *bytes.Buffer {
	out := &bytes.Buffer{}
	fmt.Fprintf(out, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	_ = header.Write(out)
	exchange.lastAnswer = exchange.close || exchange.conn.server.draining.Load()
	if exchange.lastAnswer {
		out.WriteString("Connection: close\r\n")
	} else if idle := exchange.conn.server.limits().IdleTimeout; idle >= 2*time.Second {
		out.WriteString("Keep-Alive: timeout=" + strconv.Itoa(int(idle.Seconds())) + "\r\n")
	}
	return out
}

func (exchange *Exchange) write(content []byte) bool {
	exchange.begun = true
	_ = exchange.conn.raw.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := exchange.conn.raw.Write(content)
	return err == nil
}
