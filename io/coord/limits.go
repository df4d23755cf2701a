package coord

import (
	"context"
	"time"

	"lentilproxy/core/limit"
	"lentilproxy/core/retry"
	"lentilproxy/core/setup"
	"lentilproxy/core/spec"
	"lentilproxy/io/clock"
)

// share takes in the number of hosts that share limits, and this host's part.
func (traffic *Traffic) share(now time.Time, members int, fraction float64) {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	if members == traffic.count && fraction == traffic.fraction {
		return
	}
	traffic.count, traffic.fraction = members, fraction
	traffic.configureLimits(now, traffic.coordinator.View())
}

// configureLimits divides the limits over the hosts. A limit that is new starts full, as nobody has used it.
func (traffic *Traffic) configureLimits(now time.Time, view *spec.View) {
	traffic.bank.SetOverdraft(overdraftPart * traffic.bounds.QuotaAllowance / float64(max(1, traffic.count)))
	limits := map[string]limit.Entitlement{}
	changed := false
	for name, workspace := range view.Config.Workspaces() {
		if workspace.Rate <= 0 {
			continue
		}
		limits[name] = limit.Entitlement{Rate: workspace.Rate, Burst: max(workspace.Burst, 1), Fraction: traffic.fraction}
		changed = changed || limits[name] != traffic.limits[name]
	}
	if !changed && len(limits) == len(traffic.limits) {
		return
	}
	traffic.bank.Configure(now, limits)
	for name := range limits {
		if _, known := traffic.limits[name]; !known {
			traffic.bank.Fill(now, name)
		}
	}
	traffic.limits = limits
}

// Standing returns what the host has of a workspace's limit.
func (traffic *Traffic) Standing(now time.Time, workspace string) limit.Standing {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	return traffic.bank.Standing(now, workspace)
}

// reload takes changed bounds in. Budgets start anew with them.
func (traffic *Traffic) reload(bounds setup.Bounds) {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	if bounds == traffic.bounds {
		return
	}
	traffic.bounds = bounds
	clear(traffic.budgets)
}

func (traffic *Traffic) hostCount() int {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	return max(1, traffic.count)
}

// Request counts a request for a service, which earns a part of a retry.
func (traffic *Traffic) Request(now time.Time, service string) {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	traffic.budget(now, service).Request(now, max(1, traffic.count))
}

// Retry says whether a request may be sent to a further server, and takes it from the budget.
func (traffic *Traffic) Retry(now time.Time, service string) bool {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	return traffic.budget(now, service).Take(now, max(1, traffic.count))
}

func (traffic *Traffic) budget(now time.Time, service string) *retry.Budget {
	known := traffic.budgets[service]
	if known == nil {
		known = retry.New(now, traffic.bounds.RetryRatio, traffic.bounds.RetryAllowance, traffic.bounds.RetryWindow, traffic.count)
		traffic.budgets[service] = known
	}
	return known
}

// Charge takes tokens from a workspace's limit, and waits a moment for other hosts' shares if the own is short.
func (traffic *Traffic) Charge(ctx context.Context, workspace string, tokens float64) limit.Outcome {
	deadline := clock.Now().Add(borrowWait)
	first := true
	for {
		now := clock.Now()
		outcome, credited := traffic.spend(now, workspace, tokens, first)
		if outcome != limit.Short || !now.Before(deadline) {
			return outcome
		}
		first = false
		traffic.coordinator.post(func(now time.Time) { traffic.exchange(now) })
		timer := time.NewTimer(accrueWait)
		select {
		case <-credited:
		case <-timer.C:
		case <-ctx.Done():
			return limit.Short
		}
		timer.Stop()
	}
}

func (traffic *Traffic) spend(now time.Time, workspace string, tokens float64, first bool) (limit.Outcome, chan struct{}) {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	if first {
		traffic.bank.Demand(now, workspace, tokens)
	}
	receipt, outcome := traffic.bank.Spend(now, workspace, tokens)
	// The platform counts what a request announces, so nothing is given back.
	traffic.bank.Refund(now, receipt, 0)
	return outcome, traffic.credited
}

// exchange asks peers for shares of limits that run short here, and gives back what is not needed.
func (traffic *Traffic) exchange(now time.Time) {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	if now.Sub(traffic.borrowedAt) < borrowInterval {
		return
	}
	traffic.borrowedAt = now
	byPeer := map[string][]limit.Ask{}
	for _, ask := range traffic.bank.Asks(now, func(string) []string { return traffic.names }) {
		byPeer[ask.Lender] = append(byPeer[ask.Lender], ask)
	}
	for lender, asks := range byPeer {
		if address, found := traffic.addresses[lender]; found {
			go traffic.borrow(address, asks)
		}
	}
	back := map[string][]limit.Return{}
	for _, entry := range traffic.bank.Returns(now) {
		back[entry.Lender] = append(back[entry.Lender], entry)
	}
	for lender, entries := range back {
		if address, found := traffic.addresses[lender]; found {
			go traffic.giveBack(address, entries)
		}
	}
}

func (traffic *Traffic) borrow(address string, asks []limit.Ask) {
	coordinator := traffic.coordinator
	ctx, cancel := context.WithTimeout(coordinator.ctx, peerTimeout)
	defer cancel()
	sentAt := clock.Now()
	var result borrowResult
	params := borrowParams{Host: coordinator.settings.Host.Name, Asks: asks}
	if err := coordinator.peers.Call(ctx, address, methodBorrow, params, &result); err != nil {
		coordinator.metrics.Counter("loans_failed").Inc(1)
		return
	}
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	for _, grant := range result.Grants {
		traffic.bank.Credit(clock.Now(), sentAt, grant)
	}
	close(traffic.credited)
	traffic.credited = make(chan struct{})
}

func (traffic *Traffic) giveBack(address string, entries []limit.Return) {
	coordinator := traffic.coordinator
	ctx, cancel := context.WithTimeout(coordinator.ctx, peerTimeout)
	defer cancel()
	params := returnParams{Host: coordinator.settings.Host.Name, Returns: entries}
	if err := coordinator.peers.Call(ctx, address, methodReturn, params, nil); err != nil {
		// The lender takes the loan back at its end.
		coordinator.metrics.Counter("returns_failed").Inc(1)
	}
}

func (traffic *Traffic) lend(params borrowParams) borrowResult {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	now := clock.Now()
	var result borrowResult
	for _, ask := range params.Asks {
		result.Grants = append(result.Grants, traffic.bank.Lend(now, params.Host, ask))
	}
	return result
}

func (traffic *Traffic) takeBack(params returnParams) bool {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	for _, back := range params.Returns {
		traffic.bank.TakeBack(clock.Now(), params.Host, back)
	}
	return true
}
