package place

import (
	"fmt"
	"sort"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"lentilproxy"
	"lentilproxy/core/value"
)

var start = time.Unix(1_700_000_000, 0)

const (
	engineCount = 2
	slotCount   = 2
	hostCount   = 3
	modelCount  = 6
	// takeover is the time from a change of owners until the new owner starts to act; the former owner acts until then.
	takeover = 3100 * time.Millisecond
)

// message is a delayed delivery.
type message struct {
	at      time.Time
	deliver func()
}

// fakeEngine counts the running requests of each loaded instance, and fails the test if an instance with running
// requests is unloaded.
type fakeEngine struct {
	name          string
	checksFencing bool
	highestToken  int64
	loaded        map[string]int
	loading       map[string]bool
	refusals      int
}

// owner is a manager that acts until ended is set.
type owner struct {
	manager *Manager
	tickets map[int64]func(Reply)
	ended   bool
	// orders counts the outstanding orders. ordersEndAt is when those of earlier owners have certainly ended.
	orders      int
	ordersEndAt time.Time
}

// simulation is a pool with hosts, engines and successive owners, and with random message delays.
type simulation struct {
	t       *rapid.T
	now     time.Time
	pending []message
	engines map[string]*fakeEngine
	hosts   []*PermitTracker
	owners  []*owner
	next    int64
}

func newSimulation(t *rapid.T) *simulation {
	simulation := &simulation{t: t, now: start, engines: map[string]*fakeEngine{}}
	for number := range engineCount {
		name := fmt.Sprintf("engine-%d", number)
		simulation.engines[name] = &fakeEngine{
			name: name, checksFencing: rapid.Bool().Draw(t, "fencing"), loaded: map[string]int{}, loading: map[string]bool{},
		}
	}
	for range hostCount {
		simulation.hosts = append(simulation.hosts, NewPermitTracker())
	}
	simulation.replaceOwner()
	return simulation
}

func (simulation *simulation) current() *owner { return simulation.owners[len(simulation.owners)-1] }

func hostName(number int) string { return fmt.Sprintf("host-%d", number) }

// replaceOwner starts a new owner. Hosts that respond to its census give up the permits that they do not use.
func (simulation *simulation) replaceOwner() {
	simulation.next++
	owner := &owner{
		manager: NewManager(simulation.next, WithBudget(NewBudget(50, 3)), WithPolicy(NewDemandPolicy())), tickets: map[int64]func(Reply){},
	}
	var specs []EngineSpec
	for _, name := range value.Sorted(simulation.engines) {
		specs = append(specs, EngineSpec{Name: name, BaseModel: "base", Slots: slotCount})
	}
	owner.manager.Configure(specs)
	idle := true
	if len(simulation.owners) > 0 {
		former := simulation.current()
		former.ended = true
		idle = former.orders == 0 && !simulation.now.Before(former.ordersEndAt) && rapid.Bool().Draw(simulation.t, "former owner responds")
	}
	if !idle {
		owner.ordersEndAt = simulation.now.Add(MaxInstanceUse)
	}
	engines := value.NewSet(value.Sorted(simulation.engines)...)
	var census []Census
	for number, host := range simulation.hosts {
		report := Census{Host: hostName(number)}
		if rapid.IntRange(0, 3).Draw(simulation.t, "silent") > 0 {
			report.Uses, report.Complete = host.RevokeAll(simulation.now, simulation.next-1, engines), true
		}
		census = append(census, report)
	}
	for _, name := range value.Sorted(simulation.engines) {
		engine := simulation.engines[name]
		if engine.checksFencing {
			engine.highestToken = max(engine.highestToken, simulation.next)
		}
		loaded := value.Sorted(engine.loaded)
		if engine.checksFencing || idle {
			owner.manager.TakeOver(simulation.now, name, loaded, census)
		}
		owner.manager.UpdateEngine(simulation.now, simulation.now, name, loaded)
		owner.manager.ReleaseUnused(simulation.now, name, census)
	}
	simulation.owners = append(simulation.owners, owner)
}

func (simulation *simulation) schedule(limit int, step func()) {
	wait := rapid.SampledFrom([]int{1, 2, 50, limit}).Draw(simulation.t, "delay")
	simulation.pending = append(simulation.pending, message{at: simulation.now.Add(time.Duration(wait) * time.Millisecond), deliver: step})
}

// request sends a request from a host to an adapter version. Without a permit, the host requests one instead.
func (simulation *simulation) request(number int, name string) {
	host := simulation.hosts[number]
	if permits := host.Usable(simulation.now, name); len(permits) > 0 && host.StartRequest(simulation.now, permits[0].Instance) {
		simulation.run(number, permits[0])
		return
	}
	owner := simulation.current()
	sentAt := simulation.now
	request := PermitRequest{Model: name, BaseModel: "base", Workspace: "w", Weight: 1, Avoid: simulation.reportMissing(number)}
	simulation.schedule(3000, func() {
		if owner.ended {
			return
		}
		ticket := owner.manager.Acquire(simulation.now, hostName(number), request, simulation.now.Add(20*time.Second))
		owner.tickets[ticket] = func(reply Reply) {
			simulation.schedule(8000, func() {
				if reply.Refusal == RefuseNone {
					host.Add(sentAt, reply.Permit)
				}
			})
		}
		simulation.step(owner)
	})
}

// reportMissing returns instances that a host considers missing, sometimes wrongly: its connection to the engine may
// have failed for another reason.
func (simulation *simulation) reportMissing(number int) []string {
	if rapid.IntRange(0, 4).Draw(simulation.t, "reports missing") > 0 {
		return nil
	}
	var missing []string
	for _, engine := range value.Sorted(simulation.engines) {
		for _, instance := range value.Sorted(simulation.engines[engine].loaded) {
			if len(missing) == 0 && rapid.Bool().Draw(simulation.t, "instance missing") {
				missing = append(missing, instance)
				simulation.hosts[number].MarkLost(instance)
			}
		}
	}
	return missing
}

func (simulation *simulation) run(number int, permit Permit) {
	engine := simulation.engines[permit.Engine]
	host := simulation.hosts[number]
	if _, found := engine.loaded[permit.Instance]; !found {
		host.MarkLost(permit.Instance)
		host.FinishRequest(permit.Instance)
		return
	}
	engine.loaded[permit.Instance]++
	length := time.Duration(rapid.SampledFrom([]int{10, 500, 5000, int(RequestDeadline.Milliseconds())}).Draw(simulation.t, "length")) * time.Millisecond
	simulation.pending = append(simulation.pending, message{at: simulation.now.Add(length), deliver: func() {
		if _, found := engine.loaded[permit.Instance]; found {
			engine.loaded[permit.Instance]--
		}
		host.FinishRequest(permit.Instance)
	}})
}

func (simulation *simulation) step(owner *owner) {
	if owner.ended {
		return
	}
	replies, orders := owner.manager.Step(simulation.now)
	for _, reply := range replies {
		owner.tickets[reply.Ticket](reply)
	}
	for _, order := range orders {
		simulation.order(owner, order)
	}
}

func (simulation *simulation) order(owner *owner, order Order) {
	if order.Kind == OrderRevoke {
		for _, name := range order.Hosts {
			simulation.revoke(owner, name, order)
		}
		return
	}
	owner.orders++
	// An order may reach the engine long after its owner was replaced.
	simulation.schedule(9000, func() {
		ok := simulation.engines[order.Engine].execute(simulation.t, owner.manager.Epoch(), order)
		simulation.schedule(100, func() {
			owner.orders--
			if order.Kind == OrderLoad {
				owner.manager.FinishLoad(simulation.now, order.Instance, ok)
			} else {
				owner.manager.FinishUnload(simulation.now, order.Engine, order.Instance, ok)
			}
			simulation.step(owner)
		})
	})
}

func (simulation *simulation) revoke(owner *owner, name string, order Order) {
	number := int(name[len(name)-1] - '0')
	simulation.schedule(3000, func() {
		returned := simulation.hosts[number].Revoke(simulation.now, owner.manager.Epoch(), []string{order.Instance})
		simulation.schedule(3000, func() {
			if len(returned) == 0 {
				owner.manager.CancelRevocation(simulation.now, name, order.Instance)
			} else {
				owner.manager.ReturnPermits(name, returned)
			}
			simulation.step(owner)
		})
	})
}

// execute carries out an order, and fails the test if it unloads an instance with running requests.
func (engine *fakeEngine) execute(t *rapid.T, token int64, order Order) bool {
	if engine.checksFencing && token < engine.highestToken {
		return false
	}
	engine.highestToken = max(engine.highestToken, token)
	if order.Kind == OrderLoad {
		if len(engine.loaded) >= slotCount {
			engine.refusals++
			return false
		}
		engine.loaded[order.Instance] = 0
		return true
	}
	if engine.loaded[order.Instance] > 0 {
		t.Fatalf("%s was unloaded while it served", order.Instance)
	}
	delete(engine.loaded, order.Instance)
	return true
}

func (simulation *simulation) report(number int) {
	host, owner := simulation.hosts[number], simulation.current()
	sentAt, usages := simulation.now, host.CollectUsage(simulation.now)
	simulation.schedule(3000, func() {
		if owner.ended {
			return
		}
		renewed := owner.manager.Report(simulation.now, hostName(number), usages)
		simulation.schedule(3000, func() {
			host.ConfirmReport(usages)
			for _, permit := range renewed {
				host.Add(sentAt, permit)
			}
		})
	})
}

func (simulation *simulation) advance(until time.Time) {
	for {
		sort.SliceStable(simulation.pending, func(left, right int) bool { return simulation.pending[left].at.Before(simulation.pending[right].at) })
		if len(simulation.pending) == 0 || simulation.pending[0].at.After(until) {
			break
		}
		next := simulation.pending[0]
		simulation.pending = simulation.pending[1:]
		simulation.now = next.at
		next.deliver()
	}
	simulation.now = until
}

func (simulation *simulation) restart(engine *fakeEngine) {
	clear(engine.loaded)
	engine.highestToken = 0
}

// Guards against unloading an instance that serves a request. Messages are delayed, engines restart and owners are
// replaced at random; some engines check fencing tokens and others ignore them.
func TestNothingUnloadedWhileServing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		simulation := newSimulation(t)
		for range rapid.IntRange(20, 120).Draw(t, "steps") {
			number := rapid.IntRange(0, hostCount-1).Draw(t, "host")
			switch rapid.IntRange(0, 19).Draw(t, "action") {
			case 0:
				// The former owner acts until the takeover time is over; its orders may arrive even later.
				simulation.advance(simulation.now.Add(takeover))
				simulation.replaceOwner()
			case 1:
				simulation.restart(simulation.engines[fmt.Sprintf("engine-%d", rapid.IntRange(0, engineCount-1).Draw(t, "engine"))])
			case 2, 3, 4:
				simulation.report(number)
			case 5, 6:
				for _, name := range value.Sorted(simulation.engines) {
					simulation.current().manager.UpdateEngine(simulation.now, simulation.now, name, value.Sorted(simulation.engines[name].loaded))
				}
			default:
				simulation.request(number, fmt.Sprintf("w/a%d@v1", rapid.IntRange(0, modelCount-1).Draw(t, "model")))
			}
			simulation.step(simulation.current())
			simulation.advance(simulation.now.Add(time.Duration(rapid.SampledFrom([]int{0, 20, 300, 2000, 15000}).Draw(t, "wait")) * time.Millisecond))
		}
	})
}

// Checks that the policies choose an engine whenever one is possible, and never a full engine without an eviction, an
// engine of another base model, or a busy instance to evict.
func TestPoliciesChooseAllowedEngines(t *testing.T) {
	policies := map[string]lentilproxy.PlacementPolicy{
		"demand": NewDemandPolicy(), "least loaded": NewLeastLoadedPolicy(), "rendezvous": NewRendezvousPolicy(),
	}
	rapid.Check(t, func(t *rapid.T) {
		var engines []lentilproxy.EngineState
		for number := range rapid.IntRange(0, 4).Draw(t, "engines") {
			engine := lentilproxy.EngineState{
				Name: fmt.Sprintf("engine-%d", number), Slots: rapid.IntRange(1, 3).Draw(t, "slots"),
				BaseModel: rapid.SampledFrom([]string{"base", "other"}).Draw(t, "base"),
			}
			for held := range rapid.IntRange(0, engine.Slots).Draw(t, "held") {
				engine.Held = append(engine.Held, lentilproxy.HeldInstance{
					Instance: fmt.Sprintf("i%d.%d", number, held), Adapter: fmt.Sprintf("a%d", rapid.IntRange(0, 5).Draw(t, "adapter")),
					Busy: rapid.Bool().Draw(t, "busy"), Rate: rapid.Float64Range(0, 9).Draw(t, "rate"),
				})
			}
			engines = append(engines, engine)
		}
		for name, policy := range policies {
			choice, found := policy.Choose(start, lentilproxy.Demand{Adapter: "a0", BaseModel: "base"}, engines)
			if found != possible(engines) {
				t.Fatalf("%s found an engine: %v, want %v", name, found, possible(engines))
			}
			if found && !allowed(engines, choice) {
				t.Fatalf("%s chose %+v of %+v", name, choice, engines)
			}
		}
	})
}

// possible reports whether any engine has a free slot or an idle instance to evict, by trying all choices.
func possible(engines []lentilproxy.EngineState) bool {
	for _, engine := range engines {
		if allowed(engines, lentilproxy.Choice{Engine: engine.Name}) {
			return true
		}
		for _, held := range engine.Held {
			if allowed(engines, lentilproxy.Choice{Engine: engine.Name, Evict: held.Instance}) {
				return true
			}
		}
	}
	return false
}

// allowed reports whether a choice is valid for adapter a0.
func allowed(engines []lentilproxy.EngineState, choice lentilproxy.Choice) bool {
	for _, engine := range engines {
		if engine.Name != choice.Engine || engine.BaseModel != "base" {
			continue
		}
		for _, held := range engine.Held {
			if held.Adapter == "a0" {
				return false
			}
		}
		if choice.Evict == "" {
			return len(engine.Held) < engine.Slots
		}
		for _, held := range engine.Held {
			if held.Instance == choice.Evict {
				return !held.Busy && len(engine.Held) == engine.Slots
			}
		}
	}
	return false
}

func TestBudgetLimitsRateAndConcurrency(t *testing.T) {
	is := is.New(t)
	budget := NewBudget(3, 2)
	now := start
	is.True(budget.Allows(now, 0))
	is.True(!budget.Allows(now, 2)) // two concurrent loads
	budget.Take(now)
	budget.Take(now)
	is.True(!budget.Allows(now.Add(300*time.Millisecond), 0)) // three loads per second
	is.True(budget.Allows(now.Add(334*time.Millisecond), 0))
}
