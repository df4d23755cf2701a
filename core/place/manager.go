package place

import (
	"slices"
	"time"

	"lentilproxy"
	"lentilproxy/core/value"
)

type stage int

const (
	stageLoading stage = iota
	stageReady
	stageRevoking
	stageUnloading
)

type granted struct {
	inFlight int
	until    time.Time
	serial   int64
}

type instance struct {
	name    string
	model   string
	want    PermitRequest
	engine  string
	stage   stage
	permits map[string]*granted
	lastUse time.Time
	readyAt time.Time
	retryAt time.Time
}

type engine struct {
	spec    EngineSpec
	up      bool
	foreign map[string]time.Time
	// doubtUntil is how long no load is sent to the engine.
	doubtUntil time.Time
}

type waiter struct {
	ticket   int64
	host     string
	want     PermitRequest
	since    time.Time
	deadline time.Time
}

type failure struct {
	count   int
	last    time.Time
	retryAt time.Time
}

// Manager is the owner of one pool at one epoch. It is not safe for concurrent use.
type Manager struct {
	// serial is that of the last permit given.
	serial    int64
	epoch     int64
	number    int64
	ticket    int64
	policy    lentilproxy.PlacementPolicy
	budget    *Budget
	engines   map[string]*engine
	instances map[string]*instance
	// byModel and byEngine index the instances.
	byModel  map[string][]*instance
	byEngine map[string][]*instance
	// leaving are the instances that are being revoked.
	leaving value.Set[string]
	// inUse are forgotten instances, and when the last use of them has surely ended: a host that called an instance
	// missing may have been wrong.
	inUse map[string]time.Time
	// replicatedAt is when models that need another copy were last looked for.
	replicatedAt time.Time
	running      int
	waiting      []*waiter
	failures     map[string]failure
	// demand is how often each model is asked for, whether it is loaded or not.
	demand *demandBook
	// served counts the loads of a workspace divided by its weight, to choose whose load is next.
	served map[string]float64
	// planned maps a model to the instance that makes room for it.
	planned map[string]string
	loads   int64
}

// Option configures a manager.
type Option func(*Manager)

// WithPolicy sets the placement policy.
func WithPolicy(policy lentilproxy.PlacementPolicy) Option {
	return func(manager *Manager) { manager.policy = policy }
}

// WithBudget bounds the loads of the pool.
func WithBudget(budget *Budget) Option {
	return func(manager *Manager) { manager.budget = budget }
}

// NewManager returns the owner of a pool at an epoch.
func NewManager(epoch int64, options ...Option) *Manager {
	manager := &Manager{
		epoch: epoch, policy: NewDemandPolicy(), budget: NewBudget(3, 2),
		engines: map[string]*engine{}, instances: map[string]*instance{}, failures: map[string]failure{},
		served: map[string]float64{}, planned: map[string]string{},
		byModel: map[string][]*instance{}, byEngine: map[string][]*instance{}, leaving: value.NewSet[string](), demand: newDemandBook(),
		inUse: map[string]time.Time{},
	}
	for _, option := range options {
		option(manager)
	}
	return manager
}

// Epoch returns the epoch of the ownership, which is the fencing number of its orders.
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
			known = &engine{foreign: map[string]time.Time{}}
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

func (manager *Manager) book(entry *instance) {
	manager.instances[entry.name] = entry
	manager.byModel[entry.model] = append(manager.byModel[entry.model], entry)
	manager.byEngine[entry.engine] = append(manager.byEngine[entry.engine], entry)
	if entry.stage == stageLoading {
		manager.running++
	}
}

// setStage moves an instance to another stage.
func (manager *Manager) setStage(entry *instance, next stage) {
	if entry.stage == stageLoading {
		manager.running--
	}
	delete(manager.leaving, entry.name)
	if next == stageRevoking {
		manager.leaving.Add(entry.name)
	}
	entry.stage = next
}

// without removes an instance from a list of an index.
func without(index map[string][]*instance, key string, entry *instance) {
	kept := slices.DeleteFunc(index[key], func(other *instance) bool { return other == entry })
	if len(kept) == 0 {
		delete(index, key)
		return
	}
	index[key] = kept
}

func (manager *Manager) forget(entry *instance) {
	if manager.instances[entry.name] != entry {
		return
	}
	for _, held := range entry.permits {
		ends := held.until.Add(RequestDeadline + ClockDriftMargin)
		if ends.After(manager.inUse[entry.name]) {
			manager.inUse[entry.name] = ends
		}
	}
	manager.setStage(entry, stageUnloading)
	without(manager.byModel, entry.model, entry)
	without(manager.byEngine, entry.engine, entry)
	delete(manager.instances, entry.name)
	manager.unplan(entry.name)
}

func (manager *Manager) unplan(name string) {
	for model, victim := range manager.planned {
		if victim == name {
			delete(manager.planned, model)
		}
	}
}

// Acquire asks for a permit and returns the ticket under which the reply will come from Step.
func (manager *Manager) Acquire(now time.Time, host string, want PermitRequest, deadline time.Time) int64 {
	manager.ticket++
	manager.demand.add(now, want.Model, 1)
	for _, avoid := range want.Avoid {
		manager.MarkMissing(now, avoid)
	}
	manager.waiting = append(manager.waiting, &waiter{
		ticket: manager.ticket, host: host, want: want, since: now, deadline: deadline,
	})
	return manager.ticket
}

// Report takes a host's report and returns the permits that are renewed.
func (manager *Manager) Report(now time.Time, host string, uses []Usage) []Permit {
	var renewed []Permit
	for _, use := range uses {
		entry := manager.instances[use.Instance]
		if entry == nil {
			continue
		}
		if use.Returned {
			manager.takeBack(host, entry, use)
			continue
		}
		if use.Requests > 0 || use.InFlight > 0 {
			entry.lastUse = now
			manager.demand.add(now, entry.model, float64(use.Requests))
		}
		held := entry.permits[host]
		if held == nil {
			continue
		}
		held.inFlight = use.InFlight
		used := use.Requests > 0 || use.InFlight > 0
		if entry.stage == stageReady && used && held.until.Sub(now) < RenewBefore {
			renewed = append(renewed, manager.grantAll(now, host, entry.model)...)
		}
	}
	return renewed
}

// takeBack ends a host's permit, unless the report was overtaken by a newer one. A permit of an earlier owner has the
// serial 0 here.
func (manager *Manager) takeBack(host string, entry *instance, use Usage) {
	held := entry.permits[host]
	if held == nil {
		return
	}
	returned := int64(0)
	if use.Epoch == manager.epoch {
		returned = use.Serial
	}
	if held.serial <= returned {
		delete(entry.permits, host)
	}
}

// grantAll gives a host permits for all copies of a model.
func (manager *Manager) grantAll(now time.Time, host, model string) []Permit {
	var permits []Permit
	for _, entry := range manager.byModel[model] {
		if entry.stage == stageReady && !manager.engines[entry.engine].spec.Draining {
			permits = append(permits, manager.grant(now, host, entry))
		}
	}
	return permits
}

// ReturnPermits records that hosts do not use instances any more.
func (manager *Manager) ReturnPermits(host string, instances []string) {
	for _, name := range instances {
		if entry := manager.instances[name]; entry != nil {
			delete(entry.permits, host)
		}
	}
}

// CancelRevocation records that a host still uses an instance, so that it is not evicted now.
func (manager *Manager) CancelRevocation(now time.Time, host, name string) {
	entry := manager.instances[name]
	if entry == nil || entry.stage != stageRevoking {
		return
	}
	manager.setStage(entry, stageReady)
	entry.lastUse = now
	if held := entry.permits[host]; held != nil {
		held.inFlight = max(1, held.inFlight)
	}
	manager.unplan(name)
}

func (manager *Manager) grant(now time.Time, host string, entry *instance) Permit {
	held := entry.permits[host]
	if held == nil {
		held = &granted{}
		entry.permits[host] = held
	}
	held.until = now.Add(PermitDuration)
	manager.serial++
	held.serial = manager.serial
	return Permit{Serial: held.serial, Instance: entry.name, Model: entry.model, Engine: entry.engine, Epoch: manager.epoch, Duration: PermitDuration}
}

// FinishLoad records the end of a load.
func (manager *Manager) FinishLoad(now time.Time, name string, ok bool) {
	entry := manager.instances[name]
	if entry == nil {
		return
	}
	if ok {
		manager.setStage(entry, stageReady)
		entry.lastUse = now
		entry.readyAt = now
		delete(manager.failures, entry.model)
		return
	}
	manager.forget(entry)
	last := manager.failures[entry.model]
	if now.Sub(last.last) > LoadFailureExpiry {
		last.count = 0
	}
	last.count++
	last.last = now
	last.retryAt = now.Add(LoadBackoff << min(last.count-1, 6))
	manager.failures[entry.model] = last
}

// FinishUnload records the end of an unload. A failed one is tried again; the slot stays taken until then.
func (manager *Manager) FinishUnload(now time.Time, engineName, name string, ok bool) {
	if known := manager.engines[engineName]; known != nil {
		if _, foreign := known.foreign[name]; foreign {
			if ok {
				delete(known.foreign, name)
			} else {
				known.foreign[name] = now.Add(LoadBackoff)
			}
			return
		}
	}
	entry := manager.instances[name]
	switch {
	case entry == nil:
	case ok:
		manager.forget(entry)
	default:
		manager.setStage(entry, stageRevoking)
		entry.retryAt = now.Add(LoadBackoff)
	}
}

// Step returns the replies that are due and the orders to carry out.
func (manager *Manager) Step(now time.Time) ([]Reply, []Order) {
	for name, ends := range manager.inUse {
		if now.After(ends) {
			delete(manager.inUse, name)
		}
	}
	replies := manager.answer(now)
	orders := manager.unloads(now)
	orders = append(orders, manager.plan(now)...)
	orders = append(orders, manager.replicate(now)...)
	return replies, orders
}

// answer grants permits for ready instances and refuses waiters that cannot be served.
func (manager *Manager) answer(now time.Time) []Reply {
	var replies []Reply
	kept := manager.waiting[:0]
	for _, waiting := range manager.waiting {
		if entry := manager.ready(waiting.want.Model); entry != nil {
			entry.lastUse = now
			replies = append(replies, Reply{Ticket: waiting.ticket, Permit: manager.grant(now, waiting.host, entry)})
			continue
		}
		if refusal := manager.refusal(now, waiting); refusal != RefuseNone {
			replies = append(replies, Reply{Ticket: waiting.ticket, Refusal: refusal})
			continue
		}
		kept = append(kept, waiting)
	}
	manager.waiting = kept
	return replies
}

func (manager *Manager) refusal(now time.Time, waiting *waiter) Refusal {
	last := manager.failures[waiting.want.Model]
	switch {
	case !now.Before(waiting.deadline):
		return RefuseTimeout
	case last.count >= MaxLoadFailures && now.Sub(last.last) < LoadFailureExpiry:
		return RefuseLoad
	case !manager.hosts(waiting.want.BaseModel):
		return RefuseNoEngine
	default:
		return RefuseNone
	}
}

// hosts says whether any engine of the pool could run a base model.
func (manager *Manager) hosts(baseModel string) bool {
	for _, known := range manager.engines {
		if known.spec.BaseModel == baseModel && !known.spec.Draining {
			return true
		}
	}
	return false
}

// ready returns the least loaded ready instance of a model, or nil.
func (manager *Manager) ready(model string) *instance {
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

func (entry *instance) inFlight() int {
	sum := 0
	for _, held := range entry.permits {
		sum += held.inFlight
	}
	return sum
}

// unloads orders the unload of instances that nobody can use any more.
func (manager *Manager) unloads(now time.Time) []Order {
	var orders []Order
	for _, name := range value.Sorted(manager.leaving) {
		entry := manager.instances[name]
		entry.dropEnded(now)
		if len(entry.permits) == 0 && !now.Before(entry.retryAt) {
			manager.setStage(entry, stageUnloading)
			orders = append(orders, Order{Kind: OrderUnload, Engine: entry.engine, Instance: name})
		}
	}
	for _, engineName := range value.Sorted(manager.engines) {
		known := manager.engines[engineName]
		for _, name := range value.Sorted(known.foreign) {
			if !now.Before(known.foreign[name]) {
				known.foreign[name] = now.Add(MaxInstanceUse)
				orders = append(orders, Order{Kind: OrderUnload, Engine: engineName, Instance: name})
			}
		}
	}
	return orders
}

// dropEnded forgets permits past their second end.
func (entry *instance) dropEnded(now time.Time) {
	for host, held := range entry.permits {
		if now.After(held.until.Add(RequestDeadline + ClockDriftMargin)) {
			delete(entry.permits, host)
		}
	}
}

// Tracks says whether an instance is in the books.
func (manager *Manager) Tracks(name string) bool { return manager.instances[name] != nil }

// Waiting returns the number of hosts' requests that wait for a permit.
func (manager *Manager) Waiting() int { return len(manager.waiting) }

// Instances returns the number of instances in the books.
func (manager *Manager) Instances() int { return len(manager.instances) }
