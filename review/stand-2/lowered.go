//go:build review

package main

import (
	"fmt"
	"time"

	"lentilproxy/platform/stub"
)

const (
	// loweredRate is the tenant's quota, and its burst, after the change of the configuration.
	loweredRate = 30000
	// configApply is config_apply_ms of the small sites.
	configApply = 2 * time.Second
)

// playLowered: the tenant is busy at one machine, which borrows the shares of the others. Then the operator lowers its quota.
func playLowered(stand *stand) (bool, error) {
	config := stub.NewConfig()
	config.Rate = tenantRate
	config.Apply(stand.store)
	for number := range 3 {
		if _, err := stand.addServer(fmt.Sprintf("i-chat-%d", number), stub.ServiceChat, stub.WithModel(stub.Model, 4), stub.WithSlots(64)); err != nil {
			return false, err
		}
	}
	for _, zone := range []string{"a", "a", "b", "c"} {
		if _, err := stand.addDaemon(zone, stand.listener.Addr().String()); err != nil {
			return false, err
		}
	}
	if err := stand.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second)
	spending := &spending{sentAt: map[string]time.Time{}, statuses: map[int]int{}}
	stop := make(chan struct{})
	defer close(stop)
	busy := &source{daemon: stand.daemons[0]}
	go busy.run(spending, stop)
	stand.record("the tenant sends twice its quota to %s", busy.daemon.name)
	busy.rate.Store(int64(2 * tenantRate / (promptSize + outputSize)))
	time.Sleep(8 * time.Second)
	limit, from := float64(tenantRate), time.Now()
	if stand.trouble {
		config.Version, config.Rate = 2, loweredRate
		config.Apply(stand.store)
		limit = loweredRate
		// The new limit binds one window after it has to be in force.
		from = time.Now().Add(configApply + quotaWindow)
		stand.record("the store has accepted a quota of %d", loweredRate)
	}
	time.Sleep(30 * time.Second)
	busy.rate.Store(0)
	time.Sleep(time.Second)
	return stand.judgeQuota(spending, limit, from), nil
}
