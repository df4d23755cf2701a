package admit

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// playSlowHosts plays more requests than the slots serve if they stay empty while messages cross slow hosts: two of three hosts take 18 ms
// on average to handle a message. It returns the results of the last 20 s.
func playSlowHosts(seed int64, change func(server *modelServer)) summary {
	model := newModel(seed)
	for _, server := range model.servers {
		change(server)
	}
	for number, host := range model.hosts {
		if number%3 > 0 {
			host.busy = 18 * time.Millisecond
		}
	}
	for _, workspace := range []string{"a", "b", "c", "d", "e"} {
		model.arrive(workspace, 0, 100, 30*time.Second)
	}
	model.run(10 * time.Second)
	model.calls = nil
	model.run(20*time.Second + modelDeadline)
	return summarise(model.calls, func(*modelCall) bool { return true })
}

// Guards against slots that stay empty while the end of a request, the next assignment and the next request are on their way through slow
// hosts, so that requests are refused although the servers could run them.
func TestSlotsAreUsedWhileMessagesCrossSlowHosts(t *testing.T) {
	is := is.New(t)
	for seed := range int64(3) {
		result := playSlowHosts(seed+1, func(*modelServer) {})
		t.Logf("seed %d: %v", seed+1, result)
		is.True(result.late+result.refused < 0.05)
		is.True(result.rejected < 0.01)
	}
}

// Guards against requests beyond the slots of servers that reject them, or that become slow by them.
func TestServersWithoutRoomGetTheirSlotsOnly(t *testing.T) {
	is := is.New(t)
	for seed := range int64(3) {
		rejecting := playSlowHosts(seed+1, func(server *modelServer) { server.room = 0 })
		t.Logf("seed %d, no queue: %v", seed+1, rejecting)
		is.True(rejecting.rejected < 0.05)
		slowing := playSlowHosts(seed+1, func(server *modelServer) { server.slowdown = 6 })
		t.Logf("seed %d, slow when full: %v", seed+1, slowing)
		is.True(slowing.late+slowing.refused < 0.3)
	}
}
