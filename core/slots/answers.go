package slots

import (
	"time"

	"lentilproxy"
	"lentilproxy/core/spec"
)

// ReportDue says whether the server has to be asked what it holds.
func (keeper *Keeper) ReportDue(now time.Time) bool {
	return !keeper.synced && !now.Before(keeper.resyncAt)
}

// Reported takes in a report that was asked for after the last order was answered or given up.
func (keeper *Keeper) Reported(now time.Time, report spec.Report) {
	held := map[string]int64{}
	keeper.hasModel = false
	for _, holding := range report.Holdings {
		if keeper.model == "" {
			keeper.model = holding.Model
		}
		if holding.Model == keeper.model {
			keeper.hasModel, held = true, holding.Adapters
		}
	}
	pending := map[string]bool{}
	for _, ref := range report.Pending {
		pending[ref.Adapter] = true
	}
	for name, known := range keeper.entries {
		if _, present := held[name]; !present && !pending[name] && known.phase != wanted {
			delete(keeper.entries, name)
		}
	}
	for name, version := range held {
		known := keeper.entry(now, name)
		known.phase, known.version, known.replacing = ready, version, pending[name]
	}
	for name := range pending {
		if _, present := held[name]; present {
			continue
		}
		known := keeper.entry(now, name)
		known.phase, known.orderAt, known.polledAt = loading, now, now
	}
	if report.Busy && !keeper.hasModel {
		keeper.modelOrderAt = now
	}
	keeper.sequence = report.Sequence
	keeper.synced, keeper.known = true, true
}

// ReportFailed takes in that the server did not answer.
func (keeper *Keeper) ReportFailed(now time.Time) { keeper.resyncAt = now.Add(resyncDelay) }

// left notes that the server has unloaded an adapter, of which it keeps a copy for a while.
func (keeper *Keeper) left(now time.Time, adapter string) {
	delete(keeper.entries, adapter)
	keeper.recent[adapter] = now
	if len(keeper.recent) <= maxRecent {
		return
	}
	oldest := ""
	for name, at := range keeper.recent {
		if oldest == "" || at.Before(keeper.recent[oldest]) {
			oldest = name
		}
	}
	delete(keeper.recent, oldest)
}

// Sent marks an order as under way. It is called before the order is sent, since it may take effect from then on.
func (keeper *Keeper) Sent(now time.Time, order lentilproxy.Order) {
	if order.Ref.Adapter == "" {
		keeper.before = entry{}
		keeper.repeated = !keeper.modelOrderAt.IsZero()
		keeper.modelOrderAt = now
		return
	}
	known := keeper.entry(now, order.Ref.Adapter)
	keeper.before = *known
	known.polledAt = now
	keeper.repeated = false
	switch {
	case order.Kind == lentilproxy.Unload && (known.phase == ready || known.phase == retiring):
		known.phase, known.orderAt = leaving, now
	case order.Kind == lentilproxy.Load && known.phase == wanted:
		known.phase, known.orderAt = loading, now
	case order.Kind == lentilproxy.Load && known.phase == ready && !known.replacing:
		known.replacing, known.orderAt = true, now
	default:
		keeper.repeated = true
	}
}

// Answered takes in the outcome of an order.
func (keeper *Keeper) Answered(now time.Time, order lentilproxy.Order, outcome lentilproxy.OrderOutcome) {
	if outcome != lentilproxy.OrderConflict {
		keeper.busy = 0
	}
	switch outcome {
	case lentilproxy.OrderConflict:
		keeper.conflict(now, order)
	case lentilproxy.OrderAccepted:
		if !keeper.repeated {
			keeper.sequence++
		}
	case lentilproxy.OrderHolds:
		keeper.holds(now, order)
	default:
		// The sequence or the holdings differ from what the keeper believes.
		keeper.Unanswered(now)
	}
}

// conflict takes in that an order met another one under way, or that its sequence was wrong, which look the same.
func (keeper *Keeper) conflict(now time.Time, order lentilproxy.Order) {
	keeper.busy++
	if keeper.busy == 1 {
		keeper.busySince = now
	}
	if keeper.busy >= maxBusy {
		keeper.busy = 0
		keeper.Unanswered(now)
		return
	}
	keeper.busyUntil = now.Add(busyBackoff)
	if order.Ref.Adapter == "" {
		if !keeper.repeated {
			keeper.modelOrderAt = time.Time{}
		}
		return
	}
	known := keeper.entry(now, order.Ref.Adapter)
	// Requests may have asked for it meanwhile.
	known.phase, known.replacing, known.orderAt = keeper.before.phase, keeper.before.replacing, keeper.before.orderAt
}

func (keeper *Keeper) holds(now time.Time, order lentilproxy.Order) {
	if order.Ref.Adapter == "" {
		keeper.hasModel, keeper.modelOrderAt = true, time.Time{}
		return
	}
	if order.Kind == lentilproxy.Unload {
		keeper.left(now, order.Ref.Adapter)
		if !keeper.repeated {
			// An unload that is done at once counts as an order that was accepted.
			keeper.sequence++
		}
		return
	}
	known := keeper.entry(now, order.Ref.Adapter)
	known.phase, known.replacing = ready, false
	known.version = max(known.version, order.Version)
}

// Unanswered takes in that the effect of an order is not known: only a report can tell.
func (keeper *Keeper) Unanswered(now time.Time) {
	keeper.synced = false
	keeper.resyncAt = now.Add(resyncDelay)
}
