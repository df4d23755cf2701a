package coord

import (
	"fmt"
	"testing"
	"time"

	"lentilproxy"

	"github.com/matryer/is"
)

func TestServersThatAreGoneAreForgotten(t *testing.T) {
	is := is.New(t)
	coordinator := newStill(t)
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

func TestReloadedAllowanceIsInForceAtOnce(t *testing.T) {
	is := is.New(t)
	coordinator := newStill(t)
	bounds := coordinator.settings.Bounds
	bounds.QuotaAllowance = 1000
	coordinator.Reload(bounds)
	is.Equal(coordinator.traffic.overdraft, overdraftPart*1000)
}

// With thousands of adapters, decoding every row for each change would take most of a host's time.
func TestRowsOfTheOperatorsAreDecodedOnce(t *testing.T) {
	is := is.New(t)
	coordinator := newStill(t)
	control := coordinator.traffic.control
	source := coordinator.source.(*stillSource)
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
	is.Equal(source.decoded.Load(), int64(1001))
}
