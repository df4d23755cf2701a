package sched

import (
	"maps"
	"math"
	"sort"
	"time"

	"lentilproxy/core/spec"
)

// Explained tells how a server counts in the choice for a request.
type Explained struct {
	Server     string `json:"server"`
	DataCentre string `json:"data_centre"`
	// Excluded tells why the server cannot run the request; it is empty for candidates.
	Excluded string `json:"excluded,omitempty"`
	WaitMS   int64  `json:"wait_ms,omitempty"`
	// Loaded reports whether the server has the adapter; LoadMS is the expected time to load it, or -1 if nobody can order that.
	Loaded bool  `json:"loaded"`
	LoadMS int64 `json:"load_ms,omitempty"`
	// RecentCopy reports whether the server is expected to have a copy of the adapter, since it has unloaded it recently.
	RecentCopy bool `json:"recent_copy,omitempty"`
	// ExpectedMS is the expected time to the first token, and a measure of the load for services that run no models.
	ExpectedMS int64 `json:"expected_ms"`
	// WorkMS is the remaining work by slot; 0 if the cost of requests is not known.
	WorkMS  int64 `json:"work_ms,omitempty"`
	Running int   `json:"running"`
	Backlog int64 `json:"backlog"`
	Tokens  int64 `json:"tokens"`
	// Ejected servers are used only if there is no other.
	Ejected bool `json:"ejected,omitempty"`
}

// Explanation is the choice for a request, with the servers that were considered, candidates first.
type Explanation struct {
	// Chosen is empty if no server can run the request.
	Chosen string `json:"chosen,omitempty"`
	// Load reports whether the chosen server has to load the adapter first.
	Load       bool   `json:"load,omitempty"`
	Replicate  string `json:"replicate_to,omitempty"`
	ExpectedMS int64  `json:"expected_ms"`
	// Learned reports whether the choice used learned costs.
	Learned bool        `json:"learned_cost"`
	Servers []Explained `json:"servers"`
	// choice is what Choose returned.
	choice Choice
}

// Choice returns the choice that Choose would return. found is false if no server can run the request.
func (explanation Explanation) Choice() (choice Choice, found bool) {
	return explanation.choice, explanation.Chosen != ""
}

// Explain returns what Choose would choose now, and why. It calls Choose on a copy, and changes nothing.
func (scheduler *Scheduler) Explain(now time.Time, service spec.Service, servers map[string]spec.Server, job Job) Explanation {
	explanation := Explanation{Servers: []Explained{}}
	if choice, found := scheduler.clone().Choose(now, service, servers, job); found {
		explanation.choice = choice
		explanation.Chosen, explanation.Load, explanation.Replicate = choice.Server.ID, choice.Load, choice.ReplicateTo
		explanation.ExpectedMS = choice.Expected.Milliseconds()
	}
	if scheduler.costs != nil {
		explanation.Learned = scheduler.costs.Forecast(job.costRequest()).Learned()
	}
	// A further copy, since the choice may have ejected servers, which changes the error rate that others are compared with.
	for _, candidate := range scheduler.clone().candidates(now, service, servers, job) {
		explanation.Servers = append(explanation.Servers, explainCandidate(now, candidate, service, job))
	}
	var excluded []Explained
	for _, server := range servers {
		if reason := scheduler.exclusion(now, service, server, job); server.Service == service.Name && reason != "" {
			excluded = append(excluded, Explained{
				Server: server.ID, DataCentre: server.DataCentre, Excluded: reason, WaitMS: scheduler.Wait(now, server.Incarnation()).Milliseconds(),
			})
		}
	}
	sort.Slice(excluded, func(left, right int) bool { return excluded[left].Server < excluded[right].Server })
	explanation.Servers = append(explanation.Servers, excluded...)
	return explanation
}

func explainCandidate(now time.Time, option candidate, service spec.Service, job Job) Explained {
	usage := option.state.usage(now)
	explained := Explained{
		Server: option.server.ID, DataCentre: option.server.DataCentre, Loaded: option.loaded, ExpectedMS: option.expected.Milliseconds(),
		WorkMS: option.work.Milliseconds(), Running: usage.Running, Backlog: usage.Backlog, Tokens: usage.Tokens, Ejected: option.ejected,
	}
	if service.Engine != nil && job.Ref.Model != "" && !option.loaded {
		explained.LoadMS = -1
		if _, found := preferredForLoad([]candidate{option}, math.MaxInt64, job.Full); found {
			explained.LoadMS, explained.RecentCopy = option.load.Milliseconds(), option.copy
		}
	}
	return explained
}

// clone returns a copy on which Choose can be called without effect on the original.
func (scheduler *Scheduler) clone() *Scheduler {
	copied := *scheduler
	copied.servers = make(map[string]*serverState, len(scheduler.servers))
	for name, state := range scheduler.servers {
		copiedState := *state
		copied.servers[name] = &copiedState
	}
	copied.replicated = maps.Clone(scheduler.replicated)
	copied.saved = maps.Clone(scheduler.saved)
	copied.ejections = nil
	return &copied
}
