package coord

import (
	"context"
	"time"

	"lentilproxy/core/crash"
	"lentilproxy/io/clock"
)

// Judge says how a request may run that may have crashed servers before.
func (traffic *Traffic) Judge(now time.Time, digest string) crash.Verdict {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	return traffic.board.Decide(now, digest)
}

// Cleared takes in that a request ran to its end.
func (traffic *Traffic) Cleared(digest string) {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	traffic.board.Clear(digest)
}

// Died records that a server died with a request in flight, and tells the peers.
func (traffic *Traffic) Died(death crash.Report) {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	traffic.board.Record(clock.Now(), death)
	for _, address := range traffic.lenders.addresses {
		go func() {
			ctx, cancel := context.WithTimeout(traffic.coordinator.ctx, peerTimeout)
			defer cancel()
			if err := traffic.coordinator.peers.Call(ctx, address, methodDeath, deathParams{Death: death}, nil); err != nil {
				traffic.coordinator.metrics.Counter("deaths_untold").Inc(1)
			}
		}()
	}
}

func (traffic *Traffic) takeDeath(params deathParams) bool {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	traffic.board.Record(clock.Now(), params.Death)
	return true
}
