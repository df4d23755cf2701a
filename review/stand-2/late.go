//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"strings"
	"sync"
	"time"

	"lentilproxy/platform/stub"
)

const (
	// places is the number of adapters that a worker holds.
	places = 12
	// lateAfter is how long after an order that got no answer it is carried out; the pages name 2 to 12 s.
	lateAfter = 2500 * time.Millisecond
	// unansweredTime is how long orders are left unanswered; the site file names 5.5 s.
	unansweredTime = 5500 * time.Millisecond
)

// lateWorker stands in front of a worker and leaves some of its orders without an answer, and carries them out later.
type lateWorker struct {
	stand    *stand
	server   *server
	proxy    *httputil.ReverseProxy
	listener net.Listener

	mutex sync.Mutex
	// lateUntil is the end of the time in which orders are left unanswered. Those for the adapters in chosen are.
	lateUntil  time.Time
	chosen     map[string]int
	orders     int
	unanswered int
	crashed    bool
}

func newLateWorker(stand *stand) (*lateWorker, error) {
	added, err := stub.NewServer("i-chat-0", stub.ServiceChat, stub.WithModel(stub.Model, places), stub.WithSlots(64), stub.WithLoadTime(250*time.Millisecond))
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	target := &url.URL{Scheme: "http", Host: added.Address()}
	worker := &lateWorker{
		stand: stand, server: &server{Server: added, state: "ready"}, listener: listener, chosen: map[string]int{},
		proxy: &httputil.ReverseProxy{FlushInterval: -1, ErrorLog: log.New(io.Discard, "", 0), Rewrite: func(request *httputil.ProxyRequest) { request.SetURL(target); request.Out.Host = request.In.Host }},
	}
	added.Advertise(listener.Addr().String())
	go func() { _ = (&http.Server{Handler: worker, ReadHeaderTimeout: time.Second}).Serve(listener) }()
	stand.replace(worker.server)
	return worker, nil
}

// ServeHTTP implements http.Handler.
func (worker *lateWorker) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if request.URL.Path != "/v1/order" {
		worker.proxy.ServeHTTP(writer, request)
		return
	}
	body := make([]byte, 4096)
	count, _ := request.Body.Read(body)
	body = body[:count]
	var order stub.Order
	_ = json.Unmarshal(body, &order)
	worker.mutex.Lock()
	worker.orders++
	late := time.Now().Before(worker.lateUntil) && worker.chosen[order.Adapter] > 0
	if late {
		worker.unanswered++
		worker.chosen[order.Adapter]--
	}
	worker.mutex.Unlock()
	if late {
		worker.stand.record("no answer: %s %s, expect %d", order.Operation, order.Adapter, *order.Sequence)
		go func() {
			time.Sleep(lateAfter)
			worker.stand.record("carried out late: %s %s, expect %d: %d", order.Operation, order.Adapter, *order.Sequence, worker.carryOut(body))
		}()
		<-request.Context().Done()
		return
	}
	status := worker.carryOut(body)
	if order.Adapter != "" {
		worker.stand.record("%s %s, expect %d: %d", order.Operation, order.Adapter, *order.Sequence, status)
	}
	writer.WriteHeader(status)
}

// carryOut gives an order to the worker. One that asks for more than it holds ends it.
func (worker *lateWorker) carryOut(body []byte) int {
	recorder := httptest.NewRecorder()
	request := httptest.NewRequest(http.MethodPost, "/v1/order", strings.NewReader(string(body)))
	worker.server.ServeHTTP(recorder, request)
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	if worker.server.CapacityExceeded() && !worker.crashed {
		worker.crashed = true
		worker.stand.record("the worker was ordered to load more than its %d adapters, and crashes", places)
		_ = worker.listener.Close()
		worker.server.Close()
	}
	return recorder.Code
}

// leaveUnanswered makes the worker leave the next orders for an adapter unanswered.
func (worker *lateWorker) leaveUnanswered(adapter string, orders int) {
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	worker.chosen[adapter] = orders
}

// playLate: a worker leaves orders unanswered and carries them out late.
func playLate(stand *stand) (bool, error) {
	config := stub.NewConfig()
	config.AdapterCapacity = places
	config.Apply(stand.store)
	worker, err := newLateWorker(stand)
	if err != nil {
		return false, err
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
	if stand.trouble {
		worker.mutex.Lock()
		worker.lateUntil = time.Now().Add(unansweredTime)
		worker.mutex.Unlock()
		worker.leaveUnanswered("z", 5)
		worker.leaveUnanswered("x", 1)
	}
	client := newClient()
	ask := func(adapter string) {
		got := send(client, stand.daemons[0], request{
			method: http.MethodPost, path: stub.ChatPath + "x", key: stub.Key, id: stub.NewID(), body: "a prompt",
			header: map[string]string{names.Model: stub.Model + "/" + adapter, names.Tokens: "100,20"},
		})
		stand.record("a caller asks for adapter %s: %d after %d ms", adapter, got.status, got.tookTime.Milliseconds())
	}
	begun := time.Now()
	var group sync.WaitGroup
	for number := range places - 1 {
		group.Go(func() { ask(fmt.Sprintf("a%d", number)) })
	}
	group.Wait()
	zAt := time.Now()
	ask("z")
	// The first copy of the order for z has been carried out by then.
	time.Sleep(time.Until(zAt.Add(lateAfter + time.Second)))
	ask("x")
	time.Sleep(6 * time.Second)
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	stand.record("orders: %d, of these without an answer: %d; unanswered from %.1f s on for %v", worker.orders, worker.unanswered, begun.Sub(stand.started).Seconds(), unansweredTime)
	return worker.server.CapacityExceeded(), nil
}
