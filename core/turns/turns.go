// Package turns decides when a host exchanges digests with which of its peers.
//
// An exchange is a call whose answer carries as much as the call, so that two hosts need one call between them, not
// two. They call each other by turns: each learns from the answers to its own calls whether it is heard.
package turns

import (
	"slices"
	"strings"
	"time"
)

// Schedule holds when a host calls each of its peers. It is not safe for concurrent use.
type Schedule struct {
	self     string
	interval time.Duration
	maxCalls int
	peers    map[string]*peer
}

type peer struct {
	dueAt    time.Time
	calledAt time.Time
}

// New returns the schedule of a host without peers, which looks at it once an interval. With up to most peers, it has an
// exchange with each of them in every interval, and with more of them proportionally less often.
func New(self string, interval time.Duration, most int) *Schedule {
	return &Schedule{self: self, interval: interval, maxCalls: max(1, most), peers: map[string]*peer{}}
}

// SetPeers takes in who the peers are. Of two hosts that get to know each other, the first by name calls first.
func (schedule *Schedule) SetPeers(now time.Time, names []string) {
	known := schedule.peers
	schedule.peers = make(map[string]*peer, len(names))
	for _, name := range names {
		schedule.peers[name] = known[name]
	}
	for name, known := range schedule.peers {
		if known != nil {
			continue
		}
		added := &peer{dueAt: now}
		if schedule.self > name {
			added.dueAt = now.Add(schedule.Period())
		}
		schedule.peers[name] = added
	}
}

// Period returns the time between two exchanges with the same peer.
func (schedule *Schedule) Period() time.Duration {
	return schedule.interval * time.Duration(max(1, (len(schedule.peers)+schedule.maxCalls-1)/schedule.maxCalls))
}

// Due returns the peers to call now, those first that have waited longest.
func (schedule *Schedule) Due(now time.Time) []string {
	var due []string
	for name, known := range schedule.peers {
		if !now.Before(known.dueAt) {
			due = append(due, name)
		}
	}
	slices.SortFunc(due, func(left, right string) int {
		if order := schedule.peers[left].dueAt.Compare(schedule.peers[right].dueAt); order != 0 {
			return order
		}
		return strings.Compare(left, right)
	})
	return due[:min(len(due), schedule.maxCalls)]
}

// RecordCall takes in that a peer is being called. The next call is its turn; this host calls again if none comes.
func (schedule *Schedule) RecordCall(now time.Time, name string) {
	if known := schedule.peers[name]; known != nil {
		known.calledAt = now
		known.dueAt = schedule.after(now, 2*schedule.Period())
	}
}

// RecordReceived takes in a peer's call. Where two calls have crossed, the first host by name calls next, as otherwise the next ones
// would cross as well.
func (schedule *Schedule) RecordReceived(now time.Time, name string) {
	known := schedule.peers[name]
	if known == nil {
		return
	}
	crossed := now.Sub(known.calledAt) < schedule.Period()/2
	if crossed && schedule.self > name {
		return
	}
	known.dueAt = schedule.after(now, schedule.Period())
}

// after returns an instant that is some time later, rounded so that the look at the schedule which is nearest to it
// finds it due.
func (schedule *Schedule) after(now time.Time, wait time.Duration) time.Time {
	return now.Add(wait - schedule.interval/2)
}
