package slots

import (
	"math"
	"sort"
	"time"

	"lentilproxy"
	"lentilproxy/core/spec"
)

// victim returns the adapter with the least demand among those that are ready and not in use, or "".
func (controller *Controller) victim(now time.Time) string {
	best, least := "", math.Inf(1)
	for name, entry := range controller.entries {
		if entry.phase != ready || entry.replacing || controller.inUse(now, name) {
			continue
		}
		if demand := entry.demandNow(now); demand < least || (demand == least && name < best) {
			best, least = name, demand
		}
	}
	return best
}

// Retire marks adapters for eviction, so that there are free slots for the next loads. It reports whether it has marked
// any.
func (controller *Controller) Retire(now time.Time) bool {
	if !controller.synced || !controller.hasModel {
		return false
	}
	free := controller.capacity - controller.usedSlots(now)
	for _, entry := range controller.entries {
		if entry.phase == retiring || entry.phase == unloading {
			free++
		}
	}
	retired := false
	for ; free < controller.capacity/reserveDivisor; free++ {
		name := controller.victim(now)
		if name == "" {
			break
		}
		controller.entries[name].phase, controller.entries[name].retiredAt = retiring, now
		retired = true
	}
	return retired
}

// NextOrder returns the next order to send, if there is one. It starts to load the base model only if mayLoadModel is
// set. The outcome of an order has to be applied before the next call.
func (controller *Controller) NextOrder(now time.Time, mayLoadModel bool) (lentilproxy.Order, bool) {
	if !controller.synced || now.Before(controller.backoffUntil) {
		return lentilproxy.Order{}, false
	}
	if controller.unanswered != nil {
		return *controller.unanswered, true
	}
	if !controller.hasModel {
		return controller.nextModel(now, mayLoadModel)
	}
	for _, choose := range []func(time.Time) (lentilproxy.Order, bool){
		controller.nextReplacement, controller.nextLoad, controller.nextPoll, controller.nextUnload,
	} {
		if order, found := choose(now); found {
			return order, true
		}
	}
	return lentilproxy.Order{}, false
}

// nextModel returns an order to load the base model on a server that restarted without it.
func (controller *Controller) nextModel(now time.Time, mayLoad bool) (lentilproxy.Order, bool) {
	ordered := !controller.modelOrderAt.IsZero()
	if controller.model == "" || (!ordered && !mayLoad) || (ordered && now.Sub(controller.modelOrderAt) < pollSlow) {
		return lentilproxy.Order{}, false
	}
	order := controller.order(lentilproxy.Load, "", 0)
	order.Poll = ordered
	return order, true
}

func (controller *Controller) order(kind lentilproxy.OrderKind, adapter string, version int64) lentilproxy.Order {
	return lentilproxy.Order{
		Kind: kind, Ref: spec.AdapterRef{Model: controller.model, Adapter: adapter}, Version: version, Sequence: controller.sequence,
	}
}

// nextPoll returns a repeated order. The response shows whether the load or unload of an adapter is complete.
func (controller *Controller) nextPoll(now time.Time) (lentilproxy.Order, bool) {
	for _, name := range controller.names() {
		entry := controller.entries[name]
		if now.Sub(entry.polledAt) < controller.pollInterval(now, name) {
			continue
		}
		switch {
		case entry.phase == loading || entry.replacing:
			order := controller.order(lentilproxy.Load, name, controller.versions[name])
			order.Poll = true
			return order, true
		case entry.phase == unloading:
			return controller.order(lentilproxy.Unload, name, 0), true
		}
	}
	return lentilproxy.Order{}, false
}

// pollInterval returns the time between two polls for an adapter.
func (controller *Controller) pollInterval(now time.Time, adapter string) time.Duration {
	entry := controller.entries[adapter]
	if _, kept := controller.recentlyUnloaded[adapter]; kept || entry.phase == unloading {
		return pollFast
	}
	return max(pollSlow, minStoreLoadTime-now.Sub(entry.orderAt))
}

// nextReplacement returns an order to replace an older version of an adapter by the newest one.
func (controller *Controller) nextReplacement(now time.Time) (lentilproxy.Order, bool) {
	if controller.loadingCount() >= MaxConcurrentLoads {
		return lentilproxy.Order{}, false
	}
	for _, name := range controller.names() {
		entry := controller.entries[name]
		if entry.phase == ready && !entry.replacing && entry.version < controller.versions[name] && !controller.inUse(now, name) {
			return controller.order(lentilproxy.Load, name, controller.versions[name]), true
		}
	}
	return lentilproxy.Order{}, false
}

// nextLoad returns an order to load the most requested adapter, or to evict another adapter for it.
func (controller *Controller) nextLoad(now time.Time) (lentilproxy.Order, bool) {
	best := controller.mostRequested(now)
	if best == "" || controller.loadingCount() >= MaxConcurrentLoads {
		return lentilproxy.Order{}, false
	}
	if controller.usedSlots(now) < controller.capacity {
		return controller.order(lentilproxy.Load, best, controller.versions[best]), true
	}
	// The load takes precedence: it does not wait, as nextUnload does, until the other hosts have received the change.
	if name := controller.oldestRetiring(now); name != "" {
		return controller.order(lentilproxy.Unload, name, 0), true
	}
	if controller.evicting() {
		return lentilproxy.Order{}, false
	}
	if victim := controller.victim(now); victim != "" {
		return controller.order(lentilproxy.Unload, victim, 0), true
	}
	return lentilproxy.Order{}, false
}

// mostRequested returns the adapter to load next, or "". Adapters that the server unloaded recently come first, since
// it loads them fast; then those whose requests can still have their first event in time. While loads are scarce, the others
// would make these late as well. With grants, the order of the requests that wait for them decides.
func (controller *Controller) mostRequested(now time.Time) string {
	if controller.grants != nil {
		return controller.firstWaiting(now)
	}
	best, bestRank, most := "", -1, -1.0
	storeBusy := controller.storeLoadingCount() >= MaxStoreLoads
	for _, name := range controller.names() {
		entry := controller.entries[name]
		if entry.phase != requested {
			continue
		}
		if now.Sub(entry.requestedAt) > requestLifetime {
			delete(controller.entries, name)
			continue
		}
		_, kept := controller.recentlyUnloaded[name]
		if !kept && storeBusy {
			continue
		}
		rank := 0
		switch {
		case kept:
			rank = 2
		case !now.Add(minStoreLoadTime).After(entry.dueAt):
			rank = 1
		}
		if demand := entry.demandNow(now); rank > bestRank || (rank == bestRank && demand > most) {
			best, bestRank, most = name, rank, demand
		}
	}
	return best
}

// nextUnload returns an order to unload an adapter once all hosts have been informed that it is retiring.
func (controller *Controller) nextUnload(now time.Time) (lentilproxy.Order, bool) {
	name := controller.oldestRetiring(now)
	if name == "" || now.Sub(controller.entries[name].retiredAt) < controller.retireDelay() {
		return lentilproxy.Order{}, false
	}
	return controller.order(lentilproxy.Unload, name, 0), true
}

// retireDelay returns how long a retiring adapter stays loaded. No request gets a grant for it meanwhile, so that with grants it
// can be unloaded at once.
func (controller *Controller) retireDelay() time.Duration {
	if controller.grants != nil {
		return 0
	}
	return controller.gossipDelay + retireMargin
}

// oldestRetiring returns the adapter that has been retiring for longest among those that are not in use, or "".
func (controller *Controller) oldestRetiring(now time.Time) string {
	oldest := ""
	for _, name := range controller.names() {
		entry := controller.entries[name]
		if entry.phase == retiring && !controller.inUse(now, name) && (oldest == "" || entry.retiredAt.Before(controller.entries[oldest].retiredAt)) {
			oldest = name
		}
	}
	return oldest
}

func (controller *Controller) names() []string {
	names := make([]string, 0, len(controller.entries))
	for name := range controller.entries {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
