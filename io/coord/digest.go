package coord

import (
	"context"
	"encoding/json"
	"time"

	"lentilproxy"
	"lentilproxy/core/guard"
	"lentilproxy/core/sched"
	"lentilproxy/core/slots"
	"lentilproxy/core/value"
	"lentilproxy/io/clock"
	"lentilproxy/io/loans"

	"github.com/samber/oops"
)

// Methods between hosts.
const (
	methodDigest = "fleet.digest"
	methodRows   = "fleet.rows"
	methodLoad   = "fleet.load"
	methodDeath  = "fleet.death"
)

const (
	// digestInterval is the time between two digests to each peer: it decides how old the load is that a host sees.
	digestInterval = slots.DefaultDelay
	// maxDigests bounds the digests of one turn; with more peers, each of them is told less often.
	maxDigests = 10
	// rowsInterval and fleetInterval are the least times between two questions for rows of a table: the rows of hosts
	// change with every renewal.
	rowsInterval  = 100 * time.Millisecond
	fleetInterval = 600 * time.Millisecond
	// peerTimeout bounds a call between hosts.
	peerTimeout = 400 * time.Millisecond
	// fullEvery is the number of digests after which one tells everything again.
	fullEvery = 15
)

// digest is what a host tells its peers.
type digest struct {
	Host string `json:"host"`
	// Newest holds the newest row version that the host knows of each table.
	Newest map[string]int64 `json:"newest"`
	// Usage is what the host's requests take on servers.
	Usage map[string]sched.Usage `json:"usage,omitempty"`
	// Used counts requests for adapters on servers that the receiver holds.
	Used map[string]map[string]float64 `json:"used,omitempty"`
	// Running counts the sender's running requests for adapters on servers that the receiver holds.
	Running map[string]map[string]int `json:"running,omitempty"`
	// Held is what servers have loaded that the sender holds, if it has changed.
	Held map[string]heldUpdate `json:"held,omitempty"`
}

type heldUpdate struct {
	Born int64      `json:"born"`
	Held sched.Held `json:"held"`
}

// proof says that a host knows a table up to a version, which was the newest one some time ago.
type proof struct {
	Newest int64 `json:"newest"`
	AgeMS  int64 `json:"age_ms"`
}

type digestResult struct {
	Proofs map[string]proof `json:"proofs"`
}

type rowsParams struct {
	// After holds the newest row version that the asking host knows of each table that it asks for.
	After map[string]int64 `json:"after"`
}

type rowsResult struct {
	Rows   map[string][]lentilproxy.Row `json:"rows"`
	Proofs map[string]proof             `json:"proofs"`
}

type deathParams struct {
	Death guard.Death `json:"death"`
}

// peerState is what the host knows of one peer.
type peerState struct {
	name    string
	address string
	// busy says that a call is under way.
	busy bool
	// told are the revisions of controllers that the peer was told.
	told  map[string]int64
	count int
	lost  bool
}

// updatePeers takes in the hosts of the last scan.
func (control *control) updatePeers(now time.Time) {
	present := map[string]bool{}
	for _, host := range control.registry.Hosts() {
		if host.Name == control.coordinator.settings.Host.Name {
			continue
		}
		present[host.Name] = true
		known := control.peers[host.Name]
		if known == nil {
			control.coordinator.log.Info("peer known", "peer", host.Name, "address", host.PeerAddress, "data_centre", host.DataCentre)
		}
		if known == nil || known.address != host.PeerAddress {
			control.peers[host.Name] = &peerState{name: host.Name, address: host.PeerAddress, told: map[string]int64{}}
		}
	}
	for name := range control.peers {
		if !present[name] {
			delete(control.peers, name)
			control.coordinator.log.Info("peer gone", "peer", name)
		}
	}
	control.coordinator.traffic.members(now, control.registry, control.peers)
}

// sendDigests tells every peer at a steady pace what has changed.
func (control *control) sendDigests() {
	coordinator := control.coordinator
	for coordinator.pause(digestInterval) {
		coordinator.do(func(now time.Time) {
			used, running := coordinator.traffic.takeUsed(), coordinator.traffic.runningOn()
			control.countUsed(now, used)
			control.countRunning(now, coordinator.settings.Host.Name, running)
			for server, adapters := range used {
				if control.controllers[server] == nil {
					for adapter, number := range adapters {
						count(control.untold, server, adapter, number)
					}
				}
			}
			for _, peer := range control.turn() {
				control.tell(peer, running)
			}
			control.shareLimits(now)
			coordinator.traffic.exchange(now)
		})
	}
}

// turn returns the peers to tell now, all of them unless there are many.
func (control *control) turn() []*peerState {
	names := value.Sorted(control.peers)
	peers := make([]*peerState, 0, min(len(names), maxDigests))
	for range min(len(names), maxDigests) {
		control.nextTold %= len(names)
		peers = append(peers, control.peers[names[control.nextTold]])
		control.nextTold++
	}
	return peers
}

// digestDelay returns the time in which every peer is told once.
func (control *control) digestDelay() time.Duration {
	turns := max(1, (len(control.peers)+maxDigests-1)/maxDigests)
	return time.Duration(turns) * digestInterval
}

// countUsed counts requests on servers that this host holds.
func (control *control) countUsed(now time.Time, used map[string]map[string]float64) {
	for server, adapters := range used {
		if controller := control.controllers[server]; controller != nil {
			for adapter, count := range adapters {
				controller.slots.Used(now, adapter, count)
			}
		}
	}
}

// countRunning takes in what requests of a host run on servers that this host holds.
func (control *control) countRunning(now time.Time, host string, running map[string]map[string]int) {
	for server, controller := range control.controllers {
		controller.slots.Running(now, host, running[server])
	}
}

func (control *control) tell(peer *peerState, running map[string]map[string]int) {
	if peer.busy {
		return
	}
	peer.busy = true
	peer.count++
	if peer.count%fullEvery == 1 {
		clear(peer.told)
	}
	message := digest{
		Host: control.coordinator.settings.Host.Name, Newest: map[string]int64{},
		Usage: control.coordinator.traffic.usage(), Used: map[string]map[string]float64{}, Running: map[string]map[string]int{}, Held: map[string]heldUpdate{},
	}
	for _, table := range control.tables() {
		message.Newest[table.table] = table.Newest()
	}
	for server := range control.coordinator.View().Servers {
		if holder, found := control.registry.Holder(server); !found || holder.Name != peer.name {
			continue
		}
		if len(control.untold[server]) > 0 {
			message.Used[server] = control.untold[server]
			delete(control.untold, server)
		}
		if len(running[server]) > 0 {
			message.Running[server] = running[server]
		}
	}
	told := map[string]int64{}
	for name, controller := range control.controllers {
		if controller.revision > peer.told[name] {
			message.Held[name] = heldUpdate{Born: controller.server.Born, Held: controller.published}
			told[name] = controller.revision
		}
	}
	go control.deliver(peer, message, told)
}

func (control *control) deliver(peer *peerState, message digest, told map[string]int64) {
	coordinator := control.coordinator
	ctx, cancel := context.WithTimeout(coordinator.ctx, peerTimeout)
	defer cancel()
	var result digestResult
	sentAt := clock.Now()
	err := coordinator.peers.Call(ctx, peer.address, methodDigest, message, &result)
	coordinator.post(func(now time.Time) {
		peer.busy = false
		if err == nil {
			control.membership.Acked(sentAt, peer.name)
		}
		if (err != nil) != peer.lost {
			peer.lost = err != nil
			control.logPeer(peer, err)
		}
		if err != nil {
			return
		}
		for name, revision := range told {
			peer.told[name] = max(peer.told[name], revision)
		}
		control.compare(now, sentAt, peer, result.Proofs)
	})
}

func (control *control) logPeer(peer *peerState, err error) {
	if err != nil {
		control.coordinator.log.Info("dependency lost", "dependency", "peer", "peer", peer.name, "error", err.Error())
		return
	}
	control.coordinator.log.Info("dependency regained", "dependency", "peer", "peer", peer.name)
}

// compare takes in a peer's proofs about tables that this host knows as well, and asks for the rows of the others.
func (control *control) compare(now, askedAt time.Time, peer *peerState, proofs map[string]proof) {
	params := rowsParams{After: map[string]int64{}}
	for _, table := range control.tables() {
		known, found := proofs[table.table]
		switch {
		case !found:
		case known.Newest > table.Newest():
			if !table.pulling && now.Sub(table.pulledAt) >= table.pullInterval {
				table.pulling, table.pulledAt = true, now
				params.After[table.table] = table.Newest()
			}
		case known.AgeMS >= 0:
			control.took(now, askedAt.Add(-time.Duration(known.AgeMS)*time.Millisecond), table, false)
		}
	}
	if len(params.After) > 0 {
		go control.pull(peer, params)
	}
}

// compareNewest asks a peer for rows that it has announced.
func (control *control) compareNewest(peer *peerState, newest map[string]int64) {
	proofs := map[string]proof{}
	for table, version := range newest {
		// What a message says of its age cannot be told, as it may have been under way for long.
		proofs[table] = proof{Newest: version, AgeMS: -1}
	}
	control.compare(clock.Now(), time.Time{}, peer, proofs)
}

// pull asks a peer for rows.
func (control *control) pull(peer *peerState, params rowsParams) {
	coordinator := control.coordinator
	ctx, cancel := context.WithTimeout(coordinator.ctx, peerTimeout)
	defer cancel()
	askedAt := clock.Now()
	var result rowsResult
	err := coordinator.peers.Call(ctx, peer.address, methodRows, params, &result)
	coordinator.post(func(now time.Time) {
		for _, table := range control.tables() {
			if _, asked := params.After[table.table]; asked {
				table.pulling = false
			}
		}
		if err != nil {
			return
		}
		for _, table := range control.tables() {
			provenAt := table.provenAt
			if known := result.Proofs[table.table]; known.AgeMS >= 0 && known.Newest > 0 {
				provenAt = askedAt.Add(-time.Duration(known.AgeMS) * time.Millisecond)
			}
			rows, asked := result.Rows[table.table]
			if !asked {
				continue
			}
			changed := table.Merge(rows)
			if changed && table.table != control.fleet.table {
				coordinator.log.Info("rows from a peer", "peer", peer.name, "table", table.table, "rows", len(rows), "version", table.Newest())
			}
			control.took(now, provenAt, table, changed)
		}
	})
}

// proofs returns what this host can prove of its mirrors.
func (control *control) proofs(now time.Time) map[string]proof {
	proofs := map[string]proof{}
	for _, table := range control.tables() {
		age := int64(-1)
		if !table.provenAt.IsZero() {
			// Rounded up, so that no proof becomes younger by being told.
			age = now.Sub(table.provenAt).Milliseconds() + 1
		}
		proofs[table.table] = proof{Newest: table.Newest(), AgeMS: age}
	}
	return proofs
}

// handle answers a call of a peer.
func (control *control) handle(ctx context.Context, method string, params json.RawMessage) (any, error) {
	switch method {
	case methodDigest:
		return answer(params, control.takeDigest)
	case methodRows:
		return answer(params, control.rowsSince)
	case methodLoad:
		return answer(params, func(params loadParams) loadResult { return control.load(ctx, params) })
	case loans.MethodBorrow:
		return answer(params, control.coordinator.traffic.loans.Lend)
	case loans.MethodGiveBack:
		return answer(params, control.coordinator.traffic.loans.TakeBack)
	case methodDeath:
		return answer(params, control.coordinator.traffic.takeDeath)
	default:
		return nil, oops.Code("unknown_method").Errorf("unknown method %q", method)
	}
}

func answer[P, R any](params json.RawMessage, serve func(P) R) (any, error) {
	var decoded P
	if err := json.Unmarshal(params, &decoded); err != nil {
		return nil, oops.Code("bad_params").Wrap(err)
	}
	return serve(decoded), nil
}

func (control *control) takeDigest(message digest) digestResult {
	var result digestResult
	control.coordinator.do(func(now time.Time) {
		control.countUsed(now, message.Used)
		control.countRunning(now, message.Host, message.Running)
		control.membership.Heard(now, message.Host)
		// The answer allows the sender its share, so that this host must have given it up before.
		control.shareLimits(now)
		control.coordinator.traffic.peer(now, message)
		result = digestResult{Proofs: control.proofs(now)}
		if peer := control.peers[message.Host]; peer != nil {
			control.compareNewest(peer, message.Newest)
		}
	})
	return result
}

func (control *control) rowsSince(params rowsParams) rowsResult {
	var result rowsResult
	control.coordinator.do(func(now time.Time) {
		result = rowsResult{Rows: map[string][]lentilproxy.Row{}, Proofs: control.proofs(now)}
		for _, table := range control.tables() {
			if after, asked := params.After[table.table]; asked {
				result.Rows[table.table] = table.Since(after)
			}
		}
	})
	return result
}
