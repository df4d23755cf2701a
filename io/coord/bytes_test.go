package coord

import (
	"encoding/json"
	"fmt"
	"maps"
	"testing"
	"time"

	"lentilproxy/core/gossip"
	"lentilproxy/core/sched"

	"github.com/matryer/is"
)

// messageBytes returns the bytes that a host sends in gossip messages in a second, by the part of the message. It simulates time in
// gossip intervals; a number of the servers that the host holds change in each second.
func messageBytes(t *testing.T, hosts, servers, used, changes int, confirmed bool) (total float64, parts map[string]float64) {
	t.Helper()
	const intervals = 300
	is := is.New(t)
	coordinator := newIdleCoordinator(t)
	schedule := gossip.New("host-000", gossipInterval, maxExchanges)
	parts = map[string]float64{}
	coordinator.do(func(now time.Time) {
		control := coordinator.traffic.control
		defer clear(control.controllers) // The coordinator goes on, and has no servers.
		peers, names := map[string]*peerState{}, []string{}
		for number := 1; number < hosts; number++ {
			name := fmt.Sprintf("host-%03d", number)
			peers[name] = &peerState{name: name, ackedRevisions: map[string]int64{}, sendsContents: confirmed}
			names = append(names, name)
		}
		held := []*controller{}
		for number := range servers / hosts {
			loaded := sched.Loaded{Model: "base-model-7b", Orderable: true, Adapters: map[string]int64{}}
			for adapter := range 11 {
				loaded.Adapters[fmt.Sprintf("workspace-%03d/adapter-%02d", number*7%200, adapter)] = int64(adapter + 1)
			}
			controller := &controller{revision: 1, published: loaded}
			controller.server.StartedMillis = 1765000000000
			control.controllers[fmt.Sprintf("engine-%04d", number)] = controller
			held = append(held, controller)
		}
		usage := map[string]sched.Usage{}
		schedule.SetPeers(now, names)
		var changed float64
		for interval := range intervals {
			now = now.Add(gossipInterval)
			for changed += float64(changes) * gossipInterval.Seconds(); changed >= 1 && len(held) > 0; changed-- {
				held[0].revision++
				held[0].published.Adapters = maps.Clone(held[0].published.Adapters)
				held[0].published.Adapters["workspace-001/adapter-00"] = held[0].revision
				held = append(held[1:], held[0])
			}
			// A request begins or ends on every fourth used server in an interval.
			usage = maps.Clone(usage)
			for number := range used {
				if interval == 0 || (number+interval)%4 == 0 {
					usage[fmt.Sprintf("engine-%04d", 100+number)] = sched.Usage{Running: 1 + interval%3, Backlog: 512, Tokens: int64(4096 + interval)}
				}
			}
			control.usage, control.usageAt = usage, now
			for _, name := range schedule.Due(now) {
				schedule.RecordCall(now, name)
				// The peer's next call is answered by this host with a message of the same size, half a period later.
				for half := range time.Duration(2) {
					message, revisions := control.composeMessage(now.Add(half), peers[name])
					peers[name].recordAcked(revisions)
					if confirmed {
						peers[name].usageBase = message.ID
					}
					message.Contents = map[string]contentVersion{}
					for _, table := range control.tables() {
						message.Contents[control.proofName(table)] = contentVersion{AsOf: 12345678, Digest: "3w5e11264sgsf"}
					}
					for part, content := range map[string]any{
						"whole": message, "usage": message.Usage, "changes": message.UsageChanges, "loaded": message.Loaded, "loaded changes": message.LoadedChanges, "contents": message.Contents,
					} {
						encoded, err := json.Marshal(content)
						is.NoErr(err)
						parts[part] += float64(len(encoded)) / (intervals * gossipInterval.Seconds())
					}
				}
			}
		}
	})
	total = parts["whole"]
	return total, parts
}

// Guards against messages between hosts that grow unnoticed: they are the largest cost of processor time with many hosts.
func TestBytesOfGossipMessages(t *testing.T) {
	for _, test := range []struct {
		hosts, used, changes int
		confirmed            bool
		bound                float64
	}{
		{hosts: 25, used: 20, bound: 120e3},
		{hosts: 85, used: 20, bound: 100e3},
		{hosts: 100, used: 20, bound: 100e3},
		{hosts: 100, used: 100, changes: 10, bound: 480e3},
		{hosts: 25, used: 20, confirmed: true, bound: 35e3},
		{hosts: 85, used: 20, confirmed: true, bound: 40e3},
		{hosts: 100, used: 20, confirmed: true, bound: 42e3},
		{hosts: 100, used: 100, changes: 10, confirmed: true, bound: 140e3},
	} {
		t.Run(fmt.Sprintf("%d hosts, %d servers used, %d changes a second, confirmed %v", test.hosts, test.used, test.changes, test.confirmed), func(t *testing.T) {
			total, parts := messageBytes(t, test.hosts, 1000, test.used, test.changes, test.confirmed)
			t.Logf("%.1f kB/s sent: usage %.1f, its changes %.1f, loaded %.1f, contents %.1f", total/1000, parts["usage"]/1000, parts["changes"]/1000, (parts["loaded"]+parts["loaded changes"])/1000, parts["contents"]/1000)
			if total > test.bound {
				t.Fatalf("%.0f bytes a second", total)
			}
		})
	}
}

// Guards against hosts of the previous version that get differences, which they ignore, and against new ones that get the whole state of
// the previous version and take it for differences.
func TestStateForThePreviousVersion(t *testing.T) {
	is := is.New(t)
	coordinator := newIdleCoordinator(t)
	coordinator.do(func(now time.Time) {
		control := coordinator.traffic.control
		defer clear(control.controllers)
		loaded := sched.Loaded{Model: "base", Orderable: true, Adapters: map[string]int64{"a1": 1}}
		control.controllers["engine-1"] = &controller{revision: 1, published: loaded}
		control.usage, control.usageAt = map[string]sched.Usage{"engine-1": {Running: 1}}, now
		for _, version := range []bool{false, true} {
			sender := &peerState{ackedRevisions: map[string]int64{}, sendsContents: version}
			message, _ := control.composeMessage(now, sender)
			encoded, err := json.Marshal(message)
			is.NoErr(err)
			var received gossipMessage
			is.NoErr(json.Unmarshal(encoded, &received))
			is.Equal(len(received.Usage) > 0, !version)
			is.Equal(len(received.Loaded) > 0, !version)
			receiver := &peerState{}
			receiver.completeState(&received)
			is.Equal(received.Usage, control.usage)
			is.Equal(received.Loaded["engine-1"].Loaded, loaded)
		}
	})
}
