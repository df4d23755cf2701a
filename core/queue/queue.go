// Package queue orders requests that wait for capacity. Interactive requests come before batch requests. Within each
// class, weighted fair queueing shares the capacity between workspaces, with tokens as cost.
package queue

import (
	"sort"
	"time"
)

// Item is one waiting request.
type Item struct {
	ID        int64
	Workspace string
	// Weight is the workspace's share of contended capacity, relative to the weights of the others.
	Weight int64
	// Cost is the cost of the request in tokens.
	Cost float64
	// Batch marks a request that is served after all interactive ones.
	Batch bool
	// Deadline is the time after which the request is no longer served.
	Deadline time.Time

	startTag  float64
	finishTag float64
}

// Queue holds waiting requests. It is not safe for concurrent use.
type Queue struct {
	items []Item
	// virtualTime is the greatest start tag of a request that was served.
	virtualTime float64
	// lastFinish is the finish tag of each workspace's last request.
	lastFinish map[string]float64
}

// New returns an empty queue.
func New() *Queue {
	return &Queue{lastFinish: map[string]float64{}}
}

// Len returns the number of waiting requests.
func (queue *Queue) Len() int { return len(queue.items) }

// Push adds a request. A workspace that was idle starts at the current virtual time, without credit for its idle time.
func (queue *Queue) Push(item Item) {
	item.startTag = max(queue.virtualTime, queue.lastFinish[item.Workspace])
	item.finishTag = item.startTag + item.Cost/float64(max(1, item.Weight))
	queue.lastFinish[item.Workspace] = item.finishTag
	position := sort.Search(len(queue.items), func(index int) bool { return before(item, queue.items[index]) })
	queue.items = append(queue.items, Item{})
	copy(queue.items[position+1:], queue.items[position:])
	queue.items[position] = item
}

func before(left, right Item) bool {
	switch {
	case left.Batch != right.Batch:
		return right.Batch
	case left.finishTag != right.finishTag:
		return left.finishTag < right.finishTag
	default:
		return left.ID < right.ID
	}
}

// Next removes and returns the first request that is servable and not past its deadline.
func (queue *Queue) Next(now time.Time, servable func(item Item) bool) (Item, bool) {
	for index, item := range queue.items {
		if now.After(item.Deadline) || !servable(item) {
			continue
		}
		queue.removeAt(index)
		queue.virtualTime = max(queue.virtualTime, item.startTag)
		return item, true
	}
	return Item{}, false
}

// Remove removes a request that is no longer wanted, if it is waiting.
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
		// Without waiting requests there is no contention, so earlier service does not count against a workspace.
		clear(queue.lastFinish)
		queue.virtualTime = 0
	}
}
