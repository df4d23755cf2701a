package coord

import (
	"slices"
	"time"

	"lentilproxy/core/gossip"
	"lentilproxy/core/limit"
	"lentilproxy/core/sched"
	"lentilproxy/core/value"
)

const (
	// relayTicks is the number of gossip intervals between two exchanges of relays of different data centres.
	relayTicks = 2
	// relayInterval is the time between these exchanges.
	relayInterval = relayTicks * gossipInterval
	// maxRelayExchanges is the number of relays of other data centres with which a relay has an exchange in each relayInterval.
	maxRelayExchanges = 64
	// skipFor is how long a host that did not respond is no relay.
	skipFor = 5 * time.Second
	// skipPreviousFor is how long a host of the previous version, which cannot be a relay, is skipped.
	skipPreviousFor = time.Minute
	// holderReportInterval is the time between two reports of running requests to a lease holder in another data centre. A report is
	// valid for 2.5 s (core/slots).
	holderReportInterval = time.Second
	// passInterval is the least time between two messages of a relay with the states of other data centres to a host of its own. Both
	// relays of the data centre send them.
	passInterval = 700 * time.Millisecond
	// streamLifetime is how long the state that a peer has sent is kept after its last message with changes.
	streamLifetime = 30 * time.Second
	// summaryReportTicks is the number of gossip intervals between two updates of the gauges about relays.
	summaryReportTicks = 5
	// actingFor is how long a host that a relay of another data centre has called acts as a relay.
	actingFor = 5 * relayInterval
)

// summarySupport says in messages whether their sender understands the states of data centres.
type summarySupport int

const (
	// summariesUnsupported is sent by hosts of the previous version, and to hosts that may be of it while there are few hosts.
	summariesUnsupported summarySupport = iota
	// summariesSupported is the response of a host that exchanges messages with all others.
	summariesSupported
	// summariesInUse means that the sender's messages stay within its data centre.
	summariesInUse
)

// relays is the part of the control state that concerns the states of data centres.
type relays struct {
	topology gossip.Topology
	// schedule decides which relays of other data centres to call, if this host is a relay.
	schedule *gossip.Schedule
	ticks    int
	// own is the state of this host's data centre, composed on demand, and summaries are those of the others.
	own       *summary
	summaries map[string]*summary
	// askedAt is when a relay of another data centre last called.
	askedAt time.Time
	// skippedUntil maps hosts that did not respond, or cannot be relays, to the time until which they are skipped.
	skippedUntil map[string]time.Time
}

func newRelays(self string) *relays {
	return &relays{
		schedule: gossip.New(self, relayInterval, maxRelayExchanges), own: newSummary(), summaries: map[string]*summary{}, skippedUntil: map[string]time.Time{},
	}
}

// updateTopology computes anew with which hosts this one exchanges messages.
func (control *control) updateTopology(now time.Time) {
	self := control.coordinator.settings.Host
	others, skipped := make([]gossip.Host, 0, len(control.peers)), value.NewSet[string]()
	for name, peer := range control.peers {
		others = append(others, gossip.Host{Name: name, DataCentre: peer.dataCentre})
		if now.Before(control.relays.skippedUntil[name]) {
			skipped.Add(name)
		}
	}
	before, next := control.relays.topology, gossip.NewTopology(gossip.Host{Name: self.Name, DataCentre: self.DataCentre}, others, skipped)
	control.relays.topology = next
	control.gossip.SetPeers(now, next.Peers)
	control.relays.schedule.SetPeers(now, next.Remote)
	near := value.NewSet[string]()
	if next.Relayed {
		near = value.NewSet(next.Peers...)
	}
	control.coordinator.traffic.loans.Limiter(func(limiter *limit.Limiter) { limiter.SetNear(near) })
	for dataCentre := range control.relays.summaries {
		if _, found := next.Relays[dataCentre]; !found {
			delete(control.relays.summaries, dataCentre)
			control.coordinator.traffic.dropSummary(dataCentre)
		}
	}
	if !next.Relayed {
		control.coordinator.metrics.Gauge("relay").Update(0)
		control.relays.own = newSummary()
		for _, peer := range control.peers {
			peer.streams, peer.positions = nil, nil
		}
	}
	if before.Relayed != next.Relayed || !slices.Equal(before.Relays[self.DataCentre], next.Relays[self.DataCentre]) {
		control.coordinator.log.Info("relays of the data centre", "relays", next.Relays[self.DataCentre], "before", before.Relays[self.DataCentre],
			"hosts", len(others)+1, "data_centres", len(next.Relays), "exchanges", len(next.Peers)+len(next.Remote))
	}
}

// skip skips a host in the choice of relays.
func (control *control) skip(now time.Time, name string, duration time.Duration) {
	if !control.relays.topology.Relayed {
		return
	}
	_, known := control.relays.skippedUntil[name]
	control.relays.skippedUntil[name] = now.Add(duration)
	if !known {
		control.updateTopology(now)
	}
}

// endSkips ends the skips that are over, and that of a host that has responded, if its name is not empty.
func (control *control) endSkips(now time.Time, responded string) {
	ended := false
	for name, until := range control.relays.skippedUntil {
		if name != responded && now.Before(until) {
			continue
		}
		delete(control.relays.skippedUntil, name)
		ended = true
		if peer := control.peers[name]; peer != nil && control.remote(peer) {
			// Hosts of other data centres are not called regularly, so that nothing else would show that they respond again.
			peer.unreachable = false
		}
	}
	if ended {
		control.updateTopology(now)
	}
}

// recordSupport records what a response of a host says about its version.
func (control *control) recordSupport(now time.Time, peer *peerState, support summarySupport) {
	if support == summariesUnsupported && control.relays.topology.Relayed {
		control.skip(now, peer.name, skipPreviousFor)
		return
	}
	control.endSkips(now, peer.name)
}

// remote reports whether a peer is in another data centre and messages stay within data centres.
func (control *control) remote(peer *peerState) bool {
	return control.relays.topology.Relayed && peer.dataCentre != control.coordinator.settings.Host.DataCentre
}

// statesItself reports whether messages to a peer contain this host's own state. Peers in other data centres get it from relays,
// unless they are of the previous version or count fewer hosts.
func (control *control) statesItself(peer *peerState) bool {
	return !control.remote(peer) || !peer.relayed
}

// support returns what a message to a peer says about this host's version.
func (control *control) support(peer *peerState) summarySupport {
	switch {
	case control.relays.topology.Relayed:
		return summariesInUse
	case peer.relayed:
		return summariesSupported
	default:
		return summariesUnsupported
	}
}

// acting reports whether this host passes on the states of other data centres.
func (control *control) acting(now time.Time) bool {
	return control.relays.topology.Relay || now.Sub(control.relays.askedAt) < actingFor
}

// isRelayed reports whether this host, as a relay, exchanges messages with a peer that is a relay of another data centre.
func (control *control) isRelayed(peer *peerState) bool {
	return slices.Contains(control.relays.topology.Remote, peer.name)
}

// summaryDelay is the longest time that a report takes through the relays to a host of another data centre: a period in each of the
// data centres, or passInterval in the second one, and the exchange between them.
func (control *control) summaryDelay() time.Duration {
	if !control.relays.topology.Relayed {
		return 0
	}
	period := control.gossip.PeriodOf(control.relays.topology.MostPeers)
	return period + relayInterval + max(period, passInterval)
}

// summaryLife is how much longer than the report of a peer the sum of a data centre counts: its oldest part may be as old as a report
// that just counts, and it is replaced a period after it has arrived.
func (control *control) summaryLife() time.Duration {
	return control.summaryDelay() + max(control.gossip.Period(), passInterval) + gossipInterval
}

// gossipDelay returns the time within which hosts report their requests and loaded adapters to each other.
func (control *control) gossipDelay() time.Duration {
	return max(control.gossip.Period(), control.summaryDelay())
}

// refreshOwnSummary composes the state of this host's data centre, unless that was done recently.
func (control *control) refreshOwnSummary(now time.Time) {
	own := control.relays.own
	if now.Sub(own.updatedAt) < gossipInterval {
		return
	}
	host := control.coordinator.settings.Host
	own.updatedAt, own.members, own.silent = now, control.members, nil
	local := value.NewSet[string]()
	holders := map[string]string{}
	for name := range own.servers {
		holders[name] = ""
	}
	for server, update := range control.ownLoaded() {
		control.addSummaryServer(holders, server, &summaryServer{holder: host.Name, update: update})
	}
	for _, name := range value.Sorted(control.peers) {
		peer := control.peers[name]
		if peer.dataCentre != host.DataCentre {
			continue
		}
		local.Add(name)
		if peer.unreachable {
			own.silent = append(own.silent, name)
		}
		if now.Sub(peer.heardAt) < actingFor {
			own.members = max(own.members, peer.members)
		}
		state, _ := peer.receivedUsage.find(peer.receivedUsage.newest())
		for server, update := range state.loaded {
			control.addSummaryServer(holders, server, &summaryServer{holder: name, update: update})
		}
	}
	for name, holder := range holders {
		if holder == "" {
			delete(own.servers, name)
		}
	}
	usage, oldest := control.coordinator.traffic.sumUsage(now, local)
	own.usage = usage
	own.Statement = gossip.Statement{Source: host.Name, Stamp: now.UnixNano(), AsOf: oldest}
}

// addSummaryServer adds a server to the state of this host's data centre. If two hosts state that they hold it, the one with the row
// counts.
func (control *control) addSummaryServer(holders map[string]string, name string, server *summaryServer) {
	if holders[name] != "" {
		if holder, found := control.registry.Holder(name); !found || holder.Name != server.holder {
			return
		}
	}
	holders[name] = server.holder
	if !server.equal(control.relays.own.servers[name]) {
		control.relays.own.servers[name] = server
	}
}

// addSummaries adds the states of data centres to a message for a peer: that of this data centre for relays of other ones, and those of
// the other ones for the hosts of this one if this host acts as a relay.
func (control *control) addSummaries(now time.Time, peer *peerState, message *gossipMessage) {
	if !control.relays.topology.Relayed || !peer.relayed {
		return
	}
	for dataCentre, stream := range peer.streams {
		if now.Sub(stream.updatedAt) >= streamLifetime {
			delete(peer.streams, dataCentre) // The peer is no relay any more.
			continue
		}
		if message.SummariesReceived == nil {
			message.SummariesReceived = map[string]summaryPosition{}
		}
		message.SummariesReceived[dataCentre] = stream.position
	}
	most := maxLoadedChanges
	switch {
	case control.remote(peer) && message.Relay:
		control.refreshOwnSummary(now)
		control.addSummary(now, peer, message, control.coordinator.settings.Host.DataCentre, control.relays.own, &most)
	case !control.remote(peer) && control.acting(now):
		if now.Sub(peer.passedAt) < passInterval {
			return
		}
		peer.passedAt = now
		dataCentres := value.Sorted(control.relays.summaries)
		if relays := control.relays.topology.Relays[control.coordinator.settings.Host.DataCentre]; relays[0] != message.Host {
			slices.Reverse(dataCentres) // While much is to be sent, the relays send different parts.
		}
		for _, dataCentre := range dataCentres {
			control.addSummary(now, peer, message, dataCentre, control.relays.summaries[dataCentre], &most)
		}
	case !control.remote(peer):
		control.relays.own.outbox = nil
		for _, summary := range control.relays.summaries {
			summary.outbox = nil
		}
	}
}

// addSummary adds the state of a data centre to a message for a peer, with at most a number of changes of loaded adapters, which it
// reduces.
func (control *control) addSummary(now time.Time, peer *peerState, message *gossipMessage, dataCentre string, summary *summary, most *int) {
	if summary.Source == "" || summary.Source == peer.name {
		return
	}
	outbox := summary.publish(now)
	base, changes, err := outbox.since(peer.positions[dataCentre], *most)
	if err != nil {
		control.coordinator.log.Error(err, "cannot encode the state of a data centre", "data_centre", dataCentre)
		return
	}
	*most = max(1, *most-changes.loaded)
	if message.Summaries == nil {
		message.Summaries = map[string]*summaryMessage{}
	}
	message.Summaries[dataCentre] = &summaryMessage{
		Source: summary.Source, Stamp: summary.Stamp, AgeMS: now.Sub(summary.AsOf).Milliseconds() + 1, Members: summary.members, Silent: summary.silent,
		At:      [5]int64{base.epoch(), base.usage(), base.loaded(), changes.next.usage(), changes.next.loaded()},
		Partial: changes.next.loaded() < outbox.loaded.Revision(), Changes: changes.content, Packed: changes.packed,
	}
}

// applySummaries applies the states of other data centres in a message of a peer that was sent at or after a time.
func (control *control) applySummaries(now, sentAt time.Time, peer *peerState, message gossipMessage) {
	peer.relayed = message.Support == summariesInUse
	if !control.relays.topology.Relayed {
		return
	}
	if behind := peer.summariesID - message.ID; behind > 0 && behind < int64(maxReordering) {
		return // A later message has arrived before this one.
	}
	peer.summariesID, peer.positions = message.ID, message.SummariesReceived
	for dataCentre, update := range message.Summaries {
		if _, known := control.relays.topology.Relays[dataCentre]; !known || dataCentre == control.coordinator.settings.Host.DataCentre {
			continue
		}
		stream := peer.streams[dataCentre]
		if stream == nil {
			stream = &summaryStream{}
			if peer.streams == nil {
				peer.streams = map[string]*summaryStream{}
			}
			peer.streams[dataCentre] = stream
		}
		if stream.apply(update) {
			stream.updatedAt = now
			statement := gossip.Statement{Source: update.Source, Stamp: update.Stamp, AsOf: sentAt.Add(-time.Duration(update.AgeMS) * time.Millisecond)}
			control.acceptSummary(now, dataCentre, statement, stream, update)
		}
	}
}

// acceptSummary replaces what this host knows of another data centre, if the statement is newer.
func (control *control) acceptSummary(now time.Time, dataCentre string, statement gossip.Statement, stream *summaryStream, update *summaryMessage) {
	known := control.relays.summaries[dataCentre]
	if known == nil {
		known = newSummary()
		control.relays.summaries[dataCentre] = known
	}
	if !statement.Replaces(known.Statement) {
		return
	}
	changed := known.accept(stream)
	if now.Sub(known.updatedAt) >= summaryReapplyInterval {
		// Traffic drops what it gets for a server that it does not know yet.
		known.updatedAt = now
		for name, server := range known.heldIn(control.holderName) {
			changed[name] = server
		}
	}
	known.Statement, known.members, known.silent = statement, update.Members, update.Silent
	control.membership.RecordCount(now, dataCentre, update.Members)
	var hosts []string
	for name, peer := range control.peers {
		if peer.dataCentre == dataCentre {
			hosts = append(hosts, name)
		}
	}
	control.coordinator.traffic.applySummary(now, dataCentre, hosts, known, control.summaryLife(), changed)
}

// summaryReapplyInterval is the time after which what the servers of a data centre have loaded is applied again.
const summaryReapplyInterval = 3 * time.Second

func (control *control) holderName(server string) string {
	holder, _ := control.registry.Holder(server)
	return holder.Name
}

// summaryCounts reports whether the sum of the usage of a data centre counts now, so that reports of its hosts do not.
func (control *control) summaryCounts(now time.Time, dataCentre string) bool {
	known := control.relays.summaries[dataCentre]
	return known != nil && now.Sub(known.AsOf) < sched.UsageLifetime+control.summaryLife()
}

// silentHosts returns the hosts of other data centres that do not respond to their relays.
func (control *control) silentHosts(now time.Time) value.Set[string] {
	silent := value.NewSet[string]()
	for dataCentre, summary := range control.relays.summaries {
		if control.summaryCounts(now, dataCentre) {
			for _, name := range summary.silent {
				silent.Add(name)
			}
		}
	}
	return silent
}

// duePeers returns the peers to call now: those of the schedules, and the lease holders in other data centres that this host has to
// report requests to.
func (control *control) duePeers(now time.Time) []*peerState {
	control.endSkips(now, "")
	names := control.gossip.Due(now)
	if control.relays.ticks++; control.relays.ticks%relayTicks == 0 {
		names = append(names, control.relays.schedule.Due(now)...)
	}
	peers := make([]*peerState, 0, len(names))
	for _, name := range names {
		peers = append(peers, control.peers[name])
	}
	if control.relays.topology.Relayed {
		peers = append(peers, control.reportedHolders(now)...)
	}
	return peers
}

// reportedHolders returns the lease holders in other data centres to which this host has to report requests now: at once those that
// have started, or once that none are running any more, and regularly those that are running. Relays report in their exchanges.
func (control *control) reportedHolders(now time.Time) []*peerState {
	intervals := map[string]time.Duration{}
	report := func(server string, interval time.Duration) {
		holder, _ := control.registry.Holder(server)
		if peer := control.peers[holder.Name]; peer != nil && control.remote(peer) && !control.isRelayed(peer) {
			intervals[peer.name] = interval
		}
	}
	for name, peer := range control.peers {
		if peer.reportedRunning && control.remote(peer) && !control.isRelayed(peer) {
			intervals[name] = control.gossip.Period()
		}
	}
	for server := range control.running {
		report(server, holderReportInterval)
	}
	for server := range control.pendingDemand {
		report(server, control.gossip.Period())
	}
	var peers []*peerState
	for _, name := range value.Sorted(intervals) {
		if peer := control.peers[name]; now.Sub(peer.calledAt) >= intervals[name] {
			peers = append(peers, peer)
		}
	}
	return peers
}

// lateness returns how much older than usual a call is, by the time of the last message of this host that the caller had. A host that
// was paused finds old calls on its connections.
func (control *control) lateness(now time.Time, message gossipMessage) time.Duration {
	if message.ReceivedID == 0 {
		return 0
	}
	return max(0, now.Sub(time.Unix(0, message.ReceivedID))-2*control.gossip.Period()-2*gossipInterval-callTimeout)
}

// reportSummaries updates the gauges about relays.
func (control *control) reportSummaries(now time.Time) {
	if !control.relays.topology.Relayed || control.relays.ticks%summaryReportTicks != 0 {
		return
	}
	acting := 0.0
	if control.acting(now) {
		acting = 1
	}
	metrics := control.coordinator.metrics
	metrics.Gauge("relay").Update(acting)
	for dataCentre, summary := range control.relays.summaries {
		metrics.Tagged(map[string]string{"data_centre": dataCentre}).Gauge("data_centre_age_ms").Update(float64(now.Sub(summary.AsOf).Milliseconds()))
	}
}
