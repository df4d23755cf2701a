package sched

import "time"

// Report is a peer's report of its running requests by server.
type Report struct {
	At      time.Time
	Running map[string]int
}

// Reports returns the reports of peers that still count, by host, for the servers of a service.
func (scheduler *Scheduler) Reports(now time.Time, servers []string) map[string]Report {
	reports := map[string]Report{}
	for _, name := range servers {
		state := scheduler.servers[name]
		if state == nil {
			continue
		}
		for host, peer := range state.peers {
			if now.Sub(peer.at) >= UsageLifetime {
				continue
			}
			if _, found := reports[host]; !found {
				reports[host] = Report{At: peer.at, Running: map[string]int{}}
			}
			reports[host].Running[name] = peer.usage.Running
		}
	}
	return reports
}
