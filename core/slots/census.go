package slots

import (
	"time"

	"lentilproxy"
)

// Model returns the base model of the server.
func (keeper *Keeper) Model() string { return keeper.model }

// HasModel says whether the base model is loaded.
func (keeper *Keeper) HasModel() bool { return keeper.hasModel }

// Synced says whether the keeper knows what the server holds.
func (keeper *Keeper) Synced() bool { return keeper.synced }

// Known says whether the server has ever told what it holds.
func (keeper *Keeper) Known() bool { return keeper.known }

// ModelOrdered says whether the base model is on its way.
func (keeper *Keeper) ModelOrdered() bool { return !keeper.modelOrderAt.IsZero() }

// Census counts the adapters of a server by what happens to them.
type Census struct {
	Places   int
	Ready    int
	InUse    int
	Loading  int
	Wanted   int
	Leaving  int
	Busy     bool
	Synced   bool
	Sequence int64
}

// Census returns the counts at an instant.
func (keeper *Keeper) Census(now time.Time) Census {
	census := Census{Places: keeper.places, Busy: now.Before(keeper.busyUntil), Synced: keeper.synced, Sequence: keeper.sequence}
	for name, known := range keeper.entries {
		switch known.phase {
		case ready:
			census.Ready++
			if keeper.inUse(now, name) {
				census.InUse++
			}
			if known.replacing {
				census.Loading++
			}
		case loading:
			census.Loading++
		case wanted:
			census.Wanted++
		case retiring, leaving:
			census.Leaving++
		}
	}
	return census
}

// Active says whether an order may follow without another wish.
func (keeper *Keeper) Active() bool {
	if !keeper.hasModel || !keeper.synced {
		return true
	}
	for name, known := range keeper.entries {
		if known.phase != ready || known.replacing || known.version < keeper.versions[name] {
			return true
		}
	}
	return false
}

// Holds says whether the adapter of an order is loaded.
func (keeper *Keeper) Holds(order lentilproxy.Order) bool {
	known := keeper.entries[order.Ref.Adapter]
	return known != nil && known.phase == ready && !known.replacing
}

// inUse says whether a request for an adapter may be running or on its way.
func (keeper *Keeper) inUse(now time.Time, adapter string) bool {
	if known := keeper.entries[adapter]; known != nil && now.Sub(known.lastUse) < quietBefore {
		return true
	}
	return keeper.runs(now, adapter)
}

// runs says whether a host has told of a request for an adapter that runs.
func (keeper *Keeper) runs(now time.Time, adapter string) bool {
	for _, runs := range keeper.running {
		if runs.counts[adapter] > 0 && now.Sub(runs.at) < runningLifetime {
			return true
		}
	}
	return false
}

// occupied says whether requests run on all that the server holds, so that no place becomes free soon.
func (keeper *Keeper) occupied(now time.Time) bool {
	return keeper.synced && keeper.taken() >= keeper.places && !keeper.makingRoom() && keeper.allRunning(now)
}

// blocked says whether the server has taken no orders for a while.
func (keeper *Keeper) blocked(now time.Time) bool {
	return keeper.busy > 0 && now.Sub(keeper.busySince) > maxBlocked
}

// wishes returns the number of adapters that wait for their turn.
func (keeper *Keeper) wishes() int {
	count := 0
	for _, known := range keeper.entries {
		if known.phase == wanted {
			count++
		}
	}
	return count
}

// allRunning says whether requests run on every adapter, so that none will make room soon.
func (keeper *Keeper) allRunning(now time.Time) bool {
	for name, known := range keeper.entries {
		if known.phase == ready && !keeper.runs(now, name) {
			return false
		}
	}
	return true
}

// makingRoom says whether an adapter is on its way out.
func (keeper *Keeper) makingRoom() bool {
	for _, known := range keeper.entries {
		if known.phase == leaving || known.phase == retiring {
			return true
		}
	}
	return false
}

// taken returns the number of places in use.
func (keeper *Keeper) taken() int {
	count := 0
	for _, known := range keeper.entries {
		if known.phase != wanted {
			count++
		}
	}
	return count
}

func (keeper *Keeper) inTransit() int {
	count := 0
	for _, known := range keeper.entries {
		if known.phase == loading || known.replacing {
			count++
		}
	}
	return count
}

// Ready returns the adapters that can be used, with their versions.
func (keeper *Keeper) Ready() map[string]int64 {
	held := map[string]int64{}
	for name, known := range keeper.entries {
		if known.phase == ready && !known.replacing {
			held[name] = known.version
		}
	}
	return held
}

// fromStore returns the number of adapters on their way from the weight store.
func (keeper *Keeper) fromStore() int {
	count := 0
	for name, known := range keeper.entries {
		if _, kept := keeper.recent[name]; (known.phase == loading || known.replacing) && !kept {
			count++
		}
	}
	return count
}
