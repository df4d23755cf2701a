package place

import (
	"slices"
	"time"

	"lentilproxy"
	"lentilproxy/core/value"
)

// stage is the state of an instance in its life cycle.
type stage int

const (
	stageLoading stage = iota
	stageReady
	stageRevoking
	stageUnloading
)

// permitGrant is the newest permit of one host for one instance.
type permitGrant struct {
	// inFlight is the number of requests in flight that the host last reported.
	inFlight int
	// until is when the host stops sending new requests under the permit.
	until  time.Time
	serial int64
}

// instance is one copy of a model on one engine.
type instance struct {
	name  string
	model string
	// request is the one that the instance was loaded for; it is zero for instances of earlier epochs.
	request PermitRequest
	engine  string
	stage   stage
	// permits maps the names of hosts to their permits.
	permits map[string]*permitGrant
	lastUse time.Time
	readyAt time.Time
	// retryAt is when a failed unload may be tried again.
	retryAt time.Time
}

type engine struct {
	spec EngineSpec
	up   bool
	// untracked maps instances that the engine holds and the manager does not track to the time at which they may be
	// unloaded.
	untracked map[string]time.Time
	// open maps instances whose loads got no response to the time by which these have certainly ended. Each may take a slot until a later
	// report.
	open map[string]time.Time
	// noLoadsUntil is the time until which the engine gets no loads.
	noLoadsUntil time.Time
}

// waiter is a permit request without a reply.
type waiter struct {
	ticket   int64
	host     string
	request  PermitRequest
	deadline time.Time
}

// failure counts the failed loads of a model.
type failure struct {
	count   int
	lastAt  time.Time
	retryAt time.Time
}

// Manager makes the decisions of the owner of one pool during one epoch. It is not safe for concurrent use.
type Manager struct {
	// lastSerial is the serial of the newest permit.
	lastSerial int64
	epoch      int64
	// lastNumber is the number in the name of the newest instance.
	lastNumber int64
	lastTicket int64
	policy     lentilproxy.PlacementPolicy
	budget     *Budget
	engines    map[string]*engine
	instances  map[string]*instance
	// byModel and byEngine index the instances.
	byModel  map[string][]*instance
	byEngine map[string][]*instance
	// revoking holds the names of the instances in stageRevoking.
	revoking value.Set[string]
	// inUseUntil maps instances that are no longer tracked to the time by which their last request has certainly ended:
	// a host that reported an instance as missing may have been wrong.
	inUseUntil map[string]time.Time
	// replicasCheckedAt is when the manager last looked for a model that needs another copy.
	replicasCheckedAt time.Time
	// activeLoads is the number of instances in stageLoading.
	activeLoads int
	waiting     []*waiter
	failures    map[string]failure
	// demand is how often each model is requested, whether it is loaded or not.
	demand *demandTracker
	// weightedLoads is the number of loads of each workspace divided by its weight; it decides whose load is next.
	weightedLoads map[string]float64
	// evictions maps a model to the instance that is evicted to free a slot for it.
	evictions map[string]string
	loads     int64
}

// Option configures a manager.
type Option func(*Manager)

// WithPolicy sets the placement policy.
func WithPolicy(policy lentilproxy.PlacementPolicy) Option {
	return func(manager *Manager) { manager.policy = policy }
}

// WithBudget sets the budget for the loads of the pool.
func WithBudget(budget *Budget) Option {
	return func(manager *Manager) { manager.budget = budget }
}

// NewManager returns a manager for the owner of a pool during an epoch.
func NewManager(epoch int64, options ...Option) *Manager {
	manager := &Manager{
		epoch: epoch, policy: NewDemandPolicy(), budget: NewBudget(3, 2),
		engines: map[string]*engine{}, instances: map[string]*instance{}, failures: map[string]failure{},
		weightedLoads: map[string]float64{}, evictions: map[string]string{},
		byModel: map[string][]*instance{}, byEngine: map[string][]*instance{}, revoking: value.NewSet[string](), demand: newDemandTracker(),
		inUseUntil: map[string]time.Time{},
	}
	for _, option := range options {
		option(manager)
	}
	return manager
}

// Epoch returns the epoch of the ownership, which is the fencing token of its orders.
func (manager *Manager) Epoch() int64 { return manager.epoch }

// Loads returns the number of loads ordered.
func (manager *Manager) Loads() int64 { return manager.loads }

// Configure replaces the engines of the pool.
func (manager *Manager) Configure(specs []EngineSpec) {
	named := value.NewSet[string]()
	for _, spec := range specs {
		named.Add(spec.Name)
		known := manager.engines[spec.Name]
		if known == nil {
			known = &engine{untracked: map[string]time.Time{}, open: map[string]time.Time{}}
			manager.engines[spec.Name] = known
		}
		known.spec = spec
	}
	for name := range manager.engines {
		if !named.Has(name) {
			manager.EngineDown(name)
			delete(manager.engines, name)
		}
	}
}

// track adds an instance to the indexes.
func (manager *Manager) track(entry *instance) {
	manager.instances[entry.name] = entry
	manager.byModel[entry.model] = append(manager.byModel[entry.model], entry)
	manager.byEngine[entry.engine] = append(manager.byEngine[entry.engine], entry)
	if entry.stage == stageLoading {
		manager.activeLoads++
	}
}

// setStage changes the stage of an instance, and updates activeLoads and revoking.
func (manager *Manager) setStage(entry *instance, next stage) {
	if entry.stage == stageLoading {
		manager.activeLoads--
	}
	delete(manager.revoking, entry.name)
	if next == stageRevoking {
		manager.revoking.Add(entry.name)
	}
	entry.stage = next
}

// removeFromIndex removes an instance from the list under a key of an index.
func removeFromIndex(index map[string][]*instance, key string, entry *instance) {
	kept := slices.DeleteFunc(index[key], func(other *instance) bool { return other == entry })
	if len(kept) == 0 {
		delete(index, key)
		return
	}
	index[key] = kept
}

// untrack removes an instance from the indexes, and records until when hosts may still use it.
func (manager *Manager) untrack(entry *instance) {
	if manager.instances[entry.name] != entry {
		return
	}
	for _, grant := range entry.permits {
		ends := grant.until.Add(RequestDeadline + ClockDriftMargin)
		if ends.After(manager.inUseUntil[entry.name]) {
			manager.inUseUntil[entry.name] = ends
		}
	}
	manager.setStage(entry, stageUnloading)
	removeFromIndex(manager.byModel, entry.model, entry)
	removeFromIndex(manager.byEngine, entry.engine, entry)
	delete(manager.instances, entry.name)
	manager.clearEviction(entry.name)
}

// clearEviction removes the plan to evict an instance.
func (manager *Manager) clearEviction(name string) {
	for model, victim := range manager.evictions {
		if victim == name {
			delete(manager.evictions, model)
		}
	}
}

// Acquire queues a permit request and returns its ticket. Step returns the reply with this ticket.
func (manager *Manager) Acquire(now time.Time, host string, request PermitRequest, deadline time.Time) int64 {
	manager.lastTicket++
	manager.demand.add(now, request.Model, 1)
	for _, avoid := range request.Avoid {
		manager.MarkMissing(now, avoid)
	}
	manager.waiting = append(manager.waiting, &waiter{
		ticket: manager.lastTicket, host: host, request: request, deadline: deadline,
	})
	return manager.lastTicket
}

// Report applies a host's report and returns the renewed permits.
func (manager *Manager) Report(now time.Time, host string, usages []Usage) []Permit {
	var renewed []Permit
	for _, usage := range usages {
		entry := manager.instances[usage.Instance]
		if entry == nil {
			continue
		}
		if usage.Returned {
			manager.acceptReturn(host, entry, usage)
			continue
		}
		if usage.Requests > 0 || usage.InFlight > 0 {
			entry.lastUse = now
			manager.demand.add(now, entry.model, float64(usage.Requests))
		}
		grant := entry.permits[host]
		if grant == nil {
			continue
		}
		grant.inFlight = usage.InFlight
		used := usage.Requests > 0 || usage.InFlight > 0
		if entry.stage == stageReady && used && grant.until.Sub(now) < RenewBefore {
			renewed = append(renewed, manager.grantAll(now, host, entry.model)...)
		}
	}
	return renewed
}

// acceptReturn ends a host's permit, unless the host got a newer permit after it sent the return. A permit of an
// earlier owner counts with serial 0.
func (manager *Manager) acceptReturn(host string, entry *instance, usage Usage) {
	grant := entry.permits[host]
	if grant == nil {
		return
	}
	returned := int64(0)
	if usage.Epoch == manager.epoch {
		returned = usage.Serial
	}
	if grant.serial <= returned {
		delete(entry.permits, host)
	}
}

// grantAll returns permits for a host for all ready copies of a model on engines that do not drain.
func (manager *Manager) grantAll(now time.Time, host, model string) []Permit {
	var permits []Permit
	for _, entry := range manager.byModel[model] {
		if entry.stage == stageReady && !manager.engines[entry.engine].spec.Draining {
			permits = append(permits, manager.grant(now, host, entry))
		}
	}
	return permits
}

// ReturnPermits records that a host has given up its permits for some instances.
func (manager *Manager) ReturnPermits(host string, instances []string) {
	for _, name := range instances {
		if entry := manager.instances[name]; entry != nil {
			delete(entry.permits, host)
		}
	}
}

// CancelRevocation records that a host still uses an instance, which is therefore not evicted now.
func (manager *Manager) CancelRevocation(now time.Time, host, name string) {
	entry := manager.instances[name]
	if entry == nil || entry.stage != stageRevoking {
		return
	}
	manager.setStage(entry, stageReady)
	entry.lastUse = now
	if grant := entry.permits[host]; grant != nil {
		grant.inFlight = max(1, grant.inFlight)
	}
	manager.clearEviction(name)
}

func (manager *Manager) grant(now time.Time, host string, entry *instance) Permit {
	grant := entry.permits[host]
	if grant == nil {
		grant = &permitGrant{}
		entry.permits[host] = grant
	}
	grant.until = now.Add(PermitDuration)
	manager.lastSerial++
	grant.serial = manager.lastSerial
	return Permit{Serial: grant.serial, Instance: entry.name, Model: entry.model, Engine: entry.engine, Epoch: manager.epoch, Duration: PermitDuration}
}

// FinishLoad records the result of a load. A failed load delays the next load of the model by LoadBackoff or more.
func (manager *Manager) FinishLoad(now time.Time, name string, ok bool) {
	entry := manager.instances[name]
	if entry == nil {
		return
	}
	if ok && manager.engines[entry.engine] == nil {
		// The engine was removed from the pool during the load.
		manager.untrack(entry)
		return
	}
	if ok {
		manager.setStage(entry, stageReady)
		entry.lastUse = now
		entry.readyAt = now
		delete(manager.failures, entry.model)
		return
	}
	manager.untrack(entry)
	failure := manager.failures[entry.model]
	if now.Sub(failure.lastAt) > LoadFailureExpiry {
		failure.count = 0
	}
	failure.count++
	failure.lastAt = now
	failure.retryAt = now.Add(LoadBackoff << min(failure.count-1, 6))
	manager.failures[entry.model] = failure
}

// LoadUnanswered records that a load got no response, so that the engine may still carry it out. It counts as failed, and its slot stays
// occupied until a report shows the instance or the load has certainly ended before.
func (manager *Manager) LoadUnanswered(now time.Time, name string) {
	if entry := manager.instances[name]; entry != nil {
		if engine := manager.engines[entry.engine]; engine != nil {
			engine.open[name] = now.Add(MaxLoadTime)
		}
	}
	manager.FinishLoad(now, name, false)
}

// FinishUnload records the result of an unload. A failed unload is retried; until it succeeds, the adapter slot stays
// occupied.
func (manager *Manager) FinishUnload(now time.Time, engineName, name string, ok bool) {
	if engine := manager.engines[engineName]; engine != nil {
		if _, untracked := engine.untracked[name]; untracked {
			if ok {
				delete(engine.untracked, name)
			} else {
				engine.untracked[name] = now.Add(LoadBackoff)
			}
			return
		}
	}
	entry := manager.instances[name]
	switch {
	case entry == nil:
	case ok:
		manager.untrack(entry)
	default:
		manager.setStage(entry, stageRevoking)
		entry.retryAt = now.Add(LoadBackoff)
	}
}

// Step returns the replies to permit requests and the orders to carry out.
func (manager *Manager) Step(now time.Time) ([]Reply, []Order) {
	for name, ends := range manager.inUseUntil {
		if now.After(ends) {
			delete(manager.inUseUntil, name)
		}
	}
	replies := manager.dueReplies(now)
	orders := manager.orderUnloads(now)
	orders = append(orders, manager.planLoads(now)...)
	orders = append(orders, manager.replicate(now)...)
	return replies, orders
}

// dueReplies grants permits for ready instances and refuses requests that cannot be served.
func (manager *Manager) dueReplies(now time.Time) []Reply {
	var replies []Reply
	kept := manager.waiting[:0]
	for _, waiter := range manager.waiting {
		if entry := manager.leastLoaded(waiter.request.Model); entry != nil {
			entry.lastUse = now
			replies = append(replies, Reply{Ticket: waiter.ticket, Permit: manager.grant(now, waiter.host, entry)})
			continue
		}
		if refusal := manager.refusal(now, waiter); refusal != RefuseNone {
			replies = append(replies, Reply{Ticket: waiter.ticket, Refusal: refusal})
			continue
		}
		kept = append(kept, waiter)
	}
	manager.waiting = kept
	return replies
}

func (manager *Manager) refusal(now time.Time, waiter *waiter) Refusal {
	failure := manager.failures[waiter.request.Model]
	switch {
	case !now.Before(waiter.deadline):
		return RefuseTimeout
	case failure.count >= MaxLoadFailures && now.Sub(failure.lastAt) < LoadFailureExpiry:
		return RefuseLoad
	case !manager.servesBaseModel(waiter.request.BaseModel):
		return RefuseNoEngine
	default:
		return RefuseNone
	}
}

// servesBaseModel reports whether any engine of the pool that does not drain runs a base model.
func (manager *Manager) servesBaseModel(baseModel string) bool {
	for _, engine := range manager.engines {
		if engine.spec.BaseModel == baseModel && !engine.spec.Draining {
			return true
		}
	}
	return false
}

// leastLoaded returns the ready instance of a model with the fewest requests in flight, or nil.
func (manager *Manager) leastLoaded(model string) *instance {
	var best *instance
	for _, entry := range manager.byModel[model] {
		if entry.stage != stageReady || manager.engines[entry.engine].spec.Draining {
			continue
		}
		if best == nil || entry.inFlight() < best.inFlight() {
			best = entry
		}
	}
	return best
}

func (instance *instance) inFlight() int {
	sum := 0
	for _, grant := range instance.permits {
		sum += grant.inFlight
	}
	return sum
}

// orderUnloads returns unload orders for the instances that no host can use any more.
func (manager *Manager) orderUnloads(now time.Time) []Order {
	var orders []Order
	for _, name := range value.Sorted(manager.revoking) {
		entry := manager.instances[name]
		entry.dropExpired(now)
		if len(entry.permits) == 0 && !now.Before(entry.retryAt) {
			manager.setStage(entry, stageUnloading)
			orders = append(orders, Order{Kind: OrderUnload, Engine: entry.engine, Instance: name})
		}
	}
	for _, engineName := range value.Sorted(manager.engines) {
		engine := manager.engines[engineName]
		for _, name := range value.Sorted(engine.untracked) {
			if !now.Before(engine.untracked[name]) {
				engine.untracked[name] = now.Add(MaxInstanceUse)
				orders = append(orders, Order{Kind: OrderUnload, Engine: engineName, Instance: name})
			}
		}
	}
	return orders
}

// dropExpired removes permits past their second deadline, when no request can be running any more.
func (instance *instance) dropExpired(now time.Time) {
	for host, grant := range instance.permits {
		if now.After(grant.until.Add(RequestDeadline + ClockDriftMargin)) {
			delete(instance.permits, host)
		}
	}
}

// Waiting returns the number of permit requests without a reply.
func (manager *Manager) Waiting() int { return len(manager.waiting) }

// Instances returns the number of tracked instances.
func (manager *Manager) Instances() int { return len(manager.instances) }
