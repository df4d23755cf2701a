// Package fresh decides whether a host may act on the configuration that it holds.
//
// A host is fresh while it has proof, at most Limit old, that no newer revision was accepted. A revision is
// accepted once more than half of the roster hold it, so any majority of answers meets a host that knows it.
package fresh

import (
	"sort"
	"time"

	"lentilproxy/core/conf"
	"lentilproxy/core/value"
)

const (
	// Limit is the greatest age of a proof.
	Limit = 3 * time.Second
	// DriftMargin covers the difference between two hosts' clocks over Limit.
	DriftMargin = 100 * time.Millisecond
	// Takeover is how long after acceptance every host has either acknowledged a revision or turned stale.
	Takeover = Limit + DriftMargin
)

// Answer is what a peer says of its own view.
type Answer struct {
	Host        string `json:"host"`
	Incarnation int64  `json:"incarnation"`
	// Ready hosts have read the table since they started; others do not count for majorities.
	Ready    bool  `json:"ready"`
	Revision int64 `json:"revision"`
	// ProofAge is the age of the peer's own proof for its revision; it counts only if HasProof is set.
	ProofAge time.Duration `json:"proof_age"`
	HasProof bool          `json:"has_proof"`
}

// proof says that no revision above a bound had been accepted at an instant.
type proof struct {
	revision int64
	at       time.Time
}

type heard struct {
	answer Answer
	sentAt time.Time
}

// Tracker collects proofs for one host.
type Tracker struct {
	host    string
	held    int64
	roster  *conf.Roster
	proofs  []proof
	answers map[string]heard
	// acknowledged is the highest revision that each host is known to have held.
	acknowledged map[string]int64
}

// NewTracker returns a tracker without any proof.
func NewTracker(host string) *Tracker {
	return &Tracker{host: host, roster: &conf.Roster{Settled: true}, answers: map[string]heard{}, acknowledged: map[string]int64{}}
}

// Hold records the revision that the host now acts on. Revisions never go back.
func (tracker *Tracker) Hold(revision int64, roster *conf.Roster) {
	if revision < tracker.held {
		return
	}
	tracker.held = revision
	tracker.roster = roster
}

// Held returns the revision that the host acts on.
func (tracker *Tracker) Held() int64 { return tracker.held }

// Head records that a read of the table, sent at an instant, returned a revision.
func (tracker *Tracker) Head(revision int64, sentAt time.Time) {
	tracker.add(proof{revision: revision, at: sentAt})
}

// Hear records a peer's answer to a question sent at an instant, and says whether it knows a newer revision.
//
// Answers of an older incarnation than the last one heard are dropped.
func (tracker *Tracker) Hear(answer Answer, sentAt time.Time) (newer bool) {
	last, found := tracker.answers[answer.Host]
	if found && answer.Incarnation < last.answer.Incarnation {
		return false
	}
	if !found || !sentAt.Before(last.sentAt) || answer.Incarnation > last.answer.Incarnation {
		tracker.answers[answer.Host] = heard{answer: answer, sentAt: sentAt}
	}
	tracker.Acknowledge(answer.Host, answer.Revision)
	if answer.HasProof && answer.Ready {
		tracker.add(proof{revision: answer.Revision, at: sentAt.Add(-answer.ProofAge)})
	}
	return answer.Revision > tracker.held
}

// add keeps the newest proof for each revision, and only those that a newer one does not replace.
func (tracker *Tracker) add(added proof) {
	kept := tracker.proofs[:0]
	for _, old := range tracker.proofs {
		if old.revision <= added.revision && !old.at.Before(added.at) {
			return
		}
	}
	for _, old := range tracker.proofs {
		replaced := old.revision >= added.revision && !old.at.After(added.at)
		if !replaced {
			kept = append(kept, old)
		}
	}
	kept = append(kept, added)
	tracker.proofs = kept
}

// ProvenAt returns the latest instant at which the held revision is known to have been the newest accepted one.
func (tracker *Tracker) ProvenAt() (time.Time, bool) {
	var best time.Time
	found := false
	for _, candidate := range tracker.proofs {
		if candidate.revision <= tracker.held && (!found || candidate.at.After(best)) {
			best, found = candidate.at, true
		}
	}
	if at, majority := tracker.majorityAfter(best); majority {
		return at, true
	}
	return best, found
}

// Fresh says whether the host may act at an instant.
func (tracker *Tracker) Fresh(now time.Time) bool {
	at, found := tracker.ProvenAt()
	return found && Within(now, at)
}

// Within says whether a proof of an instant is young enough.
func Within(now, provenAt time.Time) bool {
	return now.Sub(provenAt) <= Limit
}

// majorityAfter returns the latest instant since which a majority has answered with no newer revision, if it lies
// after a known proof.
func (tracker *Tracker) majorityAfter(known time.Time) (time.Time, bool) {
	var instants []heard
	for _, entry := range tracker.answers {
		if entry.sentAt.After(known) && entry.answer.Ready && entry.answer.Revision <= tracker.held && entry.answer.Host != tracker.host {
			instants = append(instants, entry)
		}
	}
	if 2*(len(instants)+1) <= len(tracker.roster.Members) {
		return time.Time{}, false
	}
	sort.Slice(instants, func(left, right int) bool { return instants[left].sentAt.After(instants[right].sentAt) })
	hosts := value.NewSet[string]()
	if tracker.roster.Has(tracker.host) {
		hosts.Add(tracker.host)
	}
	if tracker.roster.Quorum(hosts) {
		// A roster of one host must ask the table: nobody else could know of a change.
		return time.Time{}, false
	}
	for _, entry := range instants {
		hosts.Add(entry.answer.Host)
		if tracker.roster.Quorum(hosts) {
			return entry.sentAt, true
		}
	}
	return time.Time{}, false
}

// Acknowledged returns the hosts known to hold a revision, the tracker's own host among them.
func (tracker *Tracker) Acknowledged(revision int64) value.Set[string] {
	hosts := value.NewSet[string]()
	if tracker.held >= revision {
		hosts.Add(tracker.host)
	}
	for name, held := range tracker.acknowledged {
		if held >= revision {
			hosts.Add(name)
		}
	}
	return hosts
}

// Acknowledge records that a host has held a revision. A host that restarts reads the table before it acts, so
// the acknowledgement outlives it.
func (tracker *Tracker) Acknowledge(host string, revision int64) {
	tracker.acknowledged[host] = max(tracker.acknowledged[host], revision)
}
