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
	"lentilproxy/io/engine"
)

// PoisonWord in a prompt crashes the engine that runs it.
const PoisonWord = "POISON"

// EngineOptions describes an engine.
type EngineOptions struct {
	Slots int
	// Weights is IP:port of the weight store.
	Weights string
	// ChecksFencing makes the engine refuse orders with an old fencing number.
	ChecksFencing bool
	// StepTime is the time of a decoding step; StepTimePerRequest is added for each running request.
	StepTime           time.Duration
	StepTimePerRequest time.Duration
	// RestartTime is how long the engine is away after a crash.
	RestartTime time.Duration
}

// EngineFault tells an engine how to fail.
type EngineFault struct {
	// Restart ends all requests and empties all slots.
	Restart bool `json:"restart"`
	// FailLoads is the number of loads that fail.
	FailLoads int `json:"fail_loads"`
	// TruncateAfter cuts every stream after a number of tokens; 0 cuts none.
	TruncateAfter int `json:"truncate_after"`
	// WrongModel makes answers name another instance.
	WrongModel bool `json:"wrong_model"`
	// Refuse makes the engine answer 503 to new work.
	Refuse bool `json:"refuse"`
	// SlowCancelMS is the time that the engine takes to notice that a caller has left.
	SlowCancelMS int `json:"slow_cancel_ms"`
}

// EngineStats counts what an engine did.
type EngineStats struct {
	Completions int64 `json:"completions"`
	Tokens      int64 `json:"tokens"`
	Running     int   `json:"running"`
	Cancelled   int64 `json:"cancelled"`
	Crashes     int64 `json:"crashes"`
	Loads       int64 `json:"loads"`
	// UnloadsWhileServing counts unloads that hit an instance with running requests.
	UnloadsWhileServing int64 `json:"unloads_while_serving"`
	// KeysSeen counts requests that contained a caller's key anywhere.
	KeysSeen int64 `json:"keys_seen"`
	// OldOrders counts orders with an older fencing number than one before.
	OldOrders int64 `json:"old_orders"`
	// Steps is the number of decoding steps that the tokens were spread over.
	Steps float64 `json:"steps"`
}

// Engine is the stand-in for a model engine.
type Engine struct {
	options EngineOptions
	mux     *http.ServeMux

	mutex   sync.Mutex
	loaded  map[string]int
	loading map[string]bool
	fencing int64
	fault   EngineFault
	stats   EngineStats
	awayTil time.Time
	// life is cancelled when the engine restarts.
	life context.Context
	end  context.CancelFunc
}

// NewEngine returns an engine with empty slots.
func NewEngine(options EngineOptions) *Engine {
	stand := &Engine{options: options, mux: http.NewServeMux(), loaded: map[string]int{}, loading: map[string]bool{}}
	stand.life, stand.end = context.WithCancel(context.Background())
	stand.mux.HandleFunc("POST /v1/completions", stand.handleCompletion)
	stand.mux.HandleFunc("POST /v1/chat/completions", stand.handleCompletion)
	stand.mux.HandleFunc("POST /v1/load_lora_adapter", stand.handleLoad)
	stand.mux.HandleFunc("POST /v1/unload_lora_adapter", stand.handleUnload)
	stand.mux.HandleFunc("GET /v1/models", stand.handleModels)
	stand.mux.HandleFunc("POST "+PathFault, stand.handleFault)
	stand.mux.HandleFunc("GET "+PathStats, stand.handleStats)
	return stand
}

// ServeHTTP implements http.Handler.
func (stand *Engine) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if strings.HasPrefix(request.URL.Path, "/v1/") && stand.away() {
		cut(writer)
		return
	}
	stand.mux.ServeHTTP(writer, request)
}

func (stand *Engine) away() bool {
	stand.mutex.Lock()
	defer stand.mutex.Unlock()
	return time.Now().Before(stand.awayTil)
}

// Stats returns the counts.
func (stand *Engine) Stats() EngineStats {
	stand.mutex.Lock()
	defer stand.mutex.Unlock()
	return stand.stats
}

// Restart ends all requests and empties all slots.
func (stand *Engine) Restart() {
	stand.mutex.Lock()
	defer stand.mutex.Unlock()
	stand.restart()
}

func (stand *Engine) restart() {
	stand.end()
	stand.life, stand.end = context.WithCancel(context.Background())
	clear(stand.loaded)
	clear(stand.loading)
	stand.fencing = 0
	stand.awayTil = time.Now().Add(stand.options.RestartTime)
}

func (stand *Engine) handleFault(writer http.ResponseWriter, request *http.Request) {
	takeFaults(writer, request, stand.SetFault)
}

// SetFault replaces the faults, and restarts the engine if they say so.
func (stand *Engine) SetFault(fault EngineFault) {
	stand.mutex.Lock()
	defer stand.mutex.Unlock()
	if fault.Restart {
		stand.restart()
	}
	stand.fault = fault
}

func (stand *Engine) handleStats(writer http.ResponseWriter, _ *http.Request) {
	writeJSON(writer, http.StatusOK, stand.Stats())
}

type modelEntry struct {
	ID string `json:"id"`
}

func (stand *Engine) handleModels(writer http.ResponseWriter, _ *http.Request) {
	stand.mutex.Lock()
	defer stand.mutex.Unlock()
	list := struct {
		Data    []modelEntry `json:"data"`
		Running int          `json:"running"`
	}{Data: []modelEntry{}, Running: stand.stats.Running}
	for name := range stand.loaded {
		list.Data = append(list.Data, modelEntry{ID: name})
	}
	writeJSON(writer, http.StatusOK, list)
}

type adapterOrder struct {
	Name string `json:"lora_name"`
	Path string `json:"lora_path"`
}

// fenced says whether an order is refused for its fencing number; it must be called with the mutex held.
func (stand *Engine) fenced(request *http.Request) bool {
	number, _ := strconv.ParseInt(request.Header.Get(engine.FencingHeader), 10, 64)
	if number < stand.fencing {
		stand.stats.OldOrders++
		return stand.options.ChecksFencing
	}
	stand.fencing = number
	return false
}

func (stand *Engine) handleLoad(writer http.ResponseWriter, request *http.Request) {
	var order adapterOrder
	if !readJSON(writer, request, &order) {
		return
	}
	life, status, message := stand.beginLoad(request, order.Name)
	if status != 0 {
		refuse(writer, status, message, "not executed")
		return
	}
	err := stand.fetch(life, order.Path)
	if status, message = stand.endLoad(life, order.Name, err); status != http.StatusOK {
		refuse(writer, status, message, "the adapter was not loaded")
		return
	}
	writeJSON(writer, http.StatusOK, struct{}{})
}

func (stand *Engine) beginLoad(request *http.Request, name string) (life context.Context, status int, code string) {
	stand.mutex.Lock()
	defer stand.mutex.Unlock()
	if stand.fenced(request) {
		return nil, http.StatusConflict, "old_fencing_number"
	}
	if _, found := stand.loaded[name]; found {
		return nil, http.StatusConflict, "already_loaded"
	}
	if len(stand.loaded)+len(stand.loading) >= stand.options.Slots {
		return nil, http.StatusConflict, "no_free_slot"
	}
	stand.loading[name] = true
	stand.stats.Loads++
	return stand.life, 0, ""
}

func (stand *Engine) endLoad(life context.Context, name string, err error) (status int, code string) {
	stand.mutex.Lock()
	defer stand.mutex.Unlock()
	delete(stand.loading, name)
	if stand.fault.FailLoads > 0 {
		stand.fault.FailLoads--
		return http.StatusInternalServerError, "load_failed"
	}
	if err != nil || life.Err() != nil {
		return http.StatusInternalServerError, "load_failed"
	}
	stand.loaded[name] = 0
	return http.StatusOK, ""
}

func (stand *Engine) fetch(ctx context.Context, source string) error {
	if stand.options.Weights == "" {
		return nil
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+stand.options.Weights+"/"+source, nil)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	return response.Body.Close()
}

func (stand *Engine) handleUnload(writer http.ResponseWriter, request *http.Request) {
	var order adapterOrder
	if !readJSON(writer, request, &order) {
		return
	}
	stand.mutex.Lock()
	defer stand.mutex.Unlock()
	if stand.fenced(request) {
		refuse(writer, http.StatusConflict, "old_fencing_number", "not executed")
		return
	}
	running, found := stand.loaded[order.Name]
	if !found {
		refuse(writer, http.StatusNotFound, "unknown_adapter", "not loaded")
		return
	}
	if running > 0 {
		stand.stats.UnloadsWhileServing++
	}
	delete(stand.loaded, order.Name)
	writeJSON(writer, http.StatusOK, struct{}{})
}

// refuse answers with an error in the form that the OpenAI-compatible engines use.
func refuse(writer http.ResponseWriter, status int, code, message string) {
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

func (stand *Engine) handleCompletion(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(io.LimitReader(request.Body, maxBodyBytes))
	if err != nil {
		return
	}
	var completion completionRequest
	if err = json.Unmarshal(body, &completion); err != nil {
		refuse(writer, http.StatusBadRequest, "bad_request", err.Error())
		return
	}
	life, fault, status, code := stand.begin(request, body, completion.Model)
	if status != 0 {
		refuse(writer, status, code, "not executed")
		return
	}
	defer stand.finish(completion.Model)
	run := &engineRun{stand: stand, life: life, fault: fault, completion: completion, writer: writer, request: request}
	run.serve(body)
}

func (stand *Engine) begin(request *http.Request, body []byte, model string) (life context.Context, fault EngineFault, status int, code string) {
	stand.mutex.Lock()
	defer stand.mutex.Unlock()
	if containsKey(request, body) {
		stand.stats.KeysSeen++
	}
	if stand.fault.Refuse {
		return nil, fault, http.StatusServiceUnavailable, "refused"
	}
	if _, found := stand.loaded[model]; !found {
		return nil, fault, http.StatusNotFound, "unknown_adapter"
	}
	stand.loaded[model]++
	stand.stats.Running++
	stand.stats.Completions++
	return stand.life, stand.fault, 0, ""
}

func (stand *Engine) finish(model string) {
	stand.mutex.Lock()
	defer stand.mutex.Unlock()
	if _, found := stand.loaded[model]; found {
		stand.loaded[model]--
	}
	stand.stats.Running--
}

// step returns the time of the next decoding step, and counts a token.
func (stand *Engine) step() time.Duration {
	stand.mutex.Lock()
	defer stand.mutex.Unlock()
	stand.stats.Tokens++
	stand.stats.Steps += 1 / float64(max(1, stand.stats.Running))
	return stand.options.StepTime + time.Duration(stand.stats.Running)*stand.options.StepTimePerRequest
}

func (stand *Engine) crash() {
	stand.mutex.Lock()
	defer stand.mutex.Unlock()
	stand.stats.Crashes++
	stand.restart()
}

// engineRun is one running completion.
type engineRun struct {
	stand      *Engine
	life       context.Context
	fault      EngineFault
	completion completionRequest
	writer     http.ResponseWriter
	request    *http.Request
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
	if bytes.Contains(body, []byte(PoisonWord)) {
		time.Sleep(run.stand.step())
		run.stand.crash()
		cut(run.writer)
		return
	}
	model := run.completion.Model
	if run.fault.WrongModel {
		model = "other/model@v0#0.0"
	}
	if run.completion.Stream {
		run.stream(model)
		return
	}
	text := strings.Builder{}
	for index := range run.tokens() {
		if !run.wait(index) {
			return
		}
		text.WriteString(Token(run.completion.Prompt, run.completion.Messages, index))
	}
	reason := "length"
	writeJSON(run.writer, http.StatusOK, event{
		ID: "cmpl", Object: "text_completion", Model: model,
		Choices: []choice{{Text: text.String(), FinishReason: &reason}}, Usage: &usage{run.tokens()},
	})
}

func (run *engineRun) tokens() int { return max(1, run.completion.MaxTokens) }

// wait passes one decoding step; it says no if the run has ended, and then cuts the connection.
func (run *engineRun) wait(index int) bool {
	if run.fault.TruncateAfter > 0 && index >= run.fault.TruncateAfter {
		cut(run.writer)
		return false
	}
	select {
	case <-time.After(run.stand.step()):
		return true
	case <-run.life.Done():
		cut(run.writer)
	case <-run.request.Context().Done():
		time.Sleep(time.Duration(run.fault.SlowCancelMS) * time.Millisecond)
		run.stand.mutex.Lock()
		run.stand.stats.Cancelled++
		run.stand.mutex.Unlock()
	}
	return false
}

func (run *engineRun) stream(model string) {
	run.writer.Header().Set("Content-Type", "text/event-stream")
	run.writer.WriteHeader(http.StatusOK)
	controller := http.NewResponseController(run.writer)
	_ = controller.Flush()
	for index := range run.tokens() {
		if !run.wait(index) {
			return
		}
		part := event{
			ID: "cmpl", Object: "text_completion", Model: model,
			Choices: []choice{{Text: Token(run.completion.Prompt, run.completion.Messages, index)}},
		}
		if index == run.tokens()-1 {
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
	_, _ = io.WriteString(run.writer, "data: [DONE]\n\n")
	_ = controller.Flush()
}

// Token returns the token that an engine produces at a position, so that callers can check a whole answer.
func Token(prompt, messages json.RawMessage, index int) string {
	return fmt.Sprintf("%08x.%d ", crc32.ChecksumIEEE(append(append([]byte{}, prompt...), messages...)), index)
}

// containsKey searches every part of a request for a caller's key.
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
