// Package crash detects requests that crash the backend servers that run them.
//
// A Tracker follows the requests of one host: every request in flight on a server that crashes is a suspect, one that was
// in flight at two crashes is refused for RefusalDuration, and a suspect that completes is cleared. An Analyzer finds what different
// requests have in common that crashes servers, from what all hosts have seen; a Blocklist holds its verdicts.
package crash

import (
	"time"

	"lentilproxy/core/value"
)

const (
	// CrashesToRefuse is the number of crashes after which a request is refused.
	CrashesToRefuse = 2
	// RefusalDuration is how long a request is refused after its last crash.
	RefusalDuration = 10 * time.Minute
	// RunLifetime is how long a suspect's run keeps other suspects off its server if the end of the run is not reported.
	RunLifetime = 70 * time.Second
	// MaxSuspects is the greatest number of suspects that are tracked.
	MaxSuspects = 10_000
	// crashWindow is the time within which failures of a server without known incarnations count as one crash.
	crashWindow = 2 * time.Second
)

// Verdict is the decision on how a request may run.
type Verdict int

// The verdicts on a request.
const (
	// Allow means that the request runs without restrictions.
	Allow Verdict = iota
	// Isolate means that the request must not share a server with another suspect.
	Isolate
	// Refuse means that the request must not run.
	Refuse
)

// Report states that a server crashed with a request in flight.
type Report struct {
	// Incarnation identifies the server incarnation that crashed. All reports of one crash have the same value.
	Incarnation string
	// Server is set if the incarnations of the server are not known. All reports on the server within crashWindow are then
	// of the same crash, whatever incarnation they name.
	Server string
	// Digest is a hash that identifies the request.
	Digest string
}

type suspect struct {
	crashes value.Set[string]
	last    time.Time
}

type run struct {
	name  string
	until time.Time
}

// Tracker records suspects and their runs. It is not safe for concurrent use.
type Tracker struct {
	suspects map[string]*suspect
	running  map[string]run
	// endedAt is when each server incarnation was first reported to have ended.
	endedAt map[string]time.Time
	// lastCrash holds the last crash of each server without known incarnations.
	lastCrash map[string]serverCrash
}

type serverCrash struct {
	incarnation string
	at          time.Time
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker {
	return &Tracker{suspects: map[string]*suspect{}, running: map[string]run{}, endedAt: map[string]time.Time{}, lastCrash: map[string]serverCrash{}}
}

// Record records a crash that this host has detected. A further report of the same crash does not extend the
// time for which the request is refused.
func (tracker *Tracker) Record(now time.Time, report Report) {
	incarnation := tracker.incarnationOf(now, report)
	tracker.RecordEnd(now, incarnation)
	entry := tracker.suspects[report.Digest]
	if entry == nil {
		tracker.evict(now)
		entry = &suspect{crashes: value.NewSet[string]()}
		tracker.suspects[report.Digest] = entry
	}
	if !entry.crashes.Has(incarnation) {
		entry.crashes.Add(incarnation)
		entry.last = now
	}
}

// incarnationOf returns the incarnation that a report counts for.
func (tracker *Tracker) incarnationOf(now time.Time, report Report) string {
	if report.Server == "" {
		return report.Incarnation
	}
	if last, found := tracker.lastCrash[report.Server]; found && now.Sub(last.at) < crashWindow {
		return last.incarnation
	}
	tracker.lastCrash[report.Server] = serverCrash{incarnation: report.Incarnation, at: now}
	return report.Incarnation
}

// RecordEnd records that a server incarnation has ended. If there are too many records, it drops the oldest one.
func (tracker *Tracker) RecordEnd(now time.Time, incarnation string) {
	if _, found := tracker.endedAt[incarnation]; found {
		return
	}
	if len(tracker.endedAt) >= MaxSuspects {
		oldest := ""
		for name, at := range tracker.endedAt {
			if oldest == "" || at.Before(tracker.endedAt[oldest]) {
				oldest = name
			}
		}
		delete(tracker.endedAt, oldest)
	}
	tracker.endedAt[incarnation] = now
}

// EndedBefore reports whether a server incarnation was already recorded as ended when a request was sent. Such a
// request did not cause the crash.
func (tracker *Tracker) EndedBefore(incarnation string, sentAt time.Time) bool {
	at, found := tracker.endedAt[incarnation]
	return found && at.Before(sentAt)
}

// evict frees an entry if the tracker is full. It removes the suspects whose last crash was at least RefusalDuration
// ago, or the one with the oldest last crash if there are none of these.
func (tracker *Tracker) evict(now time.Time) {
	if len(tracker.suspects) < MaxSuspects {
		return
	}
	var oldest string
	for digest, entry := range tracker.suspects {
		if now.Sub(entry.last) >= RefusalDuration {
			delete(tracker.suspects, digest)
			continue
		}
		if oldest == "" || entry.last.Before(tracker.suspects[oldest].last) {
			oldest = digest
		}
	}
	if len(tracker.suspects) >= MaxSuspects {
		delete(tracker.suspects, oldest)
	}
}

// Decide returns how a request may run.
func (tracker *Tracker) Decide(now time.Time, digest string) Verdict {
	entry := tracker.suspects[digest]
	switch {
	case entry == nil:
		return Allow
	case now.Sub(entry.last) >= RefusalDuration:
		delete(tracker.suspects, digest)
		return Allow
	case len(entry.crashes) >= CrashesToRefuse:
		return Refuse
	default:
		return Isolate
	}
}

// Start records that a run of a suspect begins on a server. It returns false, without effect, during another one there.
func (tracker *Tracker) Start(now time.Time, name, server string) bool {
	if !tracker.Free(now, server) {
		return false
	}
	tracker.running[server] = run{name: name, until: now.Add(RunLifetime)}
	return true
}

// Free reports whether no suspect runs on a server.
func (tracker *Tracker) Free(now time.Time, server string) bool {
	held, taken := tracker.running[server]
	return !taken || !now.Before(held.until)
}

// Stop records that a run of a suspect on a server has ended.
func (tracker *Tracker) Stop(name, server string) {
	if tracker.running[server].name == name {
		delete(tracker.running, server)
	}
}

// Clear removes a request that completed from the suspects.
func (tracker *Tracker) Clear(digest string) {
	delete(tracker.suspects, digest)
}

// Suspects returns the number of tracked suspects.
func (tracker *Tracker) Suspects() int { return len(tracker.suspects) }
