// Package retry limits the requests that are sent to a second server to a budget over all hosts.
package retry

import "time"

const (
	// safetyFactor is the part of the ratio and the allowance that hosts use. It is below one half because a window can
	// use both the tokens saved before it and the tokens that accrue in it.
	safetyFactor = 0.45
	// periodsPerWindow is the number of periods into which a window is divided for the count of recent requests.
	periodsPerWindow = 10
)

// Budget is one host's share of the retry budget of one service. It is not safe for concurrent use.
//
// A host saves at most its share of the allowance and what its requests of the last window have earned, so the shares
// add up to the budget for any number of hosts. Where the share of the allowance is less than one retry, the host's own
// requests have to earn the rest.
type Budget struct {
	ratio float64
	// allowance is the number of retries that all hosts together may send in a window, in addition to the ratio.
	allowance float64
	window    time.Duration
	tokens    float64
	updated   time.Time
	// requests counts the requests in each of the last periods. period is the number of the current one.
	requests [periodsPerWindow]float64
	period   int64
}

// New returns a budget that allows a ratio of the requests and, in each window, an allowance over all hosts. It starts
// half full, since the host may have restarted within a window.
func New(now time.Time, ratio, allowance float64, window time.Duration, hosts int) *Budget {
	budget := &Budget{ratio: ratio, allowance: allowance, window: window, updated: now}
	budget.tokens = budget.share(hosts) / 2
	budget.period = budget.periodOf(now)
	return budget
}

// SetBounds replaces the bounds. Retries that were taken under the former ones still count.
func (budget *Budget) SetBounds(now time.Time, ratio, allowance float64, window time.Duration, hosts int) {
	budget.advance(now, hosts)
	budget.ratio, budget.allowance = ratio, allowance
	if window != budget.window {
		budget.window = window
		budget.period, budget.requests = budget.periodOf(now), [periodsPerWindow]float64{}
	}
	budget.tokens = min(budget.tokens, budget.limit(hosts))
}

// CountRequest records a request, which adds a fraction of a retry to the budget.
func (budget *Budget) CountRequest(now time.Time, hosts int) {
	budget.advance(now, hosts)
	budget.requests[budget.period%periodsPerWindow]++
	budget.tokens = min(budget.limit(hosts), budget.tokens+budget.ratio*safetyFactor)
}

// Take reports whether the budget allows a retry, and deducts it if so.
func (budget *Budget) Take(now time.Time, hosts int) bool {
	budget.advance(now, hosts)
	if budget.tokens < 1 {
		return false
	}
	budget.tokens--
	return true
}

// share returns the host's share of the allowance.
func (budget *Budget) share(hosts int) float64 {
	return safetyFactor * budget.allowance / float64(max(1, hosts))
}

// limit returns the maximum number of tokens that the host may save.
func (budget *Budget) limit(hosts int) float64 {
	recent := 0.0
	for _, count := range budget.requests {
		recent += count
	}
	return budget.share(hosts) + budget.ratio*safetyFactor*recent
}

func (budget *Budget) periodOf(now time.Time) int64 {
	return now.UnixNano() / max(1, int64(budget.window)/periodsPerWindow)
}

// advance drops the counts of past periods, and adds the tokens of the allowance that have accrued.
func (budget *Budget) advance(now time.Time, hosts int) {
	elapsed := now.Sub(budget.updated)
	if elapsed <= 0 {
		return
	}
	budget.updated = now
	current := budget.periodOf(now)
	for cleared := 0; budget.period < current && cleared < periodsPerWindow; cleared++ {
		budget.period++
		budget.requests[budget.period%periodsPerWindow] = 0
	}
	budget.period = current
	accrued := budget.share(hosts) * elapsed.Seconds() / budget.window.Seconds()
	budget.tokens = min(budget.limit(hosts), budget.tokens+accrued)
}
