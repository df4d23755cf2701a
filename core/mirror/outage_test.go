package mirror

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against an outage that lasts on in the state of a host that has no call of its own after it: registrations that are removed
// minutes later would be taken for expired ones. The events of several hosts that may each fail, read themselves, or hear of reads of
// others are drawn.
func TestOutagesEndWithAnyResponse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var outage Outage
		now := time.Unix(1000, 0)
		var failingSince, lastResponse, recoveredAt time.Time
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			now = now.Add(rapid.SampledFrom([]time.Duration{time.Millisecond, 200 * time.Millisecond, 900 * time.Millisecond, 3 * time.Second, time.Minute}).Draw(t, "pause"))
			sentAt := now.Add(-rapid.SampledFrom([]time.Duration{time.Millisecond, 300 * time.Millisecond, 700 * time.Millisecond, 2 * time.Second}).Draw(t, "age"))
			switch rapid.SampledFrom([]string{"failed", "own response", "proof of a peer", "nothing"}).Draw(t, "event") {
			case "failed":
				outage.Fail(sentAt)
				if failingSince.IsZero() && !lastResponse.After(sentAt) {
					failingSince = sentAt
				}
			case "own response", "proof of a peer":
				outage.Prove(now, sentAt)
				if sentAt.After(lastResponse) {
					lastResponse = sentAt
				}
				if !failingSince.IsZero() && sentAt.After(failingSince) {
					if sentAt.Sub(failingSince) > minOutage {
						recoveredAt = now
					}
					failingSince = time.Time{}
				}
			}
			if outage.Ongoing() != !failingSince.IsZero() {
				t.Fatalf("ongoing: %v; the store last responded at %v, the first failure since was at %v", outage.Ongoing(), lastResponse, failingSince)
			}
			_, pending := outage.Grace(now)
			if expected := !recoveredAt.IsZero() && now.Sub(recoveredAt) < LapseGrace; pending != expected {
				t.Fatalf("pending: %v at %v; the last outage ended at %v", pending, now, recoveredAt)
			}
		}
	})
}
