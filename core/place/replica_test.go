package place

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Checks that a model with many requests in flight gets a copy on another engine, and its hosts get permits for both.
func TestBusyModelIsReplicated(t *testing.T) {
	is := is.New(t)
	now := start
	manager := NewManager(1)
	manager.Configure([]EngineSpec{{Name: "engine-1", BaseModel: "base", Slots: 2}, {Name: "engine-2", BaseModel: "base", Slots: 2}})
	for _, name := range []string{"engine-1", "engine-2"} {
		manager.UpdateEngine(now, now, name, nil)
	}
	manager.Acquire(now, "host-1", PermitRequest{Model: "w/a@v1", BaseModel: "base", Source: "a"}, now.Add(time.Second))
	_, orders := manager.Step(now)
	is.Equal(len(orders), 1)
	first := orders[0]
	manager.FinishLoad(now, first.Instance, true)
	replies, _ := manager.Step(now)
	is.Equal(len(replies), 1)

	now = now.Add(time.Second)
	manager.Report(now, "host-1", []Usage{{Instance: first.Instance, InFlight: ReplicaInFlight - 1, Requests: 1}})
	_, orders = manager.Step(now)
	is.Equal(len(orders), 0)
	now = now.Add(ReplicaInterval)
	manager.Report(now, "host-1", []Usage{{Instance: first.Instance, InFlight: ReplicaInFlight, Requests: 1}})
	_, orders = manager.Step(now)
	is.Equal(len(orders), 1)
	is.True(orders[0].Engine != first.Engine)
	_, more := manager.Step(now.Add(ReplicaInterval))
	is.Equal(len(more), 0) // one copy at a time
	manager.FinishLoad(now, orders[0].Instance, true)
	now = now.Add(PermitDuration - RenewBefore)
	permits := manager.Report(now, "host-1", []Usage{{Instance: first.Instance, InFlight: ReplicaInFlight, Requests: 1}})
	is.Equal(len(permits), 2)
	_, more = manager.Step(now.Add(ReplicaInterval))
	is.Equal(len(more), 0) // two copies are enough for now
}
