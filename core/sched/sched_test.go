package sched

import (
	"fmt"
	"testing"
	"time"

	"lentilproxy/core/spec"
	"lentilproxy/core/value"
	"lentilproxy/core/warm"

	"github.com/matryer/is"
)

var (
	start   = time.Unix(1000, 0)
	chat    = spec.Service{Name: "chat", Engine: &spec.Engine{Slots: 8, CacheTokens: 100_000}}
	orders  = spec.Service{Name: "orders"}
	adapter = spec.AdapterRef{Model: "m", Adapter: "a"}
)

func servers(service string, count int) map[string]spec.Server {
	all := map[string]spec.Server{}
	for number := range count {
		name := fmt.Sprintf("%s-%d", service, number)
		all[name] = spec.Server{ID: name, Service: service, DataCentre: fmt.Sprintf("dc-%d", number), Slots: 8}
	}
	return all
}

// newScheduler returns a scheduler for servers that have loaded a model and accept orders.
func newScheduler(all map[string]spec.Server) *Scheduler {
	scheduler := New("dc-0")
	scheduler.UpdateServers(all)
	for name := range all {
		scheduler.SetLoaded(name, 0, Loaded{Model: "m", Orderable: true, Adapters: map[string]int64{}})
	}
	return scheduler
}

func TestAdapterHasOnePreferredServer(t *testing.T) {
	is := is.New(t)
	all := servers("chat", 9)
	scheduler := newScheduler(all)
	first, found := scheduler.Choose(start, chat, all, Job{Ref: adapter, PromptTokens: 500})
	is.True(found)
	is.True(first.Load)
	for range 20 {
		again, _ := scheduler.Choose(start, chat, all, Job{Ref: adapter, PromptTokens: 500})
		is.Equal(again.Server.ID, first.Server.ID)
	}
	// If that server is removed, the next one in the adapter's rank order follows; if that one is full, the third one.
	delete(all, first.Server.ID)
	second, _ := scheduler.Choose(start, chat, all, Job{Ref: adapter, PromptTokens: 500})
	is.True(second.Server.ID != first.Server.ID)
	third, _ := scheduler.Choose(start, chat, all, Job{Ref: adapter, PromptTokens: 500, Full: value.NewSet(second.Server.ID)})
	is.True(third.Server.ID != second.Server.ID)
}

func TestRequestsGoToServerThatHasTheAdapter(t *testing.T) {
	is := is.New(t)
	all := servers("chat", 9)
	scheduler := newScheduler(all)
	scheduler.SetLoaded("chat-3", 0, Loaded{Model: "m", Orderable: true, Adapters: map[string]int64{"a": 2}})
	choice, _ := scheduler.Choose(start, chat, all, Job{Ref: adapter})
	is.Equal(choice.Server.ID, "chat-3")
	is.True(!choice.Load)
	newer, _ := scheduler.Choose(start, chat, all, Job{Ref: adapter, MinVersion: 3})
	is.True(newer.Load) // An older version does not count.
	scheduler.RemoveAdapter("chat-3", "a")
	removed, _ := scheduler.Choose(start, chat, all, Job{Ref: adapter})
	is.True(removed.Load)
	scheduler.AddAdapter("chat-5", 0, "a", 1)
	added, _ := scheduler.Choose(start, chat, all, Job{Ref: adapter})
	is.Equal(added.Server.ID, "chat-5")
	is.True(!added.Load)
}

// Servers that have asked for a pause, or that are leaving, are not chosen, even after their registrations have expired.
func TestNotices(t *testing.T) {
	is := is.New(t)
	epoch := time.Unix(1_000_000, 0)
	all := servers("orders", 2)
	scheduler := New("dc-1")
	scheduler.UpdateServers(all)
	service := spec.Service{Name: "orders"}
	names := value.Sorted(all)
	first, second := all[names[0]].Incarnation(), all[names[1]].Incarnation()
	chosen := func(now time.Time) string {
		choice, _ := scheduler.Choose(now, service, all, Job{})
		return choice.Server.ID
	}
	is.True(scheduler.RecordLeaving(epoch, first))
	is.True(!scheduler.RecordLeaving(epoch, first))
	is.Equal(chosen(epoch), second.ID)
	is.Equal(scheduler.PauseOf(epoch, service, all), time.Duration(0))
	scheduler.RecordPause(epoch, second, 3*time.Second)
	is.Equal(chosen(epoch), "")
	is.Equal(scheduler.PauseOf(epoch.Add(time.Second), service, all), 2*time.Second)
	is.Equal(chosen(epoch.Add(3*time.Second)), second.ID)

	scheduler.UpdateServers(map[string]spec.Server{})
	scheduler.UpdateServers(all)
	is.Equal(chosen(epoch.Add(time.Hour)), second.ID)
	again := all[first.ID]
	again.StartedMillis++
	all[first.ID] = again
	scheduler.UpdateServers(all)
	scheduler.RecordLeaving(epoch.Add(time.Hour), second)
	is.Equal(chosen(epoch.Add(time.Hour)), first.ID)
}

// A busy adapter gets a second replica, and its requests are divided between both.
func TestBusyAdapterIsReplicated(t *testing.T) {
	is := is.New(t)
	all := servers("chat", 4)
	scheduler := newScheduler(all)
	scheduler.SetLoaded("chat-1", 0, Loaded{Model: "m", Orderable: true, Adapters: map[string]int64{"a": 1}})
	job := Job{Ref: adapter, PromptTokens: 700, OutputTokens: 70}
	replica := ""
	for range 12 {
		choice, _ := scheduler.Choose(start, chat, all, job)
		scheduler.Start(start, choice.Server, job)
		if choice.ReplicateTo != "" {
			replica = choice.ReplicateTo
		}
	}
	is.True(replica != "")
	scheduler.AddAdapter(replica, 0, "a", 1)
	counts := map[string]int{}
	for range 12 {
		choice, _ := scheduler.Choose(start, chat, all, job)
		counts[choice.Server.ID]++
		scheduler.Start(start, choice.Server, job)
	}
	is.True(counts[replica] >= 8) // The new replica gets most requests until its load is the same.
}

func TestUsageOfPeersCounts(t *testing.T) {
	is := is.New(t)
	all := servers("orders", 2)
	scheduler := New("dc-0")
	scheduler.UpdateServers(all)
	job := Job{}
	choice, _ := scheduler.Choose(start, orders, all, job)
	is.Equal(choice.Server.ID, "orders-0") // The server in the host's own data centre is preferred.
	scheduler.SetPeerUsage(start, "host-2", map[string]Usage{"orders-0": {Running: 4}})
	choice, _ = scheduler.Choose(start, orders, all, job)
	is.Equal(choice.Server.ID, "orders-1")
	choice, _ = scheduler.Choose(start.Add(UsageLifetime), orders, all, job)
	is.Equal(choice.Server.ID, "orders-0") // The peer's usage report has expired.
}

func TestRunsAreCountedOnce(t *testing.T) {
	is := is.New(t)
	all := servers("chat", 1)
	scheduler := newScheduler(all)
	job := Job{Ref: adapter, PromptTokens: 100, OutputTokens: 10}
	run := scheduler.Start(start, all["chat-0"], job)
	is.Equal(scheduler.OwnUsage()["chat-0"], Usage{Running: 1, Backlog: 100, Tokens: 110})
	scheduler.RecordFirstToken(start.Add(time.Millisecond), run)
	scheduler.RecordFirstToken(start.Add(time.Millisecond), run)
	is.Equal(scheduler.OwnUsage()["chat-0"], Usage{Running: 1, Tokens: 110})
	scheduler.End(run)
	is.Equal(len(scheduler.OwnUsage()), 0)

	// The end of a run on an earlier incarnation of the server does not change the usage of the next one.
	stale := scheduler.Start(start, all["chat-0"], job)
	all["chat-0"] = spec.Server{ID: "chat-0", Service: "chat", StartedMillis: 7}
	scheduler.UpdateServers(all)
	scheduler.End(stale)
	is.Equal(len(scheduler.OwnUsage()), 0)
}

func TestFailingServersAreEjected(t *testing.T) {
	for name, test := range map[string]struct {
		fail  func(scheduler *Scheduler)
		until time.Duration
	}{
		"unreachable": {func(scheduler *Scheduler) { scheduler.RecordUnreachable(start, "orders-0") }, ejectionTime},
		"full":        {func(scheduler *Scheduler) { scheduler.RecordFull(start, "orders-0") }, ejectionTime},
		"errors": {func(scheduler *Scheduler) {
			for range 6 {
				scheduler.RecordResponse(start, "orders-0", true)
				scheduler.RecordResponse(start, "orders-1", false)
			}
		}, errorEjectionTime},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			all := servers("orders", 2)
			scheduler := New("dc-0")
			scheduler.UpdateServers(all)
			test.fail(scheduler)
			choice, _ := scheduler.Choose(start, orders, all, Job{})
			is.Equal(choice.Server.ID, "orders-1")
			choice, _ = scheduler.Choose(start.Add(test.until+time.Millisecond), orders, all, Job{})
			is.Equal(choice.Server.ID, "orders-0") // The ejection is over.
		})
	}
}

// Errors that occur on all servers of a service alike eject none of them.
func TestErrorsOfAllServersEjectNone(t *testing.T) {
	is := is.New(t)
	all := servers("orders", 3)
	scheduler := New("dc-0")
	scheduler.UpdateServers(all)
	for range 10 {
		for name := range all {
			scheduler.RecordResponse(start, name, true)
		}
	}
	choice, _ := scheduler.Choose(start, orders, all, Job{})
	is.Equal(choice.Server.ID, "orders-0")
}

func TestEjectionTimeDoublesUpToItsBound(t *testing.T) {
	is := is.New(t)
	all := servers("orders", 1)
	scheduler := New("dc-0")
	scheduler.UpdateServers(all)
	for range 20 {
		scheduler.RecordUnreachable(start, "orders-0")
	}
	is.Equal(scheduler.servers["orders-0"].health.ejectedUntil, start.Add(maxEjectionTime))
	// An ejected server is chosen if there is no other one.
	choice, found := scheduler.Choose(start, orders, all, Job{})
	is.True(found)
	is.Equal(choice.Server.ID, "orders-0")
	scheduler.RecordResponse(start, "orders-0", false)
	is.Equal(scheduler.servers["orders-0"].health.connectionFailures, 0)
}

func TestDrainingServersAreNotChosen(t *testing.T) {
	is := is.New(t)
	all := servers("orders", 1)
	all["orders-0"] = spec.Server{ID: "orders-0", Service: "orders", Draining: true}
	scheduler := New("dc-0")
	scheduler.UpdateServers(all)
	_, found := scheduler.Choose(start, orders, all, Job{})
	is.True(!found)
}

func TestUsageOfRemovedPeersIsDropped(t *testing.T) {
	is := is.New(t)
	scheduler := New("dc-0")
	all := servers("chat", 2)
	scheduler.UpdateServers(all)
	running := func() int {
		return scheduler.servers["chat-0"].usage(start).Running + scheduler.servers["chat-1"].usage(start).Running
	}
	scheduler.SetPeerUsage(start, "host-1", map[string]Usage{"chat-0": {Running: 3}, "gone": {Running: 9}})
	scheduler.SetPeerUsage(start, "host-2", map[string]Usage{"chat-1": {Running: 2}})
	is.Equal(running(), 5)
	scheduler.SetPeerUsage(start, "host-1", map[string]Usage{"chat-1": {Running: 1}})
	is.Equal(running(), 3)
	scheduler.RetainPeers(start, value.NewSet("host-2"))
	is.Equal(running(), 2)
	is.Equal(len(scheduler.peerUsages), 1)
}

// One of four servers fails all requests but reports no problem. A host ejects it after a few failed requests and tries
// it again at increasing intervals.
func TestFailingServerIsTriedLessAndLessOften(t *testing.T) {
	is := is.New(t)
	scheduler := New("dc-0")
	all := servers("orders", 4)
	scheduler.UpdateServers(all)
	failed, sent := 0, 0
	var open []*Run
	for elapsed := time.Duration(0); elapsed < 10*time.Second; elapsed += 50 * time.Millisecond {
		now := start.Add(elapsed)
		if len(open) == 6 { // Six requests run at a time, so that all servers are used.
			scheduler.End(open[0])
			open = open[1:]
		}
		choice, found := scheduler.Choose(now, orders, all, Job{Avoid: value.NewSet[string](), Full: value.NewSet[string]()})
		is.True(found)
		open = append(open, scheduler.Start(now, choice.Server, Job{}))
		bad := choice.Server.ID == "orders-1"
		scheduler.RecordResponse(now.Add(20*time.Millisecond), choice.Server.ID, bad)
		sent++
		if bad {
			failed++
		}
	}
	ejections := scheduler.TakeEjections()
	t.Logf("%d of %d requests failed; server ejected %d times", failed, sent, len(ejections))
	is.True(failed <= minResponses+3*2) // Two more failures after 1.5 s, 4.5 s and 8.5 s each.
	is.True(len(ejections) >= 2 && ejections[0].Server == "orders-1" && ejections[1].Duration > ejections[0].Duration)
	is.Equal(len(scheduler.TakeEjections()), 0)
}

// A server that responds without errors again needs as many responses for its next ejection as any other one.
func TestRecoveredServerIsTreatedLikeOthers(t *testing.T) {
	is := is.New(t)
	health := &health{}
	for range minResponses {
		health.recordResponse(start, true)
	}
	is.True(health.ejected(start, 0))
	later := start.Add(errorEjectionTime)
	is.True(!health.ejected(later, 0))
	for range 2 * minResponses {
		health.recordResponse(later, false)
	}
	is.True(!health.ejected(later, 0))
	health.recordResponse(later, true)
	is.True(!health.ejected(later, 0))
	is.Equal(health.errorEjections, 0)
}

// Guards against requests to evacuated servers, also if there is no other one, and against a pause of such a server that refuses
// requests which others could take.
func TestEvacuatedServersAreNotChosen(t *testing.T) {
	is := is.New(t)
	for _, service := range []spec.Service{chat, orders} {
		all := servers(service.Name, 2)
		scheduler := newScheduler(all)
		evacuate := func(name string, evacuated bool) {
			server := all[name]
			server.Evacuated = evacuated
			all[name] = server
		}
		evacuate(service.Name+"-0", true)
		choice, found := scheduler.Choose(start, service, all, Job{})
		is.True(found)
		is.Equal(choice.Server.ID, service.Name+"-1")
		evacuate(service.Name+"-1", true)
		_, found = scheduler.Choose(start, service, all, Job{})
		is.True(!found)
		evacuate(service.Name+"-0", false)
		scheduler.RecordPause(start, all[service.Name+"-0"].Incarnation(), time.Second)
		is.Equal(scheduler.PauseOf(start, service, all), time.Second)
	}
}

// Guards against cold servers that get as much as others: they get less at first, and more as their cold time ends.
func TestColdServersGetLess(t *testing.T) {
	is := is.New(t)
	all := servers("orders", 2)
	cold := all["orders-0"]
	cold.ColdUntil = start.Add(10 * time.Second)
	all["orders-0"] = cold
	gate := warm.New("host-1")
	gate.Update(start, all)
	scheduler := New("dc-9", WithGate(gate))
	scheduler.UpdateServers(all)
	counts := func(now time.Time) int {
		count := 0
		var runs []*Run
		for range 12 {
			choice, _ := scheduler.Choose(now, orders, all, Job{})
			if choice.Server.ID == "orders-0" {
				count++
			}
			runs = append(runs, scheduler.Start(now, choice.Server, Job{}))
		}
		for _, run := range runs {
			scheduler.End(run)
		}
		return count
	}
	is.Equal(counts(start), 4)
	is.Equal(counts(start.Add(5*time.Second)), 5)
	is.Equal(counts(start.Add(10*time.Second)), 6)
}
