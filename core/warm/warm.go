// Package warm bounds the requests that all hosts send to a backend server that has just started and is still cold.
//
// Each host has a share of the rate, which it computes from the hosts that it knows; no messages are needed. The shares of all hosts
// add up to at most the bound as long as every host that sends is counted by every other host that sends. Therefore a host sends
// nothing to cold servers until all others must have read its row, or while its copy of the hosts' rows is old, and it goes on counting
// hosts that were removed until these must have noticed it.
package warm

import (
	"math"
	"strings"
	"time"

	"lentilproxy/core/spec"

	"github.com/cespare/xxhash/v2"
)

const (
	// window is the time within which a host sends no more requests than its share. It exceeds the second that the bound refers to,
	// since requests that were sent over a longer time may arrive within one second.
	window = 1250 * time.Millisecond
	// maxProofAge is the greatest age of a host's copy of the hosts' rows with which it still sends to cold servers.
	maxProofAge = 3 * time.Second
	// joinWait is how long a host whose row has appeared sends nothing to cold servers, and how long a removed host is still counted.
	joinWait = maxProofAge + window
	// learnTime is how long a host sends nothing to a server that has become cold while it was in use. Other hosts learn of that
	// up to 1.2 s later, and send requests without a bound until then.
	learnTime = 1500 * time.Millisecond
	// rampStep is the time after which the bound doubles once the cold time has ended, and rampSteps the number of times that it
	// doubles before there is none.
	rampStep  = 500 * time.Millisecond
	rampSteps = 5
	// maxTotal bounds the requests that are counted for one server in a window.
	maxTotal = 1 << 16
)

// Gate decides when one host may send requests to cold servers. It is not safe for concurrent use.
type Gate struct {
	host      string
	overage   float64
	allowance float64
	// provenAt is the time as of which the host knows all rows of hosts, and ownSince when it first saw its own row among them.
	provenAt time.Time
	ownSince time.Time
	// expelled is set from the time at which the host learns that its row was removed until it has added it again.
	expelled bool
	// hosts maps the hosts that are counted to the times at which their rows were removed, which are zero for present ones.
	hosts map[string]time.Time
	// revision counts the changes of the names in hosts.
	revision int64
	servers  map[string]*state
}

// state is what is known of one server.
type state struct {
	incarnation spec.Incarnation
	// until is the end of the cold time, which began with a remaining time of duration.
	until    time.Time
	duration time.Duration
	// registered is the end of the cold time by the registration. Responses may state a later one.
	registered time.Time
	// quietUntil is the time until which nothing is sent.
	quietUntil time.Time
	sent       []time.Time
	rank       int
	// rankedAt is the revision of the hosts for which rank was computed.
	rankedAt int64
}

// New returns the gate of a host that knows no other hosts.
func New(host string) *Gate {
	return &Gate{host: host, overage: 1, hosts: map[string]time.Time{}, servers: map[string]*state{}}
}

// SetBounds sets the factor by which the rate of cold servers may be exceeded, 0 for none, and the number of requests that may be
// sent in addition in each second.
func (gate *Gate) SetBounds(overage, allowance float64) {
	if overage <= 0 {
		overage = 1
	}
	gate.overage, gate.allowance = overage, allowance
}

// SetHosts sets the hosts that have rows.
func (gate *Gate) SetHosts(now time.Time, names []string) {
	present := make(map[string]struct{}, len(names))
	for _, name := range names {
		present[name] = struct{}{}
		if _, counted := gate.hosts[name]; !counted {
			gate.revision++
		}
		gate.hosts[name] = time.Time{}
	}
	for name, removedAt := range gate.hosts {
		if _, found := present[name]; !found && removedAt.IsZero() {
			gate.hosts[name] = now
		}
	}
	_, own := present[gate.host]
	switch {
	case !own:
		gate.ownSince = time.Time{}
	case gate.ownSince.IsZero() && !gate.expelled:
		gate.ownSince = now
	}
}

// Leave records that other hosts have removed the host's row. It sends nothing until Join, whatever rows it knows: it may never see
// that its row was missing.
func (gate *Gate) Leave() { gate.expelled, gate.ownSince = true, time.Time{} }

// Join records that the host has added its row.
func (gate *Gate) Join(now time.Time) { gate.expelled, gate.ownSince = false, now }

// Prove records that the host knows all rows of hosts as of a time.
func (gate *Gate) Prove(provenAt time.Time) {
	if provenAt.After(gate.provenAt) {
		gate.provenAt = provenAt
	}
}

// Update applies the registered servers. It drops the state of servers that were removed.
func (gate *Gate) Update(now time.Time, servers map[string]spec.Server) {
	for name, known := range gate.servers {
		if _, found := servers[name]; !found && known.recent(now) == 0 {
			delete(gate.servers, name)
		}
	}
	for name, server := range servers {
		known := gate.servers[name]
		if known == nil {
			gate.servers[name] = &state{
				incarnation: server.Incarnation(), until: server.ColdUntil, duration: max(0, server.ColdUntil.Sub(now)), registered: server.ColdUntil, rankedAt: -1,
			}
			continue
		}
		if known.incarnation != server.Incarnation() || !known.registered.Equal(server.ColdUntil) {
			known.incarnation, known.registered = server.Incarnation(), server.ColdUntil
			known.setUntil(now, server.ColdUntil)
		}
	}
}

// Extend records that a server has said that it stays cold until a time. An earlier time than the known one is ignored.
func (gate *Gate) Extend(now time.Time, server spec.Incarnation, until time.Time) {
	if known := gate.servers[server.ID]; known != nil && known.incarnation == server && until.After(known.until) {
		known.setUntil(now, until)
	}
}

// setUntil sets the end of the cold time.
func (state *state) setUntil(now, until time.Time) {
	before := state.until
	state.until = until
	if !until.After(now) || !until.After(before) {
		return
	}
	if before.Before(now.Add(learnTime)) {
		// The server was not cold, or would soon have counted as not cold on other hosts.
		state.quietUntil, state.duration = now.Add(learnTime), until.Sub(now)
	}
}

// recent drops what was sent before the window, and returns the number of later requests.
func (state *state) recent(now time.Time) int {
	first := 0
	for first < len(state.sent) && now.Sub(state.sent[first]) >= window {
		first++
	}
	state.sent = state.sent[first:]
	return len(state.sent)
}

// Cold returns the fraction of a server's cold time that remains; 0 if the server is not cold.
func (gate *Gate) Cold(now time.Time, service spec.Service, server spec.Server) float64 {
	known := gate.servers[server.ID]
	if known == nil || !now.Before(known.until) {
		return 0
	}
	return min(1, float64(known.until.Sub(now))/float64(max(1, known.duration, service.ColdStart)))
}

// Allows reports whether a request may be sent to a server now.
func (gate *Gate) Allows(now time.Time, service spec.Service, server spec.Server) bool {
	known := gate.servers[server.ID]
	if known == nil || service.ColdRate <= 0 || !now.Before(known.until.Add(rampSteps*rampStep)) {
		return true
	}
	total := math.Floor(service.ColdRate*gate.overage + gate.allowance)
	if now.Before(known.until) {
		if now.Before(known.quietUntil) || !gate.counted(now) {
			return false
		}
	} else {
		total *= math.Exp2(float64(1 + now.Sub(known.until)/rampStep))
	}
	return known.recent(now) < gate.share(now, server.ID, known, int(min(total, maxTotal)))
}

// Take is like Allows, and counts the request if it may be sent.
func (gate *Gate) Take(now time.Time, service spec.Service, server spec.Server) bool {
	if !gate.Allows(now, service, server) {
		return false
	}
	if known := gate.servers[server.ID]; known != nil && service.ColdRate > 0 && now.Before(known.until.Add(rampSteps*rampStep)) {
		known.sent = append(known.sent, now)
	}
	return true
}

// counted reports whether all other hosts that send to cold servers count this one, and this one counts them.
func (gate *Gate) counted(now time.Time) bool {
	return !gate.ownSince.IsZero() && now.Sub(gate.ownSince) >= joinWait && now.Sub(gate.provenAt) <= maxProofAge
}

// share returns the number of requests that this host may send in a window, out of a total for all hosts. The remainder of the
// division goes to the first hosts by rank, which differs between servers. A share never increases when a host is added.
func (gate *Gate) share(now time.Time, server string, known *state, total int) int {
	for name, removedAt := range gate.hosts {
		if !removedAt.IsZero() && now.Sub(removedAt) >= joinWait {
			delete(gate.hosts, name)
			gate.revision++
		}
	}
	if known.rankedAt != gate.revision {
		known.rank, known.rankedAt = gate.rank(server), gate.revision
	}
	hosts := max(1, len(gate.hosts))
	return max(0, total-known.rank+hosts-1) / hosts
}

// rank returns the number of hosts that precede this one in the order for a server (rendezvous hashing).
func (gate *Gate) rank(server string) int {
	hash := func(host string) uint64 { return xxhash.Sum64String(server + "\x00" + host) }
	own, rank := hash(gate.host), 0
	for name := range gate.hosts {
		if other := hash(name); other < own || other == own && strings.Compare(name, gate.host) < 0 {
			rank++
		}
	}
	return rank
}
