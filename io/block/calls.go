package block

import (
	"context"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"lentilproxy/core/crash"
	"lentilproxy/io/peer"
)

// unknownAge marks an event that has not been seen.
const unknownAge = -1

// SightingAge holds the ages of the times of a crash.Sighting: BegunAt and SurvivedAt.
type SightingAge [2]int64

// QueryParams ask a host what it has seen of parts and of server incarnations.
type QueryParams struct {
	Parts        []crash.Part `json:"parts"`
	Incarnations []string     `json:"lives"`
}

// QueryResult holds the responses in the order of the questions.
type QueryResult struct {
	Sightings []SightingAge `json:"seen"`
	// RespondedMS are the ages of the last responses of server incarnations.
	RespondedMS []int64 `json:"responded_ms"`
}

// ageOf returns the age of a time.
func ageOf(now, at time.Time) int64 {
	if at.IsZero() {
		return unknownAge
	}
	return max(0, now.Sub(at).Milliseconds())
}

// timeOf returns the time of an age.
func timeOf(now time.Time, age int64) time.Time {
	if age < 0 {
		return time.Time{}
	}
	return now.Add(-time.Duration(age) * time.Millisecond)
}

func sightingAge(now time.Time, sighting crash.Sighting) SightingAge {
	return SightingAge{ageOf(now, sighting.BegunAt), ageOf(now, sighting.SurvivedAt)}
}

func (age SightingAge) sighting(now time.Time) crash.Sighting {
	return crash.Sighting{BegunAt: timeOf(now, age[0]), SurvivedAt: timeOf(now, age[1])}
}

func (exchanger *Exchanger) callOne(address, method string, params, result any) error {
	ctx, cancel := context.WithTimeout(exchanger.ctx, callTimeout)
	defer cancel()
	return exchanger.call(ctx, address, method, params, result)
}

// Handle handles a call of another host. It returns false if the method is not one of this package.
func (exchanger *Exchanger) Handle(method string, params json.RawMessage) (result any, handled bool, err error) {
	switch method {
	case methodReport:
		result, err = respond(params, exchanger.handleReport)
	case methodQuery:
		result, err = respond(params, exchanger.handleQuery)
	case methodSuspend:
		result, err = respond(params, exchanger.handleSuspend)
	case methodBlock:
		result, err = respond(params, exchanger.handleBlock)
	case methodVerdicts:
		result, err = respond(params, exchanger.handleVerdicts)
	default:
		return nil, false, nil
	}
	return result, true, err
}

func respond[P, R any](params json.RawMessage, handle func(P) R) (any, error) {
	decoded, err := peer.Decode[P](params)
	if err != nil {
		return nil, err
	}
	return handle(decoded), nil
}

// shuffledPeers returns the addresses of the other hosts in random order.
func (exchanger *Exchanger) shuffledPeers() []string {
	addresses := slices.Collect(maps.Values(exchanger.peers()))
	rand.Shuffle(len(addresses), func(left, right int) { addresses[left], addresses[right] = addresses[right], addresses[left] })
	return addresses
}

// query asks other hosts and applies their responses.
func (exchanger *Exchanger) query(addresses []string, params QueryParams) {
	exchanger.metrics.Counter("crash_queries").Inc(1)
	exchanger.each(addresses, func(address string) {
		askedAt := exchanger.clock()
		var result QueryResult
		if exchanger.callOne(address, methodQuery, params, &result) != nil {
			return
		}
		exchanger.mutex.Lock()
		defer exchanger.mutex.Unlock()
		for index, part := range params.Parts[:min(len(params.Parts), len(result.Sightings))] {
			exchanger.analyzer.Observe(part, result.Sightings[index].sighting(askedAt))
		}
		for index, incarnation := range params.Incarnations[:min(len(params.Incarnations), len(result.RespondedMS))] {
			exchanger.analyzer.ObserveServer(incarnation, timeOf(askedAt, result.RespondedMS[index]))
		}
	})
}

// each calls a function with each address, some at a time, and waits for all of them.
func (exchanger *Exchanger) each(addresses []string, function func(address string)) {
	var group sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentCalls)
	for _, address := range addresses {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			function(address)
		})
	}
	group.Wait()
}

// broadcast calls a method of other hosts, and returns the addresses of those that did not respond.
func (exchanger *Exchanger) broadcast(addresses []string, method string, params any) (failed []string) {
	var mutex sync.Mutex
	exchanger.each(addresses, func(address string) {
		if exchanger.callOne(address, method, params, nil) != nil {
			mutex.Lock()
			defer mutex.Unlock()
			failed = append(failed, address)
		}
	})
	return failed
}

// handleQuery handles the questions of another host.
func (exchanger *Exchanger) handleQuery(params QueryParams) QueryResult {
	exchanger.mutex.Lock()
	defer exchanger.mutex.Unlock()
	now := exchanger.clock()
	result := QueryResult{Sightings: make([]SightingAge, 0, len(params.Parts)), RespondedMS: make([]int64, 0, len(params.Incarnations))}
	for _, part := range params.Parts {
		result.Sightings = append(result.Sightings, sightingAge(now, exchanger.history.Sighting(part)))
	}
	for _, incarnation := range params.Incarnations {
		result.RespondedMS = append(result.RespondedMS, ageOf(now, exchanger.history.RespondedAt(incarnation)))
	}
	return result
}
