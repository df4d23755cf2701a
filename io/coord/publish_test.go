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
			control.servers.Merge(rows)
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
		control.operators.Merge(rows)
		control.publish(now)
		control.operators.Merge([]lentilproxy.Row{{Key: "version/7", Version: 2000}, {Key: "version/8", Version: 2001, Deleted: true}})
		control.publish(now)
	})
	is.Equal(decoder.decoded.Load(), int64(1001))
}
