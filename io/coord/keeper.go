package coord

import (
	"context"
	"time"

	"lentilproxy"
	"lentilproxy/core/sched"
	"lentilproxy/core/slots"
	"lentilproxy/core/spec"
	"lentilproxy/io/clock"
)

const (
	// keeperTick is the time between two looks at a server on which an adapter is in transit or waits.
	keeperTick = 25 * time.Millisecond
	// keeperIdle is the time between two looks at a server on which nothing is under way.
	keeperIdle = 500 * time.Millisecond
)

// keeper gives the orders for one life of one server.
type keeper struct {
	server spec.Server
	slots  *slots.Keeper
	// wake ends a pause of the keeper's goroutine.
	wake chan struct{}
	// changed is closed and replaced whenever an order was answered.
	changed chan struct{}
	cancel  context.CancelFunc
	// published is what the host's traffic and peers were told last, with the number of its changes.
	published sched.Held
	revision  int64
}

// modelLoads keeps the loads of base models within the rate of the weight store.
type modelLoads struct {
	tokens  float64
	updated time.Time
}

// modelBurst is the number of loads that one host may start at once.
const modelBurst = 1.0

func (loads *modelLoads) ready(now time.Time, rate float64) bool {
	if loads.updated.IsZero() {
		loads.tokens, loads.updated = modelBurst, now
	}
	loads.tokens = min(modelBurst, loads.tokens+rate*now.Sub(loads.updated).Seconds())
	loads.updated = now
	return loads.tokens >= 1
}

// updateKeepers starts and ends keepers, so that there is one for each server that this host holds.
func (control *control) updateKeepers(now time.Time, view *spec.View) {
	held := map[string]bool{}
	for _, name := range control.book.Held() {
		server, found := view.Servers[name]
		service, known := view.Config.Service(server.Service)
		if !found || !known || service.Engine == nil {
			continue
		}
		held[name] = true
		running := control.keepers[name]
		if running != nil && running.server.Born != server.Born {
			control.endKeeper(name)
			running = nil
		}
		if running == nil {
			running = control.startKeeper(now, server, service.Engine)
		}
		running.server = server
		running.slots.Announce(versionsOf(view, running.slots.Model()))
	}
	for name := range control.keepers {
		if !held[name] {
			control.endKeeper(name)
		}
	}
}

func versionsOf(view *spec.View, model string) map[string]int64 {
	versions := map[string]int64{}
	for ref, version := range view.Versions {
		if ref.Model == model {
			versions[ref.Adapter] = version
		}
	}
	return versions
}

func (control *control) startKeeper(now time.Time, server spec.Server, engine *spec.Engine) *keeper {
	model := modelOf(server, engine)
	ctx, cancel := context.WithCancel(control.coordinator.ctx)
	started := &keeper{
		server: server, slots: slots.New(model, engine.Places(model), now), wake: make(chan struct{}, 1),
		changed: make(chan struct{}), cancel: cancel,
	}
	control.keepers[server.ID] = started
	control.coordinator.start(func() { control.keep(ctx, started) })
	return started
}

// modelOf returns the model that a server has, or should have if it started empty.
func modelOf(server spec.Server, engine *spec.Engine) string {
	if len(server.Holdings) > 0 {
		return server.Holdings[0].Model
	}
	largest := ""
	for name, model := range engine.Models {
		if largest == "" || model.WeightsMB > engine.Models[largest].WeightsMB {
			largest = name
		}
	}
	return largest
}

func (control *control) endKeeper(name string) {
	control.keepers[name].cancel()
	close(control.keepers[name].changed)
	delete(control.keepers, name)
	control.coordinator.traffic.unhold(name)
}

// step is what a keeper does next.
type step struct {
	server spec.Server
	report bool
	order  lentilproxy.Order
	send   bool
	wait   time.Duration
}

// keep gives orders until the server is no longer held.
func (control *control) keep(ctx context.Context, keeper *keeper) {
	coordinator := control.coordinator
	for ctx.Err() == nil {
		var next step
		if !coordinator.do(func(now time.Time) { next = control.next(now, keeper) }) {
			return
		}
		switch {
		case next.report:
			report, err := coordinator.orders.Report(ctx, next.server)
			coordinator.do(func(now time.Time) { control.reported(now, keeper, report, err) })
		case next.send:
			outcome, err := coordinator.send(ctx, next)
			coordinator.do(func(now time.Time) { control.answered(now, keeper, next.order, outcome, err) })
		default:
			timer := time.NewTimer(next.wait)
			select {
			case <-keeper.wake:
			case <-timer.C:
			case <-ctx.Done():
			}
			timer.Stop()
		}
	}
}

// send sends an order after a last look at the lease: the goroutine may have been paused since the decision.
func (coordinator *Coordinator) send(ctx context.Context, next step) (lentilproxy.OrderOutcome, error) {
	if clock.Now().UnixNano() >= coordinator.leaseUntil.Load() {
		return lentilproxy.OrderConflict, nil
	}
	return coordinator.orders.Order(ctx, next.server, next.order)
}

func (control *control) next(now time.Time, keeper *keeper) step {
	if control.keepers[keeper.server.ID] != keeper {
		return step{wait: keeperIdle}
	}
	token, holds := control.book.Holds(now, keeper.server.ID)
	if keeper.slots.ReportDue(now) {
		return step{server: keeper.server, report: true}
	}
	if !holds || keeper.server.Draining {
		return step{wait: keeperIdle}
	}
	if keeper.slots.Retire(now) {
		control.publishHeld(keeper)
	}
	order, found := keeper.slots.Next(now, control.mayLoadModel(now, keeper.server))
	if !found {
		if keeper.slots.Active() {
			return step{wait: keeperTick}
		}
		return step{wait: keeperIdle}
	}
	if order.Ref.Adapter == "" && !keeper.slots.ModelOrdered() {
		control.modelLoad.tokens--
		control.coordinator.log.Info("base model ordered", "server", keeper.server.ID, "model", order.Ref.Model, "token", token)
	}
	order.Holder, order.Token = control.coordinator.settings.Host.Name, token
	keeper.slots.Sent(now, order)
	control.publishHeld(keeper)
	return step{server: keeper.server, order: order, send: true}
}

func (control *control) mayLoadModel(now time.Time, server spec.Server) bool {
	service, found := control.coordinator.View().Config.Service(server.Service)
	if !found || service.Engine == nil {
		return false
	}
	return control.modelLoad.ready(now, service.Engine.LoadsPerSecond/float64(max(1, control.crowd.Members(now))))
}

func (control *control) reported(now time.Time, keeper *keeper, report spec.Report, err error) {
	if err != nil {
		keeper.slots.ReportFailed(now)
		return
	}
	keeper.slots.Reported(now, report)
	control.coordinator.log.Info("server reported", "server", keeper.server.ID, "sequence", report.Sequence,
		"adapters", len(keeper.slots.Ready()), "pending", len(report.Pending), "model", keeper.slots.HasModel())
	control.settle(keeper)
}

func (control *control) answered(now time.Time, keeper *keeper, order lentilproxy.Order, outcome lentilproxy.OrderOutcome, err error) {
	coordinator := control.coordinator
	known := keeper.slots.Holds(order)
	if err != nil {
		keeper.slots.Unanswered(now)
		coordinator.log.Info("order unanswered", "server", keeper.server.ID, "adapter", order.Ref.String(), "kind", order.Kind,
			"sequence", order.Sequence, "token", order.Token, "error", err.Error())
	} else {
		keeper.slots.Answered(now, order, outcome)
		if outcome == lentilproxy.OrderConflict {
			coordinator.metrics.Counter("orders_conflicted").Inc(1)
		} else if outcome != lentilproxy.OrderHolds && outcome != lentilproxy.OrderAccepted {
			coordinator.metrics.Counter("orders_refused").Inc(1)
			coordinator.log.Info("order refused", "server", keeper.server.ID, "adapter", order.Ref.String(), "kind", order.Kind,
				"sequence", order.Sequence, "token", order.Token, "outcome", outcome)
		}
	}
	if keeper.slots.Holds(order) != known {
		coordinator.metrics.Tagged(map[string]string{"kind": kindName(order.Kind)}).Counter("adapters_changed").Inc(1)
	}
	control.settle(keeper)
}

func kindName(kind lentilproxy.OrderKind) string {
	if kind == lentilproxy.Unload {
		return "unload"
	}
	return "load"
}

// settle tells everybody who waits for a server that something has changed.
func (control *control) settle(keeper *keeper) {
	if control.keepers[keeper.server.ID] != keeper {
		return
	}
	control.publishHeld(keeper)
	close(keeper.changed)
	keeper.changed = make(chan struct{})
}

// publishHeld tells the host's own traffic what a server holds; peers learn it with the next digest.
func (control *control) publishHeld(keeper *keeper) {
	held := sched.Held{Adapters: keeper.slots.Ready(), Orderable: keeper.slots.Known()}
	if keeper.slots.HasModel() || !keeper.slots.Known() {
		held.Model = keeper.slots.Model()
	}
	if keeper.revision > 0 && sameHeld(held, keeper.published) {
		return
	}
	keeper.published = held
	keeper.revision++
	control.coordinator.traffic.hold(keeper.server.ID, keeper.server.Born, held)
}

func sameHeld(left, right sched.Held) bool {
	if left.Model != right.Model || left.Orderable != right.Orderable || len(left.Adapters) != len(right.Adapters) {
		return false
	}
	for name, version := range left.Adapters {
		if known, found := right.Adapters[name]; !found || known != version {
			return false
		}
	}
	return true
}

func (keeper *keeper) rouse() {
	select {
	case keeper.wake <- struct{}{}:
	default:
	}
}
