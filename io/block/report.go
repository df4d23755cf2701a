package block

import (
	"cmp"
	"slices"
	"time"

	"lentilproxy/core/crash"
)

// ReportParams report the requests that were in flight when a server closed their connections. Times are given as ages
// in milliseconds, since the clocks of hosts differ.
type ReportParams struct {
	Host        string `json:"host"`
	Server      string `json:"server"`
	Incarnation string `json:"life,omitempty"`
	AgeMS       int64  `json:"age_ms"`
	// Inferred is set if the crash showed only after the requests had ended.
	Inferred bool `json:"inferred,omitempty"`
	// RespondedMS is the age of the incarnation's last response to the host.
	RespondedMS int64 `json:"responded_ms"`
	// Parts are the parts of all requests, and Sightings what the host has seen of each.
	Parts     []crash.Part    `json:"parts"`
	Sightings []SightingAge   `json:"seen"`
	Requests  []RequestParams `json:"requests"`
}

// RequestParams describes one request of a report.
type RequestParams struct {
	// Parts are indexes into the parts of the report.
	Parts     []int `json:"parts"`
	SentAgeMS int64 `json:"sent_age_ms"`
}

// compareRuns orders the requests of a report by how likely they are the cause: those without an event come first, and
// those with few parts before those of callers who may have invented theirs. The last ones are dropped first.
func compareRuns(left, right Run) int {
	return cmp.Or(cmp.Compare(btoi(!left.BegunAt.IsZero()), btoi(!right.BegunAt.IsZero())), cmp.Compare(len(left.Parts), len(right.Parts)))
}

// add adds a request. Beyond maxReportRequests, it drops one.
func (report *pendingReport) add(run Run) {
	place, _ := slices.BinarySearchFunc(report.runs, run, compareRuns)
	report.runs = slices.Insert(report.runs, place, run)
	report.runs = report.runs[:min(len(report.runs), maxReportRequests)]
}

// compose returns the report on a crash.
func (exchanger *Exchanger) compose(now time.Time, report pendingReport) ReportParams {
	params := ReportParams{Host: exchanger.host, Server: report.server, Incarnation: report.incarnation, AgeMS: ageOf(now, report.at), Inferred: report.inferred}
	params.RespondedMS = ageOf(now, exchanger.history.RespondedAt(report.incarnation))
	indexes := map[crash.Part]int{}
	for _, run := range report.runs {
		if len(indexes)+len(run.Parts) > maxReportParts {
			exchanger.metrics.Counter("crash_suspects_dropped").Inc(1)
			continue
		}
		request := RequestParams{SentAgeMS: ageOf(now, run.SentAt)}
		for _, part := range run.Parts {
			index, found := indexes[part]
			if !found {
				index = len(indexes)
				indexes[part] = index
				params.Parts = append(params.Parts, part)
				params.Sightings = append(params.Sightings, sightingAge(now, exchanger.history.Sighting(part)))
			}
			request.Parts = append(request.Parts, index)
		}
		params.Requests = append(params.Requests, request)
	}
	return params
}

func btoi(condition bool) int {
	if condition {
		return 1
	}
	return 0
}

// delivery is a report on its way to other hosts.
type delivery struct {
	params     ReportParams
	composedAt time.Time
	// standIns are the addresses that have not been tried yet.
	standIns []string
}

// dispatch sends a report to a host in the background, up to a number of times. The mutex must be held.
func (exchanger *Exchanger) dispatch(delivery *delivery, address string, tries int) {
	if exchanger.sending >= maxReports {
		exchanger.metrics.Counter("crash_reports_dropped").Inc(1)
		return
	}
	exchanger.sending++
	exchanger.spawn(0, func() {
		delivered := exchanger.send(delivery, address, tries)
		exchanger.mutex.Lock()
		defer exchanger.mutex.Unlock()
		exchanger.sending--
		if !delivered {
			exchanger.metrics.Counter("crash_reports_undelivered").Inc(1)
		}
	})
}

// send sends a report to one host, again after a failure, and after the first failure also to the next stand-in. It
// returns false if the report was not delivered.
func (exchanger *Exchanger) send(delivery *delivery, address string, tries int) bool {
	for try := range tries {
		now := exchanger.clock()
		var result VerdictsResult
		if exchanger.callOne(address, methodReport, delivery.params.later(now.Sub(delivery.composedAt).Milliseconds()), &result) == nil {
			exchanger.learnFrom(now, result.Verdicts, address)
			return true
		}
		if try == 0 {
			exchanger.standIn(delivery)
		}
		if try < tries-1 && !exchanger.pause(reportRetryDelay) {
			break
		}
	}
	return false
}

// standIn sends a report once to the next host that can replace an analyst.
func (exchanger *Exchanger) standIn(delivery *delivery) {
	exchanger.mutex.Lock()
	defer exchanger.mutex.Unlock()
	if len(delivery.standIns) == 0 {
		return
	}
	next := delivery.standIns[0]
	delivery.standIns = delivery.standIns[1:]
	exchanger.dispatch(delivery, next, 1)
}

// later returns the report with all ages increased.
func (params ReportParams) later(milliseconds int64) ReportParams {
	params.AgeMS = laterAge(params.AgeMS, milliseconds)
	params.RespondedMS = laterAge(params.RespondedMS, milliseconds)
	params.Requests = slices.Clone(params.Requests)
	for index := range params.Requests {
		params.Requests[index].SentAgeMS = laterAge(params.Requests[index].SentAgeMS, milliseconds)
	}
	params.Sightings = slices.Clone(params.Sightings)
	for index, age := range params.Sightings {
		params.Sightings[index] = SightingAge{laterAge(age[0], milliseconds), laterAge(age[1], milliseconds)}
	}
	return params
}

// laterAge returns an age after a further time, unless it is unknown.
func laterAge(age, milliseconds int64) int64 {
	if age < 0 {
		return age
	}
	return age + milliseconds
}

// handleReport handles the report of another host, which is told the verdicts that it has not applied.
func (exchanger *Exchanger) handleReport(params ReportParams) VerdictsResult {
	exchanger.mutex.Lock()
	defer exchanger.mutex.Unlock()
	if len(params.Parts) > maxReportParts || len(params.Requests) > maxReportRequests || len(params.Sightings) != len(params.Parts) {
		return VerdictsResult{}
	}
	now := exchanger.clock()
	requests := params.requests(now)
	exchanger.record(now, params, requests)
	return exchanger.verdicts(now, func(block crash.Block) bool {
		return slices.ContainsFunc(requests, func(request crash.Request) bool { return block.Refuses(request.Parts) })
	})
}

// requests returns the requests of a report.
func (params ReportParams) requests(now time.Time) []crash.Request {
	requests := make([]crash.Request, 0, len(params.Requests))
	for _, request := range params.Requests {
		decoded := crash.Request{SentAt: timeOf(now, max(0, request.SentAgeMS))}
		for _, index := range request.Parts {
			if index >= 0 && index < len(params.Parts) {
				decoded.Parts = append(decoded.Parts, params.Parts[index])
			}
		}
		slices.Sort(decoded.Parts)
		decoded.Parts = slices.Compact(decoded.Parts)
		requests = append(requests, decoded)
	}
	return requests
}

// heldReport is a report as of a time.
type heldReport struct {
	params ReportParams
	at     time.Time
}

// hold keeps a report for hosts that start, and drops the oldest one if there are too many. The mutex must be held.
func (exchanger *Exchanger) hold(now time.Time, params ReportParams) {
	exchanger.reports = append(exchanger.reports, heldReport{params: params, at: now})
	exchanger.reports = slices.Clone(exchanger.reports[max(0, len(exchanger.reports)-maxHeldReports):])
}

// record applies a report, and schedules an analysis. The mutex must be held.
func (exchanger *Exchanger) record(now time.Time, params ReportParams, requests []crash.Request) {
	exchanger.hold(now, params)
	for index, part := range params.Parts {
		exchanger.analyzer.Observe(part, params.Sightings[index].sighting(now))
	}
	exchanger.analyzer.ObserveServer(params.Incarnation, timeOf(now, params.RespondedMS))
	if exchanger.analyzer.Full() {
		// Connections that servers close for other reasons must not displace crashes.
		exchanger.observeServers(exchanger.analyzer.Incarnations())
	}
	recordCrash := exchanger.analyzer.Record
	if params.Inferred {
		recordCrash = exchanger.analyzer.RecordInferred
	}
	recordCrash(now, timeOf(now, max(0, params.AgeMS)), params.Server, params.Incarnation, requests)
	if !exchanger.analysisDue {
		exchanger.analysisDue = true
		exchanger.spawn(exchanger.analysisWait, exchanger.analyse)
	}
}

// analyse finds out whether the reports give reason to suspend requests, or for a verdict. Its cost grows with the evidence, while many
// hosts report when many servers crash: one analysis covers all reports that arrive in the meantime.
func (exchanger *Exchanger) analyse() {
	exchanger.mutex.Lock()
	defer exchanger.mutex.Unlock()
	now := exchanger.clock()
	exchanger.analysisDue = false
	exchanger.metrics.Counter("crash_analyses").Inc(1)
	exchanger.suspend(now)
	if suspects, _ := exchanger.analyzer.Suspects(now, exchanger.list.All(now)); len(suspects) > 0 {
		exchanger.scheduleCheck(now)
	}
	exchanger.analysisWait = min(max(analysisFactor*exchanger.clock().Sub(now), minAnalysisWait), maxAnalysisWait)
}
