package coord

import (
	"testing"
	"time"

	"lentilproxy/core/slots"

	"github.com/matryer/is"
)

// withIdleControl runs a function in the control goroutine of a coordinator with one peer, so that nothing else changes
// the control state meanwhile.
func withIdleControl(t *testing.T, check func(now time.Time, control *control, peer *peerState)) {
	t.Helper()
	coordinator := newIdleCoordinator(t)
	coordinator.do(func(now time.Time) {
		control := coordinator.traffic.control
		peer := &peerState{name: "host-2", ackedRevisions: map[string]int64{}}
		control.peers["host-2"] = peer
		check(now, control, peer)
		clear(control.controllers)
	})
}

// Changes sent in a response count as received only once the peer reports the ID of that response. Otherwise they are
// sent again: the response may have been lost, or the peer restarted.
func TestResponseRevisionsCountOnceConfirmed(t *testing.T) {
	for name, test := range map[string]struct {
		receivedID func(responseID int64) int64
		acked      bool
	}{
		"response received": {func(responseID int64) int64 { return responseID }, true},
		"response lost":     {func(int64) int64 { return 1 }, false},
		"peer restarted":    {func(int64) int64 { return 0 }, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			withIdleControl(t, func(now time.Time, control *control, peer *peerState) {
				control.controllers["server"] = &controller{revision: 3, slots: slots.New("m", 4, now)}
				first := control.respondToMessage(now, gossipMessage{Host: "host-2", ID: 7}).Message
				second := control.respondToMessage(now.Add(time.Second), gossipMessage{Host: "host-2", ID: 8, ReceivedID: test.receivedID(first.ID)}).Message
				is.Equal(first.ReceivedID, int64(7))
				is.Equal(len(first.Loaded), 1)
				is.Equal(len(second.Loaded) == 0, test.acked)
				is.Equal(peer.ackedRevisions["server"] == 3, test.acked)
			})
		})
	}
}

// A host that only responds to calls must not count as isolated: the ReceivedID of its peers' calls acknowledges its
// responses.
func TestRespondingHostIsNotIsolated(t *testing.T) {
	is := is.New(t)
	withIdleControl(t, func(now time.Time, control *control, _ *peerState) {
		// The last scan is too old to determine the members.
		isolated := func() bool {
			control.membership.ApplyScan(now.Add(-time.Hour), []string{"host-1", "host-2"}, nil)
			return control.membership.Isolated(now)
		}
		is.True(isolated())
		response := control.respondToMessage(now, gossipMessage{Host: "host-2", ID: 1}).Message
		is.True(isolated())
		control.respondToMessage(now, gossipMessage{Host: "host-2", ID: 2, ReceivedID: response.ID})
		is.True(!isolated())
	})
}
