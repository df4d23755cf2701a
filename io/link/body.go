package link

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// ErrSecondResponse means that another response began within a body. What came before it may be whole or not.
var ErrSecondResponse = errors.New("another response begins within the body")

const (
	// maxSecondHeadBytes bounds the head of a response that is looked for within a body, and maxStatusLineBytes its first line.
	maxSecondHeadBytes = 8 << 10
	maxStatusLineBytes = 256
	// minWaitBytes is the length of the beginning of a status line at the end of a body from which on it is worth a wait for the rest. Many
	// bodies end with less of it.
	minWaitBytes = len("HTTP/")
)

// statusLineForm is the form of the beginning of a status line, with 0 in the place of any digit.
var statusLineForm = []byte("HTTP/0.0 000")

// body reads the body of a response. It holds back bytes that may be the head of another response, and fails if they are one: a body
// without a length or chunks ends with its connection, and one that was broken off may be filled up by what follows it.
type body struct {
	source io.Reader
	buffer []byte
	// pending holds what has been read and not been returned. The first safe bytes of it are no part of another response.
	pending []byte
	safe    int
	// store is memory for pending.
	store []byte
	// err is the error that ended the source, or nil. found is set once another response has begun.
	err   error
	found bool
	// isResponse reports whether a head is that of a response, and not a part of a body.
	isResponse func(response *http.Response) bool
	// following returns what has arrived after the end of a body with a length or chunks, and waits a while for a number of bytes; it is nil
	// for other bodies.
	following func(wanted int) []byte
}

// NewUnframedBody returns a reader of a body that has neither a length nor chunks. It fails with ErrSecondResponse at the beginning of
// another response for which isResponse returns true, or that is cut off in its headers.
func NewUnframedBody(source io.Reader, isResponse func(response *http.Response) bool) io.Reader {
	return &body{source: source, buffer: make([]byte, readBufferBytes), isResponse: isResponse}
}

// newFramedBody is NewUnframedBody for a body with a length or chunks. The beginning of a head at its end is that of another response
// only if it goes on in the bytes that follow the body.
func newFramedBody(source io.Reader, isResponse func(response *http.Response) bool, following func(wanted int) []byte) io.Reader {
	return &body{source: source, buffer: make([]byte, readBufferBytes), isResponse: isResponse, following: following}
}

// Read implements io.Reader.
func (body *body) Read(buffer []byte) (int, error) {
	for {
		if body.safe > 0 {
			count := copy(buffer, body.pending[:body.safe])
			body.pending, body.safe = body.pending[count:], body.safe-count
			return count, nil
		}
		body.scan()
		switch {
		case body.found && body.err != nil && !errors.Is(body.err, io.EOF):
			return 0, errors.Join(ErrSecondResponse, body.err)
		case body.found:
			return 0, ErrSecondResponse
		case body.safe > 0:
			continue
		case body.err != nil:
			return 0, body.err
		}
		count, err := body.source.Read(body.buffer)
		if len(body.pending) == 0 {
			// What was pending has been copied, so that its memory can be used again.
			body.store = append(body.store[:0], body.buffer[:count]...)
			body.pending = body.store
		} else {
			body.pending = append(body.pending, body.buffer[:count]...)
		}
		body.err = err
	}
}

// scan finds out how many of the pending bytes are safe: all up to the first that may begin a status line.
func (body *body) scan() {
	if body.found {
		return
	}
	switch start := indexStatusLine(body.pending); {
	case start > 0:
		body.safe = start
	case start < 0:
		body.safe = len(body.pending)
	case len(body.pending) >= len(statusLineForm):
		body.scanHead()
	case body.err != nil:
		body.scanEnd()
	}
}

// scanHead decides whether the pending bytes, which begin with a status line, are a response.
func (body *body) scanHead() {
	switch length, checked, possible := headLength(body.pending); {
	case !possible:
		body.safe = max(len(statusLineForm), checked)
	case length > 0:
		body.scanWholeHead(length)
	case body.err != nil:
		body.scanEnd()
	}
	if body.found {
		body.safe = 0
	}
}

// scanWholeHead decides whether the pending bytes, which have the form of a head up to length, are a response.
func (body *body) scanWholeHead(length int) {
	isHead, isResponse := body.parseHead(body.pending[:length])
	body.found = isResponse
	if body.safe = length; !isHead {
		// The status line may have been cut off and sent again.
		body.safe = len(statusLineForm)
	}
}

// parseHead reports whether content is a head, and whether it is that of another response.
func (body *body) parseHead(content []byte) (isHead, isResponse bool) {
	response, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(content)), nil)
	if err != nil {
		return false, false
	}
	_ = response.Body.Close()
	return true, body.isResponse(response)
}

// scanEnd decides whether the last bytes of the source, which may begin a head, are a part of a response. After a failure, they are
// dropped.
func (body *body) scanEnd() {
	switch {
	case !errors.Is(body.err, io.EOF):
		body.pending = nil
	case body.following == nil:
		body.found = hasHeaders(body.pending)
	default:
		body.found = body.goesOn()
	}
	if !body.found {
		body.safe = min(len(body.pending), len(statusLineForm))
	}
}

// goesOn reports whether the pending bytes at the end of a body are the beginning of a head that goes on in the bytes that follow the body.
// A whole body is followed by nothing, or by the beginning of a response.
func (body *body) goesOn() bool {
	if !isStatusLine(body.pending) {
		return false
	}
	for following := body.following(0); ; {
		joined := append(bytes.Clone(body.pending), following...)
		length, _, possible := headLength(joined)
		possible = possible && isStatusLine(joined) && (len(following) == 0 || !isStatusLine(bytes.TrimLeft(following, "\r\n")))
		switch {
		case !possible:
			return false
		case length > 0:
			_, isResponse := body.parseHead(joined[:length])
			return isResponse
		case len(body.pending) < minWaitBytes:
			return len(following) > 0 && hasHeaders(joined)
		}
		more := body.following(len(following) + 1)
		if len(more) <= len(following) {
			return len(following) > 0 && hasHeaders(joined)
		}
		following = more
	}
}

// hasHeaders reports whether the beginning of a head goes beyond its status line. A status line alone may as well end a body.
func hasHeaders(content []byte) bool {
	_, headers, _ := bytes.Cut(content, lineEnd)
	return len(headers) > 0
}

// lineEnd ends a line of a head. The parser also accepts a line feed alone, with which bodies that contain heads end their lines.
var lineEnd = []byte("\r\n")

// headLength returns the length of the head at the beginning of content, or 0 if its end has not arrived. possible is false if its lines
// cannot be those of a head; no head begins in the first checked bytes of the content then.
func headLength(content []byte) (length, checked int, possible bool) {
	for rest := content; ; {
		line, next, found := bytes.Cut(rest, lineEnd)
		checked = len(content) - len(rest)
		switch {
		case checked > maxSecondHeadBytes:
			// A head that begins in the second half may be shorter.
			return 0, checked / 2, false
		case checked == 0 && len(line) > maxStatusLineBytes, bytes.Contains(line, lineEnd[1:]):
			return 0, checked, false
		case !found:
			return 0, checked, len(content) <= maxSecondHeadBytes
		case checked > 0 && len(line) == 0:
			return len(content) - len(next), checked, true
		case checked > 0 && !isHeaderLine(line):
			return 0, checked, false
		}
		rest = next
	}
}

// isHeaderLine reports whether a line of a head is a header, or continues one.
func isHeaderLine(line []byte) bool {
	name, _, found := bytes.Cut(line, []byte(":"))
	return line[0] == ' ' || line[0] == '\t' || found && httpguts.ValidHeaderFieldName(string(name))
}

// MayBeginHead reports whether the head of a response begins in content, or may begin there if more bytes follow.
func MayBeginHead(content []byte) bool { return indexStatusLine(content) >= 0 }

// indexStatusLine returns the index at which a status line begins, or may begin if more bytes follow; -1 if there is none.
func indexStatusLine(content []byte) int {
	for start := 0; start < len(content); start++ {
		next := bytes.IndexByte(content[start:], statusLineForm[0])
		if next < 0 {
			return -1
		}
		start += next
		if isStatusLine(content[start:]) {
			return start
		}
	}
	return -1
}

// isStatusLine reports whether content begins with a status line, or is the beginning of one.
func isStatusLine(content []byte) bool {
	for index, expected := range statusLineForm[:min(len(statusLineForm), len(content))] {
		isDigit := '0' <= content[index] && content[index] <= '9'
		if expected == '0' && !isDigit || expected != '0' && content[index] != expected {
			return false
		}
	}
	return true
}
