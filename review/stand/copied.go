//go:build review

package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"lentilproxy/platform/stub"
)

func init() { cases["copied"] = copied }

const (
	// workSlots, workQueue and workTime are those of a small plain service.
	workSlots = 2
	workQueue = 2
	workTime  = 3 * time.Millisecond
	// copyEvery is the number of answers of which a faulty server sends one twice (x of garble: 0.03).
	copyEvery   = 34
	copyWorkers = 5
	copyCallers = 40
	copyTime    = 60 * time.Second
	// copyPhase is how long servers are faulty at a time (for_s of garble), and copyPause the time between.
	copyPhase = 5 * time.Second
	copyPause = time.Second
)

// copyWorker is a plain server that works on workSlots requests at a time, keeps workQueue more waiting, and rejects the
// others as not run. A faulty one sends some of its answers a second time, right before the next answer on the connection.
type copyWorker struct {
	stand  *stand
	id     string
	faulty bool
	born   int64

	address string
	slots   chan struct{}
	inside  atomic.Int64
	answers atomic.Int64
	runs    *runs
}

// runs counts by request how often servers have run it.
type runs struct {
	mutex  sync.Mutex
	counts map[string]int
}

func (runs *runs) add(id string) int {
	runs.mutex.Lock()
	defer runs.mutex.Unlock()
	runs.counts[id]++
	return runs.counts[id]
}

func (runs *runs) of(id string) int {
	runs.mutex.Lock()
	defer runs.mutex.Unlock()
	return runs.counts[id]
}

func (worker *copyWorker) listen() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	worker.address = listener.Addr().String()
	worker.stand.onClose(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go worker.serve(conn)
		}
	}()
	return nil
}

func (worker *copyWorker) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	var late []byte
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		id := request.Header.Get(names.ID)
		if late != nil {
			if bytes.Contains(late, []byte("Not-Executed")) {
				worker.stand.logf("%s sends its last answer on this connection, a rejection, once more, before that to %s", worker.id, id)
			}
			if _, err = conn.Write(late); err != nil {
				return
			}
			late = nil
		}
		out := worker.answer(request, id)
		if worker.faulty && worker.inPhase() && worker.answers.Add(1)%copyEvery == 0 {
			late = out
		}
		if _, err = conn.Write(out); err != nil {
			return
		}
	}
}

// inPhase reports whether faulty servers are faulty now.
func (worker *copyWorker) inPhase() bool {
	return time.Since(worker.stand.started)%(copyPhase+copyPause) < copyPhase
}

func (worker *copyWorker) answer(request *http.Request, id string) []byte {
	var out bytes.Buffer
	if expected := request.Header.Get(names.Expected); expected != "" && expected != worker.id {
		fmt.Fprintf(&out, "HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", names.Instance, worker.id)
		return out.Bytes()
	}
	defer worker.inside.Add(-1)
	if worker.inside.Add(1) > workSlots+workQueue {
		fmt.Fprintf(&out, "HTTP/1.1 503 Service Unavailable\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", names.ID, id, names.NotExecuted)
		return out.Bytes()
	}
	worker.slots <- struct{}{}
	if count := worker.runs.add(id); count > 1 {
		worker.stand.logf("%s runs %s for the %d. time", worker.id, id, count)
	}
	time.Sleep(workTime)
	<-worker.slots
	body := "answer to " + id
	fmt.Fprintf(&out, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: sig.%s\r\nContent-Length: %d\r\n\r\n%s", names.ID, id, names.Signature, id, len(body), body)
	return out.Bytes()
}

func (worker *copyWorker) registration() map[string]any {
	return map[string]any{
		"service": stub.ServiceOrders, "address": worker.address, "zone": "dc-1", "version": "v1", names.Slots: workSlots, "state": "ready",
		"cold_remaining_ms": 0, "sequence_number": 0, "born": worker.born,
	}
}

// copied sends requests that may run once to a service that is full at times, of which some servers send a part of their
// answers twice. No request may run twice, and none that was refused may have run.
func copied(stand *stand) (bool, error) {
	platform, err := stand.startPlatform()
	if err != nil {
		return false, err
	}
	stub.NewConfig().Apply(platform.store)
	counts := &runs{counts: map[string]int{}}
	for number := range copyWorkers {
		worker := &copyWorker{
			stand: stand, id: fmt.Sprint("plain-", number+1), faulty: stand.trouble && number < copyWorkers*3/5, born: time.Now().UnixMilli(),
			slots: make(chan struct{}, workSlots), runs: counts,
		}
		if err = worker.listen(); err != nil {
			return false, err
		}
		platform.register(worker.id, worker.registration)
	}
	var hosts []*host
	for number := range 2 {
		started, err := stand.startHost(fmt.Sprint("host-", number+1), platform.address)
		if err != nil {
			return false, err
		}
		hosts = append(hosts, started)
	}
	time.Sleep(3 * time.Second)
	end := time.Now().Add(copyTime)
	var refused, served, twice, lied atomic.Int64
	var group sync.WaitGroup
	for number := range copyCallers {
		group.Go(func() {
			var caller orderCaller
			defer caller.close()
			for time.Now().Before(end) {
				id := stub.NewID()
				status, wait, err := caller.send(hosts[number%2].callers, id)
				switch {
				case err != nil:
					stand.logf("%s got no answer: %v", id, err)
				case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
					refused.Add(1)
					// A run may begin later, so the count is looked at once more.
					time.Sleep(wait)
					if count := counts.of(id); count > 0 {
						lied.Add(1)
						stand.logf("%s got %d, and has run %d times", id, status, count)
					}
				default:
					served.Add(1)
				}
			}
		})
	}
	group.Wait()
	time.Sleep(500 * time.Millisecond)
	for id, count := range counts.counts {
		if count > 1 {
			twice.Add(1)
			stand.logf("%s has run %d times", id, count)
		}
	}
	stand.logf("%d answered, %d refused; TWICE: %d requests ran more than once; REFUSED: %d refused requests have run", served.Load(), refused.Load(), twice.Load(), lied.Load())
	return twice.Load()+lied.Load() > 0, nil
}

// orderCaller sends requests on one connection as long as that stays open.
type orderCaller struct {
	conn   net.Conn
	reader *bufio.Reader
}

func (caller *orderCaller) close() {
	if caller.conn != nil {
		_ = caller.conn.Close()
		caller.conn = nil
	}
}

// send sends one request and returns the status of its answer, and how long the caller has to wait after a refusal.
func (caller *orderCaller) send(address, id string) (status int, wait time.Duration, err error) {
	if caller.conn == nil {
		if caller.conn, err = net.Dial("tcp", address); err != nil {
			caller.conn = nil
			return 0, 0, err
		}
		caller.reader = bufio.NewReader(caller.conn)
	}
	_ = caller.conn.SetDeadline(time.Now().Add(6 * time.Second))
	if _, err = io.WriteString(caller.conn, requestHead(id, stub.OrderPath, "", "order "+id)); err != nil {
		caller.close()
		return 0, 0, err
	}
	response, err := http.ReadResponse(caller.reader, nil)
	if err != nil {
		caller.close()
		return 0, 0, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	seconds, _ := strconv.ParseFloat(strings.TrimSpace(response.Header.Get("Retry-After")), 64)
	if err != nil || response.Close {
		caller.close()
	}
	return response.StatusCode, max(100*time.Millisecond, time.Duration(seconds*float64(time.Second))), nil
}
