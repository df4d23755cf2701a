package limit

import (
	"slices"
	"time"
)

const (
	// demandReserve is how much more than its recent demand a host keeps.
	demandReserve = 1.2
	// returnBefore is how long before its end an unextended loan is given back.
	returnBefore = 300 * time.Millisecond
	// reserveTime is the time of its recent demand for which a lender keeps tokens.
	reserveTime = 200 * time.Millisecond
	// minLoanPart is the smallest part of a limit that is worth a loan by itself.
	minLoanPart = 0.01
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

// Ask is a borrower's request to one lender. It also extends the loan that the lender has given already.
type Ask struct {
	Workspace string `json:"workspace"`
	// Rate and Burst are wanted in addition.
	Rate  float64 `json:"rate"`
	Burst float64 `json:"burst"`
	// Demand is the borrower's recent demand in tokens per second.
	Demand float64 `json:"demand"`
	// Need is the size of the largest request that waits, in tokens.
	Need float64 `json:"need,omitempty"`
	// Lender is the host to ask, which knows that it is meant.
	Lender string `json:"-"`
}

// Grant is a lender's answer. A duration of 0 grants nothing.
type Grant struct {
	Workspace string `json:"workspace"`
	// ID identifies the loan; a later grant with the same ID adds to it and extends it.
	ID       int64         `json:"id"`
	Rate     float64       `json:"rate"`
	Burst    float64       `json:"burst"`
	Level    float64       `json:"level"`
	Duration time.Duration `json:"duration"`
	Lender   string        `json:"lender"`
}

// Return gives a loan, or a part of it, back to its lender before its end, with tokens that were not used.
type Return struct {
	Workspace string  `json:"workspace"`
	ID        int64   `json:"id"`
	Rate      float64 `json:"rate"`
	Burst     float64 `json:"burst"`
	Level     float64 `json:"level"`
	Lender    string  `json:"lender"`
}

// Bank holds one host's shares of all workspaces. It is not safe for concurrent use.
type Bank struct {
	host    string
	opens   time.Time
	opening bool
	nextID  int64
	// turn is the lender that was asked last.
	turn     int
	limits   map[string]Entitlement
	accounts map[string]*account
	// overdraft is how far below zero an account may go.
	overdraft float64
}

// Option configures a bank.
type Option func(*Bank)

// WithOpening sets the instant before which the host's own shares stay unused. Without it they stay unused until
// Open is called.
func WithOpening(opens time.Time) Option {
	return func(bank *Bank) { bank.opens, bank.opening = opens, true }
}

// SetOverdraft lets every account go below zero by some tokens. The hosts together exceed a limit by the sum of their
// overdrafts at most, since what is overdrawn has to accrue before it can be spent again.
func (bank *Bank) SetOverdraft(tokens float64) { bank.overdraft = tokens }

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
		// The share has accrued since it was opened, whenever it is first asked for.
		if bank.Opened(now) && known.settled.Before(bank.opens) {
			known.settle(bank.opens)
		}
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
	if tokens > limit.Burst+bank.overdraft {
		return nil, Never
	}
	account := bank.account(now, workspace)
	receipt := account.spend(tokens, bank.overdraft)
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

// Standing is what a host has of a workspace's limit.
type Standing struct {
	// Level is the number of tokens at hand; Rate is in tokens per second.
	Level float64
	Rate  float64
	// Limit is the rate of the workspace over all hosts.
	Limit float64
	// Loans is the number of loans that the host has taken.
	Loans int
	// Overdraft is how far below zero the level may go.
	Overdraft float64
}

const (
	// minReturn and maxReturn bound the time after which a caller beyond its limit should come back.
	minReturn = 100 * time.Millisecond
	maxReturn = 2 * time.Second
)

// ReturnIn returns the time after which tokens for a request should be at hand.
func (standing Standing) ReturnIn(tokens float64) time.Duration {
	missing := tokens - standing.Level - standing.Overdraft
	if missing <= 0 || standing.Rate <= 0 {
		return minReturn
	}
	return min(max(time.Duration(missing/standing.Rate*float64(time.Second)), minReturn), maxReturn)
}

// Standing returns what the host has of a workspace's limit.
func (bank *Bank) Standing(now time.Time, workspace string) Standing {
	account := bank.account(now, workspace)
	return Standing{
		Level: account.level, Rate: account.effective().rate, Limit: bank.limits[workspace].Rate, Loans: len(account.borrowed),
		Overdraft: bank.overdraft,
	}
}

// Level returns the tokens available to a workspace on this host.
func (bank *Bank) Level(now time.Time, workspace string) float64 {
	return bank.account(now, workspace).level
}

// Lend answers an ask. What is granted is taken from the host's shares before Lend returns. Only the host's own
// share is lent; what it has borrowed goes back to its lender, which Returns does after a Lend.
func (bank *Bank) Lend(now time.Time, borrower string, ask Ask) Grant {
	nothing := Grant{Workspace: ask.Workspace, Lender: bank.host}
	limit, limited := bank.limits[ask.Workspace]
	if !limited {
		return nothing
	}
	account := bank.account(now, ask.Workspace)
	account.demand.decay(now)
	if len(account.borrowed) > 0 {
		account.pressure = max(account.pressure, ask.Demand)
	}
	added, level := account.spare(ask)
	entry := account.lentTo(borrower)
	worthwhile := added.rate > limit.Rate*minLoanPart || added.burst > limit.Burst*minLoanPart
	if entry == nil && !worthwhile {
		return nothing
	}
	if entry == nil {
		bank.nextID++
		account.lent = append(account.lent, loan{id: bank.nextID, peer: borrower})
		entry = &account.lent[len(account.lent)-1]
	} else if account.lacks() {
		// A lender that needs its share for itself lets the loan end.
		return nothing
	}
	entry.share.rate += added.rate
	entry.share.burst += added.burst
	entry.until = now.Add(LoanDuration + LoanMargin)
	account.level -= level
	account.clip()
	return Grant{
		Workspace: ask.Workspace, Lender: bank.host, ID: entry.id,
		Rate: added.rate, Burst: added.burst, Level: level, Duration: LoanDuration,
	}
}

// spare returns the part of the own share, and the tokens, that can be lent.
func (account *account) spare(ask Ask) (added share, level float64) {
	own := account.unlent()
	needed := account.demand.rate * demandReserve
	added.rate = min(max(0, ask.Rate), max(0, own.rate-needed))
	kept := needed * reserveTime.Seconds()
	room := kept
	if own.rate > 0 {
		// A rate that stays here needs burst to accrue in.
		room = max(kept, own.burst*(own.rate-added.rate)/own.rate)
	}
	added.burst = min(max(0, ask.Burst), max(0, own.burst-room))
	atHand := max(0, account.level-kept)
	if ask.Need > 0 && account.waiting == 0 {
		// Small shares hold less than a large request costs, and it would be refused for good if busy hosts lent nothing.
		// A request that waits comes before those that this host expects.
		atHand = max(0, account.level)
		added.burst = max(added.burst, min(atHand, ask.Need, own.burst))
	}
	return added, min(atHand, added.burst)
}

// lacks says whether the host has lent what it needs itself.
func (account *account) lacks() bool {
	held := account.effective()
	return held.rate < min(account.base.rate, account.demand.rate*demandReserve)
}

func (account *account) lentTo(borrower string) *loan {
	for index := range account.lent {
		if account.lent[index].peer == borrower {
			return &account.lent[index]
		}
	}
	return nil
}

// Credit records a grant. Its duration counts from the instant at which the ask was sent.
func (bank *Bank) Credit(now, sentAt time.Time, grant Grant) {
	until := sentAt.Add(grant.Duration)
	if grant.Duration <= 0 || !until.After(now) {
		return
	}
	account := bank.account(now, grant.Workspace)
	entry := account.borrowedAs(grant)
	if entry == nil {
		account.borrowed = append(account.borrowed, loan{id: grant.ID, peer: grant.Lender})
		entry = &account.borrowed[len(account.borrowed)-1]
	}
	entry.share.rate += grant.Rate
	entry.share.burst += grant.Burst
	if until.After(entry.until) {
		entry.until = until
	}
	account.level += grant.Level
	account.clip()
	if account.effective().rate >= account.demand.rate {
		account.askWait = 0
	}
}

func (account *account) borrowedAs(grant Grant) *loan {
	for index := range account.borrowed {
		if account.borrowed[index].id == grant.ID && account.borrowed[index].peer == grant.Lender {
			return &account.borrowed[index]
		}
	}
	return nil
}

// Returns gives back loans that the recent demand does not need or that are about to end, and parts of the others if
// another host has asked for more. What is given back is taken from the host's shares before Returns returns.
func (bank *Bank) Returns(now time.Time) []Return {
	var returns []Return
	for workspace, account := range bank.accounts {
		account.settle(now)
		account.demand.decay(now)
		for index := len(account.borrowed) - 1; index >= 0; index-- {
			part := account.surplus(now, account.borrowed[index])
			if part > 0 {
				returns = append(returns, account.giveBack(workspace, index, part))
			}
		}
		account.pressure = 0
	}
	return returns
}

// surplus returns the part of a borrowed loan to give back. Under pressure, the hosts share what is borrowed in
// proportion to their recent demand.
func (account *account) surplus(now time.Time, entry loan) float64 {
	switch {
	case entry.until.Sub(now) <= returnBefore, !account.needs(entry):
		return 1
	case account.pressure > 0:
		return account.pressure / (account.pressure + account.demand.rate)
	default:
		return 0
	}
}

// giveBack takes a part of a loan out of the account, and the tokens that go with it: their part of the whole, and at
// least what exceeds the burst that remains.
func (account *account) giveBack(workspace string, index int, part float64) Return {
	entry := &account.borrowed[index]
	back := Return{
		Workspace: workspace, ID: entry.id, Lender: entry.peer, Rate: entry.share.rate * part, Burst: entry.share.burst * part,
	}
	whole := account.effective().burst
	entry.share.rate -= back.Rate
	entry.share.burst -= back.Burst
	if part == 1 {
		account.borrowed = slices.Delete(account.borrowed, index, index+1)
	}
	back.Level = max(0, account.level-account.effective().burst)
	if whole > 0 {
		back.Level = max(back.Level, account.level*back.Burst/whole)
	}
	back.Level = max(0, min(back.Level, back.Burst, account.level))
	account.level -= back.Level
	account.clip()
	return back
}

// TakeBack takes what a borrower has given back. A loan that has ended meanwhile is not concerned.
func (bank *Bank) TakeBack(now time.Time, borrower string, back Return) {
	account := bank.account(now, back.Workspace)
	entry := account.lentTo(borrower)
	if entry == nil || entry.id != back.ID || back.Rate < 0 || back.Burst < 0 || back.Level < 0 {
		return
	}
	entry.share.rate = max(0, entry.share.rate-back.Rate)
	entry.share.burst = max(0, entry.share.burst-back.Burst)
	account.level += min(back.Level, back.Burst)
	account.clip()
}
