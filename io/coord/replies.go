package coord

import (
	"time"

	"lentilproxy/core/reply"
	"lentilproxy/core/value"
)

// replyTimes are the times that the responses of other hosts take, by host or address. They are not safe for concurrent use.
type replyTimes struct {
	shortest time.Duration
	longest  time.Duration
	timers   map[string]*reply.Timer
}

// newReplyTimes returns reply times whose timeouts lie between two bounds. That of a host that has not responded yet is the shortest.
func newReplyTimes(shortest, longest time.Duration) *replyTimes {
	return &replyTimes{shortest: shortest, longest: longest, timers: map[string]*reply.Timer{}}
}

// timeout returns how long to wait for a response of a host.
func (replyTimes *replyTimes) timeout(host string) time.Duration {
	if timer := replyTimes.timers[host]; timer != nil {
		return timer.Timeout(0)
	}
	return replyTimes.shortest
}

// record records the time that a response of a host took, or for how long there was none.
func (replyTimes *replyTimes) record(host string, took time.Duration) {
	timer := replyTimes.timers[host]
	if timer == nil {
		timer = reply.New(replyTimes.shortest, replyTimes.longest)
		replyTimes.timers[host] = timer
	}
	timer.Record(max(0, took))
}

// retain drops what is known of other hosts than the given ones.
func (replyTimes *replyTimes) retain(hosts value.Set[string]) {
	for host := range replyTimes.timers {
		if !hosts.Has(host) {
			delete(replyTimes.timers, host)
		}
	}
}
