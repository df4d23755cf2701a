package lease

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"lentilproxy"

	"github.com/matryer/is"
)

// restartHost is a host in virtual time, with its renewals through a writer.
type restartHost struct {
	*host
	// cycleAt is when the host renews next.
	cycleAt time.Time
	// lag is the age of the rows that it has from peers.
	lag time.Duration
}

// restartRun simulates the hosts of a deployment with one store.
type restartRun struct {
	store   *memoryStore
	hosts   []*restartHost
	names   []string
	servers []string
	random  *rand.Rand
	now     time.Time
	// scans holds the rows of the store every 100 ms.
	scans []rowsAt
	batch map[string][]asked
	// commits counts transactions by second.
	commits map[int64]int
}

type rowsAt struct {
	at   time.Time
	rows []lentilproxy.Row
}

const (
	restartStep = 50 * time.Millisecond
	// maxCommits is the number of transactions that the store takes in a second.
	maxCommits = 200
)

func newRestartRun(hosts int) *restartRun {
	run := &restartRun{
		store: newMemoryStore(), random: rand.New(rand.NewPCG(7, uint64(hosts))), now: start, batch: map[string][]asked{}, commits: map[int64]int{},
	}
	for number := range hosts {
		name := fmt.Sprintf("host-%03d", number)
		run.hosts, run.names = append(run.hosts, &restartHost{host: newHost(name)}), append(run.names, name)
	}
	for number := range 3 * hosts {
		run.servers = append(run.servers, fmt.Sprintf("server-%04d", number))
	}
	return run
}

// restartAll restarts all hosts, which start within a second.
func (run *restartRun) restartAll() {
	clear(run.batch)
	for _, host := range run.hosts {
		host.restart()
		host.cycleAt = run.now.Add(time.Duration(run.random.IntN(1000)) * time.Millisecond)
		host.lag = time.Duration(200+run.random.IntN(1200)) * time.Millisecond
	}
}

// rowsFor returns the rows that a host has from its peers.
func (run *restartRun) rowsFor(host *restartHost) (rowsAt, bool) {
	for _, scan := range slices.Backward(run.scans) {
		if !scan.at.After(run.now.Add(-host.lag)) {
			return scan, true
		}
	}
	return rowsAt{}, false
}

// commit commits a transaction, unless the store has reached its bound in this second.
func (run *restartRun) commit(transaction lentilproxy.Transaction) (lentilproxy.CommitResult, bool) {
	if run.commits[run.now.Unix()] >= maxCommits {
		return lentilproxy.CommitResult{}, false
	}
	run.commits[run.now.Unix()]++
	return run.store.commit(transaction), true
}

// cycle renews a host's lease and claims servers, as a host does. It returns the time until the next cycle.
func (run *restartRun) cycle(host *restartHost) time.Duration {
	registry := host.registry
	if request, joined := registry.Request(); joined {
		writer := Writer(host.name, run.names)
		run.batch[writer] = append(run.batch[writer], asked{renewal: request, host: host.host, runs: host.runs, at: run.now})
	} else {
		registry.Observe(run.now, run.now, run.store.scan())
		result, sent := run.commit(registry.Renewal())
		if !sent {
			return 250 * time.Millisecond
		}
		if !result.Committed {
			registry.RenewalRefused(run.now, result.Conflicts)
			return 250 * time.Millisecond
		}
		registry.Renewed(run.now, run.now, result.Version)
	}
	if scan, found := run.rowsFor(host); found {
		registry.ObserveContent(scan.at, scan.at, run.now, scan.rows)
	}
	if claims, found := registry.Claims(run.now, run.servers); found {
		result, sent := run.commit(claims.Transaction)
		if !sent || !result.Committed {
			return 250 * time.Millisecond
		}
		registry.Claimed(run.now, claims, result.Version)
	}
	return RenewInterval
}

// serving reports whether all hosts have a lease, and all servers one holder.
func (run *restartRun) serving() bool {
	held := 0
	for _, host := range run.hosts {
		if !host.registry.Leased(run.now) {
			return false
		}
		held += len(host.registry.HeldServers())
	}
	return held >= len(run.servers)
}

// untilServing returns how long it takes until all hosts serve, at most a minute.
func (run *restartRun) untilServing() time.Duration {
	begun := run.now
	for run.now.Sub(begun) < time.Minute {
		run.now = run.now.Add(restartStep)
		for _, host := range run.hosts {
			if !run.now.Before(host.cycleAt) {
				host.cycleAt = run.now.Add(run.cycle(host))
			}
		}
		for writer, batch := range run.batch {
			run.commits[run.now.Unix()]++
			writeBatch(run.now, run.store, batch, false)
			delete(run.batch, writer)
		}
		if run.now.Sub(begun)%(2*restartStep) == 0 {
			run.scans = append(run.scans, rowsAt{at: run.now, rows: run.store.scan()})
			run.scans = run.scans[max(0, len(run.scans)-20):]
		}
		if run.serving() {
			break
		}
	}
	return run.now.Sub(begun)
}

// Guards against deployments in which hosts that start at once refuse each other's claims, or wait for the leases of their own earlier
// runs: all hosts have to serve again within 15 s. Rows from peers are up to
// 1.4 s old, and the store refuses transactions beyond its bound.
func TestAllHostsRestartAtOnce(t *testing.T) {
	for _, hosts := range []int{25, 85, 195, 360} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			is := is.New(t)
			run := newRestartRun(hosts)
			run.restartAll()
			first := run.untilServing()
			run.now = run.now.Add(3 * time.Second) // All hosts are down meanwhile.
			run.restartAll()
			again := run.untilServing()
			most := 0
			for _, number := range run.commits {
				most = max(most, number)
			}
			t.Logf("first start %v, restart %v, at most %d transactions a second", first, again, most)
			is.True(first < 15*time.Second)
			is.True(again < 15*time.Second)
		})
	}
}
