package admit

import (
	"testing"
	"time"

	"lentilproxy/core/value"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func of(workspace string) func(call *modelCall) bool {
	return func(call *modelCall) bool { return call.workspace == workspace }
}

// playBursts plays 350 requests a second with a burst of 570 a second for 5 s, and returns the results of the burst and the rest.
func playBursts(seed int64, strategy func(model *model) func(call *modelCall)) (burst, calm summary) {
	model := newModel(seed)
	for number := 0; number < len(model.servers); number += 3 {
		model.servers[number].factor = 1.3
	}
	if strategy != nil {
		model.strategy = strategy(model)
		model.gossip(30 * time.Second)
	}
	begin := model.now
	for _, workspace := range []string{"a", "b", "c", "d", "e"} {
		model.arrive(workspace, 0, 70, 30*time.Second)
	}
	model.run(15 * time.Second)
	for _, workspace := range []string{"a", "b", "c", "d", "e"} {
		model.arrive(workspace, 0, 44, 5*time.Second)
	}
	model.run(25 * time.Second)
	during := func(call *modelCall) bool {
		at := call.arrivedAt.Sub(begin)
		return at >= 15*time.Second && at < 20*time.Second
	}
	return summarise(model.calls, during), summarise(model.calls, func(call *modelCall) bool { return !during(call) })
}

// Guards against a dispatcher that serves the load of docs/design/admission.md worse than choice by stale load. The log shows the
// figures of the page.
func TestBurstsOnManyHosts(t *testing.T) {
	is := is.New(t)
	stale := func(model *model) func(call *modelCall) { return model.chooseAlone(leastLoad) }
	two := func(model *model) func(call *modelCall) {
		return model.chooseAlone(func(host *modelHost, allowed []int) int {
			left, right := allowed[model.random.Intn(len(allowed))], allowed[model.random.Intn(len(allowed))]
			return leastLoad(host, []int{left, right})
		})
	}
	strategies := []struct {
		name string
		use  func(model *model) func(call *modelCall)
	}{{"stale load", stale}, {"two random choices", two}, {"leased slots", (*model).leased}, {"dispatcher", nil}}
	for seed := range int64(5) {
		bursts := map[string]summary{}
		for _, strategy := range strategies {
			burst, calm := playBursts(seed+1, strategy.use)
			t.Logf("seed %d, %s: burst %v, calm %v", seed+1, strategy.name, burst, calm)
			bursts[strategy.name] = burst
			if strategy.use == nil {
				is.Equal(burst.rejected, 0.0) // No server gets more than its slots.
				is.True(calm.ninetieth < 150*time.Millisecond)
			}
		}
		dispatcher, stale := bursts["dispatcher"], bursts["stale load"]
		is.True(dispatcher.late+dispatcher.refused < (stale.late+stale.refused)/3)
	}
}

// Guards against callers of other workspaces who wait because one workspace sends ten times its usual load.
func TestOneWorkspaceAtManyTimesItsUsualLoad(t *testing.T) {
	is := is.New(t)
	model := newModel(2)
	for _, workspace := range []string{"a", "b", "c", "d", "flood"} {
		model.arrive(workspace, 0, 80, 40*time.Second)
	}
	model.run(30 * time.Second)
	model.calls = nil
	model.arrive("flood", 0, 720, 10*time.Second)
	model.run(12 * time.Second)
	others := summarise(model.calls, func(call *modelCall) bool { return call.workspace != "flood" })
	flood := summarise(model.calls, of("flood"))
	t.Logf("others %v", others)
	t.Logf("flood %v", flood)
	is.True(others.late+others.refused < 0.03)
	is.True(flood.refused > 0.3)
	is.Equal(model.highest, 6)
}

// Guards against urgent requests that wait behind others, and against a class that starves, while the load exceeds the capacity.
func TestMoreUrgentRequestsComeFirst(t *testing.T) {
	is := is.New(t)
	model := newModel(3)
	model.arrive("urgent", 0, 300, 20*time.Second)
	model.arrive("patient", 2, 700, 20*time.Second)
	model.run(22 * time.Second)
	urgent, patient := summarise(model.calls, of("urgent")), summarise(model.calls, of("patient"))
	t.Logf("urgent %v", urgent)
	t.Logf("patient %v", patient)
	is.True(urgent.late+urgent.refused < 0.03)
	is.True(patient.refused < 0.7)
}

// Guards against equal shares for servers of different speeds, and against a server that goes on getting requests after it has turned slow.
func TestSlowServersGetLess(t *testing.T) {
	is := is.New(t)
	model := newModel(4)
	for _, number := range []int{0, 3, 6} {
		model.servers[number].factor = 1.3
	}
	model.arrive("a", 0, 350, 40*time.Second)
	model.run(20 * time.Second)
	model.servers[1].factor = 4
	model.calls = nil
	model.run(19 * time.Second)
	result := summarise(model.calls, of("a"))
	t.Logf("a server that turned slow: %v", result)
	is.True(model.queue.servers["s1"].speed > 2.5)
	is.True(model.queue.servers["s0"].speed > model.queue.servers["s2"].speed)
	is.True(result.late+result.refused < 0.1)
	is.Equal(result.rejected, 0.0)
}

// Guards against servers that fail or cannot be reached, and go on getting requests, or are never tried again.
func TestFailingServersPauseAndAreTriedAgain(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	queue := New(now)
	queue.SetServers([]Server{{ID: "bad", Slots: 6}, {ID: "good", Slots: 6}})
	counts := map[string]int{}
	play := func(length time.Duration, outcome Outcome) {
		clear(counts)
		for end := now.Add(length); now.Before(end); now = now.Add(20 * time.Millisecond) {
			ticket := Ticket{Host: "h", ID: now.UnixNano()}
			_, refused := queue.Add(now, Request{Ticket: ticket, Due: now.Add(modelObjective), Deadline: now.Add(modelDeadline)})
			is.True(!refused)
			for _, decision := range queue.Next(now) {
				counts[decision.Server.ID]++
				if decision.Server.ID == "bad" {
					queue.End(now.Add(time.Millisecond), decision.Ticket, outcome, 0)
				} else {
					queue.End(now.Add(time.Millisecond), decision.Ticket, OutcomeOK, 0)
				}
			}
		}
	}
	for _, outcome := range []Outcome{OutcomeUnreachable, OutcomeFailed, OutcomeRejected} {
		play(8*time.Second, outcome)
		t.Logf("%s: %v", outcome, counts)
		is.True(counts["bad"] > 0)
		is.True(counts["bad"] < 50)
		play(6*time.Second, OutcomeOK)
		play(2*time.Second, OutcomeOK)
		t.Logf("after %s: %v", outcome, counts)
		is.True(counts["bad"] > 20)
	}
}

// Guards against callers who gain by repeating a refused request at once, and against callers who return when asked and are refused
// while newcomers are admitted.
func TestRefusedCallersReturnWhenAsked(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	queue := New(now)
	queue.SetServers([]Server{{ID: "s", Slots: 2}})
	lastID := int64(0)
	add := func(digest string) (Decision, bool) {
		lastID++
		return queue.Add(now, Request{Ticket: Ticket{Host: "h", ID: lastID}, Digest: digest, Due: now.Add(modelObjective), Deadline: now.Add(modelDeadline)})
	}
	var waits []time.Duration
	for len(waits) < 20 {
		if refusal, refused := add("crowd"); refused {
			waits = append(waits, refusal.RetryAfter)
		}
		queue.Next(now)
	}
	for index := 1; index < len(waits); index++ {
		is.True(waits[index] > waits[index-1]) // They return one after the other.
	}
	first, refused := add("returning")
	is.True(refused)
	_, refused = add("returning")
	is.True(refused) // It has come back at once, which gains nothing.
	now = now.Add(first.RetryAfter)
	queue.returns.Expect("", "returning", now)
	for id := lastID; id > 0; id-- { // The first half of those that wait has been served.
		if ticket := (Ticket{Host: "h", ID: id}); len(queue.waiting) > 20 {
			queue.End(now, ticket, OutcomeUnused, 0)
		}
	}
	for _, refused := add("newcomer"); !refused; _, refused = add("newcomer") {
		queue.Next(now)
	}
	_, refused = add("returning")
	is.True(!refused)
}

// Guards against more requests of a host on one server than it may open connections to.
func TestHostLimitHolds(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	queue := New(now)
	queue.SetServers([]Server{{ID: "s0", Slots: 6}, {ID: "s1", Slots: 6}})
	for id := range int64(6) {
		_, refused := queue.Add(now, Request{Ticket: Ticket{Host: "h", ID: id}, HostLimit: 2, Due: now.Add(modelObjective), Deadline: now.Add(modelDeadline)})
		is.True(!refused)
	}
	is.Equal(len(queue.Next(now)), 4)
	is.Equal(queue.InUse(now, "s0"), 2)
}

// Guards against a restarted dispatcher that assigns slots which are still in use, or that waits longer than hosts' reports count.
func TestDispatcherThatRestartsWithAllSlotsInUse(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	queue := New(now)
	queue.SetServers([]Server{{ID: "s", Slots: 6}})
	queue.SetTotalUsage(now, "h0", map[string]int{"s": 4})
	queue.SetTotalUsage(now, "h1", map[string]int{"s": 2})
	for id := range int64(8) {
		_, refused := queue.Add(now, Request{Ticket: Ticket{Host: "h2", ID: id}, Due: now.Add(modelObjective), Deadline: now.Add(5 * time.Second)})
		is.True(!refused)
	}
	is.Equal(len(queue.Next(now)), 0)
	queue.SetUsage(now, "h0", map[string]int{"s": 1}) // The host's own message replaces its gossip message.
	is.Equal(len(queue.Next(now)), 3)
	is.Equal(queue.InUse(now, "s"), 6)
	now = now.Add(UsageLifetime)
	is.Equal(len(queue.Next(now)), 3)
	queue.RetainHosts(value.NewSet("h0"))
	is.True(queue.Idle())
}

// Guards against more requests on a server than its slots, lost requests, and assignments that never end, under arbitrary calls.
func TestSlotsAreNeverExceededAndNoRequestIsLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		queue := New(now)
		slots := rapid.SliceOfN(rapid.IntRange(1, 4), 1, 4).Draw(t, "slots")
		names := []string{"s0", "s1", "s2", "s3"}[:len(slots)]
		var declared []Server
		for index, name := range names {
			declared = append(declared, Server{ID: name, Slots: slots[index]})
		}
		queue.SetServers(declared)
		waiting, assigned := map[Ticket]time.Time{}, map[Ticket]time.Time{}
		reported := map[string]map[string]int{}
		lastID := int64(0)
		pick := func(tickets map[Ticket]time.Time) (Ticket, bool) {
			for ticket := range tickets {
				return ticket, true
			}
			return Ticket{}, false
		}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0, 1:
				lastID++
				request := Request{
					Ticket: Ticket{Host: rapid.SampledFrom([]string{"h0", "h1"}).Draw(t, "host"), ID: lastID}, Workspace: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "workspace"),
					Digest: "d", Priority: rapid.IntRange(0, 2).Draw(t, "priority"), Due: now.Add(300 * time.Millisecond), Deadline: now.Add(800 * time.Millisecond),
				}
				if rapid.Bool().Draw(t, "avoids") {
					request.Avoid = value.NewSet(rapid.SampledFrom(names).Draw(t, "avoid"))
				}
				if _, refused := queue.Add(now, request); !refused {
					waiting[request.Ticket] = request.Deadline
				}
			case 2, 3:
				if ticket, found := pick(assigned); found {
					outcome := rapid.SampledFrom([]Outcome{OutcomeOK, OutcomeOK, OutcomeFailed, OutcomeUnreachable, OutcomeRejected, OutcomeUnused}).Draw(t, "outcome")
					if !queue.End(now, ticket, outcome, 0) {
						t.Fatal("an assignment is unknown before it ends")
					}
					delete(assigned, ticket)
				}
			case 4:
				if ticket, found := pick(waiting); found {
					queue.End(now, ticket, OutcomeUnused, 0)
					delete(waiting, ticket)
				}
			case 5:
				usage := map[string]int{rapid.SampledFrom(names).Draw(t, "server"): rapid.IntRange(0, 3).Draw(t, "running")}
				queue.SetUsage(now, "h1", usage)
				reported["h1"] = usage
			case 6:
				now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "millis")) * time.Millisecond)
			}
			for _, decision := range queue.Next(now) {
				deadline, found := waiting[decision.Ticket]
				if !found {
					t.Fatal("a decision about a request that does not wait")
				}
				delete(waiting, decision.Ticket)
				if decision.Server.ID != "" {
					assigned[decision.Ticket] = deadline
					if count := queue.InUse(now, decision.Server.ID); count > decision.Server.Slots {
						t.Fatalf("%d requests on %d slots", count, decision.Server.Slots)
					}
				}
			}
			for ticket, deadline := range assigned {
				if !now.Before(deadline.Add(expiryGrace)) {
					delete(assigned, ticket)
				}
			}
			counts := 0
			for _, count := range queue.Waiting() {
				counts += count
			}
			if counts != len(waiting) || len(queue.assignments) != len(assigned) {
				t.Fatalf("%d of %d wait, %d of %d are assigned", counts, len(waiting), len(queue.assignments), len(assigned))
			}
			if next, found := queue.NextEvent(now); len(waiting) > 0 && (!found || !next.After(now)) {
				t.Fatal("requests wait without an end")
			}
		}
		now = now.Add(time.Hour)
		queue.Next(now)
		if !queue.Idle() {
			t.Fatal("requests are left after their deadlines")
		}
	})
}

// Guards against callers who wait until their deadline although requests that can still be in time take all slots.
func TestLateRequestsAreRefusedUnderOverload(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	queue := New(start)
	queue.SetServers([]Server{{ID: "s", StartedMillis: 1, Slots: 1}})
	add := func(now time.Time, number int64) Ticket {
		ticket := Ticket{Host: "h", ID: number}
		_, refused := queue.Add(now, Request{Ticket: ticket, Workspace: "w", Class: "c", Due: now.Add(300 * time.Millisecond), Deadline: now.Add(1500 * time.Millisecond)})
		is.True(!refused)
		return ticket
	}
	add(start, 1) // Takes the slot until the end.
	is.Equal(len(queue.Next(start)), 1)
	waiting := add(start, 2)
	var refusedAt time.Time
	for number, now := int64(3), start; refusedAt.IsZero() && now.Before(start.Add(time.Second)); now = now.Add(50 * time.Millisecond) {
		if number++; number%4 == 0 {
			add(now, number) // There is always a request that can be in time.
		}
		for _, decision := range queue.Next(now) {
			if decision.Ticket == waiting {
				is.Equal(decision.Reason, ReasonLate)
				is.True(decision.RetryAfter > 0)
				refusedAt = now
			}
		}
	}
	is.True(!refusedAt.IsZero())
	is.True(!refusedAt.Before(start.Add(overloadAfter)))
	is.True(refusedAt.Before(start.Add(overloadAfter + 100*time.Millisecond)))
}

// Guards against a slot that stays in use until the deadline of a request whose end has overtaken it, as after a dispatcher was frozen:
// both messages wait there, and are handled at the same time.
func TestWithdrawnRequestGetsNoSlot(t *testing.T) {
	is := is.New(t)
	queue, now := New(time.Unix(1000, 0)), time.Unix(1000, 0)
	queue.SetServers([]Server{{ID: "s", Slots: 1}})
	ticket := Ticket{Host: "host-1", ID: 7}
	is.True(!queue.End(now, ticket, OutcomeUnused, 0))
	refusal, refused := queue.Add(now, Request{Ticket: ticket, Due: now.Add(time.Second), Deadline: now.Add(2 * time.Second)})
	is.True(refused)
	is.Equal(refusal.Reason, ReasonWithdrawn)
	is.True(queue.Idle())
}
