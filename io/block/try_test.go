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

// Guards against hosts that start together and all get the reports of crashes from the same few hosts.
func TestHostsThatStartTogetherDoNotAllGetReports(t *testing.T) {
	const (
		hosts = 360
		// hostBytes is what a host may exchange for control in a minute.
		hostBytes = 60 * 5000
	)
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	site := newSite(ctx, hosts, 0)
	time.Sleep(5 * learnInterval)
	for number := range maxHeldReports {
		for request := range maxReportRequests {
			site.hosts[number].Broken(time.Now(), &Run{
				Server: fmt.Sprint("server-", number), Incarnation: fmt.Sprint("server-", number, "/0"), SentAt: time.Now(),
				Parts: crash.Parts([]string{"shared", fmt.Sprint("second-", request)}, fmt.Sprint(number, "/", request)),
			})
		}
	}
	time.Sleep(reportDelay + reportInterval)
	analysts, _ := site.hosts[0].analysts()
	site.network.mutex.Lock()
	clear(site.network.bytes)
	site.network.mutex.Unlock()
	started := site.hosts
	for _, host := range site.hosts {
		if !slices.Contains(analysts, host.host) {
			started = append(started, site.network.join(ctx, host.host, true))
		}
	}
	time.Sleep(10 * learnInterval)
	site.network.mutex.Lock()
	for _, analyst := range analysts {
		t.Logf("%s: %d bytes", analyst, site.network.bytes[analyst])
		is.True(site.network.bytes[analyst] <= hostBytes)
	}
	site.network.mutex.Unlock()
	cancel()
	for _, host := range started {
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
