package burn

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"lentilproxy"
	"lentilproxy/core/setup"
)

var (
	epoch      = time.Unix(1_700_006_400, 0)
	objectives = []setup.Objective{
		{Name: "available", Indicator: IndicatorAvailability, Target: 0.9, Period: 30 * 24 * time.Hour},
		{Name: "first", Workspace: "shop", Indicator: IndicatorFirstToken, Target: 0.95, Threshold: time.Second, Period: 30 * 24 * time.Hour},
	}
)

// The report over hosts that restart and prune equals a direct count over all requests, however often buckets are
// stored. Guards against counting events twice or losing them.
func TestReportEqualsDirectCount(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		stored := map[string]Bucket{}
		store := func(collector *Collector) {
			buckets, err := collector.TakeDirty()
			if err != nil {
				t.Fatal(err)
			}
			for _, bucket := range buckets {
				stored[fmt.Sprint(bucket.Hour, bucket.Host, bucket.RunID)] = bucket
			}
		}
		runs := 0
		start := func(host int) *Collector {
			runs++
			return NewCollector(fmt.Sprint("host-", host), fmt.Sprint(runs), objectives)
		}
		hosts := []*Collector{start(0), start(1), start(2)}
		type seen struct {
			at     time.Time
			sample lentilproxy.Sample
		}
		var all []seen
		now := epoch
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1200).Draw(t, "wait")) * time.Second)
			number := rapid.IntRange(0, 2).Draw(t, "host")
			switch rapid.IntRange(0, 5).Draw(t, "action") {
			case 0:
				store(hosts[number])
				hosts[number] = start(number)
			case 1:
				store(hosts[number])
				hosts[number].Prune(now)
			default:
				sample := lentilproxy.Sample{
					Workspace: rapid.SampledFrom([]string{"shop", "stall"}).Draw(t, "workspace"), Good: rapid.Bool().Draw(t, "good"),
					FirstToken: time.Duration(rapid.IntRange(1, 2000).Draw(t, "first")) * time.Millisecond,
				}
				hosts[number].Record(now, sample)
				all = append(all, seen{now, sample})
			}
		}
		var buckets []Bucket
		for _, host := range hosts {
			store(host)
		}
		for _, bucket := range stored {
			buckets = append(buckets, bucket)
		}
		report, err := NewReport(now, objectives, buckets)
		if err != nil {
			t.Fatal(err)
		}
		var available, first, recent Count
		slot := func(at time.Time) int64 { return at.Unix() / int64(SlotDuration.Seconds()) }
		for _, entry := range all {
			tally(&available, entry.sample.Good)
			if entry.sample.Workspace == "shop" {
				tally(&first, entry.sample.FirstToken <= time.Second)
			}
			if slot(now)-slot(entry.at) <= int64(time.Hour/SlotDuration) && now.Sub(time.Unix((slot(entry.at)+1)*int64(SlotDuration.Seconds()), 0)) < time.Hour {
				tally(&recent, entry.sample.Good)
			}
		}
		if report.Rows[0].Total != available || report.Rows[1].Total != first {
			t.Fatalf("report counts %+v and %+v, want %+v and %+v", report.Rows[0].Total, report.Rows[1].Total, available, first)
		}
		if burn := burnRate(recent, 0.9); math.Abs(report.Rows[0].Burn[1]-burn) > 1e-9 {
			t.Fatalf("burn rate of the 1 h window is %f, want %f", report.Rows[0].Burn[1], burn)
		}
	})
}

func tally(count *Count, good bool) {
	if good {
		count.Good++
	} else {
		count.Bad++
	}
}

func TestBudget(t *testing.T) {
	is := is.New(t)
	collector := NewCollector("a", "1", objectives[:1])
	for number := range 100 {
		collector.Record(epoch, lentilproxy.Sample{Good: number >= 20})
	}
	buckets, err := collector.TakeDirty()
	is.NoErr(err)
	report, err := NewReport(epoch.Add(time.Minute), objectives[:1], buckets)
	is.NoErr(err)
	row := report.Rows[0]
	is.True(math.Abs(row.Burn[0]-2) < 1e-9) // twice as many bad events as allowed
	is.True(math.Abs(row.BudgetLeft+1) < 1e-9)
	is.Equal(row.ExhaustedAt, nil)
	buckets, err = collector.TakeDirty()
	is.NoErr(err)
	is.Equal(len(buckets), 0) // nothing changed since
}
