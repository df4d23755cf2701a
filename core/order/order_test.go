package order

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1000, 0)

func TestFirstFollowsTheOrder(t *testing.T) {
	tests := map[string]struct {
		entries []Entry
		first   int
	}{
		"in time before urgent":    {[]Entry{{Late: true}, {Priority: 3, Due: start.Add(time.Second)}}, 1},
		"urgent before due":        {[]Entry{{Priority: 3, Due: start}, {Priority: 1, Due: start.Add(time.Hour)}}, 1},
		"due first":                {[]Entry{{Due: start.Add(2)}, {Due: start.Add(1)}}, 1},
		"first of those due alike": {[]Entry{{Due: start}, {Due: start}}, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			order := New(start, 1)
			for index := range test.entries {
				test.entries[index].Share = order.Arrive(start, "w", test.entries[index].Priority, 1)
			}
			is.Equal(order.Next(test.entries), test.first)
			is.Equal(order.First(test.entries), test.first)
		})
	}
}

// Guards against a request of a workspace that waits behind all requests of another one which asked earlier, and against one that never
// gets its turn, since more urgent ones always wait.
func TestTurnsAreFairAndNobodyStarves(t *testing.T) {
	is := is.New(t)
	order := New(start, 1)
	flood := order.Arrive(start, "flood", 2, 1)
	other := order.Arrive(start, "other", 2, 1)
	entries := []Entry{
		{Share: flood, Priority: 2, Due: start, ArrivedAt: start.Add(time.Second)},
		{Share: other, Priority: 2, Due: start.Add(time.Second), ArrivedAt: start.Add(time.Second)},
	}
	served := 0
	for ; order.First(entries) == 0; served++ {
		order.Serve(flood, 1)
	}
	is.Equal(served, 2) // The share and the slack.
	is.Equal(order.Ahead(entries[:1], entries[1]), 1)
	urgent := order.Arrive(start, "urgent", 0, 1)
	entries = append(entries, Entry{Share: urgent, ArrivedAt: start.Add(time.Minute)}, Entry{Share: other, Priority: 9, ArrivedAt: start})
	turns := 0
	for ; order.Next(entries) != 3; turns++ {
		is.True(turns < 2*oldestInterval)
		order.Serve(urgent, 1)
	}
	is.Equal(turns, oldestInterval-1-served)
}
