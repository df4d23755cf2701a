package place

import (
	"slices"
	"sort"
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
	want    Want
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
	want     Want
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

// Adopt records what an engine says it has loaded, asked for at an instant. Instances of other epochs keep their
// slots until no host can use them; own instances that are missing are forgotten.
func (manager *Manager) Adopt(now, askedAt time.Time, name string, loaded []string) {
	known := manager.engines[name]
	if known == nil {
		return
	}
	known.up = true
	known.doubtUntil = time.Time{}
	present := value.NewSet(loaded...)
	for _, held := range loaded {
		if _, own := manager.instances[held]; own {
			continue
		}
		if _, seen := known.foreign[held]; !seen {
			known.foreign[held] = manager.freeAt(now, held)
		}
	}
	for held := range known.foreign {
		if !present.Has(held) {
			delete(known.foreign, held)
		}
	}
	for held, entry := range manager.instances {
		settled := entry.stage == stageReady || entry.stage == stageRevoking
		if entry.engine == name && settled && !present.Has(held) && entry.readyAt.Before(askedAt) {
			manager.forget(entry)
		}
	}
}

// Census is what one host still uses of the instances that earlier owners loaded.
type Census struct {
	Host string `json:"host"`
	Uses []Use  `json:"uses"`
	// Complete hosts gave up all their older permits but those in use.
	Complete bool `json:"complete"`
}

// Inherit takes over the instances that an engine holds from an earlier epoch. No order of the earlier owner may
// reach the engine any more: it checks fencing numbers, or the earlier owner confirmed that it has ended.
func (manager *Manager) Inherit(now time.Time, engineName string, loaded []string, census []Census) {
	known := manager.engines[engineName]
	if known == nil {
		return
	}
	for _, name := range loaded {
		model, _, valid := SplitInstance(name)
		if !valid || manager.instances[name] != nil {
			continue
		}
		delete(known.foreign, name)
		entry := &instance{
			name: name, model: model, engine: engineName, stage: stageReady, permits: map[string]*granted{}, lastUse: now, readyAt: now,
		}
		for _, report := range census {
			entry.inherit(now, report)
		}
		manager.book(entry)
	}
}

// inherit books a host's use of an instance; a host that did not answer may use it until MaxHold is over.
func (entry *instance) inherit(now time.Time, report Census) {
	if !report.Complete {
		entry.permits[report.Host] = &granted{until: now.Add(PermitDuration), inFlight: 1}
		return
	}
	for _, use := range report.Uses {
		if use.Instance == entry.name {
			entry.permits[report.Host] = &granted{until: now.Add(PermitDuration), inFlight: use.InFlight}
		}
	}
}

// Release ends the wait for instances of earlier epochs that no host uses, once every host gave up its permits.
func (manager *Manager) Release(now time.Time, engineName string, census []Census) {
	known := manager.engines[engineName]
	if known == nil {
		return
	}
	used := value.NewSet[string]()
	for _, report := range census {
		if !report.Complete {
			return
		}
		for _, use := range report.Uses {
			used.Add(use.Instance)
		}
	}
	for name := range known.foreign {
		if !used.Has(name) {
			known.foreign[name] = now
		}
	}
}

// freeAt returns when an instance that is not in the books has surely ended all its uses.
func (manager *Manager) freeAt(now time.Time, name string) time.Time {
	if _, epoch, found := SplitInstance(name); !found || epoch != manager.epoch {
		return now.Add(MaxHold)
	}
	// An own instance that no host was given is free at once.
	return later(now, manager.inUse[name])
}

func later(left, right time.Time) time.Time {
	if left.After(right) {
		return left
	}
	return right
}

// EngineDown forgets the instances of an engine that is gone or restarted.
func (manager *Manager) EngineDown(name string) {
	known := manager.engines[name]
	if known == nil {
		return
	}
	known.up = false
	clear(known.foreign)
	for _, entry := range manager.instances {
		if entry.engine == name && entry.stage != stageLoading {
			manager.forget(entry)
		}
	}
}

// Missing records that a host could not use an instance at its engine. The engine gets no load until it was heard again,
// or a while has passed.
func (manager *Manager) Missing(now time.Time, name string) {
	entry := manager.instances[name]
	if entry == nil || entry.stage != stageReady {
		return
	}
	if known := manager.engines[entry.engine]; known != nil {
		known.doubtUntil = now.Add(DoubtTime)
	}
	manager.forget(entry)
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
		ends := held.until.Add(RequestDeadline + HoldMargin)
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
func (manager *Manager) Acquire(now time.Time, host string, want Want, deadline time.Time) int64 {
	manager.ticket++
	manager.demand.add(now, want.Model, 1)
	for _, avoid := range want.Avoid {
		manager.Missing(now, avoid)
	}
	manager.waiting = append(manager.waiting, &waiter{
		ticket: manager.ticket, host: host, want: want, since: now, deadline: deadline,
	})
	return manager.ticket
}

// Report takes a host's report and returns the permits that are renewed.
func (manager *Manager) Report(now time.Time, host string, uses []Use) []Permit {
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
func (manager *Manager) takeBack(host string, entry *instance, use Use) {
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

// Return records that hosts do not use instances any more.
func (manager *Manager) Return(host string, instances []string) {
	for _, name := range instances {
		if entry := manager.instances[name]; entry != nil {
			delete(entry.permits, host)
		}
	}
}

// Kept records that a host still uses an instance, so that it is not evicted now.
func (manager *Manager) Kept(now time.Time, host, name string) {
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

// Loaded records the end of a load.
func (manager *Manager) Loaded(now time.Time, name string, ok bool) {
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
	if now.Sub(last.last) > FailureMemory {
		last.count = 0
	}
	last.count++
	last.last = now
	last.retryAt = now.Add(LoadBackoff << min(last.count-1, 6))
	manager.failures[entry.model] = last
}

// Unloaded records the end of an unload. A failed one is tried again; the slot stays taken until then.
func (manager *Manager) Unloaded(now time.Time, engineName, name string, ok bool) {
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
	case last.count >= MaxLoadFailures && now.Sub(last.last) < FailureMemory:
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
				known.foreign[name] = now.Add(MaxHold)
				orders = append(orders, Order{Kind: OrderUnload, Engine: engineName, Instance: name})
			}
		}
	}
	return orders
}

// dropEnded forgets permits past their second end.
func (entry *instance) dropEnded(now time.Time) {
	for host, held := range entry.permits {
		if now.After(held.until.Add(RequestDeadline + HoldMargin)) {
			delete(entry.permits, host)
		}
	}
}

// plan starts loads, and revocations that make room for them, in the order of fairness.
func (manager *Manager) plan(now time.Time) []Order {
	var orders []Order
	if !manager.mayLoad(now) {
		return nil
	}
	for _, want := range manager.wanted(now) {
		if !manager.mayLoad(now) {
			break
		}
		orders = append(orders, manager.planOne(now, want, manager.states(now))...)
	}
	return orders
}

// replicate loads another copy of the model with the most requests in flight on each copy, if nobody waits for a load.
func (manager *Manager) replicate(now time.Time) []Order {
	if len(manager.waiting) > 0 || !manager.mayLoad(now) || now.Sub(manager.replicatedAt) < ReplicaInterval {
		return nil
	}
	manager.replicatedAt = now
	var busiest *instance
	most := ReplicaInFlight
	for _, model := range value.Sorted(manager.byModel) {
		copies := manager.byModel[model]
		sum := 0
		for _, entry := range copies {
			sum += entry.inFlight()
		}
		if each := sum / len(copies); each >= most && !manager.loading(model) {
			busiest, most = copies[0], each+1
		}
	}
	if busiest == nil || busiest.want.Source == "" {
		return nil
	}
	return manager.planOne(now, busiest.want, manager.states(now))
}

// mayLoad says whether the budget allows another load, beside those that wait for room.
func (manager *Manager) mayLoad(now time.Time) bool {
	return manager.budget.Allows(now, manager.running) && manager.running+len(manager.planned) < manager.budget.parallel
}

// wanted returns what has to be loaded: interactive before batch, then the workspace that was served least.
func (manager *Manager) wanted(now time.Time) []Want {
	oldest := map[string]*waiter{}
	for _, waiting := range manager.waiting {
		known := oldest[waiting.want.Model]
		if known == nil || (known.want.Batch && !waiting.want.Batch) {
			oldest[waiting.want.Model] = waiting
		}
	}
	var due []*waiter
	for model, waiting := range oldest {
		if !manager.loading(model) && !now.Before(manager.failures[model].retryAt) {
			due = append(due, waiting)
		}
	}
	sort.Slice(due, func(left, right int) bool { return manager.before(due[left], due[right]) })
	wants := make([]Want, 0, len(due))
	for _, waiting := range due {
		wants = append(wants, waiting.want)
	}
	return wants
}

func (manager *Manager) before(left, right *waiter) bool {
	if left.want.Batch != right.want.Batch {
		return right.want.Batch
	}
	first, second := manager.served[left.want.Workspace], manager.served[right.want.Workspace]
	if first != second {
		return first < second
	}
	return left.ticket < right.ticket
}

func (manager *Manager) loading(model string) bool {
	for _, entry := range manager.byModel[model] {
		if entry.stage == stageLoading {
			return true
		}
	}
	return false
}

func (manager *Manager) planOne(now time.Time, want Want, states []lentilproxy.EngineState) []Order {
	if _, planned := manager.planned[want.Model]; planned {
		return nil
	}
	demand := lentilproxy.Demand{Adapter: want.Model, BaseModel: want.BaseModel, Replicas: len(manager.byModel[want.Model])}
	choice, found := manager.policy.Choose(now, demand, states)
	if !found {
		return nil
	}
	if choice.Evict != "" {
		return manager.revoke(now, want, choice)
	}
	return manager.load(now, want, choice.Engine)
}

func (manager *Manager) revoke(now time.Time, want Want, choice lentilproxy.Choice) []Order {
	entry := manager.instances[choice.Evict]
	manager.setStage(entry, stageRevoking)
	manager.planned[want.Model] = entry.name
	if len(entry.permits) == 0 {
		return manager.unloads(now)
	}
	return []Order{{Kind: OrderRevoke, Engine: entry.engine, Instance: entry.name, Hosts: value.Sorted(entry.permits)}}
}

func (manager *Manager) load(now time.Time, want Want, engineName string) []Order {
	manager.budget.Take(now)
	manager.number++
	manager.loads++
	manager.charge(want)
	name := InstanceName(want.Model, manager.epoch, manager.number)
	manager.book(&instance{
		name: name, model: want.Model, want: want, engine: engineName, stage: stageLoading,
		permits: map[string]*granted{}, lastUse: now,
	})
	return []Order{{Kind: OrderLoad, Engine: engineName, Instance: name, Source: want.Source}}
}

// charge counts a load for its workspace. A workspace that was idle starts level with the least served one.
func (manager *Manager) charge(want Want) {
	floor := -1.0
	for _, waiting := range manager.waiting {
		served := manager.served[waiting.want.Workspace]
		if floor < 0 || served < floor {
			floor = served
		}
	}
	manager.served[want.Workspace] = max(manager.served[want.Workspace], floor) + 1/float64(max(1, want.Weight))
}

// states describes the engines that can take a load to the policy.
func (manager *Manager) states(now time.Time) []lentilproxy.EngineState {
	var states []lentilproxy.EngineState
	for _, name := range value.Sorted(manager.engines) {
		known := manager.engines[name]
		if !known.up || known.spec.Draining || now.Before(known.doubtUntil) {
			continue
		}
		states = append(states, manager.state(now, known))
	}
	return states
}

func (manager *Manager) state(now time.Time, known *engine) lentilproxy.EngineState {
	state := lentilproxy.EngineState{
		Name: known.spec.Name, BaseModel: known.spec.BaseModel, Slots: known.spec.Slots - len(known.foreign),
	}
	for _, entry := range manager.byEngine[known.spec.Name] {
		inFlight := entry.inFlight()
		state.InFlight += inFlight
		state.Held = append(state.Held, lentilproxy.HeldInstance{
			Instance: entry.name, Adapter: entry.model, LastUse: entry.lastUse, Rate: manager.demand.at(now, entry.model),
			Busy: inFlight > 0 || entry.stage != stageReady,
		})
	}
	return state
}

// Owned says whether an instance is in the books.
func (manager *Manager) Owned(name string) bool { return manager.instances[name] != nil }

// Waiting returns the number of hosts' requests that wait for a permit.
func (manager *Manager) Waiting() int { return len(manager.waiting) }

// Instances returns the number of instances in the books.
func (manager *Manager) Instances() int { return len(manager.instances) }
