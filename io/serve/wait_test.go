package serve

import (
	"net/http"
	"testing"
	"time"

	"lentilproxy/core/refuse"
	"lentilproxy/core/spec"
	"lentilproxy/core/value"
	"lentilproxy/io/coord"
	"lentilproxy/io/front"

	"github.com/go-logr/logr"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"
)

// Guards against requests that are refused early although another server may still load their adapter in time, and against those that
// wait although none can.
func TestLateLoadsAreRefusedIfNoOtherServerCan(t *testing.T) {
	late := func(retryAfter time.Duration) coord.LoadResult {
		return coord.LoadResult{Outcome: coord.LoadLate, Reason: "busy", RetryAfter: retryAfter}
	}
	for name, test := range map[string]struct {
		code  refuse.Code
		full  value.Set[string]
		late  map[string]coord.LoadResult
		retry time.Duration
	}{
		"all late":        {refuse.CodeNoCapacity, value.NewSet("s0", "s1"), map[string]coord.LoadResult{"s0": late(900), "s1": late(300)}, 300},
		"one has no room": {refuse.CodeNoCapacity, value.NewSet("s0", "s1"), map[string]coord.LoadResult{"s0": late(900)}, capacityRetryAfter},
		"none late":       {refuse.CodeNoCapacity, value.NewSet("s0"), nil, capacityRetryAfter},
		"no server":       {refuse.CodeNoCapacity, nil, nil, capacityRetryAfter},
		"other refusal":   {refuse.CodeOverloaded, value.NewSet("s0"), map[string]coord.LoadResult{"s0": late(900)}, capacityRetryAfter},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			call := &call{
				service: &Service{log: logr.Discard(), metrics: tally.NoopScope}, exchange: &front.Exchange{}, route: &spec.Route{}, full: test.full, late: test.late,
			}
			refusal := call.lateRefusal(refuse.NotRun(http.StatusServiceUnavailable, test.code, "").WithRetryAfter(capacityRetryAfter))
			is.Equal(refusal.RetryAfter(), test.retry)
			is.Equal(refusal.Executed(), refuse.ExecutedNo)
			is.Equal(refusal.Code() == refuse.CodeOverloaded, test.retry == 300 || test.code == refuse.CodeOverloaded)
		})
	}
}
