package member

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"lentilproxy/core/conf"
	"lentilproxy/core/value"
)

var epoch = time.Unix(1_700_000_000, 0)

func beat(name string, number int64) Heartbeat {
	return Heartbeat{Member: conf.Member{Name: name}, Incarnation: 1, Beat: number}
}

func roster(names ...string) *conf.Roster {
	roster := &conf.Roster{Settled: true}
	for _, name := range names {
		roster.Members = append(roster.Members, conf.Member{Name: name})
	}
	return roster
}

// A host counts as gone only if both signs agree.
func TestGone(t *testing.T) {
	late := epoch.Add(GoneAfter)
	for _, test := range []struct {
		name          string
		listed, beats bool
		gone          bool
	}{
		{"listed and beating", true, true, false},
		{"listed but silent", true, false, false},
		{"beating but not listed", false, true, false},
		{"neither", false, false, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			directory := NewDirectory()
			directory.Observe(epoch, []Heartbeat{beat("a", 1), beat("b", 1), beat("c", 1)})
			is.True(!directory.Gone(late, "a")) // without a list, nobody is gone
			listed := []string{"b", "c"}
			if test.listed {
				listed = append(listed, "a")
			}
			directory.List(listed)
			if test.beats {
				directory.Observe(late.Add(-time.Second), []Heartbeat{beat("a", 2)})
			}
			is.Equal(directory.Gone(late, "a"), test.gone)
			next, changed := directory.Plan(late, roster("a", "b", "c"))
			is.Equal(changed, test.gone)
			if changed {
				is.Equal(next, &conf.Roster{Members: roster("b", "c").Members, Previous: roster("a", "b", "c").Members})
			}
			counted := directory.Counted(late, roster("a", "b", "c"), value.NewSet("b"))
			is.Equal(counted.Has("a"), test.gone)
		})
	}
}

// A fleet that lost most of its hosts recovers by itself once they are known to be gone.
func TestMostHostsLost(t *testing.T) {
	is := is.New(t)
	directory := NewDirectory()
	full := roster("a", "b", "c", "d", "e")
	for _, member := range full.Members {
		directory.Observe(epoch, []Heartbeat{beat(member.Name, 1)})
	}
	late := epoch.Add(GoneAfter)
	directory.Observe(late, []Heartbeat{beat("a", 9)})
	directory.List([]string{"a"})
	own := value.NewSet("a")
	is.True(!full.Quorum(own))
	is.True(full.Quorum(directory.Counted(late, full, own)))
	next, changed := directory.Plan(late, full)
	is.True(changed)
	is.Equal(next.Members, roster("a").Members)
	is.True(Settle(next).Quorum(own))
}

func TestJoin(t *testing.T) {
	is := is.New(t)
	directory := NewDirectory()
	directory.Observe(epoch, []Heartbeat{beat("a", 1), beat("b", 1)})
	_, changed := directory.Plan(epoch, roster("a"))
	is.True(!changed) // a new host waits for others to join with it
	late := epoch.Add(JoinDelay)
	next, changed := directory.Plan(late, roster("a"))
	is.True(changed)
	is.Equal(next, &conf.Roster{Members: roster("a", "b").Members, Previous: roster("a").Members})
	_, changed = directory.Plan(late, next)
	is.True(!changed) // an unsettled roster is settled first
	moved := beat("b", 2)
	moved.Member.PeerAddress = "127.0.0.1:9"
	directory.Observe(late, []Heartbeat{moved})
	next, changed = directory.Plan(late, roster("a", "b"))
	is.True(changed)
	is.Equal(next.Members[1].PeerAddress, "127.0.0.1:9") // a host that moved keeps its place
	leaving := beat("b", 3)
	leaving.Leaving = true
	directory.Observe(late, []Heartbeat{leaving})
	directory.List([]string{"a", "b"})
	is.True(directory.Silent(late, "b"))
	_, changed = directory.Plan(late, roster("a", "b"))
	is.True(!changed) // a host that restarts keeps its place
}
