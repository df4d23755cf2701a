package proc

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
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
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

const (
	startTimeout = 20 * time.Second
	pollInterval = 20 * time.Millisecond
)

var binariesDir string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "lentil")
	if err != nil {
		panic(err)
	}
	binariesDir = dir
	args := append([]string{"build", "-o", dir + "/"}, strings.Fields(os.Getenv("LENTIL_BUILD_FLAGS"))...)
	build := exec.Command("go", append(args, "lentilproxy/cmd/...")...)
	if output, err := build.CombinedOutput(); err != nil {
		panic(string(output))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// process is a running program and its output.
type process struct {
	t        testing.TB
	cmd      *exec.Cmd
	mutex    sync.Mutex
	output   []string
	exited   chan struct{}
	exitCode int
}

func startProcess(t testing.TB, program string, args ...string) *process {
	t.Helper()
	process := &process{t: t, cmd: exec.Command(filepath.Join(binariesDir, program), args...), exited: make(chan struct{})}
	stdout, err := process.cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	process.cmd.Stderr = process.cmd.Stdout
	if err = process.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		scanner := bufio.NewScanner(stdout)
		for scanner.Scan() {
			process.mutex.Lock()
			process.output = append(process.output, scanner.Text())
			process.mutex.Unlock()
		}
		_ = process.cmd.Wait()
		process.exitCode = process.cmd.ProcessState.ExitCode()
		close(process.exited)
	}()
	t.Cleanup(process.kill)
	return process
}

func (process *process) kill() {
	_ = process.cmd.Process.Kill()
	<-process.exited
}

func (process *process) signal(signal syscall.Signal) {
	_ = process.cmd.Process.Signal(signal)
}

// awaitLine waits for an output line that contains a text, and returns it.
func (process *process) awaitLine(text string) string {
	process.t.Helper()
	var found string
	await(process.t, startTimeout, "an output line contains "+text, func() bool {
		process.mutex.Lock()
		defer process.mutex.Unlock()
		for _, line := range process.output {
			if strings.Contains(line, text) {
				found = line
				return true
			}
		}
		return false
	})
	return found
}

func (process *process) outputLines() []string {
	process.mutex.Lock()
	defer process.mutex.Unlock()
	return append([]string(nil), process.output...)
}

func await(t testing.TB, timeout time.Duration, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(timeout)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("condition %q not met within %s", what, timeout)
		}
		time.Sleep(pollInterval)
	}
}

// startFake starts a fake external system and returns its address.
func startFake(t testing.TB, args ...string) string {
	t.Helper()
	process := startProcess(t, "lentildev", args...)
	line := process.awaitLine("listening on ")
	return strings.TrimPrefix(line, "listening on ")
}

// faultProxy is a TCP proxy that can block the connections of individual source addresses.
type faultProxy struct {
	listener    net.Listener
	target      string
	mutex       sync.Mutex
	connSources map[net.Conn]string
	blocked     map[string]bool
}

// allSources as a source matches every source address.
const allSources = "*"

func newFaultProxy(t testing.TB, address, target string) *faultProxy {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	faultProxy := &faultProxy{listener: listener, target: target, connSources: map[net.Conn]string{}, blocked: map[string]bool{}}
	t.Cleanup(func() {
		_ = listener.Close()
		faultProxy.setBlocked(allSources, true)
	})
	go func() {
		for {
			conn, err := listener.Accept()
			switch {
			case errors.Is(err, net.ErrClosed):
				return
			case err != nil:
				// The test may be out of file descriptors until other connections end.
				time.Sleep(pollInterval)
			default:
				go faultProxy.forward(conn)
			}
		}
	}()
	return faultProxy
}

func (faultProxy *faultProxy) address() string { return faultProxy.listener.Addr().String() }

// forward copies data in both directions. A new connection from a blocked source stays open without a response, as
// over a network that drops packets.
func (faultProxy *faultProxy) forward(conn net.Conn) {
	source, _, _ := net.SplitHostPort(conn.RemoteAddr().String())
	faultProxy.mutex.Lock()
	if faultProxy.blocked[source] || faultProxy.blocked[allSources] {
		faultProxy.mutex.Unlock()
		return
	}
	upstream, err := net.Dial("tcp", faultProxy.target)
	if err != nil {
		faultProxy.mutex.Unlock()
		_ = conn.Close()
		return
	}
	faultProxy.connSources[conn], faultProxy.connSources[upstream] = source, source
	faultProxy.mutex.Unlock()
	runConcurrently(2, func(direction int) {
		from, to := conn, upstream
		if direction == 1 {
			from, to = upstream, conn
		}
		// Without the methods of a TCP connection, io.Copy needs no pipe, which would take two more file descriptors.
		_, _ = io.Copy(struct{ io.Writer }{to}, struct{ io.Reader }{from})
		_ = to.Close()
	})
	faultProxy.mutex.Lock()
	defer faultProxy.mutex.Unlock()
	delete(faultProxy.connSources, conn)
	delete(faultProxy.connSources, upstream)
}

// setBlocked closes the connections of a source and blocks its new ones, or lets new ones through again.
func (faultProxy *faultProxy) setBlocked(source string, blocked bool) {
	faultProxy.mutex.Lock()
	defer faultProxy.mutex.Unlock()
	faultProxy.blocked[source] = blocked
	if !blocked {
		return
	}
	for conn, from := range faultProxy.connSources {
		if source == allSources || from == source {
			_ = conn.Close()
		}
	}
}

// host is one daemon with the proxies in front of its table service and its peer port.
type host struct {
	*process
	ip              string
	tableProxy      *faultProxy
	peerProxy       *faultProxy
	name            string
	settingsPath    string
	callerAddress   string
	operatorAddress string
}

// fleet is a deployment whose daemons and fake external systems each run as a process.
type fleet struct {
	t testing.TB
	// table, weights, engines and service are the addresses of the fake external systems.
	table   string
	weights string
	engines []string
	service string
	hosts   []*host
	// key and keyName are the API key of the workspace shop and its name.
	key            string
	keyName        string
	slotsPerEngine int
}

// logOutput logs the last lines that each daemon wrote.
func (fleet *fleet) logOutput() {
	for _, host := range fleet.hosts {
		lines := host.outputLines()
		for _, line := range lines[max(0, len(lines)-400):] {
			fleet.t.Logf("%s: %s", host.name, line)
		}
	}
}

type fleetOptions struct {
	hosts       int
	engines     int
	engineFlags []string
	limit       string
	// slotsPerEngine is the adapter capacity of each engine; 0 means 4.
	slotsPerEngine int
}

const defaultLimit = "rate_tokens_per_second = 100000\nburst_tokens = 200000\n"

// newFleet starts the fake external systems and the daemons, declares the resources of the workspaces shop and stall,
// and grants an API key for shop.
func newFleet(t testing.TB, options fleetOptions) *fleet {
	t.Helper()
	fleet := &fleet{t: t}
	t.Cleanup(func() {
		if t.Failed() {
			fleet.logOutput()
		}
	})
	fleet.table = startFake(t, "table")
	fleet.weights = startFake(t, "weights", "--full-speed", "16")
	fleet.slotsPerEngine = cmp.Or(options.slotsPerEngine, 4)
	for range options.engines {
		flags := append([]string{"engine", "--weights", fleet.weights, "--slots", strconv.Itoa(fleet.slotsPerEngine)}, options.engineFlags...)
		address := startFake(t, flags...)
		fleet.engines = append(fleet.engines, address)
	}
	fleet.service = startFake(t, "service")
	for number := range options.hosts {
		fleet.hosts = append(fleet.hosts, fleet.newHost(fmt.Sprintf("host-%d", number+1)))
	}
	runConcurrently(options.hosts, func(number int) { fleet.hosts[number].start(t) })
	fleet.awaitRoster(options.hosts)
	if options.limit == "" {
		options.limit = defaultLimit
	}
	fleet.apply(fleet.resources(options.limit))
	fleet.key, fleet.keyName = fleet.grantKey("shop")
	return fleet
}

// newHost writes a daemon's settings file and starts the proxies in front of its table service and its peer port.
func (fleet *fleet) newHost(name string) *host {
	fleet.t.Helper()
	host := &host{name: name, settingsPath: filepath.Join(fleet.t.TempDir(), name+".ini")}
	host.ip = newIP()
	host.tableProxy = newFaultProxy(fleet.t, "127.0.0.1:0", fleet.table)
	peers := freeAddress(fleet.t, host.ip)
	host.peerProxy = newFaultProxy(fleet.t, "127.0.0.1:0", peers)
	content := fmt.Sprintf("[host]\nname = %s\ndata_centre = dc-1\n\n[listen]\ncallers = 127.0.0.1:0\noperators = 127.0.0.1:0\n"+
		"peers = %s\nadvertise_peers = %s\n\n[platform]\ntable = %s\n\n[weights]\nloads_per_second = 20\nparallel = 4\n\n"+
		"[objective \"availability\"]\nindicator = availability\ntarget = 0.99\n", name, peers, host.peerProxy.address(), host.tableProxy.address())
	if err := os.WriteFile(host.settingsPath, []byte(content), 0o600); err != nil {
		fleet.t.Fatal(err)
	}
	return host
}

// ipCount is the number of addresses that newIP has returned.
var ipCount atomic.Int64

// newIP returns a loopback address that no other test or process uses. Ports chosen on it stay free until they are used, also while a
// process is restarted: outgoing connections of others do not take them as their local ports.
func newIP() string {
	count := int(ipCount.Add(1))
	return fmt.Sprintf("127.%d.%d.%d", 1+(os.Getpid()/250+count/250)%250, os.Getpid()%250, 1+count%250)
}

// freeAddress returns an unused TCP address on an IP address.
func freeAddress(t testing.TB, ip string) string {
	t.Helper()
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

// isolate blocks the connections between a host and its peers in both directions, or lets new ones through again.
func (fleet *fleet) isolate(isolated *host, blocked bool) {
	isolated.peerProxy.setBlocked(allSources, blocked)
	for _, other := range fleet.hosts {
		other.peerProxy.setBlocked(isolated.ip, blocked)
	}
}

// start starts the daemon with the host's settings file and waits until it is ready.
func (host *host) start(t testing.TB) {
	t.Helper()
	host.process = startProcess(t, "lentild", "--config", host.settingsPath)
	var started struct {
		Callers   string `json:"callers"`
		Operators string `json:"operators"`
	}
	if err := json.Unmarshal([]byte(host.awaitLine(`"message":"started"`)), &started); err != nil {
		t.Fatal(err)
	}
	host.callerAddress, host.operatorAddress = started.Callers, started.Operators
	await(t, startTimeout, host.name+" is ready", host.ready)
}

func (host *host) ready() bool {
	response, err := http.Get("http://" + host.callerAddress + "/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (fleet *fleet) awaitRoster(count int) {
	fleet.t.Helper()
	await(fleet.t, startTimeout, "the roster is settled", func() bool {
		for _, host := range fleet.hosts {
			var status struct {
				RosterSettled bool              `json:"roster_settled"`
				Hosts         []json.RawMessage `json:"hosts"`
			}
			if !getJSON("http://"+host.operatorAddress+"/v1/status", &status) || !status.RosterSettled || len(status.Hosts) != count {
				return false
			}
		}
		return true
	})
}

func getJSON(url string, result any) bool {
	response, err := http.Get(url)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	return json.NewDecoder(response.Body).Decode(result) == nil
}

func postJSON(url string, body, result any) error {
	content, err := json.Marshal(body)
	if err != nil {
		return err
	}
	response, err := http.Post(url, "application/json", bytes.NewReader(content))
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if result == nil {
		return nil
	}
	return json.NewDecoder(response.Body).Decode(result)
}

func (fleet *fleet) resources(limit string) string {
	text := strings.Builder{}
	for _, workspace := range []string{"shop", "stall"} {
		fmt.Fprintf(&text, "[workspace %q]\nweight = 1\n\n[limit %q]\n%s\n", workspace, workspace, limit)
		for number := range 6 {
			fmt.Fprintf(&text, "[adapter \"%s/a%d\"]\nbase_model = base-1\ndefault_version = v1\n\n", workspace, number)
			fmt.Fprintf(&text, "[version \"%s/a%d@v1\"]\nsource = a/1\n\n[version \"%s/a%d@v2\"]\nsource = a/2\n\n", workspace, number, workspace, number)
		}
	}
	text.WriteString("[adapter \"shop/open\"]\nbase_model = base-1\ndefault_version = v1\nopen = true\n\n[version \"shop/open@v1\"]\nsource = o/1\n\n")
	text.WriteString("[route \"orders\"]\nworkspaces = shop\ndedup_window = 24h\ntimeout = 10s\n\n[route \"stock\"]\nworkspaces = shop\nrepeatable = true\n\n")
	for number, address := range fleet.engines {
		fmt.Fprintf(&text, "[backend_server \"engine-%d\"]\naddress = %s\ndata_centre = dc-1\nbase_model = base-1\nslots = %d\n\n", number+1, address, fleet.slotsPerEngine)
	}
	for _, service := range []string{"orders", "stock"} {
		fmt.Fprintf(&text, "[backend_server \"%s-1\"]\naddress = %s\ndata_centre = dc-1\nservice = %s\n\n", service, fleet.service, service)
	}
	return text.String()
}

// runCtl runs lentilctl against the operator address of a daemon.
func runCtl(t testing.TB, operators string, args ...string) (output string, code int) {
	t.Helper()
	command := exec.Command(filepath.Join(binariesDir, "lentilctl"), append([]string{"--address", operators}, args...)...)
	content, err := command.CombinedOutput()
	if err != nil && command.ProcessState == nil {
		t.Fatal(err)
	}
	return string(content), command.ProcessState.ExitCode()
}

func (fleet *fleet) apply(resources string) {
	fleet.t.Helper()
	path := filepath.Join(fleet.t.TempDir(), "resources.ini")
	if err := os.WriteFile(path, []byte(resources), 0o600); err != nil {
		fleet.t.Fatal(err)
	}
	if output, code := runCtl(fleet.t, fleet.hosts[0].operatorAddress, "apply", "-f", path); code != 0 {
		fleet.t.Fatalf("apply ended with %d: %s", code, output)
	}
}

func (fleet *fleet) grantKey(workspace string) (key, name string) {
	fleet.t.Helper()
	var granted struct {
		Name string `json:"name"`
		Key  string `json:"key"`
	}
	output, code := runCtl(fleet.t, fleet.hosts[0].operatorAddress, "--output", "json", "key", "grant", workspace)
	if err := json.Unmarshal([]byte(output), &granted); err != nil || code != 0 {
		fleet.t.Fatalf("grant ended with %d: %s", code, output)
	}
	return granted.Key, granted.Name
}

// response is a response as its caller received it.
type response struct {
	status  int
	header  http.Header
	body    string
	err     error
	refusal refusal
	took    time.Duration
}

type refusal struct {
	Code     string `json:"code"`
	Executed string `json:"executed"`
}

func (response response) complete() bool {
	return response.err == nil && response.status == http.StatusOK && strings.HasSuffix(response.body, "data: [DONE]\n\n")
}

// send sends a caller's request and reads the complete response.
func send(host *host, path, key, body string, headers ...string) response {
	began := time.Now()
	request, err := http.NewRequest(http.MethodPost, "http://"+host.callerAddress+path, strings.NewReader(body))
	if err != nil {
		return response{err: err}
	}
	request.Header.Set("Content-Type", "application/json")
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	for index := 0; index+1 < len(headers); index += 2 {
		request.Header.Set(headers[index], headers[index+1])
	}
	httpResponse, err := http.DefaultClient.Do(request)
	if err != nil {
		return response{err: err, took: time.Since(began)}
	}
	defer func() { _ = httpResponse.Body.Close() }()
	content, err := io.ReadAll(httpResponse.Body)
	result := response{status: httpResponse.StatusCode, header: httpResponse.Header, body: string(content), err: err, took: time.Since(began)}
	var envelope struct {
		Error refusal `json:"error"`
	}
	if httpResponse.StatusCode != http.StatusOK && json.Unmarshal(content, &envelope) == nil {
		result.refusal = envelope.Error
	}
	return result
}

func completionBody(model string, tokens int) string {
	return fmt.Sprintf(`{"model":%q,"prompt":"hello","stream":true,"max_tokens":%d}`, model, tokens)
}

// runConcurrently calls a function with the numbers below count, all at once, and waits until all calls return.
func runConcurrently(count int, run func(number int)) {
	var group sync.WaitGroup
	for number := range count {
		group.Go(func() { run(number) })
	}
	group.Wait()
}
