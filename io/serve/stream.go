package serve

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"

	"lentilproxy/core/refuse"
	"lentilproxy/core/sched"
	"lentilproxy/core/spec"
	"lentilproxy/io/clock"
	"lentilproxy/io/link"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

var (
	errLongEvent = errors.New("an event of the stream is too long")
	eventEnds    = [][]byte{[]byte("\n\n"), []byte("\r\n\r\n")}
	idField      = []byte("id:")
)

// events cuts a stream into whole events.
type events struct {
	source io.Reader
	rest   []byte
	buffer []byte
	err    error
}

func newEvents(source io.Reader) *events {
	return &events{source: source, buffer: make([]byte, 4<<10)}
}

// next returns the events that have arrived whole, at least one. Bytes behind the last whole event are held back.
func (events *events) next() ([]byte, error) {
	for {
		if end := wholeEvents(events.rest); end > 0 {
			whole := bytes.Clone(events.rest[:end])
			events.rest = events.rest[end:]
			return whole, nil
		}
		if events.err != nil {
			return nil, events.err
		}
		if len(events.rest) > maxEventBytes {
			return nil, errLongEvent
		}
		count, err := events.source.Read(events.buffer)
		events.rest = append(events.rest, events.buffer[:count]...)
		events.err = err
	}
}

// wholeEvents returns the length of the whole events at the beginning of a stream.
func wholeEvents(content []byte) int {
	longest := 0
	for _, end := range eventEnds {
		if index := bytes.LastIndex(content, end); index >= 0 {
			longest = max(longest, index+len(end))
		}
	}
	return longest
}

// lastID returns the ID of the last event that has one.
func lastID(content []byte) string {
	last := ""
	for _, line := range bytes.Split(content, []byte("\n")) {
		if field, found := bytes.CutPrefix(bytes.TrimRight(line, "\r"), idField); found {
			last = string(bytes.TrimSpace(field))
		}
	}
	return last
}

// stream passes a stream on event by event. Where the route allows it, another server goes on with one that broke off.
func (call *call) stream(server spec.Server, run *sched.Run, response *link.Response) (verdict, *refuse.Refusal) {
	events := newEvents(response)
	for {
		content, err := events.next()
		switch {
		case err == nil:
			call.service.coordinator.Traffic().RecordFirstEvent(clock.Now(), run)
			if !call.passEvents(response, content) {
				return call.abandoned()
			}
		case errors.Is(err, io.EOF) && len(events.rest) == 0:
			return call.streamEnded(server, response)
		case errors.Is(err, io.EOF):
			return call.streamBroken(server, "the stream ended within an event")
		default:
			return call.streamBroken(server, err.Error())
		}
	}
}

func (call *call) passEvents(response *link.Response, content []byte) bool {
	if call.exchange.Begun() {
		content = call.afterLast(content)
		call.remember(content)
		return len(content) == 0 || call.exchange.Write(content)
	}
	call.remember(content)
	call.begin(response.Status(), call.service.dialect.ResponseHeader(response.Header()), content)
	return !call.exchange.Gone()
}

func (call *call) remember(content []byte) {
	if last := lastID(content); last != "" {
		call.lastEvent = last
	}
}

// afterLast drops events that the caller has already got, which a server may send again when it goes on with a stream.
func (call *call) afterLast(content []byte) []byte {
	last, err := strconv.ParseInt(call.lastEvent, 10, 64)
	if err != nil || !call.resumed {
		return content
	}
	var kept []byte
	for len(content) > 0 {
		end := len(content)
		for _, separator := range eventEnds {
			if index := bytes.Index(content, separator); index >= 0 {
				end = min(end, index+len(separator))
			}
		}
		event := content[:end]
		content = content[end:]
		if number, failure := strconv.ParseInt(lastID(event), 10, 64); failure == nil && number <= last {
			continue
		}
		kept = append(kept, event...)
	}
	return kept
}

func (call *call) streamEnded(server spec.Server, response *link.Response) (verdict, *refuse.Refusal) {
	now := clock.Now()
	call.service.coordinator.Traffic().UpdateScheduler(func(scheduler *sched.Scheduler) { scheduler.RecordResponse(now, server.ID, false) })
	call.cleared()
	if !call.exchange.Begun() {
		call.respond(response.Status(), call.service.dialect.ResponseHeader(response.Header()), nil)
		return finished, nil
	}
	call.exchange.End()
	return finished, nil
}

// streamBroken decides what becomes of a stream that broke off.
func (call *call) streamBroken(server spec.Server, reason string) (verdict, *refuse.Refusal) {
	if call.exchange.Gone() {
		return call.abandoned()
	}
	call.log(server, "stream broke off", reason)
	if call.ctx.Err() == nil {
		now := clock.Now()
		call.service.coordinator.Traffic().UpdateScheduler(func(scheduler *sched.Scheduler) { scheduler.RecordUnreachable(now, server.ID) })
		call.suspect(server)
	}
	if call.ctx.Err() != nil {
		return failed, refuse.MaybeRun(http.StatusGatewayTimeout, refuse.CodeTimeout, "the stream did not end in time")
	}
	return failed, refuse.MaybeRun(http.StatusBadGateway, refuse.CodeBackendFailed, "the stream broke off")
}
