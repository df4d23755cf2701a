package place

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"lentilproxy"
)

// loadOrder returns the load order among orders.
func loadOrder(t *testing.T, orders []Order) Order {
	t.Helper()
	for _, order := range orders {
		if order.Kind == OrderLoad {
			return order
		}
	}
	t.Fatal("no load was ordered")
	return Order{}
}

// managerOf returns a manager of one pool with running engines.
func managerOf(now time.Time, budget *Budget, specs ...EngineSpec) *Manager {
	manager := NewManager(1, WithBudget(budget))
	manager.Configure(specs)
	for _, spec := range specs {
		manager.UpdateEngine(now, now, spec.Name, nil)
	}
	return manager
}

// An engine may be removed from the pool while an instance loads on it. When the load succeeds, nothing refers to the
// engine any more.
func TestLoadEndsAfterItsEngineWasRemoved(t *testing.T) {
	is := is.New(t)
	first, second := EngineSpec{Name: "e1", BaseModel: "m", Slots: 2}, EngineSpec{Name: "e2", BaseModel: "m", Slots: 2}
	manager := managerOf(start, NewBudget(100, 2), first, second)
	request := PermitRequest{Model: "shop/a@v1", Workspace: "shop", BaseModel: "m", Source: "a", Weight: 1}
	manager.Acquire(start, "host", request, start.Add(time.Minute))
	_, orders := manager.Step(start)
	order := loadOrder(t, orders)
	left := map[string]EngineSpec{"e1": second, "e2": first}[order.Engine]
	manager.Configure([]EngineSpec{left})
	now := start.Add(time.Second)
	manager.FinishLoad(now, order.Instance, true)
	replies, orders := manager.Step(now)
	is.Equal(len(replies), 0)
	is.Equal(loadOrder(t, orders).Engine, left.Name)
}

// A workspace that was idle while others loaded many adapters does not get all loads until its count has caught up.
func TestIdleWorkspaceStartsLevel(t *testing.T) {
	is := is.New(t)
	manager := managerOf(start, NewBudget(1000, 1), EngineSpec{Name: "e1", BaseModel: "m", Slots: 1000})
	now := start
	acquire := func(workspace string, number int) {
		manager.Acquire(now, "host", PermitRequest{
			Model: fmt.Sprintf("%s/a%d@v1", workspace, number), Workspace: workspace, BaseModel: "m", Source: "a", Weight: 1,
		}, start.Add(time.Hour))
	}
	loads := map[string]int{}
	step := func() {
		_, orders := manager.Step(now)
		order := loadOrder(t, orders)
		model, _, _ := SplitInstance(order.Instance)
		loads[model[:4]]++
		manager.FinishLoad(now, order.Instance, true)
		now = now.Add(100 * time.Millisecond)
	}
	for number := range 40 {
		acquire("busy", number)
	}
	for range 20 {
		step()
	}
	for number := range 40 {
		acquire("idle", number)
	}
	clear(loads)
	for range 10 {
		step()
	}
	is.True(loads["busy"] >= 4)
	is.True(loads["idle"] >= 4)
}

var _ lentilproxy.PlacementPolicy = (*DemandPolicy)(nil)
