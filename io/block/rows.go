package block

import (
	"context"
	"encoding/json"
	"time"

	"lentilproxy"
	"lentilproxy/core/crash"

	"github.com/go-logr/logr"
)

const (
	// rowTries is the number of attempts to write a row, rowRetryDelay apart, so that they outlast an outage of the store.
	rowTries      = 60
	rowRetryDelay = 500 * time.Millisecond
)

// Commit commits a transaction to the store.
type Commit func(ctx context.Context, transaction lentilproxy.Transaction) (lentilproxy.CommitResult, error)

// Rows keeps blocks as rows of the store. Its methods as a Store are safe for concurrent use, the others are not.
type Rows struct {
	prefix string
	commit Commit
	log    logr.Logger
	known  map[string]observedRow
}

type observedRow struct {
	version int64
	block   crash.Block
	since   time.Time
}

// NewRows returns a store that writes rows whose keys start with a prefix.
func NewRows(prefix string, commit Commit, log logr.Logger) *Rows {
	return &Rows{prefix: prefix, commit: commit, log: log, known: map[string]observedRow{}}
}

// Save implements Store. It replaces the row of the same block, which may be about to be deleted.
func (rows *Rows) Save(ctx context.Context, block crash.Block) {
	content, err := json.Marshal(block)
	if err != nil {
		rows.log.Error(err, "cannot encode a block")
		return
	}
	rows.write(ctx, lentilproxy.Transaction{Writes: []lentilproxy.Write{{Key: rows.prefix + block.Name(), Value: content}}})
}

// Delete implements Store.
func (rows *Rows) Delete(ctx context.Context, block crash.Block) {
	rows.write(ctx, lentilproxy.Transaction{Writes: []lentilproxy.Write{{Key: rows.prefix + block.Name(), Delete: true}}})
}

func (rows *Rows) write(ctx context.Context, transaction lentilproxy.Transaction) {
	var err error
	for range rowTries {
		if _, err = rows.commit(ctx, transaction); err == nil {
			return
		}
		select {
		case <-time.After(rowRetryDelay):
		case <-ctx.Done():
			return
		}
	}
	rows.log.Info("failed to write the row of a block", "key", transaction.Writes[0].Key, "error", err.Error())
}

// Observe applies the rows that are in the store, by any keys that identify them. A row is applied once, since a block
// that has been lifted has a row until that is deleted.
func (rows *Rows) Observe(now time.Time, exchanger *Exchanger, present map[string]lentilproxy.Row) {
	for key, row := range present {
		if known, found := rows.known[key]; found && known.version == row.Version {
			continue
		}
		observed := observedRow{version: row.Version, since: now}
		if err := json.Unmarshal(row.Value, &observed.block); err != nil {
			rows.log.Error(err, "invalid row of a block", "row", key)
		}
		rows.known[key] = observed
		exchanger.Apply(now, []crash.Block{observed.block}, "store")
	}
	for key, known := range rows.known {
		if _, found := present[key]; !found {
			delete(rows.known, key)
			exchanger.handleBlock(VerdictParams{Host: "store", Block: known.block, Lifted: true})
		}
	}
}

// Cleanup returns a transaction that deletes a row whose block has ended, if there is one.
func (rows *Rows) Cleanup(now time.Time) (lentilproxy.Transaction, bool) {
	for _, known := range rows.known {
		if now.Sub(known.since) < crash.BlockDuration {
			continue
		}
		key := rows.prefix + known.block.Name()
		return lentilproxy.Transaction{
			Conditions: []lentilproxy.Condition{{Key: key, Version: known.version}}, Writes: []lentilproxy.Write{{Key: key, Delete: true}},
		}, true
	}
	return lentilproxy.Transaction{}, false
}
