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

// placer sends orders and compares every answer with what the service executed.
type placer struct {
	t     *testing.T
	fleet *fleet
	mutex sync.Mutex
	// saidNo are the keys for which the latest refusal said that nothing was executed, and no answer came before.
	answered map[string]bool
}

func (placer *placer) place(host *host, key string) answer {
	got := send(host, "/services/orders/new", placer.fleet.key, `{"item":"rib"}`, "Idempotency-Key", key)
	placer.mutex.Lock()
	defer placer.mutex.Unlock()
	if got.err == nil && got.status == http.StatusCreated {
		placer.answered[key] = true
	}
	return got
}

func (placer *placer) executions() map[string]int {
	var stats fake.ServiceStats
	if !getJSON("http://"+placer.fleet.service+fake.PathStats, &stats) {
		placer.t.Fatal("the service does not answer")
	}
	return stats.Executions
}

func (placer *placer) check(keys ...string) {
	placer.t.Helper()
	executions := placer.executions()
	for _, key := range keys {
		if executions[key] > 1 {
			placer.t.Fatalf("order %s ran %d times", key, executions[key])
		}
		if placer.answered[key] && executions[key] != 1 {
			placer.t.Fatalf("order %s was answered but ran %d times", key, executions[key])
		}
	}
}

func (placer *placer) tableFault(fault fake.TableFault) {
	if err := postJSON("http://"+placer.fleet.table+fake.PathFault, fault, nil); err != nil {
		placer.t.Fatal(err)
	}
}

func (placer *placer) serviceFault(fault fake.ServiceFault) {
	if err := postJSON("http://"+placer.fleet.service+fake.PathFault, fault, nil); err != nil {
		placer.t.Fatal(err)
	}
}

func newPlacer(t *testing.T, hosts int) *placer {
	t.Helper()
	fleet := newFleet(t, fleetOptions{hosts: hosts, engines: 1})
	return &placer{t: t, fleet: fleet, answered: map[string]bool{}}
}

// The same order sent to all hosts at once, and again after faults of the table, runs at most once, and a refusal that
// says it was not executed is true.
func TestOrdersUnderTableFaults(t *testing.T) {
	t.Parallel()
	placer := newPlacer(t, 3)
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
		placer.tableFault(test.fault)
		for number := range 3 {
			key := fmt.Sprintf("%s %d", test.name, number)
			keys = append(keys, key)
			answers := make([]answer, 6)
			each(6, func(caller int) { answers[caller] = placer.place(placer.fleet.hosts[caller%3], key) })
			executions := placer.executions()[key]
			for _, got := range answers {
				if got.refusal.Executed == "no" && executions > 0 && !anyAnswered(answers) && !anyUnknown(answers) {
					t.Fatalf("%s: told %+v, but it ran", key, got.refusal)
				}
			}
		}
		placer.tableFault(fake.TableFault{})
		for _, key := range keys {
			await(t, 30*time.Second, "an answer to "+key, func() bool {
				got := placer.place(placer.fleet.hosts[0], key)
				return got.status == http.StatusCreated || got.refusal.Code == "outcome_unknown"
			})
		}
		placer.check(keys...)
	}
}

func anyAnswered(answers []answer) bool {
	for _, got := range answers {
		if got.status == http.StatusCreated {
			return true
		}
	}
	return false
}

func anyUnknown(answers []answer) bool {
	for _, got := range answers {
		if got.err != nil || got.refusal.Executed == "unknown" {
			return true
		}
	}
	return false
}

// A daemon that is killed or stopped between the claim and the outcome leaves the order unknown; it is never run again.
func TestOrderOfKilledDaemon(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	placer := newPlacer(t, 2)
	first, second := placer.fleet.hosts[0], placer.fleet.hosts[1]
	placer.serviceFault(fake.ServiceFault{DelayMS: 2000})

	stopped := make(chan answer, 1)
	go func() { stopped <- placer.place(first, "stopped") }()
	await(t, startWait, "the order runs", func() bool { return placer.executions()["stopped"] == 1 })
	first.signal(syscall.SIGSTOP)
	is.Equal(placer.place(second, "stopped").refusal, refusal{Code: "outcome_unknown", Executed: "unknown"})
	time.Sleep(5 * time.Second)
	first.signal(syscall.SIGCONT)
	is.Equal((<-stopped).status, http.StatusCreated)
	await(t, startWait, "the recorded answer", func() bool { return placer.place(second, "stopped").status == http.StatusCreated })

	await(t, startWait, "the resumed daemon is ready", first.ready)
	go func() { placer.place(first, "killed") }()
	await(t, startWait, "the order runs", func() bool { return placer.executions()["killed"] == 1 })
	first.kill()
	for range 5 {
		is.Equal(placer.place(second, "killed").refusal, refusal{Code: "outcome_unknown", Executed: "unknown"})
	}
	placer.check("stopped", "killed")

	placer.serviceFault(fake.ServiceFault{LoseResponses: 1})
	is.Equal(placer.place(second, "lost").refusal, refusal{Code: "backend_failed", Executed: "unknown"})
	is.Equal(placer.place(second, "lost").refusal, refusal{Code: "outcome_unknown", Executed: "unknown"})
	placer.check("lost")
}
