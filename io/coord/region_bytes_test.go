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

// Guards against messages between hosts that grow with the number of hosts, most of all between data centres, and against relays that
// send more than a small link carries. The traffic is the same with any number of hosts.
func TestBytesOfDataCentres(t *testing.T) {
	for _, test := range []struct {
		hosts, dataCentres, servers int
		// mean bounds the bytes that a host sends in a second.
		mean float64
	}{
		{hosts: 24, dataCentres: 4, servers: 200, mean: 60e3},
		{hosts: 85, dataCentres: 1, servers: 200, mean: 60e3},
		{hosts: 85, dataCentres: 4, servers: 200, mean: 60e3},
		{hosts: 100, dataCentres: 4, servers: 200, mean: 60e3},
		{hosts: 300, dataCentres: 4, servers: 300, mean: 60e3},
	} {
		t.Run(fmt.Sprintf("%d hosts, %d data centres", test.hosts, test.dataCentres), func(t *testing.T) {
			const seconds = 10
			simulated := newSimulated(t, test.hosts, test.dataCentres, test.servers)
			simulated.readTables()
			for _, host := range simulated.hosts {
				simulated.ask(host)
			}
			simulated.work(100, 5)
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
			sum, far, busiest, messages, asks := 0.0, 0.0, 0.0, 0.0, 0.0
			for _, host := range simulated.hosts {
				sum, far, messages = sum+float64(host.sent), far+float64(host.sentFar), messages+float64(host.messages)
				asks += float64(host.asks)
				busiest = max(busiest, float64(host.sent)/seconds)
			}
			mean := sum / seconds / float64(test.hosts)
			t.Logf("%.1f kB/s sent by a host, %.1f of it to other data centres, %.1f by the busiest, %.1f in the first 6 s; %.0f messages and %.1f questions for proofs a second; age of proofs: median %v, 99%% %v",
				mean/1000, far/seconds/float64(test.hosts)/1000, busiest/1000, begun/1000, messages/seconds/float64(test.hosts), asks/seconds/float64(test.hosts), ages[len(ages)/2], ages[len(ages)*99/100])
			if mean > test.mean {
				t.Fatalf("%.0f bytes a second", mean)
			}
		})
	}
}
