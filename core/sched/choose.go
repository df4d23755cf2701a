package sched

import (
	"math"
	"sort"
	"time"

	"lentilproxy/core/spec"
	"lentilproxy/core/value"

	"github.com/cespare/xxhash/v2"
)

// Job is a request that needs a server.
type Job struct {
	// Ref is empty for requests to services that run no models.
	Ref spec.AdapterRef
	// MinVersion is the lowest adapter version that may serve the request; 0 for any.
	MinVersion   int64
	PromptTokens int64
	OutputTokens int64
	// Route, Workspace, EstimatedTokens and SharedTokens are as in cost.Request.
	Route           string
	Workspace       string
	EstimatedTokens int64
	SharedTokens    int64
	// Avoid are the servers that this request must not be sent to.
	Avoid value.Set[string]
	// Full are the servers that recently had no free slot for the adapter.
	Full value.Set[string]
}

// Choice is the server chosen for a request.
type Choice struct {
	Server spec.Server
	// Load reports whether the server has to load the adapter first.
	Load bool
	// ReplicateTo is the ID of a server that should load a further replica of the adapter, or empty.
	ReplicateTo string
	// Expected is the expected time to the first token.
	Expected time.Duration
}

// candidate is a server that may run a request.
type candidate struct {
	server   spec.Server
	state    *serverState
	expected time.Duration
	ejected  bool
	loaded   bool
	// rank is the hash of the adapter and the server. Candidates are sorted by it (rendezvous hashing).
	rank uint64
	// load is the expected time to load the adapter, and copy whether the server is expected to have a copy of it.
	load time.Duration
	copy bool
	// work is the remaining work by slot, and own that of the request itself; 0 if the cost of requests is not known.
	work, own time.Duration
}

// Choose returns the server for a request of a service, if there is one.
func (scheduler *Scheduler) Choose(now time.Time, service spec.Service, servers map[string]spec.Server, job Job) (Choice, bool) {
	candidates := scheduler.candidates(now, service, servers, job)
	if len(candidates) == 0 {
		return Choice{}, false
	}
	if service.Engine == nil || job.Ref.Model == "" {
		return choiceOf(candidates[leastLatency(candidates)]), true
	}
	loaded := withAdapter(candidates)
	if len(loaded) == 0 {
		preferred, found := preferredForLoad(candidates, math.MaxInt64, job.Full)
		if !found {
			return Choice{}, false
		}
		return choiceWithLoad(preferred), true
	}
	best := loaded[leastLatency(loaded)]
	choice := choiceOf(best)
	if job.Ref.Adapter == "" || (!best.ejected && best.expected < replicateAbove) {
		return choice, true
	}
	other, found := preferredForLoad(candidates, best.expected/2, job.Full)
	if !found {
		return choice, true
	}
	if best.ejected || best.expected > other.withLoad() {
		// The best server is ejected, or its queue takes longer than loading the adapter on the other server.
		return choiceWithLoad(other), true
	}
	if scheduler.replicaPays(now, job.Ref, best, other) && now.Sub(scheduler.replicated[job.Ref]) >= replicateInterval {
		if len(scheduler.replicated) >= maxReplicatedEntries {
			clear(scheduler.replicated)
		}
		scheduler.replicated[job.Ref] = now
		delete(scheduler.saved, job.Ref)
		choice.ReplicateTo = other.server.ID
	}
	return choice, true
}

func choiceOf(candidate candidate) Choice {
	return Choice{Server: candidate.server, Expected: candidate.expected}
}

func (scheduler *Scheduler) candidates(now time.Time, service spec.Service, servers map[string]spec.Server, job Job) []candidate {
	var candidates []candidate
	baseline := scheduler.baselineErrorRate(now, service.Name, servers)
	for name, server := range servers {
		if server.Service != service.Name || scheduler.exclusion(now, service, server, job) != "" {
			continue
		}
		state := scheduler.servers[name]
		option := candidate{
			server: server, state: state, ejected: scheduler.ejected(now, name, state, baseline),
			rank: xxhash.Sum64String(job.Ref.Adapter + "\x00" + name),
		}
		if version, found := state.loaded.Adapters[job.Ref.Adapter]; found {
			option.loaded = job.MinVersion == 0 || version >= job.MinVersion
		}
		if job.Ref.Adapter == "" {
			option.loaded = true
		}
		if service.Engine != nil && !option.loaded {
			scheduler.expectLoad(now, &option, job)
		}
		option.expected = scheduler.expected(now, service, server, state, job)
		candidates = append(candidates, option)
	}
	sort.Slice(candidates, func(left, right int) bool { return candidates[left].rank > candidates[right].rank })
	scheduler.assess(now, service, candidates, job)
	return candidates
}

// exclusion returns why a server cannot run a request, or "".
func (scheduler *Scheduler) exclusion(now time.Time, service spec.Service, server spec.Server, job Job) string {
	state := scheduler.servers[server.ID]
	switch {
	case state == nil:
		return "not known yet"
	case server.Draining:
		return "draining"
	case server.Evacuated:
		return "its data centre is evacuated"
	case !scheduler.gate.Allows(now, service, server):
		return "is cold"
	case job.Avoid.Has(server.ID):
		return "has failed this request"
	case scheduler.Wait(now, server.Incarnation()) > 0:
		return "is leaving, or has asked for a pause"
	case job.Ref.Model != "" && state.loaded.Model != job.Ref.Model:
		return "runs another model"
	default:
		return ""
	}
}

// expected returns the expected time to the first token, or a measure of the load for services that run no models.
func (scheduler *Scheduler) expected(now time.Time, service spec.Service, server spec.Server, state *serverState, job Job) time.Duration {
	usage := state.usage(now)
	cold := scheduler.gate.Cold(now, service, server)
	if service.Engine == nil {
		load := usage.Running
		if server.DataCentre != scheduler.dataCentre {
			load += remotePenalty
		}
		load += int(math.Ceil(cold * coldSlots * float64(server.Slots)))
		return time.Duration(load) * time.Millisecond * time.Duration(max(1, 100/max(1, server.Slots)))
	}
	expected := baseLatency + state.tokenTime*time.Duration(usage.Backlog+job.PromptTokens) + time.Duration(cold*float64(coldPenalty))
	slots := max(1, server.Slots)
	if over := usage.Running + 1 - slots; over > 0 {
		expected += overloadPenalty * time.Duration(over) / time.Duration(slots)
	}
	if cache := service.Engine.CacheTokens; cache > 0 {
		if over := usage.Tokens + job.PromptTokens + job.OutputTokens - cache; over > 0 {
			expected += time.Duration(float64(overloadPenalty) * float64(over) / float64(cache))
		}
	}
	return expected
}

// leastLatency returns the index of the candidate with the least expected latency, or with the least remaining work among those
// that are about as fast. It returns an ejected candidate only if all are ejected.
func leastLatency(candidates []candidate) int {
	best := 0
	for index := range candidates {
		left, right := candidates[index], candidates[best]
		if left.ejected != right.ejected {
			if right.ejected {
				best = index
			}
			continue
		}
		if left.expected < right.expected {
			best = index
		}
	}
	return leastWork(candidates, best)
}

func withAdapter(candidates []candidate) []candidate {
	var loaded []candidate
	for _, candidate := range candidates {
		if candidate.loaded {
			loaded = append(loaded, candidate)
		}
	}
	return loaded
}

// preferredForLoad returns the server that loads an adapter: the first one in the adapter's rank order that can load it, has an expected
// latency below a bound, and costs not much more than the best such server. The rank order is stable, so that a server is chosen again
// for adapters that it had loaded recently. If the best server is expected to have a copy of the adapter, only servers that have one count.
func preferredForLoad(candidates []candidate, below time.Duration, full value.Set[string]) (candidate, bool) {
	var usable []candidate
	best := 0
	for _, option := range candidates {
		if full.Has(option.server.ID) || !option.state.loaded.Orderable || option.loaded || option.ejected || option.expected >= below {
			continue
		}
		usable = append(usable, option)
		difference := option.withLoad() - usable[best].withLoad()
		if difference < 0 || (difference == 0 && option.copy && !usable[best].copy) {
			best = len(usable) - 1
		}
	}
	for _, option := range usable {
		if option.withLoad() <= usable[best].withLoad()+preferredSlack && (option.copy || !usable[best].copy) {
			return option, true
		}
	}
	return candidate{}, false
}
