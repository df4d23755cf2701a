// Package slots decides what one backend server that runs models holds: which adapters are loaded, and which make
// room for others.
package slots

import (
	"math"
	"sort"
	"time"

	"lentilproxy"
	"lentilproxy/core/spec"
)

const (
	// MaxInTransit is the number of adapters that may be on their way to one server at a time.
	MaxInTransit = 4
	// pollFast and pollSlow are the times between two questions whether an adapter has arrived: one that the server held
	// lately takes some 25 ms, another one 250 ms and more.
	pollFast = 25 * time.Millisecond
	pollSlow = 40 * time.Millisecond
	// storeTime is the least time that an adapter needs from the weight store. Each question takes a turn of the server's
	// orders, so none is asked before.
	storeTime = 240 * time.Millisecond
	// demandHorizon is the time over which the demand for an adapter is averaged.
	demandHorizon = 12 * time.Second
	// quietBefore is how long an adapter must not have been asked for before it makes room: hosts tell each other of
	// their requests with a delay, and while an unload waits for its runs, the server takes no other order.
	quietBefore = 450 * time.Millisecond
	// runningLifetime is how long a host's count of its running requests counts.
	runningLifetime = 1500 * time.Millisecond
	// noticeTime is the time between the announcement that an adapter makes room and its unload, in which the other
	// hosts learn of it.
	noticeTime = 350 * time.Millisecond
	// busyBackoff is the wait after an order that met another one under way.
	busyBackoff = 40 * time.Millisecond
	// maxBusy is the number of such answers in a row after which the sequence is in doubt.
	maxBusy = 25
	// maxBlocked is how long a server may take no orders before wishes go to another one.
	maxBlocked = 200 * time.Millisecond
	// maxWanted is the number of wishes that may wait at one server: the weight store brings some seven adapters a second
	// to each, and callers wait for two to three seconds.
	maxWanted = 10
	// MaxFromStore is the number of adapters that may be on their way from the weight store to one server. The store
	// slows down beyond some two a server; one place in transit stays for adapters that the server held lately.
	MaxFromStore = 3
	// maxRecent is the number of adapters of which a server is taken to have kept a copy.
	maxRecent = 100
	// reservePart is the number of places for each one that is kept free for the next load.
	reservePart = 9
	// wantLifetime is how long a load that was asked for is worth its place in the queue.
	wantLifetime = 3 * time.Second
	// resyncDelay is the time between a failed order and the report that tells its effect, which lags.
	resyncDelay = 500 * time.Millisecond
)

type phase int

const (
	wanted phase = iota
	// loading adapters take a place but cannot be used.
	loading
	ready
	// retiring adapters are still loaded, but no longer announced.
	retiring
	// leaving adapters wait for their runs to end.
	leaving
)

type entry struct {
	phase phase
	// version is what the server has, or is loading.
	version  int64
	orderAt  time.Time
	polledAt time.Time
	wantedAt time.Time
	lastUse  time.Time
	// demand is a count of requests that decays over demandHorizon, as of demandAt.
	demand   float64
	demandAt time.Time
	// replacing says that a newer version is on its way.
	replacing bool
	// retiredAt is when the adapter was announced to make room.
	retiredAt time.Time
}

func (entry *entry) demandNow(now time.Time) float64 {
	return entry.demand * math.Exp(-now.Sub(entry.demandAt).Seconds()/demandHorizon.Seconds())
}

func (entry *entry) use(now time.Time, count float64) {
	entry.demand = entry.demandNow(now) + count
	entry.demandAt = now
	entry.lastUse = now
}

// hostRuns counts the running requests of one host by adapter.
type hostRuns struct {
	counts map[string]int
	at     time.Time
}

// Keeper decides for one life of one server. It is not safe for concurrent use.
type Keeper struct {
	places int
	// model is the base model that the server has or should have.
	model    string
	hasModel bool
	// modelOrderAt is when the base model was ordered.
	modelOrderAt time.Time
	sequence     int64
	// synced says that a report of the server was taken in and that every order since has been answered.
	synced bool
	// known says that a report was taken in once.
	known    bool
	resyncAt time.Time
	entries  map[string]*entry
	// repeated says that the order under way asks for what was ordered before, which a server does not count again.
	repeated bool
	// before is the state of the entry that the order under way concerns, from before it was sent.
	before entry
	// busy counts orders in a row that met another one under way; none is sent before busyUntil.
	busy      int
	busySince time.Time
	busyUntil time.Time
	// running holds the requests of each host for adapters of this server.
	running map[string]hostRuns
	// recent holds the adapters that the server had loaded before, with the time when they left; it loads them fast.
	recent map[string]time.Time
	// versions are the newest announced versions of adapters.
	versions map[string]int64
}

// New returns the keeper of a server of which nothing is known yet. A report is due at an instant.
func New(model string, places int, reportAt time.Time) *Keeper {
	return &Keeper{places: places, model: model, resyncAt: reportAt, entries: map[string]*entry{}, versions: map[string]int64{}, running: map[string]hostRuns{}, recent: map[string]time.Time{}}
}

// Model returns the base model of the server.
func (keeper *Keeper) Model() string { return keeper.model }

// HasModel says whether the base model is loaded.
func (keeper *Keeper) HasModel() bool { return keeper.hasModel }

// Synced says whether the keeper knows what the server holds.
func (keeper *Keeper) Synced() bool { return keeper.synced }

// Known says whether the server has ever told what it holds.
func (keeper *Keeper) Known() bool { return keeper.known }

// ModelOrdered says whether the base model is on its way.
func (keeper *Keeper) ModelOrdered() bool { return !keeper.modelOrderAt.IsZero() }

// Census counts the adapters of a server by what happens to them.
type Census struct {
	Places   int
	Ready    int
	InUse    int
	Loading  int
	Wanted   int
	Leaving  int
	Busy     bool
	Synced   bool
	Sequence int64
}

// Census returns the counts at an instant.
func (keeper *Keeper) Census(now time.Time) Census {
	census := Census{Places: keeper.places, Busy: now.Before(keeper.busyUntil), Synced: keeper.synced, Sequence: keeper.sequence}
	for name, known := range keeper.entries {
		switch known.phase {
		case ready:
			census.Ready++
			if keeper.inUse(now, name) {
				census.InUse++
			}
			if known.replacing {
				census.Loading++
			}
		case loading:
			census.Loading++
		case wanted:
			census.Wanted++
		case retiring, leaving:
			census.Leaving++
		}
	}
	return census
}

// Active says whether an order may follow without another wish.
func (keeper *Keeper) Active() bool {
	if !keeper.hasModel || !keeper.synced {
		return true
	}
	for name, known := range keeper.entries {
		if known.phase != ready || known.replacing || known.version < keeper.versions[name] {
			return true
		}
	}
	return false
}

// Holds says whether the adapter of an order is loaded.
func (keeper *Keeper) Holds(order lentilproxy.Order) bool {
	known := keeper.entries[order.Ref.Adapter]
	return known != nil && known.phase == ready && !known.replacing
}

// Announce takes in the newest announced versions of the model's adapters.
func (keeper *Keeper) Announce(versions map[string]int64) { keeper.versions = versions }

// ReportDue says whether the server has to be asked what it holds.
func (keeper *Keeper) ReportDue(now time.Time) bool {
	return !keeper.synced && !now.Before(keeper.resyncAt)
}

// Reported takes in a report that was asked for after the last order was answered or given up.
func (keeper *Keeper) Reported(now time.Time, report spec.Report) {
	held := map[string]int64{}
	keeper.hasModel = false
	for _, holding := range report.Holdings {
		if keeper.model == "" {
			keeper.model = holding.Model
		}
		if holding.Model == keeper.model {
			keeper.hasModel, held = true, holding.Adapters
		}
	}
	pending := map[string]bool{}
	for _, ref := range report.Pending {
		pending[ref.Adapter] = true
	}
	for name, known := range keeper.entries {
		if _, present := held[name]; !present && !pending[name] && known.phase != wanted {
			delete(keeper.entries, name)
		}
	}
	for name, version := range held {
		known := keeper.entry(now, name)
		known.phase, known.version, known.replacing = ready, version, pending[name]
	}
	for name := range pending {
		if _, present := held[name]; present {
			continue
		}
		known := keeper.entry(now, name)
		known.phase, known.orderAt, known.polledAt = loading, now, now
	}
	if report.Busy && !keeper.hasModel {
		keeper.modelOrderAt = now
	}
	keeper.sequence = report.Sequence
	keeper.synced, keeper.known = true, true
}

// ReportFailed takes in that the server did not answer.
func (keeper *Keeper) ReportFailed(now time.Time) { keeper.resyncAt = now.Add(resyncDelay) }

func (keeper *Keeper) entry(now time.Time, adapter string) *entry {
	known := keeper.entries[adapter]
	if known == nil {
		known = &entry{demandAt: now, lastUse: now, wantedAt: now}
		keeper.entries[adapter] = known
	}
	return known
}

// Used counts requests for an adapter.
func (keeper *Keeper) Used(now time.Time, adapter string, count float64) {
	if known := keeper.entries[adapter]; known != nil {
		known.use(now, count)
	}
}

// Running takes in what requests of a host run on the server.
func (keeper *Keeper) Running(now time.Time, host string, counts map[string]int) {
	keeper.running[host] = hostRuns{counts: counts, at: now}
}

// inUse says whether a request for an adapter may be running or on its way.
func (keeper *Keeper) inUse(now time.Time, adapter string) bool {
	if known := keeper.entries[adapter]; known != nil && now.Sub(known.lastUse) < quietBefore {
		return true
	}
	return keeper.runs(now, adapter)
}

// runs says whether a host has told of a request for an adapter that runs.
func (keeper *Keeper) runs(now time.Time, adapter string) bool {
	for _, runs := range keeper.running {
		if runs.counts[adapter] > 0 && now.Sub(runs.at) < runningLifetime {
			return true
		}
	}
	return false
}

// Wish is the answer to a wish for an adapter.
type Wish int

// The answers to a wish.
const (
	// WishPending means that the adapter is on its way, or waits for its turn.
	WishPending Wish = iota
	// WishReady means that the adapter can be used.
	WishReady
	// WishFull means that no place can be made.
	WishFull
)

// Want asks for an adapter with its demand in requests.
func (keeper *Keeper) Want(now time.Time, adapter string, demand float64) Wish {
	known := keeper.entry(now, adapter)
	lastUse := known.lastUse
	known.use(now, demand)
	if known.phase == ready && known.version < keeper.versions[adapter] {
		// A wish for the newest version does not use the one before.
		known.lastUse = lastUse
	}
	switch known.phase {
	case wanted:
		known.wantedAt = now
	case retiring:
		known.phase = ready
	default:
	}
	return keeper.Check(now, adapter)
}

// Check returns the state of a wish.
func (keeper *Keeper) Check(now time.Time, adapter string) Wish {
	known := keeper.entries[adapter]
	switch {
	case known == nil:
		return WishFull
	case known.phase == ready && !known.replacing && known.version >= keeper.versions[adapter]:
		return WishReady
	case known.phase == ready && !known.replacing && keeper.inUse(now, adapter):
		// Requests run on the version before; it is loaded elsewhere meanwhile.
		return WishFull
	case known.phase == wanted && (keeper.blocked(now) || keeper.wishes() > maxWanted || keeper.occupied(now)):
		delete(keeper.entries, adapter)
		return WishFull
	default:
		return WishPending
	}
}

// occupied says whether requests run on all that the server holds, so that no place becomes free soon.
func (keeper *Keeper) occupied(now time.Time) bool {
	return keeper.synced && keeper.taken() >= keeper.places && !keeper.makingRoom() && keeper.allRunning(now)
}

// blocked says whether the server has taken no orders for a while.
func (keeper *Keeper) blocked(now time.Time) bool {
	return keeper.busy > 0 && now.Sub(keeper.busySince) > maxBlocked
}

// wishes returns the number of adapters that wait for their turn.
func (keeper *Keeper) wishes() int {
	count := 0
	for _, known := range keeper.entries {
		if known.phase == wanted {
			count++
		}
	}
	return count
}

// allRunning says whether requests run on every adapter, so that none will make room soon.
func (keeper *Keeper) allRunning(now time.Time) bool {
	for name, known := range keeper.entries {
		if known.phase == ready && !keeper.runs(now, name) {
			return false
		}
	}
	return true
}

// makingRoom says whether an adapter is on its way out.
func (keeper *Keeper) makingRoom() bool {
	for _, known := range keeper.entries {
		if known.phase == leaving || known.phase == retiring {
			return true
		}
	}
	return false
}

// taken returns the number of places in use.
func (keeper *Keeper) taken() int {
	count := 0
	for _, known := range keeper.entries {
		if known.phase != wanted {
			count++
		}
	}
	return count
}

func (keeper *Keeper) inTransit() int {
	count := 0
	for _, known := range keeper.entries {
		if known.phase == loading || known.replacing {
			count++
		}
	}
	return count
}

// victim returns the adapter that is least likely to be asked for again and is not in use, or "".
func (keeper *Keeper) victim(now time.Time) string {
	best, least := "", math.Inf(1)
	for name, known := range keeper.entries {
		if known.phase != ready || known.replacing || keeper.inUse(now, name) {
			continue
		}
		if demand := known.demandNow(now); demand < least || (demand == least && name < best) {
			best, least = name, demand
		}
	}
	return best
}

// Retire announces that adapters make room, so that the next load finds a free place. It says whether one was found.
func (keeper *Keeper) Retire(now time.Time) bool {
	if !keeper.synced || !keeper.hasModel {
		return false
	}
	free := keeper.places - keeper.taken()
	for _, known := range keeper.entries {
		if known.phase == retiring || known.phase == leaving {
			free++
		}
	}
	retired := false
	for ; free < keeper.places/reservePart; free++ {
		name := keeper.victim(now)
		if name == "" {
			break
		}
		keeper.entries[name].phase, keeper.entries[name].retiredAt = retiring, now
		retired = true
	}
	return retired
}

// Ready returns the adapters that can be used, with their versions.
func (keeper *Keeper) Ready() map[string]int64 {
	held := map[string]int64{}
	for name, known := range keeper.entries {
		if known.phase == ready && !known.replacing {
			held[name] = known.version
		}
	}
	return held
}

// Next returns the next order to send, if there is one. Every order has to be answered before the next.
func (keeper *Keeper) Next(now time.Time, mayLoadModel bool) (lentilproxy.Order, bool) {
	if !keeper.synced || now.Before(keeper.busyUntil) {
		return lentilproxy.Order{}, false
	}
	if !keeper.hasModel {
		return keeper.nextModel(now, mayLoadModel)
	}
	for _, choose := range []func(time.Time) (lentilproxy.Order, bool){
		keeper.nextReplacement, keeper.nextLoad, keeper.nextPoll, keeper.nextUnload,
	} {
		if order, found := choose(now); found {
			return order, true
		}
	}
	return lentilproxy.Order{}, false
}

// nextModel loads the base model of a server that restarted empty.
func (keeper *Keeper) nextModel(now time.Time, mayLoad bool) (lentilproxy.Order, bool) {
	ordered := !keeper.modelOrderAt.IsZero()
	if keeper.model == "" || (!ordered && !mayLoad) || (ordered && now.Sub(keeper.modelOrderAt) < pollSlow) {
		return lentilproxy.Order{}, false
	}
	return keeper.order(lentilproxy.Load, "", 0), true
}

func (keeper *Keeper) order(kind lentilproxy.OrderKind, adapter string, version int64) lentilproxy.Order {
	return lentilproxy.Order{
		Kind: kind, Ref: spec.AdapterRef{Model: keeper.model, Adapter: adapter}, Version: version, Sequence: keeper.sequence,
	}
}

// nextPoll asks whether an adapter has arrived or left, by repeating its order.
func (keeper *Keeper) nextPoll(now time.Time) (lentilproxy.Order, bool) {
	for _, name := range keeper.names() {
		known := keeper.entries[name]
		if now.Sub(known.polledAt) < keeper.pollInterval(now, name) {
			continue
		}
		switch {
		case known.phase == loading || known.replacing:
			return keeper.order(lentilproxy.Load, name, keeper.versions[name]), true
		case known.phase == leaving:
			return keeper.order(lentilproxy.Unload, name, 0), true
		}
	}
	return lentilproxy.Order{}, false
}

// pollInterval returns the time between two questions about an adapter.
func (keeper *Keeper) pollInterval(now time.Time, adapter string) time.Duration {
	known := keeper.entries[adapter]
	if _, kept := keeper.recent[adapter]; kept || known.phase == leaving {
		return pollFast
	}
	return max(pollSlow, storeTime-now.Sub(known.orderAt))
}

// nextReplacement loads the newest version in place of an older one.
func (keeper *Keeper) nextReplacement(now time.Time) (lentilproxy.Order, bool) {
	if keeper.inTransit() >= MaxInTransit {
		return lentilproxy.Order{}, false
	}
	for _, name := range keeper.names() {
		known := keeper.entries[name]
		if known.phase == ready && !known.replacing && known.version < keeper.versions[name] && !keeper.inUse(now, name) {
			return keeper.order(lentilproxy.Load, name, keeper.versions[name]), true
		}
	}
	return lentilproxy.Order{}, false
}

// nextLoad loads the adapter that is wanted most, or makes room for it.
func (keeper *Keeper) nextLoad(now time.Time) (lentilproxy.Order, bool) {
	best := keeper.mostWanted(now)
	if best == "" || keeper.inTransit() >= MaxInTransit {
		return lentilproxy.Order{}, false
	}
	if keeper.taken() < keeper.places {
		return keeper.order(lentilproxy.Load, best, keeper.versions[best]), true
	}
	// There was no time to announce it.
	if name := keeper.oldestRetiring(now); name != "" {
		return keeper.order(lentilproxy.Unload, name, 0), true
	}
	if keeper.makingRoom() {
		return lentilproxy.Order{}, false
	}
	if victim := keeper.victim(now); victim != "" {
		return keeper.order(lentilproxy.Unload, victim, 0), true
	}
	return lentilproxy.Order{}, false
}

// mostWanted returns the adapter to load next, or "". One that the server loads fast comes first.
func (keeper *Keeper) mostWanted(now time.Time) string {
	best, fast, most := "", false, -1.0
	storeBusy := keeper.fromStore() >= MaxFromStore
	for _, name := range keeper.names() {
		known := keeper.entries[name]
		if known.phase != wanted {
			continue
		}
		if now.Sub(known.wantedAt) > wantLifetime {
			delete(keeper.entries, name)
			continue
		}
		_, kept := keeper.recent[name]
		if !kept && (storeBusy || fast) {
			continue
		}
		if demand := known.demandNow(now); demand > most || (kept && !fast) {
			best, fast, most = name, kept, demand
		}
	}
	return best
}

// fromStore returns the number of adapters on their way from the weight store.
func (keeper *Keeper) fromStore() int {
	count := 0
	for name, known := range keeper.entries {
		if _, kept := keeper.recent[name]; (known.phase == loading || known.replacing) && !kept {
			count++
		}
	}
	return count
}

// left notes that the server has unloaded an adapter, of which it keeps a copy for a while.
func (keeper *Keeper) left(now time.Time, adapter string) {
	delete(keeper.entries, adapter)
	keeper.recent[adapter] = now
	if len(keeper.recent) <= maxRecent {
		return
	}
	oldest := ""
	for name, at := range keeper.recent {
		if oldest == "" || at.Before(keeper.recent[oldest]) {
			oldest = name
		}
	}
	delete(keeper.recent, oldest)
}

// nextUnload unloads an adapter whose announcement everybody has got.
func (keeper *Keeper) nextUnload(now time.Time) (lentilproxy.Order, bool) {
	name := keeper.oldestRetiring(now)
	if name == "" || now.Sub(keeper.entries[name].retiredAt) < noticeTime {
		return lentilproxy.Order{}, false
	}
	return keeper.order(lentilproxy.Unload, name, 0), true
}

// oldestRetiring returns the adapter that was announced first to make room and that nobody uses, or "".
func (keeper *Keeper) oldestRetiring(now time.Time) string {
	oldest := ""
	for _, name := range keeper.names() {
		known := keeper.entries[name]
		if known.phase == retiring && !keeper.inUse(now, name) && (oldest == "" || known.retiredAt.Before(keeper.entries[oldest].retiredAt)) {
			oldest = name
		}
	}
	return oldest
}

func (keeper *Keeper) names() []string {
	names := make([]string, 0, len(keeper.entries))
	for name := range keeper.entries {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Sent marks an order as under way. It is called before the order is sent, since it may take effect from then on.
func (keeper *Keeper) Sent(now time.Time, order lentilproxy.Order) {
	if order.Ref.Adapter == "" {
		keeper.before = entry{}
		keeper.repeated = !keeper.modelOrderAt.IsZero()
		keeper.modelOrderAt = now
		return
	}
	known := keeper.entry(now, order.Ref.Adapter)
	keeper.before = *known
	known.polledAt = now
	keeper.repeated = false
	switch {
	case order.Kind == lentilproxy.Unload && (known.phase == ready || known.phase == retiring):
		known.phase, known.orderAt = leaving, now
	case order.Kind == lentilproxy.Load && known.phase == wanted:
		known.phase, known.orderAt = loading, now
	case order.Kind == lentilproxy.Load && known.phase == ready && !known.replacing:
		known.replacing, known.orderAt = true, now
	default:
		keeper.repeated = true
	}
}

// Answered takes in the outcome of an order.
func (keeper *Keeper) Answered(now time.Time, order lentilproxy.Order, outcome lentilproxy.OrderOutcome) {
	if outcome != lentilproxy.OrderConflict {
		keeper.busy = 0
	}
	switch outcome {
	case lentilproxy.OrderConflict:
		keeper.conflict(now, order)
	case lentilproxy.OrderAccepted:
		if !keeper.repeated {
			keeper.sequence++
		}
	case lentilproxy.OrderHolds:
		keeper.holds(now, order)
	default:
		// The sequence or the holdings differ from what the keeper believes.
		keeper.Unanswered(now)
	}
}

// conflict takes in that an order met another one under way, or that its sequence was wrong, which look the same.
func (keeper *Keeper) conflict(now time.Time, order lentilproxy.Order) {
	keeper.busy++
	if keeper.busy == 1 {
		keeper.busySince = now
	}
	if keeper.busy >= maxBusy {
		keeper.busy = 0
		keeper.Unanswered(now)
		return
	}
	keeper.busyUntil = now.Add(busyBackoff)
	if order.Ref.Adapter == "" {
		if !keeper.repeated {
			keeper.modelOrderAt = time.Time{}
		}
		return
	}
	known := keeper.entry(now, order.Ref.Adapter)
	// Requests may have asked for it meanwhile.
	known.phase, known.replacing, known.orderAt = keeper.before.phase, keeper.before.replacing, keeper.before.orderAt
}

func (keeper *Keeper) holds(now time.Time, order lentilproxy.Order) {
	if order.Ref.Adapter == "" {
		keeper.hasModel, keeper.modelOrderAt = true, time.Time{}
		return
	}
	if order.Kind == lentilproxy.Unload {
		keeper.left(now, order.Ref.Adapter)
		if !keeper.repeated {
			// An unload that is done at once counts as an order that was accepted.
			keeper.sequence++
		}
		return
	}
	known := keeper.entry(now, order.Ref.Adapter)
	known.phase, known.replacing = ready, false
	known.version = max(known.version, order.Version)
}

// Unanswered takes in that the effect of an order is not known: only a report can tell.
func (keeper *Keeper) Unanswered(now time.Time) {
	keeper.synced = false
	keeper.resyncAt = now.Add(resyncDelay)
}
