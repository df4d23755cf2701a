// Package hold applies the budget of core/budget to the transfers and connections of a process. It makes growing transfers wait a
// short time for room, logs what was refused or closed, and sets the limits of the Go runtime.
package hold

import (
	"net"
	"sync"
	"time"

	"lentilproxy/core/budget"

	"github.com/go-logr/logr"
	"github.com/uber-go/tally/v4"
)

const (
	// reportInterval is the time between two log lines with the same reason, and between two updates of the metrics.
	reportInterval = time.Second
	// pollInterval is the time between two tries of a transfer that waits for room.
	pollInterval = 25 * time.Millisecond
)

// startedAt is the origin of the times of this package.
var startedAt = time.Now()

// now returns the present time, which does not jump with the wall clock. Unlike that of package clock, it costs no system call.
func now() time.Time { return startedAt.Add(time.Since(startedAt)) }

// Reason says why something was refused or closed.
type Reason string

// The reasons, in the log and the metrics.
const (
	BodyEvicted       Reason = "body_evicted"
	BodyRefused       Reason = "no_room_for_body"
	HeadRefused       Reason = "no_room_for_head"
	ResponseEvicted   Reason = "response_evicted"
	ResponseRefused   Reason = "no_room_for_response"
	ConnectionEvicted Reason = "connection_evicted"
	ConnectionRefused Reason = "too_many_connections"
)

// Pool holds the budget of a process. A nil pool grants everything.
type Pool struct {
	log     logr.Logger
	metrics tally.Scope
	mutex   sync.Mutex
	budget  *budget.Budget
	conns   *budget.Conns
	// counts holds what has been refused or closed since the last report.
	counts map[Reason]int64
	stop   chan struct{}
	done   chan struct{}
}

// Option configures a pool.
type Option func(*Pool)

// WithLog sets the log.
func WithLog(log logr.Logger) Option { return func(pool *Pool) { pool.log = log } }

// WithMetrics sets the scope of the metrics.
func WithMetrics(scope tally.Scope) Option { return func(pool *Pool) { pool.metrics = scope } }

// New returns a pool for a process that may use some memory, in bytes, and some descriptors.
func New(memory int64, descriptors int, options ...Option) *Pool {
	pool := &Pool{
		log: logr.Discard(), metrics: tally.NoopScope, budget: budget.New(budget.Bytes(memory)), conns: budget.NewConns(budget.Connections(memory, descriptors)),
		counts: map[Reason]int64{}, stop: make(chan struct{}), done: make(chan struct{}),
	}
	for _, option := range options {
		option(pool)
	}
	pool.log.Info("limits of callers", "memory_mb", memory/1_000_000, "budget_mb", pool.budget.Total()/1_000_000, "descriptors", descriptors,
		"connections", budget.Connections(memory, descriptors))
	go func() {
		defer close(pool.done)
		ticker := time.NewTicker(reportInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				pool.report()
			case <-pool.stop:
				pool.report()
				return
			}
		}
	}()
	return pool
}

// Done returns a channel that is closed once the pool reports nothing more.
func (pool *Pool) Done() <-chan struct{} { return pool.done }

// Used returns the bytes that all transfers hold.
func (pool *Pool) Used() int64 {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	return pool.budget.Used()
}

// Close ends the reports.
func (pool *Pool) Close() {
	close(pool.stop)
	<-pool.done
}

// report logs what has been refused or closed since the last report, and updates the metrics.
func (pool *Pool) report() {
	pool.mutex.Lock()
	counts := pool.counts
	pool.counts = map[Reason]int64{}
	used, connections := pool.budget.Used(), pool.conns.Count()
	for _, purpose := range budget.Purposes() {
		pool.metrics.Tagged(map[string]string{"purpose": purpose.String()}).Gauge("held_bytes").Update(float64(pool.budget.Held(purpose)))
	}
	pool.mutex.Unlock()
	pool.metrics.Gauge("caller_connections").Update(float64(connections))
	for reason, count := range counts {
		pool.metrics.Tagged(map[string]string{"reason": string(reason)}).Counter("callers_limited").Inc(count)
		pool.log.Info("callers limited", "reason", reason, "count", count, "held_bytes", used, "connections", connections)
	}
}

// Count records that something was refused or closed.
func (pool *Pool) Count(reason Reason) {
	if pool == nil {
		return
	}
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.counts[reason]++
}

// OpenConn counts a connection of a caller. The function evict closes it if it waits while others need its place. OpenConn returns
// false if there are too many connections; the caller closes the connection then. The connection is nil if the pool is.
func (pool *Pool) OpenConn(remote net.Addr, evict func()) (*Conn, bool) {
	if pool == nil {
		return nil, true
	}
	address := ""
	if remote != nil {
		address = remote.String()
		if host, _, err := net.SplitHostPort(address); err == nil {
			address = host
		}
	}
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	conn, evicted := pool.conns.Open(now(), address, evict)
	if evicted > 0 {
		pool.counts[ConnectionEvicted] += int64(evicted)
	}
	if conn == nil {
		pool.counts[ConnectionRefused]++
		return nil, false
	}
	return &Conn{pool: pool, conn: conn}, true
}

// Conn is a counted connection. A nil connection is never evicted.
type Conn struct {
	pool *Pool
	conn *budget.Conn
}

// Set changes the state of the connection. It returns false if the connection has been closed for another one.
func (conn *Conn) Set(state budget.State) bool {
	return conn == nil || conn.conn.Set(now(), state)
}

// Close ends the count of the connection.
func (conn *Conn) Close() {
	if conn == nil {
		return
	}
	conn.pool.mutex.Lock()
	defer conn.pool.mutex.Unlock()
	conn.pool.conns.Close(conn.conn)
}

// Share is what one transfer holds. A nil share grants everything. The methods of one share are not called concurrently.
type Share struct {
	pool    *Pool
	purpose budget.Purpose
	known   bool
	evict   func()
	exposed bool
	// reservation is nil until the share holds something, so that small transfers cost nothing.
	reservation *budget.Reservation
}

// Open returns a share that holds nothing. The function evict ends the transfer if it loses its place after Expose; it must not
// block.
func (pool *Pool) Open(purpose budget.Purpose, known bool, evict func()) *Share {
	if pool == nil {
		return nil
	}
	return &Share{pool: pool, purpose: purpose, known: known, evict: evict}
}

// Grow adds bytes to the share. It waits for room for some time, and returns false if there is none; with patience, this is counted
// as a refusal.
func (share *Share) Grow(bytes int64, patience time.Duration) bool {
	if share == nil {
		return true
	}
	deadline := now().Add(patience)
	for {
		at := now()
		granted, evicted := share.tryGrow(at, bytes)
		if granted || evicted {
			return granted
		}
		if !at.Before(deadline) {
			if patience > 0 {
				share.refused()
			}
			return false
		}
		time.Sleep(pollInterval)
	}
}

func (share *Share) tryGrow(now time.Time, bytes int64) (granted, evicted bool) {
	share.pool.mutex.Lock()
	defer share.pool.mutex.Unlock()
	if share.reservation == nil {
		share.reservation = share.pool.budget.Open(now, share.purpose, share.known, share.onEvict)
		if share.exposed {
			share.reservation.Expose(now)
		}
	}
	granted = share.pool.budget.Grow(now, share.reservation, bytes)
	return granted, share.reservation.Evicted()
}

// onEvict counts and ends the transfer. The pool is locked.
func (share *Share) onEvict() {
	reason := BodyEvicted
	if share.purpose == budget.Responses {
		reason = ResponseEvicted
	}
	share.pool.counts[reason]++
	share.evict()
}

// refused records that there was no room for the share.
func (share *Share) refused() {
	switch share.purpose {
	case budget.Heads:
		share.pool.Count(HeadRefused)
	case budget.Bodies:
		share.pool.Count(BodyRefused)
	default:
		share.pool.Count(ResponseRefused)
	}
}

// Progress records that bytes of the transfer have arrived or left.
func (share *Share) Progress(bytes int64) {
	share.do(func(now time.Time) { share.reservation.Progress(now, bytes) })
}

// Expose allows that the transfer loses its place.
func (share *Share) Expose() {
	if share != nil {
		share.exposed = true
		share.do(func(now time.Time) { share.reservation.Expose(now) })
	}
}

// Pin makes sure that the transfer keeps its place. It returns false if it has lost it already.
func (share *Share) Pin() bool {
	kept := true
	if share != nil {
		share.exposed = false
		share.do(func(time.Time) { kept = share.reservation.Pin() })
	}
	return kept
}

// Close frees what the share holds. It may grow again afterwards.
func (share *Share) Close() {
	share.do(func(time.Time) {
		share.pool.budget.Close(share.reservation)
		share.reservation = nil
	})
}

// do changes the reservation, if there is one.
func (share *Share) do(change func(now time.Time)) {
	if share == nil || share.reservation == nil {
		return
	}
	share.pool.mutex.Lock()
	defer share.pool.mutex.Unlock()
	change(now())
}
