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

// Guards against the reset of a connection whose last response has not been delivered: a caller that has sent more in the meantime
// would get a part of it.
func TestLastResponseArrivesDespiteUnreadRequests(t *testing.T) {
	const size = 8 << 20
	for name, drain := range map[string]bool{"drain": true, "connection to be closed": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var server *Server
			recorder := &recorder{serve: func(_ context.Context, exchange *Exchange) {
				if drain {
					server.Drain()
				}
				exchange.Respond(http.StatusOK, http.Header{}, make([]byte, size))
			}}
			created, address := newServer(t, recorder)
			server = created
			conn, err := net.Dial("tcp", address)
			is.NoErr(err)
			defer func() { _ = conn.Close() }()
			head := "GET /1/ HTTP/1.1\r\nHost: a\r\n"
			if !drain {
				head += "Connection: close\r\n"
			}
			next := "POST /2/ HTTP/1.1\r\nHost: a\r\nContent-Length: 20000\r\n\r\n" + strings.Repeat("x", 20000)
			_, err = io.WriteString(conn, head+"\r\n"+next)
			is.NoErr(err)
			time.Sleep(50 * time.Millisecond)
			_ = conn.SetReadDeadline(time.Now().Add(3 * time.Second))
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			is.NoErr(err)
			defer func() { _ = response.Body.Close() }()
			content, err := io.ReadAll(response.Body)
			is.NoErr(err)
			is.Equal(len(content), size)
			is.Equal(len(recorder.recorded()), 1)
		})
	}
}
