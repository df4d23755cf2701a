package coord

import (
	"maps"
	"slices"
	"time"

	"lentilproxy/core/lease"
	"lentilproxy/core/value"
)

// minProcessorFraction is the least fraction of the largest host's processor that a host needs for work that one host does for all.
const minProcessorFraction = 0.5

// hostRank chooses one host for each key by rendezvous hashing. Hosts that do not respond are passed over for a while. It is not safe
// for concurrent use.
type hostRank struct {
	// hosts maps the hosts to their addresses; that of this host is empty.
	hosts map[string]string
	// processors maps hosts to the processor cores that they state. If any are stated, only the larger hosts are chosen.
	processors map[string]float64
	// preferred caches the host of each key.
	preferred map[string]string
	// avoidedUntil maps hosts that did not respond to the time until which they are not chosen.
	avoidedUntil map[string]time.Time
}

func newHostRank() *hostRank {
	return &hostRank{hosts: map[string]string{}, preferred: map[string]string{}, avoidedUntil: map[string]time.Time{}}
}

// setHosts replaces the hosts.
func (hostRank *hostRank) setHosts(hosts map[string]string) {
	if maps.Equal(hosts, hostRank.hosts) {
		return
	}
	hostRank.hosts = hosts
	clear(hostRank.preferred)
}

// setProcessors replaces the processor cores that hosts state.
func (hostRank *hostRank) setProcessors(processors map[string]float64) {
	if maps.Equal(processors, hostRank.processors) {
		return
	}
	hostRank.processors = processors
	clear(hostRank.preferred)
}

// candidates returns the hosts that may be chosen: those that are not passed over, and are not much smaller than the largest of these.
func (hostRank *hostRank) candidates() []string {
	responding, largest := make([]string, 0, len(hostRank.hosts)), 0.0
	for _, host := range value.Sorted(hostRank.hosts) {
		if _, avoided := hostRank.avoidedUntil[host]; !avoided {
			responding = append(responding, host)
			largest = max(largest, hostRank.processors[host])
		}
	}
	return slices.DeleteFunc(responding, func(host string) bool { return hostRank.processors[host] < minProcessorFraction*largest })
}

// hostFor returns the host for a key, and its address. The address is empty for this host, and found is false if there is no host.
func (hostRank *hostRank) hostFor(now time.Time, key string) (name, address string, found bool) {
	for host, until := range hostRank.avoidedUntil {
		if !now.Before(until) {
			delete(hostRank.avoidedUntil, host)
			clear(hostRank.preferred)
		}
	}
	name, known := hostRank.preferred[key]
	if !known {
		name = lease.Preferred(key, hostRank.candidates())
		hostRank.preferred[key] = name
	}
	address, found = hostRank.hosts[name]
	return name, address, found
}

// avoided reports whether a host is passed over.
func (hostRank *hostRank) avoided(now time.Time, host string) bool {
	return now.Before(hostRank.avoidedUntil[host])
}

// avoid passes over a host until a time.
func (hostRank *hostRank) avoid(host string, until time.Time) {
	hostRank.avoidedUntil[host] = until
	clear(hostRank.preferred)
}
