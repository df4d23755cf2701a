package gossip

import (
	"iter"
	"slices"
)

const (
	// keptDeletions is the number of revisions for which a record knows what was deleted. Receivers that are further behind get the
	// whole record.
	keptDeletions = 4096
	// minLog is the length of the log of changes below which it is not compacted.
	minLog = 256
)

// Record is a set of values by key that lists its changes since an earlier revision. Changes are absolute values: a receiver that has
// the record as of any revision between the base and the end of a list of changes has it as of the end after it has applied them. It is
// not safe for concurrent use.
type Record[K, V comparable] struct {
	revision int64
	entries  map[K]entry[V]
	// log has the keys in the order of their changes. Only the last change of a key counts.
	log []logged[K]
	// forgotten is the last revision whose deletion is no longer known.
	forgotten int64
	deleted   int
}

type entry[V comparable] struct {
	value    V
	revision int64
	deleted  bool
}

type logged[K comparable] struct {
	key      K
	revision int64
}

// NewRecord returns an empty record.
func NewRecord[K, V comparable]() *Record[K, V] { return &Record[K, V]{entries: map[K]entry[V]{}} }

// Revision returns the number of changes so far.
func (record *Record[K, V]) Revision() int64 { return record.revision }

// All returns the keys and their values.
func (record *Record[K, V]) All() iter.Seq2[K, V] {
	return func(yield func(K, V) bool) {
		for key, known := range record.entries {
			if !known.deleted && !yield(key, known.value) {
				return
			}
		}
	}
}

// Set sets the value of a key.
func (record *Record[K, V]) Set(key K, content V) {
	if known, found := record.entries[key]; found && !known.deleted && known.value == content {
		return
	}
	record.change(key, entry[V]{value: content})
}

// Delete deletes a key.
func (record *Record[K, V]) Delete(key K) {
	if known, found := record.entries[key]; found && !known.deleted {
		record.change(key, entry[V]{deleted: true})
	}
}

func (record *Record[K, V]) change(key K, changed entry[V]) {
	if record.entries[key].deleted {
		record.deleted--
	}
	if changed.deleted {
		record.deleted++
	}
	record.revision++
	changed.revision = record.revision
	record.entries[key] = changed
	record.log = append(record.log, logged[K]{key: key, revision: record.revision})
	if len(record.log) >= minLog && len(record.log) > 2*len(record.entries) || record.deleted > keptDeletions {
		record.compact()
	}
}

// compact drops changes that later ones have replaced, and old deletions.
func (record *Record[K, V]) compact() {
	record.log = slices.DeleteFunc(record.log, func(change logged[K]) bool {
		known := record.entries[change.key]
		if known.revision != change.revision {
			return true
		}
		if !known.deleted || change.revision > record.revision-keptDeletions/2 {
			return false
		}
		delete(record.entries, change.key)
		record.deleted--
		record.forgotten = max(record.forgotten, change.revision)
		return true
	})
}

// Change is the value that a key has since a change, unless it was deleted.
type Change[K, V comparable] struct {
	Key     K
	Value   V
	Deleted bool
}

// Base returns the revision since which a receiver with an earlier revision needs the changes: the earlier one or, if deletions since
// then are no longer known, 0 for the whole record.
func (record *Record[K, V]) Base(revision int64) int64 {
	if revision < record.forgotten || revision > record.revision {
		return 0
	}
	return revision
}

// Since returns up to a number of changes since a base, in their order, and the revision that a receiver has after them.
func (record *Record[K, V]) Since(base int64, most int) (changes []Change[K, V], end int64) {
	start, _ := slices.BinarySearchFunc(record.log, base+1, func(change logged[K], revision int64) int {
		return int(change.revision - revision)
	})
	for _, change := range record.log[start:] {
		known := record.entries[change.key]
		if known.revision != change.revision || known.deleted && base == 0 {
			continue
		}
		if len(changes) >= most {
			return changes, changes[len(changes)-1].revision(record)
		}
		changes = append(changes, Change[K, V]{Key: change.key, Value: known.value, Deleted: known.deleted})
	}
	return changes, record.revision
}

func (change Change[K, V]) revision(record *Record[K, V]) int64 {
	return record.entries[change.Key].revision
}
