package coord

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against reloads of the settings that each grant the retry budget anew.
func TestReloadKeepsSpentRetries(t *testing.T) {
	is := is.New(t)
	coordinator := newIdleCoordinator(t)
	bounds := coordinator.settings.Bounds
	coordinator.Reload(bounds)
	now := time.Now()
	traffic := coordinator.Traffic()
	for traffic.TakeRetry(now, "service") {
		continue
	}
	bounds.QuotaAllowance++
	bounds.RetryAllowance++
	coordinator.Reload(bounds)
	is.True(!traffic.TakeRetry(now, "service"))
}
