package place

import (
	"math"
	"time"
)

const (
	// shortHorizon and longHorizon are the time constants of the demand averages: the short one follows shifts of
	// popularity, the long one distinguishes rarely used adapters.
	shortHorizon = 60 * time.Second
	longHorizon  = 600 * time.Second
	// maxDemandModels bounds the number of models whose demand is tracked.
	maxDemandModels = 100_000
	// minDemand is the demand in requests per second below which a model may be removed.
	minDemand = 1e-5
)

// rate averages requests per second with exponential decay.
type rate struct {
	perSecond float64
	updated   time.Time
}

func (rate *rate) add(now time.Time, requests float64, horizon time.Duration) {
	rate.perSecond = rate.at(now, horizon) + requests/horizon.Seconds()
	rate.updated = now
}

func (rate *rate) at(now time.Time, horizon time.Duration) float64 {
	elapsed := max(0, now.Sub(rate.updated).Seconds())
	return rate.perSecond * math.Exp(-elapsed/horizon.Seconds())
}

// modelDemand is the demand for one model.
type modelDemand struct {
	short rate
	long  rate
}

// demandTracker estimates how often models are requested.
type demandTracker struct {
	models map[string]*modelDemand
}

func newDemandTracker() *demandTracker {
	return &demandTracker{models: map[string]*modelDemand{}}
}

func (tracker *demandTracker) add(now time.Time, model string, requests float64) {
	demand := tracker.models[model]
	if demand == nil {
		tracker.evictIdle(now)
		demand = &modelDemand{}
		tracker.models[model] = demand
	}
	demand.short.add(now, requests, shortHorizon)
	demand.long.add(now, requests, longHorizon)
}

// at returns the demand in requests per second.
func (tracker *demandTracker) at(now time.Time, model string) float64 {
	demand := tracker.models[model]
	if demand == nil {
		return 0
	}
	return demand.short.at(now, shortHorizon) + demand.long.at(now, longHorizon)
}

// evictIdle removes models with little demand if the tracker is full, and all models if none has little demand.
func (tracker *demandTracker) evictIdle(now time.Time) {
	if len(tracker.models) < maxDemandModels {
		return
	}
	for model, demand := range tracker.models {
		if demand.long.at(now, longHorizon) < minDemand {
			delete(tracker.models, model)
		}
	}
	if len(tracker.models) >= maxDemandModels {
		clear(tracker.models)
	}
}
