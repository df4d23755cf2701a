package admit

import (
	"math"
	"time"
)

const (
	// oldestInterval is the number of assignments of which one goes to the request that has waited longest, so that no request starves.
	oldestInterval = 16
	// usualTime is the time constant over which the usual load of a workspace is learned. It is long compared with bursts.
	usualTime = 60 * time.Second
	// minUsualRate is the least usual load in requests per second that a workspace counts with.
	minUsualRate = 1.0
	// fairSlack is the number of requests by which a workspace may be ahead of its share before requests of others with later due times
	// are served first.
	fairSlack = 4
	// workMargin is the part of the usual work for which time must be left for a request to count as still in time. With 1, nearly half
	// of those that start at the last moment are late; with 2, requests that could be in time are held back for later ones.
	workMargin = 1.5
)

type workspaceKey struct {
	name     string
	priority int
}

// workspace is the state of the requests of one workspace with one priority. Workspaces share the slots in proportion to their usual
// loads while requests wait.
type workspace struct {
	// arrivals counts arrivals with exponential decay, as of updated.
	arrivals float64
	updated  time.Time
	weight   float64
	// virtualTime advances with each request that is served, by the inverse of the weight.
	virtualTime float64
}

// arrive counts an arrival of a request's workspace.
func (queue *Queue) arrive(now time.Time, request Request) *workspace {
	key := workspaceKey{name: request.Workspace, priority: request.Priority}
	known, found := queue.workspaces.Get(key)
	if !found {
		known = &workspace{updated: now}
	}
	queue.workspaces.Put(key, known)
	known.arrivals = known.arrivals*math.Exp(-now.Sub(known.updated).Seconds()/usualTime.Seconds()) + 1
	known.updated = now
	// A queue that has just started has seen only a part of the usual time.
	seen := 1 - math.Exp(-max(time.Second, now.Sub(queue.startedAt)).Seconds()/usualTime.Seconds())
	known.weight = max(minUsualRate, known.arrivals/(usualTime.Seconds()*seen))
	known.virtualTime = max(known.virtualTime, queue.virtualTime)
	return known
}

// serve advances the virtual time of a workspace by one request.
func (queue *Queue) serve(served *workspace) {
	queue.virtualTime = max(queue.virtualTime, served.virtualTime)
	served.virtualTime += 1 / served.weight
}

// late reports whether a request can no longer end before it is due.
func (waiting *waiting) late(now time.Time) bool { return now.After(waiting.lateFrom()) }

// lateFrom returns until when a request can still end before it is due.
func (waiting *waiting) lateFrom() time.Time {
	return waiting.request.Due.Add(-time.Duration(workMargin * float64(waiting.class.mean)))
}

// pick returns the index of the next request and its server. The server is nil if none can be assigned.
func (queue *Queue) pick(now time.Time) (int, *server) {
	var free []*server
	for _, server := range queue.ordered {
		if server.free(now) > 0 {
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
	queue.turns++
	var best candidate
	if len(candidates) > 1 && queue.turns%oldestInterval == 0 {
		best = oldest(candidates)
	} else {
		best = first(candidates)
	}
	return best.index, queue.leastWork(now, best.waiting, free)
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

func oldest(candidates []candidate) candidate {
	best := candidates[0]
	for _, other := range candidates[1:] {
		if other.waiting.arrivedAt.Before(best.waiting.arrivedAt) {
			best = other
		}
	}
	return best
}

// first returns the candidate that comes first: requests that can still be in time, then the most urgent ones, then those of workspaces
// that are not ahead of their share, then those that are due first.
func first(candidates []candidate) candidate {
	best := candidates[0]
	least := math.Inf(1)
	sameRank := func(left, right candidate) bool {
		return left.late == right.late && left.waiting.request.Priority == right.waiting.request.Priority
	}
	for _, other := range candidates {
		if other.late != best.late && best.late || other.late == best.late && other.waiting.request.Priority < best.waiting.request.Priority {
			best = other
		}
	}
	for _, other := range candidates {
		if sameRank(other, best) {
			least = min(least, other.waiting.workspace.virtualTime)
		}
	}
	found := false
	for _, other := range candidates {
		if !sameRank(other, best) || (other.waiting.workspace.virtualTime-least)*other.waiting.workspace.weight > fairSlack {
			continue
		}
		if !found || other.waiting.key.Before(best.waiting.key) {
			best, found = other, true
		}
	}
	return best
}

// aheadOf returns the number of requests that are expected to be served before one that has just arrived.
func (queue *Queue) aheadOf(now time.Time, added *waiting) int {
	ahead, own := 0, 0
	others := map[*workspace]int{}
	for _, waiting := range queue.waiting {
		switch {
		case waiting.late(now) || waiting.request.Priority > added.request.Priority:
		case waiting.request.Priority < added.request.Priority:
			ahead++
		case waiting.workspace == added.workspace:
			if !waiting.key.After(added.key) {
				own++
			}
		default:
			others[waiting.workspace]++
		}
	}
	ahead += own
	for other, count := range others {
		// Until the request's own workspace has been served so often, the other one gets its share, and its slack.
		share := int(math.Ceil(float64(own+1)*other.weight/added.workspace.weight)) + fairSlack
		ahead += min(count, share)
	}
	return ahead
}
