package coord

import (
	"context"
	"time"

	"lentilproxy/core/limit"
	"lentilproxy/core/retry"
	"lentilproxy/core/setup"
	"lentilproxy/core/spec"
)

// setDivision applies the number of hosts that share limits, and this host's fraction of them.
func (traffic *Traffic) setDivision(now time.Time, members int, fraction float64) {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	if members == traffic.members && fraction == traffic.fraction {
		return
	}
	traffic.members, traffic.fraction = members, fraction
	traffic.configureLimits(now, traffic.coordinator.View())
}

// configureLimits divides the limits over the hosts. A new limit starts full, since no host has charged it yet.
func (traffic *Traffic) configureLimits(now time.Time, view *spec.View) {
	limits := map[string]limit.Entitlement{}
	overdraft := overdraftFraction * traffic.bounds.QuotaAllowance / float64(max(1, traffic.members))
	changed := overdraft != traffic.overdraft
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
	traffic.loans.Limiter(func(limiter *limit.Limiter) {
		limiter.SetOverdraft(overdraft)
		limiter.Configure(now, limits)
		for name := range limits {
			if _, known := traffic.limits[name]; !known {
				limiter.Fill(now, name)
			}
		}
	})
	traffic.limits, traffic.overdraft = limits, overdraft
}

// LimitStatus returns the host's status for a workspace's limit.
func (traffic *Traffic) LimitStatus(now time.Time, workspace string) limit.Status {
	var status limit.Status
	traffic.loans.Limiter(func(limiter *limit.Limiter) { status = limiter.Status(now, workspace) })
	return status
}

// reload applies changed bounds.
func (traffic *Traffic) reload(now time.Time, bounds setup.Bounds) {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	if bounds == traffic.bounds {
		return
	}
	traffic.bounds = bounds
	traffic.gate.SetBounds(bounds.ColdOverage, bounds.ColdAllowance)
	for _, budget := range traffic.budgets {
		budget.SetBounds(now, bounds.RetryRatio, bounds.RetryAllowance, bounds.RetryWindow, traffic.members)
	}
	traffic.configureLimits(now, traffic.coordinator.View())
}

func (traffic *Traffic) configApply() time.Duration {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	return traffic.bounds.ConfigApply()
}

func (traffic *Traffic) hostCount() int {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	return max(1, traffic.members)
}

// CountRequest counts a request for a service, which adds a fraction of a retry to the budget.
func (traffic *Traffic) CountRequest(now time.Time, service string) {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	traffic.budget(now, service).CountRequest(now, max(1, traffic.members))
}

// TakeRetry reports whether the budget allows to send a request to another server, and deducts the retry if so.
func (traffic *Traffic) TakeRetry(now time.Time, service string) bool {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	return traffic.budget(now, service).Take(now, max(1, traffic.members))
}

func (traffic *Traffic) budget(now time.Time, service string) *retry.Budget {
	known := traffic.budgets[service]
	if known == nil {
		known = retry.New(now, traffic.bounds.RetryRatio, traffic.bounds.RetryAllowance, traffic.bounds.RetryWindow, traffic.members)
		traffic.budgets[service] = known
	}
	return known
}

// Charge charges tokens to a workspace's limit. The receipt has to be settled; it is nil if nothing was charged.
func (traffic *Traffic) Charge(ctx context.Context, workspace string, tokens float64) (*limit.Receipt, limit.Outcome) {
	return traffic.loans.Charge(ctx, workspace, tokens)
}

// Settle ends a charge. A request that may have run is charged in full, and any other one is refunded in full.
func (traffic *Traffic) Settle(receipt *limit.Receipt, ran bool) {
	switch {
	case receipt == nil:
	case ran:
		traffic.loans.Refund(receipt, 0)
	default:
		traffic.loans.Refund(receipt, receipt.Tokens())
	}
}

// exchangeLoans moves parts of limits between this host and its peers.
func (traffic *Traffic) exchangeLoans(now time.Time) {
	traffic.mutex.Lock()
	lenders := traffic.lenders
	traffic.mutex.Unlock()
	traffic.loans.Exchange(now, lenders)
}

// lenders are the hosts that share limits.
type lenders struct {
	names []string
	// addresses maps the hosts that are peers to their addresses.
	addresses map[string]string
}

// Lenders implements loans.Hosts.
func (lenders lenders) Lenders(string) []string { return lenders.names }

// Address implements loans.Hosts.
func (lenders lenders) Address(host string) (string, bool) {
	address, found := lenders.addresses[host]
	return address, found
}
