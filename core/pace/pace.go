// Package pace spreads the prompts that all hosts send to one backend server over time.
//
// A server that runs a model reads prompts between the tokens of its streams. If many prompts arrive at once, the pauses
// between the events of all its streams become longer than their objective. A pacer therefore bounds the prompt tokens
// that the server has not read yet. It does not know how fast the server reads: it lowers the bound when hosts observe
// pauses that come close to the objective, and raises it again while requests wait for it.
package pace

import (
	"slices"
	"sort"
	"time"

	"lentilproxy/core/order"
)

const (
	// initialTokenTime is the assumed time that a server takes per prompt token. It determines the first
	// bound.
	initialTokenTime = 50 * time.Microsecond
	// targetFraction is the fraction of the gap objective that pauses should not exceed.
	targetFraction = 0.8
	// lowerFactor is applied to the bound after a pause beyond the target.
	lowerFactor = 0.85
	// raisePerSecond is the relative growth of the bound while requests wait for it.
	raisePerSecond = 0.04
	// minBoundFraction and maxBoundFactor bound the bound, relative to the first one.
	minBoundFraction = 0.25
	maxBoundFactor   = 8
	// causeFraction is the part of the bound that must have been in use for a pause to be due to prompts. Other pauses
	// are due to slow networks or hosts.
	causeFraction = 0.5
	// maxHold is how long tokens count as unread if their host does not report that they have been read.
	maxHold = 1500 * time.Millisecond
	// shareUnit is the number of tokens that count as one unit in the shares of workspaces, and shareSlack the number of units by which a
	// workspace may be ahead of its share: about two usual prompts.
	shareUnit  = 1024
	shareSlack = 3
)

// Request is a request that wants to send its prompt.
type Request struct {
	ID     int64
	Tokens int64
	// Due is when the request should have its first event. Requests are served in this order, unless the pacer has a full order.
	Due time.Time
	// Priority is 0 for the most urgent requests. Like Workspace, it counts only with a full order.
	Priority  int
	Workspace string
}

// waiting is a request that waits.
type waiting struct {
	Request
	arrivedAt time.Time
	share     *order.Share
}

// grant is a prompt that may have been sent and has not been read.
type grant struct {
	tokens int64
	at     time.Time
}

// Pacer decides when prompts may be sent to one server. It is not safe for concurrent use.
type Pacer struct {
	objective time.Duration
	first     float64
	bound     float64
	unread    int64
	grants    map[int64]grant
	// waiting holds the waiting requests by due time.
	waiting []*waiting
	// fullOrder is set if priorities and workspaces count.
	fullOrder bool
	order     *order.Order
	// peak is the largest number of unread tokens since peakSince.
	peak      int64
	peakSince time.Time
	// previousPeak is that of the preceding period.
	previousPeak int64
	loweredAt    time.Time
	updated      time.Time
}

// New returns the pacer of a server whose streams have an objective for the pauses between their events.
func New(now time.Time, objective time.Duration) *Pacer {
	first := targetFraction * float64(objective) / float64(initialTokenTime)
	return &Pacer{objective: objective, first: first, bound: first, grants: map[int64]grant{}, order: order.New(now, shareSlack, order.WithEqualShares()), peakSince: now, updated: now}
}

// Bound returns the number of unread tokens that the server should have at most.
func (pacer *Pacer) Bound() int64 { return int64(pacer.bound) }

// Unread returns the number of tokens that have been granted and not been read.
func (pacer *Pacer) Unread() int64 { return pacer.unread }

// Waiting returns the number of tokens of the requests that wait.
func (pacer *Pacer) Waiting() int64 {
	var tokens int64
	for _, request := range pacer.waiting {
		tokens += request.Tokens
	}
	return tokens
}

// Idle reports whether no request waits or has unread tokens.
func (pacer *Pacer) Idle() bool { return len(pacer.waiting) == 0 && len(pacer.grants) == 0 }

// SetFullOrder sets whether priorities and workspaces count besides due times.
func (pacer *Pacer) SetFullOrder(full bool) { pacer.fullOrder = full }

// Add adds a request to the waiting ones. It returns the number of requests that are ahead of it.
func (pacer *Pacer) Add(now time.Time, request Request) (ahead int) {
	added := &waiting{Request: request, arrivedAt: now, share: pacer.order.Arrive(now, request.Workspace, request.Priority, units(request))}
	position := sort.Search(len(pacer.waiting), func(index int) bool { return pacer.waiting[index].Due.After(request.Due) })
	ahead = position
	if pacer.fullOrder {
		ahead = pacer.order.Ahead(pacer.entries(now), pacer.entry(now, added))
	}
	pacer.waiting = slices.Insert(pacer.waiting, position, added)
	return ahead
}

// units returns the number of units of a request in the share of its workspace.
func units(request Request) float64 { return float64(request.Tokens) / shareUnit }

// entry returns the place of a request in the order. It counts as in time if it is if its prompt is sent now.
func (pacer *Pacer) entry(now time.Time, waiting *waiting) order.Entry {
	tokenTime := targetFraction * float64(pacer.objective) / pacer.bound
	read := now.Add(time.Duration(tokenTime * float64(pacer.unread+waiting.Tokens)))
	return order.Entry{
		Late: read.After(waiting.Due), Priority: waiting.Priority, Share: waiting.share, Due: waiting.Due, ArrivedAt: waiting.arrivedAt,
	}
}

func (pacer *Pacer) entries(now time.Time) []order.Entry {
	entries := make([]order.Entry, 0, len(pacer.waiting))
	for _, waiting := range pacer.waiting {
		entries = append(entries, pacer.entry(now, waiting))
	}
	return entries
}

// Counts returns the number of waiting requests by priority.
func (pacer *Pacer) Counts() map[int]int {
	counts := map[int]int{}
	for _, waiting := range pacer.waiting {
		counts[waiting.Priority]++
	}
	return counts
}

// Next returns the IDs of the requests that may be sent now. A request that is larger than the bound is sent when
// nothing else is unread.
func (pacer *Pacer) Next(now time.Time) []int64 {
	pacer.advance(now)
	var granted []int64
	for len(pacer.waiting) > 0 {
		index := 0
		if pacer.fullOrder && len(pacer.waiting) > 1 {
			index = pacer.order.Next(pacer.entries(now))
		}
		next := pacer.waiting[index]
		if pacer.unread > 0 && float64(pacer.unread+next.Tokens) > pacer.bound {
			break
		}
		pacer.remove(now, index)
		granted = append(granted, next.ID)
	}
	return granted
}

// remove grants a waiting request.
func (pacer *Pacer) remove(now time.Time, index int) {
	next := pacer.waiting[index]
	pacer.waiting = slices.Delete(pacer.waiting, index, index+1)
	pacer.order.Serve(next.share, units(next.Request))
	pacer.grant(now, next.Request)
}

// Force grants a request that cannot wait any longer. It returns false if the request does not wait.
func (pacer *Pacer) Force(now time.Time, id int64) bool {
	pacer.advance(now)
	for index, request := range pacer.waiting {
		if request.ID == id {
			pacer.remove(now, index)
			return true
		}
	}
	return false
}

func (pacer *Pacer) grant(now time.Time, request Request) {
	pacer.grants[request.ID] = grant{tokens: request.Tokens, at: now}
	pacer.unread += request.Tokens
	pacer.peak = max(pacer.peak, pacer.unread)
}

// Release records that the prompt of a request has been read or will not be.
func (pacer *Pacer) Release(id int64) {
	if known, found := pacer.grants[id]; found {
		pacer.unread -= known.tokens
		delete(pacer.grants, id)
	}
}

// RecordPause records a pause between two events of a stream on the server.
func (pacer *Pacer) RecordPause(now time.Time, pause time.Duration) {
	pacer.advance(now)
	if float64(pause) <= targetFraction*float64(pacer.objective) || now.Sub(pacer.loweredAt) < pacer.objective {
		// All streams observe the same pause.
		return
	}
	// A pause while the bound was exceeded, by a single large prompt or by ones that could not wait, does not show that the
	// bound is too high.
	if most := float64(max(pacer.peak, pacer.previousPeak)); most < causeFraction*pacer.bound || most > pacer.bound {
		return
	}
	pacer.loweredAt = now
	pacer.bound = max(pacer.bound*lowerFactor, pacer.first*minBoundFraction)
}

// advance drops grants that were not released, and raises the bound while requests wait.
func (pacer *Pacer) advance(now time.Time) {
	for id, known := range pacer.grants {
		if now.Sub(known.at) >= maxHold {
			pacer.Release(id)
		}
	}
	if period := 2 * pacer.objective; now.Sub(pacer.peakSince) >= period {
		pacer.previousPeak = pacer.peak
		if now.Sub(pacer.peakSince) >= 2*period {
			pacer.previousPeak = pacer.unread
		}
		pacer.peak, pacer.peakSince = pacer.unread, now
	}
	elapsed := now.Sub(pacer.updated)
	pacer.updated = now
	if elapsed > 0 && len(pacer.waiting) > 0 {
		pacer.bound = min(pacer.bound*(1+raisePerSecond*elapsed.Seconds()), pacer.first*maxBoundFactor)
	}
}
