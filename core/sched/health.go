package sched

import (
	"math"
	"time"

	"lentilproxy/core/spec"
)

const (
	// errorDecayTime is the time constant of the exponential decay of a server's response and error counts.
	errorDecayTime = 4 * time.Second
	// minResponses is the number of recent responses below which an error rate is not significant.
	minResponses = 4
	// maxExcessErrorRate is how far a server's error rate may exceed the baseline of its service.
	maxExcessErrorRate = 0.25
	// ejectionTime is how long a server is ejected after a failed connection; it doubles with each further failure.
	ejectionTime = 250 * time.Millisecond
	// maxEjectionTime bounds the ejection time. A stopped server stays registered for three heartbeats.
	maxEjectionTime = 4 * time.Second
	// errorEjectionTime is how long a server with too many errors is ejected before requests try it again. It doubles with
	// each failed trial, since each of many hosts has to detect the failing server with its own requests. It is
	// bounded by maxErrorEjectionTime, so that a recovered server is used again soon.
	errorEjectionTime    = 1500 * time.Millisecond
	maxErrorEjectionTime = 4 * time.Second
	// minTrialResponses replaces minResponses for a server that is tried again. Two responses reach it unless they are
	// old.
	minTrialResponses = 1.5
)

// health is a host's record of one server's responses and connection failures.
type health struct {
	// connectionFailures counts consecutive failed connections.
	connectionFailures int
	ejectedUntil       time.Time
	// responses and errors are counts that decay over errorDecayTime, as of decayedAt.
	responses         float64
	errors            float64
	decayedAt         time.Time
	errorEjectedUntil time.Time
	// errorEjections counts ejections for errors since the server last had a normal error rate.
	errorEjections int
}

func (health *health) decay(now time.Time) {
	elapsed := now.Sub(health.decayedAt)
	if elapsed <= 0 {
		return
	}
	factor := math.Exp(-elapsed.Seconds() / errorDecayTime.Seconds())
	health.responses *= factor
	health.errors *= factor
	health.decayedAt = now
}

func (health *health) recordResponse(now time.Time, failed bool) {
	if now.Before(health.errorEjectedUntil) {
		// The request was sent before the ejection, so the response is no new evidence.
		return
	}
	health.decay(now)
	health.responses++
	if failed {
		health.errors++
	}
}

// ejected reports whether a server is ejected, given the baseline error rate of its service. It ejects the server if
// its error rate is too high.
func (health *health) ejected(now time.Time, baseline float64) bool {
	if now.Before(health.ejectedUntil) || now.Before(health.errorEjectedUntil) {
		return true
	}
	health.decay(now)
	required := float64(minResponses)
	if health.errorEjections > 0 {
		required = minTrialResponses
	}
	if health.responses < required {
		return false
	}
	if health.errors/health.responses < baseline+maxExcessErrorRate {
		if health.responses >= minResponses {
			health.errorEjections = 0
		}
		return false
	}
	health.errorEjectedUntil = now.Add(min(errorEjectionTime<<min(health.errorEjections, 8), maxErrorEjectionTime))
	health.errorEjections++
	// Only responses after the ejection count for the next decision.
	health.responses, health.errors = 0, 0
	return true
}

// ejected reports whether a server is ejected, and records a new ejection for errors.
func (scheduler *Scheduler) ejected(now time.Time, name string, state *serverState, baseline float64) bool {
	before := state.health.errorEjections
	ejected := state.health.ejected(now, baseline)
	if state.health.errorEjections > before && len(scheduler.ejections) < maxEjections {
		scheduler.ejections = append(scheduler.ejections, Ejection{Server: name, Duration: state.health.errorEjectedUntil.Sub(now), Consecutive: state.health.errorEjections, BaselineErrorRate: baseline})
	}
	return ejected
}

// baselineErrorRate returns the error rate with which the error rates of a service's servers are compared.
func (scheduler *Scheduler) baselineErrorRate(now time.Time, service string, servers map[string]spec.Server) float64 {
	var sum, count float64
	lowest := math.Inf(1)
	for name, server := range servers {
		state := scheduler.servers[name]
		if state == nil || server.Service != service {
			continue
		}
		state.health.decay(now)
		if state.health.responses < 1 {
			continue
		}
		rate := state.health.errors / state.health.responses
		sum += rate
		count++
		lowest = min(lowest, rate)
	}
	if count == 0 {
		return 0
	}
	// The average of the mean and the lowest rate: with few servers, the mean alone is so close to a failing server's rate
	// that the server would not stand out.
	return (sum/count + lowest) / 2
}

// RecordResponse records a response of a server; a failed one counts as an error of the server.
func (scheduler *Scheduler) RecordResponse(now time.Time, name string, failed bool) {
	state := scheduler.servers[name]
	if state == nil {
		return
	}
	state.health.connectionFailures = 0
	state.health.ejectedUntil = time.Time{}
	state.health.recordResponse(now, failed)
}

// RecordUnreachable records that a connection to a server could not be opened or broke.
func (scheduler *Scheduler) RecordUnreachable(now time.Time, name string) {
	state := scheduler.servers[name]
	if state == nil {
		return
	}
	state.health.recordResponse(now, true)
	shift := min(state.health.connectionFailures, 8)
	state.health.connectionFailures++
	state.health.ejectedUntil = now.Add(min(ejectionTime<<shift, maxEjectionTime))
}

// RecordFull records that a server refused a request for lack of capacity.
func (scheduler *Scheduler) RecordFull(now time.Time, name string) {
	if state := scheduler.servers[name]; state != nil {
		state.health.ejectedUntil = now.Add(ejectionTime)
	}
}
