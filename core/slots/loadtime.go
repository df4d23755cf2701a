package slots

import (
	"math"
	"slices"
	"time"
)

const (
	// usualStoreLoad and usualKeptLoad are the assumed durations of a load from the weight store, and of one of an adapter that the server
	// unloaded recently, with the poll that shows its end, until some have been observed.
	usualStoreLoad = 270 * time.Millisecond
	usualKeptLoad  = 50 * time.Millisecond
	// loadTimeWeight is the weight of the newest duration in the usual one. A slow weight store is known after three loads.
	loadTimeWeight = 0.35
	// loadTimeMemory is the time constant with which the usual duration returns to the assumed one while nothing is loaded. Otherwise, a
	// server whose requests are all refused for slow loads would never learn that loads are fast again.
	loadTimeMemory = 8 * time.Second
	// overdueFraction is the fraction of the time that a load has taken beyond the usual one for which it is expected to go on.
	overdueFraction = 0.5
)

// loadTime is the usual duration of loads.
type loadTime struct {
	assumed time.Duration
	mean    time.Duration
	// learnedAt is when the last load has ended.
	learnedAt time.Time
}

func (loadTime *loadTime) usual(now time.Time) time.Duration {
	if loadTime.learnedAt.IsZero() {
		return loadTime.assumed
	}
	memory := math.Exp(-max(0, now.Sub(loadTime.learnedAt)).Seconds() / loadTimeMemory.Seconds())
	return loadTime.assumed + time.Duration(memory*float64(loadTime.mean-loadTime.assumed))
}

func (loadTime *loadTime) learn(now time.Time, duration time.Duration) {
	usual := loadTime.usual(now)
	loadTime.mean = usual + time.Duration(loadTimeWeight*float64(duration-usual))
	loadTime.learnedAt = now
}

// loadTimes are the usual durations of loads from the weight store, and of adapters that the server unloaded recently.
type loadTimes struct {
	store loadTime
	kept  loadTime
}

func newLoadTimes() loadTimes {
	return loadTimes{store: loadTime{assumed: usualStoreLoad}, kept: loadTime{assumed: usualKeptLoad}}
}

// kept reports whether the server unloaded an adapter recently and therefore loads it fast.
func (controller *Controller) kept(adapter string) bool {
	_, kept := controller.recentlyUnloaded[adapter]
	return kept
}

// learnLoad records that the server has loaded an adapter.
func (controller *Controller) learnLoad(now time.Time, adapter string, duration time.Duration) {
	if controller.kept(adapter) {
		controller.loadTimes.kept.learn(now, duration)
		return
	}
	controller.loadTimes.store.learn(now, duration)
}

// usualLoad returns how long the server usually takes to load an adapter.
func (controller *Controller) usualLoad(now time.Time, adapter string) time.Duration {
	if controller.kept(adapter) {
		return controller.loadTimes.kept.usual(now)
	}
	return controller.loadTimes.store.usual(now)
}

// loadEnd returns when the load of an adapter is expected to end that the server is loading, or loads next.
func (controller *Controller) loadEnd(now time.Time, adapter string, entry *adapterEntry) time.Time {
	if entry.phase != loading && !entry.replacing {
		return now.Add(controller.usualLoad(now, adapter))
	}
	end := entry.orderAt.Add(controller.usualLoad(now, adapter))
	if overdue := now.Sub(end); overdue > 0 {
		return now.Add(time.Duration(overdueFraction * float64(overdue)))
	}
	return end
}

// storeLoadEnd returns when a load from the weight store is expected to end if others are ordered before it.
func (controller *Controller) storeLoadEnd(now time.Time, ahead int) time.Time {
	var free []time.Time
	for name, entry := range controller.entries {
		if (entry.phase == loading || entry.replacing) && !controller.kept(name) {
			free = append(free, controller.loadEnd(now, name, entry))
		}
	}
	for len(free) < MaxStoreLoads {
		free = append(free, now)
	}
	usual := controller.loadTimes.store.usual(now)
	for {
		slices.SortFunc(free, time.Time.Compare)
		free[0] = free[0].Add(usual)
		if ahead == 0 {
			return free[0]
		}
		ahead--
	}
}
