package place

import (
	"time"

	"lentilproxy"

	"github.com/cespare/xxhash/v2"
)

// fits returns the engines that run a base model and do not hold the adapter already.
func fits(demand lentilproxy.Demand, engines []lentilproxy.EngineState) []lentilproxy.EngineState {
	var usable []lentilproxy.EngineState
	for _, candidate := range engines {
		if candidate.BaseModel == demand.BaseModel && !holds(candidate, demand.Adapter) {
			usable = append(usable, candidate)
		}
	}
	return usable
}

func holds(engine lentilproxy.EngineState, adapter string) bool {
	for _, held := range engine.Held {
		if held.Adapter == adapter {
			return true
		}
	}
	return false
}

// pickFree returns the engine with a free slot and the fewest requests in flight.
func pickFree(engines []lentilproxy.EngineState) (lentilproxy.Choice, bool) {
	best := -1
	for index, candidate := range engines {
		if len(candidate.Held) >= candidate.Slots {
			continue
		}
		if best < 0 || candidate.InFlight < engines[best].InFlight ||
			(candidate.InFlight == engines[best].InFlight && len(candidate.Held) < len(engines[best].Held)) {
			best = index
		}
	}
	if best < 0 {
		return lentilproxy.Choice{}, false
	}
	return lentilproxy.Choice{Engine: engines[best].Name}, true
}

// oldest returns the idle instance that was used least recently.
func oldest(engine lentilproxy.EngineState) (lentilproxy.HeldInstance, bool) {
	var best lentilproxy.HeldInstance
	found := false
	for _, held := range engine.Held {
		if !held.Busy && (!found || held.LastUse.Before(best.LastUse)) {
			best, found = held, true
		}
	}
	return best, found
}

// LeastLoadedPolicy is a baseline: the engine with the least in flight, and its least recently used instance.
type LeastLoadedPolicy struct{}

// NewLeastLoadedPolicy returns the baseline.
func NewLeastLoadedPolicy() *LeastLoadedPolicy { return &LeastLoadedPolicy{} }

// Choose implements lentilproxy.PlacementPolicy.
func (policy *LeastLoadedPolicy) Choose(_ time.Time, demand lentilproxy.Demand, engines []lentilproxy.EngineState) (lentilproxy.Choice, bool) {
	var (
		best   lentilproxy.EngineState
		choice lentilproxy.Choice
		found  bool
	)
	for _, candidate := range fits(demand, engines) {
		option, possible := takeOrEvict(candidate)
		if possible && (!found || candidate.InFlight < best.InFlight) {
			best, choice, found = candidate, option, true
		}
	}
	return choice, found
}

func takeOrEvict(engine lentilproxy.EngineState) (lentilproxy.Choice, bool) {
	if len(engine.Held) < engine.Slots {
		return lentilproxy.Choice{Engine: engine.Name}, true
	}
	victim, found := oldest(engine)
	return lentilproxy.Choice{Engine: engine.Name, Evict: victim.Instance}, found
}

// RendezvousPolicy is a baseline: the engine with the highest hash for the adapter, and its least recently used
// instance.
type RendezvousPolicy struct{}

// NewRendezvousPolicy returns the baseline.
func NewRendezvousPolicy() *RendezvousPolicy { return &RendezvousPolicy{} }

// Choose implements lentilproxy.PlacementPolicy.
func (policy *RendezvousPolicy) Choose(_ time.Time, demand lentilproxy.Demand, engines []lentilproxy.EngineState) (lentilproxy.Choice, bool) {
	var (
		top    uint64
		choice lentilproxy.Choice
		found  bool
	)
	for _, candidate := range fits(demand, engines) {
		score := xxhash.Sum64String(demand.Adapter + "\x00" + candidate.Name)
		option, possible := takeOrEvict(candidate)
		if possible && (!found || score > top) {
			top, choice, found = score, option, true
		}
	}
	return choice, found
}

// DemandPolicy evicts the instance that is least likely to be asked for again, over all engines.
type DemandPolicy struct{}

// NewDemandPolicy returns the policy.
func NewDemandPolicy() *DemandPolicy { return &DemandPolicy{} }

// Choose implements lentilproxy.PlacementPolicy.
func (policy *DemandPolicy) Choose(_ time.Time, demand lentilproxy.Demand, engines []lentilproxy.EngineState) (lentilproxy.Choice, bool) {
	usable := fits(demand, engines)
	if choice, found := pickFree(usable); found {
		return choice, true
	}
	copies := map[string]int{}
	for _, candidate := range engines {
		for _, held := range candidate.Held {
			copies[held.Adapter]++
		}
	}
	var (
		lowest lentilproxy.HeldInstance
		choice lentilproxy.Choice
		found  bool
	)
	for _, candidate := range usable {
		for _, held := range candidate.Held {
			// Each further copy of an adapter serves a part of its demand only.
			held.Rate /= float64(copies[held.Adapter])
			if !held.Busy && (!found || worthLess(held, lowest)) {
				lowest, found = held, true
				choice = lentilproxy.Choice{Engine: candidate.Name, Evict: held.Instance}
			}
		}
	}
	return choice, found
}

func worthLess(left, right lentilproxy.HeldInstance) bool {
	if left.Rate != right.Rate {
		return left.Rate < right.Rate
	}
	return left.LastUse.Before(right.LastUse)
}
