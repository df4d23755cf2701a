package mirror

import (
	"fmt"
	"testing"

	"lentilproxy"

	"github.com/cespare/xxhash/v2"
	"pgregory.net/rapid"
)

// proofHost is a host that reads the store, and the proofs and rows of its peers.
type proofHost struct {
	mirror *Mirror
	// after is the version of the host's last own read, and provenTo the version of the store up to which the mirror is proven to
	// contain all changes. The latter is known to the test only: hosts have the times of proofs instead.
	after    int64
	provenTo int64
}

// sentProof is a proof of a host, with rows after a version, that arrives later.
type sentProof struct {
	proof    Proof
	provenTo int64
	page     lentilproxy.Page
	whole    bool
	after    int64
}

func relevantContent(row lentilproxy.Row) uint64 { return xxhash.Sum64(row.Value[:1]) }

// writeContent writes a row whose first byte is relevant, and the other ones are not.
func (modelStore *modelStore) writeContent(key string, relevant byte) {
	modelStore.write(key, false)
	value := []byte(fmt.Sprintf("%c%d", relevant, modelStore.version()))
	row := lentilproxy.Row{Key: key, Version: modelStore.version(), Value: value}
	modelStore.states[len(modelStore.states)-1][key], modelStore.changes[len(modelStore.changes)-1] = row, row
}

// latest keeps only the newest row of each key, as stores do whose feed contains no intermediate versions.
func latest(page lentilproxy.Page) lentilproxy.Page {
	newest := map[string]int64{}
	for _, row := range page.Rows {
		newest[row.Key] = row.Version
	}
	kept := lentilproxy.Page{Version: page.Version}
	for _, row := range page.Rows {
		if newest[row.Key] == row.Version {
			kept.Rows = append(kept.Rows, row)
		}
	}
	return kept
}

// stateAt returns the relevant content of a row as of a version of the store, or 0 if there is none.
func (modelStore *modelStore) contentAt(key string, version int64) byte {
	if version == 0 {
		return 0
	}
	row, found := modelStore.states[version-1][key]
	if !found {
		return 0
	}
	return row.Value[0]
}

// lacks returns a key whose relevant content in the mirror was in the store only before the version up to which the host is proven.
func (host *proofHost) lacks(store *modelStore) (string, bool) {
	for number := range 4 {
		key, held := fmt.Sprint(number), byte(0)
		if row, found := host.mirror.Rows()[key]; found && !row.Deleted {
			held = row.Value[0]
		}
		current := false
		for version := host.provenTo; version <= store.version(); version++ {
			current = current || store.contentAt(key, version) == held
		}
		if !current {
			return key, true
		}
	}
	return "", false
}

// Guards against proofs that hide a change: a host accepts a peer's proof for a newer version of the store without rows, although
// its own content differs. Rows are deleted, change and change back between two reads, are relevant for one host and not for another
// one with an earlier state, and arrive through scans, changes, and peers; proofs and rows arrive late. The feed of the store has
// all versions of a row, or only the newest one.
func TestProofsWithoutRowsHold(t *testing.T) {
	accepted, refreshed := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		store := &modelStore{}
		store.writeContent("0", 'a')
		onlyLatest := rapid.Bool().Draw(t, "only latest")
		hosts := make([]*proofHost, 3)
		for index := range hosts {
			hosts[index] = &proofHost{mirror: New(WithContent(relevantContent))}
		}
		var sent []sentProof
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			host := hosts[rapid.IntRange(0, 2).Draw(t, "host")]
			key := fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "key"))
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0, 1:
				store.writeContent(key, byte(rapid.IntRange('a', 'b').Draw(t, "relevant")))
			case 2:
				store.writeContent(key, max('a', store.contentAt(key, store.version()))) // a heartbeat
			case 3:
				store.write(key, true)
			case 4:
				// A scan in two pages: rows of the second one may be newer.
				page := store.scan(store.version())
				host.after, host.provenTo = page.Version, max(host.provenTo, page.Version)
				page.Rows = nil
				first := store.states[page.Version-1]
				store.writeContent(key, byte(rapid.IntRange('a', 'b').Draw(t, "relevant")))
				for number := range 4 {
					state := store.states[store.version()-1]
					if number < 2 {
						state = first
					}
					if row, found := state[fmt.Sprint(number)]; found {
						page.Rows = append(page.Rows, row)
					}
				}
				host.mirror.MergeWhole(page)
			case 5, 6:
				if host.mirror.AsOf() == 0 {
					continue
				}
				page := store.since(max(host.after, host.mirror.AsOf()), store.version())
				if onlyLatest {
					page = latest(page)
				}
				host.mirror.Apply(page)
				host.after, host.provenTo = page.Version, max(host.provenTo, page.Version)
			case 7:
				message := sentProof{proof: host.mirror.Proof(), provenTo: host.provenTo, after: hosts[rapid.IntRange(0, 2).Draw(t, "to")].mirror.CompleteTo()}
				message.page, message.whole = host.mirror.Since(message.after)
				sent = append(sent, message)
			default:
				if len(sent) == 0 {
					continue
				}
				message := sent[rapid.IntRange(0, len(sent)-1).Draw(t, "message")]
				proven := host.mirror.Confirm(message.proof)
				if proven {
					accepted++
				} else if host.mirror.Lacks(message.proof) && message.after <= host.mirror.CompleteTo() {
					_, proven = host.mirror.MergeProven(message.page, message.whole, message.proof)
				}
				if proven {
					if message.provenTo > host.provenTo {
						refreshed++
					}
					host.provenTo = max(host.provenTo, message.provenTo)
				}
			}
			for index, host := range hosts {
				if key, found := host.lacks(store); found {
					t.Fatalf("host %d is proven up to %d of %d and has an older content of %s", index, host.provenTo, store.version(), key)
				}
			}
		}
	})
	if accepted == 0 || refreshed == 0 {
		t.Fatalf("%d proofs accepted without rows, %d proofs newer; the test checks nothing", accepted, refreshed)
	}
}
