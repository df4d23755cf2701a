package gate

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"
)

const (
	unframedHead = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n"
	orderBody    = `{"order":"1"}`
)

// framed returns a response with a length.
func framed(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// Guards against a second response that is taken for a part of a body without a length or chunks, passed on as a success, and
// stored for replays.
func TestSecondResponseIsNoPartOfABodyWithoutLength(t *testing.T) {
	deployment := newDeployment(t, 1)
	server := deployment.servers[0]
	for name, second := range map[string]string{
		"copy":               unframedHead + orderBody,
		"with a length":      framed(orderBody),
		"in chunks":          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nd\r\n" + orderBody + "\r\n0\r\n\r\n",
		"error":              "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n",
		"older version":      "HTTP/1.0 200 OK\r\nServer: a\r\n\r\n" + orderBody,
		"cut off in a head":  "HTTP/1.1 200 OK\r\nContent-Ty",
		"informational":      "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + unframedHead + orderBody,
		"two copies":         strings.Repeat(unframedHead+orderBody, 2),
		"after a line's end": "\r\n" + unframedHead + orderBody,
	} {
		for route, want := range map[string]int{"orders": http.StatusBadGateway, "stock": http.StatusBadGateway} {
			t.Run(name+", "+route, func(t *testing.T) {
				is := is.New(t)
				server.respondWith(unframedHead + orderBody + second)
				path, key := "/services/"+route+"/"+uuid.NewString(), uuid.NewString()
				got := deployment.post(path, key)
				t.Logf("%d %q", got.status, got.body)
				is.Equal(got.status, want)
				is.True(!strings.Contains(got.body, "HTTP/1."))
				if route == "orders" {
					// The order ran, and nothing else is stored for it.
					again := deployment.post(path, key)
					is.Equal(again.status, http.StatusConflict)
				}
			})
		}
	}
	t.Run("sound, messages", func(t *testing.T) {
		is := is.New(t)
		body := orderBody + unframedHead
		server.respondWith("HTTP/1.1 200 OK\r\nContent-Type: message/http; version=1.1\r\n\r\n" + body)
		got := deployment.post("/services/orders/"+uuid.NewString(), uuid.NewString())
		is.Equal(got.status, http.StatusOK)
		is.Equal(got.body, body)
	})
	for name, body := range map[string]string{
		"plain":                     orderBody,
		"quoted status line":        `{"log":"HTTP/1.1 200 OK\r\n\r\n"}`,
		"access log":                "\"GET / HTTP/1.1\" 200 7\r\n\r\n\"GET / HTTP/1.1\" 200 7\r\n",
		"head with plain line ends": "HTTP/1.1 200 OK\nA: b\n\nbody",
	} {
		t.Run("sound, "+name, func(t *testing.T) {
			is := is.New(t)
			server.respondWith(unframedHead + body)
			got := deployment.post("/services/orders/"+uuid.NewString(), uuid.NewString())
			is.Equal(got.status, http.StatusOK)
			is.Equal(got.body, body)
		})
	}
}

const streamHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"

// chunked returns a response in chunks, each of which is one part.
func chunked(parts ...string) string {
	text := strings.Builder{}
	text.WriteString("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
	for _, part := range parts {
		fmt.Fprintf(&text, "%x\r\n%s\r\n", len(part), part)
	}
	return text.String() + "0\r\n\r\n"
}

// Guards against events of a second response that are passed on after those of the first one, as one stream that looks whole.
func TestSecondResponseIsNoPartOfAStream(t *testing.T) {
	deployment := newDeployment(t, 1)
	whole := streamHead + events(4) + endEvent
	for name, test := range map[string]struct {
		content string
		// received is the number of events that the caller gets, and complete is set if its response is whole.
		received int
		complete bool
	}{
		"sound":                             {whole, 4, true},
		"whole, then a copy":                {whole + whole, 4, true},
		"cut between events, then a copy":   {streamHead + events(2) + whole, 2, false},
		"cut after a line, then a copy":     {streamHead + events(2) + strings.TrimSuffix(event(2), "\n") + whole, 2, false},
		"cut within a field, then a copy":   {streamHead + events(2) + "da" + whole, 2, false},
		"cut within an event, then a copy":  {streamHead + events(2) + event(2)[:9] + whole, 2, false},
		"cut between events, then chunks":   {streamHead + events(2) + chunked(events(4), endEvent), 2, false},
		"cut between events, then a length": {streamHead + events(2) + framed(events(4)+endEvent), 2, false},
		"cut between events, then an error": {streamHead + events(2) + "HTTP/1.1 500 x\r\nA: b\r\n\r\n" + endEvent, 2, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			deployment.servers[0].respondWith(test.content)
			got := deployment.complete(uuid.NewString(), true)
			t.Logf("%d %v %q", got.status, got.err, got.body)
			is.Equal(got.status, http.StatusOK)
			rest, found := strings.CutPrefix(got.body, publicEvents(test.received))
			is.True(found)
			if test.complete {
				is.NoErr(got.err)
				is.Equal(rest, endEvent)
				return
			}
			is.True(got.err != nil)
			is.True(strings.HasPrefix(rest, "event: error\n"))
		})
	}
}

// Guards against a body with a length that was broken off and is filled up with the beginning of a copy.
func TestSecondResponseDoesNotFillUpABody(t *testing.T) {
	deployment := newDeployment(t, 1)
	long := strings.Repeat("long ", 2000)
	text := "HTTP/1.1 404 Not Found\r\nA: b\r\n\r\nbody"
	t.Run("rest of the copy later", func(t *testing.T) {
		is := is.New(t)
		cut := strings.TrimSuffix(framed(orderBody), orderBody[4:])
		deployment.servers[0].setRespond(func(conn net.Conn, _ *http.Request, _ []byte) {
			for _, part := range []string{cut, framed(orderBody)[:9], framed(orderBody)[9:]} {
				_, _ = io.WriteString(conn, part)
				time.Sleep(5 * time.Millisecond)
			}
		})
		got := deployment.post("/services/orders/"+uuid.NewString(), uuid.NewString())
		t.Logf("%d %q", got.status, got.body)
		is.Equal(got.status, http.StatusBadGateway)
	})
	for name, test := range map[string]struct {
		content, body string
	}{
		"whole":                               {framed(orderBody), orderBody},
		"whole, then a copy":                  {framed(orderBody) + framed(orderBody), orderBody},
		"whole with a head":                   {framed(text), text},
		"whole with a head, then a copy":      {framed(text) + framed(text), text},
		"whole with a head, then a line":      {framed(text) + "\r\n", text},
		"whole with a status line, then more": {framed("HTTP/1.1 200 is a status line.\nAnother line.\r\n\r\n") + "more", "HTTP/1.1 200 is a status line.\nAnother line.\r\n\r\n"},
		"end like a status line":              {framed("HTTP/1.1 "), "HTTP/1.1 "},
		"cut before the body":                 {strings.TrimSuffix(framed(orderBody), orderBody) + framed(orderBody), ""},
		"cut within the body":                 {strings.TrimSuffix(framed(orderBody), orderBody[4:]) + framed(orderBody), ""},
		"cut at the last byte":                {strings.TrimSuffix(framed(orderBody), "}") + framed(orderBody), ""},
		"cut, then an error":                  {strings.TrimSuffix(framed(orderBody), orderBody[4:]) + "HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n", ""},
		"cut, then an informational response": {"HTTP/1.1 200 OK\r\nContent-Length: 27\r\n\r\nHTTP/1.1 103 x\r\nLink: a\r\n\r\n" + framed(orderBody), ""},
		"cut, then a longer one":              {"HTTP/1.1 200 OK\r\nContent-Length: 26\r\n\r\nHTTP/1.1 103 x\r\nLink: a\r\n\r\n" + framed(orderBody), ""},
		"long body, cut":                      {strings.TrimSuffix(framed(long), long[4000:]) + framed(long), ""},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			deployment.servers[0].respondWith(test.content)
			got := deployment.post("/services/orders/"+uuid.NewString(), uuid.NewString())
			t.Logf("%d %.200q", got.status, got.body)
			if test.body == "" {
				is.Equal(got.status, http.StatusBadGateway)
				return
			}
			is.Equal(got.status, http.StatusOK)
			is.Equal(got.body, test.body)
		})
	}
}

// Guards against statuses that are not those of a final response: one that switches protocols would make the caller take what
// follows on its connection for something else, and none below 100 can be passed on.
func TestStatusesThatAreNotFinal(t *testing.T) {
	deployment := newDeployment(t, 1)
	for _, status := range []string{"101", "099", "000", "600", "999"} {
		for _, rest := range []string{"", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"} {
			for _, route := range []string{"orders", "stock"} {
				t.Run(fmt.Sprintf("%s, %s, %d bytes", status, route, len(rest)), func(t *testing.T) {
					is := is.New(t)
					deployment.servers[0].respondWith("HTTP/1.1 " + status + " x\r\nConnection: upgrade\r\nUpgrade: a\r\n\r\n" + rest)
					path, key := "/services/"+route+"/"+uuid.NewString(), uuid.NewString()
					got := deployment.post(path, key)
					t.Logf("%d %q %v", got.status, got.body, got.err)
					is.NoErr(got.err)
					is.Equal(got.status, http.StatusBadGateway)
					if route == "orders" {
						is.Equal(deployment.post(path, key).status, http.StatusConflict)
					}
				})
			}
		}
	}
}

// Guards against events of a copy that fill up a stream with a length or a chunk. The stream breaks off behind them, but its caller
// would have got events twice.
func TestSecondResponseDoesNotFillUpAStream(t *testing.T) {
	deployment := newDeployment(t, 1)
	const whole, received = 9, 2
	for name, encode := range map[string]func(stream string) string{"length": framed, "chunk": func(stream string) string { return chunked(stream) }} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			deployment.servers[0].setRespond(func(conn net.Conn, _ *http.Request, body []byte) {
				withModel := func(text string) string { return strings.ReplaceAll(text, "MODEL", requestedModel(body)) }
				response := encode(withModel(events(whole) + endEvent))
				cut, _, _ := strings.Cut(response, withModel(event(received)))
				_, _ = io.WriteString(conn, cut+response)
			})
			got := deployment.complete(uuid.NewString(), true)
			t.Logf("%d %v %q", got.status, got.err, got.body)
			is.Equal(got.status, http.StatusOK)
			is.True(got.err != nil)
			is.True(strings.HasPrefix(got.body, publicEvents(received)+"event: error\n"))
		})
	}
}

// Guards against the head of a second response that continues the first one, which was cut off: its body was passed on with the status of
// the first one.
func TestHeadThatIsContinuedByAnotherOne(t *testing.T) {
	deployment := newDeployment(t, 1)
	for name, first := range map[string]string{"in a header": "HTTP/1.1 200 OK\r\nX-Signature: ab", "in the reason": "HTTP/1.1 200 O"} {
		for _, route := range []string{"orders", "stock"} {
			t.Run(name+", "+route, func(t *testing.T) {
				is := is.New(t)
				deployment.servers[0].respondWith(first + "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 5\r\n\r\nerror")
				got := deployment.post("/services/"+route+"/"+uuid.NewString(), uuid.NewString())
				is.NoErr(got.err)
				is.Equal(got.status, http.StatusBadGateway)
			})
		}
	}
}

// Guards against whole bodies that count as broken since they mention a status line and a copy follows them.
func TestBodyBeforeACopyIsWhole(t *testing.T) {
	const body = `{"a":"HTTP/1.1 200 OK"}`
	whole := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	deployment := newDeployment(t, 1)
	for _, copied := range []string{whole, whole[:30]} {
		is := is.New(t)
		deployment.servers[0].respondWith(whole + copied)
		got := deployment.post("/services/orders/"+uuid.NewString(), uuid.NewString())
		is.NoErr(got.err)
		is.Equal(got.status, http.StatusOK)
		is.Equal(got.body, body)
	}
}
