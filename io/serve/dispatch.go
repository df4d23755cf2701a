package serve

import (
	"net/http"

	"lentilproxy/core/admit"
	"lentilproxy/core/refuse"
	"lentilproxy/core/spec"
	"lentilproxy/core/value"
	"lentilproxy/io/clock"
	"lentilproxy/io/coord"
)

// dispatched is the state of a request to a plain service whose servers are assigned by a dispatcher.
type dispatched struct {
	// assignment is the slot that the request uses, or nil.
	assignment *coord.Assignment
	// declinedBy are the servers that have refused to run the request. They are avoided while the dispatcher has others.
	declinedBy value.Set[string]
}

// dispatch asks the dispatcher of a plain service for a server. decided is false if the host has to choose by itself.
func (call *call) dispatch() (server spec.Server, refusal *refuse.Refusal, decided bool) {
	if call.target.Engine != nil {
		return spec.Server{}, nil, false
	}
	due := call.deadline
	if call.route.Objective > 0 {
		due = call.receivedAt.Add(call.route.Objective)
	}
	avoid := value.NewSet(value.Sorted(call.avoid)...)
	for id := range call.dispatched.declinedBy {
		avoid.Add(id)
	}
	startedAt := clock.Now()
	admission := call.service.coordinator.Dispatch(call.ctx, coord.Demand{
		Service: call.target, Workspace: call.workspace.Name, Digest: call.digest, Class: call.route.Name, Priority: call.priority(), Due: due,
		Deadline: call.deadline, Avoid: avoid,
	})
	if admission.Outcome == coord.NotAdmitted || admission.Waited > 0 {
		call.logAdmission(admission, clock.Now().Sub(startedAt).Milliseconds())
	}
	switch {
	case admission.Outcome == coord.Admitted:
		call.view = call.service.coordinator.View()
		call.dispatched.assignment = admission.Assignment
		return admission.Server, nil, true
	case admission.Outcome == coord.NotAdmitted:
		refusal = refuse.NotRun(http.StatusServiceUnavailable, refuse.CodeOverloaded, "the backend servers are too busy to answer in time")
		return spec.Server{}, refusal.WithRetryAfter(admission.RetryAfter), true
	case call.ctx.Err() != nil:
		// The host has waited until the end, since the dispatcher's refusal was late.
		return spec.Server{}, call.expired(nil).WithRetryAfter(capacityRetryAfter), true
	default:
		return spec.Server{}, nil, false
	}
}

// logAdmission logs the wait or the refusal of a request, and the state that determined it.
func (call *call) logAdmission(admission coord.Admission, millis int64) {
	now := clock.Now()
	call.service.log.Info("request admission", "request", call.info.ID, "admitted", admission.Outcome == coord.Admitted, "reason", admission.Reason,
		"server", admission.Server.ID, "dispatcher", admission.Dispatcher, "service", call.target.Name, "workspace", call.workspace.Name,
		"priority", call.priority(), "ahead", admission.Ahead, "waited_ms", admission.Waited.Milliseconds(), "ms", millis,
		"retry_after_ms", admission.RetryAfter.Milliseconds(), "left_ms", call.deadline.Sub(now).Milliseconds(), "state_age_ms", admission.StateAge.Milliseconds())
}

// countUndispatched records that the host has chosen a server of a plain service by itself.
func (call *call) countUndispatched(server spec.Server) {
	if call.target.Engine == nil {
		call.dispatched.assignment = call.service.coordinator.Undispatched(server)
	}
}

// endAssignment records how the request has ended on the server that was assigned to it, unless that has been recorded.
func (call *call) endAssignment(outcome admit.Outcome) {
	call.dispatched.assignment.End(outcome)
}

// endAttempt records the end of an attempt whose result is known.
func (call *call) endAttempt(result attemptResult, server spec.Server) {
	if result == declined && call.dispatched.assignment != nil {
		if call.dispatched.declinedBy == nil {
			call.dispatched.declinedBy = value.NewSet[string]()
		}
		call.dispatched.declinedBy.Add(server.ID)
	}
	call.endAssignment(call.admissionOutcome(result))
}

func (call *call) admissionOutcome(result attemptResult) admit.Outcome {
	switch {
	case result == declined:
		return admit.OutcomeRejected
	case result == unsent || result == blocked || call.exchange.Disconnected():
		return admit.OutcomeUnused
	case result == failed || call.status >= http.StatusInternalServerError:
		return admit.OutcomeFailed
	default:
		return admit.OutcomeOK
	}
}

// endResponse records that the server has responded in full. The caller may take longer to receive the response.
func (call *call) endResponse(status int) {
	if status >= http.StatusInternalServerError {
		call.endAssignment(admit.OutcomeFailed)
		return
	}
	call.endAssignment(admit.OutcomeOK)
}
