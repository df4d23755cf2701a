package slots

import (
	"time"

	"lentilproxy"
)

// Model returns the base model of the server.
func (controller *Controller) Model() string { return controller.model }

// HasModel says whether the base model is loaded.
func (controller *Controller) HasModel() bool { return controller.hasModel }

// HasReport says whether the server has ever told what it holds.
func (controller *Controller) HasReport() bool { return controller.hasReport }

// ModelOrdered says whether the base model is on its way.
func (controller *Controller) ModelOrdered() bool { return !controller.modelOrderAt.IsZero() }

// Counts counts the adapters of a server by what happens to them.
type Counts struct {
	Capacity  int
	Ready     int
	InUse     int
	Loading   int
	Requested int
	Unloading int
	Busy      bool
	Synced    bool
	Sequence  int64
}

// Counts returns the counts at an instant.
func (controller *Controller) Counts(now time.Time) Counts {
	census := Counts{Capacity: controller.capacity, Busy: now.Before(controller.backoffUntil), Synced: controller.synced, Sequence: controller.sequence}
	for name, entry := range controller.entries {
		switch entry.phase {
		case ready:
			census.Ready++
			if controller.inUse(now, name) {
				census.InUse++
			}
			if entry.replacing {
				census.Loading++
			}
		case loading:
			census.Loading++
		case requested:
			census.Requested++
		case retiring, unloading:
			census.Unloading++
		}
	}
	return census
}

// HasPendingWork says whether an order may follow without another request.
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

// HasAdapter says whether the adapter of an order is loaded.
func (controller *Controller) HasAdapter(order lentilproxy.Order) bool {
	entry := controller.entries[order.Ref.Adapter]
	return entry != nil && entry.phase == ready && !entry.replacing
}

// inUse says whether a request for an adapter may be running or on its way.
func (controller *Controller) inUse(now time.Time, adapter string) bool {
	if entry := controller.entries[adapter]; entry != nil && now.Sub(entry.lastUse) < controller.gossipDelay+idleMargin {
		return true
	}
	return controller.isRunning(now, adapter)
}

// isRunning says whether a host has told of a request for an adapter that runs.
func (controller *Controller) isRunning(now time.Time, adapter string) bool {
	for _, runs := range controller.running {
		if runs.counts[adapter] > 0 && now.Sub(runs.at) < runningLifetime {
			return true
		}
	}
	return false
}

// allSlotsInUse says whether requests run on all that the server holds, so that no place becomes free soon.
func (controller *Controller) allSlotsInUse(now time.Time) bool {
	return controller.synced && controller.usedSlots() >= controller.capacity && !controller.evicting() && controller.allRunning(now)
}

// blocked says whether the server has taken no orders for a while.
func (controller *Controller) blocked(now time.Time) bool {
	return controller.conflicts > 0 && now.Sub(controller.conflictSince) > maxBlocked
}

// requests returns the number of adapters that wait for their turn.
func (controller *Controller) requestedCount() int {
	count := 0
	for _, entry := range controller.entries {
		if entry.phase == requested {
			count++
		}
	}
	return count
}

// allRunning says whether requests run on every adapter, so that none will make room soon.
func (controller *Controller) allRunning(now time.Time) bool {
	for name, entry := range controller.entries {
		if entry.phase == ready && !controller.isRunning(now, name) {
			return false
		}
	}
	return true
}

// evicting says whether an adapter is on its way out.
func (controller *Controller) evicting() bool {
	for _, entry := range controller.entries {
		if entry.phase == unloading || entry.phase == retiring {
			return true
		}
	}
	return false
}

// usedSlots returns the number of places in use.
func (controller *Controller) usedSlots() int {
	count := 0
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
		if entry.phase == loading || entry.replacing {
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

// storeLoadingCount returns the number of adapters on their way from the weight store.
func (controller *Controller) storeLoadingCount() int {
	count := 0
	for name, entry := range controller.entries {
		if _, kept := controller.recentlyUnloaded[name]; (entry.phase == loading || entry.replacing) && !kept {
			count++
		}
	}
	return count
}
