package fake

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// ServiceFault configures the faults of a plain service.
type ServiceFault struct {
	// DelayMS is the delay between the execution of a request and its response.
	DelayMS int `json:"delay_ms"`
	// LoseResponses is the number of executions whose connection is closed without a response.
	LoseResponses int `json:"lose_answers"`
	// Busy makes the service refuse requests with 503 before it executes them, and RetryAfter is the time in seconds for which
	// it asks for none.
	Busy       bool `json:"busy"`
	RetryAfter int  `json:"retry_after"`
	// Leaving makes all responses say that the service is leaving.
	Leaving bool `json:"leaving"`
}

// ServiceStats holds the counters of a plain service.
type ServiceStats struct {
	// Executions counts executions by idempotency key.
	Executions map[string]int `json:"executions"`
	// Refused counts requests that were refused with 503.
	Refused int `json:"refused"`
	// KeysSeen counts requests that contained a caller's key anywhere.
	KeysSeen int `json:"keys_seen"`
}

// Service is a fake plain service. It counts executions by idempotency key.
type Service struct {
	mutex sync.Mutex
	fault ServiceFault
	stats ServiceStats
}

// NewService returns a service without executions.
func NewService() *Service {
	return &Service{stats: ServiceStats{Executions: map[string]int{}}}
}

// ServeHTTP implements http.Handler.
func (service *Service) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	switch request.URL.Path {
	case PathFault:
		handleSetFault(writer, request, service.SetFault)
	case PathStats:
		writeJSON(writer, http.StatusOK, service.Stats())
	default:
		service.execute(writer, request)
	}
}

// SetFault replaces the faults.
func (service *Service) SetFault(fault ServiceFault) {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	service.fault = fault
}

// Stats returns a copy of the counters.
func (service *Service) Stats() ServiceStats {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	stats := ServiceStats{Executions: map[string]int{}, KeysSeen: service.stats.KeysSeen, Refused: service.stats.Refused}
	for key, count := range service.stats.Executions {
		stats.Executions[key] = count
	}
	return stats
}

func (service *Service) execute(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	key := request.Header.Get("Idempotency-Key")
	service.mutex.Lock()
	fault := service.fault
	if containsKey(request, body) {
		service.stats.KeysSeen++
	}
	if fault.Busy {
		service.stats.Refused++
		service.mutex.Unlock()
		setNotices(writer, http.StatusServiceUnavailable, fault.Leaving, fault.RetryAfter)
		http.Error(writer, "busy", http.StatusServiceUnavailable)
		return
	}
	service.stats.Executions[key]++
	count := service.stats.Executions[key]
	if fault.LoseResponses > 0 {
		service.fault.LoseResponses--
	}
	service.mutex.Unlock()
	if fault.LoseResponses > 0 {
		dropConnection(writer)
		return
	}
	setNotices(writer, http.StatusCreated, fault.Leaving, fault.RetryAfter)
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
