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
	// RunLifetime is how long a run of a suspect is remembered if its end is not reported.
	RunLifetime = 70 * time.Second
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

// Death is the report that a server died with a request in flight.
type Death struct {
	// Life identifies the server and its life, which ends with the death. All reports about one death name it alike.
	Life string `json:"life"`
	// Instance is what the server had loaded for the request, or "".
	Instance string `json:"instance,omitempty"`
	// Digest identifies the request.
	Digest string `json:"digest"`
}

type suspect struct {
	deaths value.Set[string]
	last   time.Time
}

type run struct {
	digest string
	until  time.Time
}

// Board remembers suspects. It is not safe for concurrent use.
type Board struct {
	suspects map[string]*suspect
	running  map[string]run
	// ended is when each life of a server was first known to have ended.
	ended map[string]time.Time
}

// NewBoard returns an empty board.
func NewBoard() *Board {
	return &Board{suspects: map[string]*suspect{}, running: map[string]run{}, ended: map[string]time.Time{}}
}

// Record notes a death, whether seen here or by a peer.
func (board *Board) Record(now time.Time, death Death) {
	entry := board.suspects[death.Digest]
	if entry == nil {
		board.makeRoom(now)
		entry = &suspect{deaths: value.NewSet[string]()}
		board.suspects[death.Digest] = entry
	}
	entry.deaths.Add(death.Life)
	board.end(now, death.Life)
	entry.last = now
}

func (board *Board) end(now time.Time, life string) {
	if len(board.ended) >= MaxSuspects {
		clear(board.ended)
	}
	if _, found := board.ended[life]; !found {
		board.ended[life] = now
	}
}

// EndedBefore says whether a life of a server was known to have ended when a request was sent, which then did not
// cause its end.
func (board *Board) EndedBefore(life string, sentAt time.Time) bool {
	at, found := board.ended[life]
	return found && at.Before(sentAt)
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
func (board *Board) Start(now time.Time, digest, server string) bool {
	if !board.Free(now, server) {
		return false
	}
	board.running[server] = run{digest: digest, until: now.Add(RunLifetime)}
	return true
}

// Free says whether no suspect of this host runs on a server.
func (board *Board) Free(now time.Time, server string) bool {
	held, taken := board.running[server]
	return !taken || !now.Before(held.until)
}

// Stop ends a run of a suspect on a server.
func (board *Board) Stop(digest, server string) {
	if board.running[server].digest == digest {
		delete(board.running, server)
	}
}

// Finished clears a request that ran to its end.
func (board *Board) Finished(digest string) {
	delete(board.suspects, digest)
}

// Suspects returns the number of remembered requests.
func (board *Board) Suspects() int { return len(board.suspects) }
