package place

import (
	"time"

	"lentilproxy"

	"github.com/cespare/xxhash/v2"
)

// eligible returns the engines that run the base model and do not hold the adapter already.
func eligible(demand lentilproxy.Demand, engines []lentilproxy.EngineState) []lentilproxy.EngineState {
	var usable []lentilproxy.EngineState
	for _, candidate := range engines {
		if candidate.BaseModel == demand.BaseModel && !holdsAdapter(candidate, demand.Adapter) {
			usable = append(usable, candidate)
		}
	}
	return usable
}

func holdsAdapter(engine lentilproxy.EngineState, adapter string) bool {
	for _, held := range engine.Held {
		if held.Adapter == adapter {
			return true
		}
	}
	return false
}

// pickFreeSlot returns the engine with a free slot and the fewest requests in flight.
func pickFreeSlot(engines []lentilproxy.EngineState) (lentilproxy.Choice, bool) {
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

// leastRecentlyUsed returns the idle instance that was used least recently.
func leastRecentlyUsed(engine lentilproxy.EngineState) (lentilproxy.HeldInstance, bool) {
	var best lentilproxy.HeldInstance
	found := false
	for _, held := range engine.Held {
		if !held.Busy && (!found || held.LastUse.Before(best.LastUse)) {
			best, found = held, true
		}
	}
	return best, found
}

// LeastLoadedPolicy is a baseline that chooses the engine with the fewest requests in flight, and evicts its least
// recently used instance.
type LeastLoadedPolicy struct{}

// NewLeastLoadedPolicy returns the policy.
func NewLeastLoadedPolicy() *LeastLoadedPolicy { return &LeastLoadedPolicy{} }

// Choose implements lentilproxy.PlacementPolicy.
func (policy *LeastLoadedPolicy) Choose(_ time.Time, demand lentilproxy.Demand, engines []lentilproxy.EngineState) (lentilproxy.Choice, bool) {
	var (
		best   lentilproxy.EngineState
		choice lentilproxy.Choice
		found  bool
	)
	for _, candidate := range eligible(demand, engines) {
		option, possible := chooseSlot(candidate)
		if possible && (!found || candidate.InFlight < best.InFlight) {
			best, choice, found = candidate, option, true
		}
	}
	return choice, found
}

// chooseSlot takes a free slot of an engine, or else evicts its least recently used idle instance.
func chooseSlot(engine lentilproxy.EngineState) (lentilproxy.Choice, bool) {
	if len(engine.Held) < engine.Slots {
		return lentilproxy.Choice{Engine: engine.Name}, true
	}
	victim, found := leastRecentlyUsed(engine)
	return lentilproxy.Choice{Engine: engine.Name, Evict: victim.Instance}, found
}

// RendezvousPolicy is a baseline that chooses the engine with the highest hash for the adapter, and evicts its least
// recently used instance.
type RendezvousPolicy struct{}

// NewRendezvousPolicy returns the policy.
func NewRendezvousPolicy() *RendezvousPolicy { return &RendezvousPolicy{} }

// Choose implements lentilproxy.PlacementPolicy.
func (policy *RendezvousPolicy) Choose(_ time.Time, demand lentilproxy.Demand, engines []lentilproxy.EngineState) (lentilproxy.Choice, bool) {
	var (
		top    uint64
		choice lentilproxy.Choice
		found  bool
	)
	for _, candidate := range eligible(demand, engines) {
		score := xxhash.Sum64String(demand.Adapter + "\x00" + candidate.Name)
		option, possible := chooseSlot(candidate)
		if possible && (!found || score > top) {
			top, choice, found = score, option, true
		}
	}
	return choice, found
}

// DemandPolicy uses a free slot if there is one. Otherwise it evicts, over all engines, the idle instance with the
// lowest demand per copy, which is the least likely to be requested again.
type DemandPolicy struct{}

// NewDemandPolicy returns the policy.
func NewDemandPolicy() *DemandPolicy { return &DemandPolicy{} }

// Choose implements lentilproxy.PlacementPolicy.
func (policy *DemandPolicy) Choose(_ time.Time, demand lentilproxy.Demand, engines []lentilproxy.EngineState) (lentilproxy.Choice, bool) {
	usable := eligible(demand, engines)
	if choice, found := pickFreeSlot(usable); found {
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
			// Each copy of an adapter serves only a part of the adapter's demand.
			held.Rate /= float64(copies[held.Adapter])
			if !held.Busy && (!found || lowerDemand(held, lowest)) {
				lowest, found = held, true
				choice = lentilproxy.Choice{Engine: candidate.Name, Evict: held.Instance}
			}
		}
	}
	return choice, found
}

// lowerDemand reports whether left has the lower demand, or the same demand and the earlier last use.
func lowerDemand(left, right lentilproxy.HeldInstance) bool {
	if left.Rate != right.Rate {
		return left.Rate < right.Rate
	}
	return left.LastUse.Before(right.LastUse)
}
