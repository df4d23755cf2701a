// Package serve forwards callers' requests to backend servers and returns the responses: it matches the route, checks
// the key, charges the limit, chooses a server, requests that the adapter be loaded there, sends the request and passes
// the response on.
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
	"lentilproxy/core/crash"
	"lentilproxy/core/limit"
	"lentilproxy/core/refuse"
	"lentilproxy/core/spec"
	"lentilproxy/core/value"
	"lentilproxy/io/block"
	"lentilproxy/io/clock"
	"lentilproxy/io/coord"
	"lentilproxy/io/front"
	"lentilproxy/io/link"

	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"
	"github.com/uber-go/tally/v4"
)

const (
	// configRetryAfter is the time after which a caller should retry if the host has no configuration yet. A host reads
	// one within some milliseconds of its start.
	configRetryAfter = 300 * time.Millisecond
	// capacityRetryAfter is the time after which a caller should retry if no server could take the request. Servers
	// that failed are tried again by then.
	capacityRetryAfter = 400 * time.Millisecond
)

// Service serves callers' requests.
type Service struct {
	coordinator *coord.Coordinator
	dialect     lentilproxy.Dialect
	links       *link.Pool
	log         logr.Logger
	metrics     tally.Scope
	successes   atomic.Int64
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
	// From 1 ms, for a simple call, to 8 s, after which callers have given up.
	buckets := tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 14)
	service.latency = service.metrics.Histogram("request_latency", buckets)
	service.firstByte = service.metrics.Histogram("first_byte_to_server", buckets)
	return service
}

// Limits returns the limits on callers' connections and requests, from the configuration in force.
func (service *Service) Limits() spec.Limits {
	config := service.coordinator.View().Config
	if config.Version() == 0 {
		return front.DefaultLimits
	}
	return config.Limits()
}

// call is the state of one caller's request.
type call struct {
	service  *Service
	exchange *front.Exchange
	ctx      context.Context
	view     *spec.View
	// provenAt is the time as of which the configuration of the first view was known to be the newest one.
	provenAt   time.Time
	receivedAt time.Time
	info       lentilproxy.RequestInfo
	route      *spec.Route
	target     spec.Service
	// workspace is empty on open routes.
	workspace spec.Workspace
	// assumedWorkspace is set for requests that are explained, which have no key.
	assumedWorkspace string
	deadline         time.Time
	// firstEventDeadline is when the caller stops waiting for the beginning of a response.
	firstEventDeadline time.Time
	// cost is the amount that the request charges to its workspace's limit.
	cost float64
	// receipt is the receipt of the charge, or nil if nothing was charged.
	receipt *limit.Receipt
	// digest is a hash that identifies requests with the same workspace and content, over all attempts of the caller.
	digest string
	// parts holds what the request may have in common with others that crash servers.
	parts []crash.Part
	// run is the current or last attempt.
	run *block.Run
	// avoid holds the servers to which this request is not sent again.
	avoid value.Set[string]
	// attempts holds the connections on which the request has been sent.
	attempts link.Attempts
	// full holds the servers that could not load the adapter.
	full value.Set[string]
	// late holds those of them on which the adapter is expected after the request's deadline.
	late map[string]coord.LoadResult
	// slow holds those of them at which the request may wait again.
	slow value.Set[string]
	// servers holds the servers to which the request was sent, for the log.
	servers []string
	// sentCount is the number of attempts that reached a server, and runCount that of attempts that may have run there.
	sentCount    int
	runCount     int
	sentAt       time.Time
	firstEventAt time.Time
	// longestPause is the longest time between two events of the stream.
	longestPause time.Duration
	loadTime     time.Duration
	// expectedWork is the work that the last attempt was expected to cost its server, or 0.
	expectedWork time.Duration
	// paceTime is how long the request was held back so that prompts are spread.
	paceTime time.Duration
	// dispatched is the state of a request to a plain service whose servers are assigned by a dispatcher.
	dispatched dispatched
	// fallback is a server's error response, which is passed on unless another server responds.
	fallback *fallbackResponse
	// lastEvent is the ID of the last event that was passed on. resumed reports whether the current attempt resumes the
	// stream after it.
	lastEvent string
	resumed   bool
	outcome   string
	status    int
}

// Check implements front.Check. It reports whether the head of a request names a route that its caller may use.
func (service *Service) Check(exchange *front.Exchange) (accepted, known bool) {
	call := &call{service: service, exchange: exchange}
	call.receive()
	return call.identify() == nil, call.workspace.Name != ""
}

// Handle implements front.Handler.
func (service *Service) Handle(ctx context.Context, exchange *front.Exchange) {
	call := &call{
		service: service, exchange: exchange,
		avoid: value.NewSet[string](), full: value.NewSet[string](), late: map[string]coord.LoadResult{}, slow: value.NewSet[string](),
	}
	call.receive()
	refusal := call.admit(ctx)
	if refusal == nil {
		limited, cancel := context.WithTimeout(ctx, call.deadline.Sub(clock.Now()))
		defer cancel()
		call.ctx = limited
		refusal = call.serve()
	}
	call.finish(refusal)
}

// receive takes the configuration by which the request is handled.
func (call *call) receive() {
	call.view, call.provenAt = call.service.coordinator.ProvenView()
	call.receivedAt = clock.Now()
}

// disallowed returns the refusal of a request that the configuration does not allow. If a newer one that does may have to be in force by
// now, the caller is told to come back instead: a host that is overloaded may learn of it late.
func (call *call) disallowed(status int, code refuse.Code, message string) *refuse.Refusal {
	if call.receivedAt.Sub(call.provenAt) > call.service.coordinator.ConfigApply() {
		return refuse.NotRun(http.StatusServiceUnavailable, refuse.CodeStale, "this host may not have the newest configuration").WithRetryAfter(configRetryAfter)
	}
	return refuse.NotRun(status, code, message)
}

// identify finds out from its head which route the request is for, and whether its caller may use the route.
func (call *call) identify() *refuse.Refusal {
	info, err := call.service.dialect.DecodeRequest(call.exchange.Header())
	call.info = info
	if err != nil {
		return refuse.NotRun(http.StatusBadRequest, refuse.CodeBadRequest, err.Error())
	}
	if !call.view.Ready() {
		return refuse.NotRun(http.StatusServiceUnavailable, refuse.CodeNotConfigured, "this host has no configuration yet").WithRetryAfter(configRetryAfter)
	}
	path, _, _ := strings.Cut(call.exchange.Target(), "?")
	if _, err = url.ParseRequestURI(call.exchange.Target()); err != nil {
		return refuse.NotRun(http.StatusBadRequest, refuse.CodeBadRequest, "the path cannot be read")
	}
	call.route = call.view.Config.Match(call.exchange.Host(), path)
	if call.route == nil {
		return call.disallowed(http.StatusNotFound, refuse.CodeUnknownRoute, "no route matches the host and path")
	}
	call.deadline = call.receivedAt.Add(call.route.Timeout)
	if info.Timeout > 0 && info.Timeout < call.route.Timeout {
		call.deadline = call.receivedAt.Add(info.Timeout)
	}
	call.firstEventDeadline = call.receivedAt.Add(call.route.FirstEventTimeout())
	if call.deadline.Before(call.firstEventDeadline) {
		call.firstEventDeadline = call.deadline
	}
	return call.authenticate()
}

// admit decides whether the request may be served, and charges it.
func (call *call) admit(ctx context.Context) *refuse.Refusal {
	if refusal := call.examine(); refusal != nil {
		return refusal
	}
	return call.charge(ctx)
}

// examine decides whether the request may be served, apart from its workspace's limit. It changes nothing but the call.
func (call *call) examine() *refuse.Refusal {
	if refusal := call.identify(); refusal != nil {
		return refusal
	}
	if call.exchange.Unread() {
		// The head did not allow the request, and a configuration that does has arrived since.
		return refuse.NotRun(http.StatusServiceUnavailable, refuse.CodeNotConfigured, "the configuration has changed").WithRetryAfter(configRetryAfter)
	}
	target, found := call.view.Config.Service(chooseTarget(call.route.Targets, call.info.ID))
	if !found {
		return refuse.NotRun(http.StatusServiceUnavailable, refuse.CodeNoCapacity, "the route's service is not declared").WithRetryAfter(capacityRetryAfter)
	}
	call.target = target
	call.digest = requestDigest(call)
	call.parts = call.crashParts()
	return call.checkBlocked()
}

// crashParts returns what the request may have in common with others that crash servers. The last part of the prompt
// belongs to this request alone.
func (call *call) crashParts() []crash.Part {
	shared := call.info.PromptParts[:max(0, len(call.info.PromptParts)-1)]
	if call.info.Model.Adapter == "" {
		return crash.Parts(shared, call.digest)
	}
	return crash.Parts(shared, call.digest, crash.AdapterPart(call.info.Model.String(), call.view.Versions[call.info.Model]))
}

// chooseTarget chooses one of the targets of a route by their weights. It returns the same target for the same
// identifier.
func chooseTarget(targets []spec.Target, identifier string) string {
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
	if call.assumedWorkspace != "" {
		call.workspace = call.view.Config.Workspaces()[call.assumedWorkspace]
		return nil
	}
	workspace, found := call.view.Config.WorkspaceByKey(call.info.Key)
	switch {
	case found:
		call.workspace = workspace
		return nil
	case call.info.Key == "":
		return call.disallowed(http.StatusUnauthorized, refuse.CodeKeyMissing, "a key is required")
	default:
		return call.disallowed(http.StatusUnauthorized, refuse.CodeKeyUnknown, "the key is not known")
	}
}

// charge charges the request's cost to the limit of its workspace.
func (call *call) charge(ctx context.Context) *refuse.Refusal {
	if call.workspace.Rate <= 0 {
		return nil
	}
	call.cost = call.limitCost()
	receipt, outcome := call.service.coordinator.Traffic().Charge(ctx, call.workspace.Name, call.cost)
	call.receipt = receipt
	return call.limitRefusal(outcome)
}

// limitCost returns what the request charges to its workspace's limit.
func (call *call) limitCost() float64 {
	if !call.workspace.Metered {
		return 1
	}
	if cost := float64(call.info.PromptTokens + call.info.OutputTokens); cost > 0 {
		return cost
	}
	return call.workspace.DefaultTokens
}

// limitRefusal returns the refusal of a request that its workspace's limit does not allow, or nil.
func (call *call) limitRefusal(outcome limit.Outcome) *refuse.Refusal {
	switch outcome {
	case limit.Charged, limit.Unlimited:
		return nil
	case limit.ExceedsBurst:
		return refuse.NotRun(http.StatusTooManyRequests, refuse.CodeOverBurst, "the request costs more than the workspace's burst")
	default:
		status := call.service.coordinator.Traffic().LimitStatus(clock.Now(), call.workspace.Name)
		return refuse.NotRun(http.StatusTooManyRequests, refuse.CodeOverRate, "the workspace is over its limit").WithRetryAfter(status.RetryAfter(call.cost))
	}
}

// requestDigest returns a hash that identifies a request over all attempts of a caller.
func requestDigest(call *call) string {
	hash := xxhash.New()
	for _, part := range []string{call.workspace.Name, call.exchange.Method(), call.exchange.Host(), call.exchange.Target()} {
		_, _ = hash.WriteString(part + "\x00")
	}
	_, _ = hash.Write(call.exchange.Body())
	return strconv.FormatUint(hash.Sum64(), 16)
}

// remaining returns the time until the deadline.
func (call *call) remaining() time.Duration { return call.deadline.Sub(clock.Now()) }

// priority returns the priority of the request. That of the workspace overrides that of the route.
func (call *call) priority() int {
	if call.workspace.HasPriority {
		return call.workspace.Priority
	}
	return call.route.Priority
}
