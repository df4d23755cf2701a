package daemon

import (
	"cmp"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"lentilproxy"
	"lentilproxy/core/setup"
	"lentilproxy/io/coord"
	"lentilproxy/io/front"
	"lentilproxy/io/hold"
	"lentilproxy/io/link"
	"lentilproxy/io/serve"
	"lentilproxy/platform"

	"github.com/go-logr/logr"
	"github.com/uber-go/tally/v4"
)

const (
	// balancerDetectionTime is the time within which the load balancer detects that a host is not ready: it makes two
	// checks, a second apart.
	balancerDetectionTime = 2500 * time.Millisecond
	// stopMargin is the part of the grace period that is reserved for the end of the process.
	stopMargin = 700 * time.Millisecond
	// storeConnections is the number of idle connections to the store that are kept: two for reads of changes, and the
	// others for calls.
	storeConnections = 4
	// drainPollInterval is the time between two checks whether a stopping host still serves requests.
	drainPollInterval = 20 * time.Millisecond
	// maxExplainedBytes bounds the body of a request that is explained.
	maxExplainedBytes = 256 << 10
)

// Hosted is a daemon on the operators' platform.
type Hosted struct {
	settings     *setup.Settings
	log          logr.Logger
	coordinator  *coord.Coordinator
	pool         *hold.Pool
	front        *front.Server
	links        *link.Pool
	orders       *link.Ahead
	listeners    *listeners
	stopping     atomic.Bool
	closeMetrics func() error
	stopOnce     sync.Once
	done         chan struct{}
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
	scope, metrics, closeMetrics := newMetrics()
	hosted.closeMetrics = closeMetrics
	dialer := link.Dialer()
	hosted.orders = link.NewAhead(dialer, log)
	hosted.coordinator = coord.New(settings, coord.Platform{
		Store:   platform.NewStore(settings.Platform.Store, coord.NewHTTPClient(dialer.DialContext, storeConnections), scope),
		Decoder: platform.RowDecoder{},
		Orders:  platform.NewOrders(coord.NewHTTPClient(dialer.DialContext, 1), coord.NewHTTPClient(hosted.orders.DialContext, 0), scope),
	}, opened.open[peersListenerIndex], coord.WithLog(log), coord.WithMetrics(scope))
	connections := scope.Counter("server_connections")
	dialect := platform.Dialect{}
	hosted.links = link.New(link.WithLimit(hosted.coordinator.ConnectionLimit), link.WithOnOpen(func() { connections.Inc(1) }),
		link.WithOnSurplus(func(server string, surplus link.Surplus, response *http.Response) {
			recordSurplus(log, scope, dialect, server, surplus, response)
		}))
	service := serve.New(hosted.coordinator, dialect, hosted.links, serve.WithLog(log), serve.WithMetrics(scope))
	hosted.pool = newPool(settings, log, scope)
	hosted.front = front.New(opened.open[0], service.Limits, service.Handle, front.WithPool(hosted.pool), front.WithCheck(service.Check))
	readyMux := http.NewServeMux()
	readyMux.HandleFunc(dialect.ReadyPath(), hosted.serveReadiness)
	opened.serve(&http.Server{Handler: readyMux, ReadHeaderTimeout: closeTimeout}, 1)
	metricsMux := http.NewServeMux()
	metricsMux.Handle("/metrics", metrics)
	metricsMux.HandleFunc("/explain", explainHandler(service))
	opened.serve(&http.Server{Handler: metricsMux, ReadHeaderTimeout: closeTimeout}, 3)
	log.Info("started", "host", settings.Host.Name, "data_centre", settings.Host.DataCentre, "callers", settings.Listen.Callers,
		"peers", settings.Listen.Peers, "store", settings.Platform.Store)
	return hosted, nil
}

// explainHandler returns the handler that explains where a request would go now. The request is described by the parameters host,
// target, method and workspace, and by the headers and the body of the call itself.
func explainHandler(service *serve.Service) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, maxExplainedBytes))
		if err != nil {
			http.Error(writer, "the body is too long", http.StatusRequestEntityTooLarge)
			return
		}
		query := request.URL.Query()
		explanation := service.Explain(serve.Question{
			Method: cmp.Or(query.Get("method"), http.MethodPost), Host: query.Get("host"), Target: query.Get("target"),
			Header: request.Header, Body: body, Workspace: query.Get("workspace"),
		})
		writer.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(writer).Encode(explanation)
	}
}

// recordSurplus records that a backend server has sent bytes that belong to no request.
func recordSurplus(log logr.Logger, scope tally.Scope, dialect lentilproxy.Dialect, server string, surplus link.Surplus, response *http.Response) {
	scope.Tagged(map[string]string{"kind": string(surplus)}).Counter("surplus_from_servers").Inc(1)
	fields := []any{"server", server, "kind", surplus}
	if response != nil {
		fields = append(fields, "status", response.StatusCode, "other_request", dialect.DecodeResponse(response.StatusCode, response.Header).ID)
	}
	log.Info("backend server sent bytes that belong to no request", fields...)
}

func (hosted *Hosted) serveReadiness(writer http.ResponseWriter, _ *http.Request) {
	if hosted.stopping.Load() || !hosted.coordinator.Ready() {
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	writer.WriteHeader(http.StatusOK)
}

// CallersAddress returns the address for callers, as IP:port.
func (hosted *Hosted) CallersAddress() string { return hosted.listeners.address(0) }

// ReadyAddress returns the address for the load balancer's readiness checks, as IP:port.
func (hosted *Hosted) ReadyAddress() string { return hosted.listeners.address(1) }

// MetricsAddress returns the address of the metrics, as IP:port.
func (hosted *Hosted) MetricsAddress() string { return hosted.listeners.address(3) }

// Kill ends the daemon immediately, as in a crash: it neither finishes requests nor releases servers.
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
	hosted.pool.Close()
	hosted.links.Close()
	hosted.orders.Close()
	hosted.listeners.close()
	_ = hosted.closeMetrics()
}

// Reload applies changed settings. Only bounds may change while the daemon runs.
func (hosted *Hosted) Reload(settings *setup.Settings) {
	hosted.coordinator.Reload(settings.Bounds)
	hosted.log.Info("settings reloaded", "bounds", settings.Bounds)
}

// Done returns a channel that is closed once the daemon has stopped.
func (hosted *Hosted) Done() <-chan struct{} { return hosted.done }

// Stop ends the daemon gracefully: it reports that it is not ready, accepts requests until the load balancer has
// detected this, finishes them, releases the servers that it holds, and ends before the grace period is over.
func (hosted *Hosted) Stop() {
	hosted.stopOnce.Do(func() {
		defer close(hosted.done)
		startedAt := time.Now()
		hosted.log.Info("stopping", "open", hosted.front.Active())
		hosted.stopping.Store(true)
		hosted.front.Drain()
		limit := startedAt.Add(hosted.settings.Bounds.StopGrace - stopMargin)
		time.Sleep(min(balancerDetectionTime, time.Until(limit)))
		hosted.front.StopAccepting()
		for hosted.front.Open() > 0 && time.Now().Before(limit) {
			time.Sleep(drainPollInterval)
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
