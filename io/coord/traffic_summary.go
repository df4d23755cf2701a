package coord

import (
	"time"

	"lentilproxy/core/sched"
	"lentilproxy/core/value"
)

// applySummary applies the state of another data centre: the sum of the usage by its hosts, which replaces their own reports, and what
// has changed in its servers.
func (traffic *Traffic) applySummary(now time.Time, dataCentre string, hosts []string, summary *summary, delay time.Duration, changed map[string]*summaryServer) {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	for _, host := range hosts {
		traffic.scheduler.SetPeerUsage(now, host, nil)
	}
	traffic.scheduler.SetSummaryUsage(summary.AsOf, delay, dataCentre, summary.usage)
	for name, server := range changed {
		traffic.scheduler.SetLoaded(name, server.update.StartedMillis, server.update.Loaded)
		if address, found := traffic.lenders.addresses[server.holder]; found {
			traffic.holders[name] = holder{name: server.holder, address: address}
		}
	}
}

// dropSummary drops the usage of the hosts of another data centre.
func (traffic *Traffic) dropSummary(dataCentre string) {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	traffic.scheduler.SetSummaryUsage(time.Time{}, 0, dataCentre, nil)
}

// sumUsage returns the sum of the usage by this host and some peers, by server, and the time of the oldest report in it.
func (traffic *Traffic) sumUsage(now time.Time, peers value.Set[string]) (map[string]sched.Usage, time.Time) {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	return traffic.scheduler.SumUsage(now, peers)
}
