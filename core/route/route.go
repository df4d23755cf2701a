// Package route chooses the backend server for a request.
package route

import (
	"sort"
	"time"

	"lentilproxy/core/value"

	"github.com/cespare/xxhash/v2"
)

const (
	// EjectAfter is the number of failures in a row after which a server is avoided.
	EjectAfter = 2
	// EjectFor is how long it is avoided the first time; the time doubles with each further failure.
	EjectFor = 500 * time.Millisecond
	// MaxEjectFor bounds the time.
	MaxEjectFor = 15 * time.Second
	// ReportLifetime is how long a server's own load report counts.
	ReportLifetime = 3 * time.Second
	// RemotePenalty is the number of requests that a server in another data centre counts as.
	RemotePenalty = 2
	// RetryFraction is the greatest share of requests that may be retries.
	RetryFraction = 0.1
	// RetryReserve is the number of retries that are allowed at once after a quiet time.
	RetryReserve = 10
)

// Candidate is a server that could run a request.
type Candidate struct {
	Server     string
	DataCentre string
	// MaxInFlight bounds the requests of this host; 0 stands for no bound.
	MaxInFlight int
}

type server struct {
	inFlight     int
	reported     int
	reportedAt   time.Time
	ownAtReport  int
	failures     int
	ejectedUntil time.Time
}

// Table holds what one host knows of the load and health of backend servers. It is not safe for concurrent use.
type Table struct {
	dataCentre string
	servers    map[string]*server
	retries    float64
}

// NewTable returns the table of a host in a data centre.
func NewTable(dataCentre string) *Table {
	return &Table{dataCentre: dataCentre, servers: map[string]*server{}, retries: RetryReserve}
}

func (table *Table) server(name string) *server {
	known := table.servers[name]
	if known == nil {
		known = &server{}
		table.servers[name] = known
	}
	return known
}

// Pick returns the candidate with the least load that is not excluded. Equal ones are told apart by the affinity,
// so that requests with the same prefix meet the same server.
func (table *Table) Pick(now time.Time, candidates []Candidate, affinity string, excluded value.Set[string]) (string, bool) {
	type scored struct {
		name    string
		ejected bool
		load    int
		rank    uint64
	}
	var usable []scored
	for _, candidate := range candidates {
		known := table.server(candidate.Server)
		full := candidate.MaxInFlight > 0 && known.inFlight >= candidate.MaxInFlight
		if full || excluded.Has(candidate.Server) {
			continue
		}
		load := known.load(now)
		if candidate.DataCentre != table.dataCentre {
			load += RemotePenalty
		}
		usable = append(usable, scored{
			name: candidate.Server, ejected: now.Before(known.ejectedUntil), load: load,
			rank: xxhash.Sum64String(affinity + "\x00" + candidate.Server),
		})
	}
	if len(usable) == 0 {
		return "", false
	}
	sort.Slice(usable, func(left, right int) bool {
		first, second := usable[left], usable[right]
		switch {
		case first.ejected != second.ejected:
			return second.ejected
		case first.load != second.load:
			return first.load < second.load
		default:
			return first.rank > second.rank
		}
	})
	return usable[0].name, true
}

// load adds the host's own requests since the last report to the report, which lags.
func (server *server) load(now time.Time) int {
	if now.Sub(server.reportedAt) > ReportLifetime {
		return server.inFlight
	}
	return max(server.inFlight, server.reported+server.inFlight-server.ownAtReport)
}

// Start counts a request sent to a server.
func (table *Table) Start(name string) { table.server(name).inFlight++ }

// Stop counts a request that ended there.
func (table *Table) Stop(name string) { table.server(name).inFlight-- }

// InFlight returns the requests of this host on a server.
func (table *Table) InFlight(name string) int { return table.server(name).inFlight }

// Report records the number of requests that a server says it runs.
func (table *Table) Report(now time.Time, name string, running int) {
	known := table.server(name)
	known.reported = running
	known.reportedAt = now
	known.ownAtReport = known.inFlight
}

// Succeeded records that a server answered.
func (table *Table) Succeeded(name string) {
	known := table.server(name)
	known.failures = 0
	known.ejectedUntil = time.Time{}
}

// Failed records that a server did not answer.
func (table *Table) Failed(now time.Time, name string) {
	known := table.server(name)
	known.failures++
	if known.failures < EjectAfter {
		return
	}
	shift := min(known.failures-EjectAfter, 8)
	known.ejectedUntil = now.Add(min(EjectFor<<shift, MaxEjectFor))
}

// Request earns a part of a retry.
func (table *Table) Request() {
	table.retries = min(RetryReserve, table.retries+RetryFraction)
}

// Retry says whether the budget allows a retry, and takes it from the budget.
func (table *Table) Retry() bool {
	if table.retries < 1 {
		return false
	}
	table.retries--
	return true
}
