package front

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"lentilproxy/core/budget"
	"lentilproxy/io/hold"
)

// joinedBytes is the size from which a part of a response is not copied behind its head.
const joinedBytes = 8 << 10

// Exchange is one request and its response.
type Exchange struct {
	conn   *conn
	method string
	target string
	host   string
	header http.Header
	body   []byte
	// unread is set if the body has not been read because the check did not accept the request.
	unread bool
	// share is what the body holds, and response what buffered parts of the response hold. Both may be nil.
	share    *hold.Share
	response *hold.Share
	// close is set if the caller requested that the connection be closed after the response.
	close        bool
	disconnected atomic.Bool
	// begun is set once a part of the response may have been sent, and complete once all of it has been sent.
	begun    bool
	complete bool
	// failed is set once a part could not be sent. Of that part the caller may have received the beginning.
	failed bool
	// lastResponse is set if the response has a Connection: close header.
	lastResponse bool
	// suppressed is set once a response has not been sent because another one had begun.
	suppressed bool
	// open is set from the beginning of a response of unknown length to its end.
	open bool
	// bodiless is set if the response has no body, whatever its headers say.
	bodiless bool
}

// NewExchange returns an exchange without a connection, for a request that is only examined. No response can be written to it.
func NewExchange(method, host, target string, header http.Header, body []byte) *Exchange {
	return &Exchange{method: method, host: host, target: target, header: header, body: body}
}

// Method returns the method of the request.
func (exchange *Exchange) Method() string { return exchange.method }

// Target returns the path and query string as the caller sent them.
func (exchange *Exchange) Target() string { return exchange.target }

// Host returns the value of the Host header.
func (exchange *Exchange) Host() string { return exchange.host }

// Header returns the headers except Host.
func (exchange *Exchange) Header() http.Header { return exchange.header }

// Body returns the complete body.
func (exchange *Exchange) Body() []byte { return exchange.body }

// Unread reports whether the body has not been read. Such a request must be refused.
func (exchange *Exchange) Unread() bool { return exchange.unread }

// ResponseShare returns what buffered parts of the response hold, or nil if nothing bounds them. They may lose their place only while
// the caller does not read.
func (exchange *Exchange) ResponseShare() *hold.Share {
	if exchange.response == nil {
		exchange.response = exchange.conn.server.pool.Open(budget.Responses, true, func() { _ = exchange.conn.raw.Close() })
	}
	return exchange.response
}

// release frees what the request and its response hold.
func (exchange *Exchange) release() {
	exchange.share.Close()
	exchange.response.Close()
}

// Disconnected reports whether the caller has closed the connection.
func (exchange *Exchange) Disconnected() bool { return exchange.disconnected.Load() }

// Begun reports whether a part of the response may have reached the caller.
func (exchange *Exchange) Begun() bool { return exchange.begun }

// Complete reports whether a whole response has been passed to the caller's connection.
func (exchange *Exchange) Complete() bool { return exchange.complete }

// Failed reports whether a part of the response could not be sent.
func (exchange *Exchange) Failed() bool { return exchange.failed }

// Suppressed reports whether a response has not been sent because another one had begun.
func (exchange *Exchange) Suppressed() bool { return exchange.suppressed }

// Respond sends a complete response. If another one has begun, it sends nothing, and the caller receives a truncated response.
func (exchange *Exchange) Respond(status int, header http.Header, body []byte) {
	if exchange.begun {
		exchange.suppress()
		return
	}
	out := exchange.newHead(status, header)
	if statusHasBody(status) {
		fmt.Fprintf(out, "Content-Length: %d\r\n", len(body))
	}
	out.WriteString("\r\n")
	if exchange.bodiless {
		body = nil
	}
	exchange.complete = exchange.write(out.Bytes(), body)
}

// suppress records that a second response is not sent. One that has begun and not ended stays truncated, even if End follows: what
// the handler wanted to be its end belongs to the second one.
func (exchange *Exchange) suppress() {
	exchange.suppressed = true
	exchange.open = false
}

// Begin sends the status line, the headers and the first part of a response of unknown length. Like Respond, it sends nothing
// if another one has begun. It reports whether the part could be sent.
func (exchange *Exchange) Begin(status int, header http.Header, first []byte) bool {
	if exchange.begun {
		exchange.suppress()
		return false
	}
	out := exchange.newHead(status, header)
	if statusHasBody(status) {
		out.WriteString("Transfer-Encoding: chunked\r\n")
	}
	out.WriteString("\r\n")
	exchange.open = true
	if exchange.bodiless || len(first) == 0 {
		return exchange.write(out.Bytes())
	}
	appendChunkSize(out, first)
	return exchange.write(out.Bytes(), first, lineEnd)
}

// Write sends a part of a response that Begin has begun. It reports whether this part and all before it could be sent.
func (exchange *Exchange) Write(part []byte) bool {
	if !exchange.open {
		return false
	}
	if exchange.bodiless {
		return !exchange.failed
	}
	if len(part) == 0 {
		return exchange.write(nil)
	}
	var out bytes.Buffer
	appendChunkSize(&out, part)
	return exchange.write(out.Bytes(), part, lineEnd)
}

// appendChunkSize appends the line that begins a chunk. The chunk itself is not copied.
func appendChunkSize(out *bytes.Buffer, part []byte) {
	fmt.Fprintf(out, "%x\r\n", len(part))
}

// End marks a response that Begin has begun as complete, unless a part of it could not be sent. Without it, the caller receives a
// truncated response.
func (exchange *Exchange) End() {
	if !exchange.open {
		return
	}
	exchange.open = false
	if exchange.bodiless {
		exchange.complete = !exchange.failed
		return
	}
	exchange.complete = exchange.write([]byte("0\r\n\r\n"))
}

// statusHasBody reports whether responses with a status have a body, which may be empty.
func statusHasBody(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}

// newHead returns the status line and headers of a response, without the headers that determine its length.
func (exchange *Exchange) newHead(status int, header http.Header) *bytes.Buffer {
	out := &bytes.Buffer{}
	fmt.Fprintf(out, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	_ = header.Write(out)
	exchange.bodiless = exchange.method == http.MethodHead || !statusHasBody(status)
	exchange.lastResponse = exchange.close || exchange.conn.server.draining.Load()
	if exchange.lastResponse {
		out.WriteString("Connection: close\r\n")
	} else if idle := exchange.conn.server.limits().IdleTimeout; idle >= 2*time.Second {
		out.WriteString("Keep-Alive: timeout=" + strconv.Itoa(int(idle.Seconds())) + "\r\n")
	}
	return out
}

// write sends parts of the response, and reports whether these and all before could be sent. Large parts are not copied.
func (exchange *Exchange) write(first []byte, others ...[]byte) bool {
	if exchange.failed {
		return false
	}
	exchange.begun = true
	if exchange.response != nil {
		exchange.response.Expose()
		defer exchange.response.Pin()
	}
	_ = exchange.conn.raw.SetWriteDeadline(time.Now().Add(writeTimeout))
	exchange.conn.counted.Set(budget.Writing)
	defer exchange.conn.counted.Set(budget.Serving)
	size := 0
	for _, part := range others {
		size += len(part)
	}
	var err error
	if size < joinedBytes {
		for _, part := range others {
			first = append(first, part...)
		}
		_, err = exchange.conn.raw.Write(first)
	} else {
		content := append(net.Buffers{first}, others...)
		_, err = content.WriteTo(exchange.conn.raw)
	}
	exchange.failed = err != nil
	return err == nil
}
