package sched

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"lentilproxy"
	"lentilproxy/core/cost"
	loads "lentilproxy/core/slots"
	"lentilproxy/core/spec"
	"lentilproxy/core/value"

	"github.com/matryer/is"
)

const (
	tick      = 5 * time.Millisecond
	storeTime = 250 * time.Millisecond
	copyTime  = 25 * time.Millisecond
	// adapterPlaces is the number of adapters that a simulated server can have loaded.
	adapterPlaces = 16
	// givenUpAfter is how long a simulated request waits for its adapter.
	givenUpAfter = 2 * time.Second
)

// adapterFleet simulates one host with lease holders of servers that run models, the servers, and the weight store, which loads a
// limited number of adapters at full speed.
type adapterFleet struct {
	scheduler *Scheduler
	now       time.Time
	all       map[string]spec.Server
	slots     slots
	engines   map[string]*simulatedEngine
	waiting   []*waitingRequest
	ending    []simulatedEnd
	// transit counts the loads in progress from the weight store.
	transit   int
	slowness  float64
	kept      int
	fromStore int
	fromCopy  int
	refused   int
	waits     []time.Duration
}

// simulatedEngine is a server with its lease holder. copies is in the order of the unloads.
type simulatedEngine struct {
	controller *loads.Controller
	loaded     map[string]bool
	loading    map[string]time.Time
	fromStore  map[string]bool
	running    map[string]int
	copies     []string
}

// waitingRequest is a request that has no server yet, or waits for its adapter there.
type waitingRequest struct {
	job     Job
	work    time.Duration
	arrived time.Time
	server  string
	// replica requests only ask for a load.
	replica bool
	again   time.Time
}

type simulatedEnd struct {
	first, end time.Time
	run        *Run
}

// newAdapterFleet returns a simulation. Without loadsCount, all loads are expected to take loadLatency.
func newAdapterFleet(count int, loadsCount bool) *adapterFleet {
	fleet := &adapterFleet{
		scheduler: New("dc-0", WithCosts(cost.New())), now: start, all: servers("chat", count), slots: slots{}, engines: map[string]*simulatedEngine{}, slowness: 1, kept: maxCopies,
	}
	if !loadsCount {
		fleet.scheduler.loads = nil
	}
	fleet.scheduler.UpdateServers(fleet.all)
	for _, name := range value.Sorted(fleet.all) {
		fleet.slots[name] = make([]time.Time, 8)
		engine := &simulatedEngine{
			controller: loads.New("m", adapterPlaces, start), loaded: map[string]bool{}, loading: map[string]time.Time{}, fromStore: map[string]bool{}, running: map[string]int{},
		}
		engine.controller.ApplyReport(start, spec.Report{Models: []spec.LoadedModel{{Model: "m"}}})
		fleet.engines[name] = engine
	}
	return fleet
}

// order carries out an order of the lease holder.
func (fleet *adapterFleet) order(engine *simulatedEngine, order lentilproxy.Order) lentilproxy.OrderOutcome {
	name := order.Ref.Adapter
	if order.Kind == lentilproxy.Unload {
		if engine.running[name] > 0 {
			return lentilproxy.OrderAccepted
		}
		delete(engine.loaded, name)
		engine.copies = append(slices.DeleteFunc(engine.copies, func(copied string) bool { return copied == name }), name)
		engine.copies = engine.copies[max(0, len(engine.copies)-fleet.kept):]
		return lentilproxy.OrderSatisfied
	}
	end, loading := engine.loading[name]
	switch {
	case engine.loaded[name]:
		return lentilproxy.OrderSatisfied
	case loading && !fleet.now.Before(end):
		delete(engine.loading, name)
		engine.loaded[name] = true
		return lentilproxy.OrderSatisfied
	case loading:
	case slices.Contains(engine.copies, name):
		fleet.fromCopy++
		engine.loading[name] = fleet.now.Add(copyTime)
	default:
		fleet.fromStore++
		fleet.transit++
		engine.fromStore[name] = true
		full := max(1, float64(fleet.transit)/float64(2*len(fleet.all)))
		engine.loading[name] = fleet.now.Add(time.Duration(fleet.slowness * full * float64(storeTime)))
	}
	return lentilproxy.OrderAccepted
}

// step simulates the time of one tick.
func (fleet *adapterFleet) step(number int) {
	fleet.now = fleet.now.Add(tick)
	fleet.ending = slices.DeleteFunc(fleet.ending, func(ending simulatedEnd) bool {
		if !ending.first.After(fleet.now) {
			fleet.scheduler.RecordFirstToken(fleet.now, ending.run)
		}
		if ending.end.After(fleet.now) {
			return false
		}
		fleet.scheduler.End(ending.run)
		fleet.engines[ending.run.server].running[ending.run.adapter]--
		return true
	})
	for _, name := range value.Sorted(fleet.all) {
		engine := fleet.engines[name]
		for adapter := range engine.fromStore {
			if !fleet.now.Before(engine.loading[adapter]) {
				fleet.transit--
				delete(engine.fromStore, adapter)
			}
		}
		engine.controller.SetRunning(fleet.now, "host", engine.running)
		engine.controller.Retire(fleet.now)
		// A server carries out one order in 10 ms.
		if order, found := engine.controller.NextOrder(fleet.now, false); found && number%2 == 0 {
			engine.controller.MarkSent(fleet.now, order)
			engine.controller.ApplyOutcome(fleet.now, order, fleet.order(engine, order))
		}
		fleet.scheduler.SetLoaded(name, 0, Loaded{Model: "m", Orderable: true, Adapters: engine.controller.Ready()})
	}
	fleet.waiting = slices.DeleteFunc(fleet.waiting, fleet.proceed)
}

// proceed chooses a server for a request, or looks whether its adapter is loaded. It reports whether the request no longer waits.
func (fleet *adapterFleet) proceed(request *waitingRequest) bool {
	adapter := request.job.Ref.Adapter
	if request.server != "" {
		engine := fleet.engines[request.server]
		state := engine.controller.State(fleet.now, adapter)
		if duration := engine.controller.LoadTime(fleet.now, adapter); state == loads.LoadReady && duration > 0 {
			fleet.scheduler.RecordLoad(fleet.now, spec.Incarnation{ID: request.server}, ObservedLoad{Adapter: adapter, Duration: duration, Ended: true})
		}
		switch {
		case state == loads.LoadReady && !request.replica:
			fleet.serve(request)
			return true
		case state == loads.LoadReady, request.replica && state == loads.LoadRejected:
			return true
		case state == loads.LoadRejected:
			request.job.Full.Add(request.server)
			request.server = ""
		}
	}
	switch {
	case fleet.now.Sub(request.arrived) > givenUpAfter:
		fleet.refused++
		fleet.waits = append(fleet.waits, givenUpAfter)
		return true
	case request.server != "" || fleet.now.Before(request.again):
		return false
	}
	choice, found := fleet.scheduler.Choose(fleet.now, chat, fleet.all, request.job)
	switch {
	case !found:
		request.again = fleet.now.Add(120 * time.Millisecond)
		clear(request.job.Full)
	case choice.Load:
		fleet.await(request, choice.Server.ID)
	default:
		request.server = choice.Server.ID
		fleet.serve(request)
	}
	if choice.ReplicateTo != "" {
		replica := &waitingRequest{job: request.job, arrived: fleet.now, replica: true}
		fleet.await(replica, choice.ReplicateTo)
		fleet.waiting = append(fleet.waiting, replica)
	}
	return found && !choice.Load
}

func (fleet *adapterFleet) await(request *waitingRequest, server string) {
	request.server = server
	fleet.engines[server].controller.RequestBy(fleet.now, request.job.Ref.Adapter, 1, request.arrived.Add(givenUpAfter/4))
}

func (fleet *adapterFleet) serve(request *waitingRequest) {
	engine := fleet.engines[request.server]
	engine.controller.AddDemand(fleet.now, request.job.Ref.Adapter, 1)
	engine.running[request.job.Ref.Adapter]++
	run := fleet.scheduler.Start(fleet.now, fleet.all[request.server], request.job)
	end := fleet.slots.run(fleet.now, request.server, request.work)
	first := end.Add(20*time.Millisecond - request.work)
	fleet.waits = append(fleet.waits, first.Sub(request.arrived))
	fleet.ending = append(fleet.ending, simulatedEnd{first, end, run})
}

// play sends requests of 200 ms on average for a while. pick returns the adapter of each request.
func (fleet *adapterFleet) play(duration time.Duration, perSecond float64, pick func(elapsed time.Duration, random *rand.Rand) int) {
	random := rand.New(rand.NewPCG(7, 8))
	next := fleet.now
	for number := range int(duration / tick) {
		for !next.After(fleet.now) {
			next = next.Add(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
			fleet.waiting = append(fleet.waiting, &waitingRequest{
				job:  Job{Ref: spec.AdapterRef{Model: "m", Adapter: fmt.Sprint("a", pick(fleet.now.Sub(start), random))}, PromptTokens: 500, OutputTokens: 70, Full: value.NewSet[string]()},
				work: 20*time.Millisecond + time.Duration(random.ExpFloat64()*180*float64(time.Millisecond)), arrived: fleet.now,
			})
		}
		fleet.step(number)
	}
}

// late returns the fraction of the requests without a first event within 500 ms.
func (fleet *adapterFleet) late() float64 {
	slices.Sort(fleet.waits)
	inTime, _ := slices.BinarySearch(fleet.waits, 500*time.Millisecond)
	return 1 - float64(inTime)/float64(len(fleet.waits))
}

// Guards against choices that ignore the load times, and under light load against copies that are passed over while their load time is not
// known yet. In each case, popularity moves back and forth every 5 s between two sets of 90 adapters that fit into the servers' recent
// copies, on six servers. The weight store is as fast as usual, or slower by a factor of three, or the servers keep far fewer copies than
// expected.
func TestLoadsFromTheWeightStore(t *testing.T) {
	for name, test := range map[string]struct {
		perSecond float64
		slowness  float64
		kept      int
		noWorse   bool
	}{
		"popularity moves": {perSecond: 150, slowness: 1, kept: maxCopies},
		"store slow":       {perSecond: 150, slowness: 3, kept: maxCopies},
		"copies gone":      {perSecond: 150, slowness: 1, kept: 10},
		"light load":       {perSecond: 60, slowness: 1, kept: maxCopies, noWorse: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			before, after := newAdapterFleet(6, false), newAdapterFleet(6, true)
			for _, fleet := range []*adapterFleet{before, after} {
				fleet.slowness, fleet.kept = test.slowness, test.kept
				fleet.play(40*time.Second, test.perSecond, func(elapsed time.Duration, random *rand.Rand) int {
					return int(elapsed/(5*time.Second))%2*90 + int(90*random.Float64()*random.Float64())
				})
				t.Logf("%d requests: %d loads from the store, %d from copies; %.4f late, %d refused, 95th percentile %v", len(fleet.waits), fleet.fromStore,
					fleet.fromCopy, fleet.late(), fleet.refused, fleet.waits[len(fleet.waits)*95/100].Round(time.Millisecond))
			}
			is.True(after.fromStore < before.fromStore || (test.noWorse && after.fromStore == before.fromStore))
			is.True(after.late() <= before.late())
		})
	}
}

// copyFleet returns servers of which the first one has loaded adapter "a", and others have unloaded it.
func copyFleet(count int, unloaded ...string) (*Scheduler, map[string]spec.Server) {
	all := servers("chat", count)
	scheduler := New("dc-0", WithCosts(cost.New()))
	scheduler.UpdateServers(all)
	for name := range all {
		scheduler.SetLoaded(name, 0, Loaded{Model: "m", Orderable: true, Adapters: map[string]int64{"a": 1}})
		scheduler.SetLoaded(name, 0, Loaded{Model: "m", Orderable: true})
	}
	for name := range all {
		if !slices.Contains(unloaded, name) {
			scheduler.servers[name].copies = copies{}
		}
	}
	for range 4 {
		scheduler.loads.Observe(start, cost.StoreLoad, storeTime)
		scheduler.loads.Observe(start, cost.CopyLoad, copyTime)
	}
	return scheduler, all
}

// Guards against a load from the weight store on an idle server while one with a copy is slightly busy, against waiting for a server with
// a copy that is very busy, and against a copy that counts although the loads have shown that copies are gone.
func TestBusyServerWithCopy(t *testing.T) {
	for name, test := range map[string]struct {
		running  int
		gone     bool
		withCopy bool
	}{
		"idle":                {running: 0, withCopy: true},
		"slightly busy":       {running: 11, withCopy: true},
		"very busy":           {running: 15},
		"copies gone, busy":   {running: 11, gone: true},
		"copies gone, a tie":  {running: 0, gone: true, withCopy: true},
		"slots just in use":   {running: 8, withCopy: true},
		"busier by the store": {running: 40},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for _, copied := range []string{"chat-0", "chat-1", "chat-2"} {
				scheduler, all := copyFleet(3, copied)
				for range 20 {
					if test.gone {
						scheduler.RecordLoad(start, spec.Incarnation{ID: copied}, ObservedLoad{Adapter: "a", Version: 1, Duration: storeTime, Ended: true})
					}
				}
				for range test.running {
					scheduler.Start(start, all[copied], Job{})
				}
				explanation := scheduler.Explain(start, chat, all, Job{Ref: adapter})
				is.True(explanation.Load)
				is.Equal(explanation.Chosen == copied, test.withCopy)
				for _, server := range explanation.Servers {
					is.Equal(server.RecentCopy, server.Server == copied)
					is.Equal(server.LoadMS < 100, server.Server == copied && !test.gone)
				}
			}
		})
	}
}

// Guards against copies that are expected after a restart, in another model, of an older version, from an old registration, or beyond
// the number that a server keeps.
func TestCopiesAreForgotten(t *testing.T) {
	is := is.New(t)
	all := map[string]spec.Server{"s": {ID: "s", Models: []spec.LoadedModel{{Model: "m", Adapters: map[string]int64{"old": 1}}}}}
	scheduler := New("dc-0", WithCosts(cost.New()))
	scheduler.UpdateServers(all)
	copied := func(name string, version int64) bool { return scheduler.servers["s"].copies.has(name, version) }
	report := func(model string, adapters map[string]int64) {
		scheduler.SetLoaded("s", 0, Loaded{Model: model, Orderable: true, Adapters: adapters})
	}
	report("m", map[string]int64{"a": 2})
	scheduler.SetNotOrderable("s")
	report("m", nil)
	is.True(!copied("old", 0))
	is.True(copied("a", 2) && !copied("a", 3))
	for number := range maxCopies {
		is.True(copied("a", 2))
		report("m", map[string]int64{fmt.Sprint(number): 1})
	}
	report("m", map[string]int64{"b": 1})
	is.True(!copied("a", 2) && copied("0", 1))
	is.Equal(len(scheduler.servers["s"].copies.entries), maxCopies)
	expected := scheduler.Copies(spec.Incarnation{ID: "s"})
	is.Equal(expected[0], "0")
	is.Equal(expected[maxCopies-1], fmt.Sprint(maxCopies-1))
	is.Equal(len(scheduler.Copies(spec.Incarnation{ID: "s", StartedMillis: 1})), 0)
	scheduler.RemoveAdapter("s", "b")
	is.True(copied("b", 1))
	report("other", nil)
	is.True(!copied("b", 1))
	report("other", map[string]int64{"b": 1})
	report("other", nil)
	is.True(copied("b", 1))
	scheduler.UpdateServers(map[string]spec.Server{"s": {ID: "s", StartedMillis: 1}})
	is.True(!copied("b", 1))
}

// Guards against a replica whose load from the weight store costs more than the few waits that it saves, and against none for an adapter
// whose requests wait on and on or whose replica costs little.
func TestReplicaPays(t *testing.T) {
	replicatedAt := func(slow int, unloaded ...string) int {
		scheduler, all := copyFleet(2, unloaded...)
		scheduler.AddAdapter("chat-0", 0, "a", 1)
		for range slow {
			scheduler.loads.Observe(start, cost.StoreLoad, 3*storeTime)
		}
		for range 11 {
			scheduler.Start(start, all["chat-0"], Job{})
		}
		for request := 1; request <= 30; request++ {
			if choice, _ := scheduler.Choose(start.Add(time.Duration(request)*100*time.Millisecond), chat, all, Job{Ref: adapter}); choice.ReplicateTo != "" || choice.Load {
				return request
			}
		}
		return 0
	}
	is := is.New(t)
	store, slow := replicatedAt(0), replicatedAt(20)
	t.Logf("replica at request %d, with a slow store at request %d", store, slow)
	is.Equal(replicatedAt(0, "chat-1"), 1)
	is.True(store > 1)
	is.True(slow > store)

	scheduler, all := copyFleet(2)
	scheduler.AddAdapter("chat-0", 0, "a", 1)
	for range 11 {
		scheduler.Start(start, all["chat-0"], Job{})
	}
	for request := range 20 {
		choice, _ := scheduler.Choose(start.Add(time.Duration(request)*30*time.Second), chat, all, Job{Ref: adapter})
		is.Equal(choice.ReplicateTo, "") // Single requests, long after each other.
	}
}
