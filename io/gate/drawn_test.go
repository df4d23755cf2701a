package gate

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"pgregory.net/rapid"
)

// drawnResponse is what a server writes in one attempt.
type drawnResponse struct {
	framing string
	status  int
	// count is the number of events of a stream.
	count int
	// cut is the number of bytes of the first response that are written before it breaks off, or -1 for all.
	cut int
	// copies are written after the response, each of them cut off after secondCut bytes unless that is -1.
	copies    int
	secondCut int
	// split is the number of bytes after which the server pauses.
	split int
	late  bool
	reset bool
	// otherModel makes the response one to another request.
	otherModel    bool
	informational bool
}

const (
	framingLength = "length"
	framingChunks = "chunks"
	framingNone   = "none"
)

// drawnCase is a request of a caller, and what servers respond to its attempts.
type drawnCase struct {
	kind     string
	attempts []drawnResponse
	// leave makes the caller leave after about a millisecond.
	leave bool
}

var drawnCases = rapid.Custom(func(check *rapid.T) drawnCase {
	drawn := drawnCase{kind: rapid.SampledFrom([]string{"stream", "completion", "stock", "orders"}).Draw(check, "kind")}
	drawn.leave = rapid.IntRange(0, 4).Draw(check, "leave") == 4
	for number := range 4 {
		drawn.attempts = append(drawn.attempts, drawResponse(check, fmt.Sprint(number)))
	}
	return drawn
})

// Flags of long runs by hand.
var (
	drawnFirst = flag.Int("drawn.first", 0, "first seed of TestAnswersUnderDrawnResponses")
	drawnCount = flag.Int("drawn.count", 150, "number of its seeds")
)

func drawResponse(check *rapid.T, name string) drawnResponse {
	return drawnResponse{
		framing:       rapid.SampledFrom([]string{framingNone, framingNone, framingLength, framingChunks}).Draw(check, name+" framing"),
		status:        rapid.SampledFrom([]int{200, 200, 200, 200, 200, 200, 200, 200, 200, 200, 503, 500, 404, 302, 204, 429}).Draw(check, name+" status"),
		count:         rapid.IntRange(0, 4).Draw(check, name+" events"),
		cut:           rapid.SampledFrom([]int{-1, -1, 0, 1, 2, 3, 4, 5, 2, 4}).Draw(check, name+" cut"),
		copies:        rapid.SampledFrom([]int{0, 1, 1, 2}).Draw(check, name+" copies"),
		secondCut:     rapid.SampledFrom([]int{-1, -1, 0, 30, 90}).Draw(check, name+" cut of a copy"),
		split:         rapid.IntRange(0, 400).Draw(check, name+" split"),
		late:          rapid.Bool().Draw(check, name+" late"),
		reset:         rapid.IntRange(0, 7).Draw(check, name+" reset") == 7,
		otherModel:    rapid.IntRange(0, 15).Draw(check, name+" other model") == 15,
		informational: rapid.IntRange(0, 7).Draw(check, name+" informational") == 7,
	}
}

// encode returns the head of the response, and its body in parts between which it may be cut.
func (drawn drawnResponse) encode(parts []string) (head string, encoded []string) {
	head = fmt.Sprintf("HTTP/1.1 %d x\r\nContent-Type: text/event-stream\r\n", drawn.status)
	if drawn.informational {
		head = "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + head
	}
	if drawn.status == http.StatusNoContent {
		return head + "\r\n", nil
	}
	switch drawn.framing {
	case framingLength:
		return fmt.Sprintf("%sContent-Length: %d\r\n\r\n", head, len(strings.Join(parts, ""))), parts
	case framingChunks:
		for _, part := range parts {
			encoded = append(encoded, fmt.Sprintf("%x\r\n%s\r\n", len(part), part))
		}
		return head + "Transfer-Encoding: chunked\r\n\r\n", append(encoded, "0\r\n\r\n")
	default:
		return head + "\r\n", parts
	}
}

// cutOff returns what is written of the parts of the first response.
func (drawn drawnResponse) cutOff(parts []string) string {
	if drawn.cut < 0 || drawn.cut >= len(parts) {
		return strings.Join(parts, "")
	}
	written := strings.Join(parts[:drawn.cut], "")
	if drawn.cut%2 == 1 {
		// Within a part.
		written += parts[drawn.cut][:len(parts[drawn.cut])/2]
	}
	return written
}

// write writes the response to a request, and its copies.
func (drawn drawnResponse) write(conn net.Conn, parts []string) {
	head, encoded := drawn.encode(parts)
	whole := head + strings.Join(encoded, "")
	content := head + drawn.cutOff(encoded)
	for range drawn.copies {
		second := whole
		if drawn.secondCut >= 0 {
			second = whole[:min(len(whole), drawn.secondCut)]
		}
		content += second
	}
	split := min(drawn.split, len(content))
	_, _ = io.WriteString(conn, content[:split])
	if drawn.late {
		time.Sleep(time.Millisecond)
	}
	if split < len(content) {
		_, _ = io.WriteString(conn, content[split:])
	}
	if tcp, isTCP := conn.(*net.TCPConn); isTCP && drawn.reset {
		_ = tcp.SetLinger(0)
	}
}

// drawnServers are the servers of a deployment, which respond as drawn.
type drawnServers struct {
	// id is part of the requests of the case.
	id       string
	mutex    sync.Mutex
	attempts []drawnResponse
	// runs counts the requests that reached a server.
	runs int
	// wanted holds the bodies of the responses that may reach the caller, with the public name of the model.
	wanted []string
	stream bool
}

// count returns how many requests reached a server.
func (servers *drawnServers) count() int {
	servers.mutex.Lock()
	defer servers.mutex.Unlock()
	return servers.runs
}

func (servers *drawnServers) respond(conn net.Conn, request *http.Request, body []byte) {
	if !strings.Contains(request.URL.Path+string(body), servers.id) {
		// The caller of an earlier case has left.
		_, _ = io.WriteString(conn, "HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n")
		return
	}
	servers.mutex.Lock()
	drawn := servers.attempts[min(servers.runs, len(servers.attempts)-1)]
	run := servers.runs
	servers.runs++
	completion, stream := strings.HasSuffix(request.URL.Path, "/completions"), servers.stream
	model := requestedModel(body)
	if drawn.otherModel {
		model = "shop/b@v1#1.1"
	}
	var parts []string
	switch {
	case stream:
		for number := range drawn.count {
			parts = append(parts, strings.ReplaceAll(fmt.Sprintf("data: {\"model\":\"MODEL\",\"n\":\"%d.%d\"}\n\n", run, number), "MODEL", model))
		}
		parts = append(parts, endEvent)
	case completion:
		parts = []string{fmt.Sprintf(`{"model":%q,"n":`, model), fmt.Sprintf(`"run-%d"}`, run)}
	default:
		parts = []string{"run-", fmt.Sprint(run), ".", strings.Repeat("x", 10*drawn.count)}
	}
	if !completion || drawn.status == http.StatusOK && (!drawn.otherModel || stream && drawn.count == 0) {
		wanted := strings.ReplaceAll(strings.Join(parts, ""), model+`"`, testModel+`"`)
		if !completion && drawn.status == http.StatusNoContent {
			wanted = ""
		}
		servers.wanted = append(servers.wanted, wanted)
		if !completion && drawn.framing == framingNone && (drawn.copies == 0 || drawn.secondCut == 0) {
			// Such a body that is cut off cannot be told from one that is whole.
			servers.wanted = append(servers.wanted, drawn.cutOff(parts))
		}
	}
	servers.mutex.Unlock()
	drawn.write(conn, parts)
}

var errJoined = errors.New("bytes of two responses")

// checkAnswer returns an error unless an answer is that of one attempt, whole, or visibly failed.
func (servers *drawnServers) checkAnswer(got answer) error {
	servers.mutex.Lock()
	defer servers.mutex.Unlock()
	// What comes before an error event is the beginning of one stream.
	shown, _, failed := strings.Cut(got.body, "event: error\n")
	for _, wanted := range servers.wanted {
		switch {
		case got.err == nil && got.body == wanted:
			return nil
		case (failed || got.err != nil) && got.err != nil && servers.stream && strings.HasPrefix(wanted, shown) && shown != wanted:
			return nil
		}
	}
	if got.err == nil && got.status >= http.StatusBadRequest && strings.Contains(got.body, `"code"`) {
		return nil
	}
	return fmt.Errorf("%w: %d %q (%s); wanted one of %q", errJoined, got.status, got.body, fmt.Sprint(got.err), servers.wanted)
}

// Guards against answers that are joined of two responses, or that look whole and are not, whatever the framing of responses,
// their copies and their ends, and whichever of the attempts fails.
func TestAnswersUnderDrawnResponses(t *testing.T) {
	deployment := newDeployment(t, 2)
	statuses := map[string]int{}
	for seed := *drawnFirst; seed < *drawnFirst+*drawnCount; seed++ {
		drawn := drawnCases.Example(seed)
		servers := &drawnServers{id: uuid.NewString(), attempts: drawn.attempts, stream: drawn.kind == "stream"}
		for _, server := range deployment.servers {
			server.setRespond(servers.respond)
		}
		path, key := "/services/"+drawn.kind+"/"+servers.id, uuid.NewString()
		send := func(ctx context.Context) answer { return deployment.postWith(ctx, path, key, "{}") }
		if drawn.kind == "stream" || drawn.kind == "completion" {
			send = func(ctx context.Context) answer { return deployment.completeWith(ctx, path, servers.stream) }
		}
		if drawn.leave {
			ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
			send(ctx)
			cancel()
		}
		got := send(t.Context())
		statuses[fmt.Sprint(drawn.kind, " ", got.status, " ", got.err != nil)]++
		if err := servers.checkAnswer(got); err != nil {
			t.Errorf("seed %d, %+v: %v", seed, drawn, err)
		}
		if drawn.kind != "orders" {
			continue
		}
		again := send(t.Context())
		if err := servers.checkAnswer(again); err != nil {
			t.Errorf("seed %d, %+v: %v", seed, drawn, err)
		}
		// An order that its first caller has left may still be running, or was not sent and runs later.
		isOutcome := got.status != http.StatusConflict
		switch {
		case servers.count() > 1:
			t.Errorf("seed %d, %+v: the order ran %d times", seed, drawn, servers.count())
		case isOutcome && (again.replayed && (again.status != got.status || again.body != got.body) || !again.replayed && again.status < http.StatusBadRequest):
			t.Errorf("seed %d, %+v: got %+v, and then %+v", seed, drawn, got, again)
		}
	}
	t.Log(statuses)
}
