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
	// coldOverage and coldAllowance bound the requests to a cold server, beyond coldRate.
	coldOverage   = 1.5
	coldAllowance = 5
	// stopWait is how long a process may take to end after SIGTERM: the grace period in the settings plus one second.
	stopWait = 9 * time.Second
	// keptLogLines is the minimum number of a process's last log lines that are kept.
	keptLogLines = 4000
)

// host is a daemon that runs as a process. It reaches the store through a relay, and its peers reach it through
// another.
type host struct {
	name          string
	program       string
	settingsPath  string
	callerAddress string
	readyAddress  string
	storeRelay    *Relay
	peerRelay     *Relay

	mutex   sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
	lines   []string
	// starts counts the starts of the process; busy is set while a disturbance of the process is in progress.
	starts int
	busy   bool
}

// newHost starts the relays of a daemon and writes its settings. No other process listens on the daemon's IP address,
// so its ports are not reassigned while it is down.
func newHost(folder, program, name, ip, store string) (*host, error) {
	addresses, err := freeAddresses(ip, 4)
	if err != nil {
		return nil, err
	}
	host := &host{name: name, program: program, settingsPath: filepath.Join(folder, name+".ini"), callerAddress: addresses[0], readyAddress: addresses[1]}
	if host.storeRelay, err = NewRelay(store); err != nil {
		return nil, err
	}
	if host.peerRelay, err = NewRelay(addresses[2]); err != nil {
		return nil, err
	}
	content := fmt.Sprintf("[host]\nname = %s\ndata_centre = dc-1\n\n[listen]\ncallers = %s\nready = %s\npeers = %s\nadvertise_peers = %s\nmetrics = %s\n\n"+
		"[platform]\nstore = %s\n\n[bounds]\nretry_ratio = 0.2\nretry_allowance = 60\nretry_window = 10s\nlease_gap = 3000ms\nstop_grace = 8s\n"+
		"quota_allowance = %d\ncold_overage = %g\ncold_allowance = %d\n", name, addresses[0], addresses[1], addresses[2], host.peerRelay.Address(), addresses[3], host.storeRelay.Address(), quotaAllowance, coldOverage, coldAllowance)
	return host, os.WriteFile(host.settingsPath, []byte(content), 0o600)
}

// freeAddresses returns distinct unused addresses, as IP:port.
func freeAddresses(ip string, count int) ([]string, error) {
	addresses := make([]string, count)
	for index := range addresses {
		listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		if err != nil {
			return nil, err
		}
		// Closed only once all are chosen, so that no port is chosen twice.
		defer func() { _ = listener.Close() }()
		addresses[index] = listener.Addr().String()
	}
	return addresses, nil
}

// start starts the daemon's process.
func (host *host) start() error {
	process := exec.Command(host.program, "--config", host.settingsPath) //nolint:gosec // The program under test.
	output, err := process.StdoutPipe()
	if err != nil {
		return err
	}
	process.Stderr = process.Stdout
	// The daemon must not outlive this process, even if this process is killed.
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err = process.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	host.mutex.Lock()
	host.process, host.ended = process, ended
	host.starts++
	host.mutex.Unlock()
	go func() {
		defer close(ended)
		scanner := bufio.NewScanner(output)
		scanner.Buffer(nil, 1<<20)
		for scanner.Scan() {
			host.mutex.Lock()
			host.lines = append(host.lines, scanner.Text())
			if len(host.lines) > 2*keptLogLines {
				host.lines = append([]string(nil), host.lines[keptLogLines:]...)
			}
			host.mutex.Unlock()
		}
		// The exit status is not needed: disturbances end processes by signals, and pollReadiness reports any other end.
		_ = process.Wait()
	}()
	return nil
}

func (host *host) signal(signal syscall.Signal) {
	host.mutex.Lock()
	process := host.process
	host.mutex.Unlock()
	// Signalling fails only if the process has already ended.
	_ = process.Process.Signal(signal)
}

func (host *host) done() <-chan struct{} {
	host.mutex.Lock()
	defer host.mutex.Unlock()
	return host.ended
}

// runID returns the number of the process, which increases with each start.
func (host *host) runID() int {
	host.mutex.Lock()
	defer host.mutex.Unlock()
	return host.starts
}

// claim reserves the process for one disturbance until release. It reports false if the process is already reserved.
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
	response, err := client.Get("http://" + host.readyAddress + "/v1/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// close kills the process and closes its relays.
func (host *host) close() {
	host.mutex.Lock()
	process, ended := host.process, host.ended
	host.mutex.Unlock()
	if process != nil {
		_ = process.Process.Signal(syscall.SIGCONT)
		_ = process.Process.Kill()
		<-ended
	}
	host.storeRelay.Close()
	host.peerRelay.Close()
}

// logLines returns the last log lines, including those from before restarts.
func (host *host) logLines() []string {
	host.mutex.Lock()
	defer host.mutex.Unlock()
	return append([]string(nil), host.lines...)
}
