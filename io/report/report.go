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

	"github.com/go-logr/logr"
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
	// maxDeletes is the number of expired buckets that a host deletes after each flush.
	maxDeletes = 100
)

// Recorder counts and stores the events of one run of a host's process.
type Recorder struct {
	table      lentilproxy.Table
	objectives []setup.Objective
	log        logr.Logger
	mutex      sync.Mutex
	collector  *burn.Collector
	stop       chan struct{}
	done       chan struct{}
}

// Option configures a recorder.
type Option func(*Recorder)

// WithLog sets the log.
func WithLog(log logr.Logger) Option { return func(recorder *Recorder) { recorder.log = log } }

// New returns the recorder of a host and starts its periodic writes.
func New(table lentilproxy.Table, host string, objectives []setup.Objective, options ...Option) *Recorder {
	recorder := &Recorder{
		table: table, objectives: objectives, log: logr.Discard(), collector: burn.NewCollector(host, uuid.NewString(), objectives),
		stop: make(chan struct{}), done: make(chan struct{}),
	}
	for _, option := range options {
		option(recorder)
	}
	go func() {
		defer close(recorder.done)
		ticker := time.NewTicker(flushInterval)
		defer ticker.Stop()
		for {
			select {
			case now := <-ticker.C:
				recorder.Flush(context.Background(), now)
				recorder.deleteExpired(context.Background(), now)
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
		recorder.log.Error(err, "failed to encode the service-level counts; they are written with the next flush")
		return
	}
	for _, bucket := range buckets {
		if err := recorder.write(ctx, bucket); err != nil {
			recorder.log.Info("failed to write service-level counts; they are written with the next flush", "hour", bucket.Hour, "error", err.Error())
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

// deleteExpired deletes the oldest buckets that are older than the retention, up to maxDeletes. Several hosts may do so at
// the same time.
func (recorder *Recorder) deleteExpired(ctx context.Context, now time.Time) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	page, err := recorder.table.Read(ctx, lentilproxy.ReadRequest{Prefixes: []string{bucketPrefix}, Limit: maxDeletes})
	if err != nil {
		recorder.log.Info("failed to look for expired service-level counts", "error", err.Error())
		return
	}
	for _, row := range page.Rows {
		if !expired(now, row.Key) {
			return
		}
		if _, err = recorder.table.Commit(ctx, lentilproxy.Transaction{
			Conditions: []lentilproxy.Condition{{Key: row.Key, Version: row.Version}},
			Writes:     []lentilproxy.Write{{Key: row.Key, Delete: true}},
		}); err != nil {
			recorder.log.Info("failed to delete expired service-level counts", "row", row.Key, "error", err.Error())
			return
		}
	}
}

// expired reports whether the bucket under a key is older than the retention.
func expired(now time.Time, key string) bool {
	hour, _, _ := strings.Cut(strings.TrimPrefix(key, bucketPrefix), "/")
	number, err := strconv.ParseInt(hour, 10, 64)
	return err == nil && now.Sub(time.Unix(number*int64(burn.BucketDuration.Seconds()), 0)) >= retention
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
