// Package node takes part in the coordination of daemons: it keeps the configuration, proves that it is fresh,
// shares limits, owns pools of engines, and hands out what traffic needs.
package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"lentilproxy"
	"lentilproxy/core/conf"
	"lentilproxy/core/fresh"
	"lentilproxy/core/setup"
	"lentilproxy/io/loop"
	"lentilproxy/io/peer"

	"github.com/go-logr/logr"
	"github.com/samber/oops"
	"github.com/uber-go/tally/v4"
)

// View is an immutable snapshot of the configuration and of its proof.
type View struct {
	state    *conf.State
	provenAt time.Time
	proven   bool
	changed  chan struct{}
}

// State returns the configuration.
func (view *View) State() *conf.State { return view.state }

// Changed is closed once a newer configuration is in use.
func (view *View) Changed() <-chan struct{} { return view.changed }

// Fresh says whether the host may act on the view at an instant.
func (view *View) Fresh(now time.Time) bool {
	return view.proven && fresh.Within(now, view.provenAt)
}

// Node is one daemon's part in the coordination.
type Node struct {
	settings   *setup.Settings
	table      lentilproxy.Table
	hostList   lentilproxy.HostList
	listener   net.Listener
	log        logr.Logger
	metrics    tally.Scope
	backends   *http.Client
	meter      *peer.Meter
	pool       *peer.Pool
	server     *peer.Server
	traffic    *traffic
	view       atomic.Pointer[View]
	loop       *loop.Loop
	stopping   chan struct{}
	stopOnce   sync.Once
	done       chan struct{}
	failure    atomic.Pointer[error]
	background context.Context
	cancel     context.CancelFunc
}

// taskQueue is the number of functions that may wait for the control goroutine.
const taskQueue = 256

// Option configures a node.
type Option func(*Node)

// WithLog sets the log.
func WithLog(log logr.Logger) Option { return func(node *Node) { node.log = log } }

// WithMetrics sets the scope of the metrics.
func WithMetrics(scope tally.Scope) Option { return func(node *Node) { node.metrics = scope } }

// WithBackends sets the HTTP client for orders to engines.
func WithBackends(client *http.Client) Option { return func(node *Node) { node.backends = client } }

// New starts a node that answers peers on a listener.
func New(settings *setup.Settings, table lentilproxy.Table, hostList lentilproxy.HostList, listener net.Listener, options ...Option) *Node {
	node := &Node{
		settings: settings, table: table, hostList: hostList, listener: listener,
		log: logr.Discard(), metrics: tally.NoopScope, backends: &http.Client{},
		stopping: make(chan struct{}), done: make(chan struct{}),
	}
	for _, option := range options {
		option(node)
	}
	node.meter = peer.NewMeter(node.metrics)
	node.background, node.cancel = context.WithCancel(context.Background())
	node.loop = loop.New(node.background, taskQueue)
	node.view.Store(&View{state: conf.NewState(), changed: make(chan struct{})})
	node.pool = peer.NewPool(node.meter, peer.WithLocalIP(listener))
	node.traffic = newTraffic(node)
	control := newControl(node)
	node.traffic.control = control
	node.server = peer.NewServer(listener, node.meter, control.handle)
	go func() {
		defer close(node.done)
		control.run()
	}()
	return node
}

// Name returns the name of the host.
func (node *Node) Name() string { return node.settings.Host.Name }

// View returns the current view.
func (node *Node) View() *View { return node.view.Load() }

// Fresh says whether the host may act on its view at an instant.
func (node *Node) Fresh(now time.Time) bool { return node.View().Fresh(now) }

// Ready says whether the host can take requests.
func (node *Node) Ready(now time.Time) bool {
	select {
	case <-node.stopping:
		return false
	default:
		return node.Fresh(now) && node.View().state.Revision() > 0 && node.traffic.opened(now)
	}
}

// Meter counts the bytes exchanged with peers.
func (node *Node) Meter() *peer.Meter { return node.meter }

// Done is closed once the node has ended.
func (node *Node) Done() <-chan struct{} { return node.done }

// Err returns why the node ended by itself, or nil.
func (node *Node) Err() error {
	if failure := node.failure.Load(); failure != nil {
		return *failure
	}
	return nil
}

// Stop hands over what the node owns and ends it.
func (node *Node) Stop(ctx context.Context) {
	node.stopOnce.Do(func() {
		close(node.stopping)
		node.handOver(ctx)
		node.cancel()
		node.server.Close()
		node.pool.Close()
	})
	<-node.done
}

// errSuperseded ends a node whose name was taken over by a later start.
var errSuperseded = errors.New("a later start of this host has taken over its name")

func (node *Node) fail(err error) {
	wrapped := oops.Code("node_failed").Wrap(err)
	node.failure.CompareAndSwap(nil, &wrapped)
	node.cancel()
}
