package node

import (
	"context"
	"time"

	"lentilproxy/core/conf"
	"lentilproxy/core/fresh"
	"lentilproxy/core/member"
	"lentilproxy/core/value"
	"lentilproxy/io/block"
)

// The control goroutine owns all coordination state. Other goroutines post functions to it through one channel:
//
//	 table reads ──┐                         ┌──> View (atomic pointer) ──> traffic goroutines
//	 peer responses┼──> tasks ──> control ───┼──> orders to engines  ──┐
//	 peers' calls ─┤      ^                  ├──> calls to peers ──────┤
//	 operators ────┘      │                  └──> heartbeats, commits ─┤
//	                      └──────────── results of input and output ───┘
//
// Jobs run at intervals. A job does its input and output in a separate goroutine and posts the result back, so the
// control goroutine never blocks on them.

const (
	tickInterval             = 50 * time.Millisecond
	headInterval             = 500 * time.Millisecond
	pollInterval             = time.Second
	agingPollInterval        = 400 * time.Millisecond
	loanInterval             = 200 * time.Millisecond
	reportInterval           = time.Second
	engineInterval           = time.Second
	pushInterval             = 250 * time.Millisecond
	rosterInterval           = 500 * time.Millisecond
	ownerInterval            = 500 * time.Millisecond
	sweepInterval            = time.Minute
	directoryIntervalPerHost = 250 * time.Millisecond
	minDirectoryInterval     = time.Second
	// agingProof is the age of this host's proof above which it polls peers more often.
	agingProof = 1200 * time.Millisecond
	// keptChanges is the number of recent changes that are kept in memory for peers, and in the table's log.
	keptChanges = 1000
)

type job struct {
	interval func() time.Duration
	next     time.Time
	running  bool
	run      func(now time.Time, done func())
}

// control holds the state that the control goroutine owns.
type control struct {
	node          *Node
	tracker       *fresh.Tracker
	directory     *member.Directory
	state         *conf.State
	recentChanges []conf.Change
	incarnation   int64
	rowVersion    int64
	heartbeatSeq  int64
	ready         bool
	jobs          []*job
	// pushUntil is the time until which peers are notified of this host's own commits.
	pushUntil time.Time
	// notices holds what each peer was told of these commits.
	notices map[string]*notice
	// respondedAt is the time of each peer's last response.
	respondedAt map[string]time.Time
	// quorumSince is the time from which a quorum is known to hold each revision.
	quorumSince map[int64]time.Time
	owned       map[string]*ownedPool
	// activeOrders counts the orders to the engines of each pool that are under way, including those of earlier epochs.
	activeOrders map[string]int
	// formerOrdersUntil is the time until which orders of earlier owners to the engines of each pool may be under way.
	formerOrdersUntil map[string]time.Time
	// draining are the backend servers whose drain is being committed.
	draining  value.Set[string]
	fetching  bool
	proposing bool
	// exchangeScheduled reports whether a delayed exchange of loans is scheduled.
	exchangeScheduled bool
	// knownOwners holds the last known owner of each pool.
	knownOwners map[string]knownOwner
	blockRows   *block.Rows
	// sweepAfter is the key of the row after which the next sweep continues.
	sweepAfter string
}

func newControl(node *Node) *control {
	control := &control{
		node: node, tracker: fresh.NewTracker(node.Name()), directory: member.NewDirectory(), state: conf.NewState(),
		notices: map[string]*notice{}, respondedAt: map[string]time.Time{}, quorumSince: map[int64]time.Time{}, owned: map[string]*ownedPool{},
		knownOwners: map[string]knownOwner{}, activeOrders: map[string]int{}, formerOrdersUntil: map[string]time.Time{}, draining: value.NewSet[string](),
	}
	control.every(headInterval, control.readHead)
	control.every(member.HeartbeatInterval, control.heartbeat)
	control.schedule(control.pollEvery, control.poll)
	control.schedule(control.directoryEvery, control.scanDirectory)
	control.every(rosterInterval, control.reviewRoster)
	control.every(ownerInterval, control.reviewOwners)
	control.every(engineInterval, control.pollEngines)
	control.every(reportInterval, control.reportPermits)
	control.every(loanInterval, control.exchangeLoans)
	control.every(pushInterval, control.push)
	control.every(sweepInterval, control.sweepLedger)
	control.every(blockReadInterval, control.readBlocks)
	return control
}

func (control *control) every(interval time.Duration, run func(time.Time, func())) {
	control.schedule(func() time.Duration { return interval }, run)
}

func (control *control) schedule(interval func() time.Duration, run func(time.Time, func())) {
	control.jobs = append(control.jobs, &job{interval: interval, run: run})
}

// run is the body of the control goroutine.
func (control *control) run() {
	if !control.start() {
		return
	}
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case task := <-control.node.loop.Tasks():
			task(time.Now())
		case now := <-ticker.C:
			control.tick(now)
		case <-control.node.background.Done():
			return
		}
	}
}

func (control *control) tick(now time.Time) {
	for _, entry := range control.jobs {
		if entry.running || now.Before(entry.next) {
			continue
		}
		entry.running = true
		entry.next = now.Add(entry.interval())
		entry.run(now, func() { entry.running = false })
	}
	control.stepOwned(now)
	control.publishProof(now)
}

// background runs work in a new goroutine, and then done and the function that work returns in the control goroutine.
func (control *control) background(done func(), work func(ctx context.Context) func(now time.Time)) {
	go func() {
		finish := work(control.node.background)
		control.node.loop.Post(func(now time.Time) {
			done()
			if finish != nil {
				finish(now)
			}
		})
	}()
}

// applyChanges applies newer changes to the state on this host, and keeps them for peers.
func (control *control) applyChanges(now time.Time, changes []conf.Change) {
	next := control.state.Apply(changes...)
	if next.Revision() == control.state.Revision() {
		return
	}
	for _, change := range changes {
		if change.Revision > control.state.Revision() {
			control.recentChanges = append(control.recentChanges, change)
		}
	}
	if len(control.recentChanges) > keptChanges {
		control.recentChanges = append([]conf.Change(nil), control.recentChanges[len(control.recentChanges)-keptChanges:]...)
	}
	newer := changes[:0:0]
	for _, change := range changes {
		if change.Revision > control.state.Revision() && control.ready {
			newer = append(newer, change)
		}
	}
	control.replaceState(now, next)
	control.node.traffic.fillNewLimits(now, newer)
}

// replaceState puts a newer state in force on this host.
func (control *control) replaceState(now time.Time, next *conf.State) {
	if next.Revision() <= control.state.Revision() {
		return
	}
	control.state = next
	control.tracker.Hold(next.Revision(), next.Roster())
	control.node.traffic.configure(now, next)
	control.configureOwned()
	control.publish(true)
	control.node.metrics.Gauge("configuration_revision").Update(float64(next.Revision()))
	control.node.log.Info("configuration in force", "revision", next.Revision())
}

// publish makes the state and its proof visible to traffic.
func (control *control) publish(changed bool) {
	old := control.node.View()
	view := &View{state: control.state, changed: old.changed}
	if changed {
		view.changed = make(chan struct{})
	}
	view.provenAt, view.proven = control.tracker.ProvenAt()
	control.node.view.Store(view)
	if changed {
		close(old.changed)
	}
}

func (control *control) publishProof(now time.Time) {
	old := control.node.View()
	at, proven := control.tracker.ProvenAt()
	if old.proven == proven && old.provenAt.Equal(at) {
		return
	}
	wasFresh := old.Fresh(now)
	control.publish(false)
	if isFresh := control.node.View().Fresh(now); isFresh != wasFresh {
		control.node.log.Info("freshness changed", "fresh", isFresh)
	}
}
