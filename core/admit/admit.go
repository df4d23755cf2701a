// Package admit assigns the servers of one plain service to the requests of all hosts.
//
// Hosts that choose servers by themselves see the same idle server at the same time, since what they know of each other's
// requests is older than a request lasts. A queue therefore decides for all of them: a server runs no more requests at a time
// than it has slots, and if all slots are in use, requests wait in one order. The queue learns how long requests take and how
// fast each server is from the time between an assignment and its end, and for which part of it the request is on its server.
package admit

import (
	"time"

	"lentilproxy/core/order"
	"lentilproxy/core/value"
)

const (
	// initialWork is the assumed duration of a request until some have been measured.
	initialWork = 50 * time.Millisecond
	// maxWaiting bounds the waiting requests.
	maxWaiting = 4096
	// maxWithdrawn bounds the tickets of which only the end has arrived so far.
	maxWithdrawn = 1024
	// maxClasses bounds what is remembered about classes of requests.
	maxClasses = 256
	// expiryGrace is how long after its request's deadline an assignment still counts if its host has not ended it.
	expiryGrace = 250 * time.Millisecond
	// UsageLifetime is how long a host's report of requests that this queue has not assigned counts.
	UsageLifetime = 2500 * time.Millisecond
	// overloadAfter is how long requests that can be in time have to wait without a break before late ones are refused. A shorter
	// burst leaves slots to the late ones before their deadline.
	overloadAfter = 500 * time.Millisecond
	// returnAhead is the fraction of the requests ahead of a request that came back that count for its refusal.
	returnAhead = 0.5
)

// Ticket identifies a request of a host. The host chooses the ID.
type Ticket struct {
	Host string
	ID   int64
}

// Server is a server that may get requests.
type Server struct {
	ID            string
	StartedMillis int64
	Slots         int
}

// Request is a request that needs a server.
type Request struct {
	Ticket    Ticket
	Workspace string
	// Digest identifies the content of the request, so that a repeat is recognised; it may be empty.
	Digest string
	// Class names requests that take about the same time, such as those of a route.
	Class string
	// Priority is 0 for the most urgent requests.
	Priority int
	// Due is when the response is late, and Deadline when it is worth nothing.
	Due      time.Time
	Deadline time.Time
	// Avoid are the servers that the request must not be sent to.
	Avoid value.Set[string]
	// HostLimit is the number of requests that the host may send to one server at a time, since it may open no more connections; 0 means
	// no limit.
	HostLimit int
}

// Reason states why a request was refused.
type Reason string

// The reasons of refusals.
const (
	// ReasonBusy means that no slot is expected to be free before the request's deadline less its work.
	ReasonBusy Reason = "busy"
	// ReasonExpired means that the request has waited until its deadline left no time for its work.
	ReasonExpired Reason = "expired"
	// ReasonLate means that the request can no longer be in time, and that requests which can take all slots.
	ReasonLate Reason = "late"
	// ReasonQueueFull means that too many requests wait.
	ReasonQueueFull Reason = "queue_full"
	// ReasonNoServer means that the request must not be sent to any of the servers.
	ReasonNoServer Reason = "no_server"
	// ReasonWithdrawn means that the end of the request arrived before the request.
	ReasonWithdrawn Reason = "withdrawn"
)

// Decision is the end of a request's wait.
type Decision struct {
	Ticket Ticket
	// Server is empty if the request is refused.
	Server Server
	Reason Reason
	// RetryAfter is the time after which the caller of a refused request should return.
	RetryAfter time.Duration
	// Ahead is the number of requests that were ahead of this one when it arrived.
	Ahead  int
	Waited time.Duration
	// StateAge is the age of the oldest report of a host that the decision relied on.
	StateAge time.Duration
}

// waiting is a request that has no server yet.
type waiting struct {
	request   Request
	arrivedAt time.Time
	// key is the time by which requests of the same class are ordered.
	key       time.Time
	ahead     int
	workspace *order.Share
	class     *estimate
}

// assignment is a request that a server was assigned to.
type assignment struct {
	ticket   Ticket
	class    *estimate
	expected time.Duration
	at       time.Time
	expires  time.Time
	server   *server
	// share is the part of a slot for which the assignment counts, and ahead is set if the server had no free slot.
	share float64
	ahead bool
}

// Queue assigns the servers of one service. It is not safe for concurrent use.
type Queue struct {
	startedAt time.Time
	servers   map[string]*server
	// ordered holds the open servers by ID, so that decisions do not depend on the order of the map.
	ordered     []*server
	assignments map[Ticket]*assignment
	waiting     []*waiting
	// candidates and entries are reused by pick.
	candidates []candidate
	entries    []order.Entry
	// work is the usual duration of a request, and classes that of each class.
	work    estimate
	classes *value.Recent[string, *estimate]
	// errorRate is the usual share of responses that are errors.
	errorRate float64
	// ahead decides how many requests servers get beyond their slots.
	ahead *ahead
	// usage is what assignments have used of their slots.
	usage Usage
	// order is the order of the waiting requests, and returns knows the refused ones.
	order   *order.Order
	returns *order.Returns
	// timelySince is since when requests that can be in time have waited without a break; zero if none waits.
	timelySince time.Time
	// withdrawn holds tickets that ended unused before they arrived.
	withdrawn *value.Recent[Ticket, struct{}]
}

// New returns a queue without servers.
func New(now time.Time) *Queue {
	return &Queue{
		startedAt: now, servers: map[string]*server{}, assignments: map[Ticket]*assignment{}, work: estimate{mean: initialWork},
		classes: value.NewRecent[string, *estimate](maxClasses), order: order.New(now, fairSlack), returns: order.NewReturns(),
		withdrawn: value.NewRecent[Ticket, struct{}](maxWithdrawn), ahead: newAhead(),
	}
}

// Waiting returns the number of waiting requests by priority.
func (queue *Queue) Waiting() map[int]int {
	counts := map[int]int{}
	for _, waiting := range queue.waiting {
		counts[waiting.request.Priority]++
	}
	return counts
}

// Idle reports whether no request waits or has a server.
func (queue *Queue) Idle() bool { return len(queue.waiting) == 0 && len(queue.assignments) == 0 }

// InUse returns the number of requests that a server has, as far as the queue knows.
func (queue *Queue) InUse(now time.Time, id string) int {
	server := queue.servers[id]
	if server == nil {
		return 0
	}
	return server.inUse(now)
}

// Add adds a request to the waiting ones. It returns a refusal if no slot is expected to be free in time. Otherwise the request
// waits until a result of Next contains it, which may be at once.
func (queue *Queue) Add(now time.Time, request Request) (refusal Decision, refused bool) {
	if _, withdrawn := queue.withdrawn.Get(request.Ticket); withdrawn {
		return Decision{Ticket: request.Ticket, Reason: ReasonWithdrawn}, true
	}
	share := queue.order.Arrive(now, request.Workspace, request.Priority, 1)
	added := &waiting{request: request, arrivedAt: now, key: request.Due, workspace: share, class: queue.classOf(request.Class)}
	if !queue.hasServerFor(request) {
		return Decision{Ticket: request.Ticket, Reason: ReasonNoServer}, true
	}
	returning := queue.returns.Take(now, request.Workspace, request.Digest)
	if returning {
		added.key = order.Boosted(now, request.Due)
	}
	queue.expire(now)
	added.ahead = queue.aheadOf(now, added)
	if len(queue.waiting) >= maxWaiting {
		return queue.refuse(now, added, ReasonQueueFull), true
	}
	if queue.hasFreeSlot(now, request) {
		queue.waiting = append(queue.waiting, added)
		return Decision{}, false
	}
	counted := added.ahead
	if returning {
		counted = int(returnAhead * float64(counted))
	}
	if room := request.Deadline.Sub(now) - added.class.mean; queue.expectedWait(now, counted) > room {
		return queue.refuse(now, added, ReasonBusy), true
	}
	queue.waiting = append(queue.waiting, added)
	return Decision{}, false
}

// refuse returns the refusal of a request. Refused callers are asked to return one after the other.
func (queue *Queue) refuse(now time.Time, refused *waiting, reason Reason) Decision {
	room := max(0, refused.request.Deadline.Sub(now)-refused.class.mean)
	wait := queue.expectedWait(now, refused.ahead) - room
	at := queue.returns.Refuse(now, refused.request.Workspace, refused.request.Digest, wait, queue.rate(now))
	return Decision{
		Ticket: refused.request.Ticket, Reason: reason, RetryAfter: at.Sub(now), Ahead: refused.ahead, Waited: now.Sub(refused.arrivedAt),
		StateAge: queue.stateAge(now),
	}
}

// Next returns the assignments and refusals that can be decided now.
func (queue *Queue) Next(now time.Time) []Decision {
	queue.expire(now)
	queue.recordContention(now)
	decisions := queue.refuseExpired(now)
	defer queue.recordContention(now)
	for len(queue.waiting) > 0 {
		index, server := queue.pick(now)
		if server == nil {
			break
		}
		picked := queue.waiting[index]
		queue.waiting = append(queue.waiting[:index], queue.waiting[index+1:]...)
		queue.assign(now, picked, server)
		decisions = append(decisions, Decision{
			Ticket: picked.request.Ticket, Server: server.declared, Ahead: picked.ahead, Waited: now.Sub(picked.arrivedAt), StateAge: queue.stateAge(now),
		})
	}
	return decisions
}

// refuseExpired returns the refusals of the waiting requests that can no longer be served.
func (queue *Queue) refuseExpired(now time.Time) []Decision {
	var decisions []Decision
	kept := queue.waiting[:0]
	for _, waiting := range queue.waiting {
		// A request that has just arrived is served if a slot is free, since its work may be less than usual.
		expired := !now.Before(waiting.request.Deadline) || now.After(waiting.arrivedAt) && now.After(waiting.latestStart())
		switch {
		case !queue.hasServerFor(waiting.request):
			decisions = append(decisions, Decision{Ticket: waiting.request.Ticket, Reason: ReasonNoServer, Ahead: waiting.ahead, Waited: now.Sub(waiting.arrivedAt)})
		case queue.overloaded(now) && waiting.late(now) && now.After(waiting.arrivedAt):
			decisions = append(decisions, queue.refuse(now, waiting, ReasonLate))
		case expired:
			decisions = append(decisions, queue.refuse(now, waiting, ReasonExpired))
		default:
			kept = append(kept, waiting)
		}
	}
	clear(queue.waiting[len(kept):])
	queue.waiting = kept
	return decisions
}

// overloaded reports whether requests that can be in time have waited for so long without a break that late ones would wait until
// their deadline in vain.
func (queue *Queue) overloaded(now time.Time) bool {
	return !queue.timelySince.IsZero() && now.Sub(queue.timelySince) >= overloadAfter
}

// recordContention records since when there are requests that can be in time and have to wait.
func (queue *Queue) recordContention(now time.Time) {
	for _, waiting := range queue.waiting {
		if !waiting.late(now) {
			if queue.timelySince.IsZero() {
				queue.timelySince = now
			}
			return
		}
	}
	queue.timelySince = time.Time{}
}

// latestStart returns until when the request can still end before its deadline.
func (waiting *waiting) latestStart() time.Time {
	return waiting.request.Deadline.Add(-waiting.class.mean)
}

// NextEvent returns when Next may decide something without another call before, if there is such a time.
func (queue *Queue) NextEvent(now time.Time) (time.Time, bool) {
	if len(queue.waiting) == 0 {
		return time.Time{}, false
	}
	next := queue.waiting[0].request.Deadline
	consider := func(at time.Time) {
		if at.After(now) && at.Before(next) {
			next = at
		}
	}
	for _, waiting := range queue.waiting {
		consider(waiting.latestStart())
		consider(waiting.lateFrom())
	}
	for _, assignment := range queue.assignments {
		consider(assignment.expires)
	}
	for _, server := range queue.servers {
		if server.pausedUntil.After(now) {
			consider(server.pausedUntil)
		}
		for _, report := range server.reported {
			consider(report.at.Add(UsageLifetime))
		}
	}
	// The end of a wait is decided after latestStart, not at it.
	return latest(next, now).Add(time.Millisecond), true
}

func latest(left, right time.Time) time.Time {
	if left.After(right) {
		return left
	}
	return right
}

func (queue *Queue) assign(now time.Time, picked *waiting, server *server) {
	request := picked.request
	added := &assignment{
		ticket: request.Ticket, class: picked.class, expected: server.expected(picked.class.mean), at: now,
		expires: request.Deadline.Add(expiryGrace), server: server, ahead: server.inUse(now) >= server.declared.Slots,
		share: queue.ahead.shareOf(request.Ticket.Host),
	}
	queue.assignments[request.Ticket] = added
	server.assigned = append(server.assigned, added)
	queue.order.Serve(picked.workspace, 1)
}

// expire drops the assignments and reports that no longer count.
func (queue *Queue) expire(now time.Time) {
	for _, assignment := range queue.assignments {
		if !now.Before(assignment.expires) {
			queue.drop(assignment)
		}
	}
	for _, server := range queue.servers {
		for host, report := range server.reported {
			if now.Sub(report.at) >= UsageLifetime {
				delete(server.reported, host)
			}
		}
	}
}

func (queue *Queue) drop(dropped *assignment) {
	delete(queue.assignments, dropped.ticket)
	dropped.server.remove(dropped)
}

// End records how a request ended, or that its host no longer waits for a server. It reports whether the request was known.
//
// Served is the time from the sending of the request to the end of its response, as its host measured it; 0 if it is not known.
func (queue *Queue) End(now time.Time, ticket Ticket, outcome Outcome, served time.Duration) bool {
	for index, waiting := range queue.waiting {
		if waiting.request.Ticket == ticket {
			queue.waiting = append(queue.waiting[:index], queue.waiting[index+1:]...)
			return true
		}
	}
	ended := queue.assignments[ticket]
	if ended == nil {
		if outcome == OutcomeUnused {
			queue.withdrawn.Put(ticket, struct{}{})
		}
		return false
	}
	queue.drop(ended)
	duration := now.Sub(ended.at)
	if served = min(served, duration); served > 0 {
		queue.usage.Ended++
		queue.usage.Assigned += duration
		queue.usage.Served += served
	}
	switch outcome {
	case OutcomeOK:
		queue.learn(ended, duration)
		if served > 0 {
			queue.ahead.record(ended, duration, served)
		}
		queue.errorRate -= errorWeight * queue.errorRate
	case OutcomeFailed:
		queue.errorRate += errorWeight * (1 - queue.errorRate)
	case OutcomeRejected:
		if ended.ahead {
			// That the slots are in use says nothing else about the server.
			queue.ahead.recordRejection()
			return true
		}
	case OutcomeUnreachable, OutcomeUnused:
	}
	ended.server.record(now, ended.at, outcome, queue.baselineErrorRate(now, ended.server))
	return true
}

// learn updates the usual durations and the speed of a server from a request that has ended well.
func (queue *Queue) learn(ended *assignment, duration time.Duration) {
	ended.server.learn(float64(duration) / float64(max(ended.class.mean, time.Millisecond)))
	ended.class.add(duration)
	queue.work.add(duration)
}

// classOf returns the usual duration of requests of a class.
func (queue *Queue) classOf(class string) *estimate {
	known, found := queue.classes.Get(class)
	if !found {
		known = &estimate{mean: queue.work.mean}
	}
	queue.classes.Put(class, known)
	return known
}

// RetainHosts drops the requests and reports of hosts that are not among the given ones.
func (queue *Queue) RetainHosts(hosts value.Set[string]) {
	for ticket, assignment := range queue.assignments {
		if !hosts.Has(ticket.Host) {
			queue.drop(assignment)
		}
	}
	kept := queue.waiting[:0]
	for _, waiting := range queue.waiting {
		if hosts.Has(waiting.request.Ticket.Host) {
			kept = append(kept, waiting)
		}
	}
	clear(queue.waiting[len(kept):])
	queue.waiting = kept
	queue.ahead.retainHosts(hosts)
	for _, server := range queue.servers {
		for host := range server.reported {
			if !hosts.Has(host) {
				delete(server.reported, host)
			}
		}
	}
}
