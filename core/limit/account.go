package limit

import (
	"math"
	"time"
)

// share is a part of a limit: a rate in tokens per second and a burst in tokens.
type share struct {
	rate  float64
	burst float64
}

// loan is a share that is lent to or borrowed from a peer until it expires.
type loan struct {
	id   int64
	peer string
	// run identifies the borrower's process, on the lender.
	run       int64
	share     share
	expiresAt time.Time
}

// Receipt identifies tokens that were charged to a request. Unused ones may be refunded.
type Receipt struct {
	workspace string
	tokens    float64
	// headroom is the smallest difference between the burst and the level since the charge. It bounds the refund: if
	// fewer tokens had been charged, the level would have reached the burst, and the rest would have been dropped.
	headroom float64
}

// Tokens returns the number of charged tokens.
func (receipt *Receipt) Tokens() float64 { return receipt.tokens }

// account holds one workspace's shares on one host.
type account struct {
	// base is the host's own share, including the parts that it has lent.
	base share
	// whole is the share of all hosts together, or nothing if it is unknown.
	whole        share
	level        float64
	accruedAt    time.Time
	lent         []loan
	borrowed     []loan
	openReceipts map[*Receipt]struct{}
	demand       demand
	// largestWaiting is the size in tokens of the largest request that found too few tokens since the last loan
	// requests or the last successful charge.
	largestWaiting float64
	// requestedAt is when other hosts were last asked for additional shares; extensions of loans do not count. They are
	// not asked again before requestInterval has passed.
	requestedAt     time.Time
	requestInterval time.Duration
	// peerDemand is the greatest demand of a host that requested a loan while this host held borrowed shares.
	peerDemand float64
}

func newAccount(now time.Time) *account {
	return &account{accruedAt: now, openReceipts: map[*Receipt]struct{}{}, demand: demand{updatedAt: now}}
}

// unlent returns the part of the host's own share that is not lent out.
func (account *account) unlent() share {
	own := account.base
	for _, entry := range account.lent {
		own.rate -= entry.share.rate
		own.burst -= entry.share.burst
	}
	return share{rate: max(0, own.rate), burst: max(0, own.burst)}
}

// effective returns the share that the host may use at accruedAt: its own unlent share and what it has borrowed, which may still be
// parts of a larger limit.
func (account *account) effective() share {
	sum := account.unlent()
	for _, entry := range account.borrowed {
		sum.rate += entry.share.rate
		sum.burst += entry.share.burst
	}
	if account.whole != (share{}) {
		sum.rate, sum.burst = min(sum.rate, account.whole.rate), min(sum.burst, account.whole.burst)
	}
	return sum
}

// advance accrues tokens up to a point in time and ends the loans that expire by then.
func (account *account) advance(now time.Time) {
	for {
		next, found := account.nextExpiry(now)
		if !found {
			break
		}
		account.accrue(next)
		account.lent = activeLoans(account.lent, next)
		account.borrowed = activeLoans(account.borrowed, next)
		account.clampToBurst()
	}
	account.accrue(now)
}

func (account *account) nextExpiry(now time.Time) (time.Time, bool) {
	var first time.Time
	found := false
	for _, loans := range [][]loan{account.lent, account.borrowed} {
		for _, entry := range loans {
			if !entry.expiresAt.After(now) && (!found || entry.expiresAt.Before(first)) {
				first, found = entry.expiresAt, true
			}
		}
	}
	return first, found
}

func activeLoans(loans []loan, now time.Time) []loan {
	kept := loans[:0]
	for _, entry := range loans {
		if entry.expiresAt.After(now) {
			kept = append(kept, entry)
		}
	}
	return kept
}

func (account *account) accrue(now time.Time) {
	elapsed := now.Sub(account.accruedAt)
	if elapsed <= 0 {
		return
	}
	account.accruedAt = now
	account.level += account.effective().rate * elapsed.Seconds()
	account.clampToBurst()
}

// clampToBurst drops tokens beyond the burst and updates the headroom of open receipts.
func (account *account) clampToBurst() {
	burst := account.effective().burst
	account.level = min(account.level, burst)
	for receipt := range account.openReceipts {
		receipt.headroom = min(receipt.headroom, burst-account.level)
	}
}

func (account *account) charge(tokens, overdraft float64) *Receipt {
	if account.level+overdraft < tokens {
		return nil
	}
	account.level -= tokens
	receipt := &Receipt{tokens: tokens, headroom: math.Inf(1)}
	account.openReceipts[receipt] = struct{}{}
	account.clampToBurst()
	return receipt
}

func (account *account) refund(receipt *Receipt, unused float64) {
	if _, found := account.openReceipts[receipt]; !found {
		return
	}
	delete(account.openReceipts, receipt)
	account.level += max(0, min(unused, receipt.tokens, receipt.headroom))
	account.clampToBurst()
}

// demandTimeConstant is the time constant of the moving average of demand.
const demandTimeConstant = 300 * time.Millisecond

// demand is an exponential moving average of the requested tokens per second.
type demand struct {
	rate      float64
	updatedAt time.Time
}

func (demand *demand) add(now time.Time, tokens float64) {
	demand.decay(now)
	demand.rate += tokens / demandTimeConstant.Seconds()
}

func (demand *demand) decay(now time.Time) {
	elapsed := now.Sub(demand.updatedAt)
	if elapsed <= 0 {
		return
	}
	demand.updatedAt = now
	demand.rate *= math.Exp(-elapsed.Seconds() / demandTimeConstant.Seconds())
}
