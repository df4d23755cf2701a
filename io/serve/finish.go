package serve

import (
	"net/http"
	"strconv"

	"lentilproxy/core/refuse"
	"lentilproxy/core/spec"
	"lentilproxy/io/clock"
)

// successLogInterval is the number of uneventful successes of which one is logged. All refusals and failures are
// logged.
const successLogInterval = 50

// The outcomes of requests, in the log and the metrics.
const (
	outcomeAnswered   = "answered"
	outcomeRefused    = "refused"
	outcomeCut        = "cut"
	outcomeCallerGone = "caller gone"
)

// maxLoggedParts bounds the parts of a prompt in one log line.
const maxLoggedParts = 16

// finish responds to a refused request and records the outcome.
func (call *call) finish(refusal *refuse.Refusal) {
	service := call.service
	service.coordinator.Traffic().Settle(call.receipt, refusal == nil || refusal.Executed() != refuse.ExecutedNo)
	switch {
	case refusal == nil:
	case call.exchange.Disconnected():
		call.outcome = outcomeCallerGone
	case call.exchange.Begun():
		// The connection is closed without the end of the response, so that the caller detects that it is incomplete.
		call.outcome = outcomeCut
	case call.fallback != nil:
		call.respond(call.fallback.status, call.fallback.header, call.fallback.content)
	default:
		call.respondRefusal(refusal)
	}
	call.checkSent()
	now := clock.Now()
	service.latency.RecordDuration(now.Sub(call.receivedAt))
	if !call.sentAt.IsZero() {
		service.firstByte.RecordDuration(call.sentAt.Sub(call.receivedAt))
	}
	service.metrics.Tagged(map[string]string{"outcome": call.outcome, "status": strconv.Itoa(call.status)}).Counter("requests").Inc(1)
	if refusal == nil && call.uneventful() && service.successes.Add(1)%successLogInterval != 0 {
		return
	}
	call.logEnd(refusal)
}

// checkSent corrects the outcome of a request whose response could not be sent to its end, and records a response that was not sent
// because another one had begun.
func (call *call) checkSent() {
	if call.exchange.Suppressed() {
		call.service.metrics.Counter("suppressed_responses").Inc(1)
		call.service.log.Info("response suppressed, since another one had begun", "request", call.info.ID, "status", call.status)
	}
	switch {
	case call.exchange.Complete() || call.outcome != outcomeAnswered && call.outcome != outcomeRefused:
	case call.exchange.Failed():
		call.outcome = outcomeCallerGone
	default:
		call.outcome = outcomeCut
	}
}

// uneventful reports whether the request succeeded on the first server and within its objectives.
func (call *call) uneventful() bool {
	paused := call.route != nil && call.route.GapObjective > 0 && call.longestPause > call.route.GapObjective
	return call.outcome == outcomeAnswered && call.status < http.StatusBadRequest && len(call.servers) == 1 && !paused &&
		call.firstEventAt.Sub(call.receivedAt) <= call.route.Objective
}

func (call *call) respondRefusal(refusal *refuse.Refusal) {
	call.outcome, call.status = outcomeRefused, refusal.Status()
	header := http.Header{"Content-Type": {"application/json"}}
	if wait := refusal.RetryAfterSeconds(); wait != "" {
		header.Set("Retry-After", wait)
	}
	call.exchange.Respond(refusal.Status(), header, refusal.Encode(call.info.ID))
}

// logEnd logs the outcome of a request and the state that determined it.
func (call *call) logEnd(refusal *refuse.Refusal) {
	now := clock.Now()
	operatorsAge, serversAge := call.service.coordinator.Ages(now)
	fields := []any{
		"request", call.info.ID, "outcome", call.outcome, "status", call.status, "ms", now.Sub(call.receivedAt).Milliseconds(),
		"config", call.view.Config.Version(), "config_age_ms", operatorsAge.Milliseconds(), "servers_age_ms", serversAge.Milliseconds(),
		"servers", call.servers, "load_ms", call.loadTime.Milliseconds(), "paced_ms", call.paceTime.Milliseconds(),
	}
	if call.route != nil {
		fields = append(fields, "route", call.route.Name, "workspace", call.workspace.Name, "left_ms", call.deadline.Sub(now).Milliseconds())
	}
	if call.info.Model.Model != "" {
		fields = append(fields, "adapter", call.info.Model.String(), "version", call.view.Versions[call.info.Model])
	}
	if !call.sentAt.IsZero() {
		fields = append(fields, "sent_us", call.sentAt.Sub(call.receivedAt).Microseconds())
	}
	if call.expectedWork > 0 {
		fields = append(fields, "expected_work_ms", call.expectedWork.Milliseconds())
	}
	if !call.firstEventAt.IsZero() {
		fields = append(fields, "first_ms", call.firstEventAt.Sub(call.receivedAt).Milliseconds(), "longest_pause_ms", call.longestPause.Milliseconds())
	}
	if refusal != nil {
		fields = append(fields, "code", refusal.Code(), "reason", refusal.Message(), "executed", refusal.Executed(),
			"retry_after_ms", refusal.RetryAfter().Milliseconds())
		if refusal.Status() == http.StatusTooManyRequests {
			status := call.service.coordinator.Traffic().LimitStatus(now, call.workspace.Name)
			fields = append(fields, "cost", int(call.cost), "level", int(status.Level), "rate", int(status.Rate), "limit", int(status.Limit),
				"loans", status.Loans)
		}
	}
	call.service.log.Info("request ended", fields...)
}

// logAttempt logs an event of an attempt on a server.
func (call *call) logAttempt(server spec.Server, event, detail string, further ...any) {
	call.service.log.Info("attempt ended", append([]any{
		"request", call.info.ID, "server", server.ID, "born", server.StartedMillis, "event", event, "detail", detail,
		"ms", clock.Now().Sub(call.sentAt).Milliseconds(), "left_ms", call.remaining().Milliseconds(), "workspace", call.workspace.Name,
		"began", call.exchange.Begun(), "digest", call.digest, "parts", call.info.PromptParts[:min(len(call.info.PromptParts), maxLoggedParts)],
	}, further...)...)
}
