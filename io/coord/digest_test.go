package coord

import (
	"testing"
	"time"

	"lentilproxy/core/slots"

	"github.com/matryer/is"
)

// inControl runs a function with the control state of a coordinator that has one peer, undisturbed by its other parts.
func inControl(t *testing.T, check func(now time.Time, control *control, peer *peerState)) {
	t.Helper()
	coordinator := newStill(t)
	coordinator.do(func(now time.Time) {
		control := coordinator.traffic.control
		peer := &peerState{name: "host-2", told: map[string]int64{}}
		control.peers["host-2"] = peer
		check(now, control, peer)
		clear(control.controllers)
	})
}

// What an answer tells counts as told once the peer says that it has got that answer, and not if it has got another one.
func TestAnswersTellWhatHasChanged(t *testing.T) {
	for name, test := range map[string]struct {
		received func(answer int64) int64
		told     bool
	}{
		"answer received": {func(answer int64) int64 { return answer }, true},
		"answer lost":     {func(int64) int64 { return 1 }, false},
		"peer restarted":  {func(int64) int64 { return 0 }, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			inControl(t, func(now time.Time, control *control, peer *peerState) {
				control.controllers["server"] = &controller{revision: 3, slots: slots.New("m", 4, now)}
				first := control.answerDigest(now, digest{Host: "host-2", Number: 7}).Digest
				second := control.answerDigest(now.Add(time.Second), digest{Host: "host-2", Number: 8, Received: test.received(first.Number)}).Digest
				is.Equal(first.Received, int64(7))
				is.Equal(len(first.Held), 1)
				is.Equal(len(second.Held) == 0, test.told)
				is.Equal(peer.told["server"] == 3, test.told)
			})
		})
	}
}

// A host that takes part in exchanges only by answering still learns that it is heard.
func TestHostsThatOnlyAnswerAreHeard(t *testing.T) {
	is := is.New(t)
	inControl(t, func(now time.Time, control *control, _ *peerState) {
		// The last scan is too old to tell who takes part.
		isolated := func() bool {
			control.membership.ApplyScan(now.Add(-time.Hour), []string{"host-1", "host-2"})
			return control.membership.Isolated(now)
		}
		is.True(isolated())
		answer := control.answerDigest(now, digest{Host: "host-2", Number: 1}).Digest
		is.True(isolated())
		control.answerDigest(now, digest{Host: "host-2", Number: 2, Received: answer.Number})
		is.True(!isolated())
	})
}
