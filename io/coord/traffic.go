package coord

import (
	"context"
	"maps"
	"sync"
	"time"

	"lentilproxy/core/guard"
	"lentilproxy/core/lease"
	"lentilproxy/core/limit"
	"lentilproxy/core/retry"
	"lentilproxy/core/sched"
	"lentilproxy/core/setup"
	"lentilproxy/core/spec"
	"lentilproxy/io/clock"
)

const (
	// borrowWait bounds how long a request waits for tokens of other hosts: a refusal within it is still an early one.
	borrowWait = 60 * time.Millisecond
	// accrueWait is how often a request that waits looks at what the own share has accrued.
	accrueWait = 10 * time.Millisecond
	// borrowInterval bounds how often requests that wait cause an exchange of loans.
	borrowInterval = 20 * time.Millisecond
	// overdraftPart is the part of the tolerated excess over a limit that the hosts use together, each its share, for
	// requests that the loans come too late for. The rest covers hosts that start again and forget what they spent.
	overdraftPart = 0.65
)

// Traffic is the state that requests share. Its critical sections are short and do no input or output.
type Traffic struct {
	coordinator *Coordinator
	control     *control

	mutex   sync.Mutex
	table   *sched.Table
	bank    *limit.Bank
	board   *guard.Board
	budgets map[string]*retry.Budget
	// count is the number of hosts that share limits and budgets, fraction this host's part of limits.
	count    int
	fraction float64
	wants    map[wantKey]*pendingWant
	used     map[string]map[string]float64
	// running counts requests by server and adapter.
	running map[string]map[string]int
	holders map[string]holder
	// addresses are the peers' addresses, in the order of their names.
	addresses map[string]string
	names     []string
	// credited is closed whenever tokens arrive from another host.
	credited   chan struct{}
	borrowedAt time.Time
	limits     map[string]limit.Entitlement
	bounds     setup.Bounds
}

type holder struct {
	address string
	own     bool
}

func newTraffic(coordinator *Coordinator) *Traffic {
	return &Traffic{
		coordinator: coordinator, table: sched.New(coordinator.settings.Host.DataCentre),
		fraction: limit.NewCrowd(coordinator.settings.Host.Name).Fraction(clock.Now()),
		bank:     limit.NewBank(coordinator.settings.Host.Name, limit.WithOpening(clock.Now())),
		board:    guard.NewBoard(), budgets: map[string]*retry.Budget{},
		wants: map[wantKey]*pendingWant{}, used: map[string]map[string]float64{}, running: map[string]map[string]int{}, holders: map[string]holder{},
		addresses: map[string]string{}, credited: make(chan struct{}), limits: map[string]limit.Entitlement{},
		bounds: coordinator.settings.Bounds,
	}
}

// update takes a new view in.
func (traffic *Traffic) update(now time.Time, view *spec.View) {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	traffic.table.Update(view.Servers)
	traffic.configureLimits(now, view)
}

// share takes in the number of hosts that share limits, and this host's part.
func (traffic *Traffic) share(now time.Time, members int, fraction float64) {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	if members == traffic.count && fraction == traffic.fraction {
		return
	}
	traffic.count, traffic.fraction = members, fraction
	traffic.configureLimits(now, traffic.coordinator.View())
}

// configureLimits divides the limits over the hosts. A limit that is new starts full, as nobody has used it.
func (traffic *Traffic) configureLimits(now time.Time, view *spec.View) {
	traffic.bank.SetOverdraft(overdraftPart * traffic.bounds.QuotaAllowance / float64(max(1, traffic.count)))
	limits := map[string]limit.Entitlement{}
	changed := false
	for name, workspace := range view.Config.Workspaces() {
		if workspace.Rate <= 0 {
			continue
		}
		limits[name] = limit.Entitlement{Rate: workspace.Rate, Burst: max(workspace.Burst, 1), Fraction: traffic.fraction}
		changed = changed || limits[name] != traffic.limits[name]
	}
	if !changed && len(limits) == len(traffic.limits) {
		return
	}
	traffic.bank.Configure(now, limits)
	for name := range limits {
		if _, known := traffic.limits[name]; !known {
			traffic.bank.Fill(now, name)
		}
	}
	traffic.limits = limits
}

// Standing returns what the host has of a workspace's limit.
func (traffic *Traffic) Standing(now time.Time, workspace string) limit.Standing {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	return traffic.bank.Standing(now, workspace)
}

// reload takes changed bounds in. Budgets start anew with them.
func (traffic *Traffic) reload(bounds setup.Bounds) {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	if bounds == traffic.bounds {
		return
	}
	traffic.bounds = bounds
	clear(traffic.budgets)
}

func (traffic *Traffic) hostCount() int {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	return max(1, traffic.count)
}

// members takes in who the peers are and which servers they hold.
func (traffic *Traffic) members(_ time.Time, book *lease.Book, peers map[string]*peerState) {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	self := traffic.coordinator.settings.Host.Name
	traffic.names = []string{}
	clear(traffic.addresses)
	for _, host := range book.Hosts() {
		traffic.names = append(traffic.names, host.Name)
		if _, found := peers[host.Name]; found {
			traffic.addresses[host.Name] = host.PeerAddress
		}
	}
	clear(traffic.holders)
	for name := range traffic.coordinator.View().Servers {
		if known, found := book.Holder(name); found {
			traffic.holders[name] = holder{address: known.PeerAddress, own: known.Name == self}
		}
	}
}

func (traffic *Traffic) holderOf(server string) (address string, own bool) {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	known := traffic.holders[server]
	return known.address, known.own
}

func (traffic *Traffic) hold(server string, born int64, held sched.Held) {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	traffic.table.Hold(server, born, held)
	if held.Orderable {
		traffic.holders[server] = holder{own: true}
	}
}

func (traffic *Traffic) unhold(server string) {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	traffic.table.Unhold(server)
	if traffic.holders[server].own {
		delete(traffic.holders, server)
	}
}

// peer takes a peer's digest in.
func (traffic *Traffic) peer(now time.Time, message digest) {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	traffic.table.Peer(now, message.Host, message.Usage)
	for server, update := range message.Held {
		traffic.table.Hold(server, update.Born, update.Held)
		if address, found := traffic.addresses[message.Host]; found {
			traffic.holders[server] = holder{address: address}
		}
	}
}

func (traffic *Traffic) usage() map[string]sched.Usage {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	return traffic.table.Own()
}

// takeUsed returns the requests for adapters since the last call.
func (traffic *Traffic) takeUsed() map[string]map[string]float64 {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	used := traffic.used
	traffic.used = map[string]map[string]float64{}
	return used
}

// runningOn returns the running requests by server and adapter.
func (traffic *Traffic) runningOn() map[string]map[string]int {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	copied := make(map[string]map[string]int, len(traffic.running))
	for server, adapters := range traffic.running {
		copied[server] = maps.Clone(adapters)
	}
	return copied
}

// join returns the wish that requests share, and starts it if there is none.
func (traffic *Traffic) join(key wantKey, begin func(*pendingWant)) *pendingWant {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	pending := traffic.wants[key]
	if pending == nil {
		pending = &pendingWant{done: make(chan struct{})}
		traffic.wants[key] = pending
		begin(pending)
	}
	pending.joined++
	return pending
}

func (traffic *Traffic) leave(key wantKey) {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	delete(traffic.wants, key)
}

// arrived takes in that an adapter can be used on a server, before its holder's next digest.
func (traffic *Traffic) arrived(server spec.Server, adapter string, version int64) {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	traffic.table.Arrived(server.ID, server.Born, adapter, version)
}

// Choose returns the server for a request and counts it there. The run has to be ended.
func (traffic *Traffic) Choose(now time.Time, service spec.Service, view *spec.View, job sched.Job) (sched.Choice, bool) {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	return traffic.table.Choose(now, service, view.Servers, job)
}

// Start counts a request that is about to be sent.
func (traffic *Traffic) Start(now time.Time, server spec.Server, job sched.Job) *sched.Run {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	if job.Ref.Adapter != "" {
		count(traffic.used, server.ID, job.Ref.Adapter, 1)
		count(traffic.running, server.ID, job.Ref.Adapter, 1)
	}
	return traffic.table.Start(now, server, job)
}

// count adds to a counter by server and adapter, and drops counters at zero.
func count[N int | float64](counters map[string]map[string]N, server, adapter string, change N) {
	adapters := counters[server]
	if adapters == nil {
		adapters = map[string]N{}
		counters[server] = adapters
	}
	adapters[adapter] += change
	if adapters[adapter] == 0 {
		delete(adapters, adapter)
	}
	if len(adapters) == 0 {
		delete(counters, server)
	}
}

// First counts the first event of an answer.
func (traffic *Traffic) First(now time.Time, run *sched.Run) {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	traffic.table.First(now, run)
}

// End counts the end of a request.
func (traffic *Traffic) End(run *sched.Run) {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	if run.Adapter() != "" {
		count(traffic.running, run.Server(), run.Adapter(), -1)
	}
	traffic.table.End(run)
}

// Learn changes what is known of servers.
func (traffic *Traffic) Learn(change func(table *sched.Table)) {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	change(traffic.table)
}

// Request counts a request for a service, which earns a part of a retry.
func (traffic *Traffic) Request(now time.Time, service string) {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	traffic.budget(now, service).Request(now, max(1, traffic.count))
}

// Retry says whether a request may be sent to a further server, and takes it from the budget.
func (traffic *Traffic) Retry(now time.Time, service string) bool {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	return traffic.budget(now, service).Take(now, max(1, traffic.count))
}

func (traffic *Traffic) budget(now time.Time, service string) *retry.Budget {
	known := traffic.budgets[service]
	if known == nil {
		known = retry.New(now, traffic.bounds.RetryRatio, traffic.bounds.RetryAllowance, traffic.bounds.RetryWindow, traffic.count)
		traffic.budgets[service] = known
	}
	return known
}

// Charge takes tokens from a workspace's limit, and waits a moment for other hosts' shares if the own is short.
func (traffic *Traffic) Charge(ctx context.Context, workspace string, tokens float64) limit.Outcome {
	deadline := clock.Now().Add(borrowWait)
	first := true
	for {
		now := clock.Now()
		outcome, credited := traffic.spend(now, workspace, tokens, first)
		if outcome != limit.Short || !now.Before(deadline) {
			return outcome
		}
		first = false
		traffic.coordinator.post(func(now time.Time) { traffic.exchange(now) })
		timer := time.NewTimer(accrueWait)
		select {
		case <-credited:
		case <-timer.C:
		case <-ctx.Done():
			return limit.Short
		}
		timer.Stop()
	}
}

func (traffic *Traffic) spend(now time.Time, workspace string, tokens float64, first bool) (limit.Outcome, chan struct{}) {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	if first {
		traffic.bank.Demand(now, workspace, tokens)
	}
	receipt, outcome := traffic.bank.Spend(now, workspace, tokens)
	// The platform counts what a request announces, so nothing is given back.
	traffic.bank.Refund(now, receipt, 0)
	return outcome, traffic.credited
}

// exchange asks peers for shares of limits that run short here, and gives back what is not needed.
func (traffic *Traffic) exchange(now time.Time) {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	if now.Sub(traffic.borrowedAt) < borrowInterval {
		return
	}
	traffic.borrowedAt = now
	byPeer := map[string][]limit.Ask{}
	for _, ask := range traffic.bank.Asks(now, func(string) []string { return traffic.names }) {
		byPeer[ask.Lender] = append(byPeer[ask.Lender], ask)
	}
	for lender, asks := range byPeer {
		if address, found := traffic.addresses[lender]; found {
			go traffic.borrow(address, asks)
		}
	}
	back := map[string][]limit.Return{}
	for _, entry := range traffic.bank.Returns(now) {
		back[entry.Lender] = append(back[entry.Lender], entry)
	}
	for lender, entries := range back {
		if address, found := traffic.addresses[lender]; found {
			go traffic.giveBack(address, entries)
		}
	}
}

func (traffic *Traffic) borrow(address string, asks []limit.Ask) {
	coordinator := traffic.coordinator
	ctx, cancel := context.WithTimeout(coordinator.ctx, peerTimeout)
	defer cancel()
	sentAt := clock.Now()
	var result borrowResult
	params := borrowParams{Host: coordinator.settings.Host.Name, Asks: asks}
	if err := coordinator.peers.Call(ctx, address, methodBorrow, params, &result); err != nil {
		coordinator.metrics.Counter("loans_failed").Inc(1)
		return
	}
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	for _, grant := range result.Grants {
		traffic.bank.Credit(clock.Now(), sentAt, grant)
	}
	close(traffic.credited)
	traffic.credited = make(chan struct{})
}

func (traffic *Traffic) giveBack(address string, entries []limit.Return) {
	coordinator := traffic.coordinator
	ctx, cancel := context.WithTimeout(coordinator.ctx, peerTimeout)
	defer cancel()
	params := returnParams{Host: coordinator.settings.Host.Name, Returns: entries}
	if err := coordinator.peers.Call(ctx, address, methodReturn, params, nil); err != nil {
		// The lender takes the loan back at its end.
		coordinator.metrics.Counter("returns_failed").Inc(1)
	}
}

func (traffic *Traffic) lend(params borrowParams) borrowResult {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	now := clock.Now()
	var result borrowResult
	for _, ask := range params.Asks {
		result.Grants = append(result.Grants, traffic.bank.Lend(now, params.Host, ask))
	}
	return result
}

func (traffic *Traffic) takeBack(params returnParams) bool {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	for _, back := range params.Returns {
		traffic.bank.TakeBack(clock.Now(), params.Host, back)
	}
	return true
}

// Judge says how a request may run that may have crashed servers before.
func (traffic *Traffic) Judge(now time.Time, digest string) guard.Verdict {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	return traffic.board.Judge(now, digest)
}

// Cleared takes in that a request ran to its end.
func (traffic *Traffic) Cleared(digest string) {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	traffic.board.Finished(digest)
}

// Died records that a server died with a request in flight, and tells the peers.
func (traffic *Traffic) Died(death guard.Death) {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	traffic.board.Record(clock.Now(), death)
	for _, address := range traffic.addresses {
		go func() {
			ctx, cancel := context.WithTimeout(traffic.coordinator.ctx, peerTimeout)
			defer cancel()
			if err := traffic.coordinator.peers.Call(ctx, address, methodDeath, deathParams{Death: death}, nil); err != nil {
				traffic.coordinator.metrics.Counter("deaths_untold").Inc(1)
			}
		}()
	}
}

func (traffic *Traffic) takeDeath(params deathParams) bool {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	traffic.board.Record(clock.Now(), params.Death)
	return true
}
