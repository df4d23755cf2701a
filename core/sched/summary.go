package sched

import (
	"iter"
	"time"

	"lentilproxy/core/value"
)

// summaryUsage is the load that the hosts of another data centre put on a server, as one of its relays has stated it.
type summaryUsage struct {
	usage Usage
	until time.Time
}

// SetSummaryUsage replaces the usage of the hosts of another data centre. It counts like the report of a peer as of the given time, and
// longer by the delay with which it travels.
func (scheduler *Scheduler) SetSummaryUsage(asOf time.Time, delay time.Duration, dataCentre string, usages map[string]Usage) {
	for name := range scheduler.summaryUsages[dataCentre] {
		if state := scheduler.servers[name]; state != nil {
			delete(state.summaries, dataCentre)
		}
	}
	for name, usage := range usages {
		if state := scheduler.servers[name]; state != nil {
			if state.summaries == nil {
				state.summaries = map[string]summaryUsage{}
			}
			state.summaries[dataCentre] = summaryUsage{usage: usage, until: asOf.Add(UsageLifetime + delay)}
		}
	}
	scheduler.summaryUsages[dataCentre] = usages
	if usages == nil {
		delete(scheduler.summaryUsages, dataCentre)
	}
}

// SumUsage returns the sum of this host's usage and of the reports of some peers that still count, by server, and the time of the
// oldest of these reports.
func (scheduler *Scheduler) SumUsage(now time.Time, peers value.Set[string]) (sums map[string]Usage, oldest time.Time) {
	sums, oldest = scheduler.UsageWithWork(now), now
	for name, state := range scheduler.servers {
		for host, peer := range state.peers {
			if !peers.Has(host) || now.Sub(peer.at) >= UsageLifetime {
				continue
			}
			sums[name] = sums[name].plus(peer.usage)
			if peer.at.Before(oldest) {
				oldest = peer.at
			}
		}
	}
	return sums, oldest
}

// otherUsages returns the usage by the requests of other hosts that have reported it, by peer or data centre.
func (state *serverState) otherUsages(now time.Time) iter.Seq[Usage] {
	return func(yield func(Usage) bool) {
		for _, peer := range state.peers {
			if now.Sub(peer.at) < UsageLifetime && !yield(peer.usage) {
				return
			}
		}
		for _, summary := range state.summaries {
			if now.Before(summary.until) && !yield(summary.usage) {
				return
			}
		}
	}
}
