package coord

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"lentilproxy"

	"github.com/matryer/is"
)

// Guards against proofs of another content that count as proofs, and against a rolling update in which hosts of the previous version
// and new ones do not accept each other's proofs.
func TestProofsOfBothVersions(t *testing.T) {
	for name, test := range map[string]struct {
		message string
		proven  bool
		pulls   bool
	}{
		"same content":                 {message: `{"newest": 20, "age_ms": 5, "as_of": 30, "digest": DIGEST}`, proven: true},
		"same content, age unknown":    {message: `{"newest": 20, "age_ms": -1, "as_of": 30, "digest": DIGEST}`},
		"newer content":                {message: `{"newest": 7, "age_ms": 5, "as_of": 30, "digest": "1"}`, pulls: true},
		"older content":                {message: `{"newest": 7, "age_ms": 5, "as_of": 6, "digest": "1"}`},
		"previous version":             {message: `{"newest": 7, "age_ms": 5}`, proven: true},
		"previous version, newer rows": {message: `{"newest": 8, "age_ms": 5}`, pulls: true},
		"previous version, no proof":   {message: `{"newest": 0, "age_ms": -1}`},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			coordinator := newIdleCoordinator(t)
			control := coordinator.traffic.control
			coordinator.do(func(now time.Time) {
				control.operators.MergeWhole(lentilproxy.Page{Version: 7, Rows: []lentilproxy.Row{{Key: "config", Version: 7}}})
				control.operators.provenAt, control.operators.pulling, control.operators.pulledAt = now.Add(-time.Second), false, time.Time{}
				digest, err := json.Marshal(control.operators.contentVersion().Digest)
				is.NoErr(err)
				var received proof
				is.NoErr(json.Unmarshal([]byte(strings.ReplaceAll(test.message, "DIGEST", string(digest))), &received))
				peer := &peerState{name: "peer", address: "127.0.0.1:1", ackedRevisions: map[string]int64{}}
				control.compareProofs(now, now, peer, map[string]proof{"operators": received})
				is.Equal(now.Sub(control.operators.provenAt) < time.Second, test.proven)
				is.Equal(control.operators.pulling, test.pulls)
			})
		})
	}
}

// Guards against hosts of the previous version that take a proof of the table of hosts as one of all renewals, and then try to expel
// hosts that are alive.
func TestNoProofOfRenewalsForThePreviousVersion(t *testing.T) {
	is := is.New(t)
	coordinator := newIdleCoordinator(t)
	control := coordinator.traffic.control
	coordinator.do(func(now time.Time) {
		control.fleet.applyRead(now, lentilproxy.Page{Version: 9, Rows: []lentilproxy.Row{{Key: "host:a", Version: 8, Value: []byte(`{"name": "a"}`)}}},
			tableRead{scan: true, exact: true})
		control.fleet.provenAt = now
		proofs := control.proofs(now)
		_, found := proofs[control.fleet.name]
		is.True(!found)
		is.Equal(proofs[fleetContent].AsOf, int64(9))
		is.True(proofs[fleetContent].AgeMS >= 0)
	})
}
