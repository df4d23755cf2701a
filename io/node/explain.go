package node

import (
	"time"

	"lentilproxy/core/conf"
	"lentilproxy/core/limit"
	"lentilproxy/core/route"
	"lentilproxy/core/value"
)

// Candidate tells how a server counts in the choice for a request.
type Candidate struct {
	Server     string `json:"server"`
	DataCentre string `json:"data_centre"`
	Usable     bool   `json:"usable"`
	// Reason tells why the server cannot be used, or only if there is no other.
	Reason string `json:"reason,omitempty"`
	// Loaded is set if this host may use the adapter version on the server. It is omitted for plain services.
	Loaded *bool `json:"loaded,omitempty"`
	// Load is the number of requests that the server is assumed to run; InFlight are those of this host.
	Load     int   `json:"load"`
	InFlight int   `json:"in_flight"`
	EjectMS  int64 `json:"ejected_ms,omitempty"`
	WaitMS   int64 `json:"wait_ms,omitempty"`
}

// Candidates are the servers that could run a request, the best one first.
type Candidates struct {
	// Chosen is the server that would get the request now, or empty.
	Chosen  string      `json:"chosen,omitempty"`
	Servers []Candidate `json:"servers"`
	// Owner is the host that decides where an adapter is loaded that this host may not use yet.
	Owner string `json:"owner,omitempty"`
}

// LimitState is the part of a workspace's limit that this host holds.
type LimitState struct {
	Workspace string `json:"workspace"`
	// Tokens are available on this host, which may get others from other hosts. Cost is what the request is charged.
	Tokens float64 `json:"tokens_here"`
	Rate   float64 `json:"rate_here"`
	Cost   float64 `json:"cost"`
	Loans  int     `json:"loans"`
}

// ExplainService returns the candidates for a request to a plain service. It changes nothing.
func (node *Node) ExplainService(now time.Time, service, affinity string) Candidates {
	state := node.View().state
	_, candidates := serviceCandidates(state, service)
	node.traffic.mutex.Lock()
	assessments := node.traffic.balancer.Assess(now, candidates, affinity, nil)
	node.traffic.mutex.Unlock()
	explained := explain(state, assessments, nil)
	explained.addOthers(state, state.ServiceServers(service), nil)
	return explained
}

// ExplainModel returns the candidates for a request for an adapter version. It changes nothing.
func (node *Node) ExplainModel(now time.Time, model, baseModel string) Candidates {
	state := node.View().state
	node.traffic.mutex.Lock()
	_, candidates := node.traffic.permitted(now, state, model)
	assessments := node.traffic.balancer.Assess(now, candidates, model, nil)
	node.traffic.mutex.Unlock()
	loaded, unloaded := true, false
	explained := explain(state, assessments, &loaded)
	var engines []*conf.Resource
	for _, resource := range state.Engines() {
		if resource.BackendServer.BaseModel == baseModel {
			engines = append(engines, resource)
		}
	}
	explained.addOthers(state, engines, &unloaded)
	if pool, found := poolFor(state, baseModel); found {
		explained.Owner = state.Owner(pool).Host
	}
	return explained
}

func explain(state *conf.State, assessments []route.Assessment, loaded *bool) Candidates {
	explained := Candidates{Servers: []Candidate{}}
	for index, assessment := range assessments {
		if index == 0 && assessment.Usable() {
			explained.Chosen = assessment.Server
		}
		server := state.Get(conf.Ref{Kind: conf.KindBackendServer, Name: assessment.Server}).BackendServer
		explained.Servers = append(explained.Servers, Candidate{
			Server: assessment.Server, DataCentre: server.DataCentre, Usable: assessment.Usable(), Reason: reasonOf(assessment), Loaded: loaded,
			Load: assessment.Load, InFlight: assessment.InFlight, EjectMS: assessment.Ejected.Milliseconds(), WaitMS: assessment.Wait.Milliseconds(),
		})
	}
	return explained
}

func reasonOf(assessment route.Assessment) string {
	switch {
	case assessment.Full:
		return "has its greatest number of requests in flight"
	case assessment.Wait > 0:
		return "is leaving, or has asked for a pause"
	case assessment.Ejected > 0:
		return "ejected after failures"
	default:
		return ""
	}
}

// addOthers adds the servers that are no candidates.
func (candidates *Candidates) addOthers(state *conf.State, resources []*conf.Resource, loaded *bool) {
	known := value.NewSet[string]()
	for _, candidate := range candidates.Servers {
		known.Add(candidate.Server)
	}
	for _, resource := range resources {
		if known.Has(resource.Name) {
			continue
		}
		other := Candidate{Server: resource.Name, DataCentre: resource.BackendServer.DataCentre, Loaded: loaded, Reason: "this host has no permit for the adapter there"}
		if state.Draining(resource.BackendServer) {
			other.Reason = "draining"
		}
		candidates.Servers = append(candidates.Servers, other)
	}
}

// LimitState returns the state of a workspace's limit on this host for a request of a cost; nil if the workspace has none.
func (node *Node) LimitState(now time.Time, workspace string, cost float64) *LimitState {
	if node.View().state.Limit(workspace) == nil {
		return nil
	}
	var status limit.Status
	node.traffic.loans.Limiter(func(limiter *limit.Limiter) { status = limiter.Status(now, workspace) })
	return &LimitState{Workspace: workspace, Tokens: status.Level, Rate: status.Rate, Cost: cost, Loans: status.Loans}
}
