package place

import (
	"sort"
	"time"

	"lentilproxy"
	"lentilproxy/core/value"
)

// planLoads orders loads, and the revocations that free slots for them, in the order of pendingLoads.
func (manager *Manager) planLoads(now time.Time) []Order {
	var orders []Order
	if !manager.mayLoad(now) {
		return nil
	}
	for _, request := range manager.pendingLoads(now) {
		if !manager.mayLoad(now) {
			break
		}
		orders = append(orders, manager.planLoad(now, request, manager.states(now))...)
	}
	return orders
}

// replicate orders another copy of the model with the most requests in flight per copy, if no permit request waits.
func (manager *Manager) replicate(now time.Time) []Order {
	if len(manager.waiting) > 0 || !manager.mayLoad(now) || now.Sub(manager.replicasCheckedAt) < ReplicaInterval {
		return nil
	}
	manager.replicasCheckedAt = now
	var busiest *instance
	threshold := ReplicaInFlight
	for _, model := range value.Sorted(manager.byModel) {
		copies := manager.byModel[model]
		sum := 0
		for _, entry := range copies {
			sum += entry.inFlight()
		}
		if perCopy := sum / len(copies); perCopy >= threshold && !manager.loading(model) {
			busiest, threshold = copies[0], perCopy+1
		}
	}
	if busiest == nil || busiest.request.Source == "" {
		return nil
	}
	return manager.planLoad(now, busiest.request, manager.states(now))
}

// mayLoad reports whether the budget allows another load in addition to those that wait for an eviction.
func (manager *Manager) mayLoad(now time.Time) bool {
	return manager.budget.Allows(now, manager.activeLoads) && manager.activeLoads+len(manager.evictions) < manager.budget.parallel
}

// pendingLoads returns one permit request for each model that has to be loaded: interactive requests before batch
// requests, then by the weighted number of loads of the workspace.
func (manager *Manager) pendingLoads(now time.Time) []PermitRequest {
	firstWaiters := map[string]*waiter{}
	for _, waiter := range manager.waiting {
		first := firstWaiters[waiter.request.Model]
		if first == nil || (first.request.Batch && !waiter.request.Batch) {
			firstWaiters[waiter.request.Model] = waiter
		}
	}
	var due []*waiter
	for model, waiter := range firstWaiters {
		if !manager.loading(model) && !now.Before(manager.failures[model].retryAt) {
			due = append(due, waiter)
		}
	}
	sort.Slice(due, func(left, right int) bool { return manager.loadsBefore(due[left], due[right]) })
	requests := make([]PermitRequest, 0, len(due))
	for _, waiter := range due {
		requests = append(requests, waiter.request)
	}
	return requests
}

// loadsBefore reports whether the load for one waiter comes before that for another.
func (manager *Manager) loadsBefore(left, right *waiter) bool {
	if left.request.Batch != right.request.Batch {
		return right.request.Batch
	}
	first, second := manager.weightedLoads[left.request.Workspace], manager.weightedLoads[right.request.Workspace]
	if first != second {
		return first < second
	}
	return left.ticket < right.ticket
}

// loading reports whether a copy of a model is being loaded.
func (manager *Manager) loading(model string) bool {
	for _, entry := range manager.byModel[model] {
		if entry.stage == stageLoading {
			return true
		}
	}
	return false
}

// planLoad orders a load, or the revocation of the instance that has to be evicted first.
func (manager *Manager) planLoad(now time.Time, request PermitRequest, states []lentilproxy.EngineState) []Order {
	if _, planned := manager.evictions[request.Model]; planned {
		return nil
	}
	demand := lentilproxy.Demand{Adapter: request.Model, BaseModel: request.BaseModel, Replicas: len(manager.byModel[request.Model])}
	choice, found := manager.policy.Choose(now, demand, states)
	if !found {
		return nil
	}
	if choice.Evict != "" {
		return manager.revoke(now, request, choice)
	}
	return manager.load(now, request, choice.Engine)
}

func (manager *Manager) revoke(now time.Time, request PermitRequest, choice lentilproxy.Choice) []Order {
	entry := manager.instances[choice.Evict]
	manager.setStage(entry, stageRevoking)
	manager.evictions[request.Model] = entry.name
	if len(entry.permits) == 0 {
		return manager.orderUnloads(now)
	}
	return []Order{{Kind: OrderRevoke, Engine: entry.engine, Instance: entry.name, Hosts: value.Sorted(entry.permits)}}
}

func (manager *Manager) load(now time.Time, request PermitRequest, engineName string) []Order {
	manager.budget.Take(now)
	manager.lastNumber++
	manager.loads++
	manager.charge(request)
	name := InstanceName(request.Model, manager.epoch, manager.lastNumber)
	manager.track(&instance{
		name: name, model: request.Model, request: request, engine: engineName, stage: stageLoading,
		permits: map[string]*permitGrant{}, lastUse: now,
	})
	return []Order{{Kind: OrderLoad, Engine: engineName, Instance: name, Source: request.Source}}
}

// charge adds a load to the weighted count of its workspace. The count is first raised to the lowest count of another
// waiting workspace, so that a workspace that was idle starts level with the least served one.
func (manager *Manager) charge(request PermitRequest) {
	lowest := -1.0
	for _, waiter := range manager.waiting {
		if waiter.request.Workspace == request.Workspace {
			continue
		}
		count := manager.weightedLoads[waiter.request.Workspace]
		if lowest < 0 || count < lowest {
			lowest = count
		}
	}
	manager.weightedLoads[request.Workspace] = max(manager.weightedLoads[request.Workspace], lowest) + 1/float64(max(1, request.Weight))
}

// states returns the states of the engines that can take a load, for the policy.
func (manager *Manager) states(now time.Time) []lentilproxy.EngineState {
	var states []lentilproxy.EngineState
	for _, name := range value.Sorted(manager.engines) {
		engine := manager.engines[name]
		if !engine.up || engine.spec.Draining || now.Before(engine.noLoadsUntil) {
			continue
		}
		states = append(states, manager.state(now, engine))
	}
	return states
}

func (manager *Manager) state(now time.Time, engine *engine) lentilproxy.EngineState {
	state := lentilproxy.EngineState{
		Name: engine.spec.Name, BaseModel: engine.spec.BaseModel, Slots: engine.spec.Slots - len(engine.untracked) - len(engine.open),
	}
	for _, entry := range manager.byEngine[engine.spec.Name] {
		inFlight := entry.inFlight()
		state.InFlight += inFlight
		state.Held = append(state.Held, lentilproxy.HeldInstance{
			Instance: entry.name, Adapter: entry.model, LastUse: entry.lastUse, Rate: manager.demand.at(now, entry.model),
			Busy: inFlight > 0 || entry.stage != stageReady,
		})
	}
	return state
}
