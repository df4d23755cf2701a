package node

import (
	"context"
	"time"

	"lentilproxy/core/guard"
)

// Judge says how a request may run, by what is known of earlier crashes.
func (node *Node) Judge(digest string) guard.Verdict {
	node.traffic.mutex.Lock()
	defer node.traffic.mutex.Unlock()
	return node.traffic.board.Judge(time.Now(), digest)
}

// StartAlone asks to run a suspect on a server, and says no while another suspect of this host runs there.
func (node *Node) StartAlone(digest, server string) bool {
	node.traffic.mutex.Lock()
	defer node.traffic.mutex.Unlock()
	return node.traffic.board.Start(digest, server)
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
	node.traffic.board.Finished(digest)
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
	node.traffic.routes.Request()
}

// MayRetry takes a retry from the budget, if there is one.
func (node *Node) MayRetry() bool {
	node.traffic.mutex.Lock()
	defer node.traffic.mutex.Unlock()
	return node.traffic.routes.Retry()
}

// Died records that a server died with a request in flight, and tells all peers at once: the caller may send the
// request again to any of them.
func (node *Node) Died(server, digest string) {
	death := guard.Death{Server: server, Digests: []string{digest}}
	node.traffic.onDeath(time.Now(), death)
	node.log.Info("backend server died with a request in flight", "server", server, "digest", digest)
	node.post(func(time.Time) {
		for _, known := range node.traffic.control.peers() {
			go func() {
				ctx, cancel := context.WithTimeout(node.background, callTimeout)
				defer cancel()
				var taken bool
				_ = node.pool.Call(ctx, known.PeerAddress, methodDeath, death, &taken)
			}()
		}
	})
}

func (traffic *traffic) onDeath(now time.Time, death deathParams) bool {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	traffic.board.Record(now, death)
	return true
}
