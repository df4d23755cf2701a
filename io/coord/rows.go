package coord

import (
	"context"
	"strconv"
	"time"

	"lentilproxy"
	"lentilproxy/core/lease"
	"lentilproxy/core/mirror"
	"lentilproxy/io/clock"
)

const (
	// rowsPullInterval and fleetPullInterval are the minimum times between two requests to peers for rows of a table.
	// The rows of hosts change with every renewal, so they are requested less often.
	rowsPullInterval  = 100 * time.Millisecond
	fleetPullInterval = 600 * time.Millisecond
)

// fleetContent is the name under which messages contain proofs of the fleet table. Hosts of earlier versions need every renewal in that
// table and ignore this name, so that they get no proofs of it and read it themselves.
const fleetContent = lease.Table + ".content"

// digestBase is the base of digests in messages.
const digestBase = 36

// proof states that the sender's mirror of a table was complete some time ago. Newest is the version up to which it has all relevant
// changes.
type proof struct {
	Newest int64 `json:"newest"`
	// AgeMS is the age of the proof, or -1 if there is none.
	AgeMS int64 `json:"age_ms"`
	contentVersion
}

// contentVersion is what a mirror was proven to contain. Both fields are missing in messages of hosts of earlier versions, whose proofs
// hold if the receiver has all changes up to Newest.
type contentVersion struct {
	AsOf   int64  `json:"as_of,omitempty"`
	Digest string `json:"digest,omitempty"`
}

func (table *tableMirror) contentVersion() contentVersion {
	content := table.Proof()
	return contentVersion{AsOf: content.AsOf, Digest: formatDigest(content.Digest)}
}

func formatDigest(digest uint64) string { return strconv.FormatUint(digest, digestBase) }

// content returns what the sender's mirror was proven to contain. It reports false if the sender does not say so.
func (proof proof) content() (mirror.Proof, bool) {
	digest, err := strconv.ParseUint(proof.Digest, digestBase, 64)
	return mirror.Proof{AsOf: proof.AsOf, CompleteTo: proof.Newest, Digest: digest}, proof.AsOf > 0 && err == nil
}

// provenAt returns the time as of which the sender's mirror was proven, or zero if it is unknown. The proof was requested at
// requestedAt, so that a delayed proof is older than it says.
func (proof proof) provenAt(requestedAt time.Time) time.Time {
	if proof.AgeMS < 0 {
		return time.Time{}
	}
	return requestedAt.Add(-time.Duration(proof.AgeMS) * time.Millisecond)
}

// proofOf returns the proof of a table among those of a peer.
func (control *control) proofOf(proofs map[string]proof, table *tableMirror) (proof, bool) {
	if table == control.fleet {
		if known, found := proofs[fleetContent]; found {
			return known, true
		}
	}
	known, found := proofs[table.name]
	return known, found
}

// proofName returns the name under which messages contain proofs of a table.
func (control *control) proofName(table *tableMirror) string {
	if table == control.fleet {
		return fleetContent
	}
	return table.name
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
		known, found := control.proofOf(proofs, table)
		if !found {
			continue
		}
		provenAt := known.provenAt(requestedAt)
		lacks, proven := known.Newest > table.CompleteTo(), known.Newest <= table.CompleteTo()
		if content, stated := known.content(); stated {
			lacks = table.Lacks(content)
			proven = !lacks && !provenAt.IsZero() && table.Confirm(content)
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
func (control *control) compareVersions(now time.Time, peer *peerState, newest map[string]int64, contents map[string]contentVersion) {
	proofs := map[string]proof{}
	// A message proves nothing about the age of a mirror, since it may have been in transit for long.
	for table, version := range newest {
		proofs[table] = proof{Newest: version, AgeMS: -1}
	}
	for table, content := range contents {
		proofs[table] = proof{AgeMS: -1, contentVersion: content}
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
	coordinator.post(func(now time.Time) { control.endPull(now, requestedAt, peer, params, result, err) })
}

// endPull applies the response to a request for rows that was sent at requestedAt.
func (control *control) endPull(now, requestedAt time.Time, peer *peerState, params rowsParams, result rowsResult, err error) {
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
		known, _ := control.proofOf(result.Proofs, table)
		changed, whole, proven := result.merge(table, rows, known)
		if changed && table.name != control.fleet.name {
			control.coordinator.log.Info("rows from a peer", "peer", peer.name, "table", table.name, "rows", len(rows), "whole", whole, "version", table.CompleteTo())
		}
		provenAt := table.provenAt
		if proven {
			provenAt = known.provenAt(requestedAt)
		}
		control.applyProof(now, provenAt, table, changed)
	}
}

// merge applies rows of a table, which may be all of them. It reports whether a row of the mirror changed, and whether the proof of
// the peer holds for the mirror.
func (result rowsResult) merge(table *tableMirror, rows []lentilproxy.Row, known proof) (changed, whole, proven bool) {
	version, whole := result.Whole[table.name]
	if content, stated := known.content(); stated {
		if !whole {
			version = known.Newest
		}
		changed, proven = table.MergeProven(lentilproxy.Page{Rows: rows, Version: version}, whole, content)
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
		proofs[control.proofName(table)] = proof{Newest: table.CompleteTo(), AgeMS: age, contentVersion: table.contentVersion()}
	}
	return proofs
}

func (control *control) rowsSince(params rowsParams) rowsResult {
	var result rowsResult
	control.coordinator.do(func(now time.Time) { result = control.composeRows(now, params) })
	return result
}

func (control *control) composeRows(now time.Time, params rowsParams) rowsResult {
	result := rowsResult{Rows: map[string][]lentilproxy.Row{}, Whole: map[string]int64{}, Proofs: control.proofs(now)}
	for _, table := range control.tables() {
		if after, requested := params.After[table.name]; requested {
			page, whole := table.Since(after)
			result.Rows[table.name] = page.Rows
			if whole {
				result.Whole[table.name] = page.Version
			}
		}
	}
	return result
}
