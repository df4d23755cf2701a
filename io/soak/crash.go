package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"lentilproxy/platform/stub"
)

const (
	// crashPart is the part of prompts that crashes engines. All requests share sharedPart, and some one of the second
	// parts, which are numbered.
	crashPart   = "dead"
	sharedPart  = "aa"
	secondParts = 5
	// crashingInterval is the time between two requests with crashPart.
	crashingInterval = 150 * time.Millisecond
	// promptTime is the time from the start of a request until its first event.
	promptTime = 15 * time.Millisecond
	// crashesToStop is the number of crashes after which, within settleTime, requests with the part no longer reach engines,
	// except for maxCrashingRequests.
	crashesToStop       = 5
	maxCrashingRequests = 3
	// maxRefusedShare is the largest share of sound requests that may be refused as if they crashed engines.
	maxRefusedShare = 0.02
	crashCode       = `"code":"crash_suspect"`
)

// soundParts returns the parts of a prompt that does not crash engines.
func soundParts(random *rand.Rand) []string {
	return []string{sharedPart, fmt.Sprintf("b%02d", random.IntN(secondParts)), fmt.Sprintf("%016x", random.Uint64())}
}

// sendCrashingRequests sends requests that crash engines to all hosts, on a connection each.
func (runner *runner) sendCrashingRequests(event Event) {
	random := rand.New(rand.NewPCG(runner.options.Seed, uint64(event.Target)))
	for until := time.Now().Add(event.Duration); time.Now().Before(until); time.Sleep(crashingInterval) {
		host := runner.pickHost(random)
		if host == nil {
			continue
		}
		caller, err := stub.Dial(context.Background(), host.callerAddress)
		if err != nil {
			continue
		}
		attempt := &attempt{
			id: stub.NewID(), key: stub.Key, path: stub.ChatPath, adapter: adapterName(random.IntN(adapterCount)), host: host.name, runID: host.runID(),
			parts: slices.Insert(soundParts(random), 1, crashPart), crashing: true,
		}
		runner.send(caller, attempt)
		caller.Close()
	}
}

// recordCrash records that a request crashes an incarnation of a backend server, and replaces it later.
func (runner *runner) recordCrash(backend *backend, incarnation int) {
	finish := runner.recordDisturbance(KindCrash, allHosts)
	go func() {
		defer finish()
		runner.replaceCrashed(backend, incarnation)
	}()
}

// replaceCrashed replaces an incarnation of a backend server, unless another disturbance does.
func (runner *runner) replaceCrashed(backend *backend, incarnation int) {
	for runner.platform.claim(backend.number) == nil {
		time.Sleep(readinessInterval)
	}
	defer runner.platform.release(backend)
	if backend.incarnation != incarnation {
		return
	}
	if err := runner.platform.crash(backend, 0); err != nil {
		runner.addViolation("setup", "cannot start a server: "+err.Error())
	}
}

// checkCrashingRequests finds requests with the part that crashes engines that reached engines later than settleTime after
// the fifth crash, from hosts that were undisturbed since.
func (record *record) checkCrashingRequests(report func(format string, args ...any)) {
	type run struct {
		attempt *attempt
		at      time.Time
	}
	var runs []run
	for _, attempt := range record.attempts {
		for _, arrival := range record.arrivals[attempt.id] {
			if attempt.crashing && arrival.Ran {
				runs = append(runs, run{attempt, arrival.At})
			}
		}
	}
	slices.SortFunc(runs, func(left, right run) int { return left.at.Compare(right.at) })
	if len(runs) < crashesToStop {
		return
	}
	fifth := runs[crashesToStop-1].at
	var late []run
	for _, run := range runs {
		if run.at.Sub(fifth) > settleTime && record.undisturbed(run.attempt.host, run.at, run.at, kindsNotDelayingRows...) {
			late = append(late, run)
		}
	}
	if len(late) > maxCrashingRequests {
		report("%d of %d requests reached engines later than %s after the fifth crash at %s, the last one: %s", len(late), len(runs), settleTime,
			fifth.Format(clockFormat), late[len(late)-1].attempt)
	}
}

// checkSoundRequests finds out whether sound requests are refused as if they crashed engines.
func (record *record) checkSoundRequests(report func(format string, args ...any)) {
	refused, total := 0, 0
	var last *attempt
	for _, attempt := range record.attempts {
		if attempt.crashing || attempt.path != stub.ChatPath {
			continue
		}
		total++
		if attempt.status == http.StatusServiceUnavailable && strings.Contains(attempt.body, crashCode) {
			refused, last = refused+1, attempt
		}
	}
	if float64(refused) > maxRefusedShare*float64(total) {
		report("%d of %d sound requests were refused as crashing, the last one: %s", refused, total, last)
	}
}
