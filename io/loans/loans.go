// Package loans charges requests to limits that are divided over hosts, and moves parts of the limits between hosts to
// where the demand is.
package loans

import (
	"context"
	"sync"
	"time"

	"lentilproxy/core/limit"

	"github.com/uber-go/tally/v4"
)

// Methods between hosts.
const (
	MethodBorrow   = "limit.borrow"
	MethodGiveBack = "limit.give_back"
)

const (
	// accrueWait is how often a request that waits looks at what the own share has accrued.
	accrueWait = 10 * time.Millisecond
	// minInterval bounds how often requests that wait cause an exchange.
	minInterval = 20 * time.Millisecond
	// callTimeout bounds a call of another host.
	callTimeout = 400 * time.Millisecond
)

// BorrowParams asks a host for parts of its shares.
type BorrowParams struct {
	Host string              `json:"host"`
	Asks []limit.LoanRequest `json:"asks"`
}

// BorrowResult holds the answers to the asks.
type BorrowResult struct {
	Grants []limit.LoanGrant `json:"grants"`
}

// GiveBackParams gives loans back before their end.
type GiveBackParams struct {
	Host    string             `json:"host"`
	Returns []limit.LoanReturn `json:"returns"`
}

// Call calls a method of the host at IP:port.
type Call func(ctx context.Context, address, method string, params, result any) error

// Hosts tells who holds shares and how to reach them.
type Hosts interface {
	// Lenders returns the hosts that hold shares of a workspace's limit.
	Lenders(workspace string) []string
	// Address returns IP:port of a host, if it can be reached.
	Address(host string) (string, bool)
}

// Exchanger holds one host's limiter. It is safe for concurrent use.
type Exchanger struct {
	ctx     context.Context
	host    string
	call    Call
	clock   func() time.Time
	wait    time.Duration
	metrics tally.Scope
	// short is called when a request finds too few tokens, and has to lead to Exchange.
	short func()

	mutex   sync.Mutex
	limiter *limit.Limiter
	// credited is closed whenever tokens arrive from another host.
	credited    chan struct{}
	exchangedAt time.Time
}

// Option configures an exchanger.
type Option func(*Exchanger)

// WithClock sets the clock; without it, the time of the time package counts.
func WithClock(clock func() time.Time) Option {
	return func(exchanger *Exchanger) { exchanger.clock = clock }
}

// WithMetrics sets the scope of the metrics.
func WithMetrics(scope tally.Scope) Option {
	return func(exchanger *Exchanger) { exchanger.metrics = scope }
}

// New returns the exchanger of a host. A request waits for other hosts' shares for a bounded time. Calls end with the
// context.
func New(ctx context.Context, host string, limiter *limit.Limiter, call Call, wait time.Duration, short func(), options ...Option) *Exchanger {
	exchanger := &Exchanger{
		ctx: ctx, host: host, call: call, clock: time.Now, wait: wait, metrics: tally.NoopScope, short: short, limiter: limiter,
		credited: make(chan struct{}),
	}
	for _, option := range options {
		option(exchanger)
	}
	return exchanger
}

// Limiter runs a function on the limiter, which must not be kept.
func (exchanger *Exchanger) Limiter(use func(limiter *limit.Limiter)) {
	exchanger.mutex.Lock()
	defer exchanger.mutex.Unlock()
	use(exchanger.limiter)
}

// Charge takes tokens from a workspace's limit, and waits a moment for other hosts' shares if the own is short.
func (exchanger *Exchanger) Charge(ctx context.Context, workspace string, tokens float64) (*limit.Receipt, limit.Outcome) {
	deadline := exchanger.clock().Add(exchanger.wait)
	for first := true; ; first = false {
		now := exchanger.clock()
		receipt, outcome, credited := exchanger.spend(now, deadline, workspace, tokens, first)
		if outcome != limit.Insufficient || credited == nil {
			return receipt, outcome
		}
		exchanger.short()
		timer := time.NewTimer(accrueWait)
		select {
		case <-credited:
		case <-timer.C:
		case <-ctx.Done():
			return nil, limit.Insufficient
		}
		timer.Stop()
	}
}

// spend tries to charge tokens. The channel is closed when it is worth trying again; it is nil if it is not before the
// deadline.
func (exchanger *Exchanger) spend(
	now, deadline time.Time, workspace string, tokens float64, first bool,
) (*limit.Receipt, limit.Outcome, chan struct{}) {
	exchanger.mutex.Lock()
	defer exchanger.mutex.Unlock()
	if first {
		exchanger.limiter.Demand(now, workspace, tokens)
	}
	receipt, outcome := exchanger.limiter.Charge(now, workspace, tokens)
	if outcome != limit.Insufficient || !now.Before(deadline) || exchanger.limiter.Unsatisfiable(now, workspace, tokens, deadline) {
		return receipt, outcome, nil
	}
	return receipt, outcome, exchanger.credited
}

// Refund gives back the unused tokens of a charge.
func (exchanger *Exchanger) Refund(receipt *limit.Receipt, unused float64) {
	exchanger.mutex.Lock()
	defer exchanger.mutex.Unlock()
	exchanger.limiter.Refund(exchanger.clock(), receipt, unused)
}

// Exchange gives back loans that the recent demand does not need, and asks other hosts for what it lacks. It returns
// how long an exchange that came too soon after the last one has to wait, or 0.
func (exchanger *Exchanger) Exchange(now time.Time, hosts Hosts) time.Duration {
	exchanger.mutex.Lock()
	defer exchanger.mutex.Unlock()
	if rest := minInterval - now.Sub(exchanger.exchangedAt); rest > 0 {
		return rest
	}
	exchanger.exchangedAt = now
	exchanger.giveBack(now, hosts)
	asks := map[string][]limit.LoanRequest{}
	for _, request := range exchanger.limiter.LoanRequests(now, hosts.Lenders) {
		asks[request.Lender] = append(asks[request.Lender], request)
	}
	for lender, batch := range asks {
		if address, found := hosts.Address(lender); found {
			go exchanger.borrow(address, batch)
		}
	}
	return 0
}

// GiveBack gives back what is not needed, or what another host needs more.
func (exchanger *Exchanger) GiveBack(now time.Time, hosts Hosts) {
	exchanger.mutex.Lock()
	defer exchanger.mutex.Unlock()
	exchanger.giveBack(now, hosts)
}

func (exchanger *Exchanger) giveBack(now time.Time, hosts Hosts) {
	returns := map[string][]limit.LoanReturn{}
	for _, loanReturn := range exchanger.limiter.LoanReturns(now) {
		returns[loanReturn.Lender] = append(returns[loanReturn.Lender], loanReturn)
	}
	for lender, batch := range returns {
		address, found := hosts.Address(lender)
		if !found {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(exchanger.ctx, callTimeout)
			defer cancel()
			var taken bool
			if err := exchanger.call(ctx, address, MethodGiveBack, GiveBackParams{Host: exchanger.host, Returns: batch}, &taken); err != nil {
				// The lender takes the loan back at its end: tokens are lost for a while, and none are made.
				exchanger.metrics.Counter("returns_failed").Inc(1)
			}
		}()
	}
}

func (exchanger *Exchanger) borrow(address string, asks []limit.LoanRequest) {
	ctx, cancel := context.WithTimeout(exchanger.ctx, callTimeout)
	defer cancel()
	sentAt := exchanger.clock()
	var result BorrowResult
	if err := exchanger.call(ctx, address, MethodBorrow, BorrowParams{Host: exchanger.host, Asks: asks}, &result); err != nil {
		exchanger.metrics.Counter("loans_failed").Inc(1)
		return
	}
	exchanger.mutex.Lock()
	defer exchanger.mutex.Unlock()
	for _, grant := range result.Grants {
		exchanger.limiter.Credit(exchanger.clock(), sentAt, grant)
	}
	close(exchanger.credited)
	exchanger.credited = make(chan struct{})
}

// Lend answers the asks of another host.
func (exchanger *Exchanger) Lend(params BorrowParams) BorrowResult {
	exchanger.mutex.Lock()
	defer exchanger.mutex.Unlock()
	now := exchanger.clock()
	var result BorrowResult
	for _, request := range params.Asks {
		result.Grants = append(result.Grants, exchanger.limiter.Lend(now, params.Host, request))
	}
	return result
}

// TakeBack takes what another host gives back.
func (exchanger *Exchanger) TakeBack(params GiveBackParams) bool {
	exchanger.mutex.Lock()
	defer exchanger.mutex.Unlock()
	for _, loanReturn := range params.Returns {
		exchanger.limiter.AcceptReturn(exchanger.clock(), params.Host, loanReturn)
	}
	return true
}
