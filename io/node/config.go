package node

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"lentilproxy"
	"lentilproxy/core/conf"

	"github.com/samber/oops"
)

// Keys, key prefixes and page sizes of rows in the table.
const (
	rowHead        = "conf/head"
	prefixLog      = "conf/log/"
	prefixResource = "conf/res/"
	prefixToken    = "conf/token/"
	prefixHost     = "host/"
	scanPageSize   = 2000
	tailPageSize   = 200
	// maxCommitAttempts bounds the attempts of one commit.
	maxCommitAttempts = 8
	commitBackoff     = 50 * time.Millisecond
)

type headRow struct {
	Revision int64 `json:"revision"`
}

func logKey(revision int64) string    { return fmt.Sprintf("%s%020d", prefixLog, revision) }
func resourceKey(ref conf.Ref) string { return prefixResource + string(ref.Kind) + "/" + ref.Name }

func decodeHead(row lentilproxy.Row) (int64, error) {
	if row.Version == 0 {
		return 0, nil
	}
	var head headRow
	err := json.Unmarshal(row.Value, &head)
	return head.Revision, err
}

func mustEncode(item any) []byte {
	value, err := json.Marshal(item)
	if err != nil {
		panic("node: cannot encode message: " + err.Error())
	}
	return value
}

// readHead reads the newest revision from the table. If this host holds that revision, the read proves that its
// configuration is fresh.
func (control *control) readHead(_ time.Time, done func()) {
	control.background(done, func(ctx context.Context) func(time.Time) {
		sentAt := time.Now()
		result, err := control.node.table.Read(ctx, lentilproxy.ReadRequest{Keys: []string{rowHead}})
		if err != nil {
			return nil
		}
		revision, err := decodeHead(result.Row(rowHead))
		if err != nil {
			return nil
		}
		return func(now time.Time) {
			control.tracker.RecordRead(revision, sentAt)
			if revision > control.state.Revision() {
				control.fetchChanges(now)
			}
			control.publishProof(now)
		}
	})
}

// fetchChanges reads the changes that this host lacks from the table.
func (control *control) fetchChanges(time.Time) {
	if control.fetching {
		return
	}
	control.fetching = true
	held := control.state
	control.background(func() { control.fetching = false }, func(ctx context.Context) func(time.Time) {
		changes, snapshot, err := control.node.changesAfter(ctx, held)
		if err != nil {
			return nil
		}
		return func(now time.Time) {
			if snapshot != nil {
				control.replaceState(now, snapshot)
			}
			control.applyChanges(now, changes)
		}
	})
}

// changesAfter reads the changes after a state from the table. If the state is empty or the log does not reach back to
// it, changesAfter also returns a snapshot, and the changes are those after the snapshot.
func (node *Node) changesAfter(ctx context.Context, held *conf.State) ([]conf.Change, *conf.State, error) {
	var snapshot *conf.State
	if held.Revision() == 0 {
		loaded, err := node.readSnapshot(ctx)
		if err != nil {
			return nil, nil, err
		}
		snapshot, held = loaded, loaded
	}
	for {
		changes, err := node.readChanges(ctx, held.Revision())
		if err != nil {
			return nil, nil, err
		}
		if len(changes) == 0 || changes[0].Revision == held.Revision()+1 {
			return changes, snapshot, nil
		}
		if snapshot, err = node.readSnapshot(ctx); err != nil {
			return nil, nil, err
		}
		held = snapshot
	}
}

func (node *Node) readChanges(ctx context.Context, revision int64) ([]conf.Change, error) {
	var changes []conf.Change
	for {
		result, err := node.table.Read(ctx, lentilproxy.ReadRequest{
			Prefixes: []string{prefixLog}, After: logKey(revision), Limit: tailPageSize,
		})
		if err != nil {
			return nil, err
		}
		for _, row := range result.Rows {
			var change conf.Change
			if err = decodeRow(row, &change); err != nil {
				return nil, err
			}
			changes = append(changes, change)
			revision = change.Revision
		}
		if len(result.Rows) < tailPageSize {
			return changes, nil
		}
	}
}

// decodeRow decodes a row. It returns an error of the code bad_row if the row cannot be read or lacks a field.
func decodeRow(row lentilproxy.Row, content interface{ Complete() bool }) error {
	failure := oops.Code("bad_row").With("row", row.Key)
	if err := json.Unmarshal(row.Value, content); err != nil {
		return failure.Wrapf(err, "a row cannot be read")
	}
	if !content.Complete() {
		return failure.Errorf("a row lacks a required field")
	}
	return nil
}

// readSnapshot reads all resources. Changes that are committed during the read are in the log after the snapshot's
// revision.
func (node *Node) readSnapshot(ctx context.Context) (*conf.State, error) {
	result, err := node.table.Read(ctx, lentilproxy.ReadRequest{Keys: []string{rowHead}})
	if err != nil {
		return nil, err
	}
	revision, err := decodeHead(result.Row(rowHead))
	if err != nil {
		return nil, err
	}
	var resources []conf.Resource
	after := ""
	for {
		page, err := node.table.Read(ctx, lentilproxy.ReadRequest{Prefixes: []string{prefixResource}, After: after, Limit: scanPageSize})
		if err != nil {
			return nil, err
		}
		for _, row := range page.Rows {
			var resource conf.Resource
			if err = decodeRow(row, &resource); err != nil {
				return nil, err
			}
			resources = append(resources, resource)
			after = row.Key
		}
		if len(page.Rows) < scanPageSize {
			return conf.LoadState(revision, resources), nil
		}
	}
}

// catchUp applies changes until the state has reached a revision, and returns the state.
func (node *Node) catchUp(ctx context.Context, revision int64) (*conf.State, error) {
	for {
		held := node.View().state
		if held.Revision() >= revision {
			return held, nil
		}
		changes, snapshot, err := node.changesAfter(ctx, held)
		if err != nil {
			return nil, err
		}
		control := node.traffic.control
		if !node.loop.Do(ctx, func(now time.Time) {
			if snapshot != nil {
				control.replaceState(now, snapshot)
			}
			control.applyChanges(now, changes)
		}) {
			return nil, oops.Code("node_stopping").Errorf("the node is stopping")
		}
	}
}

// CommitStatus is the status of a commit.
type CommitStatus string

// The statuses of a commit.
const (
	// Committed means that the change took effect.
	Committed CommitStatus = "committed"
	// Rejected means that the change breaks a rule or was abandoned. Nothing was written.
	Rejected CommitStatus = "rejected"
	// NotCommitted means that the change had no effect, because the table was unavailable or other commits came first.
	NotCommitted CommitStatus = "not_committed"
	// CommitUnknown means that the change may or may not have taken effect.
	CommitUnknown CommitStatus = "unknown"
)

// CommitOutcome is the result of a commit.
type CommitOutcome struct {
	Status   CommitStatus
	Revision int64
	Problems []conf.Problem
}

// ChangeBuilder builds a change from the state that the change follows. It returns problems to reject the change, and
// false to abandon it.
type ChangeBuilder func(state *conf.State) (conf.Change, []conf.Problem, bool)

// Commit applies a change to the configuration, at most once per token.
func (node *Node) Commit(ctx context.Context, token string, build ChangeBuilder) CommitOutcome {
	uncertain := false
	for attempt := range maxCommitAttempts {
		if attempt > 0 {
			select {
			case <-time.After(commitBackoff << min(attempt-1, 4)):
			case <-ctx.Done():
				return failedOutcome(uncertain)
			}
		}
		outcome, retry, nowUncertain := node.commitOnce(ctx, token, build)
		uncertain = uncertain || nowUncertain
		if !retry {
			return outcome
		}
	}
	return failedOutcome(uncertain)
}

func failedOutcome(uncertain bool) CommitOutcome {
	if uncertain {
		return CommitOutcome{Status: CommitUnknown}
	}
	return CommitOutcome{Status: NotCommitted}
}

func (node *Node) commitOnce(ctx context.Context, token string, build ChangeBuilder) (outcome CommitOutcome, retry, uncertain bool) {
	result, err := node.table.Read(ctx, lentilproxy.ReadRequest{Keys: []string{rowHead, prefixToken + token}})
	if err != nil {
		return outcome, true, false
	}
	if row := result.Row(prefixToken + token); row.Version != 0 {
		revision, err := decodeHead(row)
		return CommitOutcome{Status: Committed, Revision: revision}, err != nil, false
	}
	head := result.Row(rowHead)
	revision, err := decodeHead(head)
	if err != nil {
		return outcome, true, false
	}
	state, err := node.catchUp(ctx, revision)
	if err != nil || state.Revision() != revision {
		return outcome, true, false
	}
	change, problems, proceed := build(state)
	if !proceed || len(problems) > 0 {
		return CommitOutcome{Status: Rejected, Revision: revision, Problems: problems}, false, false
	}
	change.Revision = revision + 1
	change.Token = token
	stamp(state, &change)
	committed, err := node.table.Commit(ctx, transaction(head, change))
	if err != nil {
		return outcome, true, true
	}
	if !committed.Committed {
		return outcome, true, false
	}
	node.loop.Do(ctx, func(now time.Time) {
		control := node.traffic.control
		control.applyChanges(now, []conf.Change{change})
		control.startPush(now)
	})
	return CommitOutcome{Status: Committed, Revision: change.Revision}, false, false
}

// stamp sets the generations and revisions of the resources in a change.
func stamp(state *conf.State, change *conf.Change) {
	for index := range change.Puts {
		resource := &change.Puts[index]
		resource.Revision = change.Revision
		resource.Generation = 1
		if old := state.Get(resource.Ref()); old != nil {
			resource.Generation = old.Generation + 1
		}
	}
}

// transaction returns the transaction that writes a change. Its condition on the head row allows only one change after
// each revision.
func transaction(head lentilproxy.Row, change conf.Change) lentilproxy.Transaction {
	txn := lentilproxy.Transaction{Conditions: []lentilproxy.Condition{{Key: rowHead, Version: head.Version}}}
	put := func(key string, item any) {
		txn.Writes = append(txn.Writes, lentilproxy.Write{Key: key, Value: mustEncode(item)})
	}
	put(rowHead, headRow{Revision: change.Revision})
	put(logKey(change.Revision), change)
	put(prefixToken+change.Token, headRow{Revision: change.Revision})
	for _, resource := range change.Puts {
		put(resourceKey(resource.Ref()), resource)
	}
	for _, ref := range change.Deletes {
		txn.Writes = append(txn.Writes, lentilproxy.Write{Key: resourceKey(ref), Delete: true})
	}
	if old := change.Revision - keptChanges; old > 0 {
		txn.Writes = append(txn.Writes, lentilproxy.Write{Key: logKey(old), Delete: true})
	}
	return txn
}
