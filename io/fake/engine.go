package fake

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"hash/crc32"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"lentilproxy/core/keys"
	engineclient "lentilproxy/io/engine"
)

// PoisonWord in a prompt crashes the engine that runs it.
const PoisonWord = "POISON"

// EngineOptions describes an engine.
type EngineOptions struct {
	// Slots is the number of adapter slots.
	Slots int
	// Weights is IP:port of the weight store.
	Weights string
	// ChecksFencing makes the engine refuse orders with an outdated fencing token.
	ChecksFencing bool
	// StepTime is the base time of a decoding step, and StepTimePerRequest is added for each running request.
	StepTime           time.Duration
	StepTimePerRequest time.Duration
	// RestartTime is how long the engine is unreachable after a crash or a restart.
	RestartTime time.Duration
}

// EngineFault configures the faults of an engine.
type EngineFault struct {
	// Restart aborts all requests and empties all adapter slots.
	Restart bool `json:"restart"`
	// FailLoads is the number of loads that fail.
	FailLoads int `json:"fail_loads"`
	// TruncateAfter is the number of tokens after which the connection of every completion is closed; 0 for never.
	TruncateAfter int `json:"truncate_after"`
	// WrongModel makes responses contain the name of another model.
	WrongModel bool `json:"wrong_model"`
	// Refuse makes the engine refuse new completions with 503, and RetryAfter is the time in seconds for which it asks for none.
	Refuse     bool `json:"refuse"`
	RetryAfter int  `json:"retry_after"`
	// Leaving makes all responses to completions say that the engine is leaving.
	Leaving bool `json:"leaving"`
	// CrashAfter is the number of tokens after which a completion with PoisonWord in its prompt crashes the engine. If it has
	// no more, it crashes the engine after its end.
	CrashAfter int `json:"crash_after"`
	// SlowCancelMS is the time that a cancelled completion continues to run.
	SlowCancelMS int `json:"slow_cancel_ms"`
}

// EngineStats holds the counters of an engine.
type EngineStats struct {
	Completions int64 `json:"completions"`
	// Refused counts completions that were refused with 503.
	Refused   int64 `json:"refused"`
	Tokens    int64 `json:"tokens"`
	Running   int   `json:"running"`
	Cancelled int64 `json:"cancelled"`
	Crashes   int64 `json:"crashes"`
	Loads     int64 `json:"loads"`
	// UnloadsWhileServing counts unloads of adapters with running requests.
	UnloadsWhileServing int64 `json:"unloads_while_serving"`
	// LastViolation describes the last of these unloads.
	LastViolation string `json:"last_violation,omitempty"`
	// KeysSeen counts requests that contained a caller's key anywhere.
	KeysSeen int64 `json:"keys_seen"`
	// OutdatedOrders counts orders whose fencing token is older than that of an earlier order.
	OutdatedOrders int64 `json:"old_orders"`
	// Steps is the number of decoding steps. A step generates one token for each running request, so a token counts as a
	// fraction of a step.
	Steps float64 `json:"steps"`
}

// Engine is a fake model engine.
type Engine struct {
	options EngineOptions
	mux     *http.ServeMux

	mutex sync.Mutex
	// loaded holds the number of running requests of each loaded adapter.
	loaded  map[string]int
	loading map[string]bool
	// runs holds the running completions.
	runs             map[*engineRun]struct{}
	fencingToken     int64
	fault            EngineFault
	stats            EngineStats
	unreachableUntil time.Time
	// incarnation is a context that is cancelled when the engine restarts.
	incarnation    context.Context
	endIncarnation context.CancelFunc
}

// NewEngine returns an engine with empty adapter slots.
func NewEngine(options EngineOptions) *Engine {
	engine := &Engine{options: options, mux: http.NewServeMux(), loaded: map[string]int{}, loading: map[string]bool{}, runs: map[*engineRun]struct{}{}}
	engine.incarnation, engine.endIncarnation = context.WithCancel(context.Background())
	engine.mux.HandleFunc("POST /v1/completions", engine.handleCompletion)
	engine.mux.HandleFunc("POST /v1/chat/completions", engine.handleCompletion)
	engine.mux.HandleFunc("POST /v1/load_lora_adapter", engine.handleLoad)
	engine.mux.HandleFunc("POST /v1/unload_lora_adapter", engine.handleUnload)
	engine.mux.HandleFunc("GET /v1/models", engine.handleModels)
	engine.mux.HandleFunc("POST "+PathFault, engine.handleFault)
	engine.mux.HandleFunc("GET "+PathStats, engine.handleStats)
	return engine
}

// ServeHTTP implements http.Handler.
func (engine *Engine) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if strings.HasPrefix(request.URL.Path, "/v1/") && engine.unreachable() {
		dropConnection(writer)
		return
	}
	engine.mux.ServeHTTP(writer, request)
}

func (engine *Engine) unreachable() bool {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return time.Now().Before(engine.unreachableUntil)
}

// Stats returns the counters.
func (engine *Engine) Stats() EngineStats {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return engine.stats
}

// Restart aborts all requests and empties all adapter slots.
func (engine *Engine) Restart() {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.restart()
}

func (engine *Engine) restart() {
	engine.endIncarnation()
	engine.incarnation, engine.endIncarnation = context.WithCancel(context.Background())
	clear(engine.loaded)
	clear(engine.loading)
	engine.fencingToken = 0
	engine.unreachableUntil = time.Now().Add(engine.options.RestartTime)
}

func (engine *Engine) handleFault(writer http.ResponseWriter, request *http.Request) {
	handleSetFault(writer, request, engine.SetFault)
}

// SetFault replaces the faults, and restarts the engine if they include a restart.
func (engine *Engine) SetFault(fault EngineFault) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if fault.Restart {
		engine.restart()
	}
	engine.fault = fault
}

func (engine *Engine) handleStats(writer http.ResponseWriter, _ *http.Request) {
	writeJSON(writer, http.StatusOK, engine.Stats())
}

type modelEntry struct {
	ID string `json:"id"`
}

func (engine *Engine) handleModels(writer http.ResponseWriter, _ *http.Request) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	list := struct {
		Data    []modelEntry `json:"data"`
		Running int          `json:"running"`
	}{Data: []modelEntry{}, Running: engine.stats.Running}
	for name := range engine.loaded {
		list.Data = append(list.Data, modelEntry{ID: name})
	}
	writeJSON(writer, http.StatusOK, list)
}

type adapterOrder struct {
	Name string `json:"lora_name"`
	Path string `json:"lora_path"`
}

// rejectsFencingToken reports whether an order is refused because of its fencing token. The mutex must be held.
func (engine *Engine) rejectsFencingToken(request *http.Request) bool {
	token, _ := strconv.ParseInt(request.Header.Get(engineclient.FencingHeader), 10, 64)
	if token < engine.fencingToken {
		engine.stats.OutdatedOrders++
		return engine.options.ChecksFencing
	}
	engine.fencingToken = token
	return false
}

func (engine *Engine) handleLoad(writer http.ResponseWriter, request *http.Request) {
	var order adapterOrder
	if !readJSON(writer, request, &order) {
		return
	}
	incarnation, status, code := engine.beginLoad(request, order.Name)
	if status != 0 {
		writeError(writer, status, code, "not executed")
		return
	}
	err := engine.fetchWeights(incarnation, order.Path)
	if status, code = engine.endLoad(incarnation, order.Name, err); status != http.StatusOK {
		writeError(writer, status, code, "the adapter was not loaded")
		return
	}
	writeJSON(writer, http.StatusOK, struct{}{})
}

// beginLoad reserves a slot for an adapter. If it refuses the order, status is not 0.
func (engine *Engine) beginLoad(request *http.Request, name string) (incarnation context.Context, status int, code string) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if engine.rejectsFencingToken(request) {
		return nil, http.StatusConflict, "old_fencing_number"
	}
	if _, found := engine.loaded[name]; found {
		return nil, http.StatusConflict, "already_loaded"
	}
	if len(engine.loaded)+len(engine.loading) >= engine.options.Slots {
		return nil, http.StatusConflict, "no_free_slot"
	}
	engine.loading[name] = true
	engine.stats.Loads++
	return engine.incarnation, 0, ""
}

func (engine *Engine) endLoad(incarnation context.Context, name string, err error) (status int, code string) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if incarnation.Err() != nil {
		// The engine has restarted; another load of the same name may be in progress.
		return http.StatusInternalServerError, "load_failed"
	}
	delete(engine.loading, name)
	if engine.fault.FailLoads > 0 {
		engine.fault.FailLoads--
		return http.StatusInternalServerError, "load_failed"
	}
	if err != nil {
		return http.StatusInternalServerError, "load_failed"
	}
	engine.loaded[name] = 0
	return http.StatusOK, ""
}

func (engine *Engine) fetchWeights(ctx context.Context, source string) error {
	if engine.options.Weights == "" {
		return nil
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+engine.options.Weights+"/"+source, nil)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	return response.Body.Close()
}

func (engine *Engine) handleUnload(writer http.ResponseWriter, request *http.Request) {
	var order adapterOrder
	if !readJSON(writer, request, &order) {
		return
	}
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if engine.rejectsFencingToken(request) {
		writeError(writer, http.StatusConflict, "old_fencing_number", "not executed")
		return
	}
	running, found := engine.loaded[order.Name]
	if !found {
		writeError(writer, http.StatusNotFound, "unknown_adapter", "not loaded")
		return
	}
	if running > 0 {
		engine.stats.UnloadsWhileServing++
		engine.stats.LastViolation = engine.describeViolation(order.Name, request.Header.Get(engineclient.FencingHeader))
	}
	delete(engine.loaded, order.Name)
	writeJSON(writer, http.StatusOK, struct{}{})
}

// describeViolation describes an unload of an adapter with running requests. The mutex must be held.
func (engine *Engine) describeViolation(name, fencingToken string) string {
	now := time.Now()
	text := fmt.Sprintf("%s unloaded %s with fencing token %s", now.Format(time.StampMilli), name, fencingToken)
	for run := range engine.runs {
		if run.completion.Model != name {
			continue
		}
		text += fmt.Sprintf("; request from %s started %s ago", run.request.RemoteAddr, now.Sub(run.startedAt))
		if run.request.Context().Err() != nil {
			text += ", cancelled"
		}
	}
	return text
}

// writeError sends an error response in the format of OpenAI-compatible engines.
func writeError(writer http.ResponseWriter, status int, code, message string) {
	type engineError struct {
		Code    string `json:"code"`
		Message string `json:"message"`
	}
	writeJSON(writer, status, struct {
		Error engineError `json:"error"`
	}{engineError{Code: code, Message: message}})
}

type completionRequest struct {
	Model     string          `json:"model"`
	Prompt    json.RawMessage `json:"prompt"`
	Messages  json.RawMessage `json:"messages"`
	MaxTokens int             `json:"max_tokens"`
	Stream    bool            `json:"stream"`
}

func (engine *Engine) handleCompletion(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(io.LimitReader(request.Body, maxBodyBytes))
	if err != nil {
		return
	}
	var completion completionRequest
	if err = json.Unmarshal(body, &completion); err != nil {
		writeError(writer, http.StatusBadRequest, "bad_request", err.Error())
		return
	}
	incarnation, fault, status, code := engine.begin(request, body, completion.Model)
	setNotices(writer, status, fault.Leaving, fault.RetryAfter)
	if status != 0 {
		writeError(writer, status, code, "not executed")
		return
	}
	run := &engineRun{
		engine: engine, incarnation: incarnation, fault: fault, completion: completion, writer: writer, request: request, startedAt: time.Now(),
	}
	engine.track(run)
	defer engine.finish(run)
	run.serve(body)
}

// begin counts a completion as running. If it refuses the completion, status is not 0.
func (engine *Engine) begin(request *http.Request, body []byte, model string) (incarnation context.Context, fault EngineFault, status int, code string) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if containsKey(request, body) {
		engine.stats.KeysSeen++
	}
	if engine.fault.Refuse {
		engine.stats.Refused++
		return nil, engine.fault, http.StatusServiceUnavailable, "refused"
	}
	if _, found := engine.loaded[model]; !found {
		return nil, engine.fault, http.StatusNotFound, "unknown_adapter"
	}
	engine.loaded[model]++
	engine.stats.Running++
	engine.stats.Completions++
	return engine.incarnation, engine.fault, 0, ""
}

// track adds a completion to the running ones.
func (engine *Engine) track(run *engineRun) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.runs[run] = struct{}{}
}

// finish ends a completion, unless it has ended before. It must be called before the end of the response is written: a
// host that has received it may order an unload at once.
func (engine *Engine) finish(run *engineRun) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if _, running := engine.runs[run]; !running {
		return
	}
	delete(engine.runs, run)
	if _, found := engine.loaded[run.completion.Model]; found {
		engine.loaded[run.completion.Model]--
	}
	engine.stats.Running--
}

// step counts a token and returns the duration of the decoding step that generates it.
func (engine *Engine) step() time.Duration {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.stats.Tokens++
	engine.stats.Steps += 1 / float64(max(1, engine.stats.Running))
	return engine.options.StepTime + time.Duration(engine.stats.Running)*engine.options.StepTimePerRequest
}

func (engine *Engine) crash() {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.stats.Crashes++
	engine.restart()
}

// engineRun is one running completion.
type engineRun struct {
	engine      *Engine
	incarnation context.Context
	fault       EngineFault
	completion  completionRequest
	writer      http.ResponseWriter
	request     *http.Request
	startedAt   time.Time
	// poisoned reports whether the completion crashes the engine.
	poisoned bool
}

type choice struct {
	Index        int     `json:"index"`
	Text         string  `json:"text"`
	FinishReason *string `json:"finish_reason"`
}

type usage struct {
	CompletionTokens int `json:"completion_tokens"`
}

type event struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

func (run *engineRun) serve(body []byte) {
	run.poisoned = bytes.Contains(body, []byte(PoisonWord))
	model := run.completion.Model
	if run.fault.WrongModel {
		model = "other/model@v0#0.0"
	}
	if run.completion.Stream {
		run.stream(model)
		return
	}
	text := strings.Builder{}
	for position := range run.tokens() {
		if !run.waitStep(position) {
			return
		}
		text.WriteString(Token(run.completion.Prompt, run.completion.Messages, position))
	}
	reason := "length"
	run.engine.finish(run)
	if run.poisoned {
		defer run.engine.crash()
	}
	writeJSON(run.writer, http.StatusOK, event{
		ID: "cmpl", Object: "text_completion", Model: model,
		Choices: []choice{{Text: text.String(), FinishReason: &reason}}, Usage: &usage{run.tokens()},
	})
}

func (run *engineRun) tokens() int { return max(1, run.completion.MaxTokens) }

// waitStep waits for one decoding step and reports whether the run continues. It closes the connection if the response
// is truncated or the engine restarts, and counts a cancellation if the request is cancelled.
func (run *engineRun) waitStep(position int) bool {
	if run.poisoned && position >= run.fault.CrashAfter {
		time.Sleep(run.engine.step())
		run.engine.crash()
		dropConnection(run.writer)
		return false
	}
	if run.fault.TruncateAfter > 0 && position >= run.fault.TruncateAfter {
		run.engine.finish(run)
		dropConnection(run.writer)
		return false
	}
	select {
	case <-time.After(run.engine.step()):
		return true
	case <-run.incarnation.Done():
		run.engine.finish(run)
		dropConnection(run.writer)
	case <-run.request.Context().Done():
		time.Sleep(time.Duration(run.fault.SlowCancelMS) * time.Millisecond)
		run.engine.mutex.Lock()
		run.engine.stats.Cancelled++
		run.engine.mutex.Unlock()
	}
	return false
}

func (run *engineRun) stream(model string) {
	run.writer.Header().Set("Content-Type", "text/event-stream")
	run.writer.WriteHeader(http.StatusOK)
	controller := http.NewResponseController(run.writer)
	_ = controller.Flush()
	for position := range run.tokens() {
		if !run.waitStep(position) {
			return
		}
		part := event{
			ID: "cmpl", Object: "text_completion", Model: model,
			Choices: []choice{{Text: Token(run.completion.Prompt, run.completion.Messages, position)}},
		}
		if position == run.tokens()-1 {
			reason := "length"
			part.Choices[0].FinishReason = &reason
		}
		content, err := json.Marshal(part)
		if err != nil {
			return
		}
		if _, err = fmt.Fprintf(run.writer, "data: %s\n\n", content); err != nil {
			return
		}
		_ = controller.Flush()
	}
	run.engine.finish(run)
	_, _ = io.WriteString(run.writer, "data: [DONE]\n\n")
	_ = controller.Flush()
	if run.poisoned {
		run.engine.crash()
	}
}

// Token returns the token that an engine generates at a position. Callers use it to check complete responses.
func Token(prompt, messages json.RawMessage, position int) string {
	return fmt.Sprintf("%08x.%d ", crc32.ChecksumIEEE(append(append([]byte{}, prompt...), messages...)), position)
}

// containsKey reports whether any part of a request contains a caller's key.
func containsKey(request *http.Request, body []byte) bool {
	if bytes.Contains(body, []byte(keys.Prefix)) || strings.Contains(request.RequestURI, keys.Prefix) {
		return true
	}
	for name, values := range request.Header {
		if strings.Contains(name+strings.Join(values, ""), keys.Prefix) {
			return true
		}
	}
	return false
}
