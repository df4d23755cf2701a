// Package order decides in which order requests that wait for the same resource are served: those that can still be in time, then the
// most urgent ones, then those of workspaces that are not ahead of their share, then those that are due first. One of 16 turns goes to the
// request that has waited longest, so that no request starves.
package order

import (
	"math"
	"slices"
	"time"

	"lentilproxy/core/value"
)

const (
	// LeastUrgent is the priority of requests that do not state one.
	LeastUrgent = math.MaxInt32
	// oldestInterval is the number of turns of which one goes to the request that has waited longest.
	oldestInterval = 16
	// usualTime is the time constant over which the usual load of a workspace is learned. It is long compared with bursts.
	usualTime = 60 * time.Second
	// minUsualRate is the least usual load per second that a workspace counts with.
	minUsualRate = 1.0
	// maxWorkspaces bounds the workspaces whose shares are known.
	maxWorkspaces = 4096
)

// Share is the state of the requests of one workspace with one priority. Workspaces share the resource in proportion to their usual loads,
// or equally, while requests wait.
type Share struct {
	// arrivals counts arrivals with exponential decay, as of updated.
	arrivals float64
	updated  time.Time
	weight   float64
	// virtualTime advances with each request that is served, by its amount divided by the weight.
	virtualTime float64
}

type shareKey struct {
	workspace string
	priority  int
}

// Order is the order of the requests for one resource. It is not safe for concurrent use.
type Order struct {
	startedAt time.Time
	// slack is the amount by which a workspace may be ahead of its share before requests of others with later due times are served first.
	slack  float64
	shares *value.Recent[shareKey, *Share]
	// virtualTime is the virtual time of the share that was served last.
	virtualTime float64
	turns       int
	equal       bool
}

// Option configures an order.
type Option func(*Order)

// WithEqualShares lets all workspaces have the same share, whatever their usual load.
func WithEqualShares() Option { return func(order *Order) { order.equal = true } }

// New returns the order of a resource. Slack is the amount by which a workspace may be ahead of its share before requests of others with
// later due times are served first.
func New(now time.Time, slack float64, options ...Option) *Order {
	order := &Order{startedAt: now, slack: slack, shares: value.NewRecent[shareKey, *Share](maxWorkspaces)}
	for _, option := range options {
		option(order)
	}
	return order
}

// Arrive counts the arrival of a request that needs an amount of the resource, and returns the share of its workspace.
func (order *Order) Arrive(now time.Time, workspace string, priority int, amount float64) *Share {
	key := shareKey{workspace: workspace, priority: priority}
	known, found := order.shares.Get(key)
	if !found {
		known = &Share{updated: now}
	}
	order.shares.Put(key, known)
	known.arrivals = known.arrivals*math.Exp(-now.Sub(known.updated).Seconds()/usualTime.Seconds()) + amount
	known.updated = now
	// An order that has just started has seen only a part of the usual time.
	seen := 1 - math.Exp(-max(time.Second, now.Sub(order.startedAt)).Seconds()/usualTime.Seconds())
	known.weight = max(minUsualRate, known.arrivals/(usualTime.Seconds()*seen))
	if order.equal {
		known.weight = 1
	}
	known.virtualTime = max(known.virtualTime, order.virtualTime)
	return known
}

// Serve advances the virtual time of a share by an amount of the resource, and counts a turn.
func (order *Order) Serve(share *Share, amount float64) {
	order.turns++
	order.virtualTime = max(order.virtualTime, share.virtualTime)
	share.virtualTime += amount / share.weight
}

// Entry is a waiting request.
type Entry struct {
	// Late reports whether the request can no longer be in time.
	Late bool
	// Priority is 0 for the most urgent requests.
	Priority int
	Share    *Share
	// Due is the time by which requests of the same rank are ordered.
	Due       time.Time
	ArrivedAt time.Time
}

// Next returns the index of the entry that is served next; there must be one. It changes nothing.
func (order *Order) Next(entries []Entry) int {
	if order.TurnOfOldest() {
		return oldest(entries)
	}
	return order.First(entries)
}

// TurnOfOldest reports whether the next turn goes to the request that has waited longest.
func (order *Order) TurnOfOldest() bool { return (order.turns+1)%oldestInterval == 0 }

func oldest(entries []Entry) int {
	best := 0
	for index, other := range entries {
		if other.ArrivedAt.Before(entries[best].ArrivedAt) {
			best = index
		}
	}
	return best
}

func sameRank(left, right Entry) bool {
	return left.Late == right.Late && left.Priority == right.Priority
}

// First returns the index of the entry that comes first, regardless of how long it has waited; there must be one.
func (order *Order) First(entries []Entry) int {
	return order.first(entries, func(share *Share) float64 { return share.virtualTime })
}

func (order *Order) first(entries []Entry, virtualTime func(*Share) float64) int {
	best := entries[0]
	least := math.Inf(1)
	for _, other := range entries {
		if other.Late != best.Late && best.Late || other.Late == best.Late && other.Priority < best.Priority {
			best = other
		}
	}
	for _, other := range entries {
		if sameRank(other, best) {
			least = min(least, virtualTime(other.Share))
		}
	}
	first, found := 0, false
	for index, other := range entries {
		if !sameRank(other, best) || (virtualTime(other.Share)-least)*other.Share.weight > order.slack {
			continue
		}
		if !found || other.Due.Before(entries[first].Due) {
			first, found = index, true
		}
	}
	return first
}

// Sequence returns the indices of the entries in the order in which they are served if no others arrive and each needs an amount of 1,
// without the turns of the longest-waiting ones. It changes nothing.
func (order *Order) Sequence(entries []Entry) []int {
	served := map[*Share]float64{}
	rest := slices.Clone(entries)
	indices := make([]int, len(entries))
	for index := range indices {
		indices[index] = index
	}
	var sequence []int
	for len(rest) > 0 {
		first := order.first(rest, func(share *Share) float64 { return share.virtualTime + served[share]/share.weight })
		served[rest[first].Share]++
		sequence = append(sequence, indices[first])
		rest, indices = slices.Delete(rest, first, first+1), slices.Delete(indices, first, first+1)
	}
	return sequence
}

// Ahead returns the number of entries that are expected to be served before one that has just arrived.
func (order *Order) Ahead(entries []Entry, added Entry) int {
	ahead, own := 0, 0
	others := map[*Share]int{}
	for _, entry := range entries {
		switch {
		case entry.Late || entry.Priority > added.Priority:
		case entry.Priority < added.Priority:
			ahead++
		case entry.Share == added.Share:
			if !entry.Due.After(added.Due) {
				own++
			}
		default:
			others[entry.Share]++
		}
	}
	ahead += own
	for other, count := range others {
		// Until the request's own workspace has been served so often, the other one gets its share, and its slack.
		share := int(math.Ceil(float64(own+1)*other.weight/added.Share.weight) + order.slack)
		ahead += min(count, share)
	}
	return ahead
}
