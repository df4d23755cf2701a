package shell

import (
	"fmt"
	"html/template"
	"net/http"
	"os"
	"time"

	"lentilproxy/core/burn"
)

// Execute implements flags.Commander.
func (command *burnCommand) Execute([]string) error {
	var report burn.Report
	if err := command.globals.call(http.MethodGet, "/v1/burn", nil, &report); err != nil {
		return err
	}
	if command.HTML != "" {
		return command.writeHTML(report)
	}
	if command.globals.json() {
		return command.globals.printJSON(report)
	}
	title := "OBJECTIVE\tWORKSPACE\tINDICATOR\tTARGET\tGOOD\tBAD"
	for _, window := range report.Windows {
		title += fmt.Sprintf("\tBURN %s", shortDuration(window))
	}
	title += "\tBUDGET LEFT\tEXHAUSTED\tP95"
	var rows []string
	for _, entry := range report.Rows {
		rows = append(rows, burnRow(entry))
	}
	command.globals.printf("service-level burn at %s, from %d hosts\n\n", report.At.Format(time.RFC3339), len(report.Hosts))
	return command.globals.table(title, rows)
}

func shortDuration(duration time.Duration) string {
	switch {
	case duration >= 24*time.Hour:
		return fmt.Sprintf("%dd", duration/(24*time.Hour))
	case duration >= time.Hour:
		return fmt.Sprintf("%dh", duration/time.Hour)
	default:
		return fmt.Sprintf("%dm", duration/time.Minute)
	}
}

func burnRow(entry burn.Row) string {
	columns := []any{entry.Objective, orNone(entry.Workspace), entry.Indicator, entry.Target, entry.Total.Good, entry.Total.Bad}
	for _, rate := range entry.Burn {
		columns = append(columns, fmt.Sprintf("%.2f", rate))
	}
	columns = append(columns, fmt.Sprintf("%.1f%%", 100*entry.BudgetLeft), exhausted(entry), p95(entry))
	return row(columns...)
}

func exhausted(entry burn.Row) string {
	if entry.ExhaustedAt == nil {
		return "-"
	}
	return entry.ExhaustedAt.Format("2006-01-02 15:04")
}

func p95(entry burn.Row) string {
	if entry.P95Seconds == 0 {
		return "-"
	}
	return fmt.Sprintf("%.3fs", entry.P95Seconds)
}

func (command *burnCommand) writeHTML(report burn.Report) error {
	file, err := os.Create(command.HTML)
	if err != nil {
		return fail(ExitUsage, "%v", err)
	}
	if err = burnTemplate.Execute(file, report); err != nil {
		_ = file.Close()
		return fail(ExitFailed, "%v", err)
	}
	return file.Close()
}

// bar is one bar of a chart.
type bar struct {
	X      int
	Y      float64
	Height float64
}

const (
	barWidth   = 8
	plotHeight = 60.0
)

// bars returns one bar for the share of bad events in each hour.
func bars(hourly []burn.Count) []bar {
	var shown []bar
	for index, count := range hourly {
		total := count.Good + count.Bad
		if total == 0 {
			continue
		}
		height := max(1, plotHeight*float64(count.Bad)/float64(total))
		shown = append(shown, bar{X: index * barWidth, Y: plotHeight - height, Height: height})
	}
	return shown
}

var burnTemplate = template.Must(template.New("burn").Funcs(template.FuncMap{
	"short": shortDuration, "exhausted": exhausted, "p95": p95, "bars": bars,
	"percent": func(part float64) string { return fmt.Sprintf("%.1f%%", 100*part) },
	"rate":    func(rate float64) string { return fmt.Sprintf("%.2f", rate) },
}).Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>Service-level burn</title>
<style>
body { font: 15px sans-serif; margin: 2em; color: #222 }
table { border-collapse: collapse }
th, td { padding: .4em .8em; text-align: right; border-bottom: 1px solid #ccc }
th:first-child, td:first-child { text-align: left }
.over { color: #b00020; font-weight: bold }
svg { background: #f4f4f4 }
</style></head><body>
<h1>Service-level burn</h1>
<p>{{.At.Format "2006-01-02 15:04:05 MST"}}, merged from {{len .Hosts}} hosts. A burn rate of 1 uses the error budget
up exactly by the end of its period.</p>
<table><tr><th>Objective</th><th>Workspace</th><th>Indicator</th><th>Target</th><th>Good</th><th>Bad</th>
{{range .Windows}}<th>Burn {{short .}}</th>{{end}}<th>Budget left</th><th>Exhausted</th><th>p95</th></tr>
{{range .Rows}}<tr><td>{{.Objective}}</td><td>{{.Workspace}}</td><td>{{.Indicator}}</td><td>{{percent .Target}}</td>
<td>{{.Total.Good}}</td><td>{{.Total.Bad}}</td>
{{range .Burn}}<td{{if gt . 1.0}} class="over"{{end}}>{{rate .}}</td>{{end}}
<td{{if lt .BudgetLeft 0.0}} class="over"{{end}}>{{percent .BudgetLeft}}</td><td>{{exhausted .}}</td><td>{{p95 .}}</td></tr>
{{end}}</table>
{{range .Rows}}<h2>{{.Objective}}: share of bad events by hour, last 72 hours</h2>
<svg width="576" height="60" role="img" aria-label="bad events of {{.Objective}}">
{{range bars .Hourly}}<rect x="{{.X}}" y="{{.Y}}" width="6" height="{{.Height}}" fill="#b00020"/>{{end}}</svg>
{{end}}</body></html>
`))
