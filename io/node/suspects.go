package node

import (
	"context"
	"sync"
	"time"

	"lentilproxy/core/crash"

	"github.com/google/uuid"
)

// Decide returns how a request may run, given the recorded crashes.
func (node *Node) Decide(digest string) crash.Verdict {
	node.traffic.mutex.Lock()
	defer node.traffic.mutex.Unlock()
	return node.traffic.crashes.Decide(time.Now(), digest)
}

// StartSuspect records that a suspect, which is a request that may have crashed servers, runs on a server. It returns
// false, without effect, while another suspect of any host runs there. Two hosts that ask at the same time may both get
// false. A host that does not respond is assumed to run no suspect there.
func (node *Node) StartSuspect(ctx context.Context, digest, server string) bool {
	node.traffic.mutex.Lock()
	started := node.traffic.crashes.Start(time.Now(), digest, server)
	node.traffic.mutex.Unlock()
	if !started {
		return false
	}
	for _, free := range node.callPeers(ctx, methodSuspect, suspectParams{Server: server}) {
		if !free {
			node.StopSuspect(digest, server)
			return false
		}
	}
	return true
}

// callPeers calls all peers concurrently, and returns the results that arrive in time.
func (node *Node) callPeers(ctx context.Context, method string, params any) []bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	peers := node.View().state.Roster().Others(node.Name())
	replies := make(chan bool, len(peers))
	var group sync.WaitGroup
	for _, known := range peers {
		group.Go(func() {
			var reply bool
			if node.peers.Call(ctx, known.PeerAddress, method, params, &reply) == nil {
				replies <- reply
			}
		})
	}
	group.Wait()
	close(replies)
	var results []bool
	for reply := range replies {
		results = append(results, reply)
	}
	return results
}

func (traffic *traffic) handleSuspect(now time.Time, params suspectParams) bool {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	return traffic.crashes.Free(now, params.Server)
}

// StopSuspect records that a suspect's run on a server has ended.
func (node *Node) StopSuspect(digest, server string) {
	node.traffic.mutex.Lock()
	defer node.traffic.mutex.Unlock()
	node.traffic.crashes.Stop(digest, server)
}

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

// ReportCrash records that a server crashed with a request in flight, and reports it to all peers before it returns,
// since the caller may send the request again to any of them. The incarnation is the same in all reports of one crash.
//
// A request that was sent after the crash was recorded did not cause it and does not become a suspect.
func (node *Node) ReportCrash(server, incarnation, instance, digest string, sentAt time.Time) {
	report := crash.Report{Incarnation: server + "/" + incarnation, Instance: instance, Digest: digest}
	if node.traffic.endedBefore(report.Incarnation, sentAt) {
		return
	}
	node.shareCrash(server, report)
}

// ReportServiceCrash does the same as ReportCrash for a server without known incarnations.
func (node *Node) ReportServiceCrash(server, digest string) {
	node.shareCrash(server, crash.Report{Server: server, Incarnation: server + "/" + uuid.NewString(), Digest: digest})
}

func (node *Node) shareCrash(server string, report crash.Report) {
	node.traffic.recordCrash(time.Now(), report)
	node.metrics.Counter("backend_deaths").Inc(1)
	node.log.Info("backend server crashed with a request in flight", "server", server, "life", report.Incarnation, "digest", report.Digest)
	node.callPeers(node.background, methodCrash, report)
}

func (traffic *traffic) endedBefore(incarnation string, sentAt time.Time) bool {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	return traffic.crashes.EndedBefore(incarnation, sentAt)
}

// recordCrash records a crash. An owner grants no more permits for the instance.
func (traffic *traffic) recordCrash(now time.Time, report crashParams) bool {
	traffic.node.loop.Post(func(now time.Time) {
		for _, owned := range traffic.control.owned {
			owned.manager.MarkMissing(now, report.Instance)
		}
	})
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	traffic.crashes.Record(now, report)
	// A request that is still sent to the crashed server would become a suspect too.
	traffic.permits.MarkLost(report.Instance)
	return true
}
