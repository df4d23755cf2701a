package coord

import (
	"context"
	"time"

	"lentilproxy/core/sched"
	"lentilproxy/core/slots"
	"lentilproxy/core/value"
	"lentilproxy/io/clock"
)

const (
	// digestInterval is the time between two looks at which peers to exchange digests with: it decides how old the load is
	// that a host sees.
	digestInterval = slots.DefaultGossipDelay
	// maxExchanges is the number of peers with whom a host has an exchange in every interval; with more peers, each of
	// them has one less often.
	maxExchanges = 10
	// peerTimeout bounds a call between hosts.
	peerTimeout = 400 * time.Millisecond
	// fullEvery is the number of digests after which one tells everything again.
	fullEvery = 15
)

// digest is what two hosts tell each other in an exchange, one in the call and the other one in its answer.
type digest struct {
	Host string `json:"host"`
	// Number tells the digest from others of its host; Received is that of the last one from the receiver.
	Number   int64 `json:"number"`
	Received int64 `json:"received,omitempty"`
	// Members is the number of hosts that the sender divides limits over.
	Members int `json:"members"`
	// Newest holds the newest row version that the host knows of each table. An answer has proofs instead.
	Newest map[string]int64 `json:"newest,omitempty"`
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
	Born int64        `json:"born"`
	Held sched.Loaded `json:"held"`
}

// digestResult answers a digest. The digest is empty if the answering host does not know the asking one.
type digestResult struct {
	Proofs map[string]proof `json:"proofs"`
	Digest digest           `json:"digest"`
}

// peerState is what the host knows of one peer.
type peerState struct {
	name    string
	address string
	// busy says that a call is under way.
	busy bool
	// told are the revisions of controllers that the peer has surely been told.
	told  map[string]int64
	count int
	lost  bool
	// received is the number of the peer's last digest.
	received int64
	// answer is the last digest that went to the peer in an answer, until the peer tells whether it has got it.
	answer sentAnswer
}

// sentAnswer is a digest that was sent in an answer.
type sentAnswer struct {
	number int64
	sentAt time.Time
	told   map[string]int64
}

// knows says whether the peer knows a revision of a controller, or will know it if the last answer arrives.
func (peer *peerState) knows(controller string, revision int64) bool {
	return revision <= max(peer.told[controller], peer.answer.told[controller])
}

// confirm takes in which digest the peer got last. It says whether it was the one in the last answer, and when that was
// sent.
func (peer *peerState) confirm(received int64) (sentAt time.Time, confirmed bool) {
	answer := peer.answer
	peer.answer = sentAnswer{}
	if answer.number == 0 || answer.number != received {
		return time.Time{}, false
	}
	peer.learnt(answer.told)
	return answer.sentAt, true
}

// learnt takes in what the peer has surely been told.
func (peer *peerState) learnt(told map[string]int64) {
	for name, revision := range told {
		peer.told[name] = max(peer.told[name], revision)
	}
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
	control.gossip.SetPeers(now, value.Sorted(control.peers))
	control.coordinator.traffic.members(now, control.registry, control.peers)
}

// sendDigests calls the peers whose turn it is, at a steady pace.
func (control *control) sendDigests() {
	coordinator := control.coordinator
	for coordinator.pause(digestInterval) {
		coordinator.do(func(now time.Time) {
			control.collectUsed(now)
			control.running = coordinator.traffic.runningOn()
			control.countRunning(now, coordinator.settings.Host.Name, control.running)
			for _, name := range control.gossip.Due(now) {
				control.call(now, control.peers[name])
			}
			control.shareLimits(now)
			coordinator.traffic.exchange(now)
			for _, avoided := range coordinator.traffic.takeAvoided() {
				coordinator.log.Info("server avoided for its errors", "server", avoided.Server, "for_ms", avoided.Duration.Milliseconds(),
					"times", avoided.Consecutive, "usual_errors", avoided.BaselineErrorRate)
			}
		})
	}
}

// collectUsed takes the requests since the last look, for this host's controllers and for the holders of other servers.
func (control *control) collectUsed(now time.Time) {
	used := control.coordinator.traffic.takeUsed()
	control.countUsed(now, used)
	for server, adapters := range used {
		if control.controllers[server] != nil {
			continue
		}
		for adapter, number := range adapters {
			count(control.untold, server, adapter, number)
		}
	}
}

// countUsed counts requests on servers that this host holds.
func (control *control) countUsed(now time.Time, used map[string]map[string]float64) {
	for server, adapters := range used {
		if controller := control.controllers[server]; controller != nil {
			for adapter, count := range adapters {
				controller.slots.AddDemand(now, adapter, count)
			}
		}
	}
}

// countRunning takes in what requests of a host run on servers that this host holds.
func (control *control) countRunning(now time.Time, host string, running map[string]map[string]int) {
	for server, controller := range control.controllers {
		controller.slots.SetRunning(now, host, running[server])
	}
}

// compose returns a digest for a peer, and the revisions of controllers that it tells.
func (control *control) compose(now time.Time, peer *peerState) (digest, map[string]int64) {
	peer.count++
	if peer.count%fullEvery == 1 {
		peer.told, peer.answer.told = map[string]int64{}, nil
	}
	message := digest{
		Host: control.coordinator.settings.Host.Name, Number: now.UnixNano(), Received: peer.received, Members: control.members,
		Usage: control.coordinator.traffic.usage(), Used: map[string]map[string]float64{}, Running: map[string]map[string]int{}, Held: map[string]heldUpdate{},
	}
	for server, used := range control.untold {
		if control.heldBy(server, peer) {
			message.Used[server] = used
			delete(control.untold, server)
		}
	}
	for server, running := range control.running {
		if control.heldBy(server, peer) {
			message.Running[server] = running
		}
	}
	told := map[string]int64{}
	for name, controller := range control.controllers {
		if !peer.knows(name, controller.revision) {
			message.Held[name] = heldUpdate{Born: controller.server.StartedMillis, Held: controller.published}
			told[name] = controller.revision
		}
	}
	return message, told
}

func (control *control) heldBy(server string, peer *peerState) bool {
	holder, found := control.registry.Holder(server)
	return found && holder.Name == peer.name
}

// call begins an exchange with a peer.
func (control *control) call(now time.Time, peer *peerState) {
	if peer.busy {
		return
	}
	peer.busy = true
	control.gossip.RecordCall(now, peer.name)
	message, told := control.compose(now, peer)
	message.Newest = map[string]int64{}
	for _, table := range control.tables() {
		message.Newest[table.table] = table.NewestRowVersion()
	}
	go control.exchange(peer, message, told)
}

func (control *control) exchange(peer *peerState, message digest, told map[string]int64) {
	coordinator := control.coordinator
	ctx, cancel := context.WithTimeout(coordinator.ctx, peerTimeout)
	defer cancel()
	var result digestResult
	sentAt := clock.Now()
	err := coordinator.peers.Call(ctx, peer.address, methodDigest, message, &result)
	coordinator.post(func(now time.Time) {
		peer.busy = false
		if (err != nil) != peer.lost {
			peer.lost = err != nil
			control.logPeer(peer, err)
		}
		if err != nil {
			return
		}
		control.membership.RecordAck(sentAt, peer.name)
		peer.learnt(told)
		if result.Digest.Host == peer.name {
			control.learn(now, peer, result.Digest)
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

// learn takes a digest of a peer in. A nil peer is one that this host does not know yet.
func (control *control) learn(now time.Time, peer *peerState, message digest) {
	control.countUsed(now, message.Used)
	control.countRunning(now, message.Host, message.Running)
	control.membership.RecordMessage(now, message.Host, message.Members)
	if peer != nil {
		peer.received = message.Number
		if sentAt, confirmed := peer.confirm(message.Received); confirmed {
			control.membership.RecordAck(sentAt, peer.name)
		}
	}
	// What follows tells the sender that it was heard, so that this host must have given up the sender's share before.
	control.shareLimits(now)
	control.coordinator.traffic.peer(now, message)
}

// takeDigest answers a peer's call.
func (control *control) takeDigest(message digest) digestResult {
	var result digestResult
	control.coordinator.do(func(now time.Time) { result = control.answerDigest(now, message) })
	return result
}

func (control *control) answerDigest(now time.Time, message digest) digestResult {
	peer := control.peers[message.Host]
	control.learn(now, peer, message)
	result := digestResult{Proofs: control.proofs(now)}
	if peer == nil {
		return result
	}
	control.gossip.RecordReceived(now, peer.name)
	control.compareNewest(now, peer, message.Newest)
	var told map[string]int64
	result.Digest, told = control.compose(now, peer)
	peer.answer = sentAnswer{number: result.Digest.Number, sentAt: now, told: told}
	return result
}
