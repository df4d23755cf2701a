// Package sched chooses the backend server for a request, by what servers hold, by the load that all hosts put on
// them, and by how they have behaved.
package sched

import (
	"maps"
	"math"
	"sort"
	"time"

	"lentilproxy/core/spec"
	"lentilproxy/core/value"

	"github.com/cespare/xxhash/v2"
)

const (
	// usageLifetime is how long a peer's message about its running requests counts.
	usageLifetime = 1500 * time.Millisecond
	// initialPace is the assumed time of an engine for one prompt token until answers have been seen.
	initialPace = 35 * time.Microsecond
	// minPace and maxPace bound what is learnt from single answers.
	minPace = 5 * time.Microsecond
	maxPace = 700 * time.Microsecond
	// paceWeight is the weight of the newest answer in the learnt pace.
	paceWeight = 0.08
	// paceTokens is the least backlog in tokens from which the pace is learnt; below it, other times prevail.
	paceTokens = 400
	// baseLatency is the part of the time to the first token that does not depend on the backlog.
	baseLatency = 12 * time.Millisecond
	// fullPenalty is the expected wait for each whole set of slots, or of cache memory, that is taken.
	fullPenalty = 700 * time.Millisecond
	// loadLatency is the expected time to bring an adapter to a server.
	loadLatency = 280 * time.Millisecond
	// copyAbove is the expected latency from which on a further copy of an adapter is worth its place.
	copyAbove = 150 * time.Millisecond
	// copyInterval is the least time between two copies of one adapter.
	copyInterval = 400 * time.Millisecond
	// homeSlack is how much more latency is accepted at a server that comes earlier in an adapter's order.
	homeSlack = 80 * time.Millisecond
	// remotePenalty is the number of running requests that a server in another data centre counts as.
	remotePenalty = 2
	// maxCopyEntries bounds the adapters whose last copy is remembered.
	maxCopyEntries = 4096
)

// Usage is what the requests of one host take on a server.
type Usage struct {
	// Running is the number of requests.
	Running int `json:"running"`
	// Backlog is the number of prompt tokens of requests that have no first token yet.
	Backlog int64 `json:"backlog,omitempty"`
	// Tokens is the memory that the requests may take.
	Tokens int64 `json:"tokens,omitempty"`
}

func (usage Usage) plus(other Usage) Usage {
	return Usage{Running: usage.Running + other.Running, Backlog: usage.Backlog + other.Backlog, Tokens: usage.Tokens + other.Tokens}
}

type peerUsage struct {
	usage Usage
	at    time.Time
}

// Held is what a server is known to have loaded.
type Held struct {
	Model string `json:"model"`
	// Adapters maps names to versions.
	Adapters map[string]int64 `json:"adapters,omitempty"`
	// Orderable servers have a host that gives them orders.
	Orderable bool `json:"orderable"`
}

type server struct {
	born  int64
	own   Usage
	peers map[string]peerUsage
	pace  time.Duration
	held  Held
	// heldKnown says that the server's holder has told what it holds; before that, its own entry counts.
	heldKnown bool
	health    health
}

// Table holds what one host knows of the load and health of backend servers. It is not safe for concurrent use.
type Table struct {
	dataCentre string
	servers    map[string]*server
	copied     map[spec.AdapterRef]time.Time
}

// New returns the table of a host in a data centre.
func New(dataCentre string) *Table {
	return &Table{dataCentre: dataCentre, servers: map[string]*server{}, copied: map[spec.AdapterRef]time.Time{}}
}

// Update takes in the registered servers. A server that has started again is a new one.
func (table *Table) Update(servers map[string]spec.Server) {
	for name, known := range table.servers {
		if entry, found := servers[name]; !found || entry.Born != known.born {
			delete(table.servers, name)
		}
	}
	for name, entry := range servers {
		if table.servers[name] == nil {
			table.servers[name] = newServer(entry)
		}
	}
}

func newServer(entry spec.Server) *server {
	known := &server{born: entry.Born, peers: map[string]peerUsage{}, pace: initialPace}
	for _, holding := range entry.Holdings {
		known.held = Held{Model: holding.Model, Adapters: holding.Adapters}
	}
	return known
}

// Hold takes in what a server's holder says that it has loaded.
func (table *Table) Hold(name string, born int64, held Held) {
	if known := table.servers[name]; known != nil && known.born == born {
		known.held, known.heldKnown = held, true
	}
}

// Unhold takes in that a server has no host that gives it orders. What it has loaded stays in use.
func (table *Table) Unhold(name string) {
	if known := table.servers[name]; known != nil {
		known.held.Orderable = false
	}
}

// Arrived takes in that an adapter can be used on a server.
func (table *Table) Arrived(name string, born int64, adapter string, version int64) {
	known := table.servers[name]
	if known == nil || known.born != born {
		return
	}
	adapters := maps.Clone(known.held.Adapters)
	if adapters == nil {
		adapters = map[string]int64{}
	}
	adapters[adapter] = version
	known.held.Adapters = adapters
}

// Evicted takes in that a server has refused a request for an adapter that it does not have.
func (table *Table) Evicted(name, adapter string) {
	if known := table.servers[name]; known != nil {
		// Messages share the map.
		adapters := maps.Clone(known.held.Adapters)
		delete(adapters, adapter)
		known.held.Adapters = adapters
	}
}

// Peer takes in what another host's requests take.
func (table *Table) Peer(now time.Time, host string, usages map[string]Usage) {
	for name, known := range table.servers {
		if usage, found := usages[name]; found {
			known.peers[host] = peerUsage{usage: usage, at: now}
		} else {
			delete(known.peers, host)
		}
	}
}

// Own returns what this host's requests take, for its peers.
func (table *Table) Own() map[string]Usage {
	usages := map[string]Usage{}
	for name, known := range table.servers {
		if known.own.Running > 0 {
			usages[name] = known.own
		}
	}
	return usages
}

func (server *server) usage(now time.Time) Usage {
	sum := server.own
	for _, peer := range server.peers {
		if now.Sub(peer.at) < usageLifetime {
			sum = sum.plus(peer.usage)
		}
	}
	return sum
}

// Job is a request that needs a server.
type Job struct {
	// Ref is empty for requests of plain services.
	Ref spec.AdapterRef
	// Version is the adapter version that has to answer; 0 for any.
	Version int64
	Prompt  int64
	Output  int64
	// Avoid are the servers that this request must not be sent to.
	Avoid value.Set[string]
	// Full are the servers that had no place for the adapter lately.
	Full value.Set[string]
}

// Choice is the server for a request.
type Choice struct {
	Server spec.Server
	// Load says that the adapter has to be loaded there first.
	Load bool
	// Copy is a server that should load a further copy of the adapter, or is empty.
	Copy string
	// Expected is the time after which the first token is expected.
	Expected time.Duration
}

// candidate is a server that could run a request.
type candidate struct {
	entry    spec.Server
	known    *server
	expected time.Duration
	ejected  bool
	holds    bool
	rank     uint64
}

// Choose returns the server for a request of a service, if there is one.
func (table *Table) Choose(now time.Time, service spec.Service, servers map[string]spec.Server, job Job) (Choice, bool) {
	candidates := table.candidates(now, service, servers, job)
	if len(candidates) == 0 {
		return Choice{}, false
	}
	if service.Engine == nil || job.Ref.Model == "" {
		return chosen(candidates[least(candidates)]), true
	}
	holders := holding(candidates)
	if len(holders) == 0 {
		home, found := homeOf(candidates, math.MaxInt64, job.Full)
		if !found {
			return Choice{}, false
		}
		choice := chosen(home)
		choice.Load, choice.Expected = true, choice.Expected+loadLatency
		return choice, true
	}
	best := holders[least(holders)]
	choice := chosen(best)
	if job.Ref.Adapter == "" {
		return choice, true
	}
	other, found := homeOf(candidates, best.expected/2, job.Full)
	if !found || (!best.ejected && best.expected < copyAbove) {
		return choice, true
	}
	if best.ejected || best.expected > other.expected+2*loadLatency {
		// Waiting for a load elsewhere is faster than the queue here.
		choice = chosen(other)
		choice.Load, choice.Expected = true, choice.Expected+loadLatency
		return choice, true
	}
	if now.Sub(table.copied[job.Ref]) >= copyInterval {
		if len(table.copied) >= maxCopyEntries {
			clear(table.copied)
		}
		table.copied[job.Ref] = now
		choice.Copy = other.entry.ID
	}
	return choice, true
}

func chosen(candidate candidate) Choice {
	return Choice{Server: candidate.entry, Expected: candidate.expected}
}

func (table *Table) candidates(now time.Time, service spec.Service, servers map[string]spec.Server, job Job) []candidate {
	var candidates []candidate
	fleet := table.errorRate(now, service.Name, servers)
	for name, entry := range servers {
		known := table.servers[name]
		if known == nil || entry.Service != service.Name || entry.Draining || job.Avoid.Has(name) {
			continue
		}
		if job.Ref.Model != "" && known.held.Model != job.Ref.Model {
			continue
		}
		option := candidate{
			entry: entry, known: known, ejected: known.health.ejected(now, fleet),
			rank: xxhash.Sum64String(job.Ref.Adapter + "\x00" + name),
		}
		if version, found := known.held.Adapters[job.Ref.Adapter]; found {
			option.holds = job.Version == 0 || version >= job.Version
		}
		if job.Ref.Adapter == "" {
			option.holds = true
		}
		option.expected = table.expected(now, service, entry, known, job)
		candidates = append(candidates, option)
	}
	sort.Slice(candidates, func(left, right int) bool { return candidates[left].rank > candidates[right].rank })
	return candidates
}

// expected returns the time until the first token, or a measure of load for plain services.
func (table *Table) expected(now time.Time, service spec.Service, entry spec.Server, known *server, job Job) time.Duration {
	usage := known.usage(now)
	if service.Engine == nil {
		load := usage.Running
		if entry.DataCentre != table.dataCentre {
			load += remotePenalty
		}
		return time.Duration(load) * time.Millisecond * time.Duration(max(1, 100/max(1, entry.Slots)))
	}
	expected := baseLatency + known.pace*time.Duration(usage.Backlog+job.Prompt)
	slots := max(1, entry.Slots)
	if over := usage.Running + 1 - slots; over > 0 {
		expected += fullPenalty * time.Duration(over) / time.Duration(slots)
	}
	if cache := service.Engine.CacheTokens; cache > 0 {
		if over := usage.Tokens + job.Prompt + job.Output - cache; over > 0 {
			expected += time.Duration(float64(fullPenalty) * float64(over) / float64(cache))
		}
	}
	return expected
}

// least returns the index of the candidate with the least expected latency. Ejected ones come last.
func least(candidates []candidate) int {
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
	return best
}

func holding(candidates []candidate) []candidate {
	var holders []candidate
	for _, candidate := range candidates {
		if candidate.holds {
			holders = append(holders, candidate)
		}
	}
	return holders
}

// homeOf returns the first server in an adapter's order that could load it and is not much busier than the least busy
// one. The order stays the same, so that a server is asked again for what it held lately.
func homeOf(candidates []candidate, below time.Duration, full value.Set[string]) (candidate, bool) {
	lowest := time.Duration(math.MaxInt64)
	usable := func(option candidate) bool {
		return !full.Has(option.entry.ID) && option.known.held.Orderable && !option.holds && !option.ejected && option.expected < below
	}
	for _, option := range candidates {
		if usable(option) {
			lowest = min(lowest, option.expected)
		}
	}
	for _, option := range candidates {
		if usable(option) && option.expected <= lowest+homeSlack {
			return option, true
		}
	}
	return candidate{}, false
}

// Run is a request under way on a server. It has to be ended once.
type Run struct {
	server  string
	adapter string
	born    int64
	usage   Usage
	backlog int64
	sentAt  time.Time
	first   bool
}

// Server returns the server of the run.
func (run *Run) Server() string { return run.server }

// Adapter returns the adapter that the run uses, or "".
func (run *Run) Adapter() string { return run.adapter }

// Start counts a request that is about to be sent.
func (table *Table) Start(now time.Time, entry spec.Server, job Job) *Run {
	run := &Run{
		server: entry.ID, adapter: job.Ref.Adapter, born: entry.Born, sentAt: now,
		usage: Usage{Running: 1, Backlog: job.Prompt, Tokens: job.Prompt + job.Output},
	}
	if known := table.running(run); known != nil {
		run.backlog = known.usage(now).Backlog + job.Prompt
		known.own = known.own.plus(run.usage)
	}
	return run
}

func (table *Table) running(run *Run) *server {
	if known := table.servers[run.server]; known != nil && known.born == run.born {
		return known
	}
	return nil
}

// First counts the first token of a request.
func (table *Table) First(now time.Time, run *Run) {
	if run.first {
		return
	}
	run.first = true
	known := table.running(run)
	if known == nil {
		return
	}
	known.own.Backlog -= run.usage.Backlog
	if run.backlog >= paceTokens {
		pace := min(max((now.Sub(run.sentAt)-baseLatency)/time.Duration(run.backlog), minPace), maxPace)
		known.pace += time.Duration(paceWeight * float64(pace-known.pace))
	}
}

// End counts the end of a request.
func (table *Table) End(run *Run) {
	known := table.running(run)
	if known == nil {
		return
	}
	if !run.first {
		known.own.Backlog -= run.usage.Backlog
	}
	known.own.Running -= run.usage.Running
	known.own.Tokens -= run.usage.Tokens
}
