// Package queue orders requests that wait for capacity: interactive before batch, and within these by weighted fair
// queueing over workspaces with tokens as cost.
package queue

import (
	"sort"
	"time"
)

// Item is one request that waits.
type Item struct {
	ID        int64
	Workspace string
	// Weight is the workspace's share of contended capacity.
	Weight int64
	// Cost is what the request takes, in tokens.
	Cost float64
	// Batch requests wait behind interactive ones.
	Batch bool
	// Deadline is when the request is given up.
	Deadline time.Time

	start  float64
	finish float64
}

// Queue holds the requests that wait. It is not safe for concurrent use.
type Queue struct {
	items []Item
	// clock is the virtual time: the start tag of the request that was served last.
	clock float64
	// last is the finish tag of each workspace's last request.
	last map[string]float64
}

// New returns an empty queue.
func New() *Queue {
	return &Queue{last: map[string]float64{}}
}

// Len returns the number of requests that wait.
func (queue *Queue) Len() int { return len(queue.items) }

// Push adds a request. A workspace that was idle starts level with the one that is being served.
func (queue *Queue) Push(item Item) {
	item.start = max(queue.clock, queue.last[item.Workspace])
	item.finish = item.start + item.Cost/float64(max(1, item.Weight))
	queue.last[item.Workspace] = item.finish
	place := sort.Search(len(queue.items), func(index int) bool { return before(item, queue.items[index]) })
	queue.items = append(queue.items, Item{})
	copy(queue.items[place+1:], queue.items[place:])
	queue.items[place] = item
}

func before(left, right Item) bool {
	switch {
	case left.Batch != right.Batch:
		return right.Batch
	case left.finish != right.finish:
		return left.finish < right.finish
	default:
		return left.ID < right.ID
	}
}

// Next removes and returns the first request that can be served.
func (queue *Queue) Next(now time.Time, servable func(item Item) bool) (Item, bool) {
	for index, item := range queue.items {
		if now.After(item.Deadline) || !servable(item) {
			continue
		}
		queue.removeAt(index)
		queue.clock = max(queue.clock, item.start)
		return item, true
	}
	return Item{}, false
}

// Remove takes a request out that is no longer wanted.
func (queue *Queue) Remove(id int64) {
	for index, item := range queue.items {
		if item.ID == id {
			queue.removeAt(index)
			return
		}
	}
}

func (queue *Queue) removeAt(index int) {
	queue.items = append(queue.items[:index], queue.items[index+1:]...)
	if len(queue.items) == 0 {
		// Nobody is owed anything once nobody waits.
		clear(queue.last)
		queue.clock = 0
	}
}
