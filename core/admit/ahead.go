package admit

import (
	"math"
	"time"

	"lentilproxy/core/value"
)

const (
	// useWeight is the weight of the newest assignment in what is known of a host's use of slots, and delayWeight that of the newest
	// response in the comparison of requests that were assigned ahead with others.
	useWeight   = 0.1
	delayWeight = 0.02
	// minFraction bounds the part of a slot for which an assignment counts.
	minFraction = 0.5
	// minBeyond is the number of requests that were assigned ahead from which on they are compared with others.
	minBeyond = 20
	// extentRaise is added to the extent of assignments ahead with each response, and extentLower taken from it with each one that shows
	// that they do not pay. It is multiplied by rejectedFactor if a server rejects a request that was assigned ahead.
	extentRaise    = 0.001
	extentLower    = 0.02
	rejectedFactor = 0.5
	// overdueFactor is the multiple of the expected duration from which on an assignment counts as a whole slot: its request may hang.
	overdueFactor = 2
	// rounding lets sums of shares that are whole numbers count as such.
	rounding = 1e-9
)

// ahead decides how many requests a server is assigned beyond its slots. A slot is empty while the end of a request, the next assignment
// and the next request are on their way, so an assignment counts only for the part of its time for which its request is on the server.
//
// Servers may slow down or reject requests when they are full. Requests that were assigned ahead are therefore compared with the others,
// and fewer are if they take longer than the time that they save.
type ahead struct {
	// hosts maps hosts to the use that their assignments make of their slots, and all is the mean of all hosts.
	hosts map[string]*use
	all   use
	// extent is between 0 and 1. With 0, servers get no more requests than they have slots.
	extent float64
	// within and beyond are the durations of requests on servers with a free slot and of those ahead, relative to the expected ones.
	within relative
	beyond relative
}

// use is what assignments make of their slots: the time for which they have one, and the part of it for which the request is on the server.
type use struct {
	assigned estimate
	served   estimate
}

func (use *use) add(assigned, served time.Duration) {
	use.assigned.addWeighted(assigned, useWeight)
	use.served.addWeighted(served, useWeight)
}

// fraction returns the part of the time for which a request is on its server. It is at least a half, so that a server never has more than
// twice as many requests as slots.
func (use *use) fraction() float64 {
	if use.assigned.mean <= 0 {
		return 1
	}
	return max(minFraction, float64(use.served.mean)/float64(use.assigned.mean))
}

// relative is a moving average of relative durations.
type relative struct {
	mean  float64
	count int
}

func (relative *relative) add(value float64) {
	relative.count++
	relative.mean += max(delayWeight, 1/float64(relative.count)) * (min(value, maxSpeed) - relative.mean)
}

func newAhead() *ahead { return &ahead{hosts: map[string]*use{}, extent: 1} }

// share returns the part of a slot for which a request of a usual host counts.
func (ahead *ahead) share() float64 { return 1 - ahead.extent*(1-ahead.all.fraction()) }

// shareOf returns the part of a slot for which a request of a host counts: a whole one until an assignment of the host has ended.
func (ahead *ahead) shareOf(host string) float64 {
	known := ahead.hosts[host]
	if known == nil {
		return 1
	}
	return 1 - ahead.extent*(1-known.fraction())
}

// record records the time for which a request had a slot, and the part of it for which it was on its server.
func (ahead *ahead) record(ended *assignment, assigned, served time.Duration) {
	known := ahead.hosts[ended.ticket.Host]
	if known == nil {
		known = &use{}
		ahead.hosts[ended.ticket.Host] = known
	}
	known.add(assigned, served)
	ahead.all.add(assigned, served)
	relative := float64(served) / float64(ended.expected)
	if !ended.ahead {
		ahead.within.add(relative)
		ahead.raise()
		return
	}
	ahead.beyond.add(relative)
	// One more request at a time serves more if it delays the others by less than the time between two of their ends.
	worth := 1 / float64(max(1, ended.server.declared.Slots))
	if ahead.beyond.count >= minBeyond && ahead.beyond.mean-ahead.within.mean > worth {
		ahead.extent = max(0, ahead.extent-extentLower)
		return
	}
	ahead.raise()
}

func (ahead *ahead) raise() { ahead.extent = min(1, ahead.extent+extentRaise) }

// recordRejection records that a server has rejected a request that was assigned ahead.
func (ahead *ahead) recordRejection() { ahead.extent *= rejectedFactor }

// retainHosts drops what is known of hosts that are not among the given ones.
func (ahead *ahead) retainHosts(hosts value.Set[string]) {
	for host := range ahead.hosts {
		if !hosts.Has(host) {
			delete(ahead.hosts, host)
		}
	}
}

// used returns the number of the server's slots that are expected to be in use.
func (server *server) used(now time.Time) float64 {
	sum := 0.0
	for _, assignment := range server.assigned {
		if now.Sub(assignment.at) > overdueFactor*assignment.expected {
			sum++
			continue
		}
		sum += assignment.share
	}
	return sum + float64(server.inUse(now)-len(server.assigned))
}

// free returns the number of further requests that the server may get now, if each counts for a share of a slot.
func (server *server) free(now time.Time, share float64) int {
	if !server.open || now.Before(server.pausedUntil) {
		return 0
	}
	return wholeRequests(float64(server.limit())-server.used(now), share)
}

// wholeRequests returns the number of requests for a number of slots, if each counts for a share of a slot.
func wholeRequests(slots, share float64) int { return int(math.Floor(slots/share + rounding)) }
