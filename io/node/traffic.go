package node

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"sync"
	"time"

	"lentilproxy/core/conf"
	"lentilproxy/core/crash"
	"lentilproxy/core/limit"
	"lentilproxy/core/place"
	"lentilproxy/core/queue"
	"lentilproxy/core/route"
	"lentilproxy/core/value"
	"lentilproxy/io/loans"
)

const (
	// borrowWait bounds how long a request waits for tokens of other hosts.
	borrowWait = 200 * time.Millisecond
	tokenBytes = 16
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
	holder *place.PermitTracker
	routes *route.Balancer
	board  *crash.Tracker
	queue  *queue.Queue
	// waiters are the requests in the queue, by their number.
	waiters map[int64]*waiter
	number  int64
	// asking are the questions for permits that are under way.
	asking map[question]chan struct{}
	loans  *loans.Exchanger
}

func newTraffic(node *Node) *traffic {
	traffic := &traffic{
		node: node, holder: place.NewPermitTracker(), routes: route.NewBalancer(node.settings.Host.DataCentre), board: crash.NewTracker(),
		queue: queue.New(), waiters: map[int64]*waiter{}, asking: map[question]chan struct{}{},
	}
	traffic.loans = loans.New(node.background, node.Name(), limit.New(node.Name()), node.pool.Call, borrowWait,
		func() { node.loop.Post(func(now time.Time) { traffic.control.exchangeSoon(now) }) })
	return traffic
}

func (traffic *traffic) configure(now time.Time, state *conf.State) {
	limits := map[string]limit.Entitlement{}
	for _, resource := range state.List(conf.KindLimit) {
		limits[resource.Name] = limit.Entitlement{
			Rate: resource.Limit.RateTokensPerSecond, Burst: resource.Limit.BurstTokens,
			Fraction: limit.Share(state.Roster(), resource.Name, traffic.node.Name()),
		}
	}
	traffic.loans.Limiter(func(limiter *limit.Limiter) { limiter.Configure(now, limits) })
}

// fill fills the shares of limits that a change has declared.
func (traffic *traffic) fill(now time.Time, changes []conf.Change) {
	for _, change := range changes {
		for _, resource := range change.Puts {
			if resource.Kind == conf.KindLimit && resource.Generation == 1 {
				traffic.loans.Limiter(func(limiter *limit.Limiter) { limiter.Fill(now, resource.Name) })
			}
		}
	}
}

// open allows the use of the host's own shares. An earlier start of the host may have lent them.
func (traffic *traffic) open(now time.Time, incarnation int64) {
	if incarnation > 1 {
		now = now.Add(limit.Quarantine)
	}
	traffic.loans.Limiter(func(limiter *limit.Limiter) { limiter.Open(now) })
}

func (traffic *traffic) opened(now time.Time) bool {
	opened := false
	traffic.loans.Limiter(func(limiter *limit.Limiter) { opened = limiter.Opened(now) })
	return opened
}

// Charge takes tokens from a workspace's limit, and waits a moment for other hosts' shares if the own is short.
func (node *Node) Charge(ctx context.Context, workspace string, tokens float64) (*limit.Receipt, limit.Outcome) {
	return node.traffic.loans.Charge(ctx, workspace, tokens)
}

// Refund gives back the unused tokens of a charge.
func (node *Node) Refund(receipt *limit.Receipt, unused float64) {
	node.traffic.loans.Refund(receipt, unused)
}

// exchangeSoon exchanges loans for a request that waits, but not at every request.
func (control *control) exchangeSoon(now time.Time) {
	if control.exchangeDue || !control.tracker.Fresh(now) {
		return
	}
	rest := control.node.traffic.loans.Exchange(now, control)
	if rest == 0 {
		return
	}
	control.exchangeDue = true
	time.AfterFunc(rest, func() {
		control.node.loop.Post(func(now time.Time) {
			control.exchangeDue = false
			control.exchangeLoans(now, func() {})
		})
	})
}

// exchangeLoans gives back shares that the recent demand does not need, and asks other hosts for those it lacks.
func (control *control) exchangeLoans(now time.Time, done func()) {
	defer done()
	if control.tracker.Fresh(now) {
		control.node.traffic.loans.Exchange(now, control)
	}
}

// Lenders implements loans.Hosts.
func (control *control) Lenders(workspace string) []string {
	var names []string
	for _, home := range limit.ShareHosts(control.state.Roster().Members, workspace) {
		names = append(names, home.Name)
	}
	return names
}

// Address implements loans.Hosts.
func (control *control) Address(host string) (string, bool) {
	known, found := control.state.Roster().Member(host)
	return known.PeerAddress, found
}

func (traffic *traffic) takeBack(_ time.Time, params loans.ReturnParams) bool {
	return traffic.loans.AcceptReturns(params)
}

// lend lends shares; a host that is not fresh lends nothing. What it has borrowed itself goes back to its lenders.
func (traffic *traffic) lend(now time.Time, params loans.BorrowParams) loans.BorrowResult {
	if !traffic.node.Fresh(now) {
		return loans.BorrowResult{}
	}
	defer traffic.node.loop.Post(func(now time.Time) { traffic.loans.ReturnLoans(now, traffic.control) })
	return traffic.loans.Lend(params)
}

func (traffic *traffic) onRevoke(now time.Time, params revokeParams) revokeResult {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	return revokeResult{Returned: traffic.holder.Revoke(now, params.Epoch, params.Instances)}
}

func (traffic *traffic) revokeOlder(now time.Time, epoch int64, engines value.Set[string]) []place.Usage {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	return traffic.holder.RevokeAll(now, epoch, engines)
}

// reportPermits tells the owners what this host uses, which renews its permits.
func (control *control) reportPermits(now time.Time, done func()) {
	defer done()
	traffic := control.node.traffic
	traffic.mutex.Lock()
	uses := traffic.holder.CollectUsage(now)
	traffic.mutex.Unlock()
	byPool := map[string][]place.Usage{}
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

func (control *control) report(pool string, uses []place.Usage) {
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

func (traffic *traffic) reported(sentAt time.Time, uses []place.Usage, result reportResult) {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	traffic.holder.ConfirmReport(uses)
	for _, permit := range result.Renewed {
		traffic.holder.Add(sentAt, permit)
	}
	for engineName, running := range result.Running {
		traffic.routes.Report(time.Now(), engineName, running)
	}
}
