// Package retry limits the requests that are sent to a second server to a budget over all hosts.
package retry

import "time"

// Budget is one host's share of the retry budget of one service. It is not safe for concurrent use.
type Budget struct {
	ratio float64
	// allowance is the number of retries that all hosts together may send in a window, in addition to the ratio.
	allowance float64
	window    time.Duration
	tokens    float64
	updated   time.Time
}

// safetyFactor is the part of the ratio and the allowance that hosts use. It is below one half because a window can use
// both the tokens saved before it and the tokens that accrue in it.
const safetyFactor = 0.45

// New returns a budget that allows a ratio of the requests and, in each window, an allowance over all hosts. It starts
// half full, since the host may have restarted within a window.
func New(now time.Time, ratio, allowance float64, window time.Duration, hosts int) *Budget {
	budget := &Budget{ratio: ratio, allowance: allowance, window: window, updated: now}
	budget.tokens = budget.limit(hosts) / 2
	return budget
}

// CountRequest records a request, which adds a fraction of a retry to the budget.
func (budget *Budget) CountRequest(now time.Time, hosts int) {
	budget.accrue(now, hosts)
	budget.tokens = min(budget.limit(hosts), budget.tokens+budget.ratio*safetyFactor)
}

// limit returns the maximum number of tokens that the host may save.
func (budget *Budget) limit(hosts int) float64 {
	return max(2, safetyFactor*budget.allowance/float64(max(1, hosts)))
}

func (budget *Budget) accrue(now time.Time, hosts int) {
	elapsed := now.Sub(budget.updated)
	if elapsed <= 0 {
		return
	}
	budget.updated = now
	limit := budget.limit(hosts)
	budget.tokens = min(limit, budget.tokens+limit*elapsed.Seconds()/budget.window.Seconds())
}

// Take reports whether the budget allows a retry, and deducts it if so.
func (budget *Budget) Take(now time.Time, hosts int) bool {
	budget.accrue(now, hosts)
	if budget.tokens < 1 {
		return false
	}
	budget.tokens--
	return true
}
