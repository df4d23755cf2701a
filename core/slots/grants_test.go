package slots

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"lentilproxy"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against an eviction of an adapter in use, and against loads beyond the capacity, under orders that are lost or carried out
// late. Such a load would crash the server, and an unload that waits for its runs blocks all other orders.
func TestAdaptersWithGrantsAreNotEvicted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		engine := newEngine(rapid.IntRange(2, 12).Draw(t, "places"))
		controller := New("m", engine.capacity, start)
		grants := NewGrants()
		controller.SetGrants(grants)
		now := start
		ends := map[int64]time.Time{}
		var late []lentilproxy.Order
		for step := range rapid.IntRange(100, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 60).Draw(t, "ms")) * time.Millisecond)
			adapter := fmt.Sprintf("a%d", rapid.IntRange(0, 20).Draw(t, "adapter"))
			for ticket, end := range ends {
				if !now.Before(end) {
					grants.End(ticket)
					delete(ends, ticket)
				}
			}
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0, 1:
				controller.Request(now, adapter, 1)
			case 2, 3:
				end := now.Add(time.Duration(rapid.IntRange(1, 900).Draw(t, "run")) * time.Millisecond)
				if grants.Take(now, int64(step), adapter, 0, 10, end.Add(time.Second)) {
					ends[int64(step)] = end
					engine.runs[adapter] = end
				}
			case 4:
				engine.newest[adapter] = max(1, engine.newest[adapter]) + 1
				controller.SetVersions(maps.Clone(engine.newest))
			}
			if len(late) > 0 && rapid.Bool().Draw(t, "arrives") {
				engine.order(now, late[0])
				late = late[1:]
			}
			if controller.ReportDue(now) {
				controller.ApplyReport(now, engine.report(now))
			}
			controller.Retire(now)
			order, found := controller.NextOrder(now, true)
			if found {
				controller.MarkSent(now, order)
			}
			// No grant is taken between the decision and the publication of what is loaded.
			grants.SetLoaded(controller.Ready())
			if !found {
				continue
			}
			switch rapid.IntRange(0, 5).Draw(t, "fate") {
			case 0:
				engine.order(now, order)
				controller.MarkUnanswered(now, order)
			case 1:
				late = append(late, order)
				controller.MarkUnanswered(now, order)
			default:
				controller.ApplyOutcome(now, order, engine.order(now, order))
			}
			grants.SetLoaded(controller.Ready())
			if engine.overCapacity {
				t.Fatalf("capacity exceeded by %+v", order)
			}
			if engine.unloading != "" && order.Kind == lentilproxy.Unload {
				t.Fatalf("%s was unloaded while it was in use", engine.unloading)
			}
		}
	})
}

// Guards against a stall of a second for each lost response while a server leaves many orders without a response: the order is sent
// again at once. If the server has carried it out, it conflicts with it, and a report is requested at once. The first one that shows a
// later sequence is applied, and older ones are not.
func TestUnansweredOrderIsSentAgain(t *testing.T) {
	for name, carriedOut := range map[string]bool{"carried out": true, "lost": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			engine := newEngine(4)
			controller := New("m", engine.capacity, start)
			outdated := engine.report(start)
			controller.ApplyReport(start, outdated)
			controller.Request(start, "a", 1)
			order, _ := controller.NextOrder(start, true)
			controller.MarkSent(start, order)
			if carriedOut {
				engine.order(start, order)
			}
			controller.MarkUnanswered(start, order)
			again, found := controller.NextOrder(start, true)
			is.True(found)
			is.Equal(again, order)
			controller.MarkSent(start, again)
			controller.ApplyOutcome(start, again, engine.order(start, again))
			if carriedOut {
				is.True(controller.ReportDue(start))
				controller.ApplyReport(start, outdated)
				is.True(!controller.synced)
				is.True(controller.ReportDue(start.Add(reportInterval)))
				controller.ApplyReport(start.Add(reportInterval), engine.report(start))
			}
			is.True(controller.synced)
			is.Equal(controller.sequence, engine.sequence)
			is.Equal(controller.storeLoadingCount(), 1)
		})
	}
}

// Guards against grants that are never given back, which would keep an adapter loaded for ever after a host has crashed.
func TestGrantsOfCrashedHostsExpire(t *testing.T) {
	is := is.New(t)
	grants := NewGrants()
	is.True(!grants.Take(start, 1, "a", 0, 5, start.Add(time.Second))) // Not loaded.
	grants.SetLoaded(map[string]int64{"a": 1})
	is.True(!grants.Take(start, 1, "a", 2, 5, start.Add(time.Second))) // An older version.
	is.True(grants.Take(start, 1, "a", 1, 5, start.Add(time.Second)))
	is.Equal(grants.Running("a"), 1)
	is.Equal(grants.Tokens(), int64(5))
	is.True(grants.Take(start.Add(time.Second), 2, "a", 1, 7, start.Add(2*time.Second)))
	is.Equal(grants.Running("a"), 1) // The first one has expired.
	is.Equal(grants.Tokens(), int64(7))
	grants.End(2)
	grants.End(2)
	is.Equal(grants.Active(), 0)
	is.Equal(grants.TakeDemand(), map[string]float64{"a": 2})
	is.Equal(len(grants.TakeDemand()), 0)
}

// Guards against requests that wait for two seconds for adapters of a server that has crashed, while other servers could load them.
func TestUnreachableServerRejectsLoads(t *testing.T) {
	for name, fail := range map[string]func(controller *Controller, order lentilproxy.Order){
		"refuses connections": func(controller *Controller, _ lentilproxy.Order) { controller.MarkUnreachable(start) },
		"does not respond": func(controller *Controller, order lentilproxy.Order) {
			for range maxRepeats + 1 {
				controller.MarkUnanswered(start, order)
			}
			controller.ReportFailed(start)
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			engine := newEngine(4)
			controller := New("m", engine.capacity, start)
			controller.ApplyReport(start, engine.report(start))
			is.Equal(controller.Request(start, "a", 1), LoadPending)
			order, _ := controller.NextOrder(start, true)
			controller.MarkSent(start, order)
			is.Equal(controller.Request(start, "b", 1), LoadPending)
			fail(controller, order)
			is.Equal(controller.State(start, "b"), LoadRejected)
			is.Equal(controller.Request(start, "c", 1), LoadRejected)
			later := start.Add(resyncDelay)
			is.True(controller.ReportDue(later))
			controller.ApplyReport(later, engine.report(later))
			is.Equal(controller.Request(later, "c", 1), LoadPending)
		})
	}
}
