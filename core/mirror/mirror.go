// Package mirror maintains a host's copy of one table of the store, and decides which hosts read the table.
//
// A host's copy is proven as of a point in time if it is known to contain all relevant changes that the store had made by
// then. A host proves its copy by reading the store, or by the proof of a peer whose copy has the same relevant content:
// what the peer's copy contains, this one contains too.
package mirror

import (
	"sort"

	"lentilproxy"

	"github.com/cespare/xxhash/v2"
)

// maxTombstones bounds the tombstones. They prevent a late response from restoring a deleted row.
const maxTombstones = 2000

// Mirror is a copy of one table. A row is never replaced by an older version. It is not safe for concurrent use.
type Mirror struct {
	rows map[string]lentilproxy.Row
	// contents holds the relevant content of each row that is not deleted. It is empty if each version of a row is relevant.
	contents   map[string]content
	tombstones int
	// completeTo is the version up to which the mirror has all relevant changes. Rows may be newer: a scan takes a while, and its
	// later pages have rows that changed after the first one, while other such rows are missing.
	completeTo int64
	// asOf is the version of the store as of which the mirror was last proven.
	asOf int64
	// digest is the sum of the hashes of the relevant content of all rows.
	digest uint64
	// revision counts the relevant changes of rows.
	revision int64
	// historySince is the version after which the mirror has all relevant changes, including deletions. A scan does not contain
	// the rows that were deleted before it.
	historySince int64
	// contentOf returns a hash of the relevant content of a row, or is nil if each version of a row is relevant.
	contentOf func(row lentilproxy.Row) uint64
}

// content is the relevant content of a row.
type content struct {
	hash uint64
	// changedAt is the version of the row when its relevant content was last seen to change.
	changedAt int64
}

// Option configures a mirror.
type Option func(*Mirror)

// WithContent sets the function that returns a hash of the relevant content of a row. A row whose hash has not changed only gets
// its new version. Without it, each version of a row is relevant.
func WithContent(contentOf func(row lentilproxy.Row) uint64) Option {
	return func(mirror *Mirror) { mirror.contentOf = contentOf }
}

// New returns an empty mirror.
func New(options ...Option) *Mirror {
	mirror := &Mirror{rows: map[string]lentilproxy.Row{}, contents: map[string]content{}}
	for _, option := range options {
		option(mirror)
	}
	return mirror
}

// CompleteTo returns the version of a change or of a scan up to which the mirror has all relevant changes.
func (mirror *Mirror) CompleteTo() int64 { return mirror.completeTo }

// AsOf returns the version of the store as of which the mirror was last proven, or 0.
func (mirror *Mirror) AsOf() int64 { return mirror.asOf }

// Revision returns a number that increases whenever the relevant content of a row changes.
func (mirror *Mirror) Revision() int64 { return mirror.revision }

// Rows returns the rows by key, including tombstones of deleted rows. The caller must not change them.
func (mirror *Mirror) Rows() map[string]lentilproxy.Row { return mirror.rows }

// Proof is what a mirror was last proven to contain.
type Proof struct {
	// AsOf is the version of the store as of which the mirror was proven.
	AsOf int64
	// CompleteTo is the newest relevant change up to which the mirror has all.
	CompleteTo int64
	// Digest identifies the relevant content of all rows.
	Digest uint64
}

// Proof returns what the mirror was last proven to contain.
func (mirror *Mirror) Proof() Proof {
	return Proof{AsOf: mirror.asOf, CompleteTo: mirror.completeTo, Digest: mirror.digest}
}

// Confirm applies the proof of a peer's mirror. It reports whether this mirror has the same relevant content, and thus is proven as
// of the same time as the peer's.
//
// Versions do not suffice for this. A row that was changed and changed back between two reads of the peer counts as unchanged there,
// while a host that read in between has the other content, and is complete up to a newer change than the peer.
func (mirror *Mirror) Confirm(proof Proof) bool {
	if proof.Digest != mirror.digest {
		return false
	}
	mirror.asOf = max(mirror.asOf, proof.AsOf)
	mirror.completeTo = max(mirror.completeTo, proof.CompleteTo)
	return true
}

// Lacks reports whether a peer with this proof has newer content than the mirror.
func (mirror *Mirror) Lacks(proof Proof) bool {
	return proof.Digest != mirror.digest && proof.AsOf > mirror.asOf
}

// Apply applies the changes that the store made after a version up to which the mirror was complete. It reports whether the
// relevant content of a row changed.
func (mirror *Mirror) Apply(page lentilproxy.Page) bool {
	revision := mirror.revision
	newest := mirror.merge(page)
	mirror.completeTo, mirror.asOf = max(mirror.completeTo, newest), max(mirror.asOf, page.Version)
	return mirror.revision != revision
}

// MergeWhole applies the whole table from a scan, or from a peer that is complete up to the page's version. Rows that the page
// lacks were deleted, unless their version is newer. It reports whether the relevant content of a row changed.
func (mirror *Mirror) MergeWhole(page lentilproxy.Page) bool {
	revision := mirror.revision
	mirror.mergeWhole(page)
	mirror.completeTo, mirror.asOf = max(mirror.completeTo, page.Version), max(mirror.asOf, page.Version)
	return mirror.revision != revision
}

func (mirror *Mirror) mergeWhole(page lentilproxy.Page) {
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
	mirror.merge(removed)
	mirror.merge(page)
	mirror.historySince = max(mirror.historySince, page.Version)
}

// Merge applies the rows of a peer that is complete up to the page's version, and that sent all its rows that changed after a
// version up to which this mirror is complete. Other rows are unchanged. It reports whether the relevant content of a row changed.
func (mirror *Mirror) Merge(page lentilproxy.Page) bool {
	revision := mirror.revision
	mirror.merge(page)
	mirror.completeTo = max(mirror.completeTo, page.Version)
	return mirror.revision != revision
}

// MergeProven applies the rows of a peer, which may be all of them, and the peer's proof. It reports whether the relevant content
// of a row changed, and whether the mirror is proven as of the time of the proof. If it is not, a row differs in a way that the rows
// do not show, and the host has to read the store.
func (mirror *Mirror) MergeProven(page lentilproxy.Page, whole bool, proof Proof) (changed, proven bool) {
	revision := mirror.revision
	if whole {
		mirror.mergeWhole(page)
	} else {
		mirror.merge(page)
	}
	return mirror.revision != revision, mirror.Confirm(proof)
}

// merge applies the rows of a page and returns the version of the newest relevant one, or 0.
func (mirror *Mirror) merge(page lentilproxy.Page) int64 {
	newest, ignored := int64(0), int64(0)
	if page.Version < mirror.completeTo {
		// The page was read earlier. Its rows up to completeTo may have been deleted since, without a tombstone in the mirror.
		ignored = mirror.completeTo
	}
	for _, row := range page.Rows {
		if row.Version <= ignored {
			continue
		}
		mirror.mergeRow(row)
		if mirror.content(row).changedAt == row.Version {
			newest = max(newest, row.Version)
		}
	}
	if mirror.tombstones > maxTombstones {
		mirror.pruneTombstones()
	}
	return newest
}

// mergeRow applies a row, unless it is outdated.
func (mirror *Mirror) mergeRow(row lentilproxy.Row) {
	known, found := mirror.rows[row.Key]
	if found && known.Version >= row.Version {
		return
	}
	live := found && !known.Deleted
	before := mirror.content(known)
	mirror.rows[row.Key] = row
	if row.Deleted {
		if live {
			mirror.digest -= hashRow(row.Key, before.hash)
			delete(mirror.contents, row.Key)
		}
		if !found || !known.Deleted {
			mirror.tombstones++
		}
		mirror.revision++
		return
	}
	current := content{hash: uint64(row.Version), changedAt: row.Version}
	if mirror.contentOf != nil {
		current.hash = mirror.contentOf(row)
		if live && before.hash == current.hash {
			return
		}
		mirror.contents[row.Key] = current
	}
	if live {
		mirror.digest -= hashRow(row.Key, before.hash)
	} else if found {
		mirror.tombstones--
	}
	mirror.digest += hashRow(row.Key, current.hash)
	mirror.revision++
}

// content returns the relevant content of a row of the mirror.
func (mirror *Mirror) content(row lentilproxy.Row) content {
	if mirror.contentOf == nil || row.Deleted {
		return content{hash: uint64(row.Version), changedAt: row.Version}
	}
	return mirror.contents[row.Key]
}

// hashRow returns the hash of a row with a hash of its relevant content.
func hashRow(key string, hash uint64) uint64 {
	encoded := make([]byte, 0, len(key)+8)
	for shift := 0; shift < 64; shift += 8 {
		encoded = append(encoded, byte(hash>>shift))
	}
	return xxhash.Sum64(append(encoded, key...))
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

// Since returns the rows whose relevant content changed after a version, in the order of their versions, and the version up to
// which they are complete. If the mirror lacks a part of these changes, Since returns the whole table instead, without deleted rows.
func (mirror *Mirror) Since(version int64) (page lentilproxy.Page, whole bool) {
	page.Version, whole = mirror.completeTo, version < mirror.historySince
	for _, row := range mirror.rows {
		changedAt := mirror.content(row).changedAt
		if (whole && !row.Deleted) || (!whole && changedAt > version) {
			page.Rows = append(page.Rows, row)
		}
	}
	sort.Slice(page.Rows, func(left, right int) bool { return page.Rows[left].Version < page.Rows[right].Version })
	return page, whole
}
