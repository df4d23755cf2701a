package route

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"lentilproxy/core/value"
)

var epoch = time.Unix(1_700_000_000, 0)

func candidates(names ...string) []Candidate {
	var found []Candidate
	for _, name := range names {
		found = append(found, Candidate{Server: name, DataCentre: "here", MaxInFlight: 10})
	}
	return found
}

func TestPick(t *testing.T) {
	is := is.New(t)
	balancer := NewBalancer("here")
	pick := func(now time.Time, names ...string) string {
		name, _ := balancer.Pick(now, candidates(names...), "x", nil)
		return name
	}
	first := pick(epoch, "a", "b", "c")
	is.Equal(pick(epoch, "c", "b", "a"), first) // the affinity breaks ties
	balancer.RequestStarted(first)
	is.True(pick(epoch, "a", "b", "c") != first)
	balancer.RequestEnded(first)

	balancer.Report(epoch, "a", 9)
	is.Equal(pick(epoch, "a", "b"), "b")
	for range 12 {
		balancer.RequestStarted(pick(epoch, "a", "b"))
	}
	// The report lags, so the host's own requests are added to it.
	is.Equal(balancer.InFlight("b"), 10)
	is.Equal(balancer.InFlight("a"), 2)
	_, found := balancer.Pick(epoch, candidates("b"), "x", nil)
	is.True(!found) // a full server is not picked

	remote := []Candidate{{Server: "near", DataCentre: "here"}, {Server: "far", DataCentre: "there"}}
	for range RemotePenalty {
		balancer.RequestStarted("near")
	}
	name, _ := balancer.Pick(epoch, remote, "x", value.NewSet("near"))
	is.Equal(name, "far")
	balancer.RequestEnded("near")
	name, _ = balancer.Pick(epoch, remote, "x", nil)
	is.Equal(name, "near")
}

func TestEjection(t *testing.T) {
	is := is.New(t)
	balancer := NewBalancer("here")
	for range FailuresToEject {
		balancer.Failed(epoch, "a")
	}
	for range 5 {
		balancer.RequestStarted("b")
	}
	pick := func(now time.Time) string {
		name, _ := balancer.Pick(now, candidates("a", "b"), "x", nil)
		return name
	}
	is.Equal(pick(epoch), "b")
	is.Equal(pick(epoch.Add(BaseEjectionTime)), "a") // the ejection has ended
	balancer.Failed(epoch, "a")
	is.Equal(pick(epoch.Add(BaseEjectionTime)), "b") // the next ejection is longer
	balancer.Succeeded("a")
	is.Equal(pick(epoch), "a")
	for range 100 {
		balancer.Failed(epoch, "a")
	}
	is.Equal(pick(epoch.Add(MaxEjectionTime)), "a")
	name, found := balancer.Pick(epoch, candidates("a"), "x", nil)
	is.True(found) // an ejected server is picked if there is no other
	is.Equal(name, "a")
}

// The number of retries never exceeds a tenth of the requests plus the reserve.
func TestRetryBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		balancer := NewBalancer("here")
		requests, retries := 0, 0
		for range rapid.IntRange(0, 500).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "request") {
				balancer.CountRequest()
				requests++
			} else if balancer.TakeRetry() {
				retries++
			}
		}
		if float64(retries) > RetryReserve+RetryFraction*float64(requests) {
			t.Fatalf("%d retries for %d requests", retries, requests)
		}
	})
}

// Pick never exceeds a server's bound, never returns an excluded server, and finds a server whenever one is usable.
func TestPickBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		balancer := NewBalancer("here")
		names := []string{"a", "b", "c"}
		excluded := value.NewSet(rapid.SampledFrom(names).Draw(t, "excluded"))
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			name, found := balancer.Pick(epoch, candidates(names...), fmt.Sprint(rapid.Int().Draw(t, "affinity")), excluded)
			if !found {
				for _, other := range names {
					if !excluded.Has(other) && balancer.InFlight(other) < 10 {
						t.Fatalf("%s is usable but was not picked", other)
					}
				}
				return
			}
			balancer.RequestStarted(name)
			if excluded.Has(name) || balancer.InFlight(name) > 10 {
				t.Fatalf("%s was picked although it is excluded or full", name)
			}
		}
	})
}
