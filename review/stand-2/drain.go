//go:build review

package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"lentilproxy/platform/stub"
)

const (
	// drainTimeout is drain_timeout_ms of the small sites.
	drainTimeout = 2 * time.Second
	// minOutage and maxOutage bound the length of the store's outage. The largest one in the small sites is 4.5 s.
	minOutage = 2800 * time.Millisecond
	maxOutage = 4400 * time.Millisecond
	// stayTime is how long a worker whose entry was removed goes on serving.
	stayTime = 4 * time.Second
)

// storeFront is an address of the store for one daemon. It notes when the daemon last asked for the changes of the servers' table.
type storeFront struct {
	store    *stub.Store
	listener net.Listener
	readAt   atomic.Int64
}

func newStoreFront(store *stub.Store) (*storeFront, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	front := &storeFront{store: store, listener: listener}
	go func() { _ = (&http.Server{Handler: front, ReadHeaderTimeout: time.Second}).Serve(listener) }()
	return front, nil
}

// ServeHTTP implements http.Handler.
func (front *storeFront) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if request.URL.Query().Get("table_name") == "servers" {
		front.readAt.Store(time.Now().UnixNano())
	}
	front.store.ServeHTTP(writer, request)
}

// removal is a worker whose entry was removed.
type removal struct {
	server *server
	at     time.Time
}

// playDrain: the store is down once. Long after that, machines are removed one after the other, as planned, and whenever one has ended,
// the entry of a worker is removed.
func playDrain(stand *stand) (bool, error) {
	stub.NewConfig().Apply(stand.store)
	for number := range 6 {
		if _, err := stand.addServer(fmt.Sprintf("i-orders-%d", number), stub.ServiceOrders, stub.WithResponseTime(15*time.Millisecond)); err != nil {
			return false, err
		}
	}
	fronts := map[*daemon]*storeFront{}
	for _, zone := range []string{"a", "b", "c", "a", "b"} {
		front, err := newStoreFront(stand.store)
		if err != nil {
			return false, err
		}
		defer func() { _ = front.listener.Close() }()
		added, err := stand.addDaemon(zone, front.listener.Addr().String())
		if err != nil {
			return false, err
		}
		fronts[added] = front
	}
	if err := stand.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(8 * time.Second)
	if stand.trouble {
		stand.record("the store is down")
		stand.store.SetFaults(stub.StoreFaults{Silent: true})
		awaitTries(fronts)
		stand.store.SetFaults(stub.StoreFaults{})
		stand.record("the store is back")
	}
	time.Sleep(8 * time.Second)
	traffic := newTraffic(stand)
	signalled := map[*daemon]time.Time{}
	var removals []removal
	for step := range 4 {
		reader := lastReader(fronts, signalled)
		signalled[reader] = time.Now()
		reader.signal(syscall.SIGTERM)
		<-reader.ended
		stand.record("%s has ended", reader.name)
		time.Sleep(150 * time.Millisecond)
		removed := stand.servers[step]
		removals = append(removals, removal{server: removed, at: time.Now()})
		stand.deregister(removed)
		stand.record("the entry of %s is removed; it goes on serving", removed.ID())
		time.Sleep(stayTime)
		removed.Close()
	}
	traffic.end()
	return stand.judgeDrain(removals, traffic, signalled), nil
}

// awaitTries returns when the outage may end: a moment after most daemons have tried to read the servers' table at the same time. They
// fail, and one of the others reads first.
func awaitTries(fronts map[*daemon]*storeFront) {
	time.Sleep(minOutage)
	for end := time.Now().Add(maxOutage - minOutage); time.Now().Before(end); time.Sleep(time.Millisecond) {
		together := 0
		for _, front := range fronts {
			if time.Since(time.Unix(0, front.readAt.Load())) < 60*time.Millisecond {
				together++
			}
		}
		if together > len(fronts)/2 {
			time.Sleep(100 * time.Millisecond)
			return
		}
	}
}

// lastReader returns the daemon that read the servers' table last, among those that have got no signal.
func lastReader(fronts map[*daemon]*storeFront, signalled map[*daemon]time.Time) *daemon {
	var last *daemon
	for daemon, front := range fronts {
		if _, gone := signalled[daemon]; !gone && (last == nil || front.readAt.Load() > fronts[last].readAt.Load()) {
			last = daemon
		}
	}
	return last
}

// traffic sends requests that may be repeated to all daemons, as clients that keep their connections.
type traffic struct {
	stand *stand
	stop  chan struct{}
	group sync.WaitGroup
	mutex sync.Mutex
	// through maps requests to the daemons that they were sent to.
	through  map[string]*daemon
	statuses map[int]int
}

func newTraffic(stand *stand) *traffic {
	traffic := &traffic{stand: stand, stop: make(chan struct{}), through: map[string]*daemon{}, statuses: map[int]int{}}
	for _, daemon := range stand.daemons {
		for range 4 {
			traffic.group.Go(func() { traffic.run(daemon) })
		}
	}
	return traffic
}

func (traffic *traffic) run(daemon *daemon) {
	client := newClient()
	for {
		select {
		case <-time.After(40 * time.Millisecond):
		case <-traffic.stop:
			return
		}
		sent := request{method: http.MethodPost, path: stub.StockPath + "x", key: stub.Key, id: stub.NewID()}
		traffic.mutex.Lock()
		traffic.through[sent.id] = daemon
		traffic.mutex.Unlock()
		got := send(client, daemon, sent)
		traffic.mutex.Lock()
		traffic.statuses[got.status]++
		traffic.mutex.Unlock()
	}
}

// end ends the traffic.
func (traffic *traffic) end() {
	close(traffic.stop)
	traffic.group.Wait()
}

// judgeDrain reports whether a request reached a removed worker too late from a machine in touch.
func (stand *stand) judgeDrain(removals []removal, traffic *traffic, signalled map[*daemon]time.Time) bool {
	late := 0
	for _, removal := range removals {
		var last time.Duration
		for _, arrival := range removal.server.Arrivals() {
			after := arrival.At.Sub(removal.at)
			from := traffic.through[arrival.ID]
			if from == nil || !arrival.Ran {
				continue
			}
			last = max(last, after)
			if at, gone := signalled[from]; gone && arrival.At.After(at) {
				continue
			}
			if after > drainTimeout {
				late++
				stand.record("request %s reached and was run by %s from %s, %d ms after the removal of its entry", arrival.ID, removal.server.ID(), from.name, after.Milliseconds())
			}
		}
		stand.record("%s: the last request arrived %d ms after the removal of its entry; the rule allows %d", removal.server.ID(), last.Milliseconds(), drainTimeout.Milliseconds())
	}
	stand.record("answers by status: %v; requests too late: %d", traffic.statuses, late)
	return late > 0
}
