package warm

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"lentilproxy/core/spec"
	"lentilproxy/core/value"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const (
	testStep = 20 * time.Millisecond
	// maxLate is how late hosts learn of a cold server, and maxTransit how long a request takes until it arrives.
	maxLate    = 1200 * time.Millisecond
	maxTransit = 200 * time.Millisecond
)

// fleet simulates hosts that send as many requests to one cold server as their gates allow.
type fleet struct {
	random  *rand.Rand
	start   time.Time
	service spec.Service
	// rows are the names of the hosts that have rows, and history the rows of earlier steps.
	rows     map[string]bool
	history  [][]string
	hosts    map[string]*testHost
	arrivals []time.Time
}

type testHost struct {
	gate *Gate
	// cutUntil is the time until which the host reads nothing, and learnsAt when it learns that the server is cold.
	cutUntil time.Time
	learnsAt time.Time
	learned  bool
}

func (fleet *fleet) startHost(now time.Time, name string, overage, allowance float64, coldAt time.Time, warmBefore bool) {
	gate := New(name)
	gate.SetBounds(overage, allowance)
	late := coldAt.Add(time.Duration(fleet.random.Int64N(int64(maxLate))))
	if late.Before(now) {
		late = now
	}
	if warmBefore && now.Before(coldAt) {
		gate.Update(now, map[string]spec.Server{"s": {ID: "s"}})
	}
	fleet.hosts[name] = &testHost{gate: gate, learnsAt: late}
}

// read lets a host read the rows as they were a while ago.
func (fleet *fleet) read(now time.Time, host *testHost) {
	age := fleet.random.IntN(min(len(fleet.history), 20))
	host.gate.SetHosts(now, fleet.history[len(fleet.history)-1-age])
	host.gate.Prove(now.Add(-time.Duration(age) * testStep))
}

// disturb cuts off, restarts, starts, stops and removes hosts.
func (fleet *fleet) disturb(now time.Time, restart func(name string)) {
	name := fmt.Sprint("host-", fleet.random.IntN(12))
	host := fleet.hosts[name]
	switch choice := fleet.random.IntN(5); {
	case host == nil:
		fleet.rows[name] = true
		restart(name)
	case choice == 0:
		host.cutUntil = now.Add(time.Duration(fleet.random.Int64N(int64(8 * time.Second))))
	case choice == 1:
		restart(name)
	case choice == 2:
		delete(fleet.rows, name)
		delete(fleet.hosts, name)
	case choice == 3:
		// Other hosts have expelled it.
		delete(fleet.rows, name)
	case !fleet.rows[name]:
		// Its renewal was refused, so it adds its row again. No other host can do that.
		host.gate.Leave()
		host.gate.Join(now)
		fleet.rows[name] = true
	}
}

// Guards against more requests to a cold server, in any second, than the bound for all hosts together: hosts start, restart, are
// expelled or cut off, and learn late of the server. For a server that becomes cold while it is in use, the bound applies once all
// hosts have learned of it.
func TestBoundHoldsOverAllHosts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(1000, 0)
		coldAt := start.Add(7 * time.Second)
		fleet := &fleet{
			random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)), start: start, rows: map[string]bool{}, hosts: map[string]*testHost{},
			service: spec.Service{ColdRate: float64(rapid.IntRange(1, 30).Draw(t, "rate"))},
		}
		overage, allowance := rapid.Float64Range(1, 2).Draw(t, "overage"), float64(rapid.IntRange(0, 10).Draw(t, "allowance"))
		warmBefore := rapid.Bool().Draw(t, "warm before")
		until := start.Add(24 * time.Second)
		restart := func(now time.Time) func(string) {
			return func(name string) { fleet.startHost(now, name, overage, allowance, coldAt, warmBefore) }
		}
		for number := range rapid.IntRange(1, 12).Draw(t, "hosts") {
			fleet.rows[fmt.Sprint("host-", number)] = true
			restart(start)(fmt.Sprint("host-", number))
		}
		checkFrom := start
		if warmBefore {
			checkFrom = coldAt.Add(maxLate + maxTransit)
		}
		for now := start; now.Before(until); now = now.Add(testStep) {
			fleet.history = append(fleet.history, value.Sorted(fleet.rows))
			if fleet.random.IntN(25) == 0 {
				fleet.disturb(now, restart(now))
			}
			for _, name := range value.Sorted(fleet.hosts) {
				fleet.step(now, fleet.hosts[name], until, warmBefore)
			}
		}
		slices.SortFunc(fleet.arrivals, time.Time.Compare)
		bound := int(fleet.service.ColdRate*overage + allowance)
		for first, last := 0, 0; last < len(fleet.arrivals); last++ {
			for fleet.arrivals[last].Sub(fleet.arrivals[first]) >= time.Second {
				first++
			}
			if !fleet.arrivals[first].Before(checkFrom) && last-first+1 > bound {
				t.Fatalf("%d requests within a second until %v, the bound is %d", last-first+1, fleet.arrivals[last].Sub(start), bound)
			}
		}
	})
}

// step lets a host read rows, learn of the server, and send what its gate allows.
func (fleet *fleet) step(now time.Time, host *testHost, until time.Time, warmBefore bool) {
	if !now.Before(host.cutUntil) && fleet.random.IntN(20) == 0 {
		fleet.read(now, host)
	}
	server := spec.Server{ID: "s"}
	if !host.learned && !now.Before(host.learnsAt) {
		host.learned = true
		server.ColdUntil = until.Add(time.Minute)
		host.gate.Update(now, map[string]spec.Server{"s": server})
	}
	if !host.learned && !warmBefore {
		return
	}
	for range 40 {
		if !host.gate.Take(now, fleet.service, server) {
			return
		}
		fleet.arrivals = append(fleet.arrivals, now.Add(time.Duration(fleet.random.Int64N(int64(maxTransit)))))
	}
}

// newSettledGate returns the gate of a host that has been known to all others for long, at a time.
func newSettledGate(now time.Time, names ...string) *Gate {
	gate := New(names[0])
	gate.SetBounds(1.5, 5)
	gate.SetHosts(now.Add(-time.Minute), names)
	gate.Prove(now)
	return gate
}

// Guards against a bound that leaves cold servers unused: the hosts together may use most of it.
func TestSharesAddUpToTheBound(t *testing.T) {
	is := is.New(t)
	now, service := time.Unix(1000, 0), spec.Service{ColdRate: 20}
	for _, count := range []int{1, 4, 24, 85, 300} {
		names := []string{}
		for number := range count {
			names = append(names, fmt.Sprint("host-", number))
		}
		sum := 0
		for index := range names {
			gate := newSettledGate(now, append([]string{names[index]}, append(slices.Clone(names[:index]), names[index+1:]...)...)...)
			server := spec.Server{ID: "s", ColdUntil: now.Add(10 * time.Second)}
			gate.Update(now, map[string]spec.Server{"s": server})
			for gate.Take(now, service, server) {
				sum++
			}
		}
		is.Equal(sum, 35)
	}
}

// Guards against a jump from the bound to full load at the end of the cold time, and against a bound for services without a rate.
func TestLoadIncreasesAfterTheColdTime(t *testing.T) {
	is := is.New(t)
	now, service := time.Unix(1000, 0), spec.Service{ColdRate: 2}
	gate := newSettledGate(now, "host-1")
	server := spec.Server{ID: "s", ColdUntil: now.Add(2 * time.Second)}
	gate.Update(now, map[string]spec.Server{"s": server})
	sent := func(at time.Time) (count int) {
		gate.Prove(at)
		for count < 1000 && gate.Take(at, service, server) {
			count++
		}
		return count
	}
	is.Equal(gate.Cold(now, service, server), 1.0)
	is.Equal(gate.Cold(now.Add(time.Second), service, server), 0.5)
	is.Equal(sent(now), 8)
	is.Equal(sent(now.Add(time.Second)), 0)
	is.Equal(sent(now.Add(1500*time.Millisecond)), 8)
	is.Equal(sent(now.Add(2*time.Second)), 16-8)
	is.Equal(sent(now.Add(3*time.Second)), 64-8)
	is.Equal(sent(server.ColdUntil.Add(rampSteps*rampStep)), 1000)
	is.True(gate.Allows(now, spec.Service{}, server))
}

// Guards against a server that is used without a bound after it has said in a response that it is cold, and against a response of an
// earlier incarnation.
func TestResponsesExtendTheColdTime(t *testing.T) {
	is := is.New(t)
	now, service := time.Unix(1000, 0), spec.Service{ColdRate: 2}
	gate := newSettledGate(now, "host-1")
	server := spec.Server{ID: "s", StartedMillis: 7}
	gate.Update(now, map[string]spec.Server{"s": server})
	gate.Extend(now, spec.Incarnation{ID: "s", StartedMillis: 6}, now.Add(time.Minute))
	is.True(gate.Allows(now, service, server))
	gate.Extend(now, server.Incarnation(), now.Add(time.Minute))
	gate.Update(now, map[string]spec.Server{"s": server})
	is.True(!gate.Allows(now, service, server))
	is.True(gate.Cold(now, service, server) > 0)
}

// Guards against a host that sends by an old share: one whose copy of the hosts' rows is old, whose row has just appeared, or that
// has just learned that a server in use is cold.
func TestHostsThatKnowTooLittleSendNothing(t *testing.T) {
	now, service := time.Unix(1000, 0), spec.Service{ColdRate: 20}
	cold := spec.Server{ID: "s", ColdUntil: now.Add(time.Minute)}
	for name, test := range map[string]struct {
		change func(gate *Gate)
		wait   time.Duration
	}{
		"an old copy":         {func(gate *Gate) { gate.provenAt = now.Add(-maxProofAge - time.Millisecond) }, time.Minute},
		"a new row":           {func(gate *Gate) { gate.SetHosts(now, nil); gate.SetHosts(now, []string{"host-1"}) }, joinWait},
		"no row":              {func(gate *Gate) { gate.SetHosts(now, nil) }, time.Minute},
		"cold while in use":   {func(gate *Gate) { gate.Update(now, map[string]spec.Server{"s": {ID: "s"}}) }, learnTime},
		"a new, known server": {func(*Gate) {}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			gate := newSettledGate(now, "host-1")
			test.change(gate)
			gate.Update(now, map[string]spec.Server{"s": cold})
			for at := now; at.Before(now.Add(test.wait)) && at.Before(cold.ColdUntil); at = at.Add(100 * time.Millisecond) {
				is.True(!gate.Take(at, service, cold))
				if name != "an old copy" {
					gate.Prove(at)
				}
			}
			if test.wait < time.Minute {
				is.True(gate.Take(now.Add(test.wait), service, cold))
			}
		})
	}
}
