// Package node coordinates a daemon with its peers. It holds the configuration and proves that it is fresh, exchanges
// shares of limits, owns pools of engines, and reserves backend servers for requests.
//
// The decisions are made in core packages. Package fresh decides whether the host may act on its configuration; if not,
// the host is stale. Package member decides which hosts belong to the roster. Package place decides which adapters the
// owner of a pool loads and which permits it grants to the hosts. Package limit divides the limits of workspaces over
// the hosts, and package crash detects requests that crash backend servers.
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
	"lentilproxy/io/block"
	"lentilproxy/io/engine"
	"lentilproxy/io/loop"
	"lentilproxy/io/peer"

	"github.com/go-logr/logr"
	"github.com/samber/oops"
	"github.com/uber-go/tally/v4"
)

// View is an immutable snapshot of the configuration and of the proof that it is fresh.
type View struct {
	state    *conf.State
	provenAt time.Time
	proven   bool
	changed  chan struct{}
}

// State returns the configuration.
func (view *View) State() *conf.State { return view.state }

// Changed returns a channel that is closed once a newer configuration is in force on the host.
func (view *View) Changed() <-chan struct{} { return view.changed }

// Fresh reports whether the host may act on the view at a point in time.
func (view *View) Fresh(now time.Time) bool {
	return view.proven && fresh.Within(now, view.provenAt)
}

// Node coordinates one daemon with its peers.
type Node struct {
	settings   *setup.Settings
	table      lentilproxy.Table
	hostList   lentilproxy.HostList
	listener   net.Listener
	log        logr.Logger
	metrics    tally.Scope
	backends   *http.Client
	meter      *peer.Meter
	peers      *peer.Pool
	peerServer *peer.Server
	traffic    *traffic
	blocks     *block.Exchanger
	view       atomic.Pointer[View]
	loop       *loop.Loop
	stopping   chan struct{}
	stopOnce   sync.Once
	done       chan struct{}
	failure    atomic.Pointer[error]
	background context.Context
	cancel     context.CancelFunc
}

// taskQueueSize is the number of functions that may be queued for the control goroutine.
const taskQueueSize = 256

// Option configures a node.
type Option func(*Node)

// WithLog sets the log.
func WithLog(log logr.Logger) Option { return func(node *Node) { node.log = log } }

// WithMetrics sets the scope of the metrics.
func WithMetrics(scope tally.Scope) Option { return func(node *Node) { node.metrics = scope } }

// WithBackends sets the HTTP client for status requests and orders to engines.
func WithBackends(client *http.Client) Option { return func(node *Node) { node.backends = client } }

// New starts a node that serves its peers on a listener.
func New(settings *setup.Settings, table lentilproxy.Table, hostList lentilproxy.HostList, listener net.Listener, options ...Option) *Node {
	node := &Node{
		settings: settings, table: table, hostList: hostList, listener: listener,
		log: logr.Discard(), metrics: tally.NoopScope, backends: engine.NewHTTPClient((&net.Dialer{Timeout: peer.DialTimeout}).DialContext),
		stopping: make(chan struct{}), done: make(chan struct{}),
	}
	for _, option := range options {
		option(node)
	}
	node.meter = peer.NewMeter(node.metrics)
	node.background, node.cancel = context.WithCancel(context.Background())
	node.loop = loop.New(node.background, taskQueueSize)
	node.view.Store(&View{state: conf.NewState(), changed: make(chan struct{})})
	node.peers = peer.NewPool(node.meter, peer.WithLocalIP(listener))
	node.traffic = newTraffic(node)
	control := newControl(node)
	node.traffic.control = control
	node.blocks, control.blockRows = newBlocks(node)
	node.peerServer = peer.NewServer(listener, node.meter, control.handle)
	go func() {
		defer close(node.done)
		control.run()
		node.cancel()
		<-node.blocks.Done()
	}()
	return node
}

// Name returns the name of the host.
func (node *Node) Name() string { return node.settings.Host.Name }

// View returns the current view.
func (node *Node) View() *View { return node.view.Load() }

// Fresh reports whether the host may act on its current view at a point in time.
func (node *Node) Fresh(now time.Time) bool { return node.View().Fresh(now) }

// ProofAge returns the age of the proof that the view is current; proven is false if there is none.
func (view *View) ProofAge(now time.Time) (age time.Duration, proven bool) {
	return now.Sub(view.provenAt), view.proven
}

// Ready reports whether the host can serve requests.
func (node *Node) Ready(now time.Time) bool {
	select {
	case <-node.stopping:
		return false
	default:
		return node.Fresh(now) && node.View().state.Revision() > 0 && node.traffic.opened(now)
	}
}

// Meter returns the counter of the bytes exchanged with peers.
func (node *Node) Meter() *peer.Meter { return node.meter }

// Done returns a channel that is closed once the node has stopped.
func (node *Node) Done() <-chan struct{} { return node.done }

// Err returns why the node stopped by itself, or nil.
func (node *Node) Err() error {
	if failure := node.failure.Load(); failure != nil {
		return *failure
	}
	return nil
}

// Stop resigns from the pools that the node owns, and stops the node.
func (node *Node) Stop(ctx context.Context) {
	node.stopOnce.Do(func() {
		close(node.stopping)
		node.resignPools(ctx)
		node.cancel()
		node.peerServer.Close()
		node.peers.Close()
	})
	<-node.done
}

// errSuperseded is why a node stops when a later incarnation of its host has registered.
var errSuperseded = errors.New("a later incarnation of this host has registered")

func (node *Node) fail(err error) {
	wrapped := oops.Code("node_failed").Wrap(err)
	node.failure.CompareAndSwap(nil, &wrapped)
	node.cancel()
}
