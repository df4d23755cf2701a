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

// Crowd decides which part of every limit a host holds, by the hosts that are known to take part.
//
// A host counts while its row is in the store, which is until its lease has surely ended, or while it is heard. A host
// that can neither read the store nor reach all the others may be counted by nobody and uses only a part of its share.
type Crowd struct {
	self  string
	rows  value.Set[string]
	heard map[string]time.Time
	acked map[string]time.Time
	// known is when each host was a member last.
	known map[string]time.Time
	// scannedAt is when the rows were asked for, and freshSince the first of the scans that followed each other closely.
	scannedAt  time.Time
	freshSince time.Time
}

// NewCrowd returns the crowd of a host that knows nobody yet, not even itself.
func NewCrowd(self string) *Crowd {
	return &Crowd{self: self, rows: value.NewSet[string](), heard: map[string]time.Time{}, acked: map[string]time.Time{}, known: map[string]time.Time{}}
}

// Rows takes in the hosts that have a row in the store, as of a scan that was asked for at an instant.
func (crowd *Crowd) Rows(scannedAt time.Time, hosts []string) {
	before := crowd.rows.Has(crowd.self)
	crowd.rows = value.NewSet(hosts...)
	if !before || scannedAt.Sub(crowd.scannedAt) >= noticeTime {
		crowd.freshSince = scannedAt
	}
	crowd.scannedAt = scannedAt
}

// Heard takes in a message of another host.
func (crowd *Crowd) Heard(now time.Time, host string) { crowd.heard[host] = now }

// Acked takes in that another host has answered a message that was sent at an instant.
func (crowd *Crowd) Acked(sentAt time.Time, host string) { crowd.acked[host] = sentAt }

// Members returns the number of hosts that share limits; 0 before anything is known.
func (crowd *Crowd) Members(now time.Time) int { return len(crowd.members(now)) }

func (crowd *Crowd) members(now time.Time) value.Set[string] {
	members := value.NewSet[string]()
	if len(crowd.rows) == 0 {
		return members
	}
	members.Add(crowd.self)
	for host := range crowd.rows {
		members.Add(host)
	}
	for host, at := range crowd.heard {
		if now.Sub(at) < heardFor {
			members.Add(host)
			continue
		}
		delete(crowd.heard, host)
	}
	for host := range members {
		crowd.known[host] = now
	}
	if crowd.fresh(now) {
		return members
	}
	// Hosts that left may have come back unseen.
	for host, at := range crowd.known {
		if now.Sub(at) < rememberFor {
			members.Add(host)
			continue
		}
		delete(crowd.known, host)
	}
	return members
}

// fresh says whether the host knows from the store who takes part, and the others know of it.
func (crowd *Crowd) fresh(now time.Time) bool {
	return crowd.rows.Has(crowd.self) && now.Sub(crowd.scannedAt) < noticeTime && now.Sub(crowd.freshSince) >= noticeTime
}

// Isolated says whether others may still, or again, divide this host's share among themselves.
func (crowd *Crowd) Isolated(now time.Time) bool {
	if crowd.fresh(now) {
		return false
	}
	members := crowd.members(now)
	if len(members) < 2 {
		// Nobody is left who could know of others.
		return true
	}
	for host := range members {
		if host != crowd.self && now.Sub(crowd.acked[host]) >= ackedFor {
			return true
		}
	}
	return false
}

// Fraction returns the part of every limit that the host holds. Before anything is known it is a small one.
func (crowd *Crowd) Fraction(now time.Time) float64 {
	members := crowd.Members(now)
	switch {
	case members == 0:
		return isolatedPart / MaxHomes
	case crowd.Isolated(now):
		return isolatedPart / float64(members)
	default:
		return 1 / float64(members)
	}
}
