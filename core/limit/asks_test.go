package limit

import (
	"encoding/json"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Hosts that ask each other for what a workspace lacks beyond its limit ask in vain. They must not fill the network with
// it, and must still find what accrues elsewhere.
func TestWorkspaceBeyondItsLimitCausesFewAsks(t *testing.T) {
	for _, test := range []struct {
		name   string
		target func(number int) int
	}{
		{"requests at all hosts", func(number int) int { return number % 25 }},
		{"requests at one host", func(int) int { return 0 }},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			const (
				hosts  = 25
				rate   = 15000.0
				cost   = 700.0
				tick   = 10 * time.Millisecond
				length = 20 * time.Second
				// framing is what a call needs besides its content; control is what a host may send for all of its control.
				framing = 60
				control = 5000
			)
			cluster := newCluster(hosts, rate, rate)
			naive := &central{rate: rate, burst: rate, at: epoch}
			delay := func() (time.Duration, bool) { return 2 * time.Millisecond, true }
			type waiting struct {
				host     int
				deadline time.Time
			}
			var queue []waiting
			asks, requests, bytes := 0, 0, 0
			ask := func(host int) {
				cluster.giveBack(host, delay)
				before := len(cluster.pending)
				cluster.borrow(host, delay)
				for _, message := range cluster.pending[before:] {
					encoded, err := json.Marshal(message.ask)
					is.NoErr(err)
					asks++
					// The answer is about as long.
					bytes += 2 * (len(encoded) + framing)
				}
			}
			shared, single, owed := 0.0, 0.0, 0.0
			for elapsed := time.Duration(0); elapsed < length; elapsed += tick {
				cluster.advance(epoch.Add(elapsed), delay)
				if elapsed%(200*time.Millisecond) == 0 {
					for number := range cluster.banks {
						ask(number)
					}
				}
				for owed += 2 * rate * tick.Seconds(); owed >= cost; owed -= cost {
					queue = append(queue, waiting{host: test.target(requests), deadline: cluster.now.Add(60 * time.Millisecond)})
					cluster.banks[test.target(requests)].Demand(cluster.now, workspace, cost)
					requests++
					if naive.spend(cluster.now, cost) {
						single += cost
					}
				}
				queue = slices.DeleteFunc(queue, func(request waiting) bool {
					bank := cluster.banks[request.host]
					if receipt, _ := bank.Spend(cluster.now, workspace, cost); receipt != nil {
						shared += cost
						cluster.spent = append(cluster.spent, spending{at: cluster.now, tokens: cost})
						return true
					}
					if !cluster.now.Before(request.deadline) || bank.Hopeless(cluster.now, workspace, cost, request.deadline) {
						return true
					}
					ask(request.host)
					return false
				})
			}
			t.Logf("%d asks and %d KB for %d requests; %.0f tokens, %.0f of a central bucket", asks, bytes/1000, requests, shared, single)
			is.True(float64(bytes) <= control*hosts*length.Seconds())
			is.True(shared >= 0.9*single)
			is.True(cluster.excess() <= tolerance)
		})
	}
}
