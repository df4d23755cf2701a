package coord

import (
	"context"
	"testing"
	"time"

	"lentilproxy/core/slots"
	"lentilproxy/core/spec"

	"github.com/matryer/is"
)

// Guards against requests that are sent for an adapter that its lease holder is about to unload, and against refusals by a host
// that does not hold the server: it may know less than the host that asks.
func TestGrantsAreGivenForLoadedAdaptersOnly(t *testing.T) {
	is := is.New(t)
	pacers := newPacers()
	incarnation := spec.Incarnation{ID: "s", StartedMillis: 7}
	params := paceParams{Server: "s", StartedMillis: 7, Tokens: 10, ObjectiveMS: 300, Adapter: "a", LeftMS: 1000, Memory: 30}
	take := func() paceResult { return pacers.handlePace(context.Background(), params) }
	result := take()
	is.True(!result.Granted && !result.Missing) // This host does not hold the server.

	var grants *slots.Grants
	pacers.uses.locked(func() {
		grants = pacers.uses.begin(incarnation)
		grants.SetLoaded(map[string]int64{"a": 1})
	})
	result = take()
	is.True(result.Granted)
	is.Equal(result.Usage.Running, 1)
	is.Equal(result.Usage.Tokens, int64(30))
	pacers.uses.locked(func() { grants.SetLoaded(nil) })
	is.True(take().Missing)
	is.Equal(grants.Running("a"), 1) // The request that was granted before still runs.
	pacers.handleEnd(grantEndParams{Server: "s", StartedMillis: 7, Ticket: result.Ticket})
	is.Equal(grants.Active(), 0)

	pacers.uses.stop(incarnation)
	result = take()
	is.True(!result.Granted && !result.Missing)
}

// Guards against prompts that count as unread after their request has ended without a first event.
func TestEndOfARequestReleasesItsPrompt(t *testing.T) {
	is := is.New(t)
	pacers := newPacers()
	pacers.uses.locked(func() { pacers.uses.begin(spec.Incarnation{ID: "s"}).SetLoaded(map[string]int64{"a": 1}) })
	params := paceParams{Server: "s", Tokens: 1 << 40, MaxWaitMS: 5000, ObjectiveMS: 300, Adapter: "a", LeftMS: 9000}
	first := pacers.handlePace(context.Background(), params)
	startedAt := time.Now()
	go func() {
		time.Sleep(20 * time.Millisecond)
		pacers.handleEnd(grantEndParams{Server: "s", Ticket: first.Ticket})
	}()
	pacers.handlePace(context.Background(), params)
	is.True(time.Since(startedAt) < time.Second)
}
