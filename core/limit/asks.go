package limit

import (
	"math"
	"time"
)

const (
	// demandAhead is how much more than its recent demand a borrower asks for.
	demandAhead = 1.5
	// extendBefore is how long before its end a borrower asks to extend a loan.
	extendBefore = LoanDuration / 2
	// minAskWait is the least time between two rounds of asks for one workspace. It doubles up to maxAskWait while the
	// rounds bring less than is lacking: the workspace is then beyond its limit, which others cannot change. What
	// accrues elsewhere meanwhile is not lost, since bursts hold more than that time's tokens.
	minAskWait = 20 * time.Millisecond
	maxAskWait = 400 * time.Millisecond
	// answerTime is the time in which hosts answer asks, usually.
	answerTime = 30 * time.Millisecond
)

// Asks returns the requests to send to lenders now, one for each lender at most.
func (bank *Bank) Asks(now time.Time, lenders func(workspace string) []string) []Ask {
	var asks []Ask
	for workspace, account := range bank.accounts {
		account.settle(now)
		account.demand.decay(now)
		var rate, burst, need float64
		if sinceAsked := now.Sub(account.askedAt); sinceAsked >= account.askWait {
			need = max(0, account.waiting-account.level)
			// What only may be needed is asked for half as often.
			if need > 0 || sinceAsked >= 2*account.askWait {
				rate, burst = account.wants(bank.limits[workspace])
			}
		}
		if rate > 0 || need > 0 {
			account.asking(now)
		}
		homes := lenders(workspace)
		chosen := bank.choose(homes, rate, need, bank.limits[workspace])
		for _, lender := range homes {
			if lender == bank.host || (!chosen[lender] && !account.extends(now, lender)) {
				continue
			}
			asks = append(asks, Ask{
				Workspace: workspace, Rate: rate, Burst: burst, Demand: account.demand.rate, Need: account.waiting, Lender: lender,
			})
		}
		account.waiting = 0
	}
	return asks
}

// choose returns the lenders to ask for more: as many as have the rate between them, or the tokens that a request needs
// if their accounts are half full, and one more, others each time.
func (bank *Bank) choose(homes []string, rate, need float64, limit Entitlement) map[string]bool {
	chosen := map[string]bool{}
	if rate <= 0 && need <= 0 {
		return chosen
	}
	part := max(rate/limit.Rate, 2*need/limit.Burst)
	for range min(len(homes), int(math.Ceil(part*float64(len(homes))))+1) {
		bank.turn++
		chosen[homes[bank.turn%len(homes)]] = true
	}
	return chosen
}

// asking notes that other hosts are being asked for more.
func (account *account) asking(now time.Time) {
	wait := minAskWait
	if now.Sub(account.askedAt) < 2*maxAskWait {
		wait = min(max(2*account.askWait, minAskWait), maxAskWait)
	}
	account.askedAt, account.askWait = now, wait
}

// Hopeless says whether nothing can bring the tokens for a request until an instant: neither what accrues here nor other
// hosts, which were asked in vain and are not asked again before.
func (bank *Bank) Hopeless(now time.Time, workspace string, tokens float64, until time.Time) bool {
	account := bank.account(now, workspace)
	accrued := account.level + account.effective().rate*until.Sub(now).Seconds()
	return tokens > accrued+bank.overdraft && now.Sub(account.askedAt) >= answerTime && account.askedAt.Add(account.askWait).After(until)
}

// wants returns what the account lacks for its recent demand, or for a request that waits.
func (account *account) wants(limit Entitlement) (rate, burst float64) {
	held := account.effective()
	// More than is needed now, so that the next fluctuation needs no message.
	rate = max(0, min(account.demand.rate*demandAhead, limit.Rate)-held.rate)
	burst = max(0, limit.Burst-held.burst)
	switch {
	case account.waiting > account.level:
		return rate, burst
	case account.demand.rate <= held.rate || held.rate >= limit.Rate*(1-minLoanPart):
		return 0, 0
	default:
		return rate, burst
	}
}

// extends says whether a loan of a lender is needed longer.
func (account *account) extends(now time.Time, lender string) bool {
	for _, entry := range account.borrowed {
		if entry.peer == lender && entry.until.Sub(now) <= extendBefore && account.needs(entry) {
			return true
		}
	}
	return false
}

// needs says whether the account would lack a borrowed loan.
func (account *account) needs(entry loan) bool {
	return account.demand.rate*demandReserve > account.effective().rate-entry.share.rate
}
