package limit_test

import (
	"fmt"
	"time"

	"lentilproxy/core/limit"
)

// Two hosts share a limit of 100 tokens a second. All requests arrive at the first, which borrows the other's share.
func ExampleLimiter() {
	start := time.Unix(1_700_000_000, 0)
	limits := map[string]limit.Entitlement{"shop": {Rate: 100, Burst: 200, Fraction: 0.5}}
	first := limit.New("host-1", limit.WithOpenTime(start))
	second := limit.New("host-2", limit.WithOpenTime(start))
	first.Configure(start, limits)
	second.Configure(start, limits)

	now := start.Add(2 * time.Second)
	_, outcome := first.Charge(now, "shop", 150)
	fmt.Println("alone:", outcome == limit.Charged)
	for _, request := range first.LoanRequests(now, func(string) []string { return []string{"host-1", "host-2"} }) {
		first.Credit(now, now, second.Lend(now, "host-1", request))
	}
	receipt, outcome := first.Charge(now, "shop", 150)
	fmt.Println("with a loan:", outcome == limit.Charged)
	first.Refund(now, receipt, 120)
	fmt.Println("left:", first.Level(now, "shop"))
	// Output:
	// alone: false
	// with a loan: true
	// left: 170
}
