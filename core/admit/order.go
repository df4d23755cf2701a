package admit

import (
	"math"
	"time"

	"lentilproxy/core/order"
)

const (
	// fairSlack is the number of requests by which a workspace may be ahead of its share before requests of others with later due times
	// are served first.
	fairSlack = 4
	// workMargin is the part of the usual work for which time must be left for a request to count as still in time. With 1, nearly half
	// of those that start at the last moment are late; with 2, requests that could be in time are held back for later ones.
	workMargin = 1.5
)

// late reports whether a request can no longer end before it is due.
func (waiting *waiting) late(now time.Time) bool { return now.After(waiting.lateFrom()) }

// lateFrom returns until when a request can still end before it is due.
func (waiting *waiting) lateFrom() time.Time {
	return waiting.request.Due.Add(-time.Duration(workMargin * float64(waiting.class.mean)))
}

// pick returns the index of the next request and its server. The server is nil if none can be assigned.
func (queue *Queue) pick(now time.Time) (int, *server) {
	var free []*server
	share := queue.ahead.share()
	for _, server := range queue.ordered {
		if server.free(now, share) > 0 {
			free = append(free, server)
		}
	}
	if len(free) == 0 {
		return 0, nil
	}
	candidates := queue.candidates[:0]
	for index, waiting := range queue.waiting {
		if waiting.mayUse(free) {
			candidates = append(candidates, candidate{waiting: waiting, index: index, late: waiting.late(now)})
		}
	}
	queue.candidates = candidates
	if len(candidates) == 0 {
		return 0, nil
	}
	entries := queue.entries[:0]
	for _, candidate := range candidates {
		entries = append(entries, candidate.waiting.entry(candidate.late))
	}
	queue.entries = entries
	best := candidates[queue.order.Next(entries)]
	return best.index, queue.leastWork(now, best.waiting, free)
}

func (waiting *waiting) entry(late bool) order.Entry {
	return order.Entry{Late: late, Priority: waiting.request.Priority, Share: waiting.workspace, Due: waiting.key, ArrivedAt: waiting.arrivedAt}
}

// candidate is a waiting request that a server with a free slot may run.
type candidate struct {
	waiting *waiting
	index   int
	late    bool
}

// mayUse reports whether a waiting request may be sent to one of the servers.
func (waiting *waiting) mayUse(free []*server) bool {
	if len(waiting.request.Avoid) == 0 && waiting.request.HostLimit <= 0 {
		return true
	}
	for _, server := range free {
		if server.mayRun(waiting.request) {
			return true
		}
	}
	return false
}

// leastWork returns the server with the least expected remaining work that a request may be sent to.
func (queue *Queue) leastWork(now time.Time, waiting *waiting, free []*server) *server {
	var best *server
	least := time.Duration(math.MaxInt64)
	for _, server := range free {
		if !server.mayRun(waiting.request) {
			continue
		}
		if remaining := server.remaining(now, waiting.class.mean); best == nil || remaining < least {
			best, least = server, remaining
		}
	}
	return best
}

// aheadOf returns the number of requests that are expected to be served before one that has just arrived.
func (queue *Queue) aheadOf(now time.Time, added *waiting) int {
	entries := make([]order.Entry, 0, len(queue.waiting))
	for _, waiting := range queue.waiting {
		entries = append(entries, waiting.entry(waiting.late(now)))
	}
	return queue.order.Ahead(entries, added.entry(false))
}
