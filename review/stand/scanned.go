//go:build review

package main

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"lentilproxy/platform/stub"
)

func init() { cases["scanned"] = scanned }

const (
	// announcedAdapters is the number of adapters with an announced version. The store returns 500 rows in one page.
	announcedAdapters = 1500
	// slowAnswer is an answer of the store that takes 50 times as long as the 4 ms of the sheet, and slowFor how long it is
	// slow.
	slowAnswer = 200 * time.Millisecond
	slowFor    = 2500 * time.Millisecond
	scanRounds = 6
	// settled is how long after the end of the slow time hosts are judged. A configuration is in force config_apply_ms (2 s)
	// and outer_bound_ms (5 s) after its acknowledgement, and calm machines are in touch connectivity_ms (3 s) after the end
	// of the slow time, which comes 2 s after the acknowledgement.
	settled = 6 * time.Second
	// watched is how long a host that is found acting on the old configuration is watched.
	watched = 12 * time.Second
)

// scanned restarts a host as planned. While the store is slow, a configuration withdraws a key, and a new version of an
// adapter is announced. No host may accept the key afterwards.
func scanned(stand *stand) (bool, error) {
	platform, err := stand.startPlatform()
	if err != nil {
		return false, err
	}
	config := stub.NewConfig()
	config.Apply(platform.store)
	for number := range announcedAdapters {
		stub.Announce(platform.store, fmt.Sprintf("b%05d", number), 1)
	}
	for number := range 2 {
		server, err := stub.NewServer(fmt.Sprint("plain-", number+1), stub.ServiceOrders)
		if err != nil {
			return false, err
		}
		stand.onClose(server.Close)
		platform.register(server.ID(), func() map[string]any { return server.Registration("ready") })
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
	broken := 0
	for round := range scanRounds {
		withdrawn := fmt.Sprint("key-", round)
		config.Version++
		config.Keys = []string{stub.Key, withdrawn}
		config.Apply(platform.store)
		time.Sleep(2500 * time.Millisecond)
		for _, host := range hosts {
			if status := sendOrder(host.callers, withdrawn); status != http.StatusOK {
				stand.logf("%s answers %d to %s before it is withdrawn", host.name, status, withdrawn)
			}
		}
		hosts[0].stop()
		stand.logf("host-1 was stopped as planned")
		if stand.trouble {
			platform.store.SetFaults(stub.StoreFaults{Delay: slowAnswer})
			stand.logf("the store is slow")
		}
		if err = hosts[0].start(); err != nil {
			return false, err
		}
		stand.logf("host-1 is started again")
		time.Sleep(600*time.Millisecond + time.Duration(round)*30*time.Millisecond)
		config.Version++
		config.Keys = []string{stub.Key}
		config.Apply(platform.store)
		stand.logf("configuration %d without %s is acknowledged", config.Version, withdrawn)
		time.Sleep(50 * time.Millisecond)
		stub.Announce(platform.store, fmt.Sprintf("b%05d", announcedAdapters-1), int64(round+2))
		stand.logf("a version of an adapter is announced")
		time.Sleep(slowFor - 500*time.Millisecond)
		platform.store.SetFaults(stub.StoreFaults{})
		time.Sleep(settled)
		for _, host := range hosts {
			status := sendOrder(host.callers, withdrawn)
			stand.logf("%s answers %d to %s, %.1f s after the store was back to its speed", host.name, status, withdrawn, settled.Seconds())
			if status == http.StatusOK {
				broken++
			}
		}
		if broken == 0 {
			continue
		}
		for until := time.Now().Add(watched); time.Now().Before(until); {
			time.Sleep(watched / 4)
			for _, host := range hosts {
				stand.logf("%s answers %d to %s", host.name, sendOrder(host.callers, withdrawn), withdrawn)
			}
		}
		break
	}
	stand.logf("%d hosts served a key that was withdrawn", broken)
	return broken > 0, nil
}

// sendOrder sends an order with a key, and returns the status of its answer; 0 if there is none.
func sendOrder(address, key string) int {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	response, err := stub.Send(ctx, address, stub.OrderPath, key, "", "order "+stub.NewID())
	if err != nil {
		return 0
	}
	return response.Status
}
