package serve

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"lentilproxy/core/cost"
	"lentilproxy/core/refuse"
	"lentilproxy/core/sched"
	"lentilproxy/core/spec"
	"lentilproxy/io/clock"
	"lentilproxy/io/coord"
	"lentilproxy/io/hold"
	"lentilproxy/io/link"
)

const (
	// maxEventBytes bounds one event of a stream.
	maxEventBytes = 256 << 10
	// freeEventBytes is the size up to which pending events cost no reservation, and eventPatience how long a stream waits for one.
	freeEventBytes = 16 << 10
	eventPatience  = 300 * time.Millisecond
)

var (
	errEventTooLong = errors.New("an event of the stream is too long")
	eventSeparators = [][]byte{[]byte("\n\n"), []byte("\r\n\r\n")}
	idPrefix        = []byte("id:")
	dataPrefix      = []byte("data:")
)

// eventReader splits a stream into complete events.
type eventReader struct {
	source  io.Reader
	pending []byte
	buffer  []byte
	err     error
	// grow reserves memory for pending bytes, and held is how many it has granted. It may be nil.
	grow func(bytes int64) bool
	held int
}

func newEventReader(source io.Reader) *eventReader {
	return &eventReader{source: source, buffer: make([]byte, 4<<10)}
}

// next returns the complete events that have arrived, at least one. Bytes after the last complete event stay pending.
func (eventReader *eventReader) next() ([]byte, error) {
	for {
		if end := completeEventsLength(eventReader.pending); end > 0 {
			whole := bytes.Clone(eventReader.pending[:end])
			eventReader.pending = eventReader.pending[end:]
			return whole, nil
		}
		if eventReader.err != nil {
			return nil, eventReader.err
		}
		if len(eventReader.pending) > maxEventBytes {
			return nil, errEventTooLong
		}
		count, err := eventReader.source.Read(eventReader.buffer)
		eventReader.pending = append(eventReader.pending, eventReader.buffer[:count]...)
		eventReader.err = err
		if !eventReader.reserve() {
			return nil, hold.ErrNoRoom
		}
	}
}

// reserve reserves memory for long events. It returns false if there is none.
func (eventReader *eventReader) reserve() bool {
	size := cap(eventReader.pending)
	if eventReader.grow == nil || size <= max(eventReader.held, freeEventBytes) {
		return true
	}
	granted := eventReader.grow(int64(size - eventReader.held))
	eventReader.held = size
	return granted
}

// completeEventsLength returns the length of the complete events at the beginning of the content.
func completeEventsLength(content []byte) int {
	longest := 0
	for _, end := range eventSeparators {
		if index := bytes.LastIndex(content, end); index >= 0 {
			longest = max(longest, index+len(end))
		}
	}
	return longest
}

// lastID returns the ID of the last event, or "" if that event has none, and the number of events, without comments.
func lastID(content []byte) (last string, events int) {
	for len(content) > 0 {
		var event []byte
		event, content = cutEvent(content)
		if id, data := eventID(event); id != "" || data {
			last = id
			events++
		}
	}
	return last, events
}

// cutEvent returns the first of some complete events, with its separator, and the others.
func cutEvent(content []byte) (event, others []byte) {
	end := len(content)
	for _, separator := range eventSeparators {
		if index := bytes.Index(content, separator); index >= 0 {
			end = min(end, index+len(separator))
		}
	}
	return content[:end], content[end:]
}

// eventID returns the ID of an event, or "", and whether the event has data.
func eventID(event []byte) (id string, data bool) {
	for line := range bytes.Lines(event) {
		if field, found := bytes.CutPrefix(bytes.TrimRight(line, "\r\n"), idPrefix); found {
			id = string(bytes.TrimSpace(field))
		}
		data = data || bytes.HasPrefix(line, dataPrefix)
	}
	return id, data
}

// relayStream relays a stream in complete events. A broken stream is resumed on another server if the route allows it.
func (call *call) relayStream(server spec.Server, run *sched.Run, prompt *coord.Prompt, response *link.Response) (attemptResult, *refuse.Refusal) {
	eventReader := newEventReader(response)
	eventReader.grow = func(bytes int64) bool { return call.exchange.ResponseShare().Grow(bytes, eventPatience) }
	objective := call.view.Config.GapObjective(call.target.Name)
	var firstAt, lastAt time.Time
	for {
		content, err := eventReader.next()
		switch {
		case err == nil:
			now := clock.Now()
			call.recordEvents(now, run, content)
			call.service.coordinator.Blocks().Progress(now, call.run)
			prompt.End()
			if !lastAt.IsZero() && objective > 0 {
				call.service.coordinator.RecordPause(now, server, now.Sub(lastAt), objective)
				call.longestPause = max(call.longestPause, now.Sub(lastAt))
			}
			if firstAt.IsZero() {
				firstAt = now
			}
			lastAt = now
			if !call.relayEvents(response, content) {
				call.observeStream(run, firstAt, lastAt, true)
				return call.handleCallerGone(server)
			}
		case errors.Is(err, io.EOF) && len(eventReader.pending) > 0:
			return call.handleBrokenStream(server, "the stream ended within an event", err)
		case errors.Is(err, io.EOF) && lastAt.IsZero() && response.EndsWithConnection():
			// Its end would look the same if the server had crashed before the first event.
			return call.handleBrokenStream(server, "the connection ended before the first event", err)
		case errors.Is(err, io.EOF):
			call.observeStream(run, firstAt, lastAt, false)
			return call.endStream(server, response)
		default:
			if call.ctx.Err() != nil {
				call.observeStream(run, firstAt, lastAt, true)
			}
			return call.handleBrokenStream(server, err.Error(), err)
		}
	}
}

func (call *call) relayEvents(response *link.Response, content []byte) bool {
	if call.exchange.Begun() {
		content = call.dropReceived(content)
		call.recordLastEvent(content)
		return len(content) == 0 || call.exchange.Write(content)
	}
	call.recordLastEvent(content)
	return call.begin(response.Status(), call.service.dialect.ResponseHeader(response.Header()), content)
}

// recordEvents records events that have arrived from a server.
func (call *call) recordEvents(now time.Time, run *sched.Run, content []byte) {
	traffic := call.service.coordinator.Traffic()
	if !traffic.LearnsCost() {
		traffic.RecordFirstEvent(now, run)
		return
	}
	_, events := lastID(content)
	traffic.RecordEvents(now, run, events)
}

// observeStream records what a stream has cost its server. cut means that it was ended early. A part of a stream that was resumed
// is no measure of a request, nor is one without events.
func (call *call) observeStream(run *sched.Run, firstAt, lastAt time.Time, cut bool) {
	if run.Events() == 0 || call.resumed {
		return
	}
	call.service.coordinator.Traffic().Observe(run, cost.Observed{
		FirstEvent: firstAt.Sub(call.sentAt), LastEvent: lastAt.Sub(call.sentAt), Duration: clock.Now().Sub(call.sentAt), Cut: cut,
	})
}

// recordLastEvent records after which event the stream could be resumed.
func (call *call) recordLastEvent(content []byte) {
	if id, events := lastID(content); events > 0 {
		call.lastEvent = id
	}
}

// dropReceived drops events that the caller has already received. A server that resumes a stream may send them again.
func (call *call) dropReceived(content []byte) []byte {
	last, err := strconv.ParseInt(call.lastEvent, 10, 64)
	if err != nil || !call.resumed {
		return content
	}
	var unseen, event []byte
	for len(content) > 0 {
		event, content = cutEvent(content)
		id, _ := eventID(event)
		if number, failure := strconv.ParseInt(id, 10, 64); failure == nil && number <= last {
			continue
		}
		unseen = append(unseen, event...)
	}
	return unseen
}

func (call *call) endStream(server spec.Server, response *link.Response) (attemptResult, *refuse.Refusal) {
	now := clock.Now()
	call.service.coordinator.Traffic().UpdateScheduler(func(scheduler *sched.Scheduler) { scheduler.RecordResponse(now, server.ID, false) })
	call.recordSuccess(now, server, response)
	if !call.exchange.Begun() {
		call.respond(response.Status(), call.service.dialect.ResponseHeader(response.Header()), nil)
		return finished, nil
	}
	call.exchange.End()
	return finished, nil
}

// handleBrokenStream handles a stream that broke off.
func (call *call) handleBrokenStream(server spec.Server, reason string, err error) (attemptResult, *refuse.Refusal) {
	if call.exchange.Disconnected() {
		return call.handleCallerGone(server)
	}
	call.logAttempt(server, "stream broke off", reason)
	if call.ctx.Err() == nil {
		now := clock.Now()
		call.service.coordinator.Traffic().UpdateScheduler(func(scheduler *sched.Scheduler) { scheduler.RecordUnreachable(now, server.ID) })
	}
	call.reportBroken(server, err)
	if call.ctx.Err() != nil {
		return failed, refuse.MaybeRun(http.StatusGatewayTimeout, refuse.CodeTimeout, "the stream did not end in time")
	}
	return failed, refuse.MaybeRun(http.StatusBadGateway, refuse.CodeBackendFailed, "the stream broke off")
}
