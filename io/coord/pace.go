package coord

import (
	"context"
	"errors"
	"sync"
	"time"

	"lentilproxy/core/order"
	"lentilproxy/core/pace"
	"lentilproxy/core/sched"
	"lentilproxy/core/spec"
	"lentilproxy/core/value"
	"lentilproxy/io/clock"
)

const (
	// paceCallMargin is how much longer at least a host waits for a pacer than the pacer may hold a request back, and
	// longestPaceCallMargin how much longer at most. Between these, it is learned from the pacer's responses.
	paceCallMargin        = 100 * time.Millisecond
	longestPaceCallMargin = 300 * time.Millisecond
	// pacerAvoidance is how long a host does not use the pacers of a host that has not responded.
	pacerAvoidance = 2 * time.Second
	// pauseReportInterval is the least time between two reports of pauses on one server.
	pauseReportInterval = 250 * time.Millisecond
	// minReportedFraction is the fraction of the gap objective from which on a pause is reported.
	minReportedFraction = 0.75
)

// paceParams asks the pacer of a server when a prompt may be sent. All times are in milliseconds.
type paceParams struct {
	Server        string `json:"server"`
	StartedMillis int64  `json:"born"`
	Tokens        int64  `json:"tokens"`
	// MaxWaitMS is how long the request may be held back, and DueMS the time until it should have its first event.
	MaxWaitMS int64 `json:"max_wait_ms"`
	DueMS     int64 `json:"due_ms"`
	// ObjectiveMS is the objective for the pauses between events of streams on the server.
	ObjectiveMS int64 `json:"objective_ms"`
	// Adapter is the adapter that the request uses, MinVersion its lowest version that may serve the request, Memory the cache memory
	// in tokens that the request may use, and LeftMS the time until it ends at the latest.
	Adapter    string `json:"adapter,omitempty"`
	MinVersion int64  `json:"min_version,omitempty"`
	Memory     int64  `json:"memory,omitempty"`
	LeftMS     int64  `json:"left_ms,omitempty"`
	// Priority is that of the request, 0 for the most urgent ones. It is absent without grants, and in calls of hosts that do not state it.
	Priority  *int   `json:"priority,omitempty"`
	Workspace string `json:"workspace,omitempty"`
}

type paceResult struct {
	Ticket int64 `json:"ticket"`
	// Ahead is the number of requests that were ahead when the request arrived. Forced reports that it could not wait any longer.
	// WaitedMS is how long it was held back.
	Ahead    int   `json:"ahead,omitempty"`
	Forced   bool  `json:"forced,omitempty"`
	WaitedMS int64 `json:"waited_ms,omitempty"`
	// Granted reports whether the server's lease holder has granted the use of the adapter until the end of the request is
	// reported. Missing reports that it is not loaded, so that the request must not be sent.
	Granted bool `json:"granted,omitempty"`
	Missing bool `json:"missing,omitempty"`
	// Usage is the load of the server by all requests with a grant.
	Usage *sched.Usage `json:"usage,omitempty"`
}

// grantEndParams reports that the request of a ticket has ended.
type grantEndParams struct {
	Server        string `json:"server"`
	StartedMillis int64  `json:"born"`
	Ticket        int64  `json:"ticket"`
}

// readParams reports that the prompt of a ticket has been read, or will not be.
type readParams struct {
	Server        string `json:"server"`
	StartedMillis int64  `json:"born"`
	Ticket        int64  `json:"ticket"`
}

// pauseParams reports a pause between two events of a stream on a server.
type pauseParams struct {
	Server        string `json:"server"`
	StartedMillis int64  `json:"born"`
	PauseMS       int64  `json:"pause_ms"`
}

// pacers holds the pacers of the servers for which this host is responsible, and the hosts to ask for the others.
//
// The host that paces a server is the first one by rendezvous hashing, so no agreement is needed. If hosts differ in
// their views for a while, more prompts are sent at once than the bound allows, and nothing else happens.
type pacers struct {
	mutex      sync.Mutex
	servers    map[spec.Incarnation]*serverPacer
	lastTicket int64
	// rank holds the hosts that may pace servers.
	rank *hostRank
	// reportedAt is when a pause on each server was last reported.
	reportedAt map[string]time.Time
	// replies are the times that the responses of pacers take, by address.
	replies *replyTimes
	// uses holds the grants for the servers whose lease holder this host is.
	uses *uses
}

type serverPacer struct {
	pacer *pace.Pacer
	// granted maps tickets of waiting requests to channels that are closed when they may be sent.
	granted map[int64]chan struct{}
}

func newPacers() *pacers {
	return &pacers{
		servers: map[spec.Incarnation]*serverPacer{}, rank: newHostRank(), reportedAt: map[string]time.Time{}, uses: newUses(),
		replies: newReplyTimes(paceCallMargin, longestPaceCallMargin),
	}
}

// setHosts replaces the hosts that may pace servers.
func (pacers *pacers) setHosts(hosts map[string]string) {
	pacers.mutex.Lock()
	defer pacers.mutex.Unlock()
	pacers.rank.setHosts(hosts)
	addresses := value.Set[string]{}
	for _, address := range hosts {
		addresses.Add(address)
	}
	pacers.replies.retain(addresses)
}

// callMargin returns how much longer to wait for the pacer at an address than it may hold a request back.
func (pacers *pacers) callMargin(address string) time.Duration {
	pacers.mutex.Lock()
	defer pacers.mutex.Unlock()
	return pacers.replies.timeout(address)
}

// recordReply records the time that a response of the pacer at an address took, or for how long there was none.
func (pacers *pacers) recordReply(address string, took time.Duration) {
	pacers.mutex.Lock()
	defer pacers.mutex.Unlock()
	pacers.replies.record(address, took)
}

// retain drops the state of servers that are not registered.
func (pacers *pacers) retain(servers map[string]spec.Server) {
	pacers.mutex.Lock()
	defer pacers.mutex.Unlock()
	for incarnation, server := range pacers.servers {
		if known, found := servers[incarnation.ID]; (!found || known.Incarnation() != incarnation) && server.pacer.Idle() {
			delete(pacers.servers, incarnation)
		}
	}
	for name := range pacers.reportedAt {
		if _, found := servers[name]; !found {
			delete(pacers.reportedAt, name)
		}
	}
}

// waiting returns the number of prompts that wait at this host, by priority.
func (pacers *pacers) waiting() map[int]int {
	pacers.mutex.Lock()
	defer pacers.mutex.Unlock()
	counts := map[int]int{}
	for _, server := range pacers.servers {
		addByPriority(counts, server.pacer.Counts())
	}
	return counts
}

// hostFor returns the host that paces a server, and its address. The address is empty for this host, and found is false
// if there is no host to ask.
func (pacers *pacers) hostFor(now time.Time, server string) (name, address string, found bool) {
	pacers.mutex.Lock()
	defer pacers.mutex.Unlock()
	return pacers.rank.hostFor(now, server)
}

// avoided reports whether a host is not asked for a while.
func (pacers *pacers) avoided(now time.Time, host string) bool {
	pacers.mutex.Lock()
	defer pacers.mutex.Unlock()
	return pacers.rank.avoided(now, host)
}

// avoid stops asking a host for a while.
func (pacers *pacers) avoid(now time.Time, host string) {
	pacers.mutex.Lock()
	defer pacers.mutex.Unlock()
	pacers.rank.avoid(host, now.Add(pacerAvoidance))
}

// handlePace handles a request to send a prompt. It returns once the prompt may be sent, or can no longer wait.
func (pacers *pacers) handlePace(ctx context.Context, params paceParams) paceResult {
	now := clock.Now()
	incarnation := spec.Incarnation{ID: params.Server, StartedMillis: params.StartedMillis}
	use := pacers.uses.take(now, incarnation, pacers.nextTicket(), params)
	if use.missing {
		return paceResult{Missing: true}
	}
	ticket := use.ticket
	ahead, granted := pacers.add(now, ticket, params)
	forced := false
	result := func() paceResult {
		result := paceResult{Ticket: ticket, Ahead: ahead, Forced: forced, WaitedMS: clock.Now().Sub(now).Milliseconds()}
		if use.granted {
			usage := pacers.usageOf(incarnation)
			result.Granted, result.Usage = true, &usage
		}
		return result
	}
	if granted == nil {
		return result()
	}
	timer := time.NewTimer(time.Duration(params.MaxWaitMS) * time.Millisecond)
	defer timer.Stop()
	select {
	case <-granted:
	case <-timer.C:
	case <-ctx.Done():
	}
	pacers.update(params.Server, params.StartedMillis, func(now time.Time, server *serverPacer) {
		forced = server.pacer.Force(now, ticket)
		delete(server.granted, ticket)
	})
	return result()
}

func (pacers *pacers) nextTicket() int64 {
	pacers.mutex.Lock()
	defer pacers.mutex.Unlock()
	pacers.lastTicket++
	return pacers.lastTicket
}

// usageOf returns the load of a server by all requests with a grant.
func (pacers *pacers) usageOf(incarnation spec.Incarnation) sched.Usage {
	usage := pacers.uses.load(incarnation)
	pacers.mutex.Lock()
	defer pacers.mutex.Unlock()
	if server := pacers.servers[incarnation]; server != nil {
		usage.Backlog = server.pacer.Unread() + server.pacer.Waiting()
	}
	return usage
}

// add adds a request to a pacer. It returns the number of requests that are ahead, and a channel that is nil if the prompt may be sent at
// once.
func (pacers *pacers) add(now time.Time, ticket int64, params paceParams) (ahead int, waits <-chan struct{}) {
	incarnation := spec.Incarnation{ID: params.Server, StartedMillis: params.StartedMillis}
	grants := pacers.uses.issued(incarnation)
	pacers.mutex.Lock()
	defer pacers.mutex.Unlock()
	server := pacers.servers[incarnation]
	if server == nil {
		server = &serverPacer{pacer: pace.New(now, time.Duration(params.ObjectiveMS)*time.Millisecond), granted: map[int64]chan struct{}{}}
		pacers.servers[incarnation] = server
	}
	granted := make(chan struct{})
	server.granted[ticket] = granted
	server.pacer.SetFullOrder(grants)
	ahead = server.pacer.Add(now, requestOf(now, ticket, params))
	server.dispatch(now)
	if _, waits := server.granted[ticket]; !waits {
		return ahead, nil
	}
	return ahead, granted
}

// requestOf returns the request of a call. Those of hosts that do not state a priority are the least urgent ones.
func requestOf(now time.Time, ticket int64, params paceParams) pace.Request {
	request := pace.Request{
		ID: ticket, Tokens: params.Tokens, Due: now.Add(time.Duration(params.DueMS) * time.Millisecond), Priority: order.LeastUrgent,
		Workspace: params.Workspace,
	}
	if params.Priority != nil {
		request.Priority = *params.Priority
	}
	return request
}

// dispatch grants the requests that may be sent now.
func (server *serverPacer) dispatch(now time.Time) {
	for _, ticket := range server.pacer.Next(now) {
		if granted, found := server.granted[ticket]; found {
			close(granted)
			delete(server.granted, ticket)
		}
	}
}

// update changes the state of a server's pacer, if there is one, and grants the requests that may then be sent.
func (pacers *pacers) update(id string, startedMillis int64, change func(now time.Time, server *serverPacer)) {
	pacers.mutex.Lock()
	defer pacers.mutex.Unlock()
	server := pacers.servers[spec.Incarnation{ID: id, StartedMillis: startedMillis}]
	if server == nil {
		return
	}
	now := clock.Now()
	change(now, server)
	server.dispatch(now)
}

func (pacers *pacers) handleRead(params readParams) bool {
	pacers.update(params.Server, params.StartedMillis, func(_ time.Time, server *serverPacer) { server.pacer.Release(params.Ticket) })
	return true
}

// handleEnd ends a request's grant. Its prompt counts as read.
func (pacers *pacers) handleEnd(params grantEndParams) bool {
	pacers.uses.end(spec.Incarnation{ID: params.Server, StartedMillis: params.StartedMillis}, params.Ticket)
	pacers.update(params.Server, params.StartedMillis, func(_ time.Time, server *serverPacer) { server.pacer.Release(params.Ticket) })
	return true
}

func (pacers *pacers) handlePause(params pauseParams) bool {
	pacers.update(params.Server, params.StartedMillis, func(now time.Time, server *serverPacer) {
		server.pacer.RecordPause(now, time.Duration(params.PauseMS)*time.Millisecond)
	})
	return true
}

// reportDue reports whether a pause on a server should be reported now, and records it.
func (pacers *pacers) reportDue(now time.Time, server string) bool {
	pacers.mutex.Lock()
	defer pacers.mutex.Unlock()
	if now.Sub(pacers.reportedAt[server]) < pauseReportInterval {
		return false
	}
	pacers.reportedAt[server] = now
	return true
}

// Prompt is a prompt that may be sent to a server.
type Prompt struct {
	coordinator *Coordinator
	server      spec.Server
	address     string
	ticket      int64
	granted     bool
	missing     bool
	ahead       int
	forced      bool
	once        sync.Once
	doneOnce    sync.Once
}

// PromptRequest describes a request that wants to send its prompt to a server.
type PromptRequest struct {
	Tokens       int64
	OutputTokens int64
	// MaxWait bounds how long the prompt may be held back, and Due is the time until the request should have its first event.
	MaxWait time.Duration
	Due     time.Duration
	// GapObjective is the objective for the pauses between events of streams on the server.
	GapObjective time.Duration
	// Adapter is the adapter that the request uses, and MinVersion its lowest version that may serve the request.
	Adapter    string
	MinVersion int64
	// Left is the time until the request ends at the latest.
	Left      time.Duration
	Priority  int
	Workspace string
}

// pacerOf returns the host to ask before a request is sent to a server, and its address, which is empty for this host. With many
// hosts this is the server's lease holder, which then knows at any time which adapters are in use.
func (coordinator *Coordinator) pacerOf(now time.Time, server string) (host, address string, found bool) {
	traffic := coordinator.traffic
	if traffic.grantsInUse() {
		if name, address, known := traffic.holderHost(server); known && !traffic.pacers.avoided(now, name) {
			return name, address, true
		}
	}
	return traffic.pacers.hostFor(now, server)
}

// Pace waits until a prompt may be sent to a server. The prompt has to be ended with Done; it may be nil.
func (coordinator *Coordinator) Pace(ctx context.Context, server spec.Server, request PromptRequest) *Prompt {
	pacers := coordinator.traffic.pacers
	host, address, found := coordinator.pacerOf(clock.Now(), server.ID)
	if !found {
		return nil
	}
	params := paceParams{
		Server: server.ID, StartedMillis: server.StartedMillis, Tokens: request.Tokens, MaxWaitMS: max(0, request.MaxWait.Milliseconds()),
		DueMS: request.Due.Milliseconds(), ObjectiveMS: request.GapObjective.Milliseconds(),
	}
	if coordinator.traffic.grantsInUse() {
		params.Adapter, params.MinVersion, params.LeftMS = request.Adapter, request.MinVersion, request.Left.Milliseconds()
		params.Memory = request.Tokens + request.OutputTokens
		params.Priority, params.Workspace = &request.Priority, request.Workspace
	}
	prompt := &Prompt{coordinator: coordinator, server: server, address: address}
	if address == "" {
		prompt.apply(pacers.handlePace(ctx, params))
		return prompt
	}
	granted := make(chan error, 1)
	go func() {
		// The caller's context must not end the call, since the peer's connection is closed if a call times out.
		margin := pacers.callMargin(address)
		callCtx, cancel := context.WithTimeout(coordinator.ctx, request.MaxWait+margin)
		defer cancel()
		calledAt := clock.Now()
		var result paceResult
		err := coordinator.peers.Call(callCtx, address, methodPace, params, &result)
		switch {
		case errors.Is(callCtx.Err(), context.DeadlineExceeded):
			pacers.recordReply(address, margin)
		case err == nil:
			pacers.recordReply(address, clock.Now().Sub(calledAt)-time.Duration(result.WaitedMS)*time.Millisecond)
		}
		prompt.apply(result)
		granted <- err
	}()
	select {
	case err := <-granted:
		if err != nil {
			coordinator.metrics.Counter("pacers_unreachable").Inc(1)
			pacers.avoid(clock.Now(), host)
			coordinator.log.Info("pacer does not respond", "pacer", host, "server", server.ID, "error", err.Error())
			return nil
		}
		return prompt
	case <-ctx.Done():
		go func() {
			if <-granted == nil {
				prompt.Done()
			}
		}()
		return nil
	}
}

// apply applies the response of the pacer.
func (prompt *Prompt) apply(result paceResult) {
	prompt.ticket, prompt.granted, prompt.missing = result.Ticket, result.Granted, result.Missing
	prompt.ahead, prompt.forced = result.Ahead, result.Forced
	if result.Usage != nil && prompt.address != "" {
		prompt.coordinator.traffic.setServerUsage(clock.Now(), prompt.server.ID, *result.Usage)
	}
}

// Granted reports whether the server's lease holder knows of the request until its end.
func (prompt *Prompt) Granted() bool { return prompt != nil && prompt.granted }

// Missing reports that the server does not have the request's adapter, so that the request must not be sent.
func (prompt *Prompt) Missing() bool { return prompt != nil && prompt.missing }

// Wait returns the number of requests that were ahead of this one at the pacer, and whether it was sent since it could not wait any longer.
func (prompt *Prompt) Wait() (ahead int, forced bool) {
	if prompt == nil {
		return 0, false
	}
	return prompt.ahead, prompt.forced
}

// End records that the prompt has been read or will not be. Only the first call counts.
func (prompt *Prompt) End() {
	if prompt == nil || prompt.missing {
		return
	}
	prompt.once.Do(func() {
		params := readParams{Server: prompt.server.ID, StartedMillis: prompt.server.StartedMillis, Ticket: prompt.ticket}
		prompt.coordinator.tellPacer(prompt.address, methodRead, params, func(pacers *pacers) { pacers.handleRead(params) })
	})
}

// Done records that the request has ended. Only the first call counts.
func (prompt *Prompt) Done() {
	if !prompt.Granted() {
		prompt.End()
		return
	}
	prompt.doneOnce.Do(func() {
		params := grantEndParams{Server: prompt.server.ID, StartedMillis: prompt.server.StartedMillis, Ticket: prompt.ticket}
		prompt.coordinator.tellPacer(prompt.address, methodGrantEnd, params, func(pacers *pacers) { pacers.handleEnd(params) })
	})
}

// tellPacer calls a method of a host that paces a server, or the local handler if the address is empty, without waiting.
func (coordinator *Coordinator) tellPacer(address, method string, params any, local func(pacers *pacers)) {
	if address == "" {
		local(coordinator.traffic.pacers)
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(coordinator.ctx, callTimeout)
		defer cancel()
		calledAt := clock.Now()
		if err := coordinator.peers.Call(ctx, address, method, params, nil); err != nil {
			coordinator.metrics.Counter("pacers_unreachable").Inc(1)
			return
		}
		coordinator.traffic.pacers.recordReply(address, clock.Now().Sub(calledAt))
	}()
}

// RecordPause records a pause between two events of a stream on a server.
func (coordinator *Coordinator) RecordPause(now time.Time, server spec.Server, pause, objective time.Duration) {
	if float64(pause) < minReportedFraction*float64(objective) || !coordinator.traffic.pacers.reportDue(now, server.ID) {
		return
	}
	_, address, found := coordinator.pacerOf(now, server.ID)
	if !found {
		return
	}
	params := pauseParams{Server: server.ID, StartedMillis: server.StartedMillis, PauseMS: pause.Milliseconds()}
	coordinator.tellPacer(address, methodPause, params, func(pacers *pacers) { pacers.handlePause(params) })
}
