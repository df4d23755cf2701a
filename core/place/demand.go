package place

import (
	"math"
	"time"
)

const (
	// shortHorizon and longHorizon are the times over which demand is averaged: the short one follows shifts of
	// popularity, the long one tells rare adapters apart.
	shortHorizon = 60 * time.Second
	longHorizon  = 600 * time.Second
	// maxDemandModels bounds the number of remembered models.
	maxDemandModels = 100_000
	// forgetBelow is the demand in requests per second below which a model is forgotten.
	forgetBelow = 1e-5
)

// rate averages requests per second with exponential decay.
type rate struct {
	level   float64
	updated time.Time
}

func (rate *rate) add(now time.Time, requests float64, horizon time.Duration) {
	rate.level = rate.at(now, horizon) + requests/horizon.Seconds()
	rate.updated = now
}

func (rate *rate) at(now time.Time, horizon time.Duration) float64 {
	elapsed := max(0, now.Sub(rate.updated).Seconds())
	return rate.level * math.Exp(-elapsed/horizon.Seconds())
}

// modelDemand is the demand for one model.
type modelDemand struct {
	short rate
	long  rate
}

// demandBook remembers how often models are asked for.
type demandBook struct {
	models map[string]*modelDemand
}

func newDemandBook() *demandBook {
	return &demandBook{models: map[string]*modelDemand{}}
}

func (book *demandBook) add(now time.Time, model string, requests float64) {
	known := book.models[model]
	if known == nil {
		book.makeRoom(now)
		known = &modelDemand{}
		book.models[model] = known
	}
	known.short.add(now, requests, shortHorizon)
	known.long.add(now, requests, longHorizon)
}

// at returns the demand in requests per second.
func (book *demandBook) at(now time.Time, model string) float64 {
	known := book.models[model]
	if known == nil {
		return 0
	}
	return known.short.at(now, shortHorizon) + known.long.at(now, longHorizon)
}

func (book *demandBook) makeRoom(now time.Time) {
	if len(book.models) < maxDemandModels {
		return
	}
	for model, known := range book.models {
		if known.long.at(now, longHorizon) < forgetBelow {
			delete(book.models, model)
		}
	}
	if len(book.models) >= maxDemandModels {
		clear(book.models)
	}
}
