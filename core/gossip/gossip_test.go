package gossip

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const (
	interval = 200 * time.Millisecond
	maxCalls = 10
	duration = 10 * time.Second
	// step is the resolution of time; delays and phases are multiples of it.
	step = 5 * time.Millisecond
)

var start = time.Unix(1000, 0)

// network simulates hosts that call each other with a delay.
type network struct {
	schedules []*Schedule
	phases    []time.Duration
	delay     time.Duration
	calls     int
	// exchangedAt is when two hosts, by number, had their last exchange; longestGap is the longest time between two
	// exchanges of a pair.
	exchangedAt map[[2]int]time.Time
	longestGap  time.Duration
	// answeredAt is when the first host of a pair had its last answered call to the second one; longestAnswerGap is the
	// longest time between two of them.
	answeredAt       map[[2]int]time.Time
	longestAnswerGap time.Duration
	unreachable      func(now time.Time, caller, callee int) bool
}

func newNetwork(count int, phase func(host int) time.Duration, delay time.Duration) *network {
	network := &network{delay: delay, exchangedAt: map[[2]int]time.Time{}, answeredAt: map[[2]int]time.Time{}}
	for host := range count {
		network.schedules = append(network.schedules, New(name(host), interval, maxCalls))
		network.phases = append(network.phases, phase(host))
	}
	for host, schedule := range network.schedules {
		var peers []string
		for other := range count {
			if other != host {
				peers = append(peers, name(other))
			}
		}
		schedule.SetPeers(start, peers)
	}
	return network
}

func name(host int) string { return fmt.Sprintf("host-%03d", host) }

// simulate advances the time in steps and makes the calls that are due.
func (network *network) simulate() {
	type arrival struct{ caller, callee int }
	arrivals := map[time.Time][]arrival{}
	for now := start; now.Before(start.Add(duration)); now = now.Add(step) {
		for _, arrival := range arrivals[now] {
			network.schedules[arrival.callee].RecordReceived(now, name(arrival.caller))
			network.recordExchange(now, arrival.caller, arrival.callee)
		}
		delete(arrivals, now)
		for host, schedule := range network.schedules {
			if now.Sub(start)%interval != network.phases[host] {
				continue
			}
			for _, peer := range schedule.Due(now) {
				var callee int
				_, _ = fmt.Sscanf(peer, "host-%d", &callee)
				schedule.RecordCall(now, peer)
				network.calls++
				if network.unreachable != nil && network.unreachable(now, host, callee) {
					continue
				}
				at := now.Add(network.delay)
				arrivals[at] = append(arrivals[at], arrival{host, callee})
			}
		}
	}
}

func (network *network) recordExchange(now time.Time, caller, callee int) {
	pair := [2]int{min(caller, callee), max(caller, callee)}
	if before, found := network.exchangedAt[pair]; found {
		network.longestGap = max(network.longestGap, now.Sub(before))
	}
	network.exchangedAt[pair] = now
	if before, found := network.answeredAt[[2]int{caller, callee}]; found {
		network.longestAnswerGap = max(network.longestAnswerGap, now.Sub(before))
	}
	network.answeredAt[[2]int{caller, callee}] = now
}

func TestEveryPairExchangesEachPeriodWithHalfTheCalls(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(2, 30).Draw(t, "hosts")
		delay := time.Duration(rapid.IntRange(1, 12).Draw(t, "delay")) * step
		network := newNetwork(count, func(int) time.Duration {
			return time.Duration(rapid.IntRange(0, int(interval/step)-1).Draw(t, "phase")) * step
		}, delay)
		network.simulate()
		period := network.schedules[0].Period()
		if pairs := count * (count - 1) / 2; len(network.exchangedAt) != pairs {
			t.Fatalf("%d of %d pairs had an exchange", len(network.exchangedAt), pairs)
		}
		// Half an interval comes from rounding, and one more if a peer is due while maxCalls others are.
		if bound := period + interval + interval/2 + delay; network.longestGap > bound {
			t.Fatalf("%s between two exchanges, more than %s", network.longestGap, bound)
		}
		if bound := 2*(period+interval) + interval; network.longestAnswerGap > bound {
			t.Fatalf("%s between two answered calls, more than %s", network.longestAnswerGap, bound)
		}
		// If responses carried no state, each host would have to call each other host once in every period.
		oneWayCalls := float64(count*(count-1)) * duration.Seconds() / period.Seconds()
		if float64(network.calls) > 0.65*oneWayCalls {
			t.Fatalf("%d calls; without state in the responses it would take %.0f", network.calls, oneWayCalls)
		}
	})
}

func TestPeerWhoseCallsFailIsCalled(t *testing.T) {
	is := is.New(t)
	network := newNetwork(2, func(host int) time.Duration { return time.Duration(host) * 70 * time.Millisecond }, 5*time.Millisecond)
	network.unreachable = func(_ time.Time, caller, _ int) bool { return caller == 0 }
	network.simulate()
	is.True(len(network.exchangedAt) == 1)
	is.True(network.longestGap <= 2*interval+interval)
}

func TestUnreachablePeersDoNotDelayOthers(t *testing.T) {
	is := is.New(t)
	schedule := New("host-000", interval, 2)
	schedule.SetPeers(start, []string{"host-001", "host-002", "host-003"})
	called := map[string]int{}
	for round := range 60 {
		now := start.Add(time.Duration(round) * interval)
		for _, peer := range schedule.Due(now) {
			called[peer]++
			schedule.RecordCall(now, peer)
		}
	}
	for _, count := range called {
		is.True(count >= 60/5) // once in every two periods of two intervals, allowing one more interval
	}
	is.Equal(len(called), 3)
	schedule.SetPeers(start, []string{"host-002"})
	is.Equal(schedule.Period(), interval)
	is.Equal(schedule.Due(start.Add(time.Minute)), []string{"host-002"})
}
