package coord

import (
	"context"
	"strconv"
	"time"

	"lentilproxy/core/order"
	"lentilproxy/core/slots"
	"lentilproxy/core/spec"
)

const (
	// dueInterval is the interval of due times in which the requests of a host for one adapter share a load request. Those with other due
	// times are asked for separately, so that a load is as urgent as the most urgent request that waits for it.
	dueInterval = 250 * time.Millisecond
	// lateLifetime is how long a lease holder's statement that loads on its server are late counts for other requests of this host.
	lateLifetime = 250 * time.Millisecond
	// minAsked is the number of servers whose lease holders each request asks, whatever is known of them: its adapter may be loading there
	// for others. Without the statements that are known, each refused request would ask the lease holders of all servers.
	minAsked = 2
	// returnFraction is the fraction of the time that a caller has left for which it honours a Retry-After.
	returnFraction = 1.0 / 3
)

// LoadRequest describes a request that waits for an adapter.
type LoadRequest struct {
	Adapter string
	// Due is the time until the request should have its first event, and Deadline until the adapter has to be loaded; 0 if the load is of
	// use at any time.
	Due      time.Duration
	Deadline time.Duration
	// Left is the time that the caller has left.
	Left      time.Duration
	Priority  int
	Workspace string
	Digest    string
	// Refusals is the number of servers that cannot load the adapter in time for the request.
	Refusals int
	// Replica is set if no request waits for the adapter.
	Replica bool
}

// LoadResult is the result of a load request.
type LoadResult struct {
	Outcome LoadOutcome
	// Ordered reports that the lease holder has put the request in order, so that it is worth while to wait there again after a time-out.
	Ordered bool
	// Reason, Expected and RetryAfter belong to the outcome LoadLate: the time at which the adapter could be loaded, and after which the
	// caller should return.
	Reason     string
	Expected   time.Time
	RetryAfter time.Duration
	// Ahead is the number of loads that were ahead when the request arrived.
	Ahead int
}

// urgency distinguishes load requests for the same adapter.
type urgency struct {
	priority  int
	workspace string
	due       int64
}

func urgencyOf(now time.Time, request LoadRequest) urgency {
	return urgency{priority: request.Priority, workspace: request.Workspace, due: now.Add(request.Due).UnixNano() / int64(dueInterval)}
}

// apply adds what determines the order of the request.
func (request *LoadRequest) apply(params *loadParams) {
	priority := request.Priority
	params.Priority, params.Workspace, params.Digest = &priority, request.Workspace, request.Digest
	params.DeadlineMS, params.LeftMS = max(0, request.Deadline.Milliseconds()), max(0, request.Left.Milliseconds())
	params.Repeated = request.Refusals > 0
}

// lateLoad is a lease holder's statement that a load from the weight store for a request of a priority ends late.
type lateLoad struct {
	priority int
	result   LoadResult
	at       time.Time
}

// knownLate returns the result of a load request if the server's lease holder has just stated that such a load would be late.
func (coordinator *Coordinator) knownLate(now time.Time, server spec.Server, request LoadRequest) (LoadResult, bool) {
	if request.Refusals < minAsked || request.Deadline <= 0 {
		return LoadResult{}, false
	}
	traffic := coordinator.traffic
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	known, found := traffic.lateLoads[server.Incarnation()]
	if !found || now.Sub(known.at) >= lateLifetime || known.priority > request.Priority || !known.result.Expected.After(now.Add(request.Deadline)) {
		return LoadResult{}, false
	}
	return known.result, true
}

// recordLoad returns the result of a load request, and records that loads on the server are late.
func (coordinator *Coordinator) recordLoad(now time.Time, key loadKey, result loadResult) LoadResult {
	recorded := LoadResult{
		Outcome: result.Outcome, Ordered: result.Ordered, Reason: string(result.Reason), Expected: now.Add(time.Duration(result.ExpectedMS) * time.Millisecond),
		RetryAfter: time.Duration(result.RetryMS) * time.Millisecond, Ahead: result.Ahead,
	}
	if result.Outcome != LoadLate {
		return recorded
	}
	traffic := coordinator.traffic
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	for incarnation, known := range traffic.lateLoads {
		if now.Sub(known.at) >= lateLifetime {
			delete(traffic.lateLoads, incarnation)
		}
	}
	traffic.lateLoads[key.incarnation] = lateLoad{priority: key.urgency.priority, result: recorded, at: now}
	return recorded
}

// reportWaiting sets the metrics of the requests that wait at this host for adapters and for their prompts to be sent.
func (control *control) reportWaiting() {
	coordinator := control.coordinator
	if !coordinator.traffic.grantsInUse() {
		return
	}
	loads := map[int]int{}
	for _, controller := range control.controllers {
		addByPriority(loads, controller.slots.Waiting())
	}
	prompts := coordinator.traffic.pacers.waiting()
	for priority := range maxGaugePriority + 1 {
		scope := coordinator.metrics.Tagged(map[string]string{"priority": strconv.Itoa(priority)})
		scope.Gauge("loads_waiting").Update(float64(loads[priority]))
		scope.Gauge("prompts_waiting").Update(float64(prompts[priority]))
	}
}

// addByPriority adds the numbers of requests by priority as the gauges show them.
func addByPriority(sum, counts map[int]int) {
	for priority, count := range counts {
		sum[min(max(0, priority), maxGaugePriority)] += count
	}
}

// loadWait is the state of a load request that waits at the lease holder.
type loadWait struct {
	registered bool
	// id is the request's ID in the order of the server's loads; 0 if it is not in it.
	id int64
	// changed is closed after the next change of the server's state, and checkAt is when the request is checked at the latest.
	changed chan struct{}
	checkAt time.Time
	ahead   int
}

// await waits for the next change, until the next check is due or until the deadline.
func (loadWait *loadWait) await(ctx context.Context, now, deadline time.Time) {
	until := deadline
	if !loadWait.checkAt.IsZero() && loadWait.checkAt.Before(until) {
		until = loadWait.checkAt
	}
	timer := time.NewTimer(max(0, until.Sub(now)))
	defer timer.Stop()
	select {
	case <-loadWait.changed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// waits reports whether a request waits for the load.
func (params *loadParams) waits() bool { return params.Priority != nil || params.DueMS > 0 }

// askSlots asks the slots of a server for the state of a load request.
func (control *control) askSlots(now time.Time, controller *controller, params loadParams, waits *loadWait) slots.Answer {
	switch {
	case waits.id != 0:
		return controller.slots.Check(now, params.Adapter, waits.id)
	case waits.registered:
		return slots.Answer{State: controller.slots.State(now, params.Adapter)}
	}
	waits.registered = true
	defer controller.wakeUp()
	if controller.grants == nil || !params.waits() {
		due := now.Add(time.Duration(params.DueMS) * time.Millisecond)
		return slots.Answer{State: controller.slots.RequestBy(now, params.Adapter, params.Demand, due)}
	}
	control.lastLoad++
	waits.id = control.lastLoad
	answer := controller.slots.Wait(now, waiterOf(now, params, waits.id))
	if answer.Displaced {
		close(controller.changed)
		controller.changed = make(chan struct{})
	}
	return answer
}

// waiterOf returns the waiting request of a call. Requests of hosts that do not state a priority are the least urgent ones.
func waiterOf(now time.Time, params loadParams, id int64) slots.Waiter {
	waiter := slots.Waiter{
		ID: id, Adapter: params.Adapter, Demand: params.Demand, Due: now.Add(time.Duration(params.DueMS) * time.Millisecond),
		Priority: order.LeastUrgent, Workspace: params.Workspace, Digest: params.Digest, Repeated: params.Repeated,
		MaxReturn: time.Duration(returnFraction * float64(time.Duration(params.LeftMS)*time.Millisecond)),
	}
	if params.Priority != nil {
		waiter.Priority = *params.Priority
	}
	if params.DeadlineMS > 0 {
		waiter.Deadline = now.Add(time.Duration(params.DeadlineMS) * time.Millisecond)
	}
	return waiter
}

// leaveLoad removes a load request that no longer waits.
func (control *control) leaveLoad(params loadParams, waits *loadWait) {
	if controller := control.controllers[params.Server]; controller != nil && waits.id != 0 {
		controller.slots.Leave(params.Adapter, waits.id)
	}
}
