// Package burn computes how fast the error budgets of service-level objectives are used up.
//
// Each start of a host counts good and bad events in pages of one hour. A page is rewritten whole while its hour
// lasts, so merging the pages of all hosts counts no event twice.
package burn

import (
	"sort"
	"time"

	"lentilproxy"
	"lentilproxy/core/setup"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// PageSpan is the time that one page covers.
	PageSpan = time.Hour
	// SlotSpan is the time that one count of a page covers.
	SlotSpan = 5 * time.Minute
	// SlotsPerPage is the number of counts in a page.
	SlotsPerPage = int(PageSpan / SlotSpan)
	// minLatency and maxLatency bound what histograms tell apart, in microseconds.
	minLatency       = 1
	maxLatency       = 600_000_000
	latencyPrecision = 2
)

// Windows are the times over which the burn rate is computed.
var Windows = []time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour, 3 * 24 * time.Hour}

// Indicators name what an objective can be about.
const (
	IndicatorAvailability = "availability"
	IndicatorFirstToken   = "first_token"
	IndicatorTokenGap     = "token_gap"
	IndicatorLoadStall    = "load_stall"
)

// Count is a number of good and bad events.
type Count struct {
	Good int64 `json:"good"`
	Bad  int64 `json:"bad"`
}

func (count *Count) add(other Count) {
	count.Good += other.Good
	count.Bad += other.Bad
}

// Page holds the counts of one start of one host in one hour.
type Page struct {
	Host string `json:"host"`
	// Run identifies the start of the host.
	Run string `json:"run"`
	// Hour is the number of hours since 1970.
	Hour int64 `json:"hour"`
	// Counts are by the objective's name.
	Counts map[string][]Count `json:"counts"`
	// Latencies are encoded histograms of microseconds, by the objective's name.
	Latencies map[string][]byte `json:"latencies,omitempty"`
}

// Collector counts the events of one start of a host. It is not safe for concurrent use.
type Collector struct {
	host       string
	run        string
	objectives []setup.Objective
	pages      map[int64]*openPage
}

type openPage struct {
	counts    map[string][]Count
	latencies map[string]*hdrhistogram.Histogram
	dirty     bool
}

// NewCollector returns a collector without events.
func NewCollector(host, run string, objectives []setup.Objective) *Collector {
	return &Collector{host: host, run: run, objectives: objectives, pages: map[int64]*openPage{}}
}

// Record counts a finished request.
func (collector *Collector) Record(now time.Time, sample lentilproxy.Sample) {
	for _, objective := range collector.objectives {
		if objective.Workspace != "" && objective.Workspace != sample.Workspace {
			continue
		}
		collector.record(now, objective, sample)
	}
}

func (collector *Collector) record(now time.Time, objective setup.Objective, sample lentilproxy.Sample) {
	switch objective.Indicator {
	case IndicatorAvailability:
		collector.count(now, objective, sample.Good, 0)
	case IndicatorFirstToken:
		if sample.FirstToken > 0 {
			collector.latency(now, objective, sample.FirstToken)
		}
	case IndicatorTokenGap:
		for _, gap := range sample.Gaps {
			collector.latency(now, objective, gap)
		}
	case IndicatorLoadStall:
		collector.latency(now, objective, sample.Stall)
	}
}

func (collector *Collector) latency(now time.Time, objective setup.Objective, latency time.Duration) {
	collector.count(now, objective, latency <= objective.Threshold, latency)
}

func (collector *Collector) count(now time.Time, objective setup.Objective, good bool, latency time.Duration) {
	page := collector.page(now)
	counts := page.counts[objective.Name]
	if counts == nil {
		counts = make([]Count, SlotsPerPage)
		page.counts[objective.Name] = counts
	}
	slot := int(now.Unix()%int64(PageSpan.Seconds())) / int(SlotSpan.Seconds())
	if good {
		counts[slot].Good++
	} else {
		counts[slot].Bad++
	}
	if objective.Indicator != IndicatorAvailability {
		page.observe(objective.Name, latency)
	}
	page.dirty = true
}

func (page *openPage) observe(name string, latency time.Duration) {
	histogram := page.latencies[name]
	if histogram == nil {
		histogram = hdrhistogram.New(minLatency, maxLatency, latencyPrecision)
		page.latencies[name] = histogram
	}
	// Values out of range are counted at its end.
	_ = histogram.RecordValue(min(max(latency.Microseconds(), minLatency), maxLatency))
}

func hourOf(now time.Time) int64 { return now.Unix() / int64(PageSpan.Seconds()) }

func (collector *Collector) page(now time.Time) *openPage {
	hour := hourOf(now)
	page := collector.pages[hour]
	if page == nil {
		page = &openPage{counts: map[string][]Count{}, latencies: map[string]*hdrhistogram.Histogram{}}
		collector.pages[hour] = page
	}
	return page
}

// Changed returns the pages that have changed since they were last stored.
func (collector *Collector) Changed() ([]Page, error) {
	var pages []Page
	for hour, open := range collector.pages {
		if !open.dirty {
			continue
		}
		page := Page{Host: collector.host, Run: collector.run, Hour: hour, Counts: map[string][]Count{}, Latencies: map[string][]byte{}}
		for name, counts := range open.counts {
			page.Counts[name] = append([]Count(nil), counts...)
		}
		for name, histogram := range open.latencies {
			encoded, err := histogram.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
			if err != nil {
				return nil, err
			}
			page.Latencies[name] = encoded
		}
		pages = append(pages, page)
		open.dirty = false
	}
	return pages, nil
}

// Unstored marks a page as changed, since storing it failed.
func (collector *Collector) Unstored(page Page) {
	if open := collector.pages[page.Hour]; open != nil {
		open.dirty = true
	}
}

// Forget drops stored pages of earlier hours.
func (collector *Collector) Forget(now time.Time) {
	for hour, open := range collector.pages {
		if !open.dirty && hour < hourOf(now) {
			delete(collector.pages, hour)
		}
	}
}

// Row is the report on one objective.
type Row struct {
	Objective string  `json:"objective"`
	Workspace string  `json:"workspace,omitempty"`
	Indicator string  `json:"indicator"`
	Target    float64 `json:"target"`
	Total     Count   `json:"total"`
	// Burn is the rate at which the budget was used in each window; 1 uses it up exactly by the end of the period.
	Burn []float64 `json:"burn"`
	// BudgetLeft is the unused fraction of the error budget of the period; it is negative once it is overspent.
	BudgetLeft float64 `json:"budget_left"`
	// ExhaustedAt is when the budget ends at the rate of the 6 h window, if it does within the period.
	ExhaustedAt *time.Time `json:"exhausted_at,omitempty"`
	// P95Seconds is the latency that 95 in 100 events did not exceed, or 0.
	P95Seconds float64 `json:"p95_seconds,omitempty"`
	// Hourly are the counts of the last 72 hours, oldest first.
	Hourly []Count `json:"hourly"`
}

// Report tells how fast error budgets are used up.
type Report struct {
	At      time.Time       `json:"at"`
	Windows []time.Duration `json:"windows"`
	Hosts   []string        `json:"hosts"`
	Rows    []Row           `json:"rows"`
}

// hoursShown is the number of hours in a row's plot.
const hoursShown = 72

// NewReport merges the pages of all hosts.
func NewReport(now time.Time, objectives []setup.Objective, pages []Page) (Report, error) {
	report := Report{At: now, Windows: Windows}
	hosts := map[string]bool{}
	for _, page := range pages {
		if !hosts[page.Host] {
			hosts[page.Host] = true
			report.Hosts = append(report.Hosts, page.Host)
		}
	}
	sort.Strings(report.Hosts)
	for _, objective := range objectives {
		row, err := newRow(now, objective, pages)
		if err != nil {
			return Report{}, err
		}
		report.Rows = append(report.Rows, row)
	}
	return report, nil
}

func newRow(now time.Time, objective setup.Objective, pages []Page) (Row, error) {
	row := Row{
		Objective: objective.Name, Workspace: objective.Workspace, Indicator: objective.Indicator, Target: objective.Target,
		Burn: make([]float64, len(Windows)), Hourly: make([]Count, hoursShown),
	}
	windows := make([]Count, len(Windows))
	merged := hdrhistogram.New(minLatency, maxLatency, latencyPrecision)
	for _, page := range pages {
		for slot, count := range page.Counts[objective.Name] {
			at := time.Unix(page.Hour*int64(PageSpan.Seconds()), 0).Add(time.Duration(slot) * SlotSpan)
			row.addSlot(now, objective, at, count, windows)
		}
		if encoded, found := page.Latencies[objective.Name]; found {
			histogram, err := hdrhistogram.Decode(encoded)
			if err != nil {
				return row, err
			}
			merged.Merge(histogram)
		}
	}
	for index := range Windows {
		row.Burn[index] = burnRate(windows[index], objective.Target)
	}
	if merged.TotalCount() > 0 {
		row.P95Seconds = float64(merged.ValueAtQuantile(95)) / 1e6
	}
	row.budget(now, objective)
	return row, nil
}

// addSlot adds the count of a slot to the period, the windows and the plot that it lies in. A slot lies in a window
// if a part of it does.
func (row *Row) addSlot(now time.Time, objective setup.Objective, at time.Time, count Count, windows []Count) {
	age := now.Sub(at.Add(SlotSpan))
	if age >= objective.Period {
		return
	}
	row.Total.add(count)
	for index, window := range Windows {
		if age < window {
			windows[index].add(count)
		}
	}
	hour := hourOf(now) - hourOf(at)
	if hour >= 0 && hour < hoursShown {
		row.Hourly[hoursShown-1-hour].add(count)
	}
}

// burnRate returns how many times faster than allowed the budget was used.
func burnRate(count Count, target float64) float64 {
	total := count.Good + count.Bad
	if total == 0 {
		return 0
	}
	return float64(count.Bad) / float64(total) / (1 - target)
}

// budget sets what is left, and when it ends at the rate of the 6 h window.
func (row *Row) budget(now time.Time, objective setup.Objective) {
	row.BudgetLeft = 1 - burnRate(row.Total, objective.Target)
	rate := row.Burn[2]
	if row.BudgetLeft <= 0 || rate <= 0 {
		return
	}
	left := time.Duration(row.BudgetLeft / rate * float64(objective.Period))
	if left < objective.Period {
		at := now.Add(left)
		row.ExhaustedAt = &at
	}
}
