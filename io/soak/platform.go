package soak

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"lentilproxy/platform/stub"
)

const (
	// heartbeatInterval is the time between two writes of a backend server's registration.
	heartbeatInterval = 250 * time.Millisecond
	// crashedRegistrationTimeout is how long the registration of a crashed server stays in the store.
	crashedRegistrationTimeout = time.Second
	// storeDelay and serverDelay are the delays that slow components add.
	storeDelay  = 300 * time.Millisecond
	serverDelay = 30 * time.Millisecond
	// resetInterval is the time between two resets of all connections to a server.
	resetInterval = 150 * time.Millisecond
	// configBurst is the number of configurations written in quick succession, and configGap the time between them.
	configBurst = 8
	configGap   = 60 * time.Millisecond
	// tokenRate is the limit of the workspace in tokens per second. The callers' load is about as high.
	tokenRate = 5000
	// streamEvents is the number of events of a stream, and eventGap the time between them.
	streamEvents = 6
	eventGap     = 20 * time.Millisecond
	// adapterCapacity is the number of adapter slots of an engine.
	adapterCapacity = 6
	// evacuatedZone is the data centre that is evacuated. One of evacuatedEvery servers is there.
	evacuatedZone  = "dc-2"
	evacuatedEvery = 3
	// coldRate is the number of requests per second that a cold server without a model tolerates.
	coldRate = 10
)

// backend is a backend server with a relay in front of it. Its incarnation is replaced after a crash or a drain.
type backend struct {
	*stub.Server
	relay       *Relay
	service     string
	state       string
	number      int
	incarnation int
	busy        bool
}

// callerKeys are the valid key besides stub.Key, and the last key that was withdrawn, or "".
type callerKeys struct {
	extra     string
	withdrawn string
}

// period is a period, and the server that it concerns, if it concerns one.
type period struct {
	server string
	from   time.Time
	until  time.Time
}

// platform is the stub platform of a run: the store, the backend servers and the operator.
type platform struct {
	store    *stub.Store
	listener net.Listener
	server   *http.Server
	stop     chan struct{}
	done     chan struct{}

	mutex    sync.Mutex
	config   stub.Config
	backends []*backend
	// replaced holds the replaced servers, whose arrivals and orders are checked too.
	replaced        []*stub.Server
	adapterVersions map[string]int64
	// declared and withdrawn map keys to the times at which the write of the configuration that declared or withdrew
	// them was acknowledged. drained does the same for IDs of servers and the writes of their draining state.
	declared  map[string]time.Time
	withdrawn map[string]time.Time
	drained   map[string]time.Time
	// keys are those that callers use besides stub.Key. Callers must not wait for the mutex, which is held for long while
	// the servers register.
	keys atomic.Pointer[callerKeys]
	// evacuations and colds are the periods in which evacuatedZone was evacuated, and in which servers were cold.
	evacuations []period
	colds       []period
	keyCount    int
	// stutter is shared by all servers.
	stutter *stub.Stutter
	// onCrash is called before a request crashes an incarnation of a backend server.
	onCrash func(backend *backend, incarnation int)
}

func newPlatform(seed uint64, engines, plain int, onCrash func(backend *backend, incarnation int)) (*platform, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	platform := &platform{
		store: stub.NewStore(), listener: listener, stop: make(chan struct{}), done: make(chan struct{}), config: stub.NewConfig(),
		onCrash: onCrash, stutter: stub.NewStutter(seed), adapterVersions: map[string]int64{}, declared: map[string]time.Time{}, withdrawn: map[string]time.Time{}, drained: map[string]time.Time{},
	}
	platform.server = &http.Server{Handler: platform.store, ReadHeaderTimeout: time.Second}
	go func() { _ = platform.server.Serve(listener) }()
	platform.config.Rate, platform.config.AdapterCapacity, platform.config.ColdRate = tokenRate, adapterCapacity, coldRate
	platform.newKey()
	for number := range engines + plain {
		service := stub.ServiceChat
		if number >= engines {
			service = stub.ServiceOrders
		}
		backend := &backend{service: service, number: number}
		if err = platform.replace(backend); err != nil {
			return nil, err
		}
		platform.backends = append(platform.backends, backend)
	}
	go func() {
		defer close(platform.done)
		for {
			select {
			case <-time.After(heartbeatInterval):
				platform.writeRegistrations()
			case <-platform.stop:
				return
			}
		}
	}()
	return platform, nil
}

// replace starts a new incarnation of a backend server.
func (platform *platform) replace(backend *backend) error {
	incarnation := backend.incarnation + 1
	options := []stub.ServerOption{stub.WithEvents(streamEvents, eventGap), stub.WithBodiesNamingRequests(), stub.WithStutter(platform.stutter)}
	if backend.number%evacuatedEvery == 1 {
		options = append(options, stub.WithDataCentre(evacuatedZone))
	}
	if backend.service == stub.ServiceChat {
		options = append(options, stub.WithModel(stub.Model, adapterCapacity), stub.WithPromptTime(promptTime),
			stub.WithOnCrash(func() { platform.onCrash(backend, incarnation) }))
	}
	server, err := stub.NewServer(fmt.Sprintf("server-%d-%d", backend.number, incarnation), backend.service, options...)
	if err != nil {
		return err
	}
	server.SetFaults(stub.ServerFaults{CrashOnPart: crashPart, CrashAt: stub.CrashInBody})
	relay, err := NewRelay(server.Address())
	if err != nil {
		return err
	}
	server.Advertise(relay.Address())
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	if backend.Server != nil {
		platform.replaced = append(platform.replaced, backend.Server)
		backend.relay.Close()
	}
	for adapter, version := range platform.adapterVersions {
		server.Announce(adapter, version)
	}
	backend.Server, backend.relay, backend.state = server, relay, "ready"
	backend.incarnation = incarnation
	return nil
}

// writeRegistrations writes the servers' registrations to the store, as real servers do themselves.
func (platform *platform) writeRegistrations() {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	for _, backend := range platform.backends {
		if backend.state != "" {
			platform.store.Put("servers", backend.ID(), backend.Registration(backend.state))
		}
	}
}

// claim reserves a server for one disturbance until release. It returns nil if the server is already reserved.
func (platform *platform) claim(target int) *backend {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	backend := platform.backends[target%len(platform.backends)]
	if backend.busy {
		return nil
	}
	backend.busy = true
	return backend
}

func (platform *platform) release(backend *backend) {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	backend.busy = false
}

// setState changes the state in a server's registration. An empty state removes the registration.
func (platform *platform) setState(backend *backend, state string) {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	backend.state = state
	if state == "" {
		platform.store.Delete("servers", backend.ID())
		return
	}
	platform.store.Put("servers", backend.ID(), backend.Registration(state))
	if state == "draining" {
		platform.drained[backend.ID()] = time.Now()
	}
}

// crash stops a server at once and later replaces it.
func (platform *platform) crash(backend *backend, after time.Duration) error {
	backend.Close()
	time.Sleep(crashedRegistrationTimeout)
	platform.setState(backend, "")
	time.Sleep(after)
	return platform.replace(backend)
}

// drain drains and stops a server, and replaces it.
func (platform *platform) drain(backend *backend, after time.Duration) error {
	platform.setState(backend, "draining")
	time.Sleep(max(after, 2*drainBound))
	platform.setState(backend, "")
	backend.Close()
	return platform.replace(backend)
}

// evacuate evacuates evacuatedZone for a time.
func (platform *platform) evacuate(duration time.Duration) {
	stub.Evacuate(platform.store, evacuatedZone)
	evacuation := period{from: time.Now()}
	time.Sleep(duration)
	evacuation.until = time.Now()
	stub.EndEvacuation(platform.store, evacuatedZone)
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	platform.evacuations = append(platform.evacuations, evacuation)
}

// coldReturn makes a server without a model cold for a time.
func (platform *platform) coldReturn(event Event) {
	platform.mutex.Lock()
	plain := slices.DeleteFunc(slices.Clone(platform.backends), func(backend *backend) bool { return backend.service != stub.ServiceOrders })
	platform.mutex.Unlock()
	if len(plain) == 0 {
		return
	}
	backend := platform.claim(plain[event.Target%len(plain)].number)
	if backend == nil {
		return
	}
	defer platform.release(backend)
	backend.SetCold(event.Duration)
	platform.setState(backend, "ready")
	cold := period{server: backend.ID(), from: time.Now(), until: time.Now().Add(event.Duration)}
	platform.mutex.Lock()
	platform.colds = append(platform.colds, cold)
	platform.mutex.Unlock()
	time.Sleep(event.Duration)
}

// change carries out an event that is not recorded as a disturbance: no promise may be broken during it.
func (platform *platform) change(event Event) {
	switch event.Kind {
	case KindKeyTaken:
		platform.newKey()
	case KindVersion:
		platform.announce(adapterName(event.Target % adapterCount))
	case KindEvacuate:
		platform.evacuate(event.Duration)
	case KindColdReturn:
		platform.coldReturn(event)
	default:
		for range configBurst {
			platform.newKey()
			time.Sleep(configGap)
		}
	}
}

// newKey declares a new extra key of the workspace and withdraws the previous one.
func (platform *platform) newKey() {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	var keys callerKeys
	if previous := platform.keys.Load(); previous != nil {
		keys.withdrawn = previous.extra
	}
	platform.keyCount++
	keys.extra = fmt.Sprint("key-", platform.keyCount)
	platform.config.Version++
	platform.config.Keys = []string{stub.Key, keys.extra}
	// Until the times are recorded, callers use neither key.
	platform.keys.Store(&callerKeys{extra: stub.Key})
	platform.config.Apply(platform.store)
	platform.declared[keys.extra] = time.Now()
	if keys.withdrawn != "" {
		platform.withdrawn[keys.withdrawn] = platform.declared[keys.extra]
	}
	platform.keys.Store(&keys)
}

// announce announces a newer version of an adapter.
func (platform *platform) announce(adapter string) {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	platform.adapterVersions[adapter] = max(1, platform.adapterVersions[adapter]) + 1
	for _, backend := range platform.backends {
		backend.Announce(adapter, platform.adapterVersions[adapter])
	}
	stub.Announce(platform.store, adapter, platform.adapterVersions[adapter])
}

// servers returns all servers, including the replaced ones.
func (platform *platform) servers() []*stub.Server {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	all := append([]*stub.Server(nil), platform.replaced...)
	for _, backend := range platform.backends {
		all = append(all, backend.Server)
	}
	return all
}

func (platform *platform) close() {
	close(platform.stop)
	<-platform.done
	_ = platform.server.Close()
	for _, backend := range platform.backends {
		backend.Close()
		backend.relay.Close()
	}
}

// disturb carries out an event and returns when it has ended.
func (runner *runner) disturb(event Event) {
	host := runner.hosts[event.Target%len(runner.hosts)]
	switch event.Kind {
	case KindStop, KindKill, KindPause, KindReload:
		runner.disturbProcess(event, host)
	case KindReset, KindDelay, KindCrash, KindDrain, KindErrors:
		runner.disturbServer(event)
	case KindStoreCut:
		runner.during(event, host.name, func() { host.storeRelay.SetFaults(true, true, 0) }, func() {
			host.storeRelay.SetFaults(false, false, 0)
			host.storeRelay.Reset()
		})
	case KindPeersCut, KindOneWay:
		runner.during(event, allHosts, func() { host.peerRelay.SetFaults(event.Kind == KindPeersCut, true, 0) }, func() {
			host.peerRelay.SetFaults(false, false, 0)
			host.peerRelay.Reset()
		})
	case KindStoreAway:
		runner.disturbStore(event, stub.StoreFaults{Status: http.StatusServiceUnavailable, Silent: event.Target%2 == 0})
	case KindStoreSlow:
		runner.disturbStore(event, stub.StoreFaults{Delay: storeDelay})
	case KindStoreLost:
		runner.disturbStore(event, stub.StoreFaults{LoseResponses: true})
	case KindHistory:
		runner.during(event, allHosts, runner.platform.store.DropHistory, func() {})
	case KindCrashPart:
		runner.sendCrashingRequests(event)
	case KindCopies:
		stutter := runner.platform.stutter
		runner.during(event, allHosts, func() { stutter.SetActive(true) }, func() { stutter.SetActive(false) })
	default:
		runner.platform.change(event)
	}
}

// during runs a disturbance of one host, or of allHosts, and records it from before its start until after its end.
func (runner *runner) during(event Event, host string, begin, end func()) {
	finish := runner.recordDisturbance(event.Kind, host)
	begin()
	time.Sleep(event.Duration)
	end()
	finish()
}

func (runner *runner) disturbStore(event Event, faults stub.StoreFaults) {
	runner.during(event, allHosts, func() { runner.platform.store.SetFaults(faults) }, func() { runner.platform.store.SetFaults(stub.StoreFaults{}) })
}

func (runner *runner) disturbProcess(event Event, host *host) {
	if !host.claim() {
		return
	}
	defer host.release()
	switch event.Kind {
	case KindStop:
		finish := runner.recordDisturbance(KindStop, host.name)
		host.signal(syscall.SIGTERM)
		select {
		case <-host.done():
		case <-time.After(stopWait):
			runner.addViolation("stop", fmt.Sprintf("%s has not ended %s after SIGTERM", host.name, stopWait))
			host.signal(syscall.SIGKILL)
			<-host.done()
		}
		time.Sleep(event.Duration)
		runner.restart(host)
		finish()
	case KindKill:
		runner.during(event, host.name, func() {
			host.signal(syscall.SIGKILL)
			<-host.done()
		}, func() { runner.restart(host) })
	case KindPause:
		runner.during(event, host.name, func() { host.signal(syscall.SIGSTOP) }, func() { host.signal(syscall.SIGCONT) })
	default:
		host.signal(syscall.SIGHUP)
	}
}

func (runner *runner) restart(host *host) {
	if err := host.start(); err != nil {
		runner.addViolation("start", fmt.Sprintf("cannot start %s: %v", host.name, err))
	}
}

func (runner *runner) disturbServer(event Event) {
	backend := runner.platform.claim(event.Target)
	if backend == nil {
		return
	}
	defer runner.platform.release(backend)
	var err error
	switch event.Kind {
	case KindReset:
		finish := runner.recordDisturbance(KindReset, allHosts)
		for until := time.Now().Add(event.Duration); time.Now().Before(until); time.Sleep(resetInterval) {
			backend.relay.Reset()
		}
		finish()
	case KindDelay:
		runner.during(event, allHosts, func() { backend.relay.SetFaults(false, false, serverDelay) }, func() { backend.relay.SetFaults(false, false, 0) })
	case KindErrors:
		runner.during(event, allHosts, func() { backend.SetFaults(stub.ServerFaults{Errors: true}) },
			func() { backend.SetFaults(stub.ServerFaults{CrashOnPart: crashPart, CrashAt: stub.CrashInBody}) })
	case KindCrash:
		runner.during(event, allHosts, func() { err = runner.platform.crash(backend, event.Duration) }, func() {})
	default:
		// A planned drain is not recorded as a disturbance: no promise may be broken during it.
		err = runner.platform.drain(backend, event.Duration)
	}
	if err != nil {
		runner.addViolation("setup", "cannot start a server: "+err.Error())
	}
}
