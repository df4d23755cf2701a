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

func TestLateDuplicateDoesNotExtendTheRefusal(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker()
	for _, incarnation := range []string{"s1/1", "s1/2"} {
		tracker.Record(epoch, Report{Incarnation: incarnation, Digest: "a"})
	}
	tracker.Record(epoch.Add(RefusalDuration-time.Second), Report{Incarnation: "s1/1", Digest: "a"})
	is.Equal(tracker.Decide(epoch.Add(RefusalDuration), "a"), Allow)
}

func TestEndsOfIncarnationsAreKeptWhenFull(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker()
	for number := range MaxSuspects + 1 {
		tracker.Record(epoch.Add(time.Duration(number)*time.Millisecond), Report{Incarnation: fmt.Sprint("s/", number), Digest: "a"})
	}
	later := epoch.Add(time.Hour)
	is.True(tracker.EndedBefore(fmt.Sprint("s/", MaxSuspects), later))
	is.True(tracker.EndedBefore("s/1", later))
	is.True(!tracker.EndedBefore("s/0", later)) // Only the oldest one was dropped.
}

// Two reports of one crash of a server without known incarnations count as one crash, wherever they fall on the clock.
func TestReportsOfOneCrashCountOnce(t *testing.T) {
	is := is.New(t)
	for offset := time.Duration(0); offset < crashWindow; offset += 100 * time.Millisecond {
		tracker := NewTracker()
		now := epoch.Add(offset)
		tracker.Record(now, Report{Server: "s", Incarnation: "s/first", Digest: "a"})
		tracker.Record(now.Add(300*time.Millisecond), Report{Server: "s", Incarnation: "s/second", Digest: "a"})
		is.Equal(tracker.Decide(now.Add(time.Second), "a"), Isolate)
		tracker.Record(now.Add(crashWindow), Report{Server: "s", Incarnation: "s/third", Digest: "a"})
		is.Equal(tracker.Decide(now.Add(crashWindow), "a"), Refuse)
	}
}
