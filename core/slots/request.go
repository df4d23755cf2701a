package slots

import (
	"time"
)

// AddDemand counts requests for an adapter.
func (controller *Controller) AddDemand(now time.Time, adapter string, count float64) {
	if entry := controller.entries[adapter]; entry != nil {
		entry.use(now, count)
	}
}

// SetRunning takes in what requests of a host run on the server.
func (controller *Controller) SetRunning(now time.Time, host string, counts map[string]int) {
	controller.running[host] = runningCounts{counts: counts, at: now}
}

// LoadState is the answer to a request for an adapter.
type LoadState int

// The answers to a request.
const (
	// LoadPending means that the adapter is on its way, or waits for its turn.
	LoadPending LoadState = iota
	// LoadReady means that the adapter can be used.
	LoadReady
	// LoadRejected means that no place can be made.
	LoadRejected
)

// Request asks for an adapter with its demand in requests.
func (controller *Controller) Request(now time.Time, adapter string, demand float64) LoadState {
	entry := controller.entryOf(now, adapter)
	lastUse := entry.lastUse
	entry.use(now, demand)
	if entry.phase == ready && entry.version < controller.versions[adapter] {
		// A request for the newest version does not use the one before.
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

// State returns whether a requested adapter can be used.
func (controller *Controller) State(now time.Time, adapter string) LoadState {
	entry := controller.entries[adapter]
	switch {
	case entry == nil:
		return LoadRejected
	case entry.phase == ready && !entry.replacing && entry.version >= controller.versions[adapter]:
		return LoadReady
	case entry.phase == ready && !entry.replacing && controller.inUse(now, adapter):
		// Requests run on the version before; it is loaded elsewhere meanwhile.
		return LoadRejected
	case entry.phase == requested && (controller.blocked(now) || controller.requestedCount() > maxRequested || controller.allSlotsInUse(now)):
		delete(controller.entries, adapter)
		return LoadRejected
	default:
		return LoadPending
	}
}
