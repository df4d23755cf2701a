package coord

import (
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"testing"

	"lentilproxy/core/sched"

	"pgregory.net/rapid"
)

// Guards against hosts that have another load of a peer, or other loaded adapters, than the peer reported: messages cross, arrive late, are lost, or refer to one
// that the receiver had before it restarted. A message either gives the sender's load when it was sent, or
// that of a later message which has arrived before, or none, if it refers to one that the receiver had before a restart.
func TestDifferencesOfUsageGiveTheUsage(t *testing.T) {
	type flight struct {
		encoded  []byte
		expected map[string]sched.Usage
		loaded   map[string]loadedUpdate
		restarts int
		// sentAt is the last message of the sender when it was sent.
		sentAt int64
	}
	rapid.Check(t, func(t *rapid.T) {
		// sender is what the sender keeps of the receiver, and receiver what the receiver keeps of the sender.
		sender, receiver := &peerState{sendsContents: true}, &peerState{sendsContents: true}
		usage, restarts, id := map[string]sched.Usage{}, 0, int64(0)
		loaded := map[string]loadedUpdate{}
		var newest map[string]sched.Usage // The load in the newest message that has arrived.
		confirmedBy := 0                  // The run of the receiver that has confirmed the sender's base.
		var toReceiver, toSender []flight
		deliver := func(flights []flight) (flight, []flight) {
			// At most two messages are under way between two hosts; the older one may arrive later.
			index := rapid.IntRange(0, len(flights)-1).Draw(t, "which")
			taken := flights[index]
			return taken, append(append([]flight{}, flights[:index]...), flights[index+1:]...)
		}
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			switch rapid.IntRange(0, 8).Draw(t, "event") {
			case 0, 1:
				usage = maps.Clone(usage)
				server := fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "server"))
				usage[server] = sched.Usage{Running: rapid.IntRange(1, 3).Draw(t, "running"), Tokens: int64(rapid.IntRange(0, 1).Draw(t, "tokens"))}
				if rapid.IntRange(0, 3).Draw(t, "ends") == 0 {
					delete(usage, server)
				}
				loaded = maps.Clone(loaded)
				update := loadedUpdate{StartedMillis: int64(rapid.IntRange(1, 2).Draw(t, "started")), Loaded: sched.Loaded{Adapters: map[string]int64{}}}
				for adapter := range rapid.IntRange(0, 3).Draw(t, "adapters") {
					update.Loaded.Adapters[fmt.Sprint(adapter)] = int64(rapid.IntRange(1, 2).Draw(t, "version"))
				}
				update.Loaded.Orderable = rapid.Bool().Draw(t, "orderable")
				if loaded[server] = update; rapid.IntRange(0, 3).Draw(t, "lost") == 0 {
					delete(loaded, server)
				}
			case 2, 3, 4:
				if len(toReceiver) >= 2 {
					continue
				}
				id++
				message := gossipMessage{ID: id}
				sender.addState(&message, usage, loaded)
				encoded, err := json.Marshal(message)
				if err != nil {
					t.Fatal(err)
				}
				toReceiver = append(toReceiver, flight{encoded: encoded, expected: maps.Clone(usage), loaded: loaded, restarts: confirmedBy})
			case 5, 6:
				if len(toReceiver) == 0 {
					continue
				}
				var arrived flight
				arrived, toReceiver = deliver(toReceiver)
				var message gossipMessage
				if err := json.Unmarshal(arrived.encoded, &message); err != nil {
					t.Fatal(err)
				}
				restarted := message.UsageBase > 0 && arrived.restarts != restarts
				if message.ID < receiver.receivedUsage.newest() {
					arrived.expected = newest // The load in a later message counts.
				}
				receiver.completeState(&message)
				if receiver.receivedUsage.newest() == message.ID {
					newest = message.Usage
					if state, _ := receiver.receivedUsage.find(message.ID); !reflect.DeepEqual(state.loaded, arrived.loaded) {
						t.Fatalf("a message from %v gives %v", arrived.loaded, state.loaded)
					}
				}
				if !maps.Equal(message.Usage, arrived.expected) && (len(message.Usage) > 0 || !restarted) {
					t.Fatalf("a message from %v gives %v", arrived.expected, message.Usage)
				}
				if rapid.Bool().Draw(t, "confirmed") && len(toSender) < 2 {
					toSender = append(toSender, flight{encoded: fmt.Append(nil, receiver.receivedUsage.newest()), restarts: restarts, sentAt: id})
				}
			case 7:
				if len(toSender) == 0 {
					continue
				}
				var arrived flight
				arrived, toSender = deliver(toSender)
				if id > arrived.sentAt+4 {
					continue // The call has timed out: callTimeout is at most two periods, with two messages each.
				}
				var confirmed int64
				if _, err := fmt.Sscan(string(arrived.encoded), &confirmed); err != nil {
					t.Fatal(err)
				}
				sender.confirmUsage(confirmed)
				if sender.usageBase == confirmed {
					confirmedBy = arrived.restarts
				}
			case 8:
				if rapid.IntRange(0, 3).Draw(t, "restart") == 0 {
					receiver, restarts = &peerState{sendsContents: true}, restarts+1
				}
			}
		}
	})
}
