package place

import (
	"sort"
	"time"

	"lentilproxy"
	"lentilproxy/core/value"
)

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
func (manager *Manager) wanted(now time.Time) []PermitRequest {
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
	wants := make([]PermitRequest, 0, len(due))
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

func (manager *Manager) planOne(now time.Time, want PermitRequest, states []lentilproxy.EngineState) []Order {
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

func (manager *Manager) revoke(now time.Time, want PermitRequest, choice lentilproxy.Choice) []Order {
	entry := manager.instances[choice.Evict]
	manager.setStage(entry, stageRevoking)
	manager.planned[want.Model] = entry.name
	if len(entry.permits) == 0 {
		return manager.unloads(now)
	}
	return []Order{{Kind: OrderRevoke, Engine: entry.engine, Instance: entry.name, Hosts: value.Sorted(entry.permits)}}
}

func (manager *Manager) load(now time.Time, want PermitRequest, engineName string) []Order {
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
func (manager *Manager) charge(want PermitRequest) {
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
