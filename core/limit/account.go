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

// loan is a share that is lent or borrowed until an instant.
type loan struct {
	id    int64
	peer  string
	share share
	until time.Time
}

// Receipt stands for tokens charged to a request that may be partly given back.
type Receipt struct {
	workspace string
	tokens    float64
	// headroom is the smallest space below the burst since the charge. More than this cannot be given back: a
	// smaller charge would have overflowed.
	headroom float64
}

// Tokens returns what was charged.
func (receipt *Receipt) Tokens() float64 { return receipt.tokens }

// account holds one workspace's shares on one host.
type account struct {
	base     share
	level    float64
	settled  time.Time
	lent     []loan
	borrowed []loan
	open     map[*Receipt]struct{}
	demand   demand
	// waiting is the size of the largest request that found too few tokens since the last asks.
	waiting float64
	// askedAt is when other hosts were asked last, for more than the extension of loans; the next time is askWait later.
	askedAt time.Time
	askWait time.Duration
	// pressure is the greatest demand of another host that asked while this one held borrowed shares.
	pressure float64
}

func newAccount(now time.Time) *account {
	return &account{settled: now, open: map[*Receipt]struct{}{}, demand: demand{updated: now}}
}

// unlent returns the part of the own share that is not lent.
func (account *account) unlent() share {
	own := account.base
	for _, out := range account.lent {
		own.rate -= out.share.rate
		own.burst -= out.share.burst
	}
	return share{rate: max(0, own.rate), burst: max(0, own.burst)}
}

// effective returns the shares that the host may use at the instant up to which the account is settled.
func (account *account) effective() share {
	sum := account.unlent()
	for _, in := range account.borrowed {
		sum.rate += in.share.rate
		sum.burst += in.share.burst
	}
	return sum
}

// settle accrues tokens up to an instant, ending loans on the way.
func (account *account) settle(now time.Time) {
	for {
		next, found := account.nextEnd(now)
		if !found {
			break
		}
		account.accrue(next)
		account.lent = running(account.lent, next)
		account.borrowed = running(account.borrowed, next)
		account.clip()
	}
	account.accrue(now)
}

func (account *account) nextEnd(now time.Time) (time.Time, bool) {
	var first time.Time
	found := false
	for _, loans := range [][]loan{account.lent, account.borrowed} {
		for _, entry := range loans {
			if !entry.until.After(now) && (!found || entry.until.Before(first)) {
				first, found = entry.until, true
			}
		}
	}
	return first, found
}

func running(loans []loan, now time.Time) []loan {
	kept := loans[:0]
	for _, entry := range loans {
		if entry.until.After(now) {
			kept = append(kept, entry)
		}
	}
	return kept
}

func (account *account) accrue(now time.Time) {
	elapsed := now.Sub(account.settled)
	if elapsed <= 0 {
		return
	}
	account.settled = now
	account.level += account.effective().rate * elapsed.Seconds()
	account.clip()
}

// clip drops what exceeds the burst.
func (account *account) clip() {
	burst := account.effective().burst
	account.level = min(account.level, burst)
	for receipt := range account.open {
		receipt.headroom = min(receipt.headroom, burst-account.level)
	}
}

func (account *account) spend(tokens, overdraft float64) *Receipt {
	if account.level+overdraft < tokens {
		return nil
	}
	account.level -= tokens
	receipt := &Receipt{tokens: tokens, headroom: math.Inf(1)}
	account.open[receipt] = struct{}{}
	account.clip()
	return receipt
}

func (account *account) refund(receipt *Receipt, unused float64) {
	if _, found := account.open[receipt]; !found {
		return
	}
	delete(account.open, receipt)
	account.level += max(0, min(unused, receipt.tokens, receipt.headroom))
	account.clip()
}

// demandHorizon is the time over which demand is averaged.
const demandHorizon = 300 * time.Millisecond

// demand averages the tokens asked for per second.
type demand struct {
	rate    float64
	updated time.Time
}

func (demand *demand) add(now time.Time, tokens float64) {
	demand.decay(now)
	demand.rate += tokens / demandHorizon.Seconds()
}

func (demand *demand) decay(now time.Time) {
	elapsed := now.Sub(demand.updated)
	if elapsed <= 0 {
		return
	}
	demand.updated = now
	demand.rate *= math.Exp(-elapsed.Seconds() / demandHorizon.Seconds())
}
