// Package retry keeps the requests that are sent to a second server within a budget over all hosts.
package retry

import "time"

// Budget is one host's part of the budget of one service. It is not safe for concurrent use.
type Budget struct {
	ratio float64
	// allowance is the number of retries allowed in a window beside the ratio, over all hosts.
	allowance float64
	window    time.Duration
	tokens    float64
	updated   time.Time
}

// safety is the part of the allowance that hosts use: a window may hold what was saved before it and what accrues in it.
const safety = 0.45

// New returns a budget: a fraction of the requests, and an allowance over all hosts in each window. It starts half
// full, since the host may have started again within a window.
func New(now time.Time, ratio, allowance float64, window time.Duration, hosts int) *Budget {
	budget := &Budget{ratio: ratio, allowance: allowance, window: window, updated: now}
	budget.tokens = budget.limit(hosts) / 2
	return budget
}

// Request counts a request, which earns a part of a retry.
func (budget *Budget) Request(now time.Time, hosts int) {
	budget.accrue(now, hosts)
	budget.tokens = min(budget.limit(hosts), budget.tokens+budget.ratio*safety)
}

func (budget *Budget) limit(hosts int) float64 {
	return max(2, safety*budget.allowance/float64(max(1, hosts)))
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

// Take says whether the budget allows a retry, and takes it from the budget.
func (budget *Budget) Take(now time.Time, hosts int) bool {
	budget.accrue(now, hosts)
	if budget.tokens < 1 {
		return false
	}
	budget.tokens--
	return true
}
