package node

import (
	"context"
	"sync"
	"time"

	"lentilproxy/core/crash"
)

// Judge says how a request may run, by what is known of earlier crashes.
func (node *Node) Judge(digest string) crash.Verdict {
	node.traffic.mutex.Lock()
	defer node.traffic.mutex.Unlock()
	return node.traffic.board.Decide(time.Now(), digest)
}

// StartAlone asks to run a suspect on a server, and says no while another suspect of any host runs there. Two hosts
// that ask at once may both be told no. A host that does not answer is taken to run none.
func (node *Node) StartAlone(ctx context.Context, digest, server string) bool {
	node.traffic.mutex.Lock()
	started := node.traffic.board.Start(time.Now(), digest, server)
	node.traffic.mutex.Unlock()
	if !started {
		return false
	}
	for _, free := range node.askPeers(ctx, methodSuspect, suspectParams{Server: server}) {
		if !free {
			node.StopAlone(digest, server)
			return false
		}
	}
	return true
}

// askPeers asks all peers at once, and returns the answers of those that reply in time.
func (node *Node) askPeers(ctx context.Context, method string, params any) []bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	peers := node.View().state.Roster().Others(node.Name())
	replies := make(chan bool, len(peers))
	var group sync.WaitGroup
	for _, known := range peers {
		group.Go(func() {
			var reply bool
			if node.pool.Call(ctx, known.PeerAddress, method, params, &reply) == nil {
				replies <- reply
			}
		})
	}
	group.Wait()
	close(replies)
	var answers []bool
	for reply := range replies {
		answers = append(answers, reply)
	}
	return answers
}

func (traffic *traffic) onSuspect(now time.Time, params suspectParams) bool {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	return traffic.board.Free(now, params.Server)
}

// StopAlone ends the run of a suspect.
func (node *Node) StopAlone(digest, server string) {
	node.traffic.mutex.Lock()
	defer node.traffic.mutex.Unlock()
	node.traffic.board.Stop(digest, server)
}

// Cleared records that a request ran to its end.
func (node *Node) Cleared(digest string) {
	node.traffic.mutex.Lock()
	defer node.traffic.mutex.Unlock()
	node.traffic.board.Clear(digest)
}

// Succeeded records that a server answered.
func (node *Node) Succeeded(server string) {
	node.traffic.mutex.Lock()
	defer node.traffic.mutex.Unlock()
	node.traffic.routes.Succeeded(server)
}

// Failed records that a server did not answer.
func (node *Node) Failed(server string) {
	node.traffic.mutex.Lock()
	defer node.traffic.mutex.Unlock()
	node.traffic.routes.Failed(time.Now(), server)
}

// Earn adds a request's part to the retry budget.
func (node *Node) Earn() {
	node.traffic.mutex.Lock()
	defer node.traffic.mutex.Unlock()
	node.traffic.routes.CountRequest()
}

// MayRetry takes a retry from the budget, if there is one.
func (node *Node) MayRetry() bool {
	node.traffic.mutex.Lock()
	defer node.traffic.mutex.Unlock()
	return node.traffic.routes.TakeRetry()
}

// Died records that a server died with a request in flight, and tells all peers before it returns: the caller may
// send the request again to any of them. The life is the same for all who saw the same death.
//
// A request that was sent after the death was known is not blamed for it.
func (node *Node) Died(server, life, instance, digest string, sentAt time.Time) {
	death := crash.Report{Incarnation: server + "/" + life, Instance: instance, Digest: digest}
	if node.traffic.endedBefore(death.Incarnation, sentAt) {
		return
	}
	node.traffic.onDeath(time.Now(), death)
	node.metrics.Counter("backend_deaths").Inc(1)
	node.log.Info("backend server died with a request in flight", "server", server, "life", life, "digest", digest)
	node.askPeers(node.background, methodDeath, death)
}

func (traffic *traffic) endedBefore(life string, sentAt time.Time) bool {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	return traffic.board.EndedBefore(life, sentAt)
}

// onDeath takes the news of a death. An owner does not give permits for the instance any more.
func (traffic *traffic) onDeath(now time.Time, death deathParams) bool {
	traffic.node.loop.Post(func(now time.Time) {
		for _, owned := range traffic.control.owned {
			owned.manager.MarkMissing(now, death.Instance)
		}
	})
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	traffic.board.Record(now, death)
	// A request that is sent to the dead server now would be blamed for its death.
	traffic.holder.MarkLost(death.Instance)
	return true
}
