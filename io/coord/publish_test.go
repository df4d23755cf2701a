package coord

import (
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
