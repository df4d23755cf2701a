package slots

import (
	"time"

	"lentilproxy"
	"lentilproxy/core/spec"
)

// ReportDue reports whether the controller needs a new report of the server.
func (controller *Controller) ReportDue(now time.Time) bool {
	return !controller.synced && !now.Before(controller.resyncAt)
}

// ApplyReport applies a report that was requested after the response to the last order or its timeout. It ignores one that is older than
// what the server's responses have shown, and schedules the next request.
func (controller *Controller) ApplyReport(now time.Time, report spec.Report) {
	if report.Sequence < controller.reportFrom && now.Before(controller.reportBy) {
		controller.resyncAt = now.Add(reportInterval)
		return
	}
	loaded := controller.applyModels(report.Models)
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
		if !controller.hasReport {
			// Requests may be running that had a grant of the previous lease holder.
			entry.reportedUse = now
		}
		entry.phase, entry.version, entry.replacing, entry.reported = ready, version, pending[name], true
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
	controller.applySequence(now, report.Sequence)
	controller.synced, controller.hasReport, controller.unreachable = true, true, false
}

// applySequence records the sequence of a report.
func (controller *Controller) applySequence(now time.Time, sequence int64) {
	controller.sequence, controller.confirmed = sequence, max(controller.confirmed, sequence)
	if !controller.counted && sequence > 0 {
		// An earlier lease holder may have sent a load after an unload that the server did not count.
		controller.holdSlot(now, sequence+1)
	}
}

// applyModels records from a report whether the base model is loaded, and returns its adapters.
func (controller *Controller) applyModels(models []spec.LoadedModel) (loaded map[string]int64) {
	controller.hasModel = false
	for _, model := range models {
		if controller.model == "" {
			controller.model = model.Model
		}
		if model.Model == controller.model {
			controller.hasModel, loaded = true, model.Adapters
		}
	}
	return loaded
}

// ReportFailed records that the server did not send a report, and schedules the next request.
func (controller *Controller) ReportFailed(now time.Time) {
	controller.resyncAt, controller.unreachable = now.Add(resyncDelay), true
}

// MarkUnreachable records that the server refuses connections. It loads nothing until its next report.
func (controller *Controller) MarkUnreachable(now time.Time) {
	controller.MarkOutcomeUnknown(now)
	controller.unreachable = true
}

// removeUnloaded removes an adapter that the server has unloaded. The server keeps a copy of it for a while.
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

// MarkSent records an order as in progress. It must be called before the order is sent, since the order may take effect
// from then on.
func (controller *Controller) MarkSent(now time.Time, order lentilproxy.Order) {
	if order.Ref.Adapter == "" {
		controller.previous = adapterEntry{}
		controller.repeatedOrder = !controller.modelOrderAt.IsZero()
		controller.modelOrderAt = now
		return
	}
	entry := controller.entryOf(now, order.Ref.Adapter)
	entry.polledAt = now
	if controller.unanswered != nil {
		// The entry and whether the server counts the order are as for the first one.
		return
	}
	controller.previous = *entry
	controller.repeatedOrder = false
	switch {
	case order.Kind == lentilproxy.Unload && (entry.phase == ready || entry.phase == retiring):
		entry.phase, entry.orderAt = unloading, now
	case order.Kind == lentilproxy.Load && entry.phase == requested:
		controller.serveFirst(now, order.Ref.Adapter)
		entry.phase, entry.orderAt, entry.loadOrderedAt, entry.loadTime = loading, now, now, 0
	case order.Kind == lentilproxy.Load && entry.phase == ready && !entry.replacing:
		entry.replacing, entry.orderAt, entry.loadOrderedAt, entry.loadTime = true, now, now, 0
	default:
		controller.repeatedOrder = true
	}
}

// ApplyOutcome applies the outcome of the order in progress.
func (controller *Controller) ApplyOutcome(now time.Time, order lentilproxy.Order, outcome lentilproxy.OrderOutcome) {
	if controller.unanswered != nil && !controller.applyRepeated(now, order, outcome) {
		return
	}
	if outcome != lentilproxy.OrderConflict {
		controller.conflicts = 0
	}
	switch outcome {
	case lentilproxy.OrderConflict:
		controller.applyConflict(now, order)
	case lentilproxy.OrderAccepted:
		if !controller.repeatedOrder {
			controller.countOrder(order)
		}
	case lentilproxy.OrderSatisfied:
		controller.applySatisfied(now, order)
	default:
		// The server's sequence or its loaded adapters differ from the controller's state.
		controller.MarkOutcomeUnknown(now)
	}
}

// applyConflict handles an order that conflicted with another one in progress or had a wrong sequence. The server's
// response is the same in both cases.
func (controller *Controller) applyConflict(now time.Time, order lentilproxy.Order) {
	controller.conflicts++
	if controller.conflicts == 1 {
		controller.conflictSince = now
	}
	if controller.conflicts >= maxConflicts || now.Sub(controller.conflictSince) >= maxConflictTime {
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
	// The other fields stay: requests may have updated them since the order was sent.
	entry.phase, entry.replacing, entry.orderAt = controller.previous.phase, controller.previous.replacing, controller.previous.orderAt
}

func (controller *Controller) applySatisfied(now time.Time, order lentilproxy.Order) {
	if order.Ref.Adapter == "" {
		controller.hasModel, controller.modelOrderAt = true, time.Time{}
		return
	}
	if order.Kind == lentilproxy.Unload {
		if !controller.repeatedOrder {
			// The server counts an unload that takes effect at once as an accepted order.
			controller.countOrder(order)
		}
		controller.removeUnloaded(now, order.Ref.Adapter)
		return
	}
	entry := controller.entryOf(now, order.Ref.Adapter)
	if entry.isLoading() && !entry.loadOrderedAt.IsZero() {
		entry.loadTime = now.Sub(entry.loadOrderedAt)
	}
	if entry.phase != ready {
		entry.readyAt = now
	}
	if entry.phase == loading && !entry.orderAt.IsZero() {
		controller.learnLoad(now, order.Ref.Adapter, now.Sub(entry.orderAt))
	}
	entry.phase, entry.replacing, entry.reported = ready, false, false
	entry.version = max(entry.version, order.Version)
}

// countOrder records that the server has accepted an order, which advances its sequence. An unload that was under way before the last
// report does not.
func (controller *Controller) countOrder(order lentilproxy.Order) {
	controller.sequence++
	entry := controller.entries[order.Ref.Adapter]
	if order.Kind == lentilproxy.Load || entry == nil || !entry.reported {
		controller.confirmed, controller.counted = max(controller.confirmed, order.Sequence+1), true
	}
}

// holdSlot keeps a slot for a load without a response that the server may carry out once it has reached a sequence. Of several such loads
// with the same sequence, the server carries out one.
func (controller *Controller) holdSlot(now time.Time, sequence int64) {
	controller.openAt, controller.openUntil = max(controller.openAt, sequence), now.Add(lateOrderTime)
}

// openLoads returns the number of slots that loads without a response may take. A load that was sent with a confirmed sequence takes none:
// it and the next order have the same sequence, of which the server carries out one.
func (controller *Controller) openLoads(now time.Time) int {
	if controller.capacity < 2 || controller.openAt < controller.confirmed || !now.Before(controller.openUntil) {
		return 0
	}
	return 1
}

// MarkUnanswered records that the server has not responded to an order, so that it may carry the order out, now or later. The order is
// sent again: if the server has carried it out, or is carrying it out, it says so, and if it receives the first one later, it refuses
// that for its sequence.
func (controller *Controller) MarkUnanswered(now time.Time, order lentilproxy.Order) {
	if order.Kind == lentilproxy.Load && order.Sequence > controller.confirmed {
		controller.holdSlot(now, order.Sequence)
	}
	if order.Ref.Adapter == "" || controller.repeats >= maxRepeats {
		controller.MarkOutcomeUnknown(now)
		return
	}
	controller.unanswered = &order
	controller.repeats++
}

// MarkNotSent records that the order in progress has not been sent. If it is one that is sent again, the outcome of the first one is
// still unknown.
func (controller *Controller) MarkNotSent(now time.Time, order lentilproxy.Order) {
	if controller.unanswered != nil {
		controller.backoffUntil = now.Add(conflictBackoff)
		return
	}
	controller.applyConflict(now, order)
}

// applyRepeated applies the outcome of an order that was sent again. It reports whether the outcome is then handled like that of any
// other order.
//
// A conflict does not show which order has advanced the sequence: the first one, an earlier one that got no response, of this lease holder
// or another one, or none if the server carries out another order. Only a report does. An order with a sequence that the server has not
// confirmed could be carried out beside one of them, when there is no room for both.
func (controller *Controller) applyRepeated(now time.Time, order lentilproxy.Order, outcome lentilproxy.OrderOutcome) bool {
	controller.unanswered, controller.repeats = nil, 0
	switch {
	case outcome == lentilproxy.OrderConflict && !controller.repeatedOrder:
		controller.MarkOutcomeUnknown(now)
		controller.resyncAt, controller.reportFrom, controller.reportBy = now, controller.sequence+1, now.Add(resyncDelay)
		return false
	case outcome == lentilproxy.OrderSatisfied && order.Kind == lentilproxy.Load && !controller.repeatedOrder:
		// The server has carried an order out, and has counted it unless its last report was outdated.
		controller.applySatisfied(now, order)
		controller.MarkOutcomeUnknown(now)
		return false
	}
	return true
}

// MarkOutcomeUnknown records that the effect of an order is unknown, so that a new report is needed.
func (controller *Controller) MarkOutcomeUnknown(now time.Time) {
	controller.unanswered, controller.repeats = nil, 0
	controller.synced = false
	controller.resyncAt = now.Add(resyncDelay)
	controller.reportFrom, controller.reportBy = controller.sequence, now.Add(2*resyncDelay)
}
