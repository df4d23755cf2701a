package daemon

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"lentilproxy/core/setup"
	"lentilproxy/io/coord"
	"lentilproxy/io/front"
	"lentilproxy/io/link"
	"lentilproxy/io/serve"
	"lentilproxy/platform"

	"github.com/go-logr/logr"
)

const (
	// noticeTime is how long the balancer needs to notice that a host is not ready: two questions, a second apart.
	noticeTime = 2500 * time.Millisecond
	// stopMargin is the part of the grace period that is left for ending the process.
	stopMargin = 700 * time.Millisecond
	// storeConnections is the number of connections to the store: two that wait for changes, and those for calls.
	storeConnections = 4
	// drainCheck is the time between two looks whether a stopping host still serves requests.
	drainCheck = 20 * time.Millisecond
)

// Hosted is a daemon on the operators' platform.
type Hosted struct {
	settings    *setup.Settings
	log         logr.Logger
	coordinator *coord.Coordinator
	front       *front.Server
	links       *link.Pool
	listeners   *listeners
	stopping    atomic.Bool
	metrics     func() error
	stopOnce    sync.Once
	done        chan struct{}
}

// NewHosted opens the listeners and starts a daemon on the operators' platform.
func NewHosted(settings *setup.Settings, log logr.Logger) (*Hosted, error) {
	hosted := &Hosted{settings: settings, log: log, done: make(chan struct{})}
	bound := &settings.Listen
	opened, err := listen(log, bound, bound.Callers, bound.Ready, bound.Peers, bound.Metrics)
	if err != nil {
		return nil, err
	}
	hosted.listeners = opened
	scope, metrics, end := newMetrics()
	hosted.metrics = end
	dialer := link.Dialer()
	hosted.coordinator = coord.New(settings, coord.Platform{
		Rows:   platform.NewStore(settings.Platform.Store, coord.Client(dialer, storeConnections), scope),
		Source: platform.RowDecoder{},
		Orders: platform.NewOrders(coord.Client(dialer, 1), scope),
	}, opened.open[peersListener], coord.WithLog(log), coord.WithMetrics(scope))
	connections := scope.Counter("server_connections")
	hosted.links = link.New(link.WithLimit(hosted.coordinator.ConnectionLimit), link.WithOnOpen(func() { connections.Inc(1) }))
	dialect := platform.Dialect{}
	service := serve.New(hosted.coordinator, dialect, hosted.links, serve.WithLog(log), serve.WithMetrics(scope))
	hosted.front = front.New(opened.open[0], service.Limits, service.Handle)
	ready := http.NewServeMux()
	ready.HandleFunc(dialect.ReadyPath(), hosted.answerReady)
	opened.serve(&http.Server{Handler: ready, ReadHeaderTimeout: closeTimeout}, 1)
	scrape := http.NewServeMux()
	scrape.Handle("/metrics", metrics)
	opened.serve(&http.Server{Handler: scrape, ReadHeaderTimeout: closeTimeout}, 3)
	log.Info("started", "host", settings.Host.Name, "data_centre", settings.Host.DataCentre, "callers", settings.Listen.Callers,
		"peers", settings.Listen.Peers, "store", settings.Platform.Store)
	return hosted, nil
}

func (hosted *Hosted) answerReady(writer http.ResponseWriter, _ *http.Request) {
	if hosted.stopping.Load() || !hosted.coordinator.Ready() {
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	writer.WriteHeader(http.StatusOK)
}

// Callers returns the address for callers, as IP:port.
func (hosted *Hosted) Callers() string { return hosted.listeners.address(0) }

// Balancer returns the address for the balancer's questions, as IP:port.
func (hosted *Hosted) Balancer() string { return hosted.listeners.address(1) }

// Scrape returns the address of the metrics, as IP:port.
func (hosted *Hosted) Scrape() string { return hosted.listeners.address(3) }

// Kill ends the daemon at once, as a loss of power would.
func (hosted *Hosted) Kill() {
	hosted.stopOnce.Do(func() {
		defer close(hosted.done)
		hosted.coordinator.Kill()
		hosted.close()
	})
}

// close ends all connections, and the metrics.
func (hosted *Hosted) close() {
	hosted.front.Close()
	hosted.links.Close()
	hosted.listeners.close()
	_ = hosted.metrics()
}

// Reload takes changed settings in. Only bounds may change while the daemon runs.
func (hosted *Hosted) Reload(settings *setup.Settings) {
	hosted.coordinator.Reload(settings.Bounds)
	hosted.log.Info("settings reloaded", "bounds", settings.Bounds)
}

// Done is closed once the daemon has stopped.
func (hosted *Hosted) Done() <-chan struct{} { return hosted.done }

// Stop ends the daemon gracefully: it turns not ready, takes requests until the balancer has noticed, finishes them,
// hands over what it holds, and ends before the grace period does.
func (hosted *Hosted) Stop() {
	hosted.stopOnce.Do(func() {
		defer close(hosted.done)
		startedAt := time.Now()
		hosted.log.Info("stopping", "open", hosted.front.Active())
		hosted.stopping.Store(true)
		hosted.front.Drain()
		limit := startedAt.Add(hosted.settings.Bounds.StopGrace - stopMargin)
		time.Sleep(min(noticeTime, time.Until(limit)))
		hosted.front.StopAccepting()
		for hosted.front.Active() > 0 && time.Now().Before(limit) {
			time.Sleep(drainCheck)
		}
		cut := hosted.front.Active()
		ctx, cancel := context.WithTimeout(context.Background(), stopMargin/2)
		defer cancel()
		hosted.coordinator.Stop(ctx)
		hosted.close()
		hosted.log.Info("stopped", "ms", time.Since(startedAt).Milliseconds(), "cut", cut)
	})
	<-hosted.done
}
