//go:build review

package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"lentilproxy/platform/stub"
)

func init() { cases["resumed"] = resumed }

const (
	// streamEvents is the number of events of a stream, and eventGap the time between them.
	streamEvents = 14
	eventGap     = 40 * time.Millisecond
	// failedShare is the share of requests that servers answer with an error while they are in trouble (x of srv_grey).
	failedShare = 0.45
	// greyTime is how long servers are in trouble at a time (for_s of srv_grey), and greyPause the time between.
	greyTime  = 4 * time.Second
	greyPause = 2 * time.Second
	phases    = 8
	// streamsAtOnce is the number of streams on each daemon at a time.
	streamsAtOnce = 6
)

// resumed sends resumable streams through three daemons. While they run, half of one daemon's connections to servers are
// reset, and servers answer a part of their requests with an error. Each answer must be one in the protocol.
func resumed(stand *stand) (bool, error) {
	platform, err := stand.startPlatform()
	if err != nil {
		return false, err
	}
	config := stub.NewConfig()
	config.Timeout = 6000
	config.Apply(platform.store)
	var grey atomic.Bool
	var relays []*relay
	random := rand.New(rand.NewPCG(1, 2))
	var mutex sync.Mutex
	for number := range 3 {
		id := fmt.Sprint("engine-", number+1)
		server, err := stub.NewServer(id, stub.ServiceChat, stub.WithModel(stub.Model, config.AdapterCapacity))
		if err != nil {
			return false, err
		}
		stand.onClose(server.Close)
		relay, err := newRelay(server.Address())
		if err != nil {
			return false, err
		}
		stand.onClose(relay.close)
		server.Advertise(relay.address())
		relays = append(relays, relay)
		server.SetFaults(stub.ServerFaults{Respond: func(writer http.ResponseWriter, request *http.Request, arrival *stub.Arrival) {
			writer.Header().Set(names.Signature, "sig."+arrival.ID)
			mutex.Lock()
			fails := grey.Load() && random.Float64() < failedShare
			mutex.Unlock()
			if fails {
				stand.logf("%s answers %s with 500", id, arrival.ID)
				writer.WriteHeader(http.StatusInternalServerError)
				return
			}
			stand.logf("%s runs %s after event %q", id, arrival.ID, request.Header.Get("Last-Event-Id"))
			streamEventsTo(writer, request)
		}})
		platform.register(id, func() map[string]any { return server.Registration("ready") })
	}
	var hosts []*host
	for number := range 3 {
		started, err := stand.startHost(fmt.Sprint("host-", number+1), platform.address)
		if err != nil {
			return false, err
		}
		hosts = append(hosts, started)
	}
	time.Sleep(4 * time.Second)
	broken, sent := 0, 0
	for phase := range phases {
		if stand.trouble {
			grey.Store(true)
			stand.logf("servers fail a part of their requests")
		}
		ends := time.Now().Add(greyTime)
		for round := 0; time.Until(ends) > streamEvents*eventGap; round++ {
			// One daemon of three is disturbed at a time.
			disturbed := owner((phase + round) % len(hosts))
			reset := time.AfterFunc(5*eventGap, func() {
				if stand.trouble {
					stand.resetHalf(relays, disturbed)
				}
			})
			var group sync.WaitGroup
			for number := range streamsAtOnce * len(hosts) {
				sent++
				group.Go(func() {
					id := owner(number%len(hosts)) + stub.NewID()[ownerLength:]
					answer := sendStream(hosts[number%len(hosts)].callers, id)
					if answer.foreign != "" {
						mutex.Lock()
						broken++
						mutex.Unlock()
						stand.logf("%s got bytes that are no answer in the protocol: %s; status %d, %d bytes before: %q", id, answer.foreign, answer.status, len(answer.body), answer.raw)
						return
					}
					stand.logf("%s got %d, %d bytes, error %v", id, answer.status, len(answer.body), answer.err)
				})
			}
			group.Wait()
			reset.Stop()
		}
		time.Sleep(time.Until(ends))
		grey.Store(false)
		time.Sleep(greyPause)
	}
	stand.logf("%d of %d answers were none in the protocol", broken, sent)
	return broken > 0, nil
}

// ownerLength is the length of the beginning of an identifier that names the daemon that gets the request.
const ownerLength = 2

func owner(number int) string { return fmt.Sprintf("%02d", number) }

// resetHalf resets half of a daemon's connections to servers.
func (stand *stand) resetHalf(relays []*relay, owner string) {
	var links []*relayLink
	for _, relay := range relays {
		links = append(links, relay.linksOf(owner)...)
	}
	for _, link := range links[:len(links)/2] {
		link.reset()
	}
	stand.logf("%d of %d connections of daemon %s to servers are reset", len(links)/2, len(links), owner)
}

// streamEventsTo writes the events after the one that the request names.
func streamEventsTo(writer http.ResponseWriter, request *http.Request) {
	writer.Header().Set("Content-Type", "text/event-stream")
	writer.Header().Set(names.Versions, "1")
	last, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	for event := last + 1; event <= streamEvents; event++ {
		_, _ = fmt.Fprintf(writer, "id: %d\ndata: piece %d\n\n", event, event)
		if http.NewResponseController(writer).Flush() != nil {
			return
		}
		select {
		case <-time.After(eventGap):
		case <-request.Context().Done():
			return
		}
	}
}

// answer is what a caller has received.
type answer struct {
	status int
	body   string
	err    error
	// foreign says why the bytes are no answer in the protocol; empty if they are one, or the beginning of one.
	foreign string
	// raw holds the last bytes that were received.
	raw string
}

// sendStream sends one request for a resumable stream on a new connection.
func sendStream(address, id string) answer {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(8 * time.Second))
	if _, err = io.WriteString(conn, requestHead(id, stub.ResumePath, "a1", "request "+id)); err != nil {
		return answer{err: err}
	}
	var raw bytes.Buffer
	response, err := http.ReadResponse(bufio.NewReader(io.TeeReader(conn, &raw)), nil)
	if err != nil {
		return answer{err: err}
	}
	content, err := io.ReadAll(response.Body)
	got := answer{status: response.StatusCode, body: string(content), err: err, raw: raw.String()[max(0, raw.Len()-300):]}
	var network net.Error
	if err != nil && !errors.Is(err, io.ErrUnexpectedEOF) && !errors.As(err, &network) && (strings.Contains(err.Error(), "chunk") || strings.Contains(err.Error(), "encoding")) {
		got.foreign = err.Error()
	}
	return got
}
