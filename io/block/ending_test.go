package block

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"lentilproxy/core/crash"

	"github.com/matryer/is"
)

// Guards against servers that crash after an event of a response which ends with its connection: the end looks like that of
// a complete response, so that the requests that crashed them counted as survived.
func TestResponsesThatEndWithTheirConnection(t *testing.T) {
	errRefused := errors.New("connection refused")
	for name, test := range map[string]struct {
		// err is the result of the next connection to the server.
		err     error
		blocked bool
	}{
		"the server has crashed": {err: errRefused, blocked: true},
		"the server is there":    {},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			ctx, cancel := context.WithCancel(t.Context())
			site := &site{network: newNetwork()}
			for number := range 3 {
				site.hosts = append(site.hosts, site.network.join(ctx, fmt.Sprint("host-", number), false))
			}
			for number := range crash.BegunCrashesToBlock {
				run := &Run{
					Server: fmt.Sprint("server-", number), Incarnation: fmt.Sprint("server-", number, "/0"), SentAt: time.Now(),
					Parts: crash.Parts([]string{crashPart}, fmt.Sprint(number)),
				}
				time.Sleep(50 * time.Millisecond)
				site.hosts[0].Progress(time.Now(), run)
				site.hosts[0].Ended(time.Now(), run, func(context.Context) error { return test.err })
				time.Sleep(200 * time.Millisecond)
			}
			time.Sleep(crash.SettleTime + analystCount*standInDelay + callTimeout)
			is.Equal(blocks(site.hosts[1]), test.blocked)
			cancel()
			for _, host := range site.hosts {
				<-host.Done()
			}
		})
	}
}

// Guards against requests that leave no trace if they end before it shows that they have crashed their servers.
func TestUnfinishedRequestsCountOnceTheirServersHaveCrashed(t *testing.T) {
	for name, test := range map[string]struct {
		// states are the results of the looks at each server; the last one is repeated.
		states []ServerState
		// responds is how long after the end of the request the server responds to another one, or zero.
		responds time.Duration
		// shared makes different requests of those that share a part.
		shared  bool
		blocked bool
	}{
		"crashed":                          {[]ServerState{ServerCrashed}, 0, false, true},
		"crashed later":                    {[]ServerState{ServerUnknown, ServerUnknown, ServerCrashed}, 0, false, true},
		"crashed after responses":          {[]ServerState{ServerUnknown, ServerUnknown, ServerCrashed}, crash.SettleTime, false, true},
		"crashed long after":               {[]ServerState{ServerUnknown, ServerUnknown, ServerCrashed}, crash.AbandonedTime + time.Millisecond, false, false},
		"shared, crashed":                  {[]ServerState{ServerUnknown, ServerUnknown, ServerCrashed}, 0, true, true},
		"shared, crashed after a response": {[]ServerState{ServerUnknown, ServerUnknown, ServerCrashed}, crash.SettleTime, true, false},
		"sound":                            {[]ServerState{ServerSound, ServerCrashed}, 0, false, false},
		"unknown":                          {[]ServerState{ServerUnknown}, 0, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			ctx, cancel := context.WithCancel(t.Context())
			host := newNetwork().join(ctx, "host-1", false)
			parts := crash.Parts([]string{"shared"}, "digest")
			for number := range crash.CrashesToBlock {
				if test.shared {
					parts = crash.Parts([]string{"shared"}, fmt.Sprint(number))
				}
				endedAt := time.Now()
				run := &Run{Server: fmt.Sprint("server-", number), Incarnation: fmt.Sprint("server-", number, "/0"), SentAt: time.Now(), Parts: parts}
				looks := 0
				host.Unfinished(endedAt, run, func(context.Context, bool) ServerState {
					looks++
					return test.states[min(looks, len(test.states))-1]
				})
				time.Sleep(crash.SettleTime)
				if test.responds > 0 {
					host.Responded(endedAt.Add(test.responds), run)
				}
			}
			time.Sleep(4*watchInterval + crash.SettleTime)
			if test.shared {
				parts = crash.Parts([]string{"shared"}, "another")
			}
			_, blocked := host.Blocked(time.Now(), parts)
			is.Equal(blocked, test.blocked)
			cancel()
			<-host.Done()
		})
	}
}

// Guards against requests that are repeated while it is not known yet whether the servers that fell silent under them have crashed.
func TestRepeatsOfRequestsThatSilenceServersAreSuspended(t *testing.T) {
	for name, test := range map[string]struct {
		// waited is how long each server was silent, and responds makes it respond to another request meanwhile.
		waited    time.Duration
		responds  bool
		servers   int
		suspended bool
	}{
		"two servers":                  {minSilence, false, 2, true},
		"one server twice":             {minSilence, false, 1, false},
		"callers that leave early":     {minSilence - time.Millisecond, false, 2, false},
		"servers that respond to more": {minSilence, true, 2, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithCancel(t.Context())
			host := newNetwork().join(ctx, "host-1", false)
			parts := crash.Parts([]string{"shared"}, "digest")
			sentAt := time.Now()
			for number := range 2 {
				server := fmt.Sprint("server-", number%test.servers)
				if test.responds {
					host.Progress(sentAt.Add(time.Millisecond), &Run{Server: server, Incarnation: server + "/0", Parts: crash.Parts(nil, "other")})
				}
				run := &Run{Server: server, Incarnation: server + "/0", SentAt: sentAt, Parts: parts}
				host.Unfinished(sentAt.Add(test.waited), run, func(context.Context, bool) ServerState { return ServerUnknown })
			}
			_, refused := host.Blocked(sentAt.Add(test.waited), parts)
			is.Equal(refused, test.suspended)
			_, refused = host.Blocked(sentAt.Add(test.waited), crash.Parts([]string{"shared"}, "another"))
			is.True(!refused)
			cancel()
			<-host.Done()
		})
	}
}

// Guards against requests that silence servers and whose callers leave before that shows: other requests in flight there show it.
func TestRequestsWhoseCallersLeaveEarly(t *testing.T) {
	for name, test := range map[string]struct {
		// waits lets another request wait on the servers, and responds makes them respond to others meanwhile.
		waits, responds bool
		suspended       bool
	}{
		"other callers wait":            {waits: true, suspended: true},
		"no other caller waits":         {},
		"the servers respond to others": {waits: true, responds: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			ctx, cancel := context.WithCancel(t.Context())
			host := newNetwork().join(ctx, "host-1", false)
			parts := crash.Parts([]string{"shared"}, "digest")
			var quiet atomic.Bool
			for number := range silentServers {
				server := fmt.Sprint("server-", number)
				sentAt := time.Now()
				if test.waits {
					defer host.Sent(&Run{Server: server, Incarnation: server + "/0", SentAt: sentAt, Parts: crash.Parts(nil, server)})()
				}
				host.Unfinished(sentAt.Add(minSilence/5), &Run{Server: server, Incarnation: server + "/0", SentAt: sentAt, Parts: parts}, func(_ context.Context, known bool) ServerState {
					quiet.Store(quiet.Load() || known)
					return ServerUnknown
				})
			}
			for deadline := time.Now().Add(minSilence + 2*watchInterval); time.Now().Before(deadline); time.Sleep(minSilence / 10) {
				for number := range silentServers {
					if server := fmt.Sprint("server-", number); test.responds {
						host.Responded(time.Now(), &Run{Server: server, Incarnation: server + "/0"})
					}
				}
			}
			_, refused := host.Blocked(time.Now(), parts)
			is.Equal(refused, test.suspended)
			is.Equal(quiet.Load(), !test.responds)
			_, refused = host.Blocked(time.Now(), crash.Parts([]string{"shared"}, "another"))
			is.True(!refused)
			cancel()
			<-host.Done()
		})
	}
}

// Guards against watches without a bound.
func TestWatchesAreBounded(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	host := newNetwork().join(ctx, "host-1", false)
	for number := range 2 * maxChecks {
		for range 2 * maxReportRequests {
			server := fmt.Sprint("server-", number)
			host.Unfinished(time.Now(), &Run{Server: server, Parts: crash.Parts(nil, server)}, func(context.Context, bool) ServerState { return ServerUnknown })
		}
	}
	host.mutex.Lock()
	is.Equal(len(host.watches), maxChecks)
	for _, watched := range host.watches {
		is.Equal(len(watched.runs), maxReportRequests)
	}
	host.mutex.Unlock()
	cancel()
	<-host.Done()
}

// Guards against checks without a bound, while servers do not respond to connections.
func TestChecksAreBounded(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	host := newNetwork().join(ctx, "host-1", false)
	started := make(chan struct{}, 2*maxChecks)
	for number := range 2 * maxChecks {
		run := &Run{Server: "server", Incarnation: "server/0", Parts: crash.Parts([]string{fmt.Sprint("part-", number)}, "")}
		host.Ended(time.Now(), run, func(ctx context.Context) error {
			started <- struct{}{}
			<-ctx.Done()
			return ctx.Err()
		})
	}
	time.Sleep(checkDelay + callTimeout/2)
	is.Equal(len(started), maxChecks)
	cancel()
	<-host.Done()
}
