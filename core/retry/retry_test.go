package retry

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// In every window, the retries of all hosts stay within the ratio of the requests plus the allowance. As on the
// platform, the requests of the window and of the preceding window count.
func TestBudgetHoldsOverAllHosts(t *testing.T) {
	const ratio, window = 0.2, 10 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		allowance := float64(rapid.IntRange(10, 200).Draw(t, "allowance"))
		hosts := rapid.IntRange(1, 8).Draw(t, "hosts")
		start := time.Unix(1000, 0)
		var budgets []*Budget
		for range hosts {
			budgets = append(budgets, New(start, ratio, allowance, window, hosts))
		}
		type event struct {
			at    time.Time
			retry bool
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
			var requests, retries float64
			for _, each := range events {
				since := each.at.Sub(first.at)
				switch {
				case each.retry && since >= 0 && since < window:
					retries++
				case !each.retry && since >= -window && since < window:
					requests++
				}
			}
			if retries > ratio*requests+max(allowance, 2*float64(hosts)*2) {
				t.Fatalf("%v retries with %v requests and an allowance of %v", retries, requests, allowance)
			}
		}
	})
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
