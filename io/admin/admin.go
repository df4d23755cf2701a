// Package admin serves the HTTP API for operators: resources, keys, drains, status, reports and metrics.
package admin

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net/http"
	"strings"
	"time"

	"lentilproxy/core/conf"
	"lentilproxy/core/keys"
	"lentilproxy/io/gate"
	"lentilproxy/io/node"
	"lentilproxy/io/report"

	"github.com/google/uuid"
	"github.com/kataras/iris/v12"
)

const (
	// maxApplyBytes bounds the body of an apply.
	maxApplyBytes = 8 << 20
	// MaxApplyResources bounds the resources in one change, which is one transaction and one message to each peer.
	MaxApplyResources = 1000
	// acceptTimeout bounds how long the response to a committed change waits until the change is in force.
	acceptTimeout      = 4 * time.Second
	acceptPollInterval = 20 * time.Millisecond
	commitTimeout      = 8 * time.Second
	watchTimeout       = 25 * time.Second
	keyNameBytes       = 6
	secretBytes        = 24
)

// ApplyRequest declares resources and removes others, all or none of them.
type ApplyRequest struct {
	// Token identifies the request, so that it takes effect once even if its response is lost and it is repeated.
	Token     string          `json:"token"`
	Resources []conf.Resource `json:"resources,omitempty"`
	Deletes   []conf.Ref      `json:"deletes,omitempty"`
	// Generations holds the expected generations of resources by kind/name. 0 means that the resource must not exist.
	Generations map[string]int64 `json:"generations,omitempty"`
	DryRun      bool             `json:"dry_run,omitempty"`
}

// Fault is a reason for which a change was rejected.
type Fault struct {
	Kind    conf.Kind `json:"kind"`
	Name    string    `json:"name"`
	Field   string    `json:"field,omitempty"`
	Message string    `json:"message"`
}

// Condition reports whether a change is accepted or in force.
type Condition struct {
	Status bool `json:"status"`
	// Missing lists the hosts that may still use an older revision.
	Missing []string `json:"missing,omitempty"`
}

// ApplyResult is the outcome of a change.
type ApplyResult struct {
	Outcome  node.CommitStatus `json:"outcome"`
	Revision int64             `json:"revision,omitempty"`
	Faults   []Fault           `json:"faults,omitempty"`
	Accepted Condition         `json:"accepted"`
	InForce  Condition         `json:"in_force"`
}

// GrantRequest requests a new key for a workspace.
type GrantRequest struct {
	Token     string `json:"token"`
	Workspace string `json:"workspace"`
}

// GrantResult holds the new key, which is shown only once.
type GrantResult struct {
	ApplyResult
	Name string `json:"name,omitempty"`
	Key  string `json:"key,omitempty"`
}

// NamedRequest names a key to withdraw, or a backend server or a data centre to drain.
type NamedRequest struct {
	Token string `json:"token"`
	Name  string `json:"name"`
	// DataCentre is set if Name is a data centre to drain.
	DataCentre bool `json:"data_centre,omitempty"`
	// Undo ends the drain.
	Undo bool `json:"undo,omitempty"`
}

// Listing holds the resources of one revision.
type Listing struct {
	Revision  int64           `json:"revision"`
	Resources []conf.Resource `json:"resources"`
	Accepted  Condition       `json:"accepted"`
	InForce   Condition       `json:"in_force"`
}

// errorBody is the response body of a failed call.
type errorBody struct {
	Message string `json:"message"`
}

// Admin is the handler of the operators' API.
type Admin struct {
	node    *node.Node
	metrics http.Handler
	reports *report.Recorder
	explain func(now time.Time, question gate.Question) gate.Explanation
	app     *iris.Application
}

// Option configures an admin.
type Option func(*Admin)

// WithMetrics sets the handler of /metrics.
func WithMetrics(handler http.Handler) Option { return func(admin *Admin) { admin.metrics = handler } }

// WithReports sets the source of reports.
func WithReports(reports *report.Recorder) Option {
	return func(admin *Admin) { admin.reports = reports }
}

// WithExplain sets the function that explains where a request would go.
func WithExplain(explain func(now time.Time, question gate.Question) gate.Explanation) Option {
	return func(admin *Admin) { admin.explain = explain }
}

// New returns the operators' API of a node.
func New(node *node.Node, options ...Option) (*Admin, error) {
	admin := &Admin{node: node, app: iris.New()}
	for _, option := range options {
		option(admin)
	}
	admin.app.Logger().SetLevel("disable")
	admin.app.Get("/healthz", func(ctx iris.Context) { ctx.StatusCode(http.StatusOK) })
	admin.app.Get("/readyz", admin.ready)
	admin.app.Post("/v1/apply", admin.apply)
	admin.app.Get("/v1/resources/{kind:string}", admin.list)
	admin.app.Get("/v1/watch", admin.watch)
	admin.app.Post("/v1/keys/grant", admin.grant)
	admin.app.Post("/v1/keys/withdraw", admin.withdraw)
	admin.app.Post("/v1/drain", admin.drain)
	admin.app.Get("/v1/status", admin.status)
	admin.app.Get("/v1/burn", admin.burn)
	if admin.explain != nil {
		admin.app.Post("/v1/explain", admin.serveExplain)
	}
	if admin.metrics != nil {
		admin.app.Get("/metrics", iris.FromStd(admin.metrics))
	}
	return admin, admin.app.Build()
}

// ServeHTTP implements http.Handler.
func (admin *Admin) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	admin.app.ServeHTTP(writer, request)
}

func (admin *Admin) ready(ctx iris.Context) {
	if !admin.node.Ready(time.Now()) {
		ctx.StatusCode(http.StatusServiceUnavailable)
	}
}

// decodeBody decodes the request body. If that fails, it writes an error response and returns false.
func decodeBody[T any](ctx iris.Context) (T, bool) {
	var body T
	ctx.SetMaxRequestBodySize(maxApplyBytes)
	if err := ctx.ReadJSON(&body); err != nil {
		badRequest(ctx, "the body is not valid: "+err.Error())
		return body, false
	}
	return body, true
}

func badRequest(ctx iris.Context, message string) {
	ctx.StatusCode(http.StatusBadRequest)
	_ = ctx.JSON(errorBody{Message: message})
}

func (admin *Admin) apply(ctx iris.Context) {
	request, valid := decodeBody[ApplyRequest](ctx)
	if !valid {
		return
	}
	if count := len(request.Resources) + len(request.Deletes); count == 0 || count > MaxApplyResources {
		badRequest(ctx, "a change holds between 1 and 1000 resources")
		return
	}
	for index := range request.Resources {
		if kind := request.Resources[index].Kind; kind == conf.KindRoster || kind == conf.KindOwner {
			badRequest(ctx, "resources of kind "+string(kind)+" are written by daemons only")
			return
		}
	}
	admin.respond(ctx, admin.commit(ctx, request))
}

// commit applies a change and waits for a bounded time until it is in force.
func (admin *Admin) commit(ctx iris.Context, request ApplyRequest) ApplyResult {
	if request.Token == "" {
		request.Token = uuid.NewString()
	}
	commitCtx, cancel := context.WithTimeout(ctx.Request().Context(), commitTimeout)
	defer cancel()
	var faults []Fault
	outcome := admin.node.Commit(commitCtx, request.Token, func(state *conf.State) (conf.Change, []conf.Problem, bool) {
		change := conf.Change{Puts: request.Resources, Deletes: request.Deletes}
		faults = conflicts(state, request)
		if len(faults) > 0 {
			return change, nil, false
		}
		next := change
		next.Revision = state.Revision() + 1
		problems := conf.Check(state.Apply(next), next)
		return change, problems, !request.DryRun && len(problems) == 0
	})
	for _, problem := range outcome.Problems {
		ref := problem.Ref()
		faults = append(faults, Fault{Kind: ref.Kind, Name: ref.Name, Field: problem.Field(), Message: problem.Message()})
	}
	result := ApplyResult{Outcome: outcome.Status, Revision: outcome.Revision, Faults: faults}
	if outcome.Status == node.Committed {
		admin.awaitInForce(commitCtx, &result)
	}
	return result
}

// conflicts compares the expected generations with those in the state.
func conflicts(state *conf.State, request ApplyRequest) []Fault {
	var faults []Fault
	check := func(ref conf.Ref) {
		expected, found := request.Generations[ref.String()]
		if !found {
			return
		}
		var generation, revision int64
		if old := state.Get(ref); old != nil {
			generation, revision = old.Generation, old.Revision
		}
		if generation != expected {
			faults = append(faults, Fault{Kind: ref.Kind, Name: ref.Name, Message: conflictMessage(expected, generation, revision)})
		}
	}
	for index := range request.Resources {
		check(request.Resources[index].Ref())
	}
	for _, ref := range request.Deletes {
		check(ref)
	}
	return faults
}

// awaitInForce updates a result until its revision is in force or acceptTimeout has passed.
func (admin *Admin) awaitInForce(ctx context.Context, result *ApplyResult) {
	deadline := time.Now().Add(acceptTimeout)
	for {
		acceptance, err := admin.node.Acceptance(ctx, result.Revision)
		if err != nil {
			return
		}
		result.Accepted.Status = acceptance.Accepted
		result.InForce = Condition{Status: acceptance.InForce, Missing: acceptance.Missing}
		if acceptance.InForce || time.Now().After(deadline) {
			return
		}
		select {
		case <-time.After(acceptPollInterval):
		case <-ctx.Done():
			return
		}
	}
}

func (admin *Admin) respond(ctx iris.Context, result ApplyResult) {
	ctx.StatusCode(httpStatus(result))
	_ = ctx.JSON(result)
}

func httpStatus(result ApplyResult) int {
	switch {
	case result.Outcome == node.Committed && result.Accepted.Status:
		return http.StatusOK
	case result.Outcome == node.Committed:
		return http.StatusAccepted
	case result.Outcome == node.Rejected && len(result.Faults) == 0:
		return http.StatusOK
	case result.Outcome == node.Rejected:
		return http.StatusConflict
	default:
		return http.StatusServiceUnavailable
	}
}

func (admin *Admin) list(ctx iris.Context) {
	kind := conf.Kind(ctx.Params().Get("kind"))
	name := ctx.URLParam("name")
	state := admin.node.View().State()
	listing := Listing{Revision: state.Revision()}
	for _, resource := range state.List(kind) {
		if name == "" || resource.Name == name {
			listing.Resources = append(listing.Resources, *resource)
		}
	}
	acceptance, err := admin.node.Acceptance(ctx.Request().Context(), state.Revision())
	if err == nil {
		listing.Accepted.Status = acceptance.Accepted
		listing.InForce = Condition{Status: acceptance.InForce, Missing: acceptance.Missing}
	}
	_ = ctx.JSON(listing)
}

// watch responds once the revision is newer than the one given, or after watchTimeout.
func (admin *Admin) watch(ctx iris.Context) {
	after := ctx.URLParamInt64Default("after", 0)
	timeout := time.NewTimer(watchTimeout)
	defer timeout.Stop()
	for {
		view := admin.node.View()
		if view.State().Revision() > after {
			break
		}
		select {
		case <-view.Changed():
			continue
		case <-timeout.C:
		case <-ctx.Request().Context().Done():
			return
		}
		break
	}
	revision := admin.node.View().State().Revision()
	result := ApplyResult{Outcome: node.Committed, Revision: revision}
	if acceptance, err := admin.node.Acceptance(ctx.Request().Context(), revision); err == nil {
		result.Accepted.Status = acceptance.Accepted
		result.InForce = Condition{Status: acceptance.InForce, Missing: acceptance.Missing}
	}
	_ = ctx.JSON(result)
}

func (admin *Admin) grant(ctx iris.Context) {
	request, valid := decodeBody[GrantRequest](ctx)
	if !valid {
		return
	}
	name := randomHex(keyNameBytes)
	key := keys.Format(name, randomHex(secretBytes))
	result := admin.commit(ctx, ApplyRequest{Token: request.Token, Resources: []conf.Resource{{
		Kind: conf.KindKey, Name: name, APIKey: &conf.Key{Workspace: request.Workspace, Hash: keys.Hash(key)},
	}}})
	granted := GrantResult{ApplyResult: result}
	// A repeated request returns the first commit, which holds another key whose secret was not stored.
	if result.Outcome == node.Committed && admin.node.View().State().Key(name) != nil {
		granted.Name, granted.Key = name, key
	}
	ctx.StatusCode(httpStatus(result))
	_ = ctx.JSON(granted)
}

func randomHex(size int) string {
	content := make([]byte, size)
	// crypto/rand.Read never fails.
	_, _ = rand.Read(content)
	return hex.EncodeToString(content)
}

func (admin *Admin) withdraw(ctx iris.Context) {
	request, valid := decodeBody[NamedRequest](ctx)
	if !valid {
		return
	}
	name := request.Name
	if strings.HasPrefix(name, keys.Prefix) {
		name, _ = keys.Identifier(name)
	}
	key := admin.node.View().State().Key(name)
	if key == nil {
		notFound(ctx, conf.Ref{Kind: conf.KindKey, Name: name})
		return
	}
	withdrawn := *key
	withdrawn.Withdrawn = true
	resource := conf.Resource{Kind: conf.KindKey, Name: name, APIKey: &withdrawn}
	admin.respond(ctx, admin.commit(ctx, ApplyRequest{Token: request.Token, Resources: []conf.Resource{resource}}))
}

func (admin *Admin) drain(ctx iris.Context) {
	request, valid := decodeBody[NamedRequest](ctx)
	if !valid {
		return
	}
	if request.DataCentre {
		admin.drainDataCentre(ctx, request)
		return
	}
	ref := conf.Ref{Kind: conf.KindBackendServer, Name: request.Name}
	old := admin.node.View().State().Get(ref)
	if old == nil {
		notFound(ctx, ref)
		return
	}
	server := *old.BackendServer
	server.Draining = !request.Undo
	resource := conf.Resource{Kind: ref.Kind, Name: ref.Name, BackendServer: &server}
	admin.respond(ctx, admin.commit(ctx, ApplyRequest{
		Token: request.Token, Resources: []conf.Resource{resource}, Generations: map[string]int64{ref.String(): old.Generation},
	}))
}

// drainDataCentre drains a data centre, which need not be declared, or ends its drain.
func (admin *Admin) drainDataCentre(ctx iris.Context, request NamedRequest) {
	state, ref := admin.node.View().State(), conf.Ref{Kind: conf.KindDataCentre, Name: request.Name}
	var generation int64
	if old := state.Get(ref); old != nil {
		generation = old.Generation
	} else if !state.HasDataCentre(request.Name) {
		notFound(ctx, ref)
		return
	}
	resource := conf.Resource{Kind: ref.Kind, Name: ref.Name, DataCentre: &conf.DataCentre{Draining: !request.Undo}}
	admin.respond(ctx, admin.commit(ctx, ApplyRequest{
		Token: request.Token, Resources: []conf.Resource{resource}, Generations: map[string]int64{ref.String(): generation},
	}))
}

func notFound(ctx iris.Context, ref conf.Ref) {
	ctx.StatusCode(http.StatusNotFound)
	_ = ctx.JSON(ApplyResult{Outcome: node.Rejected, Faults: []Fault{{Kind: ref.Kind, Name: ref.Name, Message: "does not exist"}}})
}

func (admin *Admin) serveExplain(ctx iris.Context) {
	if question, valid := decodeBody[gate.Question](ctx); valid {
		_ = ctx.JSON(admin.explain(time.Now(), question))
	}
}

func (admin *Admin) status(ctx iris.Context) {
	status, err := admin.node.Status(ctx.Request().Context())
	if err != nil {
		ctx.StatusCode(http.StatusServiceUnavailable)
		_ = ctx.JSON(errorBody{Message: err.Error()})
		return
	}
	_ = ctx.JSON(status)
}

func (admin *Admin) burn(ctx iris.Context) {
	if admin.reports == nil {
		ctx.StatusCode(http.StatusNotFound)
		return
	}
	report, err := admin.reports.Burn(ctx.Request().Context(), time.Now())
	if err != nil {
		ctx.StatusCode(http.StatusServiceUnavailable)
		_ = ctx.JSON(errorBody{Message: err.Error()})
		return
	}
	_ = ctx.JSON(report)
}
