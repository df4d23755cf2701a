// Package report stores what hosts count about service levels, and makes the report on service-level burn.
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
	prefixBucket = "burn/"
	// storeInterval is the time between two writes of changed buckets.
	storeInterval = 30 * time.Second
	// retention is how long buckets are kept.
	retention    = 31 * 24 * time.Hour
	pageSize     = 500
	storeTimeout = 2 * time.Second
)

// Keeper counts and stores the events of one start of a host.
type Keeper struct {
	table      lentilproxy.Table
	objectives []setup.Objective
	mutex      sync.Mutex
	collector  *burn.Collector
	stop       chan struct{}
	done       chan struct{}
}

// New returns the keeper of a host.
func New(table lentilproxy.Table, host string, objectives []setup.Objective) *Keeper {
	keeper := &Keeper{
		table: table, objectives: objectives, collector: burn.NewCollector(host, uuid.NewString(), objectives),
		stop: make(chan struct{}), done: make(chan struct{}),
	}
	go func() {
		defer close(keeper.done)
		ticker := time.NewTicker(storeInterval)
		defer ticker.Stop()
		for {
			select {
			case now := <-ticker.C:
				keeper.Store(context.Background(), now)
				keeper.expire(now)
			case <-keeper.stop:
				return
			}
		}
	}()
	return keeper
}

// Done is closed once the keeper has ended.
func (keeper *Keeper) Done() <-chan struct{} { return keeper.done }

// Close stores what has been counted and ends the keeper.
func (keeper *Keeper) Close(ctx context.Context) {
	close(keeper.stop)
	<-keeper.done
	keeper.Store(ctx, time.Now())
}

// Record implements lentilproxy.Recorder.
func (keeper *Keeper) Record(now time.Time, sample lentilproxy.Sample) {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	keeper.collector.Record(now, sample)
}

// Store writes the buckets that have changed. What cannot be written is kept for the next time.
func (keeper *Keeper) Store(ctx context.Context, now time.Time) {
	keeper.mutex.Lock()
	buckets, err := keeper.collector.TakeDirty()
	keeper.mutex.Unlock()
	if err != nil {
		return
	}
	for _, bucket := range buckets {
		if keeper.write(ctx, bucket) != nil {
			keeper.mutex.Lock()
			keeper.collector.MarkDirty(bucket)
			keeper.mutex.Unlock()
		}
	}
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	keeper.collector.Prune(now)
}

func bucketKey(bucket burn.Bucket) string {
	return fmt.Sprintf("%s%010d/%s/%s", prefixBucket, bucket.Hour, bucket.Host, bucket.RunID)
}

func (keeper *Keeper) write(ctx context.Context, bucket burn.Bucket) error {
	value, err := json.Marshal(bucket)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	_, err = keeper.table.Commit(ctx, lentilproxy.Transaction{Writes: []lentilproxy.Write{{Key: bucketKey(bucket), Value: value}}})
	return err
}

// expire removes the oldest buckets once they are past the retention. Several hosts may do so at once.
func (keeper *Keeper) expire(now time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	page, err := keeper.table.Read(ctx, lentilproxy.ReadRequest{Prefixes: []string{prefixBucket}, Limit: 1})
	if err != nil || len(page.Rows) == 0 {
		return
	}
	hour, _, _ := strings.Cut(strings.TrimPrefix(page.Rows[0].Key, prefixBucket), "/")
	number, err := strconv.ParseInt(hour, 10, 64)
	if err != nil || now.Sub(time.Unix(number*int64(burn.BucketDuration.Seconds()), 0)) < retention {
		return
	}
	_, _ = keeper.table.Commit(ctx, lentilproxy.Transaction{
		Conditions: []lentilproxy.Condition{{Key: page.Rows[0].Key, Version: page.Rows[0].Version}},
		Writes:     []lentilproxy.Write{{Key: page.Rows[0].Key, Delete: true}},
	})
}

// Burn returns the report over all hosts, this host's latest events among them.
func (keeper *Keeper) Burn(ctx context.Context, now time.Time) (burn.Report, error) {
	keeper.Store(ctx, now)
	var buckets []burn.Bucket
	after := ""
	for {
		result, err := keeper.table.Read(ctx, lentilproxy.ReadRequest{Prefixes: []string{prefixBucket}, After: after, Limit: pageSize})
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
			return burn.NewReport(now, keeper.objectives, buckets)
		}
	}
}
