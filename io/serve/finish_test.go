package serve

import (
	"context"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"

	"lentilproxy/core/spec"
	"lentilproxy/io/front"

	"github.com/go-logr/logr/funcr"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"
)

// failingListener is a listener whose connections fail on writes once fail is set.
type failingListener struct {
	net.Listener
	fail bool
}

// Accept implements net.Listener.
func (failingListener *failingListener) Accept() (net.Conn, error) {
	conn, err := failingListener.Listener.Accept()
	if err != nil || !failingListener.fail {
		return conn, err
	}
	return &failingConn{Conn: conn}, nil
}

type failingConn struct{ net.Conn }

// Write implements net.Conn.
func (*failingConn) Write(content []byte) (int, error) {
	return len(content) / 2, os.ErrDeadlineExceeded
}

// Guards against requests that are recorded as answered although the caller cannot have got the response.
func TestOutcomeIsThatOfTheResponse(t *testing.T) {
	respond := func(call *call) { call.respond(http.StatusOK, http.Header{}, []byte("content")) }
	for name, test := range map[string]struct {
		fail       bool
		handle     func(call *call)
		outcome    string
		suppressed int64
	}{
		"whole":             {false, respond, outcomeAnswered, 0},
		"whole, not sent":   {true, respond, outcomeCallerGone, 0},
		"without an end":    {false, func(call *call) { call.begin(http.StatusOK, http.Header{}, []byte("first")) }, outcomeCut, 0},
		"cut intentionally": {false, func(call *call) { call.outcome = outcomeCut }, outcomeCut, 0},
		"two responses": {false, func(call *call) {
			call.begin(http.StatusOK, http.Header{}, []byte("first"))
			respond(call)
		}, outcomeCut, 1},
		"second response after a whole one": {false, func(call *call) {
			respond(call)
			respond(call)
		}, outcomeAnswered, 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			scope := tally.NewTestScope("", nil)
			var logged strings.Builder
			log := funcr.New(func(_, line string) { logged.WriteString(line) }, funcr.Options{})
			outcomes := make(chan string, 1)
			server := front.New(&failingListener{Listener: listener, fail: test.fail}, func() spec.Limits { return front.DefaultLimits },
				func(_ context.Context, exchange *front.Exchange) {
					call := &call{exchange: exchange, service: &Service{metrics: scope, log: log}}
					test.handle(call)
					call.checkSent()
					outcomes <- call.outcome
				})
			t.Cleanup(server.Close)
			conn, err := net.Dial("tcp", listener.Addr().String())
			is.NoErr(err)
			defer func() { _ = conn.Close() }()
			_, err = conn.Write([]byte("GET /a/ HTTP/1.1\r\nHost: a\r\n\r\n"))
			is.NoErr(err)
			is.Equal(<-outcomes, test.outcome)
			counter, counted := scope.Snapshot().Counters()["suppressed_responses+"]
			is.Equal(counted, test.suppressed > 0)
			is.Equal(strings.Contains(logged.String(), "response suppressed"), test.suppressed > 0)
			if counted {
				is.Equal(counter.Value(), test.suppressed)
			}
		})
	}
}
