package bench

import (
	"fmt"
	"html/template"
	"os"
	"sort"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// stallThreshold is the shortest wait for an adapter that counts as a stall.
	stallThreshold = 20 * time.Millisecond
	// maxMeasured is the longest duration that the histograms record, in microseconds.
	maxMeasured = int64(10 * time.Minute / time.Microsecond)
)

// workspaceReport is the report on one workspace.
type workspaceReport struct {
	Workspace     string  `json:"workspace"`
	Sent          int     `json:"sent"`
	Completed     int     `json:"whole"`
	FirstTokenP95 float64 `json:"first_token_p95_ms"`
	WaitP95       float64 `json:"wait_p95_ms"`
	// Refused counts the requests without a complete response, by error code.
	Refused map[string]int `json:"refused,omitempty"`
	// WrongfulRefusals counts the requests that were refused for the rate although one central bucket would grant them.
	// It stays 0 for a workspace that sends more than its rate: the daemons and a central bucket refuse different
	// requests of such a workspace, so only GrantedRatio is comparable.
	WrongfulRefusals int `json:"wrongful"`
	// GrantedRatio is the number of tokens that the daemons granted, divided by those that one central bucket grants.
	GrantedRatio float64 `json:"given"`
	// OverRate reports whether the workspace sends more than its rate.
	OverRate bool `json:"over_rate,omitempty"`
}

// second holds the counts of one second of the run. Refused counts all requests without a complete response.
type second struct {
	Requests int `json:"requests"`
	Stalled  int `json:"stalled"`
	Refused  int `json:"refused"`
}

// loadReport is the report on one run.
type loadReport struct {
	Name      string  `json:"name"`
	Policy    string  `json:"policy"`
	Seed      int64   `json:"seed"`
	Requests  int     `json:"requests"`
	Completed int     `json:"whole"`
	Stalled   int     `json:"stalled"`
	StallP50  float64 `json:"stall_p50_ms"`
	StallP95  float64 `json:"stall_p95_ms"`
	StallMax  float64 `json:"stall_max_ms"`
	// BatchSize is the mean number of requests in a decoding step.
	BatchSize float64 `json:"batch_size"`
	// WorstWaitRatio is the longest p95 wait of a workspace divided by the median of all workspaces. Workspaces that
	// exceed their rate are left out.
	WorstWaitRatio   float64           `json:"worst_wait_ratio"`
	WrongfulRefusals int               `json:"wrongful_refusals"`
	LoadsPerSecond   float64           `json:"loads_per_second"`
	LoadsOverLimit   int64             `json:"loads_over_limit"`
	Workspaces       []workspaceReport `json:"tenants"`
	Seconds          []second          `json:"seconds"`
}

func newLoadReport(run *loadRun, before, after counters) loadReport {
	plan := run.plan
	report := loadReport{
		Name: plan.experiment.Name, Policy: plan.fleet.Policy, Seed: run.seed,
		Seconds:        make([]second, int(plan.experiment.Length.Seconds())+1),
		LoadsPerSecond: float64(after.loads-before.loads) / time.Since(run.started).Seconds(),
		LoadsOverLimit: after.overLimit - before.overLimit,
	}
	if steps := after.steps - before.steps; steps > 0 {
		report.BatchSize = float64(after.tokens-before.tokens) / steps
	}
	stalls := hdrhistogram.New(1, maxMeasured, 3)
	workspaces := map[string]*workspaceCounter{}
	for _, workspace := range plan.workspaces {
		workspaces[workspace.name] = newWorkspaceCounter(workspace)
	}
	for _, outcome := range run.outcomes {
		report.addToTimeline(outcome)
		if outcome.arrival.at < plan.experiment.WarmUp {
			continue
		}
		report.add(outcome, stalls)
		workspaces[outcome.arrival.workspace].add(outcome)
	}
	report.StallP50, report.StallP95 = milliseconds(stalls, 50), milliseconds(stalls, 95)
	report.StallMax = float64(stalls.Max()) / 1000
	for _, workspace := range plan.workspaces {
		report.Workspaces = append(report.Workspaces, workspaces[workspace.name].finish())
		report.WrongfulRefusals += workspaces[workspace.name].wrongfulRefusals
	}
	report.WorstWaitRatio = worstWaitRatio(report.Workspaces)
	return report
}

func milliseconds(histogram *hdrhistogram.Histogram, quantile float64) float64 {
	return float64(histogram.ValueAtQuantile(quantile)) / 1000
}

func (report *loadReport) addToTimeline(outcome outcome) {
	second := &report.Seconds[int(outcome.arrival.at.Seconds())]
	second.Requests++
	if outcome.adapterWait >= stallThreshold {
		second.Stalled++
	}
	if outcome.status != 200 {
		second.Refused++
	}
}

func (report *loadReport) add(outcome outcome, stalls *hdrhistogram.Histogram) {
	report.Requests++
	if outcome.status == 200 {
		report.Completed++
	}
	if outcome.adapterWait >= stallThreshold {
		report.Stalled++
		_ = stalls.RecordValue(outcome.adapterWait.Microseconds())
	}
}

// workspaceCounter adds up the outcomes of one workspace.
type workspaceCounter struct {
	workspace        workspace
	report           workspaceReport
	firstTokens      *hdrhistogram.Histogram
	waits            *hdrhistogram.Histogram
	wrongfulRefusals int
	grantedTokens    float64
	centralTokens    float64
}

func newWorkspaceCounter(workspace workspace) *workspaceCounter {
	return &workspaceCounter{
		workspace: workspace, report: workspaceReport{Workspace: workspace.name, Refused: map[string]int{}, OverRate: workspace.Factor > 1},
		firstTokens: hdrhistogram.New(1, maxMeasured, 3), waits: hdrhistogram.New(1, maxMeasured, 3),
	}
}

func (workspaceCounter *workspaceCounter) add(outcome outcome) {
	workspaceCounter.report.Sent++
	if outcome.centralGranted {
		workspaceCounter.centralTokens += cost(outcome.arrival)
	}
	if outcome.code != "over_rate" {
		workspaceCounter.grantedTokens += cost(outcome.arrival)
	}
	if outcome.status == 200 {
		workspaceCounter.report.Completed++
		_ = workspaceCounter.firstTokens.RecordValue(outcome.firstToken.Microseconds())
	} else {
		workspaceCounter.report.Refused[outcome.code]++
	}
	if outcome.code == "over_rate" {
		if outcome.centralGranted && !workspaceCounter.report.OverRate {
			workspaceCounter.wrongfulRefusals++
		}
		return
	}
	if !outcome.arrival.batch {
		_ = workspaceCounter.waits.RecordValue(outcome.adapterWait.Microseconds())
	}
}

// finish returns the report on the workspace.
func (workspaceCounter *workspaceCounter) finish() workspaceReport {
	report := workspaceCounter.report
	report.FirstTokenP95, report.WaitP95 = milliseconds(workspaceCounter.firstTokens, 95), milliseconds(workspaceCounter.waits, 95)
	report.WrongfulRefusals = workspaceCounter.wrongfulRefusals
	report.GrantedRatio = workspaceCounter.grantedTokens / max(1, workspaceCounter.centralTokens)
	return report
}

// worstWaitRatio divides the longest p95 wait of the workspaces that stay within their rate by the median. It returns
// 0 if there is none or the median is 0.
func worstWaitRatio(workspaces []workspaceReport) float64 {
	var waits []float64
	for _, workspace := range workspaces {
		if !workspace.OverRate {
			waits = append(waits, workspace.WaitP95)
		}
	}
	if len(waits) == 0 {
		return 0
	}
	sort.Float64s(waits)
	median := waits[len(waits)/2]
	if median == 0 {
		return 0
	}
	return waits[len(waits)-1] / median
}

func (report loadReport) text() string {
	text := strings.Builder{}
	fmt.Fprintf(&text, "%s, policy %s, seed %d\n", report.Name, report.Policy, report.Seed)
	fmt.Fprintf(&text, "  requests %d, whole %d\n", report.Requests, report.Completed)
	fmt.Fprintf(&text, "  stalled %d (%.1f%%), p50 %.0f ms, p95 %.0f ms, worst %.0f ms\n", report.Stalled,
		100*float64(report.Stalled)/float64(max(1, report.Requests)), report.StallP50, report.StallP95, report.StallMax)
	fmt.Fprintf(&text, "  mean batch %.2f, worst workspace's p95 wait %.2f times the median's, wrongful refusals %d\n",
		report.BatchSize, report.WorstWaitRatio, report.WrongfulRefusals)
	fmt.Fprintf(&text, "  loads %.2f a second, %d over the store's limit\n", report.LoadsPerSecond, report.LoadsOverLimit)
	for _, workspace := range report.Workspaces {
		fmt.Fprintf(&text, "  %-10s sent %5d whole %5d first token p95 %6.0f ms, wait p95 %6.0f ms, given %.3f, refused %v\n",
			workspace.Workspace, workspace.Sent, workspace.Completed, workspace.FirstTokenP95, workspace.WaitP95, workspace.GrantedRatio, workspace.Refused)
	}
	return text.String()
}

func writeLoadPage(path string, reports []loadReport) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	if err = loadPage.Execute(file, reports); err != nil {
		_ = file.Close()
		return err
	}
	return file.Close()
}

// column is a column of a plot, in pixels.
type column struct {
	X       int
	Y       float64
	Height  float64
	Stalled bool
}

const (
	columnWidth  = 6
	columnHeight = 80.0
)

// columns returns two columns for each second: all requests, and the stalled ones drawn over them.
func columns(seconds []second) []column {
	top := 1
	for _, second := range seconds {
		top = max(top, second.Requests)
	}
	var plotted []column
	for index, second := range seconds {
		for _, part := range []struct {
			count   int
			stalled bool
		}{{second.Requests, false}, {second.Stalled, true}} {
			height := columnHeight * float64(part.count) / float64(top)
			plotted = append(plotted, column{X: index * columnWidth, Y: columnHeight - height, Height: height, Stalled: part.stalled})
		}
	}
	return plotted
}

var loadPage = template.Must(template.New("load").Funcs(template.FuncMap{
	"columns": columns,
	"width":   func(seconds []second) int { return len(seconds) * columnWidth },
}).Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>Load experiment</title>
<style>
body { font: 15px sans-serif; margin: 2em; color: #222 }
table { border-collapse: collapse; margin: 1em 0 }
th, td { padding: .3em .7em; text-align: right; border-bottom: 1px solid #ccc }
td:first-child, th:first-child { text-align: left }
svg { background: #f4f4f4 }
</style></head><body><h1>Load experiment</h1>
{{range .}}<h2>{{.Name}}, policy {{.Policy}}, seed {{.Seed}}</h2>
<table><tr><th>Requests</th><th>Whole</th><th>Stalled</th><th>p50 ms</th><th>p95 ms</th><th>Worst ms</th><th>Mean batch</th>
<th>Worst / median wait</th><th>Wrongful refusals</th><th>Loads / s</th><th>Over the limit</th></tr>
<tr><td>{{.Requests}}</td><td>{{.Completed}}</td><td>{{.Stalled}}</td><td>{{printf "%.0f" .StallP50}}</td><td>{{printf "%.0f" .StallP95}}</td>
<td>{{printf "%.0f" .StallMax}}</td><td>{{printf "%.2f" .BatchSize}}</td><td>{{printf "%.2f" .WorstWaitRatio}}</td><td>{{.WrongfulRefusals}}</td>
<td>{{printf "%.2f" .LoadsPerSecond}}</td><td>{{.LoadsOverLimit}}</td></tr></table>
<p>Requests of each second (grey), and the stalled ones among them (red):</p>
<svg width="{{width .Seconds}}" height="80">{{range columns .Seconds}}<rect x="{{.X}}" y="{{printf "%.1f" .Y}}" width="5"
height="{{printf "%.1f" .Height}}" fill="{{if .Stalled}}#b00020{{else}}#bbb{{end}}"/>{{end}}</svg>
<table><tr><th>Workspace</th><th>Sent</th><th>Whole</th><th>First token p95 ms</th><th>Wait p95 ms</th><th>Wrongful</th><th>Given</th><th>Refused</th></tr>
{{range .Workspaces}}<tr><td>{{.Workspace}}</td><td>{{.Sent}}</td><td>{{.Completed}}</td><td>{{printf "%.0f" .FirstTokenP95}}</td>
<td>{{printf "%.0f" .WaitP95}}</td><td>{{.WrongfulRefusals}}</td><td>{{printf "%.3f" .GrantedRatio}}</td><td>{{range $code, $count := .Refused}}{{$code}} {{$count}} {{end}}</td></tr>{{end}}</table>
{{end}}</body></html>
`))
