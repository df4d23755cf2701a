package slots

import (
	"time"
)

// Used counts requests for an adapter.
func (keeper *Keeper) Used(now time.Time, adapter string, count float64) {
	if known := keeper.entries[adapter]; known != nil {
		known.use(now, count)
	}
}

// Running takes in what requests of a host run on the server.
func (keeper *Keeper) Running(now time.Time, host string, counts map[string]int) {
	keeper.running[host] = hostRuns{counts: counts, at: now}
}

// Wish is the answer to a wish for an adapter.
type Wish int

// The answers to a wish.
const (
	// WishPending means that the adapter is on its way, or waits for its turn.
	WishPending Wish = iota
	// WishReady means that the adapter can be used.
	WishReady
	// WishFull means that no place can be made.
	WishFull
)

// Want asks for an adapter with its demand in requests.
func (keeper *Keeper) Want(now time.Time, adapter string, demand float64) Wish {
	known := keeper.entry(now, adapter)
	lastUse := known.lastUse
	known.use(now, demand)
	if known.phase == ready && known.version < keeper.versions[adapter] {
		// A wish for the newest version does not use the one before.
		known.lastUse = lastUse
	}
	switch known.phase {
	case wanted:
		known.wantedAt = now
	case retiring:
		known.phase = ready
	default:
	}
	return keeper.Check(now, adapter)
}

// Check returns the state of a wish.
func (keeper *Keeper) Check(now time.Time, adapter string) Wish {
	known := keeper.entries[adapter]
	switch {
	case known == nil:
		return WishFull
	case known.phase == ready && !known.replacing && known.version >= keeper.versions[adapter]:
		return WishReady
	case known.phase == ready && !known.replacing && keeper.inUse(now, adapter):
		// Requests run on the version before; it is loaded elsewhere meanwhile.
		return WishFull
	case known.phase == wanted && (keeper.blocked(now) || keeper.wishes() > maxWanted || keeper.occupied(now)):
		delete(keeper.entries, adapter)
		return WishFull
	default:
		return WishPending
	}
}
