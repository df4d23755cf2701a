package coord

import (
	"context"
	"time"

	"lentilproxy"
	"lentilproxy/io/clock"
)

const (
	// rowsPullInterval and fleetPullInterval are the minimum times between two requests to peers for rows of a table.
	// The rows of hosts change with every renewal, so they are requested less often.
	rowsPullInterval  = 100 * time.Millisecond
	fleetPullInterval = 600 * time.Millisecond
)

// proof states that the sender's mirror of a table was complete some time ago. Newest is the version up to which it has all
// changes.
type proof struct {
	Newest int64 `json:"newest"`
	AgeMS  int64 `json:"age_ms"`
}

type rowsParams struct {
	// After maps each requested table to the version up to which the caller's mirror is complete.
	After map[string]int64 `json:"after"`
}

type rowsResult struct {
	Rows map[string][]lentilproxy.Row `json:"rows"`
	// Whole maps the tables of which all rows are sent to the version that they are of.
	Whole  map[string]int64 `json:"whole,omitempty"`
	Proofs map[string]proof `json:"proofs"`
}

// compareProofs applies a peer's proofs for the tables of which this host has all the peer's rows. It requests the
// missing rows of the other tables.
func (control *control) compareProofs(now, requestedAt time.Time, peer *peerState, proofs map[string]proof) {
	params := rowsParams{After: map[string]int64{}}
	for _, table := range control.tables() {
		known, found := proofs[table.name]
		switch {
		case !found:
		case known.Newest > table.CompleteTo():
			if !table.pulling && now.Sub(table.pulledAt) >= table.pullInterval {
				table.pulling, table.pulledAt = true, now
				params.After[table.name] = table.CompleteTo()
			}
		case known.AgeMS >= 0:
			control.applyProof(now, requestedAt.Add(-time.Duration(known.AgeMS)*time.Millisecond), table, false)
		}
	}
	if len(params.After) > 0 {
		go control.pullRows(peer, params)
	}
}

// compareVersions requests rows from a peer if the peer has newer ones.
func (control *control) compareVersions(now time.Time, peer *peerState, newest map[string]int64) {
	proofs := map[string]proof{}
	for table, version := range newest {
		// A message proves nothing about the age of a mirror, since it may have been in transit for long.
		proofs[table] = proof{Newest: version, AgeMS: -1}
	}
	control.compareProofs(now, time.Time{}, peer, proofs)
}

// pullRows requests rows from a peer and applies them.
func (control *control) pullRows(peer *peerState, params rowsParams) {
	coordinator := control.coordinator
	ctx, cancel := context.WithTimeout(coordinator.ctx, callTimeout)
	defer cancel()
	requestedAt := clock.Now()
	var result rowsResult
	err := coordinator.peers.Call(ctx, peer.address, methodRows, params, &result)
	coordinator.post(func(now time.Time) {
		for _, table := range control.tables() {
			if _, requested := params.After[table.name]; requested {
				table.pulling = false
			}
		}
		if err != nil {
			return
		}
		for _, table := range control.tables() {
			provenAt := table.provenAt
			if known := result.Proofs[table.name]; known.AgeMS >= 0 && known.Newest > 0 {
				provenAt = requestedAt.Add(-time.Duration(known.AgeMS) * time.Millisecond)
			}
			rows, requested := result.Rows[table.name]
			if !requested {
				continue
			}
			changed, whole := result.merge(table, rows)
			if changed && table.name != control.fleet.name {
				coordinator.log.Info("rows from a peer", "peer", peer.name, "table", table.name, "rows", len(rows), "whole", whole, "version", table.CompleteTo())
			}
			control.applyProof(now, provenAt, table, changed)
		}
	})
}

// merge applies rows of a table, which may be all of them. It reports whether a row of the mirror changed.
func (result rowsResult) merge(table *tableMirror, rows []lentilproxy.Row) (changed, whole bool) {
	version, whole := result.Whole[table.name]
	if whole {
		return table.MergeWhole(lentilproxy.Page{Rows: rows, Version: version}), true
	}
	return table.Merge(lentilproxy.Page{Rows: rows, Version: result.Proofs[table.name].Newest}), false
}

// proofs returns the host's proofs for its mirrors. The age is -1 for a table that the host has no proof for.
func (control *control) proofs(now time.Time) map[string]proof {
	proofs := map[string]proof{}
	for _, table := range control.tables() {
		age := int64(-1)
		if !table.provenAt.IsZero() {
			// The age is rounded up, so that a proof does not become younger in transit.
			age = now.Sub(table.provenAt).Milliseconds() + 1
		}
		proofs[table.name] = proof{Newest: table.CompleteTo(), AgeMS: age}
	}
	return proofs
}

func (control *control) rowsSince(params rowsParams) rowsResult {
	var result rowsResult
	control.coordinator.do(func(now time.Time) {
		result = rowsResult{Rows: map[string][]lentilproxy.Row{}, Whole: map[string]int64{}, Proofs: control.proofs(now)}
		for _, table := range control.tables() {
			if after, requested := params.After[table.name]; requested {
				page, whole := table.Since(after)
				result.Rows[table.name] = page.Rows
				if whole {
					result.Whole[table.name] = page.Version
				}
			}
		}
	})
	return result
}
