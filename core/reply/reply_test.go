package reply

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const (
	shortest = 30 * time.Millisecond
	longest  = 200 * time.Millisecond
	// attempts is how often an order is sent before a report is requested.
	attempts = 5
)

// Guards against a lost response that holds up a server for the longest timeout although its responses take a few milliseconds.
func TestTimeoutFollowsResponses(t *testing.T) {
	is := is.New(t)
	timer := New(shortest, longest)
	is.Equal(timer.Timeout(0), longest) // nothing is known
	for range 10 {
		timer.Record(6 * time.Millisecond)
	}
	is.Equal(timer.Timeout(0), shortest)
	is.Equal(timer.Timeout(1), 2*shortest)
	is.Equal(timer.Timeout(2), 4*shortest)
	is.Equal(timer.Timeout(3), longest)
	is.Equal(timer.Timeout(100), longest)
	for range 30 {
		timer.Record(120 * time.Millisecond) // the host or its links have become slow
	}
	is.True(timer.Timeout(0) >= 120*time.Millisecond)
}

// Guards against a server that has become slower than the timeout and is never waited for long enough: a call and its repeats get a
// response, whatever was recorded before, if responses take no longer than the longest timeout.
func TestRepeatedCallsGetTheirResponse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		timer := New(shortest, longest)
		for _, milliseconds := range rapid.SliceOf(rapid.IntRange(0, 200)).Draw(t, "before") {
			timer.Record(time.Duration(milliseconds) * time.Millisecond)
		}
		took := time.Duration(rapid.IntRange(0, 199).Draw(t, "now")) * time.Millisecond
		for repeats := range attempts {
			if timeout := timer.Timeout(repeats); timeout < shortest || timeout > longest {
				t.Fatalf("timeout %s", timeout)
			} else if took < timeout {
				return
			}
		}
		t.Fatal("no response")
	})
}
