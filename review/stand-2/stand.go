//go:build review

package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"

	"lentilproxy/platform/stub"
)

const (
	// heartbeatInterval is the time between two writes of a server's registration, as in the small sites.
	heartbeatInterval = 1200 * time.Millisecond
	// readyTimeout bounds the wait until a daemon is ready.
	readyTimeout = 10 * time.Second
	// program is the program that the build of the deploy file makes.
	program = "target/lentild"
	// template is the settings template of the deploy file.
	template = "deploy/settings.ini"
)

var errNotReady = errors.New("a daemon did not become ready")

// stand is the platform of a case: its store, servers and daemons.
type stand struct {
	folder  string
	trouble bool
	started time.Time

	mutex     sync.Mutex
	recordTo  *os.File
	store     *stub.Store
	listener  net.Listener
	daemons   []*daemon
	servers   []*server
	stop      chan struct{}
	closeOnce sync.Once
	subnet    int
}

// server is a stand-in of a backend server and the state in its registration; "" stands for none.
type server struct {
	*stub.Server
	state string
}

func newStand(record string, trouble bool) (*stand, error) {
	folder, err := os.MkdirTemp("", "stand-2-")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	subnet, err := freeSubnet()
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	stand := &stand{
		folder: folder, trouble: trouble, started: time.Now(), recordTo: file, store: stub.NewStore(), listener: listener,
		stop: make(chan struct{}), subnet: subnet,
	}
	go func() { _ = (&http.Server{Handler: stand.store, ReadHeaderTimeout: time.Second}).Serve(listener) }()
	go func() {
		for {
			select {
			case <-time.After(heartbeatInterval):
				stand.register()
			case <-stand.stop:
				return
			}
		}
	}()
	stand.record("trouble: %v", trouble)
	return stand, nil
}

// freeSubnet returns the second byte of loopback addresses on which nothing listens at the port of the metrics, which the deploy file
// fixes.
func freeSubnet() (int, error) {
	for subnet := 40 + os.Getpid()%150; subnet < 250; subnet++ {
		listener, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.1:9464", subnet))
		if err == nil {
			return subnet, listener.Close()
		}
	}
	return 0, errors.New("no free loopback addresses")
}

// record writes a line with the time since the start to the record.
func (stand *stand) record(format string, arguments ...any) {
	stand.mutex.Lock()
	defer stand.mutex.Unlock()
	_, _ = fmt.Fprintf(stand.recordTo, "%8.3f %s\n", time.Since(stand.started).Seconds(), fmt.Sprintf(format, arguments...))
}

// close ends all processes and servers.
func (stand *stand) close() {
	stand.closeOnce.Do(func() {
		close(stand.stop)
		for _, daemon := range stand.daemons {
			daemon.kill()
		}
		for _, server := range stand.servers {
			server.Close()
		}
		_ = stand.listener.Close()
		_ = os.RemoveAll(stand.folder)
	})
}

// addServer starts a server of a service, which registers at once.
func (stand *stand) addServer(id, service string, options ...stub.ServerOption) (*server, error) {
	started, err := stub.NewServer(id, service, options...)
	if err != nil {
		return nil, err
	}
	added := &server{Server: started, state: "ready"}
	stand.mutex.Lock()
	stand.servers = append(stand.servers, added)
	stand.mutex.Unlock()
	stand.register()
	return added, nil
}

// replace adds a server, in the place of an earlier one with the same name.
func (stand *stand) replace(added *server) {
	stand.mutex.Lock()
	kept := stand.servers[:0:0]
	for _, other := range stand.servers {
		if other.ID() != added.ID() {
			kept = append(kept, other)
		}
	}
	stand.servers = append(kept, added)
	stand.mutex.Unlock()
	stand.register()
}

// silence ends the heartbeats of a server; its entry stays.
func (stand *stand) silence(id string) {
	stand.mutex.Lock()
	defer stand.mutex.Unlock()
	for _, server := range stand.servers {
		if server.ID() == id {
			server.state = ""
		}
	}
}

// register writes the registrations of all servers.
func (stand *stand) register() {
	stand.mutex.Lock()
	defer stand.mutex.Unlock()
	for _, server := range stand.servers {
		if server.state != "" {
			stand.store.Put("servers", server.ID(), server.Registration(server.state))
		}
	}
}

// deregister removes the registration of a server, which goes on serving.
func (stand *stand) deregister(server *server) {
	stand.mutex.Lock()
	defer stand.mutex.Unlock()
	server.state = ""
	stand.store.Delete("servers", server.ID())
}

// daemon is a process of lentild on a loopback address of its own.
type daemon struct {
	stand    *stand
	name     string
	ip       string
	settings string
	frontend string
	ready    string

	mutex   sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
}

var placeholder = regexp.MustCompile(`\{\{([a-z_.0-9]+)\}\}`)

// addDaemon renders the settings of a daemon from the template of the deploy file, and starts it.
func (stand *stand) addDaemon(zone, store string) (*daemon, error) {
	number := len(stand.daemons) + 1
	added := &daemon{stand: stand, name: fmt.Sprintf("edge-%s-%d", zone, number), ip: fmt.Sprintf("127.%d.0.%d", stand.subnet, number)}
	added.frontend, added.ready = added.ip+":8221", added.ip+":8224"
	added.settings = filepath.Join(stand.folder, added.name+".ini")
	content, err := os.ReadFile(template)
	if err != nil {
		return nil, err
	}
	// The bounds of the small sites.
	fields := map[string]string{
		"node_name": added.name, "zone": zone, "ip_address": added.ip, "limits.memory_limit_mb": "414", "limits.file_descriptor_limit": "6150",
		"listen_addresses.frontend": added.frontend, "listen_addresses.ready": added.ready, "internal_port_range.0": "7600",
		"platform.address": store, "bounds.retry_budget_ratio": "0.2", "bounds.retry_budget_allowance": "56", "bounds.budget_window_s": "10",
		"bounds.lease_duration_ms": "3000", "bounds.grace_period_s": "8", "bounds.quota_allowance": "110000",
		"bounds.cold_overage": "", "bounds.cold_allowance": "",
	}
	rendered := placeholder.ReplaceAllStringFunc(string(content), func(found string) string {
		return fields[strings.Trim(found, "{}")]
	})
	if err = os.WriteFile(added.settings, []byte(rendered), 0o600); err != nil {
		return nil, err
	}
	stand.daemons = append(stand.daemons, added)
	return added, added.start()
}

// start starts the process with the command of the deploy file. Its log goes to a file in the temporary folder, or to LOGS.
func (daemon *daemon) start() error {
	process := exec.Command(program, "--config", daemon.settings) //nolint:gosec // The program under test.
	folder := daemon.stand.folder
	if logs := os.Getenv("LOGS"); logs != "" {
		folder = logs
	}
	log, err := os.OpenFile(filepath.Join(folder, daemon.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	process.Stdout, process.Stderr = log, log
	// The daemon must not outlive this process.
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err = process.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	daemon.mutex.Lock()
	daemon.process, daemon.ended = process, ended
	daemon.mutex.Unlock()
	daemon.stand.record("%s started as process %d", daemon.name, process.Process.Pid)
	go func() {
		defer close(ended)
		_ = process.Wait()
	}()
	return nil
}

// signal sends a signal to the process.
func (daemon *daemon) signal(signal syscall.Signal) {
	daemon.mutex.Lock()
	defer daemon.mutex.Unlock()
	daemon.stand.record("%s gets %v", daemon.name, signal)
	_ = daemon.process.Process.Signal(signal)
}

// kill ends the process at once.
func (daemon *daemon) kill() {
	daemon.mutex.Lock()
	process, ended := daemon.process, daemon.ended
	daemon.mutex.Unlock()
	if process == nil {
		return
	}
	_ = process.Process.Kill()
	<-ended
}

// restart kills the process and starts it again after a pause.
func (daemon *daemon) restart(pause time.Duration) error {
	daemon.stand.record("%s is killed", daemon.name)
	daemon.kill()
	time.Sleep(pause)
	return daemon.start()
}

// awaitReady waits until all daemons are ready.
func (stand *stand) awaitReady() error {
	client := &http.Client{Timeout: time.Second}
	for _, daemon := range stand.daemons {
		for start := time.Now(); ; time.Sleep(50 * time.Millisecond) {
			if time.Since(start) > readyTimeout {
				return fmt.Errorf("%w: %s", errNotReady, daemon.name)
			}
			response, err := client.Get("http://" + daemon.ready + "/v1/readiness")
			if err != nil {
				continue
			}
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				break
			}
		}
	}
	stand.record("all daemons are ready")
	return nil
}

// request is a request of a caller.
type request struct {
	method string
	path   string
	key    string
	header map[string]string
	body   string
	id     string
}

// answer is what a caller got; a status of 0 stands for a connection that ended or timed out.
type answer struct {
	status   int
	signed   bool
	body     string
	sentAt   time.Time
	tookTime time.Duration
	err      error
}

// client sends requests over connections that it keeps.
func newClient() *http.Client {
	return &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{
		Proxy: nil, DisableCompression: true, MaxIdleConnsPerHost: 64, IdleConnTimeout: 3 * time.Second,
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
	}, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
}

// send sends a request to a daemon once.
func send(client *http.Client, daemon *daemon, sent request) answer {
	got := answer{sentAt: time.Now()}
	made, err := http.NewRequestWithContext(context.Background(), sent.method, "http://"+daemon.frontend+sent.path, strings.NewReader(sent.body))
	if err != nil {
		got.err = err
		return got
	}
	made.GetBody = nil
	made.Host = stub.Host
	made.Header.Set(names.ID, sent.id)
	made.Header.Set(names.Deadline, "6000")
	if sent.key != "" {
		made.Header.Set("Authorization", "Token "+sent.key)
	}
	for name, content := range sent.header {
		made.Header.Set(name, content)
	}
	response, err := client.Do(made)
	if err != nil {
		got.err, got.tookTime = err, time.Since(got.sentAt)
		return got
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	got.status, got.signed, got.body, got.err = response.StatusCode, response.Header.Get(names.Signature) == "sig."+sent.id, string(content), err
	got.tookTime = time.Since(got.sentAt)
	return got
}
