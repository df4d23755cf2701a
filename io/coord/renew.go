package coord

import (
	"context"
	"slices"
	"sync"
	"time"

	"lentilproxy"
	"lentilproxy/core/lease"
	"lentilproxy/io/clock"

	"github.com/samber/oops"
)

const (
	// writerTimeout bounds a call to the host that writes this host's renewals. A host whose call has failed still has time for several
	// renewals by itself before its lease ends.
	writerTimeout = time.Second
	// writerRetry is how long a host does not call a writer after a failed call.
	writerRetry = 10 * time.Second
	// maxHold is how long a writer keeps a renewal until its own next one. Other renewals are written after batchWindow.
	maxHold     = 400 * time.Millisecond
	batchWindow = 100 * time.Millisecond
	// renewalLead is how long before a writer's own renewal the hosts send it theirs. It covers the delay of messages.
	renewalLead = 150 * time.Millisecond
	// minRenewalWait is the shortest time between two renewals through a writer, when the host adapts to the writer's times.
	minRenewalWait = lease.RenewInterval / 2
)

// renewParams is a renewal that another host should write.
type renewParams struct {
	Renewal lease.Renewal `json:"renewal"`
}

// renewResult is the outcome of a renewal. It is not Done if the effect is unknown, or if the host does not write renewals now.
type renewResult struct {
	Done      bool              `json:"done"`
	Committed bool              `json:"committed"`
	Version   int64             `json:"version,omitempty"`
	Conflict  []lentilproxy.Row `json:"conflict,omitempty"`
	// NextMS is the time after which the host should send its next renewal, so that the writer has those of all its hosts at the time
	// of its own.
	NextMS int64 `json:"next_ms,omitempty"`
}

// renewals collects the renewals of several hosts and writes them in common transactions.
type renewals struct {
	coordinator *Coordinator
	mutex       sync.Mutex
	// waiting holds the renewals of the next transaction by host.
	waiting map[string]waitingRenewal
	// timer writes the next transaction if the host's own renewal does not do so before; nil if nothing waits.
	timer *time.Timer
	// nextOwn is when this host's own next renewal is due.
	nextOwn time.Time
	stopped bool
}

type waitingRenewal struct {
	renewal lease.Renewal
	result  chan renewResult
}

func newRenewals(coordinator *Coordinator) *renewals {
	return &renewals{coordinator: coordinator, waiting: map[string]waitingRenewal{}}
}

// handle writes a renewal for a peer.
func (renewals *renewals) handle(ctx context.Context, params renewParams) renewResult {
	if !params.Renewal.Valid() {
		return renewResult{}
	}
	result := renewals.add(clock.Now(), params.Renewal)
	select {
	case outcome := <-result:
		return outcome
	case <-ctx.Done():
		return renewResult{}
	case <-renewals.coordinator.ctx.Done():
		return renewResult{}
	}
}

// add adds a renewal to the next transaction, which is written at the time of this host's own renewal if that is near.
func (renewals *renewals) add(now time.Time, renewal lease.Renewal) <-chan renewResult {
	renewals.mutex.Lock()
	defer renewals.mutex.Unlock()
	result := make(chan renewResult, 1)
	if renewals.stopped {
		result <- renewResult{}
		return result
	}
	if before, found := renewals.waiting[renewal.Host]; found {
		// The host has asked again, so it does not wait for the response to its earlier request.
		before.result <- renewResult{}
	}
	renewals.waiting[renewal.Host] = waitingRenewal{renewal: renewal, result: result}
	if renewals.timer == nil {
		wait := batchWindow
		if own := renewals.nextOwn.Sub(now); own > 0 && own <= maxHold {
			wait = own + batchWindow // The own renewal writes them before.
		}
		renewals.timer = time.AfterFunc(wait, renewals.write)
	}
	return result
}

// commit writes this host's own renewal together with the waiting ones. The next one is due after an interval.
func (renewals *renewals) commit(now time.Time, renewal lease.Renewal) (lentilproxy.CommitResult, error) {
	renewals.mutex.Lock()
	renewals.nextOwn = now.Add(lease.RenewInterval)
	renewals.mutex.Unlock()
	result := renewals.add(now, renewal)
	renewals.write()
	select {
	case outcome := <-result:
		return outcome.commitResult()
	case <-renewals.coordinator.ctx.Done():
		return lentilproxy.CommitResult{}, renewals.coordinator.ctx.Err()
	}
}

func (result renewResult) commitResult() (lentilproxy.CommitResult, error) {
	if !result.Done {
		return lentilproxy.CommitResult{}, oops.Code("renewal_unknown").Errorf("the outcome of a renewal is unknown")
	}
	return lentilproxy.CommitResult{Committed: result.Committed, Version: result.Version, Conflicts: result.Conflict}, nil
}

// write writes the waiting renewals. It does not return before they have been written.
func (renewals *renewals) write() {
	renewals.mutex.Lock()
	if renewals.timer != nil {
		renewals.timer.Stop()
		renewals.timer = nil
	}
	waiting := renewals.waiting
	renewals.waiting = map[string]waitingRenewal{}
	renewals.mutex.Unlock()
	batch := make([]lease.Renewal, 0, len(waiting))
	for _, entry := range waiting {
		batch = append(batch, entry.renewal)
	}
	for chunk := range slices.Chunk(batch, lease.MaxBatch) {
		renewals.writeChunk(chunk, waiting)
	}
}

// writeChunk writes renewals in one transaction. If some conflict with the rows of the store, it writes the others without them.
func (renewals *renewals) writeChunk(chunk []lease.Renewal, waiting map[string]waitingRenewal) {
	coordinator := renewals.coordinator
	deliver := func(host string, result renewResult) {
		renewals.mutex.Lock()
		next := renewals.nextOwn.Sub(clock.Now()) - renewalLead
		renewals.mutex.Unlock()
		if next < minRenewalWait {
			next += lease.RenewInterval
		}
		if next < minRenewalWait {
			next = lease.RenewInterval // This host's own renewals are written by another one.
		}
		result.NextMS = min(next, lease.RenewInterval).Milliseconds()
		waiting[host].result <- result
	}
	for len(chunk) > 0 {
		result, err := coordinator.commit(coordinator.ctx, lentilproxy.PurposeRenewal, lease.Combine(chunk))
		if err == nil && !result.Committed {
			refused, others := lease.Refused(chunk, result.Conflicts)
			for host, row := range refused {
				deliver(host, renewResult{Done: true, Conflict: []lentilproxy.Row{row}})
			}
			if len(refused) > 0 {
				chunk = others
				continue
			}
		}
		for _, renewal := range chunk {
			deliver(renewal.Host, renewResult{Done: err == nil && result.Committed, Committed: result.Committed, Version: result.Version})
		}
		return
	}
}

// stop writes no further renewals for others.
func (renewals *renewals) stop() {
	renewals.mutex.Lock()
	defer renewals.mutex.Unlock()
	renewals.stopped = true
}

// renew renews the host's lease through the host that writes its renewals, or by itself. It returns when the renewal was sent and how
// long to wait until the next one.
func (control *control) renew() (sentAt time.Time, result lentilproxy.CommitResult, next time.Duration, err error) {
	coordinator := control.coordinator
	var transaction lentilproxy.Transaction
	var renewal lease.Renewal
	var joined bool
	var writer, address string
	if !coordinator.do(func(now time.Time) {
		if renewal, joined = control.registry.Request(); !joined {
			transaction = control.registry.Renewal()
			return
		}
		if writer = control.renewalWriter(now); writer != coordinator.settings.Host.Name {
			address = control.peers[writer].address
		}
	}) {
		return time.Time{}, lentilproxy.CommitResult{}, 0, coordinator.ctx.Err()
	}
	sentAt = clock.Now()
	if !joined {
		result, err = coordinator.commit(coordinator.ctx, lentilproxy.PurposeRenewal, transaction)
		return sentAt, result, lease.RenewInterval, err
	}
	if address != "" {
		if outcome, done := control.renewThrough(address, renewal); done {
			result, err = outcome.commitResult()
			wait := time.Duration(outcome.NextMS) * time.Millisecond
			return sentAt, result, min(max(wait, minRenewalWait), lease.RenewInterval), err
		}
		coordinator.do(func(now time.Time) { control.avoidedWriters[writer] = now.Add(writerRetry) })
		sentAt = clock.Now()
	}
	result, err = control.renewals.commit(sentAt, renewal)
	return sentAt, result, lease.RenewInterval, err
}

// renewThrough asks another host to write a renewal. It reports false if the outcome is unknown.
func (control *control) renewThrough(address string, renewal lease.Renewal) (renewResult, bool) {
	coordinator := control.coordinator
	ctx, cancel := context.WithTimeout(coordinator.ctx, writerTimeout)
	defer cancel()
	var outcome renewResult
	err := coordinator.peers.Call(ctx, address, methodRenew, renewParams{Renewal: renewal}, &outcome)
	if err != nil || !outcome.Done {
		coordinator.metrics.Counter("renewal_writers_failed").Inc(1)
		return renewResult{}, false
	}
	return outcome, true
}

// renewalWriter returns the host that writes this host's renewals, which may be this one.
func (control *control) renewalWriter(now time.Time) string {
	self := control.coordinator.settings.Host.Name
	hosts := []string{self}
	for _, peer := range control.reachablePeers(now) {
		if until, avoided := control.avoidedWriters[peer]; !avoided || !now.Before(until) {
			delete(control.avoidedWriters, peer)
			hosts = append(hosts, peer)
		}
	}
	return lease.Writer(self, hosts)
}
