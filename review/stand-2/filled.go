//go:build review

package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"lentilproxy/platform/stub"
)

const (
	// answerBytes is the size of an answer, as on the sheets of the small sites.
	answerBytes = 800
	// garbleEvery is one in how many answers of a server is garbled; the site file names a share of 0.03.
	garbleEvery = 34
	// garbleTime and garblePause are how long servers garble answers, and the time until they do so again; the site file names 5 s.
	garbleTime  = 5 * time.Second
	garblePause = time.Second
	garbleTimes = 5
)

// garbler makes servers break off answers, and send the answer before once more.
type garbler struct {
	stand *stand
	mutex sync.Mutex
	// last maps connections to the identifiers of the requests that were answered on them last.
	last     map[string]string
	answers  map[string]int
	garbled  map[string]bool
	garbling bool
}

// content returns the body of the whole answer to a request.
func content(id string) string {
	body := "answer to " + id + " "
	return body + strings.Repeat("x", answerBytes-len(body))
}

func head(id string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: sig.%s\r\nContent-Length: %d\r\n\r\n", names.ID, id, names.Signature, id, answerBytes)
}

// respond answers a request. A garbled answer stops after its first half; the connection stays open, and the answer to the request before
// comes a second time where the next answer is due.
func (garbler *garbler) respond(server string, garbles bool) func(http.ResponseWriter, *http.Request, *stub.Arrival) {
	return func(writer http.ResponseWriter, request *http.Request, arrival *stub.Arrival) {
		time.Sleep(5 * time.Millisecond)
		garbler.mutex.Lock()
		before := garbler.last[request.RemoteAddr]
		garbler.last[request.RemoteAddr] = arrival.ID
		garbler.answers[server]++
		garbled := garbles && garbler.garbling && before != "" && garbler.answers[server] >= garbleEvery
		if garbled {
			garbler.answers[server] = 0
			garbler.garbled[arrival.ID] = true
		}
		garbler.mutex.Unlock()
		if !garbled {
			writer.Header().Set(names.Signature, "sig."+arrival.ID)
			writer.Header().Set("Content-Length", fmt.Sprint(answerBytes))
			_, _ = writer.Write([]byte(content(arrival.ID)))
			return
		}
		conn, _, err := http.NewResponseController(writer).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		_, _ = conn.Write([]byte(head(arrival.ID) + content(arrival.ID)[:answerBytes/2]))
		time.Sleep(10 * time.Millisecond)
		_, _ = conn.Write([]byte(head(before) + content(before)))
		garbler.stand.record("%s breaks off its answer to %s and sends that to %s once more", server, arrival.ID, before)
		// The daemon ends the connection.
		_ = conn.SetReadDeadline(time.Now().Add(time.Second))
		_, _ = conn.Read(make([]byte, 1))
	}
}

// playFilled: some servers break off an answer now and then, and send an earlier one a second time.
func playFilled(stand *stand) (bool, error) {
	stub.NewConfig().Apply(stand.store)
	garbler := &garbler{stand: stand, last: map[string]string{}, answers: map[string]int{}, garbled: map[string]bool{}}
	for number := range 5 {
		id := fmt.Sprintf("i-orders-%d", number)
		added, err := stand.addServer(id, stub.ServiceOrders)
		if err != nil {
			return false, err
		}
		added.SetFaults(stub.ServerFaults{Respond: garbler.respond(id, number < 3)})
	}
	for _, zone := range []string{"a", "a", "b", "c"} {
		if _, err := stand.addDaemon(zone, stand.listener.Addr().String()); err != nil {
			return false, err
		}
	}
	if err := stand.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	stop := make(chan struct{})
	var group sync.WaitGroup
	var mutex sync.Mutex
	statuses, wrong := map[int]int{}, 0
	for index, daemon := range stand.daemons {
		for caller := range 4 {
			client := newClient()
			path := []string{stub.StockPath, stub.OrderPath}[(index+caller)%2]
			group.Go(func() {
				for {
					select {
					case <-time.After(20 * time.Millisecond):
					case <-stop:
						return
					}
					sent := request{method: http.MethodPost, path: path + "x", key: stub.Key, id: stub.NewID()}
					got := send(client, daemon, sent)
					mutex.Lock()
					statuses[got.status]++
					if got.status == http.StatusOK && got.err == nil && got.body != content(sent.id) {
						wrong++
						if wrong <= 5 {
							stand.record("%s: 200, signed: %v, %d bytes, not the worker's body: %q", sent.id, got.signed, len(got.body), got.body[answerBytes/2-20:answerBytes/2+180])
						}
					}
					mutex.Unlock()
				}
			})
		}
	}
	for range garbleTimes {
		if stand.trouble {
			garbler.set(true)
		}
		time.Sleep(garbleTime)
		garbler.set(false)
		time.Sleep(garblePause)
	}
	close(stop)
	group.Wait()
	stand.record("answers by status: %v; garbled by servers: %d; successes with a body that isn't the worker's: %d", statuses, len(garbler.garbled), wrong)
	return wrong > 0, nil
}

func (garbler *garbler) set(garbling bool) {
	garbler.mutex.Lock()
	defer garbler.mutex.Unlock()
	garbler.garbling = garbling
}
