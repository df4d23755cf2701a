package serve

import (
	"net/http"
	"time"

	"lentilproxy/core/limit"
	"lentilproxy/core/refuse"
	"lentilproxy/core/sched"
	"lentilproxy/core/value"
	"lentilproxy/io/front"
)

// Question describes a request of which the choice is explained.
type Question struct {
	Method string
	Host   string
	// Target is the path with its query.
	Target string
	// Header holds the headers of the request, as a caller would send them.
	Header http.Header
	Body   []byte
	// Workspace replaces the key of the caller, if it is not empty.
	Workspace string
}

// Explanation tells where a request would go now, and why.
type Explanation struct {
	// Config is the version of the configuration in force. The ages are those of the state that decides.
	Config         int64  `json:"config"`
	OperatorsAgeMS int64  `json:"config_age_ms"`
	ServersAgeMS   int64  `json:"servers_age_ms"`
	Route          string `json:"route,omitempty"`
	Service        string `json:"service,omitempty"`
	Workspace      string `json:"workspace,omitempty"`
	Adapter        string `json:"adapter,omitempty"`
	// Limit is omitted if the workspace has none.
	Limit *LimitState `json:"limit,omitempty"`
	sched.Explanation
	// Refusal is how the request would be refused now, or omitted.
	Refusal *ExplainedRefusal `json:"refusal,omitempty"`
	Note    string            `json:"note,omitempty"`
}

// LimitState is the part of a workspace's limit that this host holds, and what the request would charge.
type LimitState struct {
	Level float64 `json:"level"`
	Rate  float64 `json:"rate"`
	Limit float64 `json:"limit"`
	Cost  float64 `json:"cost"`
	Loans int     `json:"loans"`
}

// ExplainedRefusal is the refusal that a request would get.
type ExplainedRefusal struct {
	Status       int         `json:"status"`
	Code         refuse.Code `json:"code"`
	Message      string      `json:"message"`
	RetryAfterMS int64       `json:"retry_after_ms,omitempty"`
}

// Explain tells where a request would go now. It uses the code that serves requests, and changes nothing.
func (service *Service) Explain(question Question) Explanation {
	call := &call{
		service: service, avoid: value.NewSet[string](), full: value.NewSet[string](),
		exchange: front.NewExchange(question.Method, question.Host, question.Target, question.Header, question.Body), assumedWorkspace: question.Workspace,
	}
	call.receive()
	now, view := call.receivedAt, call.view
	operators, servers := service.coordinator.Ages(now)
	explanation := Explanation{
		Config: view.Config.Version(), OperatorsAgeMS: operators.Milliseconds(), ServersAgeMS: servers.Milliseconds(),
		Explanation: sched.Explanation{Servers: []sched.Explained{}},
	}
	if refusal := call.explain(now, &explanation); refusal != nil {
		explanation.Refusal = &ExplainedRefusal{
			Status: refusal.Status(), Code: refusal.Code(), Message: refusal.Message(), RetryAfterMS: refusal.RetryAfter().Milliseconds(),
		}
	}
	return explanation
}

func (call *call) explain(now time.Time, explanation *Explanation) *refuse.Refusal {
	if _, found := call.view.Config.Workspaces()[call.assumedWorkspace]; !found && call.assumedWorkspace != "" {
		return refuse.NotRun(http.StatusUnauthorized, refuse.CodeKeyUnknown, "the workspace is not declared")
	}
	refusal := call.examine()
	if call.route == nil || call.target.Name == "" {
		return refusal
	}
	explanation.Route, explanation.Service, explanation.Workspace = call.route.Name, call.target.Name, call.workspace.Name
	if call.info.Model.Model != "" {
		explanation.Adapter = call.info.Model.String()
	}
	explanation.Explanation = call.service.coordinator.Traffic().Explain(now, call.target, call.view, call.job())
	if refusal == nil {
		refusal = call.explainLimit(now, explanation)
	}
	if refusal != nil {
		return refusal
	}
	choice, found := explanation.Choice()
	if refusal = call.choiceRefusal(now, choice, found); refusal != nil && refusal.Code() != refuse.CodeOverloaded {
		explanation.Note = "the request first waits for a server until it has waited for a part of its objective"
	}
	return refusal
}

// explainLimit describes the workspace's limit, and returns the refusal of a request that it does not allow now.
func (call *call) explainLimit(now time.Time, explanation *Explanation) *refuse.Refusal {
	if call.workspace.Rate <= 0 {
		return nil
	}
	call.cost = call.limitCost()
	status := call.service.coordinator.Traffic().LimitStatus(now, call.workspace.Name)
	explanation.Limit = &LimitState{Level: status.Level, Rate: status.Rate, Limit: status.Limit, Cost: call.cost, Loans: status.Loans}
	switch {
	case call.cost > call.workspace.Burst+status.Overdraft:
		return call.limitRefusal(limit.ExceedsBurst)
	case call.cost > status.Level+status.Overdraft:
		explanation.Note = "other hosts may lend the missing part"
		return call.limitRefusal(limit.Insufficient)
	default:
		return nil
	}
}
