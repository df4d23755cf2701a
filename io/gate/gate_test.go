package gate

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"lentilproxy/core/refuse"
	"lentilproxy/core/setup"
	"lentilproxy/io/engine"
)

func testGate() *Gate {
	return &Gate{
		settings: &setup.Settings{Traffic: setup.Traffic{DefaultMaxTokens: 16, MaxBodyBytes: 1 << 20}}, log: logr.Discard(), metrics: tally.NoopScope,
	}
}

func testStream() *stream {
	return &stream{completion: &completion{call: &call{gate: testGate()}}, events: make(chan []byte, maxBufferedEvents)}
}

func TestRewriteModel(t *testing.T) {
	completion := &completion{model: "shop/ribs@v2"}
	for _, test := range []struct {
		name, content, public string
		valid                 bool
	}{
		{"own", `{"id":"1","model":"shop/ribs@v2#1.2","x":[1]}`, `{"id":"1","model":"shop/ribs@v2","x":[1]}`, true},
		{"another instance", `{"model":"shop/ribs@v2#1.3"}`, "", false},
		{"public name", `{"model":"shop/ribs@v2"}`, "", false},
		{"no model", `{"id":"1"}`, "", false},
		{"not an object", `[1]`, "", false},
		{"cut off", `{"model":"shop/ribs@v2#1.2"`, "", false},
		{"name in the text", `{"model":"shop/ribs@v2#1.2","text":"shop/ribs@v2#1.2"}`, `{"model":"shop/ribs@v2","text":"shop/ribs@v2#1.2"}`, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			public, _, valid := completion.rewriteModel("shop/ribs@v2#1.2", []byte(test.content))
			is.Equal(valid, test.valid)
			is.Equal(string(public), test.public)
		})
	}
}

func TestBearer(t *testing.T) {
	is := is.New(t)
	for header, key := range map[string]string{"Bearer lk_a_b": "lk_a_b", "bearer  lk_a_b ": "lk_a_b", "Basic x": "", "": "", "lk_a_b": ""} {
		request := httptest.NewRequest(http.MethodPost, "/", http.NoBody)
		request.Header.Set("Authorization", header)
		is.Equal(bearer(request), key)
	}
}

// A redirect of a server is its response. Following it would send the request to an address that no server has.
func TestRedirectsAreNotFollowed(t *testing.T) {
	is := is.New(t)
	hits := 0
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		hits++
		http.Redirect(writer, request, "/elsewhere", http.StatusTemporaryRedirect)
	}))
	defer server.Close()
	call := &call{request: httptest.NewRequest(http.MethodGet, "/", http.NoBody)}
	client := engine.NewHTTPClient(checkedDial(func(time.Time) bool { return true }))
	result := call.send(t.Context(), client, server.URL+"/orders", nil)
	is.NoErr(result.err)
	_ = result.response.Body.Close()
	is.Equal(result.response.StatusCode, http.StatusTemporaryRedirect)
	is.Equal(hits, 1)
}

// A server sends a second copy of each response, late, when the next request may already be under way.
func TestSecondCopyOfAResponseReachesNobody(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				last := ""
				for {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					// The copy precedes the response to the next request on the connection.
					_, _ = io.WriteString(conn, last)
					last = fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(request.URL.Path), request.URL.Path)
					_, _ = io.WriteString(conn, last)
				}
			}()
		}
	}()
	call := &call{request: httptest.NewRequest(http.MethodGet, "/", http.NoBody)}
	client := engine.NewHTTPClient(checkedDial(func(time.Time) bool { return true }))
	for number := range 5 {
		path := fmt.Sprint("/", number)
		result := call.send(t.Context(), client, "http://"+listener.Addr().String()+path, nil)
		is.NoErr(result.err)
		content, err := io.ReadAll(result.response.Body)
		is.NoErr(err)
		_ = result.response.Body.Close()
		is.Equal(string(content), path)
	}
}

// Bytes that are no response may come without end. They are read up to a bound, and the connection is closed.
func TestBytesWithoutEndAreBounded(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n"
	for name, test := range map[string]struct {
		prefix, filler string
		stream         bool
	}{
		"status line":             {"", "x", false},
		"header":                  {head + "X-Filler: ", "a", false},
		"informational responses": {"", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n", false},
		"chunk size":              {head + "Transfer-Encoding: chunked\r\n\r\n", "0", false},
		"body":                    {head + "\r\n", "x", false},
		"event":                   {head + "\r\ndata: ", "x", true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer func() { _ = listener.Close() }()
			closed := make(chan struct{})
			go func() {
				defer close(closed)
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				defer func() { _ = conn.Close() }()
				_, err = io.WriteString(conn, test.prefix)
				for err == nil {
					_, err = io.WriteString(conn, strings.Repeat(test.filler, 1+4096/len(test.filler)))
				}
			}()
			startedAt := time.Now()
			call := &call{request: httptest.NewRequest(http.MethodPost, "/", http.NoBody)}
			client := engine.NewHTTPClient(checkedDial(func(time.Time) bool { return true }))
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			result := call.send(ctx, client, "http://"+listener.Addr().String()+"/", []byte("{}"))
			switch {
			case result.err != nil:
			case test.stream:
				stream := testStream()
				stream.read(ctx, result.response)
				is.True(stream.err != nil)
				is.Equal(len(stream.events), 0)
			default:
				_, err = testGate().readBody(result, nil, 1)
				is.True(err != nil)
			}
			if result.err == nil {
				_ = result.response.Body.Close()
			}
			<-closed
			is.True(time.Since(startedAt) < 3*time.Second)
		})
	}
}

// Responses without a length or chunks end with their connections. Of a stream that ends inside an event, only the events
// before that are passed on.
func TestResponsesThatEndWithTheirConnection(t *testing.T) {
	for name, test := range map[string]struct {
		content string
		events  []string
		// reset ends the connection with a reset.
		reset bool
	}{
		"complete stream":          {"data: 1\n\ndata: [DONE]\n\n", []string{"1", "[DONE]"}, false},
		"complete with CRLF":       {"data: 1\r\n\r\ndata: 2\r\n\r\n", []string{"1", "2"}, false},
		"status line in a comment": {": HTTP/1.1 200\n\ndata: 1\n\n", []string{"1"}, false},
		"status line as data":      {"data: HTTP/1.1 200\n\n", []string{"HTTP/1.1 200"}, false},
		"fields before data":       {"id: 1\nevent: a\ndata: 1\n\n", []string{"1"}, false},
		"inside a field":           {"data: 1\n\ndata: {\"a\"", []string{"1"}, false},
		"after a line":             {"data: 1\n\ndata: [DONE]\n", []string{"1"}, false},
		"before an event":          {"", nil, false},
		"reset after a line":       {"data: 1\n\ndata: 2\n", []string{"1"}, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer func() { _ = listener.Close() }()
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				_, _ = http.ReadRequest(bufio.NewReader(conn))
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"+test.content)
				if tcp, isTCP := conn.(*net.TCPConn); isTCP && test.reset {
					time.Sleep(50 * time.Millisecond)
					_ = tcp.SetLinger(0)
				}
				_ = conn.Close()
			}()
			call := &call{request: httptest.NewRequest(http.MethodPost, "/", http.NoBody)}
			client := engine.NewHTTPClient(checkedDial(func(time.Time) bool { return true }))
			result := call.send(t.Context(), client, "http://"+listener.Addr().String()+"/", []byte("{}"))
			is.NoErr(result.err)
			defer func() { _ = result.response.Body.Close() }()
			stream := testStream()
			stream.read(t.Context(), result.response)
			var events []string
			for event := range stream.events {
				events = append(events, string(event))
			}
			is.Equal(events, test.events)
			is.Equal(stream.err != nil, test.reset)
		})
	}
}

// Guards against a part of a response that counts as whole: the server responds to a long request at once, without a length, sends a part
// of the body, and resets the connection while the request is still being written. The reset may be reported to the writer only.
func TestResetWhileTheRequestIsWritten(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = conn.Read(make([]byte, 4<<10))
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\na part of the body")
				time.Sleep(5 * time.Millisecond)
				if tcp, isTCP := conn.(*net.TCPConn); isTCP {
					_ = tcp.SetLinger(0)
				}
				_ = conn.Close()
			}()
		}
	}()
	client := engine.NewHTTPClient(checkedDial(func(time.Time) bool { return true }))
	whole := 0
	for range 200 {
		call := &call{request: httptest.NewRequest(http.MethodPost, "/", http.NoBody)}
		result := call.send(t.Context(), client, "http://"+listener.Addr().String()+"/", make([]byte, 8<<20))
		if result.err != nil {
			continue
		}
		if _, err = io.ReadAll(result.response.Body); err == nil {
			whole++
		}
		_ = result.response.Body.Close()
	}
	is.Equal(whole, 0)
}

// Any body that a caller sends is either decoded or refused with a code.
func FuzzCallerBody(f *testing.F) {
	f.Add([]byte(`{"model":"shop/ribs@v2","prompt":"x","stream":true,"max_tokens":3,"priority":"batch"}`))
	f.Add([]byte(`{"model":7}`))
	f.Add([]byte(`{"model":"a","max_tokens":1e99}`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, content []byte) {
		completion := &completion{call: &call{gate: testGate(), body: content}}
		if refusal := completion.decode(); refusal != nil {
			if refusal.Code() == "" || refusal.Executed() != refuse.ExecutedNo {
				t.Fatalf("got an invalid refusal: %+v", refusal)
			}
			return
		}
		body, err := completion.instanceBody("instance")
		var sent struct {
			Model string `json:"model"`
		}
		if err != nil || json.Unmarshal(body, &sent) != nil || sent.Model != "instance" || completion.cost() < 1 {
			t.Fatalf("the body was forwarded as %s (%v)", body, err)
		}
	})
}

// An event from an engine is forwarded only if it names the expected instance, and then under the public name.
func FuzzEngineEvent(f *testing.F) {
	f.Add([]byte(`{"model":"i","choices":[]}`))
	f.Add([]byte(`{"model":"i","usage":{"completion_tokens":-1}}`))
	f.Fuzz(func(t *testing.T, content []byte) {
		completion := &completion{model: "public"}
		public, _, valid := completion.rewriteModel("i", content)
		if valid && (!json.Valid(public) || !strings.Contains(string(public), `"model":"public"`)) {
			t.Fatalf("forwarded %s", public)
		}
	})
}
