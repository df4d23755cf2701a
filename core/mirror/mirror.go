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
	// completeTo is the version up to which the mirror has all changes. Rows may be newer: a scan takes a while, and its later
	// pages have rows that changed after the first one, while other such rows are missing.
	completeTo int64
	// revision counts the changes of rows.
	revision int64
	// historySince is the version after which the mirror has all changes, including deletions. A scan does not contain the
	// rows that were deleted before it.
	historySince int64
}

// New returns an empty mirror.
func New() *Mirror { return &Mirror{rows: map[string]lentilproxy.Row{}} }

// CompleteTo returns the version of a change or of a scan up to which the mirror has all changes.
func (mirror *Mirror) CompleteTo() int64 { return mirror.completeTo }

// Revision returns a number that increases whenever a row changes.
func (mirror *Mirror) Revision() int64 { return mirror.revision }

// Rows returns the rows by key, including tombstones of deleted rows. The caller must not change them.
func (mirror *Mirror) Rows() map[string]lentilproxy.Row { return mirror.rows }

// Apply applies the changes that the store made after a version up to which the mirror was complete. Changes that do not
// matter may be missing. It reports whether a row of the mirror changed.
func (mirror *Mirror) Apply(page lentilproxy.Page) bool {
	newest := int64(0)
	for _, row := range page.Rows {
		newest = max(newest, row.Version)
	}
	return mirror.merge(page, newest)
}

// MergeWhole applies the whole table, from a scan or a peer that is complete up to the page's version. Rows that the page
// lacks were deleted, unless their version is newer. It reports whether a row of the mirror changed.
func (mirror *Mirror) MergeWhole(page lentilproxy.Page) bool {
	present := make(map[string]struct{}, len(page.Rows))
	for _, row := range page.Rows {
		present[row.Key] = struct{}{}
	}
	removed := lentilproxy.Page{Version: page.Version}
	for key, row := range mirror.rows {
		if _, found := present[key]; !found && !row.Deleted && row.Version <= page.Version {
			removed.Rows = append(removed.Rows, lentilproxy.Row{Key: key, Version: page.Version, Deleted: true})
		}
	}
	changed := mirror.merge(removed, 0)
	changed = mirror.merge(page, page.Version) || changed
	mirror.historySince = max(mirror.historySince, page.Version)
	return changed
}

// Merge applies the rows of a peer that is complete up to the page's version, and that sent all its rows that changed after a
// version up to which this mirror is complete. Other rows are unchanged. It reports whether a row of the mirror changed.
func (mirror *Mirror) Merge(page lentilproxy.Page) bool { return mirror.merge(page, page.Version) }

// merge applies the rows of a page that is complete up to its version, after which the mirror is complete up to another one.
func (mirror *Mirror) merge(page lentilproxy.Page, completeTo int64) bool {
	changed, ignored := false, int64(0)
	if page.Version < mirror.completeTo {
		// The page was read earlier. Its rows up to completeTo may have been deleted since, without a tombstone in the mirror.
		ignored = mirror.completeTo
	}
	mirror.completeTo = max(mirror.completeTo, completeTo)
	for _, row := range page.Rows {
		known, found := mirror.rows[row.Key]
		if row.Version <= ignored || found && known.Version >= row.Version {
			continue
		}
		if found && known.Deleted {
			mirror.tombstones--
		}
		if row.Deleted {
			mirror.tombstones++
		}
		mirror.rows[row.Key] = row
		mirror.revision++
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

// Since returns the rows that changed after a version, in the order of their versions, and the version up to which they are
// complete. If the mirror lacks a part of these changes, Since returns the whole table instead, without deleted rows.
func (mirror *Mirror) Since(version int64) (page lentilproxy.Page, whole bool) {
	page.Version, whole = mirror.completeTo, version < mirror.historySince
	for _, row := range mirror.rows {
		if (whole && !row.Deleted) || (!whole && row.Version > version) {
			page.Rows = append(page.Rows, row)
		}
	}
	sort.Slice(page.Rows, func(left, right int) bool { return page.Rows[left].Version < page.Rows[right].Version })
	return page, whole
}
