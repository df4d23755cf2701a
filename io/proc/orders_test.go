package proc

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"lentilproxy/io/fake"
)

// orderClient sends orders and compares the responses with the executions that the service counted.
type orderClient struct {
	t     *testing.T
	fleet *fleet
	mutex sync.Mutex
	// confirmed contains the idempotency keys of the orders that got the response 201 Created.
	confirmed map[string]bool
}

func (orderClient *orderClient) submit(host *host, key string) response {
	got := send(host, "/services/orders/new", orderClient.fleet.key, `{"item":"rib"}`, "Idempotency-Key", key)
	orderClient.mutex.Lock()
	defer orderClient.mutex.Unlock()
	if got.err == nil && got.status == http.StatusCreated {
		orderClient.confirmed[key] = true
	}
	return got
}

func (orderClient *orderClient) executions() map[string]int {
	var stats fake.ServiceStats
	if !getJSON("http://"+orderClient.fleet.service+fake.PathStats, &stats) {
		orderClient.t.Fatal("the service does not respond")
	}
	return stats.Executions
}

func (orderClient *orderClient) checkExecutions(keys ...string) {
	orderClient.t.Helper()
	executions := orderClient.executions()
	for _, key := range keys {
		if executions[key] > 1 {
			orderClient.t.Fatalf("order %s ran %d times", key, executions[key])
		}
		if orderClient.confirmed[key] && executions[key] != 1 {
			orderClient.t.Fatalf("order %s was confirmed but ran %d times", key, executions[key])
		}
	}
}

func (orderClient *orderClient) setTableFault(fault fake.TableFault) {
	if err := postJSON("http://"+orderClient.fleet.table+fake.PathFault, fault, nil); err != nil {
		orderClient.t.Fatal(err)
	}
}

func (orderClient *orderClient) setServiceFault(fault fake.ServiceFault) {
	if err := postJSON("http://"+orderClient.fleet.service+fake.PathFault, fault, nil); err != nil {
		orderClient.t.Fatal(err)
	}
}

func newOrderClient(t *testing.T, hosts int) *orderClient {
	t.Helper()
	fleet := newFleet(t, fleetOptions{hosts: hosts, engines: 1})
	return &orderClient{t: t, fleet: fleet, confirmed: map[string]bool{}}
}

// Each order is sent six times at once, spread over all hosts, while the table service fails in different ways, and is
// sent again after the fault has ended. It must run at most once. If one of the six responses is a refusal with
// executed "no" and none reports success or an unknown outcome, it must not have run.
func TestOrdersUnderTableFaults(t *testing.T) {
	t.Parallel()
	orderClient := newOrderClient(t, 3)
	for _, test := range []struct {
		name  string
		fault fake.TableFault
	}{
		{"no fault", fake.TableFault{}},
		{"answers of claims lost", fake.TableFault{LoseCommitResponses: 3, CommitPrefix: "once/"}},
		{"claims take effect late", fake.TableFault{LateCommits: 2, LateByMS: 700, CommitPrefix: "once/"}},
		{"table slow", fake.TableFault{DelayMS: 300}},
		{"table slower than the time-out", fake.TableFault{DelayMS: 1500}},
		{"table away", fake.TableFault{Unreachable: true}},
	} {
		var keys []string
		orderClient.setTableFault(test.fault)
		for number := range 3 {
			key := fmt.Sprintf("%s %d", test.name, number)
			keys = append(keys, key)
			responses := make([]response, 6)
			runConcurrently(6, func(caller int) { responses[caller] = orderClient.submit(orderClient.fleet.hosts[caller%3], key) })
			executions := orderClient.executions()[key]
			for _, got := range responses {
				if got.refusal.Executed == "no" && executions > 0 && !anyConfirmed(responses) && !anyUnknown(responses) {
					t.Fatalf("%s: refused with %+v, but the order ran", key, got.refusal)
				}
			}
		}
		orderClient.setTableFault(fake.TableFault{})
		for _, key := range keys {
			await(t, 30*time.Second, "a final response to "+key, func() bool {
				got := orderClient.submit(orderClient.fleet.hosts[0], key)
				return got.status == http.StatusCreated || got.refusal.Code == "outcome_unknown"
			})
		}
		orderClient.checkExecutions(keys...)
	}
}

func anyConfirmed(responses []response) bool {
	for _, got := range responses {
		if got.status == http.StatusCreated {
			return true
		}
	}
	return false
}

func anyUnknown(responses []response) bool {
	for _, got := range responses {
		if got.err != nil || got.refusal.Executed == "unknown" {
			return true
		}
	}
	return false
}

// If a daemon is killed or suspended after it claimed an order and before it recorded the outcome, other hosts respond
// with outcome_unknown and never run the order again. A daemon that resumes still records the outcome. A lost response
// of the service has the same effect as a killed daemon.
func TestOrderOfKilledDaemon(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	orderClient := newOrderClient(t, 2)
	first, second := orderClient.fleet.hosts[0], orderClient.fleet.hosts[1]
	orderClient.setServiceFault(fake.ServiceFault{DelayMS: 2000})

	stopped := make(chan response, 1)
	go func() { stopped <- orderClient.submit(first, "stopped") }()
	await(t, startTimeout, "the order runs", func() bool { return orderClient.executions()["stopped"] == 1 })
	first.signal(syscall.SIGSTOP)
	is.Equal(orderClient.submit(second, "stopped").refusal, refusal{Code: "outcome_unknown", Executed: "unknown"})
	time.Sleep(5 * time.Second)
	first.signal(syscall.SIGCONT)
	is.Equal((<-stopped).status, http.StatusCreated)
	await(t, startTimeout, "the recorded response is returned", func() bool { return orderClient.submit(second, "stopped").status == http.StatusCreated })

	await(t, startTimeout, "the resumed daemon is ready", first.ready)
	go func() { orderClient.submit(first, "killed") }()
	await(t, startTimeout, "the order runs", func() bool { return orderClient.executions()["killed"] == 1 })
	first.kill()
	for range 5 {
		is.Equal(orderClient.submit(second, "killed").refusal, refusal{Code: "outcome_unknown", Executed: "unknown"})
	}
	orderClient.checkExecutions("stopped", "killed")

	orderClient.setServiceFault(fake.ServiceFault{LoseResponses: 1})
	is.Equal(orderClient.submit(second, "lost").refusal, refusal{Code: "backend_failed", Executed: "unknown"})
	is.Equal(orderClient.submit(second, "lost").refusal, refusal{Code: "outcome_unknown", Executed: "unknown"})
	orderClient.checkExecutions("lost")
}
