package coord

import (
	"context"
	"encoding/json"
	"time"

	"lentilproxy"
	"lentilproxy/core/guard"
	"lentilproxy/core/limit"
	"lentilproxy/core/sched"
	"lentilproxy/io/clock"

	"github.com/samber/oops"
)

// Methods between hosts.
const (
	methodDigest = "fleet.digest"
	methodRows   = "fleet.rows"
	methodWant   = "fleet.want"
	methodBorrow = "fleet.borrow"
	methodReturn = "fleet.return"
	methodDeath  = "fleet.death"
)

const (
	// digestInterval is the time between two digests to each peer: it decides how old the load is that a host sees.
	digestInterval = 200 * time.Millisecond
	// peerTimeout bounds a call between hosts.
	peerTimeout = 400 * time.Millisecond
	// fullEvery is the number of digests after which one tells everything again.
	fullEvery = 15
)

// digest is what a host tells its peers.
type digest struct {
	Host string `json:"host"`
	// Operators and Servers are the newest row versions that the host knows.
	Operators int64 `json:"operators"`
	Servers   int64 `json:"servers"`
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

type digestResult struct {
	Operators int64 `json:"operators"`
	Servers   int64 `json:"servers"`
}

type rowsParams struct {
	Operators int64 `json:"operators"`
	Servers   int64 `json:"servers"`
}

type rowsResult struct {
	Operators []lentilproxy.Row `json:"operators,omitempty"`
	Servers   []lentilproxy.Row `json:"servers,omitempty"`
}

type borrowParams struct {
	Host string      `json:"host"`
	Asks []limit.Ask `json:"asks"`
}

type borrowResult struct {
	Grants []limit.Grant `json:"grants"`
}

type returnParams struct {
	Host    string         `json:"host"`
	Returns []limit.Return `json:"returns"`
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
	// told are the revisions of keepers that the peer was told.
	told  map[string]int64
	count int
	lost  bool
	// pulling says that rows are being asked for.
	pulling bool
}

// updatePeers takes in the hosts of the last scan.
func (control *control) updatePeers(now time.Time) {
	present := map[string]bool{}
	for _, host := range control.book.Hosts() {
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
	control.coordinator.traffic.members(now, control.book, control.peers)
}

// sendDigests tells every peer at a steady pace what has changed.
func (control *control) sendDigests() {
	coordinator := control.coordinator
	for coordinator.pause(digestInterval) {
		coordinator.do(func(now time.Time) {
			used, running := coordinator.traffic.takeUsed(), coordinator.traffic.runningOn()
			control.countUsed(now, used)
			control.countRunning(now, coordinator.settings.Host.Name, running)
			for _, peer := range control.peers {
				control.tell(peer, used, running)
			}
			control.shareLimits(now)
			coordinator.traffic.exchange(now)
		})
	}
}

// countUsed counts requests on servers that this host holds.
func (control *control) countUsed(now time.Time, used map[string]map[string]float64) {
	for server, adapters := range used {
		if keeper := control.keepers[server]; keeper != nil {
			for adapter, count := range adapters {
				keeper.slots.Used(now, adapter, count)
			}
		}
	}
}

// countRunning takes in what requests of a host run on servers that this host holds.
func (control *control) countRunning(now time.Time, host string, running map[string]map[string]int) {
	for server, keeper := range control.keepers {
		keeper.slots.Running(now, host, running[server])
	}
}

func (control *control) tell(peer *peerState, used map[string]map[string]float64, running map[string]map[string]int) {
	if peer.busy {
		return
	}
	peer.busy = true
	peer.count++
	if peer.count%fullEvery == 1 {
		clear(peer.told)
	}
	message := digest{
		Host: control.coordinator.settings.Host.Name, Operators: control.operators.Newest(), Servers: control.servers.Newest(),
		Usage: control.coordinator.traffic.usage(), Used: map[string]map[string]float64{}, Running: map[string]map[string]int{}, Held: map[string]heldUpdate{},
	}
	for server := range control.coordinator.View().Servers {
		if holder, found := control.book.Holder(server); !found || holder.Name != peer.name {
			continue
		}
		if len(used[server]) > 0 {
			message.Used[server] = used[server]
		}
		if len(running[server]) > 0 {
			message.Running[server] = running[server]
		}
	}
	told := map[string]int64{}
	for name, keeper := range control.keepers {
		if keeper.revision > peer.told[name] {
			message.Held[name] = heldUpdate{Born: keeper.server.Born, Held: keeper.published}
			told[name] = keeper.revision
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
	coordinator.post(func(time.Time) {
		peer.busy = false
		if err == nil {
			control.crowd.Acked(sentAt, peer.name)
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
		control.compare(peer, result.Operators, result.Servers)
	})
}

func (control *control) logPeer(peer *peerState, err error) {
	if err != nil {
		control.coordinator.log.Info("dependency lost", "dependency", "peer", "peer", peer.name, "error", err.Error())
		return
	}
	control.coordinator.log.Info("dependency regained", "dependency", "peer", "peer", peer.name)
}

// compare asks a peer for rows that it knows and this host does not.
func (control *control) compare(peer *peerState, operators, servers int64) {
	// Servers change all the time; a peer's rows of them matter only while the store cannot be read.
	_, tableServers := control.coordinator.source.Tables()
	_, blind := control.outages[tableServers]
	newer := operators > control.operators.Newest() || (blind && servers > control.servers.Newest())
	if peer.pulling || !newer {
		return
	}
	peer.pulling = true
	params := rowsParams{Operators: control.operators.Newest(), Servers: control.servers.Newest()}
	go func() {
		ctx, cancel := context.WithTimeout(control.coordinator.ctx, peerTimeout)
		defer cancel()
		var result rowsResult
		err := control.coordinator.peers.Call(ctx, peer.address, methodRows, params, &result)
		control.coordinator.post(func(now time.Time) {
			peer.pulling = false
			if err != nil {
				return
			}
			changed := control.operators.Merge(result.Operators)
			changed = control.servers.Merge(result.Servers) || changed
			if changed {
				control.coordinator.log.Info("rows from a peer", "peer", peer.name, "operators", len(result.Operators), "servers", len(result.Servers),
					"version", control.operators.Newest())
				control.publish(now)
			}
		})
	}()
}

// handle answers a call of a peer.
func (control *control) handle(ctx context.Context, method string, params json.RawMessage) (any, error) {
	switch method {
	case methodDigest:
		return answer(params, control.takeDigest)
	case methodRows:
		return answer(params, control.rowsSince)
	case methodWant:
		return answer(params, func(params wantParams) wantResult { return control.want(ctx, params) })
	case methodBorrow:
		return answer(params, control.coordinator.traffic.lend)
	case methodReturn:
		return answer(params, control.coordinator.traffic.takeBack)
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
		control.crowd.Heard(now, message.Host)
		// The answer allows the sender its share, so that this host must have given it up before.
		control.shareLimits(now)
		control.coordinator.traffic.peer(now, message)
		result = digestResult{Operators: control.operators.Newest(), Servers: control.servers.Newest()}
		if peer := control.peers[message.Host]; peer != nil {
			control.compare(peer, message.Operators, message.Servers)
		}
	})
	return result
}

func (control *control) rowsSince(params rowsParams) rowsResult {
	var result rowsResult
	control.coordinator.do(func(time.Time) {
		result = rowsResult{Operators: control.operators.Since(params.Operators), Servers: control.servers.Since(params.Servers)}
	})
	return result
}
