package block

import (
	"context"
	"slices"
	"time"

	"lentilproxy/core/crash"
)

const (
	// checkDelay is the time from the end of a response until its server is checked. The other connections of a server that
	// has crashed may end a little later.
	checkDelay = 50 * time.Millisecond
	// maxChecks bounds the servers that are being checked at a time.
	maxChecks = 256
	// watchInterval is the time between two looks at a server that may have crashed, and watchTime how long after the end of
	// a request its server is looked at. Registrations of crashed servers take some seconds to expire.
	watchInterval = 500 * time.Millisecond
	watchTime     = 10 * time.Second
	// silentServers is the number of servers that must have fallen silent under a request within watchTime, for minSilence each,
	// for its repeats to be suspended, and maxSilenced bounds the requests for which they are counted.
	silentServers = 2
	minSilence    = 250 * time.Millisecond
	maxSilenced   = 1024
)

// ServerState is what is known of a server after a request that it has not completed.
type ServerState int

// The states of a server.
const (
	// ServerUnknown means that the server may have crashed or not.
	ServerUnknown ServerState = iota
	// ServerCrashed means that the server has ended, not as planned.
	ServerCrashed
	// ServerSound means that the server has not crashed, or that it ends as planned.
	ServerSound
)

// Look returns what is known of a server. If quiet is set, the server has sent nothing to this host for minSilence: it may be
// worth a connection to find out whether it still accepts any.
type Look func(ctx context.Context, quiet bool) ServerState

// watch is the watch on one server. Its runs are ordered by their ends.
type watch struct {
	runs []unfinishedRun
	look Look
}

type unfinishedRun struct {
	Run
	endedAt time.Time
	// silent is set once the server has been counted as silent under the request.
	silent bool
}

// Sent records that a request is in flight on a server until the returned function is called.
func (exchanger *Exchanger) Sent(run *Run) (returned func()) {
	exchanger.mutex.Lock()
	defer exchanger.mutex.Unlock()
	key := run.key()
	if exchanger.flights[key] == nil {
		exchanger.flights[key] = map[*Run]struct{}{}
	}
	exchanger.flights[key][run] = struct{}{}
	return func() {
		exchanger.mutex.Lock()
		defer exchanger.mutex.Unlock()
		delete(exchanger.flights[key], run)
		if len(exchanger.flights[key]) == 0 {
			delete(exchanger.flights, key)
		}
	}
}

// Responded records that a server has sent the head of a response.
func (exchanger *Exchanger) Responded(now time.Time, run *Run) {
	exchanger.mutex.Lock()
	defer exchanger.mutex.Unlock()
	if run.Incarnation != "" {
		exchanger.history.Responded(now, run.Incarnation)
	}
}

// Ended records a successful response after which the server may have crashed. It counts once connect has shown whether the
// server still accepts connections.
func (exchanger *Exchanger) Ended(now time.Time, run *Run, connect func(ctx context.Context) error) {
	exchanger.mutex.Lock()
	defer exchanger.mutex.Unlock()
	if run.survived {
		return
	}
	if exchanger.checks >= maxChecks {
		exchanger.metrics.Counter("crash_checks_dropped").Inc(1)
		return
	}
	exchanger.checks++
	exchanger.spawn(checkDelay, func() { exchanger.checkServer(now, run, connect) })
}

// checkServer finds out whether a server still accepts connections after a response ended at a time.
func (exchanger *Exchanger) checkServer(endedAt time.Time, run *Run, connect func(ctx context.Context) error) {
	ctx, cancel := context.WithTimeout(exchanger.ctx, callTimeout)
	defer cancel()
	err := connect(ctx)
	exchanger.mutex.Lock()
	defer exchanger.mutex.Unlock()
	exchanger.checks--
	switch {
	case exchanger.ctx.Err() != nil:
	case err != nil:
		exchanger.broken(endedAt, run, false)
	default:
		exchanger.survived(exchanger.clock(), run, run.Parts)
	}
}

// Unfinished records that a request ended without a complete successful response although its server has not closed the
// connection: the caller left, the time was over, or the response was an error or invalid. It counts as broken if the server
// turns out to have crashed within watchTime.
func (exchanger *Exchanger) Unfinished(now time.Time, run *Run, look Look) {
	exchanger.mutex.Lock()
	defer exchanger.mutex.Unlock()
	if run.survived || len(run.Parts) == 0 {
		return
	}
	key := run.key()
	watched := exchanger.watches[key]
	if watched == nil {
		if len(exchanger.watches) >= maxChecks {
			exchanger.metrics.Counter("crash_checks_dropped").Inc(1)
			return
		}
		watched = &watch{}
		exchanger.watches[key] = watched
		exchanger.spawn(checkDelay, func() { exchanger.watch(key, watched) })
	}
	ended := unfinishedRun{Run: *run, endedAt: now}
	if exchanger.silentSince(now, run) {
		exchanger.countSilent(now, &ended)
	}
	watched.look = look
	watched.runs = append(watched.runs, ended)
	watched.runs = watched.runs[max(0, len(watched.runs)-maxReportRequests):]
}

// silence holds the servers that fell silent under a request, and when they did.
type silence map[string]time.Time

// silentSince reports whether a server has sent nothing to this host since a request was sent to it, for minSilence or longer.
// The mutex must be held.
func (exchanger *Exchanger) silentSince(now time.Time, run *Run) bool {
	return exchanger.unanswered(run) && now.Sub(run.SentAt) >= minSilence
}

// unanswered reports whether a server has sent nothing to this host since a request was sent to it. The mutex must be held.
func (exchanger *Exchanger) unanswered(run *Run) bool {
	return run.Incarnation != "" && run.BegunAt.IsZero() && exchanger.history.RespondedAt(run.Incarnation).Before(run.SentAt)
}

// countSilent counts the servers that have sent nothing to this host since a request was sent to them. Repeats of a request that
// silenced several are suspended before it shows whether these have crashed. The mutex must be held.
func (exchanger *Exchanger) countSilent(now time.Time, run *unfinishedRun) {
	run.silent = true
	for _, part := range crash.Whole(run.Parts) {
		known, _ := exchanger.silenced.Get(part)
		counted := silence{run.Incarnation: now}
		for incarnation, at := range known {
			if now.Sub(at) < watchTime && incarnation != run.Incarnation {
				counted[incarnation] = at
			}
		}
		exchanger.silenced.Put(part, counted)
		if len(counted) >= silentServers {
			exchanger.suspendAndTell(now, []crash.Part{part})
		}
	}
}

// countSilentEarlier counts a server that is silent under a request in flight as silent also under the requests before, whose
// callers may have left too early to tell. The mutex must be held.
func (exchanger *Exchanger) countSilentEarlier(now time.Time, key string, watched *watch) {
	silent := false
	for run := range exchanger.flights[key] {
		silent = silent || exchanger.silentSince(now, run)
	}
	for index := range watched.runs {
		if run := &watched.runs[index]; silent && !run.silent && exchanger.unanswered(&run.Run) {
			exchanger.countSilent(now, run)
		}
	}
}

// quiet reports whether a server has sent nothing to this host for minSilence, since the last of the requests was sent to it or
// longer. The mutex must be held.
func (exchanger *Exchanger) quiet(now time.Time, watched *watch) bool {
	return !slices.ContainsFunc(watched.runs, func(run unfinishedRun) bool {
		return now.Sub(run.SentAt) < minSilence || now.Sub(exchanger.history.RespondedAt(run.Incarnation)) < minSilence
	})
}

// watch looks at a server until its state is known, or until its last run ended more than watchTime ago.
func (exchanger *Exchanger) watch(key string, watched *watch) {
	for !exchanger.lookAt(key, watched) {
		// All servers are looked at together, so that the process does not wake up for each.
		elapsed := time.Duration(exchanger.clock().UnixNano()) % watchInterval
		if !exchanger.pause(watchInterval - elapsed) {
			return
		}
	}
}

// lookAt looks at a server once. It returns true if the watch has ended.
func (exchanger *Exchanger) lookAt(key string, watched *watch) bool {
	exchanger.mutex.Lock()
	look, quiet := watched.look, exchanger.quiet(exchanger.clock(), watched)
	exchanger.mutex.Unlock()
	ctx, cancel := context.WithTimeout(exchanger.ctx, callTimeout)
	defer cancel()
	state := look(ctx, quiet)
	exchanger.mutex.Lock()
	defer exchanger.mutex.Unlock()
	if exchanger.ctx.Err() != nil {
		return true
	}
	now := exchanger.clock()
	watched.runs = slices.DeleteFunc(watched.runs, func(run unfinishedRun) bool { return now.Sub(run.endedAt) >= watchTime })
	if state == ServerUnknown && len(watched.runs) > 0 {
		exchanger.countSilentEarlier(now, key, watched)
		return false
	}
	delete(exchanger.watches, key)
	if state != ServerCrashed {
		return true
	}
	for _, run := range watched.runs {
		switch respondedAt := exchanger.history.RespondedAt(run.Incarnation); {
		case respondedAt.After(run.endedAt.Add(crash.AbandonedTime)):
			// The server has outlived the request.
			continue
		case respondedAt.After(run.endedAt.Add(crash.AliveSlack)):
			// The server may have gone on with the request. The parts that others share do not count: those of all requests that
			// callers have given up would be suspects.
			run.Parts = crash.Whole(run.Parts)
		}
		exchanger.broken(run.endedAt, &run.Run, true)
	}
	return true
}
