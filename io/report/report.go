// Package report stores the service-level counts of hosts in the table service and computes the burn report.
package report

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"lentilproxy"
	"lentilproxy/core/burn"
	"lentilproxy/core/setup"

	"github.com/google/uuid"
	"github.com/samber/oops"
)

const (
	bucketPrefix = "burn/"
	// flushInterval is the interval at which changed buckets are written.
	flushInterval = 30 * time.Second
	// retention is how long buckets are kept.
	retention    = 31 * 24 * time.Hour
	pageSize     = 500
	tableTimeout = 2 * time.Second
)

// Recorder counts and stores the events of one run of a host's process.
type Recorder struct {
	table      lentilproxy.Table
	objectives []setup.Objective
	mutex      sync.Mutex
	collector  *burn.Collector
	stop       chan struct{}
	done       chan struct{}
}

// New returns the recorder of a host and starts its periodic writes.
func New(table lentilproxy.Table, host string, objectives []setup.Objective) *Recorder {
	recorder := &Recorder{
		table: table, objectives: objectives, collector: burn.NewCollector(host, uuid.NewString(), objectives),
		stop: make(chan struct{}), done: make(chan struct{}),
	}
	go func() {
		defer close(recorder.done)
		ticker := time.NewTicker(flushInterval)
		defer ticker.Stop()
		for {
			select {
			case now := <-ticker.C:
				recorder.Flush(context.Background(), now)
				recorder.deleteExpired(now)
			case <-recorder.stop:
				return
			}
		}
	}()
	return recorder
}

// Done returns a channel that is closed once the recorder has stopped.
func (recorder *Recorder) Done() <-chan struct{} { return recorder.done }

// Close stops the recorder and writes the buckets that have changed.
func (recorder *Recorder) Close(ctx context.Context) {
	close(recorder.stop)
	<-recorder.done
	recorder.Flush(ctx, time.Now())
}

// Record implements lentilproxy.Recorder.
func (recorder *Recorder) Record(now time.Time, sample lentilproxy.Sample) {
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	recorder.collector.Record(now, sample)
}

// Flush writes the buckets that have changed. Buckets that cannot be written stay marked for the next flush.
func (recorder *Recorder) Flush(ctx context.Context, now time.Time) {
	recorder.mutex.Lock()
	buckets, err := recorder.collector.TakeDirty()
	recorder.mutex.Unlock()
	if err != nil {
		return
	}
	for _, bucket := range buckets {
		if recorder.write(ctx, bucket) != nil {
			recorder.mutex.Lock()
			recorder.collector.MarkDirty(bucket)
			recorder.mutex.Unlock()
		}
	}
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	recorder.collector.Prune(now)
}

func bucketKey(bucket burn.Bucket) string {
	return fmt.Sprintf("%s%010d/%s/%s", bucketPrefix, bucket.Hour, bucket.Host, bucket.RunID)
}

func (recorder *Recorder) write(ctx context.Context, bucket burn.Bucket) error {
	value, err := json.Marshal(bucket)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	_, err = recorder.table.Commit(ctx, lentilproxy.Transaction{Writes: []lentilproxy.Write{{Key: bucketKey(bucket), Value: value}}})
	return err
}

// deleteExpired deletes the oldest bucket if it is older than the retention. Several hosts may do so at the same time.
func (recorder *Recorder) deleteExpired(now time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), tableTimeout)
	defer cancel()
	page, err := recorder.table.Read(ctx, lentilproxy.ReadRequest{Prefixes: []string{bucketPrefix}, Limit: 1})
	if err != nil || len(page.Rows) == 0 {
		return
	}
	hour, _, _ := strings.Cut(strings.TrimPrefix(page.Rows[0].Key, bucketPrefix), "/")
	number, err := strconv.ParseInt(hour, 10, 64)
	if err != nil || now.Sub(time.Unix(number*int64(burn.BucketDuration.Seconds()), 0)) < retention {
		return
	}
	_, _ = recorder.table.Commit(ctx, lentilproxy.Transaction{
		Conditions: []lentilproxy.Condition{{Key: page.Rows[0].Key, Version: page.Rows[0].Version}},
		Writes:     []lentilproxy.Write{{Key: page.Rows[0].Key, Delete: true}},
	})
}

// Burn returns the report over all hosts, including the latest events of this host.
func (recorder *Recorder) Burn(ctx context.Context, now time.Time) (burn.Report, error) {
	recorder.Flush(ctx, now)
	var buckets []burn.Bucket
	after := ""
	for {
		result, err := recorder.table.Read(ctx, lentilproxy.ReadRequest{Prefixes: []string{bucketPrefix}, After: after, Limit: pageSize})
		if err != nil {
			return burn.Report{}, err
		}
		for _, row := range result.Rows {
			var bucket burn.Bucket
			if err = json.Unmarshal(row.Value, &bucket); err != nil {
				return burn.Report{}, oops.Code("bad_row").With("row", row.Key).Wrap(err)
			}
			buckets = append(buckets, bucket)
			after = row.Key
		}
		if len(result.Rows) < pageSize {
			return burn.NewReport(now, recorder.objectives, buckets)
		}
	}
}
