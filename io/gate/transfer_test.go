package gate

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A body was read whole before the key was checked: a caller without one could make the host hold it. Connections of refused requests
// with small bodies are kept.
func TestKeyIsCheckedBeforeTheBody(t *testing.T) {
	deployment := newDeployment(t, 0)
	for name, test := range map[string]struct {
		path, framing, body string
		status              int
		kept                bool
	}{
		"service":       {"/services/stock/1", "Content-Length: 500000", "abc", http.StatusUnauthorized, false},
		"completion":    {"/v1/completions", "Content-Length: 500000", "abc", http.StatusUnauthorized, false},
		"chunked":       {"/v1/completions", "Transfer-Encoding: chunked", "3\r\nabc", http.StatusUnauthorized, false},
		"small":         {"/v1/completions", "Content-Length: 3", "abc", http.StatusUnauthorized, true},
		"too large":     {"/v1/completions", "Content-Length: 5000000", "abc", http.StatusRequestEntityTooLarge, false},
		"unknown route": {"/services/other/1", "Content-Length: 500000", "abc", http.StatusUnauthorized, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			conn, err := net.Dial("tcp", strings.TrimPrefix(deployment.url, "http://"))
			is.NoErr(err)
			defer func() { _ = conn.Close() }()
			_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
			_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer lk_a_b\r\n%s\r\n\r\n%s", test.path, test.framing, test.body)
			is.NoErr(err)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			is.NoErr(err)
			defer func() { _ = response.Body.Close() }()
			is.Equal(response.StatusCode, test.status)
			is.Equal(!response.Close, test.kept)
		})
	}
}
