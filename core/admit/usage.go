package admit

import "time"

// Usage is what the assignments of a queue have used of the slots of its servers.
type Usage struct {
	// Ended is the number of assignments that have ended after they were sent to their server.
	Ended int
	// Assigned is the sum of the times for which these had a slot, and Served that of the times between the sending of the request and
	// the end of the response. For the rest, messages were on their way and the slot was empty.
	Assigned time.Duration
	Served   time.Duration
}

// Usage returns what the assignments have used since the queue was created.
func (queue *Queue) Usage() Usage { return queue.usage }

// Slots returns the slots of the servers that may get requests, how many of them have an assignment, and how many are in use by
// requests that hosts have reported.
func (queue *Queue) Slots(now time.Time) (declared, assigned, reported int) {
	for _, server := range queue.ordered {
		declared += server.declared.Slots
		assigned += len(server.assigned)
		reported += server.inUse(now) - len(server.assigned)
	}
	return declared, assigned, reported
}
