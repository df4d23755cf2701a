package coord

import (
	"context"
	"errors"
	"syscall"
	"time"

	"lentilproxy"
	"lentilproxy/core/sched"
	"lentilproxy/core/slots"
	"lentilproxy/core/spec"
	"lentilproxy/io/clock"
)

const (
	// busyPollInterval is how long a controller waits before it looks for a next order while an adapter of its server
	// is loading, unloading or requested.
	busyPollInterval = 25 * time.Millisecond
	// idlePollInterval is how long a controller waits if its server has no pending work.
	idlePollInterval = 500 * time.Millisecond
	// shortestOrderTimeout and longestOrderTimeout bound the wait for the response to an order, after which it is sent again. A server
	// responds at once, and gets no other order meanwhile: with 200 ms each, servers that left three in ten orders without a response
	// stood still for two thirds of the time.
	shortestOrderTimeout = 30 * time.Millisecond
	longestOrderTimeout  = 200 * time.Millisecond
)

// controller sends the orders to one incarnation of one server.
type controller struct {
	server spec.Server
	slots  *slots.Controller
	// wake interrupts the wait of the controller's goroutine.
	wake chan struct{}
	// changed is closed and replaced after every outcome of an order and every report.
	changed chan struct{}
	cancel  context.CancelFunc
	// grants are the requests with a grant; nil if hosts do not ask for grants.
	grants *slots.Grants
	// published is the state that was last published to the host's traffic and to peers; revision counts its changes.
	published sched.Loaded
	revision  int64
	// appliedVersionChanges and appliedModel identify the adapter versions that were last passed to slots.
	appliedVersionChanges int64
	appliedModel          string
}

// modelLoadLimiter is a token bucket that keeps the loads of base models within the rate of the weight store.
type modelLoadLimiter struct {
	tokens  float64
	updated time.Time
}

// modelLoadBurst is the number of loads that one host may start at once.
const modelLoadBurst = 1.0

// allows adds the tokens accrued at a rate per second and reports whether a load may start. The caller deducts the
// token of a load that it orders.
func (modelLoadLimiter *modelLoadLimiter) allows(now time.Time, rate float64) bool {
	if modelLoadLimiter.updated.IsZero() {
		modelLoadLimiter.tokens, modelLoadLimiter.updated = modelLoadBurst, now
	}
	modelLoadLimiter.tokens = min(modelLoadBurst, modelLoadLimiter.tokens+rate*now.Sub(modelLoadLimiter.updated).Seconds())
	modelLoadLimiter.updated = now
	return modelLoadLimiter.tokens >= 1
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
		evacuated := server.Evacuated && !running.server.Evacuated
		running.server = server
		if evacuated {
			// Requests that wait for an adapter of the server choose another one.
			control.notifyChange(running)
		}
		control.updateVersions(running, view.Versions)
		running.slots.SetGossipDelay(control.gossipDelay())
	}
	for name := range control.controllers {
		if !held[name] {
			control.endController(name)
		}
	}
}

// updateVersions passes the newest versions of a model's adapters to the controller's slots if they have changed.
func (control *control) updateVersions(controller *controller, all map[spec.AdapterRef]int64) {
	model := controller.slots.Model()
	if controller.appliedVersionChanges == control.versionChanges && controller.appliedModel == model {
		return
	}
	controller.appliedVersionChanges, controller.appliedModel = control.versionChanges, model
	versions := map[string]int64{}
	for ref, version := range all {
		if ref.Model == model {
			versions[ref.Adapter] = version
		}
	}
	controller.slots.SetVersions(versions)
}

func (control *control) startController(now time.Time, server spec.Server, engine *spec.Engine) *controller {
	model := modelFor(server, engine)
	ctx, cancel := context.WithCancel(control.coordinator.ctx)
	started := &controller{
		server: server, slots: slots.New(model, engine.AdapterCapacityFor(model), now), wake: make(chan struct{}, 1),
		changed: make(chan struct{}), cancel: cancel,
	}
	started.slots.SetRecentlyUnloaded(now, control.coordinator.traffic.copies(server.Incarnation()))
	control.controllers[server.ID] = started
	control.coordinator.spawn(func() { control.runController(ctx, started) })
	return started
}

// modelFor returns the model that a server reported when it registered. If the server reported none, modelFor returns
// the largest model of its service.
func modelFor(server spec.Server, engine *spec.Engine) string {
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
	control.coordinator.traffic.pacers.uses.stop(control.controllers[name].server.Incarnation())
	control.controllers[name].cancel()
	close(control.controllers[name].changed)
	delete(control.controllers, name)
	control.coordinator.traffic.setNotOrderable(name)
}

// step is the next action of a controller: to request a report, to send an order or to wait.
type step struct {
	server spec.Server
	report bool
	order  lentilproxy.Order
	send   bool
	// timeout bounds the wait for the response to the order.
	timeout time.Duration
	wait    time.Duration
}

// runController sends orders until the host no longer holds the server.
func (control *control) runController(ctx context.Context, controller *controller) {
	coordinator := control.coordinator
	for ctx.Err() == nil {
		var next step
		if !coordinator.do(func(now time.Time) { next = control.nextStep(now, controller) }) {
			return
		}
		switch {
		case next.report:
			report, err := coordinator.orders.Report(ctx, next.server)
			coordinator.do(func(now time.Time) { control.applyReport(now, controller, report, err) })
		case next.send:
			sentAt := clock.Now()
			outcome, err := coordinator.sendOrder(ctx, next)
			took := clock.Now().Sub(sentAt)
			coordinator.do(func(now time.Time) {
				if err == nil {
					control.orderTimes.Record(took)
				}
				control.applyOutcome(now, controller, next.order, outcome, err)
			})
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

// sendOrder sends an order if the lease is still in force right before its first byte is sent. The process may have been
// paused since the decision, or while a connection was opened.
func (coordinator *Coordinator) sendOrder(ctx context.Context, next step) (lentilproxy.OrderOutcome, error) {
	permitted := func() bool {
		return clock.Now().UnixNano() < coordinator.leaseUntil.Load() && !coordinator.evacuated(next.server)
	}
	ctx, cancel := context.WithTimeout(ctx, next.timeout)
	defer cancel()
	outcome, err := coordinator.orders.Order(ctx, next.server, next.order, permitted)
	if errors.Is(err, lentilproxy.ErrNotPermitted) {
		coordinator.log.Info("order not sent", "server", next.server.ID, "reason", "the lease has ended or the data centre is evacuated")
	}
	return outcome, err
}

// startGrants lets hosts ask for grants for the requests to a server. Uses must be locked.
func (control *control) startGrants(controller *controller) {
	controller.grants = control.coordinator.traffic.pacers.uses.begin(controller.server.Incarnation())
	controller.grants.SetLoaded(controller.published.Adapters)
	controller.slots.SetGrants(controller.grants)
}

// nextStep decides on the next action of a controller. No grant is given meanwhile, so that no adapter is evicted for which a
// grant is given at the same time.
func (control *control) nextStep(now time.Time, controller *controller) (next step) {
	control.coordinator.traffic.pacers.uses.locked(func() { next = control.decideStep(now, controller) })
	return next
}

func (control *control) decideStep(now time.Time, controller *controller) step {
	if control.controllers[controller.server.ID] != controller {
		return step{wait: idlePollInterval}
	}
	if controller.server.Evacuated {
		return step{wait: idlePollInterval}
	}
	if pause := control.coordinator.traffic.Wait(now, controller.server.Incarnation()); pause > 0 {
		return step{wait: min(pause, idlePollInterval)}
	}
	token, holds := control.registry.FencingToken(now, controller.server.ID)
	if controller.slots.ReportDue(now) {
		return step{server: controller.server, report: true}
	}
	if !holds || controller.server.Draining {
		return step{wait: idlePollInterval}
	}
	if controller.grants != nil {
		for adapter, count := range controller.grants.TakeDemand() {
			controller.slots.AddGrantedDemand(now, adapter, count)
		}
	}
	if controller.slots.Retire(now) {
		control.publishLoaded(controller)
	}
	order, found := controller.slots.NextOrder(now, control.mayLoadModel(now, controller.server))
	if !found {
		if controller.slots.HasPendingWork() {
			return step{wait: busyPollInterval}
		}
		return step{wait: idlePollInterval}
	}
	if order.Ref.Adapter == "" && !controller.slots.ModelOrdered() {
		control.modelLoads.tokens--
		control.coordinator.log.Info("base model ordered", "server", controller.server.ID, "model", order.Ref.Model, "token", token)
	}
	order.Holder, order.Token = control.coordinator.settings.Host.Name, token
	controller.slots.MarkSent(now, order)
	control.publishLoaded(controller)
	return step{server: controller.server, order: order, send: true, timeout: control.orderTimes.Timeout(controller.slots.Repeats())}
}

func (control *control) mayLoadModel(now time.Time, server spec.Server) bool {
	service, found := control.coordinator.View().Config.Service(server.Service)
	if !found || service.Engine == nil {
		return false
	}
	return control.modelLoads.allows(now, service.Engine.LoadsPerSecond/float64(max(1, control.membership.Members(now))))
}

func (control *control) applyReport(now time.Time, controller *controller, report spec.Report, err error) {
	if err != nil {
		controller.slots.ReportFailed(now)
		control.notifyChange(controller)
		return
	}
	controller.slots.ApplyReport(now, report)
	control.coordinator.log.Info("server reported", "server", controller.server.ID, "sequence", report.Sequence,
		"adapters", len(controller.slots.Ready()), "pending", len(report.Pending), "model", controller.slots.HasModel())
	control.notifyChange(controller)
}

func (control *control) applyOutcome(now time.Time, controller *controller, order lentilproxy.Order, outcome lentilproxy.OrderOutcome, err error) {
	coordinator := control.coordinator
	known := controller.slots.HasAdapter(order)
	if errors.Is(err, lentilproxy.ErrNotPermitted) {
		controller.slots.MarkNotSent(now, order)
		control.notifyChange(controller)
		return
	}
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) {
			controller.slots.MarkUnreachable(now)
		} else {
			controller.slots.MarkUnanswered(now, order)
		}
		coordinator.log.Info("order outcome unknown", "server", controller.server.ID, "adapter", order.Ref.String(), "kind", order.Kind,
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
	control.notifyChange(controller)
}

func kindName(kind lentilproxy.OrderKind) string {
	if kind == lentilproxy.Unload {
		return "unload"
	}
	return "load"
}

// notifyChange publishes the state of a controller and wakes up all load requests that wait for it.
func (control *control) notifyChange(controller *controller) {
	if control.controllers[controller.server.ID] != controller {
		return
	}
	control.coordinator.traffic.pacers.uses.locked(func() {
		control.publishLoaded(controller)
		if controller.grants == nil && controller.slots.HasReport() && control.coordinator.traffic.grantsInUse() {
			control.startGrants(controller)
		}
	})
	close(controller.changed)
	controller.changed = make(chan struct{})
}

// publishLoaded, with uses locked, updates what the host's own traffic state records as loaded on a server. Peers receive it in the next
// gossip message.
func (control *control) publishLoaded(controller *controller) {
	loaded := sched.Loaded{Adapters: controller.slots.Ready(), Orderable: controller.slots.HasReport()}
	if controller.slots.HasModel() || !controller.slots.HasReport() {
		loaded.Model = controller.slots.Model()
	}
	if controller.revision > 0 && sameLoaded(loaded, controller.published) {
		return
	}
	controller.published = loaded
	controller.revision++
	if controller.grants != nil {
		controller.grants.SetLoaded(loaded.Adapters)
	}
	control.coordinator.traffic.setLoaded(controller.server.ID, controller.server.StartedMillis, loaded)
}

func sameLoaded(left, right sched.Loaded) bool {
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

func (controller *controller) wakeUp() {
	select {
	case controller.wake <- struct{}{}:
	default:
	}
}
