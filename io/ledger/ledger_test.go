package ledger

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"lentilproxy"
	"lentilproxy/core/once"
)

var errUnavailable = errors.New("the table is unreachable")

// faultyTable is a table that works, fails, loses responses or applies writes late, as a script says.
type faultyTable struct {
	mutex   sync.Mutex
	rows    map[string]lentilproxy.Row
	version int64
	script  []fault
	late    []lentilproxy.Transaction
	commits int
}

type fault int

const (
	works fault = iota
	fails
	losesResponse
	appliesLate
)

func newFaultyTable(script ...fault) *faultyTable {
	return &faultyTable{rows: map[string]lentilproxy.Row{}, script: script}
}

func (table *faultyTable) next() fault {
	if len(table.script) == 0 {
		return works
	}
	next := table.script[0]
	table.script = table.script[1:]
	return next
}

// Read implements lentilproxy.Table. Each read applies one late write after it has collected its rows.
func (table *faultyTable) Read(_ context.Context, request lentilproxy.ReadRequest) (lentilproxy.ReadResult, error) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	var result lentilproxy.ReadResult
	if table.next() == fails {
		return result, errUnavailable
	}
	for _, key := range request.Keys {
		if row, found := table.rows[key]; found {
			result.Rows = append(result.Rows, row)
		}
	}
	table.applyLate()
	return result, nil
}

func (table *faultyTable) applyLate() {
	if len(table.late) > 0 {
		table.apply(table.late[0])
		table.late = table.late[1:]
	}
}

// Commit implements lentilproxy.Table.
func (table *faultyTable) Commit(_ context.Context, transaction lentilproxy.Transaction) (lentilproxy.CommitResult, error) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	table.commits++
	switch table.next() {
	case fails:
		return lentilproxy.CommitResult{}, errUnavailable
	case losesResponse:
		table.apply(transaction)
		return lentilproxy.CommitResult{}, errUnavailable
	case appliesLate:
		table.late = append(table.late, transaction)
		return lentilproxy.CommitResult{}, errUnavailable
	default:
		return table.apply(transaction), nil
	}
}

func (table *faultyTable) apply(transaction lentilproxy.Transaction) lentilproxy.CommitResult {
	var result lentilproxy.CommitResult
	for _, condition := range transaction.Conditions {
		if row := table.rows[condition.Key]; row.Version != condition.Version {
			row.Key = condition.Key
			result.Conflicts = append(result.Conflicts, row)
		}
	}
	if len(result.Conflicts) > 0 {
		return result
	}
	result.Committed = true
	for _, write := range transaction.Writes {
		table.version++
		if write.Delete {
			delete(table.rows, write.Key)
			continue
		}
		table.rows[write.Key] = lentilproxy.Row{Key: write.Key, Value: write.Value, Version: table.version}
	}
	return result
}

func request(digest string) Request {
	return Request{Route: "orders", Workspace: "shop", Key: "k", Digest: digest, Window: time.Hour}
}

// At most one attempt may send a request, although several hosts try and the table loses responses, fails or applies
// writes late. Later attempts get the recorded response.
func TestAtMostOneSends(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		script := rapid.SliceOfN(rapid.SampledFrom([]fault{works, works, works, fails, losesResponse, appliesLate}), 0, 25).Draw(t, "script")
		table := newFaultyTable(script...)
		hosts := []*Ledger{New(table, "a"), New(table, "b"), New(table, "c")}
		for _, host := range hosts {
			host.sleep = func(ctx context.Context, _ time.Duration) bool { return ctx.Err() == nil }
			defer host.Close()
		}
		sent, released := 0, 0
		for attempt := range rapid.IntRange(1, 8).Draw(t, "attempts") {
			host := hosts[rapid.IntRange(0, 2).Draw(t, "host")]
			decision, err := host.Claim(context.Background(), time.Now(), fmt.Sprint("token ", attempt), request("d"))
			if err != nil || decision.Verdict != once.Send {
				continue
			}
			switch rapid.IntRange(0, 2).Draw(t, "then") {
			case 0:
				// The host could not reach the service, so no byte was sent.
				decision.Claim.Release()
				released++
			case 1:
				sent++
				decision.Claim.Finish(context.Background(), 201, "text/plain", []byte("done"))
			default:
				sent++ // the host crashes
			}
		}
		if sent > 1 {
			t.Fatalf("the request was sent %d times (released %d times)", sent, released)
		}
	})
}

func TestVerdicts(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	table := newFaultyTable()
	ledger := New(table, "a")
	defer ledger.Close()
	first, err := ledger.Claim(ctx, time.Now(), "t1", request("d"))
	is.NoErr(err)
	is.Equal(first.Verdict, once.Send)
	second, err := ledger.Claim(ctx, time.Now(), "t2", request("d"))
	is.NoErr(err)
	is.Equal(second.Verdict, once.OutcomeUnknown)
	first.Claim.Finish(ctx, 201, "text/plain", []byte("done"))
	third, err := ledger.Claim(ctx, time.Now(), "t3", request("d"))
	is.NoErr(err)
	is.Equal(third.Verdict, once.Replay)
	is.Equal(string(third.Record.Body), "done")
	other, err := ledger.Claim(ctx, time.Now(), "t4", request("another body"))
	is.NoErr(err)
	is.Equal(other.Verdict, once.Mismatch)
}

// Queued operations share commits. If two operations claim the same row, exactly one succeeds.
func TestBatches(t *testing.T) {
	is := is.New(t)
	table := newFaultyTable()
	const count = 200
	batcher := &batcher{table: table, queue: make(chan pendingOperation, count), ctx: context.Background()}
	replies := make([]chan result, count)
	for number := range count {
		key := fmt.Sprint("row ", number/2)
		replies[number] = make(chan result, 1)
		batcher.queue <- pendingOperation{reply: replies[number], operation: operation{
			conditions: []lentilproxy.Condition{{Key: key}}, writes: []lentilproxy.Write{{Key: key, Value: []byte("x")}},
		}}
	}
	var postponed []pendingOperation
	for len(batcher.queue) > 0 || len(postponed) > 0 {
		var batch []pendingOperation
		batch, postponed = batcher.gather(postponed)
		batcher.flush(batch)
	}
	committed := 0
	for _, reply := range replies {
		outcome := <-reply
		is.NoErr(outcome.err)
		if outcome.committed {
			committed++
		}
	}
	t.Logf("%d operations took %d commits", count, table.commits)
	is.Equal(committed, count/2) // each row was claimed once
	is.True(table.commits < count/2)
}
