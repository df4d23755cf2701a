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
	// polledPeers is the number of peers that are asked at a time while the table answers.
	polledPeers = 3
	// fullPollMembers is the largest roster of which everybody is asked once a proof grows old.
	fullPollMembers = 16
	// fullPollers is the number of hosts of a larger roster that ask everybody; the others take over their proofs.
	fullPollers = 4
	startRetry  = 300 * time.Millisecond
	// pushFor is how long a host tells the others of its own commit.
	pushFor = 8 * time.Second
	// rosterStagger is the delay by rank before a host proposes a roster, so that one of them is first.
	rosterStagger = 300 * time.Millisecond
)

// start registers the host and reads the configuration. It says no if the node was ended first.
func (control *control) start() bool {
	ctx := control.node.background
	for ctx.Err() == nil {
		if control.register(ctx) && control.load(ctx) {
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

func (control *control) load(ctx context.Context) bool {
	sentAt := time.Now()
	changes, snapshot, err := control.node.changesAfter(ctx, conf.NewState())
	if err != nil {
		return false
	}
	now := time.Now()
	control.replace(now, snapshot)
	control.adopt(now, changes)
	control.tracker.RecordRead(control.state.Revision(), sentAt)
	control.publishProof(now)
	return true
}

func (control *control) self() conf.Member {
	settings := control.node.settings
	return conf.Member{Name: settings.Host.Name, DataCentre: settings.Host.DataCentre, PeerAddress: settings.Listen.AdvertisePeers}
}

func (control *control) hostRow() member.Heartbeat {
	return member.Heartbeat{
		Member: control.self(), Incarnation: control.incarnation, HeartbeatSeq: control.beat, Revision: control.state.Revision(),
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

// register takes the next incarnation of the host's name.
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
		Writes:     []lentilproxy.Write{{Key: key, Value: mustEncode(control.hostRow())}},
	})
	return err == nil && committed.Committed && control.learnRow(ctx)
}

func (control *control) learnRow(ctx context.Context) bool {
	key := prefixHost + control.node.Name()
	result, err := control.node.table.Read(ctx, lentilproxy.ReadRequest{Keys: []string{key}})
	if err != nil {
		return false
	}
	control.rowVersion = result.Row(key).Version
	return true
}

// heartbeat writes the host's row. Another incarnation in the row ends this node.
func (control *control) heartbeat(_ time.Time, done func()) {
	control.beat++
	key := prefixHost + control.node.Name()
	beat := control.hostRow()
	version := control.rowVersion
	control.background(done, func(ctx context.Context) func(time.Time) {
		_, err := control.node.table.Commit(ctx, lentilproxy.Transaction{
			Conditions: []lentilproxy.Condition{{Key: key, Version: version}},
			Writes:     []lentilproxy.Write{{Key: key, Value: mustEncode(beat)}},
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
		return func(time.Time) { control.sawOwnRow(seen, row.Row(key).Version) }
	})
}

func (control *control) sawOwnRow(seen member.Heartbeat, version int64) {
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

// poll asks peers for their view. While the table answers, a few are enough to notice what went wrong; once the
// own proof grows old, a majority is needed.
func (control *control) poll(now time.Time, done func()) {
	defer done()
	peers := control.peers()
	rand.Shuffle(len(peers), func(left, right int) { peers[left], peers[right] = peers[right], peers[left] })
	full := control.aging(now) && (len(peers) <= fullPollMembers || rand.IntN(len(peers)) < fullPollers)
	if !full {
		peers = control.withOwners(peers, polledPeers)
	}
	for _, known := range peers {
		control.ask(known)
	}
}

func (control *control) peers() []conf.Member {
	return control.state.Roster().Others(control.node.Name())
}

// withOwners returns the first peers and the owners of pools, whose failure has to be noticed soon.
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

func (control *control) ask(known conf.Member) {
	params := control.selfStatus()
	control.call(known, methodStatus, params)
}

// call sends a status question or a notification and hears the answer.
func (control *control) call(known conf.Member, method string, params any) {
	control.background(func() {}, func(ctx context.Context) func(time.Time) {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		var reply fresh.Status
		sentAt := time.Now()
		if err := control.node.pool.Call(ctx, known.PeerAddress, method, params, &reply); err != nil {
			return nil
		}
		return func(now time.Time) { control.hear(now, known, reply, sentAt) }
	})
}

func (control *control) hear(now time.Time, known conf.Member, reply fresh.Status, sentAt time.Time) {
	if reply.Host != known.Name {
		return
	}
	control.heardAt[reply.Host] = now
	if control.tracker.RecordStatus(reply, sentAt) {
		control.fetchFromPeer(now, reply.Host)
	}
	control.publishProof(now)
}

// fetchFromPeer reads missing changes from a peer, since the table may be away, and otherwise from the table.
func (control *control) fetchFromPeer(now time.Time, host string) {
	known, found := control.state.Roster().Member(host)
	if !found {
		control.fetch(now)
		return
	}
	after := control.state.Revision()
	control.background(func() {}, func(ctx context.Context) func(time.Time) {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		var result changesResult
		err := control.node.pool.Call(ctx, known.PeerAddress, methodChanges, changesParams{After: after}, &result)
		return func(now time.Time) {
			if err != nil || !follows(control.state, result.Changes) {
				control.fetch(now)
				return
			}
			control.adopt(now, result.Changes)
		}
	})
}

func (control *control) startPush(now time.Time) {
	control.pushUntil = now.Add(pushFor)
	control.push(now, func() {})
}

// push tells the peers that lack this host's own commits.
func (control *control) push(now time.Time, done func()) {
	defer done()
	if now.After(control.pushUntil) {
		return
	}
	revision := control.state.Revision()
	acknowledged := control.tracker.Acknowledged(revision)
	var changes []conf.Change
	if count := len(control.tail); count > 0 {
		changes = control.tail[max(0, count-2):]
	}
	for _, known := range control.peers() {
		if !acknowledged.Has(known.Name) {
			control.call(known, methodNotify, notifyParams{From: control.selfStatus(), Changes: changes})
		}
	}
}
