package sched

import (
	"math"
	"time"

	"lentilproxy/core/spec"
)

const (
	// errorHorizon is the time over which a server's errors are averaged.
	errorHorizon = 4 * time.Second
	// minSamples is the number of recent answers from which on a share of errors means something.
	minSamples = 4
	// excessErrors is how far a server's share of errors may exceed that of the others.
	excessErrors = 0.25
	// ejectFor is how long a server is avoided after a failed connection; the time doubles with each further failure.
	ejectFor = 250 * time.Millisecond
	// maxEjectFor bounds the time: an entry of a server that is gone stays for three heartbeats.
	maxEjectFor = 4 * time.Second
	// greyEjectFor is how long a server with too many errors is avoided before a request tries it again; the time doubles
	// with each try that fails, up to maxGreyEjectFor: each of many hosts has to find out by itself, and a server that is
	// well again must not be missed for long.
	greyEjectFor    = 1500 * time.Millisecond
	maxGreyEjectFor = 4 * time.Second
	// trialSamples is the number of answers that decide on a server that is tried again: two that are not too old.
	trialSamples = 1.5
)

// health is what a host has seen of one server's answers.
type health struct {
	// failures counts connections in a row that failed.
	failures     int
	ejectedUntil time.Time
	// answers and errors decay over errorHorizon, as of decayedAt.
	answers   float64
	errors    float64
	decayedAt time.Time
	greyUntil time.Time
	// greys counts the times that the server was avoided for its errors, until it has answered well again.
	greys int
}

func (health *health) decay(now time.Time) {
	elapsed := now.Sub(health.decayedAt)
	if elapsed <= 0 {
		return
	}
	factor := math.Exp(-elapsed.Seconds() / errorHorizon.Seconds())
	health.answers *= factor
	health.errors *= factor
	health.decayedAt = now
}

func (health *health) answered(now time.Time, failed bool) {
	if now.Before(health.greyUntil) {
		// It was asked before it was avoided, and says nothing new.
		return
	}
	health.decay(now)
	health.answers++
	if failed {
		health.errors++
	}
}

// ejected says whether a server is avoided, given the share of errors of its service.
func (health *health) ejected(now time.Time, fleet float64) bool {
	if now.Before(health.ejectedUntil) || now.Before(health.greyUntil) {
		return true
	}
	health.decay(now)
	samples := float64(minSamples)
	if health.greys > 0 {
		samples = trialSamples
	}
	if health.answers < samples {
		return false
	}
	if health.errors/health.answers < fleet+excessErrors {
		if health.answers >= minSamples {
			health.greys = 0
		}
		return false
	}
	health.greyUntil = now.Add(min(greyEjectFor<<min(health.greys, 8), maxGreyEjectFor))
	health.greys++
	// The next answers decide anew.
	health.answers, health.errors = 0, 0
	return true
}

// ejected says whether a server is avoided, and notes a decision to avoid it for its errors.
func (table *Table) ejected(now time.Time, name string, known *server, fleet float64) bool {
	before := known.health.greys
	ejected := known.health.ejected(now, fleet)
	if known.health.greys > before && len(table.avoided) < maxAvoided {
		table.avoided = append(table.avoided, Avoided{Server: name, For: known.health.greyUntil.Sub(now), Times: known.health.greys, Usual: fleet})
	}
	return ejected
}

// errorRate returns the usual share of errors of a service's servers.
func (table *Table) errorRate(now time.Time, service string, servers map[string]spec.Server) float64 {
	var sum, count float64
	lowest := math.Inf(1)
	for name, entry := range servers {
		known := table.servers[name]
		if known == nil || entry.Service != service {
			continue
		}
		known.health.decay(now)
		if known.health.answers < 1 {
			continue
		}
		rate := known.health.errors / known.health.answers
		sum += rate
		count++
		lowest = min(lowest, rate)
	}
	if count == 0 {
		return 0
	}
	// A mean that is pulled towards the best server, so that one bad server of a few does not hide itself.
	return (sum/count + lowest) / 2
}

// Answered records an answer of a server; failed ones count as errors of the server.
func (table *Table) Answered(now time.Time, name string, failed bool) {
	known := table.servers[name]
	if known == nil {
		return
	}
	known.health.failures = 0
	known.health.ejectedUntil = time.Time{}
	known.health.answered(now, failed)
}

// Unreachable records that a connection to a server failed or broke.
func (table *Table) Unreachable(now time.Time, name string) {
	known := table.servers[name]
	if known == nil {
		return
	}
	known.health.answered(now, true)
	shift := min(known.health.failures, 8)
	known.health.failures++
	known.health.ejectedUntil = now.Add(min(ejectFor<<shift, maxEjectFor))
}

// Full records that a server refused a request for lack of room.
func (table *Table) Full(now time.Time, name string) {
	if known := table.servers[name]; known != nil {
		known.health.ejectedUntil = now.Add(ejectFor)
	}
}
