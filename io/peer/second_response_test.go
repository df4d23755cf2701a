package peer

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"
)

// Guards against a copy of a result, at once or late, that is taken for the result of another call on the connection.
func TestCopiesOfResultsReachNoOtherCall(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		decoder, last := json.NewDecoder(bufio.NewReader(conn)), ""
		for {
			var call struct {
				ID     json.RawMessage `json:"id"`
				Params json.RawMessage `json:"params"`
			}
			if decoder.Decode(&call) != nil {
				return
			}
			// The copy precedes the result of the next call, and follows its own result.
			result := fmt.Sprintf(`{"jsonrpc":"2.0","id":%s,"result":%s}`, call.ID, call.Params)
			_, _ = io.WriteString(conn, last+result+result)
			last = result
		}
	}()
	pool := NewPool(NewMeter(tally.NoopScope))
	defer pool.Close()
	for number := range 100 {
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		var result int
		err := pool.Call(ctx, listener.Addr().String(), "echo", number, &result)
		cancel()
		is.NoErr(err)
		is.Equal(result, number)
	}
}
