package coord

import (
	"fmt"
	"testing"
	"time"

	"lentilproxy"
	"lentilproxy/core/spec"

	"github.com/matryer/is"
)

func TestDeregisteredServersAreDropped(t *testing.T) {
	is := is.New(t)
	coordinator := newIdleCoordinator(t)
	control := coordinator.traffic.control
	decoded := func(rows ...lentilproxy.Row) int {
		var count int
		coordinator.do(func(now time.Time) {
			control.servers.Apply(lentilproxy.Page{Rows: rows, Version: rows[len(rows)-1].Version})
			control.publish(now)
			count = len(control.decoded)
		})
		return count
	}
	is.Equal(decoded(lentilproxy.Row{Key: "s1", Version: 1}, lentilproxy.Row{Key: "s2", Version: 2}), 2)
	is.Equal(decoded(lentilproxy.Row{Key: "s1", Version: 3, Deleted: true}), 1)
}

func TestReloadedAllowanceAppliesImmediately(t *testing.T) {
	is := is.New(t)
	coordinator := newIdleCoordinator(t)
	bounds := coordinator.settings.Bounds
	bounds.QuotaAllowance = 1000
	coordinator.Reload(bounds)
	is.Equal(coordinator.traffic.overdraft, overdraftFraction*1000)
}

// Each version of an operators' row must be decoded only once: with thousands of adapters, decoding every row for each
// change would take most of a host's time.
func TestOperatorRowsAreDecodedOnce(t *testing.T) {
	is := is.New(t)
	coordinator := newIdleCoordinator(t)
	control := coordinator.traffic.control
	decoder := coordinator.decoder.(*countingDecoder)
	coordinator.do(func(now time.Time) {
		var rows []lentilproxy.Row
		for number := range 1000 {
			rows = append(rows, lentilproxy.Row{Key: fmt.Sprint("version/", number), Version: int64(number + 1)})
		}
		control.operators.Apply(lentilproxy.Page{Rows: rows, Version: 1000})
		control.publish(now)
		control.operators.Apply(lentilproxy.Page{Version: 2001, Rows: []lentilproxy.Row{{Key: "version/7", Version: 2000}, {Key: "version/8", Version: 2001, Deleted: true}}})
		control.publish(now)
	})
	is.Equal(decoder.decoded.Load(), int64(1001))
}

// Guards against a change that is never decoded: a scan in pages may contain a newer row of a later page, and lack an older one
// that a page before it should have contained. That row arrives afterwards.
func TestOlderRowsThatArriveLaterAreDecoded(t *testing.T) {
	is := is.New(t)
	coordinator := newIdleCoordinator(t)
	control := coordinator.traffic.control
	decoder := coordinator.decoder.(*countingDecoder)
	coordinator.do(func(now time.Time) {
		control.operators.MergeWhole(lentilproxy.Page{Version: 4, Rows: []lentilproxy.Row{{Key: "config", Version: 3}, {Key: "version/a", Version: 6}}})
		control.publish(now)
		is.Equal(decoder.decoded.Load(), int64(2))
		is.Equal(control.proofs(now)["operators"].Newest, int64(4))
		control.operators.Apply(lentilproxy.Page{Version: 6, Rows: []lentilproxy.Row{{Key: "config", Version: 5}, {Key: "version/a", Version: 6}}})
		control.publish(now)
		is.Equal(decoder.decoded.Load(), int64(3))
		is.Equal(control.proofs(now)["operators"].Newest, int64(6))
	})
}

// Guards against an evacuation that does not end because its row was deleted before a scan, or because the mirror has dropped the
// record of the deletion.
func TestEvacuationEndsWithItsRow(t *testing.T) {
	is := is.New(t)
	coordinator := newIdleCoordinator(t)
	control := coordinator.traffic.control
	publish := func(page lentilproxy.Page, whole bool) (evacuated bool) {
		coordinator.do(func(now time.Time) {
			if whole {
				control.operators.MergeWhole(page)
			} else {
				control.operators.Apply(page)
			}
			control.publish(now)
			_, evacuated = coordinator.View().Evacuated["dc-2"]
		})
		return evacuated
	}
	row := func(key string, version int64) lentilproxy.Row { return lentilproxy.Row{Key: key, Version: version} }
	coordinator.decoder.(*countingDecoder).evacuated = "dc-2"
	is.True(publish(lentilproxy.Page{Version: 1, Rows: []lentilproxy.Row{row("evacuate", 1)}}, false))
	is.True(publish(lentilproxy.Page{Version: 3, Rows: []lentilproxy.Row{row("evacuate", 3)}}, true))
	is.True(!publish(lentilproxy.Page{Version: 5}, true))
	is.True(publish(lentilproxy.Page{Version: 6, Rows: []lentilproxy.Row{row("evacuate", 6)}}, false))
	deleted := []lentilproxy.Row{{Key: "evacuate", Version: 7, Deleted: true}}
	for number := range 5000 {
		deleted = append(deleted, lentilproxy.Row{Key: fmt.Sprint("other", number), Version: int64(8 + number), Deleted: true})
	}
	is.True(!publish(lentilproxy.Page{Version: 6000, Rows: deleted}, false))
}

// Guards against heartbeats of a cold server that are published and passed on as changes, and against a server that becomes cold
// again without notice.
func TestChangesOfTheColdTime(t *testing.T) {
	now := time.Unix(1000, 0)
	for name, test := range map[string]struct {
		known, row time.Duration
		changed    bool
	}{
		"a heartbeat":                     {4 * time.Second, 3800 * time.Millisecond, false},
		"a heartbeat that was read later": {4 * time.Second, 4800 * time.Millisecond, false},
		"one after the end":               {-500 * time.Millisecond, 0, false},
		"a late one after the end":        {-200 * time.Millisecond, 300 * time.Millisecond, false},
		"never cold":                      {-time.Hour, 0, false},
		"cold again":                      {-time.Minute, 3 * time.Second, true},
		"cold for longer":                 {time.Second, 5 * time.Second, true},
		"no longer cold":                  {5 * time.Second, 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(coldChanged(now, spec.Server{ColdUntil: now.Add(test.known)}, spec.Server{ColdRemaining: test.row}), test.changed)
		})
	}
}
