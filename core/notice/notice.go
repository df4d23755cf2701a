// Package notice keeps what backend servers have told one host in their responses: that they are leaving, or that they want
// no requests for a while.
package notice

import (
	"math"
	"strconv"
	"time"

	"lentilproxy/core/value"
)

const (
	// MaxPause bounds the pauses that servers can ask for.
	MaxPause = time.Hour
	// capacity is the number of servers whose notices are kept.
	capacity = 4096
)

type entry struct {
	leavingUntil time.Time
	pausedUntil  time.Time
}

// Board keeps the notices of servers by their names or incarnations. It is not safe for concurrent use.
type Board[K comparable] struct {
	entries *value.Recent[K, entry]
}

// New returns a board without notices.
func New[K comparable]() *Board[K] {
	return &Board[K]{entries: value.NewRecent[K, entry](capacity)}
}

// ParsePause returns the pause that the Retry-After header of a rejection asks for, in seconds; 0 if it asks for none.
func ParsePause(retryAfter string) time.Duration {
	seconds, err := strconv.ParseFloat(retryAfter, 64)
	if err != nil || math.IsNaN(seconds) || seconds <= 0 {
		return 0
	}
	return time.Duration(min(seconds, MaxPause.Seconds()) * float64(time.Second))
}

// Leave records that a server is leaving, for a duration. It reports whether that was not known.
func (board *Board[K]) Leave(now time.Time, server K, duration time.Duration) bool {
	known, _ := board.entries.Get(server)
	first := !now.Before(known.leavingUntil)
	known.leavingUntil = now.Add(duration)
	board.entries.Put(server, known)
	return first
}

// Pause records that a server wants no requests for a while. Of several pauses, the one that ends last counts.
func (board *Board[K]) Pause(now time.Time, server K, wait time.Duration) {
	known, _ := board.entries.Get(server)
	if until := now.Add(min(wait, MaxPause)); until.After(known.pausedUntil) {
		known.pausedUntil = until
		board.entries.Put(server, known)
	}
}

// Leaving reports whether a server is leaving.
func (board *Board[K]) Leaving(now time.Time, server K) bool {
	known, _ := board.entries.Get(server)
	return now.Before(known.leavingUntil)
}

// PauseOf returns the time until the first of some servers takes requests again; 0 if one does now. Servers that are leaving
// do not count.
func (board *Board[K]) PauseOf(now time.Time, servers []K) time.Duration {
	shortest := time.Duration(0)
	for _, server := range servers {
		wait := board.Wait(now, server)
		switch {
		case board.Leaving(now, server):
		case wait == 0:
			return 0
		case shortest == 0 || wait < shortest:
			shortest = wait
		}
	}
	return shortest
}

// Wait returns how long no requests may be sent to a server; 0 if they may be sent now.
func (board *Board[K]) Wait(now time.Time, server K) time.Duration {
	known, _ := board.entries.Get(server)
	return max(0, known.leavingUntil.Sub(now), known.pausedUntil.Sub(now))
}
