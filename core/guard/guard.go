// Package guard recognises requests that crash the backend servers that run them.
//
// Every request in flight on a server that dies is a suspect. A request that was in flight at two deaths is
// refused for a while; one that finishes is cleared.
package guard

import (
	"time"

	"lentilproxy/core/value"
)

const (
	// DeathsToRefuse is the number of deaths after which a request is refused.
	DeathsToRefuse = 2
	// RefuseFor is how long a request is refused after the last death.
	RefuseFor = 10 * time.Minute
	// SameDeath is the time within which reports about one server concern the same death.
	SameDeath = 2 * time.Second
	// MaxSuspects bounds the number of remembered requests.
	MaxSuspects = 10_000
)

// Verdict says how a request may run.
type Verdict int

// The verdicts on a request.
const (
	// Clear requests run like any other.
	Clear Verdict = iota
	// Alone requests must not share a server with another suspect.
	Alone
	// Refuse requests must not run.
	Refuse
)

// Death is the report that a server died with requests in flight.
type Death struct {
	Server string `json:"server"`
	// Digests identify the requests that were in flight.
	Digests []string `json:"digests"`
}

type suspect struct {
	deaths map[string]time.Time
	last   time.Time
}

// Board remembers suspects. It is not safe for concurrent use.
type Board struct {
	suspects map[string]*suspect
	running  map[string]string
}

// NewBoard returns an empty board.
func NewBoard() *Board {
	return &Board{suspects: map[string]*suspect{}, running: map[string]string{}}
}

// Record notes a death, whether seen here or by a peer.
func (board *Board) Record(now time.Time, death Death) {
	for _, digest := range value.Sorted(value.NewSet(death.Digests...)) {
		entry := board.suspects[digest]
		if entry == nil {
			board.makeRoom(now)
			entry = &suspect{deaths: map[string]time.Time{}}
			board.suspects[digest] = entry
		}
		entry.add(now, death.Server)
	}
}

// add counts a death unless it was reported already.
func (suspect *suspect) add(now time.Time, server string) {
	last, found := suspect.deaths[server]
	if found && now.Sub(last) < SameDeath {
		return
	}
	if found {
		// The same server died again later; keep both deaths.
		suspect.deaths[server+"#"+last.String()] = last
	}
	suspect.deaths[server] = now
	suspect.last = now
}

func (board *Board) makeRoom(now time.Time) {
	if len(board.suspects) < MaxSuspects {
		return
	}
	var oldest string
	for digest, entry := range board.suspects {
		if now.Sub(entry.last) >= RefuseFor {
			delete(board.suspects, digest)
			continue
		}
		if oldest == "" || entry.last.Before(board.suspects[oldest].last) {
			oldest = digest
		}
	}
	if len(board.suspects) >= MaxSuspects {
		delete(board.suspects, oldest)
	}
}

// Judge says how a request may run.
func (board *Board) Judge(now time.Time, digest string) Verdict {
	entry := board.suspects[digest]
	switch {
	case entry == nil:
		return Clear
	case now.Sub(entry.last) >= RefuseFor:
		delete(board.suspects, digest)
		return Clear
	case len(entry.deaths) >= DeathsToRefuse:
		return Refuse
	default:
		return Alone
	}
}

// Start asks to run a suspect on a server. It says no while another suspect runs there.
func (board *Board) Start(digest, server string) bool {
	if holder, taken := board.running[server]; taken && holder != digest {
		return false
	}
	board.running[server] = digest
	return true
}

// Stop ends a run of a suspect on a server.
func (board *Board) Stop(digest, server string) {
	if board.running[server] == digest {
		delete(board.running, server)
	}
}

// Finished clears a request that ran to its end.
func (board *Board) Finished(digest string) {
	delete(board.suspects, digest)
}

// Suspects returns the number of remembered requests.
func (board *Board) Suspects() int { return len(board.suspects) }
