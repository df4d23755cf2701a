package block

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"lentilproxy/core/crash"

	"github.com/matryer/is"
)

// Guards against a prompt part that crashes servers, at the size of the large site and at the target size: it is stopped
// in time while sound requests with all its other parts are served, whatever else happens, and with few messages.
func TestLargeSite(t *testing.T) {
	const (
		length = 8 * time.Second
		// hostBytes is what a host may exchange for control in a minute.
		hostBytes = 60 * 5000
	)
	for _, size := range []struct{ hosts, servers, sound int }{{78, 79, 800}, {360, 1100, 2400}} {
		for name, disturb := range map[string]func(site *site, ctx context.Context) func(elapsed time.Duration){
			"undisturbed": func(*site, context.Context) func(time.Duration) { return func(time.Duration) {} },
			"other crashes and resets": func(site *site, _ context.Context) func(time.Duration) {
				next := 100 * time.Millisecond
				return func(elapsed time.Duration) {
					if elapsed < next {
						return
					}
					next += 200 * time.Millisecond
					site.mutex.Lock()
					defer site.mutex.Unlock()
					// A rack of servers fails at once, and connections of a server that stays up are reset.
					for range 4 {
						site.crash(time.Now(), site.servers[site.random.IntN(len(site.servers))])
					}
					reset := site.servers[site.random.IntN(len(site.servers))]
					for flight := range reset.flights {
						flight.host.Broken(time.Now(), flight.run)
						delete(reset.flights, flight)
					}
				}
			},
			"many connections reset": func(site *site, _ context.Context) func(time.Duration) {
				next := time.Duration(0)
				return func(elapsed time.Duration) {
					if elapsed < next {
						return
					}
					next += 50 * time.Millisecond
					site.mutex.Lock()
					defer site.mutex.Unlock()
					reset := site.servers[site.random.IntN(len(site.servers))]
					for flight := range reset.flights {
						flight.host.Broken(time.Now(), flight.run)
						delete(reset.flights, flight)
						return
					}
				}
			},
			"links cut and hosts replaced": func(site *site, ctx context.Context) func(time.Duration) {
				next, replaced := 300*time.Millisecond, 0
				return func(elapsed time.Duration) {
					if elapsed < next {
						return
					}
					next += 300 * time.Millisecond
					site.network.mutex.Lock()
					clear(site.network.cut)
					for range len(site.hosts) / 10 {
						site.network.cut[fmt.Sprint("host-", site.random.IntN(len(site.hosts)))] = true
					}
					gone := fmt.Sprint("host-", replaced)
					delete(site.network.hosts, gone)
					site.network.mutex.Unlock()
					started := site.network.join(ctx, fmt.Sprint("new-", replaced), true)
					site.mutex.Lock()
					site.hosts[replaced] = started
					site.mutex.Unlock()
					replaced++
				}
			},
			"invented parts": func(site *site, _ context.Context) func(time.Duration) {
				return func(time.Duration) {
					site.mutex.Lock()
					invented := make([]string, 200)
					for index := range invented {
						invented[index] = fmt.Sprint(site.random.Uint64())
					}
					site.mutex.Unlock()
					site.send(invented...)
				}
			},
		} {
			t.Run(fmt.Sprintf("%d hosts, %s", size.hosts, name), func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithCancel(t.Context())
				site := newSite(ctx, size.hosts, size.servers)
				site.play(length, size.sound, 5, disturb(site, ctx))
				time.Sleep(promptTime + streamTime)
				cancel()
				for _, host := range site.hosts {
					<-host.Done()
				}
				sound, refused := 0, 0
				for second, count := range site.sound {
					sound, refused = sound+count, refused+site.refused[second]
				}
				most := 0
				for _, count := range site.network.bytes {
					most = max(most, count)
				}
				t.Logf("%d crashes, %d late; %d of %d sound requests refused; calls %v; at most %d bytes of a host",
					len(site.crashes), site.late(), refused, sound, site.network.calls, most)
				is.True(len(site.crashes) >= crash.CrashesToBlock)
				is.True(site.late() <= 3)
				is.True(refused*100 < sound)
				is.True(most <= hostBytes)
			})
		}
	}
}

// crashOn lets a host see servers crash one after the other with a request that has the part that crashes servers.
func crashOn(host *Exchanger, first, count int) {
	const interval = 300 * time.Millisecond
	for number := first; number < first+count; number++ {
		sentAt := time.Now()
		time.Sleep(interval)
		host.Broken(time.Now(), &Run{
			Server: fmt.Sprint("crashed-", number), Incarnation: fmt.Sprint("crashed-", number, "/0"), SentAt: sentAt,
			Parts: crash.Parts([]string{crashPart, fmt.Sprint("second-", number)}, fmt.Sprint(number)),
		})
	}
}

func blocks(host *Exchanger) bool {
	_, blocked := host.Blocked(time.Now(), crash.Parts([]string{crashPart}, "further"))
	return blocked
}

func await(t *testing.T, timeout time.Duration, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(timeout); !condition(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%s: not within %s", what, timeout)
		}
	}
}

// Guards against crashes that only hosts which cannot be reached would correlate: the remaining hosts block the requests.
func TestAnalystsThatCannotBeReached(t *testing.T) {
	for _, size := range []struct{ hosts, servers, cut int }{{5, 12, 3}, {25, 60, 12}, {78, 79, 16}} {
		t.Run(fmt.Sprint(size.hosts, " hosts"), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			ctx, cancel := context.WithCancel(t.Context())
			site := newSite(ctx, size.hosts, size.servers)
			hosts := site.hosts
			ranked := hosts[0].ranked(hosts[0].peers())
			site.hosts = nil
			for _, host := range hosts {
				if slices.Index(ranked, host.host) < size.cut {
					site.network.cut[host.host] = true
				} else {
					site.hosts = append(site.hosts, host)
				}
			}
			site.play(8*time.Second, 100, 5, func(time.Duration) {})
			time.Sleep(promptTime + streamTime)
			cancel()
			for _, host := range hosts {
				<-host.Done()
			}
			sound, refused := 0, 0
			for second, count := range site.sound {
				sound, refused = sound+count, refused+site.refused[second]
			}
			t.Logf("%d crashes, %d late; %d of %d sound requests refused; calls %v", len(site.crashes), site.late(), refused, sound, site.network.calls)
			is.True(len(site.crashes) >= crash.CrashesToBlock)
			is.True(site.late() <= 3)
			is.True(refused*100 < sound)
		})
	}
}

// Guards against callers who invent parts: more of their requests are in flight at each crash, on each host and on all, than
// reports and evidence hold. The request that crashed the server must not be left out, although it is reported last.
func TestInventedPartsDoNotHideACrash(t *testing.T) {
	const (
		hosts = 6
		// invented is the number of parts of a request, which with its digest fill reports exactly.
		invented = 255
	)
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	network := newNetwork()
	var exchangers []*Exchanger
	for number := range hosts {
		exchangers = append(exchangers, network.join(ctx, fmt.Sprint("host-", number), false))
	}
	unique := 0
	broken := func(host *Exchanger, server int, sentAt time.Time, parts ...string) {
		unique++
		host.Broken(time.Now(), &Run{
			Server: fmt.Sprint("server-", server), Incarnation: fmt.Sprint("server-", server, "/0"), SentAt: sentAt,
			Parts: crash.Parts(parts, fmt.Sprint(unique)),
		})
	}
	inventing := func(host *Exchanger, server int, sentAt time.Time) {
		for range 2 * maxReportRequests {
			parts := make([]string, invented)
			for index := range parts {
				parts[index] = fmt.Sprint("invented-", unique, "-", index)
			}
			broken(host, server, sentAt, parts...)
		}
	}
	for server := range crash.CrashesToBlock {
		sentAt := time.Now()
		time.Sleep(300 * time.Millisecond)
		last := hosts - 1 - server
		for number, host := range exchangers {
			if number != last {
				inventing(host, server, sentAt)
			}
		}
		time.Sleep(100 * time.Millisecond)
		inventing(exchangers[last], server, sentAt)
		broken(exchangers[last], server, sentAt, crashPart)
	}
	for _, host := range exchangers {
		await(t, 3*time.Second, "the verdict on "+host.host, func() bool { return blocks(host) })
	}
	for _, host := range exchangers {
		_, blocked := host.Blocked(time.Now(), crash.Parts([]string{"sound"}, "further"))
		is.True(!blocked)
	}
}

// Guards against hosts that do not know a verdict, as they could not be reached when it was found or started later, while
// the store is away.
func TestVerdictReachesHostsWithoutTheStore(t *testing.T) {
	const hosts = 5
	cut := func(site *site, host string, cut bool) {
		site.network.mutex.Lock()
		defer site.network.mutex.Unlock()
		site.network.cut[host] = cut
	}
	for name, test := range map[string]func(t *testing.T, ctx context.Context, site *site){
		"a host is cut off for a moment": func(t *testing.T, _ context.Context, site *site) {
			t.Helper()
			cut(site, "host-4", true)
			crashOn(site.hosts[0], 0, 3)
			await(t, 3*time.Second, "the verdict", func() bool { return blocks(site.hosts[1]) })
			time.Sleep(time.Second)
			cut(site, "host-4", false)
			await(t, 2*time.Second, "the verdict on the host that was cut off", func() bool { return blocks(site.hosts[4]) })
		},
		"a host is cut off for long": func(t *testing.T, _ context.Context, site *site) {
			t.Helper()
			cut(site, "host-4", true)
			crashOn(site.hosts[0], 0, 3)
			await(t, 3*time.Second, "the verdict", func() bool { return blocks(site.hosts[1]) })
			time.Sleep(verdictTries*(callTimeout+verdictRetryDelay) + time.Second)
			cut(site, "host-4", false)
			crashOn(site.hosts[4], 3, 1)
			await(t, time.Second, "the verdict after one crash", func() bool { return blocks(site.hosts[4]) })
		},
		"a host starts later": func(t *testing.T, ctx context.Context, site *site) {
			t.Helper()
			crashOn(site.hosts[0], 0, 3)
			await(t, 3*time.Second, "the verdict", func() bool { return blocks(site.hosts[1]) })
			started := site.network.join(ctx, "host-5", false)
			await(t, time.Second, "the verdict on the host that started", func() bool { return blocks(started) })
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			site := &site{network: newNetwork()}
			for number := range hosts {
				site.hosts = append(site.hosts, site.network.join(ctx, fmt.Sprint("host-", number), false))
			}
			test(t, ctx, site)
		})
	}
}
