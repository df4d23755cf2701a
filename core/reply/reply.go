// Package reply decides how long to wait for a response before a call is repeated, from the times that earlier responses took.
//
// The estimate is that of TCP's retransmission timer (RFC 6298): the smoothed response time plus four times its mean deviation, doubled with
// each repeat.
package reply

import "time"

const (
	// meanWeight and deviationWeight are the weights of the newest response in the moving averages (RFC 6298).
	meanWeight      = 1.0 / 8
	deviationWeight = 1.0 / 4
	// deviations is the number of mean deviations that a response may be late.
	deviations = 4
)

// Timer estimates response times. It is not safe for concurrent use.
type Timer struct {
	shortest  time.Duration
	longest   time.Duration
	mean      time.Duration
	deviation time.Duration
	known     bool
}

// New returns a timer whose timeouts lie between two bounds. Until a response has been recorded, it returns the longest one.
func New(shortest, longest time.Duration) *Timer {
	return &Timer{shortest: shortest, longest: longest}
}

// Record records the time that a response took.
func (timer *Timer) Record(took time.Duration) {
	if !timer.known {
		timer.mean, timer.deviation, timer.known = took, took/2, true
		return
	}
	timer.deviation += time.Duration(deviationWeight * float64((took-timer.mean).Abs()-timer.deviation))
	timer.mean += time.Duration(meanWeight * float64(took-timer.mean))
}

// Timeout returns how long to wait for the response to a call that has been repeated a number of times. A call that
// gets its response only when repeated, since responses take longer now, raises the next timeouts.
func (timer *Timer) Timeout(repeats int) time.Duration {
	if !timer.known {
		return timer.longest
	}
	timeout := max(timer.shortest, timer.mean+deviations*timer.deviation)
	for range repeats {
		if timeout >= timer.longest {
			break
		}
		timeout *= 2
	}
	return min(timeout, timer.longest)
}
