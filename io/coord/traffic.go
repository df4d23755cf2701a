package coord

import (
	"maps"
	"sync"
	"time"

	"lentilproxy/core/crash"
	"lentilproxy/core/lease"
	"lentilproxy/core/limit"
	"lentilproxy/core/retry"
	"lentilproxy/core/sched"
	"lentilproxy/core/setup"
	"lentilproxy/core/spec"
	"lentilproxy/core/value"
	"lentilproxy/io/clock"
	"lentilproxy/io/loans"
)

const (
	// borrowWait bounds how long a request waits for tokens of other hosts: a refusal within it is still an early one.
	borrowWait = 60 * time.Millisecond
	// overdraftPart is the part of the tolerated excess over a limit that the hosts use together, each its share, for
	// requests that the loans come too late for. The rest covers hosts that start again and forget what they spent.
	overdraftPart = 0.65
)

// Traffic is the state that requests share. Its critical sections are short and do no input or output.
type Traffic struct {
	coordinator *Coordinator
	control     *control

	mutex     sync.Mutex
	scheduler *sched.Scheduler
	loans     *loans.Exchanger
	board     *crash.Tracker
	budgets   map[string]*retry.Budget
	// count is the number of hosts that share limits and budgets, fraction this host's part of limits.
	count    int
	fraction float64
	loads    map[loadKey]*pendingLoad
	used     map[string]map[string]float64
	// running counts requests by server and adapter.
	running map[string]map[string]int
	holders map[string]holder
	// lenders are the hosts that share limits. The value is replaced whole.
	lenders lenders
	limits  map[string]limit.Entitlement
	// overdraft is what each workspace may take beyond its limit on this host, in tokens.
	overdraft float64
	bounds    setup.Bounds
}

type holder struct {
	address string
	own     bool
}

func newTraffic(coordinator *Coordinator) *Traffic {
	traffic := &Traffic{
		coordinator: coordinator, scheduler: sched.New(coordinator.settings.Host.DataCentre),
		fraction: limit.NewMembership(coordinator.settings.Host.Name).Fraction(clock.Now()),
		board:    crash.NewTracker(), budgets: map[string]*retry.Budget{},
		loads: map[loadKey]*pendingLoad{}, used: map[string]map[string]float64{}, running: map[string]map[string]int{}, holders: map[string]holder{},
		lenders: lenders{addresses: map[string]string{}}, limits: map[string]limit.Entitlement{},
		bounds: coordinator.settings.Bounds,
	}
	limiter := limit.New(coordinator.settings.Host.Name, limit.WithOpenTime(clock.Now()))
	traffic.loans = loans.New(coordinator.ctx, coordinator.settings.Host.Name, limiter, coordinator.peers.Call, borrowWait,
		func() { coordinator.post(traffic.exchange) }, loans.WithClock(clock.Now), loans.WithMetrics(coordinator.metrics))
	return traffic
}

// update takes a new view in.
func (traffic *Traffic) update(now time.Time, view *spec.View) {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	traffic.scheduler.UpdateServers(view.Servers)
	traffic.configureLimits(now, view)
}

// members takes in who the peers are and which servers they hold.
func (traffic *Traffic) members(now time.Time, registry *lease.Registry, peers map[string]*peerState) {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	self := traffic.coordinator.settings.Host.Name
	known := lenders{addresses: map[string]string{}}
	for _, host := range registry.Hosts() {
		known.names = append(known.names, host.Name)
		if _, found := peers[host.Name]; found {
			known.addresses[host.Name] = host.PeerAddress
		}
	}
	traffic.lenders = known
	traffic.scheduler.RetainPeers(now, value.NewSet(known.names...))
	clear(traffic.holders)
	for name := range traffic.coordinator.View().Servers {
		if known, found := registry.Holder(name); found {
			traffic.holders[name] = holder{address: known.PeerAddress, own: known.Name == self}
		}
	}
}

func (traffic *Traffic) holderOf(server string) (address string, own bool) {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	known := traffic.holders[server]
	return known.address, known.own
}

func (traffic *Traffic) hold(server string, born int64, held sched.Loaded) {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	traffic.scheduler.SetLoaded(server, born, held)
	if held.Orderable {
		traffic.holders[server] = holder{own: true}
	}
}

func (traffic *Traffic) unhold(server string) {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	traffic.scheduler.SetNotOrderable(server)
	if traffic.holders[server].own {
		delete(traffic.holders, server)
	}
}

// peer takes a peer's digest in.
func (traffic *Traffic) peer(now time.Time, message digest) {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	traffic.scheduler.SetPeerUsage(now, message.Host, message.Usage)
	for server, update := range message.Held {
		traffic.scheduler.SetLoaded(server, update.Born, update.Held)
		if address, found := traffic.lenders.addresses[message.Host]; found {
			traffic.holders[server] = holder{address: address}
		}
	}
}

func (traffic *Traffic) usage() map[string]sched.Usage {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	return traffic.scheduler.OwnUsage()
}

func (traffic *Traffic) takeAvoided() []sched.Ejection {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	return traffic.scheduler.TakeEjections()
}

// takeUsed returns the requests for adapters since the last call.
func (traffic *Traffic) takeUsed() map[string]map[string]float64 {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	used := traffic.used
	traffic.used = map[string]map[string]float64{}
	return used
}

// runningOn returns the running requests by server and adapter.
func (traffic *Traffic) runningOn() map[string]map[string]int {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	copied := make(map[string]map[string]int, len(traffic.running))
	for server, adapters := range traffic.running {
		copied[server] = maps.Clone(adapters)
	}
	return copied
}

// join returns the load request that requests share, and starts it if there is none.
func (traffic *Traffic) join(key loadKey, begin func(*pendingLoad)) *pendingLoad {
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

func (traffic *Traffic) leave(key loadKey) {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	delete(traffic.loads, key)
}

// arrived takes in that an adapter can be used on a server, before its holder's next digest.
func (traffic *Traffic) arrived(server spec.Server, adapter string, version int64) {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	traffic.scheduler.AddAdapter(server.ID, server.StartedMillis, adapter, version)
}

// Choose returns the server for a request and counts it there. The run has to be ended.
func (traffic *Traffic) Choose(now time.Time, service spec.Service, view *spec.View, job sched.Job) (sched.Choice, bool) {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	return traffic.scheduler.Choose(now, service, view.Servers, job)
}

// Start counts a request that is about to be sent.
func (traffic *Traffic) Start(now time.Time, server spec.Server, job sched.Job) *sched.Run {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	if job.Ref.Adapter != "" {
		count(traffic.used, server.ID, job.Ref.Adapter, 1)
		count(traffic.running, server.ID, job.Ref.Adapter, 1)
	}
	return traffic.scheduler.Start(now, server, job)
}

// count adds to a counter by server and adapter, and drops counters at zero.
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

// First counts the first event of an answer.
func (traffic *Traffic) First(now time.Time, run *sched.Run) {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	traffic.scheduler.RecordFirstToken(now, run)
}

// End counts the end of a request.
func (traffic *Traffic) End(run *sched.Run) {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	if run.Adapter() != "" {
		count(traffic.running, run.Server(), run.Adapter(), -1)
	}
	traffic.scheduler.End(run)
}

// Learn changes what is known of servers.
func (traffic *Traffic) Learn(change func(scheduler *sched.Scheduler)) {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	change(traffic.scheduler)
}
