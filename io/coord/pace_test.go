package coord

import (
	"context"
	"testing"
	"time"

	"lentilproxy/core/spec"
	"lentilproxy/io/clock"

	"github.com/matryer/is"
)

func TestAllHostsAskTheSamePacer(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	views := []map[string]string{
		{"host-1": "", "host-2": "b", "host-3": "c"}, {"host-1": "a", "host-2": "", "host-3": "c"}, {"host-1": "a", "host-2": "b", "host-3": ""},
	}
	used := map[string]bool{}
	for _, server := range []string{"s1", "s2", "s3", "s4", "s5", "s6", "s7", "s8"} {
		chosen := map[string]bool{}
		for _, view := range views {
			pacers := newPacers()
			pacers.setHosts(view)
			name, address, found := pacers.hostFor(now, server)
			is.True(found)
			is.Equal(address, view[name])
			chosen[name], used[name] = true, true
		}
		is.Equal(len(chosen), 1)
	}
	is.True(len(used) > 1) // The servers are divided over the hosts.
}

func TestHostsThatDoNotRespondAreAvoidedForAWhile(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	pacers := newPacers()
	pacers.setHosts(map[string]string{"host-1": "", "host-2": "b"})
	var server string
	for _, server = range []string{"s1", "s2", "s3", "s4", "s5", "s6", "s7", "s8"} {
		if name, _, _ := pacers.hostFor(now, server); name == "host-2" {
			break
		}
	}
	pacers.avoid(now, "host-2")
	name, _, _ := pacers.hostFor(now, server)
	is.Equal(name, "host-1")
	name, _, _ = pacers.hostFor(now.Add(pacerAvoidance), server)
	is.Equal(name, "host-2")
	pacers.setHosts(map[string]string{})
	_, _, found := pacers.hostFor(now, server)
	is.True(!found) // Nobody is known yet, so prompts are sent at once.
}

func TestPromptWaitsNoLongerThanItMay(t *testing.T) {
	is := is.New(t)
	pacers := newPacers()
	params := paceParams{Server: "s", StartedMillis: 7, Tokens: 1 << 40, MaxWaitMS: 60, DueMS: 100, ObjectiveMS: 300}
	first := pacers.handlePace(context.Background(), params)
	startedAt := time.Now()
	second := pacers.handlePace(context.Background(), params)
	is.True(time.Since(startedAt) >= 50*time.Millisecond)
	is.True(first.Ticket != second.Ticket)
	for _, ticket := range []int64{first.Ticket, second.Ticket} {
		pacers.handleRead(readParams{Server: "s", StartedMillis: 7, Ticket: ticket})
	}
	startedAt = time.Now()
	released := make(chan struct{})
	third := pacers.handlePace(context.Background(), params)
	go func() {
		defer close(released)
		time.Sleep(20 * time.Millisecond)
		pacers.handleRead(readParams{Server: "s", StartedMillis: 7, Ticket: third.Ticket})
	}()
	params.MaxWaitMS = 5000
	pacers.handlePace(context.Background(), params)
	<-released
	is.True(time.Since(startedAt) < time.Second) // The end of the read grants the next prompt.
}

func TestPacersOfRemovedServersAreDropped(t *testing.T) {
	is := is.New(t)
	pacers := newPacers()
	ticket := pacers.handlePace(context.Background(), paceParams{Server: "s", StartedMillis: 7, Tokens: 5, ObjectiveMS: 300}).Ticket
	pacers.retain(nil)
	is.Equal(len(pacers.servers), 1) // A prompt is unread.
	pacers.handleRead(readParams{Server: "s", StartedMillis: 7, Ticket: ticket})
	pacers.retain(map[string]spec.Server{"s": {ID: "s", StartedMillis: 7}})
	is.Equal(len(pacers.servers), 1)
	pacers.retain(map[string]spec.Server{"s": {ID: "s", StartedMillis: 8}})
	is.Equal(len(pacers.servers), 0) // The server has restarted.
}

// Guards against prompts that are sent without a grant, and paced by a second host that knows nothing of the server's other prompts, since the
// responses of the pacer take longer than a fixed time.
func TestSlowPacerIsGivenMoreTime(t *testing.T) {
	is := is.New(t)
	hosts := dispatchHosts(t, 2, func() { time.Sleep(220 * time.Millisecond) })
	pacers, slow := hosts[1].traffic.pacers, hosts[0].settings.Host.Name
	pacers.setHosts(map[string]string{slow: hosts[1].traffic.dispatchers.rank.hosts[slow]})
	server := spec.Server{ID: "s", StartedMillis: 7}
	request := PromptRequest{Tokens: 5, MaxWait: 50 * time.Millisecond, GapObjective: 300 * time.Millisecond}
	hosts[1].Pace(t.Context(), server, request).Done() // Nothing is known about the pacer yet.
	for range 5 {
		pacers.mutex.Lock()
		pacers.rank.avoid(slow, clock.Now())
		pacers.mutex.Unlock()
		prompt := hosts[1].Pace(t.Context(), server, request)
		is.True(prompt != nil)
		prompt.Done()
	}
}
