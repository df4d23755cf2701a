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

var epoch = time.Unix(1_700_000_000, 0)

const (
	modelEngines = 2
	modelSlots   = 2
	modelHosts   = 3
	modelModels  = 6
	// takeover is how long after a change of owners the new one starts to act; the former one acts until then.
	takeover = 3100 * time.Millisecond
)

type message struct {
	at      time.Time
	deliver func()
}

// fakeEngine books what runs where, and fails the test when an unload hits a running request.
type fakeEngine struct {
	name     string
	fencing  bool
	highest  int64
	loaded   map[string]int
	loading  map[string]bool
	refusals int
}

// owner is one manager, which acts until it is ended.
type owner struct {
	manager *Manager
	tickets map[int64]func(Reply)
	ended   bool
	// orders counts the orders that are under way, and cleanAt is when those of earlier owners have surely ended.
	orders  int
	cleanAt time.Time
}

// model is a pool with hosts, engines and a succession of owners, and messages that take any time.
type model struct {
	t        *rapid.T
	now      time.Time
	inFlight []message
	engines  map[string]*fakeEngine
	hosts    []*PermitTracker
	owners   []*owner
	next     int64
}

func newModel(t *rapid.T) *model {
	model := &model{t: t, now: epoch, engines: map[string]*fakeEngine{}}
	for number := range modelEngines {
		name := fmt.Sprintf("engine-%d", number)
		model.engines[name] = &fakeEngine{
			name: name, fencing: rapid.Bool().Draw(t, "fencing"), loaded: map[string]int{}, loading: map[string]bool{},
		}
	}
	for range modelHosts {
		model.hosts = append(model.hosts, NewPermitTracker())
	}
	model.appoint()
	return model
}

func (model *model) current() *owner { return model.owners[len(model.owners)-1] }

func hostName(number int) string { return fmt.Sprintf("host-%d", number) }

// appoint makes a new owner. Hosts that take part in the census give up what they do not use.
func (model *model) appoint() {
	model.next++
	owner := &owner{
		manager: NewManager(model.next, WithBudget(NewBudget(50, 3)), WithPolicy(NewDemandPolicy())), tickets: map[int64]func(Reply){},
	}
	var specs []EngineSpec
	for _, name := range value.Sorted(model.engines) {
		specs = append(specs, EngineSpec{Name: name, BaseModel: "base", Slots: modelSlots})
	}
	owner.manager.Configure(specs)
	idle := true
	if len(model.owners) > 0 {
		former := model.current()
		former.ended = true
		idle = former.orders == 0 && !model.now.Before(former.cleanAt) && rapid.Bool().Draw(model.t, "former answers")
	}
	if !idle {
		owner.cleanAt = model.now.Add(MaxInstanceUse)
	}
	engines := value.NewSet(value.Sorted(model.engines)...)
	var census []Census
	for number, host := range model.hosts {
		report := Census{Host: hostName(number)}
		if rapid.IntRange(0, 3).Draw(model.t, "silent") > 0 {
			report.Uses, report.Complete = host.RevokeAll(model.now, model.next-1, engines), true
		}
		census = append(census, report)
	}
	for _, name := range value.Sorted(model.engines) {
		engine := model.engines[name]
		if engine.fencing {
			engine.highest = max(engine.highest, model.next)
		}
		loaded := value.Sorted(engine.loaded)
		if engine.fencing || idle {
			owner.manager.TakeOver(model.now, name, loaded, census)
		}
		owner.manager.UpdateEngine(model.now, model.now, name, loaded)
		owner.manager.ReleaseUnused(model.now, name, census)
	}
	model.owners = append(model.owners, owner)
}

func (model *model) later(limit int, step func()) {
	wait := rapid.SampledFrom([]int{1, 2, 50, limit}).Draw(model.t, "delay")
	model.inFlight = append(model.inFlight, message{at: model.now.Add(time.Duration(wait) * time.Millisecond), deliver: step})
}

// request sends a request of a host to an adapter version, asking for a permit first if it has none.
func (model *model) request(number int, name string) {
	host := model.hosts[number]
	if permits := host.Usable(model.now, name); len(permits) > 0 && host.StartRequest(model.now, permits[0].Instance) {
		model.run(number, permits[0])
		return
	}
	owner := model.current()
	sentAt := model.now
	want := PermitRequest{Model: name, BaseModel: "base", Workspace: "w", Weight: 1, Avoid: model.missed(number)}
	model.later(3000, func() {
		if owner.ended {
			return
		}
		ticket := owner.manager.Acquire(model.now, hostName(number), want, model.now.Add(20*time.Second))
		owner.tickets[ticket] = func(reply Reply) {
			model.later(8000, func() {
				if reply.Refusal == RefuseNone {
					host.Add(sentAt, reply.Permit)
				}
			})
		}
		model.step(owner)
	})
}

// missed returns instances that a host takes to be missing, at times wrongly: its connection to the engine may have
// failed for another reason.
func (model *model) missed(number int) []string {
	if rapid.IntRange(0, 4).Draw(model.t, "missed") > 0 {
		return nil
	}
	var missed []string
	for _, engine := range value.Sorted(model.engines) {
		for _, instance := range value.Sorted(model.engines[engine].loaded) {
			if len(missed) == 0 && rapid.Bool().Draw(model.t, "this one") {
				missed = append(missed, instance)
				model.hosts[number].MarkLost(instance)
			}
		}
	}
	return missed
}

func (model *model) run(number int, permit Permit) {
	engine := model.engines[permit.Engine]
	host := model.hosts[number]
	if _, found := engine.loaded[permit.Instance]; !found {
		host.MarkLost(permit.Instance)
		host.FinishRequest(permit.Instance)
		return
	}
	engine.loaded[permit.Instance]++
	length := time.Duration(rapid.SampledFrom([]int{10, 500, 5000, int(RequestDeadline.Milliseconds())}).Draw(model.t, "length")) * time.Millisecond
	model.inFlight = append(model.inFlight, message{at: model.now.Add(length), deliver: func() {
		if _, found := engine.loaded[permit.Instance]; found {
			engine.loaded[permit.Instance]--
		}
		host.FinishRequest(permit.Instance)
	}})
}

func (model *model) step(owner *owner) {
	if owner.ended {
		return
	}
	replies, orders := owner.manager.Step(model.now)
	for _, reply := range replies {
		owner.tickets[reply.Ticket](reply)
	}
	for _, order := range orders {
		model.order(owner, order)
	}
}

func (model *model) order(owner *owner, order Order) {
	if order.Kind == OrderRevoke {
		for _, name := range order.Hosts {
			model.revoke(owner, name, order)
		}
		return
	}
	owner.orders++
	// An order may reach the engine long after its owner was replaced.
	model.later(9000, func() {
		ok := model.engines[order.Engine].obey(model.t, owner.manager.Epoch(), order)
		model.later(100, func() {
			owner.orders--
			if order.Kind == OrderLoad {
				owner.manager.FinishLoad(model.now, order.Instance, ok)
			} else {
				owner.manager.FinishUnload(model.now, order.Engine, order.Instance, ok)
			}
			model.step(owner)
		})
	})
}

func (model *model) revoke(owner *owner, name string, order Order) {
	number := int(name[len(name)-1] - '0')
	model.later(3000, func() {
		returned := model.hosts[number].Revoke(model.now, owner.manager.Epoch(), []string{order.Instance})
		model.later(3000, func() {
			if len(returned) == 0 {
				owner.manager.CancelRevocation(model.now, name, order.Instance)
			} else {
				owner.manager.ReturnPermits(name, returned)
			}
			model.step(owner)
		})
	})
}

// obey carries out an order, and fails the test if it unloads what serves.
func (engine *fakeEngine) obey(t *rapid.T, fencing int64, order Order) bool {
	if engine.fencing && fencing < engine.highest {
		return false
	}
	engine.highest = max(engine.highest, fencing)
	if order.Kind == OrderLoad {
		if len(engine.loaded) >= modelSlots {
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

func (model *model) report(number int) {
	host, owner := model.hosts[number], model.current()
	sentAt, uses := model.now, host.CollectUsage(model.now)
	model.later(3000, func() {
		if owner.ended {
			return
		}
		renewed := owner.manager.Report(model.now, hostName(number), uses)
		model.later(3000, func() {
			host.ConfirmReport(uses)
			for _, permit := range renewed {
				host.Add(sentAt, permit)
			}
		})
	})
}

func (model *model) advance(until time.Time) {
	for {
		sort.SliceStable(model.inFlight, func(left, right int) bool { return model.inFlight[left].at.Before(model.inFlight[right].at) })
		if len(model.inFlight) == 0 || model.inFlight[0].at.After(until) {
			break
		}
		next := model.inFlight[0]
		model.inFlight = model.inFlight[1:]
		model.now = next.at
		next.deliver()
	}
	model.now = until
}

func (model *model) restart(engine *fakeEngine) {
	clear(engine.loaded)
	engine.highest = 0
}

// Whatever is late, restarted, replaced or racing, no instance is unloaded while it serves, on engines that check
// fencing numbers and on engines that ignore them.
func TestNothingUnloadedWhileServing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := newModel(t)
		for range rapid.IntRange(20, 120).Draw(t, "steps") {
			number := rapid.IntRange(0, modelHosts-1).Draw(t, "host")
			switch rapid.IntRange(0, 19).Draw(t, "action") {
			case 0:
				// The former owner acts until the takeover time is over; its orders may arrive later still.
				model.advance(model.now.Add(takeover))
				model.appoint()
			case 1:
				model.restart(model.engines[fmt.Sprintf("engine-%d", rapid.IntRange(0, modelEngines-1).Draw(t, "engine"))])
			case 2, 3, 4:
				model.report(number)
			case 5, 6:
				for _, name := range value.Sorted(model.engines) {
					model.current().manager.UpdateEngine(model.now, model.now, name, value.Sorted(model.engines[name].loaded))
				}
			default:
				model.request(number, fmt.Sprintf("w/a%d@v1", rapid.IntRange(0, modelModels-1).Draw(t, "model")))
			}
			model.step(model.current())
			model.advance(model.now.Add(time.Duration(rapid.SampledFrom([]int{0, 20, 300, 2000, 15000}).Draw(t, "wait")) * time.Millisecond))
		}
	})
}

// The policies never choose an engine without room, or one that serves another base model, or a busy victim.
func TestPolicies(t *testing.T) {
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
			choice, found := policy.Choose(epoch, lentilproxy.Demand{Adapter: "a0", BaseModel: "base"}, engines)
			if found != possible(engines) {
				t.Fatalf("%s says %v, but a place exists: %v", name, found, possible(engines))
			}
			if found && !allowed(engines, choice) {
				t.Fatalf("%s chose %+v of %+v", name, choice, engines)
			}
		}
	})
}

// possible is the naive version: is there any engine with room or an idle instance?
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

func TestBudget(t *testing.T) {
	is := is.New(t)
	budget := NewBudget(3, 2)
	now := epoch
	is.True(budget.Allows(now, 0))
	is.True(!budget.Allows(now, 2)) // two at once
	budget.Take(now)
	budget.Take(now)
	is.True(!budget.Allows(now.Add(300*time.Millisecond), 0)) // three a second
	is.True(budget.Allows(now.Add(334*time.Millisecond), 0))
}
