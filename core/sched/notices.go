package sched

import (
	"time"

	"lentilproxy/core/spec"
)

// leavingTime is how long a server that is leaving gets no requests. Incarnations that have left do not come back.
const leavingTime = 24 * time.Hour

// RecordLeaving records that a server has said that it is leaving. It reports whether that was not known.
func (scheduler *Scheduler) RecordLeaving(now time.Time, server spec.Incarnation) bool {
	return scheduler.notices.Leave(now, server, leavingTime)
}

// RecordPause records that a server has asked for no requests for a while.
func (scheduler *Scheduler) RecordPause(now time.Time, server spec.Incarnation, wait time.Duration) {
	scheduler.notices.Pause(now, server, wait)
}

// Wait returns how long no requests may be sent to a server; 0 if they may be sent now.
func (scheduler *Scheduler) Wait(now time.Time, server spec.Incarnation) time.Duration {
	return scheduler.notices.Wait(now, server)
}

// PauseOf returns the time until the first server of a service takes requests again, if all of them that do not leave have
// asked for none; otherwise 0.
func (scheduler *Scheduler) PauseOf(now time.Time, service spec.Service, servers map[string]spec.Server) time.Duration {
	var incarnations []spec.Incarnation
	for _, server := range servers {
		if server.Service == service.Name && !server.Draining && !server.Evacuated {
			incarnations = append(incarnations, server.Incarnation())
		}
	}
	return scheduler.notices.PauseOf(now, incarnations)
}
