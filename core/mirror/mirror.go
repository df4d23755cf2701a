// Package mirror maintains a host's copy of one table of the store.
package mirror

import (
	"sort"

	"lentilproxy"
)

// maxTombstones bounds the tombstones. They prevent a late response from restoring a deleted row.
const maxTombstones = 2000

// Mirror is a copy of one table. A row is never replaced by an older version. It is not safe for concurrent use.
type Mirror struct {
	rows       map[string]lentilproxy.Row
	tombstones int
	// version is the version of the newest page that came from the store itself. Changes after it are requested next.
	version int64
	// newestRowVersion is the greatest version of a row or a scan. The mirror contains all changes up to it.
	newestRowVersion int64
	// historySince is the version after which the mirror has all changes, including deletions. A scan does not contain the
	// rows that were deleted before it.
	historySince int64
}

// New returns an empty mirror.
func New() *Mirror { return &Mirror{rows: map[string]lentilproxy.Row{}} }

// Version returns the version of the store up to which the mirror is complete.
func (mirror *Mirror) Version() int64 { return mirror.version }

// NewestRowVersion returns the greatest version of a row or a scan, from the store or from a peer.
func (mirror *Mirror) NewestRowVersion() int64 { return mirror.newestRowVersion }

// Rows returns the rows by key, including tombstones of deleted rows. The caller must not change them.
func (mirror *Mirror) Rows() map[string]lentilproxy.Row { return mirror.rows }

// Apply applies changes from the store. It reports whether a row of the mirror changed.
func (mirror *Mirror) Apply(page lentilproxy.Page) bool {
	changed := mirror.Merge(page.Rows)
	mirror.version = max(mirror.version, page.Version)
	return changed
}

// Replace applies a scan of the whole table. Rows that the scan lacks were deleted before it, unless their version is
// newer than the scan. It reports whether a row of the mirror changed.
func (mirror *Mirror) Replace(page lentilproxy.Page) bool {
	changed := mirror.MergeWhole(page)
	mirror.version = max(mirror.version, page.Version)
	return changed
}

// MergeWhole applies the whole table of a peer as of a version, like a scan. It reports whether a row of the mirror
// changed.
func (mirror *Mirror) MergeWhole(page lentilproxy.Page) bool {
	present := make(map[string]struct{}, len(page.Rows))
	for _, row := range page.Rows {
		present[row.Key] = struct{}{}
	}
	var removed []lentilproxy.Row
	for key, row := range mirror.rows {
		if _, found := present[key]; !found && !row.Deleted && row.Version <= page.Version {
			removed = append(removed, lentilproxy.Row{Key: key, Version: page.Version, Deleted: true})
		}
	}
	changed := mirror.Merge(removed)
	changed = mirror.Merge(page.Rows) || changed
	mirror.newestRowVersion = max(mirror.newestRowVersion, page.Version)
	mirror.historySince = max(mirror.historySince, page.Version)
	return changed
}

// Merge applies rows from a peer. Rows that the peer did not send are unchanged. It reports whether a row of the mirror
// changed.
func (mirror *Mirror) Merge(rows []lentilproxy.Row) bool {
	changed := false
	for _, row := range rows {
		known, found := mirror.rows[row.Key]
		if found && known.Version >= row.Version {
			continue
		}
		if found && known.Deleted {
			mirror.tombstones--
		}
		if row.Deleted {
			mirror.tombstones++
		}
		mirror.rows[row.Key] = row
		mirror.newestRowVersion = max(mirror.newestRowVersion, row.Version)
		changed = true
	}
	if mirror.tombstones > maxTombstones {
		mirror.pruneTombstones()
	}
	return changed
}

// pruneTombstones drops the older half of the tombstones.
func (mirror *Mirror) pruneTombstones() {
	var versions []int64
	for _, row := range mirror.rows {
		if row.Deleted {
			versions = append(versions, row.Version)
		}
	}
	sort.Slice(versions, func(left, right int) bool { return versions[left] < versions[right] })
	limit := versions[len(versions)/2]
	mirror.historySince = max(mirror.historySince, limit)
	for key, row := range mirror.rows {
		if row.Deleted && row.Version <= limit {
			delete(mirror.rows, key)
			mirror.tombstones--
		}
	}
}

// Since returns the rows that changed after a version, in the order of their versions. If the mirror lacks a part of these
// changes, Since returns the whole table instead, without deleted rows.
func (mirror *Mirror) Since(version int64) (page lentilproxy.Page, whole bool) {
	page.Version, whole = mirror.newestRowVersion, version < mirror.historySince
	for _, row := range mirror.rows {
		if (whole && !row.Deleted) || (!whole && row.Version > version) {
			page.Rows = append(page.Rows, row)
		}
	}
	sort.Slice(page.Rows, func(left, right int) bool { return page.Rows[left].Version < page.Rows[right].Version })
	return page, whole
}
