package peer

import (
	"net"
	"sync/atomic"

	"github.com/uber-go/tally/v4"
)

// Meter counts the bytes of all connections between daemons.
type Meter struct {
	sent     atomic.Int64
	received atomic.Int64
	// sentCounter and receivedCounter export the same counts as metrics.
	sentCounter     tally.Counter
	receivedCounter tally.Counter
}

// NewMeter returns a meter whose counts start at 0 and are also exported to a metrics scope.
func NewMeter(scope tally.Scope) *Meter {
	return &Meter{sentCounter: scope.Counter("peer_bytes_sent"), receivedCounter: scope.Counter("peer_bytes_received")}
}

// Sent returns the number of bytes sent.
func (meter *Meter) Sent() int64 { return meter.sent.Load() }

// Received returns the number of bytes received.
func (meter *Meter) Received() int64 { return meter.received.Load() }

func (meter *Meter) wrap(conn net.Conn) net.Conn {
	return &meteredConn{Conn: conn, meter: meter}
}

type meteredConn struct {
	net.Conn
	meter *Meter
}

// Read implements net.Conn.
func (conn *meteredConn) Read(buffer []byte) (int, error) {
	count, err := conn.Conn.Read(buffer)
	conn.meter.received.Add(int64(count))
	conn.meter.receivedCounter.Inc(int64(count))
	return count, err
}

// Write implements net.Conn.
func (conn *meteredConn) Write(buffer []byte) (int, error) {
	count, err := conn.Conn.Write(buffer)
	conn.meter.sent.Add(int64(count))
	conn.meter.sentCounter.Inc(int64(count))
	return count, err
}
