package peer

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"
)

// startServer returns the address of a server whose calls wait for a channel.
func startServer(t *testing.T, proceed <-chan struct{}, called chan<- struct{}) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := NewServer(listener, NewMeter(tally.NoopScope), func(context.Context, string, json.RawMessage) (any, error) {
		called <- struct{}{}
		<-proceed
		return "done", nil
	})
	t.Cleanup(server.Close)
	return listener.Addr().String()
}

func TestLongCallKeepsItsConnection(t *testing.T) {
	is := is.New(t)
	proceed, called := make(chan struct{}), make(chan struct{}, 1)
	address := startServer(t, proceed, called)
	pool := NewPool(NewMeter(tally.NoopScope))
	defer pool.Close()
	failed := make(chan error, 1)
	go func() {
		var result string
		failed <- pool.Call(t.Context(), address, "wait", nil, &result)
	}()
	<-called
	pool.closeIdle(time.Now().Add(2 * IdleTimeout))
	close(proceed)
	is.NoErr(<-failed)
	pool.closeIdle(time.Now().Add(2 * IdleTimeout))
	is.Equal(len(pool.entries), 0) // The connection is idle after the call.
}

// The check for idle connections runs while connections are opened. The race detector checks the shared fields.
func TestConnectionsAreOpenedWhileIdleOnesAreClosed(t *testing.T) {
	proceed, called := make(chan struct{}), make(chan struct{}, 100)
	close(proceed)
	address := startServer(t, proceed, called)
	pool := NewPool(NewMeter(tally.NoopScope))
	defer pool.Close()
	var calls sync.WaitGroup
	for range 20 {
		calls.Go(func() {
			var result string
			if err := pool.Call(t.Context(), address, "wait", nil, &result); err != nil {
				t.Error(err)
			}
		})
		pool.closeIdle(time.Now().Add(2 * IdleTimeout))
	}
	calls.Wait()
}
