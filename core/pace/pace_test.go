package pace

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

const (
	objective = 300 * time.Millisecond
	// latencyObjective is that for the first event. Requests are held back for half of it at most.
	latencyObjective = time.Second
)

func TestPromptsAreSentInTheOrderOfTheirDueTimes(t *testing.T) {
	is := is.New(t)
	pacer := New(start, objective)
	size := pacer.Bound()*2/3 + 1
	pacer.Add(start, Request{ID: 1, Tokens: size, Due: start.Add(time.Second)})
	is.Equal(pacer.Next(start), []int64{1})
	pacer.Add(start, Request{ID: 2, Tokens: size, Due: start.Add(3 * time.Second)})
	pacer.Add(start, Request{ID: 3, Tokens: size, Due: start.Add(2 * time.Second)})
	pacer.Add(start, Request{ID: 4, Tokens: size, Due: start.Add(2 * time.Second)})
	is.Equal(len(pacer.Next(start)), 0)
	pacer.Release(1)
	is.Equal(pacer.Next(start), []int64{3})
	is.True(pacer.Force(start, 4)) // It cannot wait any longer.
	is.True(!pacer.Force(start, 4))
	pacer.Release(3)
	is.Equal(len(pacer.Next(start)), 0)
	pacer.Release(4)
	is.Equal(pacer.Next(start), []int64{2})
	pacer.Release(2)
	is.True(pacer.Idle())
}

func TestPromptBeyondTheBoundIsSentAlone(t *testing.T) {
	is := is.New(t)
	pacer := New(start, objective)
	pacer.Add(start, Request{ID: 1, Tokens: 10, Due: start})
	pacer.Add(start, Request{ID: 2, Tokens: 100 * pacer.Bound(), Due: start.Add(1)})
	is.Equal(pacer.Next(start), []int64{1})
	pacer.Release(1)
	is.Equal(pacer.Next(start), []int64{2})
}

func TestTokensOfLostHostsAreFreed(t *testing.T) {
	is := is.New(t)
	pacer := New(start, objective)
	pacer.Add(start, Request{ID: 1, Tokens: pacer.Bound(), Due: start})
	is.Equal(len(pacer.Next(start)), 1)
	pacer.Add(start, Request{ID: 2, Tokens: pacer.Bound(), Due: start})
	is.Equal(len(pacer.Next(start.Add(maxHold-1))), 0)
	is.Equal(pacer.Next(start.Add(maxHold)), []int64{2})
}

func TestBoundFollowsPauses(t *testing.T) {
	is := is.New(t)
	pacer := New(start, objective)
	first := pacer.Bound()
	pacer.RecordPause(start, objective)
	is.Equal(pacer.Bound(), first) // No prompts were unread, so they did not cause the pause.
	pacer.Add(start, Request{ID: 1, Tokens: first, Due: start})
	pacer.Next(start)
	now := start.Add(time.Millisecond)
	pacer.RecordPause(now, objective/2)
	is.Equal(pacer.Bound(), first) // The pause is short.
	pacer.RecordPause(now, objective)
	lowered := pacer.Bound()
	is.True(lowered < first)
	pacer.RecordPause(now.Add(time.Millisecond), objective)
	is.Equal(pacer.Bound(), lowered) // Another stream observed the same pause.
	pacer.Add(start, Request{ID: 2, Tokens: first, Due: start})
	for range 10 {
		now = now.Add(time.Second)
		pacer.Add(now, Request{ID: 3, Tokens: 1, Due: now.Add(time.Hour)})
		pacer.Next(now)
	}
	is.True(pacer.Bound() > lowered) // Requests waited.
}

// A request is granted only if the unread tokens stay within the bound or it is alone, and every request once.
func TestUnreadTokensStayWithinTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pacer := New(start, objective)
		now, lastID := start, int64(0)
		sizes, granted := map[int64]int64{}, map[int64]bool{}
		var open []int64
		for range rapid.IntRange(20, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0, 1:
				lastID++
				sizes[lastID] = int64(rapid.IntRange(1, 9000).Draw(t, "tokens"))
				pacer.Add(now, Request{ID: lastID, Tokens: sizes[lastID], Due: now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "due")) * time.Millisecond)})
			case 2:
				if len(open) > 0 {
					pacer.Release(open[0])
					open = open[1:]
				}
			case 3:
				pacer.RecordPause(now, time.Duration(rapid.IntRange(0, 600).Draw(t, "pause"))*time.Millisecond)
			}
			ids := pacer.Next(now)
			for _, id := range ids {
				if granted[id] {
					t.Fatalf("request %d was granted twice", id)
				}
				granted[id] = true
				open = append(open, id)
			}
			if len(ids) > 0 && pacer.Unread() > pacer.Bound() && pacer.Unread() > sizes[ids[0]] {
				t.Fatalf("%d unread tokens, bound %d", pacer.Unread(), pacer.Bound())
			}
		}
	})
}

// server simulates a server that reads prompts between the tokens of its streams, in pieces of up to chunk tokens.
type server struct {
	tokenTime time.Duration
	// queue holds the unread tokens of each prompt, by the ID of its request.
	queue []Request
	// free is when the current step ends. It reads the first readCount prompts.
	free      time.Time
	readCount int
	// lastSteps are the durations of the last two steps. An event contains the tokens of two steps.
	lastSteps [2]time.Duration
}

const (
	stepTime = 11 * time.Millisecond
	chunk    = 4096
)

// step ends the current step and begins the next one. It returns the requests whose prompts have been read.
func (server *server) step(now time.Time) []Request {
	read := server.queue[:server.readCount]
	server.queue = server.queue[server.readCount:]
	tokens := int64(0)
	server.readCount = 0
	for index := range server.queue {
		part := min(server.queue[index].Tokens, chunk-tokens)
		tokens += part
		server.queue[index].Tokens -= part
		if server.queue[index].Tokens > 0 {
			break
		}
		server.readCount++
	}
	duration := stepTime + time.Duration(tokens)*server.tokenTime
	server.free = now.Add(duration)
	server.lastSteps = [2]time.Duration{server.lastSteps[1], duration}
	return read
}

// prefillLoad plays the pattern "long answers, prompts in clumps": requests of some 1,400 tokens arrive at 40 % of a
// server's speed, often two at a time, and all its streams break if a pause exceeds the objective. It returns the part
// of the pauses that do, and the mean time until a prompt is read.
func prefillLoad(tokenTime time.Duration, paced bool) (broken float64, wait time.Duration) {
	random := rand.New(rand.NewPCG(7, 7))
	server := &server{tokenTime: tokenTime, free: start}
	pacer := New(start, objective)
	arrivedAt, forceAt := map[int64]time.Time{}, map[int64]time.Time{}
	sizes := map[int64]int64{}
	lastID, events, breaks := int64(0), 0, 0
	var waited time.Duration
	reads := 0
	const tick = time.Millisecond
	send := func(id int64) {
		server.queue = append(server.queue, Request{ID: id, Tokens: sizes[id]})
		delete(forceAt, id)
	}
	for now := start; now.Before(start.Add(2 * time.Minute)); now = now.Add(tick) {
		const meanTokens = 1400
		perTick := 0.4 * float64(tick) / (meanTokens * float64(tokenTime))
		if random.Float64() < perTick/2 {
			for range 1 + 2*random.IntN(2) {
				lastID++
				sizes[lastID], arrivedAt[lastID] = int64(meanTokens/2+random.IntN(meanTokens)), now
				if !paced {
					send(lastID)
					continue
				}
				forceAt[lastID] = now.Add(latencyObjective / 2)
				pacer.Add(now, Request{ID: lastID, Tokens: sizes[lastID], Due: now.Add(latencyObjective)})
			}
		}
		if paced {
			for _, id := range pacer.Next(now) {
				send(id)
			}
			for id, at := range forceAt {
				if !now.Before(at) && pacer.Force(now, id) {
					send(id)
				}
			}
		}
		if now.Before(server.free) {
			continue
		}
		for _, request := range server.step(now) {
			pacer.Release(request.ID)
			waited += now.Sub(arrivedAt[request.ID])
			reads++
		}
		pause := server.lastSteps[0] + server.lastSteps[1]
		pacer.RecordPause(now, pause)
		events++
		if pause > objective {
			breaks++
		}
	}
	return float64(breaks) / float64(events), waited / time.Duration(max(1, reads))
}

func TestPacingKeepsStreamsWithinTheirGapObjective(t *testing.T) {
	for name, tokenTime := range map[string]time.Duration{"slow": 68 * time.Microsecond, "usual": 52 * time.Microsecond, "fast": 26 * time.Microsecond} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			before, _ := prefillLoad(tokenTime, false)
			after, wait := prefillLoad(tokenTime, true)
			t.Logf("pauses beyond the objective: %.4f, paced %.4f; a prompt is read after %s", before, after, wait)
			is.True(after <= before/3)
			is.True(wait < latencyObjective/2)
		})
	}
}

// Guards against prompts of urgent requests that wait behind many others, against one workspace that delays the prompts of all others, and
// against requests that never get their turn. Without a full order, priorities change nothing.
func TestFullOrderOfPrompts(t *testing.T) {
	is := is.New(t)
	var now time.Time
	var pacer *Pacer
	var size int64
	begin := func(full bool) {
		now, pacer = start, New(start, objective)
		pacer.SetFullOrder(full)
		size = pacer.Bound()
		pacer.Add(now, Request{ID: 1, Tokens: size, Due: now.Add(time.Second)})
		is.Equal(pacer.Next(now), []int64{1})
	}
	add := func(id int64, due time.Duration, priority int, workspace string) int {
		return pacer.Add(now, Request{ID: id, Tokens: size, Due: now.Add(due), Priority: priority, Workspace: workspace})
	}
	following := func(previous int64) int64 {
		pacer.Release(previous)
		next := pacer.Next(now)
		is.Equal(len(next), 1)
		return next[0]
	}
	addAll := func() {
		is.Equal(add(2, time.Second, 2, "a"), 0)
		add(3, 2*time.Second, 1, "a")
		add(4, 3*time.Second, 1, "b")
		add(5, 10*time.Millisecond, 0, "b") // It can no longer be in time.
	}
	begin(true)
	addAll()
	is.Equal(pacer.Counts(), map[int]int{0: 1, 1: 2, 2: 1})
	previous := int64(1)
	for _, id := range []int64{3, 4, 2, 5} {
		is.Equal(following(previous), id)
		previous = id
	}
	begin(false)
	addAll()
	is.Equal(following(1), int64(5))
	is.Equal(following(5), int64(2))

	begin(true)
	add(2, time.Hour, 9, "patient")
	now = now.Add(time.Millisecond)
	for id := int64(100); id < 140; id++ {
		add(id, time.Minute, 1, "flood")
	}
	add(3, 2*time.Minute, 1, "other")
	previous = 1
	turns, otherAt, patientAt := 0, 0, 0
	for ; patientAt == 0; turns++ {
		switch previous = following(previous); previous {
		case 2:
			patientAt = turns
		case 3:
			otherAt = turns
		}
		is.True(turns <= 16)
	}
	is.True(otherAt > 0 && otherAt <= 3)
}
