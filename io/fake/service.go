package fake

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// ServiceFault tells a plain service how to fail.
type ServiceFault struct {
	// DelayMS delays every answer after the execution.
	DelayMS int `json:"delay_ms"`
	// LoseAnswers is the number of answers that are cut off after the execution.
	LoseAnswers int `json:"lose_answers"`
	// Busy makes the service refuse with 503 before it executes anything.
	Busy bool `json:"busy"`
}

// ServiceStats counts what a plain service did.
type ServiceStats struct {
	Executions map[string]int `json:"executions"`
	// KeysSeen counts requests that contained a caller's key anywhere.
	KeysSeen int `json:"keys_seen"`
}

// Service is the stand-in for a plain service. It counts executions by idempotency key.
type Service struct {
	mutex sync.Mutex
	fault ServiceFault
	stats ServiceStats
}

// NewService returns a service that has executed nothing.
func NewService() *Service {
	return &Service{stats: ServiceStats{Executions: map[string]int{}}}
}

// ServeHTTP implements http.Handler.
func (stand *Service) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	switch request.URL.Path {
	case PathFault:
		takeFaults(writer, request, stand.SetFault)
	case PathStats:
		writeJSON(writer, http.StatusOK, stand.Stats())
	default:
		stand.execute(writer, request)
	}
}

// SetFault replaces the faults.
func (stand *Service) SetFault(fault ServiceFault) {
	stand.mutex.Lock()
	defer stand.mutex.Unlock()
	stand.fault = fault
}

// Stats returns a copy of the counts.
func (stand *Service) Stats() ServiceStats {
	stand.mutex.Lock()
	defer stand.mutex.Unlock()
	stats := ServiceStats{Executions: map[string]int{}, KeysSeen: stand.stats.KeysSeen}
	for key, count := range stand.stats.Executions {
		stats.Executions[key] = count
	}
	return stats
}

func (stand *Service) execute(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	key := request.Header.Get("Idempotency-Key")
	stand.mutex.Lock()
	fault := stand.fault
	if containsKey(request, body) {
		stand.stats.KeysSeen++
	}
	if fault.Busy {
		stand.mutex.Unlock()
		http.Error(writer, "busy", http.StatusServiceUnavailable)
		return
	}
	stand.stats.Executions[key]++
	count := stand.stats.Executions[key]
	if fault.LoseAnswers > 0 {
		stand.fault.LoseAnswers--
	}
	stand.mutex.Unlock()
	if fault.LoseAnswers > 0 {
		cut(writer)
		return
	}
	select {
	case <-time.After(time.Duration(fault.DelayMS) * time.Millisecond):
	case <-request.Context().Done():
		return
	}
	writeJSON(writer, http.StatusCreated, struct {
		Order string `json:"order"`
		Runs  int    `json:"runs"`
	}{Order: fmt.Sprintf("order-%s", key), Runs: count})
}
