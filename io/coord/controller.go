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
	// controllerTick is the time between two looks at a server on which an adapter is in transit or waits.
	controllerTick = 25 * time.Millisecond
	// controllerIdle is the time between two looks at a server on which nothing is under way.
	controllerIdle = 500 * time.Millisecond
)

// controller gives the orders for one life of one server.
type controller struct {
	server spec.Server
	slots  *slots.Controller
	// wake ends a pause of the controller's goroutine.
	wake chan struct{}
	// changed is closed and replaced whenever an order was answered.
	changed chan struct{}
	cancel  context.CancelFunc
	// published is what the host's traffic and peers were told last, with the number of its changes.
	published sched.Loaded
	revision  int64
	// announcedChanges and announcedModel say which versions of adapters the controller was told.
	announcedChanges int64
	announcedModel   string
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

// updateControllers starts and ends controllers, so that there is one for each server that this host holds.
func (control *control) updateControllers(now time.Time, view *spec.View) {
	held := map[string]bool{}
	for _, name := range control.registry.HeldServers() {
		server, found := view.Servers[name]
		service, known := view.Config.Service(server.Service)
		if !found || !known || service.Engine == nil {
			continue
		}
		held[name] = true
		running := control.controllers[name]
		if running != nil && running.server.StartedMillis != server.StartedMillis {
			control.endController(name)
			running = nil
		}
		if running == nil {
			running = control.startController(now, server, service.Engine)
		}
		running.server = server
		control.announce(running, view.Versions)
		running.slots.SetGossipDelay(control.gossip.Period())
	}
	for name := range control.controllers {
		if !held[name] {
			control.endController(name)
		}
	}
}

// announce tells a controller the newest versions of its model's adapters if they have changed.
func (control *control) announce(controller *controller, all map[spec.AdapterRef]int64) {
	model := controller.slots.Model()
	if controller.announcedChanges == control.versionsChanges && controller.announcedModel == model {
		return
	}
	controller.announcedChanges, controller.announcedModel = control.versionsChanges, model
	versions := map[string]int64{}
	for ref, version := range all {
		if ref.Model == model {
			versions[ref.Adapter] = version
		}
	}
	controller.slots.SetVersions(versions)
}

func (control *control) startController(now time.Time, server spec.Server, engine *spec.Engine) *controller {
	model := modelOf(server, engine)
	ctx, cancel := context.WithCancel(control.coordinator.ctx)
	started := &controller{
		server: server, slots: slots.New(model, engine.AdapterCapacityFor(model), now), wake: make(chan struct{}, 1),
		changed: make(chan struct{}), cancel: cancel,
	}
	control.controllers[server.ID] = started
	control.coordinator.start(func() { control.keep(ctx, started) })
	return started
}

// modelOf returns the model that a server has, or should have if it started empty.
func modelOf(server spec.Server, engine *spec.Engine) string {
	if len(server.Models) > 0 {
		return server.Models[0].Model
	}
	largest := ""
	for name, model := range engine.Models {
		if largest == "" || model.WeightsMB > engine.Models[largest].WeightsMB {
			largest = name
		}
	}
	return largest
}

func (control *control) endController(name string) {
	control.controllers[name].cancel()
	close(control.controllers[name].changed)
	delete(control.controllers, name)
	control.coordinator.traffic.unhold(name)
}

// step is what a controller does next.
type step struct {
	server spec.Server
	report bool
	order  lentilproxy.Order
	send   bool
	wait   time.Duration
}

// keep gives orders until the server is no longer held.
func (control *control) keep(ctx context.Context, controller *controller) {
	coordinator := control.coordinator
	for ctx.Err() == nil {
		var next step
		if !coordinator.do(func(now time.Time) { next = control.next(now, controller) }) {
			return
		}
		switch {
		case next.report:
			report, err := coordinator.orders.Report(ctx, next.server)
			coordinator.do(func(now time.Time) { control.reported(now, controller, report, err) })
		case next.send:
			outcome, err := coordinator.send(ctx, next)
			coordinator.do(func(now time.Time) { control.answered(now, controller, next.order, outcome, err) })
		default:
			timer := time.NewTimer(next.wait)
			select {
			case <-controller.wake:
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

func (control *control) next(now time.Time, controller *controller) step {
	if control.controllers[controller.server.ID] != controller {
		return step{wait: controllerIdle}
	}
	token, holds := control.registry.FencingToken(now, controller.server.ID)
	if controller.slots.ReportDue(now) {
		return step{server: controller.server, report: true}
	}
	if !holds || controller.server.Draining {
		return step{wait: controllerIdle}
	}
	if controller.slots.Retire(now) {
		control.publishHeld(controller)
	}
	order, found := controller.slots.NextOrder(now, control.mayLoadModel(now, controller.server))
	if !found {
		if controller.slots.HasPendingWork() {
			return step{wait: controllerTick}
		}
		return step{wait: controllerIdle}
	}
	if order.Ref.Adapter == "" && !controller.slots.ModelOrdered() {
		control.modelLoad.tokens--
		control.coordinator.log.Info("base model ordered", "server", controller.server.ID, "model", order.Ref.Model, "token", token)
	}
	order.Holder, order.Token = control.coordinator.settings.Host.Name, token
	controller.slots.MarkSent(now, order)
	control.publishHeld(controller)
	return step{server: controller.server, order: order, send: true}
}

func (control *control) mayLoadModel(now time.Time, server spec.Server) bool {
	service, found := control.coordinator.View().Config.Service(server.Service)
	if !found || service.Engine == nil {
		return false
	}
	return control.modelLoad.ready(now, service.Engine.LoadsPerSecond/float64(max(1, control.membership.Members(now))))
}

func (control *control) reported(now time.Time, controller *controller, report spec.Report, err error) {
	if err != nil {
		controller.slots.ReportFailed(now)
		return
	}
	controller.slots.ApplyReport(now, report)
	control.coordinator.log.Info("server reported", "server", controller.server.ID, "sequence", report.Sequence,
		"adapters", len(controller.slots.Ready()), "pending", len(report.Pending), "model", controller.slots.HasModel())
	control.settle(controller)
}

func (control *control) answered(now time.Time, controller *controller, order lentilproxy.Order, outcome lentilproxy.OrderOutcome, err error) {
	coordinator := control.coordinator
	known := controller.slots.HasAdapter(order)
	if err != nil {
		controller.slots.MarkOutcomeUnknown(now)
		coordinator.log.Info("order unanswered", "server", controller.server.ID, "adapter", order.Ref.String(), "kind", order.Kind,
			"sequence", order.Sequence, "token", order.Token, "error", err.Error())
	} else {
		controller.slots.ApplyOutcome(now, order, outcome)
		if outcome == lentilproxy.OrderConflict {
			coordinator.metrics.Counter("orders_conflicted").Inc(1)
		} else if outcome != lentilproxy.OrderSatisfied && outcome != lentilproxy.OrderAccepted {
			coordinator.metrics.Counter("orders_refused").Inc(1)
			coordinator.log.Info("order refused", "server", controller.server.ID, "adapter", order.Ref.String(), "kind", order.Kind,
				"sequence", order.Sequence, "token", order.Token, "outcome", outcome)
		}
	}
	if controller.slots.HasAdapter(order) != known {
		coordinator.metrics.Tagged(map[string]string{"kind": kindName(order.Kind)}).Counter("adapters_changed").Inc(1)
	}
	control.settle(controller)
}

func kindName(kind lentilproxy.OrderKind) string {
	if kind == lentilproxy.Unload {
		return "unload"
	}
	return "load"
}

// settle tells everybody who waits for a server that something has changed.
func (control *control) settle(controller *controller) {
	if control.controllers[controller.server.ID] != controller {
		return
	}
	control.publishHeld(controller)
	close(controller.changed)
	controller.changed = make(chan struct{})
}

// publishHeld tells the host's own traffic what a server holds; peers learn it with the next digest.
func (control *control) publishHeld(controller *controller) {
	held := sched.Loaded{Adapters: controller.slots.Ready(), Orderable: controller.slots.HasReport()}
	if controller.slots.HasModel() || !controller.slots.HasReport() {
		held.Model = controller.slots.Model()
	}
	if controller.revision > 0 && sameHeld(held, controller.published) {
		return
	}
	controller.published = held
	controller.revision++
	control.coordinator.traffic.hold(controller.server.ID, controller.server.StartedMillis, held)
}

func sameHeld(left, right sched.Loaded) bool {
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

func (controller *controller) rouse() {
	select {
	case controller.wake <- struct{}{}:
	default:
	}
}
