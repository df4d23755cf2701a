package node

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"sync"
	"time"

	"lentilproxy/core/conf"
	"lentilproxy/core/guard"
	"lentilproxy/core/limit"
	"lentilproxy/core/place"
	"lentilproxy/core/queue"
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
	tokenBytes          = 16
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
	queue  *queue.Queue
	// waiters are the requests in the queue, by their number.
	waiters map[int64]*waiter
	number  int64
	// asking are the questions for permits that are under way.
	asking map[question]chan struct{}
	// credited is closed whenever tokens arrive from another host.
	credited chan struct{}
}

func newTraffic(node *Node) *traffic {
	return &traffic{
		node: node, bank: limit.NewBank(node.Name()),
		holder: place.NewHolder(), routes: route.NewTable(node.settings.Host.DataCentre), board: guard.NewBoard(),
		queue: queue.New(), waiters: map[int64]*waiter{}, asking: map[question]chan struct{}{},
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
		node.loop.Post(func(now time.Time) { traffic.control.exchangeSoon(now) })
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
		control.node.loop.Post(func(now time.Time) { control.exchangeLoans(now, func() {}) })
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
		if known, found := control.state.Roster().Member(lender); found {
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
	known, found := control.state.Roster().Member(lender)
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
	defer traffic.node.loop.Post(func(now time.Time) { traffic.control.giveBackLoans(now) })
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
	known, found := control.state.Roster().Member(control.state.Owner(pool).Host)
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
