package sched

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"lentilproxy/core/cost"
	"lentilproxy/core/spec"
)

const (
	// loadLatency is the expected time to load an adapter on a server, unless it has been learned.
	loadLatency = 280 * time.Millisecond
	// loadCost is what a load costs as a multiple of its duration: the request's own wait, and as much delay of other loads. Each load
	// beyond the number that the weight store serves at full speed delays all others, by its own duration altogether.
	loadCost = 2
	// maxCopies is the number of unloaded adapters of which a server is assumed to have kept a copy, as in core/slots.
	maxCopies = 100
	// replicaLifetime is the time constant with which the waits that a replica would have saved are forgotten. Without further requests,
	// lease holders evict a replica after about this time.
	replicaLifetime = 10 * time.Second
)

// copies are the adapters of which a server is expected to have a copy, since it has unloaded them recently.
type copies struct {
	entries map[string]unloadedCopy
	// unloads counts the unloads.
	unloads int64
}

type unloadedCopy struct {
	version int64
	// unload is the number of the unload.
	unload int64
}

// add adds an adapter that the server has unloaded. The one that was unloaded before all others is dropped if there are too many.
func (copies *copies) add(adapter string, version int64) {
	if copies.entries == nil {
		copies.entries = map[string]unloadedCopy{}
	}
	copies.unloads++
	copies.entries[adapter] = unloadedCopy{version: version, unload: copies.unloads}
	if len(copies.entries) <= maxCopies {
		return
	}
	oldest, first := "", copies.unloads
	for name, unloaded := range copies.entries {
		if unloaded.unload < first {
			oldest, first = name, unloaded.unload
		}
	}
	delete(copies.entries, oldest)
}

// has reports whether there is a copy of an adapter of at least a version.
func (copies *copies) has(adapter string, version int64) bool {
	unloaded, found := copies.entries[adapter]
	return found && unloaded.version >= version
}

// recordUnloads records which adapters a server has unloaded since the last report of its lease holder. The registration, which counts
// until the first report, may be old.
func (scheduler *Scheduler) recordUnloads(state *serverState, loaded Loaded) {
	if scheduler.loads == nil || !loaded.Orderable {
		return // A lease holder that has no report of the server yet does not know what it has loaded.
	}
	known := state.reported
	state.reported = true
	if loaded.Model != state.loaded.Model {
		state.copies = copies{}
		return
	}
	if !known {
		return
	}
	for adapter, version := range state.loaded.Adapters {
		if _, found := loaded.Adapters[adapter]; !found {
			state.copies.add(adapter, version)
		}
	}
}

// recordUnload records that a server has unloaded one of its adapters.
func (scheduler *Scheduler) recordUnload(state *serverState, adapter string) {
	if version, found := state.loaded.Adapters[adapter]; found && scheduler.loads != nil && state.reported {
		state.copies.add(adapter, version)
	}
}

// Copies returns the adapters of which an incarnation of a server is expected to have a copy, in the order of their unloads.
func (scheduler *Scheduler) Copies(server spec.Incarnation) []string {
	state := scheduler.servers[server.ID]
	if state == nil || state.startedMillis != server.StartedMillis {
		return nil
	}
	return slices.SortedFunc(maps.Keys(state.copies.entries), func(left, right string) int {
		return cmp.Compare(state.copies.entries[left].unload, state.copies.entries[right].unload)
	})
}

// ObservedLoad is a load that a lease holder has reported.
type ObservedLoad struct {
	Adapter string
	// Version is the version that was loaded; 0 if the load has not ended.
	Version int64
	// Duration is the time from the order to the end, or until now.
	Duration time.Duration
	Ended    bool
}

// RecordLoad records how long a server took to load an adapter, and returns the kind of load that was expected. It must be called before
// AddAdapter. A load that has not ended counts if it has already taken longer than expected.
func (scheduler *Scheduler) RecordLoad(now time.Time, server spec.Incarnation, load ObservedLoad) cost.LoadKind {
	state, kind := scheduler.servers[server.ID], cost.StoreLoad
	if scheduler.loads == nil || state == nil || state.startedMillis != server.StartedMillis {
		return kind
	}
	if state.copies.has(load.Adapter, load.Version) {
		kind = cost.CopyLoad
	}
	if load.Ended || load.Duration > scheduler.loads.Expected(now, kind) {
		scheduler.loads.Observe(now, kind, load.Duration)
	}
	return kind
}

// expectLoad sets the expected load time of a candidate that does not have the adapter.
func (scheduler *Scheduler) expectLoad(now time.Time, candidate *candidate, job Job) {
	candidate.load = loadLatency
	if scheduler.loads == nil {
		return
	}
	kind := cost.StoreLoad
	if candidate.copy = candidate.state.copies.has(job.Ref.Adapter, job.MinVersion); candidate.copy {
		kind = cost.CopyLoad
	}
	candidate.load = scheduler.loads.Expected(now, kind)
}

// withLoad returns the expected latency with the cost of loading the adapter.
func (candidate candidate) withLoad() time.Duration {
	return candidate.expected + loadCost*candidate.load
}

// choiceWithLoad returns the choice of a server that has to load the adapter. Its expected latency contains no more than loadLatency for
// the load: requests that were refused because loads take longer would not show when they are faster again.
func choiceWithLoad(candidate candidate) Choice {
	choice := choiceOf(candidate)
	choice.Load, choice.Expected = true, choice.Expected+min(candidate.load, loadLatency)
	return choice
}

// savedWaits adds up the waits that a further replica of an adapter would have saved, decaying over replicaLifetime.
type savedWaits struct {
	sum time.Duration
	at  time.Time
}

// replicaPays counts the wait that a replica on another server would have saved a request, and reports whether it would by now have saved
// as much as its load costs.
func (scheduler *Scheduler) replicaPays(now time.Time, ref spec.AdapterRef, best, other candidate) bool {
	if scheduler.loads == nil {
		return true
	}
	account, found := scheduler.saved[ref]
	if !found && len(scheduler.saved) >= maxReplicatedEntries {
		clear(scheduler.saved)
	}
	// The other hosts' requests for the adapter are not known. This host's part of the server's requests stands for its part of these.
	requests := float64(best.state.usage(now).Running+1) / float64(best.state.own.Running+1)
	kept := math.Exp(-now.Sub(account.at).Seconds() / replicaLifetime.Seconds())
	account.sum = time.Duration(kept*float64(account.sum) + requests*float64(best.expected-other.expected))
	account.at = now
	scheduler.saved[ref] = account
	return account.sum >= loadCost*other.load
}
