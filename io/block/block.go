// Package block finds requests that crash backend servers, together with the other hosts, and blocks them on all hosts.
//
// Each host reports the requests that were in flight at a crash to a few hosts, the analysts, which are the same for all
// crashes. These correlate the crashes, ask other hosts which of the suspects have run without a crash, and send their
// verdicts to all hosts and to the store, from where hosts that were unreachable or that start later get them.
package block

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"lentilproxy/core/crash"
	"lentilproxy/core/value"

	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"
	"github.com/uber-go/tally/v4"
	"golang.org/x/time/rate"
)

// Methods of the calls between hosts.
const (
	methodReport  = "crash.report"
	methodQuery   = "crash.query"
	methodBlock   = "crash.block"
	methodSuspend = "crash.suspend"
	// methodVerdicts asks for the verdicts in force.
	methodVerdicts = "crash.verdicts"
)

const (
	// analystCount is the number of hosts that every crash is reported to. More than one, since they may fail.
	analystCount = 3
	// maxStandIns bounds the hosts that are tried in place of analysts that cannot be reached.
	maxStandIns = 16
	// reportDelay is how long a host collects the requests that broke off with a server before it reports the crash, and
	// reportInterval the least time between two reports on one server.
	reportDelay    = 5 * time.Millisecond
	reportInterval = 500 * time.Millisecond
	// maxReports bounds the reports that wait or are being sent; further crashes are not reported meanwhile.
	maxReports = 256
	// reportRate is the number of reports a second, and reportBurst the number at once, that a host sends to each analyst.
	reportRate  = 2
	reportBurst = 20
	// maxReportRequests and maxReportParts bound one report. A request whose head has the usual limit has at most a quarter of the parts.
	maxReportRequests = 64
	maxReportParts    = 16384
	// callTimeout bounds a call to another host. A report is sent up to reportTries times, reportRetryDelay apart, so that
	// it outlasts a short interruption of the link.
	callTimeout      = 400 * time.Millisecond
	reportTries      = 8
	reportRetryDelay = 400 * time.Millisecond
	// verdictTries is the number of rounds, verdictRetryDelay apart, in which a verdict is sent to the hosts that have not
	// confirmed it.
	verdictTries      = 8
	verdictRetryDelay = 400 * time.Millisecond
	// learnInterval is the interval at which a host that starts checks whether it knows other hosts, which it asks for
	// their verdicts.
	learnInterval = 100 * time.Millisecond
	// standInDelay is added to the time until a host analyses reports for each host that precedes it, so that usually only
	// the first one asks the others.
	standInDelay = 300 * time.Millisecond
	// tryDelay is added to a suspension for each host that precedes this one, at most maxTryRank, so that callers who come back
	// at its end to several hosts are not all tried.
	tryDelay   = 150 * time.Millisecond
	maxTryRank = 20
	// maxHeldReports bounds the reports that are kept for hosts that start, and reportHolders is the number of hosts that
	// get them at their start: the analysts and those that replace them first.
	maxHeldReports = 16
	reportHolders  = 2 * analystCount
	// An analysis of reports follows the first of them after a wait: analysisFactor times as long as the last one took, so that analyses take a
	// small part of a host's time, but minAnalysisWait at least and maxAnalysisWait at most.
	analysisFactor  = 10
	minAnalysisWait = 10 * time.Millisecond
	maxAnalysisWait = 500 * time.Millisecond
	// minQueryInterval is the least time between two rounds of questions to all hosts.
	minQueryInterval = 500 * time.Millisecond
	// minSuspendInterval is the least time between two rounds of calls that suspend requests.
	minSuspendInterval = 500 * time.Millisecond
	// sampleSize is the number of hosts that are asked first.
	sampleSize = 32
	// maxConcurrentCalls bounds the concurrent calls of one round.
	maxConcurrentCalls = 64
	// maxLoggedParts bounds the parts in a log line.
	maxLoggedParts = 16
)

// Call calls a method of the host at an IP:port address.
type Call func(ctx context.Context, address, method string, params, result any) error

// Store keeps verdicts for hosts that start later. Its methods may block and log their own failures.
type Store interface {
	// Save saves a block.
	Save(ctx context.Context, block crash.Block)
	// Delete deletes a block.
	Delete(ctx context.Context, block crash.Block)
}

// noStore implements Store without keeping anything.
type noStore struct{}

// Save implements Store.
func (noStore) Save(context.Context, crash.Block) {}

// Delete implements Store.
func (noStore) Delete(context.Context, crash.Block) {}

// Run is a request in flight on a server.
type Run struct {
	Server string
	// Incarnation identifies the server's incarnation; empty if it is not known.
	Incarnation string
	Parts       []crash.Part
	SentAt      time.Time
	// BegunAt is when the first event arrived, or zero.
	BegunAt  time.Time
	survived bool
}

// Incarnation returns the identity of an incarnation of a server that was started at a time.
func Incarnation(server string, startedMillis int64) string {
	return fmt.Sprintf("%s/%d", server, startedMillis)
}

// key identifies the server's incarnation.
func (run *Run) key() string { return run.Server + "\x00" + run.Incarnation }

// Exchanger is one host's part in the search. It is safe for concurrent use.
type Exchanger struct {
	ctx     context.Context
	host    string
	call    Call
	peers   func() map[string]string
	clock   func() time.Time
	log     logr.Logger
	metrics tally.Scope
	store   Store
	probe   Probe
	// stopped is closed when no goroutine of the exchanger runs any more after the context was cancelled.
	stopped    chan struct{}
	goroutines goroutines

	mutex    sync.Mutex
	history  *crash.History
	analyzer *crash.Analyzer
	list     *crash.Blocklist
	// pending holds the broken requests by server until they are reported.
	pending map[string]*pendingReport
	sending int
	// checks is the number of servers that are being checked.
	checks int
	// watches holds the servers that may have crashed, and flights the requests in flight, by Run.key.
	watches map[string]*watch
	flights map[string]map[*Run]struct{}
	// silenced holds the servers that fell silent under whole requests.
	silenced *value.Recent[crash.Part, silence]
	limiter  *rate.Limiter
	// checkAt is when the evidence is next analysed, or zero, and checking reports whether it is being analysed.
	checkAt  time.Time
	checking bool
	// analysisDue is set while an analysis of the reports is scheduled, and analysisWait is how long after the first of them.
	analysisDue  bool
	analysisWait time.Duration
	queriedAt    time.Time
	// reports holds the last reports of crashes, of all hosts.
	reports []heldReport
	// suspended holds the suspended requests that other hosts have not been told of, and telling reports whether they are
	// being told.
	suspended []crash.Part
	telling   bool
}

type pendingReport struct {
	server      string
	incarnation string
	at          time.Time
	// inferred reports whether the crash showed only after the requests had ended.
	inferred bool
	// runs is ordered by compareRuns.
	runs []Run
	// sent reports whether a report was sent before.
	sent bool
}

// Option configures an exchanger.
type Option func(*Exchanger)

// WithClock sets the clock. The default is time.Now.
func WithClock(clock func() time.Time) Option {
	return func(exchanger *Exchanger) { exchanger.clock = clock }
}

// WithLog sets the log.
func WithLog(log logr.Logger) Option { return func(exchanger *Exchanger) { exchanger.log = log } }

// WithMetrics sets the scope of the metrics.
func WithMetrics(scope tally.Scope) Option {
	return func(exchanger *Exchanger) { exchanger.metrics = scope }
}

// WithStore sets the store that keeps verdicts. By default only hosts keep them.
func WithStore(store Store) Option { return func(exchanger *Exchanger) { exchanger.store = store } }

// Probe reports whether an incarnation of a server responds now. It returns false if that is not known.
type Probe func(ctx context.Context, incarnation string) bool

// WithProbe sets the function that finds out before a verdict whether the servers that seem to have crashed respond.
func WithProbe(probe Probe) Option { return func(exchanger *Exchanger) { exchanger.probe = probe } }

// New returns the exchanger of a host. The function peers returns the IP:port addresses of the other hosts by name.
// Cancelling the context ends its goroutines.
func New(ctx context.Context, host string, call Call, peers func() map[string]string, options ...Option) *Exchanger {
	exchanger := &Exchanger{
		ctx: ctx, host: host, call: call, peers: peers, clock: time.Now, log: logr.Discard(), metrics: tally.NoopScope, store: noStore{},
		probe:   func(context.Context, string) bool { return false },
		stopped: make(chan struct{}), history: crash.NewHistory(), analyzer: crash.NewAnalyzer(), list: crash.NewBlocklist(), pending: map[string]*pendingReport{},
		watches: map[string]*watch{}, flights: map[string]map[*Run]struct{}{}, silenced: value.NewRecent[crash.Part, silence](maxSilenced),
		limiter: rate.NewLimiter(reportRate, reportBurst), analysisWait: minAnalysisWait,
	}
	for _, option := range options {
		option(exchanger)
	}
	go func() {
		defer close(exchanger.stopped)
		<-ctx.Done()
		exchanger.goroutines.end()
	}()
	exchanger.spawn(learnInterval, exchanger.learn)
	return exchanger
}

// goroutines counts the goroutines that run, and lets none start after the end.
type goroutines struct {
	mutex sync.Mutex
	ended bool
	group sync.WaitGroup
}

// start runs a function in a goroutine.
func (goroutines *goroutines) start(function func()) {
	goroutines.mutex.Lock()
	defer goroutines.mutex.Unlock()
	if !goroutines.ended {
		goroutines.group.Go(function)
	}
}

// end waits until all goroutines have ended.
func (goroutines *goroutines) end() {
	goroutines.mutex.Lock()
	goroutines.ended = true
	goroutines.mutex.Unlock()
	goroutines.group.Wait()
}

// Done returns a channel that is closed once all goroutines have ended after the context was cancelled.
func (exchanger *Exchanger) Done() <-chan struct{} { return exchanger.stopped }

// spawn runs a function in a goroutine after a wait, unless the context is cancelled before.
func (exchanger *Exchanger) spawn(wait time.Duration, function func()) {
	exchanger.goroutines.start(func() {
		if exchanger.pause(wait) {
			function()
		}
	})
}

// pause waits. It returns false if the context is cancelled.
func (exchanger *Exchanger) pause(wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-exchanger.ctx.Done():
		return false
	}
}

// Blocked reports whether requests with the given parts are blocked, and for how long.
func (exchanger *Exchanger) Blocked(now time.Time, parts []crash.Part) (remaining time.Duration, blocked bool) {
	exchanger.mutex.Lock()
	defer exchanger.mutex.Unlock()
	return exchanger.list.Refuses(now, parts)
}

// Try reports whether a request may be sent to a server now. One that was suspended before is tried alone: here and on the
// other hosts, others like it are refused for a while or until it has survived. The other hosts are told before Try returns,
// as far as they respond within callTimeout.
func (exchanger *Exchanger) Try(now time.Time, parts []crash.Part) (remaining time.Duration, allowed bool) {
	exchanger.mutex.Lock()
	suspects := exchanger.list.Suspects(now, parts)
	if len(suspects) > 0 {
		now = now.Add(-time.Duration(min(exchanger.position(), maxTryRank)) * tryDelay)
	}
	remaining, blocked := exchanger.list.Refuses(now, parts)
	if blocked {
		suspects = nil
	}
	suspects = exchanger.suspendHere(exchanger.clock(), suspects)
	exchanger.mutex.Unlock()
	exchanger.suspendElsewhere(suspects)
	return remaining, !blocked
}

// Progress records that a server has sent an event of a response.
func (exchanger *Exchanger) Progress(now time.Time, run *Run) {
	exchanger.mutex.Lock()
	defer exchanger.mutex.Unlock()
	if run.Incarnation != "" {
		exchanger.history.Responded(now, run.Incarnation)
	}
	if run.BegunAt.IsZero() {
		run.BegunAt = now
		exchanger.history.Begun(now, run.Parts)
	}
}

// Completed records a complete and successful response after which nobody has looked whether the server is still there. It
// shows nothing about repeats of the whole request.
func (exchanger *Exchanger) Completed(now time.Time, run *Run) {
	exchanger.mutex.Lock()
	defer exchanger.mutex.Unlock()
	exchanger.history.Begun(now, run.Parts)
	exchanger.survived(now, run, crash.Shared(run.Parts))
}

// Repeated reports whether a request with the given parts has been sent before: it got a response on this host, or is
// suspected of crashes.
func (exchanger *Exchanger) Repeated(now time.Time, parts []crash.Part) bool {
	exchanger.mutex.Lock()
	defer exchanger.mutex.Unlock()
	return exchanger.history.Repeated(parts) || len(exchanger.list.Suspects(now, parts)) > 0
}

// survived records that a request with the given parts did not crash its server, and lifts the blocks that it disproves. The
// mutex must be held.
func (exchanger *Exchanger) survived(now time.Time, run *Run, parts []crash.Part) {
	if run.survived {
		return
	}
	run.survived = true
	if run.Incarnation != "" {
		exchanger.history.Responded(now, run.Incarnation)
	}
	exchanger.history.Survived(now, parts)
	exchanger.release(now, parts)
	blocks, _ := exchanger.list.Match(now, parts)
	for _, block := range blocks {
		exchanger.list.Remove(block)
		exchanger.log.Info("requests unblocked", "parts", loggedParts(block), "server", run.Server, "life", run.Incarnation)
		exchanger.spawn(0, func() { exchanger.store.Delete(exchanger.ctx, block) })
		exchanger.spawn(0, func() { exchanger.spread(block, true) })
	}
}

// Broken records that a server closed the connection with a request in flight.
func (exchanger *Exchanger) Broken(now time.Time, run *Run) {
	exchanger.mutex.Lock()
	defer exchanger.mutex.Unlock()
	exchanger.broken(now, run, false)
}

// broken records that a server has crashed with a request in flight, or, if that is inferred, after the request had ended at a
// time. The mutex must be held.
func (exchanger *Exchanger) broken(at time.Time, run *Run, inferred bool) {
	if run.survived || len(run.Parts) == 0 {
		exchanger.log.Info("broken request not counted as a suspect", "server", run.Server, "life", run.Incarnation, "survived", run.survived, "parts", len(run.Parts))
		return
	}
	key := run.key()
	report := exchanger.pending[key]
	if report == nil {
		if len(exchanger.pending) >= maxReports {
			exchanger.metrics.Counter("crash_reports_dropped").Inc(1)
			return
		}
		report = &pendingReport{server: run.Server, incarnation: run.Incarnation}
		exchanger.pending[key] = report
		exchanger.spawn(reportDelay, func() { exchanger.flush(key) })
	}
	if len(report.runs) == 0 || report.inferred && (!inferred || at.After(report.at)) {
		report.at, report.inferred = at, inferred
	}
	report.add(*run)
}

// flush sends the report on a server. Further ones follow in intervals of reportInterval while requests break off.
func (exchanger *Exchanger) flush(key string) {
	exchanger.mutex.Lock()
	defer exchanger.mutex.Unlock()
	report := exchanger.pending[key]
	if len(report.runs) == 0 {
		delete(exchanger.pending, key)
		return
	}
	sent := *report
	report.runs, report.sent = nil, true
	exchanger.spawn(reportInterval, func() { exchanger.flush(key) })
	now := exchanger.clock()
	params := exchanger.compose(now, sent)
	exchanger.log.Info("backend server broke off requests", "server", sent.server, "life", sent.incarnation, "requests", len(sent.runs),
		"begun", countBegun(sent.runs), "age_ms", now.Sub(sent.at).Milliseconds(), "inferred", sent.inferred, "again", sent.sent)
	exchanger.metrics.Counter("crash_reports").Inc(1)
	exchanger.record(now, params, params.requests(now))
	if !exchanger.limiter.AllowN(now, 1) {
		exchanger.metrics.Counter("crash_reports_dropped").Inc(1)
		return
	}
	analysts, standIns := exchanger.analysts()
	delivery := &delivery{params: params, composedAt: now, standIns: standIns}
	for _, address := range analysts {
		exchanger.dispatch(delivery, address, reportTries)
	}
}

func countBegun(runs []Run) int {
	begun := 0
	for _, run := range runs {
		if !run.BegunAt.IsZero() {
			begun++
		}
	}
	return begun
}

// ranked returns the names of all hosts in an order that is the same on all hosts.
func (exchanger *Exchanger) ranked(peers map[string]string) []string {
	names := append(value.Sorted(peers), exchanger.host)
	slices.SortFunc(names, func(left, right string) int {
		first, second := xxhash.Sum64String(left), xxhash.Sum64String(right)
		switch {
		case first < second:
			return -1
		case first > second:
			return 1
		default:
			return strings.Compare(left, right)
		}
	})
	return names
}

// analysts returns the addresses of the other hosts that crashes are reported to, and of those that replace them if they
// cannot be reached. They are the same on all hosts, so that hosts that reach the same ones report to the same ones.
func (exchanger *Exchanger) analysts() (analysts, standIns []string) {
	peers := exchanger.peers()
	for index, name := range exchanger.ranked(peers) {
		address, found := peers[name]
		switch {
		case !found:
		case index < analystCount:
			analysts = append(analysts, address)
		case len(standIns) < maxStandIns:
			standIns = append(standIns, address)
		}
	}
	return analysts, standIns
}

// rank returns the number of hosts that precede this one, at most analystCount.
func (exchanger *Exchanger) rank() int { return min(analystCount, exchanger.position()) }

// position returns the number of hosts that precede this one.
func (exchanger *Exchanger) position() int {
	return slices.Index(exchanger.ranked(exchanger.peers()), exchanger.host)
}

// Apply adds blocks that other hosts have found, from the store or from a host, for crash.BlockDuration.
func (exchanger *Exchanger) Apply(now time.Time, blocks []crash.Block, origin string) {
	for _, block := range blocks {
		exchanger.apply(now, block, now.Add(crash.BlockDuration), origin)
	}
}

// apply adds a block that another host has found.
func (exchanger *Exchanger) apply(now time.Time, block crash.Block, until time.Time, origin string) {
	exchanger.mutex.Lock()
	defer exchanger.mutex.Unlock()
	if exchanger.list.Add(now, block, until) {
		exchanger.log.Info("requests blocked", "parts", loggedParts(block), "origin", origin)
	}
}

// loggedParts returns the parts of a block as they are logged.
func loggedParts(block crash.Block) []string {
	return strings.SplitN(block.Key(), ".", maxLoggedParts)
}
