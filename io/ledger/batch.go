package ledger

import (
	"context"

	"lentilproxy"
)

// maxBatch bounds the operations in one transaction.
const maxBatch = 64

// operation is a small transaction that can be committed together with others.
type operation struct {
	conditions []lentilproxy.Condition
	writes     []lentilproxy.Write
}

type pendingOperation struct {
	operation operation
	reply     chan result
}

type result struct {
	committed bool
	err       error
}

// batcher combines the operations that arrive during one commit into the next one, since the table service accepts
// only several hundred writes a second from all hosts together.
type batcher struct {
	table lentilproxy.Table
	queue chan pendingOperation
	done  chan struct{}
	ctx   context.Context
}

func newBatcher(ctx context.Context, table lentilproxy.Table) *batcher {
	batcher := &batcher{table: table, queue: make(chan pendingOperation, 4*maxBatch), done: make(chan struct{}), ctx: ctx}
	go func() {
		defer close(batcher.done)
		var postponed []pendingOperation
		for {
			if len(postponed) == 0 {
				select {
				case first := <-batcher.queue:
					postponed = append(postponed, first)
				case <-ctx.Done():
					return
				}
			}
			var batch []pendingOperation
			batch, postponed = batcher.gather(postponed)
			batcher.flush(batch)
		}
	}()
	return batcher
}

// commit applies one operation and reports whether its conditions held. An error means that its effect is unknown.
func (batcher *batcher) commit(ctx context.Context, operation operation) (bool, error) {
	entry := pendingOperation{operation: operation, reply: make(chan result, 1)}
	select {
	case batcher.queue <- entry:
	case <-ctx.Done():
		return false, ctx.Err()
	case <-batcher.ctx.Done():
		return false, batcher.ctx.Err()
	}
	select {
	case outcome := <-entry.reply:
		return outcome.committed, outcome.err
	case <-ctx.Done():
		return false, ctx.Err()
	case <-batcher.ctx.Done():
		return false, batcher.ctx.Err()
	}
}

// gather returns the operations that can share a commit, in the order of their arrival. Operations that write the same
// row as an earlier one are postponed to a later commit, as are those that exceed maxBatch.
func (batcher *batcher) gather(waiting []pendingOperation) (batch, postponed []pendingOperation) {
	keys := map[string]bool{}
	add := func(entry pendingOperation) {
		if len(batch) >= maxBatch || writesAny(keys, entry) {
			postponed = append(postponed, entry)
		} else {
			batch = append(batch, entry)
		}
		addKeys(keys, entry)
	}
	for _, entry := range waiting {
		add(entry)
	}
	for len(batch) < maxBatch && len(postponed) < maxBatch {
		select {
		case next := <-batcher.queue:
			add(next)
		default:
			return batch, postponed
		}
	}
	return batch, postponed
}

func addKeys(keys map[string]bool, entry pendingOperation) {
	for _, write := range entry.operation.writes {
		keys[write.Key] = true
	}
}

func writesAny(keys map[string]bool, entry pendingOperation) bool {
	for _, write := range entry.operation.writes {
		if keys[write.Key] {
			return true
		}
	}
	return false
}

// flush commits a batch. It reports a failure to the operations whose conditions do not hold and retries the others.
func (batcher *batcher) flush(batch []pendingOperation) {
	for len(batch) > 0 {
		var transaction lentilproxy.Transaction
		for _, entry := range batch {
			transaction.Conditions = append(transaction.Conditions, entry.operation.conditions...)
			transaction.Writes = append(transaction.Writes, entry.operation.writes...)
		}
		outcome, err := batcher.table.Commit(batcher.ctx, transaction)
		if err != nil || outcome.Committed {
			reply(batch, result{committed: outcome.Committed, err: err})
			return
		}
		conflicting := map[string]bool{}
		for _, row := range outcome.Conflicts {
			conflicting[row.Key] = true
		}
		var rest, failed []pendingOperation
		for _, entry := range batch {
			if dependsOnAny(conflicting, entry) {
				failed = append(failed, entry)
			} else {
				rest = append(rest, entry)
			}
		}
		reply(failed, result{})
		if len(failed) == 0 {
			reply(rest, result{})
			return
		}
		batch = rest
	}
}

func dependsOnAny(keys map[string]bool, entry pendingOperation) bool {
	for _, condition := range entry.operation.conditions {
		if keys[condition.Key] {
			return true
		}
	}
	return false
}

func reply(batch []pendingOperation, outcome result) {
	for _, entry := range batch {
		entry.reply <- outcome
	}
}
