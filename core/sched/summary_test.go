package sched

import (
	"testing"
	"time"

	"lentilproxy/core/spec"
	"lentilproxy/core/value"

	"github.com/matryer/is"
)

// Guards against sums of other data centres that count as reports of hosts, for longer than they may, or besides a newer one, and
// against sums of reports that no longer count.
func TestUsageOfOtherDataCentres(t *testing.T) {
	is := is.New(t)
	const delay = time.Second
	scheduler := New("dc-0")
	scheduler.UpdateServers(map[string]spec.Server{"s": {ID: "s"}})
	running := func(after time.Duration) int { return scheduler.servers["s"].usage(start.Add(after)).Running }
	scheduler.SetPeerUsage(start, "h1", map[string]Usage{"s": {Running: 2}})
	scheduler.SetSummaryUsage(start, delay, "dc-1", map[string]Usage{"s": {Running: 5}, "unknown": {Running: 1}})
	scheduler.SetSummaryUsage(start, delay, "dc-1", map[string]Usage{"s": {Running: 4}})
	is.Equal(running(0), 6)
	is.Equal(running(UsageLifetime), 4)
	is.Equal(running(UsageLifetime+delay), 0)
	reports := scheduler.Reports(start, []string{"s"})
	is.Equal(len(reports), 1)
	is.Equal(reports["h1"].Running["s"], 2)
	sums, oldest := scheduler.SumUsage(start.Add(delay), value.NewSet("h1", "h2"))
	is.Equal(sums["s"].Running, 2)
	is.Equal(oldest, start)
	sums, oldest = scheduler.SumUsage(start.Add(UsageLifetime), value.NewSet("h1"))
	is.Equal(sums["s"].Running, 0)
	is.Equal(oldest, start.Add(UsageLifetime))
	scheduler.SetSummaryUsage(time.Time{}, 0, "dc-1", nil)
	is.Equal(running(0), 2)
}
