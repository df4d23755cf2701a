package node

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"lentilproxy/core/conf"
	"lentilproxy/core/crash"

	"github.com/google/uuid"
)

// arbiterCount is the number of hosts that may decide whether a suspect may run on a server.
const arbiterCount = 2

// Decide returns how a request may run, given the recorded crashes.
func (node *Node) Decide(digest string) crash.Verdict {
	node.traffic.mutex.Lock()
	defer node.traffic.mutex.Unlock()
	return node.traffic.crashes.Decide(time.Now(), digest)
}

// SuspectStart is the answer to a suspect that is to run on a server.
type SuspectStart struct {
	// Run identifies the run in StopSuspect. It is empty if the suspect must not run there.
	Run string
	// Lost reports whether the server has crashed since it loaded the instance.
	Lost bool
}

// StartSuspect records that a suspect, which is a request that may have crashed servers, runs on an instance of a server,
// unless another suspect of any host runs on that server. One host decides on each server; hosts that do not respond are
// passed over.
func (node *Node) StartSuspect(ctx context.Context, server, instance string) SuspectStart {
	params := suspectParams{Server: server, Instance: instance, Run: uuid.NewString()}
	result, found := suspectResult{}, false
	for _, known := range node.arbiters(server) {
		answer, err := node.callArbiter(ctx, known, params)
		if err == nil {
			result, found = answer, true
			break
		}
		node.log.Info("failed to ask whether a suspect may run", "server", server, "peer", known.Name, "error", err.Error())
	}
	if !found {
		result = node.traffic.handleSuspect(time.Now(), params)
	}
	start := SuspectStart{Lost: result.Lost}
	if result.Started {
		start.Run = params.Run
	}
	return start
}

// StopSuspect records that a suspect's run on a server has ended.
func (node *Node) StopSuspect(run, server string) {
	go node.tellArbiters(suspectParams{Server: server, Run: run, Ended: true})
}

// tellArbiters tells the hosts that decide on a server of an event there, and returns when they have responded.
func (node *Node) tellArbiters(params suspectParams) {
	var group sync.WaitGroup
	for _, known := range node.arbiters(params.Server) {
		group.Go(func() {
			if _, err := node.callArbiter(node.background, known, params); err != nil {
				node.log.Info("failed to report on a suspect's server", "server", params.Server, "peer", known.Name, "error", err.Error())
			}
		})
	}
	group.Wait()
}

// arbiters returns the hosts of which the first one that responds decides whether a suspect may run on a server.
func (node *Node) arbiters(server string) []conf.Member {
	members := slices.Clone(node.View().state.Roster().Members)
	slices.SortFunc(members, func(left, right conf.Member) int {
		return cmp.Compare(rank(server, right.Name), rank(server, left.Name))
	})
	return members[:min(len(members), arbiterCount)]
}

func (node *Node) callArbiter(ctx context.Context, known conf.Member, params suspectParams) (suspectResult, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var result suspectResult
	err := node.callHost(ctx, known, methodSuspect, params, &result)
	return result, err
}

// handleSuspect starts or ends a suspect's run on a server, or records a crash of the server.
func (traffic *traffic) handleSuspect(now time.Time, params suspectParams) suspectResult {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	incarnation := incarnationOf(params.Server, params.Instance)
	switch {
	case params.Crashed:
		traffic.crashes.RecordEnd(now, incarnation)
		return suspectResult{}
	case params.Ended:
		traffic.crashes.Stop(params.Run, params.Server)
		return suspectResult{}
	case traffic.crashes.EndedBefore(incarnation, now):
		return suspectResult{Lost: true}
	default:
		return suspectResult{Started: traffic.crashes.Start(now, params.Run, params.Server)}
	}
}

// incarnationOf identifies the incarnation of a server by an instance that it has loaded.
func incarnationOf(server, instance string) string { return server + "/" + instance }

// ClearSuspect removes a request that completed from the suspects.
func (node *Node) ClearSuspect(digest string) {
	node.traffic.mutex.Lock()
	defer node.traffic.mutex.Unlock()
	node.traffic.crashes.Clear(digest)
}

// Succeeded records that a server responded.
func (node *Node) Succeeded(server string) {
	node.traffic.mutex.Lock()
	defer node.traffic.mutex.Unlock()
	node.traffic.balancer.Succeeded(server)
}

// Failed records that a server did not respond.
func (node *Node) Failed(server string) {
	node.traffic.mutex.Lock()
	defer node.traffic.mutex.Unlock()
	node.traffic.balancer.Failed(time.Now(), server)
}

// CountRequest records a request, which adds to the retry budget.
func (node *Node) CountRequest() {
	node.traffic.mutex.Lock()
	defer node.traffic.mutex.Unlock()
	node.traffic.balancer.CountRequest()
}

// TakeRetry reports whether the retry budget allows a retry, and deducts it if so.
func (node *Node) TakeRetry() bool {
	node.traffic.mutex.Lock()
	defer node.traffic.mutex.Unlock()
	return node.traffic.balancer.TakeRetry()
}

// ReportCrash records that a server crashed with a request in flight that it ran on an instance. It returns after the
// hosts that decide whether suspects may run on the server know of the crash, since the request may be sent again. The
// other hosts learn of it from Blocks.
//
// A request that was sent after the crash was recorded did not cause it and does not become a suspect.
func (node *Node) ReportCrash(server, instance, digest string, sentAt time.Time) {
	report := crash.Report{Incarnation: incarnationOf(server, instance), Digest: digest}
	if node.traffic.endedBefore(report.Incarnation, sentAt) {
		return
	}
	node.loop.Post(func(now time.Time) {
		for _, owned := range node.traffic.control.owned {
			owned.manager.MarkMissing(now, instance)
		}
	})
	// A request that is still sent to the crashed server would become a suspect too.
	node.MarkLost(instance)
	if first := node.recordCrash(server, report); first {
		node.tellArbiters(suspectParams{Server: server, Instance: instance, Crashed: true})
	}
}

// ReportServiceCrash does the same as ReportCrash for a server without known incarnations.
func (node *Node) ReportServiceCrash(server, digest string) {
	node.recordCrash(server, crash.Report{Server: server, Incarnation: server + "/" + uuid.NewString(), Digest: digest})
}

// recordCrash records a crash with one request in flight. It reports whether the crash was not known before.
func (node *Node) recordCrash(server string, report crash.Report) (first bool) {
	now := time.Now()
	node.traffic.mutex.Lock()
	first = !node.traffic.crashes.EndedBefore(report.Incarnation, now)
	node.traffic.crashes.Record(now, report)
	node.traffic.mutex.Unlock()
	node.metrics.Counter("backend_deaths").Inc(1)
	node.log.Info("backend server crashed with a request in flight", "server", server, "life", report.Incarnation, "digest", report.Digest)
	return first
}

func (traffic *traffic) endedBefore(incarnation string, sentAt time.Time) bool {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	return traffic.crashes.EndedBefore(incarnation, sentAt)
}
