//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"lentilproxy/platform/stub"
)

func init() {
	cases["silenced"] = func(stand *stand) (bool, error) { return repeats(stand, stub.CrashSilently, 0) }
	cases["outlived"] = func(stand *stand) (bool, error) { return repeats(stand, stub.CrashBeforeResponse, crashDelay) }
}

// crashDelay is how long a server that goes on with a request works on it before it crashes.
const crashDelay = 400 * time.Millisecond

const (
	silencedServers = 8
	// backAfter is how long a crashed worker is away.
	backAfter = 3 * time.Second
	// registrationLife is how long a registration lasts without a renewal: three heartbeats.
	registrationLife = 3 * heartbeatInterval
	// A fifth of the callers leave before their deadline, after half of the objective.
	objective        = 100 * time.Millisecond
	impatientCallers = 4
	soundCallers     = 16
	impatience       = objective / 2
	repeatPause      = 100 * time.Millisecond
	// impatientTime is how long callers leave early (for_s of give_up); later they wait for the deadline, 6 s.
	impatientTime  = 5500 * time.Millisecond
	patience       = 6 * time.Second
	crashText      = "umbrella-7"
	silencedTime   = 16 * time.Second
	connectivity   = 3 * time.Second
	allowedRetries = 3
)

// silencedFleet is a service of plain servers that a request silences.
type silencedFleet struct {
	stand    *stand
	platform *platform
	mutex    sync.Mutex
	servers  []*stub.Server
	crashes  []time.Time
	// gone holds the servers that have crashed.
	gone    map[string]bool
	started int
	crashAt stub.CrashPoint
	delay   time.Duration
}

// start starts an incarnation of a server.
func (fleet *silencedFleet) start() error {
	fleet.mutex.Lock()
	fleet.started++
	id := fmt.Sprint("plain-", fleet.started)
	fleet.mutex.Unlock()
	server, err := stub.NewServer(id, stub.ServiceOrders, stub.WithOnCrash(func() { fleet.crashed(id) }), stub.WithPromptTime(fleet.delay))
	if err != nil {
		return err
	}
	server.SetFaults(stub.ServerFaults{CrashOn: crashText, CrashAt: fleet.crashAt})
	fleet.stand.onClose(server.Close)
	fleet.mutex.Lock()
	fleet.servers = append(fleet.servers, server)
	fleet.mutex.Unlock()
	fleet.platform.register(id, func() map[string]any { return server.Registration("ready") })
	return nil
}

// crashed lets a server be silent. Its registration lapses, and another incarnation is there after backAfter.
func (fleet *silencedFleet) crashed(id string) {
	fleet.mutex.Lock()
	known := fleet.gone[id]
	if !known {
		fleet.gone[id] = true
		fleet.crashes = append(fleet.crashes, time.Now())
	}
	fleet.mutex.Unlock()
	if known {
		return
	}
	fleet.stand.logf("%s crashes", id)
	fleet.platform.setAway(id)
	time.AfterFunc(registrationLife, func() { fleet.platform.store.Delete("servers", id) })
	time.AfterFunc(backAfter, func() { _ = fleet.start() })
}

// silenced repeats a request that silences each server that runs it, from callers who leave early, beside sound requests.
// Once it has crashed three servers, at most three of its retries may reach others.
func repeats(stand *stand, crashAt stub.CrashPoint, delay time.Duration) (bool, error) {
	platform, err := stand.startPlatform()
	if err != nil {
		return false, err
	}
	config := stub.NewConfig().Encode()
	for _, route := range config["routes"].([]any) {
		route.(map[string]any)["target_latency_ms"] = objective.Milliseconds()
	}
	platform.store.Put("op", "config", config)
	fleet := &silencedFleet{stand: stand, platform: platform, gone: map[string]bool{}, crashAt: crashAt, delay: delay}
	for range silencedServers {
		if err = fleet.start(); err != nil {
			return false, err
		}
	}
	var hosts []*host
	for number := range 4 {
		started, err := stand.startHost(fmt.Sprint("host-", number+1), platform.address)
		if err != nil {
			return false, err
		}
		hosts = append(hosts, started)
	}
	time.Sleep(5 * time.Second)
	var ended atomic.Bool
	var group sync.WaitGroup
	for number := range soundCallers {
		group.Go(func() {
			for !ended.Load() {
				_ = sendOrder(hosts[number%len(hosts)].callers, stub.Key)
				time.Sleep(repeatPause)
			}
		})
	}
	startedAt := time.Now()
	for number := range impatientCallers {
		if !stand.trouble {
			continue
		}
		group.Go(func() {
			for round := 0; !ended.Load(); round++ {
				id, wait := stub.NewID(), impatience
				if time.Since(startedAt) > impatientTime {
					wait = patience
				}
				status := sendWaiting(hosts[(number+round)%len(hosts)].callers, id, wait)
				stand.logf("repeat %s at host-%d: %s", id, (number+round)%len(hosts)+1, status)
				time.Sleep(repeatPause)
			}
		})
	}
	time.Sleep(silencedTime)
	ended.Store(true)
	group.Wait()
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	if len(fleet.crashes) < 3 {
		stand.logf("%d servers crashed", len(fleet.crashes))
		return false, nil
	}
	sort.Slice(fleet.crashes, func(left, right int) bool { return fleet.crashes[left].Before(fleet.crashes[right]) })
	limitedAt := fleet.crashes[2].Add(connectivity)
	late := 0
	for _, server := range fleet.servers {
		for _, arrival := range server.Arrivals() {
			if arrival.Body == crashText && arrival.At.After(limitedAt) {
				late++
				stand.logf("repeat %s reached %s %.2f s after the third crash", arrival.ID, server.ID(), arrival.At.Sub(fleet.crashes[2]).Seconds())
			}
		}
	}
	stand.logf("%d servers crashed; %d retries reached servers later than %v after the third crash, of %d allowed", len(fleet.crashes), late, connectivity, allowedRetries)
	return late > allowedRetries, nil
}

// sendWaiting sends the request, and leaves if there is no answer in time.
func sendWaiting(address, id string, wait time.Duration) string {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(wait))
	if _, err = io.WriteString(conn, requestHead(id, stub.OrderPath, "", crashText)); err != nil {
		return err.Error()
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return "the caller left"
	}
	defer func() { _ = response.Body.Close() }()
	return response.Status
}
