package serve

import (
	"net/http"
	"strconv"

	"lentilproxy/core/refuse"
	"lentilproxy/core/spec"
	"lentilproxy/io/clock"
)

// logEvery is how many plain successes share one line of the log; refusals and failures are all written.
const logEvery = 50

// finish answers a refused request, and records the outcome.
func (call *call) finish(refusal *refuse.Refusal) {
	service := call.service
	service.coordinator.Traffic().Settle(call.receipt, refusal == nil || refusal.Executed() != refuse.ExecutedNo)
	switch {
	case refusal == nil:
	case call.exchange.Gone():
		call.outcome = "caller gone"
	case call.exchange.Begun():
		// The connection is closed without the end of the answer, so that the caller sees that it is not whole.
		call.outcome = "cut"
	case call.kept != nil:
		call.respond(call.kept.status, call.kept.header, call.kept.content)
	default:
		call.refuse(refusal)
	}
	now := clock.Now()
	service.latency.RecordDuration(now.Sub(call.arrived))
	if !call.sentAt.IsZero() {
		service.firstByte.RecordDuration(call.sentAt.Sub(call.arrived))
	}
	service.metrics.Tagged(map[string]string{"outcome": call.outcome, "status": strconv.Itoa(call.status)}).Counter("requests").Inc(1)
	if refusal == nil && call.plain() && service.answered.Add(1)%logEvery != 0 {
		return
	}
	call.logEnd(refusal)
}

// plain says whether the request succeeded at once and within its objective.
func (call *call) plain() bool {
	return call.outcome == "answered" && call.status < http.StatusBadRequest && len(call.servers) == 1 &&
		call.firstAt.Sub(call.arrived) <= call.route.Objective
}

func (call *call) refuse(refusal *refuse.Refusal) {
	call.outcome, call.status = "refused", refusal.Status()
	header := http.Header{"Content-Type": {"application/json"}}
	if wait := refusal.RetryAfterSeconds(); wait != "" {
		header.Set("Retry-After", wait)
	}
	call.exchange.Respond(refusal.Status(), header, refusal.Encode(call.ask.ID))
}

// logEnd writes how a request ended and what decided it.
func (call *call) logEnd(refusal *refuse.Refusal) {
	now := clock.Now()
	operatorsAge, serversAge := call.service.coordinator.Ages(now)
	fields := []any{
		"request", call.ask.ID, "outcome", call.outcome, "status", call.status, "ms", now.Sub(call.arrived).Milliseconds(),
		"config", call.view.Config.Version(), "config_age_ms", operatorsAge.Milliseconds(), "servers_age_ms", serversAge.Milliseconds(),
		"servers", call.servers, "load_ms", call.loadTime.Milliseconds(),
	}
	if call.route != nil {
		fields = append(fields, "route", call.route.Name, "workspace", call.workspace.Name, "left_ms", call.deadline.Sub(now).Milliseconds())
	}
	if call.ask.Model.Model != "" {
		fields = append(fields, "adapter", call.ask.Model.String(), "version", call.view.Versions[call.ask.Model])
	}
	if !call.sentAt.IsZero() {
		fields = append(fields, "sent_us", call.sentAt.Sub(call.arrived).Microseconds())
	}
	if !call.firstAt.IsZero() {
		fields = append(fields, "first_ms", call.firstAt.Sub(call.arrived).Milliseconds())
	}
	if refusal != nil {
		fields = append(fields, "code", refusal.Code(), "reason", refusal.Message(), "executed", refusal.Executed(),
			"retry_after_ms", refusal.RetryAfter().Milliseconds())
		if refusal.Status() == http.StatusTooManyRequests {
			standing := call.service.coordinator.Traffic().LimitStatus(now, call.workspace.Name)
			fields = append(fields, "cost", int(call.cost), "level", int(standing.Level), "rate", int(standing.Rate), "limit", int(standing.Limit),
				"loans", standing.Loans)
		}
	}
	call.service.log.Info("request ended", fields...)
}

// log writes what happened to a request at a server.
func (call *call) log(server spec.Server, event, detail string) {
	call.service.log.Info("attempt ended", "request", call.ask.ID, "server", server.ID, "born", server.StartedMillis, "event", event, "detail", detail,
		"ms", clock.Now().Sub(call.sentAt).Milliseconds(), "left_ms", call.left().Milliseconds())
}
