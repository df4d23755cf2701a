package front

import (
	"bufio"
	"io"
	"net"
	"net/http"
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
