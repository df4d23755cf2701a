package coord

import (
	"context"
	"time"

	"lentilproxy"
	"lentilproxy/io/clock"
)

const (
	// rowsInterval and fleetInterval are the least times between two questions for rows of a table: the rows of hosts
	// change with every renewal.
	rowsInterval  = 100 * time.Millisecond
	fleetInterval = 600 * time.Millisecond
)

// proof says that a host knows a table up to a version, which was the newest one some time ago.
type proof struct {
	Newest int64 `json:"newest"`
	AgeMS  int64 `json:"age_ms"`
}

type rowsParams struct {
	// After holds the newest row version that the asking host knows of each table that it asks for.
	After map[string]int64 `json:"after"`
}

type rowsResult struct {
	Rows   map[string][]lentilproxy.Row `json:"rows"`
	Proofs map[string]proof             `json:"proofs"`
}

// compare takes in a peer's proofs about tables that this host knows as well, and asks for the rows of the others.
func (control *control) compare(now, askedAt time.Time, peer *peerState, proofs map[string]proof) {
	params := rowsParams{After: map[string]int64{}}
	for _, table := range control.tables() {
		known, found := proofs[table.table]
		switch {
		case !found:
		case known.Newest > table.NewestRowVersion():
			if !table.pulling && now.Sub(table.pulledAt) >= table.pullInterval {
				table.pulling, table.pulledAt = true, now
				params.After[table.table] = table.NewestRowVersion()
			}
		case known.AgeMS >= 0:
			control.took(now, askedAt.Add(-time.Duration(known.AgeMS)*time.Millisecond), table, false)
		}
	}
	if len(params.After) > 0 {
		go control.pull(peer, params)
	}
}

// compareNewest asks a peer for rows that it has announced.
func (control *control) compareNewest(now time.Time, peer *peerState, newest map[string]int64) {
	proofs := map[string]proof{}
	for table, version := range newest {
		// What a message says of its age cannot be told, as it may have been under way for long.
		proofs[table] = proof{Newest: version, AgeMS: -1}
	}
	control.compare(now, time.Time{}, peer, proofs)
}

// pull asks a peer for rows.
func (control *control) pull(peer *peerState, params rowsParams) {
	coordinator := control.coordinator
	ctx, cancel := context.WithTimeout(coordinator.ctx, peerTimeout)
	defer cancel()
	askedAt := clock.Now()
	var result rowsResult
	err := coordinator.peers.Call(ctx, peer.address, methodRows, params, &result)
	coordinator.post(func(now time.Time) {
		for _, table := range control.tables() {
			if _, asked := params.After[table.table]; asked {
				table.pulling = false
			}
		}
		if err != nil {
			return
		}
		for _, table := range control.tables() {
			provenAt := table.provenAt
			if known := result.Proofs[table.table]; known.AgeMS >= 0 && known.Newest > 0 {
				provenAt = askedAt.Add(-time.Duration(known.AgeMS) * time.Millisecond)
			}
			rows, asked := result.Rows[table.table]
			if !asked {
				continue
			}
			changed := table.Merge(rows)
			if changed && table.table != control.fleet.table {
				coordinator.log.Info("rows from a peer", "peer", peer.name, "table", table.table, "rows", len(rows), "version", table.NewestRowVersion())
			}
			control.took(now, provenAt, table, changed)
		}
	})
}

// proofs returns what this host can prove of its mirrors.
func (control *control) proofs(now time.Time) map[string]proof {
	proofs := map[string]proof{}
	for _, table := range control.tables() {
		age := int64(-1)
		if !table.provenAt.IsZero() {
			// Rounded up, so that no proof becomes younger by being told.
			age = now.Sub(table.provenAt).Milliseconds() + 1
		}
		proofs[table.table] = proof{Newest: table.NewestRowVersion(), AgeMS: age}
	}
	return proofs
}

func (control *control) rowsSince(params rowsParams) rowsResult {
	var result rowsResult
	control.coordinator.do(func(now time.Time) {
		result = rowsResult{Rows: map[string][]lentilproxy.Row{}, Proofs: control.proofs(now)}
		for _, table := range control.tables() {
			if after, asked := params.After[table.table]; asked {
				result.Rows[table.table] = table.Since(after)
			}
		}
	})
	return result
}
