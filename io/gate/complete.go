package gate

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"lentilproxy/core/conf"
	"lentilproxy/core/crash"
	"lentilproxy/core/limit"
	"lentilproxy/core/once"
	"lentilproxy/core/place"
	"lentilproxy/core/refuse"
	"lentilproxy/core/value"
	"lentilproxy/io/block"
	"lentilproxy/io/engine"
	"lentilproxy/io/node"
)

const (
	// maxAttempts bounds the attempts of one completion or of one repeatable service request.
	maxAttempts = 4
	// bytesPerToken estimates the tokens of a prompt, which are charged before an engine has counted them.
	bytesPerToken = 4
	retryBackoff  = 20 * time.Millisecond
	// cancelDelay is the time that an engine may need to detect a closed connection: one decoding step, and more on a
	// busy server.
	cancelDelay = 400 * time.Millisecond
	// defaultRetryAfter is the time after which a caller should retry in most cases.
	defaultRetryAfter = time.Second
	maxTokenCount     = 1 << 20
)

var errCrashed = errors.New("the backend server has crashed")

// completion is a caller's request for a completion.
type completion struct {
	*call
	fields    map[string]json.RawMessage
	stream    bool
	maxTokens int64
	batch     bool
	// model is workspace/adapter@version.
	model   string
	adapter *conf.Adapter
	source  string
	digest  string
	verdict crash.Verdict
	// parts holds the parts by which the request is compared with others, and run the current or last attempt.
	parts   []crash.Part
	run     *block.Run
	receipt *limit.Receipt
	// emitted is the number of tokens sent to the caller.
	emitted int64
	// avoid holds the servers that failed this request.
	avoid value.Set[string]
	// lostInstances lists the instances that turned out not to be loaded.
	lostInstances []string
	// sentAt is when the request was last sent to a server.
	sentAt time.Time
	// suspectRun identifies the run for which the request is registered as a suspect, or is empty.
	suspectRun string
}

func (gate *Gate) serveCompletion(call *call) *refuse.Refusal {
	completion := &completion{call: call, avoid: value.NewSet[string]()}
	for _, step := range []func() *refuse.Refusal{completion.decode, completion.admit, completion.checkCrashHistory, completion.charge} {
		if refusal := step(); refusal != nil {
			return refusal
		}
	}
	defer completion.refundUnused()
	gate.node.CountRequest()
	refusal := completion.serve()
	if refusal != nil && !completion.responseStarted {
		completion.setTimingHeader()
	}
	return refusal
}

// decode parses the fields that the gate uses. All other fields are forwarded unchanged.
func (completion *completion) decode() *refuse.Refusal {
	if err := json.Unmarshal(completion.body, &completion.fields); err != nil {
		return refuse.NotRun(http.StatusBadRequest, refuse.CodeBadRequest, "the body is not a JSON object: "+err.Error())
	}
	var parsed struct {
		Model     string `json:"model"`
		Stream    bool   `json:"stream"`
		MaxTokens *int64 `json:"max_tokens"`
		Priority  string `json:"priority"`
	}
	if err := json.Unmarshal(completion.body, &parsed); err != nil {
		return refuse.NotRun(http.StatusBadRequest, refuse.CodeBadRequest, err.Error())
	}
	if parsed.Model == "" {
		return refuse.NotRun(http.StatusBadRequest, refuse.CodeBadRequest, "model is missing")
	}
	completion.model = parsed.Model
	completion.stream = parsed.Stream
	completion.batch = parsed.Priority == "batch"
	completion.maxTokens = completion.gate.settings.Traffic.DefaultMaxTokens
	if parsed.MaxTokens != nil {
		completion.maxTokens = *parsed.MaxTokens
	}
	if completion.maxTokens < 1 || completion.maxTokens > maxTokenCount {
		return refuse.NotRun(http.StatusBadRequest, refuse.CodeBadRequest, "max_tokens is out of range")
	}
	return nil
}

// admit looks up the adapter version and checks that the key may use it.
func (completion *completion) admit() *refuse.Refusal {
	keyRefusal := completion.authenticate()
	name, version, pinned := strings.Cut(completion.model, "@")
	if !strings.Contains(name, "/") && completion.workspace != "" {
		name = completion.workspace + "/" + name
	}
	owner, _, _ := strings.Cut(name, "/")
	adapter := completion.state.Adapter(name)
	open := adapter != nil && adapter.Open
	if keyRefusal != nil && (!open || completion.presentedKey != "") {
		return keyRefusal
	}
	if !open && owner != completion.workspace {
		return refuse.NotRun(http.StatusForbidden, refuse.CodeWrongWorkspace, "the key belongs to another workspace")
	}
	if adapter == nil {
		return refuse.NotRun(http.StatusNotFound, refuse.CodeUnknownModel, "the adapter is not known")
	}
	if !pinned {
		version = adapter.DefaultVersion
	}
	found := completion.state.Version(name + "@" + version)
	if found == nil {
		return refuse.NotRun(http.StatusNotFound, refuse.CodeUnknownModel, "the adapter has no such version")
	}
	if completion.workspace == "" {
		completion.workspace = owner
	}
	completion.model, completion.adapter, completion.source = name+"@"+version, adapter, found.Source
	return nil
}

// checkCrashHistory refuses a request that has repeatedly crashed backend servers.
func (completion *completion) checkCrashHistory() *refuse.Refusal {
	completion.digest = once.Digest(completion.workspace, completion.model, completion.body)
	completion.verdict = completion.gate.node.Decide(completion.digest)
	if completion.verdict == crash.Refuse {
		return crashSuspectRefusal(crash.RefusalDuration)
	}
	completion.parts = requestParts(completion.model, completion.digest, completion.fields)
	return completion.checkBlocked()
}

// checkBlocked returns the refusal of a completion whose parts are known to crash backend servers.
func (completion *completion) checkBlocked() *refuse.Refusal {
	return completion.gate.checkBlocked(completion.parts)
}

// checkBlocked returns the refusal of a request whose parts are known to crash backend servers.
func (gate *Gate) checkBlocked(parts []crash.Part) *refuse.Refusal {
	if remaining, blocked := gate.node.Blocks().Blocked(time.Now(), parts); blocked {
		return crashSuspectRefusal(remaining)
	}
	return nil
}

// try returns the refusal of a request that must not be sent to a server now, since it is known to crash servers, or may
// crash them and is being tried elsewhere.
func (gate *Gate) try(parts []crash.Part) *refuse.Refusal {
	if remaining, allowed := gate.node.Blocks().Try(time.Now(), parts); !allowed {
		return crashSuspectRefusal(remaining)
	}
	return nil
}

func crashSuspectRefusal(remaining time.Duration) *refuse.Refusal {
	return refuse.NotRun(http.StatusUnprocessableEntity, refuse.CodeCrashSuspect, "backend servers died each time they ran this request").WithRetryAfter(remaining)
}

func (completion *completion) promptTokens() int64 {
	size := len(completion.fields["prompt"]) + len(completion.fields["messages"])
	return int64(size/bytesPerToken) + 1
}

// cost returns the maximum cost of the completion in tokens.
func (completion *completion) cost() float64 {
	return float64(completion.promptTokens() + completion.maxTokens)
}

// charge charges the maximum cost to the workspace's limit.
func (completion *completion) charge() *refuse.Refusal {
	receipt, refusal := completion.call.charge(completion.cost())
	completion.receipt = receipt
	return refusal
}

func (call *call) charge(tokens float64) (*limit.Receipt, *refuse.Refusal) {
	receipt, outcome := call.gate.node.Charge(call.request.Context(), call.workspace, tokens)
	return receipt, limitRefusal(outcome)
}

// limitRefusal returns the refusal of a request that its workspace's limit does not allow, or nil.
func limitRefusal(outcome limit.Outcome) *refuse.Refusal {
	switch outcome {
	case limit.Insufficient:
		return refuse.NotRun(http.StatusTooManyRequests, refuse.CodeOverRate, "the workspace is over its rate").WithRetryAfter(defaultRetryAfter)
	case limit.ExceedsBurst:
		return refuse.NotRun(http.StatusRequestEntityTooLarge, refuse.CodeOverBurst, "the request costs more tokens than the workspace's burst")
	default:
		return nil
	}
}

// refundUnused refunds the charged tokens that were not used.
func (completion *completion) refundUnused() {
	if completion.receipt == nil {
		return
	}
	used := float64(completion.promptTokens() + completion.emitted)
	completion.gate.node.Refund(completion.receipt, max(0, completion.receipt.Tokens()-used))
}

// serve sends the completion to one server after another until one of them responds, within the retry budget.
func (completion *completion) serve() *refuse.Refusal {
	deadline := completion.receivedAt.Add(completion.gate.settings.Traffic.QueueTimeout)
	var refusal *refuse.Refusal
	for try := range maxAttempts {
		if try > 0 {
			if !completion.gate.node.TakeRetry() {
				return refusal
			}
			time.Sleep(retryBackoff << try)
		}
		slot, waitRefusal := completion.reserve(deadline)
		if waitRefusal != nil {
			if refusal != nil {
				return refusal
			}
			return waitRefusal
		}
		next, retry := completion.forward(slot)
		completion.release(slot, next == nil)
		if next == nil {
			return nil
		}
		refusal = refuse.Merge(refusal, next)
		if !retry {
			return refusal
		}
	}
	return refusal
}

// release releases the slot of an instance. A response that was not read to its end is cancelled by closing its
// connection. The engine works on the request until it detects that, so the slot is released after cancelDelay.
func (completion *completion) release(slot *node.Slot, complete bool) {
	if complete {
		slot.Release()
	} else {
		time.AfterFunc(cancelDelay, slot.Release)
	}
	if completion.suspectRun != "" {
		completion.gate.node.StopSuspect(completion.suspectRun, slot.Engine())
		completion.suspectRun = ""
	}
}

// reserve waits for an instance of the adapter version and reserves it.
func (completion *completion) reserve(deadline time.Time) (*node.Slot, *refuse.Refusal) {
	ctx, cancel := context.WithDeadline(completion.request.Context(), deadline)
	defer cancel()
	startedAt := time.Now()
	defer func() { completion.sample.Stall += time.Since(startedAt) }()
	permitRequest := place.PermitRequest{
		Model: completion.model, Workspace: completion.workspace, BaseModel: completion.adapter.BaseModel,
		Source: completion.source, Batch: completion.batch, Weight: 1, Avoid: completion.lostInstances,
	}
	if workspace := completion.state.Workspace(completion.workspace); workspace != nil {
		permitRequest.Weight = workspace.Weight
	}
	for {
		slot, refusal := completion.gate.node.Reserve(ctx, permitRequest, completion.cost(), completion.avoid)
		if refusal == place.RefusePaused {
			return nil, pausedRefusal(completion.gate.node.ModelPause(completion.model))
		}
		if refusal != place.RefuseNone {
			return nil, placeRefusal(refusal)
		}
		if completion.verdict != crash.Isolate {
			return slot, nil
		}
		start := completion.gate.node.StartSuspect(ctx, slot.Engine(), slot.Instance())
		if completion.suspectRun = start.Run; start.Run != "" {
			return slot, nil
		}
		if start.Lost {
			completion.gate.node.MarkLost(slot.Instance())
			completion.lostInstances = append(completion.lostInstances, slot.Instance())
			permitRequest.Avoid = completion.lostInstances
		}
		slot.Release()
		select {
		case <-time.After(retryBackoff + rand.N(retryBackoff)):
		case <-ctx.Done():
			return nil, placeRefusal(place.RefuseTimeout)
		}
	}
}

func pausedRefusal(pause time.Duration) *refuse.Refusal {
	return refuse.NotRun(http.StatusServiceUnavailable, refuse.CodeNoCapacity, "the backend servers have asked for a pause").WithRetryAfter(pause)
}

func placeRefusal(refusal place.Refusal) *refuse.Refusal {
	switch refusal {
	case place.RefuseLoad:
		return refuse.NotRun(http.StatusServiceUnavailable, refuse.CodeLoadFailed, "the adapter could not be loaded").WithRetryAfter(place.LoadFailureExpiry)
	case place.RefuseStale:
		return staleRefusal()
	case place.RefuseNoEngine:
		return refuse.NotRun(http.StatusServiceUnavailable, refuse.CodeNoCapacity, "no engine runs the adapter's base model").WithRetryAfter(defaultRetryAfter)
	default:
		return refuse.NotRun(http.StatusServiceUnavailable, refuse.CodeNoCapacity, "the adapter could not be loaded in time").WithRetryAfter(defaultRetryAfter)
	}
}

// forward sends the completion to one server. retry reports whether another server may be tried.
func (completion *completion) forward(slot *node.Slot) (refusal *refuse.Refusal, retry bool) {
	body, err := completion.instanceBody(slot.Instance())
	if err != nil {
		return refuse.NotRun(http.StatusBadRequest, refuse.CodeBadRequest, err.Error()), false
	}
	ctx, cancel := context.WithTimeout(completion.request.Context(), place.RequestDeadline)
	defer cancel()
	if !slot.Valid(time.Now()) {
		return refuse.NotRun(http.StatusServiceUnavailable, refuse.CodeNoCapacity, "the permit ended").WithRetryAfter(defaultRetryAfter), true
	}
	if refusal = completion.checkBeforeSend(); refusal != nil {
		return refusal, false
	}
	// The verdict may have come while the completion waited, or while it crashed another server.
	if refusal = completion.gate.try(completion.parts); refusal != nil {
		return refusal, false
	}
	completion.sentAt = time.Now()
	completion.run = &block.Run{Server: slot.Engine(), Parts: completion.parts, SentAt: completion.sentAt}
	result := completion.send(ctx, completion.gate.client, "http://"+slot.Address()+completion.request.URL.Path, body)
	if result.err != nil {
		return completion.handleSendError(slot, result)
	}
	defer func() { _ = result.response.Body.Close() }()
	completion.gate.recordNotices(slot.Engine(), result.response)
	if result.response.StatusCode != http.StatusOK {
		return completion.handleErrorStatus(slot, result.response)
	}
	return completion.relay(ctx, cancel, slot, result.response)
}

// instanceBody returns the request body with an instance as its model.
func (completion *completion) instanceBody(instance string) ([]byte, error) {
	name, err := json.Marshal(instance)
	if err != nil {
		return nil, err
	}
	fields := make(map[string]json.RawMessage, len(completion.fields))
	for key, content := range completion.fields {
		fields[key] = content
	}
	fields["model"] = name
	return json.Marshal(fields)
}

// handleSendError handles a request that got no response at all.
func (completion *completion) handleSendError(slot *node.Slot, result sendResult) (*refuse.Refusal, bool) {
	if completion.request.Context().Err() != nil {
		if result.connected {
			completion.gate.watch(completion.run, slot.Address())
		}
		return refuse.MaybeRun(http.StatusServiceUnavailable, refuse.CodeTimeout, "the caller went away"), false
	}
	completion.gate.node.Failed(slot.Engine())
	completion.avoid.Add(slot.Engine())
	if !result.connected {
		completion.lostInstances = append(completion.lostInstances, slot.Instance())
		completion.gate.node.MarkLost(slot.Instance())
		return refuse.NotRun(http.StatusBadGateway, refuse.CodeBackendFailed, "no backend server could be reached").WithRetryAfter(defaultRetryAfter), true
	}
	return completion.handleIncomplete(slot)
}

// handleIncomplete handles a missing or incomplete response. A completion has no side effects, so another server may be
// tried as long as no part of the response was sent to the caller.
func (completion *completion) handleIncomplete(slot *node.Slot) (*refuse.Refusal, bool) {
	completion.gate.node.Failed(slot.Engine())
	completion.avoid.Add(slot.Engine())
	brokeAt := time.Now()
	if completion.instanceLost(completion.request.Context(), slot) {
		completion.gate.node.Blocks().Broken(brokeAt, completion.run)
		completion.lostInstances = append(completion.lostInstances, slot.Instance())
		completion.gate.node.MarkLost(slot.Instance())
		completion.gate.node.ReportCrash(slot.Engine(), slot.Instance(), completion.digest, completion.sentAt)
	}
	completion.verdict = completion.gate.node.Decide(completion.digest)
	if completion.verdict == crash.Refuse {
		// The caller may send the request again to any host.
		completion.gate.node.Blocks().Suspend(brokeAt, completion.parts)
	}
	refusal := refuse.MaybeRun(http.StatusBadGateway, refuse.CodeBackendFailed, "the backend server's answer broke off")
	return refusal, !completion.responseStarted && completion.verdict != crash.Refuse
}

// recordSuccess records that a successful response has ended. If it is a repeat, its server is checked, since the request may
// have crashed it in the end.
func (completion *completion) recordSuccess(slot *node.Slot) {
	completion.gate.recordSuccess(completion.run, func(ctx context.Context) bool { return completion.instanceLost(ctx, slot) })
}

// recordSuccess records that a successful response has ended. The function crashed is called after repeats only.
func (gate *Gate) recordSuccess(run *block.Run, crashed func(ctx context.Context) bool) {
	now, blocks := time.Now(), gate.node.Blocks()
	if !blocks.Repeated(now, run.Parts) {
		blocks.Completed(now, run)
		return
	}
	blocks.Ended(now, run, func(ctx context.Context) error {
		if crashed(ctx) {
			return errCrashed
		}
		return nil
	})
}

// instanceLost reports whether a server is unreachable or no longer holds the instance.
func (completion *completion) instanceLost(ctx context.Context, slot *node.Slot) bool {
	instances, err := engine.New(slot.Address(), completion.gate.client).Instances(context.WithoutCancel(ctx))
	if err != nil {
		return true
	}
	for _, instance := range instances {
		if instance == slot.Instance() {
			return false
		}
	}
	return true
}

// handleErrorStatus handles a response whose status is not 200. Status 404 means that the instance is not loaded, so
// the completion did not run.
func (completion *completion) handleErrorStatus(slot *node.Slot, response *http.Response) (*refuse.Refusal, bool) {
	if response.StatusCode != http.StatusNotFound {
		completion.gate.watch(completion.run, slot.Address())
	}
	switch {
	case response.StatusCode == http.StatusNotFound:
		completion.lostInstances = append(completion.lostInstances, slot.Instance())
		completion.gate.node.MarkLost(slot.Instance())
		return refuse.NotRun(http.StatusServiceUnavailable, refuse.CodeNoCapacity, "the adapter is not loaded").WithRetryAfter(defaultRetryAfter), true
	case response.StatusCode >= http.StatusInternalServerError || response.StatusCode == http.StatusTooManyRequests:
		completion.gate.node.Failed(slot.Engine())
		completion.avoid.Add(slot.Engine())
		return refuse.MaybeRun(http.StatusServiceUnavailable, refuse.CodeBackendRefused, "the backend server refused the request").WithRetryAfter(defaultRetryAfter), true
	default:
		return refuse.MaybeRun(http.StatusBadRequest, refuse.CodeBackendRefused, "the backend server did not accept the request"), false
	}
}
