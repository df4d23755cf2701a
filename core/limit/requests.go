package limit

import (
	"math"
	"slices"
	"time"
)

const (
	// borrowFactor is the multiple of its recent demand up to which a borrower requests shares.
	borrowFactor = 1.5
	// extendBefore is how long before the expiry of a loan the borrower starts to ask for its extension.
	extendBefore = LoanDuration / 2
	// minRequestInterval is the minimum time between two rounds of loan requests for one workspace. The interval
	// doubles up to maxRequestInterval while the rounds bring less than is lacking: the workspace is then over its
	// limit, which other hosts cannot change. Tokens that accrue on other hosts in the meantime are not lost, since the
	// burst holds more than accrues in that time.
	minRequestInterval = 20 * time.Millisecond
	maxRequestInterval = 400 * time.Millisecond
	// responseTime is the time within which hosts usually respond to loan requests.
	responseTime = 30 * time.Millisecond
)

// LoanRequests returns the requests to send now, at most one for each lender.
func (limiter *Limiter) LoanRequests(now time.Time, lenders func(workspace string) []string) []LoanRequest {
	var requests []LoanRequest
	for workspace, account := range limiter.accounts {
		account.advance(now)
		account.demand.decay(now)
		var rate, burst, need float64
		if sinceRequested := now.Sub(account.requestedAt); sinceRequested >= account.requestInterval {
			need = max(0, account.largestWaiting-account.level)
			// Shares that no waiting request needs yet are requested half as often.
			if need > 0 || sinceRequested >= 2*account.requestInterval {
				rate, burst = account.shortfall(limiter.limits[workspace])
			}
		}
		if rate > 0 || need > 0 {
			account.recordRequest(now)
		}
		candidates := lenders(workspace)
		chosen := limiter.chooseLenders(candidates, rate, need, limiter.limits[workspace])
		for _, lender := range candidates {
			if lender == limiter.host || (!chosen[lender] && !account.needsExtension(now, lender)) {
				continue
			}
			requests = append(requests, LoanRequest{
				Workspace: workspace, Rate: rate, Burst: burst, Demand: account.demand.rate, Need: account.largestWaiting, Lender: lender, Run: limiter.run,
				Shareless: limiter.limits[workspace].Fraction == 0,
			})
		}
		account.largestWaiting = 0
	}
	return requests
}

// chooseLenders returns the lenders to ask for more: as many as together hold the rate, or the tokens that a request
// needs if their accounts are half full, and one more. It rotates through the candidates from call to call. Without a waiting
// request, near hosts are chosen only: with 85 hosts in four data centres, most messages about loans went to other data centres.
func (limiter *Limiter) chooseLenders(candidates []string, rate, need float64, limit Entitlement) map[string]bool {
	chosen := map[string]bool{}
	if rate <= 0 && need <= 0 {
		return chosen
	}
	fraction := max(rate/limit.Rate, 2*need/limit.Burst)
	count := int(math.Ceil(fraction*float64(len(candidates)))) + 1
	if need <= 0 && len(limiter.near) > 0 {
		candidates = slices.DeleteFunc(slices.Clone(candidates), func(name string) bool { return name == limiter.host || !limiter.near.Has(name) })
	}
	for range min(len(candidates), count) {
		limiter.lenderCursor++
		chosen[candidates[limiter.lenderCursor%len(candidates)]] = true
	}
	return chosen
}

// recordRequest records that other hosts are asked for more, and sets the time before the next request.
func (account *account) recordRequest(now time.Time) {
	wait := minRequestInterval
	if now.Sub(account.requestedAt) < 2*maxRequestInterval {
		wait = min(max(2*account.requestInterval, minRequestInterval), maxRequestInterval)
	}
	account.requestedAt, account.requestInterval = now, wait
}

// Unsatisfiable reports whether a request cannot get its tokens before a deadline. This is so if too few tokens accrue
// on this host, and other hosts have been asked without success and are not asked again before the deadline.
func (limiter *Limiter) Unsatisfiable(now time.Time, workspace string, tokens float64, until time.Time) bool {
	account := limiter.account(now, workspace)
	accrued := account.level + account.effective().rate*until.Sub(now).Seconds()
	return tokens > accrued+limiter.overdraft && now.Sub(account.requestedAt) >= responseTime && account.requestedAt.Add(account.requestInterval).After(until)
}

// shortfall returns the rate and burst that the account lacks for its recent demand or for a waiting request.
func (account *account) shortfall(limit Entitlement) (rate, burst float64) {
	held := account.effective()
	// Requesting more than is needed now avoids further messages when the demand fluctuates.
	rate = max(0, min(account.demand.rate*borrowFactor, limit.Rate)-held.rate)
	burst = max(0, limit.Burst-held.burst)
	switch {
	case account.largestWaiting > account.level:
		return rate, burst
	case account.demand.rate <= held.rate || held.rate >= limit.Rate*(1-minLoanFraction):
		return 0, 0
	default:
		return rate, burst
	}
}

// needsExtension reports whether a loan from a lender expires soon and is still needed.
func (account *account) needsExtension(now time.Time, lender string) bool {
	for _, entry := range account.borrowed {
		if entry.peer == lender && entry.expiresAt.Sub(now) <= extendBefore && account.needsLoan(entry) {
			return true
		}
	}
	return false
}

// needsLoan reports whether the account would have too small a rate for its recent demand without a borrowed loan.
func (account *account) needsLoan(entry loan) bool {
	return account.demand.rate*reserveFactor > account.effective().rate-entry.share.rate
}
