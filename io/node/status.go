package node

import (
	"context"
	"time"

	"lentilproxy/core/conf"
	"lentilproxy/core/limit"
	"lentilproxy/core/value"

	"github.com/samber/oops"
)

// HostStatus describes one host of the roster.
type HostStatus struct {
	Name       string `json:"name"`
	DataCentre string `json:"data_centre"`
	// Acknowledged reports whether the host is known to hold the newest revision.
	Acknowledged bool `json:"acknowledged"`
	// SilentMS is how long ago the host last responded; -1 means never.
	SilentMS   int64 `json:"silent_ms"`
	Leaving    bool  `json:"leaving,omitempty"`
	Terminated bool  `json:"gone,omitempty"`
}

// PoolStatus describes one pool of engines.
type PoolStatus struct {
	Name  string `json:"name"`
	Owner string `json:"owner"`
	Epoch int64  `json:"epoch"`
	// Active, Waiting, Instances and Loads are set on the owner only.
	Active    bool  `json:"active,omitempty"`
	Waiting   int   `json:"waiting,omitempty"`
	Instances int   `json:"instances,omitempty"`
	Loads     int64 `json:"loads,omitempty"`
}

// LimitStatus describes one workspace's tokens on this host.
type LimitStatus struct {
	Workspace string  `json:"workspace"`
	Level     float64 `json:"level"`
}

// Status is the state of the deployment as seen by one host.
type Status struct {
	Host          string        `json:"host"`
	Incarnation   int64         `json:"incarnation"`
	Revision      int64         `json:"revision"`
	Fresh         bool          `json:"fresh"`
	ProofAgeMS    int64         `json:"proof_age_ms"`
	RosterSettled bool          `json:"roster_settled"`
	Hosts         []HostStatus  `json:"hosts"`
	Pools         []PoolStatus  `json:"pools"`
	Limits        []LimitStatus `json:"limits"`
	Permits       int           `json:"permits"`
	Suspects      int           `json:"suspects"`
	PeerSent      int64         `json:"peer_bytes_sent"`
	PeerReceived  int64         `json:"peer_bytes_received"`
}

// Status returns the state of the deployment as seen by this host.
func (node *Node) Status(ctx context.Context) (Status, error) {
	var status Status
	control := node.traffic.control
	if !node.loop.Do(ctx, func(now time.Time) { status = control.describe(now) }) {
		return status, oops.Code("node_stopping").Errorf("the node is not running")
	}
	node.traffic.describe(time.Now(), &status)
	status.PeerSent, status.PeerReceived = node.meter.Sent(), node.meter.Received()
	return status, nil
}

func (control *control) describe(now time.Time) Status {
	roster := control.state.Roster()
	status := Status{
		Host: control.node.Name(), Incarnation: control.incarnation, Revision: control.state.Revision(),
		Fresh: control.tracker.Fresh(now), ProofAgeMS: -1, RosterSettled: roster.Settled,
	}
	if at, proven := control.tracker.ProvenAt(); proven {
		status.ProofAgeMS = now.Sub(at).Milliseconds()
	}
	acknowledged := control.tracker.Acknowledged(control.state.Revision())
	for _, known := range roster.AllMembers() {
		host := HostStatus{
			Name: known.Name, DataCentre: known.DataCentre, Acknowledged: acknowledged.Has(known.Name), SilentMS: -1,
			Terminated: control.directory.Terminated(known.Name),
		}
		if lastAt, found := control.respondedAt[known.Name]; found {
			host.SilentMS = now.Sub(lastAt).Milliseconds()
		}
		if heartbeat, found := control.directory.Heartbeat(known.Name); found {
			host.Leaving = heartbeat.Leaving
		}
		status.Hosts = append(status.Hosts, host)
	}
	for _, name := range value.Sorted(poolNames(control.state)) {
		status.Pools = append(status.Pools, control.describePool(name))
	}
	return status
}

func (control *control) describePool(name string) PoolStatus {
	owner := control.state.Owner(name)
	status := PoolStatus{Name: name, Owner: owner.Host, Epoch: owner.Epoch}
	if owned := control.owned[name]; owned != nil {
		status.Active, status.Waiting = owned.active, owned.manager.Waiting()
		status.Instances, status.Loads = owned.manager.Instances(), owned.manager.Loads()
	}
	return status
}

func (traffic *traffic) describe(now time.Time, status *Status) {
	state := traffic.node.View().state
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	status.Permits = traffic.permits.Count()
	status.Suspects = traffic.crashes.Suspects()
	traffic.loans.Limiter(func(limiter *limit.Limiter) {
		for _, resource := range state.List(conf.KindLimit) {
			status.Limits = append(status.Limits, LimitStatus{Workspace: resource.Name, Level: limiter.Level(now, resource.Name)})
		}
	})
}
