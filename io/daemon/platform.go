package daemon

import (
	"context"
	"errors"
	"net"
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
	"github.com/samber/oops"
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
	servers     []*http.Server
	addresses   []net.Listener
	stopping    atomic.Bool
	metrics     func() error
	stopOnce    sync.Once
	done        chan struct{}
}

// NewHosted opens the listeners and starts a daemon on the operators' platform.
func NewHosted(settings *setup.Settings, log logr.Logger) (*Hosted, error) {
	hosted := &Hosted{settings: settings, log: log, done: make(chan struct{})}
	listeners, err := openAll(settings.Listen.Callers, settings.Listen.Ready, settings.Listen.Peers, settings.Listen.Metrics)
	if err != nil {
		return nil, err
	}
	hosted.addresses = listeners
	if settings.Listen.AdvertisePeers == settings.Listen.Peers {
		// Port 0 lets the system choose.
		settings.Listen.AdvertisePeers = listeners[2].Addr().String()
	}
	scope, metrics, end := newMetrics()
	hosted.metrics = end
	dialer := link.Dialer()
	hosted.coordinator = coord.New(settings, coord.Platform{
		Rows:   platform.NewStore(settings.Platform.Store, coord.Client(dialer, storeConnections), scope),
		Source: platform.Source{},
		Orders: platform.NewOrders(coord.Client(dialer, 1), scope),
	}, listeners[2], coord.WithLog(log), coord.WithMetrics(scope))
	opened := scope.Counter("server_connections")
	hosted.links = link.New(link.WithLimit(hosted.coordinator.ConnectionLimit), link.WithOpened(func() { opened.Inc(1) }))
	dialect := platform.Dialect{}
	service := serve.New(hosted.coordinator, dialect, hosted.links, serve.WithLog(log), serve.WithMetrics(scope))
	hosted.front = front.New(listeners[0], service.Limits, service.Handle)
	ready := http.NewServeMux()
	ready.HandleFunc(dialect.ReadyPath(), hosted.answerReady)
	hosted.serve(ready, listeners[1])
	scrape := http.NewServeMux()
	scrape.Handle("/metrics", metrics)
	hosted.serve(scrape, listeners[3])
	log.Info("started", "host", settings.Host.Name, "data_centre", settings.Host.DataCentre, "callers", settings.Listen.Callers,
		"peers", settings.Listen.Peers, "store", settings.Platform.Store)
	return hosted, nil
}

// openAll opens all listeners or none.
func openAll(addresses ...string) ([]net.Listener, error) {
	var listeners []net.Listener
	for _, address := range addresses {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			for _, open := range listeners {
				_ = open.Close()
			}
			return nil, oops.Code("listen_failed").With("address", address).Wrap(err)
		}
		listeners = append(listeners, listener)
	}
	return listeners, nil
}

func (hosted *Hosted) serve(handler http.Handler, listener net.Listener) {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: closeTimeout}
	hosted.servers = append(hosted.servers, server)
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			hosted.log.Error(err, "a listener ended", "address", listener.Addr().String())
		}
	}()
}

func (hosted *Hosted) answerReady(writer http.ResponseWriter, _ *http.Request) {
	if hosted.stopping.Load() || !hosted.coordinator.Ready() {
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	writer.WriteHeader(http.StatusOK)
}

// Callers returns the address for callers, as IP:port.
func (hosted *Hosted) Callers() string { return hosted.addresses[0].Addr().String() }

// Balancer returns the address for the balancer's questions, as IP:port.
func (hosted *Hosted) Balancer() string { return hosted.addresses[1].Addr().String() }

// Scrape returns the address of the metrics, as IP:port.
func (hosted *Hosted) Scrape() string { return hosted.addresses[3].Addr().String() }

// Kill ends the daemon at once, as a loss of power would.
func (hosted *Hosted) Kill() {
	hosted.stopOnce.Do(func() {
		defer close(hosted.done)
		hosted.coordinator.Kill()
		hosted.front.Close()
		hosted.links.Close()
		for _, server := range hosted.servers {
			_ = server.Close()
		}
	})
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
		hosted.front.Close()
		hosted.links.Close()
		for _, server := range hosted.servers {
			_ = server.Close()
		}
		_ = hosted.metrics()
		hosted.log.Info("stopped", "ms", time.Since(startedAt).Milliseconds(), "cut", cut)
	})
	<-hosted.done
}
