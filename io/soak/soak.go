// Package soak runs daemons as processes against stand-ins, disturbs them by a seed, and checks the promises by what
// callers and backend servers see.
//
//	callers ──> lentild ──> relay ──> stand-ins of backend servers
//	              │  ▲
//	              │  └── relay <── peers
//	              └── relay ──> stand-in of the store
//
// A plan of disturbances is drawn from the seed. What callers, servers and the operator saw is kept, and checked once
// the run has ended: each check is a function of that record.
package soak

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"lentilproxy/platform/stub"
)

const (
	// everybody stands for all hosts in the record of disturbances.
	everybody = ""
	// adapters is the number of adapters that callers ask for.
	adapters = 20
	// thinkTime is the longest pause of a caller between two requests.
	thinkTime = 120 * time.Millisecond
	// callerTime bounds one request; routes end before.
	callerTime = 6 * time.Second
	// readyInterval is the time between two questions of the balancer.
	readyInterval = 200 * time.Millisecond
)

// Options say what to run.
type Options struct {
	Seed    uint64
	Length  time.Duration
	Hosts   int
	Engines int
	Plain   int
	Callers int
	// Program is the path of the daemon.
	Program string
	// Folder is where settings and logs go.
	Folder string
}

// Report is the outcome of a run.
type Report struct {
	Events     []Event
	Requests   int
	Answered   int
	Violations []string
}

// Soak is one run.
type Soak struct {
	options Options
	world   *world
	hosts   []*host

	mutex      sync.Mutex
	record     record
	violations []string
	ready      []*host
}

// Run plays a plan and checks what was seen. The error says that the run could not be set up.
func Run(options Options) (Report, error) {
	world, err := newWorld(options.Engines, options.Plain)
	if err != nil {
		return Report{}, err
	}
	defer world.close()
	soak := &Soak{options: options, world: world}
	for number := range options.Hosts {
		// Loopback addresses of this process, so that runs do not meet.
		ip := fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()/250%250, os.Getpid()%250, 1+number)
		host, hostErr := newHost(options.Folder, options.Program, fmt.Sprint("host-", number+1), ip, world.listener.Addr().String())
		if hostErr != nil {
			return Report{}, hostErr
		}
		defer host.close()
		if hostErr = host.start(); hostErr != nil {
			return Report{}, hostErr
		}
		soak.hosts = append(soak.hosts, host)
	}
	events := Plan(options.Seed, options.Length)
	soak.play(events)
	soak.collect()
	report := Report{Events: events, Requests: len(soak.record.attempts), Violations: append(soak.violations, soak.record.check()...)}
	for _, attempt := range soak.record.attempts {
		if attempt.served() {
			report.Answered++
		}
	}
	if len(report.Violations) > 0 {
		err = soak.keepLogs()
	}
	return report, err
}

// play runs callers, the balancer and the disturbances until the end.
func (soak *Soak) play(events []Event) {
	startedAt := time.Now()
	ctx, cancel := context.WithDeadline(context.Background(), startedAt.Add(soak.options.Length))
	defer cancel()
	var parts sync.WaitGroup
	parts.Go(func() { soak.balance(ctx) })
	for number := range soak.options.Callers {
		random := rand.New(rand.NewPCG(soak.options.Seed, uint64(number)))
		parts.Go(func() { soak.call(ctx, random) })
	}
	for _, event := range events {
		time.Sleep(time.Until(startedAt.Add(event.At)))
		parts.Go(func() { soak.disturb(event) })
	}
	parts.Wait()
	soak.mutex.Lock()
	defer soak.mutex.Unlock()
	soak.record.endedAt = startedAt.Add(soak.options.Length)
}

// balance asks the hosts whether they are ready, and notices processes that end by themselves.
func (soak *Soak) balance(ctx context.Context) {
	client := &http.Client{Timeout: readyInterval, Transport: &http.Transport{DisableKeepAlives: true}}
	for ctx.Err() == nil {
		var ready []*host
		for _, host := range soak.hosts {
			if host.isReady(client) {
				ready = append(ready, host)
			}
			select {
			case <-host.done():
				if host.claim() {
					soak.violate("process", host.name+" ended by itself")
					soak.restart(host)
					host.release()
				}
			default:
			}
		}
		soak.mutex.Lock()
		soak.ready = ready
		soak.mutex.Unlock()
		time.Sleep(readyInterval)
	}
}

func (soak *Soak) pick(random *rand.Rand) *host {
	soak.mutex.Lock()
	defer soak.mutex.Unlock()
	if len(soak.ready) == 0 {
		return nil
	}
	return soak.ready[random.IntN(len(soak.ready))]
}

// call sends requests on one connection after the other, each until it ends.
func (soak *Soak) call(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		host := soak.pick(random)
		if host == nil {
			time.Sleep(readyInterval)
			continue
		}
		caller, err := stub.Dial(context.Background(), host.callers)
		if err != nil {
			time.Sleep(readyInterval)
			continue
		}
		for first := true; ctx.Err() == nil; first = false {
			next := soak.request(random)
			next.host, next.life, next.first = host.name, host.life(), first
			if !soak.send(caller, &next) {
				break
			}
			time.Sleep(time.Duration(random.Int64N(int64(thinkTime))))
		}
		caller.Close()
	}
}

// request draws a request.
func (soak *Soak) request(random *rand.Rand) attempt {
	soak.world.mutex.Lock()
	extra, old := soak.world.extra, soak.world.old
	soak.world.mutex.Unlock()
	next := attempt{id: stub.NewID(), key: stub.Key}
	switch random.IntN(8) {
	case 0, 1:
		next.key = extra
	case 2:
		next.key = cmp.Or(old, stub.Key)
	}
	switch random.IntN(5) {
	case 0, 1:
		next.path, next.adapter = stub.ChatPath, adapterName(random.IntN(adapters))
	case 2:
		next.path, next.adapter = stub.ResumePath, adapterName(random.IntN(adapters))
	case 3:
		next.path = stub.OrderPath
	default:
		next.path = stub.StockPath
	}
	return next
}

func adapterName(number int) string { return fmt.Sprint("a", number) }

// send sends a request and notes its answer. It says whether the connection can be used again.
func (soak *Soak) send(caller *stub.Caller, next *attempt) bool {
	next.sentAt = time.Now()
	// A deadline cannot fail on an open connection.
	_ = caller.SetDeadline(next.sentAt.Add(callerTime))
	answer, err := caller.Send(next.id, next.path, next.key, next.adapter, "content "+next.id)
	next.endedAt, next.status, next.signed, next.body, next.err = time.Now(), answer.Status, answer.Signed, answer.Body, err
	soak.mutex.Lock()
	defer soak.mutex.Unlock()
	soak.record.attempts = append(soak.record.attempts, next)
	return err == nil && !strings.EqualFold(answer.Header.Get("Connection"), "close")
}

// note records the beginning of a disturbance and returns what records its end.
func (soak *Soak) note(kind Kind, who string) func() {
	soak.mutex.Lock()
	defer soak.mutex.Unlock()
	trouble := &trouble{kind: kind, who: who, from: time.Now()}
	soak.record.troubles = append(soak.record.troubles, trouble)
	return func() {
		soak.mutex.Lock()
		defer soak.mutex.Unlock()
		trouble.until = time.Now()
	}
}

func (soak *Soak) violate(promise, detail string) {
	soak.mutex.Lock()
	defer soak.mutex.Unlock()
	soak.violations = append(soak.violations, promise+": "+detail)
}

// collect takes in what the servers and the operator saw.
func (soak *Soak) collect() {
	soak.record.arrivals = map[string][]arrival{}
	for _, server := range soak.world.servers() {
		for _, seen := range server.Arrivals() {
			soak.record.arrivals[seen.ID] = append(soak.record.arrivals[seen.ID], arrival{Arrival: seen, server: server.ID()})
		}
		soak.record.orders = append(soak.record.orders, server.Orders())
		if server.CapacityExceeded() {
			soak.violate("places", server.ID()+" was ordered to load more adapters than it has places for")
		}
	}
	soak.record.declared, soak.record.taken, soak.record.drained = soak.world.declared, soak.world.taken, soak.world.drained
}

// keepLogs writes the last lines of every host and what was disturbed into the folder.
func (soak *Soak) keepLogs() error {
	for _, host := range soak.hosts {
		path := filepath.Join(soak.options.Folder, host.name+".log")
		if err := os.WriteFile(path, []byte(strings.Join(host.log(), "\n")), 0o600); err != nil {
			return err
		}
	}
	lines := make([]string, 0, len(soak.record.troubles))
	for _, trouble := range soak.record.troubles {
		lines = append(lines, fmt.Sprintf("%s %s %q until %s", trouble.from.Format(clockFormat), trouble.kind, trouble.who, trouble.until.Format(clockFormat)))
	}
	slices.Sort(lines)
	return os.WriteFile(filepath.Join(soak.options.Folder, "disturbances.log"), []byte(strings.Join(lines, "\n")), 0o600)
}
