package crash

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var epoch = time.Unix(1_700_000_000, 0)

func TestDecide(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker()
	is.Equal(tracker.Decide(epoch, "a"), Allow)
	tracker.Record(epoch, Report{Incarnation: "s1/1", Digest: "a"})
	tracker.Record(epoch, Report{Incarnation: "s1/1", Digest: "a"}) // a peer reports the same crash
	is.Equal(tracker.Decide(epoch, "a"), Isolate)
	tracker.Record(epoch, Report{Incarnation: "s1/2", Digest: "a"}) // the same server crashed again
	is.Equal(tracker.Decide(epoch, "a"), Refuse)
	is.Equal(tracker.Decide(epoch.Add(RefusalDuration), "a"), Allow)
	tracker.Record(epoch, Report{Incarnation: "s1/1", Digest: "b"})
	is.True(tracker.EndedBefore("s1/1", epoch.Add(time.Second))) // a request sent after the crash did not cause it
	is.True(!tracker.EndedBefore("s1/1", epoch.Add(-time.Second)))
	is.True(!tracker.EndedBefore("s9/1", epoch))
	tracker.Clear("b")
	is.Equal(tracker.Decide(epoch, "b"), Allow)
	is.True(tracker.Start(epoch, "c", "s1"))
	is.True(!tracker.Start(epoch, "d", "s1"))
	tracker.Stop("d", "s1")
	is.True(!tracker.Free(epoch, "s1"))
	is.True(tracker.Free(epoch.Add(RunLifetime), "s1"))
	tracker.Stop("c", "s1")
	is.True(tracker.Free(epoch, "s1"))
}

// A request in flight at two or more crashes is refused. One that was in flight at a single crash is isolated, never
// refused. The number of suspects stays bounded.
func TestTracker(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker := NewTracker()
		crashes := rapid.IntRange(0, 5).Draw(t, "crashes")
		for crash := range crashes {
			incarnation := fmt.Sprint("s/", crash)
			for range rapid.IntRange(1, 3).Draw(t, "reports") {
				tracker.Record(epoch, Report{Incarnation: incarnation, Digest: "culprit"})
				tracker.Record(epoch, Report{Incarnation: incarnation, Digest: fmt.Sprint("neighbour ", crash)})
			}
		}
		verdict := map[bool]Verdict{true: Refuse, false: Isolate}[crashes >= CrashesToRefuse]
		if crashes > 0 && tracker.Decide(epoch, "culprit") != verdict {
			t.Fatalf("the verdict on the culprit of %d crashes is %v", crashes, tracker.Decide(epoch, "culprit"))
		}
		for crash := range crashes {
			if tracker.Decide(epoch, fmt.Sprint("neighbour ", crash)) != Isolate {
				t.Fatal("a neighbour is not isolated")
			}
		}
	})
	tracker := NewTracker()
	for number := range MaxSuspects + 10 {
		tracker.Record(epoch.Add(time.Duration(number)*time.Millisecond), Report{Incarnation: "s", Digest: fmt.Sprint(number)})
	}
	is := is.New(t)
	is.Equal(tracker.Suspects(), MaxSuspects)
	is.Equal(tracker.Decide(epoch, "0"), Allow) // the oldest suspect was evicted
}
