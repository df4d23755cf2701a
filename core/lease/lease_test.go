package lease

import (
	"fmt"
	"testing"
	"time"

	"lentilproxy"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// memory is a store for one table.
type memory struct {
	rows    map[string]lentilproxy.Row
	version int64
}

func newMemory() *memory { return &memory{rows: map[string]lentilproxy.Row{}} }

func (memory *memory) commit(transaction lentilproxy.Transaction) lentilproxy.CommitResult {
	var conflicts []lentilproxy.Row
	for _, condition := range transaction.Conditions {
		if memory.rows[condition.Key].Version != condition.Version {
			conflicts = append(conflicts, memory.rows[condition.Key])
		}
	}
	if len(conflicts) > 0 {
		return lentilproxy.CommitResult{Conflicts: conflicts}
	}
	memory.version++
	for _, write := range transaction.Writes {
		if write.Delete {
			delete(memory.rows, write.Key)
			continue
		}
		memory.rows[write.Key] = lentilproxy.Row{Key: write.Key, Value: write.Value, Version: memory.version}
	}
	return lentilproxy.CommitResult{Committed: true, Version: memory.version}
}

func (memory *memory) scan() []lentilproxy.Row {
	var rows []lentilproxy.Row
	for key, row := range memory.rows {
		row.Key = key[len(Table)+1:]
		rows = append(rows, row)
	}
	return rows
}

var start = time.Unix(1000, 0)

// host is a registry whose store may be away and which may be paused.
type host struct {
	name     string
	runs     int
	registry *Registry
	pausedTo time.Time
	cutTo    time.Time
}

func newHost(name string) *host {
	host := &host{name: name}
	host.restart()
	return host
}

func (host *host) restart() {
	host.runs++
	host.registry = New(Host{Name: host.name, RunID: fmt.Sprintf("%s-%d", host.name, host.runs)}, Gap)
}

// cycle does what a host does once in a renewal interval. Lost answers take effect and are not told.
func (host *host) cycle(now time.Time, store *memory, servers []string, lose bool) {
	registry := host.registry
	if !registry.Joined() {
		registry.Observe(now, now, store.scan())
	}
	result := store.commit(registry.Renewal())
	if lose {
		return
	}
	if !result.Committed {
		registry.RenewalRefused(now, result.Conflicts)
		return
	}
	registry.Renewed(now, now, result.Version)
	registry.Observe(now, now, store.scan())
	if expulsion, _, found := registry.Expulsion(); found {
		store.commit(expulsion)
	}
	if claims, found := registry.Claims(now, servers); found {
		if result = store.commit(claims.Transaction); result.Committed {
			registry.Claimed(now, claims, result.Version)
		}
	}
}

type lastOrder struct {
	host  string
	token int64
	at    time.Time
}

// Whatever is paused, cut, killed or loses answers, orders of two hosts to one server are at least the gap apart, and
// their fencing numbers rise.
func TestOrdersOfTwoHostsAreApart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := newMemory()
		hosts := []*host{newHost("a"), newHost("b"), newHost("c")}
		servers := []string{"s1", "s2", "s3", "s4"}
		last := map[string]lastOrder{}
		now := start
		steps := rapid.IntRange(50, 300).Draw(t, "steps")
		for range steps {
			now = now.Add(time.Duration(rapid.IntRange(100, 800).Draw(t, "ms")) * time.Millisecond)
			host := hosts[rapid.IntRange(0, len(hosts)-1).Draw(t, "host")]
			switch rapid.IntRange(0, 24).Draw(t, "event") {
			case 0:
				host.pausedTo = now.Add(time.Duration(rapid.IntRange(1, 15).Draw(t, "pause")) * time.Second)
			case 1:
				host.cutTo = now.Add(time.Duration(rapid.IntRange(1, 20).Draw(t, "cut")) * time.Second)
			case 2:
				host.restart()
			case 3:
				if release, held := host.registry.Release(); held {
					store.commit(release)
				}
				host.restart()
			}
			for _, each := range hosts {
				if now.Before(each.pausedTo) {
					continue
				}
				if !now.Before(each.cutTo) && rapid.IntRange(0, 2).Draw(t, "cycle") > 0 {
					each.cycle(now, store, servers, rapid.IntRange(0, 9).Draw(t, "lose") == 0)
				}
				for _, server := range servers {
					token, holds := each.registry.FencingToken(now, server)
					if !holds {
						continue
					}
					before, found := last[server]
					if found && before.host != each.name {
						if now.Sub(before.at) < Gap {
							t.Fatalf("%s and %s gave orders to %s %s apart", before.host, each.name, server, now.Sub(before.at))
						}
						if token <= before.token {
							t.Fatalf("the fencing number of %s fell from %d to %d", server, before.token, token)
						}
					}
					last[server] = lastOrder{host: each.name, token: token, at: now}
				}
			}
		}
	})
}

// run advances all hosts in turns of one renewal interval.
func run(now time.Time, duration time.Duration, store *memory, servers []string, hosts ...*host) time.Time {
	for end := now.Add(duration); now.Before(end); now = now.Add(RenewInterval) {
		for _, host := range hosts {
			host.cycle(now, store, servers, false)
		}
	}
	return now
}

func holders(now time.Time, servers []string, hosts ...*host) map[string]string {
	found := map[string]string{}
	for _, server := range servers {
		for _, host := range hosts {
			if _, holds := host.registry.FencingToken(now, server); holds {
				found[server] += host.name
			}
		}
	}
	return found
}

func TestServersAreDividedAndTakenOver(t *testing.T) {
	is := is.New(t)
	store := newMemory()
	servers := []string{"s1", "s2", "s3", "s4", "s5", "s6", "s7", "s8"}
	first, second := newHost("a"), newHost("b")
	now := run(start, 6*time.Second, store, servers, first, second)
	is.Equal(len(holders(now, servers, first, second)), len(servers))
	is.True(len(first.registry.HeldServers()) > 0)
	is.True(len(second.registry.HeldServers()) > 0)

	// The first one falls silent.
	now = run(now, first.registry.ExpelAfter()+4*RenewInterval, store, servers, second)
	is.Equal(len(second.registry.HeldServers()), len(servers))
	_, holds := first.registry.FencingToken(now, servers[0])
	is.True(!holds)
	is.True(!first.registry.Leased(now))

	// It comes back and learns that it holds nothing.
	first.cycle(now, store, servers, false)
	is.Equal(len(first.registry.HeldServers()), 0)
}

func TestHostThatStartsAgainGoesOnAtOnce(t *testing.T) {
	is := is.New(t)
	store := newMemory()
	servers := []string{"s1", "s2"}
	host := newHost("a")
	now := run(start, 6*time.Second, store, servers, host)
	before, _ := host.registry.FencingToken(now, "s1")
	host.restart()
	host.cycle(now, store, servers, false)
	after, holds := host.registry.FencingToken(now, "s1")
	is.True(holds)
	is.True(after > before)
}

func TestReleasedServersWaitForTheGap(t *testing.T) {
	is := is.New(t)
	store := newMemory()
	servers := []string{"s1", "s2", "s3", "s4"}
	first, second := newHost("a"), newHost("b")
	now := run(start, 6*time.Second, store, servers, first, second)
	given := first.registry.HeldServers()
	is.True(len(given) > 0)
	release, held := first.registry.Release()
	is.True(held)
	is.True(store.commit(release).Committed)
	second.cycle(now, store, servers, false)
	run(now, Gap, store, servers, second)
	_, holds := second.registry.FencingToken(now.Add(Gap), given[0])
	is.True(!holds)
	now = run(now, 6*time.Second, store, servers, second)
	is.Equal(len(second.registry.HeldServers()), len(servers))
	_, holds = second.registry.FencingToken(now, given[0])
	is.True(holds)
}

func TestOutageOfTheStoreExpelsNobody(t *testing.T) {
	is := is.New(t)
	store := newMemory()
	first, second := newHost("a"), newHost("b")
	now := run(start, 6*time.Second, store, []string{"s1"}, first, second)
	now = now.Add(time.Minute)
	second.registry.Observe(now, now, store.scan())
	_, _, expel := second.registry.Expulsion()
	is.True(expel) // A scan after a minute sees the same row: the time lies between two answers.

	third := newHost("c")
	third.registry.Observe(now, now, store.scan())
	_, _, expel = third.registry.Expulsion()
	is.True(!expel) // It has seen the row just now.
}
