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
	maxMeasured    = int64(10 * time.Minute / time.Microsecond)
)

// tenantReport tells how one workspace fared.
type tenantReport struct {
	Workspace string  `json:"workspace"`
	Sent      int     `json:"sent"`
	Whole     int     `json:"whole"`
	FirstP95  float64 `json:"first_token_p95_ms"`
	WaitP95   float64 `json:"wait_p95_ms"`
	// Refused are the refusals by code.
	Refused map[string]int `json:"refused,omitempty"`
	// Wrongful are the refusals for the rate that one central bucket would not have made. A workspace that sends
	// more than its rate has other requests refused than by one bucket, so Given compares what it got.
	Wrongful int `json:"wrongful"`
	// Given is what the workspace got through its limit, divided by what one central bucket would have given.
	Given float64 `json:"given"`
	// OverRate is set for a workspace that sends more than its rate.
	OverRate bool `json:"over_rate,omitempty"`
}

// second holds the counts of one second of the run.
type second struct {
	Requests int `json:"requests"`
	Stalled  int `json:"stalled"`
	Refused  int `json:"refused"`
}

// loadReport is the report on one run.
type loadReport struct {
	Name     string  `json:"name"`
	Policy   string  `json:"policy"`
	Seed     int64   `json:"seed"`
	Requests int     `json:"requests"`
	Whole    int     `json:"whole"`
	Stalled  int     `json:"stalled"`
	StallP50 float64 `json:"stall_p50_ms"`
	StallP95 float64 `json:"stall_p95_ms"`
	StallMax float64 `json:"stall_max_ms"`
	// BatchSize is the mean number of requests in a decoding step.
	BatchSize float64 `json:"batch_size"`
	// WorstWait is the worst workspace's p95 wait divided by the median workspace's, among those within their rates.
	WorstWait      float64        `json:"worst_wait_ratio"`
	Wrongful       int            `json:"wrongful_refusals"`
	LoadsPerSecond float64        `json:"loads_per_second"`
	LoadsOverLimit int64          `json:"loads_over_limit"`
	Tenants        []tenantReport `json:"tenants"`
	Seconds        []second       `json:"seconds"`
}

func newLoadReport(run *loadRun, before, after readings) loadReport {
	plan := run.plan
	report := loadReport{
		Name: plan.experiment.Name, Policy: plan.shape.Policy, Seed: run.seed,
		Seconds:        make([]second, int(plan.experiment.Length.Seconds())+1),
		LoadsPerSecond: float64(after.loads-before.loads) / time.Since(run.started).Seconds(),
		LoadsOverLimit: after.overLimit - before.overLimit,
	}
	if steps := after.steps - before.steps; steps > 0 {
		report.BatchSize = float64(after.tokens-before.tokens) / steps
	}
	stalls := hdrhistogram.New(1, maxMeasured, 3)
	tenants := map[string]*tenantCount{}
	for _, tenant := range plan.tenants {
		tenants[tenant.name] = newTenantCount(tenant)
	}
	for _, outcome := range run.results {
		report.timeline(outcome)
		if outcome.arrival.at < plan.experiment.WarmUp {
			continue
		}
		report.count(outcome, stalls)
		tenants[outcome.arrival.workspace].count(outcome)
	}
	report.StallP50, report.StallP95 = milliseconds(stalls, 50), milliseconds(stalls, 95)
	report.StallMax = float64(stalls.Max()) / 1000
	for _, tenant := range plan.tenants {
		report.Tenants = append(report.Tenants, tenants[tenant.name].report())
		report.Wrongful += tenants[tenant.name].wrongful
	}
	report.WorstWait = worstWait(report.Tenants)
	return report
}

func milliseconds(histogram *hdrhistogram.Histogram, quantile float64) float64 {
	return float64(histogram.ValueAtQuantile(quantile)) / 1000
}

func (report *loadReport) timeline(outcome result) {
	second := &report.Seconds[int(outcome.arrival.at.Seconds())]
	second.Requests++
	if outcome.load >= stallThreshold {
		second.Stalled++
	}
	if outcome.status != 200 {
		second.Refused++
	}
}

func (report *loadReport) count(outcome result, stalls *hdrhistogram.Histogram) {
	report.Requests++
	if outcome.status == 200 {
		report.Whole++
	}
	if outcome.load >= stallThreshold {
		report.Stalled++
		_ = stalls.RecordValue(outcome.load.Microseconds())
	}
}

// tenantCount adds up the results of one workspace.
type tenantCount struct {
	tenant   tenant
	counted  tenantReport
	first    *hdrhistogram.Histogram
	wait     *hdrhistogram.Histogram
	wrongful int
	granted  float64
	central  float64
}

func newTenantCount(tenant tenant) *tenantCount {
	return &tenantCount{
		tenant: tenant, counted: tenantReport{Workspace: tenant.name, Refused: map[string]int{}, OverRate: tenant.Factor > 1},
		first: hdrhistogram.New(1, maxMeasured, 3), wait: hdrhistogram.New(1, maxMeasured, 3),
	}
}

func (count *tenantCount) count(outcome result) {
	count.counted.Sent++
	if outcome.central {
		count.central += cost(outcome.arrival)
	}
	if outcome.code != "over_rate" {
		count.granted += cost(outcome.arrival)
	}
	if outcome.status == 200 {
		count.counted.Whole++
		_ = count.first.RecordValue(outcome.first.Microseconds())
	} else {
		count.counted.Refused[outcome.code]++
	}
	if outcome.code == "over_rate" {
		if outcome.central && !count.counted.OverRate {
			count.wrongful++
		}
		return
	}
	if !outcome.arrival.batch {
		_ = count.wait.RecordValue(outcome.load.Microseconds())
	}
}

func (count *tenantCount) report() tenantReport {
	report := count.counted
	report.FirstP95, report.WaitP95 = milliseconds(count.first, 95), milliseconds(count.wait, 95)
	report.Wrongful = count.wrongful
	report.Given = count.granted / max(1, count.central)
	return report
}

// worstWait compares the workspaces that stay within their rates.
func worstWait(tenants []tenantReport) float64 {
	var waits []float64
	for _, tenant := range tenants {
		if !tenant.OverRate {
			waits = append(waits, tenant.WaitP95)
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
	fmt.Fprintf(&text, "  requests %d, whole %d\n", report.Requests, report.Whole)
	fmt.Fprintf(&text, "  stalled %d (%.1f%%), p50 %.0f ms, p95 %.0f ms, worst %.0f ms\n", report.Stalled,
		100*float64(report.Stalled)/float64(max(1, report.Requests)), report.StallP50, report.StallP95, report.StallMax)
	fmt.Fprintf(&text, "  mean batch %.2f, worst workspace's p95 wait %.2f times the median's, wrongful refusals %d\n",
		report.BatchSize, report.WorstWait, report.Wrongful)
	fmt.Fprintf(&text, "  loads %.2f a second, %d over the store's limit\n", report.LoadsPerSecond, report.LoadsOverLimit)
	for _, tenant := range report.Tenants {
		fmt.Fprintf(&text, "  %-10s sent %5d whole %5d first token p95 %6.0f ms, wait p95 %6.0f ms, given %.3f, refused %v\n",
			tenant.Workspace, tenant.Sent, tenant.Whole, tenant.FirstP95, tenant.WaitP95, tenant.Given, tenant.Refused)
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

// column is one second of a plot.
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

// columns plots the requests of each second, and the stalled ones in front of them.
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
<tr><td>{{.Requests}}</td><td>{{.Whole}}</td><td>{{.Stalled}}</td><td>{{printf "%.0f" .StallP50}}</td><td>{{printf "%.0f" .StallP95}}</td>
<td>{{printf "%.0f" .StallMax}}</td><td>{{printf "%.2f" .BatchSize}}</td><td>{{printf "%.2f" .WorstWait}}</td><td>{{.Wrongful}}</td>
<td>{{printf "%.2f" .LoadsPerSecond}}</td><td>{{.LoadsOverLimit}}</td></tr></table>
<p>Requests of each second (grey), and the stalled ones among them (red):</p>
<svg width="{{width .Seconds}}" height="80">{{range columns .Seconds}}<rect x="{{.X}}" y="{{printf "%.1f" .Y}}" width="5"
height="{{printf "%.1f" .Height}}" fill="{{if .Stalled}}#b00020{{else}}#bbb{{end}}"/>{{end}}</svg>
<table><tr><th>Workspace</th><th>Sent</th><th>Whole</th><th>First token p95 ms</th><th>Wait p95 ms</th><th>Wrongful</th><th>Given</th><th>Refused</th></tr>
{{range .Tenants}}<tr><td>{{.Workspace}}</td><td>{{.Sent}}</td><td>{{.Whole}}</td><td>{{printf "%.0f" .FirstP95}}</td>
<td>{{printf "%.0f" .WaitP95}}</td><td>{{.Wrongful}}</td><td>{{printf "%.3f" .Given}}</td><td>{{range $code, $count := .Refused}}{{$code}} {{$count}} {{end}}</td></tr>{{end}}</table>
{{end}}</body></html>
`))
