package budget

import (
	"cmp"
	"math"
	"slices"
	"sync/atomic"
	"time"
)

const (
	// minIdle is how long a connection waits for a caller before it may be closed for another one. A request may be on the way.
	minIdle = 500 * time.Millisecond
	// minUnread is how long a caller may leave a response unread before its connection may be closed for another one.
	minUnread = 2 * time.Second
	// searchInterval is the time between two searches for connections that can be closed, whose cost grows with their number.
	searchInterval = 10 * time.Millisecond
	// closedFraction is the fraction of the limit that one search closes at most, and at least one connection.
	closedFraction = 1.0 / 16
)

// State is what a connection is doing.
type State int32

// The states of connections. A connection that is served is not closed for another one, unless its caller does not read.
const (
	// Silent connections have sent nothing yet.
	Silent State = iota
	// Reading connections have sent a part of a request.
	Reading
	// Serving connections have a request in progress.
	Serving
	// Writing connections are served, and a part of the response is being written. This takes long only if the caller does not read.
	Writing
	// Idle connections have been served, and wait for another request.
	Idle
	// evictedState is final.
	evictedState
)

// Conn is a caller's connection. Its state may be set while connections are opened and closed.
type Conn struct {
	address string
	state   atomic.Int32
	// since is when the state began, in nanoseconds of the Unix time. The function evict closes the connection.
	since atomic.Int64
	evict func()
}

// Set changes the state. It returns false if the connection has been closed for another one; no request on it may be passed on then.
func (conn *Conn) Set(now time.Time, state State) bool {
	for {
		current := conn.state.Load()
		if State(current) == evictedState {
			return false
		}
		if conn.state.CompareAndSwap(current, int32(state)) {
			conn.since.Store(now.UnixNano())
			return true
		}
	}
}

// Conns bounds the connections of callers, in all and by address. It is not safe for concurrent use, except for the states of
// connections.
type Conns struct {
	limit     int
	open      map[*Conn]struct{}
	byAddress map[string]int
	// searchAt is the earliest time of the next search.
	searchAt time.Time
}

// NewConns returns a bound without connections. The limit 0 means none.
func NewConns(limit int) *Conns {
	return &Conns{limit: limit, open: map[*Conn]struct{}{}, byAddress: map[string]int{}}
}

// Count returns the number of connections.
func (conns *Conns) Count() int { return len(conns.open) }

// Open adds a connection from an address. The function evict closes it. At the limit, connections that only wait are evicted, and
// Open returns nil if there are none of these; closed is the number of the evicted ones.
//
// The bound by address applies only at the limit, since a load balancer may be the only address: a caller that holds more than an
// equal part of the connections takes the place of its own connections only.
func (conns *Conns) Open(now time.Time, address string, evict func()) (opened *Conn, closed int) {
	if conns.limit > 0 && len(conns.open) >= conns.limit {
		if now.Before(conns.searchAt) {
			return nil, 0
		}
		conns.searchAt = now.Add(searchInterval)
		if closed = conns.evict(now, address); closed == 0 {
			return nil, 0
		}
	}
	conn := &Conn{address: address, evict: evict}
	conn.since.Store(now.UnixNano())
	conns.open[conn] = struct{}{}
	conns.byAddress[address]++
	return conn, closed
}

// Close removes a connection that has ended.
func (conns *Conns) Close(conn *Conn) {
	if _, open := conns.open[conn]; !open {
		return
	}
	delete(conns.open, conn)
	if conns.byAddress[conn.address]--; conns.byAddress[conn.address] <= 0 {
		delete(conns.byAddress, conn.address)
	}
}

// minWait returns how long a connection has been in a state before it may be closed for another one.
func minWait(state State) time.Duration {
	switch state {
	case Serving, evictedState:
		return math.MaxInt64
	case Writing:
		return minUnread
	default:
		return minIdle
	}
}

// evict closes connections that wait for their callers, and returns their number. Those of addresses with more than an equal part go
// first; of these, those without a complete request, then idle ones, each by the time of their wait.
func (conns *Conns) evict(now time.Time, address string) int {
	addresses := len(conns.byAddress)
	if conns.byAddress[address] == 0 {
		addresses++
	}
	share := max(1, conns.limit/addresses)
	type candidate struct {
		conn  *Conn
		state State
		since int64
	}
	var candidates []candidate
	for conn := range conns.open {
		state, since := State(conn.state.Load()), conn.since.Load()
		own := conn.address == address
		if now.UnixNano()-since < int64(minWait(state)) {
			continue
		}
		if !own && (conns.byAddress[address] >= share || conns.byAddress[conn.address] <= share) && addresses > 1 {
			continue
		}
		candidates = append(candidates, candidate{conn, state, since})
	}
	slices.SortFunc(candidates, func(left, right candidate) int {
		return cmp.Or(compareBool(conns.byAddress[right.conn.address] > share, conns.byAddress[left.conn.address] > share),
			compareBool(left.state == Idle, right.state == Idle), cmp.Compare(conns.byAddress[right.conn.address], conns.byAddress[left.conn.address]),
			cmp.Compare(left.since, right.since))
	})
	closed := 0
	for _, candidate := range candidates[:min(len(candidates), max(1, int(closedFraction*float64(conns.limit))))] {
		// The state may have changed since the search: a request that has arrived is served.
		if candidate.conn.since.Load() == candidate.since && candidate.conn.state.CompareAndSwap(int32(candidate.state), int32(evictedState)) {
			conns.Close(candidate.conn)
			candidate.conn.evict()
			closed++
		}
	}
	return closed
}
