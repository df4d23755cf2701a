package gossip

import (
	"slices"

	"lentilproxy/core/lease"
	"lentilproxy/core/value"
)

const (
	// FullMeshHosts is the number of hosts up to which each host exchanges messages with all others. With more, and at least two data
	// centres, a host exchanges them with the hosts of its own data centre, and relays connect the data centres.
	FullMeshHosts = 40
	// relayCount is the number of relays of a data centre. With two, the loss of one of them delays nothing.
	relayCount = 2
)

// Host is a host that has a row in the store.
type Host struct {
	Name       string
	DataCentre string
}

// Topology decides with which hosts a host exchanges messages. Each host computes it from the rows, without an agreement. Hosts that
// disagree exchange a few messages more.
type Topology struct {
	// Relayed reports whether messages stay within data centres, except those of relays.
	Relayed bool
	// Peers are the hosts with which this one exchanges messages regularly, in order of their names.
	Peers []string
	// Relays maps data centres to their relays. It is empty unless the topology is relayed.
	Relays map[string][]string
	// Relay reports whether this host is a relay, and Remote are the relays of the other data centres with which it then exchanges
	// messages, in order of their names.
	Relay  bool
	Remote []string
	// MostPeers is the number of regular peers of the hosts in the largest data centre.
	MostPeers int
}

// NewTopology returns the topology as seen by a host, with the others that have a row. Hosts that are skipped, since they do not
// respond, are no relays, unless all hosts of their data centre are skipped.
func NewTopology(self Host, others []Host, skipped value.Set[string]) Topology {
	names := map[string][]string{self.DataCentre: {self.Name}}
	for _, host := range others {
		names[host.DataCentre] = append(names[host.DataCentre], host.Name)
	}
	topology := Topology{Relays: map[string][]string{}}
	topology.Relayed = len(others)+1 > FullMeshHosts && len(names) >= 2
	for dataCentre, hosts := range names {
		slices.Sort(hosts)
		topology.MostPeers = max(topology.MostPeers, len(hosts)-1)
		if !topology.Relayed || dataCentre == self.DataCentre {
			for _, name := range hosts {
				if name != self.Name {
					topology.Peers = append(topology.Peers, name)
				}
			}
		}
		if topology.Relayed {
			topology.Relays[dataCentre] = relaysOf(dataCentre, hosts, self.Name, skipped)
		}
	}
	slices.Sort(topology.Peers)
	if !topology.Relayed {
		topology.MostPeers = len(others)
		return topology
	}
	topology.Relay = slices.Contains(topology.Relays[self.DataCentre], self.Name)
	for dataCentre, relays := range topology.Relays {
		if topology.Relay && dataCentre != self.DataCentre {
			topology.Remote = append(topology.Remote, relays...)
		}
	}
	slices.Sort(topology.Remote)
	return topology
}

// relaysOf returns the relays of a data centre: its first hosts in rendezvous order.
func relaysOf(dataCentre string, hosts []string, self string, skipped value.Set[string]) []string {
	candidates := make([]string, 0, len(hosts))
	for _, name := range hosts {
		if name == self || !skipped.Has(name) {
			candidates = append(candidates, name)
		}
	}
	if len(candidates) == 0 {
		candidates = slices.Clone(hosts)
	}
	relays := make([]string, 0, relayCount)
	for len(relays) < relayCount && len(candidates) > 0 {
		first := lease.Preferred("relay\x00"+dataCentre, candidates)
		relays = append(relays, first)
		candidates = slices.DeleteFunc(candidates, func(name string) bool { return name == first })
	}
	return relays
}
