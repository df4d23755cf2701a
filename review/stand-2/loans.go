//go:build review

package main

import (
	"fmt"
	"sort"
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
	// othersPercent is what the tenant sends to each of the other machines in the end, in percent of its quota.
	othersPercent = 22
	// restartDelay is how long a killed process stays away.
	restartDelay = 500 * time.Millisecond
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
				header: map[string]string{names.Model: stub.Model, names.Tokens: fmt.Sprintf("%d,%d", promptSize, outputSize)},
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

// playLoans: the tenant is busy at one machine, which borrows the shares of the others. The processes of the
// others are killed at the same moment and start again. Then a few of the tenant's callers come to these too.
func playLoans(stand *stand) (bool, error) {
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
		if err := killTogether(stand.daemons[1:]); err != nil {
			return false, err
		}
	}
	time.Sleep(4 * time.Second)
	stand.record("a few callers of the tenant come to the other machines too")
	for _, source := range sources[1:] {
		source.rate.Store(full * othersPercent / 100)
	}
	time.Sleep(20 * time.Second)
	for _, source := range sources {
		source.rate.Store(0)
	}
	time.Sleep(time.Second)
	return stand.judgeQuota(spending, tenantRate, stand.started), nil
}

// killTogether kills daemons at the same moment, and starts them again.
func killTogether(daemons []*daemon) error {
	var group sync.WaitGroup
	failures := make(chan error, len(daemons))
	for _, daemon := range daemons {
		group.Go(func() {
			if err := daemon.restart(restartDelay); err != nil {
				failures <- err
			}
		})
	}
	group.Wait()
	close(failures)
	return <-failures
}

// ran is a request that a server ran.
type ran struct {
	sentAt, at time.Time
}

// judgeQuota reports whether more tokens were both sent and run in a window that begins after a time than the rule allows. The burst is
// as large as the quota of a second.
func (stand *stand) judgeQuota(spending *spending, limit float64, from time.Time) bool {
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
			stand.record("second %d: %d tokens ran, %.2f of the quota", second, seconds[second], float64(seconds[second])/limit)
		}
	}
	sort.Slice(all, func(left, right int) bool { return all[left].sentAt.Before(all[right].sentAt) })
	most, mostAt := 0, time.Time{}
	for _, first := range all {
		if first.sentAt.Before(from) {
			continue
		}
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
	allowed := limit*quotaWindow.Seconds() + limit
	allowed = allowed*(1+quotaOverage) + quotaAllowance
	stand.record("answers by status: %v; requests by server: %v", spending.statuses, perServer)
	stand.record("most tokens in a window of %v: %d, from %.3f s on; the rule allows %.0f", quotaWindow, most, mostAt.Sub(stand.started).Seconds(), allowed)
	return float64(most) > allowed
}
