package slots

import (
	"time"
)

// Used counts requests for an adapter.
func (controller *Controller) Used(now time.Time, adapter string, count float64) {
	if known := controller.entries[adapter]; known != nil {
		known.use(now, count)
	}
}

// Running takes in what requests of a host run on the server.
func (controller *Controller) Running(now time.Time, host string, counts map[string]int) {
	controller.running[host] = hostRuns{counts: counts, at: now}
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
	known := controller.entry(now, adapter)
	lastUse := known.lastUse
	known.use(now, demand)
	if known.phase == ready && known.version < controller.versions[adapter] {
		// A request for the newest version does not use the one before.
		known.lastUse = lastUse
	}
	switch known.phase {
	case requested:
		known.requestedAt = now
	case retiring:
		known.phase = ready
	default:
	}
	return controller.State(now, adapter)
}

// State returns whether a requested adapter can be used.
func (controller *Controller) State(now time.Time, adapter string) LoadState {
	known := controller.entries[adapter]
	switch {
	case known == nil:
		return LoadRejected
	case known.phase == ready && !known.replacing && known.version >= controller.versions[adapter]:
		return LoadReady
	case known.phase == ready && !known.replacing && controller.inUse(now, adapter):
		// Requests run on the version before; it is loaded elsewhere meanwhile.
		return LoadRejected
	case known.phase == requested && (controller.blocked(now) || controller.waiting() > maxRequested || controller.occupied(now)):
		delete(controller.entries, adapter)
		return LoadRejected
	default:
		return LoadPending
	}
}
