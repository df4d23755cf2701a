package proc

import (
	"bufio"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// withdrawnWithin is when a withdrawn key must have stopped working everywhere.
const withdrawnWithin = 4 * time.Second

// stream is an open completion whose events are counted as they come.
type stream struct {
	lastEvent atomic.Int64
	events    atomic.Int64
	ended     chan struct{}
	body      string
}

func openStream(t *testing.T, host *host, key string, tokens int) *stream {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, "http://"+host.callers+"/v1/completions", strings.NewReader(completionBody("shop/a1", tokens)))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+key)
	stream := &stream{ended: make(chan struct{})}
	go func() {
		defer close(stream.ended)
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			return
		}
		defer func() { _ = response.Body.Close() }()
		scanner := bufio.NewScanner(response.Body)
		for scanner.Scan() {
			if strings.HasPrefix(scanner.Text(), "data: {\"choices\"") {
				stream.lastEvent.Store(time.Now().UnixNano())
				stream.events.Add(1)
			}
			stream.body += scanner.Text() + "\n"
		}
	}()
	await(t, startWait, "the stream runs", func() bool { return stream.events.Load() > 0 })
	return stream
}

func (stream *stream) last() time.Time { return time.Unix(0, stream.lastEvent.Load()) }

// A withdrawn key stops new requests and open streams on every host, whatever is cut or killed.
func TestWithdrawnKey(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name   string
		before func(fleet *fleet)
		// after breaks something right after the withdrawal was accepted.
		after func(fleet *fleet)
		heal  func(fleet *fleet)
	}{
		{name: "everything up"},
		{
			name:  "accepting daemon killed",
			after: func(fleet *fleet) { fleet.hosts[0].kill() },
		},
		{
			name:   "a host cut from its peers",
			before: func(fleet *fleet) { fleet.isolate(fleet.hosts[2], true) },
		},
		{
			name:   "a host cut from the table",
			before: func(fleet *fleet) { fleet.hosts[2].table.set(everybody, true) },
		},
		{
			name: "a host cut from both",
			before: func(fleet *fleet) {
				fleet.isolate(fleet.hosts[2], true)
				fleet.hosts[2].table.set(everybody, true)
			},
			heal: func(fleet *fleet) {
				fleet.isolate(fleet.hosts[2], false)
				fleet.hosts[2].table.set(everybody, false)
			},
		},
		{
			name:   "a host stopped and resumed",
			before: func(fleet *fleet) { fleet.hosts[2].signal(syscall.SIGSTOP) },
			after: func(fleet *fleet) {
				time.Sleep(withdrawnWithin)
				fleet.hosts[2].signal(syscall.SIGCONT)
			},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			fleet := newFleet(t, fleetOptions{hosts: 3, engines: 1, engineFlags: []string{"--step-time", "20ms"}})
			var streams []*stream
			for _, host := range fleet.hosts {
				streams = append(streams, openStream(t, host, fleet.key, 3000))
			}
			if test.before != nil {
				test.before(fleet)
			}
			output, code := ctl(t, fleet.hosts[0].operators, "key", "withdraw", fleet.keyName)
			accepted := time.Now()
			if code != 0 && code != 4 {
				t.Fatalf("withdraw ended with %d: %s", code, output)
			}
			is.True(!strings.Contains(output, "not yet accepted")) // a majority is there in every case
			if test.after != nil {
				test.after(fleet)
			}
			time.Sleep(time.Until(accepted.Add(withdrawnWithin)))
			for number, host := range fleet.hosts {
				got := send(host, "/v1/completions", fleet.key, completionBody("shop/a1", 1))
				if got.err == nil && got.status == http.StatusOK {
					t.Fatalf("host %d still serves the key", number+1)
				}
			}
			if test.heal != nil {
				test.heal(fleet)
			}
			for number, stream := range streams {
				select {
				case <-stream.ended:
				case <-time.After(withdrawnWithin):
					t.Fatalf("the stream on host %d did not end", number+1)
				}
				is.True(!strings.Contains(stream.body, "[DONE]"))
				if late := stream.last().Sub(accepted); late > withdrawnWithin {
					t.Fatalf("host %d sent an event %s after the withdrawal was accepted", number+1, late)
				}
			}
		})
	}
}

// While the table is away for long, callers with valid keys are served on every host, and open streams go on. A
// short cut of one host from everybody cuts no stream.
func TestTableAwayServes(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	fleet := newFleet(t, fleetOptions{hosts: 3, engines: 1, engineFlags: []string{"--step-time", "20ms"}})
	open := openStream(t, fleet.hosts[1], fleet.key, 700)
	is.NoErr(postJSON("http://"+fleet.table+"/fault", map[string]any{"away": true}, nil))
	began := time.Now()
	for time.Since(began) < 12*time.Second {
		for _, host := range fleet.hosts {
			got := send(host, "/v1/completions", fleet.key, completionBody("shop/a1", 1))
			if !got.whole() {
				t.Fatalf("%s refused after %s: %+v", host.name, time.Since(began), got)
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	is.Equal(send(fleet.hosts[0], "/services/orders/new", fleet.key, "{}", "Idempotency-Key", "k").refusal, refusal{Code: "ledger_unavailable", Executed: "no"})
	is.NoErr(postJSON("http://"+fleet.table+"/fault", map[string]any{"away": false}, nil))
	<-open.ended
	is.True(strings.HasSuffix(open.body, "data: [DONE]\n\n"))

	cut := openStream(t, fleet.hosts[2], fleet.key, 500)
	fleet.isolate(fleet.hosts[2], true)
	fleet.hosts[2].table.set(everybody, true)
	// A request that was admitted before would be held back like an open stream, so the first one waits for this.
	await(t, withdrawnWithin, "the host is not ready", func() bool { return !fleet.hosts[2].ready() })
	stale := send(fleet.hosts[2], "/v1/completions", fleet.key, completionBody("shop/a1", 1))
	is.Equal(stale.refusal, refusal{Code: "host_stale", Executed: "no"})
	fleet.isolate(fleet.hosts[2], false)
	fleet.hosts[2].table.set(everybody, false)
	<-cut.ended
	is.True(strings.HasSuffix(cut.body, "data: [DONE]\n\n"))
	is.Equal(cut.events.Load(), int64(500))
}
