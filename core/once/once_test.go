package once

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

var epoch = time.Unix(1_700_000_000, 0)

func TestDecide(t *testing.T) {
	claim := NewClaim(epoch, "mine", "host-1", "d", time.Hour)
	done := claim.Finish(201, "text/plain", []byte("ok"))
	large := claim.Finish(201, "text/plain", make([]byte, MaxRecordedBytes+1))
	for _, test := range []struct {
		name          string
		row           *Record
		token, digest string
		verdict       Verdict
	}{
		{"unclaimed", nil, "mine", "d", Claim},
		{"own claim", &claim, "mine", "d", Send},
		{"another's claim", &claim, "other", "d", OutcomeUnknown},
		{"another's claim for another request", &claim, "other", "e", Mismatch},
		{"done", &done, "other", "d", Replay},
		{"done by this attempt", &done, "mine", "d", Replay},
		{"done with another request", &done, "other", "e", Mismatch},
		{"done, too large to record", &large, "other", "d", OutcomeUnknown},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(Decide(test.row, test.token, test.digest), test.verdict)
		})
	}
	is := is.New(t)
	is.True(!done.Expired(epoch.Add(time.Hour)))
	is.True(done.Expired(epoch.Add(time.Hour + time.Second)))
	decoded, err := Decode(done.Encode())
	is.NoErr(err)
	is.Equal(string(decoded.Body), "ok")
	is.True(RowKey("r", "ab", "c") != RowKey("r", "a", "bc")) // the boundaries between parts are hashed too
	is.True(Digest("POST", "/a", []byte("b")) != Digest("POST", "/ab", nil))
}

// A request is claimed before it is sent, and its outcome is recorded.
func ExampleDecide() {
	row := NewClaim(epoch, "attempt 1", "host-1", "digest", 24*time.Hour)
	fmt.Println(Decide(&row, "attempt 1", "digest") == Send)
	fmt.Println(Decide(&row, "attempt 2", "digest") == OutcomeUnknown)
	row = row.Finish(201, "application/json", []byte(`{"order":17}`))
	fmt.Println(Decide(&row, "attempt 3", "digest") == Replay)
	// Output:
	// true
	// true
	// true
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"token":"t","stage":"done"}`))
	f.Add([]byte(`{"claimed_at":"x"}`))
	f.Fuzz(func(_ *testing.T, content []byte) {
		if record, err := Decode(content); err == nil && record != nil {
			Decide(record, "t", "d")
		}
	})
}
