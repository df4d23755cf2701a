package coord

import (
	"fmt"
	"testing"
	"time"

	"lentilproxy"

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
