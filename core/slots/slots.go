// Package slots decides what one backend server that runs models holds: which adapters are loaded, and which make
// room for others.
package slots

import (
	"math"
	"time"
)

const (
	// MaxConcurrentLoads is the number of adapters that may be on their way to one server at a time.
	MaxConcurrentLoads = 4
	// pollFast and pollSlow are the times between two questions whether an adapter has arrived: one that the server held
	// lately takes some 25 ms, another one 250 ms and more.
	pollFast = 25 * time.Millisecond
	pollSlow = 40 * time.Millisecond
	// minStoreLoadTime is the least time that an adapter needs from the weight store. Each question takes a turn of the server's
	// orders, so none is asked before.
	minStoreLoadTime = 240 * time.Millisecond
	// demandDecayTime is the time over which the demand for an adapter is averaged.
	demandDecayTime = 12 * time.Second
	// DefaultGossipDelay is the time in which hosts tell each other of their requests and holdings, unless there are many.
	DefaultGossipDelay = 200 * time.Millisecond
	// idleMargin is how much longer than the delay an adapter must not have been asked for before it makes room: while an
	// unload waits for its runs, the server takes no other order.
	idleMargin = 250 * time.Millisecond
	// runningLifetime is how long a host's count of its running requests counts.
	runningLifetime = 2500 * time.Millisecond
	// retireMargin is how much longer than the delay an adapter that makes room stays loaded, so that the other hosts learn
	// of it.
	retireMargin = 150 * time.Millisecond
	// conflictBackoff is the wait after an order that met another one under way.
	conflictBackoff = 40 * time.Millisecond
	// maxConflicts is the number of such answers in a row after which the sequence is in doubt.
	maxConflicts = 25
	// maxBlocked is how long a server may take no orders before requests go to another one.
	maxBlocked = 200 * time.Millisecond
	// maxRequested is the number of requests that may wait at one server: the weight store brings some seven adapters a second
	// to each, and callers wait for two to three seconds.
	maxRequested = 10
	// MaxStoreLoads is the number of adapters that may be on their way from the weight store to one server. The store
	// slows down beyond some two a server; one place in transit stays for adapters that the server held lately.
	MaxStoreLoads = 3
	// maxRecentlyUnloaded is the number of adapters of which a server is taken to have kept a copy.
	maxRecentlyUnloaded = 100
	// reserveDivisor is the number of places for each one that is kept free for the next load.
	reserveDivisor = 9
	// requestLifetime is how long a load that was asked for is worth its place in the queue.
	requestLifetime = 3 * time.Second
	// resyncDelay is the time between a failed order and the report that tells its effect, which lags.
	resyncDelay = 500 * time.Millisecond
)

type phase int

const (
	requested phase = iota
	// loading adapters take a place but cannot be used.
	loading
	ready
	// retiring adapters are still loaded, but no longer announced.
	retiring
	// unloading adapters wait for their runs to end.
	unloading
)

type adapterEntry struct {
	phase phase
	// version is what the server has, or is loading.
	version     int64
	orderAt     time.Time
	polledAt    time.Time
	requestedAt time.Time
	lastUse     time.Time
	// demand is a count of requests that decays over demandHorizon, as of demandAt.
	demand   float64
	demandAt time.Time
	// replacing says that a newer version is on its way.
	replacing bool
	// retiredAt is when the adapter was announced to make room.
	retiredAt time.Time
}

func (entry *adapterEntry) demandNow(now time.Time) float64 {
	return entry.demand * math.Exp(-now.Sub(entry.demandAt).Seconds()/demandDecayTime.Seconds())
}

func (entry *adapterEntry) use(now time.Time, count float64) {
	entry.demand = entry.demandNow(now) + count
	entry.demandAt = now
	entry.lastUse = now
}

// runningCounts counts the running requests of one host by adapter.
type runningCounts struct {
	counts map[string]int
	at     time.Time
}

// Controller decides for one life of one server. It is not safe for concurrent use.
type Controller struct {
	capacity int
	// gossipDelay is the time in which hosts tell each other of their requests and holdings.
	gossipDelay time.Duration
	// model is the base model that the server has or should have.
	model    string
	hasModel bool
	// modelOrderAt is when the base model was ordered.
	modelOrderAt time.Time
	sequence     int64
	// synced says that a report of the server was taken in and that every order since has been answered.
	synced bool
	// hasReport says that a report was taken in once.
	hasReport bool
	resyncAt  time.Time
	entries   map[string]*adapterEntry
	// repeatedOrder says that the order under way asks for what was ordered before, which a server does not count again.
	repeatedOrder bool
	// previous is the state of the entry that the order under way concerns, from before it was sent.
	previous adapterEntry
	// conflicts counts orders in a row that met another one under way; none is sent before busyUntil.
	conflicts     int
	conflictSince time.Time
	backoffUntil  time.Time
	// running holds the requests of each host for adapters of this server.
	running map[string]runningCounts
	// recentlyUnloaded holds the adapters that the server had loaded before, with the time when they left; it loads them fast.
	recentlyUnloaded map[string]time.Time
	// versions are the newest announced versions of adapters.
	versions map[string]int64
}

// New returns the controller of a server of which nothing is known yet. A report is due at an instant.
func New(model string, places int, reportAt time.Time) *Controller {
	return &Controller{
		capacity: places, gossipDelay: DefaultGossipDelay, model: model, resyncAt: reportAt, entries: map[string]*adapterEntry{},
		versions: map[string]int64{}, running: map[string]runningCounts{}, recentlyUnloaded: map[string]time.Time{},
	}
}

// SetGossipDelay sets the time in which hosts tell each other of their requests and holdings.
func (controller *Controller) SetGossipDelay(delay time.Duration) { controller.gossipDelay = delay }

// SetVersions takes in the newest announced versions of the model's adapters.
func (controller *Controller) SetVersions(versions map[string]int64) { controller.versions = versions }

func (controller *Controller) entryOf(now time.Time, adapter string) *adapterEntry {
	entry := controller.entries[adapter]
	if entry == nil {
		entry = &adapterEntry{demandAt: now, lastUse: now, requestedAt: now}
		controller.entries[adapter] = entry
	}
	return entry
}
