// Package sched chooses the backend server for a request, by what servers hold, by the load that all hosts put on
// them, and by how they have behaved.
package sched

import (
	"maps"
	"time"

	"lentilproxy/core/spec"
	"lentilproxy/core/value"
)

const (
	// usageLifetime is how long a peer's message about its running requests counts. Many hosts tell each other every 2 s.
	usageLifetime = 2500 * time.Millisecond
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
	// maxAvoided bounds the decisions that wait to be taken.
	maxAvoided = 256
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
	// told is what each peer said last.
	told map[string]map[string]Usage
	// avoided collects servers that are avoided for their errors from now on.
	avoided []Avoided
}

// Avoided is the decision to avoid a server for its errors.
type Avoided struct {
	Server string
	For    time.Duration
	// Times counts such decisions in a row.
	Times int
	// Usual is the usual share of errors of the service.
	Usual float64
}

// TakeAvoided returns the decisions since the last call.
func (table *Table) TakeAvoided() []Avoided {
	taken := table.avoided
	table.avoided = nil
	return taken
}

// New returns the table of a host in a data centre.
func New(dataCentre string) *Table {
	return &Table{dataCentre: dataCentre, servers: map[string]*server{}, copied: map[spec.AdapterRef]time.Time{}, told: map[string]map[string]Usage{}}
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
	for name := range table.told[host] {
		if known := table.servers[name]; known != nil {
			delete(known.peers, host)
		}
	}
	for name, usage := range usages {
		if known := table.servers[name]; known != nil {
			known.peers[host] = peerUsage{usage: usage, at: now}
		}
	}
	table.told[host] = usages
}

// KeepPeers forgets what hosts have said that are none of the peers.
func (table *Table) KeepPeers(now time.Time, peers value.Set[string]) {
	for host := range table.told {
		if !peers.Has(host) {
			table.Peer(now, host, nil)
			delete(table.told, host)
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
