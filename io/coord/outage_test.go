package coord

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"lentilproxy"
	"lentilproxy/core/mirror"

	"github.com/matryer/is"
)

// outageTest is a coordinator at times far after those of its own reads.
type outageTest struct {
	*control
	now time.Time
}

// onOutage runs a test on a coordinator that has read one server and whose read of a table has then failed.
func onOutage(t *testing.T, failed func(control *control) *tableMirror, run func(test *outageTest)) {
	t.Helper()
	coordinator := newIdleCoordinator(t)
	coordinator.do(func(now time.Time) {
		test := &outageTest{control: coordinator.traffic.control, now: now.Add(time.Hour)}
		test.read(test.servers, lentilproxy.Row{Key: "s1", Version: 10}, lentilproxy.Row{Key: "s2", Version: 11})
		test.now = test.now.Add(time.Second)
		test.recordReadFailure(test.now, failed(test.control), test.now.Add(-10*time.Millisecond), errors.New("no response"))
		run(test)
	})
}

// read applies the changes of a table that this host has read itself.
func (test *outageTest) read(table *tableMirror, rows ...lentilproxy.Row) {
	page := lentilproxy.Page{Rows: rows, Version: table.AsOf() + 1}
	if len(rows) > 0 {
		page.Version = rows[len(rows)-1].Version
	}
	test.applyPage(test.now, test.now.Add(-time.Millisecond), table, page, tableRead{after: table.AsOf()})
}

// proven applies the proof of a peer whose mirror of a table has the same content and was read a moment ago.
func (test *outageTest) proven(table *tableMirror) {
	proofs := map[string]proof{test.proofName(table): {Newest: table.CompleteTo(), AgeMS: 20, contentVersion: table.contentVersion()}}
	test.compareProofs(test.now, test.now.Add(-5*time.Millisecond), &peerState{name: "host-2"}, proofs)
}

// pulled applies a row of a peer, and the peer's proof.
func (test *outageTest) pulled(table *tableMirror, row lentilproxy.Row) {
	peer := mirror.New(mirror.WithContent(test.registrationHash))
	page, _ := table.Since(0)
	peer.MergeWhole(page)
	peer.Apply(lentilproxy.Page{Rows: []lentilproxy.Row{row}, Version: row.Version})
	content := peer.Proof()
	result := rowsResult{
		Rows:   map[string][]lentilproxy.Row{table.name: {row}},
		Proofs: map[string]proof{table.name: {Newest: content.CompleteTo, AgeMS: 20, contentVersion: contentVersion{AsOf: content.AsOf, Digest: formatDigest(content.Digest)}}},
	}
	test.endPull(test.now, test.now.Add(-5*time.Millisecond), &peerState{name: "host-2"}, rowsParams{After: map[string]int64{table.name: 0}}, result, nil)
}

func (test *outageTest) used(server string) bool {
	_, found := test.coordinator.View().Servers[server]
	return found
}

// Guards against a server that gets requests for seconds after its registration was removed, since a host took its own first read, long
// after an outage, for the end of the outage: the reads of peers had ended it before.
func TestRemovedServersAreDroppedLongAfterAnOutage(t *testing.T) {
	tables := map[string]func(control *control) *tableMirror{
		"servers":   func(control *control) *tableMirror { return control.servers },
		"operators": func(control *control) *tableMirror { return control.operators },
		"fleet":     func(control *control) *tableMirror { return control.fleet },
	}
	for failed, failedTable := range tables {
		for ended, endedTable := range tables {
			for way, end := range map[string]func(test *outageTest){
				"read":  func(test *outageTest) { test.read(endedTable(test.control)) },
				"proof": func(test *outageTest) { test.proven(endedTable(test.control)) },
				"renewal": func(test *outageTest) {
					test.applyRenewal(test.now.Add(-time.Millisecond), test.now, lentilproxy.CommitResult{Committed: true, Version: 12}, nil)
				},
			} {
				t.Run(fmt.Sprintf("%s failed, %s of %s", failed, way, ended), func(t *testing.T) {
					is := is.New(t)
					onOutage(t, failedTable, func(test *outageTest) {
						test.now = test.now.Add(4 * time.Second)
						end(test)
						test.now = test.now.Add(time.Minute)
						test.read(test.servers, lentilproxy.Row{Key: "s1", Version: 20, Deleted: true})
						is.True(!test.used("s1"))
						is.True(test.used("s2"))
					})
				})
			}
		}
	}
	t.Run("servers failed, a row of a peer", func(t *testing.T) {
		is := is.New(t)
		onOutage(t, tables["servers"], func(test *outageTest) {
			test.now = test.now.Add(4 * time.Second)
			test.pulled(test.servers, lentilproxy.Row{Key: "s3", Version: 15})
			is.True(test.used("s3"))
			test.now = test.now.Add(time.Minute)
			test.read(test.servers, lentilproxy.Row{Key: "s1", Version: 20, Deleted: true})
			is.True(!test.used("s1"))
		})
	})
}

// Guards against sound servers that are dropped because their registrations expired during an outage of whose end a peer told, and
// against the deletion of their lease holders' rows, which others could claim at once.
func TestLapsedServersAreKeptWhoeverReadsFirst(t *testing.T) {
	servers := func(control *control) *tableMirror { return control.servers }
	lapsed := lentilproxy.Row{Key: "s1", Version: 20, Deleted: true}
	for way, learn := range map[string]func(test *outageTest){
		"read":             func(test *outageTest) { test.read(test.servers, lapsed) },
		"a row of a peer":  func(test *outageTest) { test.pulled(test.servers, lapsed) },
		"proof, then read": func(test *outageTest) { test.proven(test.fleet); test.read(test.servers, lapsed) },
	} {
		t.Run(way, func(t *testing.T) {
			is := is.New(t)
			onOutage(t, servers, func(test *outageTest) {
				test.now = test.now.Add(4 * time.Second)
				learn(test)
				is.True(test.used("s1"))
				is.True(test.isRegistered("s1"))
				test.now = test.now.Add(mirror.LapseGrace)
				test.publish(test.now)
				is.True(!test.used("s1"))
				is.True(!test.isRegistered("s1"))
			})
		})
	}
}
