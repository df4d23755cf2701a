// Package slots decides which adapters one backend server that runs models loads, and which ones it evicts.
package slots

import (
	"math"
	"time"

	"lentilproxy"
	"lentilproxy/core/order"
)

const (
	// MaxConcurrentLoads is the number of adapters that one server may load at a time.
	MaxConcurrentLoads = 4
	// pollFast and pollSlow are the times between two polls for an adapter that is loading or unloading. A poll repeats
	// the order. An adapter that the server unloaded recently loads in about 25 ms, any other one in 250 ms or more.
	pollFast = 25 * time.Millisecond
	pollSlow = 40 * time.Millisecond
	// minStoreLoadTime is the least time that a load from the weight store takes. No poll is sent earlier, since each
	// poll delays another order.
	minStoreLoadTime = 240 * time.Millisecond
	// demandDecayTime is the time constant of the exponential decay of an adapter's demand.
	demandDecayTime = 12 * time.Second
	// DefaultGossipDelay is the time within which hosts report their requests and loaded adapters to each other, unless
	// there are many hosts.
	DefaultGossipDelay = 200 * time.Millisecond
	// idleMargin is added to the gossip delay for the time that must pass between the last request for an adapter and its
	// eviction. An unload has to wait for running requests to end, and the server accepts no other order meanwhile.
	idleMargin = 250 * time.Millisecond
	// runningLifetime is how long a host's report of its running requests is valid.
	runningLifetime = 2500 * time.Millisecond
	// firstUseMargin is how long an adapter that has been loaded waits for the grants of the requests that wanted it.
	firstUseMargin = 200 * time.Millisecond
	// retireMargin is how much longer than the gossip delay a retiring adapter stays loaded. The other hosts have
	// received the change by then.
	retireMargin = 150 * time.Millisecond
	// conflictBackoff is the wait after an order that conflicted with another one in progress.
	conflictBackoff = 40 * time.Millisecond
	// maxConflicts and maxConflictTime are the number of consecutive conflicts and the time since the first of them after
	// which the sequence may be wrong and a report is requested.
	maxConflicts    = 25
	maxConflictTime = time.Second
	// maxBlocked is how long a server may reject orders as conflicts before requests go to another one.
	maxBlocked = 200 * time.Millisecond
	// maxRequested is the number of adapters that may wait to be loaded on one server: each server loads about seven
	// adapters a second from the weight store, and callers wait for two to three seconds.
	maxRequested = 10
	// MaxStoreLoads is the number of adapters that one server may load from the weight store at a time. The store slows
	// down beyond about two per server. One of the MaxConcurrentLoads remains for recently unloaded adapters.
	MaxStoreLoads = 3
	// maxRecentlyUnloaded is the number of unloaded adapters of which a server is assumed to have kept a copy.
	maxRecentlyUnloaded = 100
	// reserveDivisor determines the reserve: one slot in nine is kept free for the next load.
	reserveDivisor = 9
	// requestLifetime is how long a requested adapter waits to be loaded before the request is dropped.
	requestLifetime = 3 * time.Second
	// maxRepeats is the number of times that an order without a response is sent again before a report is requested. With 2, a server that
	// leaves three in ten orders without a response stood still for a report after one order in 37.
	maxRepeats = 4
	// resyncDelay is the time between an order with unknown effect and the request for a report, since reports lag.
	resyncDelay = 500 * time.Millisecond
	// lateOrderTime is the time within which a server carries out an order that it has not responded to.
	lateOrderTime = 15 * time.Second
	// reportInterval is the time between two requests for reports while those received are older than the last known change.
	reportInterval = 100 * time.Millisecond
)

type phase int

const (
	requested phase = iota
	// loading adapters occupy a slot but cannot be used.
	loading
	ready
	// retiring adapters are still loaded but will be evicted; they are no longer announced to other hosts.
	retiring
	// unloading adapters wait for their running requests to end.
	unloading
)

type adapterEntry struct {
	phase phase
	// version is the version that the server has or is loading.
	version     int64
	orderAt     time.Time
	polledAt    time.Time
	requestedAt time.Time
	// lastUse is when the adapter was last requested, reportedUse when a host last reported a request that had no grant, and
	// readyAt when the adapter was loaded.
	lastUse     time.Time
	reportedUse time.Time
	readyAt     time.Time
	// loadOrderedAt is when the load in progress, or the last one, was ordered; zero if it was not ordered by this controller. loadTime is
	// the time from the order to the end of the last load, or zero if that was not seen.
	loadOrderedAt time.Time
	loadTime      time.Duration
	// dueAt is the latest time at which one of the requests that wait for the adapter should have its first event.
	dueAt time.Time
	// demand is a count of requests that decays over demandDecayTime, as of demandAt.
	demand   float64
	demandAt time.Time
	// replacing reports whether the server is loading a newer version.
	replacing bool
	// reported is set if only a report shows that the adapter is loaded. An unload of it may be under way.
	reported bool
	// retiredAt is when the adapter started to retire.
	retiredAt time.Time
	// waiting are the requests that wait for the adapter, while requests have grants. replica is set if the adapter was requested for no
	// request in particular, and served once its load has been counted for a workspace.
	waiting []*waiting
	replica bool
	served  bool
}

func (entry *adapterEntry) demandNow(now time.Time) float64 {
	return entry.demand * math.Exp(-now.Sub(entry.demandAt).Seconds()/demandDecayTime.Seconds())
}

// isLoading reports whether the server is loading the adapter or a newer version of it.
func (entry *adapterEntry) isLoading() bool { return entry.phase == loading || entry.replacing }

func (entry *adapterEntry) use(now time.Time, count float64) {
	entry.demand = entry.demandNow(now) + count
	entry.demandAt = now
	entry.lastUse = now
}

// runningCounts is a host's report of its running requests by adapter.
type runningCounts struct {
	counts map[string]int
	at     time.Time
}

// Controller decides on the orders to one incarnation of a server. It is not safe for concurrent use.
type Controller struct {
	capacity int
	// gossipDelay is the time within which hosts report their requests and loaded adapters to each other.
	gossipDelay time.Duration
	// model is the base model that the server has or should have.
	model    string
	hasModel bool
	// modelOrderAt is when the base model was last ordered; zero if it has not been ordered.
	modelOrderAt time.Time
	sequence     int64
	// synced reports whether the state matches the server's: a report was applied, and the outcome of every later order
	// is known.
	synced bool
	// unreachable is set while the server refuses connections or sends no report.
	unreachable bool
	// hasReport is set once a report has been applied.
	hasReport bool
	resyncAt  time.Time
	// confirmed is a sequence that the server has certainly reached. It may be behind sequence: a server does not say whether it counted an
	// unload that may have been under way when it sent its report.
	confirmed int64
	// openAt is the latest sequence at which a load without a response may still be carried out although later orders have been sent, and
	// openUntil bounds the time of that. It takes a slot until then.
	openAt    int64
	openUntil time.Time
	// counted reports whether the server has counted an order of this controller. Loads of earlier lease holders may be open before.
	counted bool
	// reportFrom is the least sequence that an up-to-date report states, and reportBy is when an older one is applied all the same: the
	// server may have restarted, or have rejected an order for another reason than its sequence.
	reportFrom int64
	reportBy   time.Time
	entries    map[string]*adapterEntry
	// repeatedOrder reports whether the order in progress repeats an earlier one, which the server does not count again.
	repeatedOrder bool
	// previous is the adapter's entry as it was before the order in progress was sent.
	previous adapterEntry
	// unanswered is the last order if the server did not respond to it, and repeats the number of times that it was sent again.
	unanswered *lentilproxy.Order
	repeats    int
	// conflicts counts consecutive conflicts of orders; none is sent before backoffUntil.
	conflicts     int
	conflictSince time.Time
	backoffUntil  time.Time
	// running holds the last report of running requests of each host.
	running map[string]runningCounts
	// recentlyUnloaded maps adapters to the time when the server unloaded them; it loads these fast.
	recentlyUnloaded map[string]time.Time
	// versions maps adapters to their newest announced versions.
	versions map[string]int64
	// grants knows the requests that have been sent with a grant of this host; nil if hosts do not ask for grants.
	grants *Grants
	// loadOrder is the order of the requests that wait for adapters, and returns knows the refused ones. Both are used with grants only.
	loadOrder *order.Order
	returns   *order.Returns
	loadTimes loadTimes
}

// New returns the controller of a server before its first report, which is due at reportAt.
func New(model string, capacity int, reportAt time.Time) *Controller {
	return &Controller{
		capacity: capacity, gossipDelay: DefaultGossipDelay, model: model, resyncAt: reportAt, entries: map[string]*adapterEntry{},
		versions: map[string]int64{}, running: map[string]runningCounts{}, recentlyUnloaded: map[string]time.Time{},
		loadOrder: order.New(reportAt, loadSlack, order.WithEqualShares()), returns: order.NewReturns(), loadTimes: newLoadTimes(),
	}
}

// SetGossipDelay sets the time within which hosts report their requests and loaded adapters to each other.
func (controller *Controller) SetGossipDelay(delay time.Duration) { controller.gossipDelay = delay }

// SetGrants sets the grants of the server's requests. Adapters without a grant then count as unused at once, and no longer only
// after the hosts have had time to report their requests.
func (controller *Controller) SetGrants(grants *Grants) { controller.grants = grants }

// SetVersions sets the newest announced versions of the model's adapters.
func (controller *Controller) SetVersions(versions map[string]int64) { controller.versions = versions }

// SetRecentlyUnloaded sets the adapters that the server has unloaded under the previous lease holder, in the order of the unloads.
func (controller *Controller) SetRecentlyUnloaded(now time.Time, adapters []string) {
	for index, adapter := range adapters[max(0, len(adapters)-maxRecentlyUnloaded):] {
		controller.recentlyUnloaded[adapter] = now.Add(time.Duration(index - maxRecentlyUnloaded))
	}
}

func (controller *Controller) entryOf(now time.Time, adapter string) *adapterEntry {
	entry := controller.entries[adapter]
	if entry == nil {
		entry = &adapterEntry{demandAt: now, lastUse: now, requestedAt: now}
		controller.entries[adapter] = entry
	}
	return entry
}
