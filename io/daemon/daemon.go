// Package daemon assembles one daemon: its listeners, its node or coordinator, the handler of callers' requests, and
// the operators' interface.
package daemon

import (
	"context"
	"net/http"
	"sync"
	"time"

	"lentilproxy/core/setup"
	"lentilproxy/io/admin"
	"lentilproxy/io/gate"
	"lentilproxy/io/hold"
	"lentilproxy/io/ledger"
	"lentilproxy/io/node"
	"lentilproxy/io/report"
	"lentilproxy/io/table"

	"github.com/go-logr/logr"
	"github.com/samber/oops"
	"github.com/uber-go/tally/v4"
)

const (
	metricsInterval = time.Second
	// notReadyDelay is how long a stopping daemon still accepts requests, so that the load balancer can detect that it
	// is not ready.
	notReadyDelay = time.Second
	closeTimeout  = 5 * time.Second
)

// Daemon is a running daemon that uses the table service and package node. Hosted is its counterpart on the operators'
// platform, which uses the store and package coord.
type Daemon struct {
	settings     *setup.Settings
	log          logr.Logger
	node         *node.Node
	gate         *gate.Gate
	ledger       *ledger.Ledger
	reports      *report.Recorder
	listeners    *listeners
	pool         *hold.Pool
	closeMetrics func() error
	stopOnce     sync.Once
	done         chan struct{}
}

// Option configures a daemon.
type Option func(*Daemon)

// WithLog sets the log.
func WithLog(log logr.Logger) Option { return func(daemon *Daemon) { daemon.log = log } }

// New opens the listeners and starts a daemon.
func New(settings *setup.Settings, options ...Option) (*Daemon, error) {
	daemon := &Daemon{settings: settings, log: logr.Discard(), done: make(chan struct{})}
	for _, option := range options {
		option(daemon)
	}
	opened, err := listen(daemon.log, &settings.Listen, settings.Listen.Callers, settings.Listen.Operators, settings.Listen.Peers)
	if err != nil {
		return nil, err
	}
	daemon.listeners = opened
	scope, metrics, closeMetrics := newMetrics()
	daemon.closeMetrics = closeMetrics
	platform := table.New(settings.Platform.Table)
	daemon.node = node.New(settings, platform, platform, opened.open[peersListenerIndex], node.WithLog(daemon.log), node.WithMetrics(scope))
	daemon.ledger = ledger.New(platform, settings.Host.Name)
	daemon.reports = report.New(platform, settings.Host.Name, settings.Objectives, report.WithLog(daemon.log))
	daemon.pool = newPool(settings, daemon.log, scope)
	opened.open[0] = daemon.pool.Listen(opened.open[0])
	daemon.gate = gate.New(settings, daemon.node, daemon.ledger, gate.WithLog(daemon.log), gate.WithMetrics(scope), gate.WithRecorder(daemon.reports),
		gate.WithPool(daemon.pool))
	operators, err := admin.New(daemon.node, admin.WithMetrics(metrics), admin.WithReports(daemon.reports), admin.WithExplain(daemon.gate.Explain))
	if err != nil {
		return nil, oops.Code("internal").Wrap(err)
	}
	opened.serve(daemon.gate.Server(), 0)
	opened.serve(&http.Server{Handler: operators, ReadHeaderTimeout: closeTimeout}, 1)
	daemon.log.Info("started", "host", settings.Host.Name, "callers", daemon.CallersAddress(), "operators", daemon.OperatorsAddress(), "peers", settings.Listen.AdvertisePeers)
	return daemon, nil
}

// newPool returns the bounds of what callers may hold.
func newPool(settings *setup.Settings, log logr.Logger, scope tally.Scope) *hold.Pool {
	return hold.New(hold.Memory(settings.Host.MemoryLimitMB), hold.Descriptors(settings.Host.DescriptorLimit), hold.WithLog(log), hold.WithMetrics(scope))
}

// CallersAddress returns the address for callers, as IP:port.
func (daemon *Daemon) CallersAddress() string { return daemon.listeners.address(0) }

// OperatorsAddress returns the address for operators, as IP:port.
func (daemon *Daemon) OperatorsAddress() string { return daemon.listeners.address(1) }

// Node returns the daemon's node.
func (daemon *Daemon) Node() *node.Node { return daemon.node }

// Failed returns a channel that is closed if the daemon cannot continue; Err returns the reason.
func (daemon *Daemon) Failed() <-chan struct{} { return daemon.node.Done() }

// Err returns the error that ended the daemon, or nil.
func (daemon *Daemon) Err() error { return daemon.node.Err() }

// Done returns a channel that is closed once the daemon has stopped.
func (daemon *Daemon) Done() <-chan struct{} { return daemon.done }

// Stop ends the daemon gracefully: it reports that it is not ready, finishes open requests until the stop timeout,
// releases what it owns, and ends.
func (daemon *Daemon) Stop() {
	daemon.stopOnce.Do(func() {
		defer close(daemon.done)
		daemon.log.Info("stopping", "open", daemon.gate.InFlight())
		daemon.gate.BeginStop()
		ctx, cancel := context.WithTimeout(context.Background(), daemon.settings.Traffic.StopTimeout)
		defer cancel()
		time.Sleep(notReadyDelay)
		if err := daemon.listeners.servers[0].Shutdown(ctx); err != nil {
			daemon.log.Error(err, "requests were still open at the stop timeout", "open", daemon.gate.InFlight())
		}
		closing, cancelClosing := context.WithTimeout(context.Background(), closeTimeout)
		defer cancelClosing()
		daemon.node.Stop(closing)
		daemon.ledger.Close()
		daemon.reports.Close(closing)
		daemon.listeners.close()
		daemon.pool.Close()
		_ = daemon.closeMetrics()
		daemon.log.Info("stopped")
	})
	<-daemon.done
}
