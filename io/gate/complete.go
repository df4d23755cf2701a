package gate

import (
	"context"
	"encoding/json"
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
	"lentilproxy/io/engine"
	"lentilproxy/io/node"
)

const (
	// maxAttempts bounds the servers that one completion is sent to.
	maxAttempts = 4
	// bytesPerToken is how prompts are charged before an engine has counted their tokens.
	bytesPerToken = 4
	retryBackoff  = 20 * time.Millisecond
	// cancelNotice is how long an engine may take to notice that a connection was closed: a step, and a busy machine.
	cancelNotice  = 400 * time.Millisecond
	overRateRetry = time.Second
	maxTokenCount = 1 << 20
)

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
	receipt *limit.Receipt
	// emitted is the number of tokens passed to the caller.
	emitted int64
	// avoid are the servers that failed this request.
	avoid value.Set[string]
	lost  []string
	// sentAt is when the request was last sent to a server.
	sentAt time.Time
	alone  string
}

func (gate *Gate) serveCompletion(call *call) *refuse.Refusal {
	completion := &completion{call: call, avoid: value.NewSet[string]()}
	for _, step := range []func() *refuse.Refusal{completion.decode, completion.admit, completion.judge, completion.charge} {
		if refusal := step(); refusal != nil {
			return refusal
		}
	}
	defer completion.settle()
	gate.node.CountRequest()
	refusal := completion.run()
	if refusal != nil && !completion.passed {
		completion.timing()
	}
	return refusal
}

// decode reads the fields that the gate needs; the others are passed on as they are.
func (completion *completion) decode() *refuse.Refusal {
	if err := json.Unmarshal(completion.body, &completion.fields); err != nil {
		return refuse.NotRun(http.StatusBadRequest, refuse.CodeBadRequest, "the body is not a JSON object: "+err.Error())
	}
	var wanted struct {
		Model     string `json:"model"`
		Stream    bool   `json:"stream"`
		MaxTokens *int64 `json:"max_tokens"`
		Priority  string `json:"priority"`
	}
	if err := json.Unmarshal(completion.body, &wanted); err != nil {
		return refuse.NotRun(http.StatusBadRequest, refuse.CodeBadRequest, err.Error())
	}
	if wanted.Model == "" {
		return refuse.NotRun(http.StatusBadRequest, refuse.CodeBadRequest, "model is missing")
	}
	completion.model = wanted.Model
	completion.stream = wanted.Stream
	completion.batch = wanted.Priority == "batch"
	completion.maxTokens = completion.gate.settings.Traffic.DefaultMaxTokens
	if wanted.MaxTokens != nil {
		completion.maxTokens = *wanted.MaxTokens
	}
	if completion.maxTokens < 1 || completion.maxTokens > maxTokenCount {
		return refuse.NotRun(http.StatusBadRequest, refuse.CodeBadRequest, "max_tokens is out of range")
	}
	return nil
}

// admit finds the adapter version and checks that the key may use it.
func (completion *completion) admit() *refuse.Refusal {
	keyRefusal := completion.authenticate()
	name, version, pinned := strings.Cut(completion.model, "@")
	if !strings.Contains(name, "/") && completion.workspace != "" {
		name = completion.workspace + "/" + name
	}
	owner, _, _ := strings.Cut(name, "/")
	adapter := completion.state.Adapter(name)
	open := adapter != nil && adapter.Open
	if keyRefusal != nil && (!open || completion.presented != "") {
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

// judge refuses requests that have crashed backend servers.
func (completion *completion) judge() *refuse.Refusal {
	completion.digest = once.Digest(completion.workspace, completion.model, completion.body)
	completion.verdict = completion.gate.node.Decide(completion.digest)
	if completion.verdict == crash.Refuse {
		return crashSuspect()
	}
	return nil
}

func crashSuspect() *refuse.Refusal {
	return refuse.NotRun(http.StatusUnprocessableEntity, refuse.CodeCrashSuspect, "backend servers died each time they ran this request").WithRetryAfter(crash.RefusalDuration)
}

func (completion *completion) promptTokens() int64 {
	size := len(completion.fields["prompt"]) + len(completion.fields["messages"])
	return int64(size/bytesPerToken) + 1
}

// cost returns the greatest possible cost, in tokens.
func (completion *completion) cost() float64 {
	return float64(completion.promptTokens() + completion.maxTokens)
}

// charge takes the greatest possible cost from the workspace's limit.
func (completion *completion) charge() *refuse.Refusal {
	receipt, refusal := completion.call.charge(completion.cost())
	completion.receipt = receipt
	return refusal
}

func (call *call) charge(tokens float64) (*limit.Receipt, *refuse.Refusal) {
	receipt, outcome := call.gate.node.Charge(call.request.Context(), call.workspace, tokens)
	switch outcome {
	case limit.Short:
		return nil, refuse.NotRun(http.StatusTooManyRequests, refuse.CodeOverRate, "the workspace is over its rate").WithRetryAfter(overRateRetry)
	case limit.Never:
		return nil, refuse.NotRun(http.StatusRequestEntityTooLarge, refuse.CodeOverBurst, "the request costs more tokens than the workspace's burst")
	default:
		return receipt, nil
	}
}

// settle gives back the tokens that were not used.
func (completion *completion) settle() {
	if completion.receipt == nil {
		return
	}
	used := float64(completion.promptTokens() + completion.emitted)
	completion.gate.node.Refund(completion.receipt, max(0, completion.receipt.Tokens()-used))
}

// run sends the completion to one server after another until one answers.
func (completion *completion) run() *refuse.Refusal {
	deadline := completion.arrived.Add(completion.gate.settings.Traffic.QueueTimeout)
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
		var again bool
		refusal, again = completion.attempt(slot)
		completion.release(slot, refusal == nil)
		if refusal == nil || !again {
			return refusal
		}
	}
	return refusal
}

// release ends the use of an instance. An answer that was not read to its end is cancelled by closing its connection,
// which the engine notices a moment later; it serves until then.
func (completion *completion) release(slot *node.Slot, whole bool) {
	if whole {
		slot.Release()
	} else {
		time.AfterFunc(cancelNotice, slot.Release)
	}
	if completion.alone != "" {
		completion.gate.node.StopSuspect(completion.digest, completion.alone)
		completion.alone = ""
	}
}

// reserve waits for an instance of the adapter version.
func (completion *completion) reserve(deadline time.Time) (*node.Slot, *refuse.Refusal) {
	ctx, cancel := context.WithDeadline(completion.request.Context(), deadline)
	defer cancel()
	began := time.Now()
	defer func() { completion.sample.Stall += time.Since(began) }()
	want := place.PermitRequest{
		Model: completion.model, Workspace: completion.workspace, BaseModel: completion.adapter.BaseModel,
		Source: completion.source, Batch: completion.batch, Weight: 1, Avoid: completion.lost,
	}
	if workspace := completion.state.Workspace(completion.workspace); workspace != nil {
		want.Weight = workspace.Weight
	}
	for {
		slot, refusal := completion.gate.node.Reserve(ctx, want, completion.cost(), completion.avoid)
		if refusal != place.RefuseNone {
			return nil, placeRefusal(refusal)
		}
		if completion.verdict != crash.Isolate || completion.gate.node.StartSuspect(ctx, completion.digest, slot.Engine()) {
			if completion.verdict == crash.Isolate {
				completion.alone = slot.Engine()
			}
			return slot, nil
		}
		slot.Release()
		select {
		case <-time.After(retryBackoff + rand.N(retryBackoff)):
		case <-ctx.Done():
			return nil, placeRefusal(place.RefuseTimeout)
		}
	}
}

func placeRefusal(refusal place.Refusal) *refuse.Refusal {
	switch refusal {
	case place.RefuseLoad:
		return refuse.NotRun(http.StatusServiceUnavailable, refuse.CodeLoadFailed, "the adapter could not be loaded").WithRetryAfter(place.LoadFailureExpiry)
	case place.RefuseStale:
		return stale()
	case place.RefuseNoEngine:
		return refuse.NotRun(http.StatusServiceUnavailable, refuse.CodeNoCapacity, "no engine runs the adapter's base model").WithRetryAfter(overRateRetry)
	default:
		return refuse.NotRun(http.StatusServiceUnavailable, refuse.CodeNoCapacity, "the adapter could not be loaded in time").WithRetryAfter(overRateRetry)
	}
}

// attempt sends the completion to one server, and says whether another may be tried.
func (completion *completion) attempt(slot *node.Slot) (refusal *refuse.Refusal, again bool) {
	body, err := completion.bodyFor(slot.Instance())
	if err != nil {
		return refuse.NotRun(http.StatusBadRequest, refuse.CodeBadRequest, err.Error()), false
	}
	ctx, cancel := context.WithTimeout(completion.request.Context(), place.RequestDeadline)
	defer cancel()
	if !slot.Valid(time.Now()) {
		return refuse.NotRun(http.StatusServiceUnavailable, refuse.CodeNoCapacity, "the permit ended").WithRetryAfter(overRateRetry), true
	}
	if refusal = completion.mayLeave(); refusal != nil {
		return refusal, false
	}
	completion.sentAt = time.Now()
	try := completion.send(ctx, completion.gate.engines, "http://"+slot.Address()+completion.request.URL.Path, body)
	if try.err != nil {
		return completion.unanswered(slot, try)
	}
	defer func() { _ = try.response.Body.Close() }()
	if try.response.StatusCode != http.StatusOK {
		return completion.turnedDown(slot, try.response)
	}
	return completion.pass(ctx, cancel, slot, try.response)
}

// bodyFor names the instance in the body.
func (completion *completion) bodyFor(instance string) ([]byte, error) {
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

// unanswered handles a request that got no answer at all.
func (completion *completion) unanswered(slot *node.Slot, try attempt) (*refuse.Refusal, bool) {
	if completion.request.Context().Err() != nil {
		return refuse.MaybeRun(http.StatusServiceUnavailable, refuse.CodeTimeout, "the caller went away"), false
	}
	completion.gate.node.Failed(slot.Engine())
	completion.avoid.Add(slot.Engine())
	if !try.touched {
		completion.lost = append(completion.lost, slot.Instance())
		completion.gate.node.MarkLost(slot.Instance())
		return refuse.NotRun(http.StatusBadGateway, refuse.CodeBackendFailed, "no backend server could be reached").WithRetryAfter(overRateRetry), true
	}
	return completion.broken(slot)
}

// broken handles an answer that ended too early. A completion has no effect, so it may be tried elsewhere as long
// as nothing has reached the caller.
func (completion *completion) broken(slot *node.Slot) (*refuse.Refusal, bool) {
	completion.gate.node.Failed(slot.Engine())
	completion.avoid.Add(slot.Engine())
	if completion.died(slot) {
		completion.lost = append(completion.lost, slot.Instance())
		completion.gate.node.MarkLost(slot.Instance())
		completion.gate.node.ReportCrash(slot.Engine(), slot.Instance(), slot.Instance(), completion.digest, completion.sentAt)
	}
	completion.verdict = completion.gate.node.Decide(completion.digest)
	refusal := refuse.MaybeRun(http.StatusBadGateway, refuse.CodeBackendFailed, "the backend server's answer broke off")
	return refusal, !completion.passed && completion.verdict != crash.Refuse
}

// died says whether a server has lost the instance that it was running.
func (completion *completion) died(slot *node.Slot) bool {
	instances, err := engine.New(slot.Address(), completion.gate.engines).Instances(context.WithoutCancel(completion.request.Context()))
	if err != nil {
		return true
	}
	for _, held := range instances {
		if held == slot.Instance() {
			return false
		}
	}
	return true
}

// turnedDown handles an answer that proves that the completion did not run.
func (completion *completion) turnedDown(slot *node.Slot, response *http.Response) (*refuse.Refusal, bool) {
	switch {
	case response.StatusCode == http.StatusNotFound:
		completion.lost = append(completion.lost, slot.Instance())
		completion.gate.node.MarkLost(slot.Instance())
		return refuse.NotRun(http.StatusServiceUnavailable, refuse.CodeNoCapacity, "the adapter is not loaded").WithRetryAfter(overRateRetry), true
	case response.StatusCode >= http.StatusInternalServerError || response.StatusCode == http.StatusTooManyRequests:
		completion.gate.node.Failed(slot.Engine())
		completion.avoid.Add(slot.Engine())
		return refuse.MaybeRun(http.StatusServiceUnavailable, refuse.CodeBackendRefused, "the backend server refused the request").WithRetryAfter(overRateRetry), true
	default:
		return refuse.MaybeRun(http.StatusBadRequest, refuse.CodeBackendRefused, "the backend server did not accept the request"), false
	}
}
