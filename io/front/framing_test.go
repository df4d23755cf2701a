package front

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

const expectingRequest = "POST /a/ HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n"

// Guards against a response that follows a part of the line that asks for the body: the caller would read bytes that are no response.
func TestNothingFollowsAPartOfTheContinueLine(t *testing.T) {
	is := is.New(t)
	caller, served := net.Pipe()
	defer func() { _ = caller.Close() }()
	writer := &shortWriter{Conn: served, failures: 1}
	recorder := &recorder{}
	server, _ := newServer(t, recorder)
	conn := &conn{server: server, raw: writer, reader: bufio.NewReaderSize(writer, readBufferBytes)}
	go func() { _, _ = io.WriteString(caller, expectingRequest+"hi") }()
	conn.serve()
	is.Equal(writer.written.String(), string(continueLine[:len(continueLine)/2]))
	is.Equal(len(recorder.recorded()), 0)
}

// Guards against a caller that waits for the line in vain: the time in which the previous response had to be sent may be over.
func TestContinueLineIsSentLongAfterAResponse(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	caller, err := net.Dial("tcp", listener.Addr().String())
	is.NoErr(err)
	defer func() { _ = caller.Close() }()
	raw, err := listener.Accept()
	is.NoErr(err)
	is.NoErr(raw.SetWriteDeadline(pastDeadline))
	server, _ := newServer(t, &recorder{})
	conn := &conn{server: server, raw: raw, reader: bufio.NewReaderSize(raw, readBufferBytes)}
	go conn.serve()
	_, _ = io.WriteString(caller, expectingRequest)
	_ = caller.SetReadDeadline(time.Now().Add(time.Second))
	line := make([]byte, len(continueLine))
	_, err = io.ReadFull(caller, line)
	is.NoErr(err)
	is.Equal(line, continueLine)
	_, _ = io.WriteString(caller, "hi")
	response, err := http.ReadResponse(bufio.NewReader(caller), nil)
	is.NoErr(err)
	_ = response.Body.Close()
	is.Equal(response.StatusCode, http.StatusOK)
}

// Guards against bytes that callers take for the beginning of another response, or for a part of one: what follows a head must be
// what the method and the status announce.
func TestBytesAfterAHeadAreThoseOfItsBody(t *testing.T) {
	whole := func(status int) func(exchange *Exchange) {
		return func(exchange *Exchange) { exchange.Respond(status, http.Header{}, []byte("content")) }
	}
	inParts := func(status int) func(exchange *Exchange) {
		return func(exchange *Exchange) {
			exchange.Begin(status, http.Header{}, []byte("first"))
			exchange.Write([]byte("second"))
			exchange.End()
		}
	}
	for name, test := range map[string]struct {
		method  string
		headers string
		handle  func(exchange *Exchange)
		// body is what must follow the head.
		body string
	}{
		"whole":                          {http.MethodGet, "", whole(http.StatusOK), "content"},
		"whole, HEAD":                    {http.MethodHead, "", whole(http.StatusOK), ""},
		"rejected, HEAD":                 {http.MethodHead, "Host: b\r\n", whole(http.StatusOK), ""},
		"rejected with its length, HEAD": {http.MethodHead, "Content-Length: 99999999\r\n", whole(http.StatusOK), ""},
		"whole, 204":                     {http.MethodGet, "", whole(http.StatusNoContent), ""},
		"whole, 304":                     {http.MethodGet, "", whole(http.StatusNotModified), ""},
		"whole, 205":                     {http.MethodGet, "", whole(http.StatusResetContent), "content"},
		"in parts":                       {http.MethodGet, "", inParts(http.StatusOK), "5\r\nfirst\r\n6\r\nsecond\r\n0\r\n\r\n"},
		"in parts, HEAD":                 {http.MethodHead, "", inParts(http.StatusOK), ""},
		"in parts, 204":                  {http.MethodGet, "", inParts(http.StatusNoContent), ""},
		"in parts, 304":                  {http.MethodGet, "", inParts(http.StatusNotModified), ""},
		"end without beginning":          {http.MethodGet, "Expect: 100-continue\r\n", func(exchange *Exchange) { exchange.End() }, ""},
		"part without beginning":         {http.MethodGet, "Expect: 100-continue\r\n", func(exchange *Exchange) { exchange.Write([]byte("part")) }, ""},
		"end after whole": {http.MethodGet, "", func(exchange *Exchange) {
			whole(http.StatusOK)(exchange)
			exchange.End()
		}, "content"},
		"part after whole": {http.MethodGet, "", func(exchange *Exchange) {
			whole(http.StatusOK)(exchange)
			exchange.Write([]byte("part"))
		}, "content"},
		"two ends": {http.MethodGet, "", func(exchange *Exchange) {
			inParts(http.StatusOK)(exchange)
			exchange.End()
		}, "5\r\nfirst\r\n6\r\nsecond\r\n0\r\n\r\n"},
		"part after end": {http.MethodGet, "", func(exchange *Exchange) {
			inParts(http.StatusOK)(exchange)
			exchange.Write([]byte("part"))
		}, "5\r\nfirst\r\n6\r\nsecond\r\n0\r\n\r\n"},
		"whole after a beginning, and an end": {http.MethodGet, "", func(exchange *Exchange) {
			exchange.Begin(http.StatusOK, http.Header{}, []byte("first"))
			whole(http.StatusBadGateway)(exchange)
			exchange.End()
		}, "5\r\nfirst\r\n"},
		"two beginnings, and an end": {http.MethodGet, "", func(exchange *Exchange) {
			exchange.Begin(http.StatusOK, http.Header{}, []byte("first"))
			inParts(http.StatusOK)(exchange)
		}, "5\r\nfirst\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			recorder := &recorder{serve: func(_ context.Context, exchange *Exchange) { test.handle(exchange) }}
			_, address := newServer(t, recorder)
			caller, err := net.Dial("tcp", address)
			is.NoErr(err)
			defer func() { _ = caller.Close() }()
			_ = caller.SetReadDeadline(time.Now().Add(time.Second))
			_, _ = io.WriteString(caller, test.method+" /a/ HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"+test.headers+"\r\n")
			content, err := io.ReadAll(caller)
			is.NoErr(err)
			_, body, found := strings.Cut(string(content), "\r\n\r\n")
			is.True(found)
			is.Equal(body, test.body)
		})
	}
}
