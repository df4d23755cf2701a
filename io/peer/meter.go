package peer

import (
	"net"
	"sync/atomic"
)

// Meter counts the bytes of all connections between daemons.
type Meter struct {
	sent     atomic.Int64
	received atomic.Int64
}

// NewMeter returns a meter at 0.
func NewMeter() *Meter { return &Meter{} }

// Sent returns the bytes sent.
func (meter *Meter) Sent() int64 { return meter.sent.Load() }

// Received returns the bytes received.
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
	return count, err
}

// Write implements net.Conn.
func (conn *meteredConn) Write(buffer []byte) (int, error) {
	count, err := conn.Conn.Write(buffer)
	conn.meter.sent.Add(int64(count))
	return count, err
}
