package sched

import (
	"time"

	"lentilproxy/core/cost"
	"lentilproxy/core/spec"
)

const (
	// workSlack is the difference between expected times to the first token below which the remaining work decides between
	// servers that run models.
	workSlack = 10 * time.Millisecond
	// leastRemaining is the fraction of its expected work that a run counts with, however long it has run.
	leastRemaining = 0.1
	// fullPenalty is the wait that a request is expected to have for each request beyond the slots of a plain server, which may
	// reject it, as a multiple of its own work. It is divided by the slots. With 1 to 4, short requests among long ones had
	// similar latencies in TestShortRequestsAmongLongOnes.
	fullPenalty = 2
	// unknownRemaining is the fraction of its work that a run of another host has left on average, if that host does not
	// report its remaining work.
	unknownRemaining = 0.5
)

// WithCosts makes the scheduler learn the cost of requests and of adapter loads. It chooses servers by their remaining work once it has
// observed enough requests of a route, and servers that load an adapter by their expected load time.
func WithCosts(predictor *cost.Predictor) Option {
	return func(scheduler *Scheduler) {
		scheduler.costs, scheduler.loads, scheduler.saved = predictor, cost.NewLoads(loadLatency), map[spec.AdapterRef]savedWaits{}
	}
}

// expectation is the expected cost of a run, and what has been seen of it. The zero value expects nothing.
type expectation struct {
	request  cost.Request
	estimate cost.Estimate
	high     float64
	events   int
}

func (job Job) costRequest() cost.Request {
	return cost.Request{
		Route: job.Route, Workspace: job.Workspace, Adapter: job.Ref.Adapter, PromptTokens: job.PromptTokens, OutputTokens: job.OutputTokens,
		EstimatedTokens: job.EstimatedTokens, SharedTokens: job.SharedTokens,
	}
}

// expect sets the expected cost of a run that starts, and reserves the memory that it is expected to need.
func (scheduler *Scheduler) expect(run *Run, job Job) {
	if scheduler.costs == nil {
		return
	}
	forecast := scheduler.costs.Forecast(job.costRequest())
	run.expectation = expectation{
		request: job.costRequest(), estimate: scheduler.costs.On(run.server, forecast), high: forecast.High(),
	}
	run.usage.Tokens = run.expectation.estimate.TokensHigh
}

// remaining returns the time for which a run is still expected to occupy its server.
func (run *Run) remaining(now time.Time) time.Duration {
	estimate, elapsed := run.expectation.estimate, now.Sub(run.sentAt)
	least := time.Duration(leastRemaining * float64(estimate.Work))
	// Beyond its mean, a run is expected to end halfway to the 90th percentile.
	return max(estimate.Work-elapsed, (estimate.WorkHigh-elapsed)/2, least)
}

// RecordEvents counts events of a run's stream. A run with more events than its reserved memory allows for gets all the memory
// that it announced.
func (scheduler *Scheduler) RecordEvents(run *Run, count int) {
	expected := &run.expectation
	expected.events += count
	state := scheduler.serverOf(run)
	announced := expected.request.PromptTokens + expected.request.OutputTokens
	if state == nil || !expected.estimate.Learned || float64(expected.events) <= expected.estimate.EventsHigh || run.usage.Tokens >= announced {
		return
	}
	state.own.Tokens += announced - run.usage.Tokens
	run.usage.Tokens = announced
}

// Verdict tells how an observed cost compares with the expected one.
type Verdict string

// The verdicts on expected costs. Of the requests that were expected, nine in ten should be within the 90th percentile.
const (
	Unlearned Verdict = "unlearned"
	Within    Verdict = "within"
	Beyond    Verdict = "beyond"
)

// Observe records what a run has cost. It must be called before the run ends.
func (scheduler *Scheduler) Observe(run *Run, observed cost.Observed) Verdict {
	if scheduler.costs == nil {
		return Unlearned
	}
	expected := run.expectation
	observed.Events, observed.Unread = expected.events, run.backlogAtStart
	scheduler.costs.Observe(run.server, expected.request, observed)
	switch {
	case !expected.estimate.Learned:
		return Unlearned
	case observed.Events > 0 && float64(observed.Events) > expected.high, observed.Events == 0 && observed.Duration > expected.estimate.WorkHigh:
		return Beyond
	default:
		return Within
	}
}

// Events returns the number of events of the run's stream so far.
func (run *Run) Events() int { return run.expectation.events }

// ExpectedWork returns the work that was expected of a run when it started; 0 if nothing was.
func (run *Run) ExpectedWork() time.Duration { return run.expectation.estimate.Work }

// UsageWithWork returns the usage of this host's requests by server, including their remaining work.
func (scheduler *Scheduler) UsageWithWork(now time.Time) map[string]Usage {
	usages := scheduler.OwnUsage()
	if scheduler.costs == nil {
		return usages
	}
	for name, usage := range usages {
		if work, known := scheduler.servers[name].ownWork(now); known > 0 {
			usage.WorkMillis = max(1, work.Milliseconds()*int64(usage.Running)/int64(known))
			usages[name] = usage
		}
	}
	return usages
}

// ownWork returns the work that this host's runs are still expected to cost, and the number of runs of which something is
// expected. Nothing is expected of requests that announce no tokens until their route is known.
func (state *serverState) ownWork(now time.Time) (work time.Duration, known int) {
	for run := range state.runs {
		if run.expectation.estimate.Work > 0 {
			work += run.remaining(now)
			known++
		}
	}
	return work, known
}

// remainingWork returns the work that the running requests of all hosts are still expected to cost. Requests whose work is not
// known count as if they were like one that costs each. Reports of peers are not reduced by their age, since new requests
// replace those that have ended.
func (state *serverState) remainingWork(now time.Time, each time.Duration) time.Duration {
	work, known := state.ownWork(now)
	for usage := range state.otherUsages(now) {
		if usage.WorkMillis > 0 {
			work += time.Duration(usage.WorkMillis) * time.Millisecond
			known += usage.Running
		}
	}
	running := state.usage(now).Running
	if running < known {
		return time.Duration(float64(work) * float64(max(0, running)) / float64(known))
	}
	return work + time.Duration(unknownRemaining*float64(each)*float64(running-known))
}

// assess sets the expected latency and work of the candidates by learned costs. Without enough observations of the route, it
// leaves them as they are.
func (scheduler *Scheduler) assess(now time.Time, service spec.Service, candidates []candidate, job Job) {
	if scheduler.costs == nil {
		return
	}
	forecast := scheduler.costs.Forecast(job.costRequest())
	if !forecast.Learned() {
		return
	}
	for index := range candidates {
		candidate := &candidates[index]
		estimate := scheduler.costs.On(candidate.server.ID, forecast)
		if service.Engine == nil {
			candidate.expected = scheduler.plainCost(now, service, candidate, estimate)
			continue
		}
		candidate.expected = scheduler.engineCost(now, service, candidate, estimate, job)
		slots := time.Duration(max(1, candidate.server.Slots))
		candidate.own = estimate.Work / slots
		candidate.work = candidate.state.remainingWork(now, estimate.Work) / slots
	}
}

// plainCost returns a measure of the load of a server that runs no models: the work by slot, with the request's own. The time to
// the request's end would be a worse one: with load data that are old, all hosts then fill up the fast servers first.
func (scheduler *Scheduler) plainCost(now time.Time, service spec.Service, candidate *candidate, estimate cost.Estimate) time.Duration {
	running := candidate.state.usage(now).Running
	remaining := candidate.state.remainingWork(now, estimate.Work)
	slots := max(1, candidate.server.Slots)
	// Work that goes on after the request's own end takes no more slots from it than work that ends then.
	load := min(remaining, time.Duration(running)*estimate.WorkHigh)
	if candidate.server.DataCentre != scheduler.dataCentre {
		load += remotePenalty * estimate.Work
	}
	load += time.Duration(scheduler.gate.Cold(now, service, candidate.server) * coldSlots * float64(slots) * float64(estimate.Work))
	expected := (estimate.Work + load) / time.Duration(slots)
	if over := running + 1 - slots; over > 0 {
		// A server whose slots are all in use may reject the request.
		expected += (fullPenalty*estimate.Work + remaining/time.Duration(running+1)) * time.Duration(over) / time.Duration(slots)
	}
	return expected
}

// engineCost returns the expected time to the first token of a request to a server that runs models.
func (scheduler *Scheduler) engineCost(now time.Time, service spec.Service, candidate *candidate, estimate cost.Estimate, job Job) time.Duration {
	usage := candidate.state.usage(now)
	expected := baseLatency + candidate.state.tokenTime*time.Duration(usage.Backlog+job.PromptTokens)
	expected += time.Duration(scheduler.gate.Cold(now, service, candidate.server) * float64(coldPenalty))
	slots := max(1, candidate.server.Slots)
	if over := usage.Running + 1 - slots; over > 0 {
		// The excess requests wait until as many others have ended.
		mean := candidate.state.remainingWork(now, estimate.Work) / time.Duration(usage.Running+1)
		expected += mean * time.Duration(over) / time.Duration(slots)
	}
	if cache := service.Engine.CacheTokens; cache > 0 {
		if over := usage.Tokens + estimate.TokensHigh - cache; over > 0 {
			expected += time.Duration(float64(overloadPenalty) * float64(over) / float64(cache))
		}
	}
	return expected
}

// leastWork returns the index of the candidate with the least remaining work among those that are about as fast as the best
// one. The best one, which comes earlier in the adapter's rank order if several are alike, is kept unless another one has less
// work even with half of the request's own.
func leastWork(candidates []candidate, best int) int {
	least := best
	for index, candidate := range candidates {
		if candidate.ejected != candidates[best].ejected || candidate.expected > candidates[best].expected+workSlack {
			continue
		}
		if candidate.work+candidate.own/2 < candidates[best].work && candidate.work < candidates[least].work {
			least = index
		}
	}
	return least
}
