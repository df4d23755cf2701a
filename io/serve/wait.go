package serve

import (
	"context"
	"net/http"
	"time"

	"lentilproxy/core/refuse"
	"lentilproxy/core/sched"
	"lentilproxy/core/spec"
	"lentilproxy/io/clock"
	"lentilproxy/io/coord"
)

// longWait is the wait for an adapter or for the sending of a prompt from which on it is logged.
const longWait = 500 * time.Millisecond

// load requests that the adapter be loaded on a server. It reports whether the request can be sent there.
func (call *call) load(choice sched.Choice) bool {
	startedAt := clock.Now()
	left := call.firstEventDeadline.Sub(startedAt) - firstEventMargin
	ctx, cancel := context.WithTimeout(call.ctx, left)
	defer cancel()
	// Without time left, a deadline of 0 would let the load wait for nobody.
	request := coord.LoadRequest{
		Adapter: call.info.Model.Adapter, Due: call.receivedAt.Add(call.route.Objective).Sub(startedAt), Deadline: max(left, time.Millisecond), Left: call.remaining(),
		Priority: call.priority(), Workspace: call.workspace.Name, Digest: call.digest, Refusals: len(call.late),
	}
	if call.exchange.Begun() {
		// The caller has its first event. The request that continues the stream may wait until its end.
		request.Deadline = 0
	}
	result := call.service.coordinator.Load(ctx, choice.Server, request)
	waited := clock.Now().Sub(startedAt)
	call.loadTime += waited
	call.service.metrics.Tagged(map[string]string{"outcome": string(result.Outcome)}).Counter("adapter_loads").Inc(1)
	if waited > longWait || call.loadTime > longWait && call.loadTime-waited <= longWait {
		call.logLoad("adapter awaited", choice.Server.ID, result)
	}
	if result.Outcome == coord.LoadReady {
		return true
	}
	call.full.Add(choice.Server.ID)
	switch {
	case result.Outcome == coord.LoadLate:
		call.late[choice.Server.ID] = result
	case result.Outcome == coord.LoadTimeout && result.Ordered:
		call.slow.Add(choice.Server.ID)
	}
	return false
}

// askAgain reports whether the request may wait again at servers that did not load the adapter within the wait for one load, since no
// other server can. Its place there follows from its due time.
func (call *call) askAgain() bool {
	if len(call.slow) == 0 || call.ctx.Err() != nil || call.firstEventDeadline.Sub(clock.Now()) <= firstEventMargin {
		return false
	}
	for id := range call.slow {
		delete(call.full, id)
	}
	clear(call.slow)
	return true
}

// lateRefusal returns the refusal of a request for which no server was found. It does not wait for its deadline if all that could load the
// adapter have said that they cannot in time. One that has no capacity now may have it while the request waits.
func (call *call) lateRefusal(refusal *refuse.Refusal) *refuse.Refusal {
	if refusal.Code() != refuse.CodeNoCapacity || len(call.late) == 0 || len(call.late) < len(call.full) || call.exchange.Begun() {
		return refusal
	}
	var server string
	var first coord.LoadResult
	for id, result := range call.late {
		if server == "" || result.RetryAfter < first.RetryAfter || result.RetryAfter == first.RetryAfter && id < server {
			server, first = id, result
		}
	}
	call.service.metrics.Tagged(map[string]string{"reason": first.Reason}).Counter("load_refusals").Inc(1)
	call.logLoad("adapter expected too late", server, first)
	refusal = refuse.NotRun(http.StatusServiceUnavailable, refuse.CodeOverloaded, "no backend server can load the adapter in time")
	return refusal.WithRetryAfter(first.RetryAfter)
}

// logLoad logs how long a request has waited for adapters, and what determined it.
func (call *call) logLoad(message, server string, result coord.LoadResult) {
	now := clock.Now()
	fields := []any{
		"request", call.info.ID, "server", server, "adapter", call.info.Model.String(), "outcome", result.Outcome, "reason", result.Reason,
		"workspace", call.workspace.Name, "priority", call.priority(), "ahead", result.Ahead, "waited_ms", call.loadTime.Milliseconds(),
		"first_event_left_ms", call.firstEventDeadline.Sub(now).Milliseconds(),
	}
	if result.Outcome == coord.LoadLate {
		fields = append(fields, "servers", len(call.late), "expected_ms", result.Expected.Sub(now).Milliseconds(), "retry_after_ms", result.RetryAfter.Milliseconds())
	}
	call.service.log.Info(message, fields...)
}

// logPrompt logs that a prompt was held back for long.
func (call *call) logPrompt(server spec.Server, prompt *coord.Prompt, waited time.Duration) {
	if waited <= longWait {
		return
	}
	ahead, forced := prompt.Wait()
	reason := "granted"
	if forced {
		reason = "forced"
	}
	call.service.log.Info("prompt held back", "request", call.info.ID, "server", server.ID, "workspace", call.workspace.Name,
		"priority", call.priority(), "ahead", ahead, "waited_ms", waited.Milliseconds(), "reason", reason)
}
