package mirror

import (
	"fmt"
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

// A host accepts the proof of a peer that has just read the store if the peer has no newer row, and otherwise requests
// rows first. Its mirror then equals the store, whatever hosts have read, missed and passed on before.
func TestProofsOfPeersHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := &modelStore{}
		store.write("0", false)
		type reader struct {
			mirror *Mirror
			// after is the version of the host's last own read.
			after int64
		}
		readers := make([]*reader, 3)
		start := func(index int) {
			readers[index] = &reader{mirror: New(), after: store.version()}
			readers[index].mirror.MergeWhole(store.scan(store.version()))
		}
		for index := range readers {
			start(index)
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			source, other := rapid.IntRange(0, 2).Draw(t, "source"), rapid.IntRange(0, 2).Draw(t, "other")
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0, 1:
				store.write(fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "key")), rapid.Bool().Draw(t, "deleted"))
			case 2:
				start(source)
			default:
				from, to := readers[source], readers[other]
				from.mirror.Apply(store.since(from.after, store.version()))
				from.after = store.version()
				if from.mirror.CompleteTo() > to.mirror.CompleteTo() {
					pull(to.mirror, from.mirror, to.mirror.CompleteTo())
				}
				if !equalsStore(to.mirror, store) {
					t.Fatal("a host has accepted a proof and lacks a change")
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
