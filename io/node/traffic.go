package node

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	mathrand "math/rand/v2"
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
	// borrowWait bounds how long a request waits for tokens from other hosts.
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

	mutex    sync.Mutex
	permits  *place.PermitTracker
	balancer *route.Balancer
	crashes  *crash.Tracker
	queue    *queue.Queue
	// waiters are the requests in the queue, by their IDs.
	waiters map[int64]*waiter
	lastID  int64
	// acquiring holds a channel for each call for a permit that is under way. The channel is closed when the call ends.
	acquiring map[acquireKey]chan struct{}
	loans     *loans.Exchanger
}

func newTraffic(node *Node) *traffic {
	traffic := &traffic{
		node: node, permits: place.NewPermitTracker(), balancer: route.NewBalancer(node.settings.Host.DataCentre), crashes: crash.NewTracker(),
		queue: queue.New(), waiters: map[int64]*waiter{}, acquiring: map[acquireKey]chan struct{}{},
	}
	traffic.loans = loans.New(node.background, node.Name(), limit.New(node.Name(), limit.WithRun(mathrand.Int64N(limit.MaxRun))), node.peers.Call, borrowWait,
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

// fillNewLimits fills this host's shares of the limits that changes create.
func (traffic *traffic) fillNewLimits(now time.Time, changes []conf.Change) {
	for _, change := range changes {
		for _, resource := range change.Puts {
			if resource.Kind == conf.KindLimit && resource.Generation == 1 {
				traffic.loans.Limiter(func(limiter *limit.Limiter) { limiter.Fill(now, resource.Name) })
			}
		}
	}
}

// open allows the use of the host's own shares. After a restart they first stay in quarantine, because an earlier
// incarnation may have lent them.
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

// Charge takes tokens from a workspace's limit. If this host has too few tokens, it waits up to borrowWait for tokens
// from other hosts.
func (node *Node) Charge(ctx context.Context, workspace string, tokens float64) (*limit.Receipt, limit.Outcome) {
	return node.traffic.loans.Charge(ctx, workspace, tokens)
}

// Refund returns the unused tokens of a charge.
func (node *Node) Refund(receipt *limit.Receipt, unused float64) {
	node.traffic.loans.Refund(receipt, unused)
}

// exchangeSoon exchanges loans for a waiting request. An exchange that would follow too soon after the last one is
// delayed, and serves all requests that wait until then.
func (control *control) exchangeSoon(now time.Time) {
	if control.exchangeScheduled || !control.tracker.Fresh(now) {
		return
	}
	rest := control.node.traffic.loans.Exchange(now, control)
	if rest == 0 {
		return
	}
	control.exchangeScheduled = true
	time.AfterFunc(rest, func() {
		control.node.loop.Post(func(now time.Time) {
			control.exchangeScheduled = false
			control.exchangeLoans(now, func() {})
		})
	})
}

// exchangeLoans returns loans that the recent demand does not need, and requests loans that it lacks from other hosts.
func (control *control) exchangeLoans(now time.Time, done func()) {
	defer done()
	if control.tracker.Fresh(now) {
		control.node.traffic.loans.Exchange(now, control)
	}
}

// Lenders implements loans.Hosts.
func (control *control) Lenders(workspace string) []string {
	var names []string
	for _, host := range limit.ShareHosts(control.state.Roster().Members, workspace) {
		names = append(names, host.Name)
	}
	return names
}

// Address implements loans.Hosts.
func (control *control) Address(host string) (string, bool) {
	known, found := control.state.Roster().Member(host)
	return known.PeerAddress, found
}

func (traffic *traffic) acceptReturn(_ time.Time, params loans.ReturnParams) bool {
	return traffic.loans.AcceptReturns(params)
}

// lend lends shares to another host, unless this host is stale. Loans that this host does not need, or that another
// host needs more, then go back to their lenders.
func (traffic *traffic) lend(now time.Time, params loans.BorrowParams) loans.BorrowResult {
	if !traffic.node.Fresh(now) {
		return loans.BorrowResult{}
	}
	defer traffic.node.loop.Post(func(now time.Time) { traffic.loans.ReturnLoans(now, traffic.control) })
	return traffic.loans.Lend(params)
}

func (traffic *traffic) handleRevoke(now time.Time, params revokeParams) revokeResult {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	return revokeResult{Returned: traffic.permits.Revoke(now, params.Epoch, params.Instances)}
}

func (traffic *traffic) revokeOlder(now time.Time, epoch int64, engines value.Set[string]) []place.Usage {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	return traffic.permits.RevokeAll(now, epoch, engines)
}

// reportPermits reports to the owners which instances this host uses, which renews its permits.
func (control *control) reportPermits(now time.Time, done func()) {
	defer done()
	traffic := control.node.traffic
	traffic.mutex.Lock()
	usages := traffic.permits.CollectUsage(now)
	traffic.mutex.Unlock()
	byPool := map[string][]place.Usage{}
	for _, usage := range usages {
		pool := control.poolOf(usage.Engine)
		byPool[pool] = append(byPool[pool], usage)
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

func (control *control) report(pool string, usages []place.Usage) {
	known, found := control.state.Roster().Member(control.state.Owner(pool).Host)
	if !found {
		return
	}
	params := reportParams{Host: control.node.Name(), Pool: pool, Uses: usages}
	traffic := control.node.traffic
	control.background(func() {}, func(ctx context.Context) func(time.Time) {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		sentAt := time.Now()
		var result reportResult
		if err := control.node.callHost(ctx, known, methodReport, params, &result); err != nil || !result.Owner {
			return nil
		}
		traffic.applyReportResult(sentAt, usages, result)
		return nil
	})
}

func (traffic *traffic) applyReportResult(sentAt time.Time, usages []place.Usage, result reportResult) {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	traffic.permits.ConfirmReport(usages)
	for _, permit := range result.Renewed {
		traffic.permits.Add(sentAt, permit)
	}
	for engineName, running := range result.Running {
		traffic.balancer.Report(time.Now(), engineName, running)
	}
}
