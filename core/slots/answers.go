package slots

import (
	"time"

	"lentilproxy"
	"lentilproxy/core/spec"
)

// ReportDue says whether the server has to be asked what it holds.
func (controller *Controller) ReportDue(now time.Time) bool {
	return !controller.synced && !now.Before(controller.resyncAt)
}

// ApplyReport takes in a report that was asked for after the last order was answered or given up.
func (controller *Controller) ApplyReport(now time.Time, report spec.Report) {
	loaded := map[string]int64{}
	controller.hasModel = false
	for _, holding := range report.Models {
		if controller.model == "" {
			controller.model = holding.Model
		}
		if holding.Model == controller.model {
			controller.hasModel, loaded = true, holding.Adapters
		}
	}
	pending := map[string]bool{}
	for _, ref := range report.Pending {
		pending[ref.Adapter] = true
	}
	for name, entry := range controller.entries {
		if _, present := loaded[name]; !present && !pending[name] && entry.phase != requested {
			delete(controller.entries, name)
		}
	}
	for name, version := range loaded {
		entry := controller.entryOf(now, name)
		entry.phase, entry.version, entry.replacing = ready, version, pending[name]
	}
	for name := range pending {
		if _, present := loaded[name]; present {
			continue
		}
		entry := controller.entryOf(now, name)
		entry.phase, entry.orderAt, entry.polledAt = loading, now, now
	}
	if report.Busy && !controller.hasModel {
		controller.modelOrderAt = now
	}
	controller.sequence = report.Sequence
	controller.synced, controller.hasReport = true, true
}

// ReportFailed takes in that the server did not answer.
func (controller *Controller) ReportFailed(now time.Time) { controller.resyncAt = now.Add(resyncDelay) }

// removeUnloaded notes that the server has unloaded an adapter, of which it keeps a copy for a while.
func (controller *Controller) removeUnloaded(now time.Time, adapter string) {
	delete(controller.entries, adapter)
	controller.recentlyUnloaded[adapter] = now
	if len(controller.recentlyUnloaded) <= maxRecentlyUnloaded {
		return
	}
	oldest := ""
	for name, at := range controller.recentlyUnloaded {
		if oldest == "" || at.Before(controller.recentlyUnloaded[oldest]) {
			oldest = name
		}
	}
	delete(controller.recentlyUnloaded, oldest)
}

// MarkSent marks an order as under way. It is called before the order is sent, since it may take effect from then on.
func (controller *Controller) MarkSent(now time.Time, order lentilproxy.Order) {
	if order.Ref.Adapter == "" {
		controller.previous = adapterEntry{}
		controller.repeatedOrder = !controller.modelOrderAt.IsZero()
		controller.modelOrderAt = now
		return
	}
	entry := controller.entryOf(now, order.Ref.Adapter)
	controller.previous = *entry
	entry.polledAt = now
	controller.repeatedOrder = false
	switch {
	case order.Kind == lentilproxy.Unload && (entry.phase == ready || entry.phase == retiring):
		entry.phase, entry.orderAt = unloading, now
	case order.Kind == lentilproxy.Load && entry.phase == requested:
		entry.phase, entry.orderAt = loading, now
	case order.Kind == lentilproxy.Load && entry.phase == ready && !entry.replacing:
		entry.replacing, entry.orderAt = true, now
	default:
		controller.repeatedOrder = true
	}
}

// ApplyOutcome takes in the outcome of an order.
func (controller *Controller) ApplyOutcome(now time.Time, order lentilproxy.Order, outcome lentilproxy.OrderOutcome) {
	if outcome != lentilproxy.OrderConflict {
		controller.conflicts = 0
	}
	switch outcome {
	case lentilproxy.OrderConflict:
		controller.applyConflict(now, order)
	case lentilproxy.OrderAccepted:
		if !controller.repeatedOrder {
			controller.sequence++
		}
	case lentilproxy.OrderSatisfied:
		controller.applySatisfied(now, order)
	default:
		// The sequence or the holdings differ from what the controller believes.
		controller.MarkOutcomeUnknown(now)
	}
}

// applyConflict takes in that an order met another one under way, or that its sequence was wrong, which look the same.
func (controller *Controller) applyConflict(now time.Time, order lentilproxy.Order) {
	controller.conflicts++
	if controller.conflicts == 1 {
		controller.conflictSince = now
	}
	if controller.conflicts >= maxConflicts {
		controller.conflicts = 0
		controller.MarkOutcomeUnknown(now)
		return
	}
	controller.backoffUntil = now.Add(conflictBackoff)
	if order.Ref.Adapter == "" {
		if !controller.repeatedOrder {
			controller.modelOrderAt = time.Time{}
		}
		return
	}
	entry := controller.entryOf(now, order.Ref.Adapter)
	// Requests may have asked for it meanwhile.
	entry.phase, entry.replacing, entry.orderAt = controller.previous.phase, controller.previous.replacing, controller.previous.orderAt
}

func (controller *Controller) applySatisfied(now time.Time, order lentilproxy.Order) {
	if order.Ref.Adapter == "" {
		controller.hasModel, controller.modelOrderAt = true, time.Time{}
		return
	}
	if order.Kind == lentilproxy.Unload {
		controller.removeUnloaded(now, order.Ref.Adapter)
		if !controller.repeatedOrder {
			// An unload that is done at once counts as an order that was accepted.
			controller.sequence++
		}
		return
	}
	entry := controller.entryOf(now, order.Ref.Adapter)
	entry.phase, entry.replacing = ready, false
	entry.version = max(entry.version, order.Version)
}

// MarkOutcomeUnknown takes in that the effect of an order is not known: only a report can tell.
func (controller *Controller) MarkOutcomeUnknown(now time.Time) {
	controller.synced = false
	controller.resyncAt = now.Add(resyncDelay)
}
