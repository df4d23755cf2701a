// Package sched chooses the backend server for a request by the adapters that servers have loaded, the load that all
// hosts put on them and their recent errors.
package sched

import (
	"maps"
	"time"

	"lentilproxy/core/cost"
	"lentilproxy/core/notice"
	"lentilproxy/core/spec"
	"lentilproxy/core/value"
	"lentilproxy/core/warm"
)

const (
	// UsageLifetime is how long a peer's usage report counts. In large fleets, a peer reports only every 2 s.
	UsageLifetime = 2500 * time.Millisecond
	// othersLifetime is how long the load that a lease holder has reported for a server is used.
	othersLifetime = 500 * time.Millisecond
	// initialTokenTime is the assumed time that a server takes per prompt token until it has been measured.
	initialTokenTime = 35 * time.Microsecond
	// minTokenTime and maxTokenTime bound the time per prompt token that is measured on a single response.
	minTokenTime = 5 * time.Microsecond
	maxTokenTime = 700 * time.Microsecond
	// tokenTimeWeight is the weight of the newest measurement in the moving average of the time per prompt token.
	tokenTimeWeight = 0.08
	// minMeasuredBacklog is the least backlog in tokens for a measurement; with less, fixed costs dominate the time.
	minMeasuredBacklog = 400
	// baseLatency is the part of the time to the first token that does not depend on the backlog.
	baseLatency = 12 * time.Millisecond
	// overloadPenalty is the expected wait if the requests exceed a server's slots or its cache memory by 100%. The wait
	// is proportional to the excess.
	overloadPenalty = 700 * time.Millisecond
	// replicateAbove is the expected latency from which a further replica of an adapter is worth its slot.
	replicateAbove = 150 * time.Millisecond
	// replicateInterval is the least time between two replications of one adapter.
	replicateInterval = 400 * time.Millisecond
	// preferredSlack is how much more latency is accepted on a server that comes earlier in an adapter's rank order.
	preferredSlack = 80 * time.Millisecond
	// remotePenalty is the number of running requests that is added to the load of servers in other data centres.
	remotePenalty = 2
	// coldPenalty is added to the expected latency of a server at the beginning of its cold time, and coldSlots is the fraction of
	// the slots of a server without models that counts as in use then. Both decrease linearly until the end of the cold time.
	coldPenalty = 300 * time.Millisecond
	coldSlots   = 0.5
	// maxEjections bounds the ejections that are kept until TakeEjections is called.
	maxEjections = 256
	// maxReplicatedEntries bounds the adapters whose last replication time is kept.
	maxReplicatedEntries = 4096
)

// Usage is the load that the requests of one host put on a server.
type Usage struct {
	// Running is the number of running requests.
	Running int `json:"running"`
	// Backlog is the number of prompt tokens of requests that have no first token yet.
	Backlog int64 `json:"backlog,omitempty"`
	// Tokens is the cache memory that the requests may use, in tokens.
	Tokens int64 `json:"tokens,omitempty"`
	// WorkMillis is the time for which the requests are still expected to occupy the server, added up; 0 if the host does not know.
	WorkMillis int64 `json:"work_ms,omitempty"`
}

func (usage Usage) plus(other Usage) Usage {
	return Usage{Running: usage.Running + other.Running, Backlog: usage.Backlog + other.Backlog, Tokens: usage.Tokens + other.Tokens, WorkMillis: usage.WorkMillis + other.WorkMillis}
}

type peerUsage struct {
	usage Usage
	at    time.Time
}

// Loaded is the model and the adapters that a server has loaded.
type Loaded struct {
	Model string `json:"model"`
	// Adapters maps names of adapters to their versions.
	Adapters map[string]int64 `json:"adapters,omitempty"`
	// Orderable servers have a lease holder that sends them orders.
	Orderable bool `json:"orderable"`
}

type serverState struct {
	startedMillis int64
	own           Usage
	// runs holds this host's running requests.
	runs  map[*Run]struct{}
	peers map[string]peerUsage
	// summaries holds the load by the hosts of other data centres.
	summaries map[string]summaryUsage
	// others is the load by the requests of other hosts, as the server's lease holder knew it at othersAt.
	others    Usage
	othersAt  time.Time
	tokenTime time.Duration
	// loaded is what the lease holder reported last; until then, the registration counts.
	loaded Loaded
	// reported is set once a lease holder has reported what is loaded.
	reported bool
	copies   copies
	health   health
}

// Scheduler tracks the load and health of backend servers on one host and chooses servers for its requests. It is not
// safe for concurrent use.
type Scheduler struct {
	dataCentre string
	servers    map[string]*serverState
	replicated map[spec.AdapterRef]time.Time
	// peerUsages holds the last usage report of each peer.
	peerUsages map[string]map[string]Usage
	// summaryUsages holds the last statement of each other data centre.
	summaryUsages map[string]map[string]Usage
	// notices holds what servers have said of themselves. They outlast the removal of a server's registration.
	notices *notice.Board[spec.Incarnation]
	// ejections collects the ejections since the last call of TakeEjections.
	ejections []Ejection
	// gate bounds the requests to cold servers.
	gate *warm.Gate
	// costs is nil if the cost of requests is not learned.
	costs *cost.Predictor
	// loads is nil if the load times of adapters are not learned.
	loads *cost.Loads
	// saved holds the waits that further replicas of adapters would have saved.
	saved map[spec.AdapterRef]savedWaits
}

// Ejection is the decision to avoid a server for a while because of its errors.
type Ejection struct {
	Server   string
	Duration time.Duration
	// Consecutive is the number of ejections of the server in a row.
	Consecutive int
	// BaselineErrorRate is the error rate of the service that the server's rate was compared with.
	BaselineErrorRate float64
}

// TakeEjections returns the ejections since the last call.
func (scheduler *Scheduler) TakeEjections() []Ejection {
	taken := scheduler.ejections
	scheduler.ejections = nil
	return taken
}

// Option configures a scheduler.
type Option func(*Scheduler)

// WithGate sets the gate that bounds the requests to cold servers.
func WithGate(gate *warm.Gate) Option { return func(scheduler *Scheduler) { scheduler.gate = gate } }

// New returns the scheduler of a host in a data centre.
func New(dataCentre string, options ...Option) *Scheduler {
	scheduler := &Scheduler{
		dataCentre: dataCentre, servers: map[string]*serverState{}, replicated: map[spec.AdapterRef]time.Time{}, peerUsages: map[string]map[string]Usage{},
		summaryUsages: map[string]map[string]Usage{}, notices: notice.New[spec.Incarnation](), gate: warm.New(""),
	}
	for _, option := range options {
		option(scheduler)
	}
	return scheduler
}

// UpdateServers sets the registered servers. It drops the state of servers that were removed or restarted.
func (scheduler *Scheduler) UpdateServers(servers map[string]spec.Server) {
	for name, state := range scheduler.servers {
		if server, found := servers[name]; !found || server.StartedMillis != state.startedMillis {
			delete(scheduler.servers, name)
		}
	}
	for name, server := range servers {
		if scheduler.servers[name] == nil {
			scheduler.servers[name] = newServerState(server)
		}
	}
}

func newServerState(server spec.Server) *serverState {
	state := &serverState{startedMillis: server.StartedMillis, runs: map[*Run]struct{}{}, peers: map[string]peerUsage{}, tokenTime: initialTokenTime}
	for _, model := range server.Models {
		state.loaded = Loaded{Model: model.Model, Adapters: model.Adapters}
	}
	return state
}

// SetLoaded records what an incarnation of a server has loaded, as reported by its lease holder.
func (scheduler *Scheduler) SetLoaded(name string, startedMillis int64, loaded Loaded) {
	if state := scheduler.servers[name]; state != nil && state.startedMillis == startedMillis {
		scheduler.recordUnloads(state, loaded)
		state.loaded = loaded
	}
}

// SetNotOrderable records that a server has no lease holder. Its loaded adapters stay in use.
func (scheduler *Scheduler) SetNotOrderable(name string) {
	if state := scheduler.servers[name]; state != nil {
		state.loaded.Orderable = false
	}
}

// AddAdapter records that an incarnation of a server has loaded an adapter.
func (scheduler *Scheduler) AddAdapter(name string, startedMillis int64, adapter string, version int64) {
	state := scheduler.servers[name]
	if state == nil || state.startedMillis != startedMillis {
		return
	}
	adapters := maps.Clone(state.loaded.Adapters)
	if adapters == nil {
		adapters = map[string]int64{}
	}
	adapters[adapter] = version
	state.loaded.Adapters = adapters
}

// RemoveAdapter records that a server does not have an adapter, since it has refused a request for it.
func (scheduler *Scheduler) RemoveAdapter(name, adapter string) {
	if state := scheduler.servers[name]; state != nil {
		scheduler.recordUnload(state, adapter)
		// Gossip messages share the map.
		adapters := maps.Clone(state.loaded.Adapters)
		delete(adapters, adapter)
		state.loaded.Adapters = adapters
	}
}

// SetPeerUsage replaces the usage report of a peer.
func (scheduler *Scheduler) SetPeerUsage(now time.Time, host string, usages map[string]Usage) {
	for name := range scheduler.peerUsages[host] {
		if state := scheduler.servers[name]; state != nil {
			delete(state.peers, host)
		}
	}
	for name, usage := range usages {
		if state := scheduler.servers[name]; state != nil {
			state.peers[host] = peerUsage{usage: usage, at: now}
		}
	}
	scheduler.peerUsages[host] = usages
}

// SetServerUsage records the load of a server by the requests of all hosts, as its lease holder knows it.
func (scheduler *Scheduler) SetServerUsage(now time.Time, name string, usage Usage) {
	state := scheduler.servers[name]
	if state == nil {
		return
	}
	state.others = Usage{Running: max(0, usage.Running-state.own.Running), Backlog: max(0, usage.Backlog-state.own.Backlog), Tokens: max(0, usage.Tokens-state.own.Tokens)}
	state.othersAt = now
}

// RetainPeers drops the usage reports of hosts that are not among the peers.
func (scheduler *Scheduler) RetainPeers(now time.Time, peers value.Set[string]) {
	for host := range scheduler.peerUsages {
		if !peers.Has(host) {
			scheduler.SetPeerUsage(now, host, nil)
			delete(scheduler.peerUsages, host)
		}
	}
}

// OwnUsage returns the usage of this host's requests by server.
func (scheduler *Scheduler) OwnUsage() map[string]Usage {
	usages := map[string]Usage{}
	for name, state := range scheduler.servers {
		if state.own.Running > 0 {
			usages[name] = state.own
		}
	}
	return usages
}

func (state *serverState) usage(now time.Time) Usage {
	sum := state.own
	if now.Sub(state.othersAt) < othersLifetime {
		return sum.plus(state.others)
	}
	for usage := range state.otherUsages(now) {
		sum = sum.plus(usage)
	}
	return sum
}
