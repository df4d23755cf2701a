// Package cost predicts what a request costs a backend server: the time for which it occupies the server and the memory
// that it needs, each with its 90th percentile.
//
// The output of requests is learned in windows of recent observations by route, and within the route by workspace, by
// adapter and by size. Each window is kept in three scales: absolute, relative to the announced maximum, and relative to
// the caller's estimate. The pair of window and scale with the least recent error is used. An account limits by how much
// this choice may be worse than the announced output alone. The speed of servers is learned for each server.
package cost

import (
	"math"
	"math/bits"
	"time"

	"lentilproxy/core/value"
)

const (
	// MinObservations is the number of observations of a route from which its forecasts count as learned.
	MinObservations = 24
	// maxClasses and maxServers bound the classes and servers that are kept for certain; at most twice as many are kept.
	maxClasses = 512
	maxServers = 1024
	// initialTokenTime and initialEventTime are the assumed times per prompt token and between two events.
	initialTokenTime = 35 * time.Microsecond
	initialEventTime = 25 * time.Millisecond
	// minTokenTime and maxTokenTime bound the time per prompt token that is measured on a single response.
	minTokenTime = 5 * time.Microsecond
	maxTokenTime = 700 * time.Microsecond
	// baseTime is the part of the time to the first event that does not depend on the prompt.
	baseTime = 12 * time.Millisecond
	// minMeasuredPrompt is the least number of prompt tokens for a measurement; with less, fixed costs dominate the time.
	minMeasuredPrompt = 400
	// maxSharedFraction is the largest part of a prompt that a server may have kept if it is used to measure the time per token.
	maxSharedFraction = 0.25
	// minEventTokens and maxEventTokens bound the number of tokens in one event of a stream, which hosts do not know.
	minEventTokens = 2
	maxEventTokens = 11
	// speedWeight is the weight of the newest measurement in moving averages of speeds.
	speedWeight = 0.1
	// factorWeight is that of a server's factor, which whole durations change; it is lower since they are spread wider.
	factorWeight = 0.03
	// factorDecay moves the factors of servers towards 1, since a factor common to all servers belongs to the classes.
	factorDecay = 0.0015
	// maxSpeedFactor bounds how much slower or faster than the usual a server counts.
	maxSpeedFactor = 8
)

// Request is what is known of a request when it is admitted.
type Request struct {
	Route     string
	Workspace string
	Adapter   string
	// PromptTokens and OutputTokens are the announced sizes. The output is a maximum. They are 0 if not given.
	PromptTokens int64
	OutputTokens int64
	// EstimatedTokens is the caller's estimate of the output; 0 if not given.
	EstimatedTokens int64
	// SharedTokens is the size of the parts of the prompt that a server may have kept.
	SharedTokens int64
}

// Observed is what a host has seen of a request that ran.
type Observed struct {
	// Events is the number of events of the stream; 0 for responses that are not streams.
	Events int
	// FirstEvent is the time from the sending to the first event, and LastEvent that to the last one.
	FirstEvent time.Duration
	LastEvent  time.Duration
	// Duration is the time from the sending to the end.
	Duration time.Duration
	// Unread is the number of prompt tokens that the server had to read until the first event, of this request and others.
	Unread int64
	// Cut reports that the request ended early, so that the numbers are lower bounds.
	Cut bool
}

// Estimate is the expected cost of a request on one server.
type Estimate struct {
	// Work is the mean time for which the request occupies the server, and WorkHigh the 90th percentile.
	Work     time.Duration
	WorkHigh time.Duration
	// EventTime is the time between two events; 0 for responses that are not streams.
	EventTime time.Duration
	// EventsHigh is the 90th percentile of the number of events.
	EventsHigh float64
	// Tokens is the mean memory in tokens, and TokensHigh the 90th percentile.
	Tokens     int64
	TokensHigh int64
	// Learned is false if the estimate is based on the announced sizes only.
	Learned bool
}

// Forecast is the expected cost of a request before the server is known.
type Forecast struct {
	request Request
	learned bool
	stream  bool
	// output is in events, or in milliseconds on a server of the usual speed.
	output quantiles
	// eventTime and tokenTime are the usual ones of the route, in milliseconds.
	eventTime   float64
	tokenTime   float64
	eventTokens float64
	// kept is the fraction of the shared parts of prompts that servers have kept.
	kept float64
}

// Median returns the median of the output, in events of a stream or otherwise in milliseconds on a server of the usual speed.
func (forecast Forecast) Median() float64 { return forecast.output.median }

// High returns the 90th percentile of the output.
func (forecast Forecast) High() float64 { return forecast.output.high }

// Learned reports whether enough requests of the route were observed.
func (forecast Forecast) Learned() bool { return forecast.learned }

// server is the speed of a server relative to the usual one.
type server struct {
	// eventTime and tokenTime are in milliseconds; 0 if not measured.
	eventTime float64
	tokenTime float64
	// factor is the logarithm of the duration of responses that are not streams, relative to the usual duration.
	factor float64
}

// Predictor predicts the cost of requests. It is not safe for concurrent use.
type Predictor struct {
	classes *value.Recent[classKey, *class]
	servers *value.Recent[string, *server]
}

// New returns a predictor that has observed nothing.
func New() *Predictor {
	return &Predictor{classes: value.NewRecent[classKey, *class](maxClasses), servers: value.NewRecent[string, *server](maxServers)}
}

// Forecast returns the expected cost of a request.
func (predictor *Predictor) Forecast(request Request) Forecast {
	forecast := Forecast{
		request: request, stream: request.OutputTokens > 0, eventTokens: maxEventTokens,
		eventTime: milliseconds(initialEventTime), tokenTime: milliseconds(initialTokenTime),
	}
	levels := predictor.levels(request)
	route := levels[levelRoute]
	if route == nil || route.observed < MinObservations {
		forecast.output = announced(request)
		return forecast
	}
	forecast.learned, forecast.stream, forecast.kept = true, route.stream, route.kept
	forecast.eventTime, forecast.tokenTime, forecast.eventTokens = route.eventTime, route.tokenTime, route.eventTokens()
	judge := judgeOf(levels)
	forecast.output = quantilesOf(levels, judge.choose(levels, request), request)
	return forecast
}

// announced returns the output of a request of which only the announced sizes are known.
func announced(request Request) quantiles {
	events := float64(request.OutputTokens) / minEventTokens
	return quantiles{mean: events / 2, median: events / 2, high: events}
}

// On returns the expected cost of a request on a server.
func (predictor *Predictor) On(name string, forecast Forecast) Estimate {
	known, found := predictor.servers.Get(name)
	if !found {
		known = &server{}
	}
	request, output := forecast.request, forecast.output
	estimate := Estimate{Learned: forecast.learned, Tokens: request.PromptTokens + request.OutputTokens}
	estimate.TokensHigh = estimate.Tokens
	if !forecast.stream {
		factor := math.Exp(known.factor)
		estimate.Work, estimate.WorkHigh = duration(output.mean*factor), duration(output.high*factor)
		return estimate
	}
	eventTime, tokenTime := forecast.eventTime, forecast.tokenTime
	if known.eventTime > 0 {
		eventTime = known.eventTime
	}
	if known.tokenTime > 0 {
		tokenTime = known.tokenTime
	}
	prompt := milliseconds(baseTime) + tokenTime*(float64(request.PromptTokens)-forecast.kept*float64(request.SharedTokens))
	unkept := milliseconds(baseTime) + tokenTime*float64(request.PromptTokens)
	estimate.Work, estimate.WorkHigh = duration(prompt+output.mean*eventTime), duration(unkept+output.high*eventTime)
	estimate.EventTime, estimate.EventsHigh = duration(eventTime), output.high
	if forecast.learned {
		estimate.Tokens = request.PromptTokens + forecast.generated(output.mean)
		estimate.TokensHigh = request.PromptTokens + forecast.generated(output.high)
	}
	return estimate
}

// generated returns the number of tokens in a number of events. It exceeds the announced maximum only if even events of the
// least size do.
func (forecast Forecast) generated(events float64) int64 {
	tokens := events * forecast.eventTokens
	if forecast.request.OutputTokens > 0 {
		tokens = max(min(tokens, float64(forecast.request.OutputTokens)), events*minEventTokens)
	}
	return int64(math.Round(tokens))
}

// Observe records what a request has cost on a server.
func (predictor *Predictor) Observe(name string, request Request, observed Observed) {
	known, found := predictor.servers.Get(name)
	if !found {
		known = &server{}
	}
	predictor.servers.Put(name, known)
	output := float64(observed.Events)
	if observed.Events == 0 {
		output = milliseconds(observed.Duration) / math.Exp(known.factor)
	}
	output = math.Log(max(output, minOutput))
	levels := predictor.makeLevels(request)
	route := levels[levelRoute]
	if route.stream = observed.Events > 0; route.observed == 0 {
		route.eventTime, route.tokenTime = milliseconds(initialEventTime), milliseconds(initialTokenTime)
	}
	usual := quantilesOf(levels, judgeOf(levels).choose(levels, request), request)
	if observed.Cut && output <= math.Log(max(usual.median, minOutput)) {
		// A request that was cut before its usual end says nothing about its length.
		return
	}
	judgeAll(levels, request, output)
	for _, class := range levels {
		class.add(request, output)
	}
	route.recordRatio(request, observed.Events)
	if observed.Events > 0 {
		known.recordStream(route, request, observed)
		return
	}
	if route.observed > MinObservations && usual.median > 0 {
		ratio := math.Log(max(milliseconds(observed.Duration), minOutput) / usual.median)
		known.factor += factorWeight*(ratio-known.factor) - factorDecay*known.factor
		known.factor = min(max(known.factor, -math.Log(maxSpeedFactor)), math.Log(maxSpeedFactor))
	}
}

// recordStream updates the speed of the server and of the route.
func (server *server) recordStream(route *class, request Request, observed Observed) {
	if observed.Events > 1 && observed.LastEvent > observed.FirstEvent {
		measured := milliseconds(observed.LastEvent-observed.FirstEvent) / float64(observed.Events-1)
		average(&server.eventTime, measured)
		average(&route.eventTime, measured)
	}
	unread := max(observed.Unread, request.PromptTokens)
	if unread < minMeasuredPrompt {
		return
	}
	shared := float64(request.SharedTokens) / float64(unread)
	measured := milliseconds(observed.FirstEvent-baseTime) / float64(unread)
	if shared <= maxSharedFraction {
		measured = min(max(measured, milliseconds(minTokenTime)), milliseconds(maxTokenTime))
		average(&server.tokenTime, measured)
		average(&route.tokenTime, measured)
		return
	}
	if server.tokenTime > 0 {
		kept := min(max((1-measured/server.tokenTime)/shared, 0), 1)
		route.kept += speedWeight * (kept - route.kept)
	}
}

// average updates a moving average; 0 means that there was no measurement yet.
func average(target *float64, measured float64) {
	if *target == 0 {
		*target = measured
		return
	}
	*target += speedWeight * (measured - *target)
}

func milliseconds(duration time.Duration) float64 {
	return float64(duration) / float64(time.Millisecond)
}

func duration(milliseconds float64) time.Duration {
	return time.Duration(max(0, milliseconds) * float64(time.Millisecond))
}

// sizeOf returns a size class: sizes within a factor of two are in the same one.
func sizeOf(tokens int64) int { return bits.Len64(uint64(max(0, tokens))) }
