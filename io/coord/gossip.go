package coord

import (
	"context"
	"time"

	"lentilproxy/core/sched"
	"lentilproxy/core/slots"
	"lentilproxy/io/clock"
)

const (
	// gossipInterval is the time between two rounds of gossip. It determines the age of the load data that a host has
	// of the others.
	gossipInterval = slots.DefaultGossipDelay
	// maxExchanges is the number of peers with whom a host has an exchange in every interval. With more peers, the
	// exchanges with each of them are less frequent.
	maxExchanges = 10
	// callTimeout bounds a call between hosts.
	callTimeout = 400 * time.Millisecond
	// fullMessageEvery is the number of messages to a peer after which one contains the full state again.
	fullMessageEvery = 15
	// keptUsages bounds the messages of which the usage is kept, on both sides, for differences: those since the last one that the
	// receiver has confirmed. Usually these are two or three.
	keptUsages = 16
)

// gossipMessage is the state that two hosts send each other in an exchange, one in the call and the other one in its
// response.
type gossipMessage struct {
	Host string `json:"host"`
	// ID identifies the message among those of its host. ReceivedID is the ID of the last message from the receiver.
	ID         int64 `json:"number"`
	ReceivedID int64 `json:"received,omitempty"`
	// Members is the number of hosts that the sender divides limits over.
	Members int `json:"members"`
	// NewestVersions maps tables to the versions up to which the host's mirrors are complete. A response contains proofs
	// instead.
	NewestVersions map[string]int64 `json:"newest,omitempty"`
	// Contents maps tables to what the host's mirrors were proven to contain. Peers that have sent such ones get no NewestVersions.
	Contents map[string]contentVersion `json:"contents,omitempty"`
	// Usage maps servers to the load that the host's requests put on them. Peers that send Contents get differences instead.
	Usage map[string]sched.Usage `json:"usage,omitempty"`
	// UsageChanges maps servers to the compact usage that differs from the one in the sender's message UsageBase, or to nothing if the
	// host has no requests there any more. UsageBase is 0 if there is no such message.
	UsageChanges map[string][]int64 `json:"usage_changes"`
	UsageBase    int64              `json:"usage_base,omitempty"`
	// LoadedChanges maps servers to what differs in their loaded adapters from the same message. Peers that send Contents get it instead
	// of Loaded.
	LoadedChanges map[string]loadedChange `json:"held_changes,omitempty"`
	// UsageReceived is the last message from the receiver whose usage the sender has.
	UsageReceived int64 `json:"usage_received,omitempty"`
	// Demand counts the requests for adapters on servers that the receiver holds. Each request is counted in one
	// message only.
	Demand map[string]map[string]float64 `json:"used,omitempty"`
	// Running counts the sender's running requests for adapters on servers that the receiver holds.
	Running map[string]map[string]int `json:"running,omitempty"`
	// Loaded maps servers that the sender holds to what they have loaded, if it has changed.
	Loaded map[string]loadedUpdate `json:"held,omitempty"`
	// Support says whether the sender's messages stay within its data centre. The fields below are in messages of such hosts only.
	Support summarySupport `json:"relayed,omitempty"`
	// Relay asks a host of another data centre for the state of its data centre.
	Relay bool `json:"relay,omitempty"`
	// Summaries maps data centres to their states, and SummariesReceived those that the sender has from the receiver to what it has of them.
	Summaries         map[string]*summaryMessage `json:"summaries,omitempty"`
	SummariesReceived map[string]summaryPosition `json:"summaries_received,omitempty"`
	// Compact is the compact form of a message that was received. The other fields are then set from it.
	Compact *compactMessage `json:"c,omitempty"`
	// ContentsHash takes the place of Contents in the compact form, in which the message is sent if compact is set.
	ContentsHash string `json:"-"`
	compact      bool
}

type loadedUpdate struct {
	StartedMillis int64        `json:"born"`
	Loaded        sched.Loaded `json:"held"`
}

// gossipResult is the response to a gossip message. Its message is empty if the responding host has not discovered the
// caller yet.
type gossipResult struct {
	Proofs  map[string]proof `json:"proofs"`
	Message gossipMessage    `json:"digest"`
	// Same takes the place of Proofs, in the order of the tables, if the host has the contents that the caller has stated.
	Same []tableProof `json:"same,omitempty"`
}

// peerState is the host's state for one peer.
type peerState struct {
	name       string
	address    string
	dataCentre string
	// calling reports whether a call to the peer is in progress.
	calling bool
	// ackedRevisions holds the revisions of controllers that the peer is certain to have received.
	ackedRevisions map[string]int64
	messageCount   int
	unreachable    bool
	// sendsContents is set once a message of the peer had Contents.
	sendsContents bool
	// sentUsage and receivedUsage hold the usage in the last messages to and from the peer. usageBase is the last message whose usage
	// the peer says it has.
	sentUsage     usageHistory
	receivedUsage usageHistory
	usageBase     int64
	// receivedCount counts the messages of the peer with differences.
	receivedCount int
	// receivedID is the ID of the last message from the peer.
	receivedID int64
	// relayed is set if the peer's messages stay within its data centre.
	relayed bool
	// streams holds the states of data centres that the peer sends, and positions what the peer has of those that this host sends.
	streams   map[string]*summaryStream
	positions map[string]summaryPosition
	// passedAt is when this host, as a relay, last sent the peer the states of other data centres.
	passedAt time.Time
	// summariesID is the ID of the last message from the peer with states of data centres.
	summariesID int64
	// members is the number of members that the peer counted in its last message, at heardAt.
	members int
	heardAt time.Time
	// calledAt is when this host last called the peer. reportedRunning is set if the peer may count running requests of this host.
	calledAt        time.Time
	reportedRunning bool
	// lastResponse is the last message sent to the peer in a response, until the peer reports whether it was received.
	lastResponse sentResponse
}

// sentResponse describes a gossip message that was sent in a response.
type sentResponse struct {
	id        int64
	sentAt    time.Time
	revisions map[string]int64
}

// hasRevision reports whether the peer has received a revision of a controller, or will have if the last response
// arrives.
func (peer *peerState) hasRevision(controller string, revision int64) bool {
	return revision <= max(peer.ackedRevisions[controller], peer.lastResponse.revisions[controller])
}

// confirmResponse applies the ID of the last message that the peer has received. It reports whether that was the
// message in the last response, and when the response was sent.
func (peer *peerState) confirmResponse(receivedID int64) (sentAt time.Time, confirmed bool) {
	response := peer.lastResponse
	peer.lastResponse = sentResponse{}
	if response.id == 0 || response.id != receivedID {
		return time.Time{}, false
	}
	peer.recordAcked(response.revisions)
	return response.sentAt, true
}

// recordAcked records revisions that the peer is certain to have received.
func (peer *peerState) recordAcked(revisions map[string]int64) {
	for name, revision := range revisions {
		peer.ackedRevisions[name] = max(peer.ackedRevisions[name], revision)
	}
}

// updatePeers applies the hosts of the last scan.
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
		if known == nil || known.address != host.PeerAddress || known.dataCentre != host.DataCentre {
			control.peers[host.Name] = &peerState{name: host.Name, address: host.PeerAddress, dataCentre: host.DataCentre, ackedRevisions: map[string]int64{}}
		}
	}
	for name := range control.peers {
		if !present[name] {
			delete(control.peers, name)
			control.coordinator.log.Info("peer removed", "peer", name)
		}
	}
	control.updateTopology(now)
	control.coordinator.traffic.updateHosts(now, control.registry, control.peers)
}

// sendGossip starts an exchange with every peer that is due, in each gossip interval.
func (control *control) sendGossip() {
	coordinator := control.coordinator
	for coordinator.pause(gossipInterval) {
		coordinator.do(func(now time.Time) {
			control.collectDemand(now)
			control.running = coordinator.traffic.runningRequests()
			control.setRunning(now, coordinator.settings.Host.Name, control.running)
			for _, peer := range control.duePeers(now) {
				control.startExchange(now, peer)
			}
			control.divideLimits(now)
			control.reportEvacuations(now)
			control.reportWaiting()
			control.reportSummaries(now)
			coordinator.traffic.exchangeLoans(now)
			for _, ejection := range coordinator.traffic.takeEjections() {
				coordinator.log.Info("server avoided for its errors", "server", ejection.Server, "for_ms", ejection.Duration.Milliseconds(),
					"times", ejection.Consecutive, "usual_errors", ejection.BaselineErrorRate)
			}
		})
	}
}

// collectDemand takes the requests counted since the last call. It adds them to the demand of this host's controllers
// or, for other servers, to the demand to be sent to the lease holders.
func (control *control) collectDemand(now time.Time) {
	demand := control.coordinator.traffic.takeDemand()
	control.addDemand(now, demand)
	for server, adapters := range demand {
		if control.controllers[server] != nil {
			continue
		}
		for adapter, number := range adapters {
			count(control.pendingDemand, server, adapter, number)
		}
	}
}

// addDemand adds requests to the demand of the servers that this host holds.
func (control *control) addDemand(now time.Time, demand map[string]map[string]float64) {
	for server, adapters := range demand {
		if controller := control.controllers[server]; controller != nil {
			for adapter, count := range adapters {
				controller.slots.AddDemand(now, adapter, count)
			}
		}
	}
}

// setRunning records a host's running requests on servers that this host holds.
func (control *control) setRunning(now time.Time, host string, running map[string]map[string]int) {
	for server, controller := range control.controllers {
		controller.slots.SetRunning(now, host, running[server])
	}
}

// composeMessage returns a gossip message for a peer, and the revisions of controllers that it contains.
func (control *control) composeMessage(now time.Time, peer *peerState) (gossipMessage, map[string]int64) {
	peer.messageCount++
	if peer.messageCount%fullMessageEvery == 1 {
		peer.ackedRevisions, peer.lastResponse.revisions = map[string]int64{}, nil
	}
	message := gossipMessage{
		Host: control.coordinator.settings.Host.Name, ID: now.UnixNano(), ReceivedID: peer.receivedID, Members: control.members,
		UsageReceived: peer.receivedUsage.newest(), Demand: map[string]map[string]float64{}, Running: map[string]map[string]int{}, Loaded: map[string]loadedUpdate{},
	}
	message.Support = control.support(peer)
	message.compact = control.relays.topology.Relayed && peer.relayed
	if control.statesItself(peer) {
		peer.addState(&message, control.ownUsage(now), control.ownLoaded())
	}
	for server, demand := range control.pendingDemand {
		if control.heldBy(server, peer) {
			message.Demand[server] = demand
			delete(control.pendingDemand, server)
		}
	}
	for server, running := range control.running {
		if control.heldBy(server, peer) {
			message.Running[server] = running
			peer.reportedRunning = true
		}
	}
	revisions := map[string]int64{}
	for name, controller := range control.controllers {
		if control.statesItself(peer) && !peer.sendsContents && !peer.hasRevision(name, controller.revision) {
			message.Loaded[name] = loadedUpdate{StartedMillis: controller.server.StartedMillis, Loaded: controller.published}
			revisions[name] = controller.revision
		}
	}
	return message, revisions
}

// ownUsage returns the load of the host's requests. It is the same map for all messages of a short time.
func (control *control) ownUsage(now time.Time) map[string]sched.Usage {
	if control.usage == nil || now.Sub(control.usageAt) >= gossipInterval/4 {
		control.usage, control.usageAt = control.coordinator.traffic.ownUsage(now), now
	}
	return control.usage
}

// ownLoaded returns what the servers that this host holds have loaded.
func (control *control) ownLoaded() map[string]loadedUpdate {
	loaded := make(map[string]loadedUpdate, len(control.controllers))
	for name, controller := range control.controllers {
		if controller.revision > 0 {
			loaded[name] = loadedUpdate{StartedMillis: controller.server.StartedMillis, Loaded: controller.published}
		}
	}
	return loaded
}

func (control *control) heldBy(server string, peer *peerState) bool {
	holder, found := control.registry.Holder(server)
	return found && holder.Name == peer.name
}

// startExchange starts an exchange with a peer, unless one is in progress.
func (control *control) startExchange(now time.Time, peer *peerState) {
	if peer.calling {
		return
	}
	message, revisions := control.composeCall(now, peer)
	go control.exchange(peer, message, revisions)
}

// composeCall returns the message of a call to a peer, and the revisions of controllers that it contains.
func (control *control) composeCall(now time.Time, peer *peerState) (gossipMessage, map[string]int64) {
	peer.calling, peer.calledAt = true, now
	control.gossip.RecordCall(now, peer.name)
	control.relays.schedule.RecordCall(now, peer.name)
	message, revisions := control.composeMessage(now, peer)
	message.Relay = control.isRelayed(peer)
	control.addSummaries(now, peer, &message)
	if control.remote(peer) && peer.relayed && !message.Relay {
		return message, revisions // It only reports requests.
	}
	message.NewestVersions, message.Contents = map[string]int64{}, control.contents()
	if message.compact {
		message.ContentsHash = control.contentsHash(message.Contents)
	}
	for _, table := range control.tables() {
		if table != control.fleet && !peer.sendsContents {
			message.NewestVersions[table.name] = table.CompleteTo()
		}
	}
	return message, revisions
}

func (control *control) exchange(peer *peerState, message gossipMessage, revisions map[string]int64) {
	coordinator := control.coordinator
	ctx, cancel := context.WithTimeout(coordinator.ctx, callTimeout)
	defer cancel()
	var result gossipResult
	sentAt := clock.Now()
	err := coordinator.peers.Call(ctx, peer.address, methodGossip, message.wire(), &result)
	result.Message.unpack(coordinator.log)
	coordinator.post(func(now time.Time) { control.endExchange(now, sentAt, peer, message, revisions, result, err) })
}

// endExchange applies the result of a call that was sent at sentAt.
func (control *control) endExchange(now, sentAt time.Time, peer *peerState, message gossipMessage, revisions map[string]int64, result gossipResult, err error) {
	peer.calling = false
	if (err != nil) != peer.unreachable {
		peer.unreachable = err != nil
		control.logReachability(peer, err)
	}
	if err != nil {
		control.skip(now, peer.name, skipFor)
		return
	}
	control.membership.RecordAck(sentAt, peer.name)
	peer.recordAcked(revisions)
	peer.reportedRunning = peer.reportedRunning && len(message.Running) > 0
	if result.Message.Host == peer.name {
		control.recordSupport(now, peer, result.Message.Support)
		control.applyMessage(now, peer, result.Message)
		control.applySummaries(now, sentAt, peer, result.Message)
	}
	control.compareProofs(now, sentAt, peer, control.expandProofs(result, message.Contents))
}

func (control *control) logReachability(peer *peerState, err error) {
	if err != nil {
		control.coordinator.log.Info("dependency lost", "dependency", "peer", "peer", peer.name, "error", err.Error())
		return
	}
	control.coordinator.log.Info("dependency regained", "dependency", "peer", "peer", peer.name)
}

// applyMessage applies a gossip message of a peer. The peer is nil if this host has not discovered it yet.
func (control *control) applyMessage(now time.Time, peer *peerState, message gossipMessage) {
	control.addDemand(now, message.Demand)
	control.setRunning(now, message.Host, message.Running)
	control.membership.RecordMessage(now, message.Host, message.Members)
	if peer != nil {
		peer.confirmUsage(message.UsageReceived)
		peer.completeState(&message)
		peer.receivedID = message.ID
		peer.members, peer.heardAt = message.Members, now
		if sentAt, confirmed := peer.confirmResponse(message.ReceivedID); confirmed {
			control.membership.RecordAck(sentAt, peer.name)
		}
	}
	// The response or the next message to the sender acknowledges this message. The sender may then use its whole
	// share, so this host must have given up that share before. Hosts that have a row already count. With many hosts, a division for
	// each message would take most of the processor time of gossip.
	if peer == nil || message.Members > control.members || !control.relays.topology.Relayed {
		control.divideLimits(now)
	}
	if peer != nil && control.remote(peer) && control.summaryCounts(now, peer.dataCentre) {
		message.Usage = nil // The sum of the data centre contains it.
	}
	control.coordinator.traffic.applyPeerMessage(now, message)
}

// handleGossip handles a peer's call.
func (control *control) handleGossip(message gossipMessage) any {
	var result gossipResult
	message.unpack(control.coordinator.log)
	control.coordinator.do(func(now time.Time) { result = control.respondToMessage(now, message) })
	return result.wire()
}

func (control *control) respondToMessage(now time.Time, message gossipMessage) gossipResult {
	peer := control.peers[message.Host]
	control.applyMessage(now, peer, message)
	result := gossipResult{}
	switch {
	case message.ContentsHash != "" && message.ContentsHash == control.contentsHash(control.contents()):
		result.Same = control.compactProofs(control.proofs(now))
	case message.Support == summariesUnsupported || len(message.Contents) > 0 || message.ContentsHash != "":
		result.Proofs = control.proofs(now)
	}
	if peer == nil {
		return result
	}
	control.gossip.RecordReceived(now, peer.name)
	control.relays.schedule.RecordReceived(now, peer.name)
	control.applySummaries(now, now.Add(-control.lateness(now, message)), peer, message)
	peer.sendsContents = len(message.Contents) > 0 || message.Support == summariesInUse
	control.compareVersions(now, peer, message.NewestVersions, message.Contents)
	var revisions map[string]int64
	result.Message, revisions = control.composeMessage(now, peer)
	if message.Relay && control.remote(peer) {
		control.relays.askedAt, result.Message.Relay = now, true
	}
	control.addSummaries(now, peer, &result.Message)
	peer.lastResponse = sentResponse{id: result.Message.ID, sentAt: now, revisions: revisions}
	return result
}
