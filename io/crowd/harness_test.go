package crowd

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"lentilproxy/io/fake"
	"lentilproxy/platform/stub"
)

const (
	// memoryLimitMB and descriptorLimit are set for each daemon, and are the bounds of what it may use.
	memoryLimitMB   = 96
	descriptorLimit = 300
	// largeResponseBytes is the size of the responses on paths below target.large.
	largeResponseBytes = 3_000_000
	// waitTimeout bounds how long a test waits for a daemon to start, and to respond to an ordinary request.
	waitTimeout = 40 * time.Second
	// pollInterval is the time between two checks of a condition, and between two samples of the open descriptors.
	pollInterval = 20 * time.Millisecond
	// heartbeatInterval is the time between two writes of the servers' registrations.
	heartbeatInterval = 250 * time.Millisecond
	// keptLines is the number of log lines that a failed test shows, and requestTimeout bounds an ordinary request.
	keptLines      = 40
	requestTimeout = 5 * time.Second
)

var binariesDir string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "lentil")
	if err != nil {
		panic(err)
	}
	binariesDir = dir
	if output, err := exec.Command("go", "build", "-o", dir+"/", "lentilproxy/cmd/...").CombinedOutput(); err != nil {
		panic(string(output))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// target is a daemon that runs as a process, with the paths and heads of requests that it accepts.
type target struct {
	t       *testing.T
	address string
	process *exec.Cmd
	exited  chan struct{}
	// head returns the beginning of the head of a valid request, without its framing and the empty line at its end.
	head func(path string) string
	// path is that of ordinary requests, and large that of requests whose responses are large.
	path, large string
	// ordinary sends an ordinary request and reports whether it was answered.
	ordinary func() bool

	mutex sync.Mutex
	lines []string
	// descriptors is the largest number of open descriptors that was seen.
	descriptors int
}

// start starts a daemon and samples its open descriptors until the end of the test. The function ready reports whether it serves.
func (target *target) start(settings string, ready func() bool) {
	target.t.Helper()
	path := filepath.Join(target.t.TempDir(), "lentild.ini")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		target.t.Fatal(err)
	}
	target.process = exec.Command(filepath.Join(binariesDir, "lentild"), "--config", path)
	target.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	output, err := target.process.StdoutPipe()
	if err != nil {
		target.t.Fatal(err)
	}
	target.process.Stderr = target.process.Stdout
	if err = target.process.Start(); err != nil {
		target.t.Fatal(err)
	}
	target.exited = make(chan struct{})
	go target.readLog(output)
	stop, sampled := make(chan struct{}), make(chan struct{})
	go target.sampleDescriptors(stop, sampled)
	target.t.Cleanup(func() {
		close(stop)
		<-sampled
		_ = target.process.Process.Kill()
		<-target.exited
		if target.t.Failed() {
			target.t.Log(strings.Join(target.lines[max(0, len(target.lines)-keptLines):], "\n"))
		}
	})
	target.await("the daemon is ready", ready)
}

func (target *target) readLog(output io.Reader) {
	defer close(target.exited)
	scanner := bufio.NewScanner(output)
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		target.mutex.Lock()
		target.lines = append(target.lines, scanner.Text())
		target.mutex.Unlock()
	}
	_ = target.process.Wait()
}

func (target *target) sampleDescriptors(stop, sampled chan struct{}) {
	defer close(sampled)
	for {
		select {
		case <-stop:
			return
		case <-time.After(pollInterval):
		}
		entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", target.process.Process.Pid))
		target.mutex.Lock()
		target.descriptors = max(target.descriptors, len(entries))
		target.mutex.Unlock()
	}
}

// memoryMB returns the largest resident memory that the process has had, in units of 1,000,000 bytes.
func (target *target) memoryMB() int {
	target.t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", target.process.Process.Pid))
	if err != nil {
		target.t.Fatal(err)
	}
	for line := range strings.Lines(string(status)) {
		if fields := strings.Fields(line); len(fields) == 3 && fields[0] == "VmHWM:" {
			kilobytes, err := strconv.Atoi(fields[1])
			if err != nil {
				target.t.Fatal(err)
			}
			return kilobytes << 10 / 1_000_000
		}
	}
	target.t.Fatal("the process has ended")
	return 0
}

func (target *target) await(what string, condition func() bool) {
	target.t.Helper()
	for deadline := time.Now().Add(waitTimeout); !condition(); time.Sleep(pollInterval) {
		select {
		case <-target.exited:
			target.t.Fatal("the daemon has ended")
		default:
		}
		if time.Now().After(deadline) {
			target.t.Fatalf("condition %q not met", what)
		}
	}
}

// check verifies, while the crowd is still connected, that the process runs, that an ordinary request is answered, and that memory
// and descriptors have stayed under their bounds.
func (target *target) check() {
	target.t.Helper()
	target.await("an ordinary request is answered", target.ordinary)
	memory := target.memoryMB()
	target.mutex.Lock()
	descriptors := target.descriptors
	target.mutex.Unlock()
	target.t.Logf("resident memory %d MB of %d, descriptors %d of %d", memory, memoryLimitMB, descriptors, descriptorLimit)
	if memory > memoryLimitMB {
		target.t.Errorf("the process used %d MB of %d", memory, memoryLimitMB)
	}
	if descriptors > descriptorLimit {
		target.t.Errorf("the process had %d descriptors of %d", descriptors, descriptorLimit)
	}
}

// loopback is an address that no other test or process uses, so that its ports do not run out.
var loopback = fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()/250%250, os.Getpid()%250, 251)

// serve serves a handler on a loopback address until the end of the test, and returns the address.
func serve(t *testing.T, handler http.Handler) string {
	t.Helper()
	server, err := fake.Serve(loopback+":0", handler)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	return server.Address()
}

// freeAddresses returns unused loopback addresses.
func freeAddresses(t *testing.T, count int) []string {
	t.Helper()
	addresses := make([]string, count)
	for index := range addresses {
		listener, err := net.Listen("tcp", loopback+":0")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = listener.Close() }()
		addresses[index] = listener.Addr().String()
	}
	return addresses
}

// isOK reports whether a GET request gets status 200.
func isOK(url string) bool {
	response, err := http.Get(url)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

const limitSettings = "memory_limit_mb = %d\ndescriptor_limit = %d\n"

// newHosted starts a daemon on a stub of the platform. Its plain servers send large responses.
func newHosted(t *testing.T) *target {
	t.Helper()
	store := stub.NewStore()
	config := stub.NewConfig()
	config.Timeout = int((20 * time.Second).Milliseconds())
	config.Apply(store)
	storeAddress := serve(t, store)
	var servers []*stub.Server
	for number := range 2 {
		server, err := stub.NewServer(fmt.Sprint("server-", number), stub.ServiceOrders, stub.WithPadding(largeResponseBytes), stub.WithAddress(loopback+":0"))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(server.Close)
		servers = append(servers, server)
	}
	stop, done := make(chan struct{}), make(chan struct{})
	t.Cleanup(func() {
		close(stop)
		<-done
	})
	go func() {
		defer close(done)
		for {
			for _, server := range servers {
				store.Put("servers", server.ID(), server.Registration("ready"))
			}
			select {
			case <-time.After(heartbeatInterval):
			case <-stop:
				return
			}
		}
	}()
	addresses := freeAddresses(t, 4)
	target := &target{t: t, address: addresses[0], path: stub.OrderPath, large: stub.OrderPath}
	target.head = func(path string) string { return stub.BeginHead(stub.NewID(), path, stub.Key) }
	target.ordinary = func() bool {
		return target.send(target.head(target.path)+"Content-Length: 5\r\n\r\nhello", http.StatusOK)
	}
	target.start(fmt.Sprintf("[host]\nname = host-1\ndata_centre = dc-1\n"+limitSettings+"\n[listen]\ncallers = %s\nready = %s\npeers = %s\nmetrics = %s\n\n[platform]\nstore = %s\n",
		memoryLimitMB, descriptorLimit, addresses[0], addresses[1], addresses[2], addresses[3], storeAddress),
		func() bool { return isOK("http://" + addresses[1] + "/v1/readiness") })
	target.await("the servers are known", target.ordinary)
	return target
}

// newOwn starts a daemon on the project's own interface, with a plain service and one whose responses are large.
func newOwn(t *testing.T) *target {
	t.Helper()
	table := serve(t, fake.NewTable())
	service := serve(t, fake.NewService())
	padding := make([]byte, largeResponseBytes)
	large := serve(t, http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body)
		_, _ = writer.Write(padding)
	}))
	addresses := freeAddresses(t, 3)
	target := &target{t: t, address: addresses[0], path: "/services/stock/item", large: "/services/large/item"}
	key := ""
	target.head = func(path string) string {
		return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: shop.example\r\nAuthorization: Bearer %s\r\n", path, key)
	}
	target.ordinary = func() bool {
		return target.send(target.head(target.path)+"Content-Length: 5\r\n\r\nhello", http.StatusCreated)
	}
	target.start(fmt.Sprintf("[host]\nname = host-1\ndata_centre = dc-1\n"+limitSettings+"\n[listen]\ncallers = %s\noperators = %s\npeers = %s\n\n[platform]\ntable = %s\n",
		memoryLimitMB, descriptorLimit, addresses[0], addresses[1], addresses[2], table),
		func() bool { return isOK("http://" + addresses[0] + "/readyz") })
	resources := "[workspace \"shop\"]\nweight = 1\n\n"
	for name, address := range map[string]string{"stock": service, "large": large} {
		resources += fmt.Sprintf("[route %q]\nworkspaces = shop\nrepeatable = true\n\n[backend_server \"%s-1\"]\naddress = %s\ndata_centre = dc-1\nservice = %s\n\n",
			name, name, address, name)
	}
	path := filepath.Join(t.TempDir(), "resources.ini")
	if err := os.WriteFile(path, []byte(resources), 0o600); err != nil {
		t.Fatal(err)
	}
	runCtl(t, addresses[1], "apply", "-f", path)
	var granted struct {
		Key string `json:"key"`
	}
	if err := json.Unmarshal(runCtl(t, addresses[1], "--output", "json", "key", "grant", "shop"), &granted); err != nil {
		t.Fatal(err)
	}
	key = granted.Key
	target.await("the resources are known", target.ordinary)
	return target
}

// runCtl runs lentilctl against the operators' address of a daemon and returns its output.
func runCtl(t *testing.T, operators string, args ...string) []byte {
	t.Helper()
	output, err := exec.Command(filepath.Join(binariesDir, "lentilctl"), append([]string{"--address", operators}, args...)...).CombinedOutput()
	if err != nil {
		t.Fatalf("%s: %s", err, output)
	}
	return output
}

// send sends a request on a new connection and reports whether a complete response with a status is received.
func (target *target) send(request string, status int) bool {
	conn, err := net.Dial("tcp", target.address)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(requestTimeout))
	if _, err = io.WriteString(conn, request); err != nil {
		return false
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return err == nil && response.StatusCode == status
}
