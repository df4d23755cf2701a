package node

import (
	"context"
	"time"

	"lentilproxy/core/conf"
	"lentilproxy/core/fresh"
	"lentilproxy/core/member"
	"lentilproxy/core/value"
)

// The control goroutine owns all coordination state. Everything else reaches it as a function on one channel:
//
//	 table reads ──┐                         ┌──> View (atomic pointer) ──> traffic goroutines
//	 peers' answers┼──> tasks ──> control ───┼──> orders to engines  ──┐
//	 peers' calls ─┤      ^                  ├──> calls to peers ──────┤
//	 operators ────┘      │                  └──> heartbeats, commits ─┤
//	                      └──────────── results of input and output ───┘
//
// Jobs run at fixed intervals. A job does its input and output in a goroutine of its own and posts the result back,
// so the control goroutine never waits.

const (
	tickInterval      = 50 * time.Millisecond
	headInterval      = 500 * time.Millisecond
	pollInterval      = time.Second
	agingPollInterval = 400 * time.Millisecond
	loanInterval      = 200 * time.Millisecond
	reportInterval    = time.Second
	engineInterval    = time.Second
	pushInterval      = 250 * time.Millisecond
	rosterInterval    = 500 * time.Millisecond
	ownerInterval     = 500 * time.Millisecond
	sweepInterval     = time.Minute
	directoryPerHost  = 250 * time.Millisecond
	minDirectoryScan  = time.Second
	// agingProof is the age of a proof after which peers are asked for theirs more often.
	agingProof = 1200 * time.Millisecond
	// keptChanges is the number of recent changes that are kept for peers, and in the table's log.
	keptChanges = 1000
)

type job struct {
	interval func() time.Duration
	next     time.Time
	busy     bool
	run      func(now time.Time, done func())
}

// control holds the state that the control goroutine owns.
type control struct {
	node        *Node
	tracker     *fresh.Tracker
	directory   *member.Directory
	state       *conf.State
	tail        []conf.Change
	incarnation int64
	rowVersion  int64
	beat        int64
	ready       bool
	jobs        []*job
	// pushUntil is how long peers are told of this host's own commits.
	pushUntil time.Time
	// heardAt is when a peer last answered.
	heardAt map[string]time.Time
	// quorumAt is since when enough hosts hold an unsettled revision.
	quorumAt map[int64]time.Time
	owned    map[string]*ownedPool
	// orders counts the orders to the engines of each pool that are under way, also under earlier epochs.
	orders map[string]int
	// unclean is until when orders of earlier owners to the engines of a pool may be under way.
	unclean map[string]time.Time
	// draining are the backend servers whose drain is being committed.
	draining  value.Set[string]
	fetching  bool
	proposing bool
	// exchangeDue says that an exchange of loans is on its way.
	exchangeDue bool
	startedAt   time.Time
	// sweepAfter is the row after which the next sweep goes on.
	sweepAfter string
}

func newControl(node *Node) *control {
	control := &control{
		node: node, tracker: fresh.NewTracker(node.Name()), directory: member.NewDirectory(), state: conf.NewState(),
		heardAt: map[string]time.Time{}, quorumAt: map[int64]time.Time{}, owned: map[string]*ownedPool{},
		orders: map[string]int{}, unclean: map[string]time.Time{}, draining: value.NewSet[string](),
	}
	control.every(headInterval, control.readHead)
	control.every(member.HeartbeatInterval, control.heartbeat)
	control.dynamic(control.pollEvery, control.poll)
	control.dynamic(control.directoryEvery, control.scanDirectory)
	control.every(rosterInterval, control.reviewRoster)
	control.every(ownerInterval, control.reviewOwners)
	control.every(engineInterval, control.pollEngines)
	control.every(reportInterval, control.reportPermits)
	control.every(loanInterval, control.exchangeLoans)
	control.every(pushInterval, control.push)
	control.every(sweepInterval, control.sweepLedger)
	return control
}

func (control *control) every(interval time.Duration, run func(time.Time, func())) {
	control.dynamic(func() time.Duration { return interval }, run)
}

func (control *control) dynamic(interval func() time.Duration, run func(time.Time, func())) {
	control.jobs = append(control.jobs, &job{interval: interval, run: run})
}

// run is the control goroutine.
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
		if entry.busy || now.Before(entry.next) {
			continue
		}
		entry.busy = true
		entry.next = now.Add(entry.interval())
		entry.run(now, func() { entry.busy = false })
	}
	control.stepOwned(now)
	control.publishProof(now)
}

// background runs input and output in a goroutine and the function that it returns in the control goroutine.
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

// adopt moves the state forward and tells everybody who depends on it.
func (control *control) adopt(now time.Time, changes []conf.Change) {
	next := control.state.Apply(changes...)
	if next.Revision() == control.state.Revision() {
		return
	}
	for _, change := range changes {
		if change.Revision > control.state.Revision() {
			control.tail = append(control.tail, change)
		}
	}
	if len(control.tail) > keptChanges {
		control.tail = append([]conf.Change(nil), control.tail[len(control.tail)-keptChanges:]...)
	}
	newer := changes[:0:0]
	for _, change := range changes {
		if change.Revision > control.state.Revision() && control.ready {
			newer = append(newer, change)
		}
	}
	control.replace(now, next)
	control.node.traffic.fill(now, newer)
}

// replace puts a newer state in force on this host.
func (control *control) replace(now time.Time, next *conf.State) {
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

// publish makes the state visible to traffic.
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
	was := old.Fresh(now)
	control.publish(false)
	if is := control.node.View().Fresh(now); is != was {
		control.node.log.Info("freshness changed", "fresh", is)
	}
}
