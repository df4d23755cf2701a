package mirror

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"lentilproxy/core/gossip"
)

// fleet simulates hosts that read a table and pass proofs on in the responses to gossip messages.
type fleet struct {
	random    *rand.Rand
	schedules []*gossip.Schedule
	phases    []int
	ranks     []int
	provenAt  []time.Time
	frozen    map[int]bool
	offline   map[int]bool
	// reads and asks count reads of the store and calls for proofs; ages holds the ages of the proofs of all hosts that run.
	reads    int
	asks     int
	ages     []time.Duration
	names    []string
	askedAt  []time.Time
	attempts []int
	base     time.Duration
}

const (
	fleetStep     = 10 * time.Millisecond
	fleetInterval = 200 * time.Millisecond
)

func newFleet(hosts int, base time.Duration) *fleet {
	fleet := &fleet{random: rand.New(rand.NewPCG(1, uint64(hosts))), frozen: map[int]bool{}, offline: map[int]bool{}, base: base}
	names := make([]string, hosts)
	for host := range hosts {
		names[host] = fmt.Sprintf("host-%03d", host)
	}
	start := time.Unix(1000, 0)
	for _, name := range names {
		peers := slices.DeleteFunc(slices.Clone(names), func(peer string) bool { return peer == name })
		schedule := gossip.New(name, fleetInterval, 10)
		schedule.SetPeers(start, peers)
		fleet.schedules = append(fleet.schedules, schedule)
		fleet.phases = append(fleet.phases, fleet.random.IntN(int(fleetInterval/fleetStep)))
		fleet.ranks = append(fleet.ranks, Rank("table", name, peers))
		fleet.provenAt = append(fleet.provenAt, start)
	}
	fleet.askedAt, fleet.attempts, fleet.names = make([]time.Time, hosts), make([]int, hosts), names
	return fleet
}

// run simulates a time after a first part that is not counted. A call takes up to 6 steps each way.
func (fleet *fleet) run(warmUp, duration time.Duration) {
	type event struct {
		from, to int
		proof    time.Time
		response bool
		ask      bool
	}
	arrivals := map[time.Time][]event{}
	start := time.Unix(1000, 0)
	for step := 0; time.Duration(step)*fleetStep < warmUp+duration; step++ {
		now := start.Add(time.Duration(step) * fleetStep)
		delay := func() time.Time { return now.Add(time.Duration(1+fleet.random.IntN(6)) * fleetStep) }
		for _, arrived := range arrivals[now] {
			switch {
			case fleet.frozen[arrived.to]:
			case arrived.response:
				if arrived.proof.After(fleet.provenAt[arrived.to]) {
					fleet.provenAt[arrived.to], fleet.attempts[arrived.to] = arrived.proof, 0
				}
			default:
				if !arrived.ask {
					fleet.schedules[arrived.to].RecordReceived(now, fmt.Sprintf("host-%03d", arrived.from))
				}
				at := delay()
				arrivals[at] = append(arrivals[at], event{from: arrived.to, to: arrived.from, proof: fleet.provenAt[arrived.to], response: true})
			}
		}
		delete(arrivals, now)
		counted := now.Sub(start) >= warmUp
		for host, schedule := range fleet.schedules {
			if fleet.frozen[host] {
				continue
			}
			if step%int(fleetInterval/fleetStep) == fleet.phases[host] {
				for _, peer := range schedule.Due(now) {
					var to int
					_, _ = fmt.Sscanf(peer, "host-%d", &to)
					schedule.RecordCall(now, peer)
					at := delay()
					arrivals[at] = append(arrivals[at], event{from: host, to: to})
				}
			}
			age := now.Sub(fleet.provenAt[host])
			if threshold, asks := AskAge(fleet.base, len(fleet.schedules)); asks && age >= threshold && now.Sub(fleet.askedAt[host]) >= AskInterval {
				to := slices.Index(fleet.names, Asked("table", fleet.names[host], fleet.names, fleet.attempts[host]))
				fleet.askedAt[host] = now
				fleet.attempts[host]++
				at := delay()
				arrivals[at] = append(arrivals[at], event{from: host, to: to, ask: true})
				if counted {
					fleet.asks++
				}
			}
			if !fleet.offline[host] && now.Sub(fleet.provenAt[host]) >= ReadAge(fleet.base, fleet.ranks[host], len(fleet.schedules)) {
				fleet.provenAt[host] = now
				if counted {
					fleet.reads++
				}
			}
			if counted && step%5 == 0 {
				fleet.ages = append(fleet.ages, now.Sub(fleet.provenAt[host]))
			}
		}
	}
	slices.Sort(fleet.ages)
}

// Guards against tables that every host reads, and against proofs that grow too old for changes to be known everywhere within 2 s:
// in normal operation, when the first readers are frozen, and on hosts that do not reach the store.
func TestFewHostsReadATableAndProofsStayYoung(t *testing.T) {
	const length = 20 * time.Second
	for _, test := range []struct {
		name            string
		hosts           int
		frozen, offline func(rank int) bool
		// reads bounds the reads a second of all hosts together.
		reads float64
		age   time.Duration
	}{
		{name: "few", hosts: 4, reads: 2.6, age: 1000 * time.Millisecond},
		{name: "eleven", hosts: 11, reads: 2.6, age: 1100 * time.Millisecond},
		{name: "85", hosts: 85, reads: 4, age: 1300 * time.Millisecond},
		{name: "300", hosts: 300, reads: 4, age: 1300 * time.Millisecond},
		{name: "85, first reader frozen", hosts: 85, frozen: func(rank int) bool { return rank == 0 }, reads: 4, age: 1900 * time.Millisecond},
		{name: "300, both readers frozen", hosts: 300, frozen: func(rank int) bool { return rank < Readers }, reads: 80, age: 1900 * time.Millisecond},
		{name: "85, most cut off from the store", hosts: 85, offline: func(rank int) bool { return rank%10 > 0 }, reads: 4, age: 1900 * time.Millisecond},
		{name: "85, readers cut off from the store", hosts: 85, offline: func(rank int) bool { return rank < 10 }, reads: 40, age: 1900 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			fleet := newFleet(test.hosts, 450*time.Millisecond)
			for host, rank := range fleet.ranks {
				fleet.frozen[host] = test.frozen != nil && test.frozen(rank)
				fleet.offline[host] = test.offline != nil && test.offline(rank)
			}
			fleet.run(5*time.Second, length)
			reads, oldest := float64(fleet.reads)/length.Seconds(), fleet.ages[len(fleet.ages)-1]
			t.Logf("%.1f reads and %.1f asks a second; ages: median %v, 99 %% %v, oldest %v", reads, float64(fleet.asks)/length.Seconds(),
				fleet.ages[len(fleet.ages)/2], fleet.ages[len(fleet.ages)*99/100], oldest)
			if reads > test.reads || oldest > test.age {
				t.Fatalf("%.1f reads a second, oldest proof %v", reads, oldest)
			}
		})
	}
}
