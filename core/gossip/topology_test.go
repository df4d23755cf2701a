package gossip

import (
	"fmt"
	"slices"
	"testing"

	"lentilproxy/core/value"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func hostsIn(count, dataCentres int) []Host {
	var hosts []Host
	for number := range count {
		hosts = append(hosts, Host{Name: name(number), DataCentre: fmt.Sprint("dc-", number%dataCentres)})
	}
	return hosts
}

// Guards against smaller deployments that change, and against hosts that exchange messages with hosts of other data centres.
func TestTopologyOfDeployments(t *testing.T) {
	for _, test := range []struct {
		hosts, dataCentres int
		peers              int
		relayed            bool
	}{
		{hosts: 1, dataCentres: 1},
		{hosts: 25, dataCentres: 3, peers: 24},
		{hosts: 40, dataCentres: 4, peers: 39},
		{hosts: 41, dataCentres: 1, peers: 40},
		{hosts: 44, dataCentres: 4, peers: 10, relayed: true},
		{hosts: 300, dataCentres: 4, peers: 74, relayed: true},
	} {
		t.Run(fmt.Sprintf("%d hosts in %d data centres", test.hosts, test.dataCentres), func(t *testing.T) {
			is := is.New(t)
			hosts, relays := hostsIn(test.hosts, test.dataCentres), 0
			for index, host := range hosts {
				topology := NewTopology(host, slices.Delete(slices.Clone(hosts), index, index+1), nil)
				is.Equal(topology.Relayed, test.relayed)
				is.Equal(len(topology.Peers), test.peers)
				is.Equal(topology.MostPeers, test.peers)
				if topology.Relay {
					relays++
					is.Equal(len(topology.Remote), relayCount*(test.dataCentres-1))
				}
			}
			if test.relayed {
				is.Equal(relays, relayCount*test.dataCentres)
			}
		})
	}
}

// Guards against a data centre without relays, a skipped relay, and a loss that changes the other relay.
func TestSkippedHostsAreNoRelays(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := hostsIn(60, 3)
		before := NewTopology(hosts[0], hosts[1:], nil)
		skipped := value.NewSet[string]()
		for range rapid.IntRange(0, 30).Draw(t, "skipped") {
			skipped.Add(name(rapid.IntRange(1, 59).Draw(t, "host")))
		}
		topology := NewTopology(hosts[0], hosts[1:], skipped)
		for dataCentre, relays := range topology.Relays {
			if len(relays) == 0 {
				t.Fatalf("no relays in %s", dataCentre)
			}
			alive := 0
			for _, host := range hosts {
				if host.DataCentre == dataCentre && !skipped.Has(host.Name) {
					alive++
				}
			}
			for _, relay := range relays {
				if skipped.Has(relay) && alive > 0 {
					t.Fatalf("%s is skipped", relay)
				}
			}
			for _, relay := range before.Relays[dataCentre] {
				if !skipped.Has(relay) && !slices.Contains(relays, relay) {
					t.Fatalf("%s is no relay any more", relay)
				}
			}
		}
	})
}
