// Package fresh decides whether a host may act on the configuration that it holds.
//
// A host is fresh while it has a proof, at most MaxProofAge old, that no newer revision was accepted. A revision is
// accepted once more than half of the roster holds it, so any majority of status reports includes a host that holds it.
package fresh

import (
	"sort"
	"time"

	"lentilproxy/core/conf"
	"lentilproxy/core/value"
)

const (
	// MaxProofAge is the greatest age of a proof.
	MaxProofAge = 3 * time.Second
	// DriftMargin covers the drift between two hosts' clocks over MaxProofAge.
	DriftMargin = 100 * time.Millisecond
	// TakeoverDelay is how long after the acceptance of a revision every host has either acknowledged it or turned stale.
	TakeoverDelay = MaxProofAge + DriftMargin
)

// Status is a host's report of its own view.
type Status struct {
	Host        string `json:"host"`
	Incarnation int64  `json:"incarnation"`
	// Ready is set once the host has read the table since its start. Hosts that are not ready do not count towards
	// majorities.
	Ready    bool  `json:"ready"`
	Revision int64 `json:"revision"`
	// ProofAge is the age of the host's own proof for its revision; it counts only if HasProof is set.
	ProofAge time.Duration `json:"proof_age"`
	HasProof bool          `json:"has_proof"`
}

// proof states that no revision above the given one had been accepted at a point in time.
type proof struct {
	revision int64
	at       time.Time
}

type receivedStatus struct {
	status Status
	sentAt time.Time
}

// Tracker collects proofs for one host.
type Tracker struct {
	host     string
	held     int64
	roster   *conf.Roster
	proofs   []proof
	statuses map[string]receivedStatus
	// acknowledged is the highest revision that each host has acknowledged.
	acknowledged map[string]int64
}

// NewTracker returns a tracker without any proof.
func NewTracker(host string) *Tracker {
	return &Tracker{host: host, roster: &conf.Roster{Settled: true}, statuses: map[string]receivedStatus{}, acknowledged: map[string]int64{}}
}

// Hold records the revision that the host now acts on. An older revision than the held one is ignored.
func (tracker *Tracker) Hold(revision int64, roster *conf.Roster) {
	if revision < tracker.held {
		return
	}
	tracker.held = revision
	tracker.roster = roster
}

// Held returns the revision that the host acts on.
func (tracker *Tracker) Held() int64 { return tracker.held }

// RecordRead records the newest revision in the table, as returned by a read that was sent at the given time.
func (tracker *Tracker) RecordRead(revision int64, sentAt time.Time) {
	tracker.add(proof{revision: revision, at: sentAt})
}

// RecordStatus records a peer's response to a status request that was sent at the given time, and reports whether the
// peer holds a newer revision.
//
// Responses of an older incarnation than the last recorded one are dropped.
func (tracker *Tracker) RecordStatus(status Status, sentAt time.Time) (newer bool) {
	last, found := tracker.statuses[status.Host]
	if found && status.Incarnation < last.status.Incarnation {
		return false
	}
	if !found || !sentAt.Before(last.sentAt) || status.Incarnation > last.status.Incarnation {
		tracker.statuses[status.Host] = receivedStatus{status: status, sentAt: sentAt}
	}
	tracker.Acknowledge(status.Host, status.Revision)
	if status.HasProof && status.Ready {
		tracker.add(proof{revision: status.Revision, at: sentAt.Add(-status.ProofAge)})
	}
	return status.Revision > tracker.held
}

// add adds a proof unless another one implies it, and drops the proofs that it implies. A proof implies another one if
// it is at least as recent and for the same or a lower revision.
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

// ProvenAt returns the latest time at which the held revision is proven to have been the newest accepted one.
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

// Fresh reports whether the host may act at a point in time.
func (tracker *Tracker) Fresh(now time.Time) bool {
	at, found := tracker.ProvenAt()
	return found && Within(now, at)
}

// Within reports whether a proof for a point in time is at most MaxProofAge old.
func Within(now, provenAt time.Time) bool {
	return now.Sub(provenAt) <= MaxProofAge
}

// majorityAfter returns the latest time since which a majority, including this host, has reported no newer revision. It
// considers only status requests sent after the time of a known proof.
func (tracker *Tracker) majorityAfter(known time.Time) (time.Time, bool) {
	var statuses []receivedStatus
	for _, entry := range tracker.statuses {
		if entry.sentAt.After(known) && entry.status.Ready && entry.status.Revision <= tracker.held && entry.status.Host != tracker.host {
			statuses = append(statuses, entry)
		}
	}
	if 2*(len(statuses)+1) <= len(tracker.roster.Members) {
		return time.Time{}, false
	}
	sort.Slice(statuses, func(left, right int) bool { return statuses[left].sentAt.After(statuses[right].sentAt) })
	hosts := value.NewSet[string]()
	if tracker.roster.Has(tracker.host) {
		hosts.Add(tracker.host)
	}
	if tracker.roster.Quorum(hosts) {
		// A host that is a quorum by itself must read the table, since no other host could report a newer revision.
		return time.Time{}, false
	}
	for _, entry := range statuses {
		hosts.Add(entry.status.Host)
		if tracker.roster.Quorum(hosts) {
			return entry.sentAt, true
		}
	}
	return time.Time{}, false
}

// Acknowledged returns the hosts that have held a revision or a newer one, including this host.
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

// AcknowledgedBy returns the highest revision that another host is known to have held, or 0.
func (tracker *Tracker) AcknowledgedBy(host string) int64 { return tracker.acknowledged[host] }

// Acknowledge records that a host has held a revision. A restarted host reads the table before it acts, so the
// acknowledgement remains valid across restarts.
func (tracker *Tracker) Acknowledge(host string, revision int64) {
	tracker.acknowledged[host] = max(tracker.acknowledged[host], revision)
}
