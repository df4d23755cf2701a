package table

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"lentilproxy"
)

// Guards against a late copy of a response that is taken for the response to the next call, by which a transaction that failed
// would count as committed, and a call would get the rows of another one.
func TestLateCopyIsNotTheNextResponse(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go respondTwice(conn)
		}
	}()
	client := New(listener.Addr().String())
	for number := range 6 {
		key := fmt.Sprint("row-", number)
		outcome, err := client.Commit(t.Context(), lentilproxy.Transaction{Conditions: []lentilproxy.Condition{{Key: key}}})
		is.NoErr(err)
		t.Log(key, "committed:", outcome.Committed)
		is.Equal(outcome.Committed, number%2 == 0)
	}
	for number := range 6 {
		key := fmt.Sprint("row-", number)
		result, err := client.Read(t.Context(), lentilproxy.ReadRequest{Keys: []string{key}})
		is.NoErr(err)
		is.Equal(result.Row(key).Version, int64(1))
	}
}

// respondTwice responds to each request of a connection, and sends a copy of the response right before the next one. A
// transaction is committed if the number of its row is even.
func respondTwice(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader, last := bufio.NewReader(conn), ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		content, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		var body any
		if request.URL.Path == PathCommit {
			var transaction lentilproxy.Transaction
			_ = json.Unmarshal(content, &transaction)
			key := transaction.Conditions[0].Key
			body = lentilproxy.CommitResult{Committed: (key[len(key)-1]-'0')%2 == 0}
		} else {
			var read lentilproxy.ReadRequest
			_ = json.Unmarshal(content, &read)
			body = lentilproxy.ReadResult{Rows: []lentilproxy.Row{{Key: read.Keys[0], Version: 1, Value: []byte(`{}`)}}}
		}
		encoded, _ := json.Marshal(body)
		_, _ = io.WriteString(conn, last)
		time.Sleep(time.Millisecond)
		last = fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(encoded), encoded)
		_, _ = io.WriteString(conn, last)
	}
}
