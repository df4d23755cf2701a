// Package budget decides how much memory and how many connections a process holds for its callers. It bounds the bytes that grow
// with what callers and servers send, and chooses which of them lose their place when they are scarce.
package budget

import (
	"cmp"
	"slices"
	"time"
)

const (
	// StallTime is how long a transfer may make no progress, or take for its first bytes, before it counts as stalled.
	StallTime = time.Second
	// MinRate is the rate in bytes per second below which a transfer counts as stalled. It matters only while bytes are scarce.
	MinRate = 16 << 10
	// evictionInterval is the time between two searches for transfers that lose their place, whose cost grows with their number.
	evictionInterval = 10 * time.Millisecond
	// spareFraction is the fraction of the budget by which stalled transfers lose their place beyond what is needed at once.
	spareFraction = 1.0 / 16
)

// Purpose is what bytes are held for.
type Purpose int

// The purposes of reservations.
const (
	Heads Purpose = iota
	Bodies
	Responses
	purposes
)

// Purposes lists all purposes.
func Purposes() []Purpose { return []Purpose{Heads, Bodies, Responses} }

// String returns the name of the purpose in metrics.
func (purpose Purpose) String() string {
	switch purpose {
	case Heads:
		return "heads"
	case Bodies:
		return "bodies"
	default:
		return "responses"
	}
}

// Reservation is the part of a budget that one transfer holds.
type Reservation struct {
	purpose Purpose
	// known reports whether the caller has presented a valid key.
	known bool
	held  int64
	// evictable is set while the transfer may lose its place, and evicted once it has lost it.
	evictable bool
	evicted   bool
	// evict ends the transfer.
	evict     func()
	startedAt time.Time
	// progressAt is when bytes last arrived or left, and moved counts these bytes since startedAt.
	progressAt time.Time
	moved      int64
}

// Purpose returns what the bytes are held for.
func (reservation *Reservation) Purpose() Purpose { return reservation.purpose }

// Evicted reports whether the transfer has lost its place.
func (reservation *Reservation) Evicted() bool { return reservation.evicted }

// Progress records that bytes of the transfer have arrived or left.
func (reservation *Reservation) Progress(now time.Time, bytes int64) {
	reservation.progressAt = now
	reservation.moved += bytes
}

// Expose allows that the transfer loses its place, and starts the measurement of its rate.
func (reservation *Reservation) Expose(now time.Time) {
	reservation.evictable, reservation.startedAt, reservation.progressAt, reservation.moved = true, now, now, 0
}

// Pin makes sure that the transfer keeps its place. It returns false if it has lost it already.
func (reservation *Reservation) Pin() bool {
	reservation.evictable = false
	return !reservation.evicted
}

// Stalled reports whether the transfer makes no progress, or less than the minimum rate.
func (reservation *Reservation) Stalled(now time.Time) bool {
	elapsed := now.Sub(reservation.startedAt)
	return now.Sub(reservation.progressAt) >= StallTime || elapsed >= StallTime && float64(reservation.moved) < MinRate*elapsed.Seconds()
}

// Budget bounds the bytes that all reservations hold. It is not safe for concurrent use.
type Budget struct {
	total int64
	used  int64
	// leaving is the part of used that evicted reservations still hold.
	leaving int64
	held    [purposes]int64
	open    map[*Reservation]struct{}
	// searchAt is the earliest time of the next search.
	searchAt time.Time
}

// New returns a budget of a number of bytes.
func New(total int64) *Budget {
	return &Budget{total: total, open: map[*Reservation]struct{}{}}
}

// Total returns the size of the budget, and Used the bytes that are held.
func (budget *Budget) Total() int64 { return budget.total }

// Used returns the bytes that all reservations hold.
func (budget *Budget) Used() int64 { return budget.used }

// Held returns the bytes that are held for a purpose.
func (budget *Budget) Held(purpose Purpose) int64 { return budget.held[purpose] }

// Open returns a reservation that holds nothing yet and cannot be evicted. The function evict ends the transfer if it loses its
// place after Expose.
func (budget *Budget) Open(now time.Time, purpose Purpose, known bool, evict func()) *Reservation {
	reservation := &Reservation{purpose: purpose, known: known, evict: evict, startedAt: now, progressAt: now}
	budget.open[reservation] = struct{}{}
	return reservation
}

// Grow adds bytes to a reservation. If they do not fit, it returns false, and others lose their place. These free their bytes when
// they are closed, so that the caller has to try again.
func (budget *Budget) Grow(now time.Time, reservation *Reservation, bytes int64) bool {
	if reservation.evicted {
		return false
	}
	if budget.used+bytes <= budget.total {
		budget.add(reservation, bytes)
		return true
	}
	budget.evict(now, reservation, bytes)
	return false
}

// Close ends a reservation and frees its bytes.
func (budget *Budget) Close(reservation *Reservation) {
	if _, open := budget.open[reservation]; !open {
		return
	}
	budget.add(reservation, -reservation.held)
	delete(budget.open, reservation)
}

func (budget *Budget) add(reservation *Reservation, bytes int64) {
	reservation.held += bytes
	budget.used += bytes
	budget.held[reservation.purpose] += bytes
	if reservation.evicted {
		budget.leaving += bytes
	}
}

// evict takes their place from as many reservations as a transfer needs to grow.
func (budget *Budget) evict(now time.Time, grown *Reservation, bytes int64) {
	missing := budget.used - budget.leaving + bytes - budget.total
	if missing <= 0 || now.Before(budget.searchAt) {
		return
	}
	budget.searchAt = now.Add(evictionInterval)
	spare := int64(spareFraction * float64(budget.total))
	for _, candidate := range budget.candidates(now, grown, bytes) {
		if missing <= -spare || missing <= 0 && !candidate.Stalled(now) {
			return
		}
		candidate.evicted = true
		budget.leaving += candidate.held
		missing -= candidate.held
		candidate.evict()
	}
}

// candidates returns the reservations that may lose their place for another one, in their order: those without a valid key first,
// of these the stalled ones by the time of their last progress, then the largest. One that is not stalled gives way only to a
// smaller one, or to a caller with a valid key if it has none. Otherwise two large bodies would take each other's place in turn.
func (budget *Budget) candidates(now time.Time, grown *Reservation, bytes int64) []*Reservation {
	var candidates []*Reservation
	stalled := map[*Reservation]bool{}
	for reservation := range budget.open {
		if reservation == grown || !reservation.evictable || reservation.evicted || reservation.held == 0 {
			continue
		}
		stalled[reservation] = reservation.Stalled(now)
		outranked := grown.known && !reservation.known
		if stalled[reservation] || outranked || reservation.known == grown.known && reservation.held > grown.held+bytes {
			candidates = append(candidates, reservation)
		}
	}
	slices.SortFunc(candidates, func(left, right *Reservation) int {
		switch {
		case left.known != right.known:
			return compareBool(left.known, right.known)
		case stalled[left] != stalled[right]:
			return compareBool(stalled[right], stalled[left])
		case stalled[left]:
			return left.progressAt.Compare(right.progressAt)
		default:
			return cmp.Compare(right.held, left.held)
		}
	})
	return candidates
}

// compareBool orders false before true.
func compareBool(left, right bool) int {
	switch {
	case left == right:
		return 0
	case right:
		return -1
	default:
		return 1
	}
}
