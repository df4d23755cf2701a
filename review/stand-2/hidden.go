//go:build review

package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"lentilproxy/platform/stub"
)

const (
	// crashPart is the part of a prompt that crashes each worker that begins to write an answer on it.
	crashPart = "0badf00d"
	// promptParts is the number of parts of long prompts. Their header has some 4 KB of the 16 KB that the configuration allows.
	promptParts = 300
	// backAfter is how long a crashed worker stays away.
	backAfter = 2 * time.Second
	// touch is connectivity_ms of the small sites, and freeArrivals what the rule allows.
	touch        = 3 * time.Second
	freeArrivals = 3
)

// workers are workers that come back after a crash, under the same name.
type workers struct {
	stand   *stand
	trouble bool
	mutex   sync.Mutex
	crashes []time.Time
	// all holds each start of a worker.
	all []*stub.Server
}

// start starts a worker, which takes the place of an earlier start.
func (workers *workers) start(id string) error {
	started, err := stub.NewServer(id, stub.ServiceChat, stub.WithModel(stub.Model, 4), stub.WithSlots(64), stub.WithPromptTime(20*time.Millisecond),
		stub.WithOnCrash(func() { workers.crashed(id) }))
	if err != nil {
		return err
	}
	if workers.trouble {
		started.SetFaults(stub.ServerFaults{CrashOnPart: crashPart, CrashAt: stub.CrashBeforeResponse})
	}
	workers.mutex.Lock()
	workers.all = append(workers.all, started)
	workers.mutex.Unlock()
	workers.stand.replace(&server{Server: started, state: "ready"})
	return nil
}

// crashed records a crash, and brings the worker back later.
func (workers *workers) crashed(id string) {
	workers.mutex.Lock()
	workers.crashes = append(workers.crashes, time.Now())
	count := len(workers.crashes)
	workers.mutex.Unlock()
	workers.stand.record("%s crashes, the crash number %d", id, count)
	workers.stand.silence(id)
	go func() {
		time.Sleep(backAfter)
		if err := workers.start(id); err != nil {
			workers.stand.record("%s is not back: %v", id, err)
		}
	}()
}

// parts returns the header of a prompt with many parts of its own. The part that crashes workers stands in its place, counted from 0.
func parts(number int64, place int) string {
	list := make([]string, 0, promptParts)
	for index := range promptParts {
		part := fmt.Sprintf("%06x%03x:4", number, index)
		if index == 0 {
			part = "5a2ed:100"
		}
		if index == place {
			part = crashPart + ":4"
		}
		list = append(list, part)
	}
	return strings.Join(list, ",")
}

// playHidden: some callers send long prompts that have a part in common which crashes workers, after parts of their own.
func playHidden(stand *stand) (bool, error) {
	stub.NewConfig().Apply(stand.store)
	workers := &workers{stand: stand, trouble: stand.trouble}
	for number := range 8 {
		if err := workers.start(fmt.Sprintf("i-chat-%d", number)); err != nil {
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
	time.Sleep(5 * time.Second)
	stop := make(chan struct{})
	var group sync.WaitGroup
	var sound, soundGood, number atomic.Int64
	for _, daemon := range stand.daemons {
		client := newClient()
		group.Go(func() {
			every(50*time.Millisecond, stop, func() {
				sent := request{
					method: http.MethodPost, path: stub.ChatPath + "x", key: stub.Key, id: stub.NewID(), body: "a sound prompt",
					header: map[string]string{names.Model: stub.Model, names.Tokens: "200,20", names.Parts: fmt.Sprintf("5a2ed:100,%08x:100", number.Add(1))},
				}
				sound.Add(1)
				if got := send(client, daemon, sent); got.status == http.StatusOK && got.err == nil {
					soundGood.Add(1)
				}
			})
		})
	}
	time.Sleep(2 * time.Second)
	place := 280
	if os.Getenv("PLACE") == "first" {
		place = 1
	}
	stand.record("the long prompts begin; they have %d parts, and the part that crashes workers is number %d", promptParts, place+1)
	long := newClient()
	group.Go(func() {
		every(500*time.Millisecond, stop, func() {
			unique := number.Add(1)
			send(long, stand.daemons[unique%int64(len(stand.daemons))], request{
				method: http.MethodPost, path: stub.ChatPath + "x", key: stub.Key, id: stub.NewID(), body: fmt.Sprintf("prompt %d", unique),
				header: map[string]string{names.Model: stub.Model, names.Tokens: "1300,20", names.Parts: parts(unique, place)},
			})
		})
	})
	time.Sleep(40 * time.Second)
	close(stop)
	group.Wait()
	stand.record("sound requests: %d, of these answered with success: %d", sound.Load(), soundGood.Load())
	return workers.judge(), nil
}

// every calls a function at intervals, each time in a goroutine of its own, until stop is closed. It waits for all calls.
func every(interval time.Duration, stop chan struct{}, call func()) {
	var group sync.WaitGroup
	defer group.Wait()
	for {
		select {
		case <-time.After(interval):
			group.Go(call)
		case <-stop:
			return
		}
	}
}

// judge reports whether too many requests with the part reached workers late after the fifth crash.
func (workers *workers) judge() bool {
	workers.mutex.Lock()
	defer workers.mutex.Unlock()
	stand := workers.stand
	if len(workers.crashes) < 5 {
		stand.record("crashes: %d, too few for the rule to bind", len(workers.crashes))
		return false
	}
	from := workers.crashes[4].Add(touch)
	late := 0
	for _, server := range workers.all {
		for _, arrival := range server.Arrivals() {
			if stub.HasPart(arrival.Header, crashPart) && arrival.At.After(from) {
				late++
			}
		}
	}
	stand.record("crashes: %d; requests with the part that reached workers later than %v after the fifth: %d; the rule allows %d", len(workers.crashes), touch, late, freeArrivals)
	return late > freeArrivals
}
