package coord

import (
	"context"
	"encoding/json"
	"net"
	"strconv"
	"testing"
	"time"

	"lentilproxy/core/admit"
	"lentilproxy/core/sched"
	"lentilproxy/core/setup"
	"lentilproxy/core/spec"
	"lentilproxy/io/clock"
	"lentilproxy/io/peer"

	"github.com/go-logr/logr"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"
)

// newDispatchHost returns a host with one plain service "shop" that has one server with the given slots, and its address. If delay is not
// nil, it is called before each call to the host is handled.
func newDispatchHost(t *testing.T, name string, slots int, delay func()) (*Coordinator, string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	meter := peer.NewMeter(tally.NoopScope)
	coordinator := &Coordinator{
		settings: &setup.Settings{}, log: logr.Discard(), metrics: tally.NoopScope, ctx: ctx, cancel: cancel, meter: meter,
		peers: peer.NewPool(meter),
	}
	coordinator.settings.Host.Name = name
	coordinator.traffic = &Traffic{coordinator: coordinator, scheduler: sched.New("dc"), pacers: newPacers()}
	coordinator.traffic.dispatchers = newDispatchers(coordinator, coordinator.traffic.usageReports)
	view := spec.EmptyView()
	view.Config = spec.NewConfig(spec.Resources{Version: 1, Services: []spec.Service{{Name: "shop"}}})
	view.Servers["s"] = spec.Server{ID: "s", Service: "shop", Slots: slots, StartedMillis: 7}
	coordinator.view.Store(view)
	coordinator.traffic.scheduler.UpdateServers(view.Servers)
	coordinator.traffic.dispatchers.updateView(clock.Now(), view)
	control := &control{coordinator: coordinator}
	server := peer.NewServer(listener, meter, func(ctx context.Context, method string, params json.RawMessage) (any, error) {
		if delay != nil {
			delay()
		}
		return control.handle(ctx, method, params)
	})
	coordinator.spawn(coordinator.traffic.dispatchers.run)
	t.Cleanup(func() {
		cancel()
		server.Close()
		coordinator.peers.Close()
		coordinator.goroutines.Wait()
	})
	return coordinator, listener.Addr().String()
}

// connectHosts makes hosts known to each other.
func connectHosts(hosts []*Coordinator, addresses []string) {
	for _, host := range hosts {
		known := map[string]string{}
		for index, other := range hosts {
			known[other.settings.Host.Name] = addresses[index]
			if other == host {
				known[other.settings.Host.Name] = ""
			}
		}
		host.traffic.dispatchers.setHosts(clock.Now(), known, nil)
	}
}

func demand(wait time.Duration) Demand {
	return Demand{Service: spec.Service{Name: "shop"}, Class: "r", Due: clock.Now().Add(300 * time.Millisecond), Deadline: clock.Now().Add(wait)}
}

// dispatchHosts returns hosts that know each other, the dispatcher first. Delay is that of calls to the dispatcher; it may be nil.
func dispatchHosts(t *testing.T, slots int, delay func()) []*Coordinator {
	t.Helper()
	const count = 5
	rank := newHostRank()
	names := map[string]string{}
	for number := range count {
		names["host-"+strconv.Itoa(number)] = "x"
	}
	rank.setHosts(names)
	first, _, _ := rank.hostFor(clock.Now(), "shop")
	var hosts []*Coordinator
	var addresses []string
	for name := range names {
		var delayed func()
		if name == first {
			delayed = delay
		}
		host, address := newDispatchHost(t, name, slots, delayed)
		hosts, addresses = append(hosts, host), append(addresses, address)
		if last := len(hosts) - 1; name == first {
			hosts[0], hosts[last], addresses[0], addresses[last] = hosts[last], hosts[0], addresses[last], addresses[0]
		}
	}
	connectHosts(hosts, addresses)
	return hosts
}

// Guards against slots that are assigned twice, on the dispatcher itself or over the network, and against ends that do not free them.
// A wait for a slot that is longer than a dispatcher may be silent must not count as a dispatcher that does not respond.
func TestHostsShareTheSlotsOfAServer(t *testing.T) {
	is := is.New(t)
	hosts := dispatchHosts(t, 2, nil)
	first := hosts[0].Dispatch(t.Context(), demand(2*time.Second))
	second := hosts[1].Dispatch(t.Context(), demand(2*time.Second))
	is.Equal(first.Outcome, Admitted)
	is.Equal(second.Outcome, Admitted)
	is.Equal(second.Server.ID, "s")
	is.Equal(second.Dispatcher, hosts[0].settings.Host.Name)
	for _, ended := range []Admission{first, second} {
		startedAt := time.Now()
		time.AfterFunc(3*dispatcherTimeout, func() { ended.Assignment.End(admit.OutcomeOK) })
		third := hosts[2].Dispatch(t.Context(), demand(2*time.Second))
		is.Equal(third.Outcome, Admitted)
		is.True(time.Since(startedAt) >= 2*dispatcherTimeout)
		is.True(third.Waited > 0)
	}
	refused := hosts[3].Dispatch(t.Context(), demand(20*time.Millisecond))
	is.Equal(refused.Outcome, NotAdmitted)
	is.True(refused.RetryAfter > 0)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	is.Equal(hosts[4].Dispatch(ctx, demand(2*time.Second)).Outcome, NoDispatcher) // The caller has left.
	for range 100 {
		if dispatcher := hosts[0].traffic.dispatchers; dispatcher.waitingRequests() == 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the request of a caller who has left goes on waiting")
}

func (dispatchers *dispatchers) waitingRequests() int {
	dispatchers.mutex.Lock()
	defer dispatchers.mutex.Unlock()
	return len(dispatchers.queues["shop"].decided)
}

// Guards against requests that wait for a frozen dispatcher for longer than its time limit, and against hosts that ask it again at once.
// The grant that it gives late must not keep its slot.
func TestFrozenDispatcherIsReplacedByTheNextHost(t *testing.T) {
	is := is.New(t)
	frozen := make(chan struct{})
	hosts := dispatchHosts(t, 2, func() { <-frozen })
	startedAt := time.Now()
	admission := hosts[1].Dispatch(t.Context(), demand(2*time.Second))
	waited := time.Since(startedAt)
	is.Equal(admission.Outcome, NoDispatcher)
	is.True(waited >= dispatcherTimeout)
	is.True(waited < dispatcherTimeout+300*time.Millisecond)
	next := hosts[1].Dispatch(t.Context(), demand(2*time.Second))
	is.Equal(next.Outcome, Admitted)
	is.True(next.Dispatcher != hosts[0].settings.Host.Name)
	close(frozen)
	for range 200 {
		dispatchers := hosts[0].traffic.dispatchers
		dispatchers.mutex.Lock()
		queue := dispatchers.queues["shop"]
		idle := queue != nil && queue.queue.Idle()
		dispatchers.mutex.Unlock()
		if idle {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the dispatcher keeps a slot for a request that no longer waits")
}

// Guards against a dispatcher that is given up again and again, so that several dispatchers assign the same slots, since its responses take
// longer than a fixed time.
func TestSlowDispatcherIsGivenMoreTime(t *testing.T) {
	is := is.New(t)
	hosts := dispatchHosts(t, 2, func() { time.Sleep(170 * time.Millisecond) })
	host := hosts[1].traffic.dispatchers
	hosts[1].Dispatch(t.Context(), demand(2*time.Second)).Assignment.End(admit.OutcomeOK) // Nothing is known about the dispatcher yet.
	host.mutex.Lock()
	host.rank.avoid(hosts[0].settings.Host.Name, clock.Now())
	host.mutex.Unlock()
	for range 5 {
		admission := hosts[1].Dispatch(t.Context(), demand(2*time.Second))
		is.Equal(admission.Outcome, Admitted)
		is.Equal(admission.Dispatcher, hosts[0].settings.Host.Name)
		admission.Assignment.End(admit.OutcomeOK)
	}
}

// Guards against a slot that is kept until the deadline of a request whose end has overtaken it, also if it is the first one for its
// service.
func TestEndBeforeTheFirstRequestOfAService(t *testing.T) {
	is := is.New(t)
	dispatchers := dispatchHosts(t, 1, nil)[0].traffic.dispatchers
	dispatchers.handleDone(doneParams{Service: "shop", Host: "host-9", Ended: []endParams{{ID: 7, Outcome: admit.OutcomeUnused}}})
	got := dispatchers.handleTake(t.Context(), takeParams{Service: "shop", Host: "host-9", ID: 7, Class: "r", DueMS: 300, DeadlineMS: 2000})
	is.Equal(got.Reason, admit.ReasonWithdrawn)
	dispatchers.mutex.Lock()
	defer dispatchers.mutex.Unlock()
	is.True(dispatchers.queues["shop"].queue.Idle())
	is.Equal(len(dispatchers.queues), 1)
}

// Guards against a dispatcher that takes over and assigns slots that are in use: by another dispatcher's assignments, by requests that
// their host has sent by itself, or by those that only gossip messages tell of.
func TestDispatcherCountsRequestsThatItHasNotAssigned(t *testing.T) {
	is := is.New(t)
	hosts := dispatchHosts(t, 2, nil)
	host := hosts[1].traffic.dispatchers
	byFirst := hosts[1].Dispatch(t.Context(), demand(2*time.Second))
	is.Equal(byFirst.Outcome, Admitted)
	host.mutex.Lock()
	host.rank.avoid(byFirst.Dispatcher, clock.Now().Add(time.Minute))
	host.mutex.Unlock()
	bySecond := hosts[1].Dispatch(t.Context(), demand(2*time.Second))
	is.Equal(bySecond.Outcome, Admitted)
	is.True(bySecond.Dispatcher != byFirst.Dispatcher)
	is.Equal(hosts[1].Dispatch(t.Context(), demand(20*time.Millisecond)).Outcome, NotAdmitted) // Both slots are in use.
	byFirst.Assignment.End(admit.OutcomeOK)
	third := hosts[1].Dispatch(t.Context(), demand(2*time.Second)) // The second dispatcher learns of the end.
	is.Equal(third.Outcome, Admitted)
	third.Assignment.End(admit.OutcomeOK)
	own := hosts[1].Undispatched(spec.Server{ID: "s", Service: "shop"})
	is.Equal(hosts[1].Dispatch(t.Context(), demand(20*time.Millisecond)).Outcome, NotAdmitted)
	own.End(admit.OutcomeOK)

	fresh := hosts[0].traffic
	fresh.dispatchers.mutex.Lock()
	clear(fresh.dispatchers.queues) // As after a restart.
	fresh.dispatchers.mutex.Unlock()
	fresh.mutex.Lock()
	fresh.scheduler.SetPeerUsage(clock.Now(), hosts[2].settings.Host.Name, map[string]sched.Usage{"s": {Running: 2}})
	fresh.mutex.Unlock()
	is.Equal(hosts[3].Dispatch(t.Context(), demand(20*time.Millisecond)).Outcome, NotAdmitted)
}

// Guards against slots that stay empty since a dispatcher goes on counting a request that another one has assigned and that has ended: its
// host did not tell, as it asked the other one at that moment.
func TestEndsReachAllDispatchersThatCountTheRequest(t *testing.T) {
	is := is.New(t)
	hosts := dispatchHosts(t, 2, nil)
	host := hosts[1].traffic.dispatchers
	avoidUntil := func(until time.Time) {
		host.mutex.Lock()
		defer host.mutex.Unlock()
		host.rank.avoid(hosts[0].settings.Host.Name, until)
	}
	avoidUntil(clock.Now().Add(time.Minute))
	bySecond := hosts[1].Dispatch(t.Context(), demand(2*time.Second))
	is.Equal(bySecond.Outcome, Admitted)
	avoidUntil(clock.Now())
	byFirst := hosts[1].Dispatch(t.Context(), demand(2*time.Second)) // The first dispatcher learns of both.
	is.Equal(byFirst.Outcome, Admitted)
	is.True(byFirst.Dispatcher != bySecond.Dispatcher)
	avoidUntil(clock.Now().Add(time.Minute))
	bySecond.Assignment.End(admit.OutcomeOK)
	is.Equal(hosts[2].Dispatch(t.Context(), demand(time.Second)).Outcome, Admitted)
}

// Guards against dispatchers in deployments whose hosts know each other's load well enough, or whose servers do not declare their slots.
func TestDispatcherIsUsedWithManyHostsOnly(t *testing.T) {
	is := is.New(t)
	for _, test := range []struct {
		slots int
		used  bool
	}{{2, true}, {3, false}, {0, false}} {
		hosts := dispatchHosts(t, test.slots, nil)
		admission := hosts[1].Dispatch(t.Context(), demand(time.Second))
		is.Equal(admission.Outcome == Admitted, test.used)
		admission.Assignment.End(admit.OutcomeOK)
		is.Equal(hosts[1].Undispatched(spec.Server{ID: "s", Service: "shop"}) != nil, test.used)
	}
}
