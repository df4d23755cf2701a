// Package burn computes the burn rates of the error budgets of service-level objectives.
//
// Each run of a host's process counts good and bad events in buckets of one hour. Each write of a bucket replaces the
// whole bucket, so merging the buckets of all runs counts no event twice.
package burn

import (
	"slices"
	"sort"
	"time"

	"lentilproxy"
	"lentilproxy/core/setup"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// BucketDuration is the time that one bucket covers.
	BucketDuration = time.Hour
	// SlotDuration is the time that one slot of a bucket covers. Each slot has one count per objective.
	SlotDuration = 5 * time.Minute
	// SlotsPerBucket is the number of slots in a bucket.
	SlotsPerBucket = int(BucketDuration / SlotDuration)
	// minLatency and maxLatency are the smallest and largest values that the histograms record, in microseconds.
	minLatency = 1
	maxLatency = 600_000_000
	// latencyPrecision is the number of significant decimal digits that the histograms keep.
	latencyPrecision = 2
)

// Windows lists the periods before the report over which burn rates are computed.
var Windows = []time.Duration{5 * time.Minute, time.Hour, exhaustionWindow, 3 * 24 * time.Hour}

// exhaustionWindow is the window whose burn rate predicts when a budget will be exhausted.
const exhaustionWindow = 6 * time.Hour

// The indicators that an objective can measure.
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

// Bucket holds the counts of one run of a host's process in one hour.
type Bucket struct {
	Host string `json:"host"`
	// RunID identifies the run of the host's process.
	RunID string `json:"run"`
	// Hour is the number of hours since the Unix epoch.
	Hour int64 `json:"hour"`
	// Counts holds the counts of each slot by the objective's name.
	Counts map[string][]Count `json:"counts"`
	// Latencies holds encoded histograms of latencies in microseconds by the objective's name.
	Latencies map[string][]byte `json:"latencies,omitempty"`
}

// Collector counts the events of one run of a host's process. It is not safe for concurrent use.
type Collector struct {
	host       string
	runID      string
	objectives []setup.Objective
	buckets    map[int64]*openBucket
}

type openBucket struct {
	counts    map[string][]Count
	latencies map[string]*hdrhistogram.Histogram
	dirty     bool
}

// NewCollector returns an empty collector.
func NewCollector(host, runID string, objectives []setup.Objective) *Collector {
	return &Collector{host: host, runID: runID, objectives: objectives, buckets: map[int64]*openBucket{}}
}

// Record counts a finished request for every objective that covers its workspace.
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
	bucket := collector.bucket(now)
	counts := bucket.counts[objective.Name]
	if counts == nil {
		counts = make([]Count, SlotsPerBucket)
		bucket.counts[objective.Name] = counts
	}
	slot := int(now.Unix()%int64(BucketDuration.Seconds())) / int(SlotDuration.Seconds())
	if good {
		counts[slot].Good++
	} else {
		counts[slot].Bad++
	}
	if objective.Indicator != IndicatorAvailability {
		bucket.observe(objective.Name, latency)
	}
	bucket.dirty = true
}

func (bucket *openBucket) observe(name string, latency time.Duration) {
	histogram := bucket.latencies[name]
	if histogram == nil {
		histogram = hdrhistogram.New(minLatency, maxLatency, latencyPrecision)
		bucket.latencies[name] = histogram
	}
	// Values outside the range of the histogram are clamped, so RecordValue cannot fail.
	_ = histogram.RecordValue(min(max(latency.Microseconds(), minLatency), maxLatency))
}

func hourOf(now time.Time) int64 { return now.Unix() / int64(BucketDuration.Seconds()) }

func (collector *Collector) bucket(now time.Time) *openBucket {
	hour := hourOf(now)
	bucket := collector.buckets[hour]
	if bucket == nil {
		bucket = &openBucket{counts: map[string][]Count{}, latencies: map[string]*hdrhistogram.Histogram{}}
		collector.buckets[hour] = bucket
	}
	return bucket
}

// TakeDirty returns copies of the buckets that have changed since the last call, and marks them as stored.
func (collector *Collector) TakeDirty() ([]Bucket, error) {
	var buckets []Bucket
	for hour, open := range collector.buckets {
		if !open.dirty {
			continue
		}
		bucket := Bucket{Host: collector.host, RunID: collector.runID, Hour: hour, Counts: map[string][]Count{}, Latencies: map[string][]byte{}}
		for name, counts := range open.counts {
			bucket.Counts[name] = append([]Count(nil), counts...)
		}
		for name, histogram := range open.latencies {
			encoded, err := histogram.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
			if err != nil {
				return nil, err
			}
			bucket.Latencies[name] = encoded
		}
		buckets = append(buckets, bucket)
	}
	// Only now, since a bucket that cannot be encoded must not make the others count as stored.
	for _, bucket := range buckets {
		collector.buckets[bucket.Hour].dirty = false
	}
	return buckets, nil
}

// MarkDirty marks a bucket as changed again after storing it failed.
func (collector *Collector) MarkDirty(bucket Bucket) {
	if open := collector.buckets[bucket.Hour]; open != nil {
		open.dirty = true
	}
}

// Prune removes stored buckets of earlier hours.
func (collector *Collector) Prune(now time.Time) {
	for hour, open := range collector.buckets {
		if !open.dirty && hour < hourOf(now) {
			delete(collector.buckets, hour)
		}
	}
}

// Row is the part of a report about one objective.
type Row struct {
	Objective string  `json:"objective"`
	Workspace string  `json:"workspace,omitempty"`
	Indicator string  `json:"indicator"`
	Target    float64 `json:"target"`
	Total     Count   `json:"total"`
	// Burn is the burn rate in each window. A rate of 1 consumes the error budget exactly by the end of the period.
	Burn []float64 `json:"burn"`
	// BudgetLeft is the unused fraction of the error budget of the period. It is negative if the budget is exceeded.
	BudgetLeft float64 `json:"budget_left"`
	// ExhaustedAt is when the budget will be exhausted at the burn rate of the 6 h window. It is nil if the budget is
	// already exhausted or lasts for another whole period.
	ExhaustedAt *time.Time `json:"exhausted_at,omitempty"`
	// P95Seconds is the 95th percentile of the latency, or 0 if no latency was recorded.
	P95Seconds float64 `json:"p95_seconds,omitempty"`
	// Hourly holds the counts of the last 72 hours, oldest first.
	Hourly []Count `json:"hourly"`
}

// Report contains the burn rates of all objectives.
type Report struct {
	At      time.Time       `json:"at"`
	Windows []time.Duration `json:"windows"`
	Hosts   []string        `json:"hosts"`
	Rows    []Row           `json:"rows"`
}

// plotHours is the number of hours in Row.Hourly, which is plotted.
const plotHours = 72

// NewReport returns the report over the buckets of all hosts.
func NewReport(now time.Time, objectives []setup.Objective, buckets []Bucket) (Report, error) {
	report := Report{At: now, Windows: Windows}
	hosts := map[string]bool{}
	for _, bucket := range buckets {
		if !hosts[bucket.Host] {
			hosts[bucket.Host] = true
			report.Hosts = append(report.Hosts, bucket.Host)
		}
	}
	sort.Strings(report.Hosts)
	for _, objective := range objectives {
		row, err := newRow(now, objective, buckets)
		if err != nil {
			return Report{}, err
		}
		report.Rows = append(report.Rows, row)
	}
	return report, nil
}

func newRow(now time.Time, objective setup.Objective, buckets []Bucket) (Row, error) {
	row := Row{
		Objective: objective.Name, Workspace: objective.Workspace, Indicator: objective.Indicator, Target: objective.Target,
		Burn: make([]float64, len(Windows)), Hourly: make([]Count, plotHours),
	}
	windows := make([]Count, len(Windows))
	merged := hdrhistogram.New(minLatency, maxLatency, latencyPrecision)
	for _, bucket := range buckets {
		for slot, count := range bucket.Counts[objective.Name] {
			at := time.Unix(bucket.Hour*int64(BucketDuration.Seconds()), 0).Add(time.Duration(slot) * SlotDuration)
			row.addSlot(now, objective, at, count, windows)
		}
		if encoded, found := bucket.Latencies[objective.Name]; found {
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
	row.setBudget(now, objective)
	return row, nil
}

// addSlot adds the count of a slot to the total of the period, and to the windows and the hour of the plot that contain
// the slot. A slot that is partly in a window or the period counts in full.
func (row *Row) addSlot(now time.Time, objective setup.Objective, at time.Time, count Count, windows []Count) {
	age := now.Sub(at.Add(SlotDuration))
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
	if hour >= 0 && hour < plotHours {
		row.Hourly[plotHours-1-hour].add(count)
	}
}

// burnRate returns the ratio of the measured error rate to the error rate that the target allows.
func burnRate(count Count, target float64) float64 {
	total := count.Good + count.Bad
	if total == 0 {
		return 0
	}
	return float64(count.Bad) / float64(total) / (1 - target)
}

// setBudget sets the unused part of the budget, and when it will be exhausted at the burn rate of the 6 h window.
func (row *Row) setBudget(now time.Time, objective setup.Objective) {
	row.BudgetLeft = 1 - burnRate(row.Total, objective.Target)
	rate := row.Burn[slices.Index(Windows, exhaustionWindow)]
	if row.BudgetLeft <= 0 || rate <= 0 {
		return
	}
	left := time.Duration(row.BudgetLeft / rate * float64(objective.Period))
	if left < objective.Period {
		at := now.Add(left)
		row.ExhaustedAt = &at
	}
}
