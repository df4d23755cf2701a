package coord

import (
	"context"
	"sync"
	"time"

	"lentilproxy/core/admit"
	"lentilproxy/core/sched"
	"lentilproxy/core/spec"
	"lentilproxy/core/value"
	"lentilproxy/io/clock"
)

// Demand is a request that needs a server of a plain service.
type Demand struct {
	Service   spec.Service
	Workspace string
	Digest    string
	// Class names requests that take about the same time.
	Class    string
	Priority int
	// Due is when the response is late, and Deadline when it is worth nothing.
	Due      time.Time
	Deadline time.Time
	// Avoid are the servers that the request must not be sent to.
	Avoid value.Set[string]
	// hostLimit is the number of connections that this host may open to one server; 0 means no limit.
	hostLimit int
}

// AdmissionOutcome is the result of a demand.
type AdmissionOutcome int

const (
	// NoDispatcher means that the host chooses a server by itself.
	NoDispatcher AdmissionOutcome = iota
	// Admitted means that a server was assigned to the request.
	Admitted
	// NotAdmitted means that the request is refused.
	NotAdmitted
)

// Admission is the response of the dispatcher of a service.
type Admission struct {
	Outcome AdmissionOutcome
	Server  spec.Server
	// Assignment is nil unless the outcome is Admitted. It has to be ended.
	Assignment *Assignment
	Reason     string
	RetryAfter time.Duration
	// Dispatcher is the host that was asked, or empty.
	Dispatcher string
	// Ahead is the number of requests that were ahead of this one when it arrived, Waited how long it waited there, and StateAge the age
	// of the oldest report of a host that the decision relied on.
	Ahead    int
	Waited   time.Duration
	StateAge time.Duration
}

// Assignment is a slot of a server that a request uses.
type Assignment struct {
	dispatchers *dispatchers
	key         outboxKey
	server      string
	id          int64
	once        sync.Once
	// sentAt is when the request was sent to the server; zero if it was not.
	sentAt time.Time
}

// Sent records that the request is sent to the server. The assignment may be nil.
func (assignment *Assignment) Sent(now time.Time) {
	if assignment != nil {
		assignment.sentAt = now
	}
}

// Dispatch asks the dispatcher of a plain service for a server. It waits until one is free or the request is refused.
func (coordinator *Coordinator) Dispatch(ctx context.Context, demand Demand) Admission {
	dispatchers := coordinator.traffic.dispatchers
	avoid := value.NewSet(value.Sorted(demand.Avoid)...)
	servers, used := dispatchers.serversOf(clock.Now(), demand.Service.Name)
	if !used {
		return Admission{}
	}
	coordinator.traffic.UpdateScheduler(func(scheduler *sched.Scheduler) {
		for _, server := range servers {
			if scheduler.Wait(clock.Now(), spec.Incarnation{ID: server.ID, StartedMillis: server.StartedMillis}) > 0 {
				avoid.Add(server.ID)
			}
		}
	})
	demand.Avoid = avoid
	demand.hostLimit = coordinator.ConnectionLimit(demand.Service.Name)
	admission := Admission{}
	for range maxTakeAttempts {
		startedAt := clock.Now()
		admission = dispatchers.take(ctx, startedAt, demand)
		if admission.Outcome != Admitted {
			break
		}
		dispatchers.waits.RecordDuration(clock.Now().Sub(startedAt))
		server, found := coordinator.View().Servers[admission.Server.ID]
		if found && !server.Draining && !server.Evacuated && server.StartedMillis == admission.Server.StartedMillis {
			admission.Server = server
			return admission
		}
		// The dispatcher does not know yet that the server drains, or knows an incarnation that this host does not.
		admission.Assignment.End(admit.OutcomeUnused)
		avoid.Add(admission.Server.ID)
		admission = Admission{Dispatcher: admission.Dispatcher}
	}
	if admission.Outcome == NotAdmitted {
		coordinator.metrics.Tagged(map[string]string{"reason": admission.Reason}).Counter("admission_refusals").Inc(1)
	}
	return admission
}

// serversOf returns the servers of a service, if a dispatcher assigns them.
func (dispatchers *dispatchers) serversOf(now time.Time, service string) ([]admit.Server, bool) {
	dispatchers.mutex.Lock()
	defer dispatchers.mutex.Unlock()
	_, used := dispatchers.dispatcherOf(now, service)
	return dispatchers.services[service], used
}

// dispatcherOf returns the dispatcher of a service, if one is used: there are many hosts, and the servers declare their slots. The
// mutex must be held.
func (dispatchers *dispatchers) dispatcherOf(now time.Time, service string) (outboxKey, bool) {
	slots := 0
	for _, server := range dispatchers.services[service] {
		if server.Slots <= 0 {
			return outboxKey{}, false
		}
		slots = max(slots, server.Slots)
	}
	if slots == 0 || len(dispatchers.rank.hosts) <= dispatchHostFactor*slots {
		return outboxKey{}, false
	}
	name, address, found := dispatchers.rank.hostFor(now, service)
	return outboxKey{dispatcher: name, address: address, service: service}, found
}

// take asks the dispatcher once.
func (dispatchers *dispatchers) take(ctx context.Context, now time.Time, demand Demand) Admission {
	dispatchers.mutex.Lock()
	key, found := dispatchers.dispatcherOf(now, demand.Service.Name)
	if !found {
		dispatchers.mutex.Unlock()
		return Admission{}
	}
	dispatchers.lastID++
	params := takeParams{
		Service: key.service, Host: dispatchers.coordinator.settings.Host.Name, ID: dispatchers.lastID, Workspace: demand.Workspace, Digest: demand.Digest,
		Class: demand.Class, Priority: demand.Priority, DueMS: demand.Due.Sub(now).Milliseconds(),
		DeadlineMS: max(0, demand.Deadline.Sub(now).Milliseconds()), Avoid: value.Sorted(demand.Avoid), HostLimit: demand.hostLimit, Others: dispatchers.others(key),
	}
	if box := dispatchers.outboxes[key]; box != nil {
		params.Ended, box.ended, box.due = box.ended, nil, false
	}
	dispatchers.mutex.Unlock()
	if key.address == "" {
		return dispatchers.admission(key, params, dispatchers.handleTake(ctx, params))
	}
	return dispatchers.takeRemote(ctx, now, key, params)
}

// takeRemote asks another host. It gives up when that host does not respond, or the request's context ends.
func (dispatchers *dispatchers) takeRemote(ctx context.Context, now time.Time, key outboxKey, params takeParams) Admission {
	type response struct {
		result takeResult
		err    error
	}
	coordinator := dispatchers.coordinator
	link := dispatchers.beginWait(now, key)
	defer dispatchers.endWait(link)
	responses := make(chan response, 1)
	go func() {
		// The caller's context must not end the call, since the peer's connection is closed if a call times out.
		callCtx, cancel := context.WithTimeout(coordinator.ctx, time.Duration(params.DeadlineMS)*time.Millisecond+callTimeout)
		defer cancel()
		var answer response
		answer.err = coordinator.peers.Call(callCtx, key.address, methodTake, params, &answer.result)
		if answer.err != nil {
			dispatchers.report(key, params.Ended...)
		} else {
			waited := time.Duration(answer.result.WaitedMS) * time.Millisecond
			dispatchers.heard(key.dispatcher, clock.Now().Sub(now)-waited)
		}
		responses <- answer
	}()
	abandon := func() Admission {
		dispatchers.report(key, endParams{ID: params.ID, Outcome: admit.OutcomeUnused})
		return Admission{Dispatcher: key.dispatcher}
	}
	select {
	case answer := <-responses:
		if answer.err != nil {
			dispatchers.lose(link, key)
			return Admission{Dispatcher: key.dispatcher}
		}
		return dispatchers.admission(key, params, answer.result)
	case <-link.lost:
		return abandon()
	case <-ctx.Done():
		return abandon()
	}
}

// admission returns the meaning of a dispatcher's response, and counts the request as running if it got a server.
func (dispatchers *dispatchers) admission(key outboxKey, params takeParams, result takeResult) Admission {
	admission := Admission{
		Dispatcher: key.dispatcher, Reason: string(result.Reason), RetryAfter: time.Duration(result.RetryAfterMS) * time.Millisecond, Ahead: result.Ahead,
		Waited: time.Duration(result.WaitedMS) * time.Millisecond, StateAge: time.Duration(result.StateAgeMS) * time.Millisecond,
	}
	switch {
	case result.Server != "":
		admission.Outcome, admission.Server = Admitted, spec.Server{ID: result.Server, StartedMillis: result.StartedMillis}
		admission.Assignment = &Assignment{dispatchers: dispatchers, key: key, server: result.Server, id: params.ID}
		dispatchers.count(key.service, runningKey{dispatcher: key.dispatcher, server: result.Server}, 1)
	case result.Reason == admit.ReasonNoServer || result.Reason == "":
		// The host may know of a server that can still be tried.
		admission.Outcome = NoDispatcher
	default:
		admission.Outcome = NotAdmitted
	}
	return admission
}

// Undispatched counts a request that was sent without a dispatcher, so that dispatchers learn of the slot that it uses. It returns nil
// if dispatchers are not used for the service.
func (coordinator *Coordinator) Undispatched(server spec.Server) *Assignment {
	dispatchers := coordinator.traffic.dispatchers
	dispatchers.mutex.Lock()
	_, used := dispatchers.dispatcherOf(clock.Now(), server.Service)
	dispatchers.mutex.Unlock()
	if !used {
		return nil
	}
	dispatchers.count(server.Service, runningKey{server: server.ID}, 1)
	return &Assignment{dispatchers: dispatchers, key: outboxKey{service: server.Service}, server: server.ID}
}

// End records that the request has ended. Only the first call counts. The assignment may be nil.
func (assignment *Assignment) End(outcome admit.Outcome) {
	if assignment == nil {
		return
	}
	assignment.once.Do(func() {
		dispatchers := assignment.dispatchers
		dispatchers.count(assignment.key.service, runningKey{dispatcher: assignment.key.dispatcher, server: assignment.server}, -1)
		if assignment.key.dispatcher != "" {
			end := endParams{ID: assignment.id, Outcome: outcome}
			if !assignment.sentAt.IsZero() {
				end.ServedMS = clock.Now().Sub(assignment.sentAt).Milliseconds()
			}
			dispatchers.report(assignment.key, end)
		}
		for _, key := range dispatchers.toldOthers(assignment.key) {
			dispatchers.report(key)
		}
	})
}

// toldOthers returns the other dispatchers of a service that count requests of this host which they have not assigned.
func (dispatchers *dispatchers) toldOthers(assigned outboxKey) []outboxKey {
	dispatchers.mutex.Lock()
	defer dispatchers.mutex.Unlock()
	var told []outboxKey
	for key := range dispatchers.told {
		if key.service == assigned.service && key != assigned {
			told = append(told, key)
		}
	}
	return told
}

// count changes the number of this host's running requests.
func (dispatchers *dispatchers) count(service string, key runningKey, change int) {
	dispatchers.mutex.Lock()
	defer dispatchers.mutex.Unlock()
	counts := dispatchers.running[service]
	if counts == nil {
		counts = map[runningKey]int{}
		dispatchers.running[service] = counts
	}
	if counts[key] += change; counts[key] <= 0 {
		delete(counts, key)
	}
	if len(counts) == 0 {
		delete(dispatchers.running, service)
	}
}

// others returns the running requests of this host that a dispatcher has not assigned, by server, to be sent to that dispatcher. The mutex
// must be held.
func (dispatchers *dispatchers) others(key outboxKey) map[string]int {
	var others map[string]int
	for running, count := range dispatchers.running[key.service] {
		if running.dispatcher == key.dispatcher {
			continue
		}
		if others == nil {
			others = map[string]int{}
		}
		others[running.server] += count
	}
	if others == nil {
		delete(dispatchers.told, key)
	} else {
		dispatchers.told.Add(key)
	}
	return others
}

// report sends the ends of requests to a dispatcher. Those that end while a message is under way share the next one. Without any, it
// sends only the numbers of requests that the dispatcher has not assigned.
func (dispatchers *dispatchers) report(key outboxKey, ended ...endParams) {
	dispatchers.mutex.Lock()
	if key.address == "" {
		params := doneParams{Service: key.service, Host: dispatchers.coordinator.settings.Host.Name, Ended: ended, Others: dispatchers.others(key)}
		dispatchers.mutex.Unlock()
		dispatchers.handleDone(params)
		return
	}
	defer dispatchers.mutex.Unlock()
	box := dispatchers.outboxes[key]
	if box == nil {
		box = &outbox{}
		dispatchers.outboxes[key] = box
		go dispatchers.send(key, box)
	}
	box.ended, box.due = append(box.ended, ended...), true
}

// send sends the content of an outbox until it is empty. Ends that could not be reported are sent once more. Those that are lost expire
// at the dispatcher.
func (dispatchers *dispatchers) send(key outboxKey, box *outbox) {
	coordinator := dispatchers.coordinator
	for repeated := false; ; {
		dispatchers.mutex.Lock()
		if !box.due || coordinator.ctx.Err() != nil {
			delete(dispatchers.outboxes, key)
			dispatchers.mutex.Unlock()
			return
		}
		params := doneParams{Service: key.service, Host: coordinator.settings.Host.Name, Ended: box.ended, Others: dispatchers.others(key)}
		box.ended, box.due = nil, false
		dispatchers.mutex.Unlock()
		ctx, cancel := context.WithTimeout(coordinator.ctx, callTimeout)
		calledAt := clock.Now()
		err := coordinator.peers.Call(ctx, key.address, methodDone, params, nil)
		cancel()
		if err == nil {
			dispatchers.heard(key.dispatcher, clock.Now().Sub(calledAt))
			repeated = false
			continue
		}
		coordinator.metrics.Counter("dispatchers_unreachable").Inc(1)
		if !repeated && len(params.Ended) > 0 {
			repeated = true
			dispatchers.mutex.Lock()
			box.ended, box.due = append(params.Ended, box.ended...), true
			dispatchers.mutex.Unlock()
		}
	}
}

// beginWait records that a request waits for a dispatcher, and watches whether the dispatcher responds.
func (dispatchers *dispatchers) beginWait(now time.Time, key outboxKey) *dispatcherLink {
	dispatchers.mutex.Lock()
	defer dispatchers.mutex.Unlock()
	link := dispatchers.links[key.dispatcher]
	if link == nil {
		link = &dispatcherLink{lost: make(chan struct{})}
		dispatchers.links[key.dispatcher] = link
	}
	if link.pending == 0 {
		link.heardAt, link.extended = now, false
	}
	link.pending++
	if !link.watched {
		link.watched = true
		go dispatchers.watch(link, key)
	}
	return link
}

func (dispatchers *dispatchers) endWait(link *dispatcherLink) {
	dispatchers.mutex.Lock()
	defer dispatchers.mutex.Unlock()
	link.pending--
}

// heard records that a dispatcher has responded, and how long that took.
func (dispatchers *dispatchers) heard(host string, took time.Duration) {
	dispatchers.mutex.Lock()
	defer dispatchers.mutex.Unlock()
	dispatchers.replies.record(host, took)
	if link := dispatchers.links[host]; link != nil {
		link.heardAt, link.extended = clock.Now(), false
	}
}

// watch checks that a dispatcher responds while requests wait for it. A request may wait for a slot for long, so a silent dispatcher is
// asked whether it still responds.
func (dispatchers *dispatchers) watch(link *dispatcherLink, key outboxKey) {
	ticker := time.NewTicker(dispatcherCheckInterval)
	defer ticker.Stop()
	checkedAt := clock.Now()
	for {
		select {
		case <-ticker.C:
		case <-dispatchers.coordinator.ctx.Done():
			return
		}
		now := clock.Now()
		late := now.Sub(checkedAt) >= 2*dispatcherCheckInterval
		checkedAt = now
		silent, timeout, ended := dispatchers.silence(now, link, key.dispatcher, late)
		switch {
		case ended:
			return
		case silent >= timeout:
			dispatchers.lose(link, key)
			return
		case silent >= probeAfter(timeout):
			// A message that is under way already asks as well.
			dispatchers.report(key)
		}
	}
}

// probeAfter returns how long a dispatcher may be silent before it is asked whether it still responds.
func probeAfter(timeout time.Duration) time.Duration {
	return time.Duration(dispatcherProbeFraction * float64(timeout))
}

// silence returns how long a dispatcher has not responded, and for how long it may be silent. It reports whether no request waits for it
// any more.
func (dispatchers *dispatchers) silence(now time.Time, link *dispatcherLink, host string, late bool) (silent, timeout time.Duration, ended bool) {
	dispatchers.mutex.Lock()
	defer dispatchers.mutex.Unlock()
	if link.pending == 0 {
		link.watched = false
		return 0, 0, true
	}
	timeout = dispatchers.replies.timeout(host)
	if late && !link.extended {
		// This host had no processor time, so responses may wait to be read. That counts only once, as it may go on.
		link.extended = true
		link.heardAt = latest(link.heardAt, now.Add(-probeAfter(timeout)))
	}
	return now.Sub(link.heardAt), timeout, false
}

func latest(left, right time.Time) time.Time {
	if left.After(right) {
		return left
	}
	return right
}

// lose ends the wait of all requests for a dispatcher, which is not asked for a while.
func (dispatchers *dispatchers) lose(link *dispatcherLink, key outboxKey) {
	coordinator := dispatchers.coordinator
	dispatchers.mutex.Lock()
	defer dispatchers.mutex.Unlock()
	if dispatchers.links[key.dispatcher] != link {
		return
	}
	delete(dispatchers.links, key.dispatcher)
	close(link.lost)
	now := clock.Now()
	silent := now.Sub(link.heardAt)
	// The dispatcher gets more time when it is asked again.
	dispatchers.replies.record(key.dispatcher, silent)
	dispatchers.rank.avoid(key.dispatcher, now.Add(dispatcherAvoidance))
	coordinator.metrics.Counter("dispatchers_unreachable").Inc(1)
	coordinator.log.Info("dispatcher does not respond", "dispatcher", key.dispatcher, "service", key.service, "waiting", link.pending,
		"silent_ms", silent.Milliseconds(), "extended", link.extended)
}
