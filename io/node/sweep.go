package node

import (
	"context"
	"encoding/json"
	"time"

	"lentilproxy"
	"lentilproxy/core/once"
)

// sweepPageSize bounds the rows that one sweep reads and removes.
const sweepPageSize = 200

// sweepLedger removes expired ledger rows and tokens of old changes. Only the first member of the roster does this.
func (control *control) sweepLedger(now time.Time, done func()) {
	if control.rosterIndex() != 0 || !control.tracker.Fresh(now) {
		done()
		return
	}
	after := control.sweepAfter
	oldest := control.state.Revision() - keptChanges
	control.background(done, func(ctx context.Context) func(time.Time) {
		next := control.node.sweepPage(ctx, now, after)
		control.node.sweepTokens(ctx, oldest)
		return func(time.Time) { control.sweepAfter = next }
	})
}

// sweepPage removes the expired rows of one page and returns where the next page starts.
func (node *Node) sweepPage(ctx context.Context, now time.Time, after string) string {
	page, err := node.table.Read(ctx, lentilproxy.ReadRequest{Prefixes: []string{once.RowPrefix}, After: after, Limit: sweepPageSize})
	if err != nil || len(page.Rows) == 0 {
		return ""
	}
	for _, row := range page.Rows {
		record, err := once.Decode(row.Value)
		if err == nil && record.Expired(now) {
			node.removeRow(ctx, row)
		}
	}
	return page.Rows[len(page.Rows)-1].Key
}

func (node *Node) sweepTokens(ctx context.Context, oldest int64) {
	page, err := node.table.Read(ctx, lentilproxy.ReadRequest{Prefixes: []string{prefixToken}, Limit: sweepPageSize})
	if err != nil {
		return
	}
	for _, row := range page.Rows {
		var head headRow
		if json.Unmarshal(row.Value, &head) == nil && head.Revision <= oldest {
			node.removeRow(ctx, row)
		}
	}
}

func (node *Node) removeRow(ctx context.Context, row lentilproxy.Row) {
	_, _ = node.table.Commit(ctx, lentilproxy.Transaction{
		Conditions: []lentilproxy.Condition{{Key: row.Key, Version: row.Version}},
		Writes:     []lentilproxy.Write{{Key: row.Key, Delete: true}},
	})
}
