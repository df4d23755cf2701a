//go:build review

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"lentilproxy/platform/stub"
)

// program is the daemon as the deploy file builds it.
const program = "target/lentild"

// heartbeatInterval is the time between two writes of a server's registration.
const heartbeatInterval = 1200 * time.Millisecond

// host is a daemon that runs as a process.
type host struct {
	name    string
	callers string
	ready   string
	path    string
	process *exec.Cmd
}

// start starts the daemon's process.
func (host *host) start() error {
	process := exec.Command(program, "--config", host.path)
	process.Stdout, process.Stderr = io.Discard, io.Discard
	if folder := os.Getenv("REVIEW_LOGS"); folder != "" {
		log, err := os.OpenFile(filepath.Join(folder, host.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
		if err != nil {
			return err
		}
		process.Stdout = log
	}
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	host.process = process
	return process.Start()
}

func (host *host) kill() {
	_ = host.process.Process.Kill()
	_ = host.process.Wait()
}

// stop ends the daemon's process as planned.
func (host *host) stop() {
	_ = host.process.Process.Signal(syscall.SIGTERM)
	_ = host.process.Wait()
}

// freeAddresses returns unused addresses, as IP:port.
func freeAddresses(ip string, count int) ([]string, error) {
	addresses := make([]string, count)
	for index := range addresses {
		listener, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = listener.Close() }()
		addresses[index] = listener.Addr().String()
	}
	return addresses, nil
}

// startHost starts a daemon with the settings of a small deployment, and waits until it is ready.
func (stand *stand) startHost(name, store string) (*host, error) {
	// Each host has a loopback address of its own, so that its ports are not given to others while it is down.
	stand.hosts++
	addresses, err := freeAddresses(fmt.Sprintf("127.0.%d.%d", 1+os.Getpid()%250, 10+stand.hosts), 4)
	if err != nil {
		return nil, err
	}
	content := fmt.Sprintf("[host]\nname = %s\ndata_centre = dc-1\n\n[listen]\ncallers = %s\nready = %s\npeers = %s\nmetrics = %s\n\n"+
		"[platform]\nstore = %s\n\n[bounds]\nretry_ratio = 0.2\nretry_allowance = 56\nretry_window = 10s\nlease_gap = 3000ms\nstop_grace = 8s\n"+
		"quota_allowance = 110000\n", name, addresses[0], addresses[1], addresses[2], addresses[3], store)
	path := filepath.Join(stand.folder, name+".ini")
	if err = os.WriteFile(path, []byte(content), 0o600); err != nil {
		return nil, err
	}
	started := &host{name: name, callers: addresses[0], ready: addresses[1], path: path}
	if err = started.start(); err != nil {
		return nil, err
	}
	stand.onClose(started.kill)
	for range 200 {
		response, err := http.Get("http://" + started.ready + "/v1/readiness")
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				stand.logf("%s is ready", name)
				return started, nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return nil, fmt.Errorf("%s did not become ready", name)
}

// registered is a server that writes its registration to the store.
type registered struct {
	id      string
	content func() map[string]any
}

// platform is the stand-in for the store, with the servers that register there.
type platform struct {
	stand   *stand
	store   *stub.Store
	address string

	mutex   sync.Mutex
	servers []*registered
	// away holds the servers that do not reach the store.
	away map[string]bool
}

func (stand *stand) startPlatform() (*platform, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	platform := &platform{stand: stand, store: stub.NewStore(), address: listener.Addr().String(), away: map[string]bool{}}
	server := &http.Server{Handler: platform.store, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(listener) }()
	stand.onClose(func() { _ = server.Close() })
	stop := make(chan struct{})
	stand.onClose(func() { close(stop) })
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(heartbeatInterval):
				platform.heartbeat()
			}
		}
	}()
	return platform, nil
}

func (platform *platform) heartbeat() {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	for _, server := range platform.servers {
		if !platform.away[server.id] {
			platform.store.Put("servers", server.id, server.content())
		}
	}
}

// setAway stops the renewals of a server's registration.
func (platform *platform) setAway(id string) {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	platform.away[id] = true
}

func (platform *platform) register(id string, content func() map[string]any) {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	platform.servers = append(platform.servers, &registered{id: id, content: content})
	platform.store.Put("servers", id, content())
}

// requestHead returns the head and body of a caller's request.
func requestHead(id, path, adapter, body string) string {
	var head strings.Builder
	fmt.Fprintf(&head, "POST %s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n", path, stub.Host, len(body))
	fmt.Fprintf(&head, "%s: %s\r\nAuthorization: Token %s\r\n%s: 6000\r\n", names.ID, id, stub.Key, names.Deadline)
	if adapter != "" {
		fmt.Fprintf(&head, "%s: %s/%s\r\n%s: %d,%d\r\n", names.Model, stub.Model, adapter, names.Tokens, stub.PromptTokens, stub.OutputTokens)
	}
	return head.String() + "\r\n" + body
}
