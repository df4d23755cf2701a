package coord

import (
	"encoding/json"
	"testing"

	"github.com/go-logr/logr"
	"github.com/matryer/is"
)

// Guards against a field that is lost in the compact form of a message.
func TestCompactFormKeepsTheMessage(t *testing.T) {
	for name, message := range map[string]gossipMessage{
		"own state": {
			Host: "h", ID: 20, ReceivedID: 10, Members: 3, UsageBase: 7, UsageReceived: 10, UsageChanges: map[string][]int64{"s": {1}},
			LoadedChanges: map[string]loadedChange{"s": {Held: true}}, Support: summariesInUse, ContentsHash: "x",
		},
		"no changes":   {Host: "h", ID: 20, UsageChanges: map[string][]int64{}, LoadedChanges: map[string]loadedChange{}, Support: summariesInUse},
		"no own state": {Host: "h", ID: 20, ReceivedID: 10, Demand: map[string]map[string]float64{"s": {"a": 1}}, Running: map[string]map[string]int{"s": {"a": 2}}, Support: summariesInUse},
		"relay": {
			Host: "h", ID: 20, Relay: true, Support: summariesInUse, SummariesReceived: map[string]summaryPosition{"dc": {1, 2, 3}},
			Summaries: map[string]*summaryMessage{"dc": {Source: "r", Stamp: 4, AgeMS: 5, Members: 6, Silent: []string{"x"}, At: [5]int64{1, 2, 3, 4, 5}, Partial: true}},
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sent := message
			sent.compact = true
			encoded, err := json.Marshal(sent.wire())
			is.NoErr(err)
			var received gossipMessage
			is.NoErr(json.Unmarshal(encoded, &received))
			received.unpack(logr.Discard())
			is.Equal(received, message)
		})
	}
}

// Guards against messages of a full mesh that differ from those of the previous version.
func TestMessagesOfAFullMeshAreUnchanged(t *testing.T) {
	is := is.New(t)
	simulated := newSimulated(t, 40, 4, 40)
	host := simulated.hosts[0]
	message, _ := host.control.composeCall(simulated.now, host.control.peers["host-001"])
	encoded, err := json.Marshal(message.wire())
	is.NoErr(err)
	fields := map[string]any{}
	is.NoErr(json.Unmarshal(encoded, &fields))
	for _, field := range []string{"relayed", "relay", "summaries", "summaries_received", "c"} {
		_, found := fields[field]
		is.True(!found)
	}
	response := host.control.respondToMessage(simulated.now, message)
	encoded, err = json.Marshal(response.wire())
	is.NoErr(err)
	fields = map[string]any{}
	is.NoErr(json.Unmarshal(encoded, &fields))
	is.Equal(len(fields), 2)
	is.Equal(len(fields["proofs"].(map[string]any)), 3)
}
