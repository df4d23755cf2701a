package bench

import (
	"container/heap"
	"fmt"
	"sort"
	"testing"
	"time"

	"lentilproxy"
	"lentilproxy/core/place"
)

// simulation runs the placement decisions of one experiment in virtual time, with hosts that hold permits, one owner of
// the pool, and engines that are modelled only by their adapter slots.
type simulation struct {
	plan           *plan
	now            time.Time
	manager        *place.Manager
	hosts          []*place.PermitTracker
	events         eventHeap
	pendingReplies map[int64]func(place.Reply)
	stalls         []time.Duration
	// restartAt is the time at which restartEngine restarts an engine. beforeRestart and afterRestart count the requests
	// and stalls of the 20 s before and after it.
	restartAt                   time.Time
	beforeRestart, afterRestart stallCount
	requests                    int
	refused                     int
}

type stallCount struct {
	requests int
	stalled  int
}

func (count stallCount) percent() float64 {
	return 100 * float64(count.stalled) / float64(max(1, count.requests))
}

const restartWindow = 20 * time.Second

type event struct {
	at  time.Time
	run func()
}

type eventHeap []event

// Len implements heap.Interface.
func (events eventHeap) Len() int { return len(events) }

// Less implements heap.Interface.
func (events eventHeap) Less(left, right int) bool { return events[left].at.Before(events[right].at) }

// Swap implements heap.Interface.
func (events eventHeap) Swap(left, right int) {
	events[left], events[right] = events[right], events[left]
}

// Push implements heap.Interface.
func (events *eventHeap) Push(item any) { *events = append(*events, item.(event)) }

// Pop implements heap.Interface.
func (events *eventHeap) Pop() any {
	last := (*events)[len(*events)-1]
	*events = (*events)[:len(*events)-1]
	return last
}

func (simulation *simulation) after(wait time.Duration, run func()) {
	heap.Push(&simulation.events, event{at: simulation.now.Add(wait), run: run})
}

func simulate(plan *plan, policy lentilproxy.PlacementPolicy, seed int64) *simulation {
	start := time.Unix(1_700_000_000, 0)
	simulation := &simulation{plan: plan, now: start, pendingReplies: map[int64]func(place.Reply){}}
	simulation.manager = place.NewManager(1, place.WithPolicy(policy), place.WithBudget(place.NewBudget(plan.fleet.LoadsPerSecond, plan.fleet.Parallel)))
	var specs []place.EngineSpec
	for number := range plan.fleet.Engines {
		specs = append(specs, place.EngineSpec{Name: fmt.Sprintf("engine-%d", number+1), BaseModel: "base-1", Slots: plan.fleet.Slots})
	}
	simulation.manager.Configure(specs)
	for _, spec := range specs {
		simulation.manager.UpdateEngine(start, start, spec.Name, nil)
	}
	for range plan.fleet.Hosts {
		simulation.hosts = append(simulation.hosts, place.NewPermitTracker())
	}
	for _, arrival := range plan.arrivals(seed) {
		heap.Push(&simulation.events, event{at: start.Add(arrival.at), run: func() { simulation.arrive(arrival) }})
	}
	for at := time.Duration(0); at < plan.experiment.Length; at += time.Second {
		heap.Push(&simulation.events, event{at: start.Add(at), run: simulation.report})
	}
	simulation.restartAt = start.Add(plan.experiment.Length * 7 / 10)
	heap.Push(&simulation.events, event{at: simulation.restartAt, run: simulation.restartEngine})
	end := start.Add(plan.experiment.Length + time.Minute)
	for simulation.events.Len() > 0 && simulation.now.Before(end) {
		next := heap.Pop(&simulation.events).(event)
		simulation.now = next.at
		next.run()
		simulation.step()
	}
	return simulation
}

func (simulation *simulation) arrive(arrival arrival) {
	simulation.request(arrival, simulation.now)
}

func (simulation *simulation) request(arrival arrival, arrivedAt time.Time) {
	host := simulation.hosts[arrival.host]
	model := arrival.adapter + "@v1"
	if permits := host.Usable(simulation.now, model); len(permits) > 0 && host.StartRequest(simulation.now, permits[0].Instance) {
		simulation.count(arrival, simulation.now.Sub(arrivedAt), false)
		simulation.after(time.Duration(arrival.tokens)*20*time.Millisecond, func() { host.FinishRequest(permits[0].Instance) })
		return
	}
	requestedAt := simulation.now
	request := place.PermitRequest{Model: model, Workspace: arrival.workspace, BaseModel: "base-1", Batch: arrival.batch, Weight: 1}
	ticket := simulation.manager.Acquire(simulation.now, fmt.Sprint(arrival.host), request, arrivedAt.Add(10*time.Second))
	simulation.pendingReplies[ticket] = func(reply place.Reply) {
		if reply.Refusal != place.RefuseNone {
			simulation.count(arrival, simulation.now.Sub(arrivedAt), true)
			return
		}
		host.Add(requestedAt, reply.Permit)
		simulation.request(arrival, arrivedAt)
	}
}

// restartEngine restarts the engine that holds the first adapter of the first workspace, which is its most popular one
// at the start, or the first engine if none holds it. The engine loses all adapters and is back after a second.
func (simulation *simulation) restartEngine() {
	engine := "engine-1"
	first := adapterName(simulation.plan.workspaces[0].name, 0) + "@v1"
	for _, host := range simulation.hosts {
		for _, permit := range host.Usable(simulation.now, first) {
			engine = permit.Engine
		}
	}
	for _, host := range simulation.hosts {
		for _, usage := range host.CollectUsage(simulation.now) {
			if usage.Engine == engine {
				host.MarkLost(usage.Instance)
			}
		}
	}
	simulation.manager.EngineDown(engine)
	simulation.after(time.Second, func() { simulation.manager.UpdateEngine(simulation.now, simulation.now, engine, nil) })
}

func (simulation *simulation) count(arrival arrival, stall time.Duration, refused bool) {
	if arrival.at < simulation.plan.experiment.WarmUp {
		return
	}
	simulation.requests++
	if refused {
		simulation.refused++
	}
	counts := &simulation.beforeRestart
	if !simulation.now.Before(simulation.restartAt) {
		counts = &simulation.afterRestart
	}
	inWindow := simulation.now.Sub(simulation.restartAt).Abs() < restartWindow
	if inWindow {
		counts.requests++
	}
	if stall >= stallThreshold {
		simulation.stalls = append(simulation.stalls, stall)
		if inWindow {
			counts.stalled++
		}
	}
}

func (simulation *simulation) report() {
	for number, host := range simulation.hosts {
		usages := host.CollectUsage(simulation.now)
		for _, permit := range simulation.manager.Report(simulation.now, fmt.Sprint(number), usages) {
			host.Add(simulation.now, permit)
		}
		host.ConfirmReport(usages)
	}
}

func (simulation *simulation) step() {
	replies, orders := simulation.manager.Step(simulation.now)
	for _, order := range orders {
		simulation.execute(order)
	}
	for _, reply := range replies {
		onReply := simulation.pendingReplies[reply.Ticket]
		delete(simulation.pendingReplies, reply.Ticket)
		onReply(reply)
	}
}

func (simulation *simulation) execute(order place.Order) {
	switch order.Kind {
	case place.OrderLoad:
		simulation.after(simulation.plan.fleet.LoadTime, func() { simulation.manager.FinishLoad(simulation.now, order.Instance, true) })
	case place.OrderUnload:
		simulation.after(time.Millisecond, func() { simulation.manager.FinishUnload(simulation.now, order.Engine, order.Instance, true) })
	case place.OrderRevoke:
		for _, name := range order.Hosts {
			var number int
			_, _ = fmt.Sscan(name, &number)
			simulation.after(3*time.Millisecond, func() {
				returned := simulation.hosts[number].Revoke(simulation.now, 1, []string{order.Instance})
				if len(returned) == 0 {
					simulation.manager.CancelRevocation(simulation.now, name, order.Instance)
				}
				simulation.manager.ReturnPermits(name, returned)
			})
		}
	}
}

// BenchmarkPolicies compares the placement policies on both example deployments, in virtual time.
func BenchmarkPolicies(b *testing.B) {
	for _, file := range []string{"guarda-chuva", "balcon-verde"} {
		plan, err := readPlan("../../examples/load/" + file + ".ini")
		if err != nil {
			b.Fatal(err)
		}
		policies := map[string]func() lentilproxy.PlacementPolicy{
			"demand":       func() lentilproxy.PlacementPolicy { return place.NewDemandPolicy() },
			"least_loaded": func() lentilproxy.PlacementPolicy { return place.NewLeastLoadedPolicy() },
			"rendezvous":   func() lentilproxy.PlacementPolicy { return place.NewRendezvousPolicy() },
		}
		for _, name := range []string{"demand", "least_loaded", "rendezvous"} {
			b.Run(file+"/"+name, func(b *testing.B) {
				var stalled, p95, refused, loads, before, after []float64
				for seed := range int64(5) {
					simulation := simulate(plan, policies[name](), seed+1)
					sort.Slice(simulation.stalls, func(left, right int) bool { return simulation.stalls[left] < simulation.stalls[right] })
					stalled = append(stalled, 100*float64(len(simulation.stalls))/float64(simulation.requests))
					if len(simulation.stalls) > 0 {
						p95 = append(p95, float64(simulation.stalls[len(simulation.stalls)*95/100].Milliseconds()))
					}
					before, after = append(before, simulation.beforeRestart.percent()), append(after, simulation.afterRestart.percent())
					refused = append(refused, float64(simulation.refused))
					loads = append(loads, float64(simulation.manager.Loads()))
				}
				b.ReportMetric(median(stalled), "stalled_%")
				b.ReportMetric(median(p95), "p95_ms")
				b.ReportMetric(median(refused), "refused")
				b.ReportMetric(median(loads), "loads")
				b.ReportMetric(median(before), "stalled_before_loss_%")
				b.ReportMetric(median(after), "stalled_after_loss_%")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}

func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sort.Float64s(values)
	return values[len(values)/2]
}
