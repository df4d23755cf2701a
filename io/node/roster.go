package node

import (
	"context"
	"encoding/json"
	"maps"
	"time"

	"github.com/samber/oops"

	"lentilproxy"
	"lentilproxy/core/conf"
	"lentilproxy/core/fresh"
	"lentilproxy/core/member"
)

// directoryEvery returns the interval between directory scans. It grows with the roster, so that each host reads a
// constant number of rows per second.
func (control *control) directoryEvery() time.Duration {
	members := len(control.state.Roster().Members)
	return max(minDirectoryInterval, time.Duration(members)*directoryIntervalPerHost)
}

func (control *control) scanDirectory(_ time.Time, done func()) {
	control.background(done, func(ctx context.Context) func(time.Time) {
		result, err := control.node.table.Read(ctx, lentilproxy.ReadRequest{Prefixes: []string{prefixHost}})
		if err != nil {
			return func(time.Time) { control.directory.Interrupt() }
		}
		hosts, listErr := control.node.hostList.Hosts(ctx)
		return func(now time.Time) {
			control.recordHeartbeats(now, result.Rows)
			if listErr == nil {
				control.recordHostList(hosts)
			}
		}
	})
}

func (control *control) recordHeartbeats(now time.Time, rows []lentilproxy.Row) {
	var heartbeats []member.Heartbeat
	for _, row := range rows {
		var heartbeat member.Heartbeat
		if json.Unmarshal(row.Value, &heartbeat) == nil {
			heartbeats = append(heartbeats, heartbeat)
			control.tracker.Acknowledge(heartbeat.Member.Name, heartbeat.Revision)
		}
	}
	control.directory.Observe(now, heartbeats)
}

func (control *control) recordHostList(hosts []lentilproxy.HostStatus) {
	var names []string
	for _, host := range hosts {
		names = append(names, host.Name)
	}
	control.directory.SetHostList(names)
	control.drainLeaving(hosts)
}

// drainLeaving drains the backend servers that the platform lists as leaving. The list lags, and each host reads it at
// a different time. A configuration change reaches all hosts at once.
func (control *control) drainLeaving(hosts []lentilproxy.HostStatus) {
	for _, host := range hosts {
		if host.Leaving {
			control.drainServer(host.Name)
		}
	}
}

// drainServer drains a backend server on all hosts, unless it drains already.
func (control *control) drainServer(name string) {
	ref := conf.Ref{Kind: conf.KindBackendServer, Name: name}
	old := control.state.Get(ref)
	if old == nil || old.BackendServer.Draining || control.draining.Has(name) {
		return
	}
	control.draining.Add(name)
	control.background(func() { delete(control.draining, name) }, func(ctx context.Context) func(time.Time) {
		control.node.Commit(ctx, newToken(), func(state *conf.State) (conf.Change, []conf.Problem, bool) {
			current := state.Get(ref)
			if current == nil || current.BackendServer.Draining {
				return conf.Change{}, nil, false
			}
			server := *current.BackendServer
			server.Draining = true
			resource := conf.Resource{Kind: ref.Kind, Name: ref.Name, BackendServer: &server}
			return conf.Change{Puts: []conf.Resource{resource}}, nil, true
		})
		return nil
	})
}

// reviewRoster settles a roster once no host can act on the previous one, or proposes the next roster.
func (control *control) reviewRoster(now time.Time, done func()) {
	roster := control.state.Roster()
	var next *conf.Roster
	switch {
	case control.node.leaving() || !control.tracker.Fresh(now):
	case len(roster.Members) == 0:
		next = &conf.Roster{Members: []conf.Member{control.self()}, Settled: true}
	case !roster.Settled:
		if control.inForceFor(now, control.rosterRevision()) >= fresh.TakeoverDelay {
			next = member.Settle(roster)
		}
	default:
		if planned, changed := control.directory.NextRoster(now, roster); changed {
			next = planned
		}
	}
	if next == nil {
		done()
		return
	}
	control.proposeRoster(roster, next, done)
}

func (control *control) rosterRevision() int64 {
	if resource := control.state.Get(conf.Ref{Kind: conf.KindRoster, Name: conf.RosterName}); resource != nil {
		return resource.Revision
	}
	return 0
}

// inForceFor returns for how long a quorum is known to have held a revision.
func (control *control) inForceFor(now time.Time, revision int64) time.Duration {
	confirmed := control.directory.Confirmed(control.state.Roster(), control.tracker.Acknowledged(revision))
	if !control.state.Roster().Quorum(confirmed) {
		return 0
	}
	return recordQuorum(now, control.quorumSince, revision)
}

// recordQuorum records that a quorum holds a revision now, and returns for how long it is known to have held it. A
// quorum that holds a revision holds all earlier ones, so those before the newest one that has been held for
// fresh.TakeoverDelay are dropped.
func recordQuorum(now time.Time, quorumSince map[int64]time.Time, revision int64) time.Duration {
	if _, found := quorumSince[revision]; !found {
		quorumSince[revision] = now
	}
	longest, settled := time.Duration(0), int64(0)
	for held, since := range quorumSince {
		if held >= revision {
			longest = max(longest, now.Sub(since))
		}
		if now.Sub(since) >= fresh.TakeoverDelay {
			settled = max(settled, held)
		}
	}
	maps.DeleteFunc(quorumSince, func(held int64, _ time.Time) bool { return held < settled })
	return longest
}

func (control *control) proposeRoster(old, next *conf.Roster, done func()) {
	delay := time.Duration(control.rosterIndex()) * rosterStagger
	control.background(done, func(ctx context.Context) func(time.Time) {
		select {
		case <-time.After(delay):
		case <-ctx.Done():
			return nil
		}
		control.node.Commit(ctx, newToken(), func(state *conf.State) (conf.Change, []conf.Problem, bool) {
			// If the roster has changed since the proposal, another host was first.
			same := string(mustEncode(state.Roster())) == string(mustEncode(old))
			resource := conf.Resource{Kind: conf.KindRoster, Name: conf.RosterName, Roster: next}
			return conf.Change{Puts: []conf.Resource{resource}}, nil, same
		})
		return nil
	})
}

// rosterIndex returns the number of members before this host in the roster.
func (control *control) rosterIndex() int {
	for index, known := range control.state.Roster().Members {
		if known.Name == control.node.Name() {
			return index
		}
	}
	return len(control.state.Roster().Members)
}

// Acceptance describes which hosts may still act on a revision older than a given one. Accepted reports whether a
// quorum no longer can, and InForce whether no host can.
type Acceptance struct {
	Accepted bool `json:"accepted"`
	InForce  bool `json:"in_force"`
	// Missing are the hosts that may still act on an older revision.
	Missing []string `json:"missing,omitempty"`
}

// Acceptance returns the acceptance of a revision, from the acknowledgements that this host has received.
func (node *Node) Acceptance(ctx context.Context, revision int64) (Acceptance, error) {
	var acceptance Acceptance
	control := node.traffic.control
	if !node.loop.Do(ctx, func(time.Time) { acceptance = control.acceptance(revision) }) {
		return acceptance, oops.Code("node_stopping").Errorf("the node is not running")
	}
	return acceptance, nil
}

func (control *control) acceptance(revision int64) Acceptance {
	roster := control.state.Roster()
	confirmed := control.directory.Confirmed(roster, control.tracker.Acknowledged(revision))
	acceptance := Acceptance{Accepted: roster.Quorum(confirmed)}
	for _, known := range roster.AllMembers() {
		if !confirmed.Has(known.Name) {
			acceptance.Missing = append(acceptance.Missing, known.Name)
		}
	}
	acceptance.InForce = acceptance.Accepted && len(acceptance.Missing) == 0
	return acceptance
}
