package mirror

import (
	"fmt"
	"testing"

	"lentilproxy"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// naive is a store that remembers every version of its table.
type naive struct {
	states  []map[string]lentilproxy.Row
	changes []lentilproxy.Row
}

func (naive *naive) version() int64 { return int64(len(naive.states)) }

func (naive *naive) write(key string, deleted bool) {
	state := map[string]lentilproxy.Row{}
	if len(naive.states) > 0 {
		for known, row := range naive.states[len(naive.states)-1] {
			state[known] = row
		}
	}
	row := lentilproxy.Row{Key: key, Version: naive.version() + 1, Deleted: deleted}
	if deleted {
		delete(state, key)
	} else {
		state[key] = row
	}
	naive.states = append(naive.states, state)
	naive.changes = append(naive.changes, row)
}

func (naive *naive) scan(version int64) lentilproxy.Page {
	page := lentilproxy.Page{Version: version}
	if version > 0 {
		for _, row := range naive.states[version-1] {
			page.Rows = append(page.Rows, row)
		}
	}
	return page
}

func (naive *naive) since(after, version int64) lentilproxy.Page {
	page := lentilproxy.Page{Version: version}
	for _, change := range naive.changes {
		if change.Version > after && change.Version <= version {
			page.Rows = append(page.Rows, change)
		}
	}
	return page
}

// However scans, changes and rows of peers arrive, late and twice, no row goes back, and after a scan of the newest
// version the mirror equals the store.
func TestMirrorNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store, mirror, peer := &naive{}, New(), New()
		seen := map[string]int64{}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0, 1:
				store.write(fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "key")), rapid.IntRange(0, 2).Draw(t, "deleted") == 0)
			case 2:
				mirror.Replace(store.scan(rapid.Int64Range(0, store.version()).Draw(t, "version")))
			case 3:
				after := rapid.Int64Range(0, store.version()).Draw(t, "after")
				mirror.Apply(store.since(after, rapid.Int64Range(after, store.version()).Draw(t, "version")))
			case 4:
				peer.Replace(store.scan(store.version()))
				mirror.Merge(peer.Since(rapid.Int64Range(0, store.version()).Draw(t, "since")))
			}
			for key, row := range mirror.Rows() {
				if row.Version < seen[key] {
					t.Fatalf("row %s went back from %d to %d", key, seen[key], row.Version)
				}
				seen[key] = row.Version
			}
		}
		mirror.Replace(store.scan(store.version()))
		present := 0
		for key, row := range mirror.Rows() {
			if row.Deleted {
				continue
			}
			present++
			if store.states[store.version()-1][key].Version != row.Version {
				t.Fatalf("row %s is %d", key, row.Version)
			}
		}
		if store.version() > 0 && present != len(store.states[store.version()-1]) {
			t.Fatalf("%d rows, the store has %d", present, len(store.states[store.version()-1]))
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
