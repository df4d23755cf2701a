package order

import (
	"time"

	"lentilproxy/core/value"
)

const (
	// MinRetryAfter is the least time after which a refused caller should return.
	MinRetryAfter = 50 * time.Millisecond
	// MaxRetryAfter is the longest time after which a refused caller should return.
	MaxRetryAfter = 3 * time.Second
	// returnFraction is the fraction of the service rate at which refused callers are asked to return. The rest is for newcomers.
	returnFraction = 0.5
	// returnSlack is how much earlier than asked a refused caller may return, and returnLifetime how much later, to be preferred to
	// newcomers.
	returnSlack    = 10 * time.Millisecond
	returnLifetime = 10 * time.Second
	// returnBoost is the fraction of its objective by which a request that came back is due earlier than a newcomer.
	returnBoost = 0.5
	// maxRefusals bounds the refusals that are remembered.
	maxRefusals = 8192
)

type refusalKey struct {
	workspace string
	digest    string
}

// Returns asks refused callers to return one after the other, and recognises those that do. It is not safe for concurrent use.
type Returns struct {
	// refusals maps refused requests to the time at which they should return, and next is when the next one should.
	refusals *value.Recent[refusalKey, time.Time]
	next     time.Time
}

// NewReturns returns the state before the first refusal.
func NewReturns() *Returns {
	return &Returns{refusals: value.NewRecent[refusalKey, time.Time](maxRefusals)}
}

// Refuse records the refusal of a request that may be possible after a wait, and returns when its caller should return. Rate is the number
// of requests that are served per second, or 0 if it is not known.
func (returns *Returns) Refuse(now time.Time, workspace, digest string, wait time.Duration, rate float64) time.Time {
	at := now.Add(min(max(wait, MinRetryAfter), MaxRetryAfter))
	if returns.next.After(at) && returns.next.Sub(now) <= MaxRetryAfter {
		at = returns.next
	}
	if rate > 0 {
		returns.next = at.Add(time.Duration(float64(time.Second) / (returnFraction * rate)))
	}
	if digest != "" {
		returns.Expect(workspace, digest, at)
	}
	return at
}

// Expect records when the caller of a refused request should return.
func (returns *Returns) Expect(workspace, digest string, at time.Time) {
	returns.refusals.Put(refusalKey{workspace: workspace, digest: digest}, at)
}

// Take reports whether a request was refused before and has come back when it should.
func (returns *Returns) Take(now time.Time, workspace, digest string) bool {
	if digest == "" {
		return false
	}
	key := refusalKey{workspace: workspace, digest: digest}
	at, found := returns.refusals.Get(key)
	if !found || at.IsZero() || now.Before(at.Add(-returnSlack)) || now.After(at.Add(returnLifetime)) {
		return false
	}
	returns.refusals.Put(key, time.Time{})
	return true
}

// Boosted returns the time by which a request that has come back is ordered.
func Boosted(now, due time.Time) time.Time {
	return due.Add(-time.Duration(returnBoost * float64(due.Sub(now))))
}
