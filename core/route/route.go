// Package route chooses the backend server for a request.
package route

import (
	"sort"
	"time"

	"lentilproxy/core/notice"
	"lentilproxy/core/value"

	"github.com/cespare/xxhash/v2"
)

const (
	// FailuresToEject is the number of consecutive failures after which a server is ejected.
	FailuresToEject = 2
	// BaseEjectionTime is how long a server is ejected at first. The time doubles with each further failure.
	BaseEjectionTime = 500 * time.Millisecond
	// MaxEjectionTime bounds the ejection time.
	MaxEjectionTime = 15 * time.Second
	// ReportLifetime is how long a server's load report is used.
	ReportLifetime = 3 * time.Second
	// RemotePenalty is the number of requests that are added to the load of a server in another data centre.
	RemotePenalty = 2
	// RetryFraction is the greatest share of requests that may be retries.
	RetryFraction = 0.1
	// RetryReserve is the size of the retry budget, which bounds a burst of retries.
	RetryReserve = 10
)

// Candidate is a server that could run a request.
type Candidate struct {
	Server     string
	DataCentre string
	// MaxInFlight bounds the requests in flight from this host; 0 means unbounded.
	MaxInFlight int
}

type server struct {
	inFlight         int
	reported         int
	reportedAt       time.Time
	inFlightAtReport int
	failures         int
	ejectedUntil     time.Time
}

// Balancer tracks the load and health of backend servers as seen by one host. It is not safe for concurrent use.
type Balancer struct {
	dataCentre  string
	servers     map[string]*server
	retryTokens float64
	notices     *notice.Board[string]
}

// NewBalancer returns a balancer for a host in a data centre.
func NewBalancer(dataCentre string) *Balancer {
	return &Balancer{dataCentre: dataCentre, servers: map[string]*server{}, retryTokens: RetryReserve, notices: notice.New[string]()}
}

// Notices returns what the servers have said of themselves.
func (balancer *Balancer) Notices() *notice.Board[string] { return balancer.notices }

func (balancer *Balancer) server(name string) *server {
	known := balancer.servers[name]
	if known == nil {
		known = &server{}
		balancer.servers[name] = known
	}
	return known
}

// Assessment tells how a candidate counts in a choice.
type Assessment struct {
	Server string
	// Load is the number of requests that the server is assumed to run, with the penalty for another data centre.
	Load     int
	InFlight int
	// Full candidates have the greatest number of requests in flight. Excluded ones must not be used for this request.
	Full     bool
	Excluded bool
	// Ejected is how long the server is still avoided, and Wait how long it wants no requests by its own notices.
	Ejected time.Duration
	Wait    time.Duration
	rank    uint64
}

// Usable reports whether a request may be sent to the candidate.
func (assessment Assessment) Usable() bool {
	return !assessment.Full && !assessment.Excluded && assessment.Wait == 0
}

func (assessment Assessment) before(other Assessment) bool {
	switch ejected := assessment.Ejected > 0; {
	case assessment.Usable() != other.Usable():
		return assessment.Usable()
	case ejected != (other.Ejected > 0):
		return !ejected
	case assessment.Load != other.Load:
		return assessment.Load < other.Load
	default:
		return assessment.rank > other.rank
	}
}

// Assess returns how candidates count in a choice, the best one first. It changes nothing.
func (balancer *Balancer) Assess(now time.Time, candidates []Candidate, affinity string, excluded value.Set[string]) []Assessment {
	assessments := make([]Assessment, 0, len(candidates))
	for _, candidate := range candidates {
		known := balancer.servers[candidate.Server]
		if known == nil {
			known = &server{}
		}
		assessment := Assessment{
			Server: candidate.Server, Load: known.load(now), InFlight: known.inFlight, Excluded: excluded.Has(candidate.Server),
			Full:    candidate.MaxInFlight > 0 && known.inFlight >= candidate.MaxInFlight,
			Ejected: max(0, known.ejectedUntil.Sub(now)), Wait: balancer.notices.Wait(now, candidate.Server),
			rank: xxhash.Sum64String(affinity + "\x00" + candidate.Server),
		}
		if candidate.DataCentre != balancer.dataCentre {
			assessment.Load += RemotePenalty
		}
		assessments = append(assessments, assessment)
	}
	sort.Slice(assessments, func(left, right int) bool { return assessments[left].before(assessments[right]) })
	return assessments
}

// Pick returns the least loaded candidate that is neither excluded nor full, and that takes requests by its own notices.
// Ejected servers are used only if there is no other. Rendezvous hashing by the affinity breaks ties, so that requests with
// the same prefix go to the same server.
func (balancer *Balancer) Pick(now time.Time, candidates []Candidate, affinity string, excluded value.Set[string]) (string, bool) {
	assessments := balancer.Assess(now, candidates, affinity, excluded)
	if len(assessments) == 0 || !assessments[0].Usable() {
		return "", false
	}
	return assessments[0].Server, true
}

// load estimates the number of requests in flight on the server. Reports lag, so it adds the change in this host's own
// requests since the last report.
func (server *server) load(now time.Time) int {
	if now.Sub(server.reportedAt) > ReportLifetime {
		return server.inFlight
	}
	return max(server.inFlight, server.reported+server.inFlight-server.inFlightAtReport)
}

// RequestStarted records that a request was sent to a server.
func (balancer *Balancer) RequestStarted(name string) { balancer.server(name).inFlight++ }

// RequestEnded records that a request to a server ended.
func (balancer *Balancer) RequestEnded(name string) { balancer.server(name).inFlight-- }

// InFlight returns the number of requests in flight from this host to a server.
func (balancer *Balancer) InFlight(name string) int { return balancer.server(name).inFlight }

// Report records the number of running requests that a server reports.
func (balancer *Balancer) Report(now time.Time, name string, running int) {
	known := balancer.server(name)
	known.reported = running
	known.reportedAt = now
	known.inFlightAtReport = known.inFlight
}

// Succeeded records that a server responded, and ends its ejection.
func (balancer *Balancer) Succeeded(name string) {
	known := balancer.server(name)
	known.failures = 0
	known.ejectedUntil = time.Time{}
}

// Failed records that a server did not respond, and ejects it after repeated failures.
func (balancer *Balancer) Failed(now time.Time, name string) {
	known := balancer.server(name)
	known.failures++
	if known.failures < FailuresToEject {
		return
	}
	shift := min(known.failures-FailuresToEject, 8)
	known.ejectedUntil = now.Add(min(BaseEjectionTime<<shift, MaxEjectionTime))
}

// CountRequest records a request and adds RetryFraction to the retry budget.
func (balancer *Balancer) CountRequest() {
	balancer.retryTokens = min(RetryReserve, balancer.retryTokens+RetryFraction)
}

// TakeRetry reports whether the budget allows a retry, and deducts it if so.
func (balancer *Balancer) TakeRetry() bool {
	if balancer.retryTokens < 1 {
		return false
	}
	balancer.retryTokens--
	return true
}
