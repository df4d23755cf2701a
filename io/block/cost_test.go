package block

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"lentilproxy/core/crash"
)

// reportsOfCrashes returns the reports that an analyst gets when servers of a large deployment crash at the same time.
func reportsOfCrashes(hosts, servers, requests int) []json.RawMessage {
	var reports []json.RawMessage
	for server := range servers {
		for host := range hosts {
			params := ReportParams{Host: fmt.Sprint("host-", host), Server: fmt.Sprint("server-", server), Incarnation: fmt.Sprint("server-", server, "/1"), AgeMS: 5, RespondedMS: 20}
			for request := range requests {
				digest := fmt.Sprint(server, "-", host, "-", request)
				var indexes []int
				for _, part := range crash.Parts([]string{"shared", fmt.Sprint("session-", host%40)}, digest, crash.AdapterPart("m/a1", int64(host%50))) {
					indexes = append(indexes, len(params.Parts))
					params.Parts, params.Sightings = append(params.Parts, part), append(params.Sightings, SightingAge{500, 800})
				}
				params.Requests = append(params.Requests, RequestParams{Parts: indexes, SentAgeMS: 100})
			}
			encoded, err := json.Marshal(params)
			if err != nil {
				panic(err)
			}
			reports = append(reports, encoded)
		}
	}
	return reports
}

// BenchmarkReports measures the reports of 85 hosts on 19 servers that crash at the same time.
func BenchmarkReports(b *testing.B) {
	reports := reportsOfCrashes(85, 19, 1)
	for b.Loop() {
		analyst := newNetwork().join(b.Context(), "analyst", false)
		for _, report := range reports {
			if _, _, err := analyst.Handle(methodReport, report); err != nil {
				b.Fatal(err)
			}
		}
	}
}

// Guards against a host that stands still for seconds while it gets reports, so that it learns late of changes of the configuration: many
// servers have crashed at once, and each report was analysed together with all earlier ones.
func TestReportsDoNotTakeLongerWithMoreEvidence(t *testing.T) {
	const sample = 85
	reports := reportsOfCrashes(sample, 19, 1)
	analyst := newNetwork().join(t.Context(), "analyst", false)
	// handle returns the median time that the analyst takes for a report.
	handle := func(reports []json.RawMessage) time.Duration {
		var times []time.Duration
		for _, report := range reports {
			startedAt := time.Now()
			_, _, err := analyst.Handle(methodReport, report)
			is.New(t).NoErr(err)
			times = append(times, time.Since(startedAt))
		}
		slices.Sort(times)
		return times[len(times)/2]
	}
	first := handle(reports[:sample])
	handle(reports[sample : len(reports)-sample])
	last := handle(reports[len(reports)-sample:])
	t.Logf("a report took %v first and %v in the end", first, last)
	is.New(t).True(last < 5*first)
}
