// Package ledger stores idempotency keys and the outcomes of their requests in the table service, so that a request
// runs at most once.
package ledger

import (
	"context"
	"time"

	"lentilproxy"
	"lentilproxy/core/once"

	"github.com/samber/oops"
)

const (
	// maxClaimAttempts bounds the attempts to claim a key if responses of the table service are lost.
	maxClaimAttempts = 4
	claimRetryDelay  = 100 * time.Millisecond
	// finishRetryDelay is the first delay before the recording of an outcome is retried. It doubles up to
	// maxFinishRetryDelay.
	finishRetryDelay    = 100 * time.Millisecond
	maxFinishRetryDelay = 5 * time.Second
)

// abandonDelays are the delays before the successive attempts to remove an abandoned claim, whose write may take effect
// late.
var abandonDelays = []time.Duration{0, time.Second, 5 * time.Second, 15 * time.Second, 30 * time.Second, time.Minute}

// Ledger claims idempotency keys and records outcomes.
type Ledger struct {
	table   lentilproxy.Table
	host    string
	batcher *batcher
	ctx     context.Context
	cancel  context.CancelFunc
	done    chan struct{}
	// sleep waits for a duration. It returns false if the context ends first.
	sleep func(ctx context.Context, wait time.Duration) bool
}

// New returns the ledger of a host.
func New(table lentilproxy.Table, host string) *Ledger {
	ctx, cancel := context.WithCancel(context.Background())
	ledger := &Ledger{table: table, host: host, ctx: ctx, cancel: cancel, done: make(chan struct{}), sleep: sleep}
	ledger.batcher = newBatcher(ctx, table)
	go func() {
		defer close(ledger.done)
		<-ledger.batcher.done
	}()
	return ledger
}

// Done returns a channel that is closed once the ledger has stopped.
func (ledger *Ledger) Done() <-chan struct{} { return ledger.done }

// Close stops the ledger. Outcomes that were not recorded stay unknown.
func (ledger *Ledger) Close() {
	ledger.cancel()
	<-ledger.done
}

// Request identifies a request that must run at most once.
type Request struct {
	Route     string
	Workspace string
	Key       string
	// Digest identifies the content of the request.
	Digest string
	// Window is how long the outcome is stored.
	Window time.Duration
}

// Claim is the right to run a request.
type Claim struct {
	ledger *Ledger
	key    string
	record once.Record
	// ambiguous claims were written more than once, so an earlier write may still take effect.
	ambiguous bool
}

// Decision is the result of a claim.
type Decision struct {
	Verdict once.Verdict
	// Claim is set for once.Send.
	Claim *Claim
	// Record is set for once.Replay and once.OutcomeUnknown.
	Record *once.Record
}

// Claim claims the key of a request. An error means that this call did not obtain the claim, so the request must not be
// sent.
func (ledger *Ledger) Claim(ctx context.Context, now time.Time, token string, request Request) (Decision, error) {
	key := once.RowKey(request.Route, request.Workspace, request.Key)
	record := once.NewClaim(now, token, ledger.host, request.Digest, request.Window)
	insert := operation{
		conditions: []lentilproxy.Condition{{Key: key}},
		writes:     []lentilproxy.Write{{Key: key, Value: record.Encode()}},
	}
	ambiguous := false
	for try := range maxClaimAttempts {
		if try > 0 && !ledger.sleep(ctx, claimRetryDelay<<(try-1)) {
			break
		}
		row, committed, err := ledger.insert(ctx, key, insert)
		if err != nil {
			ambiguous = true
			continue
		}
		if committed {
			return Decision{Verdict: once.Send, Claim: &Claim{ledger: ledger, key: key, record: record, ambiguous: ambiguous}}, nil
		}
		existing, err := once.Decode(row.Value)
		if err != nil {
			return Decision{}, oops.Code("bad_row").With("row", key).Wrap(err)
		}
		decision := Decision{Verdict: once.Decide(existing, token, request.Digest), Record: existing}
		if decision.Verdict == once.Claim {
			continue
		}
		if decision.Verdict == once.Send {
			decision.Claim = &Claim{ledger: ledger, key: key, record: record, ambiguous: ambiguous}
		}
		return decision, nil
	}
	if ambiguous {
		ledger.abandon(key, token)
	}
	return Decision{}, oops.Code("ledger_unavailable").Errorf("the claim could not be settled")
}

// insert tries to write a claim. Unless that succeeds, it reads the row that exists.
func (ledger *Ledger) insert(ctx context.Context, key string, insert operation) (row lentilproxy.Row, committed bool, err error) {
	committed, err = ledger.batcher.commit(ctx, insert)
	if committed && err == nil {
		return row, true, nil
	}
	result, readErr := ledger.table.Read(ctx, lentilproxy.ReadRequest{Keys: []string{key}})
	if readErr != nil {
		return row, false, readErr
	}
	row = result.Row(key)
	if row.Version == 0 {
		// The write failed or may still take effect. Only another attempt with the same token can show which.
		return row, false, err
	}
	return row, false, nil
}

func sleep(ctx context.Context, wait time.Duration) bool {
	select {
	case <-time.After(wait):
		return true
	case <-ctx.Done():
		return false
	}
}

// abandon removes a claim that this host has given up. It tries several times, since the claim's write may take effect
// late.
func (ledger *Ledger) abandon(key, token string) {
	go func() {
		for _, wait := range abandonDelays {
			if !ledger.sleep(ledger.ctx, wait) {
				return
			}
			ledger.remove(key, token)
		}
	}()
}

// remove deletes a claim. It reports whether the key is known to hold no claim with the token.
func (ledger *Ledger) remove(key, token string) bool {
	result, err := ledger.table.Read(ledger.ctx, lentilproxy.ReadRequest{Keys: []string{key}})
	if err != nil {
		return false
	}
	row := result.Row(key)
	record, err := once.Decode(row.Value)
	if err != nil || record == nil || record.Token != token || record.Stage != once.StageClaimed {
		return err == nil
	}
	committed, err := ledger.batcher.commit(ledger.ctx, operation{
		conditions: []lentilproxy.Condition{{Key: key, Version: row.Version}},
		writes:     []lentilproxy.Write{{Key: key, Delete: true}},
	})
	return err == nil && committed
}

// Release removes the claim. It must only be called if no byte of the request can have been sent.
func (claim *Claim) Release() {
	if !claim.ledger.remove(claim.key, claim.record.Token) || claim.ambiguous {
		claim.ledger.abandon(claim.key, claim.record.Token)
	}
}

// ClaimedAt returns when the claim was made.
func (claim *Claim) ClaimedAt() time.Time { return claim.record.ClaimedAt }

// Finish records the outcome of a request. It returns once the outcome is recorded or ctx ends. In the latter case it
// continues to retry in the background.
func (claim *Claim) Finish(ctx context.Context, status int, contentType string, body []byte) {
	record := claim.record.Finish(status, contentType, body)
	recorded := make(chan struct{})
	go func() {
		defer close(recorded)
		wait := finishRetryDelay
		for {
			// The row belongs to this claim, so the write may be repeated.
			committed, err := claim.ledger.batcher.commit(claim.ledger.ctx, operation{
				writes: []lentilproxy.Write{{Key: claim.key, Value: record.Encode()}},
			})
			if (err == nil && committed) || !claim.ledger.sleep(claim.ledger.ctx, wait) {
				return
			}
			wait = min(2*wait, maxFinishRetryDelay)
		}
	}()
	select {
	case <-recorded:
	case <-ctx.Done():
	}
}
