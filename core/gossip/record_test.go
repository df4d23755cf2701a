package gossip

import (
	"maps"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against receivers that have another state than the record after changes that were sent in parts, twice, or since an earlier
// state than the receiver has, and after deletions that the record no longer knows.
func TestReceiversOfChangesHaveTheRecord(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		record, state := NewRecord[int, int](), map[int]int{}
		received, position := map[int]int{}, int64(0)
		confirmed := []int64{0}
		receive := func(most int) (complete bool) {
			base := record.Base(confirmed[rapid.IntRange(0, len(confirmed)-1).Draw(t, "confirmed")])
			changes, end := record.Since(base, most)
			if base > position {
				t.Fatalf("base %d, but the receiver has %d", base, position)
			}
			if base == 0 {
				received, position = map[int]int{}, 0
			}
			for _, change := range changes {
				if received[change.Key] = change.Value; change.Deleted {
					delete(received, change.Key)
				}
			}
			// Earlier confirmations of a receiver that starts anew are not valid any more.
			if base == 0 {
				confirmed = nil
			}
			position = max(position, end)
			confirmed = append(confirmed, position)[max(0, len(confirmed)-2):]
			return position == record.Revision()
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			for range rapid.IntRange(0, 400).Draw(t, "changes") {
				key := rapid.IntRange(0, 40).Draw(t, "key")
				if rapid.IntRange(0, 3).Draw(t, "deleted") == 0 {
					record.Delete(key)
					delete(state, key)
				} else {
					state[key] = rapid.IntRange(1, 3).Draw(t, "value")
					record.Set(key, state[key])
				}
			}
			receive(rapid.IntRange(1, 50).Draw(t, "most"))
		}
		confirmed = confirmed[len(confirmed)-1:]
		for range 100 {
			if receive(10) {
				break
			}
		}
		if !maps.Equal(received, state) || !maps.Equal(maps.Collect(record.All()), state) {
			t.Fatalf("the receiver has %v of %v", received, state)
		}
	})
}

// Guards against a record that grows with the number of changes or deletions.
func TestRecordIsBounded(t *testing.T) {
	is := is.New(t)
	record := NewRecord[int, int]()
	for number := range 100_000 {
		record.Set(number, 1)
		record.Delete(number)
		record.Set(-1, number)
	}
	is.True(len(record.log) <= 4*keptDeletions)
	is.True(len(record.entries) <= 2*keptDeletions)
	is.Equal(record.Base(10), int64(0))
}

// Guards against a statement that replaces a newer one, and against a source that counts no longer after its clock started again.
func TestNewerStatementsReplaceOlderOnes(t *testing.T) {
	is := is.New(t)
	second := int64(time.Second)
	last := Statement{Source: "a", Stamp: 100 * second, AsOf: start}
	for _, test := range []struct {
		statement Statement
		replaces  bool
	}{
		{Statement{Source: "a", Stamp: 100 * second, AsOf: start.Add(time.Second)}, false},
		{Statement{Source: "a", Stamp: 99 * second, AsOf: start.Add(time.Second)}, false},
		{Statement{Source: "a", Stamp: 101 * second, AsOf: start.Add(-time.Second)}, true},
		{Statement{Source: "a", Stamp: 1 * second, AsOf: start}, true},
		{Statement{Source: "b", Stamp: 1 * second, AsOf: start.Add(time.Millisecond)}, true},
		{Statement{Source: "b", Stamp: 200 * second, AsOf: start}, false},
	} {
		is.Equal(test.statement.Replaces(last), test.replaces)
	}
}
