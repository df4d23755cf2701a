// Package lease decides which host gives orders to which backend server.
//
// Every host has one row in the store and renews it. A server's row names the host that gives it orders; the version
// of that row is the fencing number of the orders. A host whose row has not changed for ExpelAfter is expelled: its
// row is removed under the condition that it has still not changed, after which its next renewal fails and its
// servers are claimed by others. A renewal counts from the instant at which it was sent, so a host that was paused or
// cut off has stopped giving orders at least Gap before anybody else starts.
package lease

import (
	"encoding/json"
	"sort"
	"strings"
	"time"

	"lentilproxy"
	"lentilproxy/core/value"

	"github.com/cespare/xxhash/v2"
)

const (
	// Table is the table of hosts and holders.
	Table = "fleet"
	// RenewInterval is the time between two renewals: two of them may be lost before a lease ends.
	RenewInterval = 2 * time.Second
	// Term is how long a renewal lasts for its host. It is longer than most outages of the store, so that these do not
	// stop the loading of adapters.
	Term = 6 * time.Second
	// Gap is the time between the last order of a holder and the first one of its successor. Settings may lengthen it.
	Gap = 3 * time.Second
	// margin covers the time of messages and the difference of clock rates.
	margin = 500 * time.Millisecond
	// aliveFor is how long a host counts as alive for claims after its row has changed.
	aliveFor = 3*RenewInterval + margin
	// maxEntries is the greatest number of entries of one transaction of the store.
	maxEntries = 100
	// maxClaims bounds the servers claimed in one transaction, with two entries for each and one for the host.
	maxClaims = (maxEntries - 1) / 2
	// joinDelay is how long a host that has joined leaves servers without a holder to the hosts that start beside it.
	joinDelay = 2 * time.Second

	prefixHost   = "host:"
	prefixHolder = "holder:"
)

// Host is the row of one host.
type Host struct {
	Name        string `json:"name"`
	DataCentre  string `json:"data_centre"`
	PeerAddress string `json:"peer_address"`
	// RunID identifies one start of the host, and Beat counts its renewals.
	RunID        string `json:"run"`
	HeartbeatSeq int64  `json:"beat"`
}

// holderRow is the row of one backend server.
type holderRow struct {
	Host string `json:"host"`
	// Released says that the host has given its last order.
	Released bool `json:"released,omitempty"`
}

type observedHost struct {
	host    Host
	version int64
	// since is when this version was first seen.
	since time.Time
}

type observedHolder struct {
	row     holderRow
	version int64
	since   time.Time
}

// Registry is one host's knowledge of leases. It is not safe for concurrent use.
type Registry struct {
	self    Host
	gap     time.Duration
	version int64
	// joined says that the host's own row of this run is in the store.
	joined bool
	// leaseUntil is the end of the host's own lease.
	leaseUntil time.Time
	joinedAt   time.Time
	// renewedAt is when the last renewal was known to have taken effect.
	renewedAt time.Time
	hosts     map[string]observedHost
	holders   map[string]observedHolder
	// claims maps the servers that this host holds to the fencing numbers of its orders.
	claims    map[string]int64
	scannedAt time.Time
	leaving   bool
}

// New returns the registry of a host that has not joined yet.
func New(self Host, gap time.Duration) *Registry {
	return &Registry{
		self: self, gap: max(gap, Gap), hosts: map[string]observedHost{}, holders: map[string]observedHolder{}, claims: map[string]int64{},
	}
}

// ExpelAfter is how long a row has to stay unchanged before its host is expelled.
func (registry *Registry) ExpelAfter() time.Duration { return Term + registry.gap + margin }

// Observe takes in a scan of the table that was asked for at an instant.
func (registry *Registry) Observe(sentAt, now time.Time, rows []lentilproxy.Row) {
	hosts, holders := map[string]observedHost{}, map[string]observedHolder{}
	for _, row := range rows {
		if name, found := strings.CutPrefix(row.Key, prefixHost); found {
			seen := observedHost{version: row.Version, since: now}
			if json.Unmarshal(row.Value, &seen.host) != nil || seen.host.Name != name {
				continue
			}
			if known, again := registry.hosts[name]; again && known.version == row.Version {
				seen.since = known.since
			}
			hosts[name] = seen
		}
		if server, found := strings.CutPrefix(row.Key, prefixHolder); found {
			seen := observedHolder{version: row.Version, since: now}
			if json.Unmarshal(row.Value, &seen.row) != nil {
				continue
			}
			if known, again := registry.holders[server]; again && known.version == row.Version {
				seen.since = known.since
			}
			holders[server] = seen
		}
	}
	registry.hosts, registry.holders, registry.scannedAt = hosts, holders, sentAt
	registry.reconcile()
}

// reconcile drops what the rows no longer grant.
func (registry *Registry) reconcile() {
	own, found := registry.hosts[registry.self.Name]
	if !found || own.host.RunID != registry.self.RunID {
		// Rows from before the last renewal do not count against it.
		if registry.joined && registry.scannedAt.After(registry.renewedAt) {
			registry.loseLease()
		}
	} else if own.version > registry.version {
		// A renewal whose answer was lost has taken effect.
		registry.version, registry.joined = own.version, true
	}
	for server, token := range registry.claims {
		if seen, found := registry.holders[server]; found && seen.version > token {
			delete(registry.claims, server)
		}
	}
}

// loseLease ends everything that the host holds.
func (registry *Registry) loseLease() {
	registry.joined, registry.version, registry.leaseUntil = false, 0, time.Time{}
	clear(registry.claims)
}

// Renewal returns the transaction that joins or renews.
func (registry *Registry) Renewal() lentilproxy.Transaction {
	registry.self.HeartbeatSeq++
	version := registry.version
	if !registry.joined {
		version = registry.hosts[registry.self.Name].version
	}
	key := Table + "/" + prefixHost + registry.self.Name
	return lentilproxy.Transaction{
		Conditions: []lentilproxy.Condition{{Key: key, Version: version}},
		Writes:     []lentilproxy.Write{{Key: key, Value: encode(registry.self)}},
	}
}

// Renewed takes in that the renewal sent at an instant has taken effect by now.
func (registry *Registry) Renewed(sentAt, now time.Time, version int64) {
	if version < registry.version {
		return
	}
	registry.renewedAt = now
	if !registry.joined {
		registry.joinedAt = sentAt
	}
	registry.joined, registry.version = true, version
	if until := sentAt.Add(Term); until.After(registry.leaseUntil) {
		registry.leaseUntil = until
	}
}

// RenewalRefused takes in the rows that stood against a renewal. It says whether the host has lost its place.
func (registry *Registry) RenewalRefused(now time.Time, rows []lentilproxy.Row) bool {
	for _, row := range rows {
		var host Host
		if row.Version > 0 && json.Unmarshal(row.Value, &host) == nil && host.RunID == registry.self.RunID {
			// An earlier renewal of this run, whose answer was lost.
			registry.version, registry.joined = max(registry.version, row.Version), true
			return false
		}
		if row.Version > 0 {
			registry.hosts[registry.self.Name] = observedHost{host: host, version: row.Version, since: now}
		} else {
			delete(registry.hosts, registry.self.Name)
		}
	}
	lost := registry.joined
	registry.loseLease()
	return lost
}

// Joined says whether the host's row is in the store, as far as the host knows.
func (registry *Registry) Joined() bool { return registry.joined }

// Leased says whether the host's own lease runs.
func (registry *Registry) Leased(now time.Time) bool {
	return registry.joined && now.Before(registry.leaseUntil)
}

// ScannedAt returns when the last scan that was taken in was asked for.
func (registry *Registry) ScannedAt() time.Time { return registry.scannedAt }

// FencingToken returns the fencing number for orders to a server, if the host may give them at an instant.
func (registry *Registry) FencingToken(now time.Time, server string) (int64, bool) {
	token, found := registry.claims[server]
	return token, found && registry.Leased(now)
}

// Holder returns the host that gives orders to a server, as far as it is known.
func (registry *Registry) Holder(server string) (Host, bool) {
	seen, found := registry.holders[server]
	if _, own := registry.claims[server]; own {
		return registry.self, true
	}
	if !found || seen.row.Released {
		return Host{}, false
	}
	host, found := registry.hosts[seen.row.Host]
	return host.host, found
}

// HeldServers returns the servers that the host holds, in order.
func (registry *Registry) HeldServers() []string { return value.Sorted(registry.claims) }

// Hosts returns all hosts that have a row, in order of their names.
func (registry *Registry) Hosts() []Host {
	hosts := make([]Host, 0, len(registry.hosts))
	for _, name := range value.Sorted(registry.hosts) {
		hosts = append(hosts, registry.hosts[name].host)
	}
	return hosts
}

// aliveHosts returns the hosts whose rows have changed lately, and this host. Only the time between answers of the store
// counts: a host that cannot read it must not take itself for the only one.
func (registry *Registry) aliveHosts() []string {
	names := []string{registry.self.Name}
	for name, seen := range registry.hosts {
		if name != registry.self.Name && registry.scannedAt.Sub(seen.since) < aliveFor {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// Expulsion returns the transaction that removes a host whose lease has surely ended, if there is one.
func (registry *Registry) Expulsion() (lentilproxy.Transaction, string, bool) {
	if !registry.joined || registry.leaving {
		return lentilproxy.Transaction{}, "", false
	}
	for _, name := range value.Sorted(registry.hosts) {
		seen := registry.hosts[name]
		// Only the time between two answers of the store counts, so that an outage expels nobody.
		if name == registry.self.Name || registry.scannedAt.Sub(seen.since) < registry.ExpelAfter() {
			continue
		}
		key := Table + "/" + prefixHost + name
		return lentilproxy.Transaction{
			Conditions: []lentilproxy.Condition{{Key: key, Version: seen.version}},
			Writes:     []lentilproxy.Write{{Key: key, Delete: true}},
		}, name, true
	}
	return lentilproxy.Transaction{}, "", false
}

// Claims are servers to claim in one transaction.
type Claims struct {
	Transaction lentilproxy.Transaction
	Servers     []string
}

// Claims returns the servers that this host should claim now, out of those that need a holder.
func (registry *Registry) Claims(now time.Time, servers []string) (Claims, bool) {
	claims := Claims{}
	if !registry.Leased(now) || registry.leaving {
		return claims, false
	}
	own := lentilproxy.Condition{Key: Table + "/" + prefixHost + registry.self.Name, Version: registry.version}
	claims.Transaction.Conditions = []lentilproxy.Condition{own}
	alive := registry.aliveHosts()
	for _, server := range servers {
		if len(claims.Servers) >= maxClaims {
			break
		}
		if _, held := registry.claims[server]; held || !registry.shouldClaim(now, server, alive) {
			continue
		}
		key := Table + "/" + prefixHolder + server
		claims.Transaction.Conditions = append(claims.Transaction.Conditions,
			lentilproxy.Condition{Key: key, Version: registry.holders[server].version})
		claims.Transaction.Writes = append(claims.Transaction.Writes,
			lentilproxy.Write{Key: key, Value: encode(holderRow{Host: registry.self.Name})})
		claims.Servers = append(claims.Servers, server)
	}
	return claims, len(claims.Servers) > 0
}

// shouldClaim says whether this host is the one to claim a server.
func (registry *Registry) shouldClaim(now time.Time, server string, alive []string) bool {
	seen, found := registry.holders[server]
	if found && seen.row.Host == registry.self.Name {
		// Held by an earlier run of this host, or by this run before it was expelled.
		return true
	}
	if now.Sub(registry.joinedAt) < joinDelay {
		return false
	}
	if found && seen.row.Released && now.Sub(seen.since) < registry.gap+margin {
		// Its claim has to allow orders at once, also to a host that starts again right after it.
		return false
	}
	if found && !seen.row.Released {
		if _, present := registry.hosts[seen.row.Host]; present {
			return false
		}
	}
	return Preferred(server, alive) == registry.self.Name
}

// Claimed takes in that claims have taken effect with a version.
func (registry *Registry) Claimed(now time.Time, claims Claims, version int64) {
	for _, server := range claims.Servers {
		registry.claims[server] = version
		registry.holders[server] = observedHolder{row: holderRow{Host: registry.self.Name}, version: version, since: now}
	}
}

// Release ends all orders of this host and returns the transaction that hands its servers over. The host takes no
// more of them.
func (registry *Registry) Release() (lentilproxy.Transaction, bool) {
	registry.leaving = true
	if !registry.joined {
		return lentilproxy.Transaction{}, false
	}
	ownKey := Table + "/" + prefixHost + registry.self.Name
	transaction := lentilproxy.Transaction{Conditions: []lentilproxy.Condition{{Key: ownKey, Version: registry.version}}}
	held := registry.HeldServers()
	if released := maxEntries - 2; len(held) <= released {
		transaction.Writes = append(transaction.Writes, lentilproxy.Write{Key: ownKey, Delete: true})
	} else {
		// The host's row stays, so that the servers left over are taken over only after its lease.
		held = held[:released]
	}
	for _, server := range held {
		transaction.Writes = append(transaction.Writes, lentilproxy.Write{
			Key: Table + "/" + prefixHolder + server, Value: encode(holderRow{Host: registry.self.Name, Released: true}),
		})
	}
	clear(registry.claims)
	return transaction, true
}

// Cleanup returns the transaction that removes rows of servers that are gone, out of those held by this host.
func (registry *Registry) Cleanup(present func(server string) bool) (lentilproxy.Transaction, bool) {
	transaction := lentilproxy.Transaction{}
	for _, server := range registry.HeldServers() {
		if present(server) || len(transaction.Writes) >= maxClaims {
			continue
		}
		key := Table + "/" + prefixHolder + server
		transaction.Conditions = append(transaction.Conditions, lentilproxy.Condition{Key: key, Version: registry.claims[server]})
		transaction.Writes = append(transaction.Writes, lentilproxy.Write{Key: key, Delete: true})
		delete(registry.claims, server)
	}
	return transaction, len(transaction.Writes) > 0
}

// Preferred returns the host that comes first for a server, by rendezvous hashing.
func Preferred(server string, hosts []string) string {
	best, score := "", uint64(0)
	for _, host := range hosts {
		if rank := xxhash.Sum64String(server + "\x00" + host); best == "" || rank > score {
			best, score = host, rank
		}
	}
	return best
}

func encode(content any) []byte {
	encoded, err := json.Marshal(content)
	if err != nil {
		panic("a row of the project's own cannot be encoded: " + err.Error())
	}
	return encoded
}
