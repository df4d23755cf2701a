package coord

import (
	"context"
	"time"

	"lentilproxy/core/limit"
	"lentilproxy/core/retry"
	"lentilproxy/core/setup"
	"lentilproxy/core/spec"
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
	limits := map[string]limit.Entitlement{}
	overdraft := overdraftPart * traffic.bounds.QuotaAllowance / float64(max(1, traffic.count))
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

// Standing returns what the host has of a workspace's limit.
func (traffic *Traffic) Standing(now time.Time, workspace string) limit.Status {
	var status limit.Status
	traffic.loans.Limiter(func(limiter *limit.Limiter) { status = limiter.Status(now, workspace) })
	return status
}

// reload takes changed bounds in. Budgets start anew with them.
func (traffic *Traffic) reload(now time.Time, bounds setup.Bounds) {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	if bounds == traffic.bounds {
		return
	}
	traffic.bounds = bounds
	clear(traffic.budgets)
	traffic.configureLimits(now, traffic.coordinator.View())
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
	traffic.budget(now, service).CountRequest(now, max(1, traffic.count))
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

// Charge takes tokens from a workspace's limit. The receipt, nil if there is none, has to be settled.
func (traffic *Traffic) Charge(ctx context.Context, workspace string, tokens float64) (*limit.Receipt, limit.Outcome) {
	return traffic.loans.Charge(ctx, workspace, tokens)
}

// Settle ends a charge. A request that may have run counts with all that it announced, and any other one not at all.
func (traffic *Traffic) Settle(receipt *limit.Receipt, ran bool) {
	switch {
	case receipt == nil:
	case ran:
		traffic.loans.Refund(receipt, 0)
	default:
		traffic.loans.Refund(receipt, receipt.Tokens())
	}
}

// exchange moves shares of limits between this host and its peers.
func (traffic *Traffic) exchange(now time.Time) {
	traffic.mutex.Lock()
	known := traffic.lenders
	traffic.mutex.Unlock()
	traffic.loans.Exchange(now, known)
}

// lenders are the hosts that share limits.
type lenders struct {
	names []string
	// addresses holds those that can be asked.
	addresses map[string]string
}

// Lenders implements loans.Hosts.
func (lenders lenders) Lenders(string) []string { return lenders.names }

// Address implements loans.Hosts.
func (lenders lenders) Address(host string) (string, bool) {
	address, found := lenders.addresses[host]
	return address, found
}
