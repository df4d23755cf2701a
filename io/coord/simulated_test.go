package coord

import (
	"container/heap"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"lentilproxy"
	"lentilproxy/core/gossip"
	"lentilproxy/core/lease"
	"lentilproxy/core/limit"
	"lentilproxy/core/mirror"
	"lentilproxy/core/sched"
	"lentilproxy/core/setup"
	"lentilproxy/core/slots"
	"lentilproxy/core/spec"
	"lentilproxy/io/loop"
	"lentilproxy/io/peer"

	"github.com/go-logr/logr"
	"github.com/uber-go/tally/v4"
)

// simulated is a number of hosts that exchange real messages, encoded, in virtual time.
type simulated struct {
	t       *testing.T
	now     time.Time
	events  eventQueue
	hosts   []*simulatedHost
	byName  map[string]*simulatedHost
	servers map[string]spec.Server
	random  *rand.Rand
	cut     func(from, to *simulatedHost) bool
	// onCall is called for each gossip call.
	onCall func(from, to *simulatedHost, message gossipMessage)
}

type simulatedHost struct {
	name, dataCentre string
	control          *control
	paused           bool
	// previous hosts are of the previous version: they exchange messages with all hosts.
	previous bool
	// sent and sentFar are the bytes sent, in total and to other data centres.
	sent, sentFar int
	messages      int
	asks          int
}

type event struct {
	at  time.Time
	run func()
}

type eventQueue []event

func (queue eventQueue) Len() int           { return len(queue) }
func (queue eventQueue) Less(i, j int) bool { return queue[i].at.Before(queue[j].at) }
func (queue eventQueue) Swap(i, j int)      { queue[i], queue[j] = queue[j], queue[i] }
func (queue *eventQueue) Push(added any)    { *queue = append(*queue, added.(event)) }
func (queue *eventQueue) Pop() any {
	last := (*queue)[len(*queue)-1]
	*queue = (*queue)[:len(*queue)-1]
	return last
}

func (simulated *simulated) after(delay time.Duration, run func()) {
	heap.Push(&simulated.events, event{at: simulated.now.Add(delay), run: run})
}

func (simulated *simulated) advance(duration time.Duration) {
	end := simulated.now.Add(duration)
	for len(simulated.events) > 0 && !simulated.events[0].at.After(end) {
		next := heap.Pop(&simulated.events).(event)
		simulated.now = next.at
		next.run()
	}
	simulated.now = end
}

// newSimulated returns hosts in data centres that all have a row, and servers that are held by turns and have 11 adapters each.
func newSimulated(t *testing.T, hosts, dataCentres, servers int, previous ...int) *simulated {
	t.Helper()
	simulated := &simulated{
		t: t, now: time.Unix(1765000000, 0), byName: map[string]*simulatedHost{}, servers: map[string]spec.Server{}, random: rand.New(rand.NewPCG(1, 2)),
	}
	for number := range servers {
		id := fmt.Sprintf("engine-%04d", number)
		simulated.servers[id] = spec.Server{ID: id, Service: "engines", StartedMillis: 1765000000000}
	}
	for number := range hosts {
		host := &simulatedHost{name: fmt.Sprintf("host-%03d", number), dataCentre: fmt.Sprint("dc-", number%dataCentres), previous: slices.Contains(previous, number)}
		simulated.hosts = append(simulated.hosts, host)
		simulated.byName[host.name] = host
	}
	for _, host := range simulated.hosts {
		simulated.start(host)
		simulated.after(time.Duration(simulated.random.Int64N(int64(gossipInterval))), func() { simulated.tick(host) })
	}
	return simulated
}

func (simulated *simulated) rows(observer *simulatedHost) []lentilproxy.Row {
	var rows []lentilproxy.Row
	version := int64(1)
	for _, host := range simulated.hosts {
		row := lease.Host{Name: host.name, DataCentre: host.dataCentre, PeerAddress: host.name}
		if observer.previous {
			row.DataCentre = "" // Without data centres, it behaves as the previous version does.
		}
		content, _ := json.Marshal(row)
		rows = append(rows, lentilproxy.Row{Key: "host:" + host.name, Value: content, Version: version})
	}
	for number := range len(simulated.servers) {
		content := fmt.Sprintf(`{"host":%q}`, simulated.hosts[number%len(simulated.hosts)].name)
		rows = append(rows, lentilproxy.Row{Key: fmt.Sprintf("holder:engine-%04d", number), Value: []byte(content), Version: version})
	}
	return rows
}

// start starts a host, without memory of an earlier start.
func (simulated *simulated) start(host *simulatedHost) {
	ctx, cancel := context.WithCancel(context.Background())
	simulated.t.Cleanup(cancel)
	settings := &setup.Settings{Host: setup.Host{Name: host.name, DataCentre: host.dataCentre}, Bounds: setup.DefaultBounds()}
	if host.previous {
		settings.Host.DataCentre = ""
	}
	meter := peer.NewMeter(tally.NoopScope)
	coordinator := &Coordinator{
		settings: settings, log: logr.Discard(), metrics: tally.NoopScope, ctx: ctx, cancel: cancel, meter: meter, peers: peer.NewPool(meter), loop: loop.New(ctx, 1),
		decoder: &countingDecoder{},
	}
	view := spec.EmptyView()
	view.Servers = simulated.servers
	coordinator.view.Store(view)
	coordinator.traffic = newTraffic(coordinator)
	host.control = &control{
		coordinator: coordinator, operators: newTableMirror("operators", operatorsReadAge, rowsPullInterval),
		servers: newTableMirror("servers", serversReadAge, rowsPullInterval), fleet: newTableMirror(lease.Table, fleetReadAge, fleetPullInterval),
		registry:    lease.New(lease.Host{Name: host.name, DataCentre: host.dataCentre, PeerAddress: host.name}, settings.Bounds.LeaseGap),
		controllers: map[string]*controller{}, peers: map[string]*peerState{}, pendingDemand: map[string]map[string]float64{},
		membership: limit.NewMembership(host.name), gossip: gossip.New(host.name, gossipInterval, maxExchanges), relays: newRelays(host.name),
	}
	coordinator.traffic.control = host.control
	coordinator.traffic.scheduler.UpdateServers(simulated.servers)
	for _, table := range host.control.tables() {
		table.Apply(lentilproxy.Page{Version: simulatedVersion})
	}
	host.control.registry.ObserveContent(simulated.now, simulated.now, simulated.now, simulated.rows(host))
	host.control.updatePeers(simulated.now)
	for number := range len(simulated.servers) {
		if simulated.hosts[number%len(simulated.hosts)] == host {
			id := fmt.Sprintf("engine-%04d", number)
			held := &controller{server: simulated.servers[id], slots: slots.New("base-model-7b", 11, simulated.now)}
			host.control.controllers[id] = held
			adapters := map[string]int64{}
			for adapter := range 11 {
				adapters[fmt.Sprintf("workspace-%03d/adapter-%02d", number*7%200, adapter)] = int64(adapter + 1)
			}
			host.setLoaded(held, adapters)
		}
	}
}

// simulatedVersion is the version of the tables, which have no rows.
const simulatedVersion = 12345678

// readTables lets the readers of the tables of operators and servers read them regularly.
func (simulated *simulated) readTables() {
	simulated.after(500*time.Millisecond, simulated.readTables)
	for _, host := range simulated.hosts {
		for _, table := range []*tableMirror{host.control.operators, host.control.servers} {
			if !host.paused && host.control.rank(simulated.now, table) < mirror.Readers {
				table.Apply(lentilproxy.Page{Version: simulatedVersion + simulated.now.UnixMilli()%1e6})
				table.provenAt = simulated.now
			}
		}
	}
}

func (host *simulatedHost) setLoaded(held *controller, adapters map[string]int64) {
	held.revision++
	held.published = sched.Loaded{Model: "base-model-7b", Orderable: true, Adapters: adapters}
	host.control.coordinator.traffic.setLoaded(held.server.ID, held.server.StartedMillis, held.published)
}

func (simulated *simulated) delay(from, to *simulatedHost) time.Duration {
	if from.dataCentre == to.dataCentre {
		return time.Duration(1+simulated.random.IntN(4)) * time.Millisecond
	}
	return time.Duration(20+simulated.random.IntN(20)) * time.Millisecond
}

// tick makes the calls of a host that are due.
func (simulated *simulated) tick(host *simulatedHost) {
	simulated.after(gossipInterval, func() { simulated.tick(host) })
	if host.paused {
		return
	}
	control := host.control
	control.collectDemand(simulated.now)
	control.running = control.coordinator.traffic.runningRequests()
	for _, due := range control.duePeers(simulated.now) {
		if !due.calling {
			simulated.call(host, due)
		}
	}
	control.divideLimits(simulated.now)
}

// ask asks for proofs of the tables of operators and servers that are old.
func (simulated *simulated) ask(host *simulatedHost) {
	simulated.after(20*time.Millisecond, func() { simulated.ask(host) })
	control := host.control
	for _, table := range []*tableMirror{control.operators, control.servers} {
		age, wait := control.timeUntilAsk(simulated.now, table)
		if wait > 0 {
			continue
		}
		asked, params := control.planAsk(simulated.now, table, age)
		if asked == nil {
			continue
		}
		host.asks++
		to, sentAt := simulated.byName[asked.name], simulated.now
		simulated.encode(host, to, params)
		simulated.after(simulated.delay(host, to), func() {
			response := simulated.encode(to, host, to.control.composeRows(simulated.now, params))
			simulated.after(simulated.delay(to, host), func() {
				var result rowsResult
				simulated.decode(response, &result)
				control.endPull(simulated.now, sentAt, asked, params, result, nil)
			})
		})
	}
}

func (simulated *simulated) call(host *simulatedHost, due *peerState) {
	control, to, sentAt := host.control, simulated.byName[due.name], simulated.now
	message, revisions := control.composeCall(sentAt, due)
	host.strip(&message)
	encoded := simulated.encode(host, to, message.wire())
	if simulated.onCall != nil {
		simulated.onCall(host, to, message)
	}
	fail := func() {
		if control == host.control {
			control.endExchange(simulated.now, sentAt, due, message, revisions, gossipResult{}, errors.New("no response"))
		}
	}
	if simulated.cut != nil && simulated.cut(host, to) {
		simulated.after(callTimeout, fail)
		return
	}
	simulated.after(simulated.delay(host, to), func() {
		if to.paused {
			simulated.after(callTimeout, fail)
			return
		}
		var received gossipMessage
		simulated.decode(encoded, &received)
		received.unpack(logr.Discard())
		answer := to.control.respondToMessage(simulated.now, received)
		to.strip(&answer.Message)
		response := simulated.encode(to, host, answer.wire())
		simulated.after(simulated.delay(to, host), func() {
			var result gossipResult
			simulated.decode(response, &result)
			result.Message.unpack(logr.Discard())
			if control == host.control {
				control.endExchange(simulated.now, sentAt, due, message, revisions, result, nil)
			}
		})
	})
}

// strip removes what hosts of the previous version do not send.
func (host *simulatedHost) strip(message *gossipMessage) {
	if host.previous {
		message.Support = summariesUnsupported
	}
}

func (simulated *simulated) encode(from, to *simulatedHost, content any) []byte {
	encoded, err := json.Marshal(content)
	if err != nil {
		simulated.t.Fatal(err)
	}
	from.sent += len(encoded)
	from.messages++
	if from.dataCentre != to.dataCentre {
		from.sentFar += len(encoded)
	}
	return encoded
}

func (simulated *simulated) decode(encoded []byte, into any) {
	if err := json.Unmarshal(encoded, into); err != nil {
		simulated.t.Fatal(err)
	}
}

// seen returns the load of a server and whether it has an adapter, as a host knows it.
func (simulated *simulated) seen(host *simulatedHost, server, adapter string) (running int, loaded bool) {
	view := &spec.View{Servers: map[string]spec.Server{server: simulated.servers[server]}}
	explanation := host.control.coordinator.traffic.Explain(simulated.now, spec.Service{Name: "engines"}, view, sched.Job{Ref: spec.AdapterRef{Adapter: adapter}})
	if len(explanation.Servers) != 1 {
		simulated.t.Fatalf("%s knows nothing of %s", host.name, server)
	}
	return explanation.Servers[0].Running, explanation.Servers[0].Loaded
}

// until advances the time until all given hosts fulfil a condition, and returns how long that takes.
func (simulated *simulated) until(most time.Duration, hosts []*simulatedHost, holds func(host *simulatedHost) bool) time.Duration {
	simulated.t.Helper()
	const step = 100 * time.Millisecond
	begun, missing := simulated.now, ""
	for simulated.now.Sub(begun) < most {
		simulated.advance(step)
		missing = ""
		for _, host := range hosts {
			if !host.paused && !holds(host) {
				missing = host.name
				break
			}
		}
		if missing == "" {
			return simulated.now.Sub(begun)
		}
	}
	simulated.t.Fatalf("%s does not know the change after %v", missing, most)
	return 0
}

// change starts a request of a host on a server and loads an adapter on a server that the host holds, and returns how long it takes
// until all hosts know. Then the request ends.
func (simulated *simulated) change(host *simulatedHost, server string, most time.Duration) time.Duration {
	simulated.t.Helper()
	traffic := host.control.coordinator.traffic
	before := map[*simulatedHost]int{}
	for _, other := range simulated.hosts {
		before[other], _ = simulated.seen(other, server, "")
	}
	run := traffic.Start(simulated.now, simulated.servers[server], sched.Job{PromptTokens: 100})
	held, adapter := "", fmt.Sprint("new-", simulated.now.UnixNano())
	for id, controller := range host.control.controllers {
		adapters := map[string]int64{adapter: 1}
		for known, version := range controller.published.Adapters {
			adapters[known] = version
		}
		held = id
		host.setLoaded(controller, adapters)
		break
	}
	took := simulated.until(most, simulated.hosts, func(other *simulatedHost) bool {
		running, _ := simulated.seen(other, server, "")
		_, loaded := simulated.seen(other, held, adapter)
		return running == before[other]+1 && loaded
	})
	traffic.End(run)
	simulated.until(most, simulated.hosts, func(other *simulatedHost) bool {
		running, _ := simulated.seen(other, server, "")
		return running == before[other]
	})
	return took
}

// hostIn returns the first host of a data centre that is not paused.
func (simulated *simulated) hostIn(dataCentre string) *simulatedHost {
	for _, host := range simulated.hosts {
		if host.dataCentre == dataCentre && !host.paused {
			return host
		}
	}
	simulated.t.Fatalf("no host in %s", dataCentre)
	return nil
}

// relaysOf returns the relays of a data centre as seen by one of its hosts.
func (simulated *simulated) relaysOf(dataCentre string) []*simulatedHost {
	var relays []*simulatedHost
	for _, name := range simulated.hostIn(dataCentre).control.relays.topology.Relays[dataCentre] {
		relays = append(relays, simulated.byName[name])
	}
	return relays
}
