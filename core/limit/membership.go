package limit

import (
	"time"

	"lentilproxy/core/value"
)

const (
	// messageTTL is how long a host counts as a member after its last message, even if it has no row in the store.
	messageTTL = 3 * time.Second
	// ackTTL is how long another host is certain to count this one after it has responded to a message. It is shorter
	// than messageTTL by the time that a message takes.
	ackTTL = 2 * time.Second
	// isolatedFraction is the fraction of its share that a host uses while the others may have divided that share among
	// themselves. If all hosts but one are isolated, the rate is exceeded by a quarter at most, which deployments
	// tolerate.
	isolatedFraction = 0.25
	// scanTTL is how long a scan of the store is valid, and thus how long a host that has joined or returned waits
	// until the others have seen its row. It is longer than the interval between two scans.
	scanTTL = 2500 * time.Millisecond
	// knownHostTTL is how long a host that cannot read the store still counts former members.
	knownHostTTL = time.Minute
)

// Membership decides which fraction of every limit a host holds, based on the hosts that it counts as members.
//
// A host counts as a member while its row is in the store, which is until its lease is certain to have ended, or while
// messages from it arrive. A host that can neither read the store nor reach all the others may not be counted by any of
// them, so it uses only a fraction of its share.
type Membership struct {
	self     string
	rows     value.Set[string]
	messages map[string]peerMessage
	// counts holds the largest number of members that the hosts of other data centres count, as their relays have stated it.
	counts map[string]peerMessage
	// ackedAt is when the last message to which each host has responded was sent.
	ackedAt map[string]time.Time
	// lastMemberAt is when each host was last counted as a member.
	lastMemberAt map[string]time.Time
	// formerAt is when each host that has lost its row was last named as a former one.
	formerAt map[string]time.Time
	// scannedAt is when the rows were requested. freshSince is the time of the first scan in the current series of
	// scans that are less than scanTTL apart.
	scannedAt  time.Time
	freshSince time.Time
	// seenByOthers is set once the other hosts are certain to have seen this host's row.
	seenByOthers bool
}

// peerMessage is the last message of another host.
type peerMessage struct {
	at time.Time
	// members is the number of hosts that the sender counted.
	members int
}

// NewMembership returns the membership of a host, without any members; the host itself does not count yet.
func NewMembership(self string) *Membership {
	return &Membership{
		self: self, rows: value.NewSet[string](), messages: map[string]peerMessage{}, counts: map[string]peerMessage{}, ackedAt: map[string]time.Time{}, lastMemberAt: map[string]time.Time{},
		formerAt: map[string]time.Time{},
	}
}

// ApplyScan records the hosts that have a row in the store, and those that had one until recently, according to a scan
// requested at scannedAt. The latter may join again without this host noticing, if it loses the store in the meantime.
func (membership *Membership) ApplyScan(scannedAt time.Time, hosts, former []string) {
	for _, host := range former {
		membership.formerAt[host] = scannedAt
	}
	hadRow := membership.rows.Has(membership.self)
	membership.rows = value.NewSet(hosts...)
	if !hadRow || scannedAt.Sub(membership.scannedAt) >= scanTTL {
		membership.freshSince = scannedAt
	}
	membership.scannedAt = scannedAt
}

// RecordMessage records a message from another host and the number of members that it counts.
func (membership *Membership) RecordMessage(now time.Time, host string, members int) {
	membership.messages[host] = peerMessage{at: now, members: members}
}

// RecordCount records the largest number of members that a host of another data centre counts. It adds no member.
func (membership *Membership) RecordCount(now time.Time, dataCentre string, members int) {
	membership.counts[dataCentre] = peerMessage{at: now, members: members}
}

// RecordAck records that another host has responded to a message sent at sentAt.
func (membership *Membership) RecordAck(sentAt time.Time, host string) {
	membership.ackedAt[host] = sentAt
}

// Division describes how limits are divided.
type Division struct {
	// Members is the number of hosts that share limits, or 0 while none are known.
	Members int
	// Isolated reports whether the other hosts may use this host's share, because they do not count it yet or any more.
	Isolated bool
	// Fraction is the fraction of every limit that the host holds. It is small while no members are known.
	Fraction float64
}

// Divide returns how limits are divided at a point in time.
func (membership *Membership) Divide(now time.Time) Division {
	members := membership.members(now)
	count := membership.count(now, members)
	division := Division{Members: count, Isolated: membership.isolated(now, members)}
	switch {
	case count == 0:
		division.Fraction = isolatedFraction / MaxShareHosts
	case !division.Isolated:
		division.Fraction = 1 / float64(count)
	case !membership.seenByOthers:
		// There may be hosts unknown to this one that are isolated and use their fractions.
		division.Fraction = isolatedFraction / float64(max(count, MaxShareHosts))
	default:
		division.Fraction = isolatedFraction / float64(count)
	}
	return division
}

// Members returns the number of hosts that share limits, or 0 while none are known.
func (membership *Membership) Members(now time.Time) int {
	return membership.count(now, membership.members(now))
}

func (membership *Membership) count(now time.Time, members value.Set[string]) int {
	count := len(members)
	if count == 0 || membership.rowsFresh(now) {
		return count
	}
	// Other hosts may count hosts that joined while this one could not read the store.
	for _, last := range membership.messages {
		count = max(count, last.members)
	}
	for _, last := range membership.counts {
		// The loss of contact with a data centre must not make the share of this host larger.
		if now.Sub(last.at) < knownHostTTL {
			count = max(count, last.members)
		}
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
	for host, last := range membership.messages {
		if now.Sub(last.at) < messageTTL {
			members.Add(host)
			continue
		}
		delete(membership.messages, host)
	}
	for host := range members {
		membership.lastMemberAt[host] = now
	}
	if membership.rowsFresh(now) {
		membership.seenByOthers = true
		return members
	}
	// Hosts that left may have rejoined without this host noticing.
	for host, at := range membership.lastMemberAt {
		if now.Sub(at) < knownHostTTL {
			members.Add(host)
			continue
		}
		delete(membership.lastMemberAt, host)
	}
	if now.Sub(membership.scannedAt) < scanTTL {
		// A former host that joins again uses its whole share only after the next scans have shown its row.
		return members
	}
	for host, at := range membership.formerAt {
		if now.Sub(at) < knownHostTTL {
			members.Add(host)
			continue
		}
		delete(membership.formerAt, host)
	}
	return members
}

// rowsFresh reports whether the host's rows from the store are current, and the others have seen its own row.
func (membership *Membership) rowsFresh(now time.Time) bool {
	return membership.rows.Has(membership.self) && now.Sub(membership.scannedAt) < scanTTL && now.Sub(membership.freshSince) >= scanTTL
}

// Isolated reports whether the other hosts may use this host's share, because they do not count it yet or any more.
func (membership *Membership) Isolated(now time.Time) bool {
	return membership.isolated(now, membership.members(now))
}

func (membership *Membership) isolated(now time.Time, members value.Set[string]) bool {
	if membership.rowsFresh(now) {
		return false
	}
	if len(members) < 2 {
		// No other member is left that could report further hosts.
		return true
	}
	for host := range members {
		if host != membership.self && now.Sub(membership.ackedAt[host]) >= ackTTL {
			return true
		}
	}
	return false
}

// Fraction returns the fraction of every limit that the host holds.
func (membership *Membership) Fraction(now time.Time) float64 { return membership.Divide(now).Fraction }
