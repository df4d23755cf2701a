package ledger

import (
	"context"

	"lentilproxy"
)

// maxBatch bounds the operations in one transaction.
const maxBatch = 64

// operation is a small transaction that may share a commit with others.
type operation struct {
	conditions []lentilproxy.Condition
	writes     []lentilproxy.Write
}

type pending struct {
	operation operation
	reply     chan result
}

type result struct {
	committed bool
	err       error
}

// batcher puts the operations that arrive during one commit into the next one, since the table allows several
// hundred writes a second for everybody.
type batcher struct {
	table lentilproxy.Table
	queue chan pending
	done  chan struct{}
	ctx   context.Context
}

func newBatcher(ctx context.Context, table lentilproxy.Table) *batcher {
	batcher := &batcher{table: table, queue: make(chan pending, 4*maxBatch), done: make(chan struct{}), ctx: ctx}
	go func() {
		defer close(batcher.done)
		var postponed []pending
		for {
			if len(postponed) == 0 {
				select {
				case first := <-batcher.queue:
					postponed = append(postponed, first)
				case <-ctx.Done():
					return
				}
			}
			var batch []pending
			batch, postponed = batcher.gather(postponed)
			batcher.flush(batch)
		}
	}()
	return batcher
}

// commit applies one operation and says whether its conditions held. An error means that its effect is unknown.
func (batcher *batcher) commit(ctx context.Context, operation operation) (bool, error) {
	entry := pending{operation: operation, reply: make(chan result, 1)}
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

// gather returns the operations that can share a commit, in the order of their arrival, and those that must wait
// because they write a row that an earlier one writes.
func (batcher *batcher) gather(waiting []pending) (batch, postponed []pending) {
	keys := map[string]bool{}
	place := func(entry pending) {
		if len(batch) >= maxBatch || clashes(keys, entry) {
			postponed = append(postponed, entry)
		} else {
			batch = append(batch, entry)
		}
		note(keys, entry)
	}
	for _, entry := range waiting {
		place(entry)
	}
	for len(batch) < maxBatch && len(postponed) < maxBatch {
		select {
		case next := <-batcher.queue:
			place(next)
		default:
			return batch, postponed
		}
	}
	return batch, postponed
}

func note(keys map[string]bool, entry pending) {
	for _, write := range entry.operation.writes {
		keys[write.Key] = true
	}
}

func clashes(keys map[string]bool, entry pending) bool {
	for _, write := range entry.operation.writes {
		if keys[write.Key] {
			return true
		}
	}
	return false
}

// flush commits a batch. Operations whose conditions do not hold are answered, and the others are tried again.
func (batcher *batcher) flush(batch []pending) {
	for len(batch) > 0 {
		var joint lentilproxy.Transaction
		for _, entry := range batch {
			joint.Conditions = append(joint.Conditions, entry.operation.conditions...)
			joint.Writes = append(joint.Writes, entry.operation.writes...)
		}
		outcome, err := batcher.table.Commit(batcher.ctx, joint)
		if err != nil || outcome.Committed {
			reply(batch, result{committed: outcome.Committed, err: err})
			return
		}
		broken := map[string]bool{}
		for _, row := range outcome.Conflicts {
			broken[row.Key] = true
		}
		var rest, failed []pending
		for _, entry := range batch {
			if breaks(broken, entry) {
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

func breaks(broken map[string]bool, entry pending) bool {
	for _, condition := range entry.operation.conditions {
		if broken[condition.Key] {
			return true
		}
	}
	return false
}

func reply(batch []pending, outcome result) {
	for _, entry := range batch {
		entry.reply <- outcome
	}
}
