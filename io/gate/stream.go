package gate

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"lentilproxy/core/budget"
	"lentilproxy/core/refuse"
	"lentilproxy/io/hold"
	"lentilproxy/io/link"
	"lentilproxy/io/node"
)

const (
	// maxEventBytes bounds one server-sent event.
	maxEventBytes = 256 << 10
	// freshCheckInterval is how often a response that is held back checks whether the host is fresh again.
	freshCheckInterval = 50 * time.Millisecond
	// maxBufferedEvents bounds the events that are buffered while a stream is held back.
	maxBufferedEvents = 256
	// maxBufferedBytes is the size from which no more events are buffered, and freeBufferedBytes the size up to which they cost no
	// reservation.
	maxBufferedBytes  = 64 << 10
	freeBufferedBytes = 16 << 10
	// roomCheckInterval is how often a stream that waits for its caller checks whether events have been read.
	roomCheckInterval = 5 * time.Millisecond
)

var (
	dataPrefix = []byte("data: ")
	doneMarker = []byte("[DONE]")
	// eventSeparators end events.
	eventSeparators = [][]byte{[]byte("\n\n"), []byte("\r\n\r\n")}
)

// relay forwards a response to the caller. The last result reports whether another server may be tried.
func (completion *completion) relay(ctx context.Context, cancel context.CancelFunc, slot *node.Slot, response *http.Response) (*refuse.Refusal, bool) {
	if !completion.stream {
		return completion.relayBody(slot, response)
	}
	stream := &stream{completion: completion, slot: slot, events: make(chan []byte, maxBufferedEvents)}
	go stream.read(ctx, response)
	refusal, retry := stream.relay(ctx)
	// Cancelling the context closes the connection, and the engine then stops working on the request.
	cancel()
	return refusal, retry
}

// relayBody forwards a response that is not streamed.
func (completion *completion) relayBody(slot *node.Slot, response *http.Response) (*refuse.Refusal, bool) {
	content, err := completion.gate.readBody(sendResult{response: response}, completion.openResponse(), completion.copies())
	if errors.Is(err, hold.ErrNoRoom) {
		completion.gate.watch(completion.run, slot.Address())
		return noRoomForResponse(), false
	}
	if err != nil {
		return completion.handleIncomplete(slot)
	}
	public, tokens, valid := completion.rewriteModel(slot.Instance(), content)
	if !valid {
		return completion.handleWrongModel(slot)
	}
	if refusal := completion.awaitFresh(completion.request.Context()); refusal != nil {
		return refusal, false
	}
	completion.emitted = tokens
	completion.sample.FirstToken = time.Since(completion.receivedAt)
	completion.gate.node.Succeeded(slot.Engine())
	completion.gate.node.ClearSuspect(completion.digest)
	completion.recordSuccess(slot)
	completion.writer.Header().Set("Content-Type", "application/json")
	completion.writer.Header().Set(HeaderVersion, completion.model)
	completion.setTimingHeader()
	completion.writer.WriteHeader(http.StatusOK)
	_ = completion.write(public)
	return nil, false
}

// setTimingHeader sets the header that reports how long the request waited for its adapter.
func (completion *completion) setTimingHeader() {
	waited := float64(completion.sample.Stall.Microseconds()) / 1000
	completion.writer.Header().Set(HeaderTiming, fmt.Sprintf("load;dur=%.1f", waited))
}

// handleWrongModel handles a response that names another instance. Such a response is never forwarded.
func (completion *completion) handleWrongModel(slot *node.Slot) (*refuse.Refusal, bool) {
	completion.gate.metrics.Counter("wrong_model_answers").Inc(1)
	completion.gate.node.Failed(slot.Engine())
	completion.gate.watch(completion.run, slot.Address())
	completion.avoid.Add(slot.Engine())
	return refuse.MaybeRun(http.StatusBadGateway, refuse.CodeWrongModel, "the backend server answered for another adapter"), !completion.responseStarted
}

// rewriteModel checks that a response names the expected instance and replaces that name by the public model name.
func (completion *completion) rewriteModel(instance string, content []byte) (public []byte, tokens int64, valid bool) {
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

// awaitFresh holds a response back while this host is stale. It returns a refusal if the key was withdrawn.
func (call *call) awaitFresh(ctx context.Context) *refuse.Refusal {
	for {
		if !call.keyValid() {
			return refuse.MaybeRun(http.StatusUnauthorized, refuse.CodeKeyWithdrawn, "the key was withdrawn")
		}
		if call.gate.node.Fresh(time.Now()) {
			return nil
		}
		select {
		case <-time.After(freshCheckInterval):
		case <-ctx.Done():
			return refuse.MaybeRun(http.StatusGatewayTimeout, refuse.CodeTimeout, "the request took too long")
		}
	}
}

// stream forwards a streamed response from an engine to a caller.
type stream struct {
	completion *completion
	slot       *node.Slot
	events     chan []byte
	// err is set before events is closed.
	err         error
	lastEventAt time.Time
	// buffered counts the bytes in events. The share is what they hold, and held how many bytes it has granted; only read uses both.
	buffered atomic.Int64
	share    *hold.Share
	held     int64
}

// read reads events until the response ends, or until another response begins. Either may break off an event, which is then dropped.
func (stream *stream) read(ctx context.Context, response *http.Response) {
	defer close(stream.events)
	stream.share = stream.completion.gate.pool.Open(budget.Responses, true, func() {})
	defer stream.share.Close()
	scanner := bufio.NewScanner(stream.completion.gate.bodyReader(response))
	scanner.Buffer(make([]byte, 0, 4096), maxEventBytes)
	scanner.Split(splitEvents)
	for scanner.Scan() {
		if beginsResponse(scanner.Bytes()) {
			stream.completion.gate.countSurplus(response.StatusCode)
			stream.err = link.ErrSecondResponse
			return
		}
		for line := range bytes.Lines(scanner.Bytes()) {
			content, found := bytes.CutPrefix(bytes.TrimRight(line, "\r\n"), dataPrefix)
			if !found {
				continue
			}
			if !stream.awaitRoom(ctx, int64(len(content))) {
				return
			}
			select {
			case stream.events <- bytes.Clone(content):
			case <-ctx.Done():
				stream.err = ctx.Err()
				return
			}
		}
	}
	stream.err = scanner.Err()
}

// awaitRoom waits while many bytes are buffered that the caller has not read. It returns false if the stream has to end.
func (stream *stream) awaitRoom(ctx context.Context, bytes int64) bool {
	for stream.buffered.Load() > maxBufferedBytes {
		select {
		case <-time.After(roomCheckInterval):
		case <-ctx.Done():
			stream.err = ctx.Err()
			return false
		}
	}
	buffered := stream.buffered.Add(bytes)
	if buffered > max(stream.held, freeBufferedBytes) {
		if !stream.share.Grow(buffered-stream.held, responsePatience) {
			stream.err = hold.ErrNoRoom
			return false
		}
		stream.held = buffered
	}
	return true
}

// end handles the end of a response without the end marker.
func (stream *stream) end() (*refuse.Refusal, bool) {
	if errors.Is(stream.err, hold.ErrNoRoom) {
		stream.completion.gate.watch(stream.completion.run, stream.slot.Address())
		return noRoomForResponse(), false
	}
	return stream.completion.handleIncomplete(stream.slot)
}

// beginsResponse reports whether a response begins on a line of an event that is no field and no comment, up to there.
func beginsResponse(event []byte) bool {
	for line := range bytes.Lines(event) {
		if found := statusLine.FindIndex(line); found != nil && !bytes.Contains(line[:found[0]], []byte(":")) {
			return true
		}
	}
	return false
}

// splitEvents is a bufio.SplitFunc that returns events, which end with an empty line. Bytes after the last such line are no
// event.
func splitEvents(content []byte, atEOF bool) (advance int, token []byte, err error) {
	for _, separator := range eventSeparators {
		if before, _, found := bytes.Cut(content, separator); found && (advance == 0 || len(before)+len(separator) < advance) {
			advance, token = len(before)+len(separator), before
		}
	}
	if advance == 0 && atEOF {
		return len(content), nil, nil
	}
	return advance, token, nil
}

// relay forwards events up to the end marker. A response without the end marker is incomplete.
func (stream *stream) relay(ctx context.Context) (*refuse.Refusal, bool) {
	completion := stream.completion
	for {
		changed := completion.gate.node.View().Changed()
		if !completion.keyValid() {
			return refuse.MaybeRun(http.StatusUnauthorized, refuse.CodeKeyWithdrawn, "the key was withdrawn"), false
		}
		select {
		case <-changed:
		case <-ctx.Done():
			completion.gate.watch(completion.run, stream.slot.Address())
			return refuse.MaybeRun(http.StatusGatewayTimeout, refuse.CodeTimeout, "the request took too long"), false
		case content, open := <-stream.events:
			if !open {
				return stream.end()
			}
			stream.buffered.Add(-int64(len(content)))
			if bytes.Equal(content, doneMarker) {
				return stream.finish(ctx)
			}
			if refusal, retry := stream.relayEvent(ctx, content); refusal != nil {
				return refusal, retry
			}
		}
	}
}

func (stream *stream) relayEvent(ctx context.Context, content []byte) (*refuse.Refusal, bool) {
	completion := stream.completion
	public, _, valid := completion.rewriteModel(stream.slot.Instance(), content)
	if !valid {
		return completion.handleWrongModel(stream.slot)
	}
	if refusal := completion.awaitFresh(ctx); refusal != nil {
		return refusal, false
	}
	if err := stream.writeEvent(public); err != nil {
		completion.gate.watch(completion.run, stream.slot.Address())
		return refuse.MaybeRun(http.StatusServiceUnavailable, refuse.CodeTimeout, "the caller went away"), false
	}
	completion.emitted++
	now := time.Now()
	completion.gate.node.Blocks().Progress(now, completion.run)
	stream.recordTiming(now)
	return nil, false
}

func (stream *stream) recordTiming(now time.Time) {
	sample := &stream.completion.sample
	if stream.lastEventAt.IsZero() {
		sample.FirstToken = now.Sub(stream.completion.receivedAt)
	} else {
		sample.Gaps = append(sample.Gaps, now.Sub(stream.lastEventAt))
	}
	stream.lastEventAt = now
}

func (stream *stream) writeEvent(content []byte) error {
	completion := stream.completion
	if !completion.responseStarted {
		header := completion.writer.Header()
		header.Set("Content-Type", "text/event-stream")
		header.Set("Cache-Control", "no-store")
		header.Set(HeaderVersion, completion.model)
		completion.setTimingHeader()
		completion.writer.WriteHeader(http.StatusOK)
		completion.responseStarted = true
	}
	event := make([]byte, 0, len(dataPrefix)+len(content)+2)
	event = append(event, dataPrefix...)
	event = append(event, content...)
	event = append(event, '\n', '\n')
	controller := http.NewResponseController(completion.writer)
	if err := completion.write(event); err != nil {
		return err
	}
	return controller.Flush()
}

func (stream *stream) finish(ctx context.Context) (*refuse.Refusal, bool) {
	completion := stream.completion
	if refusal := completion.awaitFresh(ctx); refusal != nil {
		return refusal, false
	}
	completion.gate.node.Succeeded(stream.slot.Engine())
	completion.gate.node.ClearSuspect(completion.digest)
	completion.recordSuccess(stream.slot)
	_ = stream.writeEvent(doneMarker)
	return nil, false
}

// abortResponse ends a response that has been sent in part: it writes an error event and closes the connection.
func (call *call) abortResponse(refusal *refuse.Refusal) {
	event := append([]byte("event: error\ndata: "), refusal.Encode(call.id)...)
	_, _ = call.writer.Write(append(event, '\n', '\n'))
	_ = http.NewResponseController(call.writer).Flush()
	panic(http.ErrAbortHandler)
}
