package mirror

import (
	"fmt"
	"slices"
	"sort"
	"testing"

	"lentilproxy"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// modelStore is a store that keeps every version of its table.
type modelStore struct {
	states  []map[string]lentilproxy.Row
	changes []lentilproxy.Row
}

func (modelStore *modelStore) version() int64 { return int64(len(modelStore.states)) }

func (modelStore *modelStore) write(key string, deleted bool) {
	state := map[string]lentilproxy.Row{}
	if len(modelStore.states) > 0 {
		for known, row := range modelStore.states[len(modelStore.states)-1] {
			state[known] = row
		}
	}
	row := lentilproxy.Row{Key: key, Version: modelStore.version() + 1, Deleted: deleted}
	if deleted {
		delete(state, key)
	} else {
		state[key] = row
	}
	modelStore.states = append(modelStore.states, state)
	modelStore.changes = append(modelStore.changes, row)
}

func (modelStore *modelStore) scan(version int64) lentilproxy.Page {
	page := lentilproxy.Page{Version: version}
	if version > 0 {
		for _, row := range modelStore.states[version-1] {
			page.Rows = append(page.Rows, row)
		}
	}
	return page
}

func (modelStore *modelStore) since(after, version int64) lentilproxy.Page {
	page := lentilproxy.Page{Version: version}
	for _, change := range modelStore.changes {
		if change.Version > after && change.Version <= version {
			page.Rows = append(page.Rows, change)
		}
	}
	return page
}

// Scans, changes and rows from peers may arrive late and more than once. No row may return to an older version, and
// after a scan of the newest version the mirror must equal the store.
func TestRowsNeverRegress(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store, mirror, peer := &modelStore{}, New(), New()
		seen := map[string]int64{}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0, 1:
				store.write(fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "key")), rapid.IntRange(0, 2).Draw(t, "deleted") == 0)
			case 2:
				mirror.MergeWhole(store.scan(rapid.Int64Range(0, store.version()).Draw(t, "version")))
			case 3:
				after := rapid.Int64Range(0, store.version()).Draw(t, "after")
				mirror.Apply(store.since(after, rapid.Int64Range(after, store.version()).Draw(t, "version")))
			case 4:
				peer.MergeWhole(store.scan(store.version()))
				pull(mirror, peer, rapid.Int64Range(0, store.version()).Draw(t, "since"))
			}
			for key, row := range mirror.Rows() {
				if row.Version < seen[key] {
					t.Fatalf("row %s regressed from version %d to %d", key, seen[key], row.Version)
				}
				seen[key] = row.Version
			}
		}
		mirror.MergeWhole(store.scan(store.version()))
		if store.version() > 0 && !equalsStore(mirror, store) {
			t.Fatalf("after a scan the mirror has the rows %v, the store %v", mirror.Rows(), store.states[store.version()-1])
		}
	})
}

// pull applies the rows of a peer that changed after a version.
func pull(mirror, peer *Mirror, after int64) {
	page, whole := peer.Since(after)
	if whole {
		mirror.MergeWhole(page)
		return
	}
	mirror.Merge(page)
}

// equalsStore reports whether the rows of a mirror are those of the newest version of a store.
func equalsStore(mirror *Mirror, store *modelStore) bool {
	present := 0
	for key, row := range mirror.Rows() {
		if row.Deleted {
			continue
		}
		present++
		if store.states[store.version()-1][key].Version != row.Version {
			return false
		}
	}
	return present == len(store.states[store.version()-1])
}

// A host that has just started has scanned the table, so it knows nothing of rows that were deleted before. Hosts that
// get rows from it must not keep these.
func TestDeletionsBeforeAScanReachPeers(t *testing.T) {
	for name, later := range map[string]bool{"scan only": false, "and a later change": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			store, mirror, started := &modelStore{}, New(), New()
			store.write("gone", false)
			store.write("kept", false)
			mirror.MergeWhole(store.scan(store.version()))
			store.write("gone", true)
			started.MergeWhole(store.scan(store.version()))
			if later {
				after := store.version()
				store.write("new", false)
				started.Apply(store.since(after, store.version()))
			}
			is.True(started.CompleteTo() > mirror.CompleteTo()) // The host requests the rows.
			pull(mirror, started, mirror.CompleteTo())
			is.True(equalsStore(mirror, store))
		})
	}
}

// reader is a host with a mirror.
type reader struct {
	mirror *Mirror
	// after is the version of the host's last own read.
	after int64
	// scan holds the pages that have been read of a scan in progress, or is nil.
	scan *lentilproxy.Page
	// next is the first key of the next page.
	next string
	// read holds changes that the store has sent and that have not been applied, or is nil.
	read *lentilproxy.Page
}

// readChanges reads or applies the changes after the last own read.
func (reader *reader) readChanges(store *modelStore) {
	if reader.read == nil {
		page := store.since(reader.after, store.version())
		reader.read = &page
		return
	}
	reader.mirror.Apply(*reader.read)
	reader.after, reader.read = reader.read.Version, nil
}

// readPage reads the next page of up to two rows of a scan, and applies the scan after its last page.
func (reader *reader) readPage(store *modelStore) {
	if reader.scan == nil {
		reader.scan, reader.next = &lentilproxy.Page{Version: store.version()}, ""
	}
	rows := store.scan(store.version()).Rows
	sort.Slice(rows, func(left, right int) bool { return rows[left].Key < rows[right].Key })
	rows = slices.DeleteFunc(rows, func(row lentilproxy.Row) bool { return row.Key < reader.next })
	const pageRows = 2
	if len(rows) > pageRows {
		reader.scan.Rows = append(reader.scan.Rows, rows[:pageRows]...)
		reader.next = rows[pageRows].Key
		return
	}
	reader.scan.Rows = append(reader.scan.Rows, rows...)
	reader.mirror.MergeWhole(*reader.scan)
	reader.after, reader.scan = reader.scan.Version, nil
}

// missesChange returns a change up to which the mirror claims to be complete, and which it lacks.
func (reader *reader) missesChange(store *modelStore) (lentilproxy.Row, bool) {
	deletedAt := map[string]int64{}
	for _, change := range store.changes {
		if change.Deleted {
			deletedAt[change.Key] = change.Version
		}
	}
	for _, change := range store.changes {
		version := deletedAt[change.Key]
		if row, found := reader.mirror.Rows()[change.Key]; found && !row.Deleted {
			version = row.Version
		}
		if change.Version <= reader.mirror.CompleteTo() && version < change.Version {
			return change, true
		}
	}
	return lentilproxy.Row{}, false
}

// Guards against mirrors that claim to be complete beyond what they have. A host accepts the proof of a peer that has just read the
// store if the peer is not complete beyond it, and otherwise requests rows first. Its mirror then equals the store, whatever hosts
// have read, missed and passed on before, and however much changed while they scanned the table in pages.
func TestProofsOfPeersHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := &modelStore{}
		store.write("0", false)
		readers := make([]*reader, 3)
		for index := range readers {
			readers[index] = &reader{mirror: New()}
			readers[index].readPage(store)
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			source, other := rapid.IntRange(0, 2).Draw(t, "source"), rapid.IntRange(0, 2).Draw(t, "other")
			from, to := readers[source], readers[other]
			switch event := rapid.IntRange(0, 7).Draw(t, "event"); {
			case event <= 2:
				store.write(fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "key")), rapid.IntRange(0, 2).Draw(t, "deleted") == 0)
			case event == 3:
				readers[source] = &reader{mirror: New()}
				readers[source].readPage(store)
			case from.scan != nil || event == 4 && from.read == nil:
				from.readPage(store)
			case event == 5 || from.read != nil:
				from.readChanges(store)
			default:
				from.readChanges(store)
				from.readChanges(store)
				if from.mirror.CompleteTo() > to.mirror.CompleteTo() {
					pull(to.mirror, from.mirror, to.mirror.CompleteTo())
				}
				if !equalsStore(to.mirror, store) {
					t.Fatal("a host has accepted a proof and lacks a change")
				}
			}
			for index, reader := range readers {
				if change, found := reader.missesChange(store); found {
					t.Fatalf("host %d is complete up to %d and lacks %v", index, reader.mirror.CompleteTo(), change)
				}
			}
		}
	})
}

func TestTombstonesAreBounded(t *testing.T) {
	is := is.New(t)
	mirror := New()
	for version := range int64(3 * maxTombstones) {
		mirror.Apply(lentilproxy.Page{Version: version, Rows: []lentilproxy.Row{{Key: fmt.Sprint(version), Version: version + 1, Deleted: true}}})
	}
	is.True(len(mirror.Rows()) <= maxTombstones+1)
}

// Guards against deleted rows that come back: a host that starts gets the whole table from a peer, without tombstones, while its own
// scan is under way. The scan was read before the deletion, and the host may never read the store again, since its peers prove that
// it is complete.
func TestOutdatedPagesRestoreNoDeletedRows(t *testing.T) {
	for name, apply := range map[string]func(mirror *Mirror, page lentilproxy.Page) bool{
		"scan":    (*Mirror).MergeWhole,
		"changes": (*Mirror).Apply,
		"peer":    (*Mirror).Merge,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			store, mirror := &modelStore{}, New()
			store.write("gone", false)
			store.write("kept", false)
			outdated := store.scan(store.version())
			store.write("gone", true)
			mirror.MergeWhole(store.scan(store.version()))
			is.True(!apply(mirror, outdated))
			is.True(equalsStore(mirror, store))
		})
	}
}
