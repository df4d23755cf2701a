package sched

import (
	"fmt"
	"testing"
	"time"

	"lentilproxy/core/spec"
	"lentilproxy/core/value"

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

// newTable returns a table of engines that hold a model and can take orders.
func newTable(all map[string]spec.Server) *Table {
	table := New("dc-0")
	table.Update(all)
	for name := range all {
		table.Hold(name, 0, Held{Model: "m", Orderable: true, Adapters: map[string]int64{}})
	}
	return table
}

func TestAdapterHasOneHome(t *testing.T) {
	is := is.New(t)
	all := servers("chat", 9)
	table := newTable(all)
	first, found := table.Choose(start, chat, all, Job{Ref: adapter, Prompt: 500})
	is.True(found)
	is.True(first.Load)
	for range 20 {
		again, _ := table.Choose(start, chat, all, Job{Ref: adapter, Prompt: 500})
		is.Equal(again.Server.ID, first.Server.ID)
	}
	// Without that server the next one in the adapter's order takes its place, and without a place there as well.
	delete(all, first.Server.ID)
	second, _ := table.Choose(start, chat, all, Job{Ref: adapter, Prompt: 500})
	is.True(second.Server.ID != first.Server.ID)
	third, _ := table.Choose(start, chat, all, Job{Ref: adapter, Prompt: 500, Full: value.NewSet(second.Server.ID)})
	is.True(third.Server.ID != second.Server.ID)
}

func TestRequestsGoWhereTheAdapterIs(t *testing.T) {
	is := is.New(t)
	all := servers("chat", 9)
	table := newTable(all)
	table.Hold("chat-3", 0, Held{Model: "m", Orderable: true, Adapters: map[string]int64{"a": 2}})
	choice, _ := table.Choose(start, chat, all, Job{Ref: adapter})
	is.Equal(choice.Server.ID, "chat-3")
	is.True(!choice.Load)
	newer, _ := table.Choose(start, chat, all, Job{Ref: adapter, Version: 3})
	is.True(newer.Load) // An older version is not good enough.
	table.Evicted("chat-3", "a")
	gone, _ := table.Choose(start, chat, all, Job{Ref: adapter})
	is.True(gone.Load)
	table.Arrived("chat-5", 0, "a", 1)
	back, _ := table.Choose(start, chat, all, Job{Ref: adapter})
	is.Equal(back.Server.ID, "chat-5")
	is.True(!back.Load)
}

// A busy adapter gets a further copy, and its requests are divided over both.
func TestBusyAdapterIsCopied(t *testing.T) {
	is := is.New(t)
	all := servers("chat", 4)
	table := newTable(all)
	table.Hold("chat-1", 0, Held{Model: "m", Orderable: true, Adapters: map[string]int64{"a": 1}})
	job := Job{Ref: adapter, Prompt: 700, Output: 70}
	copied := ""
	for range 12 {
		choice, _ := table.Choose(start, chat, all, job)
		table.Start(start, choice.Server, job)
		if choice.Copy != "" {
			copied = choice.Copy
		}
	}
	is.True(copied != "")
	table.Arrived(copied, 0, "a", 1)
	counts := map[string]int{}
	for range 12 {
		choice, _ := table.Choose(start, chat, all, job)
		counts[choice.Server.ID]++
		table.Start(start, choice.Server, job)
	}
	is.True(counts[copied] >= 8) // The empty one catches up first.
}

func TestLoadOfOtherHostsCounts(t *testing.T) {
	is := is.New(t)
	all := servers("orders", 2)
	table := New("dc-0")
	table.Update(all)
	job := Job{}
	choice, _ := table.Choose(start, orders, all, job)
	is.Equal(choice.Server.ID, "orders-0") // The own data centre comes first.
	table.Peer(start, "host-2", map[string]Usage{"orders-0": {Running: 4}})
	choice, _ = table.Choose(start, orders, all, job)
	is.Equal(choice.Server.ID, "orders-1")
	choice, _ = table.Choose(start.Add(usageLifetime), orders, all, job)
	is.Equal(choice.Server.ID, "orders-0") // What a silent host said no longer counts.
}

func TestRunsAreCountedOnce(t *testing.T) {
	is := is.New(t)
	all := servers("chat", 1)
	table := newTable(all)
	job := Job{Ref: adapter, Prompt: 100, Output: 10}
	run := table.Start(start, all["chat-0"], job)
	is.Equal(table.Own()["chat-0"], Usage{Running: 1, Backlog: 100, Tokens: 110})
	table.First(start.Add(time.Millisecond), run)
	table.First(start.Add(time.Millisecond), run)
	is.Equal(table.Own()["chat-0"], Usage{Running: 1, Tokens: 110})
	table.End(run)
	is.Equal(len(table.Own()), 0)

	// A run on a life of the server that has ended changes nothing of the next life.
	stale := table.Start(start, all["chat-0"], job)
	all["chat-0"] = spec.Server{ID: "chat-0", Service: "chat", Born: 7}
	table.Update(all)
	table.End(stale)
	is.Equal(len(table.Own()), 0)
}

func TestServersThatFailAreAvoided(t *testing.T) {
	for name, test := range map[string]struct {
		fail  func(table *Table)
		until time.Duration
	}{
		"unreachable": {func(table *Table) { table.Unreachable(start, "orders-0") }, ejectFor},
		"full":        {func(table *Table) { table.Full(start, "orders-0") }, ejectFor},
		"errors": {func(table *Table) {
			for range 6 {
				table.Answered(start, "orders-0", true)
				table.Answered(start, "orders-1", false)
			}
		}, greyEjectFor},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			all := servers("orders", 2)
			table := New("dc-0")
			table.Update(all)
			test.fail(table)
			choice, _ := table.Choose(start, orders, all, Job{})
			is.Equal(choice.Server.ID, "orders-1")
			choice, _ = table.Choose(start.Add(test.until+time.Millisecond), orders, all, Job{})
			is.Equal(choice.Server.ID, "orders-0") // It gets another chance.
		})
	}
}

// Errors that all servers of a service make say nothing about one of them.
func TestErrorsOfAllServersEjectNone(t *testing.T) {
	is := is.New(t)
	all := servers("orders", 3)
	table := New("dc-0")
	table.Update(all)
	for range 10 {
		for name := range all {
			table.Answered(start, name, true)
		}
	}
	choice, _ := table.Choose(start, orders, all, Job{})
	is.Equal(choice.Server.ID, "orders-0")
}

func TestEjectionDoublesUpToItsBound(t *testing.T) {
	is := is.New(t)
	all := servers("orders", 1)
	table := New("dc-0")
	table.Update(all)
	for range 20 {
		table.Unreachable(start, "orders-0")
	}
	is.Equal(table.servers["orders-0"].health.ejectedUntil, start.Add(maxEjectFor))
	// It is still better than none.
	choice, found := table.Choose(start, orders, all, Job{})
	is.True(found)
	is.Equal(choice.Server.ID, "orders-0")
	table.Answered(start, "orders-0", false)
	is.Equal(table.servers["orders-0"].health.failures, 0)
}

func TestDrainingServersAreNotChosen(t *testing.T) {
	is := is.New(t)
	all := servers("orders", 1)
	all["orders-0"] = spec.Server{ID: "orders-0", Service: "orders", Draining: true}
	table := New("dc-0")
	table.Update(all)
	_, found := table.Choose(start, orders, all, Job{})
	is.True(!found)
}

func TestPeersAreForgotten(t *testing.T) {
	is := is.New(t)
	table := New("dc-0")
	all := servers("chat", 2)
	table.Update(all)
	running := func() int {
		return table.servers["chat-0"].usage(start).Running + table.servers["chat-1"].usage(start).Running
	}
	table.Peer(start, "host-1", map[string]Usage{"chat-0": {Running: 3}, "gone": {Running: 9}})
	table.Peer(start, "host-2", map[string]Usage{"chat-1": {Running: 2}})
	is.Equal(running(), 5)
	table.Peer(start, "host-1", map[string]Usage{"chat-1": {Running: 1}})
	is.Equal(running(), 3)
	table.KeepPeers(start, value.NewSet("host-2"))
	is.Equal(running(), 2)
	is.Equal(len(table.told), 1)
}

// One of four servers fails all that it is sent, and says that it is well: a host finds out with a few requests, and tries
// it again ever less often.
func TestFailingServerIsTriedEverLessOften(t *testing.T) {
	is := is.New(t)
	table := New("dc-0")
	all := servers("orders", 4)
	table.Update(all)
	failed, asked := 0, 0
	var open []*Run
	for elapsed := time.Duration(0); elapsed < 10*time.Second; elapsed += 50 * time.Millisecond {
		now := start.Add(elapsed)
		if len(open) == 6 { // As many run at a time, so that all servers are used.
			table.End(open[0])
			open = open[1:]
		}
		choice, found := table.Choose(now, orders, all, Job{Avoid: value.NewSet[string](), Full: value.NewSet[string]()})
		is.True(found)
		open = append(open, table.Start(now, choice.Server, Job{}))
		bad := choice.Server.ID == "orders-1"
		table.Answered(now.Add(20*time.Millisecond), choice.Server.ID, bad)
		asked++
		if bad {
			failed++
		}
	}
	avoided := table.TakeAvoided()
	t.Logf("%d of %d requests failed; avoided %d times", failed, asked, len(avoided))
	is.True(failed <= minSamples+3*2) // Two more after 1.5 s, 4.5 s and 8.5 s each.
	is.True(len(avoided) >= 2 && avoided[0].Server == "orders-1" && avoided[1].For > avoided[0].For)
	is.Equal(len(table.TakeAvoided()), 0)
}

// A server that has answered well again is judged as any other one.
func TestServerThatIsWellAgainIsTrusted(t *testing.T) {
	is := is.New(t)
	known := &health{}
	for range minSamples {
		known.answered(start, true)
	}
	is.True(known.ejected(start, 0))
	later := start.Add(greyEjectFor)
	is.True(!known.ejected(later, 0))
	for range 2 * minSamples {
		known.answered(later, false)
	}
	is.True(!known.ejected(later, 0))
	known.answered(later, true)
	is.True(!known.ejected(later, 0))
	is.Equal(known.greys, 0)
}
