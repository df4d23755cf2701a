package admit

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand"
	"slices"
	"strconv"
	"time"

	"lentilproxy/core/value"
)

// model plays hosts and servers in virtual time. A server runs as many requests as it has slots, and keeps a few more in a queue of its
// own. It rejects those beyond.
type model struct {
	random  *rand.Rand
	now     time.Time
	events  eventHeap
	servers []*modelServer
	hosts   []*modelHost
	queue   *Queue
	// strategy sends a request that has arrived at a host, and sends it again after a rejection.
	strategy func(call *modelCall)
	calls    []*modelCall
	pending  map[Ticket]*modelCall
	// timer is when the queue decides something by itself.
	timer   time.Time
	lastID  int64
	highest int
}

type event struct {
	at  time.Time
	run func()
}

type eventHeap []event

func (heap eventHeap) Len() int                  { return len(heap) }
func (heap eventHeap) Less(left, right int) bool { return heap[left].at.Before(heap[right].at) }
func (heap eventHeap) Swap(left, right int)      { heap[left], heap[right] = heap[right], heap[left] }
func (heap *eventHeap) Push(item any)            { *heap = append(*heap, item.(event)) }
func (heap *eventHeap) Pop() any {
	last := (*heap)[len(*heap)-1]
	*heap = (*heap)[:len(*heap)-1]
	return last
}

type modelServer struct {
	id     string
	slots  int
	room   int
	factor float64
	// slowdown is by how much longer requests take while the server's own queue is full.
	slowdown float64
	broken   bool
	running  int
	queued   []func()
}

type modelHost struct {
	id string
	// own counts the host's requests by server, and seen those of all others as the host knows them.
	own     []int
	seen    []int
	zone    int
	ejected []time.Time
	// busy is the mean time until the host handles a message.
	busy time.Duration
}

type modelCall struct {
	host       *modelHost
	workspace  string
	digest     string
	priority   int
	ticket     Ticket
	arrivedAt  time.Time
	endedAt    time.Time
	rejections int
	avoid      value.Set[string]
	refusal    Decision
	answered   bool
	attempts   int
}

const (
	modelHosts     = 24
	modelServers   = 7
	modelSlots     = 6
	modelObjective = 300 * time.Millisecond
	modelDeadline  = 800 * time.Millisecond
	modelWork      = 60 * time.Millisecond
)

// newModel returns a model of 24 hosts, and 7 servers of 6 slots.
func newModel(seed int64) *model {
	model := &model{random: rand.New(rand.NewSource(seed)), now: time.Unix(1000, 0), pending: map[Ticket]*modelCall{}}
	for number := range modelServers {
		model.servers = append(model.servers, &modelServer{id: "s" + strconv.Itoa(number), slots: modelSlots, room: 3, factor: 1, slowdown: 0.5})
	}
	for number := range modelHosts {
		model.hosts = append(model.hosts, &modelHost{
			id: "h" + strconv.Itoa(number), zone: number % 3, own: make([]int, modelServers), seen: make([]int, modelServers), ejected: make([]time.Time, modelServers),
		})
	}
	model.restart()
	model.strategy = model.dispatch
	return model
}

// restart replaces the queue by an empty one.
func (model *model) restart() {
	model.queue = New(model.now)
	var declared []Server
	for _, server := range model.servers {
		declared = append(declared, Server{ID: server.id, Slots: server.slots})
	}
	model.queue.SetServers(declared)
	model.timer = time.Time{}
}

func (model *model) after(wait time.Duration, run func()) {
	heap.Push(&model.events, event{at: model.now.Add(wait), run: run})
}

// run plays all events until a time after the start.
func (model *model) run(length time.Duration) {
	end := model.now.Add(length)
	for len(model.events) > 0 && !model.events[0].at.After(end) {
		next := heap.Pop(&model.events).(event)
		model.now = next.at
		next.run()
	}
	model.now = end
}

// delay is the time that a message takes.
func (model *model) delay() time.Duration {
	return 500*time.Microsecond + time.Duration(model.random.Int63n(int64(900*time.Microsecond)))
}

// handling is the time that a message takes to a host and until the host has handled it.
func (model *model) handling(host *modelHost) time.Duration {
	if host.busy == 0 {
		return model.delay()
	}
	return model.delay() + time.Duration(model.random.Int63n(int64(2*host.busy)))
}

// work draws the duration of a request: a spread of 0.5, and a tail of 1 % that takes five times as long.
func (model *model) work() time.Duration {
	spread := 0.5
	work := float64(modelWork) * math.Exp(spread*model.random.NormFloat64()-spread*spread/2)
	if model.random.Float64() < 0.01 {
		work *= 5
	}
	return time.Duration(work)
}

// arrive lets requests of a workspace arrive at random hosts.
func (model *model) arrive(workspace string, priority int, rate float64, length time.Duration) {
	wait := time.Duration(0)
	for number := 0; ; number++ {
		wait += time.Duration(model.random.ExpFloat64() / rate * float64(time.Second))
		if wait > length {
			return
		}
		model.after(wait, func() {
			call := &modelCall{
				host: model.hosts[model.random.Intn(len(model.hosts))], workspace: workspace, priority: priority, arrivedAt: model.now,
				digest: workspace + strconv.FormatInt(model.now.UnixNano(), 10), avoid: value.Set[string]{},
			}
			model.calls = append(model.calls, call)
			model.strategy(call)
		})
	}
}

// send sends a request to a server. Then is called with the outcome when the host knows it.
func (model *model) send(call *modelCall, number int, then func(outcome Outcome)) {
	server := model.servers[number]
	call.host.own[number]++
	model.after(model.delay(), func() {
		finish := func(outcome Outcome) {
			model.after(model.delay(), func() {
				call.host.own[number]--
				then(outcome)
			})
		}
		start := func() {
			server.running++
			model.highest = max(model.highest, server.running)
			// Servers slow down while requests wait there.
			slowdown := 1 + server.slowdown*float64(len(server.queued))/float64(max(1, server.room))
			model.after(time.Duration(slowdown*server.factor*float64(model.work())), func() {
				server.running--
				if len(server.queued) > 0 {
					next := server.queued[0]
					server.queued = server.queued[1:]
					next()
				}
				finish(OutcomeOK)
			})
		}
		switch {
		case server.broken:
			finish(OutcomeUnreachable)
		case server.running < server.slots:
			start()
		case len(server.queued) < server.room:
			server.queued = append(server.queued, start)
		default:
			call.rejections++
			finish(OutcomeRejected)
		}
	})
}

// end records a response.
func (model *model) end(call *modelCall) { call.answered, call.endedAt = true, model.now }

// dispatch asks the queue for a server.
func (model *model) dispatch(call *modelCall) {
	call.attempts++
	model.lastID++
	call.ticket = Ticket{Host: call.host.id, ID: model.lastID}
	model.pending[call.ticket] = call
	model.after(model.delay(), func() {
		refusal, refused := model.queue.Add(model.now, Request{
			Ticket: call.ticket, Workspace: call.workspace, Digest: call.digest, Priority: call.priority, Avoid: call.avoid,
			Due: call.arrivedAt.Add(modelObjective), Deadline: call.arrivedAt.Add(modelDeadline),
		})
		if refused {
			call.refusal = refusal
			delete(model.pending, call.ticket)
		}
		model.settle()
	})
}

// settle carries out the decisions of the queue.
func (model *model) settle() {
	for _, decision := range model.queue.Next(model.now) {
		call := model.pending[decision.Ticket]
		delete(model.pending, decision.Ticket)
		if decision.Server.ID == "" {
			call.refusal = decision
			continue
		}
		number := slices.IndexFunc(model.servers, func(server *modelServer) bool { return server.id == decision.Server.ID })
		model.after(model.handling(call.host), func() {
			sentAt := model.now
			model.send(call, number, func(outcome Outcome) {
				ticket, queue, served := call.ticket, model.queue, model.now.Sub(sentAt)
				model.after(model.handling(call.host), func() {
					if queue == model.queue {
						queue.End(model.now, ticket, outcome, served)
						model.settle()
					}
				})
				if outcome == OutcomeOK {
					model.end(call)
				} else if call.attempts < 6 {
					call.avoid = value.NewSet(append(value.Sorted(call.avoid), model.servers[number].id)...)
					model.dispatch(call)
				}
			})
		})
	}
	if at, found := model.queue.NextEvent(model.now); found && (!model.timer.After(model.now) || at.Before(model.timer)) {
		model.timer = at
		model.after(at.Sub(model.now), model.settle)
	}
}

// gossip updates what each host knows about the others' requests, with an age of 0.2 to 1.8 s.
func (model *model) gossip(length time.Duration) {
	for _, host := range model.hosts {
		for wait := time.Duration(model.random.Int63n(int64(600 * time.Millisecond))); wait < length; wait += 600 * time.Millisecond {
			model.after(wait, func() {
				seen := make([]int, len(model.servers))
				for _, other := range model.hosts {
					if other != host {
						for number, count := range other.own {
							seen[number] += count
						}
					}
				}
				model.after(200*time.Millisecond+time.Duration(model.random.Int63n(int64(time.Second))), func() { host.seen = seen })
			})
		}
	}
}

// chooseAlone sends a request to the server that choose returns for the host, and again after a rejection.
func (model *model) chooseAlone(choose func(host *modelHost, allowed []int) int) func(call *modelCall) {
	var send func(call *modelCall)
	send = func(call *modelCall) {
		call.attempts++
		var allowed []int
		for number := range model.servers {
			if model.now.After(call.host.ejected[number]) {
				allowed = append(allowed, number)
			}
		}
		if len(allowed) == 0 || call.attempts > 6 || model.now.Sub(call.arrivedAt) > modelDeadline {
			if len(allowed) == 0 && model.now.Sub(call.arrivedAt) < 120*time.Millisecond {
				model.after(120*time.Millisecond, func() { send(call) })
			}
			return
		}
		number := choose(call.host, allowed)
		model.send(call, number, func(outcome Outcome) {
			if outcome == OutcomeOK {
				model.end(call)
				return
			}
			call.host.ejected[number] = model.now.Add(250 * time.Millisecond)
			send(call)
		})
	}
	return send
}

// leased divides the slots over the hosts for good. A request waits until a slot of its own host is free.
func (model *model) leased() func(call *modelCall) {
	free, waiting := map[*modelHost][]int{}, map[*modelHost][]*modelCall{}
	for slot := range modelServers * modelSlots {
		host := model.hosts[slot%modelHosts]
		free[host] = append(free[host], slot%modelServers)
	}
	var start func(host *modelHost)
	start = func(host *modelHost) {
		for len(free[host]) > 0 && len(waiting[host]) > 0 {
			call, number := waiting[host][0], free[host][0]
			waiting[host], free[host] = waiting[host][1:], free[host][1:]
			if model.now.Sub(call.arrivedAt) > modelDeadline-modelWork {
				free[host] = append(free[host], number)
				continue
			}
			model.send(call, number, func(Outcome) {
				model.end(call)
				free[host] = append(free[host], number)
				start(host)
			})
		}
	}
	return func(call *modelCall) {
		waiting[call.host] = append(waiting[call.host], call)
		start(call.host)
	}
}

// leastLoad returns the server with the least load as a host knows it. Servers in other data centres count as if they had two more
// requests.
func leastLoad(host *modelHost, allowed []int) int {
	load := func(number int) int {
		if number%3 != host.zone {
			return host.own[number] + host.seen[number] + 2
		}
		return host.own[number] + host.seen[number]
	}
	return slices.MinFunc(allowed, func(left, right int) int { return load(left) - load(right) })
}

// summary is the result of a group of requests.
type summary struct {
	count             int
	median, ninetieth time.Duration
	// rejected is the share that a full server rejected at least once, late that of responses after the objective, and refused that of
	// requests without a response in time.
	rejected, late, refused float64
}

// String returns the times in milliseconds, and the shares in percent.
func (summary summary) String() string {
	return fmt.Sprintf("p50 %d ms, p90 %d ms, rejected %.1f %%, late %.1f %%, without response in time %.2f %%",
		summary.median.Milliseconds(), summary.ninetieth.Milliseconds(), 100*summary.rejected, 100*summary.late, 100*summary.refused)
}

func summarise(calls []*modelCall, include func(call *modelCall) bool) summary {
	var result summary
	var latencies []time.Duration
	for _, call := range calls {
		if !include(call) {
			continue
		}
		result.count++
		if call.rejections > 0 {
			result.rejected++
		}
		latency := call.endedAt.Sub(call.arrivedAt)
		if !call.answered || latency > modelDeadline {
			result.refused++
			continue
		}
		if latency > modelObjective {
			result.late++
		}
		latencies = append(latencies, latency)
	}
	slices.Sort(latencies)
	if len(latencies) > 0 {
		result.median, result.ninetieth = latencies[len(latencies)/2], latencies[len(latencies)*9/10]
	}
	total := float64(max(1, result.count))
	result.rejected, result.late, result.refused = result.rejected/total, result.late/total, result.refused/total
	return result
}
