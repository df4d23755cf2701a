// Package coord keeps one host's knowledge of the deployment and gives the orders that the host may give.
//
// The flow of events:
//
//	store ── changes ──> follower ──┐                            ┌──> view ──────> requests
//	store <─ renewals ─> leases ────┤                            ├──> loads, health (traffic)
//	peers ── digests ──> server ────┼──> control goroutine ──────┤
//	peers <─ digests ─── sender ────┤    (mirrors, leases,       ├──> digests ───> peers
//	requests ─ loads ───────────────┤     controllers)           └──> orders ────> backend servers
//	backend servers ─ outcomes ─────┘
//
// One goroutine owns the control state. Everything that waits for sockets runs beside it and posts what it learns.
// Requests read the view, which is replaced whole, and share the traffic state under a mutex.
package coord

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"lentilproxy"
	"lentilproxy/core/gossip"
	"lentilproxy/core/lease"
	"lentilproxy/core/limit"
	"lentilproxy/core/setup"
	"lentilproxy/core/spec"
	"lentilproxy/io/clock"
	"lentilproxy/io/loop"
	"lentilproxy/io/peer"

	"github.com/go-logr/logr"
	"github.com/google/uuid"
	"github.com/uber-go/tally/v4"
)

// taskQueue is the number of posted events that may wait for the control goroutine.
const taskQueue = 512

// Coordinator is one host's part in the coordination.
type Coordinator struct {
	settings *setup.Settings
	rows     lentilproxy.RowStore
	source   lentilproxy.RowDecoder
	orders   lentilproxy.Orders
	log      logr.Logger
	metrics  tally.Scope
	run      string
	meter    *peer.Meter
	peers    *peer.Pool
	server   *peer.Server
	traffic  *Traffic
	view     atomic.Pointer[spec.View]
	// leaseUntil is the end of the host's lease in nanoseconds of the boot clock, for the last look before an order.
	leaseUntil atomic.Int64
	// operatorsProven and serversProven are the instants as of which the tables are known, on the same clock.
	operatorsProven atomic.Int64
	serversProven   atomic.Int64
	loop            *loop.Loop
	ctx             context.Context
	cancel          context.CancelFunc
	parts           sync.WaitGroup
	done            chan struct{}
	stopOnce        sync.Once
}

// Option configures a coordinator.
type Option func(*Coordinator)

// WithLog sets the log.
func WithLog(log logr.Logger) Option { return func(coordinator *Coordinator) { coordinator.log = log } }

// WithMetrics sets the scope of the metrics.
func WithMetrics(scope tally.Scope) Option {
	return func(coordinator *Coordinator) { coordinator.metrics = scope }
}

// Platform is what a coordinator needs of the outside.
type Platform struct {
	Rows   lentilproxy.RowStore
	Source lentilproxy.RowDecoder
	Orders lentilproxy.Orders
}

// control is the state that the control goroutine owns.
type control struct {
	coordinator *Coordinator
	operators   *copied
	servers     *copied
	fleet       *copied
	// operatorsVersion is the newest version of the operators' rows that were decoded, announced that of each row.
	operatorsVersion int64
	announced        map[string]int64
	// versionsChanges counts the changes of the newest versions of adapters.
	versionsChanges int64
	registry        *lease.Registry
	controllers     map[string]*controller
	peers           map[string]*peerState
	// untold counts requests for adapters by server, until the server's holder is told.
	untold map[string]map[string]float64
	// running counts this host's requests by server and adapter, as of the last look.
	running map[string]map[string]int
	// gossip says which peers to call.
	gossip *gossip.Schedule
	// renewalLost is since when the lease could not be renewed.
	renewalLost time.Time
	// decoded are the servers of the mirror by their keys.
	decoded map[string]decodedServer
	// lapsed are servers whose entries went while the store was away, with the time until which they stay in use.
	lapsed   map[string]time.Time
	returned time.Time
	// membership decides this host's part of limits; members and isolated are what it said last.
	membership *limit.Membership
	members    int
	isolated   bool
	modelLoad  modelLoads
}

// New starts a coordinator that answers its peers on a listener.
func New(settings *setup.Settings, platform Platform, listener net.Listener, options ...Option) *Coordinator {
	coordinator := &Coordinator{
		settings: settings, rows: platform.Rows, source: platform.Source, orders: platform.Orders, log: logr.Discard(),
		metrics: tally.NoopScope, run: uuid.NewString(),
		done: make(chan struct{}),
	}
	for _, option := range options {
		option(coordinator)
	}
	coordinator.meter = peer.NewMeter(coordinator.metrics)
	coordinator.ctx, coordinator.cancel = context.WithCancel(context.Background())
	coordinator.loop = loop.New(coordinator.ctx, taskQueue)
	coordinator.view.Store(spec.EmptyView())
	coordinator.peers = peer.NewPool(coordinator.meter, peer.WithLocalIP(listener))
	coordinator.traffic = newTraffic(coordinator)
	operators, servers := platform.Source.Tables()
	control := &control{
		coordinator: coordinator, operators: newCopied(operators, operatorsAge, rowsInterval), servers: newCopied(servers, serversAge, rowsInterval),
		fleet: newCopied(lease.Table, fleetAge, fleetInterval),
		registry: lease.New(lease.Host{
			Name: settings.Host.Name, DataCentre: settings.Host.DataCentre, PeerAddress: settings.Listen.AdvertisePeers, RunID: coordinator.run,
		}, settings.Bounds.LeaseGap),
		controllers: map[string]*controller{}, peers: map[string]*peerState{}, untold: map[string]map[string]float64{}, decoded: map[string]decodedServer{}, announced: map[string]int64{},
		lapsed: map[string]time.Time{}, membership: limit.NewMembership(settings.Host.Name),
		gossip: gossip.New(settings.Host.Name, digestInterval, maxExchanges),
	}
	coordinator.traffic.control = control
	coordinator.server = peer.NewServer(listener, coordinator.meter, control.handle)
	control.servers.filter = control.serverChanged
	coordinator.start(control.runTasks)
	for _, table := range control.tables() {
		coordinator.start(func() { control.follow(table) })
	}
	coordinator.start(control.keepLeases)
	coordinator.start(control.sendDigests)
	go func() {
		defer close(coordinator.done)
		coordinator.parts.Wait()
	}()
	return coordinator
}

// start runs a part of the coordinator until it ends.
func (coordinator *Coordinator) start(part func()) {
	coordinator.parts.Add(1)
	go func() {
		defer coordinator.parts.Done()
		part()
	}()
}

func (control *control) runTasks() {
	for {
		select {
		case task := <-control.coordinator.loop.Tasks():
			task(clock.Now())
		case <-control.coordinator.ctx.Done():
			return
		}
	}
}

// View returns what the host believes about the deployment.
func (coordinator *Coordinator) View() *spec.View { return coordinator.view.Load() }

// Ages returns the ages of what the host knows of the operators' rows and of the servers.
func (coordinator *Coordinator) Ages(now time.Time) (operators, servers time.Duration) {
	return now.Sub(time.Unix(0, coordinator.operatorsProven.Load())), now.Sub(time.Unix(0, coordinator.serversProven.Load()))
}

// Traffic returns the state that requests share.
func (coordinator *Coordinator) Traffic() *Traffic { return coordinator.traffic }

// Reload takes changed bounds in.
func (coordinator *Coordinator) Reload(bounds setup.Bounds) {
	coordinator.traffic.reload(clock.Now(), bounds)
}

// connectionMargin is the number of a server's connections that are left for orders and for hosts that are not known.
const connectionMargin = 10

// ConnectionLimit returns the number of connections that this host may open to one server of a service.
func (coordinator *Coordinator) ConnectionLimit(service string) int {
	declared, found := coordinator.View().Config.Service(service)
	if !found || declared.ConnectionLimit <= 0 {
		return 0
	}
	return max(1, (declared.ConnectionLimit-connectionMargin)/coordinator.traffic.hostCount())
}

// Ready says whether the host can serve requests.
func (coordinator *Coordinator) Ready() bool { return coordinator.View().Ready() }

// Done is closed once the coordinator has ended.
func (coordinator *Coordinator) Done() <-chan struct{} { return coordinator.done }

// Stop hands over what the host holds, and ends the coordinator.
func (coordinator *Coordinator) Stop(ctx context.Context) {
	coordinator.traffic.control.handOver(ctx)
	coordinator.Kill()
}

// Kill ends the coordinator without handing anything over.
func (coordinator *Coordinator) Kill() {
	coordinator.stopOnce.Do(func() {
		coordinator.cancel()
		coordinator.server.Close()
		coordinator.peers.Close()
	})
	<-coordinator.done
}

// post runs a function in the control goroutine, unless the coordinator has ended.
func (coordinator *Coordinator) post(task func(now time.Time)) { coordinator.loop.Post(task) }

// do runs a function in the control goroutine and waits for it. It says no if the coordinator has ended.
func (coordinator *Coordinator) do(task func(now time.Time)) bool {
	return coordinator.loop.Do(coordinator.ctx, task)
}

// pause waits, and says no if the coordinator has ended.
func (coordinator *Coordinator) pause(wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-coordinator.ctx.Done():
		return false
	}
}

// Client returns an HTTP client for the store and for orders, which must notice silent connections.
func Client(dialer *net.Dialer, connections int) *http.Client {
	return &http.Client{Transport: &http.Transport{
		Proxy: nil, DialContext: dialer.DialContext, DisableCompression: true,
		MaxIdleConnsPerHost: connections, IdleConnTimeout: idleConnections,
	}}
}

// idleConnections is how long an unused connection to the store or for orders is kept.
const idleConnections = 10 * time.Second
