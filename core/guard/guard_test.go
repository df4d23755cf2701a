package guard

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var epoch = time.Unix(1_700_000_000, 0)

func TestJudge(t *testing.T) {
	is := is.New(t)
	board := NewBoard()
	is.Equal(board.Judge(epoch, "a"), Clear)
	board.Record(epoch, Death{Life: "s1/1", Digest: "a"})
	board.Record(epoch, Death{Life: "s1/1", Digest: "a"}) // a peer reports the same death
	is.Equal(board.Judge(epoch, "a"), Alone)
	board.Record(epoch, Death{Life: "s1/2", Digest: "a"}) // the same server died again
	is.Equal(board.Judge(epoch, "a"), Refuse)
	is.Equal(board.Judge(epoch.Add(RefuseFor), "a"), Clear)
	board.Record(epoch, Death{Life: "s1/1", Digest: "b"})
	is.True(board.EndedBefore("s1/1", epoch.Add(time.Second))) // a request sent later is not to blame
	is.True(!board.EndedBefore("s1/1", epoch.Add(-time.Second)))
	is.True(!board.EndedBefore("s9/1", epoch))
	board.Finished("b")
	is.Equal(board.Judge(epoch, "b"), Clear)
	is.True(board.Start(epoch, "c", "s1"))
	is.True(!board.Start(epoch, "d", "s1"))
	board.Stop("d", "s1")
	is.True(!board.Free(epoch, "s1"))
	is.True(board.Free(epoch.Add(RunLifetime), "s1"))
	board.Stop("c", "s1")
	is.True(board.Free(epoch, "s1"))
}

// The culprit is refused after two deaths, an innocent neighbour never if it was in flight at one death only, and the
// board stays bounded.
func TestBoard(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		board := NewBoard()
		deaths := rapid.IntRange(0, 5).Draw(t, "deaths")
		for death := range deaths {
			life := fmt.Sprint("s/", death)
			for range rapid.IntRange(1, 3).Draw(t, "reports") {
				board.Record(epoch, Death{Life: life, Digest: "culprit"})
				board.Record(epoch, Death{Life: life, Digest: fmt.Sprint("neighbour ", death)})
			}
		}
		verdict := map[bool]Verdict{true: Refuse, false: Alone}[deaths >= DeathsToRefuse]
		if deaths > 0 && board.Judge(epoch, "culprit") != verdict {
			t.Fatalf("the culprit of %d deaths is judged %v", deaths, board.Judge(epoch, "culprit"))
		}
		for death := range deaths {
			if board.Judge(epoch, fmt.Sprint("neighbour ", death)) != Alone {
				t.Fatal("a neighbour is not to run alone")
			}
		}
	})
	board := NewBoard()
	for number := range MaxSuspects + 10 {
		board.Record(epoch.Add(time.Duration(number)*time.Millisecond), Death{Life: "s", Digest: fmt.Sprint(number)})
	}
	is := is.New(t)
	is.Equal(board.Suspects(), MaxSuspects)
	is.Equal(board.Judge(epoch, "0"), Clear) // the oldest made room
}
