// Package loans charges requests to limits that are divided over hosts, and exchanges loans of shares with other hosts
// according to demand.
package loans

import (
	"context"
	"sync"
	"time"

	"lentilproxy/core/limit"

	"github.com/uber-go/tally/v4"
)

// Methods of the calls between hosts.
const (
	MethodBorrow = "limit.borrow"
	MethodReturn = "limit.give_back"
)

const (
	// accrualInterval is the time between two attempts of a waiting request to charge the tokens that this host's share
	// has accrued.
	accrualInterval = 10 * time.Millisecond
	// minExchangeInterval is the minimum time between two exchanges, however many requests wait.
	minExchangeInterval = 20 * time.Millisecond
	// callTimeout bounds a call to another host.
	callTimeout = 400 * time.Millisecond
)

// BorrowParams are the loan requests of a host to one lender.
type BorrowParams struct {
	Host     string              `json:"host"`
	Requests []limit.LoanRequest `json:"asks"`
}

// BorrowResult holds the lender's responses to the loan requests.
type BorrowResult struct {
	Grants []limit.LoanGrant `json:"grants"`
}

// ReturnParams are loans, or parts of them, that a host returns before they expire.
type ReturnParams struct {
	Host    string             `json:"host"`
	Returns []limit.LoanReturn `json:"returns"`
}

// Call calls a method of the host at an IP:port address.
type Call func(ctx context.Context, address, method string, params, result any) error

// Hosts looks up the hosts that hold shares and their addresses.
type Hosts interface {
	// Lenders returns the hosts that hold shares of a workspace's limit.
	Lenders(workspace string) []string
	// Address returns the IP:port address of a host, if one is available.
	Address(host string) (string, bool)
}

// Exchanger charges requests to one host's limiter and exchanges loans with other hosts. It is safe for concurrent use.
type Exchanger struct {
	ctx     context.Context
	host    string
	call    Call
	clock   func() time.Time
	maxWait time.Duration
	metrics tally.Scope
	// requestExchange is called when this host has too few tokens for a request. It must cause a call of Exchange.
	requestExchange func()

	mutex   sync.Mutex
	limiter *limit.Limiter
	// credited is closed, and replaced by a new channel, when another host has responded to loan requests.
	credited    chan struct{}
	exchangedAt time.Time
}

// Option configures an exchanger.
type Option func(*Exchanger)

// WithClock sets the clock. The default is time.Now.
func WithClock(clock func() time.Time) Option {
	return func(exchanger *Exchanger) { exchanger.clock = clock }
}

// WithMetrics sets the scope of the metrics.
func WithMetrics(scope tally.Scope) Option {
	return func(exchanger *Exchanger) { exchanger.metrics = scope }
}

// New returns the exchanger of a host. A request waits for tokens for at most maxWait. The function requestExchange is
// called when this host has too few tokens for a request, and must cause a call of Exchange. Cancelling the context
// ends calls to other hosts.
func New(
	ctx context.Context, host string, limiter *limit.Limiter, call Call, maxWait time.Duration, requestExchange func(), options ...Option,
) *Exchanger {
	exchanger := &Exchanger{
		ctx: ctx, host: host, call: call, clock: time.Now, maxWait: maxWait, metrics: tally.NoopScope, requestExchange: requestExchange,
		limiter: limiter, credited: make(chan struct{}),
	}
	for _, option := range options {
		option(exchanger)
	}
	return exchanger
}

// Limiter calls a function with the limiter while it holds the lock. The function must not keep the limiter.
func (exchanger *Exchanger) Limiter(use func(limiter *limit.Limiter)) {
	exchanger.mutex.Lock()
	defer exchanger.mutex.Unlock()
	use(exchanger.limiter)
}

// Charge deducts tokens from a workspace's limit. If this host has too few tokens, Charge waits for a bounded time
// until they accrue or arrive from other hosts.
func (exchanger *Exchanger) Charge(ctx context.Context, workspace string, tokens float64) (*limit.Receipt, limit.Outcome) {
	deadline := exchanger.clock().Add(exchanger.maxWait)
	for first := true; ; first = false {
		now := exchanger.clock()
		receipt, outcome, credited := exchanger.tryCharge(now, deadline, workspace, tokens, first)
		if outcome != limit.Insufficient || credited == nil {
			return receipt, outcome
		}
		exchanger.requestExchange()
		timer := time.NewTimer(accrualInterval)
		select {
		case <-credited:
		case <-timer.C:
		case <-ctx.Done():
			return nil, limit.Insufficient
		}
		timer.Stop()
	}
}

// tryCharge tries to charge tokens once. The returned channel is closed when a lender next responds. It is nil if the
// outcome is final: it is not Insufficient, or the tokens cannot become available before the deadline.
func (exchanger *Exchanger) tryCharge(
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

// Refund returns the unused tokens of a charge to the limiter.
func (exchanger *Exchanger) Refund(receipt *limit.Receipt, unused float64) {
	exchanger.mutex.Lock()
	defer exchanger.mutex.Unlock()
	exchanger.limiter.Refund(exchanger.clock(), receipt, unused)
}

// Exchange returns loans that the recent demand does not need, and requests loans of the shares that it lacks. If the
// last exchange was too recent, it does nothing and returns the time to wait, otherwise 0.
func (exchanger *Exchanger) Exchange(now time.Time, hosts Hosts) time.Duration {
	exchanger.mutex.Lock()
	defer exchanger.mutex.Unlock()
	if remaining := minExchangeInterval - now.Sub(exchanger.exchangedAt); remaining > 0 {
		return remaining
	}
	exchanger.exchangedAt = now
	exchanger.returnLoans(now, hosts)
	requests := map[string][]limit.LoanRequest{}
	for _, request := range exchanger.limiter.LoanRequests(now, hosts.Lenders) {
		requests[request.Lender] = append(requests[request.Lender], request)
	}
	for lender, batch := range requests {
		if address, found := hosts.Address(lender); found {
			go exchanger.borrow(address, batch)
		}
	}
	return 0
}

// ReturnLoans returns loans, or parts of them, that this host does not need or that another host has requested.
func (exchanger *Exchanger) ReturnLoans(now time.Time, hosts Hosts) {
	exchanger.mutex.Lock()
	defer exchanger.mutex.Unlock()
	exchanger.returnLoans(now, hosts)
}

func (exchanger *Exchanger) returnLoans(now time.Time, hosts Hosts) {
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
			var accepted bool
			if err := exchanger.call(ctx, address, MethodReturn, ReturnParams{Host: exchanger.host, Returns: batch}, &accepted); err != nil {
				// The lender uses the shares again only when the loan expires. Their tokens are lost until then, but the
				// limit is never exceeded.
				exchanger.metrics.Counter("returns_failed").Inc(1)
			}
		}()
	}
}

func (exchanger *Exchanger) borrow(address string, requests []limit.LoanRequest) {
	ctx, cancel := context.WithTimeout(exchanger.ctx, callTimeout)
	defer cancel()
	sentAt := exchanger.clock()
	var result BorrowResult
	if err := exchanger.call(ctx, address, MethodBorrow, BorrowParams{Host: exchanger.host, Requests: requests}, &result); err != nil {
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

// Lend responds to the loan requests of another host.
func (exchanger *Exchanger) Lend(params BorrowParams) BorrowResult {
	exchanger.mutex.Lock()
	defer exchanger.mutex.Unlock()
	now := exchanger.clock()
	var result BorrowResult
	for _, request := range params.Requests {
		result.Grants = append(result.Grants, exchanger.limiter.Lend(now, params.Host, request))
	}
	return result
}

// AcceptReturns records loans that another host returns.
func (exchanger *Exchanger) AcceptReturns(params ReturnParams) bool {
	exchanger.mutex.Lock()
	defer exchanger.mutex.Unlock()
	for _, loanReturn := range params.Returns {
		exchanger.limiter.AcceptReturn(exchanger.clock(), params.Host, loanReturn)
	}
	return true
}
