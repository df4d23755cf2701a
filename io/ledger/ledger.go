// Package ledger keeps the at-most-once ledger in the table service.
package ledger

import (
	"context"
	"time"

	"lentilproxy"
	"lentilproxy/core/once"

	"github.com/samber/oops"
)

const (
	// claimTries bounds the tries to settle a claim whose answer was lost.
	claimTries = 4
	claimRetry = 100 * time.Millisecond
	// finishRetry is the first wait before an outcome is recorded again; it doubles up to maxFinishRetry.
	finishRetry    = 100 * time.Millisecond
	maxFinishRetry = 5 * time.Second
)

// abandonAfter is when an abandoned claim is looked for, since its write may take effect late.
var abandonAfter = []time.Duration{0, time.Second, 5 * time.Second, 15 * time.Second, 30 * time.Second, time.Minute}

// Ledger claims idempotency keys and records outcomes.
type Ledger struct {
	table   lentilproxy.Table
	host    string
	batcher *batcher
	ctx     context.Context
	cancel  context.CancelFunc
	done    chan struct{}
	// pause waits, and says no if the context ended first.
	pause func(ctx context.Context, wait time.Duration) bool
}

// New returns the ledger of a host.
func New(table lentilproxy.Table, host string) *Ledger {
	ctx, cancel := context.WithCancel(context.Background())
	ledger := &Ledger{table: table, host: host, ctx: ctx, cancel: cancel, done: make(chan struct{}), pause: pause}
	ledger.batcher = newBatcher(ctx, table)
	go func() {
		defer close(ledger.done)
		<-ledger.batcher.done
	}()
	return ledger
}

// Done is closed once the ledger has ended.
func (ledger *Ledger) Done() <-chan struct{} { return ledger.done }

// Close ends the ledger. Outcomes that were not recorded stay unknown.
func (ledger *Ledger) Close() {
	ledger.cancel()
	<-ledger.done
}

// Request identifies a request that must run at most once.
type Request struct {
	Route     string
	Workspace string
	Key       string
	// Digest identifies the content.
	Digest string
	// Window is how long the outcome is remembered.
	Window time.Duration
}

// Claim is the right to run a request.
type Claim struct {
	ledger *Ledger
	key    string
	record once.Record
	// unsure claims were written more than once, and an earlier write may take effect late.
	unsure bool
}

// Decision is what the ledger decided about a request.
type Decision struct {
	Verdict once.Verdict
	// Claim is set for once.Send.
	Claim *Claim
	// Record is set for once.Replay and once.OutcomeUnknown.
	Record *once.Record
}

// Claim claims the key of a request. An error means that the request must not run, and that it was not run by this
// call.
func (ledger *Ledger) Claim(ctx context.Context, now time.Time, token string, request Request) (Decision, error) {
	key := once.RowKey(request.Route, request.Workspace, request.Key)
	record := once.NewClaim(now, token, ledger.host, request.Digest, request.Window)
	insert := operation{
		conditions: []lentilproxy.Condition{{Key: key}},
		writes:     []lentilproxy.Write{{Key: key, Value: record.Encode()}},
	}
	unsure := false
	for try := range claimTries {
		if try > 0 && !ledger.pause(ctx, claimRetry<<(try-1)) {
			break
		}
		row, committed, err := ledger.insert(ctx, key, insert)
		if err != nil {
			unsure = true
			continue
		}
		if committed {
			return Decision{Verdict: once.Send, Claim: &Claim{ledger: ledger, key: key, record: record, unsure: unsure}}, nil
		}
		held, err := once.Decode(row.Value)
		if err != nil {
			return Decision{}, oops.Code("bad_row").With("row", key).Wrap(err)
		}
		decision := Decision{Verdict: once.Decide(held, token, request.Digest), Record: held}
		if decision.Verdict == once.Claim {
			continue
		}
		if decision.Verdict == once.Send {
			decision.Claim = &Claim{ledger: ledger, key: key, record: record, unsure: unsure}
		}
		return decision, nil
	}
	if unsure {
		ledger.abandon(key, token)
	}
	return Decision{}, oops.Code("ledger_unavailable").Errorf("the claim could not be settled")
}

// insert tries to claim, and reads what is there if that did not clearly work.
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
		// The write failed, or is still under way: only another try with the same token tells.
		return row, false, err
	}
	return row, false, nil
}

func pause(ctx context.Context, wait time.Duration) bool {
	select {
	case <-time.After(wait):
		return true
	case <-ctx.Done():
		return false
	}
}

// abandon removes a claim that was given up, and may yet appear.
func (ledger *Ledger) abandon(key, token string) {
	go func() {
		for _, wait := range abandonAfter {
			if !ledger.pause(ledger.ctx, wait) {
				return
			}
			ledger.remove(key, token)
		}
	}()
}

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

// Release gives a claim back. It must only be called if no byte of the request can have left.
func (claim *Claim) Release() {
	if !claim.ledger.remove(claim.key, claim.record.Token) || claim.unsure {
		claim.ledger.abandon(claim.key, claim.record.Token)
	}
}

// ClaimedAt returns when the claim was made.
func (claim *Claim) ClaimedAt() time.Time { return claim.record.ClaimedAt }

// Finish records the outcome of a request. It waits until the outcome is recorded or ctx ends, and goes on trying
// afterwards.
func (claim *Claim) Finish(ctx context.Context, status int, contentType string, body []byte) {
	record := claim.record.Finish(status, contentType, body)
	recorded := make(chan struct{})
	go func() {
		defer close(recorded)
		wait := finishRetry
		for {
			// The row belongs to this claim, so it may be written again and again.
			committed, err := claim.ledger.batcher.commit(claim.ledger.ctx, operation{
				writes: []lentilproxy.Write{{Key: claim.key, Value: record.Encode()}},
			})
			if (err == nil && committed) || !claim.ledger.pause(claim.ledger.ctx, wait) {
				return
			}
			wait = min(2*wait, maxFinishRetry)
		}
	}()
	select {
	case <-recorded:
	case <-ctx.Done():
	}
}
