//go:build review

package main

import (
	"fmt"
	"os"
	"sort"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"lentilproxy/platform/stub"
)

const (
	// tenantRate is the quota of the tenant in tokens a second, and its burst, as in the examples of the bench's wire.
	tenantRate = 134012
	// quotaWindow, quotaOverage and quotaAllowance are the bounds of the small sites.
	quotaWindow    = 8 * time.Second
	quotaOverage   = 0.1
	quotaAllowance = 110000
	// promptSize and outputSize are the tokens of each request.
	promptSize = 2900
	outputSize = 100
)

// source sends requests to a daemon at a rate that can be changed.
type source struct {
	daemon *daemon
	rate   atomic.Int64
}

// spending collects what the callers of a tenant sent and got.
type spending struct {
	mutex    sync.Mutex
	sentAt   map[string]time.Time
	statuses map[int]int
}

func (source *source) run(spending *spending, stop chan struct{}) {
	client := newClient()
	next := time.Now()
	for {
		rate := source.rate.Load()
		if rate == 0 {
			next = time.Now().Add(20 * time.Millisecond)
		} else {
			next = next.Add(time.Second / time.Duration(rate))
		}
		select {
		case <-time.After(time.Until(next)):
		case <-stop:
			return
		}
		if rate == 0 {
			continue
		}
		go func() {
			sent := request{
				method: "POST", path: stub.ChatPath + "x", key: stub.Key, body: "a prompt", id: stub.NewID(),
				header: map[string]string{"Lentilproxy-Model": stub.Model, "Lentilproxy-Token-Usage": fmt.Sprintf("%d,%d", promptSize, outputSize)},
			}
			spending.mutex.Lock()
			spending.sentAt[sent.id] = time.Now()
			spending.mutex.Unlock()
			got := send(client, source.daemon, sent)
			spending.mutex.Lock()
			spending.statuses[got.status]++
			spending.mutex.Unlock()
		}()
	}
}

// playLoans: the tenant is busy in one zone, so that the machine there borrows the shares of the others. These are killed and start
// again. Then a part of the tenant's callers comes to the other zones.
func playLoans(stand *stand) (bool, error) {
	config := stub.NewConfig()
	config.Rate = tenantRate
	config.Apply(stand.store)
	for number := range 3 {
		if _, err := stand.addServer(fmt.Sprintf("i-chat-%d", number), stub.ServiceChat, stub.WithModel(stub.Model, 4), stub.WithSlots(64)); err != nil {
			return false, err
		}
	}
	for _, zone := range []string{"a", "b", "c", "d"} {
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
	sources := make([]*source, 0, len(stand.daemons))
	for _, daemon := range stand.daemons {
		added := &source{daemon: daemon}
		sources = append(sources, added)
		go added.run(spending, stop)
	}
	full := int64(tenantRate / (promptSize + outputSize))
	stand.record("the tenant sends twice its quota to %s", sources[0].daemon.name)
	sources[0].rate.Store(2 * full)
	time.Sleep(8 * time.Second)
	if stand.trouble {
		kills, _ := strconv.Atoi(os.Getenv("KILLS"))
		gap, _ := strconv.Atoi(os.Getenv("GAP_MS"))
		for number := range max(1, kills) {
			if number > 0 {
				time.Sleep(time.Duration(gap) * time.Millisecond)
			}
			if err := stand.killOthers(sources[0].daemon); err != nil {
				return false, err
			}
		}
	}
	wait, _ := strconv.Atoi(os.Getenv("WAIT_MS"))
	time.Sleep(time.Duration(wait) * time.Millisecond)
	stand.record("callers of the tenant come to the other machines too")
	mine, others := 100, 50
	_, _ = fmt.Sscanf(os.Getenv("RATES"), "%d,%d", &mine, &others)
	sources[0].rate.Store(full * int64(mine) / 100)
	for _, source := range sources[1:] {
		source.rate.Store(full * int64(others) / 100)
	}
	time.Sleep(20 * time.Second)
	for _, source := range sources {
		source.rate.Store(0)
	}
	time.Sleep(time.Second)
	return stand.judgeQuota(spending), nil
}

// killOthers kills all daemons but one, and starts them again.
func (stand *stand) killOthers(spared *daemon) error {
	var group sync.WaitGroup
	failures := make(chan error, len(stand.daemons))
	pause, err := strconv.Atoi(os.Getenv("PAUSE_MS"))
	if err != nil {
		pause = 300
	}
	for _, daemon := range stand.daemons {
		if daemon != spared {
			group.Go(func() {
				if err := daemon.restart(time.Duration(pause) * time.Millisecond); err != nil {
					failures <- err
				}
			})
		}
	}
	group.Wait()
	close(failures)
	return <-failures
}

// ran is a request that a server ran.
type ran struct {
	sentAt, at time.Time
}

// judgeQuota reports whether more tokens were both sent and run in a window than the rule allows.
func (stand *stand) judgeQuota(spending *spending) bool {
	var all []ran
	seconds := map[int]int{}
	perServer := map[string]int{}
	for _, server := range stand.servers {
		for _, arrival := range server.Arrivals() {
			if sentAt, found := spending.sentAt[arrival.ID]; found && arrival.Ran {
				all = append(all, ran{sentAt: sentAt, at: arrival.At})
				seconds[int(arrival.At.Sub(stand.started).Seconds())] += promptSize + outputSize
				perServer[server.ID()]++
			}
		}
	}
	for second := range int(time.Since(stand.started).Seconds()) + 1 {
		if seconds[second] > 0 {
			stand.record("second %d: %d tokens ran, %.2f of the quota", second, seconds[second], float64(seconds[second])/tenantRate)
		}
	}
	sort.Slice(all, func(left, right int) bool { return all[left].sentAt.Before(all[right].sentAt) })
	most, mostAt := 0, time.Time{}
	for _, first := range all {
		tokens := 0
		for _, other := range all {
			if !other.sentAt.Before(first.sentAt) && other.at.Sub(first.sentAt) <= quotaWindow {
				tokens += promptSize + outputSize
			}
		}
		if tokens > most {
			most, mostAt = tokens, first.sentAt
		}
	}
	allowed := float64(tenantRate)*quotaWindow.Seconds() + tenantRate
	allowed = allowed*(1+quotaOverage) + quotaAllowance
	stand.record("answers by status: %v; requests by server: %v", spending.statuses, perServer)
	stand.record("most tokens in a window of %v: %d, from %.3f s on; the rule allows %.0f", quotaWindow, most, mostAt.Sub(stand.started).Seconds(), allowed)
	return float64(most) > allowed
}
