package lease

import (
	"fmt"
	"testing"
	"time"

	"lentilproxy"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// memoryStore is an in-memory store with one table.
type memoryStore struct {
	rows    map[string]lentilproxy.Row
	version int64
}

func newMemoryStore() *memoryStore { return &memoryStore{rows: map[string]lentilproxy.Row{}} }

func (memoryStore *memoryStore) commit(transaction lentilproxy.Transaction) lentilproxy.CommitResult {
	var conflicts []lentilproxy.Row
	for _, condition := range transaction.Conditions {
		if memoryStore.rows[condition.Key].Version != condition.Version {
			conflicts = append(conflicts, memoryStore.rows[condition.Key])
		}
	}
	if len(conflicts) > 0 {
		return lentilproxy.CommitResult{Conflicts: conflicts}
	}
	memoryStore.version++
	for _, write := range transaction.Writes {
		if write.Delete {
			delete(memoryStore.rows, write.Key)
			continue
		}
		memoryStore.rows[write.Key] = lentilproxy.Row{Key: write.Key, Value: write.Value, Version: memoryStore.version}
	}
	return lentilproxy.CommitResult{Committed: true, Version: memoryStore.version}
}

func (memoryStore *memoryStore) scan() []lentilproxy.Row {
	var rows []lentilproxy.Row
	for key, row := range memoryStore.rows {
		row.Key = key[len(Table)+1:]
		rows = append(rows, row)
	}
	return rows
}

var start = time.Unix(1000, 0)

// host is a host with its registry, which may be paused or unable to reach the store.
type host struct {
	name             string
	runs             int
	registry         *Registry
	pausedUntil      time.Time
	unreachableUntil time.Time
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

// cycle does what a host does once in a renewal interval. If the response is lost, the renewal takes effect, but the
// host does not receive the result.
func (host *host) cycle(now time.Time, store *memoryStore, servers []string, loseResponse bool) {
	registry := host.registry
	if !registry.Joined() {
		registry.Observe(now, now, store.scan())
	}
	result := store.commit(registry.Renewal())
	if loseResponse {
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

// Orders of two hosts to one server are at least the gap apart, and their fencing tokens rise, while hosts are paused,
// isolated from the store or restarted and responses are lost.
func TestOrdersOfTwoHostsKeepTheGap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := newMemoryStore()
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
				host.pausedUntil = now.Add(time.Duration(rapid.IntRange(1, 15).Draw(t, "pause")) * time.Second)
			case 1:
				host.unreachableUntil = now.Add(time.Duration(rapid.IntRange(1, 20).Draw(t, "cut")) * time.Second)
			case 2:
				host.restart()
			case 3:
				if release, held := host.registry.Release(); held {
					store.commit(release)
				}
				host.restart()
			}
			for _, each := range hosts {
				if now.Before(each.pausedUntil) {
					continue
				}
				if !now.Before(each.unreachableUntil) && rapid.IntRange(0, 2).Draw(t, "cycle") > 0 {
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
							t.Fatalf("the fencing token of %s fell from %d to %d", server, before.token, token)
						}
					}
					last[server] = lastOrder{host: each.name, token: token, at: now}
				}
			}
		}
	})
}

// runCycles runs a cycle of every host in each renewal interval.
func runCycles(now time.Time, duration time.Duration, store *memoryStore, servers []string, hosts ...*host) time.Time {
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
	store := newMemoryStore()
	servers := []string{"s1", "s2", "s3", "s4", "s5", "s6", "s7", "s8"}
	first, second := newHost("a"), newHost("b")
	now := runCycles(start, 6*time.Second, store, servers, first, second)
	is.Equal(len(holders(now, servers, first, second)), len(servers))
	is.True(len(first.registry.HeldServers()) > 0)
	is.True(len(second.registry.HeldServers()) > 0)

	// The first host stops renewing.
	now = runCycles(now, first.registry.ExpelAfter()+4*RenewInterval, store, servers, second)
	is.Equal(len(second.registry.HeldServers()), len(servers))
	_, holds := first.registry.FencingToken(now, servers[0])
	is.True(!holds)
	is.True(!first.registry.Leased(now))

	// It returns and finds that it holds no servers.
	first.cycle(now, store, servers, false)
	is.Equal(len(first.registry.HeldServers()), 0)
}

func TestRestartedHostKeepsItsServers(t *testing.T) {
	is := is.New(t)
	store := newMemoryStore()
	servers := []string{"s1", "s2"}
	host := newHost("a")
	now := runCycles(start, 6*time.Second, store, servers, host)
	before, _ := host.registry.FencingToken(now, "s1")
	host.restart()
	host.cycle(now, store, servers, false)
	after, holds := host.registry.FencingToken(now, "s1")
	is.True(holds)
	is.True(after > before)
}

func TestReleasedServersWaitForTheGap(t *testing.T) {
	is := is.New(t)
	store := newMemoryStore()
	servers := []string{"s1", "s2", "s3", "s4"}
	first, second := newHost("a"), newHost("b")
	now := runCycles(start, 6*time.Second, store, servers, first, second)
	released := first.registry.HeldServers()
	is.True(len(released) > 0)
	release, held := first.registry.Release()
	is.True(held)
	is.True(store.commit(release).Committed)
	second.cycle(now, store, servers, false)
	runCycles(now, Gap, store, servers, second)
	_, holds := second.registry.FencingToken(now.Add(Gap), released[0])
	is.True(!holds)
	now = runCycles(now, 6*time.Second, store, servers, second)
	is.Equal(len(second.registry.HeldServers()), len(servers))
	_, holds = second.registry.FencingToken(now, released[0])
	is.True(holds)
}

func TestStoreOutageExpelsNoHost(t *testing.T) {
	is := is.New(t)
	store := newMemoryStore()
	first, second := newHost("a"), newHost("b")
	now := runCycles(start, 6*time.Second, store, []string{"s1"}, first, second)
	now = now.Add(time.Minute)
	second.registry.Observe(now, now, store.scan())
	_, _, expel := second.registry.Expulsion()
	is.True(expel) // A scan after a minute returns the same row, so the minute lies between two responses.

	third := newHost("c")
	third.registry.Observe(now, now, store.scan())
	_, _, expel = third.registry.Expulsion()
	is.True(!expel) // It has observed the row only now.
}

func TestExpelledHostStaysKnownForAWhile(t *testing.T) {
	is := is.New(t)
	store, first, second := newMemoryStore(), newHost("a"), newHost("b")
	now := runCycles(start, 5*time.Second, store, nil, first, second)
	is.Equal(len(first.registry.FormerHosts()), 0)
	now = runCycles(now, first.registry.ExpelAfter()+2*RenewInterval, store, nil, first)
	third := newHost("c")
	now = runCycles(now, 5*time.Second, store, nil, first, third)
	is.Equal(third.registry.FormerHosts(), []string{"b"}) // It has never seen the row of b.
	rejoined := newHost("b")
	now = runCycles(now, 5*time.Second, store, nil, first, third, rejoined)
	is.Equal(len(third.registry.FormerHosts()), 0)
	_, found := first.registry.FormerCleanup()
	is.True(!found)
	now = runCycles(now, FormerTTL, store, nil, first, third, rejoined)
	cleanup, found := first.registry.FormerCleanup()
	is.True(found)
	is.True(store.commit(cleanup).Committed)
	runCycles(now, RenewInterval, store, nil, first)
	_, found = first.registry.FormerCleanup()
	is.True(!found)
}

// Guards against a host that stops soon after a restart, before it has claimed the servers of its earlier run again: if it deletes its
// row and leaves these unreleased, another host claims them at once, within the gap after the earlier run's last order.
func TestServersOfAnEarlierRunAreReleased(t *testing.T) {
	is := is.New(t)
	store := newMemoryStore()
	servers := []string{"s1", "s2"}
	first, second := newHost("a"), newHost("b")
	now := runCycles(start, 6*time.Second, store, servers, first)
	is.Equal(len(first.registry.HeldServers()), 2)
	first.restart()
	first.cycle(now, store, nil, false) // It joins and claims nothing yet.
	release, held := first.registry.Release()
	is.True(held)
	is.True(store.commit(release).Committed)
	second.registry.joinedAt = start // It has joined long ago.
	for at := time.Duration(0); at < Gap; at += 500 * time.Millisecond {
		second.cycle(now.Add(at), store, servers, false)
		is.Equal(len(second.registry.HeldServers()), 0)
	}
	runCycles(now.Add(Gap), 8*time.Second, store, servers, second)
	is.Equal(len(second.registry.HeldServers()), 2)
}

// Guards against expulsions by hosts that know the content of the rows from peers, but not whether they were renewed: all other hosts
// would seem to have stopped.
func TestOnlyHostsThatReadTheRowsExpel(t *testing.T) {
	for name, test := range map[string]struct {
		readsTo time.Duration
		expels  bool
	}{
		"proofs of peers only": {readsTo: 0},
		"own reads, too short": {readsTo: 9 * time.Second},
		"own reads":            {readsTo: 10 * time.Second, expels: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			store := newMemoryStore()
			other, self := newHost("a"), newHost("b")
			other.cycle(start, store, nil, false)
			self.cycle(start, store, nil, false)
			rows := store.scan()
			for at := time.Duration(0); at <= 12*time.Second; at += time.Second {
				self.registry.ObserveContent(start.Add(at), start.Add(min(at, test.readsTo)), start.Add(at), rows)
			}
			_, expelled, found := self.registry.Expulsion()
			is.Equal(found, test.expels)
			is.Equal(expelled == "a", test.expels)
			is.Equal(self.registry.ScannedAt(), start.Add(12*time.Second))
		})
	}
}

// Guards against renewals that count as relevant changes, so that all hosts request rows all the time, and against other changes of
// a host's row that do not.
func TestRenewalsAreNotRelevant(t *testing.T) {
	row := func(host Host, version int64) lentilproxy.Row {
		return lentilproxy.Row{Key: prefixHost + host.Name, Value: encode(host), Version: version}
	}
	known := Host{Name: "a", DataCentre: "x", PeerAddress: "127.0.0.1:1", RunID: "r", HeartbeatSeq: 1}
	renewed, restarted, moved := known, known, known
	renewed.HeartbeatSeq, restarted.RunID, moved.PeerAddress = 2, "s", "127.0.0.1:2"
	is := is.New(t)
	is.Equal(Content(row(known, 1)), Content(row(renewed, 2)))
	is.True(Content(row(known, 1)) != Content(row(restarted, 2)))
	is.True(Content(row(known, 1)) != Content(row(moved, 2)))
	holder := lentilproxy.Row{Key: prefixHolder + "s1", Value: encode(holderRow{Host: "a"}), Version: 1}
	claimed := holder
	claimed.Version = 2
	is.True(Content(holder) != Content(claimed))
}
