// Package gossip decides when a host exchanges gossip messages with which of its peers.
//
// An exchange is a call whose response carries as much state as the request, so that two hosts need one call between
// them, not two. They call each other alternately, since only the response to its own call shows a host that its peer
// receives its messages.
package gossip

import (
	"slices"
	"strings"
	"time"
)

// Schedule holds the times at which a host calls each of its peers. It is not safe for concurrent use.
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

// New returns the schedule of a host without peers. The host has to call Due once in every interval. With up to
// maxCalls peers, it has one exchange with each of them in every interval; with more peers, proportionally fewer
// exchanges.
func New(self string, interval time.Duration, maxCalls int) *Schedule {
	return &Schedule{self: self, interval: interval, maxCalls: max(1, maxCalls), peers: map[string]*peer{}}
}

// SetPeers replaces the peers. Between two hosts that are new to each other, the first by name calls first.
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
func (schedule *Schedule) Period() time.Duration { return schedule.PeriodOf(len(schedule.peers)) }

// PeriodOf returns the time between two exchanges with the same peer of a host with a number of peers.
func (schedule *Schedule) PeriodOf(peers int) time.Duration {
	return schedule.interval * time.Duration(max(1, (peers+schedule.maxCalls-1)/schedule.maxCalls))
}

// Due returns the peers to call now, starting with those that are most overdue.
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

// RecordCall records that the host is calling a peer. The peer makes the next call; this host calls again if none
// arrives.
func (schedule *Schedule) RecordCall(now time.Time, name string) {
	if known := schedule.peers[name]; known != nil {
		known.calledAt = now
		known.dueAt = schedule.roundedAfter(now, 2*schedule.Period())
	}
}

// RecordReceived records a call from a peer. If the calls of both hosts have crossed, the first host by name calls
// next; otherwise the next calls would cross as well.
func (schedule *Schedule) RecordReceived(now time.Time, name string) {
	known := schedule.peers[name]
	if known == nil {
		return
	}
	crossed := now.Sub(known.calledAt) < schedule.Period()/2
	if crossed && schedule.self > name {
		return
	}
	known.dueAt = schedule.roundedAfter(now, schedule.Period())
}

// roundedAfter returns the time after a wait, less half an interval, so that the call to Due that is nearest to the end
// of the wait already returns the peer.
func (schedule *Schedule) roundedAfter(now time.Time, wait time.Duration) time.Time {
	return now.Add(wait - schedule.interval/2)
}
