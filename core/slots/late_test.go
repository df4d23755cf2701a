package slots

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lentilproxy"
	"lentilproxy/core/spec"
)

// lateServer is a server whose orders may be lost, carried out late, or carried out without a response, and whose reports lag.
type lateServer struct {
	*engine
	late    []lateOrder
	reports []lateReport
}

type lateOrder struct {
	at    time.Time
	order lentilproxy.Order
}

type lateReport struct {
	at     time.Time
	report spec.Report
}

// advance carries out the orders that are due.
func (server *lateServer) advance(now time.Time) {
	kept := server.late[:0]
	for _, entry := range server.late {
		if now.Before(entry.at) {
			kept = append(kept, entry)
			continue
		}
		server.order(now, entry.order)
	}
	server.late = kept
	server.reports = append(server.reports, lateReport{at: now, report: server.report(now)})
}

// laggedReport returns the report as of a while ago.
func (server *lateServer) laggedReport(now time.Time, lag time.Duration) spec.Report {
	found := server.reports[0].report
	for _, entry := range server.reports {
		if !entry.at.After(now.Add(-lag)) {
			found = entry.report
		}
	}
	return found
}

// Guards against loads beyond the capacity of a server that leaves orders without a response and carries them out late, after newer ones,
// while its lease passes from host to host and hosts cannot send orders for a while. Late orders of earlier lease holders arrive too.
func TestCapacityHoldsWithLateOrders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		server := &lateServer{engine: newEngine(rapid.IntRange(2, 5).Draw(t, "places"))}
		controller := New("m", server.capacity, start)
		now := start
		lossy := false
		for range rapid.IntRange(100, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.SampledFrom([]int{1, 20, 60, 400, 1200}).Draw(t, "ms")) * time.Millisecond)
			server.advance(now)
			adapter := fmt.Sprintf("a%d", rapid.IntRange(0, 6).Draw(t, "adapter"))
			switch rapid.IntRange(0, 11).Draw(t, "event") {
			case 0, 1, 2, 3:
				controller.Request(now, adapter, 1)
			case 4:
				server.runs[adapter] = now.Add(400 * time.Millisecond)
			case 5:
				lossy = !lossy
			case 6:
				controller = New("m", server.capacity, now)
			case 7:
				server.newest[adapter]++
				newest := map[string]int64{}
				for name, version := range server.newest {
					newest[name] = version
				}
				controller.SetVersions(newest)
			}
			if controller.ReportDue(now) {
				controller.ApplyReport(now, server.laggedReport(now, time.Duration(rapid.IntRange(0, 500).Draw(t, "lag"))*time.Millisecond))
			}
			controller.Retire(now)
			order, found := controller.NextOrder(now, true)
			if !found {
				continue
			}
			controller.MarkSent(now, order)
			outcome := rapid.IntRange(0, 5).Draw(t, "outcome")
			switch {
			case !lossy || outcome < 2:
				controller.ApplyOutcome(now, order, server.order(now, order))
			case outcome == 2:
				controller.MarkNotSent(now, order)
			case outcome == 3:
				server.order(now, order)
				controller.MarkUnanswered(now, order)
			default:
				server.late = append(server.late, lateOrder{at: now.Add(time.Duration(rapid.IntRange(100, 12000).Draw(t, "late")) * time.Millisecond), order: order})
				controller.MarkUnanswered(now, order)
			}
			if server.overCapacity {
				t.Fatal("a load was ordered without a free slot")
			}
		}
		server.advance(now.Add(time.Minute))
		if server.overCapacity {
			t.Fatal("a load was ordered without a free slot")
		}
	})
}
