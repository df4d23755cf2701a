package budget

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

// While bytes are scarce, the wrong transfer could lose its place: one that makes progress, one that is pinned, or one of a caller
// with a key before one without.
func TestEvictionOrder(t *testing.T) {
	const megabyte = 1 << 20
	type transfer struct {
		name     string
		held     int64
		progress int // milliseconds after the start
		known    bool
		pinned   bool
	}
	for name, test := range map[string]struct {
		transfers []transfer
		grown     int64
		known     bool
		evicted   string
	}{
		"the oldest stalled one first":     {[]transfer{{"a", 2, 0, true, false}, {"b", 2, 100, true, false}, {"c", 6, 5000, true, false}}, 1, true, "a"},
		"as many as are needed":            {[]transfer{{"a", 1, 0, true, false}, {"b", 1, 100, true, false}, {"c", 8, 5000, true, false}}, 2, true, "a b"},
		"stalled ones without a key first": {[]transfer{{"a", 5, 0, true, false}, {"b", 5, 100, false, false}}, 1, true, "b"},
		"then the largest":                 {[]transfer{{"a", 4, 5000, true, false}, {"b", 6, 5000, true, false}}, 1, true, "b"},
		"not for a larger one":             {[]transfer{{"a", 4, 5000, true, false}, {"b", 6, 5000, true, false}}, 7, true, ""},
		"a larger one with a key":          {[]transfer{{"a", 4, 5000, false, false}, {"b", 6, 5000, true, false}}, 4, true, "a"},
		"not for one without a key":        {[]transfer{{"a", 10, 5000, true, false}}, 1, false, ""},
		"never a pinned one":               {[]transfer{{"a", 10, 0, false, true}}, 1, true, ""},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			budget := New(10 * megabyte)
			var evicted []string
			for _, transfer := range test.transfers {
				reservation := budget.Open(start, Bodies, transfer.known, func() { evicted = append(evicted, transfer.name) })
				is.True(budget.Grow(start, reservation, transfer.held*megabyte))
				reservation.Expose(start)
				if transfer.pinned {
					is.True(reservation.Pin())
				}
				reservation.Progress(start.Add(time.Duration(transfer.progress)*time.Millisecond), transfer.held*megabyte)
			}
			grown := budget.Open(start, Bodies, test.known, func() {})
			is.True(!budget.Grow(start.Add(5*time.Second), grown, test.grown*megabyte))
			is.Equal(strings.Join(evicted, " "), test.evicted)
		})
	}
}

// A slow trickle keeps a body alive for ever if only its last byte counts.
func TestTrickleCountsAsStalled(t *testing.T) {
	is := is.New(t)
	reservation := &Reservation{}
	reservation.Expose(start)
	for second := range 5 {
		reservation.Progress(start.Add(time.Duration(second)*time.Second), 100)
	}
	is.True(reservation.Stalled(start.Add(4 * time.Second)))
	reservation.Progress(start.Add(4*time.Second), 5*MinRate)
	is.True(!reservation.Stalled(start.Add(4 * time.Second)))
}

// The accounts must neither exceed the budget nor keep bytes of transfers that have ended.
func TestAccountsAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := New(1000)
		var open []*Reservation
		now := start
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "wait")) * time.Millisecond)
			index := rapid.IntRange(0, len(open)).Draw(t, "transfer")
			if index == len(open) {
				open = append(open, budget.Open(now, Purpose(rapid.IntRange(0, 2).Draw(t, "purpose")), rapid.Bool().Draw(t, "known"), func() {}))
			}
			reservation := open[index]
			switch rapid.IntRange(0, 3).Draw(t, "action") {
			case 0:
				budget.Close(reservation)
				open = slices.Delete(open, index, index+1)
			case 1:
				reservation.Expose(now)
			case 2:
				reservation.Pin()
			default:
				budget.Grow(now, reservation, rapid.Int64Range(1, 400).Draw(t, "bytes"))
			}
			var held, leaving int64
			for _, reservation := range open {
				held += reservation.held
				if reservation.evicted {
					leaving += reservation.held
				}
			}
			if budget.Used() != held || budget.leaving != leaving || held > budget.Total() {
				t.Fatalf("used %d, held %d, leaving %d of %d, total %d", budget.Used(), held, budget.leaving, leaving, budget.Total())
			}
		}
		for _, reservation := range open {
			budget.Close(reservation)
		}
		if budget.Used() != 0 || budget.leaving != 0 {
			t.Fatalf("%d bytes stay, %d of them leaving", budget.Used(), budget.leaving)
		}
	})
}

// At the limit of connections, a crowd of one caller must not close the connections of others, and a load balancer that is the only
// address must be able to use all of them.
func TestConnsAtTheirLimit(t *testing.T) {
	later := start.Add(2 * minUnread)
	for name, test := range map[string]struct {
		states  []State
		address []string
		opened  string
		evicted string
		refused bool
	}{
		"silent before idle":             {[]State{Idle, Silent, Serving, Serving}, []string{"lb", "lb", "lb", "lb"}, "lb", "1", false},
		"a part of a head before idle":   {[]State{Idle, Serving, Reading, Serving}, []string{"lb", "lb", "lb", "lb"}, "lb", "2", false},
		"an unread response":             {[]State{Serving, Serving, Writing, Serving}, []string{"lb", "lb", "lb", "lb"}, "lb", "2", false},
		"none that is served":            {[]State{Serving, Serving, Serving, Serving}, []string{"lb", "lb", "lb", "lb"}, "lb", "", true},
		"of the address with the most":   {[]State{Idle, Idle, Idle, Silent}, []string{"x", "x", "x", "lb"}, "lb", "0", false},
		"its own if it has the most":     {[]State{Serving, Serving, Serving, Silent}, []string{"x", "x", "x", "lb"}, "x", "", true},
		"a new address takes from crowd": {[]State{Serving, Reading, Serving, Idle}, []string{"x", "x", "x", "lb"}, "new", "1", false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			conns := NewConns(len(test.states))
			evicted := ""
			for index, state := range test.states {
				at := start.Add(time.Duration(index) * time.Millisecond)
				conn, closed := conns.Open(at, test.address[index], func() { evicted += string(rune('0' + index)) })
				is.True(conn != nil && closed == 0)
				is.True(conn.Set(at, state))
			}
			opened, _ := conns.Open(later, test.opened, func() {})
			is.Equal(opened == nil, test.refused)
			is.Equal(evicted, test.evicted)
			is.Equal(conns.Count(), len(test.states))
		})
	}
}

// A request that has arrived must not be cut, and one on a closed connection must not be passed on.
func TestEvictedConnServesNothing(t *testing.T) {
	is := is.New(t)
	conns := NewConns(1)
	conn, _ := conns.Open(start, "a", func() {})
	opened, _ := conns.Open(start.Add(minIdle/2), "a", func() {})
	is.True(opened == nil) // too early
	opened, closed := conns.Open(start.Add(minIdle), "a", func() {})
	is.True(opened != nil && closed == 1)
	is.True(!conn.Set(start.Add(minIdle), Serving))
	conns.Close(conn)
	is.Equal(conns.Count(), 1)
}

// The smallest hosts must still hold several bodies of the largest size, and keep descriptors for their own connections.
func TestLimitsOfSmallHosts(t *testing.T) {
	is := is.New(t)
	is.True(Bytes(144_000_000) > 4*4<<20)
	is.True(RuntimeLimit(144_000_000) < 144_000_000)
	is.True(2*Connections(804_000_000, 3000) <= 3000-reservedDescriptors)
	is.True(Connections(804_000_000, 3000) > 1000)
	is.True(Connections(144_000_000, 12_000) > 500)
	is.True(int64(Connections(144_000_000, 12_000))*connectionBytes+Bytes(144_000_000)+baseBytes < RuntimeLimit(144_000_000))
}
