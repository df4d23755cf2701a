package coord

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"testing"
	"time"

	"lentilproxy/core/order"
	"lentilproxy/core/sched"
	"lentilproxy/core/setup"
	"lentilproxy/core/slots"
	"lentilproxy/core/spec"
	"lentilproxy/io/clock"
	"lentilproxy/io/peer"

	"github.com/go-logr/logr"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"
)

// loadHolder is a lease holder that answers load requests as a test wants.
type loadHolder struct {
	mutex  sync.Mutex
	calls  []loadParams
	answer func(params loadParams) any
}

// newLoadHolder returns a host among many that asks a holder about the servers s0 to s3.
func newLoadHolder(t *testing.T, answer func(params loadParams) any) (*Coordinator, *loadHolder) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	known := &loadHolder{answer: answer}
	meter := peer.NewMeter(tally.NoopScope)
	server := peer.NewServer(listener, meter, func(_ context.Context, _ string, content json.RawMessage) (any, error) {
		params, err := peer.Decode[loadParams](content)
		known.mutex.Lock()
		known.calls = append(known.calls, params)
		known.mutex.Unlock()
		return known.answer(params), err
	})
	coordinator := &Coordinator{settings: &setup.Settings{}, log: logr.Discard(), metrics: tally.NoopScope, ctx: t.Context(), peers: peer.NewPool(meter)}
	coordinator.traffic = &Traffic{
		coordinator: coordinator, scheduler: sched.New("dc"), members: maxExchanges + 2, holders: map[string]holder{},
		loads: map[loadKey]*pendingLoad{}, lateLoads: map[spec.Incarnation]lateLoad{},
	}
	for _, id := range []string{"s0", "s1", "s2", "s3"} {
		coordinator.traffic.holders[id] = holder{name: "holder", address: listener.Addr().String()}
	}
	t.Cleanup(func() {
		coordinator.peers.Close()
		server.Close()
	})
	return coordinator, known
}

func late(expected time.Duration) loadResult {
	return loadResult{Outcome: LoadLate, Reason: slots.ReasonBusy, ExpectedMS: expected.Milliseconds(), RetryMS: 70, Ahead: 5}
}

// Guards against a load request that stays as urgent as the request that asked first, and against one call for each of many requests
// that are equally urgent.
func TestLoadRequestsAreSharedByEquallyUrgentRequests(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	coordinator, known := newLoadHolder(t, func(loadParams) any {
		<-release
		return loadResult{Outcome: LoadReady, Version: 1}
	})
	var requests sync.WaitGroup
	for _, priority := range []int{3, 3, 3, 0, 0, 3} {
		requests.Go(func() {
			request := LoadRequest{Adapter: "a", Due: time.Hour, Deadline: time.Hour, Priority: priority, Workspace: "w", Digest: "d"}
			if result := coordinator.Load(t.Context(), spec.Server{ID: "s0"}, request); result.Outcome != LoadReady {
				t.Error(result)
			}
		})
	}
	time.Sleep(100 * time.Millisecond)
	close(release)
	requests.Wait()
	priorities := map[int]bool{}
	for _, call := range known.calls {
		priorities[*call.Priority] = true
		is.Equal(call.Workspace, "w")
		is.Equal(call.Digest, "d")
		is.True(call.DeadlineMS > 0)
	}
	is.Equal(priorities, map[int]bool{0: true, 3: true})
	is.True(len(known.calls) <= 4) // An interval of due times may have ended meanwhile.
}

// Guards against a request that is refused since the load is late for another one which asked first, against a question to the lease
// holder of each server for each refused request, and against late loads that still count after a while or for more urgent requests.
func TestLateLoadsAreKnownToTheHost(t *testing.T) {
	is := is.New(t)
	coordinator, known := newLoadHolder(t, func(params loadParams) any {
		time.Sleep(50 * time.Millisecond)
		if params.DeadlineMS > 500 {
			return loadResult{Outcome: LoadReady, Version: 1}
		}
		return late(500 * time.Millisecond)
	})
	load := func(server string, request LoadRequest) LoadResult {
		request.Adapter, request.Due, request.Workspace = "a", time.Hour, "w"
		return coordinator.Load(t.Context(), spec.Server{ID: server}, request)
	}
	var other sync.WaitGroup
	other.Go(func() { load("s0", LoadRequest{Deadline: 300 * time.Millisecond, Priority: 1}) })
	time.Sleep(20 * time.Millisecond)
	is.Equal(load("s0", LoadRequest{Deadline: 900 * time.Millisecond, Priority: 1}).Outcome, LoadReady)
	other.Wait()

	is.Equal(len(known.calls), 2)

	now, key := clock.Now(), loadKey{incarnation: spec.Incarnation{ID: "s1"}, urgency: urgency{priority: 1}}
	result := coordinator.recordLoad(now, key, late(500*time.Millisecond))
	is.Equal(result.RetryAfter, 70*time.Millisecond)
	is.Equal(result.Ahead, 5)
	for name, test := range map[string]struct {
		after   time.Duration
		request LoadRequest
		known   bool
	}{
		"third server":   {0, LoadRequest{Priority: 1, Refusals: 2, Deadline: 300 * time.Millisecond}, true},
		"less urgent":    {0, LoadRequest{Priority: 2, Refusals: 2, Deadline: 300 * time.Millisecond}, true},
		"more urgent":    {0, LoadRequest{Priority: 0, Refusals: 2, Deadline: 300 * time.Millisecond}, false},
		"second server":  {0, LoadRequest{Priority: 1, Refusals: 1, Deadline: 300 * time.Millisecond}, false},
		"later deadline": {0, LoadRequest{Priority: 1, Refusals: 2, Deadline: 600 * time.Millisecond}, false},
		"no deadline":    {0, LoadRequest{Priority: 1, Refusals: 2}, false},
		"after a while":  {lateLifetime, LoadRequest{Priority: 1, Refusals: 2, Deadline: 200 * time.Millisecond}, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, found := coordinator.knownLate(now.Add(test.after), spec.Server{ID: "s1"}, test.request)
			is.Equal(found, test.known)
		})
	}
}

// Guards against misunderstandings between hosts of this version and the previous one, whose calls and results have none of the new fields.
func TestLoadsOfThePreviousVersion(t *testing.T) {
	is := is.New(t)
	for outcome, millis := range map[string]int{"full": 0, "timeout": 0, "ready": 0} {
		coordinator, _ := newLoadHolder(t, func(loadParams) any { return map[string]any{"outcome": outcome, "version": millis} })
		result := coordinator.Load(t.Context(), spec.Server{ID: "s0"}, LoadRequest{Adapter: "a", Due: time.Second, Deadline: time.Second})
		is.Equal(string(result.Outcome), outcome)
		is.True(!result.Ordered)
	}
	now := clock.Now()
	params, err := peer.Decode[loadParams](json.RawMessage(`{"server":"s","adapter":"a","demand":1,"wait_ms":2000,"due_ms":700}`))
	is.NoErr(err)
	is.True(params.waits())
	waiter := waiterOf(now, params, 1)
	is.Equal(waiter.Priority, order.LeastUrgent)
	is.True(waiter.Deadline.IsZero())
	is.Equal(waiter.Due, now.Add(700*time.Millisecond))
	replica, err := peer.Decode[loadParams](json.RawMessage(`{"server":"s","adapter":"a","demand":1,"wait_ms":2000}`))
	is.NoErr(err)
	is.True(!replica.waits())
	prompt, err := peer.Decode[paceParams](json.RawMessage(`{"server":"s","tokens":5,"due_ms":700}`))
	is.NoErr(err)
	is.Equal(requestOf(now, 1, prompt).Priority, order.LeastUrgent)
}

// Guards against a fleet of few hosts whose requests are put in another order than before.
func TestFewHostsStateNoPriorities(t *testing.T) {
	is := is.New(t)
	coordinator, known := newLoadHolder(t, func(loadParams) any { return loadResult{Outcome: LoadReady} })
	coordinator.traffic.members = maxExchanges + 1
	coordinator.Load(t.Context(), spec.Server{ID: "s0"}, LoadRequest{Adapter: "a", Due: time.Second, Deadline: time.Second, Priority: 1, Workspace: "w"})
	is.Equal(len(known.calls), 1)
	is.Equal(known.calls[0], loadParams{Server: "s0", Adapter: "a", Demand: 1, WaitMS: maxLoadWait.Milliseconds(), DueMS: 1000})
}
