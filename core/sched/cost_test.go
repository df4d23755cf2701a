package sched

import (
	"encoding/json"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"lentilproxy/core/cost"
	"lentilproxy/core/spec"
	"lentilproxy/core/warm"

	"github.com/matryer/is"
)

const eventTime = 20 * time.Millisecond

// learned returns a scheduler that knows two routes of streams, long ones of 50 events and short ones of 5, all with the same
// announced tokens, and two routes of plain requests of 1 s and 20 ms.
func learned(all map[string]spec.Server, options ...Option) *Scheduler {
	predictor := cost.New()
	for range cost.MinObservations {
		for route, events := range map[string]int{"long": 50, "short": 5} {
			last := time.Duration(events) * eventTime
			predictor.Observe("x", cost.Request{Route: route, OutputTokens: 275}, cost.Observed{Events: events, FirstEvent: eventTime, LastEvent: last, Duration: last})
		}
		predictor.Observe("x", cost.Request{Route: "slow"}, cost.Observed{Duration: time.Second})
		predictor.Observe("x", cost.Request{Route: "quick"}, cost.Observed{Duration: 20 * time.Millisecond})
	}
	scheduler := New("dc-0", append(options, WithCosts(predictor))...)
	scheduler.UpdateServers(all)
	for name := range all {
		scheduler.SetLoaded(name, 0, Loaded{Model: "m", Orderable: true, Adapters: map[string]int64{"a": 1}})
	}
	return scheduler
}

// Guards against long streams that accumulate on one server, and short ones that are sent to it, while requests of equal
// announced size without learned costs all go to the first server by rank.
func TestRemainingWorkDecides(t *testing.T) {
	is := is.New(t)
	all := servers("chat", 2)
	scheduler := learned(all)
	long, short := Job{Ref: adapter, Route: "long", OutputTokens: 275}, Job{Ref: adapter, Route: "short", OutputTokens: 275}
	unknown := Job{Ref: adapter, Route: "unknown", OutputTokens: 275}
	first, _ := scheduler.Choose(start, chat, all, long)
	scheduler.Start(start, first.Server, long)
	for _, job := range []Job{long, short} {
		choice, _ := scheduler.Choose(start, chat, all, job)
		is.True(choice.Server.ID != first.Server.ID)
	}
	// The first server has almost no work left later on, so that the order by rank decides again.
	choice, _ := scheduler.Choose(start.Add(2*time.Second), chat, all, long)
	is.Equal(choice.Server.ID, first.Server.ID)
	choice, _ = scheduler.Choose(start, chat, all, unknown)
	is.Equal(choice.Server.ID, first.Server.ID)
}

// Guards against cold servers that get as much as others once costs have been learned.
func TestColdServersGetLessWithLearnedCosts(t *testing.T) {
	for _, test := range []struct {
		service spec.Service
		job     Job
	}{
		{chat, Job{Ref: adapter, Route: "short", OutputTokens: 275}},
		{orders, Job{Route: "quick"}},
	} {
		t.Run(test.service.Name, func(t *testing.T) {
			is := is.New(t)
			all := servers(test.service.Name, 2)
			cold := all[test.service.Name+"-0"]
			cold.ColdUntil = start.Add(10 * time.Second)
			all[cold.ID] = cold
			gate := warm.New("host-1")
			gate.Update(start, all)
			scheduler := learned(all, WithGate(gate))
			counts := func(now time.Time) int {
				count := 0
				var runs []*Run
				for range 12 {
					choice, _ := scheduler.Choose(now, test.service, all, test.job)
					if choice.Server.ID == cold.ID {
						count++
					}
					runs = append(runs, scheduler.Start(now, choice.Server, test.job))
				}
				for _, run := range runs {
					scheduler.End(run)
				}
				return count
			}
			atStart, atEnd := counts(start), counts(start.Add(10*time.Second))
			is.True(atStart < atEnd)
		})
	}
}

// Guards against memory that is reserved at the announced maximum although requests generate less, and against too little for a
// run that turns out longer than expected.
func TestReservedMemory(t *testing.T) {
	is := is.New(t)
	all := servers("chat", 1)
	scheduler := learned(all)
	run := scheduler.Start(start, all["chat-0"], Job{Ref: adapter, Route: "short", PromptTokens: 100, OutputTokens: 275})
	is.Equal(scheduler.OwnUsage()["chat-0"].Tokens, int64(100+5*11))
	scheduler.RecordEvents(run, 5)
	is.Equal(scheduler.OwnUsage()["chat-0"].Tokens, int64(100+5*11))
	scheduler.RecordEvents(run, 1)
	is.Equal(scheduler.OwnUsage()["chat-0"].Tokens, int64(375))
	is.Equal(scheduler.Observe(run, cost.Observed{Duration: time.Second}), Beyond)
	scheduler.End(run)
	is.Equal(len(scheduler.UsageWithWork(start)), 0)
	is.Equal(scheduler.servers["chat-0"].own, Usage{})
}

// Guards against work that does not shrink as runs go on, and against hosts of the previous version, which send no work, whose
// requests would count as none.
func TestReportedWork(t *testing.T) {
	is := is.New(t)
	all := servers("chat", 1)
	scheduler := learned(all)
	scheduler.Start(start, all["chat-0"], Job{Ref: adapter, Route: "long", OutputTokens: 275})
	last := time.Duration(1<<62 - 1)
	for elapsed := time.Duration(0); elapsed < 3*time.Second; elapsed += 100 * time.Millisecond {
		work, known := scheduler.servers["chat-0"].ownWork(start.Add(elapsed))
		is.True(work <= last && work > 0)
		is.Equal(known, 1)
		last = work
	}
	is.True(last < 200*time.Millisecond)
	content, err := json.Marshal(scheduler.UsageWithWork(start)["chat-0"])
	is.NoErr(err)
	var former struct {
		Running int   `json:"running"`
		Tokens  int64 `json:"tokens"`
	}
	is.NoErr(json.Unmarshal(content, &former))
	is.Equal(former.Running, 1)

	other := learned(all)
	state := other.servers["chat-0"]
	other.SetPeerUsage(start, "old", map[string]Usage{"chat-0": {Running: 2}})
	is.Equal(state.remainingWork(start, time.Second), time.Second)
	other.SetPeerUsage(start, "new", map[string]Usage{"chat-0": {Running: 1, WorkMillis: 700}})
	is.Equal(state.remainingWork(start, time.Second), 1700*time.Millisecond)
	is.Equal(state.remainingWork(start.Add(UsageLifetime), time.Second), time.Duration(0))

	// A plain request of an unknown route costs something as well.
	other.Start(start, all["chat-0"], Job{Route: "new"})
	is.Equal(other.UsageWithWork(start)["chat-0"].WorkMillis, int64(0))
	is.Equal(state.remainingWork(start.Add(UsageLifetime), time.Second), 500*time.Millisecond)
}

// Guards against a plain request that is sent to a server whose slots are all in use while another one has room, although the
// work there takes longer, and against a slow server that gets as much as others.
func TestPlainRequests(t *testing.T) {
	is := is.New(t)
	all := servers("orders", 2)
	for name, server := range all {
		server.DataCentre = "dc-0"
		all[name] = server
	}
	scheduler := learned(all)
	quick, slow := Job{Route: "quick"}, Job{Route: "slow"}
	for range 8 {
		scheduler.Start(start, all["orders-0"], quick)
	}
	for range 7 {
		scheduler.Start(start, all["orders-1"], slow)
	}
	choice, _ := scheduler.Choose(start, orders, all, quick)
	is.Equal(choice.Server.ID, "orders-1")
	scheduler.Start(start, all["orders-1"], slow)
	choice, _ = scheduler.Choose(start, orders, all, quick)
	is.Equal(choice.Server.ID, "orders-0") // Both are full; the work there ends sooner.

	scheduler = learned(all)
	for range 100 {
		scheduler.costs.Observe("orders-0", cost.Request{Route: "quick"}, cost.Observed{Duration: 60 * time.Millisecond})
		scheduler.costs.Observe("orders-1", cost.Request{Route: "quick"}, cost.Observed{Duration: 20 * time.Millisecond})
	}
	chosen := map[string]int{}
	for range 10 {
		choice, _ = scheduler.Choose(start, orders, all, quick)
		chosen[choice.Server.ID]++
		scheduler.Start(start, choice.Server, quick)
	}
	is.True(chosen["orders-1"] >= 7)
}

// slots simulates the servers of a plain service, each with slots and a queue. ends holds the times at which the slots are free.
type slots map[string][]time.Time

// run returns when a request that arrives now ends.
func (slots slots) run(now time.Time, server string, work time.Duration) time.Time {
	free := slots[server]
	slices.SortFunc(free, time.Time.Compare)
	if free[0].Before(now) {
		free[0] = now
	}
	free[0] = free[0].Add(work)
	return free[0]
}

// latencies returns the 95th percentile of the latencies of short requests, among which one in ten is long, on three servers
// with two slots each at about 0.75 of their capacity.
func latencies(options ...Option) time.Duration {
	random := rand.New(rand.NewPCG(5, 6))
	all := servers("orders", 3)
	simulated := slots{}
	for name, server := range all {
		server.DataCentre, server.Slots = "dc-0", 2
		all[name], simulated[name] = server, make([]time.Time, 2)
	}
	scheduler := New("dc-0", options...)
	scheduler.UpdateServers(all)
	type ending struct {
		at       time.Time
		run      *Run
		duration time.Duration
	}
	var running []ending
	var short []time.Duration
	now := start
	for range 20_000 {
		now = now.Add(time.Duration(random.ExpFloat64() * 13 * float64(time.Millisecond)))
		running = slices.DeleteFunc(running, func(ended ending) bool {
			if ended.at.After(now) {
				return false
			}
			scheduler.Observe(ended.run, cost.Observed{Duration: ended.duration})
			scheduler.End(ended.run)
			return true
		})
		job, work := Job{Route: "quick"}, 20*time.Millisecond
		if random.Float64() < 0.1 {
			job, work = Job{Route: "slow"}, 400*time.Millisecond
		}
		choice, _ := scheduler.Choose(now, orders, all, job)
		run := scheduler.Start(now, choice.Server, job)
		end := simulated.run(now, choice.Server.ID, work)
		running = append(running, ending{end, run, end.Sub(now)})
		if job.Route == "quick" {
			short = append(short, end.Sub(now))
		}
	}
	slices.Sort(short)
	return short[len(short)*95/100]
}

// Guards against a choice by remaining work that is worse than one by counts for short requests among long ones.
func TestShortRequestsAmongLongOnes(t *testing.T) {
	is := is.New(t)
	counts, costs := latencies(), latencies(WithCosts(cost.New()))
	t.Logf("95th percentile of the latencies of short requests: by counts %v, by remaining work %v", counts.Round(time.Millisecond), costs.Round(time.Millisecond))
	is.True(costs < counts)
}

// Guards against an explanation that records an ejection or a replication, so that the choice made afterwards differs, and
// against servers without a reason.
func TestExplainChangesNothing(t *testing.T) {
	is := is.New(t)
	all := servers("chat", 4)
	scheduler := newScheduler(all)
	scheduler.SetLoaded("chat-1", 0, Loaded{Model: "m", Orderable: true, Adapters: map[string]int64{"a": 1}})
	scheduler.SetLoaded("chat-3", 0, Loaded{Model: "other"})
	job := Job{Ref: adapter, PromptTokens: 700, OutputTokens: 70}
	for range 9 {
		scheduler.Start(start, all["chat-1"], job)
	}
	for range 8 {
		scheduler.RecordResponse(start, "chat-0", false)
		scheduler.RecordResponse(start, "chat-2", true)
	}
	for range 3 {
		explanation := scheduler.Explain(start, chat, all, job)
		choice, found := explanation.Choice()
		is.True(found)
		is.Equal(choice.Server.ID, "chat-1")
		is.True(explanation.Replicate != "")
		is.Equal(len(explanation.Servers), 4)
		for _, server := range explanation.Servers {
			is.Equal(server.Excluded != "", server.Server == "chat-3")
			is.Equal(server.Ejected, server.Server == "chat-2")
			is.Equal(server.Loaded, server.Server == "chat-1")
		}
	}
	is.Equal(len(scheduler.TakeEjections()), 0)
	choice, _ := scheduler.Choose(start, chat, all, job)
	is.True(choice.ReplicateTo != "")
	is.Equal(len(scheduler.TakeEjections()), 1)
	again, _ := scheduler.Choose(start, chat, all, job)
	is.Equal(again.ReplicateTo, "")
}
