package coord

import (
	"context"
	"time"

	"lentilproxy/core/crash"
	"lentilproxy/io/clock"
)

// Decide returns how a request may run, given the crashes that it may have caused.
func (traffic *Traffic) Decide(now time.Time, digest string) crash.Verdict {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	return traffic.crashes.Decide(now, digest)
}

// ClearSuspect records that a request completed.
func (traffic *Traffic) ClearSuspect(digest string) {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	traffic.crashes.Clear(digest)
}

// ReportCrash records that a server crashed with a request in flight, and reports it to the peers.
func (traffic *Traffic) ReportCrash(report crash.Report) {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	traffic.crashes.Record(clock.Now(), report)
	for _, address := range traffic.lenders.addresses {
		go func() {
			ctx, cancel := context.WithTimeout(traffic.coordinator.ctx, callTimeout)
			defer cancel()
			if err := traffic.coordinator.peers.Call(ctx, address, methodCrash, crashParams{Report: report}, nil); err != nil {
				traffic.coordinator.metrics.Counter("deaths_untold").Inc(1)
			}
		}()
	}
}

func (traffic *Traffic) handleCrash(params crashParams) bool {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	traffic.crashes.Record(clock.Now(), params.Report)
	return true
}
