// Package serve carries callers' requests to backend servers and the answers back: it matches the route, checks the
// key, charges the limit, chooses the server, has the adapter loaded, sends, and passes the answer on.
package serve

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"lentilproxy"
	"lentilproxy/core/limit"
	"lentilproxy/core/refuse"
	"lentilproxy/core/spec"
	"lentilproxy/core/value"
	"lentilproxy/io/clock"
	"lentilproxy/io/coord"
	"lentilproxy/io/front"
	"lentilproxy/io/link"

	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"
	"github.com/uber-go/tally/v4"
)

const (
	// configWait is when a caller of a host that knows no configuration should come back: one is read within some
	// milliseconds of a start.
	configWait = 300 * time.Millisecond
	// capacityWait is when a caller should come back that found no server: failed ones are tried again by then.
	capacityWait = 400 * time.Millisecond
)

// Service serves callers' requests.
type Service struct {
	coordinator *coord.Coordinator
	dialect     lentilproxy.Dialect
	links       *link.Pool
	log         logr.Logger
	metrics     tally.Scope
	answered    atomic.Int64
	latency     tally.Histogram
	firstByte   tally.Histogram
}

// Option configures a service.
type Option func(*Service)

// WithLog sets the log.
func WithLog(log logr.Logger) Option { return func(service *Service) { service.log = log } }

// WithMetrics sets the scope of the metrics.
func WithMetrics(scope tally.Scope) Option { return func(service *Service) { service.metrics = scope } }

// New returns a service.
func New(coordinator *coord.Coordinator, dialect lentilproxy.Dialect, links *link.Pool, options ...Option) *Service {
	service := &Service{coordinator: coordinator, dialect: dialect, links: links, log: logr.Discard(), metrics: tally.NoopScope}
	for _, option := range options {
		option(service)
	}
	// From 1 ms, for a plain call, to 8 s, beyond which callers have left.
	buckets := tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 14)
	service.latency = service.metrics.Histogram("request_latency", buckets)
	service.firstByte = service.metrics.Histogram("first_byte_to_server", buckets)
	return service
}

// Limits returns the bounds on callers of the configuration in force.
func (service *Service) Limits() spec.Limits {
	config := service.coordinator.View().Config
	if config.Version() == 0 {
		return front.DefaultLimits
	}
	return config.Limits()
}

// call is one caller's request on its way.
type call struct {
	service  *Service
	exchange *front.Exchange
	ctx      context.Context
	view     *spec.View
	arrived  time.Time
	ask      lentilproxy.RequestInfo
	route    *spec.Route
	target   spec.Service
	// workspace is empty on open routes.
	workspace spec.Workspace
	deadline  time.Time
	// firstBy is when the caller stops waiting for the beginning of an answer.
	firstBy time.Time
	// cost is what the request takes of its workspace's limit.
	cost float64
	// receipt is for the charge of the cost.
	receipt *limit.Receipt
	// digest identifies requests with the same caller and content, over attempts of the caller.
	digest string
	// avoid are the servers that this request is not sent to again.
	avoid value.Set[string]
	// full are the servers that had no place for the adapter.
	full value.Set[string]
	// servers are those that the request was sent to, for the log.
	servers []string
	// arrivals are requests that reached a server, runs those that may have run there.
	arrivals int
	runs     int
	sentAt   time.Time
	firstAt  time.Time
	loadTime time.Duration
	// kept is a server's failure that is passed on unless another server does better.
	kept *kept
	// lastEvent is the ID of the last event that was passed on; resumed says that another server goes on from there.
	lastEvent string
	resumed   bool
	outcome   string
	status    int
}

// Handle implements front.Handler.
func (service *Service) Handle(ctx context.Context, exchange *front.Exchange) {
	call := &call{
		service: service, exchange: exchange, view: service.coordinator.View(), arrived: clock.Now(),
		avoid: value.NewSet[string](), full: value.NewSet[string](),
	}
	refusal := call.admit(ctx)
	if refusal == nil {
		limited, cancel := context.WithTimeout(ctx, call.deadline.Sub(clock.Now()))
		defer cancel()
		call.ctx = limited
		refusal = call.run()
	}
	call.finish(refusal)
}

// admit decides whether the request may be served at all.
func (call *call) admit(ctx context.Context) *refuse.Refusal {
	ask, err := call.service.dialect.DecodeRequest(call.exchange.Header())
	call.ask = ask
	if err != nil {
		return refuse.NotRun(http.StatusBadRequest, refuse.CodeBadRequest, err.Error())
	}
	if !call.view.Ready() {
		return refuse.NotRun(http.StatusServiceUnavailable, refuse.CodeNotConfigured, "this host has no configuration yet").WithRetryAfter(configWait)
	}
	path, _, _ := strings.Cut(call.exchange.Target(), "?")
	if _, err = url.ParseRequestURI(call.exchange.Target()); err != nil {
		return refuse.NotRun(http.StatusBadRequest, refuse.CodeBadRequest, "the path cannot be read")
	}
	call.route = call.view.Config.Match(call.exchange.Host(), path)
	if call.route == nil {
		return refuse.NotRun(http.StatusNotFound, refuse.CodeUnknownRoute, "no route matches the host and path")
	}
	call.deadline = call.arrived.Add(call.route.Timeout)
	if ask.Deadline > 0 && ask.Deadline < call.route.Timeout {
		call.deadline = call.arrived.Add(ask.Deadline)
	}
	call.firstBy = call.arrived.Add(call.route.FirstEventTimeout())
	if call.deadline.Before(call.firstBy) {
		call.firstBy = call.deadline
	}
	if refusal := call.authenticate(); refusal != nil {
		return refusal
	}
	target, found := call.view.Config.Service(pick(call.route.Targets, ask.ID))
	if !found {
		return refuse.NotRun(http.StatusServiceUnavailable, refuse.CodeNoCapacity, "the route's service is not declared").WithRetryAfter(capacityWait)
	}
	call.target = target
	call.digest = digestOf(call)
	return call.charge(ctx)
}

// pick chooses one of the targets of a route by their weights, the same one for the same request.
func pick(targets []spec.Target, identifier string) string {
	total := 0
	for _, target := range targets {
		total += target.Weight
	}
	if total <= 0 {
		return targets[0].Service
	}
	point := int(xxhash.Sum64String(identifier) % uint64(total))
	for _, target := range targets {
		if point -= target.Weight; point < 0 {
			return target.Service
		}
	}
	return targets[0].Service
}

func (call *call) authenticate() *refuse.Refusal {
	if call.route.Open || !call.view.Config.RequiresKeys() {
		return nil
	}
	workspace, found := call.view.Config.WorkspaceByKey(call.ask.Key)
	switch {
	case found:
		call.workspace = workspace
		return nil
	case call.ask.Key == "":
		return refuse.NotRun(http.StatusUnauthorized, refuse.CodeKeyMissing, "a key is required")
	default:
		return refuse.NotRun(http.StatusUnauthorized, refuse.CodeKeyUnknown, "the key is not known")
	}
}

// charge takes the request's cost from the limit of its workspace.
func (call *call) charge(ctx context.Context) *refuse.Refusal {
	if call.workspace.Rate <= 0 {
		return nil
	}
	call.cost = 1
	if call.workspace.Metered {
		call.cost = float64(call.ask.PromptTokens + call.ask.OutputTokens)
		if call.cost == 0 {
			call.cost = call.workspace.DefaultTokens
		}
	}
	receipt, outcome := call.service.coordinator.Traffic().Charge(ctx, call.workspace.Name, call.cost)
	call.receipt = receipt
	switch outcome {
	case limit.Charged, limit.Unlimited:
		return nil
	case limit.ExceedsBurst:
		return refuse.NotRun(http.StatusTooManyRequests, refuse.CodeOverBurst, "the request costs more than the workspace's burst")
	default:
		standing := call.service.coordinator.Traffic().LimitStatus(clock.Now(), call.workspace.Name)
		return refuse.NotRun(http.StatusTooManyRequests, refuse.CodeOverRate, "the workspace is over its limit").WithRetryAfter(standing.RetryAfter(call.cost))
	}
}

// digestOf returns what identifies a request over a caller's attempts, or "" if it has no content that could.
func digestOf(call *call) string {
	if len(call.exchange.Body()) == 0 {
		return ""
	}
	hash := xxhash.New()
	for _, part := range []string{call.workspace.Name, call.exchange.Host(), call.exchange.Target()} {
		_, _ = hash.WriteString(part + "\x00")
	}
	_, _ = hash.Write(call.exchange.Body())
	return strconv.FormatUint(hash.Sum64(), 16)
}

// left returns the time until the deadline.
func (call *call) left() time.Duration { return call.deadline.Sub(clock.Now()) }

// priority returns the urgency of the request, which the workspace may override.
func (call *call) priority() int {
	if call.workspace.HasPriority {
		return call.workspace.Priority
	}
	return call.route.Priority
}
