package node

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"sync"
	"time"

	"lentilproxy/core/conf"
	"lentilproxy/core/fresh"
	"lentilproxy/core/guard"
	"lentilproxy/core/limit"
	"lentilproxy/core/place"
	"lentilproxy/core/route"
	"lentilproxy/core/value"
)

const (
	// borrowWait bounds how long a request waits for tokens of other hosts.
	borrowWait = 200 * time.Millisecond
	// accrueWait is how often a request that waits looks at what the own share has accrued.
	accrueWait = 10 * time.Millisecond
	// minExchangeInterval bounds how often requests that wait cause an exchange of loans.
	minExchangeInterval = 25 * time.Millisecond
	// acquireRetry is the wait before the owner of a pool is asked again.
	acquireRetry = 50 * time.Millisecond
	tokenBytes   = 16
)

// newToken returns a unique token.
func newToken() string {
	var token [tokenBytes]byte
	// crypto/rand.Read never fails.
	_, _ = rand.Read(token[:])
	return hex.EncodeToString(token[:])
}

// traffic holds the state that requests share. Its critical sections are short and do no input or output.
type traffic struct {
	node    *Node
	control *control

	mutex  sync.Mutex
	bank   *limit.Bank
	holder *place.Holder
	routes *route.Table
	board  *guard.Board
	// credited is closed whenever tokens arrive from another host.
	credited chan struct{}
}

func newTraffic(node *Node) *traffic {
	return &traffic{
		node: node, bank: limit.NewBank(node.Name()),
		holder: place.NewHolder(), routes: route.NewTable(node.settings.Host.DataCentre), board: guard.NewBoard(),
		credited: make(chan struct{}),
	}
}

func (traffic *traffic) configure(now time.Time, state *conf.State) {
	limits := map[string]limit.Entitlement{}
	for _, resource := range state.List(conf.KindLimit) {
		limits[resource.Name] = limit.Entitlement{
			Rate: resource.Limit.RateTokensPerSecond, Burst: resource.Limit.BurstTokens,
			Fraction: limit.Share(state.Roster(), resource.Name, traffic.node.Name()),
		}
	}
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	traffic.bank.Configure(now, limits)
}

// fill fills the shares of limits that a change has declared.
func (traffic *traffic) fill(now time.Time, changes []conf.Change) {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	for _, change := range changes {
		for _, resource := range change.Puts {
			if resource.Kind == conf.KindLimit && resource.Generation == 1 {
				traffic.bank.Fill(now, resource.Name)
			}
		}
	}
}

// open allows the use of the host's own shares. An earlier start of the host may have lent them.
func (traffic *traffic) open(now time.Time, incarnation int64) {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	if incarnation > 1 {
		now = now.Add(limit.Quarantine)
	}
	traffic.bank.Open(now)
}

func (traffic *traffic) opened(now time.Time) bool {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	return traffic.bank.Opened(now)
}

// Charge takes tokens from a workspace's limit, and waits a moment for other hosts' shares if the own is short.
func (node *Node) Charge(ctx context.Context, workspace string, tokens float64) (*limit.Receipt, limit.Outcome) {
	traffic := node.traffic
	deadline := time.Now().Add(borrowWait)
	first := true
	for {
		receipt, outcome, credited := traffic.spend(time.Now(), workspace, tokens, first)
		if outcome != limit.Short || time.Now().After(deadline) {
			return receipt, outcome
		}
		first = false
		node.post(func(now time.Time) { traffic.control.exchangeSoon(now) })
		select {
		case <-credited:
		case <-time.After(accrueWait):
		case <-ctx.Done():
			return nil, limit.Short
		}
	}
}

func (traffic *traffic) spend(now time.Time, workspace string, tokens float64, first bool) (*limit.Receipt, limit.Outcome, chan struct{}) {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	if first {
		traffic.bank.Demand(now, workspace, tokens)
	}
	receipt, outcome := traffic.bank.Spend(now, workspace, tokens)
	return receipt, outcome, traffic.credited
}

// Refund gives back the unused tokens of a charge.
func (node *Node) Refund(receipt *limit.Receipt, unused float64) {
	node.traffic.mutex.Lock()
	defer node.traffic.mutex.Unlock()
	node.traffic.bank.Refund(time.Now(), receipt, unused)
}

// exchangeSoon exchanges loans for a request that waits, but not at every request.
func (control *control) exchangeSoon(now time.Time) {
	if now.Sub(control.exchangedAt) >= minExchangeInterval {
		control.exchangeLoans(now, func() {})
		return
	}
	if control.exchangeDue {
		return
	}
	control.exchangeDue = true
	time.AfterFunc(minExchangeInterval, func() {
		control.node.post(func(now time.Time) { control.exchangeLoans(now, func() {}) })
	})
}

// exchangeLoans gives back shares that the recent demand does not need, and asks other hosts for those it lacks.
func (control *control) exchangeLoans(now time.Time, done func()) {
	defer done()
	control.exchangeDue = false
	if !control.tracker.Fresh(now) {
		return
	}
	control.exchangedAt = now
	control.giveBackLoans(now)
	traffic := control.node.traffic
	members := control.state.Roster().Members
	traffic.mutex.Lock()
	asks := traffic.bank.Asks(now, func(workspace string) []string {
		var names []string
		for _, home := range limit.Homes(members, workspace) {
			names = append(names, home.Name)
		}
		return names
	})
	traffic.mutex.Unlock()
	byLender := map[string][]limit.Ask{}
	for _, ask := range asks {
		byLender[ask.Lender] = append(byLender[ask.Lender], ask)
	}
	for lender, batch := range byLender {
		control.borrow(lender, batch)
	}
}

func (control *control) giveBackLoans(now time.Time) {
	traffic := control.node.traffic
	traffic.mutex.Lock()
	returns := traffic.bank.Returns(now)
	traffic.mutex.Unlock()
	byLender := map[string][]limit.Return{}
	for _, back := range returns {
		byLender[back.Lender] = append(byLender[back.Lender], back)
	}
	for lender, batch := range byLender {
		if known, found := control.memberNamed(lender); found {
			control.giveBack(known, giveBackParams{Host: control.node.Name(), Returns: batch})
		}
	}
}

func (control *control) giveBack(known conf.Member, params giveBackParams) {
	control.background(func() {}, func(ctx context.Context) func(time.Time) {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		var taken bool
		// A lost message loses tokens for a while, and makes none.
		_ = control.node.pool.Call(ctx, known.PeerAddress, methodGiveBack, params, &taken)
		return nil
	})
}

func (traffic *traffic) onGiveBack(now time.Time, params giveBackParams) bool {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	for _, back := range params.Returns {
		traffic.bank.TakeBack(now, params.Host, back)
	}
	return true
}

func (control *control) borrow(lender string, asks []limit.Ask) {
	traffic := control.node.traffic
	known, found := control.memberNamed(lender)
	if !found {
		return
	}
	params := borrowParams{Host: control.node.Name(), Asks: asks}
	control.background(func() {}, func(ctx context.Context) func(time.Time) {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		sentAt := time.Now()
		var result borrowResult
		if err := control.node.pool.Call(ctx, known.PeerAddress, methodBorrow, params, &result); err != nil {
			return nil
		}
		traffic.credit(time.Now(), sentAt, result.Grants)
		return nil
	})
}

func (traffic *traffic) credit(now, sentAt time.Time, grants []limit.Grant) {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	for _, grant := range grants {
		traffic.bank.Credit(now, sentAt, grant)
	}
	close(traffic.credited)
	traffic.credited = make(chan struct{})
}

// onBorrow lends shares; a host that is not fresh lends nothing.
func (traffic *traffic) onBorrow(now time.Time, params borrowParams) borrowResult {
	if !traffic.node.Fresh(now) {
		return borrowResult{}
	}
	defer traffic.node.post(func(now time.Time) { traffic.control.giveBackLoans(now) })
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	var result borrowResult
	for _, ask := range params.Asks {
		result.Grants = append(result.Grants, traffic.bank.Lend(now, params.Host, ask))
	}
	return result
}

func (traffic *traffic) onRevoke(now time.Time, params revokeParams) revokeResult {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	return revokeResult{Returned: traffic.holder.Revoke(now, params.Epoch, params.Instances)}
}

func (traffic *traffic) revokeOlder(now time.Time, epoch int64, engines value.Set[string]) []place.Use {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	return traffic.holder.RevokeAll(now, epoch, engines)
}

// Slot is the right to send one request to one instance. It has to be released.
type Slot struct {
	node    *Node
	permit  place.Permit
	address string
	once    sync.Once
}

// Instance returns the name under which the engine knows the instance.
func (slot *Slot) Instance() string { return slot.permit.Instance }

// Engine returns the name of the backend server.
func (slot *Slot) Engine() string { return slot.permit.Engine }

// Address returns IP:port of the backend server.
func (slot *Slot) Address() string { return slot.address }

// Valid says whether the request may still be sent at an instant.
func (slot *Slot) Valid(now time.Time) bool {
	slot.node.traffic.mutex.Lock()
	defer slot.node.traffic.mutex.Unlock()
	return slot.node.traffic.holder.Valid(now, slot.permit.Instance)
}

// Release ends the use of the instance.
func (slot *Slot) Release() {
	slot.once.Do(func() {
		traffic := slot.node.traffic
		traffic.mutex.Lock()
		traffic.routes.Stop(slot.permit.Engine)
		returned := traffic.holder.Stop(slot.permit.Instance)
		traffic.mutex.Unlock()
		if returned {
			slot.node.post(func(now time.Time) { traffic.control.reportPermits(now, func() {}) })
		}
	})
}

// Reserve waits for an instance of an adapter version and reserves it for one request. The servers in avoid are used
// only if there is no other.
func (node *Node) Reserve(ctx context.Context, want place.Want, avoid value.Set[string]) (*Slot, place.Refusal) {
	for {
		view := node.View()
		if !view.Fresh(time.Now()) {
			return nil, place.RefuseStale
		}
		if slot := node.traffic.take(time.Now(), view.state, want.Model, avoid); slot != nil {
			return slot, place.RefuseNone
		}
		pool, found := poolFor(view.state, want.BaseModel)
		if !found {
			return nil, place.RefuseNoEngine
		}
		refusal := node.acquire(ctx, view.state, pool, want)
		if refusal != place.RefuseNone && refusal != place.RefuseNotOwner {
			return nil, refusal
		}
		if refusal == place.RefuseNotOwner {
			select {
			case <-time.After(acquireRetry):
			case <-ctx.Done():
			}
		}
		if ctx.Err() != nil {
			return nil, place.RefuseTimeout
		}
		// Only the first try avoids servers; otherwise a model on one server could never be reached.
		avoid = nil
	}
}

// poolFor returns the pool that runs a base model.
func poolFor(state *conf.State, baseModel string) (string, bool) {
	for _, resource := range state.Engines() {
		if resource.BackendServer.BaseModel == baseModel {
			return resource.BackendServer.Pool, true
		}
	}
	return "", false
}

func (traffic *traffic) take(now time.Time, state *conf.State, model string, avoid value.Set[string]) *Slot {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	permits := map[string]place.Permit{}
	var candidates []route.Candidate
	for _, permit := range traffic.holder.Usable(now, model) {
		resource := state.Get(conf.Ref{Kind: conf.KindBackendServer, Name: permit.Engine})
		if resource == nil || resource.BackendServer.Draining {
			continue
		}
		permits[permit.Engine] = permit
		candidates = append(candidates, candidate(resource))
	}
	name, found := traffic.routes.Pick(now, candidates, model, avoid)
	if !found || !traffic.holder.Start(now, permits[name].Instance) {
		return nil
	}
	traffic.routes.Start(name)
	address := state.Get(conf.Ref{Kind: conf.KindBackendServer, Name: name}).BackendServer.Address
	return &Slot{node: traffic.node, permit: permits[name], address: address}
}

func candidate(resource *conf.Resource) route.Candidate {
	server := resource.BackendServer
	return route.Candidate{Server: resource.Name, DataCentre: server.DataCentre, MaxInFlight: server.MaxInFlight}
}

// acquire asks the owner of a pool for a permit.
func (node *Node) acquire(ctx context.Context, state *conf.State, pool string, want place.Want) place.Refusal {
	owner := state.Owner(pool)
	known, found := findMember(state, owner.Host)
	if !found {
		return place.RefuseNotOwner
	}
	timeout := time.Duration(0)
	if deadline, limited := ctx.Deadline(); limited {
		timeout = time.Until(deadline)
	}
	sentAt := time.Now()
	var result acquireResult
	params := acquireParams{Host: node.Name(), Pool: pool, Want: want, Timeout: timeout}
	// A call that outlives the proof would keep the caller waiting although this host can do nothing for it.
	ctx, cancel := node.whileFresh(ctx)
	defer cancel()
	if err := node.callHost(ctx, known, methodAcquire, params, &result); err != nil {
		return place.RefuseNotOwner
	}
	if result.Refusal == place.RefuseNone {
		node.traffic.mutex.Lock()
		defer node.traffic.mutex.Unlock()
		// The permit counts from the question. After a long load it may have ended, and is asked for again.
		node.traffic.holder.Add(sentAt, result.Permit)
	}
	return result.Refusal
}

// whileFresh returns a context that ends soon after the host turns stale.
func (node *Node) whileFresh(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		ticker := time.NewTicker(fresh.Limit / 4)
		defer ticker.Stop()
		for node.Fresh(time.Now()) {
			select {
			case <-ticker.C:
			case <-ctx.Done():
				return
			}
		}
		cancel()
	}()
	return ctx, cancel
}

func findMember(state *conf.State, name string) (conf.Member, bool) {
	for _, known := range state.Roster().Everybody() {
		if known.Name == name {
			return known, true
		}
	}
	return conf.Member{}, false
}

// Lost reports that an engine does not have an instance, although this host holds a permit for it.
func (node *Node) Lost(instance string) {
	node.traffic.mutex.Lock()
	defer node.traffic.mutex.Unlock()
	node.traffic.holder.Lost(instance)
}

// reportPermits tells the owners what this host uses, which renews its permits.
func (control *control) reportPermits(now time.Time, done func()) {
	defer done()
	traffic := control.node.traffic
	traffic.mutex.Lock()
	uses := traffic.holder.Reports(now)
	traffic.mutex.Unlock()
	byPool := map[string][]place.Use{}
	for _, use := range uses {
		pool := control.poolOf(use.Engine)
		byPool[pool] = append(byPool[pool], use)
	}
	for pool, batch := range byPool {
		control.report(pool, batch)
	}
}

func (control *control) poolOf(engineName string) string {
	if resource := control.state.Get(conf.Ref{Kind: conf.KindBackendServer, Name: engineName}); resource != nil {
		return resource.BackendServer.Pool
	}
	return ""
}

func (control *control) report(pool string, uses []place.Use) {
	known, found := control.memberNamed(control.state.Owner(pool).Host)
	if !found {
		return
	}
	params := reportParams{Host: control.node.Name(), Pool: pool, Uses: uses}
	traffic := control.node.traffic
	control.background(func() {}, func(ctx context.Context) func(time.Time) {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		sentAt := time.Now()
		var result reportResult
		if err := control.node.callHost(ctx, known, methodReport, params, &result); err != nil || !result.Owner {
			return nil
		}
		traffic.reported(sentAt, uses, result)
		return nil
	})
}

func (traffic *traffic) reported(sentAt time.Time, uses []place.Use, result reportResult) {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	traffic.holder.Confirmed(uses)
	for _, permit := range result.Renewed {
		traffic.holder.Add(sentAt, permit)
	}
	for engineName, running := range result.Running {
		traffic.routes.Report(time.Now(), engineName, running)
	}
}
