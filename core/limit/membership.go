package limit

import (
	"time"

	"lentilproxy/core/value"
)

const (
	// heardFor is how long a host counts after its last message, whatever the store says of it.
	heardFor = 3 * time.Second
	// ackedFor is how long another host surely counts this one after it has answered a message. It is shorter than
	// heardFor by the time of a message.
	ackedFor = 2 * time.Second
	// isolatedPart is the part of its share that a host uses while the others may have divided it among themselves: even
	// if all but one are isolated, a quarter of the rate in excess stays within what deployments tolerate.
	isolatedPart = 0.25
	// noticeTime is how long a scan of the store counts, and so how long a host that has joined or come back waits until
	// the others have seen its row. It is longer than the time between two scans.
	noticeTime = 2500 * time.Millisecond
	// rememberFor is how long a host that cannot read the store still counts those that it has known.
	rememberFor = time.Minute
)

// Membership decides which part of every limit a host holds, by the hosts that are known to take part.
//
// A host counts while its row is in the store, which is until its lease has surely ended, or while it is heard. A host
// that can neither read the store nor reach all the others may be counted by nobody and uses only a part of its share.
type Membership struct {
	self  string
	rows  value.Set[string]
	heard map[string]heard
	acked map[string]time.Time
	// known is when each host was a member last.
	known map[string]time.Time
	// scannedAt is when the rows were asked for, and freshSince the first of the scans that followed each other closely.
	scannedAt  time.Time
	freshSince time.Time
	// settled says that the others have surely seen this host once.
	settled bool
}

// heard is the last message of a host.
type heard struct {
	at time.Time
	// members is the number of hosts that it counted.
	members int
}

// NewMembership returns the membership of a host that knows nobody yet, not even itself.
func NewMembership(self string) *Membership {
	return &Membership{self: self, rows: value.NewSet[string](), heard: map[string]heard{}, acked: map[string]time.Time{}, known: map[string]time.Time{}}
}

// Rows takes in the hosts that have a row in the store, as of a scan that was asked for at an instant.
func (membership *Membership) Rows(scannedAt time.Time, hosts []string) {
	before := membership.rows.Has(membership.self)
	membership.rows = value.NewSet(hosts...)
	if !before || scannedAt.Sub(membership.scannedAt) >= noticeTime {
		membership.freshSince = scannedAt
	}
	membership.scannedAt = scannedAt
}

// Heard takes in a message of another host, which counted a number of members.
func (membership *Membership) Heard(now time.Time, host string, members int) {
	membership.heard[host] = heard{at: now, members: members}
}

// Acked takes in that another host has answered a message that was sent at an instant.
func (membership *Membership) Acked(sentAt time.Time, host string) { membership.acked[host] = sentAt }

// Division says how limits are divided.
type Division struct {
	// Members is the number of hosts that share limits; 0 before anything is known.
	Members int
	// Isolated says whether others may still, or again, divide this host's share among themselves.
	Isolated bool
	// Fraction is the part of every limit that the host holds. Before anything is known it is a small one.
	Fraction float64
}

// Divide returns how limits are divided at an instant.
func (membership *Membership) Divide(now time.Time) Division {
	members := membership.members(now)
	count := membership.count(now, members)
	division := Division{Members: count, Isolated: membership.isolated(now, members)}
	switch {
	case count == 0:
		division.Fraction = isolatedPart / MaxHomes
	case !division.Isolated:
		division.Fraction = 1 / float64(count)
	case !membership.settled:
		// Hosts that cannot be seen from here may be isolated, and use their parts.
		division.Fraction = isolatedPart / float64(max(count, MaxHomes))
	default:
		division.Fraction = isolatedPart / float64(count)
	}
	return division
}

// Members returns the number of hosts that share limits; 0 before anything is known.
func (membership *Membership) Members(now time.Time) int {
	return membership.count(now, membership.members(now))
}

func (membership *Membership) count(now time.Time, members value.Set[string]) int {
	count := len(members)
	if count == 0 || membership.fresh(now) {
		return count
	}
	// Others may know of hosts that joined while this one could not read the store.
	for _, last := range membership.heard {
		count = max(count, last.members)
	}
	return count
}

func (membership *Membership) members(now time.Time) value.Set[string] {
	members := value.NewSet[string]()
	if len(membership.rows) == 0 {
		return members
	}
	members.Add(membership.self)
	for host := range membership.rows {
		members.Add(host)
	}
	for host, last := range membership.heard {
		if now.Sub(last.at) < heardFor {
			members.Add(host)
			continue
		}
		delete(membership.heard, host)
	}
	for host := range members {
		membership.known[host] = now
	}
	if membership.fresh(now) {
		membership.settled = true
		return members
	}
	// Hosts that left may have come back unseen.
	for host, at := range membership.known {
		if now.Sub(at) < rememberFor {
			members.Add(host)
			continue
		}
		delete(membership.known, host)
	}
	return members
}

// fresh says whether the host knows from the store who takes part, and the others know of it.
func (membership *Membership) fresh(now time.Time) bool {
	return membership.rows.Has(membership.self) && now.Sub(membership.scannedAt) < noticeTime && now.Sub(membership.freshSince) >= noticeTime
}

// Isolated says whether others may still, or again, divide this host's share among themselves.
func (membership *Membership) Isolated(now time.Time) bool {
	return membership.isolated(now, membership.members(now))
}

func (membership *Membership) isolated(now time.Time, members value.Set[string]) bool {
	if membership.fresh(now) {
		return false
	}
	if len(members) < 2 {
		// Nobody is left who could know of others.
		return true
	}
	for host := range members {
		if host != membership.self && now.Sub(membership.acked[host]) >= ackedFor {
			return true
		}
	}
	return false
}

// Fraction returns the part of every limit that the host holds.
func (membership *Membership) Fraction(now time.Time) float64 { return membership.Divide(now).Fraction }
