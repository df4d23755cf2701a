package link

import (
	"net"
	"testing"

	"github.com/matryer/is"
)

// Guards against responses whose status is none.
func TestInvalidStatusIsNoResponse(t *testing.T) {
	for _, status := range []string{"000 ", "000 OK", "099 x", "+20 OK", "600 x", "999 x"} {
		t.Run(status, func(t *testing.T) {
			server := newFakeServer(t, func(conn net.Conn, _ int, id string) bool {
				write(conn, "HTTP/1.1 "+status+"\r\nX-Id: "+id+"\r\nContent-Length: 0\r\n\r\n"+okResponse(id, "ok"))
				return true
			})
			_, got, err := send(newPool(t), server, "a")
			is.New(t).True(err != nil)
			is.New(t).Equal(got, 0)
		})
	}
}
