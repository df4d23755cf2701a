// Package member decides which hosts belong to the roster.
//
// A host joins by writing a heartbeat row to the table. It counts as terminated only if two independent signs agree:
// the platform's host list lacks it, and its heartbeat has stopped.
package member

import (
	"time"

	"lentilproxy/core/conf"
	"lentilproxy/core/fresh"
	"lentilproxy/core/value"
)

const (
	// HeartbeatInterval is the time between two writes of a host's row.
	HeartbeatInterval = 3 * time.Second
	// HeartbeatTimeout is how long a host's row has to stay unchanged until its heartbeat counts as stopped.
	HeartbeatTimeout = fresh.TakeoverDelay + HeartbeatInterval + 2*time.Second
	// JoinDelay is how long the join of a new host is delayed, so that other new hosts join in the same roster change.
	JoinDelay = 500 * time.Millisecond
)

// Heartbeat is the heartbeat row of one host.
type Heartbeat struct {
	Member conf.Member `json:"member"`
	// Incarnation counts the starts of the host. HeartbeatSeq counts the writes of one incarnation.
	Incarnation  int64 `json:"incarnation"`
	HeartbeatSeq int64 `json:"beat"`
	// Revision is the configuration revision that the host holds.
	Revision int64 `json:"revision"`
	Leaving  bool  `json:"leaving,omitempty"`
}

type observation struct {
	heartbeat Heartbeat
	changedAt time.Time
	firstAt   time.Time
}

// Directory stores the last heartbeats and the platform's host list.
type Directory struct {
	observations map[string]observation
	listed       value.Set[string]
	hasHostList  bool
	// observedAt is the time of the last observation, and interrupted reports whether the table could not be read since.
	observedAt  time.Time
	interrupted bool
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory {
	return &Directory{observations: map[string]observation{}}
}

// Interrupt records that the table could not be read. Hosts cannot write their rows then either, so the time from the last
// observation to the next one does not count as silence of any host.
func (directory *Directory) Interrupt() { directory.interrupted = true }

// Observe records the heartbeats read from the table.
func (directory *Directory) Observe(now time.Time, heartbeats []Heartbeat) {
	if directory.interrupted {
		for name, seen := range directory.observations {
			seen.changedAt = seen.changedAt.Add(now.Sub(directory.observedAt))
			directory.observations[name] = seen
		}
	}
	directory.observedAt, directory.interrupted = now, false
	for _, heartbeat := range heartbeats {
		last, found := directory.observations[heartbeat.Member.Name]
		if found && last.heartbeat == heartbeat {
			continue
		}
		seen := observation{heartbeat: heartbeat, changedAt: now, firstAt: now}
		if found {
			seen.firstAt = last.firstAt
		}
		directory.observations[heartbeat.Member.Name] = seen
	}
}

// SetHostList records the platform's list of existing hosts.
func (directory *Directory) SetHostList(names []string) {
	directory.listed = value.NewSet(names...)
	directory.hasHostList = true
}

// Heartbeat returns the last heartbeat of a host.
func (directory *Directory) Heartbeat(name string) (Heartbeat, bool) {
	seen, found := directory.observations[name]
	return seen.heartbeat, found
}

// Terminated reports whether the platform's list lacks a host whose heartbeat has stopped.
func (directory *Directory) Terminated(name string) bool {
	if !directory.hasHostList || directory.listed.Has(name) {
		return false
	}
	seen, found := directory.observations[name]
	return found && directory.silence(seen) >= HeartbeatTimeout
}

// silence returns for how long a host's row has been seen unchanged, up to the last observation. The host may have written
// it since.
func (directory *Directory) silence(seen observation) time.Duration {
	return directory.observedAt.Sub(seen.changedAt)
}

// Silent reports whether a host is leaving or its heartbeat has stopped, regardless of the platform's list.
func (directory *Directory) Silent(name string) bool {
	seen, found := directory.observations[name]
	return found && (seen.heartbeat.Leaving || directory.silence(seen) >= HeartbeatTimeout)
}

// Confirmed returns the hosts that can no longer act on an older revision, because they have acknowledged the newer one
// or are terminated.
func (directory *Directory) Confirmed(roster *conf.Roster, acknowledged value.Set[string]) value.Set[string] {
	confirmed := value.NewSet[string]()
	for _, member := range roster.AllMembers() {
		if acknowledged.Has(member.Name) || directory.Terminated(member.Name) {
			confirmed.Add(member.Name)
		}
	}
	return confirmed
}

// NextRoster returns the roster that should follow a settled one, and reports whether it differs.
func (directory *Directory) NextRoster(now time.Time, roster *conf.Roster) (*conf.Roster, bool) {
	if !roster.Settled {
		return nil, false
	}
	next := &conf.Roster{Previous: roster.Members}
	changed := false
	for _, member := range roster.Members {
		if directory.Terminated(member.Name) || directory.hasLeft(member.Name) {
			changed = true
			continue
		}
		if seen, found := directory.observations[member.Name]; found && seen.heartbeat.Member != member {
			member, changed = seen.heartbeat.Member, true
		}
		next.Members = append(next.Members, member)
	}
	for _, name := range value.Sorted(directory.observations) {
		if !roster.Has(name) && directory.mayJoin(now, name) {
			next.Members = append(next.Members, directory.observations[name].heartbeat.Member)
			changed = true
		}
	}
	if len(next.Members) == 0 {
		return nil, false
	}
	return next, changed
}

func (directory *Directory) hasLeft(name string) bool {
	return directory.observations[name].heartbeat.Leaving && directory.hasHostList && !directory.listed.Has(name)
}

func (directory *Directory) mayJoin(now time.Time, name string) bool {
	seen := directory.observations[name]
	return !seen.heartbeat.Leaving && directory.silence(seen) < HeartbeatTimeout && now.Sub(seen.firstAt) >= JoinDelay
}

// Settle returns a settled roster with the same members.
func Settle(roster *conf.Roster) *conf.Roster {
	return &conf.Roster{Members: roster.Members, Settled: true}
}
