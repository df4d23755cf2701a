package link

import (
	"context"
	"net"
	"sync"
	"time"

	"lentilproxy/io/clock"

	"github.com/go-logr/logr"
)

// aheadTime is how soon after the last exchange with an address the next one must begin for a connection to be opened ahead, and how
// long that connection is kept. It is below the shortest idle timeout that a server can state, one second.
const aheadTime = 500 * time.Millisecond

// Ahead opens connections that carry one exchange each. While exchanges with an address follow each other closely, the connection
// for the next one is opened ahead of it. It is safe for concurrent use.
type Ahead struct {
	dialer *net.Dialer
	log    logr.Logger
	ctx    context.Context
	cancel context.CancelFunc

	mutex  sync.Mutex
	spares map[string]*spare
}

// spare is what is kept for the next exchange with an address.
type spare struct {
	// conn is the connection that was opened ahead, or nil.
	conn     net.Conn
	openedAt time.Time
	opening  bool
	// expiry drops the spare aheadTime after the last exchange.
	expiry *time.Timer
}

// NewAhead returns an Ahead without connections. It logs failures to open one ahead, which delay no exchange by themselves.
func NewAhead(dialer *net.Dialer, log logr.Logger) *Ahead {
	ctx, cancel := context.WithCancel(context.Background())
	return &Ahead{dialer: dialer, log: log, ctx: ctx, cancel: cancel, spares: map[string]*spare{}}
}

// DialContext returns a connection that has carried nothing. The errors are those of the dialer.
func (ahead *Ahead) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	if conn := ahead.take(network, address); conn != nil {
		return conn, nil
	}
	return ahead.dialer.DialContext(ctx, network, address)
}

// take returns the connection that was opened ahead, or nil, and opens the next one unless this is the first exchange for a while.
func (ahead *Ahead) take(network, address string) net.Conn {
	ahead.mutex.Lock()
	defer ahead.mutex.Unlock()
	entry := ahead.spares[address]
	if entry == nil {
		entry = &spare{}
		entry.expiry = time.AfterFunc(aheadTime, func() { ahead.drop(address, entry) })
		ahead.spares[address] = entry
		return nil
	}
	entry.expiry.Reset(aheadTime)
	conn := entry.conn
	entry.conn = nil
	if !entry.opening {
		entry.opening = true
		go ahead.open(network, address, entry)
	}
	// The timer stops while the host is suspended.
	if conn != nil && (clock.Now().Sub(entry.openedAt) >= aheadTime || !silent(conn)) {
		_ = conn.Close()
		return nil
	}
	return conn
}

// open opens a connection for the next exchange.
func (ahead *Ahead) open(network, address string, entry *spare) {
	conn, err := ahead.dialer.DialContext(ahead.ctx, network, address)
	if err != nil && ahead.ctx.Err() == nil {
		ahead.log.Info("connection not opened ahead", "address", address, "error", err.Error())
	}
	ahead.mutex.Lock()
	defer ahead.mutex.Unlock()
	entry.opening = false
	if err != nil {
		return
	}
	if ahead.spares[address] != entry {
		_ = conn.Close()
		return
	}
	entry.conn, entry.openedAt = conn, clock.Now()
}

// drop closes the connection that was opened ahead for an address.
func (ahead *Ahead) drop(address string, entry *spare) {
	ahead.mutex.Lock()
	defer ahead.mutex.Unlock()
	if ahead.spares[address] == entry {
		delete(ahead.spares, address)
	}
	if entry.conn != nil {
		_ = entry.conn.Close()
		entry.conn = nil
	}
}

// Close closes the connections that were opened ahead.
func (ahead *Ahead) Close() {
	ahead.cancel()
	ahead.mutex.Lock()
	defer ahead.mutex.Unlock()
	for address, entry := range ahead.spares {
		entry.expiry.Stop()
		if entry.conn != nil {
			_ = entry.conn.Close()
		}
		delete(ahead.spares, address)
	}
}
