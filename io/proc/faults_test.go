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

func engineStats(t testing.TB, address string) fake.EngineStats {
	t.Helper()
	var stats fake.EngineStats
	if !getJSON("http://"+address+fake.PathStats, &stats) {
		t.Fatalf("the engine at %s does not respond", address)
	}
	return stats
}

func engineFault(t *testing.T, address string, fault fake.EngineFault) {
	t.Helper()
	if err := postJSON("http://"+address+fake.PathFault, fault, nil); err != nil {
		t.Fatal(err)
	}
}

// isOwnResponse reports whether a streamed body contains every token for its request's prompt, no other events, and the
// end marker.
func isOwnResponse(body, prompt string, tokens int) bool {
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

func promptBody(model, prompt string, tokens int) string {
	return fmt.Sprintf(`{"model":%q,"prompt":%q,"stream":true,"max_tokens":%d}`, model, prompt, tokens)
}

// Engines restart without adapters, loads fail, every host and thus the owner of the engine pool is suspended and
// resumed, and the requests need more adapters than the engines have slots. Every response must belong to its request
// and be complete or recognisably truncated, and no engine may receive an unload of an adapter with running requests.
func TestRightAdapterUnderFaults(t *testing.T) {
	for _, flag := range []string{"--checks-fencing", "--restart-time=400ms"} {
		t.Run(flag, func(t *testing.T) {
			t.Parallel()
			fleet := newFleet(t, fleetOptions{hosts: 3, engines: 2, engineFlags: []string{flag, "--step-time", "4ms"}})
			stop := make(chan struct{})
			var wrong, complete, truncated, refused atomic.Int64
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
						got := send(fleet.hosts[(caller+number)%3], "/v1/completions", fleet.key, promptBody(model, prompt, tokens))
						switch {
						case got.err != nil || (got.status == http.StatusOK && !strings.HasSuffix(got.body, "data: [DONE]\n\n")):
							truncated.Add(1)
						case got.status != http.StatusOK:
							refused.Add(1)
						case isOwnResponse(got.body, prompt, tokens) && !strings.Contains(got.body, "#") && strings.Contains(got.body, `"model":"`+model+`"`):
							complete.Add(1)
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
					time.Sleep(2500 * time.Millisecond) // long enough for another host to become the owner
				}
				fault()
			}
			time.Sleep(2 * time.Second)
			close(stop)
			callers.Wait()
			t.Logf("complete %d, truncated %d, refused %d, wrong %d", complete.Load(), truncated.Load(), refused.Load(), wrong.Load())
			if wrong.Load() > 0 || complete.Load() == 0 {
				t.Fatalf("%d responses were wrong, %d were complete", wrong.Load(), complete.Load())
			}
			for _, address := range fleet.engines {
				stats := engineStats(t, address)
				if stats.UnloadsWhileServing > 0 || stats.KeysSeen > 0 {
					fleet.logOutput()
					t.Fatalf("an engine reports a violation: %+v", stats)
				}
			}
		})
	}
}

// When a caller disconnects, the engine cancels its request.
func TestCallerDisconnects(t *testing.T) {
	t.Parallel()
	fleet := newFleet(t, fleetOptions{hosts: 1, engines: 1})
	client := &http.Client{Timeout: 1500 * time.Millisecond}
	request, err := http.NewRequest(http.MethodPost, "http://"+fleet.hosts[0].callerAddress+"/v1/completions", strings.NewReader(completionBody("shop/a1", 5000)))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+fleet.key)
	response, err := client.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	await(t, startTimeout, "the engine runs the request", func() bool { return engineStats(t, fleet.engines[0]).Running == 1 })
	_ = response.Body.Close()
	await(t, startTimeout, "the engine cancels the request", func() bool { return engineStats(t, fleet.engines[0]).Cancelled == 1 })
}

// An engine detects the disconnection of a caller with a delay. Until then the request still runs, and its adapter must
// not be unloaded.
func TestNoUnloadWhileCancelPending(t *testing.T) {
	t.Parallel()
	fleet := newFleet(t, fleetOptions{hosts: 1, engines: 1, slotsPerEngine: 1})
	engineFault(t, fleet.engines[0], fake.EngineFault{SlowCancelMS: 120})
	for round := range 8 {
		ctx, cancel := context.WithCancel(t.Context())
		disconnected := make(chan struct{})
		go func() {
			defer close(disconnected)
			model := fmt.Sprintf("shop/a%d", 1+round%2)
			request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+fleet.hosts[0].callerAddress+"/v1/completions",
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
		await(t, startTimeout, "the engine runs the request", func() bool { return engineStats(t, fleet.engines[0]).Running == 1 })
		cancel()
		<-disconnected
		// The other adapter needs the only slot immediately.
		send(fleet.hosts[0], "/v1/completions", fleet.key, completionBody(fmt.Sprintf("shop/a%d", 2-round%2), 2))
	}
	if stats := engineStats(t, fleet.engines[0]); stats.UnloadsWhileServing > 0 {
		t.Fatalf("the engine reports a violation: %+v", stats)
	}
}

var revisionLine = regexp.MustCompile(`"revision":(\d+).*configuration in force`)

// Operators apply changes through all hosts while the table service loses responses and becomes unavailable and a host
// is suspended and resumed. Every committed change must be in force on all hosts within 4 s, and no host may return to
// an older revision.
func TestConfigurationNeverReverts(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	fleet := newFleet(t, fleetOptions{hosts: 3, engines: 1})
	type object map[string]any
	apply := func(host *host, token string, weight int) string {
		var result struct {
			Outcome string `json:"outcome"`
		}
		_ = postJSON("http://"+host.operatorAddress+"/v1/apply", object{
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
		if !getJSON("http://"+host.operatorAddress+"/v1/resources/workspace?name=shop", &listing) || len(listing.Resources) != 1 {
			return 0, 0
		}
		return listing.Resources[0].Workspace.Weight, listing.Resources[0].Generation
	}
	awaitWeight := func(expected int) {
		t.Helper()
		await(t, 4*time.Second, fmt.Sprintf("all hosts report weight %d", expected), func() bool {
			for _, host := range fleet.hosts {
				if found, _ := weight(host); found != expected {
					return false
				}
			}
			return true
		})
	}
	fault := func(fault fake.TableFault) {
		is.NoErr(postJSON("http://"+fleet.table+fake.PathFault, fault, nil))
	}

	fault(fake.TableFault{LoseCommitResponses: 1, CommitPrefix: "conf/"})
	is.Equal(apply(fleet.hosts[0], "lost", 5), "committed") // a retry finds the commit by its token after the response was lost
	awaitWeight(5)
	_, generation := weight(fleet.hosts[0])
	is.Equal(generation, 2) // the change took effect once
	is.Equal(apply(fleet.hosts[1], "lost", 5), "committed")
	_, generation = weight(fleet.hosts[1])
	is.Equal(generation, 2) // a repeated request has no further effect

	fault(fake.TableFault{LateCommits: 1, LateByMS: 400, CommitPrefix: "conf/"})
	is.Equal(apply(fleet.hosts[2], "late", 6), "committed")
	awaitWeight(6)
	_, generation = weight(fleet.hosts[0])
	is.Equal(generation, 3)

	fault(fake.TableFault{Unreachable: true})
	is.True(apply(fleet.hosts[0], "away", 7) != "committed")
	fault(fake.TableFault{})
	awaitWeight(6)

	fleet.hosts[2].signal(syscall.SIGSTOP)
	for number := range 5 {
		is.Equal(apply(fleet.hosts[number%2], fmt.Sprint("stopped", number), 10+number), "committed")
	}
	fleet.hosts[2].signal(syscall.SIGCONT)
	awaitWeight(14)
	for _, host := range fleet.hosts {
		last := 0
		for _, line := range host.outputLines() {
			if match := revisionLine.FindStringSubmatch(line); match != nil {
				revision, err := strconv.Atoi(match[1])
				is.NoErr(err)
				is.True(revision > last) // revisions only increase
				last = revision
			}
		}
		is.True(last > 0)
	}
}

// After 4 s, no host sends new requests to a backend server that an operator drains or that the platform's host list
// reports as leaving.
func TestDrain(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	fleet := newFleet(t, fleetOptions{hosts: 3, engines: 2})
	for _, host := range fleet.hosts {
		for number := range 6 {
			is.True(send(host, "/v1/completions", fleet.key, completionBody(fmt.Sprintf("shop/a%d", number), 1)).complete())
		}
	}
	output, code := runCtl(t, fleet.hosts[1].operatorAddress, "drain", "engine-1")
	if code != 0 {
		t.Fatalf("drain ended with %d: %s", code, output)
	}
	time.Sleep(4 * time.Second)
	before := engineStats(t, fleet.engines[0]).Completions
	for _, host := range fleet.hosts {
		for number := range 4 {
			is.True(send(host, "/v1/completions", fleet.key, completionBody(fmt.Sprintf("shop/a%d", number), 1)).complete())
		}
	}
	is.Equal(engineStats(t, fleet.engines[0]).Completions, before)

	_, code = runCtl(t, fleet.hosts[1].operatorAddress, "drain", "--undo", "engine-1")
	is.Equal(code, 0)
	is.NoErr(postJSON("http://"+fleet.table+fake.PathFault, fake.TableFault{Leaving: []string{"engine-2"}}, nil))
	time.Sleep(4 * time.Second)
	before = engineStats(t, fleet.engines[1]).Completions
	for _, host := range fleet.hosts {
		for number := range 4 {
			is.True(send(host, "/v1/completions", fleet.key, completionBody(fmt.Sprintf("shop/a%d", number), 1)).complete())
		}
	}
	is.Equal(engineStats(t, fleet.engines[1]).Completions, before) // the platform's host list drains the server as well
}

// Guards against requests to the servers of a drained data centre, of engines and of plain services, and against a drain that cannot
// be taken back.
func TestDrainDataCentre(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	fleet := newFleet(t, fleetOptions{hosts: 2, engines: 2})
	operators := fleet.hosts[1].operatorAddress
	fleet.apply(strings.Replace(fleet.resources(defaultLimit), "data_centre = dc-1", "data_centre = dc-2", 1))
	complete := func(host *host) {
		for number := range 4 {
			is.True(send(host, "/v1/completions", fleet.key, completionBody(fmt.Sprintf("shop/a%d", number), 1)).complete())
		}
	}
	_, unknown := runCtl(t, operators, "drain", "--data-centre", "nowhere")
	is.True(unknown != 0)
	output, code := runCtl(t, operators, "drain", "--data-centre", "dc-2")
	if code != 0 {
		t.Fatalf("drain ended with %d: %s", code, output)
	}
	time.Sleep(4 * time.Second)
	before := engineStats(t, fleet.engines[0]).Completions
	for _, host := range fleet.hosts {
		complete(host)
	}
	is.Equal(engineStats(t, fleet.engines[0]).Completions, before)
	_, code = runCtl(t, operators, "drain", "--data-centre", "--undo", "dc-2")
	is.Equal(code, 0)
	_, code = runCtl(t, operators, "drain", "--data-centre", "dc-1")
	is.Equal(code, 0)
	time.Sleep(4 * time.Second)
	before = engineStats(t, fleet.engines[1]).Completions
	for _, host := range fleet.hosts {
		complete(host)
		is.Equal(send(host, "/services/stock/1", fleet.key, "").status, http.StatusServiceUnavailable)
	}
	is.Equal(engineStats(t, fleet.engines[1]).Completions, before)
}

// A caller that reads slowly gets the complete response, and does not delay other callers.
func TestSlowReader(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	fleet := newFleet(t, fleetOptions{hosts: 1, engines: 1, engineFlags: []string{"--step-time", "1ms", "--step-growth", "0"}})
	request, err := http.NewRequest(http.MethodPost, "http://"+fleet.hosts[0].callerAddress+"/v1/completions", strings.NewReader(completionBody("shop/a1", 4000)))
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
		is.True(send(fleet.hosts[0], "/v1/completions", fleet.key, completionBody("shop/a2", 1)).complete())
	}
	is.True(isOwnResponse(body.String(), "hello", 4000))
}

// All daemons are restarted in sequence under load. No request may be truncated or refused.
func TestRollingRestart(t *testing.T) {
	t.Parallel()
	fleet := newFleet(t, fleetOptions{hosts: 3, engines: 2})
	// The callers simulate a load balancer: they send only to hosts that were ready at the latest check.
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
	var complete atomic.Int64
	var failures sync.Map
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
				if got.complete() {
					complete.Add(1)
				} else {
					failures.Store(fmt.Sprintf("%s at %s: %d %v %s", got.took, time.Now().Format("05.000"), got.status, got.err, got.body), host.name)
				}
			}
		})
	}
	time.Sleep(time.Second)
	for number := range targets {
		old := target(number)
		old.signal(syscall.SIGTERM)
		<-old.exited
		if old.exitCode != 0 {
			t.Errorf("host %d ended with %d", number+1, old.exitCode)
		}
		restarted := &host{ip: old.ip, name: old.name, settingsPath: old.settingsPath, tableProxy: old.tableProxy, peerProxy: old.peerProxy}
		restarted.start(t)
		mutex.Lock()
		targets[number] = restarted
		mutex.Unlock()
		time.Sleep(500 * time.Millisecond)
	}
	close(stop)
	group.Wait()
	t.Logf("%d responses were complete", complete.Load())
	failures.Range(func(what, host any) bool {
		t.Errorf("%v: %v", host, what)
		return true
	})
}

// A request that crashes every engine that runs it is sent 20 times, to all hosts in turn. It may crash at most three
// of nine engines, and the other requests that ran on those engines must be served in the end.
func TestCrashingRequest(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	fleet := newFleet(t, fleetOptions{hosts: 3, engines: 9, engineFlags: []string{"--step-time", "20ms"}})
	for number := range 6 {
		is.True(send(fleet.hosts[0], "/v1/completions", fleet.key, completionBody(fmt.Sprintf("shop/a%d", number), 1)).complete())
	}
	var neighbours sync.WaitGroup
	var served atomic.Int64
	for number := range 12 {
		neighbours.Go(func() {
			body := promptBody(fmt.Sprintf("shop/a%d", number%6), fmt.Sprintf("neighbour %d", number), 100)
			var last response
			for range 20 {
				if last = send(fleet.hosts[number%3], "/v1/completions", fleet.key, body); last.complete() {
					served.Add(1)
					return
				}
				time.Sleep(300 * time.Millisecond)
			}
			t.Logf("neighbour %d was last refused with %+v", number, last.refusal)
		})
	}
	time.Sleep(300 * time.Millisecond)
	poison := promptBody("shop/a1", fake.PoisonWord, 5)
	var last response
	for number := range 20 {
		last = send(fleet.hosts[number%3], "/v1/completions", fleet.key, poison)
	}
	is.Equal(last.refusal, refusal{Code: "crash_suspect", Executed: "no"})
	neighbours.Wait()
	// Hosts on which the request has not crashed a server refuse it as well, also later.
	for number := range 20 {
		last = send(fleet.hosts[1+number%2], "/v1/completions", fleet.key, poison)
		time.Sleep(200 * time.Millisecond)
	}
	is.Equal(last.refusal, refusal{Code: "crash_suspect", Executed: "no"})
	crashes := fleet.crashes()
	t.Logf("%d crashes, %d of 12 neighbours served", crashes, served.Load())
	is.True(crashes <= 3)
	is.Equal(served.Load(), int64(12))
}
