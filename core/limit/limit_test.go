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

// central is the naive version: one bucket for all hosts.
type central struct {
	rate, burst, level float64
	at                 time.Time
}

func (central *central) spend(now time.Time, tokens float64) bool {
	central.level = min(central.burst, central.level+central.rate*now.Sub(central.at).Seconds())
	central.at = now
	if central.level < tokens {
		return false
	}
	central.level -= tokens
	return true
}

// message is an ask or a grant under way between two banks.
type message struct {
	at     time.Time
	from   int
	to     int
	sentAt time.Time
	ask    Ask
	grant  *Grant
	back   *Return
}

// cluster runs banks under one clock, with messages that take time, get lost or come late.
type cluster struct {
	now     time.Time
	names   []string
	banks   []*Bank
	pending []message
	// paused hosts do nothing until an instant.
	paused []time.Time
	spent  []spending
	limit  Entitlement
}

type spending struct {
	at     time.Time
	tokens float64
}

func newCluster(hosts int, rate, burst float64) *cluster {
	cluster := &cluster{now: epoch, limit: Entitlement{Rate: rate, Burst: burst, Fraction: 1 / float64(hosts)}}
	for number := range hosts {
		cluster.names = append(cluster.names, fmt.Sprintf("host-%02d", number))
		cluster.banks = append(cluster.banks, cluster.newBank(number, epoch))
		cluster.paused = append(cluster.paused, epoch)
	}
	return cluster
}

func (cluster *cluster) newBank(number int, opens time.Time) *Bank {
	bank := NewBank(cluster.names[number], WithOpening(opens))
	bank.Configure(cluster.now, map[string]Entitlement{workspace: cluster.limit})
	return bank
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
		if wake := cluster.paused[next.to]; wake.After(cluster.now) {
			next.at = wake
			cluster.pending = append(cluster.pending, next)
			continue
		}
		cluster.deliver(next, delay)
	}
}

func (cluster *cluster) deliver(next message, delay func() (time.Duration, bool)) {
	if next.back != nil {
		cluster.banks[next.to].TakeBack(cluster.now, cluster.names[next.from], *next.back)
		return
	}
	if next.grant != nil {
		cluster.banks[next.to].Credit(cluster.now, next.sentAt, *next.grant)
		return
	}
	defer cluster.giveBack(next.to, delay)
	grant := cluster.banks[next.to].Lend(cluster.now, cluster.names[next.from], next.ask)
	if wait, arrives := delay(); arrives {
		cluster.pending = append(cluster.pending, message{at: cluster.now.Add(wait), from: next.to, to: next.from, sentAt: next.sentAt, grant: &grant})
	}
}

func (cluster *cluster) giveBack(number int, delay func() (time.Duration, bool)) {
	for _, back := range cluster.banks[number].Returns(cluster.now) {
		if wait, arrives := delay(); arrives {
			cluster.pending = append(cluster.pending, message{at: cluster.now.Add(wait), from: number, to: cluster.index(back.Lender), back: &back})
		}
	}
}

func (cluster *cluster) borrow(number int, delay func() (time.Duration, bool)) {
	if cluster.paused[number].After(cluster.now) {
		return
	}
	cluster.giveBack(number, delay)
	for _, ask := range cluster.banks[number].Asks(cluster.now, func(string) []string { return cluster.names }) {
		if wait, arrives := delay(); arrives {
			cluster.pending = append(cluster.pending, message{
				at: cluster.now.Add(wait), from: number, to: cluster.index(ask.Lender), sentAt: cluster.now, ask: ask,
			})
		}
	}
}

func (cluster *cluster) spend(number int, tokens float64) (*Receipt, bool) {
	bank := cluster.banks[number]
	bank.Demand(cluster.now, workspace, tokens)
	receipt, outcome := bank.Spend(cluster.now, workspace, tokens)
	if outcome == Charged {
		cluster.spent = append(cluster.spent, spending{at: cluster.now, tokens: tokens})
	}
	return receipt, outcome == Charged
}

// excess returns by how much the spending exceeds burst + rate·(t−s) in the worst window [s, t].
func (cluster *cluster) excess() float64 {
	worst := 0.0
	// The worst window that ends at a spending is found by the deepest point of an unbounded bucket.
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

// Whatever the arrivals, loans, losses, delays, pauses and restarts, no window exceeds burst + rate·(t−s).
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
			if cluster.paused[number].After(cluster.now) {
				continue
			}
			switch rapid.IntRange(0, 9).Draw(t, "action") {
			case 0:
				cluster.paused[number] = cluster.now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "pause")) * time.Millisecond)
			case 1:
				// A restarted host forgets what it lent, and keeps its shares unused for a while.
				cluster.banks[number] = cluster.newBank(number, cluster.now.Add(Quarantine))
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
					tokens = cluster.banks[number].Level(cluster.now, workspace)
				}
				receipt, charged := cluster.spend(number, tokens)
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

// totals returns what all hosts may use together.
func (cluster *cluster) totals() (sum share, level float64) {
	for _, bank := range cluster.banks {
		account := bank.account(cluster.now, workspace)
		held := account.effective()
		sum.rate += held.rate
		sum.burst += held.burst
		level += account.level
	}
	return sum, level
}

// refund counts the charge at its time as what was really used.
func (cluster *cluster) refund(number int, receipt *Receipt, part float64) {
	unused := receipt.Tokens() * part
	cluster.banks[number].Refund(cluster.now, receipt, unused)
	for index := len(cluster.spent) - 1; index >= 0; index-- {
		if cluster.spent[index].tokens == receipt.Tokens() {
			cluster.spent[index].tokens -= unused
			return
		}
	}
}

// A roster change never adds up to more than the limit, whichever of its two forms each host holds.
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

// skewed sends all requests of a workspace to one host, and moves to the next one from time to time. It returns how
// many tokens the banks and the central bucket gave after the warm-up, and refusals that the central bucket would not
// have made.
func skewed(hosts int, rate, burst, cost, load float64, moveEvery time.Duration) (shared, single float64, wrongful, arrivals int) {
	cluster := newCluster(hosts, rate, burst)
	naive := &central{rate: rate, burst: burst, at: epoch}
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
			for number := range cluster.banks {
				cluster.borrow(number, delay)
			}
		}
		target := int(elapsed/moveEvery) % hosts
		owed += load * rate * tick.Seconds()
		for owed >= cost {
			owed -= cost
			given := naive.spend(cluster.now, cost)
			_, charged := cluster.spend(target, cost)
			if !charged {
				// The gate borrows at once and waits a moment for the answers.
				cluster.borrow(target, delay)
				cluster.advance(cluster.now.Add(6*time.Millisecond), delay)
				receipt, outcome := cluster.banks[target].Spend(cluster.now, workspace, cost)
				charged = outcome == Charged && receipt != nil
				if charged {
					cluster.spent = append(cluster.spent, spending{at: cluster.now, tokens: cost})
				}
			}
			if elapsed < warmUp {
				continue
			}
			arrivals++
			if given {
				single += cost
			}
			if charged {
				shared += cost
			}
			if given && !charged {
				wrongful++
			}
		}
	}
	if cluster.excess() > tolerance {
		panic("the limit was exceeded")
	}
	return shared, single, wrongful, arrivals
}

// Skewed arrivals get at least nine tenths of what one central bucket gives.
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
			shared, single, wrongful, arrivals := skewed(5, 1000, 2000, 50, test.load, test.moves)
			t.Logf("banks gave %.0f tokens, the central bucket %.0f: %.3f; %d of %d refused wrongly", shared, single, shared/single, wrongful, arrivals)
			is.True(shared >= 0.9*single)
		})
	}
}

func TestRefund(t *testing.T) {
	is := is.New(t)
	bank := NewBank("a", WithOpening(epoch))
	bank.Configure(epoch, map[string]Entitlement{workspace: {Rate: 10, Burst: 100, Fraction: 1}})
	now := epoch.Add(10 * time.Second)
	is.Equal(bank.Level(now, workspace), 100.0)
	receipt, outcome := bank.Spend(now, workspace, 60)
	is.Equal(outcome, Charged)
	bank.Refund(now.Add(time.Second), receipt, 50)
	is.Equal(bank.Level(now.Add(time.Second), workspace), 100.0)
	bank.Refund(now.Add(time.Second), receipt, 50) // a second refund has no effect
	is.Equal(bank.Level(now.Add(time.Second), workspace), 100.0)

	receipt, _ = bank.Spend(now.Add(time.Second), workspace, 60)
	full := now.Add(20 * time.Second)
	is.Equal(bank.Level(full, workspace), 100.0)
	_, outcome = bank.Spend(full, workspace, 100)
	is.Equal(outcome, Charged)
	bank.Refund(full, receipt, 60) // the bucket was full since: the tokens would have overflowed
	is.Equal(bank.Level(full, workspace), 0.0)
	_, outcome = bank.Spend(full, workspace, 101)
	is.Equal(outcome, Never)
	_, outcome = bank.Spend(full, "other", 1)
	is.Equal(outcome, Unlimited)
}

func TestHomes(t *testing.T) {
	is := is.New(t)
	var members []conf.Member
	for number := range 40 {
		members = append(members, conf.Member{Name: fmt.Sprintf("host-%d", number)})
	}
	homes := Homes(members, "w")
	is.Equal(len(homes), MaxHomes)
	is.Equal(homes, Homes(members, "w"))
	without := append([]conf.Member(nil), members...)
	for index, member := range without {
		if member == homes[0] {
			without = append(without[:index], without[index+1:]...)
			break
		}
	}
	is.Equal(Homes(without, "w")[:MaxHomes-1], homes[1:]) // the loss of a home moves one share only
}

// A loan that is given back late, after the lender has started another one, leaves that other one as it is.
func TestLateReturn(t *testing.T) {
	is := is.New(t)
	lender, borrower := NewBank("a", WithOpening(epoch)), NewBank("b", WithOpening(epoch))
	limits := map[string]Entitlement{workspace: {Rate: 100, Burst: 200, Fraction: 0.5}}
	lender.Configure(epoch, limits)
	borrower.Configure(epoch, limits)
	now := epoch.Add(4 * time.Second)
	ask := Ask{Workspace: workspace, Rate: 50, Burst: 100, Lender: "a"}
	borrower.Credit(now, now, lender.Lend(now, "b", ask))
	late := borrower.Returns(now.Add(time.Second))
	is.Equal(len(late), 1)
	now = now.Add(LoanDuration + LoanMargin + time.Second)
	grant := lender.Lend(now, "b", ask)
	borrower.Credit(now, now, grant)
	is.Equal(grant.Rate, 50.0)
	lender.TakeBack(now, "b", late[0])
	is.Equal(lender.account(now, workspace).effective(), share{})
	is.Equal(borrower.account(now, workspace).effective(), share{rate: 100, burst: 200})
}
