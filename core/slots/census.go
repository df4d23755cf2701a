package slots

import (
	"time"

	"lentilproxy"
)

// Model returns the base model of the server.
func (controller *Controller) Model() string { return controller.model }

// HasModel says whether the base model is loaded.
func (controller *Controller) HasModel() bool { return controller.hasModel }

// Known says whether the server has ever told what it holds.
func (controller *Controller) Known() bool { return controller.known }

// ModelOrdered says whether the base model is on its way.
func (controller *Controller) ModelOrdered() bool { return !controller.modelOrderAt.IsZero() }

// Census counts the adapters of a server by what happens to them.
type Census struct {
	Places    int
	Ready     int
	InUse     int
	Loading   int
	Requested int
	Leaving   int
	Busy      bool
	Synced    bool
	Sequence  int64
}

// Census returns the counts at an instant.
func (controller *Controller) Census(now time.Time) Census {
	census := Census{Places: controller.places, Busy: now.Before(controller.busyUntil), Synced: controller.synced, Sequence: controller.sequence}
	for name, known := range controller.entries {
		switch known.phase {
		case ready:
			census.Ready++
			if controller.inUse(now, name) {
				census.InUse++
			}
			if known.replacing {
				census.Loading++
			}
		case loading:
			census.Loading++
		case requested:
			census.Requested++
		case retiring, leaving:
			census.Leaving++
		}
	}
	return census
}

// Active says whether an order may follow without another request.
func (controller *Controller) Active() bool {
	if !controller.hasModel || !controller.synced {
		return true
	}
	for name, known := range controller.entries {
		if known.phase != ready || known.replacing || known.version < controller.versions[name] {
			return true
		}
	}
	return false
}

// Holds says whether the adapter of an order is loaded.
func (controller *Controller) Holds(order lentilproxy.Order) bool {
	known := controller.entries[order.Ref.Adapter]
	return known != nil && known.phase == ready && !known.replacing
}

// inUse says whether a request for an adapter may be running or on its way.
func (controller *Controller) inUse(now time.Time, adapter string) bool {
	if known := controller.entries[adapter]; known != nil && now.Sub(known.lastUse) < controller.delay+quietMargin {
		return true
	}
	return controller.runs(now, adapter)
}

// runs says whether a host has told of a request for an adapter that runs.
func (controller *Controller) runs(now time.Time, adapter string) bool {
	for _, runs := range controller.running {
		if runs.counts[adapter] > 0 && now.Sub(runs.at) < runningLifetime {
			return true
		}
	}
	return false
}

// occupied says whether requests run on all that the server holds, so that no place becomes free soon.
func (controller *Controller) occupied(now time.Time) bool {
	return controller.synced && controller.taken() >= controller.places && !controller.makingRoom() && controller.allRunning(now)
}

// blocked says whether the server has taken no orders for a while.
func (controller *Controller) blocked(now time.Time) bool {
	return controller.busy > 0 && now.Sub(controller.busySince) > maxBlocked
}

// requests returns the number of adapters that wait for their turn.
func (controller *Controller) waiting() int {
	count := 0
	for _, known := range controller.entries {
		if known.phase == requested {
			count++
		}
	}
	return count
}

// allRunning says whether requests run on every adapter, so that none will make room soon.
func (controller *Controller) allRunning(now time.Time) bool {
	for name, known := range controller.entries {
		if known.phase == ready && !controller.runs(now, name) {
			return false
		}
	}
	return true
}

// makingRoom says whether an adapter is on its way out.
func (controller *Controller) makingRoom() bool {
	for _, known := range controller.entries {
		if known.phase == leaving || known.phase == retiring {
			return true
		}
	}
	return false
}

// taken returns the number of places in use.
func (controller *Controller) taken() int {
	count := 0
	for _, known := range controller.entries {
		if known.phase != requested {
			count++
		}
	}
	return count
}

func (controller *Controller) inTransit() int {
	count := 0
	for _, known := range controller.entries {
		if known.phase == loading || known.replacing {
			count++
		}
	}
	return count
}

// Ready returns the adapters that can be used, with their versions.
func (controller *Controller) Ready() map[string]int64 {
	held := map[string]int64{}
	for name, known := range controller.entries {
		if known.phase == ready && !known.replacing {
			held[name] = known.version
		}
	}
	return held
}

// fromStore returns the number of adapters on their way from the weight store.
func (controller *Controller) fromStore() int {
	count := 0
	for name, known := range controller.entries {
		if _, kept := controller.recent[name]; (known.phase == loading || known.replacing) && !kept {
			count++
		}
	}
	return count
}
