// Package soak tests daemons that run as processes against a stub platform. It injects disturbances, which are faults
// and configuration changes that are generated from a seed. It checks the system's promises, which are its guarantees
// to callers and operators, against what callers and backend servers observed.
//
//	callers ──> lentild ──> relay ──> stub backend servers
//	              │  ▲
//	              │  └── relay <── peers
//	              └── relay ──> stub store
//
// The observations of callers, backend servers and the operator are recorded during the run. Each check is a function
// of that record and runs after the run has ended.
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

	"lentilproxy/core/value"
	"lentilproxy/platform/stub"
)

const (
	// allHosts marks a disturbance that affects all hosts.
	allHosts = ""
	// adapterCount is the number of adapters that callers request.
	adapterCount = 20
	// maxThinkTime is the upper bound of a caller's pause between two requests.
	maxThinkTime = 120 * time.Millisecond
	// requestTimeout bounds one request of a caller. It is longer than the timeouts of the routes.
	requestTimeout = 6 * time.Second
	// readinessInterval is the interval and the timeout of readiness checks, and the delay of a caller that finds no ready
	// host or cannot connect to it.
	readinessInterval = 200 * time.Millisecond
)

// Options configure a run.
type Options struct {
	Seed   uint64
	Length time.Duration
	Hosts  int
	// Engines and PlainServers are the numbers of backend servers with and without a model.
	Engines      int
	PlainServers int
	Callers      int
	// Program is the path of the daemon.
	Program string
	// Folder is the directory for settings and logs.
	Folder string
}

// Report is the result of a run.
type Report struct {
	Events     []Event
	Requests   int
	Served     int
	Violations []string
}

// runner carries out one run.
type runner struct {
	options  Options
	platform *platform
	hosts    []*host

	mutex      sync.Mutex
	record     record
	violations []string
	readyHosts []*host
}

// Run carries out the plan of a seed and checks what was observed. An error means that the run could not be set up,
// or that the logs of a failed run could not be written.
func Run(options Options) (Report, error) {
	runner := &runner{options: options}
	platform, err := newPlatform(options.Seed, options.Engines, options.PlainServers, runner.recordCrash)
	if err != nil {
		return Report{}, err
	}
	defer platform.close()
	runner.platform = platform
	for number := range options.Hosts {
		// The address depends on the process ID, so that concurrent runs do not share ports.
		ip := fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()/250%250, os.Getpid()%250, 1+number)
		host, hostErr := newHost(options.Folder, options.Program, fmt.Sprint("host-", number+1), ip, platform.listener.Addr().String())
		if hostErr != nil {
			return Report{}, hostErr
		}
		defer host.close()
		if hostErr = host.start(); hostErr != nil {
			return Report{}, hostErr
		}
		runner.hosts = append(runner.hosts, host)
	}
	events := Plan(options.Seed, options.Length)
	runner.execute(events)
	runner.collectObservations()
	report := Report{Events: events, Requests: len(runner.record.attempts), Violations: append(runner.violations, runner.record.check()...)}
	for _, attempt := range runner.record.attempts {
		if attempt.served() {
			report.Served++
		}
	}
	if len(report.Violations) > 0 {
		err = runner.writeLogs()
	}
	return report, err
}

// execute runs the callers, the readiness checks and the disturbances until the end of the run.
func (runner *runner) execute(events []Event) {
	startedAt := time.Now()
	ctx, cancel := context.WithDeadline(context.Background(), startedAt.Add(runner.options.Length))
	defer cancel()
	var tasks sync.WaitGroup
	tasks.Go(func() { runner.pollReadiness(ctx) })
	for number := range runner.options.Callers {
		random := rand.New(rand.NewPCG(runner.options.Seed, uint64(number)))
		tasks.Go(func() { runner.runCaller(ctx, random) })
	}
	for _, event := range events {
		time.Sleep(time.Until(startedAt.Add(event.At)))
		tasks.Go(func() { runner.disturb(event) })
	}
	tasks.Wait()
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	runner.record.endedAt = startedAt.Add(runner.options.Length)
}

// pollReadiness updates the list of ready hosts, and reports and restarts processes that ended by themselves.
func (runner *runner) pollReadiness(ctx context.Context) {
	client := &http.Client{Timeout: readinessInterval, Transport: &http.Transport{DisableKeepAlives: true}}
	for ctx.Err() == nil {
		var ready []*host
		for _, host := range runner.hosts {
			if host.isReady(client) {
				ready = append(ready, host)
			}
			select {
			case <-host.done():
				if host.claim() {
					runner.addViolation("process", host.name+" ended by itself")
					runner.restart(host)
					host.release()
				}
			default:
			}
		}
		runner.mutex.Lock()
		runner.readyHosts = ready
		runner.mutex.Unlock()
		time.Sleep(readinessInterval)
	}
}

// pickHost returns a random ready host, or nil if there is none.
func (runner *runner) pickHost(random *rand.Rand) *host {
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	if len(runner.readyHosts) == 0 {
		return nil
	}
	return runner.readyHosts[random.IntN(len(runner.readyHosts))]
}

// runCaller sends requests on one connection at a time, and connects to another host when the connection ends.
func (runner *runner) runCaller(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		host := runner.pickHost(random)
		if host == nil {
			time.Sleep(readinessInterval)
			continue
		}
		caller, err := stub.Dial(context.Background(), host.callerAddress)
		if err != nil {
			time.Sleep(readinessInterval)
			continue
		}
		for first := true; ctx.Err() == nil; first = false {
			attempt := runner.drawRequest(random)
			attempt.host, attempt.runID, attempt.firstOnConnection = host.name, host.runID(), first
			if !runner.send(caller, &attempt) {
				break
			}
			time.Sleep(time.Duration(random.Int64N(int64(maxThinkTime))))
		}
		caller.Close()
	}
}

// drawRequest returns a random request.
func (runner *runner) drawRequest(random *rand.Rand) attempt {
	keys := runner.platform.keys.Load()
	attempt := attempt{id: stub.NewID(), key: stub.Key}
	switch random.IntN(8) {
	case 0, 1:
		attempt.key = keys.extra
	case 2:
		attempt.key = cmp.Or(keys.withdrawn, stub.Key)
	}
	switch random.IntN(5) {
	case 0, 1:
		attempt.path, attempt.adapter = stub.ChatPath, adapterName(random.IntN(adapterCount))
		attempt.parts = soundParts(random)
	case 2:
		attempt.path, attempt.adapter = stub.ResumePath, adapterName(random.IntN(adapterCount))
	case 3:
		attempt.path = stub.OrderPath
	default:
		attempt.path = stub.StockPath
	}
	return attempt
}

func adapterName(number int) string { return fmt.Sprint("a", number) }

// send sends a request, records its response and reports whether the connection can be used again.
func (runner *runner) send(caller *stub.Caller, attempt *attempt) bool {
	surplus := caller.FindSurplus()
	attempt.sentAt = time.Now()
	// Setting a deadline does not fail on an open connection.
	_ = caller.SetDeadline(attempt.sentAt.Add(requestTimeout))
	var response stub.Response
	err := surplus
	if err == nil {
		response, err = caller.Send(attempt.id, attempt.path, attempt.key, attempt.adapter, "content "+attempt.id, attempt.parts...)
	}
	attempt.endedAt, attempt.status, attempt.signed, attempt.body, attempt.err = time.Now(), response.Status, response.Signed, response.Body, err
	attempt.answered = response.Answered
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	runner.record.attempts = append(runner.record.attempts, attempt)
	return err == nil && !strings.EqualFold(response.Header.Get("Connection"), "close")
}

// recordDisturbance records the start of a disturbance and returns a function that records its end.
func (runner *runner) recordDisturbance(kind Kind, host string) func() {
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	disturbance := &disturbance{kind: kind, host: host, from: time.Now()}
	runner.record.disturbances = append(runner.record.disturbances, disturbance)
	return func() {
		runner.mutex.Lock()
		defer runner.mutex.Unlock()
		disturbance.until = time.Now()
	}
}

func (runner *runner) addViolation(promise, detail string) {
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	runner.violations = append(runner.violations, promise+": "+detail)
}

// collectObservations adds the observations of the backend servers and the operator to the record.
func (runner *runner) collectObservations() {
	runner.record.arrivals, runner.record.evacuated = map[string][]arrival{}, value.NewSet[string]()
	for _, server := range runner.platform.servers() {
		for _, received := range server.Arrivals() {
			runner.record.arrivals[received.ID] = append(runner.record.arrivals[received.ID], arrival{Arrival: received, server: server.ID()})
		}
		runner.record.orders = append(runner.record.orders, server.Orders())
		if server.DataCentre() == evacuatedZone {
			runner.record.evacuated.Add(server.ID())
			runner.record.evacuatedOrders = append(runner.record.evacuatedOrders, server.Orders()...)
		}
		if server.CapacityExceeded() {
			runner.addViolation("places", server.ID()+" was ordered to load more adapters than its capacity")
		}
	}
	runner.record.declared, runner.record.withdrawn, runner.record.drained = runner.platform.declared, runner.platform.withdrawn, runner.platform.drained
	runner.record.evacuations, runner.record.colds = runner.platform.evacuations, runner.platform.colds
}

// writeLogs writes the last log lines of every host and the list of disturbances to the folder.
func (runner *runner) writeLogs() error {
	for _, host := range runner.hosts {
		path := filepath.Join(runner.options.Folder, host.name+".log")
		if err := os.WriteFile(path, []byte(strings.Join(host.logLines(), "\n")), 0o600); err != nil {
			return err
		}
	}
	lines := make([]string, 0, len(runner.record.disturbances))
	for _, disturbance := range runner.record.disturbances {
		lines = append(lines, fmt.Sprintf("%s %s %q until %s", disturbance.from.Format(clockFormat), disturbance.kind, disturbance.host, disturbance.until.Format(clockFormat)))
	}
	slices.Sort(lines)
	return os.WriteFile(filepath.Join(runner.options.Folder, "disturbances.log"), []byte(strings.Join(lines, "\n")), 0o600)
}
