package proc

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"lentilproxy/io/fake"
)

func engineStats(t *testing.T, address string) fake.EngineStats {
	t.Helper()
	var stats fake.EngineStats
	if !getJSON("http://"+address+fake.PathStats, &stats) {
		t.Fatalf("the engine at %s does not answer", address)
	}
	return stats
}

func engineFault(t *testing.T, address string, fault fake.EngineFault) {
	t.Helper()
	if err := postJSON("http://"+address+fake.PathFault, fault, nil); err != nil {
		t.Fatal(err)
	}
}

// own says whether an answer consists of the tokens of its own request, in order.
func own(body, prompt string, tokens int) bool {
	encoded, err := json.Marshal(prompt)
	if err != nil {
		return false
	}
	for index := range tokens {
		text, err := json.Marshal(fake.Token(encoded, nil, index))
		if err != nil || !strings.Contains(body, string(text)) {
			return false
		}
	}
	return strings.Count(body, "data: {") == tokens && strings.HasSuffix(body, "data: [DONE]\n\n")
}

func prompted(model, prompt string, tokens int) string {
	return fmt.Sprintf(`{"model":%q,"prompt":%q,"stream":true,"max_tokens":%d}`, model, prompt, tokens)
}

// Engines restart cold, loads fail, owners are stopped and resumed, and more adapters are wanted than fit: every
// answer is the caller's own and whole or visibly cut, and no engine sees an unload that hits a running request.
func TestRightAdapterUnderFaults(t *testing.T) {
	for _, flag := range []string{"--checks-fencing", "--restart-time=400ms"} {
		t.Run(flag, func(t *testing.T) {
			t.Parallel()
			fleet := newFleet(t, fleetOptions{hosts: 3, engines: 2, engineFlags: []string{flag, "--step-time", "4ms"}})
			stop := make(chan struct{})
			var wrong, whole, cutOff, refused atomic.Int64
			var callers sync.WaitGroup
			for caller := range 12 {
				callers.Go(func() {
					for number := 0; ; number++ {
						select {
						case <-stop:
							return
						default:
						}
						prompt := fmt.Sprintf("caller %d request %d", caller, number)
						model := fmt.Sprintf("shop/a%d@v%d", (caller+number)%6, 1+number%2)
						tokens := 5 + number%20
						got := send(fleet.hosts[(caller+number)%3], "/v1/completions", fleet.key, prompted(model, prompt, tokens))
						switch {
						case got.err != nil || (got.status == http.StatusOK && !strings.HasSuffix(got.body, "data: [DONE]\n\n")):
							cutOff.Add(1)
						case got.status != http.StatusOK:
							refused.Add(1)
						case own(got.body, prompt, tokens) && !strings.Contains(got.body, "#") && strings.Contains(got.body, `"model":"`+model+`"`):
							whole.Add(1)
						default:
							wrong.Add(1)
						}
					}
				})
			}
			faults := []func(){
				func() { engineFault(t, fleet.engines[0], fake.EngineFault{Restart: true}) },
				func() { engineFault(t, fleet.engines[1], fake.EngineFault{FailLoads: 2}) },
				func() { fleet.hosts[0].signal(syscall.SIGSTOP) },
				func() { fleet.hosts[0].signal(syscall.SIGCONT) },
				func() { engineFault(t, fleet.engines[0], fake.EngineFault{TruncateAfter: 3}) },
				func() { engineFault(t, fleet.engines[0], fake.EngineFault{WrongModel: true}) },
				func() { engineFault(t, fleet.engines[0], fake.EngineFault{}) },
				func() { fleet.hosts[1].signal(syscall.SIGSTOP) },
				func() { fleet.hosts[1].signal(syscall.SIGCONT) },
				func() { fleet.hosts[2].signal(syscall.SIGSTOP) },
				func() { fleet.hosts[2].signal(syscall.SIGCONT) },
			}
			for _, fault := range faults {
				time.Sleep(1500 * time.Millisecond)
				if strings.Contains(flag, "fencing") {
					time.Sleep(2500 * time.Millisecond) // long enough for another owner to take over
				}
				fault()
			}
			time.Sleep(2 * time.Second)
			close(stop)
			callers.Wait()
			t.Logf("whole %d, cut off %d, refused %d, wrong %d", whole.Load(), cutOff.Load(), refused.Load(), wrong.Load())
			if wrong.Load() > 0 || whole.Load() == 0 {
				t.Fatalf("%d answers were wrong, %d were whole", wrong.Load(), whole.Load())
			}
			for _, address := range fleet.engines {
				stats := engineStats(t, address)
				if stats.UnloadsWhileServing > 0 || stats.KeysSeen > 0 {
					t.Fatalf("an engine reports a violation: %+v", stats)
				}
			}
		})
	}
}

// A caller that leaves has its work at the engine cancelled.
func TestCallerLeaves(t *testing.T) {
	t.Parallel()
	fleet := newFleet(t, fleetOptions{hosts: 1, engines: 1})
	client := &http.Client{Timeout: 1500 * time.Millisecond}
	request, err := http.NewRequest(http.MethodPost, "http://"+fleet.hosts[0].callers+"/v1/completions", strings.NewReader(completionBody("shop/a1", 5000)))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+fleet.key)
	response, err := client.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	await(t, startWait, "the engine runs it", func() bool { return engineStats(t, fleet.engines[0]).Running == 1 })
	_ = response.Body.Close()
	await(t, startWait, "the engine cancels it", func() bool { return engineStats(t, fleet.engines[0]).Cancelled == 1 })
}

// An engine takes a moment to notice that a caller has left; until then the adapter serves and must not be unloaded.
func TestNothingUnloadedWhileACancelIsNoticed(t *testing.T) {
	t.Parallel()
	fleet := newFleet(t, fleetOptions{hosts: 1, engines: 1, slots: 1})
	engineFault(t, fleet.engines[0], fake.EngineFault{SlowCancelMS: 120})
	for round := range 8 {
		ctx, cancel := context.WithCancel(t.Context())
		gone := make(chan struct{})
		go func() {
			defer close(gone)
			model := fmt.Sprintf("shop/a%d", 1+round%2)
			request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+fleet.hosts[0].callers+"/v1/completions",
				strings.NewReader(completionBody(model, 5000)))
			if err != nil {
				t.Error(err)
				return
			}
			request.Header.Set("Authorization", "Bearer "+fleet.key)
			if response, err := http.DefaultClient.Do(request); err == nil {
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
			}
		}()
		await(t, startWait, "the engine runs it", func() bool { return engineStats(t, fleet.engines[0]).Running == 1 })
		cancel()
		<-gone
		// The other adapter needs the only slot at once.
		send(fleet.hosts[0], "/v1/completions", fleet.key, completionBody(fmt.Sprintf("shop/a%d", 2-round%2), 2))
	}
	if stats := engineStats(t, fleet.engines[0]); stats.UnloadsWhileServing > 0 {
		t.Fatalf("the engine reports a violation: %+v", stats)
	}
}

var revisionLine = regexp.MustCompile(`"revision":(\d+).*configuration in force`)

// Operators apply through all hosts, the table loses answers and goes away, and a host is stopped and resumed: every
// accepted change is in force everywhere within seconds, and no host ever goes back to an older revision.
func TestConfigurationNeverReverts(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	fleet := newFleet(t, fleetOptions{hosts: 3, engines: 1})
	type object map[string]any
	apply := func(host *host, token string, weight int) string {
		var result struct {
			Outcome string `json:"outcome"`
		}
		_ = postJSON("http://"+host.operators+"/v1/apply", object{
			"token": token, "resources": []object{{"kind": "workspace", "name": "shop", "workspace": object{"weight": weight}}},
		}, &result)
		return result.Outcome
	}
	weight := func(host *host) (weight, generation int) {
		var listing struct {
			Resources []struct {
				Generation int `json:"generation"`
				Workspace  struct {
					Weight int `json:"weight"`
				} `json:"workspace"`
			} `json:"resources"`
		}
		if !getJSON("http://"+host.operators+"/v1/resources/workspace?name=shop", &listing) || len(listing.Resources) != 1 {
			return 0, 0
		}
		return listing.Resources[0].Workspace.Weight, listing.Resources[0].Generation
	}
	everywhere := func(expected int) {
		t.Helper()
		await(t, 4*time.Second, fmt.Sprintf("weight %d everywhere", expected), func() bool {
			for _, host := range fleet.hosts {
				if found, _ := weight(host); found != expected {
					return false
				}
			}
			return true
		})
	}
	fault := func(fault fake.TableFault) { is.NoErr(postJSON("http://"+fleet.table+fake.PathFault, fault, nil)) }

	fault(fake.TableFault{LoseCommitResponses: 1, CommitPrefix: "conf/"})
	is.Equal(apply(fleet.hosts[0], "lost", 5), "committed") // the lost answer is settled by the token
	everywhere(5)
	_, generation := weight(fleet.hosts[0])
	is.Equal(generation, 2) // and the change took effect once
	is.Equal(apply(fleet.hosts[1], "lost", 5), "committed")
	_, generation = weight(fleet.hosts[1])
	is.Equal(generation, 2) // a repeated request has no further effect

	fault(fake.TableFault{LateCommits: 1, LateByMS: 400, CommitPrefix: "conf/"})
	is.Equal(apply(fleet.hosts[2], "late", 6), "committed")
	everywhere(6)
	_, generation = weight(fleet.hosts[0])
	is.Equal(generation, 3)

	fault(fake.TableFault{Unreachable: true})
	is.True(apply(fleet.hosts[0], "away", 7) != "committed")
	fault(fake.TableFault{})
	everywhere(6)

	fleet.hosts[2].signal(syscall.SIGSTOP)
	for number := range 5 {
		is.Equal(apply(fleet.hosts[number%2], fmt.Sprint("stopped", number), 10+number), "committed")
	}
	fleet.hosts[2].signal(syscall.SIGCONT)
	everywhere(14)
	for _, host := range fleet.hosts {
		last := 0
		for _, line := range host.lines() {
			if match := revisionLine.FindStringSubmatch(line); match != nil {
				revision, err := strconv.Atoi(match[1])
				is.NoErr(err)
				is.True(revision > last) // revisions only grow
				last = revision
			}
		}
		is.True(last > 0)
	}
}

// A drained or refusing backend server gets no new work after a few seconds on any host.
func TestDrain(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	fleet := newFleet(t, fleetOptions{hosts: 3, engines: 2})
	for _, host := range fleet.hosts {
		for number := range 6 {
			is.True(send(host, "/v1/completions", fleet.key, completionBody(fmt.Sprintf("shop/a%d", number), 1)).whole())
		}
	}
	output, code := ctl(t, fleet.hosts[1].operators, "drain", "engine-1")
	if code != 0 {
		t.Fatalf("drain ended with %d: %s", code, output)
	}
	time.Sleep(4 * time.Second)
	before := engineStats(t, fleet.engines[0]).Completions
	for _, host := range fleet.hosts {
		for number := range 4 {
			is.True(send(host, "/v1/completions", fleet.key, completionBody(fmt.Sprintf("shop/a%d", number), 1)).whole())
		}
	}
	is.Equal(engineStats(t, fleet.engines[0]).Completions, before)

	_, code = ctl(t, fleet.hosts[1].operators, "drain", "--undo", "engine-1")
	is.Equal(code, 0)
	is.NoErr(postJSON("http://"+fleet.table+fake.PathFault, fake.TableFault{Leaving: []string{"engine-2"}}, nil))
	time.Sleep(4 * time.Second)
	before = engineStats(t, fleet.engines[1]).Completions
	for _, host := range fleet.hosts {
		for number := range 4 {
			is.True(send(host, "/v1/completions", fleet.key, completionBody(fmt.Sprintf("shop/a%d", number), 1)).whole())
		}
	}
	is.Equal(engineStats(t, fleet.engines[1]).Completions, before) // the platform's list drains as well
}

// A caller that reads slowly gets the whole answer, and holds nobody else up.
func TestSlowReader(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	fleet := newFleet(t, fleetOptions{hosts: 1, engines: 1, engineFlags: []string{"--step-time", "1ms", "--step-growth", "0"}})
	request, err := http.NewRequest(http.MethodPost, "http://"+fleet.hosts[0].callers+"/v1/completions", strings.NewReader(completionBody("shop/a1", 4000)))
	is.NoErr(err)
	request.Header.Set("Authorization", "Bearer "+fleet.key)
	response, err := http.DefaultClient.Do(request)
	is.NoErr(err)
	defer func() { _ = response.Body.Close() }()
	body := strings.Builder{}
	part := make([]byte, 16<<10)
	for {
		count, err := response.Body.Read(part)
		body.Write(part[:count])
		if err != nil {
			break
		}
		time.Sleep(100 * time.Millisecond)
		is.True(send(fleet.hosts[0], "/v1/completions", fleet.key, completionBody("shop/a2", 1)).whole())
	}
	is.True(own(body.String(), "hello", 4000))
}

// All daemons are restarted one after the other under load: no request is cut, and none is refused.
func TestRollingRestart(t *testing.T) {
	t.Parallel()
	fleet := newFleet(t, fleetOptions{hosts: 3, engines: 2})
	// The balancer sends only to hosts that were ready at its last look.
	var ready [3]atomic.Bool
	stop := make(chan struct{})
	var group sync.WaitGroup
	var mutex sync.Mutex
	targets := append([]*host(nil), fleet.hosts...)
	target := func(number int) host {
		mutex.Lock()
		defer mutex.Unlock()
		return *targets[number]
	}
	group.Go(func() {
		for {
			for number := range targets {
				host := target(number)
				ready[number].Store(host.ready())
			}
			select {
			case <-stop:
				return
			case <-time.After(100 * time.Millisecond):
			}
		}
	})
	var whole atomic.Int64
	var bad sync.Map
	for caller := range 6 {
		group.Go(func() {
			for number := caller; ; number++ {
				select {
				case <-stop:
					return
				default:
				}
				if !ready[number%3].Load() {
					time.Sleep(time.Millisecond)
					continue
				}
				host := target(number % 3)
				got := send(&host, "/v1/completions", fleet.key, completionBody(fmt.Sprintf("shop/a%d", caller%4), 30))
				if got.whole() {
					whole.Add(1)
				} else {
					bad.Store(fmt.Sprintf("%s at %s: %d %v %s", got.took, time.Now().Format("05.000"), got.status, got.err, got.body), host.name)
				}
			}
		})
	}
	time.Sleep(time.Second)
	for number := range targets {
		old := target(number)
		old.signal(syscall.SIGTERM)
		<-old.ended
		if old.code != 0 {
			t.Errorf("host %d ended with %d", number+1, old.code)
		}
		fresh := &host{ip: old.ip, name: old.name, settings: old.settings, table: old.table, peers: old.peers}
		fresh.restart(t)
		mutex.Lock()
		targets[number] = fresh
		mutex.Unlock()
		time.Sleep(500 * time.Millisecond)
	}
	close(stop)
	group.Wait()
	t.Logf("%d answers were whole", whole.Load())
	bad.Range(func(what, host any) bool {
		t.Errorf("%v: %v", host, what)
		return true
	})
}

// A request that crashes every engine that runs it, sent again and again to all hosts, takes down no more than three
// of nine, and the neighbours that died with it are served in the end.
func TestCrashingRequest(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	fleet := newFleet(t, fleetOptions{hosts: 3, engines: 9, engineFlags: []string{"--step-time", "20ms"}})
	for number := range 6 {
		is.True(send(fleet.hosts[0], "/v1/completions", fleet.key, completionBody(fmt.Sprintf("shop/a%d", number), 1)).whole())
	}
	var neighbours sync.WaitGroup
	var served atomic.Int64
	for number := range 12 {
		neighbours.Go(func() {
			body := prompted(fmt.Sprintf("shop/a%d", number%6), fmt.Sprintf("neighbour %d", number), 100)
			var last answer
			for range 20 {
				if last = send(fleet.hosts[number%3], "/v1/completions", fleet.key, body); last.whole() {
					served.Add(1)
					return
				}
				time.Sleep(300 * time.Millisecond)
			}
			t.Logf("neighbour %d was last told %+v", number, last.refusal)
		})
	}
	time.Sleep(300 * time.Millisecond)
	poison := prompted("shop/a1", fake.PoisonWord, 5)
	var last answer
	for number := range 20 {
		last = send(fleet.hosts[number%3], "/v1/completions", fleet.key, poison)
	}
	is.Equal(last.refusal, refusal{Code: "crash_suspect", Executed: "no"})
	neighbours.Wait()
	crashes := int64(0)
	for _, address := range fleet.engines {
		crashes += engineStats(t, address).Crashes
	}
	t.Logf("%d crashes, %d of 12 neighbours served", crashes, served.Load())
	is.True(crashes <= 3)
	is.Equal(served.Load(), int64(12))
}
