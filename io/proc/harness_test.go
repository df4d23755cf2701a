package proc

import (
	"bufio"
	"bytes"
	"cmp"
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
)

const (
	startWait = 20 * time.Second
	pollEvery = 20 * time.Millisecond
)

var binaries string

func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "lentil")
	if err != nil {
		panic(err)
	}
	binaries = folder
	args := append([]string{"build", "-o", folder + "/"}, strings.Fields(os.Getenv("LENTIL_BUILD_FLAGS"))...)
	build := exec.Command("go", append(args, "lentilproxy/cmd/...")...)
	if output, err := build.CombinedOutput(); err != nil {
		panic(string(output))
	}
	code := m.Run()
	_ = os.RemoveAll(folder)
	os.Exit(code)
}

// process is one running program.
type process struct {
	t      testing.TB
	cmd    *exec.Cmd
	mutex  sync.Mutex
	output []string
	ended  chan struct{}
	code   int
}

func start(t testing.TB, program string, args ...string) *process {
	t.Helper()
	process := &process{t: t, cmd: exec.Command(filepath.Join(binaries, program), args...), ended: make(chan struct{})}
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
		process.code = process.cmd.ProcessState.ExitCode()
		close(process.ended)
	}()
	t.Cleanup(process.kill)
	return process
}

func (process *process) kill() {
	_ = process.cmd.Process.Kill()
	<-process.ended
}

func (process *process) signal(signal syscall.Signal) {
	_ = process.cmd.Process.Signal(signal)
}

// line waits for an output line that contains a text.
func (process *process) line(text string) string {
	process.t.Helper()
	var found string
	await(process.t, startWait, "a line with "+text, func() bool {
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

func (process *process) lines() []string {
	process.mutex.Lock()
	defer process.mutex.Unlock()
	return append([]string(nil), process.output...)
}

func await(t testing.TB, limit time.Duration, what string, done func() bool) {
	t.Helper()
	deadline := time.Now().Add(limit)
	for !done() {
		if time.Now().After(deadline) {
			t.Fatalf("%s did not happen within %s", what, limit)
		}
		time.Sleep(pollEvery)
	}
}

// standIn starts a stand-in and returns its address.
func standIn(t testing.TB, args ...string) string {
	t.Helper()
	process := start(t, "lentildev", args...)
	line := process.line("listening on ")
	return strings.TrimPrefix(line, "listening on ")
}

// cutter passes connections on to an address, and cuts those of some sources.
type cutter struct {
	listener net.Listener
	target   string
	mutex    sync.Mutex
	open     map[net.Conn]string
	cut      map[string]bool
}

// everybody stands for all sources.
const everybody = "*"

func newCutter(t testing.TB, address, target string) *cutter {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	cutter := &cutter{listener: listener, target: target, open: map[net.Conn]string{}, cut: map[string]bool{}}
	t.Cleanup(func() {
		_ = listener.Close()
		cutter.set(everybody, true)
	})
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go cutter.pass(conn)
		}
	}()
	return cutter
}

func (cutter *cutter) address() string { return cutter.listener.Addr().String() }

// pass copies both ways. A connection that is cut stays open and silent, as over a network that drops packets.
func (cutter *cutter) pass(conn net.Conn) {
	source, _, _ := net.SplitHostPort(conn.RemoteAddr().String())
	cutter.mutex.Lock()
	if cutter.cut[source] || cutter.cut[everybody] {
		cutter.mutex.Unlock()
		return
	}
	onward, err := net.Dial("tcp", cutter.target)
	if err != nil {
		cutter.mutex.Unlock()
		_ = conn.Close()
		return
	}
	cutter.open[conn], cutter.open[onward] = source, source
	cutter.mutex.Unlock()
	each(2, func(direction int) {
		from, to := conn, onward
		if direction == 1 {
			from, to = onward, conn
		}
		_, _ = io.Copy(to, from)
		_ = to.Close()
	})
	cutter.mutex.Lock()
	defer cutter.mutex.Unlock()
	delete(cutter.open, conn)
	delete(cutter.open, onward)
}

// set cuts the connections of a source, or lets new ones through again.
func (cutter *cutter) set(source string, cut bool) {
	cutter.mutex.Lock()
	defer cutter.mutex.Unlock()
	cutter.cut[source] = cut
	if !cut {
		return
	}
	for conn, from := range cutter.open {
		if source == everybody || from == source {
			_ = conn.Close()
		}
	}
}

// host is one daemon.
type host struct {
	*process
	ip        string
	table     *cutter
	peers     *cutter
	name      string
	settings  string
	callers   string
	operators string
}

// fleet is a whole deployment in processes.
type fleet struct {
	t       testing.TB
	table   string
	weights string
	engines []string
	service string
	hosts   []*host
	key     string
	keyName string
	slots   int
}

type fleetOptions struct {
	hosts       int
	engines     int
	engineFlags []string
	limit       string
	// slots is the number of adapters that fit on an engine, 4 by default.
	slots int
}

const defaultLimit = "rate_tokens_per_second = 100000\nburst_tokens = 200000\n"

// newFleet starts the stand-ins and the daemons, declares the resources of shop and stall, and makes a key.
func newFleet(t testing.TB, options fleetOptions) *fleet {
	t.Helper()
	fleet := &fleet{t: t}
	fleet.table = standIn(t, "table")
	fleet.weights = standIn(t, "weights", "--full-speed", "16")
	fleet.slots = cmp.Or(options.slots, 4)
	for range options.engines {
		flags := append([]string{"engine", "--weights", fleet.weights, "--slots", strconv.Itoa(fleet.slots)}, options.engineFlags...)
		address := standIn(t, flags...)
		fleet.engines = append(fleet.engines, address)
	}
	fleet.service = standIn(t, "service")
	for number := range options.hosts {
		fleet.hosts = append(fleet.hosts, fleet.newHost(fmt.Sprintf("host-%d", number+1)))
	}
	each(options.hosts, func(number int) { fleet.hosts[number].restart(t) })
	fleet.awaitRoster(options.hosts)
	if options.limit == "" {
		options.limit = defaultLimit
	}
	fleet.apply(fleet.resources(options.limit))
	fleet.key, fleet.keyName = fleet.grant("shop")
	return fleet
}

// newHost writes the settings of a daemon and puts cutters before its table and its peers' port.
func (fleet *fleet) newHost(name string) *host {
	fleet.t.Helper()
	host := &host{name: name, settings: filepath.Join(fleet.t.TempDir(), name+".ini")}
	host.ip = fmt.Sprintf("127.0.0.%d", 10+len(fleet.hosts))
	host.table = newCutter(fleet.t, host.ip+":0", fleet.table)
	peers := freeAddress(fleet.t, host.ip)
	host.peers = newCutter(fleet.t, host.ip+":0", peers)
	content := fmt.Sprintf("[host]\nname = %s\ndata_centre = dc-1\n\n[listen]\ncallers = 127.0.0.1:0\noperators = 127.0.0.1:0\n"+
		"peers = %s\nadvertise_peers = %s\n\n[platform]\ntable = %s\n\n[weights]\nloads_per_second = 20\nparallel = 4\n\n"+
		"[objective \"availability\"]\nindicator = availability\ntarget = 0.99\n", name, peers, host.peers.address(), host.table.address())
	if err := os.WriteFile(host.settings, []byte(content), 0o600); err != nil {
		fleet.t.Fatal(err)
	}
	return host
}

// freeAddress returns an address that nobody listens on.
func freeAddress(t testing.TB, ip string) string {
	t.Helper()
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

// isolate cuts a host from its peers in both directions, or connects it again.
func (fleet *fleet) isolate(isolated *host, cut bool) {
	isolated.peers.set(everybody, cut)
	for _, other := range fleet.hosts {
		other.peers.set(isolated.ip, cut)
	}
}

// restart runs the daemon again with the same settings.
func (host *host) restart(t testing.TB) {
	t.Helper()
	host.process = start(t, "lentild", "--config", host.settings)
	var started struct {
		Callers   string `json:"callers"`
		Operators string `json:"operators"`
	}
	if err := json.Unmarshal([]byte(host.line(`"message":"started"`)), &started); err != nil {
		t.Fatal(err)
	}
	host.callers, host.operators = started.Callers, started.Operators
	await(t, startWait, host.name+" is ready", host.ready)
}

func (host *host) ready() bool {
	response, err := http.Get("http://" + host.callers + "/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (fleet *fleet) awaitRoster(count int) {
	fleet.t.Helper()
	await(fleet.t, startWait, "the roster is settled", func() bool {
		for _, host := range fleet.hosts {
			var status struct {
				RosterSettled bool              `json:"roster_settled"`
				Hosts         []json.RawMessage `json:"hosts"`
			}
			if !getJSON("http://"+host.operators+"/v1/status", &status) || !status.RosterSettled || len(status.Hosts) != count {
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
		fmt.Fprintf(&text, "[backend_server \"engine-%d\"]\naddress = %s\ndata_centre = dc-1\nbase_model = base-1\nslots = %d\n\n", number+1, address, fleet.slots)
	}
	for _, service := range []string{"orders", "stock"} {
		fmt.Fprintf(&text, "[backend_server \"%s-1\"]\naddress = %s\ndata_centre = dc-1\nservice = %s\n\n", service, fleet.service, service)
	}
	return text.String()
}

// ctl runs the operators' command line against a daemon.
func ctl(t testing.TB, operators string, args ...string) (output string, code int) {
	t.Helper()
	command := exec.Command(filepath.Join(binaries, "lentilctl"), append([]string{"--address", operators}, args...)...)
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
	if output, code := ctl(fleet.t, fleet.hosts[0].operators, "apply", "-f", path); code != 0 {
		fleet.t.Fatalf("apply ended with %d: %s", code, output)
	}
}

func (fleet *fleet) grant(workspace string) (key, name string) {
	fleet.t.Helper()
	var granted struct {
		Name string `json:"name"`
		Key  string `json:"key"`
	}
	output, code := ctl(fleet.t, fleet.hosts[0].operators, "--output", "json", "key", "grant", workspace)
	if err := json.Unmarshal([]byte(output), &granted); err != nil || code != 0 {
		fleet.t.Fatalf("grant ended with %d: %s", code, output)
	}
	return granted.Key, granted.Name
}

// answer is a caller's view of an answer.
type answer struct {
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

func (answer answer) whole() bool {
	return answer.err == nil && answer.status == http.StatusOK && strings.HasSuffix(answer.body, "data: [DONE]\n\n")
}

// send sends a caller's request and reads the whole answer.
func send(host *host, path, key, body string, headers ...string) answer {
	began := time.Now()
	request, err := http.NewRequest(http.MethodPost, "http://"+host.callers+path, strings.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	request.Header.Set("Content-Type", "application/json")
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	for index := 0; index+1 < len(headers); index += 2 {
		request.Header.Set(headers[index], headers[index+1])
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return answer{err: err, took: time.Since(began)}
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	result := answer{status: response.StatusCode, header: response.Header, body: string(content), err: err, took: time.Since(began)}
	var envelope struct {
		Error refusal `json:"error"`
	}
	if response.StatusCode != http.StatusOK && json.Unmarshal(content, &envelope) == nil {
		result.refusal = envelope.Error
	}
	return result
}

func completionBody(model string, tokens int) string {
	return fmt.Sprintf(`{"model":%q,"prompt":"hello","stream":true,"max_tokens":%d}`, model, tokens)
}

// each runs a function for a number of callers at once.
func each(count int, run func(number int)) {
	var group sync.WaitGroup
	for number := range count {
		group.Go(func() { run(number) })
	}
	group.Wait()
}
