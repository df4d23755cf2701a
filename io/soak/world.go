package soak

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"lentilproxy/platform/stub"
)

const (
	// beatInterval is the time between two writes of a backend server's entry.
	beatInterval = 250 * time.Millisecond
	// leaveAfter is how long the entry of a server that crashed stays in the store.
	leaveAfter = time.Second
	// storeDelay and serverDelay are what slow parts take in addition.
	storeDelay  = 300 * time.Millisecond
	serverDelay = 30 * time.Millisecond
	// resetInterval is the time between two resets of all connections to a server.
	resetInterval = 150 * time.Millisecond
	// manyConfigs is the number of configurations that follow each other closely, configGap the time between them.
	manyConfigs = 8
	configGap   = 60 * time.Millisecond
	// rate is the limit of the workspace in tokens a second; the callers ask for about as much.
	rate = 5000
	// streamEvents is the number of events of a stream, eventGap the time between them.
	streamEvents = 6
	eventGap     = 20 * time.Millisecond
	// places is the number of adapters that an engine holds.
	places = 6
)

// backend is a backend server with a relay in front of it, or the one that came in its place.
type backend struct {
	*stub.Server
	relay   *Relay
	service string
	state   string
	number  int
	life    int
	busy    bool
}

// world is the platform of a run: the store, the backend servers and the operator.
type world struct {
	store    *stub.Store
	listener net.Listener
	server   *http.Server
	stop     chan struct{}
	done     chan struct{}

	mutex    sync.Mutex
	config   stub.Config
	backends []*backend
	// gone are servers that were replaced; what arrived there counts.
	gone     []*stub.Server
	versions map[string]int64
	// old is the key that was withdrawn last.
	old string
	// declared holds when a key's declaration was acknowledged, taken when its withdrawal was, drained when a server's
	// draining was.
	declared map[string]time.Time
	taken    map[string]time.Time
	drained  map[string]time.Time
	extra    string
	keys     int
}

func newWorld(engines, plain int) (*world, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	world := &world{
		store: stub.NewStore(), listener: listener, stop: make(chan struct{}), done: make(chan struct{}), config: stub.NewConfig(),
		versions: map[string]int64{}, declared: map[string]time.Time{}, taken: map[string]time.Time{}, drained: map[string]time.Time{},
	}
	world.server = &http.Server{Handler: world.store, ReadHeaderTimeout: time.Second}
	go func() { _ = world.server.Serve(listener) }()
	world.config.Rate, world.config.AdapterCapacity = rate, places
	world.newKey()
	for number := range engines + plain {
		service := stub.ServiceChat
		if number >= engines {
			service = stub.ServiceOrders
		}
		known := &backend{service: service, number: number}
		if err = world.replace(known); err != nil {
			return nil, err
		}
		world.backends = append(world.backends, known)
	}
	go func() {
		defer close(world.done)
		for {
			select {
			case <-time.After(beatInterval):
				world.beat()
			case <-world.stop:
				return
			}
		}
	}()
	return world, nil
}

// replace starts a server, in place of the one before.
func (world *world) replace(known *backend) error {
	options := []stub.ServerOption{stub.WithEvents(streamEvents, eventGap)}
	if known.service == stub.ServiceChat {
		options = append(options, stub.WithModel(stub.Model, places))
	}
	server, err := stub.NewServer(fmt.Sprintf("server-%d-%d", known.number, known.life+1), known.service, options...)
	if err != nil {
		return err
	}
	relay, err := NewRelay(server.Address())
	if err != nil {
		return err
	}
	server.Advertise(relay.Address())
	world.mutex.Lock()
	defer world.mutex.Unlock()
	if known.Server != nil {
		world.gone = append(world.gone, known.Server)
		known.relay.Close()
	}
	for adapter, version := range world.versions {
		server.Announce(adapter, version)
	}
	known.Server, known.relay, known.state = server, relay, "ready"
	known.life++
	return nil
}

// beat writes the entries of the servers as they would themselves.
func (world *world) beat() {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	for _, known := range world.backends {
		if known.state != "" {
			world.store.Put("servers", known.ID(), known.Entry(known.state))
		}
	}
}

// claim returns a server to disturb, unless it is disturbed already.
func (world *world) claim(target int) *backend {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	known := world.backends[target%len(world.backends)]
	if known.busy {
		return nil
	}
	known.busy = true
	return known
}

func (world *world) release(known *backend) {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	known.busy = false
}

// enter changes what a server says of itself; an empty state removes its entry.
func (world *world) enter(known *backend, state string) {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	known.state = state
	if state == "" {
		world.store.Delete("servers", known.ID())
		return
	}
	world.store.Put("servers", known.ID(), known.Entry(state))
	if state == "draining" {
		world.drained[known.ID()] = time.Now()
	}
}

// crash ends a server at once. Another one comes in its place.
func (world *world) crash(known *backend, after time.Duration) error {
	known.Close()
	time.Sleep(leaveAfter)
	world.enter(known, "")
	time.Sleep(after)
	return world.replace(known)
}

// drain lets a server leave as planned. Another one comes in its place.
func (world *world) drain(known *backend, after time.Duration) error {
	world.enter(known, "draining")
	time.Sleep(max(after, 2*drainBound))
	world.enter(known, "")
	known.Close()
	return world.replace(known)
}

// newKey declares a further key of the workspace in place of the one before.
func (world *world) newKey() {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	before := world.extra
	world.keys++
	world.extra = fmt.Sprint("key-", world.keys)
	world.config.Version++
	world.config.Keys = []string{stub.Key, world.extra}
	world.config.Apply(world.store)
	world.declared[world.extra] = time.Now()
	if before != "" {
		world.old, world.taken[before] = before, world.declared[world.extra]
	}
}

// announce names a newer version of an adapter.
func (world *world) announce(adapter string) {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	world.versions[adapter] = max(1, world.versions[adapter]) + 1
	for _, known := range world.backends {
		known.Announce(adapter, world.versions[adapter])
	}
	stub.Announce(world.store, adapter, world.versions[adapter])
}

// servers returns all servers, those that were replaced among them.
func (world *world) servers() []*stub.Server {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	all := append([]*stub.Server(nil), world.gone...)
	for _, known := range world.backends {
		all = append(all, known.Server)
	}
	return all
}

func (world *world) close() {
	close(world.stop)
	<-world.done
	_ = world.server.Close()
	for _, known := range world.backends {
		known.Close()
		known.relay.Close()
	}
}

// disturb carries an event out, from its beginning to its end.
func (soak *Soak) disturb(event Event) {
	host := soak.hosts[event.Target%len(soak.hosts)]
	switch event.Kind {
	case KindStop, KindKill, KindPause, KindReload:
		soak.disturbProcess(event, host)
	case KindReset, KindDelay, KindCrash, KindDrain, KindErrors:
		soak.disturbServer(event)
	case KindStoreCut:
		soak.during(event, host.name, func() { host.store.Disturb(true, true, 0) }, func() {
			host.store.Disturb(false, false, 0)
			host.store.Reset()
		})
	case KindPeersCut, KindOneWay:
		soak.during(event, everybody, func() { host.peers.Disturb(event.Kind == KindPeersCut, true, 0) }, func() {
			host.peers.Disturb(false, false, 0)
			host.peers.Reset()
		})
	case KindStoreAway:
		soak.disturbStore(event, stub.StoreFaults{Status: http.StatusServiceUnavailable, Silent: event.Target%2 == 0})
	case KindStoreSlow:
		soak.disturbStore(event, stub.StoreFaults{Delay: storeDelay})
	case KindStoreLost:
		soak.disturbStore(event, stub.StoreFaults{LoseResponses: true})
	case KindHistory:
		soak.during(event, everybody, soak.world.store.DropHistory, func() {})
	case KindKeyTaken:
		soak.world.newKey()
	case KindVersion:
		soak.world.announce(adapterName(event.Target % adapters))
	case KindManyConfigs:
		for range manyConfigs {
			soak.world.newKey()
			time.Sleep(configGap)
		}
	}
}

// during notes a disturbance of a host, or of everybody, from before its beginning until its end.
func (soak *Soak) during(event Event, who string, begin, end func()) {
	finish := soak.note(event.Kind, who)
	begin()
	time.Sleep(event.For)
	end()
	finish()
}

func (soak *Soak) disturbStore(event Event, faults stub.StoreFaults) {
	soak.during(event, everybody, func() { soak.world.store.SetFaults(faults) }, func() { soak.world.store.SetFaults(stub.StoreFaults{}) })
}

func (soak *Soak) disturbProcess(event Event, host *host) {
	if !host.claim() {
		return
	}
	defer host.release()
	switch event.Kind {
	case KindStop:
		finish := soak.note(KindStop, host.name)
		host.signal(syscall.SIGTERM)
		select {
		case <-host.done():
		case <-time.After(stopWait):
			soak.violate("stop", fmt.Sprintf("%s has not ended %s after SIGTERM", host.name, stopWait))
			host.signal(syscall.SIGKILL)
			<-host.done()
		}
		time.Sleep(event.For)
		soak.restart(host)
		finish()
	case KindKill:
		soak.during(event, host.name, func() {
			host.signal(syscall.SIGKILL)
			<-host.done()
		}, func() { soak.restart(host) })
	case KindPause:
		soak.during(event, host.name, func() { host.signal(syscall.SIGSTOP) }, func() { host.signal(syscall.SIGCONT) })
	default:
		host.signal(syscall.SIGHUP)
	}
}

func (soak *Soak) restart(host *host) {
	if err := host.start(); err != nil {
		soak.violate("start", fmt.Sprintf("%s does not start: %v", host.name, err))
	}
}

func (soak *Soak) disturbServer(event Event) {
	known := soak.world.claim(event.Target)
	if known == nil {
		return
	}
	defer soak.world.release(known)
	var err error
	switch event.Kind {
	case KindReset:
		finish := soak.note(KindReset, everybody)
		for until := time.Now().Add(event.For); time.Now().Before(until); time.Sleep(resetInterval) {
			known.relay.Reset()
		}
		finish()
	case KindDelay:
		soak.during(event, everybody, func() { known.relay.Disturb(false, false, serverDelay) }, func() { known.relay.Disturb(false, false, 0) })
	case KindErrors:
		soak.during(event, everybody, func() { known.SetFaults(stub.ServerFaults{Errors: true}) }, func() { known.SetFaults(stub.ServerFaults{}) })
	case KindCrash:
		soak.during(event, everybody, func() { err = soak.world.crash(known, event.For) }, func() {})
	default:
		// A server that leaves as planned is no disturbance.
		err = soak.world.drain(known, event.For)
	}
	if err != nil {
		soak.violate("setup", "a server does not start: "+err.Error())
	}
}
