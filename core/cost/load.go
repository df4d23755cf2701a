package cost

import "time"

const (
	// loadWeight is the weight of the newest load in the moving average. If the weight store slows down by a factor of three, six
	// loads change the average by three quarters of the difference.
	loadWeight = 0.2
	// minLoads is the number of loads of a kind from which on their average is used.
	minLoads = 4
	// maxLoadTime bounds one measured load. Callers wait no longer.
	maxLoadTime = 2 * time.Second
	// loadLifetime is how long the average is used after the last load. A host that has learned that loads are slow starts few of
	// them, and would not see that they are fast again.
	loadLifetime = 30 * time.Second
)

// LoadKind tells from where a server is expected to load an adapter.
type LoadKind string

// The kinds of loads.
const (
	// StoreLoad is a load on a server that is not known to have a copy of the adapter.
	StoreLoad LoadKind = "store"
	// CopyLoad is a load on a server that is expected to have a copy, since it has unloaded the adapter recently. Its average
	// includes the loads that took as long as others because the copy was gone.
	CopyLoad LoadKind = "copy"
)

// Loads learns how long servers take to load adapters. It is not safe for concurrent use.
type Loads struct {
	initial time.Duration
	kinds   map[LoadKind]loadAverage
}

type loadAverage struct {
	average time.Duration
	count   int
	last    time.Time
}

// NewLoads returns the load times of a host that has seen no loads. The initial time is expected until enough are known.
func NewLoads(initial time.Duration) *Loads {
	return &Loads{initial: initial, kinds: map[LoadKind]loadAverage{}}
}

// Observe records the duration of a load, without the time for which it waited for other loads.
func (loads *Loads) Observe(now time.Time, kind LoadKind, duration time.Duration) {
	learned := loads.kinds[kind]
	if now.Sub(learned.last) >= loadLifetime {
		learned = loadAverage{}
	}
	duration = min(max(0, duration), maxLoadTime)
	learned.count++
	// The first loads count the same.
	weight := max(loadWeight, 1/float64(learned.count))
	learned.average += time.Duration(weight * float64(duration-learned.average))
	learned.last = now
	loads.kinds[kind] = learned
}

// Expected returns the expected duration of a load. A load from a copy is not expected to take longer than one from the weight store.
func (loads *Loads) Expected(now time.Time, kind LoadKind) time.Duration {
	expected := loads.initial
	if learned := loads.kinds[kind]; learned.count >= minLoads && now.Sub(learned.last) < loadLifetime {
		expected = learned.average
	}
	if kind == CopyLoad {
		return min(expected, loads.Expected(now, StoreLoad))
	}
	return expected
}
