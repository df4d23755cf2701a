package proc

import (
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"lentilproxy/io/fake"
)

// Callers of one workspace send at full speed to all hosts, then to one host and then to another. Meanwhile a host is
// suspended and resumed, a host is isolated from its peers, and the table service becomes unavailable. The tokens that
// all hosts grant together must stay within burst + rate · time, and reach at least half of it.
func TestLimitOverAllHosts(t *testing.T) {
	t.Parallel()
	const rate, burst, cost = 200.0, 400.0, 10.0
	fleet := newFleet(t, fleetOptions{
		hosts: 3, engines: 1, engineFlags: []string{"--step-time", "1ms", "--step-growth", "0"},
		limit: "rate_tokens_per_second = 200\nburst_tokens = 400\n",
	})
	var target, completed atomic.Int64
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
				// The prompt costs 2 tokens, the response 8.
				if send(host, "/v1/completions", fleet.key, completionBody("shop/a1", 8)).complete() {
					completed.Add(1)
				}
			}
		})
	}
	unavailable := func(unavailable bool) {
		if err := postJSON("http://"+fleet.table+fake.PathFault, fake.TableFault{Unreachable: unavailable}, nil); err != nil {
			t.Error(err)
		}
	}
	for _, step := range []func(){
		func() { target.Store(0) },
		func() { target.Store(1) },
		func() { target.Store(-1); fleet.hosts[2].signal(syscall.SIGSTOP) },
		func() { fleet.hosts[2].signal(syscall.SIGCONT) },
		func() { fleet.isolate(fleet.hosts[1], true) },
		func() { fleet.isolate(fleet.hosts[1], false); unavailable(true) },
		func() { target.Store(2) },
		func() { unavailable(false) },
	} {
		time.Sleep(4 * time.Second)
		step()
	}
	time.Sleep(2 * time.Second)
	close(stop)
	group.Wait()
	elapsed := time.Since(began).Seconds()
	bound := burst + rate*elapsed
	tokens := float64(completed.Load()) * cost
	t.Logf("%.0f tokens in %.1f s, limit %.0f, fraction %.3f", tokens, elapsed, bound, tokens/bound)
	if tokens > bound {
		t.Errorf("%.0f tokens were granted, more than the limit of %.0f", tokens, bound)
	}
	// The shares of a suspended or isolated host are not available to the other hosts meanwhile.
	if tokens < bound/2 {
		t.Errorf("%.0f tokens were granted, less than half of the limit of %.0f", tokens, bound)
	}
}
