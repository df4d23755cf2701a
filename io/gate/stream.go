package gate

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"lentilproxy/core/place"
	"lentilproxy/core/refuse"
	"lentilproxy/io/node"
)

const (
	// maxEventBytes bounds one server-sent event.
	maxEventBytes = 1 << 20
	// freshCheck is how often a stream that is held back looks for a new proof.
	freshCheck = 50 * time.Millisecond
	// heldEvents bounds the events that are read ahead while a stream is held back.
	heldEvents = 256
)

var (
	dataPrefix = []byte("data: ")
	doneMarker = []byte("[DONE]")
)

// pass passes an answer on to the caller.
func (completion *completion) pass(ctx context.Context, cancel context.CancelFunc, slot *node.Slot, response *http.Response) (*refuse.Refusal, bool) {
	if !completion.stream {
		return completion.passWhole(slot, response)
	}
	stream := &stream{completion: completion, slot: slot, events: make(chan []byte, heldEvents)}
	go stream.read(ctx, response)
	refusal, again := stream.pass(ctx)
	// The engine stops working on a request whose connection is closed.
	cancel()
	return refusal, again
}

// passWhole passes on an answer that is not streamed.
func (completion *completion) passWhole(slot *node.Slot, response *http.Response) (*refuse.Refusal, bool) {
	content, err := readAnswer(response)
	if err != nil {
		return completion.broken(slot)
	}
	public, tokens, valid := completion.publish(slot.Instance(), content)
	if !valid {
		return completion.mismatch(slot)
	}
	if refusal := completion.awaitFresh(completion.request.Context()); refusal != nil {
		return refusal, false
	}
	completion.emitted = tokens
	completion.sample.FirstToken = time.Since(completion.arrived)
	completion.gate.node.Succeeded(slot.Engine())
	completion.gate.node.ClearSuspect(completion.digest)
	completion.writer.Header().Set("Content-Type", "application/json")
	completion.writer.Header().Set(HeaderVersion, completion.model)
	completion.timing()
	completion.writer.WriteHeader(http.StatusOK)
	_, _ = completion.writer.Write(public)
	return nil, false
}

// timing tells the caller how long the request waited for its adapter.
func (completion *completion) timing() {
	waited := float64(completion.sample.Stall.Microseconds()) / 1000
	completion.writer.Header().Set(HeaderTiming, fmt.Sprintf("load;dur=%.1f", waited))
}

// mismatch handles an answer that names another instance. It is never passed on.
func (completion *completion) mismatch(slot *node.Slot) (*refuse.Refusal, bool) {
	completion.gate.metrics.Counter("wrong_model_answers").Inc(1)
	completion.gate.node.Failed(slot.Engine())
	completion.avoid.Add(slot.Engine())
	return refuse.MaybeRun(http.StatusBadGateway, refuse.CodeWrongModel, "the backend server answered for another adapter"), !completion.passed
}

// publish checks that an answer is the instance's own, and replaces its name by the public one.
func (completion *completion) publish(instance string, content []byte) (public []byte, tokens int64, valid bool) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(content, &fields); err != nil {
		return nil, 0, false
	}
	var model string
	if err := json.Unmarshal(fields["model"], &model); err != nil || model != instance {
		return nil, 0, false
	}
	name, err := json.Marshal(completion.model)
	if err != nil {
		return nil, 0, false
	}
	fields["model"] = name
	var usage struct {
		CompletionTokens int64 `json:"completion_tokens"`
	}
	if raw, found := fields["usage"]; found {
		_ = json.Unmarshal(raw, &usage)
	}
	public, err = json.Marshal(fields)
	return public, usage.CompletionTokens, err == nil
}

// awaitFresh holds an answer back while this host is stale, and ends it if the key was withdrawn.
func (call *call) awaitFresh(ctx context.Context) *refuse.Refusal {
	for {
		if !call.stands() {
			return refuse.MaybeRun(http.StatusUnauthorized, refuse.CodeKeyWithdrawn, "the key was withdrawn")
		}
		if call.gate.node.Fresh(time.Now()) {
			return nil
		}
		select {
		case <-time.After(freshCheck):
		case <-ctx.Done():
			return refuse.MaybeRun(http.StatusGatewayTimeout, refuse.CodeTimeout, "the request took too long")
		}
	}
}

// stream is an answer on its way from an engine to a caller.
type stream struct {
	completion *completion
	slot       *node.Slot
	events     chan []byte
	// err is set before events is closed.
	err  error
	last time.Time
}

// read reads events until the answer ends.
func (stream *stream) read(ctx context.Context, response *http.Response) {
	defer close(stream.events)
	scanner := bufio.NewScanner(response.Body)
	scanner.Buffer(make([]byte, 0, 4096), maxEventBytes)
	for scanner.Scan() {
		content, found := bytes.CutPrefix(scanner.Bytes(), dataPrefix)
		if !found {
			continue
		}
		select {
		case stream.events <- bytes.Clone(content):
		case <-ctx.Done():
			stream.err = ctx.Err()
			return
		}
	}
	stream.err = scanner.Err()
}

// pass passes events on until the end marker. An answer without one is not complete.
func (stream *stream) pass(ctx context.Context) (*refuse.Refusal, bool) {
	completion := stream.completion
	for {
		changed := completion.gate.node.View().Changed()
		if !completion.stands() {
			return refuse.MaybeRun(http.StatusUnauthorized, refuse.CodeKeyWithdrawn, "the key was withdrawn"), false
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return refuse.MaybeRun(http.StatusGatewayTimeout, refuse.CodeTimeout, "the request took too long"), false
		case content, open := <-stream.events:
			if !open {
				return completion.broken(stream.slot)
			}
			if bytes.Equal(content, doneMarker) {
				return stream.end(ctx)
			}
			if refusal, again := stream.event(ctx, content); refusal != nil {
				return refusal, again
			}
		}
	}
}

func (stream *stream) event(ctx context.Context, content []byte) (*refuse.Refusal, bool) {
	completion := stream.completion
	public, _, valid := completion.publish(stream.slot.Instance(), content)
	if !valid {
		return completion.mismatch(stream.slot)
	}
	if refusal := completion.awaitFresh(ctx); refusal != nil {
		return refusal, false
	}
	if err := stream.write(public); err != nil {
		return refuse.MaybeRun(http.StatusServiceUnavailable, refuse.CodeTimeout, "the caller went away"), false
	}
	completion.emitted++
	stream.measure(time.Now())
	return nil, false
}

func (stream *stream) measure(now time.Time) {
	sample := &stream.completion.sample
	if stream.last.IsZero() {
		sample.FirstToken = now.Sub(stream.completion.arrived)
	} else {
		sample.Gaps = append(sample.Gaps, now.Sub(stream.last))
	}
	stream.last = now
}

func (stream *stream) write(content []byte) error {
	completion := stream.completion
	if !completion.passed {
		header := completion.writer.Header()
		header.Set("Content-Type", "text/event-stream")
		header.Set("Cache-Control", "no-store")
		header.Set(HeaderVersion, completion.model)
		completion.timing()
		completion.writer.WriteHeader(http.StatusOK)
		completion.passed = true
	}
	event := make([]byte, 0, len(dataPrefix)+len(content)+2)
	event = append(event, dataPrefix...)
	event = append(event, content...)
	event = append(event, '\n', '\n')
	controller := http.NewResponseController(completion.writer)
	_ = controller.SetWriteDeadline(time.Now().Add(place.RequestDeadline))
	if _, err := completion.writer.Write(event); err != nil {
		return err
	}
	return controller.Flush()
}

func (stream *stream) end(ctx context.Context) (*refuse.Refusal, bool) {
	completion := stream.completion
	if refusal := completion.awaitFresh(ctx); refusal != nil {
		return refusal, false
	}
	completion.gate.node.Succeeded(stream.slot.Engine())
	completion.gate.node.ClearSuspect(completion.digest)
	_ = stream.write(doneMarker)
	return nil, false
}

// cutOff ends an answer of which a part is out: an error event, and then a connection that breaks off.
func (call *call) cutOff(refusal *refuse.Refusal) {
	event := append([]byte("event: error\ndata: "), refusal.Encode(call.id)...)
	_, _ = call.writer.Write(append(event, '\n', '\n'))
	_ = http.NewResponseController(call.writer).Flush()
	panic(http.ErrAbortHandler)
}
