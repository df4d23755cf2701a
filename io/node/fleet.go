package node

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"lentilproxy"
	"lentilproxy/core/conf"
	"lentilproxy/core/fresh"
	"lentilproxy/core/member"
	"lentilproxy/core/value"
)

const (
	// polledPeers is the number of peers that are polled at a time while the table responds.
	polledPeers = 3
	// fullPollMembers is the largest number of peers that every host polls at once while its proof is aging.
	fullPollMembers = 16
	// fullPollers is the average number of hosts of a larger roster that poll all peers while their proofs are
	// aging. The others use the proofs of these hosts.
	fullPollers = 4
	startRetry  = 300 * time.Millisecond
	// rosterStagger is the delay per position in the roster before a host proposes a roster, so that one host proposes
	// first.
	rosterStagger = 300 * time.Millisecond
)

// start registers the host and reads the configuration. It returns false if the node is stopped before.
func (control *control) start() bool {
	ctx := control.node.background
	for ctx.Err() == nil {
		if control.register(ctx) && control.loadState(ctx) {
			control.node.traffic.open(time.Now(), control.incarnation)
			control.ready = true
			control.node.log.Info("joined", "incarnation", control.incarnation, "revision", control.state.Revision())
			return true
		}
		select {
		case <-time.After(startRetry):
		case <-ctx.Done():
		}
	}
	return false
}

func (control *control) loadState(ctx context.Context) bool {
	sentAt := time.Now()
	changes, snapshot, err := control.node.changesAfter(ctx, conf.NewState())
	if err != nil {
		return false
	}
	now := time.Now()
	control.replaceState(now, snapshot)
	control.applyChanges(now, changes)
	control.tracker.RecordRead(control.state.Revision(), sentAt)
	control.publishProof(now)
	return true
}

func (control *control) self() conf.Member {
	settings := control.node.settings
	return conf.Member{Name: settings.Host.Name, DataCentre: settings.Host.DataCentre, PeerAddress: settings.Listen.AdvertisePeers}
}

func (control *control) ownHeartbeat() member.Heartbeat {
	return member.Heartbeat{
		Member: control.self(), Incarnation: control.incarnation, HeartbeatSeq: control.heartbeatSeq, Revision: control.state.Revision(),
		Leaving: control.node.leaving(),
	}
}

func (node *Node) leaving() bool {
	select {
	case <-node.stopping:
		return true
	default:
		return false
	}
}

// register claims the next incarnation of the host's name in the table.
func (control *control) register(ctx context.Context) bool {
	key := prefixHost + control.node.Name()
	result, err := control.node.table.Read(ctx, lentilproxy.ReadRequest{Keys: []string{key}})
	if err != nil {
		return false
	}
	row := result.Row(key)
	var last member.Heartbeat
	if row.Version != 0 {
		if err = json.Unmarshal(row.Value, &last); err != nil {
			return false
		}
	}
	control.incarnation = last.Incarnation + 1
	committed, err := control.node.table.Commit(ctx, lentilproxy.Transaction{
		Conditions: []lentilproxy.Condition{{Key: key, Version: row.Version}},
		Writes:     []lentilproxy.Write{{Key: key, Value: mustEncode(control.ownHeartbeat())}},
	})
	return err == nil && committed.Committed && control.readRowVersion(ctx)
}

func (control *control) readRowVersion(ctx context.Context) bool {
	key := prefixHost + control.node.Name()
	result, err := control.node.table.Read(ctx, lentilproxy.ReadRequest{Keys: []string{key}})
	if err != nil {
		return false
	}
	control.rowVersion = result.Row(key).Version
	return true
}

// heartbeat writes the host's row and reads it back. A later incarnation in the row stops this node.
func (control *control) heartbeat(_ time.Time, done func()) {
	control.heartbeatSeq++
	key := prefixHost + control.node.Name()
	heartbeat := control.ownHeartbeat()
	version := control.rowVersion
	control.background(done, func(ctx context.Context) func(time.Time) {
		_, err := control.node.table.Commit(ctx, lentilproxy.Transaction{
			Conditions: []lentilproxy.Condition{{Key: key, Version: version}},
			Writes:     []lentilproxy.Write{{Key: key, Value: mustEncode(heartbeat)}},
		})
		if err != nil {
			return nil
		}
		row, err := control.node.table.Read(ctx, lentilproxy.ReadRequest{Keys: []string{key}})
		if err != nil {
			return nil
		}
		var seen member.Heartbeat
		if json.Unmarshal(row.Row(key).Value, &seen) != nil {
			return nil
		}
		return func(time.Time) { control.checkOwnRow(seen, row.Row(key).Version) }
	})
}

func (control *control) checkOwnRow(seen member.Heartbeat, version int64) {
	if seen.Incarnation > control.incarnation {
		control.node.log.Info("superseded", "incarnation", control.incarnation, "by", seen.Incarnation)
		control.node.fail(errSuperseded)
		return
	}
	control.rowVersion = version
}

func (control *control) pollEvery() time.Duration {
	if control.aging(time.Now()) {
		return agingPollInterval
	}
	return pollInterval
}

func (control *control) aging(now time.Time) bool {
	at, proven := control.tracker.ProvenAt()
	return !proven || now.Sub(at) > agingProof
}

// poll requests the status of peers. While the table responds, a few peers are enough to detect failures. Once the
// proof of this host is aging, the responses of a majority are needed.
func (control *control) poll(now time.Time, done func()) {
	defer done()
	peers := control.peers()
	rand.Shuffle(len(peers), func(left, right int) { peers[left], peers[right] = peers[right], peers[left] })
	full := control.aging(now) && (len(peers) <= fullPollMembers || rand.IntN(len(peers)) < fullPollers)
	if !full {
		peers = control.withOwners(peers, polledPeers)
	}
	for _, known := range peers {
		control.requestStatus(known)
	}
}

func (control *control) peers() []conf.Member {
	return control.state.Roster().Others(control.node.Name())
}

// withOwners returns the first peers and the owners of pools, whose failure must be detected soon.
func (control *control) withOwners(peers []conf.Member, count int) []conf.Member {
	owners := value.NewSet[string]()
	for _, owner := range control.state.List(conf.KindOwner) {
		owners.Add(owner.Owner.Host)
	}
	var chosen []conf.Member
	for index, known := range peers {
		if index < count || owners.Has(known.Name) {
			chosen = append(chosen, known)
		}
	}
	return chosen
}

func (control *control) selfStatus() statusParams {
	return statusParams{Host: control.node.Name(), Incarnation: control.incarnation, Revision: control.state.Revision()}
}

func (control *control) requestStatus(known conf.Member) {
	params := control.selfStatus()
	control.call(known, methodStatus, params, func() {})
}

// call sends a status request or a notification, and records the status that the peer returns. It runs done in the control
// goroutine once the call has ended.
func (control *control) call(known conf.Member, method string, params any, done func()) {
	control.background(done, func(ctx context.Context) func(time.Time) {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		var status fresh.Status
		sentAt := time.Now()
		if err := control.node.peers.Call(ctx, known.PeerAddress, method, params, &status); err != nil {
			return nil
		}
		return func(now time.Time) { control.recordStatus(now, known, status, sentAt) }
	})
}

func (control *control) recordStatus(now time.Time, known conf.Member, status fresh.Status, sentAt time.Time) {
	if status.Host != known.Name {
		return
	}
	control.respondedAt[status.Host] = now
	if control.tracker.RecordStatus(status, sentAt) {
		control.fetchFromPeer(now, status.Host)
	}
	control.publishProof(now)
}

// fetchFromPeer reads missing changes from a peer, since the table may be unavailable. If that fails, it reads them
// from the table.
func (control *control) fetchFromPeer(now time.Time, host string) {
	known, found := control.state.Roster().Member(host)
	if !found {
		control.fetchChanges(now)
		return
	}
	after := control.state.Revision()
	control.background(func() {}, func(ctx context.Context) func(time.Time) {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		var result changesResult
		err := control.node.peers.Call(ctx, known.PeerAddress, methodChanges, changesParams{After: after}, &result)
		return func(now time.Time) {
			if err != nil || !follows(control.state, result.Changes) {
				control.fetchChanges(now)
				return
			}
			control.applyChanges(now, result.Changes)
		}
	})
}
