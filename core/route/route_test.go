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
	table := NewTable("here")
	pick := func(now time.Time, names ...string) string {
		name, _ := table.Pick(now, candidates(names...), "x", nil)
		return name
	}
	first := pick(epoch, "a", "b", "c")
	is.Equal(pick(epoch, "c", "b", "a"), first) // equal servers are told apart by the affinity
	table.Start(first)
	is.True(pick(epoch, "a", "b", "c") != first)
	table.Stop(first)

	table.Report(epoch, "a", 9)
	is.Equal(pick(epoch, "a", "b"), "b")
	for range 12 {
		table.Start(pick(epoch, "a", "b"))
	}
	// The report lags: the host's own requests count on top of it.
	is.Equal(table.InFlight("b"), 10)
	is.Equal(table.InFlight("a"), 2)
	_, found := table.Pick(epoch, candidates("b"), "x", nil)
	is.True(!found) // a full server gets no more

	remote := []Candidate{{Server: "near", DataCentre: "here"}, {Server: "far", DataCentre: "there"}}
	for range RemotePenalty {
		table.Start("near")
	}
	name, _ := table.Pick(epoch, remote, "x", value.NewSet("near"))
	is.Equal(name, "far")
	table.Stop("near")
	name, _ = table.Pick(epoch, remote, "x", nil)
	is.Equal(name, "near")
}

func TestEjection(t *testing.T) {
	is := is.New(t)
	table := NewTable("here")
	for range EjectAfter {
		table.Failed(epoch, "a")
	}
	for range 5 {
		table.Start("b")
	}
	pick := func(now time.Time) string {
		name, _ := table.Pick(now, candidates("a", "b"), "x", nil)
		return name
	}
	is.Equal(pick(epoch), "b")
	is.Equal(pick(epoch.Add(EjectFor)), "a") // it is tried again after a while
	table.Failed(epoch, "a")
	is.Equal(pick(epoch.Add(EjectFor)), "b") // for longer each time
	table.Succeeded("a")
	is.Equal(pick(epoch), "a")
	for range 100 {
		table.Failed(epoch, "a")
	}
	is.Equal(pick(epoch.Add(MaxEjectFor)), "a")
	name, found := table.Pick(epoch, candidates("a"), "x", nil)
	is.True(found) // a server that is avoided is better than none
	is.Equal(name, "a")
}

// Retries are never more than a tenth of the requests, and the reserve.
func TestRetryBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := NewTable("here")
		requests, retries := 0, 0
		for range rapid.IntRange(0, 500).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "request") {
				table.Request()
				requests++
			} else if table.Retry() {
				retries++
			}
		}
		if float64(retries) > RetryReserve+RetryFraction*float64(requests) {
			t.Fatalf("%d retries for %d requests", retries, requests)
		}
	})
}

// No choice exceeds the bound of a server or takes an excluded one, and none is missed.
func TestBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := NewTable("here")
		names := []string{"a", "b", "c"}
		excluded := value.NewSet(rapid.SampledFrom(names).Draw(t, "excluded"))
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			name, found := table.Pick(epoch, candidates(names...), fmt.Sprint(rapid.Int().Draw(t, "affinity")), excluded)
			if !found {
				for _, other := range names {
					if !excluded.Has(other) && table.InFlight(other) < 10 {
						t.Fatalf("%s was missed", other)
					}
				}
				return
			}
			table.Start(name)
			if excluded.Has(name) || table.InFlight(name) > 10 {
				t.Fatalf("%s was chosen", name)
			}
		}
	})
}
