package admit

import (
	"math"
	"slices"
	"strings"
	"time"

	"lentilproxy/core/order"
	"lentilproxy/core/value"
)

// Outcome states how a request ended on its server.
type Outcome string

// The outcomes of requests.
const (
	OutcomeOK Outcome = "ok"
	// OutcomeFailed means that the server responded with an error, or that its response broke off.
	OutcomeFailed Outcome = "failed"
	// OutcomeUnreachable means that no connection to the server could be opened.
	OutcomeUnreachable Outcome = "unreachable"
	// OutcomeRejected means that the server refused to run the request.
	OutcomeRejected Outcome = "rejected"
	// OutcomeUnused means that nothing was sent to the server, for a reason that does not concern it.
	OutcomeUnused Outcome = "unused"
)

const (
	// rejectedPause, unreachablePause and failedPause are how long a server gets nothing after such an outcome. They double with each
	// further one up to their maximum. A server that rejects has a free slot again after about one request.
	rejectedPause       = 60 * time.Millisecond
	maxRejectedPause    = 500 * time.Millisecond
	unreachablePause    = 250 * time.Millisecond
	maxUnreachablePause = 4 * time.Second
	failedPause         = 1500 * time.Millisecond
	maxFailedPause      = 4 * time.Second
	// errorDecayTime is the time constant of the exponential decay of the counts of responses and errors. A server that fails fast has
	// free slots and attracts requests, so it has to be found within some tenths of a second.
	errorDecayTime = time.Second
	// minResponses is the number of recent responses below which an error rate is not significant, and minTrialResponses that of a
	// server that is tried again.
	minResponses      = 12
	minTrialResponses = 2.5
	// maxExcessErrorRate is how far a server's error rate may exceed that of the other servers.
	maxExcessErrorRate = 0.25
	// errorWeight is the weight of the newest response in the usual error rate.
	errorWeight = 0.002
	// speedWeight is the weight of the newest duration in a server's speed. With 0.1, a server that turns slow by a factor of 4 is known
	// to be slow by a factor of 3 after 10 requests.
	speedWeight = 0.1
	// minSpeed and maxSpeed bound the relative duration of one request, so that a single request cannot take a server out of use.
	minSpeed = 0.1
	maxSpeed = 8
	// workWeight is the weight of the newest duration in the usual duration, once there are some.
	workWeight = 0.01
	// overdueFraction is the fraction of the time that a request has run beyond its expected duration for which it is expected to go on.
	overdueFraction = 0.5
	// reportedFraction is the fraction of the usual duration that remains of requests that hosts have reported.
	reportedFraction = 0.5
)

// estimate is a moving average of durations.
type estimate struct {
	mean  time.Duration
	count int
}

func (estimate *estimate) add(duration time.Duration) { estimate.addWeighted(duration, workWeight) }

// addWeighted adds a duration. Until there are some, it weighs more than the given weight.
func (estimate *estimate) addWeighted(duration time.Duration, weight float64) {
	estimate.count++
	weight = max(weight, 1/float64(estimate.count))
	estimate.mean += time.Duration(weight * float64(duration-estimate.mean))
}

// report is a number of requests that a host runs on a server without an assignment of this queue.
type report struct {
	running int
	at      time.Time
}

// server is the state of one server.
type server struct {
	declared Server
	// open servers may get requests.
	open     bool
	assigned []*assignment
	// reported maps hosts to their requests that this queue has not assigned.
	reported map[string]report
	// speed is the duration of requests on this server, relative to the usual one.
	speed float64
	// responses and errors decay over errorDecayTime, as of decayedAt.
	responses float64
	errors    float64
	decayedAt time.Time
	// pausedUntil is when the server may get requests again. Afterwards it gets at most allowed ones at a time, and twice as many after
	// each that ends well. 0 means no bound but its slots.
	pausedUntil time.Time
	allowed     int
	// rejections, failures and failedTrials count the respective outcomes in a row.
	rejections   int
	failures     int
	failedTrials int
}

// SetServers sets the servers that may get requests. Assignments to others stay until they end, unless the server has restarted.
func (queue *Queue) SetServers(declared []Server) {
	known := value.Set[string]{}
	queue.ordered = nil
	for _, entry := range declared {
		known.Add(entry.ID)
		current := queue.servers[entry.ID]
		if current != nil && current.declared.StartedMillis != entry.StartedMillis {
			queue.forget(current)
			current = nil
		}
		if current == nil {
			current = &server{reported: map[string]report{}, speed: 1}
			queue.servers[entry.ID] = current
		}
		current.declared, current.open = entry, true
		queue.ordered = append(queue.ordered, current)
	}
	slices.SortFunc(queue.ordered, func(left, right *server) int { return strings.Compare(left.declared.ID, right.declared.ID) })
	for id, current := range queue.servers {
		if known.Has(id) {
			continue
		}
		current.open = false
		if len(current.assigned) == 0 {
			delete(queue.servers, id)
		}
	}
}

func (queue *Queue) forget(forgotten *server) {
	for _, assignment := range slices.Clone(forgotten.assigned) {
		queue.drop(assignment)
	}
	delete(queue.servers, forgotten.declared.ID)
}

// SetUsage replaces a host's report of the requests that it runs without an assignment of this queue, by server.
func (queue *Queue) SetUsage(at time.Time, host string, running map[string]int) {
	for id, server := range queue.servers {
		if count := running[id]; count > 0 {
			server.reported[host] = report{running: count, at: at}
		} else {
			delete(server.reported, host)
		}
	}
}

// SetTotalUsage replaces a host's report of all its requests by server, of which this queue may have assigned some.
func (queue *Queue) SetTotalUsage(at time.Time, host string, running map[string]int) {
	assigned := map[string]int{}
	for ticket, assignment := range queue.assignments {
		if ticket.Host == host {
			assigned[assignment.server.declared.ID]++
		}
	}
	others := map[string]int{}
	for id, count := range running {
		others[id] = count - assigned[id]
	}
	queue.SetUsage(at, host, others)
}

// stateAge returns the age of the oldest report that counts.
func (queue *Queue) stateAge(now time.Time) time.Duration {
	oldest := time.Duration(0)
	for _, server := range queue.servers {
		for _, report := range server.reported {
			oldest = max(oldest, now.Sub(report.at))
		}
	}
	return oldest
}

// rate returns the number of requests per second that the servers can run now.
func (queue *Queue) rate(now time.Time) float64 {
	rate := 0.0
	for _, server := range queue.servers {
		if server.open && !now.Before(server.pausedUntil) {
			rate += float64(wholeRequests(float64(server.limit()), queue.ahead.share())) / server.expected(queue.work.mean).Seconds()
		}
	}
	return rate
}

// expectedWait returns how long a request with others ahead of it is expected to wait while all slots are in use.
func (queue *Queue) expectedWait(now time.Time, ahead int) time.Duration {
	if rate := queue.rate(now); rate > 0 {
		return time.Duration(float64(ahead+1) / rate * float64(time.Second))
	}
	earliest := order.MaxRetryAfter
	for _, server := range queue.servers {
		if server.open {
			earliest = min(earliest, server.pausedUntil.Sub(now))
		}
	}
	return max(0, earliest)
}

// hasServerFor reports whether a request may be sent to any of the servers.
func (queue *Queue) hasServerFor(request Request) bool {
	for _, server := range queue.ordered {
		if server.declared.Slots > 0 && !request.Avoid.Has(server.declared.ID) {
			return true
		}
	}
	return false
}

// hasFreeSlot reports whether a server that a request may be sent to has a free slot that no other request waits for.
func (queue *Queue) hasFreeSlot(now time.Time, request Request) bool {
	free, share := 0, queue.ahead.share()
	for _, server := range queue.ordered {
		if server.mayRun(request) {
			free += max(0, server.free(now, share))
		}
	}
	return free > len(queue.waiting)
}

// baselineErrorRate returns the error rate with which that of a server is compared: the mean of the other servers, or the usual one if
// they have not responded recently.
func (queue *Queue) baselineErrorRate(now time.Time, compared *server) float64 {
	sum, count := 0.0, 0.0
	for _, server := range queue.servers {
		server.decay(now)
		if server != compared && server.responses >= 1 {
			sum, count = sum+server.errors/server.responses, count+1
		}
	}
	if count == 0 {
		return queue.errorRate
	}
	return sum / count
}

// mayRun reports whether a request may be sent to the server.
func (server *server) mayRun(request Request) bool {
	if request.Avoid.Has(server.declared.ID) {
		return false
	}
	if request.HostLimit <= 0 {
		return true
	}
	count := server.reported[request.Ticket.Host].running
	for _, assignment := range server.assigned {
		if assignment.ticket.Host == request.Ticket.Host {
			count++
		}
	}
	return count < request.HostLimit
}

func (server *server) remove(removed *assignment) {
	if index := slices.Index(server.assigned, removed); index >= 0 {
		server.assigned = slices.Delete(server.assigned, index, index+1)
	}
}

// inUse returns the number of requests on the server that the queue knows of.
func (server *server) inUse(now time.Time) int {
	sum := len(server.assigned)
	for _, report := range server.reported {
		if now.Sub(report.at) < UsageLifetime {
			sum += report.running
		}
	}
	return sum
}

// limit returns the number of requests that the server may have at a time.
func (server *server) limit() int {
	if server.allowed > 0 {
		return min(server.allowed, server.declared.Slots)
	}
	return server.declared.Slots
}

// expected returns the expected duration of a request on the server, given the usual one.
func (server *server) expected(usual time.Duration) time.Duration {
	return max(time.Millisecond, time.Duration(server.speed*float64(usual)))
}

// remaining returns the expected work of the server with one more request, for each of its slots.
func (server *server) remaining(now time.Time, usual time.Duration) time.Duration {
	expected := server.expected(usual)
	sum := expected
	for _, assignment := range server.assigned {
		elapsed := now.Sub(assignment.at)
		// A request that is overdue goes on for longer the longer it has run, so that a server that no longer responds gets no more.
		sum += max(assignment.expected-elapsed, time.Duration(overdueFraction*float64(elapsed-assignment.expected)), expected/10)
	}
	sum += time.Duration(reportedFraction*float64(expected)) * time.Duration(server.inUse(now)-len(server.assigned))
	return sum / time.Duration(max(1, server.declared.Slots))
}

// learn updates the server's speed from the duration of a request relative to the usual one.
func (server *server) learn(relative float64) {
	server.speed += speedWeight * (min(max(relative, minSpeed), maxSpeed) - server.speed)
}

func (server *server) decay(now time.Time) {
	elapsed := now.Sub(server.decayedAt)
	if elapsed <= 0 {
		return
	}
	factor := math.Exp(-elapsed.Seconds() / errorDecayTime.Seconds())
	server.responses, server.errors, server.decayedAt = server.responses*factor, server.errors*factor, now
}

// record updates the server's health from the outcome of a request that was assigned at a time.
func (server *server) record(now, assignedAt time.Time, outcome Outcome, baseline float64) {
	// Requests that were assigned before a pause are no new evidence.
	before := assignedAt.Before(server.pausedUntil)
	switch outcome {
	case OutcomeOK:
		server.decay(now)
		server.responses++
		if before {
			return
		}
		server.rejections, server.failures = 0, 0
		if server.allowed *= 2; server.allowed >= server.declared.Slots {
			server.allowed, server.failedTrials = 0, 0
		}
	case OutcomeRejected:
		if !before {
			server.pause(now, rejectedPause, maxRejectedPause, server.rejections)
			server.rejections++
		}
	case OutcomeUnreachable:
		if !before {
			server.pause(now, unreachablePause, maxUnreachablePause, server.failures)
			server.failures++
		}
	case OutcomeFailed:
		if before {
			return
		}
		server.decay(now)
		server.responses++
		server.errors++
		required := float64(minResponses)
		if server.failedTrials > 0 {
			required = minTrialResponses
		}
		if server.responses >= required && server.errors/server.responses >= baseline+maxExcessErrorRate {
			server.pause(now, failedPause, maxFailedPause, server.failedTrials)
			server.failedTrials++
			// Only responses after the pause count for the next decision.
			server.responses, server.errors = 0, 0
		}
	case OutcomeUnused:
	}
}

func (server *server) pause(now time.Time, first, longest time.Duration, times int) {
	server.pausedUntil, server.allowed = now.Add(min(first<<min(times, 8), longest)), 1
}
