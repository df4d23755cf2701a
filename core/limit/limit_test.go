package limit

import (
	"fmt"
	"sort"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"lentilproxy/core/conf"
)

const (
	workspace = "shop"
	tolerance = 1e-6
)

var epoch = time.Unix(1_700_000_000, 0)

// centralBucket is the reference implementation: one token bucket for all hosts.
type centralBucket struct {
	rate, burst, level float64
	at                 time.Time
}

func (centralBucket *centralBucket) charge(now time.Time, tokens float64) bool {
	centralBucket.level = min(centralBucket.burst, centralBucket.level+centralBucket.rate*now.Sub(centralBucket.at).Seconds())
	centralBucket.at = now
	if centralBucket.level < tokens {
		return false
	}
	centralBucket.level -= tokens
	return true
}

// message is a loan request, grant or return in transit between two limiters.
type message struct {
	at         time.Time
	from       int
	to         int
	sentAt     time.Time
	request    LoanRequest
	grant      *LoanGrant
	loanReturn *LoanReturn
}

// cluster runs limiters under one clock, with messages that are delayed or lost.
type cluster struct {
	now      time.Time
	names    []string
	limiters []*Limiter
	pending  []message
	// pausedUntil is the time until which each host neither handles nor sends messages.
	pausedUntil []time.Time
	spent       []tokenUse
	limit       Entitlement
}

// tokenUse is a successful charge.
type tokenUse struct {
	at     time.Time
	tokens float64
}

func newCluster(hosts int, rate, burst float64) *cluster {
	cluster := &cluster{now: epoch, limit: Entitlement{Rate: rate, Burst: burst, Fraction: 1 / float64(hosts)}}
	for number := range hosts {
		cluster.names = append(cluster.names, fmt.Sprintf("host-%02d", number))
		cluster.limiters = append(cluster.limiters, cluster.newLimiter(number, epoch))
		cluster.pausedUntil = append(cluster.pausedUntil, epoch)
	}
	return cluster
}

func (cluster *cluster) newLimiter(number int, opens time.Time) *Limiter {
	limiter := New(cluster.names[number], WithOpenTime(opens))
	limiter.Configure(cluster.now, map[string]Entitlement{workspace: cluster.limit})
	return limiter
}

func (cluster *cluster) index(name string) int {
	return sort.SearchStrings(cluster.names, name)
}

// advance moves the clock, delivering messages on the way. The delay function returns how long a message takes, and
// false if it is lost.
func (cluster *cluster) advance(until time.Time, delay func() (time.Duration, bool)) {
	for {
		sort.SliceStable(cluster.pending, func(left, right int) bool { return cluster.pending[left].at.Before(cluster.pending[right].at) })
		if len(cluster.pending) == 0 || cluster.pending[0].at.After(until) {
			cluster.now = until
			return
		}
		next := cluster.pending[0]
		cluster.pending = cluster.pending[1:]
		cluster.now = next.at
		if wake := cluster.pausedUntil[next.to]; wake.After(cluster.now) {
			next.at = wake
			cluster.pending = append(cluster.pending, next)
			continue
		}
		cluster.deliver(next, delay)
	}
}

func (cluster *cluster) deliver(next message, delay func() (time.Duration, bool)) {
	if next.loanReturn != nil {
		cluster.limiters[next.to].AcceptReturn(cluster.now, cluster.names[next.from], *next.loanReturn)
		return
	}
	if next.grant != nil {
		cluster.limiters[next.to].Credit(cluster.now, next.sentAt, *next.grant)
		return
	}
	defer cluster.returnLoans(next.to, delay)
	grant := cluster.limiters[next.to].Lend(cluster.now, cluster.names[next.from], next.request)
	if wait, arrives := delay(); arrives {
		cluster.pending = append(cluster.pending, message{at: cluster.now.Add(wait), from: next.to, to: next.from, sentAt: next.sentAt, grant: &grant})
	}
}

func (cluster *cluster) returnLoans(number int, delay func() (time.Duration, bool)) {
	for _, loanReturn := range cluster.limiters[number].LoanReturns(cluster.now) {
		if wait, arrives := delay(); arrives {
			cluster.pending = append(cluster.pending, message{at: cluster.now.Add(wait), from: number, to: cluster.index(loanReturn.Lender), loanReturn: &loanReturn})
		}
	}
}

func (cluster *cluster) borrow(number int, delay func() (time.Duration, bool)) {
	if cluster.pausedUntil[number].After(cluster.now) {
		return
	}
	cluster.returnLoans(number, delay)
	for _, request := range cluster.limiters[number].LoanRequests(cluster.now, func(string) []string { return cluster.names }) {
		if wait, arrives := delay(); arrives {
			cluster.pending = append(cluster.pending, message{
				at: cluster.now.Add(wait), from: number, to: cluster.index(request.Lender), sentAt: cluster.now, request: request,
			})
		}
	}
}

func (cluster *cluster) charge(number int, tokens float64) (*Receipt, bool) {
	limiter := cluster.limiters[number]
	limiter.Demand(cluster.now, workspace, tokens)
	receipt, outcome := limiter.Charge(cluster.now, workspace, tokens)
	if outcome == Charged {
		cluster.spent = append(cluster.spent, tokenUse{at: cluster.now, tokens: tokens})
	}
	return receipt, outcome == Charged
}

// excess returns by how much the charged tokens exceed burst + rate·(t−s) in the worst window [s, t].
func (cluster *cluster) excess() float64 {
	worst := 0.0
	// The worst window that ends at a charge is given by the debt of a bucket without a lower bound.
	debt := 0.0
	last := epoch
	for _, entry := range cluster.spent {
		debt = max(0, debt-cluster.limit.Rate*entry.at.Sub(last).Seconds())
		last = entry.at
		debt += entry.tokens
		worst = max(worst, debt-cluster.limit.Burst)
	}
	return worst
}

// No window may exceed burst + rate·(t−s), under any arrivals, loans, message losses, delays, pauses and restarts.
func TestNoWindowExceedsLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.IntRange(1, 6).Draw(t, "hosts")
		cluster := newCluster(hosts, 100, 300)
		delay := func() (time.Duration, bool) {
			kind := rapid.IntRange(0, 9).Draw(t, "delay")
			switch kind {
			case 0:
				return 0, false
			case 1:
				return time.Duration(rapid.IntRange(0, 4000).Draw(t, "late")) * time.Millisecond, true
			default:
				return time.Duration(kind) * time.Millisecond, true
			}
		}
		var open []*Receipt
		var owners []int
		for range rapid.IntRange(10, 120).Draw(t, "steps") {
			cluster.advance(cluster.now.Add(time.Duration(rapid.SampledFrom([]int{0, 0, 5, 50, 300, 2500}).Draw(t, "wait"))*time.Millisecond), delay)
			number := rapid.IntRange(0, hosts-1).Draw(t, "host")
			if sum, level := cluster.totals(); sum.rate > 100+tolerance || sum.burst > 300+tolerance || level > 300+tolerance {
				t.Fatalf("the hosts hold rate %f, burst %f and %f tokens", sum.rate, sum.burst, level)
			}
			if cluster.pausedUntil[number].After(cluster.now) {
				continue
			}
			switch rapid.IntRange(0, 9).Draw(t, "action") {
			case 0:
				cluster.pausedUntil[number] = cluster.now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "pause")) * time.Millisecond)
			case 1:
				// A restarted host has lost the record of what it lent, and leaves its shares unused for the
				// quarantine.
				cluster.limiters[number] = cluster.newLimiter(number, cluster.now.Add(Quarantine))
			case 2:
				if len(open) > 0 {
					last := len(open) - 1
					cluster.refund(owners[last], open[last], rapid.SampledFrom([]float64{0.1, 0.5, 1}).Draw(t, "unused"))
					open, owners = open[:last], owners[:last]
				}
			case 3, 4:
				cluster.borrow(number, delay)
			default:
				tokens := rapid.Float64Range(0, 200).Draw(t, "tokens")
				if rapid.Bool().Draw(t, "all") {
					tokens = cluster.limiters[number].Level(cluster.now, workspace)
				}
				receipt, charged := cluster.charge(number, tokens)
				if charged {
					open, owners = append(open, receipt), append(owners, number)
				}
			}
		}
		if excess := cluster.excess(); excess > tolerance {
			t.Fatalf("a window exceeds the limit by %f tokens", excess)
		}
	})
}

// totals returns the shares and tokens that all hosts hold together.
func (cluster *cluster) totals() (sum share, level float64) {
	for _, limiter := range cluster.limiters {
		account := limiter.account(cluster.now, workspace)
		held := account.effective()
		sum.rate += held.rate
		sum.burst += held.burst
		level += account.level
	}
	return sum, level
}

// refund returns a part of a charge and reduces the recorded use at the time of the charge accordingly.
func (cluster *cluster) refund(number int, receipt *Receipt, part float64) {
	unused := receipt.Tokens() * part
	cluster.limiters[number].Refund(cluster.now, receipt, unused)
	for index := len(cluster.spent) - 1; index >= 0; index-- {
		if cluster.spent[index].tokens == receipt.Tokens() {
			cluster.spent[index].tokens -= unused
			return
		}
	}
}

// While a roster changes, some hosts apply the old form and others the new one. Their shares may not add up to more
// than the limit.
func TestSharesNeverExceedOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		name := rapid.IntRange(0, 30)
		draw := func(label string) []conf.Member {
			var members []conf.Member
			for _, number := range rapid.SliceOfNDistinct(name, 1, 25, rapid.ID[int]).Draw(t, label) {
				members = append(members, conf.Member{Name: fmt.Sprintf("host-%d", number)})
			}
			return members
		}
		old := &conf.Roster{Members: draw("old"), Settled: true}
		change := &conf.Roster{Members: draw("new"), Previous: old.Members}
		settled := &conf.Roster{Members: change.Members, Settled: true}
		before, after := 0.0, 0.0
		for number := range 31 {
			host := fmt.Sprintf("host-%d", number)
			former, between, latter := Share(old, "w", host), Share(change, "w", host), Share(settled, "w", host)
			before += max(former, between)
			after += max(between, latter)
		}
		if before > 1+tolerance || after > 1+tolerance {
			t.Fatalf("shares add up to %f before and %f after the change is settled", before, after)
		}
	})
}

// runSkewed sends all requests of a workspace to one host, and moves on to the next host in regular intervals. It
// returns how many tokens the limiters and the central bucket charged after the warm-up, the number of refusals that
// the central bucket would not have made, and the number of requests.
func runSkewed(hosts int, rate, burst, cost, load float64, moveEvery time.Duration) (shared, single float64, wrongful, arrivals int) {
	cluster := newCluster(hosts, rate, burst)
	central := &centralBucket{rate: rate, burst: burst, at: epoch}
	delay := func() (time.Duration, bool) { return 2 * time.Millisecond, true }
	const (
		tick   = 10 * time.Millisecond
		warmUp = 5 * time.Second
		length = 60 * time.Second
	)
	owed := 0.0
	for elapsed := time.Duration(0); elapsed < length; elapsed += tick {
		cluster.advance(epoch.Add(elapsed), delay)
		if elapsed%(200*time.Millisecond) == 0 {
			for number := range cluster.limiters {
				cluster.borrow(number, delay)
			}
		}
		target := int(elapsed/moveEvery) % hosts
		owed += load * rate * tick.Seconds()
		for owed >= cost {
			owed -= cost
			expected := central.charge(cluster.now, cost)
			_, charged := cluster.charge(target, cost)
			if !charged {
				// Like the gate, borrows immediately and waits briefly for the responses.
				cluster.borrow(target, delay)
				cluster.advance(cluster.now.Add(6*time.Millisecond), delay)
				receipt, outcome := cluster.limiters[target].Charge(cluster.now, workspace, cost)
				charged = outcome == Charged && receipt != nil
				if charged {
					cluster.spent = append(cluster.spent, tokenUse{at: cluster.now, tokens: cost})
				}
			}
			if elapsed < warmUp {
				continue
			}
			arrivals++
			if expected {
				single += cost
			}
			if charged {
				shared += cost
			}
			if expected && !charged {
				wrongful++
			}
		}
	}
	if cluster.excess() > tolerance {
		panic("the limit was exceeded")
	}
	return shared, single, wrongful, arrivals
}

// Skewed arrivals get at least nine tenths of the tokens that one central bucket grants.
func TestSkewedArrivals(t *testing.T) {
	for _, test := range []struct {
		name  string
		load  float64
		moves time.Duration
	}{
		{"all at one host, inside the rate", 0.9, time.Hour},
		{"all at one host, over the rate", 3, time.Hour},
		{"moving every second, inside the rate", 0.9, time.Second},
		{"moving every second, over the rate", 3, time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			shared, single, wrongful, arrivals := runSkewed(5, 1000, 2000, 50, test.load, test.moves)
			t.Logf("limiters charged %.0f tokens, the central bucket %.0f: %.3f; %d of %d refused wrongly", shared, single, shared/single, wrongful, arrivals)
			is.True(shared >= 0.9*single)
		})
	}
}

func TestRefund(t *testing.T) {
	is := is.New(t)
	limiter := New("a", WithOpenTime(epoch))
	limiter.Configure(epoch, map[string]Entitlement{workspace: {Rate: 10, Burst: 100, Fraction: 1}})
	now := epoch.Add(10 * time.Second)
	is.Equal(limiter.Level(now, workspace), 100.0)
	receipt, outcome := limiter.Charge(now, workspace, 60)
	is.Equal(outcome, Charged)
	limiter.Refund(now.Add(time.Second), receipt, 50)
	is.Equal(limiter.Level(now.Add(time.Second), workspace), 100.0)
	limiter.Refund(now.Add(time.Second), receipt, 50) // a second refund has no effect
	is.Equal(limiter.Level(now.Add(time.Second), workspace), 100.0)

	receipt, _ = limiter.Charge(now.Add(time.Second), workspace, 60)
	full := now.Add(20 * time.Second)
	is.Equal(limiter.Level(full, workspace), 100.0)
	_, outcome = limiter.Charge(full, workspace, 100)
	is.Equal(outcome, Charged)
	limiter.Refund(full, receipt, 60) // the bucket has been full since, so the tokens would have been dropped
	is.Equal(limiter.Level(full, workspace), 0.0)
	_, outcome = limiter.Charge(full, workspace, 101)
	is.Equal(outcome, ExceedsBurst)
	_, outcome = limiter.Charge(full, "other", 1)
	is.Equal(outcome, Unlimited)
}

func TestShareHosts(t *testing.T) {
	is := is.New(t)
	var members []conf.Member
	for number := range 40 {
		members = append(members, conf.Member{Name: fmt.Sprintf("host-%d", number)})
	}
	hosts := ShareHosts(members, "w")
	is.Equal(len(hosts), MaxShareHosts)
	is.Equal(hosts, ShareHosts(members, "w"))
	without := append([]conf.Member(nil), members...)
	for index, member := range without {
		if member == hosts[0] {
			without = append(without[:index], without[index+1:]...)
			break
		}
	}
	is.Equal(ShareHosts(without, "w")[:MaxShareHosts-1], hosts[1:]) // removing a host moves only its share
}

// A return that arrives late, after the lender has granted another loan to the same borrower, does not change that
// loan.
func TestLateReturnKeepsNewLoan(t *testing.T) {
	is := is.New(t)
	lender, borrower := New("a", WithOpenTime(epoch)), New("b", WithOpenTime(epoch))
	limits := map[string]Entitlement{workspace: {Rate: 100, Burst: 200, Fraction: 0.5}}
	lender.Configure(epoch, limits)
	borrower.Configure(epoch, limits)
	now := epoch.Add(4 * time.Second)
	request := LoanRequest{Workspace: workspace, Rate: 50, Burst: 100, Lender: "a"}
	borrower.Credit(now, now, lender.Lend(now, "b", request))
	late := borrower.LoanReturns(now.Add(time.Second))
	is.Equal(len(late), 1)
	now = now.Add(LoanDuration + LoanMargin + time.Second)
	grant := lender.Lend(now, "b", request)
	borrower.Credit(now, now, grant)
	is.Equal(grant.Rate, 50.0)
	lender.AcceptReturn(now, "b", late[0])
	is.Equal(lender.account(now, workspace).effective(), share{})
	is.Equal(borrower.account(now, workspace).effective(), share{rate: 100, burst: 200})
}
