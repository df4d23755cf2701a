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
)

// Crowd decides which part of every limit a host holds, by the hosts that are known to take part.
//
// A host counts while its row is in the store, which is until its lease has surely ended, or while it is heard. A host
// that can neither renew its lease nor reach all the others may be counted by nobody and uses only a part of its share.
type Crowd struct {
	self  string
	rows  value.Set[string]
	heard map[string]time.Time
	acked map[string]time.Time
	// leasedUntil is the end of the host's lease.
	leasedUntil time.Time
}

// NewCrowd returns the crowd of a host that knows nobody yet, not even itself.
func NewCrowd(self string) *Crowd {
	return &Crowd{self: self, rows: value.NewSet[string](), heard: map[string]time.Time{}, acked: map[string]time.Time{}}
}

// Rows takes in the hosts that have a row in the store, and the end of the own lease.
func (crowd *Crowd) Rows(hosts []string, leasedUntil time.Time) {
	crowd.rows = value.NewSet(hosts...)
	crowd.leasedUntil = leasedUntil
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
	return members
}

// Isolated says whether others may divide this host's share among themselves.
func (crowd *Crowd) Isolated(now time.Time) bool {
	if now.Before(crowd.leasedUntil) {
		return false
	}
	for host := range crowd.members(now) {
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
