package lease

import (
	"fmt"
	"testing"
	"time"

	"lentilproxy"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// asked is a renewal that a writer has received and not written yet.
type asked struct {
	renewal Renewal
	host    *host
	runs    int
	at      time.Time
}

// writeBatch writes renewals as a writer does, and delivers the results, unless they are lost.
func writeBatch(now time.Time, store *memoryStore, batch []asked, loseResponse bool) {
	renewals, requests := []Renewal{}, map[string]asked{}
	for _, request := range batch {
		if _, found := requests[request.renewal.Host]; !found {
			renewals = append(renewals, request.renewal)
		}
		requests[request.renewal.Host] = request
	}
	for index, renewal := range renewals {
		renewals[index] = requests[renewal.Host].renewal
	}
	deliver := func(name string, result lentilproxy.CommitResult) {
		request := requests[name]
		if loseResponse || request.runs != request.host.runs || now.Before(request.host.pausedUntil) {
			return
		}
		if result.Committed {
			request.host.registry.Renewed(request.at, now, result.Version)
			return
		}
		request.host.registry.RenewalRefused(now, result.Conflicts)
	}
	for len(renewals) > 0 {
		result := store.commit(Combine(renewals))
		if result.Committed {
			for _, renewal := range renewals {
				deliver(renewal.Host, result)
			}
			return
		}
		// The store's rows of conflicts have their keys also if they do not exist.
		for index := range result.Conflicts {
			if result.Conflicts[index].Key == "" {
				result.Conflicts[index].Key = missingKey(store, renewals, result.Conflicts)
			}
		}
		refused, others := Refused(renewals, result.Conflicts)
		for name, row := range refused {
			deliver(name, lentilproxy.CommitResult{Conflicts: []lentilproxy.Row{row}})
		}
		renewals = others
	}
}

// missingKey returns the key of a renewal whose row does not exist, and that no conflict names yet.
func missingKey(store *memoryStore, renewals []Renewal, conflicts []lentilproxy.Row) string {
	for _, renewal := range renewals {
		named := false
		for _, row := range conflicts {
			named = named || row.Key == renewal.key()
		}
		if _, found := store.rows[renewal.key()]; !found && !named {
			return renewal.key()
		}
	}
	return ""
}

// Guards against renewals that another host writes late, twice, or after an expulsion: orders of two hosts to one server have to stay
// the gap apart, with rising fencing tokens, and an expelled host has to find out. Hosts pause, restart and renew by themselves
// meanwhile, and responses are lost.
func TestOrdersKeepTheGapWithWrittenRenewals(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := newMemoryStore()
		hosts := []*host{newHost("a"), newHost("b"), newHost("c")}
		servers := []string{"s1", "s2", "s3"}
		last := map[string]lastOrder{}
		var batch []asked
		now := start
		for range rapid.IntRange(50, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(100, 800).Draw(t, "ms")) * time.Millisecond)
			host := hosts[rapid.IntRange(0, len(hosts)-1).Draw(t, "host")]
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0:
				host.pausedUntil = now.Add(time.Duration(rapid.IntRange(1, 15).Draw(t, "pause")) * time.Second)
			case 1:
				host.restart()
			case 2, 3:
				// The writer may be paused, so that it writes after any time.
				writeBatch(now, store, batch, rapid.IntRange(0, 4).Draw(t, "lose") == 0)
				if rapid.Bool().Draw(t, "again") {
					writeBatch(now, store, batch, false)
				}
				batch = nil
			}
			for _, each := range hosts {
				if now.Before(each.pausedUntil) {
					continue
				}
				switch rapid.IntRange(0, 3).Draw(t, "cycle") {
				case 0:
					each.cycle(now, store, servers, rapid.IntRange(0, 9).Draw(t, "lose") == 0)
				case 1:
					if renewal, possible := each.registry.Request(); possible {
						batch = append(batch, asked{renewal: renewal, host: each, runs: each.runs, at: now})
					}
				case 2:
					if each.registry.Joined() {
						each.registry.Observe(now, now, store.scan())
					}
				}
				for _, server := range servers {
					token, holds := each.registry.FencingToken(now, server)
					if !holds {
						continue
					}
					if before, found := last[server]; found && before.host != each.name {
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

// Guards against writers for so many hosts that a transaction exceeds the store's bound, and against hosts that renew through others
// in small deployments, where nothing is gained.
func TestWritersServeBoundedGroups(t *testing.T) {
	for _, test := range []struct{ hosts, writers, largest int }{{1, 1, 1}, {12, 12, 1}, {13, 1, 13}, {85, 6, 40}, {300, 19, 40}} {
		t.Run(fmt.Sprint(test.hosts), func(t *testing.T) {
			is := is.New(t)
			var hosts []string
			for number := range test.hosts {
				hosts = append(hosts, fmt.Sprintf("host-%03d", number))
			}
			groups, largest := map[string]int{}, 0
			for _, host := range hosts {
				groups[Writer(host, hosts)]++
				largest = max(largest, groups[Writer(host, hosts)])
			}
			is.Equal(len(groups), test.writers)
			is.True(largest <= min(test.largest, MaxBatch))
		})
	}
}

// Guards against rows that are written without a request of their own host.
func TestOnlyOwnRowsAreRenewed(t *testing.T) {
	is := is.New(t)
	value := encode(Host{Name: "a"})
	is.True(Renewal{Host: "a", Version: 1, Value: value}.Valid())
	is.True(!Renewal{Host: "b", Version: 1, Value: value}.Valid())
	is.True(!Renewal{Host: "a", Value: value}.Valid())
	is.True(!Renewal{Host: "a", Version: 1}.Valid())
}
