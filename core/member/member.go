// Package member decides which hosts belong to the roster.
//
// A host joins by its heartbeat row in the table. It counts as gone only if two independent signs agree: the
// platform's host list does not name it, and its heartbeat has stopped.
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
	// GoneAfter is how long a heartbeat has to be missing before the host counts as gone.
	GoneAfter = fresh.Takeover + HeartbeatInterval + 2*time.Second
	// JoinDelay is how long a new host waits for others to join in the same change of the roster.
	JoinDelay = 500 * time.Millisecond
)

// Heartbeat is the row of one host.
type Heartbeat struct {
	Member conf.Member `json:"member"`
	// Incarnation counts the starts of the host; Beat counts the writes of one incarnation.
	Incarnation int64 `json:"incarnation"`
	Beat        int64 `json:"beat"`
	// Revision is the configuration revision that the host holds.
	Revision int64 `json:"revision"`
	Leaving  bool  `json:"leaving,omitempty"`
}

type sighting struct {
	heartbeat Heartbeat
	changedAt time.Time
	firstAt   time.Time
}

// Directory remembers heartbeats and the platform's host list.
type Directory struct {
	sightings map[string]sighting
	listed    value.Set[string]
	haveList  bool
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory {
	return &Directory{sightings: map[string]sighting{}}
}

// Observe records the heartbeats read from the table.
func (directory *Directory) Observe(now time.Time, heartbeats []Heartbeat) {
	for _, heartbeat := range heartbeats {
		last, found := directory.sightings[heartbeat.Member.Name]
		if found && last.heartbeat == heartbeat {
			continue
		}
		seen := sighting{heartbeat: heartbeat, changedAt: now, firstAt: now}
		if found {
			seen.firstAt = last.firstAt
		}
		directory.sightings[heartbeat.Member.Name] = seen
	}
}

// List records the hosts that the platform believes to exist.
func (directory *Directory) List(names []string) {
	directory.listed = value.NewSet(names...)
	directory.haveList = true
}

// Heartbeat returns the last heartbeat of a host.
func (directory *Directory) Heartbeat(name string) (Heartbeat, bool) {
	seen, found := directory.sightings[name]
	return seen.heartbeat, found
}

// Gone says whether a host is known to have ended.
func (directory *Directory) Gone(now time.Time, name string) bool {
	if !directory.haveList || directory.listed.Has(name) {
		return false
	}
	seen, found := directory.sightings[name]
	return found && now.Sub(seen.changedAt) >= GoneAfter
}

// Silent says whether a host's heartbeat has stopped, whatever the platform's list says.
func (directory *Directory) Silent(now time.Time, name string) bool {
	seen, found := directory.sightings[name]
	return found && (seen.heartbeat.Leaving || now.Sub(seen.changedAt) >= GoneAfter)
}

// Counted returns the hosts that cannot act on an older revision any more: those that acknowledged, and those gone.
func (directory *Directory) Counted(now time.Time, roster *conf.Roster, acknowledged value.Set[string]) value.Set[string] {
	counted := value.NewSet[string]()
	for _, member := range roster.AllMembers() {
		if acknowledged.Has(member.Name) || directory.Gone(now, member.Name) {
			counted.Add(member.Name)
		}
	}
	return counted
}

// Plan returns the roster that should follow a settled one, if it differs.
func (directory *Directory) Plan(now time.Time, roster *conf.Roster) (*conf.Roster, bool) {
	if !roster.Settled {
		return nil, false
	}
	next := &conf.Roster{Previous: roster.Members}
	changed := false
	for _, member := range roster.Members {
		if directory.Gone(now, member.Name) || directory.left(member.Name) {
			changed = true
			continue
		}
		if seen, found := directory.sightings[member.Name]; found && seen.heartbeat.Member != member {
			member, changed = seen.heartbeat.Member, true
		}
		next.Members = append(next.Members, member)
	}
	for _, name := range value.Sorted(directory.sightings) {
		if !roster.Has(name) && directory.joining(now, name) {
			next.Members = append(next.Members, directory.sightings[name].heartbeat.Member)
			changed = true
		}
	}
	if len(next.Members) == 0 {
		return nil, false
	}
	return next, changed
}

func (directory *Directory) left(name string) bool {
	return directory.sightings[name].heartbeat.Leaving && directory.haveList && !directory.listed.Has(name)
}

func (directory *Directory) joining(now time.Time, name string) bool {
	seen := directory.sightings[name]
	return !seen.heartbeat.Leaving && now.Sub(seen.changedAt) < GoneAfter && now.Sub(seen.firstAt) >= JoinDelay
}

// Settle returns the settled form of a roster.
func Settle(roster *conf.Roster) *conf.Roster {
	return &conf.Roster{Members: roster.Members, Settled: true}
}
