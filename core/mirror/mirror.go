// Package mirror keeps a host's copy of one table of the store.
package mirror

import (
	"sort"

	"lentilproxy"
)

// maxTombstones bounds the deleted rows that are remembered, so that a late answer does not bring them back.
const maxTombstones = 2000

// Mirror is a copy of one table. No row ever goes back to an older version. It is not safe for concurrent use.
type Mirror struct {
	rows    map[string]lentilproxy.Row
	deleted int
	// version is that of the newest page from the store itself; changes are asked for from there.
	version int64
	// newest is the greatest version of a row.
	newest int64
}

// New returns an empty mirror.
func New() *Mirror { return &Mirror{rows: map[string]lentilproxy.Row{}} }

// Version returns the version of the store up to which the mirror is complete.
func (mirror *Mirror) Version() int64 { return mirror.version }

// Newest returns the greatest version of a row, from the store or from a peer.
func (mirror *Mirror) Newest() int64 { return mirror.newest }

// Rows returns the rows by key, deleted ones among them. The caller must not change them.
func (mirror *Mirror) Rows() map[string]lentilproxy.Row { return mirror.rows }

// Apply takes changes in. It says whether a row has changed.
func (mirror *Mirror) Apply(page lentilproxy.Page) bool {
	changed := mirror.Merge(page.Rows)
	mirror.version = max(mirror.version, page.Version)
	return changed
}

// Replace takes a scan of the whole table in. Rows that it lacks were deleted before it was made.
func (mirror *Mirror) Replace(page lentilproxy.Page) bool {
	present := make(map[string]struct{}, len(page.Rows))
	for _, row := range page.Rows {
		present[row.Key] = struct{}{}
	}
	var gone []lentilproxy.Row
	for key, row := range mirror.rows {
		if _, found := present[key]; !found && !row.Deleted && row.Version <= page.Version {
			gone = append(gone, lentilproxy.Row{Key: key, Version: page.Version, Deleted: true})
		}
	}
	removed := mirror.Merge(gone)
	return mirror.Apply(page) || removed
}

// Merge takes rows of a peer in, which say nothing about rows that they do not name.
func (mirror *Mirror) Merge(rows []lentilproxy.Row) bool {
	changed := false
	for _, row := range rows {
		known, found := mirror.rows[row.Key]
		if found && known.Version >= row.Version {
			continue
		}
		if found && known.Deleted {
			mirror.deleted--
		}
		if row.Deleted {
			mirror.deleted++
		}
		mirror.rows[row.Key] = row
		mirror.newest = max(mirror.newest, row.Version)
		changed = true
	}
	if mirror.deleted > maxTombstones {
		mirror.forget()
	}
	return changed
}

// forget drops the older half of the deleted rows.
func (mirror *Mirror) forget() {
	var versions []int64
	for _, row := range mirror.rows {
		if row.Deleted {
			versions = append(versions, row.Version)
		}
	}
	sort.Slice(versions, func(left, right int) bool { return versions[left] < versions[right] })
	limit := versions[len(versions)/2]
	for key, row := range mirror.rows {
		if row.Deleted && row.Version <= limit {
			delete(mirror.rows, key)
			mirror.deleted--
		}
	}
}

// Since returns the rows that changed after a version, in order.
func (mirror *Mirror) Since(version int64) []lentilproxy.Row {
	var rows []lentilproxy.Row
	for _, row := range mirror.rows {
		if row.Version > version {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(left, right int) bool { return rows[left].Version < rows[right].Version })
	return rows
}
