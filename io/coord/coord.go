// Package coord coordinates one host with the store and its peers: it maintains the host's view of the deployment and
// sends orders to the backend servers that the host holds.
//
// The decisions are made in core packages. Package lease decides which host holds a server, that is, which one may
// send it orders. Package slots chooses the orders, which load base models, and load and unload adapters. Package
// sched chooses the server for a request, package pace decides when its prompt is sent, package admit assigns the servers of
// plain services, package limit divides the limits of workspaces over the hosts, and package gossip decides when to call
// which peer.
//
// The flow of events:
//
//	store ── changes ──> follower ──┐                            ┌──> view ──────> requests
//	store <─ renewals ─> leases ────┤                            ├──> loads, health (traffic)
//	peers ── gossip ─> peer server ─┼──> control goroutine ──────┤
//	peers <─ gossip ──── sender ────┤    (mirrors, leases,       ├──> gossip ────> peers
//	requests ─ loads ───────────────┤     controllers)           └──> orders ────> backend servers
//	backend servers ─ outcomes ─────┘
//
// One goroutine owns the control state. Other goroutines do all network calls and post the results to it. Requests read
// the view, which is replaced as a whole, and share the traffic state, which a mutex protects.
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
	"lentilproxy/core/mirror"
	"lentilproxy/core/reply"
	"lentilproxy/core/sched"
	"lentilproxy/core/setup"
	"lentilproxy/core/spec"
	"lentilproxy/core/value"
	"lentilproxy/io/block"
	"lentilproxy/io/clock"
	"lentilproxy/io/loop"
	"lentilproxy/io/peer"

	"github.com/go-logr/logr"
	"github.com/google/uuid"
	"github.com/uber-go/tally/v4"
)

// taskQueueSize is the number of posted tasks that may wait for the control goroutine.
const taskQueueSize = 512

// Coordinator coordinates one host with the store and its peers.
type Coordinator struct {
	settings   *setup.Settings
	store      lentilproxy.RowStore
	decoder    lentilproxy.RowDecoder
	orders     lentilproxy.Orders
	log        logr.Logger
	metrics    tally.Scope
	runID      string
	meter      *peer.Meter
	peers      *peer.Pool
	peerServer *peer.Server
	traffic    *Traffic
	blocks     *block.Exchanger
	view       atomic.Pointer[spec.View]
	// leaseUntil is the end of the host's lease in nanoseconds of the boot clock. It is checked right before an order
	// is sent.
	leaseUntil atomic.Int64
	// operatorsProvenAt and serversProvenAt are the times as of which the mirrors of the operators' table and of the
	// servers' table are known to be complete, on the same clock.
	operatorsProvenAt atomic.Int64
	serversProvenAt   atomic.Int64
	loop              *loop.Loop
	ctx               context.Context
	cancel            context.CancelFunc
	goroutines        sync.WaitGroup
	done              chan struct{}
	stopOnce          sync.Once
}

// Option configures a coordinator.
type Option func(*Coordinator)

// WithLog sets the log.
func WithLog(log logr.Logger) Option { return func(coordinator *Coordinator) { coordinator.log = log } }

// WithMetrics sets the scope of the metrics.
func WithMetrics(scope tally.Scope) Option {
	return func(coordinator *Coordinator) { coordinator.metrics = scope }
}

// Platform holds the interfaces to the platform that a coordinator uses.
type Platform struct {
	Store   lentilproxy.RowStore
	Decoder lentilproxy.RowDecoder
	Orders  lentilproxy.Orders
}

// control is the state that the control goroutine owns.
type control struct {
	coordinator *Coordinator
	operators   *tableMirror
	servers     *tableMirror
	fleet       *tableMirror
	// operatorsRevision is the revision of the operators' table that has been decoded, and decodedVersions the version of each
	// of its rows.
	operatorsRevision int64
	decodedVersions   map[string]int64
	// versionChanges counts the changes of the newest adapter versions.
	versionChanges int64
	registry       *lease.Registry
	controllers    map[string]*controller
	// lastLoad is the ID of the last load request that was put in order.
	lastLoad int64
	peers    map[string]*peerState
	// pendingDemand counts requests for adapters by server until they are sent to the server's lease holder.
	pendingDemand map[string]map[string]float64
	// running counts this host's requests by server and adapter, as of the last gossip interval.
	running map[string]map[string]int
	// gossip decides which peers to call.
	gossip *gossip.Schedule
	// relays is the state that concerns the exchange of states between data centres.
	relays *relays
	// renewalFailingSince is the send time of the first renewal that failed while no lease was in force. It is zero
	// after a successful renewal.
	renewalFailingSince time.Time
	// decoded holds the decoded registrations of servers by row key.
	decoded map[string]decodedServer
	// lapsedUntil maps servers whose registrations expired during an outage of the store to the time until which they
	// stay in use.
	lapsedUntil map[string]time.Time
	// evacuations maps keys of the operators' table to the data centres that their rows evacuate. unknownLogged holds those that have
	// been logged since they have neither servers nor hosts.
	evacuations   map[string]string
	unknownLogged value.Set[string]
	// outage tracks the outages of the store.
	outage mirror.Outage
	// membership decides this host's fraction of limits; members and isolated are its last results.
	membership *limit.Membership
	members    int
	isolated   bool
	modelLoads modelLoadLimiter
	// orderTimes estimates how long servers take to respond to orders.
	orderTimes *reply.Timer
	renewals   *renewals
	// usage is the load of the host's requests as of usageAt.
	usage   map[string]sched.Usage
	usageAt time.Time
	// avoidedWriters maps hosts that have not written a renewal to the time until which they are not asked to.
	avoidedWriters map[string]time.Time
	blockRows      *block.Rows
}

// New starts a coordinator that serves its peers on a listener.
func New(settings *setup.Settings, platform Platform, listener net.Listener, options ...Option) *Coordinator {
	coordinator := &Coordinator{
		settings: settings, store: platform.Store, decoder: platform.Decoder, orders: platform.Orders, log: logr.Discard(),
		metrics: tally.NoopScope, runID: uuid.NewString(),
		done: make(chan struct{}),
	}
	for _, option := range options {
		option(coordinator)
	}
	coordinator.meter = peer.NewMeter(coordinator.metrics)
	coordinator.ctx, coordinator.cancel = context.WithCancel(context.Background())
	coordinator.loop = loop.New(coordinator.ctx, taskQueueSize)
	coordinator.view.Store(spec.EmptyView())
	coordinator.peers = peer.NewPool(coordinator.meter, peer.WithLocalIP(listener))
	coordinator.traffic = newTraffic(coordinator)
	exchanger, blockRows := newBlocks(coordinator)
	coordinator.blocks = exchanger
	operators, servers := platform.Decoder.Tables()
	control := &control{
		coordinator: coordinator, operators: newTableMirror(operators, operatorsReadAge, rowsPullInterval),
		fleet: newTableMirror(lease.Table, fleetReadAge, fleetPullInterval, mirror.WithContent(lease.Content)),
		registry: lease.New(lease.Host{
			Name: settings.Host.Name, DataCentre: settings.Host.DataCentre, PeerAddress: settings.Listen.AdvertisePeers, RunID: coordinator.runID,
			Processor: settings.Host.Processor(),
		}, settings.Bounds.LeaseGap),
		controllers: map[string]*controller{}, peers: map[string]*peerState{}, pendingDemand: map[string]map[string]float64{}, decoded: map[string]decodedServer{}, decodedVersions: map[string]int64{},
		lapsedUntil: map[string]time.Time{}, evacuations: map[string]string{}, unknownLogged: value.NewSet[string](), membership: limit.NewMembership(settings.Host.Name),
		gossip: gossip.New(settings.Host.Name, gossipInterval, maxExchanges), blockRows: blockRows,
		relays: newRelays(settings.Host.Name), orderTimes: reply.New(shortestOrderTimeout, longestOrderTimeout), renewals: newRenewals(coordinator), avoidedWriters: map[string]time.Time{},
	}
	control.servers = newTableMirror(servers, serversReadAge, rowsPullInterval, mirror.WithContent(control.registrationHash))
	coordinator.traffic.control = control
	coordinator.orders.OnNotice(coordinator.RecordNotices)
	coordinator.peerServer = peer.NewServer(listener, coordinator.meter, control.handle)
	coordinator.spawn(control.runTasks)
	coordinator.spawn(coordinator.traffic.dispatchers.run)
	for _, table := range control.tables() {
		coordinator.spawn(func() { control.follow(table) })
	}
	coordinator.spawn(control.maintainLease)
	coordinator.spawn(control.sendGossip)
	go func() {
		defer close(coordinator.done)
		coordinator.goroutines.Wait()
		<-coordinator.blocks.Done()
	}()
	return coordinator
}

// spawn runs a function in a goroutine. Done is closed only after all these goroutines have ended.
func (coordinator *Coordinator) spawn(function func()) {
	coordinator.goroutines.Add(1)
	go func() {
		defer coordinator.goroutines.Done()
		function()
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

// ProvenView returns the host's current view of the deployment, and the time as of which its configuration is known to be the newest one.
func (coordinator *Coordinator) ProvenView() (*spec.View, time.Time) {
	// A later view contains at least what the earlier one does.
	provenAt := time.Unix(0, coordinator.operatorsProvenAt.Load())
	return coordinator.view.Load(), provenAt
}

// ConfigApply returns the time within which a change of the configuration has to be in force.
func (coordinator *Coordinator) ConfigApply() time.Duration { return coordinator.traffic.configApply() }

// View returns the host's current view of the deployment.
func (coordinator *Coordinator) View() *spec.View { return coordinator.view.Load() }

// Ages returns how long ago the mirrors of the operators' table and of the servers' table were last known to be
// complete.
func (coordinator *Coordinator) Ages(now time.Time) (operators, servers time.Duration) {
	return now.Sub(time.Unix(0, coordinator.operatorsProvenAt.Load())), now.Sub(time.Unix(0, coordinator.serversProvenAt.Load()))
}

// Traffic returns the state that all requests share.
func (coordinator *Coordinator) Traffic() *Traffic { return coordinator.traffic }

// Reload applies changed bounds.
func (coordinator *Coordinator) Reload(bounds setup.Bounds) {
	coordinator.traffic.reload(clock.Now(), bounds)
}

// connectionMargin is the number of a server's connections that are reserved for orders and for hosts that this host
// has not discovered.
const connectionMargin = 10

// ConnectionLimit returns the number of connections that this host may open to one server of a service. 0 means no
// limit.
func (coordinator *Coordinator) ConnectionLimit(service string) int {
	declared, found := coordinator.View().Config.Service(service)
	if !found || declared.ConnectionLimit <= 0 {
		return 0
	}
	return max(1, (declared.ConnectionLimit-connectionMargin)/coordinator.traffic.hostCount())
}

// Ready reports whether the host can serve requests.
func (coordinator *Coordinator) Ready() bool { return coordinator.View().Ready() }

// Done returns a channel that is closed once the coordinator has ended.
func (coordinator *Coordinator) Done() <-chan struct{} { return coordinator.done }

// Stop releases the servers that the host holds and ends the coordinator.
func (coordinator *Coordinator) Stop(ctx context.Context) {
	coordinator.traffic.control.renewals.stop()
	coordinator.traffic.control.releaseServers(ctx)
	coordinator.Kill()
}

// Kill ends the coordinator without releasing the servers that the host holds.
func (coordinator *Coordinator) Kill() {
	coordinator.stopOnce.Do(func() {
		coordinator.cancel()
		coordinator.peerServer.Close()
		coordinator.peers.Close()
	})
	<-coordinator.done
}

// post runs a function in the control goroutine, unless the coordinator has ended.
func (coordinator *Coordinator) post(task func(now time.Time)) { coordinator.loop.Post(task) }

// do runs a function in the control goroutine and waits for it. It returns false if the coordinator has ended.
func (coordinator *Coordinator) do(task func(now time.Time)) bool {
	return coordinator.loop.Do(coordinator.ctx, task)
}

// pause waits. It returns false if the coordinator has ended.
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

// NewHTTPClient returns an HTTP client for the store or for orders that keeps up to the given number of idle connections to
// each address, or that takes one from dial for each call if it is 0. The connections have to detect that their other end no longer
// responds. Redirects are returned, not followed.
func NewHTTPClient(dial func(ctx context.Context, network, address string) (net.Conn, error), connections int) *http.Client {
	return &http.Client{
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		Transport: &http.Transport{
			Proxy: nil, DialContext: dial, DisableCompression: true,
			MaxIdleConnsPerHost: connections, DisableKeepAlives: connections == 0, IdleConnTimeout: idleConnTimeout, MaxResponseHeaderBytes: maxHeadBytes,
		},
	}
}

const (
	// idleConnTimeout is how long an unused connection to the store or for orders is kept.
	idleConnTimeout = 10 * time.Second
	// maxHeadBytes bounds the status line and the headers of a response.
	maxHeadBytes = 64 << 10
)
