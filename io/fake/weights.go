package fake

import (
	"net/http"
	"sync"
	"time"
)

// WeightsOptions describes a weight store.
type WeightsOptions struct {
	// LoadTime is the time of one load while no more than FullSpeed are in flight; it grows in proportion beyond.
	LoadTime  time.Duration
	FullSpeed int
	// PerSecond and Parallel bound the loads that the store allows.
	PerSecond float64
	Parallel  int
}

// WeightsStats counts what the weight store did.
type WeightsStats struct {
	Loads    int64 `json:"loads"`
	InFlight int   `json:"in_flight"`
	// OverLimit counts the loads that came faster than the store allows.
	OverLimit int64 `json:"over_limit"`
}

// Weights is the stand-in for the weight store.
type Weights struct {
	options WeightsOptions
	mutex   sync.Mutex
	stats   WeightsStats
	tokens  float64
	updated time.Time
	slow    time.Duration
	away    bool
}

// WeightsFault tells the weight store how to fail.
type WeightsFault struct {
	Away   bool `json:"away"`
	SlowMS int  `json:"slow_ms"`
}

// NewWeights returns a weight store.
func NewWeights(options WeightsOptions) *Weights {
	return &Weights{options: options, tokens: float64(options.Parallel), updated: time.Now()}
}

// ServeHTTP implements http.Handler.
func (stand *Weights) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	switch request.URL.Path {
	case PathFault:
		takeFaults(writer, request, stand.SetFault)
	case PathStats:
		writeJSON(writer, http.StatusOK, stand.Stats())
	default:
		stand.load(writer, request)
	}
}

// SetFault replaces the faults.
func (stand *Weights) SetFault(fault WeightsFault) {
	stand.mutex.Lock()
	defer stand.mutex.Unlock()
	stand.away = fault.Away
	stand.slow = time.Duration(fault.SlowMS) * time.Millisecond
}

// Stats returns the counts.
func (stand *Weights) Stats() WeightsStats {
	stand.mutex.Lock()
	defer stand.mutex.Unlock()
	return stand.stats
}

func (stand *Weights) load(writer http.ResponseWriter, request *http.Request) {
	wait, away := stand.begin()
	defer stand.end()
	if away {
		cut(writer)
		return
	}
	select {
	case <-time.After(wait):
		writeJSON(writer, http.StatusOK, struct{}{})
	case <-request.Context().Done():
	}
}

func (stand *Weights) begin() (wait time.Duration, away bool) {
	stand.mutex.Lock()
	defer stand.mutex.Unlock()
	now := time.Now()
	stand.tokens = min(float64(stand.options.Parallel)+1, stand.tokens+now.Sub(stand.updated).Seconds()*stand.options.PerSecond)
	stand.updated = now
	if stand.tokens < 1 {
		stand.stats.OverLimit++
	}
	stand.tokens--
	stand.stats.Loads++
	stand.stats.InFlight++
	wait = stand.options.LoadTime + stand.slow
	if stand.stats.InFlight > stand.options.FullSpeed {
		wait = wait * time.Duration(stand.stats.InFlight) / time.Duration(stand.options.FullSpeed)
	}
	return wait, stand.away
}

func (stand *Weights) end() {
	stand.mutex.Lock()
	defer stand.mutex.Unlock()
	stand.stats.InFlight--
}
