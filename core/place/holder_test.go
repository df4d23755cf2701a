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

// A permit of a former owner that arrives after the census is refused; one of the new owner is taken.
func TestLatePermitOfFormerOwner(t *testing.T) {
	is := is.New(t)
	holder := NewPermitTracker()
	is.Equal(len(holder.RevokeAll(epoch, 3, value.NewSet("e"))), 0)
	holder.Add(epoch, permit(3, 9))
	is.Equal(len(holder.Usable(epoch, "m")), 0)
	holder.Add(epoch, permit(4, 1))
	is.Equal(len(holder.Usable(epoch, "m")), 1)
}

// A permit that was asked for before its revocation is refused; a request in flight keeps its permit.
func TestRevoke(t *testing.T) {
	is := is.New(t)
	holder := NewPermitTracker()
	is.Equal(holder.Revoke(epoch, 1, []string{"i"}), []string{"i"})
	holder.Add(epoch, permit(1, 1))
	is.True(!holder.StartRequest(epoch, "i"))
	holder.Add(epoch, permit(2, 1))
	is.True(holder.StartRequest(epoch, "i"))
	is.Equal(len(holder.Revoke(epoch, 2, []string{"i"})), 0)
	is.True(!holder.StartRequest(epoch.Add(PermitDuration), "i")) // a permit ends by itself
	is.True(!holder.Valid(epoch.Add(PermitDuration), "i"))
}

// The report of a return does not end a permit that was given after it.
func TestOvertakenReturn(t *testing.T) {
	is := is.New(t)
	manager := NewManager(1)
	manager.Configure([]EngineSpec{{Name: "e", BaseModel: "base", Slots: 2}})
	manager.UpdateEngine(epoch, epoch, "e", nil)
	ask := func(now time.Time) Permit {
		manager.Acquire(now, "host", PermitRequest{Model: "m", BaseModel: "base"}, now.Add(time.Second))
		replies, orders := manager.Step(now)
		if len(orders) > 0 {
			manager.FinishLoad(now, orders[0].Instance, true)
			replies, _ = manager.Step(now)
		}
		return replies[0].Permit
	}
	holder := NewPermitTracker()
	holder.Add(epoch, ask(epoch))
	late := epoch.Add(PermitDuration)
	uses := holder.CollectUsage(late)
	is.Equal(len(uses), 1)
	is.True(uses[0].Returned)
	second := ask(late)
	holder.Add(late, second)
	manager.Report(late, "host", uses)
	is.Equal(len(manager.instances[second.Instance].permits), 1)
	holder.ConfirmReport(uses)
	holder.MarkLost(second.Instance)
	manager.Report(late, "host", holder.CollectUsage(late))
	is.Equal(len(manager.instances[second.Instance].permits), 0)
}

// An instance that a host wrongly calls missing is not unloaded while others may use it.
func TestWronglyMissing(t *testing.T) {
	is := is.New(t)
	manager := NewManager(1)
	manager.Configure([]EngineSpec{{Name: "e", BaseModel: "base", Slots: 2}})
	manager.UpdateEngine(epoch, epoch, "e", nil)
	manager.Acquire(epoch, "host-1", PermitRequest{Model: "m", BaseModel: "base"}, epoch.Add(time.Second))
	_, orders := manager.Step(epoch)
	name := orders[0].Instance
	manager.FinishLoad(epoch, name, true)
	manager.Step(epoch)
	manager.MarkMissing(epoch, name)
	manager.UpdateEngine(epoch, epoch, "e", []string{name})
	_, orders = manager.Step(epoch.Add(PermitDuration + RequestDeadline))
	is.Equal(len(orders), 0)
	_, orders = manager.Step(epoch.Add(MaxInstanceUse))
	is.Equal(orders, []Order{{Kind: OrderUnload, Engine: "e", Instance: name}})
}
