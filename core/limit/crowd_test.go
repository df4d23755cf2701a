package limit

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const (
	crowdExpel  = 9500 * time.Millisecond
	crowdRenew  = 1500 * time.Millisecond
	crowdDigest = 200 * time.Millisecond
)

// crowdHost is a host with its sight of the store and of the others.
type crowdHost struct {
	name  string
	crowd *Crowd
	// storeCut and peerCut say whom the host cannot reach.
	storeCut bool
	peerCut  bool
}

// Whoever is cut off from whom, the shares of all hosts together exceed the limit by what deployments tolerate at most.
func TestSharesAddUpUnderCuts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(2, 6).Draw(t, "hosts")
		var hosts []*crowdHost
		rows := map[string]time.Time{}
		start := time.Unix(1000, 0)
		for number := range count {
			name := fmt.Sprint("h", number)
			hosts = append(hosts, &crowdHost{name: name, crowd: NewCrowd(name)})
			rows[name] = start
		}
		for step := range 300 {
			now := start.Add(time.Duration(step) * crowdDigest)
			if rapid.IntRange(0, 30).Draw(t, "event") == 0 {
				host := hosts[rapid.IntRange(0, count-1).Draw(t, "host")]
				host.storeCut, host.peerCut = rapid.Bool().Draw(t, "store"), rapid.Bool().Draw(t, "peers")
			}
			for _, host := range hosts {
				crowdStep(now, step, host, hosts, rows)
			}
			// A host that hears another one counts it before it answers.
			var sum float64
			for _, host := range hosts {
				sum += host.crowd.Fraction(now)
			}
			if sum > 1+isolatedPart+1e-9 {
				t.Fatalf("at %s the shares add up to %.2f", now.Sub(start), sum)
			}
		}
	})
}

// crowdStep lets a host renew, read the rows, expel others and exchange digests.
func crowdStep(now time.Time, step int, host *crowdHost, hosts []*crowdHost, rows map[string]time.Time) {
	if !host.storeCut && step%int(crowdRenew/crowdDigest) == 0 {
		rows[host.name] = now
		var names []string
		for name, renewedAt := range rows {
			if now.Sub(renewedAt) > crowdExpel {
				delete(rows, name)
				continue
			}
			names = append(names, name)
		}
		host.crowd.Rows(now, names)
	}
	for _, other := range hosts {
		if other != host && !host.peerCut && !other.peerCut {
			other.crowd.Heard(now, host.name)
			host.crowd.Acked(now, other.name)
		}
	}
}

func TestHostThatIsCutOffKeepsAQuarter(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	crowd := NewCrowd("a")
	is.Equal(crowd.Fraction(now), isolatedPart/MaxHomes) // Nobody is known yet.
	names := []string{"a", "b", "c", "d"}
	crowd.Rows(now, names)
	is.Equal(crowd.Fraction(now), isolatedPart/4) // The others may not have seen it yet.
	now = now.Add(noticeTime - time.Millisecond)
	crowd.Rows(now, names)
	now = now.Add(time.Millisecond)
	is.Equal(crowd.Fraction(now), 0.25)
	// Before: a host without the store took itself for the only one, and used the whole limit.
	later := now.Add(noticeTime)
	is.Equal(crowd.Fraction(later), isolatedPart/4)
	for _, peer := range []string{"b", "c", "d"} {
		crowd.Acked(later, peer)
	}
	is.Equal(crowd.Fraction(later), 0.25) // All the others count it.
}

func TestOverdraftIsBounded(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	bank := NewBank("a", WithOpening(start))
	bank.SetOverdraft(50)
	bank.Configure(start, map[string]Entitlement{"w": {Rate: 10, Burst: 10, Fraction: 1}})
	bank.Fill(start, "w")
	spent := 0.0
	for {
		receipt, outcome := bank.Spend(start, "w", 5)
		if outcome != Charged {
			break
		}
		bank.Refund(start, receipt, 0)
		spent += 5
	}
	is.Equal(spent, 60.0)
	standing := bank.Standing(start, "w")
	is.Equal(standing.Level, -50.0)
	is.Equal(standing.ReturnIn(5), 500*time.Millisecond)
	_, outcome := bank.Spend(start.Add(standing.ReturnIn(5)), "w", 5)
	is.Equal(outcome, Charged)
}
