package gate

import (
	"errors"
	"io"
	"net/http"
	"time"

	"lentilproxy/core/budget"
	"lentilproxy/core/keys"
	"lentilproxy/core/refuse"
	"lentilproxy/io/hold"
)

const (
	// bodyTimeout bounds the time to read the body of a request.
	bodyTimeout = 30 * time.Second
	// maxDiscardBytes is the size up to which the body of a refused request is discarded, and discardTimeout bounds the time for it.
	maxDiscardBytes = 64 << 10
	discardTimeout  = 2 * time.Second
	// writeTimeout bounds the time for which a caller that does not read may block the write of a piece of a response.
	writeTimeout = 10 * time.Second
	// writePieceBytes is the size of these pieces.
	writePieceBytes = 64 << 10
	// responsePatience is how long a response waits for memory. A caller that does not read loses its place before.
	responsePatience = 3 * time.Second
	// completionCopies is how often the body of a completion or of its response is held: as it was read, in its decoded fields, and as
	// it is sent.
	completionCopies = 3
	// progressBytes is the part of a body whose arrival counts as progress of its connection.
	progressBytes = 64 << 10
	// noRoomRetryAfter is the time after which a caller should send a request again for which there was no memory.
	noRoomRetryAfter = time.Second
)

// pastDeadline is a deadline that makes a pending read or write fail immediately.
var pastDeadline = time.Unix(1, 0)

// copies returns how often the bodies of the call and of its response are held.
func (call *call) copies() int64 {
	if call.request.PathValue("service") != "" {
		return 1
	}
	return completionCopies
}

// readBody reads the body, if the head does not suffice to refuse the request.
func (call *call) readBody() *refuse.Refusal {
	if call.request.ContentLength == 0 {
		return call.beginServing()
	}
	limit := call.gate.settings.Traffic.MaxBodyBytes
	if call.request.ContentLength > limit {
		return call.bodyTooLarge()
	}
	known, refusal := call.checkHead()
	if refusal != nil {
		return refusal
	}
	controller := http.NewResponseController(call.writer)
	_ = controller.SetReadDeadline(time.Now().Add(bodyTimeout))
	call.bodyShare = call.gate.pool.Open(budget.Bodies, known, func() { _ = controller.SetReadDeadline(pastDeadline) })
	call.bodyShare.Expose()
	source := &progressReader{source: http.MaxBytesReader(call.writer, call.request.Body, limit), call: call}
	body, err := call.bodyShare.ReadAll(source, call.request.ContentLength, limit, call.copies())
	kept := call.bodyShare.Pin()
	var tooLarge *http.MaxBytesError
	switch {
	case !kept, errors.Is(err, hold.ErrNoRoom):
		return call.noRoom()
	case errors.As(err, &tooLarge):
		return call.bodyTooLarge()
	case err != nil:
		return refuse.NotRun(http.StatusBadRequest, refuse.CodeBadRequest, "the body could not be read")
	}
	_ = controller.SetReadDeadline(time.Time{})
	call.body = body
	return call.beginServing()
}

// beginServing makes sure that the connection has not been closed for another one.
func (call *call) beginServing() *refuse.Refusal {
	if hold.SetState(call.request.Context(), budget.Serving) {
		return nil
	}
	return call.noRoom()
}

// noRoom returns the refusal of a request for which there is no memory. The rest of its body is not read.
func (call *call) noRoom() *refuse.Refusal {
	call.writer.Header().Set("Connection", "close")
	return refuse.NotRun(http.StatusServiceUnavailable, refuse.CodeOverloaded, "there is no memory for the request").WithRetryAfter(noRoomRetryAfter)
}

func (call *call) bodyTooLarge() *refuse.Refusal {
	call.writer.Header().Set("Connection", "close")
	return refuse.NotRun(http.StatusRequestEntityTooLarge, refuse.CodeBodyTooLarge, "the body exceeds max_body_bytes")
}

// checkHead decides, from the head, whether the body has to be read, and whether the caller has a valid key. A completion names its
// adapter in the body, which may be open to callers without a key.
func (call *call) checkHead() (known bool, refusal *refuse.Refusal) {
	if !call.gate.node.Fresh(time.Now()) {
		return false, staleRefusal()
	}
	call.state = call.gate.node.View().State()
	if service := call.request.PathValue("service"); service != "" {
		serviceCall := &serviceCall{call: call, service: service}
		refusal = serviceCall.admit()
	} else if call.presentedKey != "" {
		refusal = call.authenticate()
	}
	if _, _, verdict := keys.Check(call.state, call.presentedKey); refusal == nil {
		known = verdict == keys.Valid
	}
	call.keyID, call.workspace = "", ""
	if length := call.request.ContentLength; refusal != nil && length >= 0 && length <= maxDiscardBytes {
		// The server discards the body, and keeps the connection.
		_ = http.NewResponseController(call.writer).SetReadDeadline(time.Now().Add(discardTimeout))
	} else if refusal != nil {
		call.writer.Header().Set("Connection", "close")
	}
	return known, refusal
}

// progressReader notes the progress of a body, so that a connection on which much arrives does not count as waiting.
type progressReader struct {
	source  io.Reader
	call    *call
	arrived int
}

// Read implements io.Reader.
func (progressReader *progressReader) Read(buffer []byte) (int, error) {
	count, err := progressReader.source.Read(buffer)
	if progressReader.arrived += count; progressReader.arrived >= progressBytes {
		progressReader.arrived = 0
		hold.SetState(progressReader.call.request.Context(), budget.Reading)
	}
	return count, err
}

// openResponse returns what the response of the call holds. It may lose its place while the caller does not read.
func (call *call) openResponse() *hold.Share {
	if call.responseShare == nil {
		ctx := call.request.Context()
		call.responseShare = call.gate.pool.Open(budget.Responses, call.keyID != "", func() { hold.CloseConn(ctx) })
	}
	return call.responseShare
}

// write sends a part of the response in pieces, each of which the caller has to read in time.
func (call *call) write(content []byte) error {
	ctx, share := call.request.Context(), call.openResponse()
	hold.SetState(ctx, budget.Writing)
	share.Expose()
	defer func() {
		share.Pin()
		hold.SetState(ctx, budget.Serving)
	}()
	controller := http.NewResponseController(call.writer)
	for {
		piece := content[:min(len(content), writePieceBytes)]
		_ = controller.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := call.writer.Write(piece); err != nil {
			return err
		}
		share.Progress(int64(len(piece)))
		if content = content[len(piece):]; len(content) == 0 {
			return nil
		}
		hold.SetState(ctx, budget.Writing)
	}
}

// noRoomForResponse returns the refusal of a request that may have run, and whose response could not be held.
func noRoomForResponse() *refuse.Refusal {
	return refuse.MaybeRun(http.StatusBadGateway, refuse.CodeBackendFailed, "there is no memory for the backend server's answer")
}
