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
	// regionReportTicks is the number of gossip intervals between two updates of the gauges about relays.
	regionReportTicks = 5
	// actingFor is how long a host that a relay of another data centre has called acts as a relay.
	actingFor = 5 * relayInterval
)

// regionSupport says in messages whether their sender understands the states of data centres.
type regionSupport int

const (
	// regionsUnsupported is sent by hosts of the previous version, and to hosts that may be of it while there are few hosts.
	regionsUnsupported regionSupport = iota
	// regionsSupported is the response of a host that exchanges messages with all others.
	regionsSupported
	// regionsInUse means that the sender's messages stay within its data centre.
	regionsInUse
)

// relays is the part of the control state that concerns the states of data centres.
type relays struct {
	topology gossip.Topology
	// schedule decides which relays of other data centres to call, if this host is a relay.
	schedule *gossip.Schedule
	ticks    int
	// own is the state of this host's data centre, composed on demand, and regions are those of the others.
	own     *region
	regions map[string]*region
	// askedAt is when a relay of another data centre last called.
	askedAt time.Time
	// skippedUntil maps hosts that did not respond, or cannot be relays, to the time until which they are skipped.
	skippedUntil map[string]time.Time
}

func newRelays(self string) *relays {
	return &relays{
		schedule: gossip.New(self, relayInterval, maxRelayExchanges), own: newRegion(), regions: map[string]*region{}, skippedUntil: map[string]time.Time{},
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
	if next.Regional {
		near = value.NewSet(next.Peers...)
	}
	control.coordinator.traffic.loans.Limiter(func(limiter *limit.Limiter) { limiter.SetNear(near) })
	for dataCentre := range control.relays.regions {
		if _, found := next.Relays[dataCentre]; !found {
			delete(control.relays.regions, dataCentre)
			control.coordinator.traffic.dropRegion(dataCentre)
		}
	}
	if !next.Regional {
		control.coordinator.metrics.Gauge("relay").Update(0)
		control.relays.own = newRegion()
		for _, peer := range control.peers {
			peer.streams, peer.positions = nil, nil
		}
	}
	if before.Regional != next.Regional || !slices.Equal(before.Relays[self.DataCentre], next.Relays[self.DataCentre]) {
		control.coordinator.log.Info("relays of the data centre", "relays", next.Relays[self.DataCentre], "before", before.Relays[self.DataCentre],
			"hosts", len(others)+1, "data_centres", len(next.Relays), "exchanges", len(next.Peers)+len(next.Remote))
	}
}

// skip skips a host in the choice of relays.
func (control *control) skip(now time.Time, name string, duration time.Duration) {
	if !control.relays.topology.Regional {
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
func (control *control) recordSupport(now time.Time, peer *peerState, support regionSupport) {
	if support == regionsUnsupported && control.relays.topology.Regional {
		control.skip(now, peer.name, skipPreviousFor)
		return
	}
	control.endSkips(now, peer.name)
}

// remote reports whether a peer is in another data centre and messages stay within data centres.
func (control *control) remote(peer *peerState) bool {
	return control.relays.topology.Regional && peer.dataCentre != control.coordinator.settings.Host.DataCentre
}

// statesItself reports whether messages to a peer contain this host's own state. Peers in other data centres get it from relays,
// unless they are of the previous version or count fewer hosts.
func (control *control) statesItself(peer *peerState) bool {
	return !control.remote(peer) || !peer.regional
}

// support returns what a message to a peer says about this host's version.
func (control *control) support(peer *peerState) regionSupport {
	switch {
	case control.relays.topology.Regional:
		return regionsInUse
	case peer.regional:
		return regionsSupported
	default:
		return regionsUnsupported
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

// regionDelay is the longest time that a report takes through the relays to a host of another data centre: a period in each of the
// data centres, or passInterval in the second one, and the exchange between them.
func (control *control) regionDelay() time.Duration {
	if !control.relays.topology.Regional {
		return 0
	}
	period := control.gossip.PeriodOf(control.relays.topology.MostPeers)
	return period + relayInterval + max(period, passInterval)
}

// regionLife is how much longer than the report of a peer the sum of a data centre counts: its oldest part may be as old as a report
// that just counts, and it is replaced a period after it has arrived.
func (control *control) regionLife() time.Duration {
	return control.regionDelay() + max(control.gossip.Period(), passInterval) + gossipInterval
}

// gossipDelay returns the time within which hosts report their requests and loaded adapters to each other.
func (control *control) gossipDelay() time.Duration {
	return max(control.gossip.Period(), control.regionDelay())
}

// refreshOwnRegion composes the state of this host's data centre, unless that was done recently.
func (control *control) refreshOwnRegion(now time.Time) {
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
		control.addRegionServer(holders, server, &regionServer{holder: host.Name, update: update})
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
			control.addRegionServer(holders, server, &regionServer{holder: name, update: update})
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

// addRegionServer adds a server to the state of this host's data centre. If two hosts state that they hold it, the one with the row
// counts.
func (control *control) addRegionServer(holders map[string]string, name string, server *regionServer) {
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

// addRegions adds the states of data centres to a message for a peer: that of this data centre for relays of other ones, and those of
// the other ones for the hosts of this one if this host acts as a relay.
func (control *control) addRegions(now time.Time, peer *peerState, message *gossipMessage) {
	if !control.relays.topology.Regional || !peer.regional {
		return
	}
	for dataCentre, stream := range peer.streams {
		if now.Sub(stream.updatedAt) >= streamLifetime {
			delete(peer.streams, dataCentre) // The peer is no relay any more.
			continue
		}
		if message.RegionsReceived == nil {
			message.RegionsReceived = map[string]regionPosition{}
		}
		message.RegionsReceived[dataCentre] = stream.position
	}
	most := maxLoadedChanges
	switch {
	case control.remote(peer) && message.Relay:
		control.refreshOwnRegion(now)
		control.addRegion(now, peer, message, control.coordinator.settings.Host.DataCentre, control.relays.own, &most)
	case !control.remote(peer) && control.acting(now):
		if now.Sub(peer.passedAt) < passInterval {
			return
		}
		peer.passedAt = now
		dataCentres := value.Sorted(control.relays.regions)
		if relays := control.relays.topology.Relays[control.coordinator.settings.Host.DataCentre]; relays[0] != message.Host {
			slices.Reverse(dataCentres) // While much is to be sent, the relays send different parts.
		}
		for _, dataCentre := range dataCentres {
			control.addRegion(now, peer, message, dataCentre, control.relays.regions[dataCentre], &most)
		}
	case !control.remote(peer):
		control.relays.own.outbox = nil
		for _, region := range control.relays.regions {
			region.outbox = nil
		}
	}
}

// addRegion adds the state of a data centre to a message for a peer, with at most a number of changes of loaded adapters, which it
// reduces.
func (control *control) addRegion(now time.Time, peer *peerState, message *gossipMessage, dataCentre string, region *region, most *int) {
	if region.Source == "" || region.Source == peer.name {
		return
	}
	outbox := region.publish(now)
	base, changes, err := outbox.since(peer.positions[dataCentre], *most)
	if err != nil {
		control.coordinator.log.Error(err, "cannot encode the state of a data centre", "data_centre", dataCentre)
		return
	}
	*most = max(1, *most-changes.loaded)
	if message.Regions == nil {
		message.Regions = map[string]*regionMessage{}
	}
	message.Regions[dataCentre] = &regionMessage{
		Source: region.Source, Stamp: region.Stamp, AgeMS: now.Sub(region.AsOf).Milliseconds() + 1, Members: region.members, Silent: region.silent,
		At:      [5]int64{base.epoch(), base.usage(), base.loaded(), changes.next.usage(), changes.next.loaded()},
		Partial: changes.next.loaded() < outbox.loaded.Revision(), Changes: changes.content, Packed: changes.packed,
	}
}

// applyRegions applies the states of other data centres in a message of a peer that was sent at or after a time.
func (control *control) applyRegions(now, sentAt time.Time, peer *peerState, message gossipMessage) {
	peer.regional = message.Support == regionsInUse
	if !control.relays.topology.Regional {
		return
	}
	if behind := peer.regionsID - message.ID; behind > 0 && behind < int64(maxReordering) {
		return // A later message has arrived before this one.
	}
	peer.regionsID, peer.positions = message.ID, message.RegionsReceived
	for dataCentre, update := range message.Regions {
		if _, known := control.relays.topology.Relays[dataCentre]; !known || dataCentre == control.coordinator.settings.Host.DataCentre {
			continue
		}
		stream := peer.streams[dataCentre]
		if stream == nil {
			stream = &regionStream{}
			if peer.streams == nil {
				peer.streams = map[string]*regionStream{}
			}
			peer.streams[dataCentre] = stream
		}
		if stream.apply(update) {
			stream.updatedAt = now
			statement := gossip.Statement{Source: update.Source, Stamp: update.Stamp, AsOf: sentAt.Add(-time.Duration(update.AgeMS) * time.Millisecond)}
			control.acceptRegion(now, dataCentre, statement, stream, update)
		}
	}
}

// acceptRegion replaces what this host knows of another data centre, if the statement is newer.
func (control *control) acceptRegion(now time.Time, dataCentre string, statement gossip.Statement, stream *regionStream, update *regionMessage) {
	known := control.relays.regions[dataCentre]
	if known == nil {
		known = newRegion()
		control.relays.regions[dataCentre] = known
	}
	if !statement.Replaces(known.Statement) {
		return
	}
	changed := known.accept(stream)
	if now.Sub(known.updatedAt) >= regionReapplyInterval {
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
	control.coordinator.traffic.applyRegion(now, dataCentre, hosts, known, control.regionLife(), changed)
}

// regionReapplyInterval is the time after which what the servers of a data centre have loaded is applied again.
const regionReapplyInterval = 3 * time.Second

func (control *control) holderName(server string) string {
	holder, _ := control.registry.Holder(server)
	return holder.Name
}

// regionCounts reports whether the sum of the usage of a data centre counts now, so that reports of its hosts do not.
func (control *control) regionCounts(now time.Time, dataCentre string) bool {
	known := control.relays.regions[dataCentre]
	return known != nil && now.Sub(known.AsOf) < sched.UsageLifetime+control.regionLife()
}

// silentHosts returns the hosts of other data centres that do not respond to their relays.
func (control *control) silentHosts(now time.Time) value.Set[string] {
	silent := value.NewSet[string]()
	for dataCentre, region := range control.relays.regions {
		if control.regionCounts(now, dataCentre) {
			for _, name := range region.silent {
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
	if control.relays.topology.Regional {
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

// reportRegions updates the gauges about relays.
func (control *control) reportRegions(now time.Time) {
	if !control.relays.topology.Regional || control.relays.ticks%regionReportTicks != 0 {
		return
	}
	acting := 0.0
	if control.acting(now) {
		acting = 1
	}
	metrics := control.coordinator.metrics
	metrics.Gauge("relay").Update(acting)
	for dataCentre, region := range control.relays.regions {
		metrics.Tagged(map[string]string{"data_centre": dataCentre}).Gauge("region_age_ms").Update(float64(now.Sub(region.AsOf).Milliseconds()))
	}
}
