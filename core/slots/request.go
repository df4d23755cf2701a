package slots

import (
	"time"
)

// AddDemand counts requests for an adapter.
func (controller *Controller) AddDemand(now time.Time, adapter string, count float64) {
	if entry := controller.entries[adapter]; entry != nil {
		entry.use(now, count)
		entry.reportedUse = now
	}
}

// AddGrantedDemand counts requests for an adapter that had a grant.
func (controller *Controller) AddGrantedDemand(now time.Time, adapter string, count float64) {
	if entry := controller.entries[adapter]; entry != nil {
		entry.use(now, count)
	}
}

// SetRunning replaces the numbers of running requests of a host on the server, by adapter.
func (controller *Controller) SetRunning(now time.Time, host string, counts map[string]int) {
	controller.running[host] = runningCounts{counts: counts, at: now}
}

// LoadState is the result of a load request for an adapter.
type LoadState int

// The results of a load request.
const (
	// LoadPending means that the adapter is loading or waits to be loaded.
	LoadPending LoadState = iota
	// LoadReady means that the newest version of the adapter can be used.
	LoadReady
	// LoadRejected means that the server cannot load the adapter soon.
	LoadRejected
	// LoadLate means that the adapter is expected only after the request's deadline.
	LoadLate
)

// RequestBy requests an adapter for a request that should have its first event by a point in time.
func (controller *Controller) RequestBy(now time.Time, adapter string, demand float64, due time.Time) LoadState {
	if entry := controller.entryOf(now, adapter); due.After(entry.dueAt) {
		entry.dueAt = due
	}
	return controller.Request(now, adapter, demand)
}

// Request requests an adapter and adds to its demand, which is a number of requests.
func (controller *Controller) Request(now time.Time, adapter string, demand float64) LoadState {
	state := controller.request(now, adapter, demand)
	if entry := controller.entries[adapter]; entry != nil {
		entry.replica = true
	}
	return state
}

func (controller *Controller) request(now time.Time, adapter string, demand float64) LoadState {
	entry := controller.entryOf(now, adapter)
	lastUse := entry.lastUse
	entry.use(now, demand)
	if entry.phase == ready && entry.version < controller.versions[adapter] {
		// A request for the newest version does not use the loaded one.
		entry.lastUse = lastUse
	}
	switch entry.phase {
	case requested:
		entry.requestedAt = now
	case retiring:
		entry.phase = ready
	default:
	}
	return controller.State(now, adapter)
}

// State returns the state of a requested adapter. It drops the request if the server cannot load the adapter soon.
func (controller *Controller) State(now time.Time, adapter string) LoadState {
	entry := controller.entries[adapter]
	switch {
	case entry == nil:
		return LoadRejected
	case entry.phase == ready && !entry.replacing && entry.version >= controller.versions[adapter]:
		return LoadReady
	case entry.phase == ready && !entry.replacing && controller.inUse(now, adapter):
		// Requests use the previous version. The new one is loaded on another server meanwhile.
		return LoadRejected
	case entry.phase != ready && controller.unreachable:
		if entry.phase == requested {
			delete(controller.entries, adapter)
		}
		return LoadRejected
	case entry.phase == requested && (controller.blocked(now) || controller.tooManyRequested() || controller.allSlotsInUse(now)):
		delete(controller.entries, adapter)
		return LoadRejected
	default:
		return LoadPending
	}
}

// LoadTime returns the time from the order to the end of an adapter's last load, or until now if it is still in progress; 0 if this
// controller has not ordered it, or has not seen its end.
func (controller *Controller) LoadTime(now time.Time, adapter string) time.Duration {
	entry := controller.entries[adapter]
	switch {
	case entry == nil || entry.loadOrderedAt.IsZero():
		return 0
	case entry.isLoading():
		return now.Sub(entry.loadOrderedAt)
	default:
		return entry.loadTime
	}
}
