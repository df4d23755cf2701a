// Package gate serves callers: completions on adapters, and calls of plain services. It serves requests only while its
// host is fresh, that is, while the host can prove that its configuration is current.
package gate

import (
	"bytes"
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
	"lentilproxy/io/engine"
	"lentilproxy/io/hold"
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
	// maxHeadBytes bounds the head of a request.
	maxHeadBytes    = 64 << 10
	staleRetryAfter = time.Second
)

var requestIDPattern = regexp.MustCompile(`^[A-Za-z0-9._-]{1,64}$`)

// Gate serves callers' requests.
type Gate struct {
	settings *setup.Settings
	node     *node.Node
	ledger   *ledger.Ledger
	log      logr.Logger
	metrics  tally.Scope
	recorder lentilproxy.Recorder
	// pool bounds what connections hold, or is nil.
	pool *hold.Pool
	// client sends requests to backend servers.
	client   *http.Client
	mux      *http.ServeMux
	stopping atomic.Bool
	inFlight atomic.Int64
}

type nopRecorder struct{}

// Record implements lentilproxy.Recorder.
func (nopRecorder) Record(time.Time, lentilproxy.Sample) {}

// Option configures a gate.
type Option func(*Gate)

// WithLog sets the log.
func WithLog(log logr.Logger) Option { return func(gate *Gate) { gate.log = log } }

// WithMetrics sets the scope of the metrics.
func WithMetrics(scope tally.Scope) Option { return func(gate *Gate) { gate.metrics = scope } }

// WithPool bounds what all connections hold together.
func WithPool(pool *hold.Pool) Option { return func(gate *Gate) { gate.pool = pool } }

// WithRecorder sets the recorder of service levels.
func WithRecorder(recorder lentilproxy.Recorder) Option {
	return func(gate *Gate) { gate.recorder = recorder }
}

// New returns a gate.
func New(settings *setup.Settings, node *node.Node, ledger *ledger.Ledger, options ...Option) *Gate {
	gate := &Gate{
		settings: settings, node: node, ledger: ledger, log: logr.Discard(), metrics: tally.NoopScope, recorder: nopRecorder{},
		client: engine.NewHTTPClient(checkedDial(node.Fresh)), mux: http.NewServeMux(),
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

// ServeHTTP implements http.Handler.
func (gate *Gate) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	hold.EndHead(request.Context())
	// The deadline of the response before this request may be over.
	_ = http.NewResponseController(writer).SetWriteDeadline(time.Time{})
	gate.mux.ServeHTTP(writer, request)
}

// Server returns an HTTP server for the gate.
func (gate *Gate) Server() *http.Server {
	server := &http.Server{Handler: gate, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeadBytes}
	hold.Configure(server)
	return server
}

// BeginStop makes the gate report that it is not ready, so that the load balancer sends no new requests.
func (gate *Gate) BeginStop() { gate.stopping.Store(true) }

// InFlight returns the number of requests in progress.
func (gate *Gate) InFlight() int64 { return gate.inFlight.Load() }

func (gate *Gate) handleReady(writer http.ResponseWriter, _ *http.Request) {
	if gate.stopping.Load() || !gate.node.Ready(time.Now()) {
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	writer.WriteHeader(http.StatusOK)
}

// call is the state of one caller's request.
type call struct {
	gate         *Gate
	writer       http.ResponseWriter
	request      *http.Request
	id           string
	receivedAt   time.Time
	body         []byte
	presentedKey string
	// keyID is empty on open routes.
	keyID     string
	workspace string
	// assumedWorkspace is set for requests that are explained, which have no key.
	assumedWorkspace string
	// state is the configuration under which the request was admitted.
	state  *conf.State
	sample lentilproxy.Sample
	// responseStarted is set once a part of a streamed response has been sent to the caller.
	responseStarted bool
	// bodyShare and responseShare are what the body and the response hold. Both may be nil.
	bodyShare     *hold.Share
	responseShare *hold.Share
}

// handle returns a handler that sets the request ID, makes the checks that all requests share, calls serve, and
// finishes the request.
func (gate *Gate) handle(serve func(*call) *refuse.Refusal) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		gate.inFlight.Add(1)
		defer gate.inFlight.Add(-1)
		call := &call{gate: gate, writer: writer, request: request, id: requestID(request), receivedAt: time.Now()}
		writer.Header().Set(HeaderRequestID, call.id)
		defer func() {
			call.bodyShare.Close()
			call.responseShare.Close()
		}()
		refusal := call.prepare()
		if refusal == nil {
			refusal = serve(call)
		}
		call.finish(refusal)
	}
}

func requestID(request *http.Request) string {
	if given := request.Header.Get(HeaderRequestID); requestIDPattern.MatchString(given) && !strings.Contains(given, keys.Prefix) {
		return given
	}
	return uuid.NewString()
}

// prepare reads the body and makes the checks that all requests share.
func (call *call) prepare() *refuse.Refusal {
	call.presentedKey = bearer(call.request)
	if refusal := call.readBody(); refusal != nil {
		return refusal
	}
	if call.leaksKey() {
		return refuse.NotRun(http.StatusBadRequest, refuse.CodeKeyInRequest, "a key must stand in the Authorization header only")
	}
	if !call.gate.node.Fresh(time.Now()) {
		return staleRefusal()
	}
	call.state = call.gate.node.View().State()
	return nil
}

func staleRefusal() *refuse.Refusal {
	return refuse.NotRun(http.StatusServiceUnavailable, refuse.CodeStale, "this host cannot prove that its configuration is current").WithRetryAfter(staleRetryAfter)
}

func bearer(request *http.Request) string {
	scheme, token, _ := strings.Cut(request.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(token)
}

// leaksKey reports whether the presented key occurs in a part of the request that is forwarded.
func (call *call) leaksKey() bool {
	if !strings.HasPrefix(call.presentedKey, keys.Prefix) {
		return false
	}
	secret := []byte(call.presentedKey)
	if bytes.Contains(call.body, secret) || strings.Contains(call.request.URL.Path+"?"+call.request.URL.RawQuery, call.presentedKey) {
		return true
	}
	for _, name := range forwardedHeaders {
		if strings.Contains(strings.Join(call.request.Header.Values(name), ""), call.presentedKey) {
			return true
		}
	}
	return false
}

// authenticate sets the workspace of the presented key. Without a key it returns refuse.CodeKeyMissing.
func (call *call) authenticate() *refuse.Refusal {
	if call.assumedWorkspace != "" {
		call.workspace = call.assumedWorkspace
		return nil
	}
	identifier, workspace, verdict := keys.Check(call.state, call.presentedKey)
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

// keyValid reports whether the current configuration still accepts the request's key. A request without a key is valid.
func (call *call) keyValid() bool {
	return call.keyID == "" || keys.StillValid(call.gate.node.View().State(), call.keyID, call.workspace)
}

// checkBeforeSend checks the host's freshness and the key again, immediately before a request is sent to a server.
func (call *call) checkBeforeSend() *refuse.Refusal {
	if !call.gate.node.Fresh(time.Now()) {
		return staleRefusal()
	}
	if !call.keyValid() {
		return refuse.NotRun(http.StatusUnauthorized, refuse.CodeKeyWithdrawn, "the key was withdrawn")
	}
	return nil
}

// finish records the outcome of the request and writes the refusal, if there is one.
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
	if call.responseStarted {
		// A part of the response has been sent, so the caller must be able to detect that the rest is missing.
		call.abortResponse(refusal)
	}
	_ = http.NewResponseController(call.writer).SetWriteDeadline(now.Add(writeTimeout))
	writeRefusal(call.writer, refusal, call.id)
}
