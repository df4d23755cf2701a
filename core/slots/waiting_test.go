package slots

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"lentilproxy"
	"lentilproxy/core/order"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// kindOfLoad describes requests that wait for loads. Together is the number of requests for the same adapter that arrive at a time.
type kindOfLoad struct {
	workspace string
	priority  int
	rate      float64
	together  int
	until     time.Duration
	objective time.Duration
	deadline  time.Duration
}

// waited is what happened to a request.
type waited struct {
	kind    int
	adapter string
	arrived time.Time
	state   LoadState
	after   time.Duration
	// loading reports whether the adapter was being loaded at the end of the wait.
	loading bool
}

// loadsPlay plays requests for adapters that are not loaded, on one server with 40 slots.
type loadsPlay struct {
	kinds      []kindOfLoad
	ordered    bool
	controller *Controller
	grants     *Grants
	engine     *engine
	open       map[int64]*waited
	ends       map[int64]time.Time
	all        []waited
}

// playLoads plays kinds of requests. Without order, the lease holder gives no grants, and loads are ordered as they are with few hosts.
func playLoads(seed uint64, ordered bool, loadTime time.Duration, kinds ...kindOfLoad) []waited {
	random := rand.New(rand.NewPCG(seed, seed))
	play := &loadsPlay{kinds: kinds, ordered: ordered, grants: NewGrants(), engine: newEngine(40), open: map[int64]*waited{}, ends: map[int64]time.Time{}}
	play.engine.loadTime = loadTime
	play.controller = New("m", play.engine.capacity, start)
	if ordered {
		play.controller.SetGrants(play.grants)
	}
	const step = 5 * time.Millisecond
	lastID := int64(0)
	for now := start; now.Before(start.Add(20 * time.Second)); now = now.Add(step) {
		for kind, played := range kinds {
			if now.Sub(start) >= played.until || random.Float64() >= played.rate*step.Seconds() {
				continue
			}
			adapter := fmt.Sprintf("a%d", lastID)
			for range max(1, played.together) {
				lastID++
				play.open[lastID] = &waited{kind: kind, adapter: adapter, arrived: now}
				play.settle(now, lastID, play.ask(now, lastID))
			}
		}
		play.step(now)
		for id := range lastID + 1 {
			if entry := play.open[id]; entry != nil {
				play.settle(now, id, play.check(now, id))
			}
		}
	}
	return play.all
}

// step ends requests, and sends the next order.
func (play *loadsPlay) step(now time.Time) {
	running := map[string]int{}
	for id, end := range play.ends {
		if !now.Before(end) {
			play.grants.End(id)
			delete(play.ends, id)
		}
	}
	for _, grant := range play.grants.active {
		running[grant.adapter]++
	}
	play.controller.SetRunning(now, "host", running)
	if play.controller.ReportDue(now) {
		play.controller.ApplyReport(now, play.engine.report(now))
	}
	play.controller.Retire(now)
	if next, found := play.controller.NextOrder(now, true); found {
		play.controller.MarkSent(now, next)
		play.controller.ApplyOutcome(now, next, play.engine.order(now, next))
	}
	play.grants.SetLoaded(play.controller.Ready())
}

func (play *loadsPlay) ask(now time.Time, id int64) Answer {
	entry := play.open[id]
	kind := play.kinds[entry.kind]
	if !play.ordered {
		return Answer{State: play.controller.RequestBy(now, entry.adapter, 1, now.Add(kind.objective))}
	}
	return play.controller.Wait(now, Waiter{
		ID: id, Adapter: entry.adapter, Demand: 1, Due: now.Add(kind.objective), Deadline: now.Add(kind.deadline), Priority: kind.priority,
		Workspace: kind.workspace,
	})
}

func (play *loadsPlay) check(now time.Time, id int64) Answer {
	if !play.ordered {
		return Answer{State: play.controller.State(now, play.open[id].adapter)}
	}
	return play.controller.Check(now, play.open[id].adapter, id)
}

func (play *loadsPlay) settle(now time.Time, id int64, answer Answer) {
	entry := play.open[id]
	if answer.State == LoadPending && now.Sub(entry.arrived) < play.kinds[entry.kind].deadline {
		return
	}
	if known := play.controller.entries[entry.adapter]; known != nil {
		entry.loading = known.phase == loading
	}
	play.controller.Leave(entry.adapter, id)
	delete(play.open, id)
	entry.state, entry.after = answer.State, now.Sub(entry.arrived)
	play.all = append(play.all, *entry)
	if answer.State == LoadReady && play.grants.Take(now, id, entry.adapter, 0, 1, now.Add(time.Minute)) {
		play.ends[id] = now.Add(300 * time.Millisecond)
		play.engine.runs[entry.adapter] = play.ends[id]
	}
}

// share returns the fraction of the requests of a kind that got their adapter within a time.
func share(all []waited, kind int, within time.Duration) float64 {
	count, timely := 0, 0
	for _, request := range all {
		if request.kind == kind {
			count++
			if request.state == LoadReady && request.after <= within {
				timely++
			}
		}
	}
	return float64(timely) / float64(max(1, count))
}

// vain returns the part of the requests that got no adapter, and of these the mean wait, the longest one for a load that had not begun, and the
// part refused at once.
func vain(all []waited) (part float64, mean, longest time.Duration, atOnce float64) {
	var sum time.Duration
	refused, early := 0, 0
	for _, request := range all {
		if request.state == LoadReady {
			continue
		}
		sum += request.after
		if !request.loading {
			longest = max(longest, request.after)
		}
		refused++
		if request.after == 0 {
			early++
		}
	}
	return float64(refused) / float64(max(1, len(all))), sum / time.Duration(max(1, refused)), longest, float64(early) / float64(max(1, refused))
}

// Guards against urgent requests that wait behind bursts of less urgent ones, each for an adapter that is not loaded and with more demand.
func TestUrgentLoadsComeFirst(t *testing.T) {
	urgent := kindOfLoad{workspace: "a", rate: 3, until: 18 * time.Second, objective: 700 * time.Millisecond, deadline: 2 * time.Second}
	patient := kindOfLoad{workspace: "b", priority: 1, rate: 9, together: 3, until: 18 * time.Second, objective: 2 * time.Second, deadline: 3 * time.Second}
	for seed := range uint64(3) {
		is := is.New(t)
		before := playLoads(seed, false, 250*time.Millisecond, urgent, patient)
		after := playLoads(seed, true, 250*time.Millisecond, urgent, patient)
		t.Logf("seed %d: urgent in time %.3f, before %.3f; less urgent %.3f, before %.3f", seed, share(after, 0, urgent.objective),
			share(before, 0, urgent.objective), share(after, 1, patient.objective), share(before, 1, patient.objective))
		is.True(share(after, 0, urgent.objective) >= 0.95)
	}
}

// Guards against requests that wait since one workspace asks for ten times as many loads as the others.
func TestOneWorkspaceDoesNotDelayTheLoadsOfOthers(t *testing.T) {
	usual := kindOfLoad{workspace: "a", rate: 3, until: 18 * time.Second, objective: time.Second, deadline: 2 * time.Second}
	flood := kindOfLoad{workspace: "flood", rate: 30, until: 18 * time.Second, objective: time.Second, deadline: 2 * time.Second}
	for seed := range uint64(3) {
		is := is.New(t)
		before, after := playLoads(seed, false, 250*time.Millisecond, usual, flood), playLoads(seed, true, 250*time.Millisecond, usual, flood)
		t.Logf("seed %d: others in time %.3f, before %.3f; flood %.3f, before %.3f", seed, share(after, 0, usual.objective),
			share(before, 0, usual.objective), share(after, 1, flood.objective), share(before, 1, flood.objective))
		is.True(share(after, 0, usual.objective) >= 0.9)
	}
}

// Guards against requests that wait for loads that a slow weight store cannot do before their deadlines, and against a server that loads
// less since it refuses requests.
func TestLateLoadsAreRefusedEarly(t *testing.T) {
	chats := kindOfLoad{workspace: "a", rate: 12, until: 18 * time.Second, objective: 1500 * time.Millisecond, deadline: 2 * time.Second}
	for seed := range uint64(3) {
		is := is.New(t)
		before, after := playLoads(seed, false, 700*time.Millisecond, chats), playLoads(seed, true, 700*time.Millisecond, chats)
		partBefore, waitBefore, longestBefore, earlyBefore := vain(before)
		partAfter, waitAfter, longestAfter, earlyAfter := vain(after)
		t.Logf("seed %d: without adapter %.3f, before %.3f; mean wait of these %s, before %s; longest %s, before %s; refused at once %.3f, before %.3f; "+
			"in time %.3f, before %.3f", seed, partAfter, partBefore, waitAfter.Round(time.Millisecond), waitBefore.Round(time.Millisecond), longestAfter,
			longestBefore, earlyAfter, earlyBefore, share(after, 0, chats.objective), share(before, 0, chats.objective))
		is.True(partAfter <= 1.05*partBefore)
		is.True(earlyAfter >= 0.5)
		// Until loads have been observed, one is assumed to take less than it does.
		is.True(longestAfter <= chats.deadline-usualStoreLoad+10*time.Millisecond)
	}
}

// loadNext lets the server load the next adapter, and returns its name.
func loadNext(now time.Time, controller *Controller, engine *engine) (time.Time, string) {
	for {
		next, found := controller.NextOrder(now, true)
		if !found {
			now = now.Add(5 * time.Millisecond)
			continue
		}
		controller.MarkSent(now, next)
		controller.ApplyOutcome(now, next, engine.order(now, next))
		if next.Kind == lentilproxy.Load && !next.Poll {
			return now, next.Ref.Adapter
		}
	}
}

// withGrants returns a controller and an engine of which the first loads are ordered already, so that further ones wait.
func withGrants() (*Controller, *engine) {
	engine := newEngine(40)
	controller := New("m", engine.capacity, start)
	controller.SetGrants(NewGrants())
	controller.ApplyReport(start, engine.report(start))
	for index := range MaxStoreLoads {
		controller.Request(start, fmt.Sprintf("first%d", index), 1)
		loadNext(start, controller, engine)
	}
	return controller, engine
}

// Guards against a load that stays as urgent as the request that asked first, and against requests of previous versions that are lost.
func TestLoadIsAsUrgentAsItsMostUrgentRequest(t *testing.T) {
	is := is.New(t)
	controller, engine := withGrants()
	due := start.Add(5 * time.Second)
	controller.Wait(start, Waiter{ID: 1, Adapter: "unstated", Due: due, Priority: order.LeastUrgent})
	controller.Wait(start, Waiter{ID: 2, Adapter: "shared", Due: due, Priority: 3, Workspace: "a"})
	controller.Wait(start, Waiter{ID: 3, Adapter: "other", Due: due, Priority: 2, Workspace: "a"})
	is.Equal(controller.Wait(start, Waiter{ID: 4, Adapter: "shared", Due: due, Priority: 1, Workspace: "a"}).Ahead, 0)
	is.Equal(controller.Waiting(), map[int]int{order.LeastUrgent: 1, 1: 1, 2: 1, 3: 1})
	now := start
	var loads []string
	var name string
	for range 3 {
		now, name = loadNext(now, controller, engine)
		loads = append(loads, name)
	}
	is.Equal(loads, []string{"shared", "other", "unstated"})
}

// Guards against a request that never gets its load since more urgent ones always wait, more than the server accepts.
func TestNoLoadStarves(t *testing.T) {
	is := is.New(t)
	controller, engine := withGrants()
	now := start
	var name string
	controller.Wait(now, Waiter{ID: 1, Adapter: "patient", Due: now.Add(time.Minute), Priority: 9, Workspace: "b"})
	for id := int64(2); ; id++ {
		now = now.Add(time.Millisecond)
		controller.Wait(now, Waiter{ID: id, Adapter: fmt.Sprintf("a%d", id), Due: now.Add(time.Minute), Workspace: "a"})
		if id <= maxRequested+3 {
			continue
		}
		now, name = loadNext(now, controller, engine)
		if name == "patient" {
			break
		}
		is.True(id < maxRequested+3+20) // One in 16.
	}
}

// Guards against a refused caller that returns as asked and gets its load after newcomers, and against refusals of requests that the load
// for another one serves.
func TestRefusedCallerReturnsBeforeNewcomers(t *testing.T) {
	is := is.New(t)
	controller, engine := withGrants()
	ask := func(now time.Time, id int64, adapter string, deadline time.Duration) Answer {
		return controller.Wait(now, Waiter{
			ID: id, Adapter: adapter, Due: now.Add(time.Second), Deadline: now.Add(deadline), Workspace: "a", Digest: adapter, MaxReturn: time.Second,
		})
	}
	for id := range int64(6) {
		is.Equal(ask(start, id+1, fmt.Sprintf("a%d", id), 2*time.Second).State, LoadPending)
	}
	refused := ask(start, 10, "refused", 600*time.Millisecond)
	is.Equal(refused.State, LoadLate)
	is.Equal(refused.Reason, ReasonBusy)
	is.Equal(refused.Ahead, 6)
	is.True(refused.RetryAfter > 0 && refused.RetryAfter <= time.Second)
	is.Equal(ask(start, 11, "first0", 400*time.Millisecond).State, LoadPending) // It is being loaded.
	is.Equal(ask(start, 12, "a0", 600*time.Millisecond).State, LoadPending)     // It is loaded next.
	now := start.Add(refused.RetryAfter)
	is.Equal(ask(now, 13, "newcomer", 2*time.Second).State, LoadPending)
	is.Equal(ask(now, 14, "refused", 2*time.Second).State, LoadPending)
	for {
		var name string
		now, name = loadNext(now, controller, engine)
		is.True(name != "newcomer")
		if name == "refused" {
			break
		}
	}
}

// Guards against an adapter with much demand that is never loaded, since the requests that ask for it are all late.
func TestAdapterWithMuchDemandIsLoadedForLaterRequests(t *testing.T) {
	is := is.New(t)
	controller, engine := withGrants()
	late := func(id int64, adapter string, repeated bool) {
		answer := controller.Wait(start, Waiter{
			ID: id, Adapter: adapter, Demand: 1, Due: start.Add(time.Second), Deadline: start.Add(100 * time.Millisecond), Repeated: repeated,
		})
		is.Equal(answer.State, LoadLate)
	}
	for id := range int64(4) {
		late(id+1, "wanted", false)
		late(id+10, "repeated", true) // The demand counts at the server that was asked first.
	}
	late(20, "rare", false)
	controller.Wait(start, Waiter{ID: 30, Adapter: "timely", Due: start.Add(time.Minute), Workspace: "a"})
	now, name := loadNext(start, controller, engine)
	is.Equal(name, "timely")
	now, name = loadNext(now, controller, engine)
	is.Equal(name, "wanted")
	now = serve(now, 2*time.Second, controller, engine)
	is.Equal(controller.Counts(now).Requested, 1) // The rare one, for a while.
}

// Guards against loads beyond the capacity, against waiting requests that never get an answer, and against waits without an end.
func TestEveryWaitingRequestGetsAnAnswer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		engine := newEngine(rapid.IntRange(2, 14).Draw(t, "places"))
		engine.loadTime = time.Duration(rapid.IntRange(100, 1500).Draw(t, "load")) * time.Millisecond
		controller := New("m", engine.capacity, start)
		controller.SetGrants(NewGrants())
		open := map[int64]Waiter{}
		now := start
		for id := range int64(rapid.IntRange(50, 300).Draw(t, "steps")) {
			now = now.Add(time.Duration(rapid.IntRange(1, 60).Draw(t, "ms")) * time.Millisecond)
			request := Waiter{
				ID: id + 1, Adapter: fmt.Sprintf("a%d", rapid.IntRange(0, 20).Draw(t, "adapter")), Demand: 1,
				Priority: rapid.IntRange(0, 3).Draw(t, "priority"), Workspace: rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "workspace"),
				Due:      now.Add(time.Duration(rapid.IntRange(-100, 900).Draw(t, "due")) * time.Millisecond),
				Deadline: now.Add(time.Duration(rapid.IntRange(1, 2500).Draw(t, "deadline")) * time.Millisecond),
				Digest:   rapid.SampledFrom([]string{"", "x", "y"}).Draw(t, "digest"), Repeated: rapid.Bool().Draw(t, "repeated"),
			}
			if answer := controller.Wait(now, request); answer.State == LoadPending {
				open[request.ID] = request
			}
			if controller.ReportDue(now) {
				controller.ApplyReport(now, engine.report(now))
			}
			controller.Retire(now)
			if next, found := controller.NextOrder(now, true); found {
				controller.MarkSent(now, next)
				controller.ApplyOutcome(now, next, engine.order(now, next))
			}
			for id, request := range open {
				answer := controller.Check(now, request.Adapter, id)
				if answer.State != LoadPending {
					delete(open, id)
				} else if !now.Before(request.Deadline) {
					t.Fatalf("%s still waits after its deadline", request.Adapter)
				}
				if answer.State == LoadLate && answer.RetryAfter < order.MinRetryAfter {
					t.Fatalf("to return after %s", answer.RetryAfter)
				}
			}
			if engine.overCapacity {
				t.Fatal("a load was ordered without a free slot")
			}
			if requested := controller.Counts(now).Requested; requested > 2*maxRequested+1 {
				t.Fatalf("%d adapters wait", requested)
			}
			waiting := 0
			for _, count := range controller.Waiting() {
				waiting += count
			}
			if waiting > len(open) {
				t.Fatalf("%d requests wait, %d are known", waiting, len(open))
			}
		}
	})
}
