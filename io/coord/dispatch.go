package coord

import (
	"context"
	"maps"
	"strconv"
	"sync"
	"time"

	"lentilproxy/core/admit"
	"lentilproxy/core/sched"
	"lentilproxy/core/spec"
	"lentilproxy/core/value"
	"lentilproxy/io/clock"

	"github.com/uber-go/tally/v4"
)

const (
	// dispatcherTimeout is the shortest time for which a dispatcher may be silent while a host waits for it, and
	// longestDispatcherTimeout the longest. Between these, it is learned from the dispatcher's responses.
	dispatcherTimeout        = 100 * time.Millisecond
	longestDispatcherTimeout = 300 * time.Millisecond
	// dispatcherProbeFraction is the fraction of this time after which a host that waits for a silent dispatcher asks whether it still
	// responds, and dispatcherCheckInterval how often that is checked.
	dispatcherProbeFraction = 0.4
	dispatcherCheckInterval = 20 * time.Millisecond
	// dispatcherAvoidance is how long a host does not ask a dispatcher that has not responded.
	dispatcherAvoidance = 2 * time.Second
	// dispatchHostFactor is the number of hosts for each slot of a server above which hosts do not choose servers by themselves. With
	// fewer hosts, the load data that they exchange is fresh enough.
	dispatchHostFactor = 2
	// usageSeedInterval is the least time between two uses of the hosts' gossip messages by a dispatcher.
	usageSeedInterval = 200 * time.Millisecond
	// dispatchReportInterval is the time between two updates of the gauges.
	dispatchReportInterval = time.Second
	// maxGaugePriority is the priority from which on waiting requests share a gauge.
	maxGaugePriority = 9
	// maxTakeAttempts bounds the attempts to get a server that this host knows.
	maxTakeAttempts = 2
)

// takeParams asks the dispatcher of a service for a server. All times are in milliseconds from now.
type takeParams struct {
	Service    string   `json:"service"`
	Host       string   `json:"host"`
	ID         int64    `json:"id"`
	Workspace  string   `json:"workspace,omitempty"`
	Digest     string   `json:"digest,omitempty"`
	Class      string   `json:"class,omitempty"`
	Priority   int      `json:"priority,omitempty"`
	DueMS      int64    `json:"due_ms"`
	DeadlineMS int64    `json:"deadline_ms"`
	Avoid      []string `json:"avoid,omitempty"`
	// HostLimit is the number of requests that the host may send to one server at a time; 0 means no limit.
	HostLimit int `json:"host_limit,omitempty"`
	// Ended are requests that have ended, as in doneParams.
	Ended []endParams `json:"ended,omitempty"`
	// Others are the host's requests by server that this dispatcher has not assigned.
	Others map[string]int `json:"others,omitempty"`
}

// takeResult is a dispatcher's response. Server is empty if the request is refused.
type takeResult struct {
	Server        string       `json:"server,omitempty"`
	StartedMillis int64        `json:"born,omitempty"`
	Reason        admit.Reason `json:"reason,omitempty"`
	RetryAfterMS  int64        `json:"retry_after_ms,omitempty"`
	Ahead         int          `json:"ahead,omitempty"`
	WaitedMS      int64        `json:"waited_ms,omitempty"`
	StateAgeMS    int64        `json:"state_age_ms,omitempty"`
}

// endParams reports how a request has ended, or that its host no longer waits.
type endParams struct {
	ID      int64         `json:"id"`
	Outcome admit.Outcome `json:"outcome"`
	// ServedMS is the time from the sending of the request to the end of its response.
	ServedMS int64 `json:"served_ms,omitempty"`
}

// doneParams reports ended requests. Without any, it only asks whether the dispatcher responds.
type doneParams struct {
	Service string         `json:"service"`
	Host    string         `json:"host"`
	Ended   []endParams    `json:"ended,omitempty"`
	Others  map[string]int `json:"others,omitempty"`
}

// dispatchers holds the queues of the services for which this host is the dispatcher, and what the host knows of the others.
//
// The dispatcher of a service is the first host by rendezvous hashing, so no agreement is needed. If hosts differ in their views for a
// while, two dispatchers assign the same slots, and servers reject the excess.
type dispatchers struct {
	coordinator *Coordinator
	// reports returns what gossip messages say about the requests on servers.
	reports func(now time.Time, servers []string) map[string]sched.Report
	wake    chan struct{}

	mutex sync.Mutex
	rank  *hostRank
	// services maps plain services to their servers that may get requests.
	services map[string][]admit.Server
	queues   map[string]*dispatchQueue
	links    map[string]*dispatcherLink
	outboxes map[outboxKey]*outbox
	// running counts this host's requests by service, and then by dispatcher and server. The dispatcher is empty for requests that
	// this host has sent without one.
	running map[string]map[runningKey]int
	// told holds the dispatchers that count requests of this host which they have not assigned. They have to learn of the ends.
	told value.Set[outboxKey]
	// replies maps dispatchers to the times that their responses take.
	replies *replyTimes
	lastID  int64
	waits   tally.Histogram
}

type runningKey struct {
	dispatcher string
	server     string
}

// dispatchQueue is the queue of a service, and the requests that wait for its decisions.
type dispatchQueue struct {
	queue   *admit.Queue
	decided map[admit.Ticket]chan admit.Decision
	// heardAt is when each host last sent a message, and seededAt when gossip messages were last used.
	heardAt  map[string]time.Time
	seededAt time.Time
	// reported is the usage of slots as of the last report.
	reported admit.Usage
}

// dispatcherLink is the contact to a dispatcher that requests of this host wait for.
type dispatcherLink struct {
	pending int
	watched bool
	heardAt time.Time
	// extended is set once the dispatcher got more time, since it was last heard, because this host had no processor time.
	extended bool
	// lost is closed when the dispatcher has not responded in time.
	lost chan struct{}
}

type outboxKey struct {
	dispatcher string
	address    string
	service    string
}

// outbox holds the ends of requests that have not been reported to a dispatcher. It is sent as long as due is set.
type outbox struct {
	ended []endParams
	due   bool
}

func newDispatchers(coordinator *Coordinator, reports func(now time.Time, servers []string) map[string]sched.Report) *dispatchers {
	return &dispatchers{
		coordinator: coordinator, reports: reports, wake: make(chan struct{}, 1), rank: newHostRank(), services: map[string][]admit.Server{},
		queues: map[string]*dispatchQueue{}, links: map[string]*dispatcherLink{}, outboxes: map[outboxKey]*outbox{},
		running: map[string]map[runningKey]int{}, told: value.Set[outboxKey]{}, replies: newReplyTimes(dispatcherTimeout, longestDispatcherTimeout),
		// A ticket of an earlier start of this host must not be taken for a newer one.
		lastID: clock.Now().UnixNano(),
		waits:  coordinator.metrics.Histogram("admission_wait", tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 12)),
	}
}

// updateView applies the servers of a new view.
func (dispatchers *dispatchers) updateView(now time.Time, view *spec.View) {
	services := map[string][]admit.Server{}
	for _, id := range value.Sorted(view.Servers) {
		server := view.Servers[id]
		if service, found := view.Config.Service(server.Service); !found || service.Engine != nil {
			continue
		}
		servers := services[server.Service]
		if !server.Draining && !server.Evacuated {
			servers = append(servers, admit.Server{ID: id, StartedMillis: server.StartedMillis, Slots: server.Slots})
		}
		services[server.Service] = servers
	}
	dispatchers.mutex.Lock()
	defer dispatchers.mutex.Unlock()
	dispatchers.services = services
	for name, queue := range dispatchers.queues {
		queue.queue.SetServers(services[name])
		queue.settle(now)
		if _, found := services[name]; !found && queue.queue.Idle() {
			delete(dispatchers.queues, name)
		}
	}
}

// setHosts replaces the hosts that may be dispatchers, with the processor cores that they state, and drops the requests of others. The
// address of this host is empty.
func (dispatchers *dispatchers) setHosts(now time.Time, hosts map[string]string, processors map[string]float64) {
	dispatchers.mutex.Lock()
	defer dispatchers.mutex.Unlock()
	dispatchers.rank.setHosts(hosts)
	dispatchers.rank.setProcessors(processors)
	maps.DeleteFunc(dispatchers.told, func(key outboxKey, _ struct{}) bool { return hosts[key.dispatcher] != key.address })
	names := value.Set[string]{}
	for name := range hosts {
		names.Add(name)
	}
	dispatchers.replies.retain(names)
	for _, queue := range dispatchers.queues {
		queue.queue.RetainHosts(names)
		for ticket, decided := range queue.decided {
			if !names.Has(ticket.Host) {
				close(decided)
				delete(queue.decided, ticket)
			}
		}
		for host := range queue.heardAt {
			if !names.Has(host) {
				delete(queue.heardAt, host)
			}
		}
		queue.settle(now)
	}
}

// settle delivers the decisions that can be made now.
func (dispatchQueue *dispatchQueue) settle(now time.Time) {
	for _, decision := range dispatchQueue.queue.Next(now) {
		if decided, found := dispatchQueue.decided[decision.Ticket]; found {
			decided <- decision
			delete(dispatchQueue.decided, decision.Ticket)
		}
	}
}

// run makes the decisions that are due to the time alone, until the coordinator ends.
func (dispatchers *dispatchers) run() {
	reportedAt := clock.Now()
	for {
		now := clock.Now()
		next := dispatchers.settleAll(now, now.Sub(reportedAt) >= dispatchReportInterval)
		if now.Sub(reportedAt) >= dispatchReportInterval {
			reportedAt = now
		}
		timer := time.NewTimer(min(next, dispatchReportInterval))
		select {
		case <-timer.C:
		case <-dispatchers.wake:
		case <-dispatchers.coordinator.ctx.Done():
			timer.Stop()
			return
		}
		timer.Stop()
	}
}

// settleAll makes the decisions of all queues, and returns the time until the next one.
func (dispatchers *dispatchers) settleAll(now time.Time, report bool) time.Duration {
	dispatchers.mutex.Lock()
	defer dispatchers.mutex.Unlock()
	next := dispatchReportInterval
	waiting := map[int]int{}
	for name, queue := range dispatchers.queues {
		queue.settle(now)
		if at, found := queue.queue.NextEvent(now); found {
			next = min(next, max(time.Millisecond, at.Sub(now)))
		}
		addByPriority(waiting, queue.queue.Waiting())
		if report {
			dispatchers.reportUsage(now, name, queue)
		}
	}
	if report {
		for priority := range maxGaugePriority + 1 {
			dispatchers.coordinator.metrics.Tagged(map[string]string{"priority": strconv.Itoa(priority)}).Gauge("admission_waiting").Update(float64(waiting[priority]))
		}
	}
	return next
}

// reportUsage logs how the slots of a service were used since the last report, if any were. The mutex must be held.
func (dispatchers *dispatchers) reportUsage(now time.Time, service string, queue *dispatchQueue) {
	usage := queue.queue.Usage()
	ended := usage.Ended - queue.reported.Ended
	if ended == 0 {
		return
	}
	declared, assigned, reported := queue.queue.Slots(now)
	for state, count := range map[string]int{"declared": declared, "assigned": assigned, "reported": reported} {
		dispatchers.coordinator.metrics.Tagged(map[string]string{"service": service, "state": state}).Gauge("admission_slots").Update(float64(count))
	}
	waiting := 0
	for _, count := range queue.queue.Waiting() {
		waiting += count
	}
	dispatchers.coordinator.log.Info("slots of a service", "service", service, "slots", declared, "assigned", assigned, "reported", reported,
		"waiting", waiting, "ended", ended, "assigned_ms", (usage.Assigned-queue.reported.Assigned).Milliseconds()/int64(ended),
		"served_ms", (usage.Served-queue.reported.Served).Milliseconds()/int64(ended))
	queue.reported = usage
}

// queueFor returns the queue of a service, and applies what gossip messages say about hosts that have sent nothing for a while. The
// mutex must be held.
func (dispatchers *dispatchers) queueFor(now time.Time, service string, reports map[string]sched.Report) *dispatchQueue {
	queue := dispatchers.queues[service]
	if queue == nil {
		queue = &dispatchQueue{queue: admit.New(now), decided: map[admit.Ticket]chan admit.Decision{}, heardAt: map[string]time.Time{}}
		queue.queue.SetServers(dispatchers.services[service])
		dispatchers.queues[service] = queue
	}
	for host, report := range reports {
		if now.Sub(queue.heardAt[host]) >= admit.UsageLifetime {
			queue.queue.SetTotalUsage(report.At, host, report.Running)
		}
	}
	if reports != nil {
		queue.seededAt = now
	}
	return queue
}

// gossipReports returns what gossip messages say about the servers of a service, or nil if they were used recently.
func (dispatchers *dispatchers) gossipReports(now time.Time, service string) map[string]sched.Report {
	dispatchers.mutex.Lock()
	queue := dispatchers.queues[service]
	due := queue == nil || now.Sub(queue.seededAt) >= usageSeedInterval
	ids := make([]string, 0, len(dispatchers.services[service]))
	for _, server := range dispatchers.services[service] {
		ids = append(ids, server.ID)
	}
	dispatchers.mutex.Unlock()
	if !due {
		return nil
	}
	return dispatchers.reports(now, ids)
}

// apply applies what a message of a host says about its requests.
func (dispatchQueue *dispatchQueue) apply(now time.Time, host string, ended []endParams, others map[string]int) {
	dispatchQueue.heardAt[host] = now
	for _, end := range ended {
		ticket := admit.Ticket{Host: host, ID: end.ID}
		dispatchQueue.queue.End(now, ticket, end.Outcome, time.Duration(end.ServedMS)*time.Millisecond)
		if decided, found := dispatchQueue.decided[ticket]; found {
			close(decided)
			delete(dispatchQueue.decided, ticket)
		}
	}
	dispatchQueue.queue.SetUsage(now, host, others)
}

// handleTake returns once the request has got a server or is refused.
func (dispatchers *dispatchers) handleTake(ctx context.Context, params takeParams) takeResult {
	now := clock.Now()
	reports := dispatchers.gossipReports(now, params.Service)
	dispatchers.mutex.Lock()
	queue := dispatchers.queueFor(now, params.Service, reports)
	queue.apply(now, params.Host, params.Ended, params.Others)
	ticket := admit.Ticket{Host: params.Host, ID: params.ID}
	refusal, refused := queue.queue.Add(now, admit.Request{
		Ticket: ticket, Workspace: params.Workspace, Digest: params.Digest, Class: params.Class, Priority: params.Priority,
		Due: now.Add(time.Duration(params.DueMS) * time.Millisecond), Deadline: now.Add(time.Duration(params.DeadlineMS) * time.Millisecond),
		Avoid: value.NewSet(params.Avoid...), HostLimit: params.HostLimit,
	})
	decided := make(chan admit.Decision, 1)
	if !refused {
		queue.decided[ticket] = decided
	}
	queue.settle(now)
	_, waits := queue.decided[ticket]
	dispatchers.mutex.Unlock()
	if refused {
		return resultOf(refusal)
	}
	if waits {
		select {
		case dispatchers.wake <- struct{}{}:
		default:
		}
	}
	select {
	case decision, found := <-decided:
		if found {
			return resultOf(decision)
		}
	case <-ctx.Done():
		dispatchers.handleDone(doneParams{Service: params.Service, Host: params.Host, Ended: []endParams{{ID: params.ID, Outcome: admit.OutcomeUnused}}, Others: params.Others})
	case <-dispatchers.coordinator.ctx.Done():
	}
	return takeResult{Reason: admit.ReasonNoServer}
}

func resultOf(decision admit.Decision) takeResult {
	return takeResult{
		Server: decision.Server.ID, StartedMillis: decision.Server.StartedMillis, Reason: decision.Reason,
		RetryAfterMS: decision.RetryAfter.Milliseconds(), Ahead: decision.Ahead, WaitedMS: decision.Waited.Milliseconds(),
		StateAgeMS: decision.StateAge.Milliseconds(),
	}
}

// handleDone records the ends of requests.
func (dispatchers *dispatchers) handleDone(params doneParams) bool {
	now := clock.Now()
	dispatchers.mutex.Lock()
	defer dispatchers.mutex.Unlock()
	queue := dispatchers.queues[params.Service]
	if _, declared := dispatchers.services[params.Service]; queue == nil && declared {
		// The end of the first request may arrive before the request.
		queue = dispatchers.queueFor(now, params.Service, nil)
	}
	if queue != nil {
		queue.apply(now, params.Host, params.Ended, params.Others)
		queue.settle(now)
	}
	return true
}
