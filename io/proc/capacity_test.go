package proc

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"lentilproxy/core/conf"
	"lentilproxy/io/admin"
	"lentilproxy/io/fake"
	"lentilproxy/io/node"
)

// These benchmarks measure how the resource use in docs/CAPACITY.md grows with each quantity. They run real daemons for
// a fixed time, so each is run once:
//
//	go test ./io/proc -run none -bench . -benchtime 1x -timeout 60m

const (
	// clockTicksPerSecond converts the CPU times in /proc/PID/stat, which are in clock ticks.
	clockTicksPerSecond = 100
	measureDuration     = 15 * time.Second
)

// usage is the CPU time and the resident memory, in MiB, of a process.
type usage struct {
	cpu time.Duration
	rss float64
}

func processUsage(b *testing.B, process *process) usage {
	b.Helper()
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", process.cmd.Process.Pid))
	if err != nil {
		b.Fatal(err)
	}
	fields := strings.Fields(string(stat)[strings.LastIndex(string(stat), ")")+2:])
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	pages, _ := strconv.Atoi(fields[21])
	return usage{
		cpu: time.Duration(user+system) * time.Second / clockTicksPerSecond,
		rss: float64(pages*os.Getpagesize()) / (1 << 20),
	}
}

// totals is a reading of the counters of all daemons and of the table service.
type totals struct {
	cpu          time.Duration
	rss          float64
	peerSent     int64
	peerReceived int64
	table        fake.TableStats
	at           time.Time
}

func (fleet *fleet) totals(b *testing.B) totals {
	b.Helper()
	total := totals{at: time.Now()}
	for _, host := range fleet.hosts {
		used := processUsage(b, host.process)
		total.cpu += used.cpu
		total.rss += used.rss
		var status node.Status
		if !getJSON("http://"+host.operatorAddress+"/v1/status", &status) {
			b.Fatal("a daemon does not respond")
		}
		total.peerSent += status.PeerSent
		total.peerReceived += status.PeerReceived
	}
	if !getJSON("http://"+fleet.table+fake.PathStats, &total.table) {
		b.Fatal("the table service does not respond")
	}
	return total
}

// report adds benchmark metrics: the resident memory per daemon, and the use per daemon and second between two
// readings.
func (fleet *fleet) report(b *testing.B, before, after totals) {
	b.Helper()
	seconds := after.at.Sub(before.at).Seconds()
	hosts := float64(len(fleet.hosts))
	b.ReportMetric(float64((after.cpu-before.cpu).Milliseconds())/seconds/hosts, "cpu_ms/s")
	b.ReportMetric(after.rss/hosts, "rss_MB")
	b.ReportMetric(float64(after.peerSent-before.peerSent)/seconds/hosts, "peer_sent_B/s")
	b.ReportMetric(float64(after.table.Reads-before.table.Reads)/seconds/hosts, "table_reads/s")
	b.ReportMetric(float64(after.table.Commits-before.table.Commits)/seconds/hosts, "table_commits/s")
	b.ReportMetric(0, "ns/op")
}

func (fleet *fleet) measure(b *testing.B, workload func(stop <-chan struct{})) {
	b.Helper()
	stop, ended := make(chan struct{}), make(chan struct{})
	before := fleet.totals(b)
	go func() {
		defer close(ended)
		workload(stop)
	}()
	time.Sleep(measureDuration)
	after := fleet.totals(b)
	close(stop)
	<-ended
	fleet.report(b, before, after)
}

// measureLoad measures while each caller sends requests in sequence, and returns how many succeeded.
func (fleet *fleet) measureLoad(b *testing.B, callers int, pause time.Duration, request func(caller, number int) bool) int {
	b.Helper()
	var succeeded atomic.Int64
	fleet.measure(b, func(stop <-chan struct{}) {
		runConcurrently(callers, func(caller int) {
			for number := 0; ; number++ {
				select {
				case <-stop:
					return
				case <-time.After(pause):
				}
				if request(caller, number) {
					succeeded.Add(1)
				}
			}
		})
	})
	return int(succeeded.Load())
}

func idle(<-chan struct{}) {}

func hostCounts() []int { return []int{5, 15, 45} }

// BenchmarkIdle measures the control traffic for different numbers of daemons.
func BenchmarkIdle(b *testing.B) {
	for _, hosts := range hostCounts() {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			fleet := newFleet(b, fleetOptions{hosts: hosts, engines: 3})
			time.Sleep(5 * time.Second)
			fleet.measure(b, idle)
		})
	}
}

// BenchmarkTableUnavailable measures the control traffic while the table service is unavailable. Meanwhile hosts rely
// on a majority of hosts for the proof that their configuration is fresh.
func BenchmarkTableUnavailable(b *testing.B) {
	for _, hosts := range hostCounts() {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			fleet := newFleet(b, fleetOptions{hosts: hosts, engines: 3})
			if err := postJSON("http://"+fleet.table+fake.PathFault, fake.TableFault{Unreachable: true}, nil); err != nil {
				b.Fatal(err)
			}
			time.Sleep(5 * time.Second)
			fleet.measure(b, idle)
			fresh := 0
			for _, host := range fleet.hosts {
				if host.ready() {
					fresh++
				}
			}
			b.ReportMetric(float64(fresh), "hosts_ready")
		})
	}
}

// BenchmarkChange measures one configuration change per second, sent to the hosts in turn.
func BenchmarkChange(b *testing.B) {
	for _, hosts := range hostCounts() {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			fleet := newFleet(b, fleetOptions{hosts: hosts, engines: 1})
			time.Sleep(5 * time.Second)
			var slowest time.Duration
			changes := 0
			fleet.measure(b, func(stop <-chan struct{}) {
				for number := 0; ; number++ {
					select {
					case <-stop:
						return
					case <-time.After(time.Second):
					}
					began := time.Now()
					result := fleet.applyChange(b, number)
					if !result.InForce.Status {
						b.Errorf("change %d is not in force on %v", number, result.InForce.Missing)
					}
					slowest = max(slowest, time.Since(began))
					changes++
				}
			})
			b.ReportMetric(float64(slowest.Milliseconds()), "slowest_in_force_ms")
			b.ReportMetric(float64(changes), "changes")
		})
	}
}

func (fleet *fleet) applyChange(b *testing.B, number int) admin.ApplyResult {
	b.Helper()
	var result admin.ApplyResult
	request := admin.ApplyRequest{Resources: []conf.Resource{{
		Kind: conf.KindWorkspace, Name: "shop", Workspace: &conf.Workspace{Weight: int64(1 + number)},
	}}}
	if err := postJSON("http://"+fleet.hosts[number%len(fleet.hosts)].operatorAddress+"/v1/apply", request, &result); err != nil {
		b.Error(err)
	}
	return result
}

// BenchmarkAdapters measures memory, the start of a daemon and a configuration change for different numbers of
// adapters.
func BenchmarkAdapters(b *testing.B) {
	for _, adapters := range []int{3000, 15000, 49000} {
		b.Run(fmt.Sprintf("adapters=%d", adapters), func(b *testing.B) {
			fleet := newFleet(b, fleetOptions{hosts: 3, engines: 1})
			began := time.Now()
			fleet.declareAdapters(b, adapters)
			b.ReportMetric(time.Since(began).Seconds(), "declare_s")
			fleet.hosts[2].signal(syscall.SIGTERM)
			<-fleet.hosts[2].exited
			began = time.Now()
			fleet.hosts[2].start(b)
			b.ReportMetric(time.Since(began).Seconds(), "restart_s")
			time.Sleep(5 * time.Second)
			fleet.measure(b, idle)
			used := processUsage(b, fleet.hosts[1].process).cpu
			for number := range 10 {
				fleet.applyChange(b, 3*number)
			}
			b.ReportMetric(float64((processUsage(b, fleet.hosts[1].process).cpu-used).Milliseconds())/10, "cpu_ms/change")
		})
	}
}

func (fleet *fleet) declareAdapters(b *testing.B, count int) {
	b.Helper()
	const batch = 400
	for first := 0; first < count; first += batch {
		var request admin.ApplyRequest
		for number := first; number < min(first+batch, count); number++ {
			name := fmt.Sprintf("shop/adapter-%05d", number)
			request.Resources = append(request.Resources,
				conf.Resource{Kind: conf.KindAdapter, Name: name, Adapter: &conf.Adapter{BaseModel: "base-1", DefaultVersion: "v1"}},
				conf.Resource{Kind: conf.KindVersion, Name: name + "@v1", Version: &conf.Version{Source: "weights/" + name}})
		}
		var result admin.ApplyResult
		if err := postJSON("http://"+fleet.hosts[0].operatorAddress+"/v1/apply", request, &result); err != nil {
			b.Fatal(err)
		}
		if !result.Accepted.Status {
			b.Fatalf("adapters from %d on were not accepted: %+v", first, result)
		}
	}
}

// BenchmarkTraffic measures completions of 200 tokens on one daemon for different numbers of callers.
func BenchmarkTraffic(b *testing.B) {
	for _, callers := range []int{4, 16, 48} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			fleet := newFleet(b, fleetOptions{
				hosts: 2, engines: 3, engineFlags: []string{"--step-time", "10ms", "--step-growth", "0"}, limit: "rate_tokens_per_second = 1e7\nburst_tokens = 1e8\n",
			})
			time.Sleep(5 * time.Second)
			requests := fleet.measureLoad(b, callers, 0, func(caller, _ int) bool {
				return send(fleet.hosts[0], "/v1/completions", fleet.key, completionBody(fmt.Sprintf("shop/a%d", caller%6), 200)).complete()
			})
			b.ReportMetric(float64(requests)/measureDuration.Seconds(), "requests/s")
			b.ReportMetric(float64(requests)*200/measureDuration.Seconds(), "tokens/s")
		})
	}
}

// BenchmarkOrders measures the commits of orders for different numbers of concurrent callers.
func BenchmarkOrders(b *testing.B) {
	for _, callers := range []int{1, 16, 64} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			fleet := newFleet(b, fleetOptions{hosts: 1, engines: 1})
			orders := fleet.measureLoad(b, callers, 0, func(caller, number int) bool {
				key := fmt.Sprintf("%d/%d", caller, number)
				return send(fleet.hosts[0], "/services/orders/new", fleet.key, "{}", "Idempotency-Key", key).status == http.StatusCreated
			})
			b.ReportMetric(float64(orders)/measureDuration.Seconds(), "orders/s")
		})
	}
}

// BenchmarkPermits measures the cost of the permits to use loaded adapters, for different numbers of adapters that one
// host uses.
func BenchmarkPermits(b *testing.B) {
	for _, adapters := range []int{8, 32, 128} {
		b.Run(fmt.Sprintf("adapters=%d", adapters), func(b *testing.B) {
			fleet := newFleet(b, fleetOptions{hosts: 3, engines: 2, slotsPerEngine: 80, engineFlags: []string{"--step-time", "1ms"}})
			fleet.declareAdapters(b, adapters)
			use := func(number int) bool {
				return send(fleet.hosts[2], "/v1/completions", fleet.key, completionBody(fmt.Sprintf("shop/adapter-%05d", number), 1)).complete()
			}
			for number := range adapters {
				for !use(number) {
					time.Sleep(100 * time.Millisecond)
				}
			}
			completed := fleet.measureLoad(b, 8, 50*time.Millisecond, func(caller, number int) bool { return use((caller + 8*number) % adapters) })
			b.ReportMetric(float64(completed)/measureDuration.Seconds(), "requests/s")
		})
	}
}

// BenchmarkLoans measures the cost of loans, by which hosts lend each other parts of their shares of a rate limit. The
// number of workspaces varies, and each workspace sends all its requests to one host.
func BenchmarkLoans(b *testing.B) {
	for _, workspaces := range []int{1, 4, 16} {
		b.Run(fmt.Sprintf("workspaces=%d", workspaces), func(b *testing.B) {
			fleet := newFleet(b, fleetOptions{hosts: 9, engines: 1, slotsPerEngine: 32, engineFlags: []string{"--step-time", "1ms"}})
			var resources []conf.Resource
			for number := range workspaces {
				name := fmt.Sprintf("w%d", number)
				resources = append(resources,
					conf.Resource{Kind: conf.KindWorkspace, Name: name, Workspace: &conf.Workspace{Weight: 1}},
					conf.Resource{Kind: conf.KindLimit, Name: name, Limit: &conf.Limit{RateTokensPerSecond: 100, BurstTokens: 200}},
					conf.Resource{Kind: conf.KindAdapter, Name: name + "/a", Adapter: &conf.Adapter{BaseModel: "base-1", DefaultVersion: "v1"}},
					conf.Resource{Kind: conf.KindVersion, Name: name + "/a@v1", Version: &conf.Version{Source: "a"}})
			}
			if err := postJSON("http://"+fleet.hosts[0].operatorAddress+"/v1/apply", admin.ApplyRequest{Resources: resources}, nil); err != nil {
				b.Fatal(err)
			}
			keys := make([]string, workspaces)
			for number := range keys {
				keys[number], _ = fleet.grantKey(fmt.Sprintf("w%d", number))
			}
			var sent atomic.Int64
			completed := fleet.measureLoad(b, workspaces, 100*time.Millisecond, func(caller, _ int) bool {
				sent.Add(1)
				return send(fleet.hosts[caller%9], "/v1/completions", keys[caller], completionBody(fmt.Sprintf("w%d/a", caller), 4)).complete()
			})
			b.ReportMetric(100*float64(completed)/float64(sent.Load()), "whole_%")
		})
	}
}
