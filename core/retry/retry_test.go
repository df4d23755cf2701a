package retry

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

type event struct {
	at    time.Time
	retry bool
}

const (
	ratio  = 0.2
	window = 10 * time.Second
)

// count returns the number of retries or requests in the window that starts at a point in time.
func count(events []event, start time.Time, retry bool) float64 {
	sum := 0.0
	for _, event := range events {
		if since := event.at.Sub(start); event.retry == retry && since >= 0 && since < window {
			sum++
		}
	}
	return sum
}

// In every window, the retries of all hosts stay within the ratio of the requests plus the allowance, for any number of
// hosts. As on the platform, the requests count of the window, the one before it or the one half a window before it,
// whichever has most.
func TestBudgetHoldsOverAllHosts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		allowance := float64(rapid.IntRange(10, 200).Draw(t, "allowance"))
		hosts := rapid.SampledFrom([]int{1, 2, 5, 8, 25, 78, 195, 360}).Draw(t, "hosts")
		start := time.Unix(1000, 0)
		var budgets []*Budget
		for range hosts {
			budgets = append(budgets, New(start, ratio, allowance, window, hosts))
		}
		var events []event
		now := start
		for range rapid.IntRange(50, 600).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 80).Draw(t, "ms")) * time.Millisecond)
			budget := budgets[rapid.IntRange(0, hosts-1).Draw(t, "host")]
			if rapid.Bool().Draw(t, "request") {
				budget.CountRequest(now, hosts)
				events = append(events, event{at: now})
			} else if budget.Take(now, hosts) {
				events = append(events, event{at: now, retry: true})
			}
		}
		for _, first := range events {
			requests := max(count(events, first.at, false), count(events, first.at.Add(-window), false),
				count(events, first.at.Add(-window/2), false))
			if retries := count(events, first.at, true); retries > ratio*requests+allowance {
				t.Fatalf("%v retries with %v requests and an allowance of %v", retries, requests, allowance)
			}
		}
	})
}

// Hundreds of hosts want to retry at once, more often than they have a share of the allowance for. A floor of two
// retries a host would exceed the allowance of 430 with 216 hosts already.
func TestBudgetHoldsWhenAllHostsRetryAtOnce(t *testing.T) {
	const allowance = 430
	for _, hosts := range []int{25, 78, 195, 360} {
		start := time.Unix(1000, 0)
		retries := 0
		for range hosts {
			budget := New(start, ratio, allowance, window, hosts)
			now := start.Add(window)
			for range 10 {
				now = now.Add(window / 10)
				if budget.Take(now, hosts) {
					retries++
				}
			}
		}
		is.New(t).True(retries <= allowance)
	}
}

// A host whose share of the allowance is less than one retry earns retries by its requests.
func TestRequestsEarnRetriesOnSmallShares(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	budget := New(now, 0.2, 50, 10*time.Second, 360)
	is.True(!budget.Take(now, 360))
	for range 30 {
		now = now.Add(100 * time.Millisecond)
		budget.CountRequest(now, 360)
	}
	is.True(budget.Take(now, 360))
}

func TestBudgetRefills(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	budget := New(now, 0.2, 50, 10*time.Second, 1)
	for budget.Take(now, 1) {
	}
	is.True(!budget.Take(now, 1))
	for range 12 {
		budget.CountRequest(now, 1)
	}
	is.True(budget.Take(now, 1))
	is.True(budget.Take(now.Add(time.Second), 1))
}

// Guards against a budget that starts anew with each reload of the settings, so that repeated reloads within a window exceed it.
func TestChangedBoundsRefillNothing(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	budget := New(now, 0.2, 100, 10*time.Second, 1)
	taken := 0
	for reload := range 20 {
		for budget.Take(now, 1) {
			taken++
		}
		budget.SetBounds(now, 0.2, 100+float64(reload%2), 10*time.Second+time.Duration(reload%2), 1)
		now = now.Add(100 * time.Millisecond)
	}
	is.True(taken <= 50)
}
