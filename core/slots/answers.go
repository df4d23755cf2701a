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

// Reported takes in a report that was asked for after the last order was answered or given up.
func (controller *Controller) Reported(now time.Time, report spec.Report) {
	held := map[string]int64{}
	controller.hasModel = false
	for _, holding := range report.Holdings {
		if controller.model == "" {
			controller.model = holding.Model
		}
		if holding.Model == controller.model {
			controller.hasModel, held = true, holding.Adapters
		}
	}
	pending := map[string]bool{}
	for _, ref := range report.Pending {
		pending[ref.Adapter] = true
	}
	for name, known := range controller.entries {
		if _, present := held[name]; !present && !pending[name] && known.phase != requested {
			delete(controller.entries, name)
		}
	}
	for name, version := range held {
		known := controller.entry(now, name)
		known.phase, known.version, known.replacing = ready, version, pending[name]
	}
	for name := range pending {
		if _, present := held[name]; present {
			continue
		}
		known := controller.entry(now, name)
		known.phase, known.orderAt, known.polledAt = loading, now, now
	}
	if report.Busy && !controller.hasModel {
		controller.modelOrderAt = now
	}
	controller.sequence = report.Sequence
	controller.synced, controller.known = true, true
}

// ReportFailed takes in that the server did not answer.
func (controller *Controller) ReportFailed(now time.Time) { controller.resyncAt = now.Add(resyncDelay) }

// left notes that the server has unloaded an adapter, of which it keeps a copy for a while.
func (controller *Controller) left(now time.Time, adapter string) {
	delete(controller.entries, adapter)
	controller.recent[adapter] = now
	if len(controller.recent) <= maxRecent {
		return
	}
	oldest := ""
	for name, at := range controller.recent {
		if oldest == "" || at.Before(controller.recent[oldest]) {
			oldest = name
		}
	}
	delete(controller.recent, oldest)
}

// Sent marks an order as under way. It is called before the order is sent, since it may take effect from then on.
func (controller *Controller) Sent(now time.Time, order lentilproxy.Order) {
	if order.Ref.Adapter == "" {
		controller.before = entry{}
		controller.repeated = !controller.modelOrderAt.IsZero()
		controller.modelOrderAt = now
		return
	}
	known := controller.entry(now, order.Ref.Adapter)
	controller.before = *known
	known.polledAt = now
	controller.repeated = false
	switch {
	case order.Kind == lentilproxy.Unload && (known.phase == ready || known.phase == retiring):
		known.phase, known.orderAt = leaving, now
	case order.Kind == lentilproxy.Load && known.phase == requested:
		known.phase, known.orderAt = loading, now
	case order.Kind == lentilproxy.Load && known.phase == ready && !known.replacing:
		known.replacing, known.orderAt = true, now
	default:
		controller.repeated = true
	}
}

// Answered takes in the outcome of an order.
func (controller *Controller) Answered(now time.Time, order lentilproxy.Order, outcome lentilproxy.OrderOutcome) {
	if outcome != lentilproxy.OrderConflict {
		controller.busy = 0
	}
	switch outcome {
	case lentilproxy.OrderConflict:
		controller.conflict(now, order)
	case lentilproxy.OrderAccepted:
		if !controller.repeated {
			controller.sequence++
		}
	case lentilproxy.OrderSatisfied:
		controller.holds(now, order)
	default:
		// The sequence or the holdings differ from what the controller believes.
		controller.Unanswered(now)
	}
}

// conflict takes in that an order met another one under way, or that its sequence was wrong, which look the same.
func (controller *Controller) conflict(now time.Time, order lentilproxy.Order) {
	controller.busy++
	if controller.busy == 1 {
		controller.busySince = now
	}
	if controller.busy >= maxBusy {
		controller.busy = 0
		controller.Unanswered(now)
		return
	}
	controller.busyUntil = now.Add(busyBackoff)
	if order.Ref.Adapter == "" {
		if !controller.repeated {
			controller.modelOrderAt = time.Time{}
		}
		return
	}
	known := controller.entry(now, order.Ref.Adapter)
	// Requests may have asked for it meanwhile.
	known.phase, known.replacing, known.orderAt = controller.before.phase, controller.before.replacing, controller.before.orderAt
}

func (controller *Controller) holds(now time.Time, order lentilproxy.Order) {
	if order.Ref.Adapter == "" {
		controller.hasModel, controller.modelOrderAt = true, time.Time{}
		return
	}
	if order.Kind == lentilproxy.Unload {
		controller.left(now, order.Ref.Adapter)
		if !controller.repeated {
			// An unload that is done at once counts as an order that was accepted.
			controller.sequence++
		}
		return
	}
	known := controller.entry(now, order.Ref.Adapter)
	known.phase, known.replacing = ready, false
	known.version = max(known.version, order.Version)
}

// Unanswered takes in that the effect of an order is not known: only a report can tell.
func (controller *Controller) Unanswered(now time.Time) {
	controller.synced = false
	controller.resyncAt = now.Add(resyncDelay)
}
