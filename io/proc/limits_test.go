package proc

import (
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"lentilproxy/io/fake"
)

// Callers press one workspace at all hosts, then at one and at another, while a host is stopped and resumed, one is cut
// from its peers, and the table is away: what all hosts give together stays within burst + rate · time, and comes close
// to it.
func TestLimitOverAllHosts(t *testing.T) {
	t.Parallel()
	const rate, burst, cost = 200.0, 400.0, 10.0
	fleet := newFleet(t, fleetOptions{
		hosts: 3, engines: 1, engineFlags: []string{"--step-time", "1ms", "--step-growth", "0"},
		limit: "rate_tokens_per_second = 200\nburst_tokens = 400\n",
	})
	var target, given atomic.Int64
	target.Store(-1)
	stop := make(chan struct{})
	var group sync.WaitGroup
	began := time.Now()
	for caller := range 12 {
		group.Go(func() {
			for number := caller; ; number++ {
				select {
				case <-stop:
					return
				default:
				}
				host := fleet.hosts[number%3]
				if only := target.Load(); only >= 0 {
					host = fleet.hosts[only]
				}
				// The prompt costs 2 tokens, the answer 8.
				if send(host, "/v1/completions", fleet.key, completionBody("shop/a1", 8)).whole() {
					given.Add(1)
				}
			}
		})
	}
	away := func(away bool) {
		if err := postJSON("http://"+fleet.table+fake.PathFault, fake.TableFault{Unreachable: away}, nil); err != nil {
			t.Error(err)
		}
	}
	for _, step := range []func(){
		func() { target.Store(0) },
		func() { target.Store(1) },
		func() { target.Store(-1); fleet.hosts[2].signal(syscall.SIGSTOP) },
		func() { fleet.hosts[2].signal(syscall.SIGCONT) },
		func() { fleet.isolate(fleet.hosts[1], true) },
		func() { fleet.isolate(fleet.hosts[1], false); away(true) },
		func() { target.Store(2) },
		func() { away(false) },
	} {
		time.Sleep(4 * time.Second)
		step()
	}
	time.Sleep(2 * time.Second)
	close(stop)
	group.Wait()
	elapsed := time.Since(began).Seconds()
	bound := burst + rate*elapsed
	tokens := float64(given.Load()) * cost
	t.Logf("%.0f tokens in %.1f s, of %.0f: %.3f", tokens, elapsed, bound, tokens/bound)
	if tokens > bound {
		t.Errorf("%.0f tokens were given, the limit allows %.0f", tokens, bound)
	}
	// A stopped host and a cut one keep their shares for themselves meanwhile.
	if tokens < bound/2 {
		t.Errorf("%.0f tokens were given, although the limit allows %.0f", tokens, bound)
	}
}
