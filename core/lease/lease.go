// Package lease decides which host is the lease holder of each backend server. Only the lease holder gives the server
// orders, such as to load an adapter.
//
// Every host has one row in the store and renews it. A server's row names its lease holder; the version of that row is
// the fencing token of the orders. A host whose row has not changed for ExpelAfter is expelled: its row is removed on
// the condition that it has still not changed. The next renewal of the host then fails, and other hosts claim its
// servers. The same transaction writes a row that names the host as a former one for FormerTTL, since it may still run,
// and hosts that start meanwhile have to know of it. A lease counts from the time at which its renewal was sent, so a
// host that was paused or isolated has stopped giving orders at least Gap before another host starts.
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
	// Table is the store's table of hosts and lease holders.
	Table = "fleet"
	// RenewInterval is the time between two renewals. Two of them may be lost before a lease ends.
	RenewInterval = 2 * time.Second
	// Term is how long a host's lease lasts after a renewal. It is longer than most outages of the store, so that these
	// do not stop the loading of adapters.
	Term = 6 * time.Second
	// Gap is the minimum time between the last order of a lease holder and the first order of its successor. Settings
	// may lengthen it.
	Gap = 3 * time.Second
	// margin covers message delays and differences between clock rates.
	margin = 500 * time.Millisecond
	// aliveFor is how long a host counts as alive for claims after its row has changed.
	aliveFor = 3*RenewInterval + margin
	// maxEntries is the greatest number of entries, conditions and writes together, in one transaction of the store.
	maxEntries = 100
	// maxClaims bounds the servers claimed in one transaction, which has two entries for each server and one for the
	// host.
	maxClaims = (maxEntries - 1) / 2
	// joinDelay is how long a host that has joined does not claim servers that it did not hold before, so that other
	// hosts that start at the same time are counted when the servers are divided.
	joinDelay = 2 * time.Second
	// FormerTTL is how long an expelled host has a row as a former host.
	FormerTTL = time.Minute

	prefixHost   = "host:"
	prefixHolder = "holder:"
	prefixFormer = "former:"
)

// Host is the row of one host.
type Host struct {
	Name        string `json:"name"`
	DataCentre  string `json:"data_centre"`
	PeerAddress string `json:"peer_address"`
	// Processor is the number of processor cores that the host has; 0 if its settings do not state it.
	Processor float64 `json:"processor,omitempty"`
	// RunID identifies one start of the host's process, and HeartbeatSeq counts its renewals.
	RunID        string `json:"run"`
	HeartbeatSeq int64  `json:"beat"`
}

// holderRow is the row of one backend server.
type holderRow struct {
	Host string `json:"host"`
	// Released reports whether the host has given its last order.
	Released bool `json:"released,omitempty"`
}

type observedHost struct {
	host    Host
	version int64
	// since is when this version was first observed.
	since time.Time
}

// formerRow is the row of an expelled host.
type formerRow struct {
	Host string `json:"host"`
}

type observedFormer struct {
	version int64
	since   time.Time
}

type observedHolder struct {
	row     holderRow
	version int64
	since   time.Time
}

// Registry is one host's view of the leases. It is not safe for concurrent use.
type Registry struct {
	self    Host
	gap     time.Duration
	version int64
	// joined reports whether the host's own row of this run is in the store.
	joined bool
	// leaseUntil is the end of the host's own lease.
	leaseUntil time.Time
	joinedAt   time.Time
	// renewedAt is when the last renewal was confirmed.
	renewedAt time.Time
	hosts     map[string]observedHost
	holders   map[string]observedHolder
	// former maps expelled hosts to their rows.
	former map[string]observedFormer
	// claims maps the servers that this host holds to the fencing tokens of its orders.
	claims map[string]int64
	// scannedAt is when the relevant content of the rows was known to be current, and readAt when the versions of all rows were.
	scannedAt time.Time
	readAt    time.Time
	// leaving is set once the host has released its servers.
	leaving bool
}

// New returns the registry of a host that has not joined yet.
func New(self Host, gap time.Duration) *Registry {
	return &Registry{
		self: self, gap: max(gap, Gap), hosts: map[string]observedHost{}, holders: map[string]observedHolder{}, former: map[string]observedFormer{},
		claims: map[string]int64{},
	}
}

// ExpelAfter is how long a row has to stay unchanged before its host is expelled.
func (registry *Registry) ExpelAfter() time.Duration { return Term + registry.gap + margin }

// Content returns a hash of the relevant content of a row. A renewal changes nothing else than the version and the number of
// renewals of a host's row; only hosts that read the table to expel others need these.
func Content(row lentilproxy.Row) uint64 {
	var host Host
	if !strings.HasPrefix(row.Key, prefixHost) || json.Unmarshal(row.Value, &host) != nil {
		return uint64(row.Version)
	}
	host.HeartbeatSeq = 0
	return xxhash.Sum64(encode(host))
}

// Observe applies the rows of a scan of the table that was requested at sentAt.
func (registry *Registry) Observe(sentAt, now time.Time, rows []lentilproxy.Row) {
	registry.ObserveContent(sentAt, sentAt, now, rows)
}

// ObserveContent applies rows whose relevant content is known as of sentAt, and their versions as of readAt, which is when the host
// last read all changes itself.
func (registry *Registry) ObserveContent(sentAt, readAt, now time.Time, rows []lentilproxy.Row) {
	hosts, holders, former := map[string]observedHost{}, map[string]observedHolder{}, map[string]observedFormer{}
	for _, row := range rows {
		if name, found := strings.CutPrefix(row.Key, prefixHost); found {
			if observed, valid := registry.observeHost(now, name, row); valid {
				hosts[name] = observed
			}
		}
		if server, found := strings.CutPrefix(row.Key, prefixHolder); found {
			if observed, valid := registry.observeHolder(now, server, row); valid {
				holders[server] = observed
			}
		}
		if name, found := strings.CutPrefix(row.Key, prefixFormer); found {
			former[name] = registry.observeFormer(now, name, row)
		}
	}
	registry.hosts, registry.holders, registry.former, registry.scannedAt = hosts, holders, former, sentAt
	registry.readAt = readAt
	registry.reconcile()
}

// observeHost returns the row of a host and since when it has been unchanged. It is not valid if it cannot be read.
func (registry *Registry) observeHost(now time.Time, name string, row lentilproxy.Row) (observed observedHost, valid bool) {
	observed = observedHost{version: row.Version, since: now}
	if json.Unmarshal(row.Value, &observed.host) != nil || observed.host.Name != name {
		return observed, false
	}
	if known, exists := registry.hosts[name]; exists && known.version == row.Version {
		observed.since = known.since
	}
	return observed, true
}

func (registry *Registry) observeHolder(now time.Time, server string, row lentilproxy.Row) (observed observedHolder, valid bool) {
	observed = observedHolder{version: row.Version, since: now}
	if json.Unmarshal(row.Value, &observed.row) != nil {
		return observed, false
	}
	if known, exists := registry.holders[server]; exists && known.version == row.Version {
		observed.since = known.since
	}
	return observed, true
}

func (registry *Registry) observeFormer(now time.Time, name string, row lentilproxy.Row) observedFormer {
	if known, exists := registry.former[name]; exists && known.version == row.Version {
		return known
	}
	return observedFormer{version: row.Version, since: now}
}

// reconcile brings the host's own lease and its claims in line with the observed rows.
func (registry *Registry) reconcile() {
	own, found := registry.hosts[registry.self.Name]
	if !found || own.host.RunID != registry.self.RunID {
		// A scan requested before the last renewal was confirmed may not contain it.
		if registry.joined && registry.scannedAt.After(registry.renewedAt) {
			registry.loseLease()
		}
	} else if own.version > registry.version {
		// A renewal has taken effect, but its response was lost.
		registry.version, registry.joined = own.version, true
	}
	for server, token := range registry.claims {
		if observed, found := registry.holders[server]; found && observed.version > token {
			delete(registry.claims, server)
		}
	}
}

// loseLease ends the host's own lease and all its claims.
func (registry *Registry) loseLease() {
	registry.joined, registry.version, registry.leaseUntil = false, 0, time.Time{}
	clear(registry.claims)
}

// Renewal returns the transaction that adds the host's row or renews it.
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

// Renewed records that the renewal sent at sentAt has been confirmed, and the version that it gave to the row.
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

// RenewalRefused records the rows that conflicted with a renewal. It reports whether the host has lost its lease.
func (registry *Registry) RenewalRefused(now time.Time, rows []lentilproxy.Row) bool {
	for _, row := range rows {
		var host Host
		if row.Version > 0 && json.Unmarshal(row.Value, &host) == nil && host.RunID == registry.self.RunID {
			// The row is from an earlier renewal of this run whose response was lost.
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

// Joined reports whether the host's own row of this run is in the store, as far as the store's responses show.
func (registry *Registry) Joined() bool { return registry.joined }

// Leased reports whether the host's own lease is in force.
func (registry *Registry) Leased(now time.Time) bool {
	return registry.joined && now.Before(registry.leaseUntil)
}

// ScannedAt returns when the last observed scan was requested.
func (registry *Registry) ScannedAt() time.Time { return registry.scannedAt }

// FencingToken returns the fencing token for orders to a server, and reports whether the host may give them now.
func (registry *Registry) FencingToken(now time.Time, server string) (int64, bool) {
	token, found := registry.claims[server]
	return token, found && registry.Leased(now)
}

// Holder returns the lease holder of a server, if it is known.
func (registry *Registry) Holder(server string) (Host, bool) {
	observed, found := registry.holders[server]
	if _, own := registry.claims[server]; own {
		return registry.self, true
	}
	if !found || observed.row.Released {
		return Host{}, false
	}
	host, found := registry.hosts[observed.row.Host]
	return host.host, found
}

// HeldServers returns the servers that the host holds, in order of their names.
func (registry *Registry) HeldServers() []string { return value.Sorted(registry.claims) }

// Hosts returns all hosts that have a row, in order of their names.
func (registry *Registry) Hosts() []Host {
	hosts := make([]Host, 0, len(registry.hosts))
	for _, name := range value.Sorted(registry.hosts) {
		hosts = append(hosts, registry.hosts[name].host)
	}
	return hosts
}

// FormerHosts returns the hosts that were expelled within FormerTTL and have not joined again, in order of their names.
func (registry *Registry) FormerHosts() []string {
	names := make([]string, 0, len(registry.former))
	for _, name := range value.Sorted(registry.former) {
		if _, present := registry.hosts[name]; !present {
			names = append(names, name)
		}
	}
	return names
}

// aliveHosts returns the hosts whose rows have changed recently, and this host. Only the time between responses of the
// store counts: a host that cannot read the store must not treat itself as the only one.
func (registry *Registry) aliveHosts() []string {
	names := []string{registry.self.Name}
	for name, observed := range registry.hosts {
		if name != registry.self.Name && registry.readAt.Sub(observed.since) < aliveFor {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// Expulsion returns the transaction that removes a host whose lease is certain to have ended, and the name of that
// host, if there is one.
func (registry *Registry) Expulsion() (lentilproxy.Transaction, string, bool) {
	if !registry.joined || registry.leaving {
		return lentilproxy.Transaction{}, "", false
	}
	for _, name := range value.Sorted(registry.hosts) {
		observed := registry.hosts[name]
		// Only the time between two reads by this host counts, so that an outage of the store expels no host. A host that does not read
		// the versions of the rows, but relies on proofs of their content, expels none.
		if name == registry.self.Name || registry.readAt.Sub(observed.since) < registry.ExpelAfter() {
			continue
		}
		key := Table + "/" + prefixHost + name
		return lentilproxy.Transaction{
			Conditions: []lentilproxy.Condition{{Key: key, Version: observed.version}},
			Writes: []lentilproxy.Write{
				{Key: key, Delete: true},
				{Key: Table + "/" + prefixFormer + name, Value: encode(formerRow{Host: name})},
			},
		}, name, true
	}
	return lentilproxy.Transaction{}, "", false
}

// FormerCleanup returns the transaction that removes the row of a former host after FormerTTL, if there is one.
func (registry *Registry) FormerCleanup() (lentilproxy.Transaction, bool) {
	if !registry.joined || registry.leaving {
		return lentilproxy.Transaction{}, false
	}
	transaction := lentilproxy.Transaction{}
	for _, name := range value.Sorted(registry.former) {
		observed := registry.former[name]
		if registry.scannedAt.Sub(observed.since) < FormerTTL || len(transaction.Writes) >= maxEntries/2 {
			continue
		}
		key := Table + "/" + prefixFormer + name
		transaction.Conditions = append(transaction.Conditions, lentilproxy.Condition{Key: key, Version: observed.version})
		transaction.Writes = append(transaction.Writes, lentilproxy.Write{Key: key, Delete: true})
	}
	return transaction, len(transaction.Writes) > 0
}

// Claims are servers to claim in one transaction.
type Claims struct {
	Transaction lentilproxy.Transaction
	Servers     []string
}

// Claims returns the servers that this host should claim now, out of those that need a lease holder.
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

// shouldClaim reports whether this host is the one to claim a server.
func (registry *Registry) shouldClaim(now time.Time, server string, alive []string) bool {
	observed, found := registry.holders[server]
	if found && observed.row.Host == registry.self.Name {
		// The server was held by an earlier run of this host, or by this run before it was expelled.
		return true
	}
	if now.Sub(registry.joinedAt) < joinDelay {
		return false
	}
	if found && observed.row.Released && now.Sub(observed.since) < registry.gap+margin {
		// A claim allows its holder to give orders immediately, even if the holder's process restarts after the claim.
		// So the gap has to pass before the claim.
		return false
	}
	if found && !observed.row.Released {
		if _, present := registry.hosts[observed.row.Host]; present {
			return false
		}
	}
	return Preferred(server, alive) == registry.self.Name
}

// Claimed records that claims have taken effect, and the version of the rows.
func (registry *Registry) Claimed(now time.Time, claims Claims, version int64) {
	for _, server := range claims.Servers {
		registry.claims[server] = version
		registry.holders[server] = observedHolder{row: holderRow{Host: registry.self.Name}, version: version, since: now}
	}
}

// Release ends all orders of this host and returns the transaction that releases its servers to other hosts. The host
// claims no more servers after it.
func (registry *Registry) Release() (lentilproxy.Transaction, bool) {
	registry.leaving = true
	if !registry.joined {
		return lentilproxy.Transaction{}, false
	}
	ownKey := Table + "/" + prefixHost + registry.self.Name
	transaction := lentilproxy.Transaction{Conditions: []lentilproxy.Condition{{Key: ownKey, Version: registry.version}}}
	held, allNamed := registry.HeldServers(), true
	for _, server := range value.Sorted(registry.holders) {
		observed := registry.holders[server]
		if _, own := registry.claims[server]; own || observed.row.Host != registry.self.Name || observed.row.Released {
			continue
		}
		if allNamed = len(transaction.Conditions) < maxClaims; !allNamed {
			break
		}
		// An earlier run of this host held the server and may have given orders until recently. Without the host's row, another host
		// would claim an unreleased server at once.
		transaction.Conditions = append(transaction.Conditions, lentilproxy.Condition{Key: Table + "/" + prefixHolder + server, Version: observed.version})
		held = append(held, server)
	}
	if released := maxEntries - 1 - len(transaction.Conditions); allNamed && len(held) <= released {
		transaction.Writes = append(transaction.Writes, lentilproxy.Write{Key: ownKey, Delete: true})
	} else {
		// The host's row stays, so that other hosts claim the remaining servers only after its lease has ended.
		held = held[:min(len(held), released)]
	}
	for _, server := range held {
		transaction.Writes = append(transaction.Writes, lentilproxy.Write{
			Key: Table + "/" + prefixHolder + server, Value: encode(holderRow{Host: registry.self.Name, Released: true}),
		})
	}
	clear(registry.claims)
	return transaction, true
}

// Cleanup returns the transaction that removes the rows of deregistered servers, out of those held by this host.
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

// Preferred returns the host that ranks first for a server by rendezvous hashing.
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
		panic("cannot encode a lease row: " + err.Error())
	}
	return encoded
}
