package mirror

import "time"

const (
	// minOutage is the shortest outage of the store during which registrations of running servers may have expired.
	minOutage = time.Second
	// LapseGrace is the time after an outage of the store in which running servers register again.
	LapseGrace = 2200 * time.Millisecond
)

// Outage tracks the outages of the store, as a host sees them in its own calls and in the proofs of its peers. The host may have no
// call of its own at the end of an outage, since its peers read the tables. It is not safe for concurrent use.
type Outage struct {
	// failingSince is when the first failed call was sent since the store last responded to anyone, or zero.
	failingSince time.Time
	// provenAt is the latest time at which the store is known to have responded to a call.
	provenAt time.Time
	// recoveredAt is when this host learned of the end of the last outage that exceeded minOutage.
	recoveredAt time.Time
}

// Fail records that a call sent at sentAt has failed. It reports whether an outage begins with it. A later call that the store has
// responded to, whoever sent it, shows that only this call failed.
func (outage *Outage) Fail(sentAt time.Time) bool {
	if !outage.failingSince.IsZero() || outage.provenAt.After(sentAt) {
		return false
	}
	outage.failingSince = sentAt
	return true
}

// Prove records at now that the store has responded to a call, or to that of a peer, which was sent at provenAt. It returns the length
// of the outage that this ends, and reports whether it ends one.
func (outage *Outage) Prove(now, provenAt time.Time) (time.Duration, bool) {
	if provenAt.After(outage.provenAt) {
		outage.provenAt = provenAt
	}
	if outage.failingSince.IsZero() || !provenAt.After(outage.failingSince) {
		return 0, false
	}
	length := provenAt.Sub(outage.failingSince)
	outage.failingSince = time.Time{}
	if length > minOutage {
		outage.recoveredAt = now
	}
	return length, true
}

// Ongoing reports whether calls have failed since the store last responded to anyone.
func (outage *Outage) Ongoing() bool { return !outage.failingSince.IsZero() }

// Grace returns the end of the time in which running servers may not have registered again since the last outage, and reports whether
// it is still to come.
func (outage *Outage) Grace(now time.Time) (until time.Time, pending bool) {
	if outage.recoveredAt.IsZero() {
		return time.Time{}, false
	}
	until = outage.recoveredAt.Add(LapseGrace)
	return until, now.Before(until)
}
