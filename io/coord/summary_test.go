package coord

import (
	"fmt"
	"testing"
	"time"

	"lentilproxy/core/sched"
	"lentilproxy/core/spec"
	"lentilproxy/io/clock"

	"github.com/matryer/is"
)

// mostStale is the longest time that a change may take to all hosts: two periods of exchanges in data centres, each rounded up by an
// interval, the exchange between relays, and the tick between two checks.
func (simulated *simulated) mostStale() time.Duration {
	control := simulated.hosts[0].control
	return control.gossipDelay() + 4*gossipInterval
}

// Guards against changes that do not reach all hosts, or late, with any number of hosts and without one or both relays.
func TestChangesReachAllHosts(t *testing.T) {
	for _, count := range []int{25, 85, 195, 300} {
		t.Run(fmt.Sprint(count, " hosts"), func(t *testing.T) {
			simulated := newSimulated(t, count, 4, 100)
			simulated.advance(6 * time.Second)
			slowest := time.Duration(0)
			for number := range 2 {
				slowest = max(slowest, simulated.change(simulated.hosts[number*7%min(count, 100)], fmt.Sprintf("engine-%04d", number*31%100), simulated.mostStale()))
			}
			t.Logf("slowest change %v, of at most %v", slowest, simulated.mostStale())
		})
	}
}

// Guards against hosts that stay without the state of other data centres, or get an old one, after relays were frozen or lost, a data
// centre was cut off, or all hosts restarted.
func TestStatesOfDataCentresAfterFaults(t *testing.T) {
	const skipping = 2*callTimeout + relayInterval
	for name, test := range map[string]struct {
		fault, repair func(simulated *simulated)
		// late is how much longer than usual a change may take after the fault.
		late time.Duration
	}{
		"one relay frozen": {
			fault:  func(simulated *simulated) { simulated.relaysOf("dc-1")[0].paused = true },
			repair: func(simulated *simulated) { simulated.resume() },
		},
		"both relays of a data centre lost": {
			fault: func(simulated *simulated) {
				for _, relay := range simulated.relaysOf("dc-1") {
					relay.paused = true
				}
			},
			repair: func(simulated *simulated) { simulated.restart() },
			late:   skipping,
		},
		"one host paused and resumed": {
			fault: func(simulated *simulated) {
				simulated.hosts[5].paused = true
				simulated.advance(5 * time.Second)
				simulated.resume()
			},
			repair: func(*simulated) {},
		},
		"all restarted": {
			fault: func(simulated *simulated) {
				for _, host := range simulated.hosts {
					simulated.start(host)
				}
			},
			repair: func(*simulated) {},
			late:   2 * time.Second,
		},
	} {
		t.Run(name, func(t *testing.T) {
			simulated := newSimulated(t, 85, 4, 85)
			simulated.advance(8 * time.Second)
			test.fault(simulated)
			most := simulated.mostStale() + test.late
			after := simulated.change(simulated.hostIn("dc-1"), "engine-0000", most)
			simulated.change(simulated.hosts[8], "engine-0001", most)
			simulated.advance(6 * time.Second)
			test.repair(simulated)
			simulated.advance(5 * time.Second)
			repaired := simulated.change(simulated.hosts[9], "engine-0002", simulated.mostStale())
			t.Logf("a change is known after %v, and %v once repaired", after, repaired)
		})
	}
}

// resume resumes the paused hosts, and restart restarts them.
func (simulated *simulated) resume() {
	for _, host := range simulated.hosts {
		host.paused = false
	}
}

func (simulated *simulated) restart() {
	for _, host := range simulated.hosts {
		if host.paused {
			simulated.start(host)
			host.paused = false
		}
	}
}

// Guards against a data centre that is cut off from the others and loses the state of its own hosts, against load of lost hosts that
// counts forever, and against loaded adapters that are forgotten meanwhile.
func TestDataCentreCutOff(t *testing.T) {
	simulated := newSimulated(t, 85, 4, 85)
	simulated.advance(8 * time.Second)
	var inside, outside []*simulatedHost
	for _, host := range simulated.hosts {
		if host.dataCentre == "dc-2" {
			inside = append(inside, host)
		} else {
			outside = append(outside, host)
		}
	}
	running := func(server string, number int) func(host *simulatedHost) bool {
		return func(host *simulatedHost) bool {
			known, loaded := simulated.seen(host, server, "workspace-007/adapter-03")
			return known == number && loaded
		}
	}
	traffic := inside[0].control.coordinator.traffic
	lost := traffic.Start(simulated.now, simulated.servers["engine-0001"], sched.Job{})
	simulated.until(simulated.mostStale(), simulated.hosts, running("engine-0001", 1))
	simulated.cut = func(from, to *simulatedHost) bool { return (from.dataCentre == "dc-2") != (to.dataCentre == "dc-2") }
	simulated.advance(sched.UsageLifetime + simulated.mostStale())
	simulated.until(time.Second, outside, running("engine-0001", 0))
	simulated.until(time.Second, inside, running("engine-0001", 1))
	traffic.End(lost)
	simulated.until(simulated.mostStale(), inside, running("engine-0001", 0))
	outside[0].control.coordinator.traffic.Start(simulated.now, simulated.servers["engine-0001"], sched.Job{})
	simulated.until(simulated.mostStale(), outside, running("engine-0001", 1))
	simulated.cut = nil
	simulated.until(simulated.mostStale()+skipFor+time.Second, simulated.hosts, running("engine-0001", 1))
}

// Guards against hosts that do not get the state of hosts of the previous version, or the other way round, while a deployment is
// upgraded, most of all if the relays would be hosts of the previous version.
func TestHostsOfThePreviousVersion(t *testing.T) {
	relays := map[int]bool{}
	for _, host := range newSimulated(t, 60, 3, 60).hosts {
		for _, name := range host.control.relays.topology.Relays["dc-1"] {
			number := 0
			_, _ = fmt.Sscanf(name, "host-%d", &number)
			relays[number] = true
		}
	}
	previous := []int{3, 10, 20}
	for number := range relays {
		previous = append(previous, number)
	}
	simulated := newSimulated(t, 60, 3, 60, previous...)
	simulated.advance(8 * time.Second)
	// A host of the previous version is told by each host only every second period.
	most := simulated.mostStale() + 2*simulated.hosts[3].control.gossip.Period()
	for number, changing := range []int{3, 1, 4, previous[3], 7, 0} {
		took := simulated.change(simulated.hosts[changing], fmt.Sprintf("engine-%04d", number), most)
		t.Logf("a change of host %d is known after %v", changing, took)
	}
}

// Guards against hosts that call hosts of other data centres without need, and against lease holders in other data centres that are not
// told of requests for their servers, or not of their ends.
func TestHostsReportToLeaseHoldersInOtherDataCentres(t *testing.T) {
	is := is.New(t)
	simulated := newSimulated(t, 60, 3, 60)
	simulated.advance(8 * time.Second)
	caller, holder := simulated.hosts[3], simulated.hosts[4]
	if caller.control.acting(simulated.now) {
		caller = simulated.hosts[6]
	}
	calls, running, demand := 0, 0, 0.0
	simulated.onCall = func(from, to *simulatedHost, message gossipMessage) {
		if from == caller && to.dataCentre != caller.dataCentre {
			is.Equal(to, holder)
			is.Equal(message.UsageChanges, nil)
			calls, running = calls+1, message.Running["engine-0004"]["workspace-028/adapter-00"]
			demand += message.Demand["engine-0004"]["workspace-028/adapter-00"]
		}
	}
	simulated.advance(5 * time.Second)
	is.Equal(calls, 0)
	run := caller.control.coordinator.traffic.Start(simulated.now, simulated.servers["engine-0004"], sched.Job{Ref: spec.AdapterRef{Adapter: "workspace-028/adapter-00"}})
	end := caller.control.coordinator.traffic.CountUse(run)
	simulated.advance(4 * time.Second)
	t.Logf("%d calls while the request runs", calls)
	is.True(calls >= 4 && calls <= 8)
	is.Equal(running, 1)
	is.Equal(demand, 1.0)
	end()
	calls = 0
	simulated.advance(4 * time.Second)
	is.Equal(calls, 1)
	is.Equal(running, 0)
}

// Guards against messages of relays that do not arrive over real connections.
func TestRelaysOverConnections(t *testing.T) {
	is := is.New(t)
	const hosts = 44
	store := newCountingStore()
	store.put("servers/s1", `{"Slots": 1, "StartedMillis": 7}`)
	coordinators := startHosts(t, store, hosts, "dc-0", "dc-1")
	is.True(slowest(coordinators, "s1", 1) < 4*time.Second)
	time.Sleep(5 * time.Second)
	is.True(coordinators[1].do(func(time.Time) { is.True(coordinators[1].traffic.control.relays.topology.Relayed) }))
	server := coordinators[0].View().Servers["s1"]
	coordinators[0].traffic.Start(clock.Now(), server, sched.Job{})
	known := 0
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end) && known < hosts; time.Sleep(50 * time.Millisecond) {
		known = 0
		for _, coordinator := range coordinators {
			explanation := coordinator.traffic.Explain(clock.Now(), spec.Service{}, &spec.View{Servers: map[string]spec.Server{"s1": server}}, sched.Job{})
			if len(explanation.Servers) == 1 && explanation.Servers[0].Running == 1 {
				known++
			}
		}
	}
	is.Equal(known, hosts)
	for _, coordinator := range coordinators {
		is.Equal(coordinator.traffic.hostCount(), hosts)
	}
}
