package limit

import (
	"time"
)

const (
	// demandReserve is how much more than its recent demand a lender keeps.
	demandReserve = 1.2
	// extendBefore is how long before its end a borrower asks to extend a loan.
	extendBefore = LoanDuration / 2
	// minLoanRate and minLoanBurst are the smallest parts worth a message, in tokens per second and tokens.
	minLoanRate  = 0.01
	minLoanBurst = 0.01
)

// Outcome is the result of a charge.
type Outcome int

// The outcomes of a charge.
const (
	// Charged tokens were available.
	Charged Outcome = iota
	// Short means that tokens may be available at other hosts.
	Short
	// Never means that the request costs more than the whole burst.
	Never
	// Unlimited workspaces have no limit declared.
	Unlimited
)

// Entitlement is the limit of a workspace and the fraction of it that this host holds.
type Entitlement struct {
	Rate     float64
	Burst    float64
	Fraction float64
}

// Ask is a borrower's request to one lender.
type Ask struct {
	Workspace string  `json:"workspace"`
	Rate      float64 `json:"rate"`
	Burst     float64 `json:"burst"`
	// Extend is the identifier of a running loan to extend, or 0 for a new one.
	Extend int64 `json:"extend,omitempty"`
	// Lender is the host to ask.
	Lender string `json:"lender"`
}

// Grant is a lender's answer; a duration of 0 grants nothing.
type Grant struct {
	Workspace string        `json:"workspace"`
	ID        int64         `json:"id"`
	Rate      float64       `json:"rate"`
	Burst     float64       `json:"burst"`
	Level     float64       `json:"level"`
	Duration  time.Duration `json:"duration"`
	Extended  bool          `json:"extended,omitempty"`
	Lender    string        `json:"lender"`
}

// Bank holds one host's shares of all workspaces. It is not safe for concurrent use.
type Bank struct {
	host     string
	opens    time.Time
	opening  bool
	nextID   int64
	limits   map[string]Entitlement
	accounts map[string]*account
}

// Option configures a bank.
type Option func(*Bank)

// WithOpening sets the instant before which the host's own shares stay unused. Without it they stay unused until
// Open is called.
func WithOpening(opens time.Time) Option {
	return func(bank *Bank) { bank.opens, bank.opening = opens, true }
}

// NewBank returns the bank of a host, with all accounts empty.
func NewBank(host string, options ...Option) *Bank {
	bank := &Bank{host: host, limits: map[string]Entitlement{}, accounts: map[string]*account{}}
	for _, option := range options {
		option(bank)
	}
	return bank
}

// Configure replaces the entitlements. What a host gains starts empty; what it loses is lost at once.
func (bank *Bank) Configure(now time.Time, limits map[string]Entitlement) {
	bank.limits = limits
	for workspace, limit := range limits {
		if limit.Fraction > 0 && bank.accounts[workspace] == nil {
			bank.accounts[workspace] = newAccount(now)
		}
	}
	for workspace, account := range bank.accounts {
		account.settle(now)
		account.base = bank.base(now, workspace)
		account.clip()
	}
}

// Open sets the instant from which the host's own shares may be used.
func (bank *Bank) Open(opens time.Time) {
	bank.opens, bank.opening = opens, true
}

// Opened says whether the host's own shares may be used.
func (bank *Bank) Opened(now time.Time) bool {
	return bank.opening && !now.Before(bank.opens)
}

// Fill fills the host's own share of a limit that was declared just now, and which nobody has used.
func (bank *Bank) Fill(now time.Time, workspace string) {
	account := bank.account(now, workspace)
	account.level = account.effective().burst
	account.clip()
}

func (bank *Bank) base(now time.Time, workspace string) share {
	if !bank.Opened(now) {
		return share{}
	}
	limit := bank.limits[workspace]
	return share{rate: limit.Rate * limit.Fraction, burst: limit.Burst * limit.Fraction}
}

func (bank *Bank) account(now time.Time, workspace string) *account {
	known := bank.accounts[workspace]
	if known == nil {
		known = newAccount(now)
		bank.accounts[workspace] = known
	}
	if known.base == (share{}) {
		known.settle(now)
		known.base = bank.base(now, workspace)
	}
	known.settle(now)
	return known
}

// Spend charges tokens to a workspace. The receipt is set only for Charged.
func (bank *Bank) Spend(now time.Time, workspace string, tokens float64) (*Receipt, Outcome) {
	limit, limited := bank.limits[workspace]
	if !limited {
		return nil, Unlimited
	}
	if tokens > limit.Burst {
		return nil, Never
	}
	account := bank.account(now, workspace)
	receipt := account.spend(tokens)
	if receipt == nil {
		account.waiting = max(account.waiting, tokens)
		return nil, Short
	}
	receipt.workspace = workspace
	account.waiting = 0
	return receipt, Charged
}

// Demand records that a request for tokens arrived. It is called once for each request.
func (bank *Bank) Demand(now time.Time, workspace string, tokens float64) {
	if _, limited := bank.limits[workspace]; limited {
		bank.account(now, workspace).demand.add(now, tokens)
	}
}

// Refund gives back the unused tokens of a charge. A second refund of the same receipt has no effect.
func (bank *Bank) Refund(now time.Time, receipt *Receipt, unused float64) {
	if receipt == nil {
		return
	}
	account := bank.account(now, receipt.workspace)
	account.refund(receipt, unused)
}

// Level returns the tokens available to a workspace on this host.
func (bank *Bank) Level(now time.Time, workspace string) float64 {
	return bank.account(now, workspace).level
}

// Asks returns the requests to send to lenders now: extensions of running loans, and new loans for workspaces
// whose demand exceeds what the host holds.
func (bank *Bank) Asks(now time.Time, lenders func(workspace string) []string) []Ask {
	var asks []Ask
	for workspace, account := range bank.accounts {
		account.settle(now)
		account.demand.decay(now)
		asks = append(asks, bank.extensions(now, workspace, account)...)
		asks = append(asks, bank.newLoans(workspace, account, lenders(workspace))...)
		account.waiting = 0
	}
	return asks
}

func (bank *Bank) extensions(now time.Time, workspace string, account *account) []Ask {
	var asks []Ask
	held := account.effective().rate
	for index := range account.borrowed {
		entry := &account.borrowed[index]
		if entry.asking || entry.until.Sub(now) > extendBefore {
			continue
		}
		// A loan that the recent demand does not need is left to end.
		if held-entry.share.rate >= account.demand.rate*demandReserve && account.waiting == 0 {
			held -= entry.share.rate
			continue
		}
		entry.asking = true
		asks = append(asks, Ask{Workspace: workspace, Extend: entry.id, Lender: entry.peer})
	}
	return asks
}

func (bank *Bank) newLoans(workspace string, account *account, lenders []string) []Ask {
	limit := bank.limits[workspace]
	held := account.effective()
	rate := min(account.demand.rate*demandReserve, limit.Rate) - held.rate
	burst := limit.Burst - held.burst
	short := account.waiting > account.level
	if !short && rate <= minLoanRate {
		return nil
	}
	if short {
		rate = limit.Rate - held.rate
	}
	var asks []Ask
	for _, lender := range lenders {
		if lender != bank.host {
			asks = append(asks, Ask{Workspace: workspace, Rate: max(0, rate), Burst: max(0, burst), Lender: lender})
		}
	}
	return asks
}

// Lend answers an ask. What is granted is taken from the host's shares before Lend returns.
func (bank *Bank) Lend(now time.Time, borrower string, ask Ask) Grant {
	nothing := Grant{Workspace: ask.Workspace, Lender: bank.host, ID: ask.Extend, Extended: ask.Extend != 0}
	if _, limited := bank.limits[ask.Workspace]; !limited {
		return nothing
	}
	account := bank.account(now, ask.Workspace)
	account.demand.decay(now)
	if ask.Extend != 0 {
		return bank.extend(now, account, borrower, ask, nothing)
	}
	return bank.lendNew(now, account, borrower, ask, nothing)
}

func (bank *Bank) extend(now time.Time, account *account, borrower string, ask Ask, nothing Grant) Grant {
	needed := account.demand.rate * demandReserve
	if needed > account.effective().rate {
		return nothing
	}
	duration := account.lendable(now)
	for index := range account.lent {
		entry := &account.lent[index]
		if entry.id != ask.Extend || entry.peer != borrower {
			continue
		}
		if duration <= 0 {
			return nothing
		}
		entry.until = later(entry.until, now.Add(duration+LoanMargin))
		grant := nothing
		grant.Duration = duration
		return grant
	}
	return nothing
}

func (bank *Bank) lendNew(now time.Time, account *account, borrower string, ask Ask, nothing Grant) Grant {
	held := account.effective()
	duration := account.lendable(now)
	if duration <= 0 || held.burst <= 0 {
		return nothing
	}
	spare := max(0, held.rate-account.demand.rate*demandReserve)
	part := 1.0
	if held.rate > 0 {
		part = spare / held.rate
	}
	rate := min(max(0, ask.Rate), spare)
	burst := min(max(0, ask.Burst), held.burst*part)
	if rate < minLoanRate && burst < minLoanBurst {
		return nothing
	}
	level := min(account.level, burst)
	bank.nextID++
	account.level -= level
	account.lent = append(account.lent, loan{
		id: bank.nextID, peer: borrower, share: share{rate: rate, burst: burst}, until: now.Add(duration + LoanMargin),
	})
	account.clip()
	grant := nothing
	grant.ID, grant.Rate, grant.Burst, grant.Level, grant.Duration = bank.nextID, rate, burst, level, duration
	return grant
}

// lendable returns how long the account can lend for: no longer than the loans that it would pass on.
func (account *account) lendable(now time.Time) time.Duration {
	duration := LoanDuration
	for _, entry := range account.borrowed {
		duration = min(duration, entry.until.Sub(now)-LoanMargin)
	}
	return duration
}

func later(left, right time.Time) time.Time {
	if left.After(right) {
		return left
	}
	return right
}

// Credit records a grant. Its duration counts from the instant at which the ask was sent.
func (bank *Bank) Credit(now, sentAt time.Time, grant Grant) {
	account := bank.account(now, grant.Workspace)
	until := sentAt.Add(grant.Duration)
	if grant.Extended {
		account.extendBorrowed(grant, until)
		return
	}
	if grant.Duration <= 0 || !until.After(now) {
		return
	}
	account.borrowed = append(account.borrowed, loan{
		id: grant.ID, peer: grant.Lender, share: share{rate: grant.Rate, burst: grant.Burst}, until: until,
	})
	account.level += grant.Level
	account.clip()
}

// Unanswered records that an ask got no answer, so that an extension can be asked for again.
func (bank *Bank) Unanswered(ask Ask) {
	if account := bank.accounts[ask.Workspace]; account != nil && ask.Extend != 0 {
		account.extendBorrowed(Grant{ID: ask.Extend, Lender: ask.Lender}, time.Time{})
	}
}

func (account *account) extendBorrowed(grant Grant, until time.Time) {
	for index := range account.borrowed {
		entry := &account.borrowed[index]
		if entry.id == grant.ID && entry.peer == grant.Lender {
			entry.asking = false
			entry.until = later(entry.until, until)
		}
	}
}
