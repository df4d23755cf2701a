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

// pool runs the placement decisions of one experiment in virtual time: hosts with permits, one owner, and engines that
// only count their slots.
type pool struct {
	plan    *plan
	now     time.Time
	manager *place.Manager
	hosts   []*place.PermitTracker
	events  eventHeap
	waiting map[int64]func(place.Reply)
	stalls  []time.Duration
	// lossAt is when the engine that holds the most popular adapters restarts cold; earlier and later count the
	// requests and stalls of the 20 s on both sides.
	lossAt         time.Time
	earlier, later lossCount
	counted        int
	refused        int
}

type lossCount struct {
	requests int
	stalled  int
}

func (count lossCount) percent() float64 {
	return 100 * float64(count.stalled) / float64(max(1, count.requests))
}

const lossWindow = 20 * time.Second

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

func (pool *pool) after(wait time.Duration, run func()) {
	heap.Push(&pool.events, event{at: pool.now.Add(wait), run: run})
}

func runPolicy(plan *plan, policy lentilproxy.PlacementPolicy, seed int64) *pool {
	start := time.Unix(1_700_000_000, 0)
	pool := &pool{plan: plan, now: start, waiting: map[int64]func(place.Reply){}}
	pool.manager = place.NewManager(1, place.WithPolicy(policy), place.WithBudget(place.NewBudget(plan.shape.LoadsPerSecond, plan.shape.Parallel)))
	var specs []place.EngineSpec
	for number := range plan.shape.Engines {
		specs = append(specs, place.EngineSpec{Name: fmt.Sprintf("engine-%d", number+1), BaseModel: "base-1", Slots: plan.shape.Slots})
	}
	pool.manager.Configure(specs)
	for _, spec := range specs {
		pool.manager.UpdateEngine(start, start, spec.Name, nil)
	}
	for range plan.shape.Hosts {
		pool.hosts = append(pool.hosts, place.NewPermitTracker())
	}
	for _, arrival := range plan.arrivals(seed) {
		heap.Push(&pool.events, event{at: start.Add(arrival.at), run: func() { pool.arrive(arrival) }})
	}
	for at := time.Duration(0); at < plan.experiment.Length; at += time.Second {
		heap.Push(&pool.events, event{at: start.Add(at), run: pool.report})
	}
	pool.lossAt = start.Add(plan.experiment.Length * 7 / 10)
	heap.Push(&pool.events, event{at: pool.lossAt, run: pool.lose})
	end := start.Add(plan.experiment.Length + time.Minute)
	for pool.events.Len() > 0 && pool.now.Before(end) {
		next := heap.Pop(&pool.events).(event)
		pool.now = next.at
		next.run()
		pool.step()
	}
	return pool
}

func (pool *pool) arrive(arrival arrival) {
	pool.request(arrival, pool.now)
}

func (pool *pool) request(arrival arrival, arrived time.Time) {
	host := pool.hosts[arrival.host]
	model := arrival.adapter + "@v1"
	if permits := host.Usable(pool.now, model); len(permits) > 0 && host.StartRequest(pool.now, permits[0].Instance) {
		pool.count(arrival, pool.now.Sub(arrived), false)
		pool.after(time.Duration(arrival.tokens)*20*time.Millisecond, func() { host.FinishRequest(permits[0].Instance) })
		return
	}
	asked := pool.now
	want := place.PermitRequest{Model: model, Workspace: arrival.workspace, BaseModel: "base-1", Batch: arrival.batch, Weight: 1}
	ticket := pool.manager.Acquire(pool.now, fmt.Sprint(arrival.host), want, arrived.Add(10*time.Second))
	pool.waiting[ticket] = func(reply place.Reply) {
		if reply.Refusal != place.RefuseNone {
			pool.count(arrival, pool.now.Sub(arrived), true)
			return
		}
		host.Add(asked, reply.Permit)
		pool.request(arrival, arrived)
	}
}

// lose empties the engine that holds the first adapter of the first workspace, or the first engine.
func (pool *pool) lose() {
	lost := "engine-1"
	first := adapterName(pool.plan.tenants[0].name, 0) + "@v1"
	for _, host := range pool.hosts {
		for _, permit := range host.Usable(pool.now, first) {
			lost = permit.Engine
		}
	}
	for _, host := range pool.hosts {
		for _, use := range host.CollectUsage(pool.now) {
			if use.Engine == lost {
				host.MarkLost(use.Instance)
			}
		}
	}
	pool.manager.EngineDown(lost)
	pool.after(time.Second, func() { pool.manager.UpdateEngine(pool.now, pool.now, lost, nil) })
}

func (pool *pool) count(arrival arrival, stall time.Duration, refused bool) {
	if arrival.at < pool.plan.experiment.WarmUp {
		return
	}
	pool.counted++
	if refused {
		pool.refused++
	}
	side := &pool.earlier
	if !pool.now.Before(pool.lossAt) {
		side = &pool.later
	}
	near := pool.now.Sub(pool.lossAt).Abs() < lossWindow
	if near {
		side.requests++
	}
	if stall >= stallThreshold {
		pool.stalls = append(pool.stalls, stall)
		if near {
			side.stalled++
		}
	}
}

func (pool *pool) report() {
	for number, host := range pool.hosts {
		uses := host.CollectUsage(pool.now)
		for _, permit := range pool.manager.Report(pool.now, fmt.Sprint(number), uses) {
			host.Add(pool.now, permit)
		}
		host.ConfirmReport(uses)
	}
}

func (pool *pool) step() {
	replies, orders := pool.manager.Step(pool.now)
	for _, order := range orders {
		pool.obey(order)
	}
	for _, reply := range replies {
		answer := pool.waiting[reply.Ticket]
		delete(pool.waiting, reply.Ticket)
		answer(reply)
	}
}

func (pool *pool) obey(order place.Order) {
	switch order.Kind {
	case place.OrderLoad:
		pool.after(pool.plan.shape.LoadTime, func() { pool.manager.FinishLoad(pool.now, order.Instance, true) })
	case place.OrderUnload:
		pool.after(time.Millisecond, func() { pool.manager.FinishUnload(pool.now, order.Engine, order.Instance, true) })
	case place.OrderRevoke:
		for _, name := range order.Hosts {
			var number int
			_, _ = fmt.Sscan(name, &number)
			pool.after(3*time.Millisecond, func() {
				returned := pool.hosts[number].Revoke(pool.now, 1, []string{order.Instance})
				if len(returned) == 0 {
					pool.manager.CancelRevocation(pool.now, name, order.Instance)
				}
				pool.manager.ReturnPermits(name, returned)
			})
		}
	}
}

// BenchmarkPolicies compares the placement policies on both deployments, in virtual time.
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
					pool := runPolicy(plan, policies[name](), seed+1)
					sort.Slice(pool.stalls, func(left, right int) bool { return pool.stalls[left] < pool.stalls[right] })
					stalled = append(stalled, 100*float64(len(pool.stalls))/float64(pool.counted))
					if len(pool.stalls) > 0 {
						p95 = append(p95, float64(pool.stalls[len(pool.stalls)*95/100].Milliseconds()))
					}
					before, after = append(before, pool.earlier.percent()), append(after, pool.later.percent())
					refused = append(refused, float64(pool.refused))
					loads = append(loads, float64(pool.manager.Loads()))
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

func median(figures []float64) float64 {
	if len(figures) == 0 {
		return 0
	}
	sort.Float64s(figures)
	return figures[len(figures)/2]
}
