package limit

import (
	"slices"
	"time"

	"lentilproxy/core/value"
)

const (
	// reserveFactor is the multiple of its recent demand that a host keeps for itself.
	reserveFactor = 1.2
	// returnBefore is how long before its expiry a borrower returns a loan that has not been extended.
	returnBefore = 300 * time.Millisecond
	// reserveDuration is the time for which a lender keeps enough tokens to serve its recent demand.
	reserveDuration = 200 * time.Millisecond
	// shareTolerance is the part of a share that rounding may add to what is lent of it.
	shareTolerance = 1e-9
	// minLoanFraction is the smallest fraction of a limit that is worth a new loan, and minShareFraction that of the lender's own share,
	// if this is less. With 100 hosts, a share is as small as minLoanFraction, so that no host lent anything.
	minLoanFraction  = 0.01
	minShareFraction = 0.5
)

// MaxRun bounds the random numbers that identify processes. It is far above the number of loans that a process grants.
const MaxRun = 1 << 48

// Outcome is the result of a charge.
type Outcome int

// The outcomes of a charge.
const (
	// Charged means that the tokens were available and have been taken.
	Charged Outcome = iota
	// Insufficient means that this host has too few tokens; other hosts may have more.
	Insufficient
	// ExceedsBurst means that the request costs more than the whole burst and the overdraft together, so it can never
	// be charged.
	ExceedsBurst
	// Unlimited means that no limit is declared for the workspace.
	Unlimited
)

// Entitlement is the limit of a workspace and the fraction of it that this host holds.
type Entitlement struct {
	Rate     float64
	Burst    float64
	Fraction float64
}

// LoanRequest is a borrower's request to one lender. It also extends the loan that the lender has already granted.
type LoanRequest struct {
	Workspace string `json:"workspace"`
	// Rate and Burst are requested in addition to an existing loan.
	Rate  float64 `json:"rate"`
	Burst float64 `json:"burst"`
	// Demand is the borrower's recent demand in tokens per second.
	Demand float64 `json:"demand"`
	// Run identifies the borrower's process. A loan to an earlier process of the same host is not extended: only that process knew of it.
	Run int64 `json:"run,omitempty"`
	// Shareless reports whether the borrower holds no share of its own, so that it depends on loans however small.
	Shareless bool `json:"shareless,omitempty"`
	// Need is the size of the largest waiting request, in tokens.
	Need float64 `json:"need,omitempty"`
	// Lender is the host to send the request to. It is not part of the encoded request.
	Lender string `json:"-"`
}

// LoanGrant is a lender's response. A duration of 0 grants nothing.
type LoanGrant struct {
	Workspace string `json:"workspace"`
	// ID identifies the loan; a later grant with the same ID adds to it and extends it.
	ID       int64         `json:"id"`
	Rate     float64       `json:"rate"`
	Burst    float64       `json:"burst"`
	Level    float64       `json:"level"`
	Duration time.Duration `json:"duration"`
	Lender   string        `json:"lender"`
}

// LoanReturn returns a loan, or a part of it, to its lender before it expires, together with unused tokens.
type LoanReturn struct {
	Workspace string  `json:"workspace"`
	ID        int64   `json:"id"`
	Rate      float64 `json:"rate"`
	Burst     float64 `json:"burst"`
	Level     float64 `json:"level"`
	Lender    string  `json:"lender"`
}

// Limiter holds one host's shares of the limits of all workspaces. It is not safe for concurrent use.
type Limiter struct {
	host string
	// opensAt is when the host's own shares may be used, if hasOpenTime is set.
	opensAt     time.Time
	hasOpenTime bool
	// run identifies the process, and lastID is the ID of the newest loan that it has granted.
	run    int64
	lastID int64
	// lenderCursor is the round-robin position of the lender that was asked last.
	lenderCursor int
	limits       map[string]Entitlement
	accounts     map[string]*account
	// overdraft is how far below zero an account may go.
	overdraft float64
	// near holds the hosts that are asked first for loans that no waiting request needs; all hosts are if it is empty.
	near value.Set[string]
}

// Option configures a limiter.
type Option func(*Limiter)

// WithOpenTime sets the time before which the host's own shares stay unused. Without it they stay unused until Open
// is called.
func WithOpenTime(opensAt time.Time) Option {
	return func(limiter *Limiter) { limiter.opensAt, limiter.hasOpenTime = opensAt, true }
}

// WithRun identifies the process among all that the host ever has. IDs of loans are counted from there, so that no two processes give the
// same one to different loans.
func WithRun(run int64) Option {
	return func(limiter *Limiter) { limiter.run, limiter.lastID = run, run }
}

// SetOverdraft lets every account go below zero by some tokens. The hosts together exceed a limit by at most the sum of
// their overdrafts, since overdrawn tokens have to accrue before more can be charged.
func (limiter *Limiter) SetOverdraft(tokens float64) { limiter.overdraft = tokens }

// SetNear sets the hosts that are asked first for loans that no waiting request needs, such as those of the own data centre. Waiting
// requests ask any host.
func (limiter *Limiter) SetNear(hosts value.Set[string]) { limiter.near = hosts }

// New returns the limiter of a host, with all accounts empty.
func New(host string, options ...Option) *Limiter {
	limiter := &Limiter{host: host, limits: map[string]Entitlement{}, accounts: map[string]*account{}}
	for _, option := range options {
		option(limiter)
	}
	return limiter
}

// Configure replaces the entitlements. An increase of a share starts without tokens; a decrease takes effect at once.
func (limiter *Limiter) Configure(now time.Time, limits map[string]Entitlement) {
	limiter.limits = limits
	for workspace, limit := range limits {
		if limit.Fraction > 0 && limiter.accounts[workspace] == nil {
			limiter.accounts[workspace] = newAccount(now)
		}
	}
	for workspace, account := range limiter.accounts {
		account.advance(now)
		account.base, account.whole = limiter.base(now, workspace), limiter.whole(workspace)
		account.clampToBurst()
	}
}

// Open sets the time from which the host's own shares may be used.
func (limiter *Limiter) Open(opensAt time.Time) {
	limiter.opensAt, limiter.hasOpenTime = opensAt, true
}

// Opened reports whether the host's own shares may be used.
func (limiter *Limiter) Opened(now time.Time) bool {
	return limiter.hasOpenTime && !now.Before(limiter.opensAt)
}

// Fill raises the host's account for a workspace to its burst. It is called for a limit that has just been declared, so
// no host has used it yet.
func (limiter *Limiter) Fill(now time.Time, workspace string) {
	account := limiter.account(now, workspace)
	account.level = account.effective().burst
	account.clampToBurst()
}

func (limiter *Limiter) base(now time.Time, workspace string) share {
	if !limiter.Opened(now) {
		return share{}
	}
	limit := limiter.limits[workspace]
	return share{rate: limit.Rate * limit.Fraction, burst: limit.Burst * limit.Fraction}
}

// whole returns the share of all hosts together, or nothing if the workspace has no limit.
func (limiter *Limiter) whole(workspace string) share {
	limit := limiter.limits[workspace]
	return share{rate: limit.Rate, burst: limit.Burst}
}

func (limiter *Limiter) account(now time.Time, workspace string) *account {
	known := limiter.accounts[workspace]
	if known == nil {
		known = newAccount(now)
		limiter.accounts[workspace] = known
	}
	if known.base == (share{}) {
		// The share accrues from the time it opens, even if the account is first used later.
		if limiter.Opened(now) && known.accruedAt.Before(limiter.opensAt) {
			known.advance(limiter.opensAt)
		}
		known.base, known.whole = limiter.base(now, workspace), limiter.whole(workspace)
	}
	known.advance(now)
	return known
}

// Charge charges tokens to a workspace. The receipt is set only if the outcome is Charged.
func (limiter *Limiter) Charge(now time.Time, workspace string, tokens float64) (*Receipt, Outcome) {
	limit, limited := limiter.limits[workspace]
	if !limited {
		return nil, Unlimited
	}
	if tokens > limit.Burst+limiter.overdraft {
		return nil, ExceedsBurst
	}
	account := limiter.account(now, workspace)
	receipt := account.charge(tokens, limiter.overdraft)
	if receipt == nil {
		account.largestWaiting = max(account.largestWaiting, tokens)
		return nil, Insufficient
	}
	receipt.workspace = workspace
	account.largestWaiting = 0
	return receipt, Charged
}

// Demand records that a request for tokens arrived. It is called once for each request.
func (limiter *Limiter) Demand(now time.Time, workspace string, tokens float64) {
	if _, limited := limiter.limits[workspace]; limited {
		limiter.account(now, workspace).demand.add(now, tokens)
	}
}

// Refund returns the unused tokens of a charge to the account. A second refund of the same receipt has no effect.
func (limiter *Limiter) Refund(now time.Time, receipt *Receipt, unused float64) {
	if receipt == nil {
		return
	}
	account := limiter.account(now, receipt.workspace)
	account.refund(receipt, unused)
}

// Status is the part of a workspace's limit that a host holds.
type Status struct {
	// Level is the number of available tokens; Rate is in tokens per second.
	Level float64
	Rate  float64
	// Limit is the rate of the workspace over all hosts.
	Limit float64
	// Loans is the number of loans that the host has borrowed.
	Loans int
	// Overdraft is how far below zero the level may go.
	Overdraft float64
}

const (
	// minRetryAfter and maxRetryAfter bound the time after which a caller over its limit should retry.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)

// RetryAfter returns the time after which the tokens for a request should be available, between minRetryAfter and
// maxRetryAfter.
func (status Status) RetryAfter(tokens float64) time.Duration {
	missing := tokens - status.Level - status.Overdraft
	if missing <= 0 || status.Rate <= 0 {
		return minRetryAfter
	}
	return min(max(time.Duration(missing/status.Rate*float64(time.Second)), minRetryAfter), maxRetryAfter)
}

// Status returns the part of a workspace's limit that the host holds.
func (limiter *Limiter) Status(now time.Time, workspace string) Status {
	account := limiter.account(now, workspace)
	return Status{
		Level: account.level, Rate: account.effective().rate, Limit: limiter.limits[workspace].Rate, Loans: len(account.borrowed),
		Overdraft: limiter.overdraft,
	}
}

// Level returns the tokens available to a workspace on this host.
func (limiter *Limiter) Level(now time.Time, workspace string) float64 {
	return limiter.account(now, workspace).level
}

// Lend responds to a loan request. Granted shares are deducted from the host's shares before Lend returns. Only the
// host's own share is lent. Borrowed shares go back to their lenders when LoanReturns is called after Lend.
func (limiter *Limiter) Lend(now time.Time, borrower string, request LoanRequest) LoanGrant {
	noGrant := LoanGrant{Workspace: request.Workspace, Lender: limiter.host}
	limit, limited := limiter.limits[request.Workspace]
	if !limited {
		return noGrant
	}
	account := limiter.account(now, request.Workspace)
	account.demand.decay(now)
	if len(account.borrowed) > 0 {
		account.peerDemand = max(account.peerDemand, request.Demand)
	}
	added, level := account.lendable(request)
	entry := account.loanTo(borrower, request.Run)
	worthwhile := added.rate > min(limit.Rate*minLoanFraction, account.base.rate*minShareFraction) ||
		added.burst > min(limit.Burst*minLoanFraction, account.base.burst*minShareFraction) ||
		(request.Shareless && request.Need > 0 && level >= request.Need)
	if entry == nil && !worthwhile {
		return noGrant
	}
	if entry == nil {
		limiter.lastID++
		account.lent = append(account.lent, loan{id: limiter.lastID, peer: borrower, run: request.Run})
		entry = &account.lent[len(account.lent)-1]
	} else if account.lacksOwnShare() || account.lentTooMuch() {
		// A lender that needs its share itself, or whose share has become smaller than what it has lent, lets the loan expire.
		return noGrant
	}
	entry.share.rate += added.rate
	entry.share.burst += added.burst
	entry.expiresAt = now.Add(LoanDuration + LoanMargin)
	account.level -= level
	account.clampToBurst()
	return LoanGrant{
		Workspace: request.Workspace, Lender: limiter.host, ID: entry.id,
		Rate: added.rate, Burst: added.burst, Level: level, Duration: LoanDuration,
	}
}

// lendable returns the part of the host's own share, and the tokens, that can be lent.
func (account *account) lendable(request LoanRequest) (added share, level float64) {
	own := account.unlent()
	needed := account.demand.rate * reserveFactor
	added.rate = min(max(0, request.Rate), max(0, own.rate-needed))
	keptTokens := needed * reserveDuration.Seconds()
	keptBurst := keptTokens
	if own.rate > 0 {
		// The rate that is kept needs some burst, so that its tokens can accrue.
		keptBurst = max(keptTokens, own.burst*(own.rate-added.rate)/own.rate)
	}
	added.burst = min(max(0, request.Burst), max(0, own.burst-keptBurst))
	available := max(0, account.level-keptTokens)
	if request.Need > 0 && account.largestWaiting == 0 {
		// A small share holds fewer tokens than a large request costs. The request would always be refused if busy
		// hosts lent nothing. A request that is waiting takes precedence over those that this host expects.
		available = max(0, account.level)
		added.burst = max(added.burst, min(available, request.Need, own.burst))
	}
	return added, min(available, added.burst)
}

// lacksOwnShare reports whether the host has lent shares that it needs itself.
func (account *account) lacksOwnShare() bool {
	held := account.effective()
	return held.rate < min(account.base.rate, account.demand.rate*reserveFactor)
}

// lentTooMuch reports whether the host has lent more than its share, which a change of the limit or of the members may have made smaller.
func (account *account) lentTooMuch() bool {
	left := account.base
	for _, entry := range account.lent {
		left.rate -= entry.share.rate
		left.burst -= entry.share.burst
	}
	return left.rate < -shareTolerance*account.base.rate || left.burst < -shareTolerance*account.base.burst
}

func (account *account) loanTo(borrower string, run int64) *loan {
	for index := range account.lent {
		if account.lent[index].peer == borrower && account.lent[index].run == run {
			return &account.lent[index]
		}
	}
	return nil
}

// Credit records a grant. Its duration counts from the time at which the request was sent.
func (limiter *Limiter) Credit(now, sentAt time.Time, grant LoanGrant) {
	until := sentAt.Add(grant.Duration)
	if grant.Duration <= 0 || !until.After(now) {
		return
	}
	account := limiter.account(now, grant.Workspace)
	entry := findLoan(account.borrowed, grant.Lender, grant.ID)
	if entry == nil {
		account.borrowed = append(account.borrowed, loan{id: grant.ID, peer: grant.Lender})
		entry = &account.borrowed[len(account.borrowed)-1]
	}
	entry.share.rate += grant.Rate
	entry.share.burst += grant.Burst
	if until.After(entry.expiresAt) {
		entry.expiresAt = until
	}
	account.level += grant.Level
	account.clampToBurst()
	if account.effective().rate >= account.demand.rate {
		account.requestInterval = 0
	}
}

// findLoan returns the loan with an ID that is lent to or borrowed from a peer, or nil.
func findLoan(loans []loan, peer string, id int64) *loan {
	for index := range loans {
		if loans[index].id == id && loans[index].peer == peer {
			return &loans[index]
		}
	}
	return nil
}

// LoanReturns gives back loans that the recent demand does not need or that are about to expire, and parts of the
// others if another host has requested more. It deducts them from the host's shares before it returns.
func (limiter *Limiter) LoanReturns(now time.Time) []LoanReturn {
	var loanReturns []LoanReturn
	for workspace, account := range limiter.accounts {
		account.advance(now)
		account.demand.decay(now)
		for index := len(account.borrowed) - 1; index >= 0; index-- {
			fraction := account.surplusFraction(now, account.borrowed[index])
			if fraction > 0 {
				loanReturns = append(loanReturns, account.returnLoan(workspace, index, fraction))
			}
		}
		account.peerDemand = 0
	}
	return loanReturns
}

// surplusFraction returns the fraction of a borrowed loan to give back. If another host has requested more, the hosts
// divide the borrowed shares in proportion to their recent demand.
func (account *account) surplusFraction(now time.Time, entry loan) float64 {
	switch {
	case entry.expiresAt.Sub(now) <= returnBefore, !account.needsLoan(entry):
		return 1
	case account.peerDemand > 0:
		return account.peerDemand / (account.peerDemand + account.demand.rate)
	default:
		return 0
	}
}

// returnLoan removes a fraction of a loan from the account, with a proportional part of the tokens, and at least those
// that exceed the remaining burst.
func (account *account) returnLoan(workspace string, index int, fraction float64) LoanReturn {
	entry := &account.borrowed[index]
	loanReturn := LoanReturn{
		Workspace: workspace, ID: entry.id, Lender: entry.peer, Rate: entry.share.rate * fraction, Burst: entry.share.burst * fraction,
	}
	burst := account.effective().burst
	entry.share.rate -= loanReturn.Rate
	entry.share.burst -= loanReturn.Burst
	if fraction == 1 {
		account.borrowed = slices.Delete(account.borrowed, index, index+1)
	}
	loanReturn.Level = max(0, account.level-account.effective().burst)
	if burst > 0 {
		loanReturn.Level = max(loanReturn.Level, account.level*loanReturn.Burst/burst)
	}
	loanReturn.Level = max(0, min(loanReturn.Level, loanReturn.Burst, account.level))
	account.level -= loanReturn.Level
	account.clampToBurst()
	return loanReturn
}

// AcceptReturn takes back shares and tokens that a borrower has returned. It ignores returns of loans that have ended.
func (limiter *Limiter) AcceptReturn(now time.Time, borrower string, loanReturn LoanReturn) {
	account := limiter.account(now, loanReturn.Workspace)
	entry := findLoan(account.lent, borrower, loanReturn.ID)
	if entry == nil || loanReturn.Rate < 0 || loanReturn.Burst < 0 || loanReturn.Level < 0 {
		return
	}
	entry.share.rate = max(0, entry.share.rate-loanReturn.Rate)
	entry.share.burst = max(0, entry.share.burst-loanReturn.Burst)
	account.level += min(loanReturn.Level, loanReturn.Burst)
	account.clampToBurst()
}
