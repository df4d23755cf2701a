package soak

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const (
	// quotaAllowance is the tolerated excess over limits in tokens.
	quotaAllowance = 2000
	// stopWait is how long a process may take to end after SIGTERM: the grace period of the settings and a second.
	stopWait = 9 * time.Second
	// logKept is the number of the last lines of a process that are kept.
	logKept = 4000
)

// host is one daemon as a process, with relays on its way to the store and from its peers.
type host struct {
	name     string
	program  string
	settings string
	callers  string
	ready    string
	store    *Relay
	peers    *Relay

	mutex   sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
	lines   []string
	// lives counts starts; busy says that a disturbance of the process is under way.
	lives int
	busy  bool
}

// newHost writes the settings of a daemon that listens on an address of its own: while it is down, nobody else is given
// its ports.
func newHost(folder, program, name, ip, store string) (*host, error) {
	addresses, err := freeAddresses(ip, 4)
	if err != nil {
		return nil, err
	}
	host := &host{name: name, program: program, settings: filepath.Join(folder, name+".ini"), callers: addresses[0], ready: addresses[1]}
	if host.store, err = NewRelay(store); err != nil {
		return nil, err
	}
	if host.peers, err = NewRelay(addresses[2]); err != nil {
		return nil, err
	}
	content := fmt.Sprintf("[host]\nname = %s\ndata_centre = dc-1\n\n[listen]\ncallers = %s\nready = %s\npeers = %s\nadvertise_peers = %s\nmetrics = %s\n\n"+
		"[platform]\nstore = %s\n\n[bounds]\nretry_ratio = 0.2\nretry_allowance = 60\nretry_window = 10s\nlease_gap = 3000ms\nstop_grace = 8s\n"+
		"quota_allowance = %d\n", name, addresses[0], addresses[1], addresses[2], host.peers.Address(), addresses[3], host.store.Address(), quotaAllowance)
	return host, os.WriteFile(host.settings, []byte(content), 0o600)
}

// freeAddresses returns different addresses that nobody listens on, as IP:port.
func freeAddresses(ip string, count int) ([]string, error) {
	addresses := make([]string, count)
	for index := range addresses {
		listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		if err != nil {
			return nil, err
		}
		// Closed only once all are chosen, so that none is chosen twice.
		defer func() { _ = listener.Close() }()
		addresses[index] = listener.Addr().String()
	}
	return addresses, nil
}

// start runs the daemon.
func (host *host) start() error {
	process := exec.Command(host.program, "--config", host.settings) //nolint:gosec // The program that is tested.
	output, err := process.StdoutPipe()
	if err != nil {
		return err
	}
	process.Stderr = process.Stdout
	// Daemons must not outlive a run that is ended.
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err = process.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	host.mutex.Lock()
	host.process, host.ended = process, ended
	host.lives++
	host.mutex.Unlock()
	go func() {
		defer close(ended)
		scanner := bufio.NewScanner(output)
		scanner.Buffer(nil, 1<<20)
		for scanner.Scan() {
			host.mutex.Lock()
			host.lines = append(host.lines, scanner.Text())
			if len(host.lines) > 2*logKept {
				host.lines = append([]string(nil), host.lines[logKept:]...)
			}
			host.mutex.Unlock()
		}
		// How it ended is told by who ended it.
		_ = process.Wait()
	}()
	return nil
}

func (host *host) signal(signal syscall.Signal) {
	host.mutex.Lock()
	process := host.process
	host.mutex.Unlock()
	// A process that has ended needs no signal.
	_ = process.Process.Signal(signal)
}

func (host *host) done() <-chan struct{} {
	host.mutex.Lock()
	defer host.mutex.Unlock()
	return host.ended
}

// life returns the number of the process, which changes with each start.
func (host *host) life() int {
	host.mutex.Lock()
	defer host.mutex.Unlock()
	return host.lives
}

// claim says whether the process may be disturbed now, and keeps other disturbances of it away until release.
func (host *host) claim() bool {
	host.mutex.Lock()
	defer host.mutex.Unlock()
	if host.busy {
		return false
	}
	host.busy = true
	return true
}

func (host *host) release() {
	host.mutex.Lock()
	defer host.mutex.Unlock()
	host.busy = false
}

func (host *host) isReady(client *http.Client) bool {
	response, err := client.Get("http://" + host.ready + "/v1/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// close ends the process and its relays.
func (host *host) close() {
	host.mutex.Lock()
	process, ended := host.process, host.ended
	host.mutex.Unlock()
	if process != nil {
		_ = process.Process.Signal(syscall.SIGCONT)
		_ = process.Process.Kill()
		<-ended
	}
	host.store.Close()
	host.peers.Close()
}

// log returns the last lines of all lives of the process.
func (host *host) log() []string {
	host.mutex.Lock()
	defer host.mutex.Unlock()
	return append([]string(nil), host.lines...)
}
