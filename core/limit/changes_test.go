package limit

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// changing is a cluster whose limit and whose hosts change. Each host learns of a change after a while.
type changing struct {
	*cluster
	wanted  Entitlement
	applyAt []time.Time
	// changedAt is when the last host learned of the last change, or when the last process was started.
	changedAt time.Time
	runs      int64
}

// change sets a limit, and the number of hosts that share it.
func (changing *changing) change(rate float64, members int, spread func() time.Duration) {
	changing.wanted = Entitlement{Rate: rate, Burst: 3 * rate, Fraction: 1 / float64(members)}
	for number := range changing.applyAt {
		changing.applyAt[number] = changing.now.Add(spread())
		if changing.applyAt[number].After(changing.changedAt) {
			changing.changedAt = changing.applyAt[number]
		}
	}
}

// apply lets the hosts apply the changes that they have learned of.
func (changing *changing) apply() {
	for number, at := range changing.applyAt {
		if !at.IsZero() && !changing.now.Before(at) {
			changing.applyAt[number] = time.Time{}
			changing.limiters[number].Configure(changing.now, map[string]Entitlement{workspace: changing.wanted})
		}
	}
}

// restart replaces the process of a host, which has lost the record of its loans. IDs of its loans begin anew.
func (changing *changing) restart(number int) {
	changing.runs += 1000
	changing.limiters[number] = New(changing.names[number], WithOpenTime(changing.now), WithRun(changing.runs))
	changing.limiters[number].Configure(changing.now, map[string]Entitlement{workspace: changing.wanted})
	if changing.now.After(changing.changedAt) {
		changing.changedAt = changing.now
	}
}

// Guards against shares that outlive the limit, the members or the process that they were a part of: loans of a quota that the operator has
// lowered were extended for good, and the first loan of a new process was taken for the extension of one of the process before.
func TestLoansEndWithWhatTheyWerePartsOf(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.IntRange(2, 5).Draw(t, "hosts")
		changing := &changing{cluster: newCluster(hosts, 1000, 3000), applyAt: make([]time.Time, hosts)}
		changing.wanted = changing.limit
		for number := range hosts {
			changing.restart(number)
		}
		delay := func() (time.Duration, bool) {
			if rapid.IntRange(0, 19).Draw(t, "lost") == 0 {
				return 0, false
			}
			return time.Duration(rapid.IntRange(1, 40).Draw(t, "delay")) * time.Millisecond, true
		}
		spread := func() time.Duration {
			return time.Duration(rapid.IntRange(0, 2000).Draw(t, "spread")) * time.Millisecond
		}
		busy := map[int]float64{rapid.IntRange(0, hosts-1).Draw(t, "busy"): 2000}
		members := hosts
		for range rapid.IntRange(20, 120).Draw(t, "rounds") {
			switch rapid.IntRange(0, 29).Draw(t, "event") {
			case 0:
				changing.change(rapid.SampledFrom([]float64{100, 300, 1000, 2000}).Draw(t, "rate"), members, spread)
			case 1:
				// Machines are added or leave; the hosts here stay.
				members = rapid.IntRange(hosts, 2*hosts).Draw(t, "members")
				changing.change(changing.wanted.Rate, members, spread)
			case 2:
				changing.restart(rapid.IntRange(0, hosts-1).Draw(t, "restarted"))
			case 3:
				busy[rapid.IntRange(0, hosts-1).Draw(t, "busy")] = rapid.SampledFrom([]float64{0, 100, 2000}).Draw(t, "demand")
			}
			for range 4 {
				for number := range hosts {
					if demand := busy[number]; demand > 0 {
						changing.charge(number, demand/20)
					}
					changing.borrow(number, delay)
				}
				changing.advance(changing.now.Add(50*time.Millisecond), delay)
				changing.apply()
			}
			if changing.now.Sub(changing.changedAt) < LoanDuration+LoanMargin+100*time.Millisecond {
				continue
			}
			sum, level := changing.totals()
			if limit := changing.wanted; sum.rate > limit.Rate*(1+tolerance) || sum.burst > limit.Burst*(1+tolerance) || level > limit.Burst*(1+tolerance) {
				t.Fatalf("the hosts hold rate %f, burst %f and %f tokens of %f and %f", sum.rate, sum.burst, level, limit.Rate, limit.Burst)
			}
		}
	})
}

// Guards against shares that nobody can use: a loan to a process that has ended was extended for the new process of the same host, which
// did not know of it.
func TestLoansToEndedProcessesExpire(t *testing.T) {
	changing := &changing{cluster: newCluster(2, 1000, 3000), applyAt: make([]time.Time, 2)}
	changing.wanted = changing.limit
	delay := func() (time.Duration, bool) { return 2 * time.Millisecond, true }
	run := func(duration time.Duration) {
		for until := changing.now.Add(duration); changing.now.Before(until); changing.advance(changing.now.Add(20*time.Millisecond), delay) {
			changing.charge(0, 40)
			changing.borrow(0, delay)
		}
	}
	run(5 * time.Second)
	changing.restart(0)
	run(LoanDuration + LoanMargin + time.Second)
	if rate := changing.limiters[0].Status(changing.now, workspace).Rate; rate < 900 {
		t.Fatalf("the busy host holds a rate of %f", rate)
	}
}
