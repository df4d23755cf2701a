package slots

import (
	"time"

	"lentilproxy"
)

// Model returns the base model of the server.
func (controller *Controller) Model() string { return controller.model }

// HasModel reports whether the base model is loaded.
func (controller *Controller) HasModel() bool { return controller.hasModel }

// Repeats returns the number of times that the order without a response has been sent again; 0 if there is none.
func (controller *Controller) Repeats() int { return controller.repeats }

// HasReport reports whether a report of the server has ever been applied.
func (controller *Controller) HasReport() bool { return controller.hasReport }

// ModelOrdered reports whether the base model has already been ordered.
func (controller *Controller) ModelOrdered() bool { return !controller.modelOrderAt.IsZero() }

// Counts holds the numbers of a server's adapters by phase, and the state of its orders.
type Counts struct {
	Capacity  int
	Ready     int
	InUse     int
	Loading   int
	Requested int
	Unloading int
	// Busy reports whether the controller pauses after an order that conflicted with another one in progress.
	Busy     bool
	Synced   bool
	Sequence int64
}

// Counts returns the counts at a point in time.
func (controller *Controller) Counts(now time.Time) Counts {
	counts := Counts{Capacity: controller.capacity, Busy: now.Before(controller.backoffUntil), Synced: controller.synced, Sequence: controller.sequence}
	for name, entry := range controller.entries {
		switch entry.phase {
		case ready:
			counts.Ready++
			if controller.inUse(now, name) {
				counts.InUse++
			}
			if entry.replacing {
				counts.Loading++
			}
		case loading:
			counts.Loading++
		case requested:
			counts.Requested++
		case retiring, unloading:
			counts.Unloading++
		}
	}
	return counts
}

// HasPendingWork reports whether the controller may have to send an order even if there are no further requests.
func (controller *Controller) HasPendingWork() bool {
	if !controller.hasModel || !controller.synced {
		return true
	}
	for name, entry := range controller.entries {
		if entry.phase != ready || entry.replacing || entry.version < controller.versions[name] {
			return true
		}
	}
	return false
}

// HasAdapter reports whether the adapter of an order is loaded.
func (controller *Controller) HasAdapter(order lentilproxy.Order) bool {
	entry := controller.entries[order.Ref.Adapter]
	return entry != nil && entry.phase == ready && !entry.replacing
}

// inUse reports whether a request for an adapter may be running or about to be sent.
func (controller *Controller) inUse(now time.Time, adapter string) bool {
	entry := controller.entries[adapter]
	switch {
	case entry == nil:
	case controller.grants == nil && now.Sub(entry.lastUse) < controller.gossipDelay+idleMargin:
		return true
	case controller.grants != nil && (now.Sub(entry.readyAt) < firstUseMargin || now.Sub(entry.reportedUse) < controller.gossipDelay+idleMargin):
		return true
	}
	return controller.isRunning(now, adapter)
}

// isRunning reports whether a request for an adapter has a grant, or a host has recently reported a running one.
func (controller *Controller) isRunning(now time.Time, adapter string) bool {
	if controller.grants != nil && controller.grants.Running(adapter) > 0 {
		return true
	}
	for _, counts := range controller.running {
		if counts.counts[adapter] > 0 && now.Sub(counts.at) < runningLifetime {
			return true
		}
	}
	return false
}

// allSlotsInUse reports whether all slots are taken by adapters with running requests, so that none becomes free soon.
func (controller *Controller) allSlotsInUse(now time.Time) bool {
	return controller.synced && controller.usedSlots(now) >= controller.capacity && !controller.evicting() && controller.allRunning(now)
}

// blocked reports whether the server has rejected all orders as conflicts for a while. It ends with the backoff after the
// last conflict, so that a new request leads to the next order, which may succeed.
func (controller *Controller) blocked(now time.Time) bool {
	return controller.conflicts > 0 && now.Sub(controller.conflictSince) > maxBlocked && now.Before(controller.backoffUntil)
}

// requestedCount returns the number of adapters that wait to be loaded.
func (controller *Controller) requestedCount() int {
	count := 0
	for _, entry := range controller.entries {
		if entry.phase == requested {
			count++
		}
	}
	return count
}

// tooManyRequested reports whether too many adapters wait to be loaded. With grants, Wait rejects those that come last.
func (controller *Controller) tooManyRequested() bool {
	return controller.grants == nil && controller.requestedCount() > maxRequested
}

// allRunning reports whether requests run on every loaded adapter, so that none can be evicted soon.
func (controller *Controller) allRunning(now time.Time) bool {
	for name, entry := range controller.entries {
		if entry.phase == ready && !controller.isRunning(now, name) {
			return false
		}
	}
	return true
}

// evicting reports whether an adapter is being evicted.
func (controller *Controller) evicting() bool {
	for _, entry := range controller.entries {
		if entry.phase == unloading || entry.phase == retiring {
			return true
		}
	}
	return false
}

// usedSlots returns the number of adapter slots in use, and those that loads without a response may take.
func (controller *Controller) usedSlots(now time.Time) int {
	count := controller.openLoads(now)
	for _, entry := range controller.entries {
		if entry.phase != requested {
			count++
		}
	}
	return count
}

func (controller *Controller) loadingCount() int {
	count := 0
	for _, entry := range controller.entries {
		if entry.isLoading() {
			count++
		}
	}
	return count
}

// Ready returns the adapters that can be used, with their versions.
func (controller *Controller) Ready() map[string]int64 {
	loaded := map[string]int64{}
	for name, entry := range controller.entries {
		if entry.phase == ready && !entry.replacing {
			loaded[name] = entry.version
		}
	}
	return loaded
}

// storeLoadingCount returns the number of adapters that the server is loading from the weight store.
func (controller *Controller) storeLoadingCount() int {
	count := 0
	for name, entry := range controller.entries {
		if _, kept := controller.recentlyUnloaded[name]; entry.isLoading() && !kept {
			count++
		}
	}
	return count
}
