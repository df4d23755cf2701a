package link

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
)

// ErrSecondResponse means that another response began in a body. What came before it may be whole, if the body has neither a length
// nor chunks, or not.
var ErrSecondResponse = errors.New("another response follows in a body")

// statusLineForm is the form of the beginning of a status line, with 0 in the place of any digit.
var statusLineForm = []byte("HTTP/0.0 000")

// watchedBody reads the body of a response. It holds back bytes that may be the head of another response, and fails if they are one.
type watchedBody struct {
	source io.Reader
	buffer []byte
	// pending holds what has been read and not been returned. The first safe bytes of it are no part of another response.
	pending []byte
	safe    int
	// err is the error that ended the source, or nil.
	err error
	// isResponse reports whether a head is that of a response, and not a part of a body.
	isResponse func(response *http.Response) bool
	// following returns what has arrived after the end of a body with a length or chunks; it is nil for other bodies.
	following func() []byte
}

// NewUnframedBody returns a reader of a body that has neither a length nor chunks. It fails with ErrSecondResponse at the beginning of
// a further response for which isResponse returns true.
func NewUnframedBody(source io.Reader, isResponse func(response *http.Response) bool) io.Reader {
	return &watchedBody{source: source, buffer: make([]byte, readBufferBytes), isResponse: isResponse}
}

// newFramedBody is NewUnframedBody for a body with a length or chunks. A head at its end is that of another response only if it goes
// on in the bytes that follow the body.
func newFramedBody(source io.Reader, isResponse func(response *http.Response) bool, following func() []byte) io.Reader {
	return &watchedBody{source: source, buffer: make([]byte, readBufferBytes), isResponse: isResponse, following: following}
}

// Read implements io.Reader.
func (watchedBody *watchedBody) Read(buffer []byte) (int, error) {
	for {
		if watchedBody.safe > 0 {
			count := copy(buffer, watchedBody.pending[:watchedBody.safe])
			watchedBody.pending, watchedBody.safe = watchedBody.pending[count:], watchedBody.safe-count
			return count, nil
		}
		if err := watchedBody.scan(); err != nil {
			return 0, err
		}
		if watchedBody.safe > 0 {
			continue
		}
		if watchedBody.err != nil {
			return 0, watchedBody.err
		}
		count, err := watchedBody.source.Read(watchedBody.buffer)
		watchedBody.pending = append(watchedBody.pending, watchedBody.buffer[:count]...)
		watchedBody.err = err
	}
}

// scan finds out how many of the pending bytes are safe: all up to the first that may begin a status line.
func (watchedBody *watchedBody) scan() error {
	pending := watchedBody.pending
	start := indexStatusLine(pending)
	switch {
	case start > 0:
		watchedBody.safe = start
		return nil
	case start < 0:
		watchedBody.safe = len(pending)
		return nil
	case len(pending) < len(statusLineForm):
		if watchedBody.goesOn() {
			return ErrSecondResponse
		}
		if watchedBody.brokeOff() {
			return watchedBody.err
		}
		if watchedBody.err != nil {
			watchedBody.safe = len(pending)
		}
		return nil
	}
	return watchedBody.scanHead()
}

// scanHead decides whether the pending bytes, which begin with a status line, are a response.
func (watchedBody *watchedBody) scanHead() error {
	pending := watchedBody.pending
	switch end := bytes.Index(pending, headEnd); {
	case end >= 0:
		if watchedBody.beginsResponse(pending) {
			return ErrSecondResponse
		}
	case !maybeHead(pending):
	case watchedBody.goesOn():
		return ErrSecondResponse
	case watchedBody.brokeOff():
		return watchedBody.err
	case watchedBody.following == nil && watchedBody.err != nil && bytes.Contains(pending, lineEnd):
		// A second response that was cut off in its head.
		return ErrSecondResponse
	case watchedBody.err == nil && len(pending) <= maxHeadBytes:
		return nil
	}
	watchedBody.safe = len(statusLineForm)
	return nil
}

// beginsResponse reports whether content begins with the whole head of a response.
func (watchedBody *watchedBody) beginsResponse(content []byte) bool {
	end := bytes.Index(content, headEnd)
	if end < 0 {
		return false
	}
	response, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(content[:end+len(headEnd)])), nil)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return watchedBody.isResponse(response)
}

// brokeOff reports whether the source has failed. Its last bytes may be those of another response then.
func (watchedBody *watchedBody) brokeOff() bool {
	return watchedBody.err != nil && !errors.Is(watchedBody.err, io.EOF)
}

// goesOn reports whether the pending bytes end a body with a length or chunks, and are part of a head that goes on after it.
func (watchedBody *watchedBody) goesOn() bool {
	if watchedBody.following == nil || !errors.Is(watchedBody.err, io.EOF) {
		return false
	}
	return watchedBody.beginsResponse(append(bytes.Clone(watchedBody.pending), watchedBody.following()...))
}

// maybeHead reports whether content may be the beginning of a head, as far as its lines are complete.
func maybeHead(content []byte) bool {
	for number := 0; ; number++ {
		line, rest, found := bytes.Cut(content, []byte("\n"))
		if !found {
			return true
		}
		if !bytes.HasSuffix(line, []byte("\r")) || number > 0 && !bytes.Contains(line, []byte(":")) {
			return false
		}
		content = rest
	}
}

// lineEnd ends a line of a head, and headEnd the head.
var (
	lineEnd = []byte("\r\n")
	headEnd = []byte("\r\n\r\n")
)

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
