package gate

import (
	"cmp"
	"context"
	"net/http"
	"net/url"
	"strings"
	"time"

	"lentilproxy/core/crash"
	"lentilproxy/core/limit"
	"lentilproxy/core/place"
	"lentilproxy/core/refuse"
	"lentilproxy/io/node"
)

// explainedKey stands for the idempotency key of an explained request, which has none. Whether an order has run before is not
// looked up.
const explainedKey = "explained"

// servicesPrefix starts the paths of requests to plain services.
const servicesPrefix = "/services/"

// Question describes a request of which the choice is explained.
type Question struct {
	Method string `json:"method,omitempty"`
	// Path is that of the callers' interface, with its query.
	Path string `json:"path"`
	Body string `json:"body,omitempty"`
	// Workspace replaces the key of the caller; it is empty for a caller without a key.
	Workspace string `json:"workspace,omitempty"`
}

// Explanation tells where a request would go now, and why. Nothing is sent or charged.
type Explanation struct {
	Host     string `json:"host"`
	Revision int64  `json:"revision"`
	// Fresh reports whether the host can prove that its configuration is current; otherwise it refuses requests.
	Fresh bool `json:"fresh"`
	// ProofAgeMS is the age of the last proof; -1 if there is none.
	ProofAgeMS int64  `json:"proof_age_ms"`
	Route      string `json:"route,omitempty"`
	Model      string `json:"model,omitempty"`
	Workspace  string `json:"workspace,omitempty"`
	// Limit is omitted if the workspace has none.
	Limit *node.LimitState `json:"limit,omitempty"`
	// CrashVerdict is what follows from crashes of servers that ran the request: allow, isolate or refuse.
	CrashVerdict string `json:"crash_verdict,omitempty"`
	node.Candidates
	// Refusal is how the request would be refused now, or omitted.
	Refusal *ExplainedRefusal `json:"refusal,omitempty"`
	// Note tells what the answer leaves open.
	Note string `json:"note,omitempty"`
}

// ExplainedRefusal is the refusal that a request would get.
type ExplainedRefusal struct {
	Status       int         `json:"status"`
	Code         refuse.Code `json:"code"`
	Message      string      `json:"message"`
	RetryAfterMS int64       `json:"retry_after_ms,omitempty"`
}

// Explain tells where a request would go now. It uses the code that serves requests, and changes nothing.
func (gate *Gate) Explain(now time.Time, question Question) Explanation {
	view := gate.node.View()
	explanation := Explanation{
		Host: gate.node.Name(), Revision: view.State().Revision(), Fresh: gate.node.Fresh(now), ProofAgeMS: -1,
		Candidates: node.Candidates{Servers: []node.Candidate{}},
	}
	if age, proven := view.ProofAge(now); proven {
		explanation.ProofAgeMS = age.Milliseconds()
	}
	refusal := gate.explain(now, question, &explanation)
	if refusal == nil && !explanation.Fresh {
		refusal = staleRefusal()
	}
	if refusal != nil {
		explanation.Chosen = ""
		explanation.Refusal = &ExplainedRefusal{
			Status: refusal.Status(), Code: refusal.Code(), Message: refusal.Message(), RetryAfterMS: refusal.RetryAfter().Milliseconds(),
		}
	}
	return explanation
}

func (gate *Gate) explain(now time.Time, question Question, explanation *Explanation) *refuse.Refusal {
	target, err := url.ParseRequestURI(question.Path)
	if err != nil {
		return refuse.NotRun(http.StatusBadRequest, refuse.CodeBadRequest, "the path cannot be read")
	}
	request, err := http.NewRequestWithContext(context.Background(), cmp.Or(question.Method, http.MethodPost), target.String(), strings.NewReader(question.Body))
	if err != nil {
		return refuse.NotRun(http.StatusBadRequest, refuse.CodeBadRequest, "the method cannot be read")
	}
	if int64(len(question.Body)) > gate.settings.Traffic.MaxBodyBytes {
		return refuse.NotRun(http.StatusRequestEntityTooLarge, refuse.CodeBodyTooLarge, "the body exceeds max_body_bytes")
	}
	call := &call{
		gate: gate, request: request, receivedAt: now, body: []byte(question.Body), state: gate.node.View().State(), assumedWorkspace: question.Workspace,
	}
	if question.Workspace != "" && call.state.Workspace(question.Workspace) == nil {
		return refuse.NotRun(http.StatusUnauthorized, refuse.CodeKeyUnknown, "the workspace is not declared")
	}
	if rest, found := strings.CutPrefix(target.Path, servicesPrefix); found {
		service, path, _ := strings.Cut(rest, "/")
		request.SetPathValue("service", service)
		request.SetPathValue("path", path)
		return call.explainService(now, service, explanation)
	}
	if target.Path == "/v1/completions" || target.Path == "/v1/chat/completions" {
		return call.explainCompletion(now, explanation)
	}
	return refuse.NotRun(http.StatusNotFound, refuse.CodeUnknownRoute, "no request is served under this path")
}

func verdictText(verdict crash.Verdict) string {
	switch verdict {
	case crash.Refuse:
		return "refuse"
	case crash.Isolate:
		return "isolate"
	default:
		return "allow"
	}
}

func (call *call) explainService(now time.Time, service string, explanation *Explanation) *refuse.Refusal {
	serviceCall := &serviceCall{call: call, service: service, key: explainedKey}
	explanation.Route = service
	if refusal := serviceCall.admit(); refusal != nil {
		return refusal
	}
	explanation.Workspace = serviceCall.workspace
	refusal := serviceCall.identify()
	explanation.CrashVerdict = verdictText(call.gate.node.Decide(serviceCall.digest))
	explanation.Candidates = call.gate.node.ExplainService(now, service, serviceCall.digest)
	if !serviceCall.route.Repeatable {
		explanation.Note = "an order that has run before for its Idempotency-Key is not sent again"
	}
	if refusal == nil && serviceCall.route.CostTokens > 0 {
		refusal = call.explainLimit(now, float64(serviceCall.route.CostTokens), explanation)
	}
	if refusal == nil && explanation.Chosen == "" {
		refusal = serviceCall.noServerRefusal()
	}
	return refusal
}

func (call *call) explainCompletion(now time.Time, explanation *Explanation) *refuse.Refusal {
	completion := &completion{call: call}
	for _, step := range []func() *refuse.Refusal{completion.decode, completion.admit} {
		if refusal := step(); refusal != nil {
			return refusal
		}
	}
	explanation.Model, explanation.Workspace = completion.model, completion.workspace
	refusal := completion.checkCrashHistory()
	explanation.CrashVerdict = verdictText(completion.verdict)
	explanation.Candidates = call.gate.node.ExplainModel(now, completion.model, completion.adapter.BaseModel)
	if refusal == nil {
		refusal = call.explainLimit(now, completion.cost(), explanation)
	}
	if refusal == nil && len(explanation.Servers) == 0 {
		refusal = placeRefusal(place.RefuseNoEngine)
	}
	if refusal == nil && explanation.Chosen == "" {
		explanation.Note = "the request waits: the owner of the pool decides where the adapter is loaded, or an engine in use gets free"
	}
	return refusal
}

// explainLimit describes the workspace's limit, and returns the refusal of a request that it does not allow now.
func (call *call) explainLimit(now time.Time, cost float64, explanation *Explanation) *refuse.Refusal {
	if call.workspace == "" {
		return nil
	}
	state := call.gate.node.LimitState(now, call.workspace, cost)
	explanation.Limit = state
	switch {
	case state == nil || state.Tokens >= cost:
		return nil
	case cost > call.state.Limit(call.workspace).BurstTokens:
		return limitRefusal(limit.ExceedsBurst)
	default:
		explanation.Note = "other hosts may lend the missing tokens"
		return limitRefusal(limit.Insufficient)
	}
}
