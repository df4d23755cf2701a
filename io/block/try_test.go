package block

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"lentilproxy/core/crash"

	"github.com/matryer/is"
)

// Guards against many repeats of a suspected request at once, on all hosts, as soon as its suspension ends.
func TestSuspectsAreTriedOneAtATime(t *testing.T) {
	const hosts = 5
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	site := &site{network: newNetwork()}
	for number := range hosts {
		site.hosts = append(site.hosts, site.network.join(ctx, fmt.Sprint("host-", number), false))
	}
	parts := crash.Parts([]string{"a"}, "digest")
	allowed := func() int {
		var count atomic.Int64
		var group sync.WaitGroup
		for range 3 {
			for _, host := range site.hosts {
				group.Go(func() {
					if _, may := host.Try(time.Now(), parts); may {
						count.Add(1)
					}
				})
			}
		}
		group.Wait()
		return int(count.Load())
	}
	is.Equal(allowed(), 3*hosts) // It is no suspect yet.
	site.hosts[0].Suspend(time.Now(), crash.Parts(nil, "digest"))
	is.Equal(allowed(), 0)
	time.Sleep(crash.SuspensionDuration)
	is.Equal(allowed(), 1)

	run := &Run{Server: "server", Incarnation: "server/0", Parts: parts}
	site.hosts[0].Ended(time.Now(), run, func(context.Context) error { return nil })
	deadline := time.Now().Add(crash.SuspensionDuration / 2)
	for allowed() < 3*hosts {
		is.True(time.Now().Before(deadline))
		time.Sleep(10 * time.Millisecond)
	}
	cancel()
	for _, host := range site.hosts {
		<-host.Done()
	}
}

// Guards against hosts that start and know of no crash until there is a verdict: while all hosts restart one after the other,
// a request could crash servers again and again.
func TestHostThatStartsLearnsOfCrashes(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	site := &site{network: newNetwork()}
	for number := range 3 {
		site.hosts = append(site.hosts, site.network.join(ctx, fmt.Sprint("host-", number), false))
	}
	parts := crash.Parts([]string{"a"}, "digest")
	crashServer := func(host *Exchanger, number int) {
		host.Broken(time.Now(), &Run{Server: fmt.Sprint("server-", number), Incarnation: fmt.Sprint("server-", number, "/0"), Parts: parts, SentAt: time.Now()})
		time.Sleep(reportDelay + 300*time.Millisecond)
	}
	for number := range crash.CrashesToBlock - 1 {
		crashServer(site.hosts[0], number)
	}
	started := site.network.join(ctx, "host-3", false)
	site.hosts = append(site.hosts, started)
	time.Sleep(5 * learnInterval)
	site.network.mutex.Lock()
	for number := range 3 {
		site.network.cut[fmt.Sprint("host-", number)] = true
	}
	site.network.mutex.Unlock()
	crashServer(started, crash.CrashesToBlock)
	time.Sleep(crash.SettleTime + analystCount*standInDelay + callTimeout)
	is.Equal(len(started.list.All(time.Now())), 1)
	_, blocked := started.Blocked(time.Now(), parts)
	is.True(blocked)
	cancel()
	for _, host := range site.hosts {
		<-host.Done()
	}
}

const (
	manyHosts = 360
	// hostBytes is what a host may exchange for control in a minute.
	hostBytes = 60 * 5000
)

// newSiteAfterCrashes returns a large site on which many servers have crashed under as many requests as are reported, and all hosts have
// the verdict. It waits for that, since it takes long on a busy machine. It also returns the names of the hosts that analysed the crashes.
func newSiteAfterCrashes(ctx context.Context, is *is.I) (*site, []string) {
	site := newSite(ctx, manyHosts, 0)
	awaitGoroutines(site.hosts)
	site.network.resetCounts()
	for number := range maxHeldReports {
		for request := range maxReportRequests {
			site.hosts[number].Broken(time.Now(), &Run{
				Server: fmt.Sprint("server-", number), Incarnation: fmt.Sprint("server-", number, "/0"), SentAt: time.Now(),
				Parts: crash.Parts([]string{"shared", fmt.Sprint("second-", request)}, fmt.Sprint(number, "/", request)),
			})
		}
	}
	analysts, _ := site.hosts[0].analysts()
	deadline := time.Now().Add(30 * time.Second)
	for slices.ContainsFunc(site.hosts, func(host *Exchanger) bool { return !host.hasAnalysed(slices.Contains(analysts, host.host)) }) {
		is.True(time.Now().Before(deadline))
		time.Sleep(10 * time.Millisecond)
	}
	awaitGoroutines(site.hosts)
	return site, analysts
}

// awaitGoroutines waits until no goroutine of the hosts runs any more.
func awaitGoroutines(hosts []*Exchanger) {
	for _, host := range hosts {
		host.goroutines.group.Wait()
	}
}

// hasAnalysed reports whether a host has a verdict, and, if it is an analyst, all reports, of which none is left to analyse.
func (exchanger *Exchanger) hasAnalysed(analyst bool) bool {
	exchanger.mutex.Lock()
	defer exchanger.mutex.Unlock()
	if len(exchanger.list.All(time.Now())) == 0 {
		return false
	}
	return !analyst || len(exchanger.reports) == maxHeldReports && exchanger.checkAt.IsZero() && !exchanger.checking
}

// checkBytes checks what hosts have exchanged.
func (network *network) checkBytes(t *testing.T, is *is.I, hosts []string) {
	t.Helper()
	network.mutex.Lock()
	defer network.mutex.Unlock()
	for _, host := range hosts {
		t.Logf("%s: %d bytes", host, network.bytes[host])
	}
	for _, host := range hosts {
		is.True(network.bytes[host] <= hostBytes)
	}
}

func (network *network) resetCounts() {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	clear(network.bytes)
	clear(network.calls)
}

// Guards against hosts that start together and all get the reports of crashes from the same few hosts. Only their start counts.
func TestHostsThatStartTogetherDoNotAllGetReports(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	site, analysts := newSiteAfterCrashes(ctx, is)
	site.network.resetCounts()
	var restarted []*Exchanger
	for _, host := range site.hosts {
		if !slices.Contains(analysts, host.host) {
			restarted = append(restarted, site.network.join(ctx, host.host, true))
		}
	}
	awaitGoroutines(restarted)
	is.Equal(site.network.calls[methodVerdicts], len(restarted)*analystCount)
	site.network.checkBytes(t, is, analysts)
	cancel()
	for _, host := range slices.Concat(site.hosts, restarted) {
		<-host.Done()
	}
}

// Guards against the analysis of crashes with many suspects that no host has seen taking more bytes than a host may exchange.
func TestAnalysisOfManySuspectsIsSmall(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	site, analysts := newSiteAfterCrashes(ctx, is)
	site.network.checkBytes(t, is, analysts)
	cancel()
	for _, host := range site.hosts {
		<-host.Done()
	}
}

// Guards against sound parts that are blocked because servers closed connections without having crashed, and are avoided since, so
// that no response shows it.
func TestServersAreProbedBeforeAVerdict(t *testing.T) {
	for name, responds := range map[string]bool{"a server responds": true, "no server responds": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			ctx, cancel := context.WithCancel(t.Context())
			host := New(ctx, "host-1", nil, func() map[string]string { return nil }, WithProbe(func(_ context.Context, incarnation string) bool {
				return responds && incarnation == Incarnation("server-0", 0)
			}))
			for number := range crash.CrashesToBlock {
				server := fmt.Sprint("server-", number)
				host.Broken(time.Now(), &Run{
					Server: server, Incarnation: Incarnation(server, 0), SentAt: time.Now(), Parts: crash.Parts([]string{crashPart}, server),
				})
				time.Sleep(2 * crash.AliveSlack)
			}
			time.Sleep(2 * crash.SettleTime)
			is.Equal(blocks(host), !responds)
			cancel()
			<-host.Done()
		})
	}
}
