package coord

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"lentilproxy/core/sched"
)

// work lets the hosts start requests and load adapters, at rates a second over all hosts. A request lasts a second.
func (simulated *simulated) work(requests, loads float64) {
	simulated.after(time.Duration(float64(time.Second)/requests), func() { simulated.work(requests, loads) })
	host := simulated.hosts[simulated.random.IntN(len(simulated.hosts))]
	server := simulated.servers[fmt.Sprintf("engine-%04d", simulated.random.IntN(len(simulated.servers)))]
	run := host.control.coordinator.traffic.Start(simulated.now, server, sched.Job{PromptTokens: 512, OutputTokens: 100})
	simulated.after(200*time.Millisecond, func() { host.control.coordinator.traffic.RecordFirstEvent(simulated.now, run) })
	simulated.after(time.Second, func() { host.control.coordinator.traffic.End(run) })
	if simulated.random.Float64() < loads/requests {
		for _, held := range host.control.controllers {
			adapters := maps.Clone(held.published.Adapters)
			adapters[fmt.Sprintf("workspace-001/adapter-%02d", simulated.random.IntN(50))] = held.revision
			host.setLoaded(held, adapters)
			break
		}
	}
}

// relayLink is the smallest link of a relay, 10 Mbit/s, in bytes a second.
const relayLink = 10e6 / 8

// sentBy returns the bytes that a host sends in a second in gossip messages and questions for proofs, and fails if a host sends more than
// the smallest link carries. Previous hosts exchange messages with all hosts.
func sentBy(t *testing.T, hosts, servers int, requests float64, previous ...int) (mean float64) {
	t.Helper()
	const seconds = 10
	simulated := newSimulated(t, hosts, 4, servers, previous...)
	simulated.readTables()
	for _, host := range simulated.hosts {
		simulated.ask(host)
	}
	simulated.work(requests, requests/20)
	simulated.advance(6 * time.Second)
	begun := 0.0
	for _, host := range simulated.hosts {
		begun = max(begun, float64(host.sent)/6)
		host.sent, host.sentFar, host.messages, host.asks = 0, 0, 0, 0
	}
	var ages []time.Duration
	for range 25 {
		simulated.advance(seconds * time.Second / 25)
		for _, host := range simulated.hosts {
			ages = append(ages, simulated.now.Sub(host.control.servers.provenAt))
		}
	}
	slices.Sort(ages)
	far, busiest, messages, asks := 0.0, 0.0, 0.0, 0.0
	for _, host := range simulated.hosts {
		mean += float64(host.sent) / seconds / float64(hosts)
		far += float64(host.sentFar) / seconds / float64(hosts)
		messages += float64(host.messages) / seconds / float64(hosts)
		asks += float64(host.asks) / seconds / float64(hosts)
		busiest = max(busiest, float64(host.sent)/seconds)
	}
	t.Logf("%.1f kB/s sent by a host, %.1f of it to other data centres, %.1f by the busiest, %.1f in the first 6 s; %.0f messages and %.1f questions for proofs a second; age of proofs: median %v, 99%% %v",
		mean/1000, far/1000, busiest/1000, begun/1000, messages, asks, ages[len(ages)/2], ages[len(ages)*99/100])
	if max(busiest, begun) > relayLink {
		t.Errorf("the busiest host sends %.0f bytes a second", max(busiest, begun))
	}
	return mean
}

// Guards against messages whose bytes grow faster than the number of hosts, most of all between data centres, and against relays that
// send more than a small link carries. The traffic of 100 requests a second is that of all hosts.
func TestBytesOfDataCentres(t *testing.T) {
	means := map[int]float64{}
	for _, test := range []struct{ hosts, servers int }{{24, 200}, {85, 200}, {100, 200}, {300, 300}} {
		t.Run(fmt.Sprintf("%d hosts", test.hosts), func(t *testing.T) {
			means[test.hosts] = sentBy(t, test.hosts, test.servers, 100)
		})
	}
	if means[300] > 1.1*means[100] {
		t.Errorf("%.0f bytes a second of a host at 100 hosts, %.0f at 300", means[100], means[300])
	}
}

// The target is 5 kB/s of a host at 300 hosts under light traffic.
func TestBytesOfManyHostsUnderLightTraffic(t *testing.T) {
	if mean := sentBy(t, 300, 300, 10); mean > 5e3 {
		t.Errorf("%.0f bytes a second of a host", mean)
	}
}

// Shows what hosts of the previous version send, for comparison.
func TestBytesOfThePreviousVersion(t *testing.T) {
	const hosts = 85
	var previous []int
	for number := range hosts {
		previous = append(previous, number)
	}
	if mean := sentBy(t, hosts, 200, 100); sentBy(t, hosts, 200, 100, previous...) < mean {
		t.Error("they send less")
	}
}
