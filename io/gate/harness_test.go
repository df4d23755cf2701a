package gate

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"

	"lentilproxy/core/conf"
	"lentilproxy/core/decl"
	"lentilproxy/core/setup"
	"lentilproxy/io/fake"
	"lentilproxy/io/ledger"
	"lentilproxy/io/node"
	"lentilproxy/io/table"
)

const (
	testModel = "shop/a@v1"
	// testQueueTimeout bounds how long a request of a test waits for its adapter.
	testQueueTimeout = 5 * time.Second
)

// rawServer is an engine and a plain service that writes the bytes of its responses to requests as a test says.
type rawServer struct {
	engine  *fake.Engine
	address string
	mutex   sync.Mutex
	// respond writes the response to a completion or to a request to a service. The connection is closed after it.
	respond func(conn net.Conn, request *http.Request, body []byte)
}

func newRawServer(t testing.TB) *rawServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &rawServer{engine: fake.NewEngine(fake.EngineOptions{Slots: 4}), address: listener.Addr().String()}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go server.serve(conn)
		}
	}()
	return server
}

func (server *rawServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	request.Body = io.NopCloser(bytes.NewReader(body))
	if strings.HasPrefix(request.URL.Path, "/v1/") && !strings.HasSuffix(request.URL.Path, "/completions") {
		recorder := httptest.NewRecorder()
		server.engine.ServeHTTP(recorder, request)
		_ = recorder.Result().Write(conn)
		return
	}
	server.mutex.Lock()
	respond := server.respond
	server.mutex.Unlock()
	respond(conn, request, body)
}

func (server *rawServer) setRespond(respond func(conn net.Conn, request *http.Request, body []byte)) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.respond = respond
}

// respondWith makes the server write the same bytes to all requests. MODEL in them stands for the model of the request.
func (server *rawServer) respondWith(content string) {
	server.setRespond(func(conn net.Conn, _ *http.Request, body []byte) {
		_, _ = io.WriteString(conn, strings.ReplaceAll(content, "MODEL", requestedModel(body)))
	})
}

// requestedModel returns the model that the body of a request to an engine names.
func requestedModel(body []byte) string {
	var parsed struct {
		Model string `json:"model"`
	}
	_ = json.Unmarshal(body, &parsed)
	return parsed.Model
}

// deployment is a gate with its node, and the servers to which it sends requests.
type deployment struct {
	gate    *Gate
	node    *node.Node
	servers []*rawServer
	url     string
}

// newDeployment starts a gate whose only routes are orders, which run at most once, and stock, which may be repeated. Both
// and the model shop/a are open.
func newDeployment(t testing.TB, servers int) *deployment {
	t.Helper()
	tableServer := httptest.NewServer(fake.NewTable())
	t.Cleanup(tableServer.Close)
	peers, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	settings := &setup.Settings{
		Host:    setup.Host{Name: "host-1", DataCentre: "dc-1"},
		Listen:  setup.Listen{AdvertisePeers: peers.Addr().String()},
		Weights: setup.Weights{LoadsPerSecond: 20, Parallel: 4, Policy: setup.DefaultPolicy},
		Traffic: setup.Traffic{MaxBodyBytes: setup.DefaultMaxBodyBytes, QueueTimeout: testQueueTimeout, DefaultMaxTokens: 16},
	}
	client := table.New(strings.TrimPrefix(tableServer.URL, "http://"))
	deployment := &deployment{node: node.New(settings, client, client, peers)}
	entries := ledger.New(client, settings.Host.Name)
	t.Cleanup(func() {
		entries.Close()
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		deployment.node.Stop(ctx)
	})
	deployment.gate = New(settings, deployment.node, entries)
	callers := httptest.NewServer(deployment.gate)
	t.Cleanup(callers.Close)
	deployment.url = callers.URL
	deployment.await(t, "the host is ready", func() bool {
		return deployment.node.Ready(time.Now()) && deployment.node.View().State().Roster().Settled
	})
	for range servers {
		deployment.servers = append(deployment.servers, newRawServer(t))
	}
	deployment.apply(t)
	return deployment
}

func (deployment *deployment) await(t testing.TB, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting until %s", what)
		}
	}
}

func (deployment *deployment) apply(t testing.TB) {
	t.Helper()
	text := strings.Builder{}
	text.WriteString("[workspace \"shop\"]\nweight = 1\n\n[limit \"shop\"]\nrate_tokens_per_second = 10000000\nburst_tokens = 20000000\n\n" +
		"[adapter \"shop/a\"]\nbase_model = base-1\ndefault_version = v1\nopen = true\n\n[version \"shop/a@v1\"]\nsource = a/1\n\n" +
		"[route \"orders\"]\nworkspaces = shop\nopen = true\ndedup_window = 24h\ntimeout = 2s\n\n" +
		"[route \"stock\"]\nworkspaces = shop\nopen = true\nrepeatable = true\ntimeout = 2s\n\n")
	for number, server := range deployment.servers {
		fmt.Fprintf(&text, "[backend_server \"engine-%d\"]\naddress = %s\ndata_centre = dc-1\nbase_model = base-1\nslots = 4\n\n", number, server.address)
		for _, service := range []string{"orders", "stock"} {
			fmt.Fprintf(&text, "[backend_server \"%s-%d\"]\naddress = %s\ndata_centre = dc-1\nservice = %s\n\n", service, number, server.address, service)
		}
	}
	file, faults := decl.Parse("resources", []byte(text.String()))
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	resources, faults := conf.ParseResources(file)
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	outcome := deployment.node.Commit(t.Context(), uuid.NewString(), func(state *conf.State) (conf.Change, []conf.Problem, bool) {
		next := conf.Change{Puts: resources, Revision: state.Revision() + 1}
		problems := conf.Check(state.Apply(next), next)
		return conf.Change{Puts: resources}, problems, len(problems) == 0
	})
	if outcome.Status != node.Committed {
		t.Fatalf("the resources were not committed: %+v", outcome)
	}
	deployment.await(t, "the resources are in force", func() bool {
		return deployment.node.View().State().Route("orders") != nil
	})
}

// answer is a response as its caller received it.
type answer struct {
	status   int
	replayed bool
	body     string
	// err is set if the response was visibly cut off.
	err error
}

// post sends a request. An empty key stands for none.
func (deployment *deployment) post(path, key string) answer {
	return deployment.postWith(context.Background(), path, key, "{}")
}

func (deployment *deployment) postWith(ctx context.Context, path, key, body string) answer {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, deployment.url+path, strings.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	if key != "" {
		request.Header.Set(HeaderIdempotencyKey, key)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, replayed: response.Header.Get(HeaderReplayed) != "", body: string(content), err: err}
}

// complete sends a request for a completion.
func (deployment *deployment) complete(prompt string, stream bool) answer {
	return deployment.completeWith(context.Background(), prompt, stream)
}

func (deployment *deployment) completeWith(ctx context.Context, prompt string, stream bool) answer {
	return deployment.postWith(ctx, "/v1/completions", "", fmt.Sprintf(`{"model":%q,"prompt":%q,"stream":%t,"max_tokens":8}`, testModel, prompt, stream))
}

// event returns an event of an engine's stream.
func event(number int) string {
	return fmt.Sprintf("data: {\"model\":\"MODEL\",\"number\":%d}\n\n", number)
}

const endEvent = "data: [DONE]\n\n"

// events returns a stream of an engine without its end marker.
func events(count int) string {
	text := strings.Builder{}
	for number := range count {
		text.WriteString(event(number))
	}
	return text.String()
}

// publicEvents returns a stream as a caller receives it, without its end marker.
func publicEvents(count int) string { return strings.ReplaceAll(events(count), "MODEL", testModel) }
