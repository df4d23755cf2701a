package coord

import (
	"context"
	"time"

	"lentilproxy"
	"lentilproxy/core/mirror"
	"lentilproxy/io/clock"
)

const (
	// rowsPullInterval and fleetPullInterval are the minimum times between two requests to peers for rows of a table.
	// The rows of hosts change with every renewal, so they are requested less often.
	rowsPullInterval  = 100 * time.Millisecond
	fleetPullInterval = 600 * time.Millisecond
)

// proof states that the sender's mirror of a table was complete some time ago.
type proof struct {
	// Newest and AgeMS are for hosts before version 0.3, which accept a proof if they have all changes up to Newest. They need every
	// renewal in the fleet table, so there is no such proof for it.
	Newest int64 `json:"newest"`
	AgeMS  int64 `json:"age_ms"`
	// AsOf, CompleteTo and Digest are what the mirror was proven to contain, ProvenMS ago; AsOf is 0 if they are missing. ProvenMS is
	// -1 if the age is unknown.
	AsOf       int64  `json:"as_of,omitempty"`
	CompleteTo int64  `json:"complete_to,omitempty"`
	Digest     uint64 `json:"digest,omitempty"`
	ProvenMS   int64  `json:"proven_ms,omitempty"`
}

// content returns what the sender's mirror was proven to contain.
func (proof proof) content() mirror.Proof {
	return mirror.Proof{AsOf: proof.AsOf, CompleteTo: proof.CompleteTo, Digest: proof.Digest}
}

// provenAt returns the time as of which the sender's mirror was proven, or zero if it is unknown. The proof was requested at
// requestedAt, so that a delayed proof is older than it says.
func (proof proof) provenAt(requestedAt time.Time) time.Time {
	age := proof.AgeMS
	if proof.AsOf > 0 {
		age = proof.ProvenMS
	}
	if age < 0 {
		return time.Time{}
	}
	return requestedAt.Add(-time.Duration(age) * time.Millisecond)
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
		if !found {
			continue
		}
		provenAt := known.provenAt(requestedAt)
		lacks, proven := known.Newest > table.CompleteTo(), known.Newest <= table.CompleteTo()
		if known.AsOf > 0 {
			lacks = table.Lacks(known.content())
			proven = !lacks && !provenAt.IsZero() && table.Confirm(known.content())
		}
		switch {
		case lacks:
			if !table.pulling && now.Sub(table.pulledAt) >= table.pullInterval {
				table.pulling, table.pulledAt = true, now
				params.After[table.name] = table.CompleteTo()
			}
		case proven && !provenAt.IsZero():
			control.applyProof(now, provenAt, table, false)
		}
	}
	if len(params.After) > 0 {
		go control.pullRows(peer, params)
	}
}

// compareVersions requests rows from a peer if the peer has newer ones.
func (control *control) compareVersions(now time.Time, peer *peerState, newest map[string]int64, contents map[string]proof) {
	proofs := map[string]proof{}
	// A message proves nothing about the age of a mirror, since it may have been in transit for long.
	for table, version := range newest {
		proofs[table] = proof{Newest: version, AgeMS: -1}
	}
	for table, content := range contents {
		content.ProvenMS = -1
		proofs[table] = content
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
			rows, requested := result.Rows[table.name]
			if !requested {
				continue
			}
			changed, whole, proven := result.merge(table, rows)
			if changed && table.name != control.fleet.name {
				coordinator.log.Info("rows from a peer", "peer", peer.name, "table", table.name, "rows", len(rows), "whole", whole, "version", table.CompleteTo())
			}
			provenAt := table.provenAt
			if proven {
				provenAt = result.Proofs[table.name].provenAt(requestedAt)
			}
			control.applyProof(now, provenAt, table, changed)
		}
	})
}

// merge applies rows of a table, which may be all of them. It reports whether a row of the mirror changed, and whether the proof of
// the peer holds for the mirror.
func (result rowsResult) merge(table *tableMirror, rows []lentilproxy.Row) (changed, whole, proven bool) {
	version, whole := result.Whole[table.name]
	known := result.Proofs[table.name]
	if known.AsOf > 0 {
		if !whole {
			version = known.CompleteTo
		}
		changed, proven = table.MergeProven(lentilproxy.Page{Rows: rows, Version: version}, whole, known.content())
		return changed, whole, proven
	}
	proven = known.AgeMS >= 0 && known.Newest > 0
	if whole {
		return table.MergeWhole(lentilproxy.Page{Rows: rows, Version: version}), true, proven
	}
	return table.Merge(lentilproxy.Page{Rows: rows, Version: known.Newest}), false, proven
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
		content := table.Proof()
		proofs[table.name] = proof{
			Newest: table.CompleteTo(), AgeMS: age, AsOf: content.AsOf, CompleteTo: content.CompleteTo, Digest: content.Digest, ProvenMS: age,
		}
		if table == control.fleet {
			proofs[table.name] = proof{AgeMS: -1, AsOf: content.AsOf, CompleteTo: content.CompleteTo, Digest: content.Digest, ProvenMS: age}
		}
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
