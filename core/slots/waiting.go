package slots

import (
	"cmp"
	"math"
	"slices"
	"time"

	"lentilproxy/core/order"
)

const (
	// loadSlack is the number of loads by which a workspace may be ahead of its share before loads for others come first. A server loads
	// about seven adapters a second, so that more would delay the others noticeably.
	loadSlack = 1
	// minLaterDemand is the least demand of an adapter that is loaded although no request that waits for it can still be served. It is
	// the demand of three requests within a few seconds.
	minLaterDemand = 2.5
	// loadMargin is the part of the usual load time that must be left for a request to count as still in time. In the overload test, 0.325 to
	// 0.360 of the requests were in time with 1, and 0.369 to 0.374 with 1.05. With 1.25, those without an adapter waited a third longer.
	loadMargin = 1.05
)

// Waiter is a request that waits for an adapter.
type Waiter struct {
	// ID is unique among the requests that wait for adapters of the server.
	ID      int64
	Adapter string
	Demand  float64
	// Due is when the request should have its first event, and Deadline until when the adapter has to be loaded for it; zero if that is not
	// known.
	Due      time.Time
	Deadline time.Time
	// Priority is 0 for the most urgent requests.
	Priority  int
	Workspace string
	// Digest identifies the content of the request, so that a repeat is recognised; it may be empty.
	Digest string
	// MaxReturn is the longest time after which the caller of a refused request returns; 0 if there is no bound.
	MaxReturn time.Duration
	// Repeated reports that another server has refused the request before.
	Repeated bool
}

// Reason states why a load request was refused.
type Reason string

// The reasons of refusals.
const (
	// ReasonBusy means that at the arrival of the request, the adapter was not expected to be loaded before the deadline.
	ReasonBusy Reason = "busy"
	// ReasonExpired means that the request has waited until the time left before its deadline was too short for a load.
	ReasonExpired Reason = "expired"
)

// Answer is the result of a load request, and how it came about.
type Answer struct {
	State LoadState
	// Reason, Expected and RetryAfter are set with LoadLate: Expected is when the adapter could be loaded, and RetryAfter the time after
	// which the caller should return.
	Reason     Reason
	Expected   time.Time
	RetryAfter time.Duration
	// Ahead is the number of loads that were ahead when the request arrived.
	Ahead int
	// CheckAt is when the request has to be checked at the latest, with LoadPending; zero if only after the next change.
	CheckAt time.Time
	// Displaced reports that the requests for another adapter are rejected, since this one comes first.
	Displaced bool
}

// waiting is a request that waits for an adapter.
type waiting struct {
	request   Waiter
	arrivedAt time.Time
	// key is the time by which requests of the same rank are ordered.
	key   time.Time
	share *order.Share
	ahead int
}

// Wait requests an adapter for a request that waits for it, while the server's adapters are used with grants. The request waits until
// a result of Check says otherwise or it leaves.
func (controller *Controller) Wait(now time.Time, request Waiter) Answer {
	entry := controller.entries[request.Adapter]
	known := entry != nil
	state := controller.request(now, request.Adapter, request.Demand)
	if state != LoadPending {
		return Answer{State: state}
	}
	entry = controller.entries[request.Adapter]
	added := &waiting{request: request, arrivedAt: now, key: request.Due, share: controller.loadOrder.Arrive(now, request.Workspace, request.Priority, 1)}
	if controller.returns.Take(now, request.Workspace, request.Digest) {
		added.key = order.Boosted(now, request.Due)
	}
	entry.waiting = append(entry.waiting, added)
	var expected time.Time
	added.ahead, expected = controller.outlook(now, request.Adapter, entry)
	if entry.phase == requested && !request.Deadline.IsZero() && expected.After(request.Deadline) {
		entry.remove(request.ID)
		if !known && request.Repeated {
			// The demand counts where the request was refused first. Otherwise, one request would be demand for the adapter everywhere.
			delete(controller.entries, request.Adapter)
		}
		controller.dropLater(now)
		return controller.refuse(now, added, ReasonBusy, expected)
	}
	displaced := controller.displaceLast(now)
	controller.dropLater(now)
	if controller.entries[request.Adapter] != entry {
		return Answer{State: LoadRejected, Ahead: added.ahead}
	}
	answer := controller.pending(now, entry, added)
	answer.Displaced = displaced
	return answer
}

// Check returns the state of a request that waits.
func (controller *Controller) Check(now time.Time, adapter string, id int64) Answer {
	state := controller.State(now, adapter)
	entry := controller.entries[adapter]
	if entry == nil {
		return Answer{State: LoadRejected}
	}
	known := entry.find(id)
	switch {
	case known == nil && state == LoadPending:
		// Its adapter was dropped, and then requested again.
		return Answer{State: LoadRejected}
	case known == nil:
		return Answer{State: state}
	case state != LoadPending:
		entry.remove(id)
		return Answer{State: state, Ahead: known.ahead}
	}
	if known.expired(now) || entry.phase == requested && !controller.mayStillServe(now, adapter, known) {
		_, expected := controller.outlook(now, adapter, entry)
		entry.remove(id)
		return controller.refuse(now, known, ReasonExpired, expected)
	}
	return controller.pending(now, entry, known)
}

// Leave removes a request that no longer waits.
func (controller *Controller) Leave(adapter string, id int64) {
	if entry := controller.entries[adapter]; entry != nil {
		entry.remove(id)
	}
}

// Waiting returns the number of requests that wait for adapters, by priority.
func (controller *Controller) Waiting() map[int]int {
	counts := map[int]int{}
	for _, entry := range controller.entries {
		for _, waiting := range entry.waiting {
			counts[waiting.request.Priority]++
		}
	}
	return counts
}

func (entry *adapterEntry) find(id int64) *waiting {
	for _, waiting := range entry.waiting {
		if waiting.request.ID == id {
			return waiting
		}
	}
	return nil
}

func (entry *adapterEntry) remove(id int64) {
	entry.waiting = slices.DeleteFunc(entry.waiting, func(waiting *waiting) bool { return waiting.request.ID == id })
}

func (waiting *waiting) expired(now time.Time) bool {
	return !waiting.request.Deadline.IsZero() && !now.Before(waiting.request.Deadline)
}

// mayStillServe reports whether a load that starts now is expected to end before a request's deadline.
func (controller *Controller) mayStillServe(now time.Time, adapter string, waiting *waiting) bool {
	return waiting.request.Deadline.IsZero() || !now.Add(controller.usualLoad(now, adapter)).After(waiting.request.Deadline)
}

// orderEntry returns the place of a request in the order.
func (controller *Controller) orderEntry(now time.Time, adapter string, waiting *waiting) order.Entry {
	usual := time.Duration(loadMargin * float64(controller.usualLoad(now, adapter)))
	return order.Entry{
		Late: now.Add(usual).After(waiting.request.Due), Priority: waiting.request.Priority, Share: waiting.share,
		Due: waiting.key, ArrivedAt: waiting.arrivedAt,
	}
}

// orderEntries returns the places of the requests that wait for an adapter and that a load may still serve.
func (controller *Controller) orderEntries(now time.Time, adapter string) []order.Entry {
	var entries []order.Entry
	for _, waiting := range controller.entries[adapter].waiting {
		if controller.mayStillServe(now, adapter, waiting) {
			entries = append(entries, controller.orderEntry(now, adapter, waiting))
		}
	}
	return entries
}

func (controller *Controller) pending(now time.Time, entry *adapterEntry, waiting *waiting) Answer {
	answer := Answer{State: LoadPending, Ahead: waiting.ahead}
	if deadline := waiting.request.Deadline; !deadline.IsZero() {
		answer.CheckAt = deadline
		if entry.phase == requested {
			// The end of a wait is decided after the latest start, not at it.
			answer.CheckAt = deadline.Add(time.Millisecond - controller.usualLoad(now, waiting.request.Adapter))
		}
	}
	return answer
}

// refuse returns the refusal of a request whose adapter is expected after its deadline. Refused callers are asked to return one after the
// other.
func (controller *Controller) refuse(now time.Time, refused *waiting, reason Reason, expected time.Time) Answer {
	request := refused.request
	rate := MaxStoreLoads / controller.loadTimes.store.usual(now).Seconds()
	at := controller.returns.Refuse(now, request.Workspace, request.Digest, expected.Sub(request.Deadline), rate)
	if latest := now.Add(max(request.MaxReturn, order.MinRetryAfter)); request.MaxReturn > 0 && at.After(latest) {
		at = latest
		if request.Digest != "" {
			controller.returns.Expect(request.Workspace, request.Digest, at)
		}
	}
	return Answer{State: LoadLate, Reason: reason, Expected: expected, RetryAfter: at.Sub(now), Ahead: refused.ahead}
}

// firstWaiting returns the adapter to load next, or "". Its load is as urgent as the most urgent request that waits for it. Adapters
// whose requests are all late come last, and then those that only later requests can use.
func (controller *Controller) firstWaiting(now time.Time) string {
	storeBusy := controller.storeLoadingCount() >= MaxStoreLoads
	var entries []order.Entry
	var adapters, others []string
	for _, name := range controller.names() {
		entry := controller.entries[name]
		if entry.phase != requested {
			continue
		}
		if len(entry.waiting) == 0 && now.Sub(entry.requestedAt) > requestLifetime {
			delete(controller.entries, name)
			continue
		}
		if storeBusy && !controller.kept(name) {
			continue
		}
		waiting := controller.orderEntries(now, name)
		if len(waiting) == 0 {
			others = append(others, name)
		}
		for _, waits := range waiting {
			entries = append(entries, waits)
			adapters = append(adapters, name)
		}
	}
	if len(entries) == 0 {
		return controller.forLater(now, others)
	}
	if index := controller.loadOrder.Next(entries); !entries[index].Late || controller.loadOrder.TurnOfOldest() {
		return adapters[index]
	}
	return slices.MinFunc(adapters, controller.compareLate(now))
}

// compareLate compares adapters whose requests are all late: by priority, then by demand, which is what a load still serves, then by due
// time. Differences of demand below one request are those of its decay, which would put the newest requests first.
func (controller *Controller) compareLate(now time.Time) func(left, right string) int {
	return func(left, right string) int {
		leftEntry, rightEntry := controller.entries[left], controller.entries[right]
		leftFirst, rightFirst := leftEntry.mostUrgent(), rightEntry.mostUrgent()
		return cmp.Or(
			cmp.Compare(leftFirst.request.Priority, rightFirst.request.Priority),
			cmp.Compare(math.Round(rightEntry.demandNow(now)), math.Round(leftEntry.demandNow(now))),
			leftFirst.key.Compare(rightFirst.key), cmp.Compare(left, right),
		)
	}
}

// mostUrgent returns the most urgent of the waiting requests.
func (entry *adapterEntry) mostUrgent() *waiting {
	return slices.MinFunc(entry.waiting, func(left, right *waiting) int {
		return cmp.Or(cmp.Compare(left.request.Priority, right.request.Priority), left.key.Compare(right.key))
	})
}

func (controller *Controller) mostDemanded(now time.Time, adapters []string) string {
	best, most := "", -1.0
	for _, name := range adapters {
		if demand := controller.entries[name].demandNow(now); demand > most {
			best, most = name, demand
		}
	}
	return best
}

// forLater returns the most demanded of the adapters that no request waits for, if a load is worth it.
func (controller *Controller) forLater(now time.Time, adapters []string) string {
	best := controller.mostDemanded(now, adapters)
	if best == "" || controller.entries[best].replica {
		return best
	}
	demand := controller.entries[best].demandNow(now)
	if demand < minLaterDemand {
		return controller.replicaOf(adapters)
	}
	if controller.usedSlots(now) >= controller.capacity {
		if victim := controller.victim(now); victim != "" && controller.entries[victim].demandNow(now) >= demand {
			return controller.replicaOf(adapters)
		}
	}
	return best
}

// replicaOf returns an adapter of which a replica was requested, or "".
func (controller *Controller) replicaOf(adapters []string) string {
	for _, name := range adapters {
		if controller.entries[name].replica {
			return name
		}
	}
	return ""
}

// serveFirst counts the load of an adapter for the workspace of the request that it is ordered for.
func (controller *Controller) serveFirst(now time.Time, adapter string) {
	entry := controller.entries[adapter]
	if entry.served {
		return
	}
	if entries := controller.orderEntries(now, adapter); len(entries) > 0 {
		entry.served = true
		controller.loadOrder.Serve(entries[controller.loadOrder.Next(entries)].Share, 1)
	}
}

// outlook returns the number of loads that are expected to be ordered before that of an adapter, and when it is expected to be loaded.
func (controller *Controller) outlook(now time.Time, adapter string, entry *adapterEntry) (ahead int, expected time.Time) {
	if entry.phase != requested {
		return 0, controller.loadEnd(now, adapter, entry)
	}
	if controller.kept(adapter) {
		return 0, now.Add(controller.usualLoad(now, adapter))
	}
	ahead = slices.Index(controller.loadSequence(now, func(name string) bool { return name == adapter || !controller.kept(name) }), adapter)
	return ahead, controller.storeLoadEnd(now, ahead)
}

// loadSequence returns the adapters that requests wait for in the order in which they are expected to be loaded: those with requests that can
// be in time, then the others.
func (controller *Controller) loadSequence(now time.Time, includes func(adapter string) bool) []string {
	var entries []order.Entry
	var timely, late []string
	for _, name := range controller.names() {
		entry := controller.entries[name]
		if entry.phase != requested || len(entry.waiting) == 0 || !includes(name) {
			continue
		}
		waiting := controller.orderEntries(now, name)
		if len(waiting) > 0 {
			if best := waiting[controller.loadOrder.First(waiting)]; !best.Late {
				entries, timely = append(entries, best), append(timely, name)
				continue
			}
		}
		late = append(late, name)
	}
	var names []string
	for _, index := range controller.loadOrder.Sequence(entries) {
		names = append(names, timely[index])
	}
	slices.SortFunc(late, controller.compareLate(now))
	return append(names, late...)
}

// displaceLast rejects the requests for the adapter that comes last if too many adapters wait, except those of the longest-waiting
// request, which would never get its turn otherwise. It reports whether it did.
func (controller *Controller) displaceLast(now time.Time) bool {
	names := controller.loadSequence(now, func(string) bool { return true })
	if len(names) <= maxRequested {
		return false
	}
	longest := slices.MinFunc(names, func(left, right string) int {
		return controller.entries[left].waiting[0].arrivedAt.Compare(controller.entries[right].waiting[0].arrivedAt)
	})
	last := names[len(names)-1]
	if last == longest {
		last = names[len(names)-2]
	}
	delete(controller.entries, last)
	return true
}

// dropLater bounds the adapters that wait to be loaded although no request waits for them.
func (controller *Controller) dropLater(now time.Time) {
	least, count := "", 0
	for _, name := range controller.names() {
		entry := controller.entries[name]
		if entry.phase != requested || len(entry.waiting) > 0 {
			continue
		}
		count++
		if least == "" || entry.demandNow(now) < controller.entries[least].demandNow(now) {
			least = name
		}
	}
	if count > maxRequested {
		delete(controller.entries, least)
	}
}
