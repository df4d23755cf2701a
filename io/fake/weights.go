package fake

import (
	"net/http"
	"sync"
	"time"
)

// WeightsOptions describes a weight store.
type WeightsOptions struct {
	// LoadTime is the time of one load while at most FullSpeed loads are in flight. Beyond that, it grows in proportion
	// to the loads in flight.
	LoadTime  time.Duration
	FullSpeed int
	// LoadsPerSecond and Parallel are the rate and the burst of loads that the store allows. Loads beyond them are
	// counted, but not refused.
	LoadsPerSecond float64
	Parallel       int
}

// WeightsStats holds the counters of the weight store.
type WeightsStats struct {
	Loads    int64 `json:"loads"`
	InFlight int   `json:"in_flight"`
	// OverLimit counts the loads beyond the allowed rate.
	OverLimit int64 `json:"over_limit"`
}

// Weights is a fake weight store.
type Weights struct {
	options       WeightsOptions
	mutex         sync.Mutex
	stats         WeightsStats
	tokens        float64
	updated       time.Time
	extraLoadTime time.Duration
	unreachable   bool
}

// WeightsFault configures the faults of the weight store.
type WeightsFault struct {
	// Unreachable closes every connection without a response.
	Unreachable bool `json:"away"`
	// SlowMS is added to LoadTime.
	SlowMS int `json:"slow_ms"`
}

// NewWeights returns a weight store.
func NewWeights(options WeightsOptions) *Weights {
	return &Weights{options: options, tokens: float64(options.Parallel), updated: time.Now()}
}

// ServeHTTP implements http.Handler.
func (weights *Weights) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	switch request.URL.Path {
	case PathFault:
		handleSetFault(writer, request, weights.SetFault)
	case PathStats:
		writeJSON(writer, http.StatusOK, weights.Stats())
	default:
		weights.load(writer, request)
	}
}

// SetFault replaces the faults.
func (weights *Weights) SetFault(fault WeightsFault) {
	weights.mutex.Lock()
	defer weights.mutex.Unlock()
	weights.unreachable = fault.Unreachable
	weights.extraLoadTime = time.Duration(fault.SlowMS) * time.Millisecond
}

// Stats returns the counters.
func (weights *Weights) Stats() WeightsStats {
	weights.mutex.Lock()
	defer weights.mutex.Unlock()
	return weights.stats
}

func (weights *Weights) load(writer http.ResponseWriter, request *http.Request) {
	loadTime, unreachable := weights.begin()
	defer weights.end()
	if unreachable {
		dropConnection(writer)
		return
	}
	select {
	case <-time.After(loadTime):
		writeJSON(writer, http.StatusOK, struct{}{})
	case <-request.Context().Done():
	}
}

// begin counts a load, and returns its duration and whether the store is unreachable.
func (weights *Weights) begin() (loadTime time.Duration, unreachable bool) {
	weights.mutex.Lock()
	defer weights.mutex.Unlock()
	now := time.Now()
	weights.tokens = min(float64(weights.options.Parallel)+1, weights.tokens+now.Sub(weights.updated).Seconds()*weights.options.LoadsPerSecond)
	weights.updated = now
	if weights.tokens < 1 {
		weights.stats.OverLimit++
	}
	weights.tokens--
	weights.stats.Loads++
	weights.stats.InFlight++
	loadTime = weights.options.LoadTime + weights.extraLoadTime
	if weights.stats.InFlight > weights.options.FullSpeed {
		loadTime = loadTime * time.Duration(weights.stats.InFlight) / time.Duration(weights.options.FullSpeed)
	}
	return loadTime, weights.unreachable
}

func (weights *Weights) end() {
	weights.mutex.Lock()
	defer weights.mutex.Unlock()
	weights.stats.InFlight--
}
