package soak

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"lentilproxy/core/value"
	"lentilproxy/platform/stub"

	"github.com/matryer/is"
)

// seeds are run by TestSoak: a first one, and those that once broke a promise, with the cause.
var seeds = []struct {
	seed  uint64
	cause string
}{
	{1, "none: the first seed"},
	{2012, "the soak: a crash was recorded after the requests that it cut had ended"},
}

func TestSoak(t *testing.T) {
	program := filepath.Join(t.TempDir(), "lentild")
	if output, err := exec.Command("go", "build", "-o", program, "lentilproxy/cmd/lentild").CombinedOutput(); err != nil {
		t.Fatal(string(output))
	}
	for _, test := range seeds {
		report, err := Run(Options{
			Seed: test.seed, Length: 24 * time.Second, Hosts: 3, Engines: 2, PlainServers: 2, Callers: 8, Program: program, Folder: t.TempDir(),
		})
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("seed %d: %d disturbances, %d of %d requests served", test.seed, len(report.Events), report.Served, report.Requests)
		for _, violation := range report.Violations {
			t.Errorf("seed %d: %s", test.seed, violation)
		}
	}
}

func TestPlanIsDeterministic(t *testing.T) {
	is := is.New(t)
	first, again, other := Plan(7, time.Minute), Plan(7, time.Minute), Plan(8, time.Minute)
	is.Equal(first, again)
	is.True(len(first) > 0 && len(other) > 0 && first[0] != other[0])
	for _, event := range first {
		is.True(event.At >= quietPeriod && event.At+event.Duration <= time.Minute-2*quietPeriod)
	}
}

// A response that is cut off at the timeout of its route is not lost; one that is cut off before is.
func TestTimeoutsAreNotLost(t *testing.T) {
	sentAt := time.Unix(1000, 0)
	for name, test := range map[string]struct {
		after     time.Duration
		forwarded bool
		lost      int
	}{
		"before the timeout": {2990 * time.Millisecond, true, 1},
		"at the timeout":     {3 * time.Second, true, 0},
		"shortly after":      {3117 * time.Millisecond, true, 0},
		"long after":         {3300 * time.Millisecond, true, 1},
		"not forwarded":      {3117 * time.Millisecond, false, 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			cut := &attempt{
				id: "a", host: "h1", path: stub.ChatPath, sentAt: sentAt, endedAt: sentAt.Add(test.after), status: http.StatusOK,
				err: errors.New("cut"), firstOnConnection: true,
			}
			record := &record{attempts: []*attempt{cut}, arrivals: map[string][]arrival{}}
			if test.forwarded {
				record.arrivals["a"] = []arrival{{server: "s", Arrival: stub.Arrival{ID: "a", Ran: true, At: sentAt}}}
			}
			lost := 0
			record.checkStops(func(string, ...any) { lost++ })
			is.Equal(lost, test.lost)
		})
	}
}

// Each check finds the violation of its promise, and a record without violations passes all checks.
func TestChecksFindBrokenPromises(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	ran := func(id string, seconds float64) arrival {
		return arrival{server: "s", Arrival: stub.Arrival{ID: id, Ran: true, At: at(seconds), Workspace: stub.Workspace, Body: "content " + id, Tokens: 10}}
	}
	validRecord := func() *record {
		return &record{
			endedAt: at(20), withdrawn: map[string]time.Time{"old": at(5)}, drained: map[string]time.Time{"d": at(5)},
			attempts: []*attempt{
				{id: "a", host: "h1", runID: 1, path: stub.OrderPath, key: stub.Key, sentAt: at(1), endedAt: at(1.1), status: http.StatusOK, signed: true, body: "answer of s to a"},
				{id: "b", host: "h1", runID: 1, path: stub.OrderPath, key: "old", sentAt: at(8), endedAt: at(8.1), status: http.StatusUnauthorized},
				{id: "c", host: "h2", runID: 1, path: stub.OrderPath, key: stub.Key, sentAt: at(18), endedAt: at(18.1), status: http.StatusOK, signed: true, body: "answer of s to c"},
			},
			arrivals: map[string][]arrival{"a": {ran("a", 1)}, "c": {ran("c", 18)}},
			orders:   [][]stub.Order{{{Holder: "h1", Token: 3, At: at(1)}, {Holder: "h2", Token: 4, At: at(5)}}},
		}
	}
	for promise, breakPromise := range map[string]func(record *record){
		"at most once":  func(record *record) { record.arrivals["a"] = append(record.arrivals["a"], ran("a", 2)) },
		"true refusals": func(record *record) { record.attempts[0].status, record.attempts[0].signed = 503, false },
		"whole answers": func(record *record) { record.attempts[0].signed = false },
		"whole answers/bytes that are not HTTP": func(record *record) {
			record.attempts[0].err = fmt.Errorf("%w: invalid byte in chunk length", stub.ErrMalformed)
		},
		"whole answers/bytes before a request": func(record *record) {
			record.attempts[0].status, record.attempts[0].body, record.attempts[0].err = 0, "", stub.ErrMalformed
		},
		"whole answers/the answer to another request": func(record *record) { record.attempts[0].body = "answer of s to c" },
		"whole answers/the answer of another server":  func(record *record) { record.attempts[0].body = "answer of d to a" },
		"whole answers/the headers of another response": func(record *record) {
			record.attempts[0].answered = "c"
		},
		"whole answers/an answer without a run": func(record *record) { record.arrivals["a"][0].Ran = false },
		"whole answers/joined answers":          func(record *record) { record.attempts[0].body += record.attempts[0].body },
		"whole answers/a joined error": func(record *record) {
			record.attempts[0].status, record.attempts[0].body = 500, "{}HTTP/1.1 200 OK\r\n"
		},
		"whole answers/a missing event": func(record *record) { breakStream(record, []int{1, 2, 3, 5, 6}, nil, false) },
		"whole answers/a doubled event": func(record *record) { breakStream(record, []int{1, 2, 3, 3, 4, 5, 6}, nil, false) },
		"whole answers/a missing event before the stream breaks off": func(record *record) {
			breakStream(record, []int{1, 3}, io.ErrUnexpectedEOF, false)
		},
		"whole answers/too few events":                      func(record *record) { breakStream(record, []int{1, 2, 3}, nil, false) },
		"whole answers/a doubled event of an unframed body": func(record *record) { breakStream(record, []int{1, 1}, nil, true) },
		"whole answers/an unframed body cut within an event": func(record *record) {
			breakStream(record, []int{1, 2}, nil, true)
			record.attempts[0].body = strings.TrimSuffix(record.attempts[0].body, "\n")
		},
		"/an unframed body cut between events": func(record *record) { breakStream(record, []int{1, 2}, nil, true) },
		"/a stream that breaks off": func(record *record) {
			breakStream(record, []int{1, 2}, io.ErrUnexpectedEOF, false)
			record.disturbances = append(record.disturbances, &disturbance{kind: KindReset, from: at(1), until: at(2)})
		},
		"keys and workspaces": func(record *record) {
			record.arrivals["a"][0].Workspace = "other"
		},
		"configuration in force": func(record *record) {
			record.attempts[1].status, record.attempts[1].signed, record.attempts[1].body = 200, true, "answer of s to b"
			record.arrivals["b"] = []arrival{ran("b", 8)}
		},
		"configuration never back": func(record *record) {
			late := *record.attempts[1]
			late.id, late.sentAt, late.endedAt, late.status, late.signed, late.body = "e", at(12), at(12.1), 200, true, "answer of s to e"
			record.arrivals["e"] = []arrival{ran("e", 12)}
			record.attempts = append(record.attempts, &late)
			record.disturbances = append(record.disturbances, &disturbance{kind: KindStoreAway, from: at(5), until: at(13)})
		},
		"limits": func(record *record) { record.arrivals["a"][0].Tokens = 1e6 },
		"draining": func(record *record) {
			record.arrivals["c"][0].server, record.attempts[2].body = "d", "answer of d to c"
		},
		"evacuation": func(record *record) {
			record.evacuated, record.evacuations = value.NewSet("s"), []period{{from: at(14), until: at(19)}}
		},
		"evacuation/an order": func(record *record) {
			record.evacuatedOrders, record.evacuations = record.orders[0], []period{{from: at(1.5), until: at(6)}}
		},
		"/a request right after the beginning of an evacuation": func(record *record) {
			record.evacuated, record.evacuations = value.NewSet("s"), []period{{from: at(16), until: at(19)}}
		},
		"cold servers": func(record *record) {
			record.colds = []period{{server: "s", from: at(10), until: at(19)}}
			for number := range 21 {
				id, second := fmt.Sprint("cold", number), 16+float64(number)/25
				record.attempts = append(record.attempts, &attempt{id: id, host: "h1", path: stub.StockPath, key: stub.Key, sentAt: at(second), endedAt: at(second), status: http.StatusOK, signed: true, body: "answer of s to " + id})
				record.arrivals[id] = []arrival{ran(id, second)}
			}
		},
		"one giver of orders": func(record *record) {
			record.orders[0][1].At = at(2)
		},
		"planned stops": func(record *record) { record.attempts[0].err = errors.New("cut") },
		"recovery": func(record *record) {
			record.attempts[2].status, record.attempts[2].signed, record.attempts[2].body = 502, false, ""
		},
		"crashing requests": func(record *record) {
			for number := range crashesToStop + maxCrashingRequests + 1 {
				id, second := fmt.Sprint("crash", number), float64(number)
				if number >= crashesToStop {
					second += settleTime.Seconds()
				}
				record.attempts = append(record.attempts, &attempt{id: id, host: "h1", path: stub.ChatPath, crashing: true, sentAt: at(second), status: http.StatusBadGateway})
				record.arrivals[id] = []arrival{ran(id, second)}
			}
		},
		"sound requests": func(record *record) {
			record.attempts = append(record.attempts, &attempt{
				id: "f", host: "h1", path: stub.ChatPath, key: stub.Key, sentAt: at(2), endedAt: at(2), status: http.StatusServiceUnavailable, body: "{" + crashCode + "}",
			})
		},
		"": func(*record) {},
	} {
		t.Run(promise, func(t *testing.T) {
			is := is.New(t)
			record := validRecord()
			breakPromise(record)
			violations := record.check()
			promise, _, _ := strings.Cut(promise, "/")
			if promise == "" {
				is.Equal(len(violations), 0)
				return
			}
			is.True(len(violations) > 0)
			is.True(strings.HasPrefix(violations[0], promise+":"))
		})
	}
}

// breakStream makes the first request of a record one whose response is a stream of the given events.
func breakStream(record *record, events []int, err error, endedEarly bool) {
	pieces := strings.SplitAfter(stub.StreamFor("a", streamEvents), "\n\n")
	attempt := record.attempts[0]
	attempt.path, attempt.adapter, attempt.body, attempt.err = stub.ChatPath, "a1", "", err
	for _, event := range events {
		attempt.body += pieces[event-1]
	}
	record.arrivals["a"][0].EndedEarly = endedEarly
}
