package soak

import (
	"net"
	"sync"
	"time"
)

// Relay forwards TCP connections to an address and can disturb them.
type Relay struct {
	listener net.Listener
	target   string

	mutex sync.Mutex
	// dropFromClients drops the bytes that clients send, dropFromTarget those that the target sends. Connections stay
	// open.
	dropFromClients bool
	dropFromTarget  bool
	delay           time.Duration
	conns           map[net.Conn]struct{}
	done            chan struct{}
}

// NewRelay starts a relay on a loopback port that forwards to a target, given as IP:port.
func NewRelay(target string) (*Relay, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	relay := &Relay{listener: listener, target: target, conns: map[net.Conn]struct{}{}, done: make(chan struct{})}
	go func() {
		defer close(relay.done)
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go relay.forward(conn)
		}
	}()
	return relay, nil
}

// Address returns the address of the relay, as IP:port.
func (relay *Relay) Address() string { return relay.listener.Addr().String() }

// Done returns a channel that is closed once no more connections are accepted.
func (relay *Relay) Done() <-chan struct{} { return relay.done }

// Close stops the relay and resets its connections.
func (relay *Relay) Close() {
	_ = relay.listener.Close()
	relay.Reset()
}

// SetFaults sets which directions are dropped, and the delay of forwarded bytes.
func (relay *Relay) SetFaults(dropFromClients, dropFromTarget bool, delay time.Duration) {
	relay.mutex.Lock()
	defer relay.mutex.Unlock()
	relay.dropFromClients, relay.dropFromTarget, relay.delay = dropFromClients, dropFromTarget, delay
}

// Reset closes all connections with a TCP reset.
func (relay *Relay) Reset() {
	relay.mutex.Lock()
	defer relay.mutex.Unlock()
	for conn := range relay.conns {
		if tcp, isTCP := conn.(*net.TCPConn); isTCP {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

// forward connects to the target and forwards both directions until the connection ends.
func (relay *Relay) forward(conn net.Conn) {
	upstream, err := net.Dial("tcp", relay.target)
	if err != nil {
		_ = conn.Close()
		return
	}
	relay.mutex.Lock()
	relay.conns[conn], relay.conns[upstream] = struct{}{}, struct{}{}
	relay.mutex.Unlock()
	var directions sync.WaitGroup
	directions.Go(func() { relay.copyDirection(upstream, conn, func() bool { return relay.dropFromClients }) })
	directions.Go(func() { relay.copyDirection(conn, upstream, func() bool { return relay.dropFromTarget }) })
	directions.Wait()
	relay.mutex.Lock()
	defer relay.mutex.Unlock()
	delete(relay.conns, conn)
	delete(relay.conns, upstream)
}

// copyDirection forwards one direction of a connection. Once bytes have been dropped, all later bytes of that direction
// are dropped too, because TCP delivers nothing after a gap. The connection stays open and silent, as if its packets
// were not acknowledged.
func (relay *Relay) copyDirection(to, from net.Conn, dropped func() bool) {
	defer func() {
		_ = to.Close()
		_ = from.Close()
	}()
	buffer := make([]byte, 16<<10)
	lost := false
	for {
		count, err := from.Read(buffer)
		relay.mutex.Lock()
		lost = lost || dropped()
		delay := relay.delay
		relay.mutex.Unlock()
		if count > 0 && !lost {
			time.Sleep(delay)
			if _, writeErr := to.Write(buffer[:count]); writeErr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
