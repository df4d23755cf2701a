package place

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"lentilproxy/core/value"
)

func permit(epoch, serial int64) Permit {
	return Permit{Instance: "i", Model: "m", Engine: "e", Epoch: epoch, Serial: serial, Duration: PermitDuration}
}

// Guards against accepting a permit of a former owner that arrives after the takeover census; the former owner's epoch
// is over. A permit of the new owner is accepted.
func TestLatePermitOfFormerOwnerIsRefused(t *testing.T) {
	is := is.New(t)
	tracker := NewPermitTracker()
	is.Equal(len(tracker.RevokeAll(start, 3, value.NewSet("e"))), 0)
	tracker.Add(start, permit(3, 9))
	is.Equal(len(tracker.Usable(start, "m")), 0)
	tracker.Add(start, permit(4, 1))
	is.Equal(len(tracker.Usable(start, "m")), 1)
}

// Checks that a permit requested before its revocation is refused, and that a request in flight keeps its permit.
func TestRevoke(t *testing.T) {
	is := is.New(t)
	tracker := NewPermitTracker()
	is.Equal(tracker.Revoke(start, 1, []string{"i"}), []string{"i"})
	tracker.Add(start, permit(1, 1))
	is.True(!tracker.StartRequest(start, "i"))
	tracker.Add(start, permit(2, 1))
	is.True(tracker.StartRequest(start, "i"))
	is.Equal(len(tracker.Revoke(start, 2, []string{"i"})), 0)
	is.True(!tracker.StartRequest(start.Add(PermitDuration), "i")) // the permit has expired
	is.True(!tracker.Valid(start.Add(PermitDuration), "i"))
}

// Guards against a delayed return report that ends a permit granted after the report was made.
func TestDelayedReturnKeepsNewerPermit(t *testing.T) {
	is := is.New(t)
	manager := NewManager(1)
	manager.Configure([]EngineSpec{{Name: "e", BaseModel: "base", Slots: 2}})
	manager.UpdateEngine(start, start, "e", nil)
	acquire := func(now time.Time) Permit {
		manager.Acquire(now, "host", PermitRequest{Model: "m", BaseModel: "base"}, now.Add(time.Second))
		replies, orders := manager.Step(now)
		if len(orders) > 0 {
			manager.FinishLoad(now, orders[0].Instance, true)
			replies, _ = manager.Step(now)
		}
		return replies[0].Permit
	}
	tracker := NewPermitTracker()
	tracker.Add(start, acquire(start))
	late := start.Add(PermitDuration)
	usages := tracker.CollectUsage(late)
	is.Equal(len(usages), 1)
	is.True(usages[0].Returned)
	second := acquire(late)
	tracker.Add(late, second)
	manager.Report(late, "host", usages)
	is.Equal(len(manager.instances[second.Instance].permits), 1)
	tracker.ConfirmReport(usages)
	tracker.MarkLost(second.Instance)
	manager.Report(late, "host", tracker.CollectUsage(late))
	is.Equal(len(manager.instances[second.Instance].permits), 0)
}

// Guards against unloading an instance that one host wrongly reports missing while other hosts may still use it.
func TestWronglyMissingInstanceStaysLoaded(t *testing.T) {
	is := is.New(t)
	manager := NewManager(1)
	manager.Configure([]EngineSpec{{Name: "e", BaseModel: "base", Slots: 2}})
	manager.UpdateEngine(start, start, "e", nil)
	manager.Acquire(start, "host-1", PermitRequest{Model: "m", BaseModel: "base"}, start.Add(time.Second))
	_, orders := manager.Step(start)
	name := orders[0].Instance
	manager.FinishLoad(start, name, true)
	manager.Step(start)
	manager.MarkMissing(start, name)
	manager.UpdateEngine(start, start, "e", []string{name})
	_, orders = manager.Step(start.Add(PermitDuration + RequestDeadline))
	is.Equal(len(orders), 0)
	_, orders = manager.Step(start.Add(MaxInstanceUse))
	is.Equal(orders, []Order{{Kind: OrderUnload, Engine: "e", Instance: name}})
}
