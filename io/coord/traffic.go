package coord

import (
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"lentilproxy/core/cost"
	"lentilproxy/core/lease"
	"lentilproxy/core/limit"
	"lentilproxy/core/retry"
	"lentilproxy/core/sched"
	"lentilproxy/core/setup"
	"lentilproxy/core/spec"
	"lentilproxy/core/value"
	"lentilproxy/core/warm"
	"lentilproxy/io/clock"
	"lentilproxy/io/loans"

	"github.com/uber-go/tally/v4"
)

const (
	// borrowWait bounds how long a request waits for tokens from other hosts. It is short, so that refusals are early.
	borrowWait = 60 * time.Millisecond
	// overdraftFraction is the fraction of the tolerated excess over a limit that all hosts together may use for
	// requests whose loans arrive too late. Each host may use an equal share of it. The rest covers hosts that restart
	// and lose the record of their charges.
	overdraftFraction = 0.65
)

// Traffic is the state that all requests share. Its critical sections are short and do no input or output.
type Traffic struct {
	coordinator *Coordinator
	control     *control

	mutex     sync.Mutex
	scheduler *sched.Scheduler
	gate      *warm.Gate
	loans     *loans.Exchanger
	budgets   map[string]*retry.Budget
	// members is the number of hosts that share limits and budgets, and fraction this host's fraction of limits.
	members  int
	fraction float64
	loads    map[loadKey]*pendingLoad
	// lateLoads holds what lease holders have stated of servers on which loads are late.
	lateLoads map[spec.Incarnation]lateLoad
	// demand counts the requests for adapters that started since the last gossip interval, and running those in
	// progress, by server and adapter.
	demand  map[string]map[string]float64
	running map[string]map[string]int
	holders map[string]holder
	// lenders are the hosts that share limits. The value is replaced as a whole.
	lenders lenders
	limits  map[string]limit.Entitlement
	// overdraft is the number of tokens that each workspace may charge beyond its limit on this host.
	overdraft float64
	bounds    setup.Bounds
	// pacers has a mutex of its own.
	pacers *pacers
	// dispatchers has a mutex of its own, which is never held while this one is taken.
	dispatchers *dispatchers
}

// holder is the lease holder of a server. own is set if it is this host.
type holder struct {
	name    string
	address string
	own     bool
}

func newTraffic(coordinator *Coordinator) *Traffic {
	gate := warm.New(coordinator.settings.Host.Name)
	gate.SetBounds(coordinator.settings.Bounds.ColdOverage, coordinator.settings.Bounds.ColdAllowance)
	traffic := &Traffic{
		coordinator: coordinator, scheduler: newScheduler(coordinator.settings, gate), gate: gate,
		fraction: limit.NewMembership(coordinator.settings.Host.Name).Fraction(clock.Now()),
		budgets:  map[string]*retry.Budget{},
		loads:    map[loadKey]*pendingLoad{}, lateLoads: map[spec.Incarnation]lateLoad{}, demand: map[string]map[string]float64{}, running: map[string]map[string]int{}, holders: map[string]holder{},
		lenders: lenders{addresses: map[string]string{}}, limits: map[string]limit.Entitlement{},
		bounds: coordinator.settings.Bounds, pacers: newPacers(),
	}
	traffic.dispatchers = newDispatchers(coordinator, traffic.usageReports)
	limiter := limit.New(coordinator.settings.Host.Name, limit.WithOpenTime(clock.Now()), limit.WithRun(rand.Int64N(limit.MaxRun)))
	traffic.loans = loans.New(coordinator.ctx, coordinator.settings.Host.Name, limiter, coordinator.peers.Call, borrowWait,
		func() { coordinator.post(traffic.exchangeLoans) }, loans.WithClock(clock.Now), loans.WithMetrics(coordinator.metrics))
	return traffic
}

func newScheduler(settings *setup.Settings, gate *warm.Gate) *sched.Scheduler {
	if !settings.Admission.LearnCost {
		return sched.New(settings.Host.DataCentre, sched.WithGate(gate))
	}
	return sched.New(settings.Host.DataCentre, sched.WithGate(gate), sched.WithCosts(cost.New()))
}

// updateView applies a new view.
func (traffic *Traffic) updateView(now time.Time, view *spec.View) {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	traffic.scheduler.UpdateServers(view.Servers)
	traffic.gate.Update(now, view.Servers)
	traffic.configureLimits(now, view)
	traffic.pacers.retain(view.Servers)
	traffic.dispatchers.updateView(now, view)
}

// updateHosts applies the hosts that share limits, and the lease holders of servers.
func (traffic *Traffic) updateHosts(now time.Time, registry *lease.Registry, peers map[string]*peerState) {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	self := traffic.coordinator.settings.Host.Name
	known := lenders{addresses: map[string]string{}}
	processors := map[string]float64{}
	for _, host := range registry.Hosts() {
		processors[host.Name] = host.Processor
		known.names = append(known.names, host.Name)
		if _, found := peers[host.Name]; found {
			known.addresses[host.Name] = host.PeerAddress
		}
	}
	processors[self] = traffic.coordinator.settings.Host.Processor()
	traffic.lenders = known
	traffic.gate.SetHosts(now, known.names)
	pacerHosts := map[string]string{self: ""}
	for name, address := range known.addresses {
		pacerHosts[name] = address
	}
	traffic.pacers.setHosts(pacerHosts)
	traffic.dispatchers.setHosts(now, pacerHosts, processors)
	traffic.scheduler.RetainPeers(now, value.NewSet(known.names...))
	clear(traffic.holders)
	for name := range traffic.coordinator.View().Servers {
		if known, found := registry.Holder(name); found {
			traffic.holders[name] = holder{name: known.Name, address: known.PeerAddress, own: known.Name == self}
		}
	}
}

func (traffic *Traffic) holderOf(server string) (address string, own bool) {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	known := traffic.holders[server]
	return known.address, known.own
}

// holderHost returns the name and address of a server's lease holder. The address is empty for this host.
func (traffic *Traffic) holderHost(server string) (name, address string, found bool) {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	known, found := traffic.holders[server]
	if known.own {
		return known.name, "", true
	}
	return known.name, known.address, found && known.address != ""
}

// grantsInUse reports whether hosts ask lease holders for grants. With few hosts their reports of running requests are recent
// enough.
func (traffic *Traffic) grantsInUse() bool { return traffic.hostCount() > maxExchanges+1 }

// setServerUsage records the load of a server as its lease holder knows it.
func (traffic *Traffic) setServerUsage(now time.Time, server string, usage sched.Usage) {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	traffic.scheduler.SetServerUsage(now, server, usage)
}

func (traffic *Traffic) setLoaded(server string, startedMillis int64, loaded sched.Loaded) {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	traffic.scheduler.SetLoaded(server, startedMillis, loaded)
	if loaded.Orderable {
		traffic.holders[server] = holder{name: traffic.coordinator.settings.Host.Name, own: true}
	}
}

func (traffic *Traffic) setNotOrderable(server string) {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	traffic.scheduler.SetNotOrderable(server)
	if traffic.holders[server].own {
		delete(traffic.holders, server)
	}
}

// applyPeerMessage applies a gossip message of a peer.
func (traffic *Traffic) applyPeerMessage(now time.Time, message gossipMessage) {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	traffic.scheduler.SetPeerUsage(now, message.Host, message.Usage)
	for server, update := range message.Loaded {
		traffic.scheduler.SetLoaded(server, update.StartedMillis, update.Loaded)
		if address, found := traffic.lenders.addresses[message.Host]; found {
			traffic.holders[server] = holder{name: message.Host, address: address}
		}
	}
}

// usageReports returns the usage of a service's servers as reported by peers.
func (traffic *Traffic) usageReports(now time.Time, servers []string) map[string]sched.Report {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	return traffic.scheduler.Reports(now, servers)
}

func (traffic *Traffic) ownUsage(now time.Time) map[string]sched.Usage {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	return traffic.scheduler.UsageWithWork(now)
}

func (traffic *Traffic) takeEjections() []sched.Ejection {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	return traffic.scheduler.TakeEjections()
}

// takeDemand returns the requests for adapters that started since the last call, by server and adapter.
func (traffic *Traffic) takeDemand() map[string]map[string]float64 {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	demand := traffic.demand
	traffic.demand = map[string]map[string]float64{}
	return demand
}

// runningRequests returns the numbers of running requests by server and adapter.
func (traffic *Traffic) runningRequests() map[string]map[string]int {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	copied := make(map[string]map[string]int, len(traffic.running))
	for server, adapters := range traffic.running {
		copied[server] = maps.Clone(adapters)
	}
	return copied
}

// joinLoad returns the load request with a key, and starts it if there is none.
func (traffic *Traffic) joinLoad(key loadKey, begin func(*pendingLoad)) *pendingLoad {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	pending := traffic.loads[key]
	if pending == nil {
		pending = &pendingLoad{done: make(chan struct{})}
		traffic.loads[key] = pending
		begin(pending)
	}
	return pending
}

func (traffic *Traffic) removeLoad(key loadKey) {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	delete(traffic.loads, key)
}

// copies returns the adapters of which a server is expected to have a copy, in the order of their unloads; none without learned costs.
func (traffic *Traffic) copies(server spec.Incarnation) []string {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	return traffic.scheduler.Copies(server)
}

// recordLoad records how long a load took, if its holder has reported that.
func (traffic *Traffic) recordLoad(now time.Time, server spec.Server, adapter string, result loadResult) {
	if !traffic.LearnsCost() || result.LoadMS <= 0 {
		return
	}
	load := sched.ObservedLoad{
		Adapter: adapter, Version: result.Version, Duration: time.Duration(result.LoadMS) * time.Millisecond, Ended: result.Outcome == LoadReady,
	}
	traffic.mutex.Lock()
	kind := traffic.scheduler.RecordLoad(now, server.Incarnation(), load)
	traffic.mutex.Unlock()
	if load.Ended {
		buckets := tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 12)
		traffic.coordinator.metrics.Tagged(map[string]string{"from": string(kind)}).Histogram("adapter_load_time", buckets).RecordDuration(load.Duration)
	}
}

// addAdapter records that a server has loaded an adapter, before the next gossip message of its holder reports it.
func (traffic *Traffic) addAdapter(server spec.Server, adapter string, version int64) {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	traffic.scheduler.AddAdapter(server.ID, server.StartedMillis, adapter, version)
}

// Choose returns the server for a request, if there is one.
func (traffic *Traffic) Choose(now time.Time, service spec.Service, view *spec.View, job sched.Job) (sched.Choice, bool) {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	return traffic.scheduler.Choose(now, service, view.Servers, job)
}

// Explain returns what Choose would choose now, and why. It changes nothing.
func (traffic *Traffic) Explain(now time.Time, service spec.Service, view *spec.View, job sched.Job) sched.Explanation {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	return traffic.scheduler.Explain(now, service, view.Servers, job)
}

// Start counts a request that is about to be sent to a server. The run has to be ended.
func (traffic *Traffic) Start(now time.Time, server spec.Server, job sched.Job) *sched.Run {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	return traffic.scheduler.Start(now, server, job)
}

// CountUse counts a request without a grant for the reports to the server's lease holder. The returned function ends it.
func (traffic *Traffic) CountUse(run *sched.Run) (end func()) {
	if run.Adapter() == "" {
		return func() {}
	}
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	count(traffic.demand, run.Server(), run.Adapter(), 1)
	count(traffic.running, run.Server(), run.Adapter(), 1)
	return func() {
		traffic.mutex.Lock()
		defer traffic.mutex.Unlock()
		count(traffic.running, run.Server(), run.Adapter(), -1)
	}
}

// count adds to a counter by server and adapter, and deletes it if it becomes zero.
func count[N int | float64](counters map[string]map[string]N, server, adapter string, change N) {
	adapters := counters[server]
	if adapters == nil {
		adapters = map[string]N{}
		counters[server] = adapters
	}
	adapters[adapter] += change
	if adapters[adapter] == 0 {
		delete(adapters, adapter)
	}
	if len(adapters) == 0 {
		delete(counters, server)
	}
}

// RecordFirstEvent records the first event of a response.
func (traffic *Traffic) RecordFirstEvent(now time.Time, run *sched.Run) {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	traffic.scheduler.RecordFirstToken(now, run)
}

// LearnsCost reports whether this host learns what requests cost.
func (traffic *Traffic) LearnsCost() bool { return traffic.coordinator.settings.Admission.LearnCost }

// RecordEvents records events of a response.
func (traffic *Traffic) RecordEvents(now time.Time, run *sched.Run, count int) {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	traffic.scheduler.RecordFirstToken(now, run)
	traffic.scheduler.RecordEvents(run, count)
}

// Observe records what a request has cost its server. It must be called before its end is recorded.
func (traffic *Traffic) Observe(run *sched.Run, observed cost.Observed) {
	traffic.mutex.Lock()
	verdict := traffic.scheduler.Observe(run, observed)
	traffic.mutex.Unlock()
	if traffic.LearnsCost() {
		traffic.coordinator.metrics.Tagged(map[string]string{"verdict": string(verdict)}).Counter("cost_observations").Inc(1)
	}
}

// End records the end of a request.
func (traffic *Traffic) End(run *sched.Run) {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	traffic.scheduler.End(run)
}

// Wait returns how long a server wants no requests; 0 if they may be sent now.
func (traffic *Traffic) Wait(now time.Time, server spec.Incarnation) time.Duration {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	return traffic.scheduler.Wait(now, server)
}

// UpdateScheduler calls a function that updates the scheduler's state of servers.
func (traffic *Traffic) UpdateScheduler(change func(scheduler *sched.Scheduler)) {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	change(traffic.scheduler)
}
