package place_test

import (
	"fmt"
	"time"

	"lentilproxy/core/place"
)

// An owner loads an adapter for the first host that requests it, and grants the host a permit after the load.
func ExampleManager() {
	now := time.Unix(1_700_000_000, 0)
	manager := place.NewManager(1, place.WithBudget(place.NewBudget(3, 2)))
	manager.Configure([]place.EngineSpec{{Name: "engine-1", BaseModel: "base", Slots: 4}})
	manager.UpdateEngine(now, now, "engine-1", nil)
	manager.Acquire(now, "host-1", place.PermitRequest{Model: "shop/ribs@v2", BaseModel: "base", Weight: 1}, now.Add(time.Second))
	_, orders := manager.Step(now)
	fmt.Println("load", orders[0].Instance, "on", orders[0].Engine)
	manager.FinishLoad(now, orders[0].Instance, true)
	replies, _ := manager.Step(now)
	fmt.Println("permit for", replies[0].Permit.Instance, "for", replies[0].Permit.Duration)
	// Output:
	// load shop/ribs@v2#1.1 on engine-1
	// permit for shop/ribs@v2#1.1 for 5s
}
