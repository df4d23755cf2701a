// Package gate serves callers: completions on adapters, and calls of plain services.
package gate

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"regexp"
	"strings"
	"sync/atomic"
	"time"

	"lentilproxy"
	"lentilproxy/core/conf"
	"lentilproxy/core/keys"
	"lentilproxy/core/refuse"
	"lentilproxy/core/setup"
	"lentilproxy/io/ledger"
	"lentilproxy/io/node"

	"github.com/go-logr/logr"
	"github.com/google/uuid"
	"github.com/uber-go/tally/v4"
)

// Headers of the callers' interface.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderVersion        = "X-Lentil-Version"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderReplayed       = "X-Lentil-Replayed"
	HeaderTiming         = "Server-Timing"
)

const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	staleRetry        = time.Second
	stopRetry         = time.Second
)

var requestIDShape = regexp.MustCompile(`^[A-Za-z0-9._-]{1,64}$`)

// Gate serves callers' requests.
type Gate struct {
	settings *setup.Settings
	node     *node.Node
	ledger   *ledger.Ledger
	log      logr.Logger
	metrics  tally.Scope
	recorder lentilproxy.Recorder
	// engines keeps connections; singles opens one for each request that must not be repeated.
	engines  *http.Client
	singles  *http.Client
	mux      *http.ServeMux
	stopping atomic.Bool
	open     atomic.Int64
}

type discard struct{}

// Record implements lentilproxy.Recorder.
func (discard) Record(time.Time, lentilproxy.Sample) {}

// Option configures a gate.
type Option func(*Gate)

// WithLog sets the log.
func WithLog(log logr.Logger) Option { return func(gate *Gate) { gate.log = log } }

// WithMetrics sets the scope of the metrics.
func WithMetrics(scope tally.Scope) Option { return func(gate *Gate) { gate.metrics = scope } }

// WithRecorder sets who records service levels.
func WithRecorder(recorder lentilproxy.Recorder) Option {
	return func(gate *Gate) { gate.recorder = recorder }
}

// New returns a gate.
func New(settings *setup.Settings, node *node.Node, ledger *ledger.Ledger, options ...Option) *Gate {
	gate := &Gate{
		settings: settings, node: node, ledger: ledger, log: logr.Discard(), metrics: tally.NoopScope, recorder: discard{},
		engines: &http.Client{Transport: transport(false, node.Fresh)},
		singles: &http.Client{Transport: transport(true, node.Fresh)}, mux: http.NewServeMux(),
	}
	for _, option := range options {
		option(gate)
	}
	gate.mux.HandleFunc("POST /v1/completions", gate.handle(gate.serveCompletion))
	gate.mux.HandleFunc("POST /v1/chat/completions", gate.handle(gate.serveCompletion))
	gate.mux.HandleFunc("/services/{service}/{path...}", gate.handle(gate.serveService))
	gate.mux.HandleFunc("GET /healthz", func(writer http.ResponseWriter, _ *http.Request) { writer.WriteHeader(http.StatusOK) })
	gate.mux.HandleFunc("GET /readyz", gate.handleReady)
	return gate
}

func transport(single bool, fresh func(now time.Time) bool) *http.Transport {
	return &http.Transport{
		DialContext:        guardedDial(fresh),
		DisableKeepAlives:  single,
		DisableCompression: true,
		// A redirect or a proxy could carry a request to somebody else.
		Proxy:               nil,
		MaxIdleConnsPerHost: 64,
		IdleConnTimeout:     idleTimeout,
	}
}

// ServeHTTP implements http.Handler.
func (gate *Gate) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	gate.mux.ServeHTTP(writer, request)
}

// Server returns an HTTP server for the gate.
func (gate *Gate) Server() *http.Server {
	return &http.Server{Handler: gate, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}
}

// BeginStop makes the gate report that it is not ready, so that the balancer sends nothing new.
func (gate *Gate) BeginStop() { gate.stopping.Store(true) }

// Open returns the number of requests in service.
func (gate *Gate) Open() int64 { return gate.open.Load() }

func (gate *Gate) handleReady(writer http.ResponseWriter, _ *http.Request) {
	if gate.stopping.Load() || !gate.node.Ready(time.Now()) {
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	writer.WriteHeader(http.StatusOK)
}

// call is one caller's request on its way.
type call struct {
	gate      *Gate
	writer    http.ResponseWriter
	request   *http.Request
	id        string
	arrived   time.Time
	body      []byte
	presented string
	// keyID is empty on open routes.
	keyID     string
	workspace string
	// state is the configuration by which the request was admitted.
	state  *conf.State
	sample lentilproxy.Sample
	// passed says that a part of the answer has reached the caller.
	passed bool
}

// handle wraps the service of a request: identification, bounds, the refusal and the sample.
func (gate *Gate) handle(serve func(*call) *refuse.Refusal) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		gate.open.Add(1)
		defer gate.open.Add(-1)
		call := &call{gate: gate, writer: writer, request: request, id: requestID(request), arrived: time.Now()}
		writer.Header().Set(HeaderRequestID, call.id)
		refusal := call.prepare()
		if refusal == nil {
			refusal = serve(call)
		}
		call.finish(refusal)
	}
}

func requestID(request *http.Request) string {
	if given := request.Header.Get(HeaderRequestID); requestIDShape.MatchString(given) && !strings.Contains(given, keys.Prefix) {
		return given
	}
	return uuid.NewString()
}

// prepare reads the body and checks what concerns every request.
func (call *call) prepare() *refuse.Refusal {
	call.presented = bearer(call.request)
	limit := call.gate.settings.Traffic.MaxBodyBytes
	body, err := io.ReadAll(http.MaxBytesReader(call.writer, call.request.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return refuse.NotRun(http.StatusRequestEntityTooLarge, refuse.CodeBodyTooLarge, "the body exceeds max_body_bytes")
	case err != nil:
		return refuse.NotRun(http.StatusBadRequest, refuse.CodeBadRequest, "the body could not be read")
	}
	call.body = body
	if call.leaksKey() {
		return refuse.NotRun(http.StatusBadRequest, refuse.CodeKeyInRequest, "a key must stand in the Authorization header only")
	}
	if !call.gate.node.Fresh(time.Now()) {
		return stale()
	}
	call.state = call.gate.node.View().State()
	return nil
}

func stale() *refuse.Refusal {
	return refuse.NotRun(http.StatusServiceUnavailable, refuse.CodeStale, "this host cannot prove that its configuration is current").WithRetryAfter(staleRetry)
}

func bearer(request *http.Request) string {
	scheme, token, _ := strings.Cut(request.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(token)
}

// leaksKey says whether the presented key stands in a part of the request that is passed on.
func (call *call) leaksKey() bool {
	if !strings.HasPrefix(call.presented, keys.Prefix) {
		return false
	}
	secret := []byte(call.presented)
	if bytes.Contains(call.body, secret) || strings.Contains(call.request.URL.Path+"?"+call.request.URL.RawQuery, call.presented) {
		return true
	}
	for _, name := range passedHeaders {
		if strings.Contains(strings.Join(call.request.Header.Values(name), ""), call.presented) {
			return true
		}
	}
	return false
}

// authenticate sets the workspace of the presented key. Without a key it returns refuse.CodeKeyMissing.
func (call *call) authenticate() *refuse.Refusal {
	identifier, workspace, verdict := keys.Check(call.state, call.presented)
	switch verdict {
	case keys.Valid:
		call.keyID, call.workspace = identifier, workspace
		return nil
	case keys.Missing:
		return refuse.NotRun(http.StatusUnauthorized, refuse.CodeKeyMissing, "a key is required: Authorization: Bearer KEY")
	case keys.Withdrawn:
		return refuse.NotRun(http.StatusUnauthorized, refuse.CodeKeyWithdrawn, "the key was withdrawn")
	default:
		return refuse.NotRun(http.StatusUnauthorized, refuse.CodeKeyUnknown, "the key is not known")
	}
}

// stands says whether the request may go on by the present configuration.
func (call *call) stands() bool {
	return call.keyID == "" || keys.StillValid(call.gate.node.View().State(), call.keyID, call.workspace)
}

// mayLeave is checked right before the first byte leaves for a backend server.
func (call *call) mayLeave() *refuse.Refusal {
	if !call.gate.node.Fresh(time.Now()) {
		return stale()
	}
	if !call.stands() {
		return refuse.NotRun(http.StatusUnauthorized, refuse.CodeKeyWithdrawn, "the key was withdrawn")
	}
	return nil
}

// finish answers a refused request and records the outcome.
func (call *call) finish(refusal *refuse.Refusal) {
	now := time.Now()
	call.sample.Workspace = call.workspace
	call.sample.Good = refusal == nil || refusal.Status() < http.StatusInternalServerError
	call.gate.recorder.Record(now, call.sample)
	if refusal == nil {
		call.gate.metrics.Counter("requests_answered").Inc(1)
		return
	}
	call.gate.metrics.Tagged(map[string]string{"code": string(refusal.Code())}).Counter("requests_refused").Inc(1)
	if call.passed {
		// A part of the answer is out: the caller must see that the rest is missing.
		call.cutOff(refusal)
	}
	writeRefusal(call.writer, refusal, call.id)
}
