package link

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
)

// ErrSecondResponse means that a body without a length or chunks was followed by another response. What came before it may be whole
// or not.
var ErrSecondResponse = errors.New("another response follows in a body without a length or chunks")

// statusLineForm is the form of the beginning of a status line, with 0 in the place of any digit.
var statusLineForm = []byte("HTTP/0.0 000")

// unframedBody reads the body of a response that has neither a length nor chunks and ends with its connection. It holds back bytes
// that may be the head of another response, and fails if they are one.
type unframedBody struct {
	source io.Reader
	buffer []byte
	// pending holds what has been read and not been returned. The first safe bytes of it are no part of another response.
	pending []byte
	safe    int
	// err is the error that ended the source, or nil.
	err error
	// isResponse reports whether a head is that of a response, and not a part of a body.
	isResponse func(response *http.Response) bool
}

// NewUnframedBody returns a reader of a body that has neither a length nor chunks. It fails with ErrSecondResponse at the beginning of
// a further response for which isResponse returns true.
func NewUnframedBody(source io.Reader, isResponse func(response *http.Response) bool) io.Reader {
	return &unframedBody{source: source, buffer: make([]byte, readBufferBytes), isResponse: isResponse}
}

// Read implements io.Reader.
func (unframedBody *unframedBody) Read(buffer []byte) (int, error) {
	for {
		if unframedBody.safe > 0 {
			count := copy(buffer, unframedBody.pending[:unframedBody.safe])
			unframedBody.pending, unframedBody.safe = unframedBody.pending[count:], unframedBody.safe-count
			return count, nil
		}
		if err := unframedBody.scan(); err != nil {
			return 0, err
		}
		if unframedBody.safe > 0 {
			continue
		}
		if unframedBody.err != nil {
			return 0, unframedBody.err
		}
		count, err := unframedBody.source.Read(unframedBody.buffer)
		unframedBody.pending = append(unframedBody.pending, unframedBody.buffer[:count]...)
		unframedBody.err = err
	}
}

// scan finds out how many of the pending bytes are safe: all up to the first that may begin a status line.
func (unframedBody *unframedBody) scan() error {
	pending := unframedBody.pending
	start := indexStatusLine(pending)
	switch {
	case start > 0:
		unframedBody.safe = start
		return nil
	case start < 0:
		unframedBody.safe = len(pending)
		return nil
	case len(pending) < len(statusLineForm):
		if unframedBody.err != nil {
			unframedBody.safe = len(pending)
		}
		return nil
	}
	return unframedBody.scanHead()
}

// scanHead decides whether the pending bytes, which begin with a status line, are a response.
func (unframedBody *unframedBody) scanHead() error {
	pending := unframedBody.pending
	switch end := bytes.Index(pending, headEnd); {
	case end >= 0:
		response, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(pending[:end+len(headEnd)])), nil)
		if err == nil {
			_ = response.Body.Close()
		}
		if err == nil && unframedBody.isResponse(response) {
			return ErrSecondResponse
		}
	case !maybeHead(pending):
	case unframedBody.err != nil && bytes.Contains(pending, lineEnd):
		// A second response that was cut off in its head.
		return ErrSecondResponse
	case unframedBody.err == nil && len(pending) <= maxHeadBytes:
		return nil
	}
	unframedBody.safe = len(statusLineForm)
	return nil
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
