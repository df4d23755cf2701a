package proc

import (
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"lentilproxy/io/fake"

	"github.com/matryer/is"
)

// crashPoint names the point of a response at which a plain server crashes.
type crashPoint string

const (
	beforeResponse crashPoint = "before the response"
	inBody         crashPoint = "in the body"
	afterEnd       crashPoint = "after the end"
	afterError     crashPoint = "after an error response"
	// silently is before the response, while the connection stays open.
	silently crashPoint = "silently"
)

// downTime returns how long a crashed server is away.
func (point crashPoint) downTime() time.Duration {
	if point == silently {
		return 3 * time.Second
	}
	return time.Second
}

// plainServer is a plain server that crashes when it runs a request with fake.PoisonWord in its path or body, and is back
// after some seconds.
type plainServer struct {
	t       *testing.T
	address string
	point   crashPoint
	crashes *atomic.Int64
	mutex   sync.Mutex
	http    *http.Server
	// down is set from a crash until the restart.
	down bool
}

func newPlainServer(t *testing.T, point crashPoint, crashes *atomic.Int64) *plainServer {
	t.Helper()
	server := &plainServer{t: t, address: freeAddress(t, newIP()), point: point, crashes: crashes}
	server.start()
	t.Cleanup(server.stop)
	return server
}

func (server *plainServer) start() {
	listener, err := net.Listen("tcp", server.address)
	if err != nil {
		server.t.Error(err)
		return
	}
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.down = false
	server.http = &http.Server{Handler: server, ReadHeaderTimeout: time.Second}
	go func() { _ = server.http.Serve(listener) }()
}

func (server *plainServer) stop() {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	_ = server.http.Close()
}

// ServeHTTP implements http.Handler.
func (server *plainServer) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	const content = "in stock"
	body, _ := io.ReadAll(request.Body)
	if !strings.Contains(request.RequestURI+string(body), fake.PoisonWord) {
		_, _ = io.WriteString(writer, content)
		return
	}
	conn, _, err := http.NewResponseController(writer).Hijack()
	if err != nil {
		return
	}
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n", len(content))
	switch server.point {
	case beforeResponse:
	case silently:
		server.t.Cleanup(func() { _ = conn.Close() })
	case afterError:
		_, _ = io.WriteString(conn, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n")
	case inBody:
		_, _ = io.WriteString(conn, head+content[:3])
	case afterEnd:
		_, _ = io.WriteString(conn, head+content)
	}
	if first := server.crash(); first {
		time.AfterFunc(server.point.downTime(), func() {
			if server.t.Context().Err() == nil {
				server.start()
			}
		})
	}
	if server.point != silently {
		_ = conn.Close()
	}
}

// crash stops the server. It returns false if the server has crashed already.
func (server *plainServer) crash() bool {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if server.down {
		return false
	}
	server.down = true
	server.crashes.Add(1)
	_ = server.http.Close()
	return true
}

// Guards against repeats of a request that crashes servers at any point of its response: those that crashed them right after
// their end used to count as sound, on engines and on plain servers.
func TestRepeatsOfARequestThatCrashesServers(t *testing.T) {
	const (
		stopBound  = 3 * time.Second
		repeatsFor = 9 * time.Second
		maxLate    = 3
		callers    = 3
		alone      = 1
	)
	poisoned := promptBody("shop/a1", fake.PoisonWord, 150)
	for name, test := range map[string]struct {
		path, body string
		// crashAfter is the number of tokens after which an engine crashes.
		crashAfter int
		point      crashPoint
		// timeout is that of the routes, or empty for 10s.
		timeout string
		// callers is the number of callers that repeat the request; 0 means callers.
		callers int
	}{
		"a completion":                           {path: "/v1/completions", body: poisoned},
		"a completion, after some tokens":        {path: "/v1/completions", body: poisoned, crashAfter: 5},
		"a completion, after more than a second": {path: "/v1/completions", body: poisoned, crashAfter: 130},
		"a completion, after its end":            {path: "/v1/completions", body: promptBody("shop/a1", fake.PoisonWord, 10), crashAfter: 10},
		"a call":                                 {path: "/services/calls/" + fake.PoisonWord, point: beforeResponse},
		"a call, in the body":                    {path: "/services/calls/" + fake.PoisonWord, point: inBody},
		"a call, after its end":                  {path: "/services/calls/" + fake.PoisonWord, point: afterEnd},
		"an order":                               {path: "/services/jobs/new", body: fake.PoisonWord, point: beforeResponse},
		"a call, after an error response":        {path: "/services/calls/" + fake.PoisonWord, point: afterError, callers: alone},
		"an order, after an error response":      {path: "/services/jobs/new", body: fake.PoisonWord, point: afterError, callers: alone},
		"a call, silently":                       {path: "/services/calls/" + fake.PoisonWord, point: silently, timeout: "500ms", callers: alone},
		"an order, silently":                     {path: "/services/jobs/new", body: fake.PoisonWord, point: silently, timeout: "500ms", callers: alone},
		"an order, after its end":                {path: "/services/jobs/new", body: fake.PoisonWord, point: afterEnd},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			fleet := newFleet(t, fleetOptions{hosts: 3, engines: 6, engineFlags: []string{"--step-time", "10ms", "--restart-time", "1s"}})
			var plainCrashes atomic.Int64
			resources := fleet.resources(defaultLimit) +
				fmt.Sprintf("[route \"jobs\"]\nworkspaces = shop\ndedup_window = 24h\ntimeout = %[1]s\n\n[route \"calls\"]\nworkspaces = shop\nrepeatable = true\ntimeout = %[1]s\n\n", cmp.Or(test.timeout, "10s"))
			for number := range 6 {
				server := newPlainServer(t, test.point, &plainCrashes)
				for _, service := range []string{"jobs", "calls"} {
					resources += fmt.Sprintf("[backend_server \"%s-%d\"]\naddress = %s\ndata_centre = dc-1\nservice = %s\n\n", service, number, server.address, service)
				}
			}
			fleet.apply(resources)
			for _, engine := range fleet.engines {
				is.NoErr(postJSON("http://"+engine+fake.PathFault, fake.EngineFault{CrashAfter: test.crashAfter}, nil))
			}
			for number := range 4 {
				is.True(send(fleet.hosts[0], "/v1/completions", fleet.key, completionBody(fmt.Sprintf("shop/a%d", number), 1)).complete())
			}
			crashes := func() int64 { return fleet.crashes() + plainCrashes.Load() }
			stop := make(chan struct{})
			var group sync.WaitGroup
			var refused, keys atomic.Int64
			for caller := range cmp.Or(test.callers, callers) {
				group.Go(func() {
					for number := caller; ; number++ {
						select {
						case <-stop:
							return
						case <-time.After(100 * time.Millisecond):
						}
						got := send(fleet.hosts[number%len(fleet.hosts)], test.path, fleet.key, test.body, "Idempotency-Key", fmt.Sprint("key-", keys.Add(1)))
						if got.refusal.Code == "crash_suspect" {
							refused.Add(1)
						}
					}
				})
			}
			startedAt, thirdAt, atBound := time.Now(), time.Now(), int64(-1)
			for time.Since(startedAt) < repeatsFor {
				time.Sleep(20 * time.Millisecond)
				seen := crashes()
				if seen < 3 {
					thirdAt = time.Now()
				} else if atBound < 0 && time.Since(thirdAt) > stopBound {
					atBound = seen
				}
			}
			close(stop)
			group.Wait()
			seen, late := crashes(), int64(0)
			if atBound >= 0 {
				late = seen - atBound
			}
			t.Logf("%d crashes, %d of them late, %d refused", seen, late, refused.Load())
			is.True(seen > 0)
			is.True(late <= maxLate)
			is.True(refused.Load() > 0)
			is.True(send(fleet.hosts[0], "/v1/completions", fleet.key, completionBody("shop/a2", 1)).complete())
		})
	}
}
