package place

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lentilproxy/core/value"
)

// Guards against an engine that is ordered to load more than it has slots for, since loads that got no response were carried out after
// their slots had been given free.
func TestUnansweredLoadsKeepTheirSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 4).Draw(t, "slots")
		manager := managerOf(start, NewBudget(1000, 1000), EngineSpec{Name: "e1", BaseModel: "m", Slots: slots})
		loaded, late := value.NewSet[string](), map[string]time.Time{}
		now := start
		carryOut := func(name string) {
			if loaded.Add(name); len(loaded) > slots {
				t.Fatalf("%d instances are loaded, in %d slots", len(loaded), slots)
			}
		}
		for step := range rapid.IntRange(20, 200).Draw(t, "steps") {
			now = now.Add(rapid.SampledFrom([]time.Duration{10 * time.Millisecond, time.Second, 10 * time.Second}).Draw(t, "pause"))
			for _, name := range value.Sorted(late) {
				if !now.Before(late[name]) {
					delete(late, name)
					carryOut(name)
				}
			}
			if rapid.Bool().Draw(t, "status") {
				manager.UpdateEngine(now, now, "e1", value.Sorted(loaded))
			}
			model := fmt.Sprintf("shop/a%d@v1", step)
			manager.Acquire(now, "host", PermitRequest{Model: model, Workspace: "shop", BaseModel: "m", Source: "a", Weight: 1}, now.Add(time.Minute))
			_, orders := manager.Step(now)
			for _, order := range orders {
				switch {
				case order.Kind == OrderRevoke:
					manager.ReturnPermits("host", []string{order.Instance})
				case order.Kind == OrderUnload:
					delete(loaded, order.Instance)
					manager.FinishUnload(now, "e1", order.Instance, true)
				case rapid.Bool().Draw(t, "answered"):
					carryOut(order.Instance)
					manager.FinishLoad(now, order.Instance, true)
				default:
					late[order.Instance] = now.Add(time.Duration(rapid.Int64Range(0, int64(MaxLoadTime)-1).Draw(t, "late")))
					manager.LoadUnanswered(now, order.Instance)
				}
			}
		}
	})
}
