package link

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"lentilproxy/core/spec"
)

// Guards against a part of a response that counts as whole: the server responds to a long request at once, without a length, sends a part
// of the body, and resets the connection while the request is still being written. The reset may be reported to the writer only.
func TestResetWhileTheRequestIsWritten(t *testing.T) {
	server := newConnServer(t, func(_ *fakeServer, conn net.Conn) {
		buffer := make([]byte, 4<<10)
		count, _ := conn.Read(buffer)
		id := strings.Split(strings.SplitAfter(string(buffer[:count]), "X-Id: ")[1], "\r\n")[0]
		write(conn, "HTTP/1.1 200 OK\r\nX-Id: "+id+"\r\n\r\na part of the body")
		time.Sleep(5 * time.Millisecond)
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	})
	pool := newPool(t)
	whole := 0
	for number := range 200 {
		id := fmt.Sprint("id-", number)
		response, err := pool.Do(t.Context(), spec.Server{ID: "s", Address: server.address}, &Request{
			Method: http.MethodPost, Target: "/", Host: "host", Header: http.Header{"X-Id": {id}}, Body: make([]byte, 8<<20), ID: id,
			ResponseID: func(_ int, header http.Header) string { return header.Get("X-Id") },
		})
		if err != nil {
			continue
		}
		if _, err = io.ReadAll(response); err == nil {
			whole++
		}
		response.Close()
	}
	is.New(t).Equal(whole, 0)
}

// A response without a length may as well be whole before the request is: the server reads on.
func TestResponseBeforeTheEndOfItsRequest(t *testing.T) {
	is := is.New(t)
	server := newConnServer(t, func(_ *fakeServer, conn net.Conn) {
		defer func() { _ = conn.Close() }()
		write(conn, "HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\nthe body")
		_ = conn.(*net.TCPConn).CloseWrite()
		time.Sleep(50 * time.Millisecond)
		_, _ = io.CopyN(io.Discard, conn, 8<<20)
	})
	response, err := newPool(t).Do(t.Context(), spec.Server{ID: "s", Address: server.address}, &Request{
		Method: http.MethodPost, Target: "/", Host: "host", Header: http.Header{}, Body: make([]byte, 8<<20), ID: "a",
		ResponseID: func(_ int, header http.Header) string { return header.Get("X-Id") },
	})
	is.NoErr(err)
	defer response.Close()
	body, err := io.ReadAll(response)
	is.NoErr(err)
	is.Equal(string(body), "the body")
}
