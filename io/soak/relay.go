package soak

import (
	"net"
	"sync"
	"time"
)

// Relay passes connections on to an address and can disturb them.
type Relay struct {
	listener net.Listener
	target   string

	mutex sync.Mutex
	// silent drops what comes from the clients, mute what comes from the target. Connections stay open.
	silent bool
	mute   bool
	delay  time.Duration
	open   map[net.Conn]struct{}
	done   chan struct{}
}

// NewRelay starts a relay on a loopback port.
func NewRelay(target string) (*Relay, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	relay := &Relay{listener: listener, target: target, open: map[net.Conn]struct{}{}, done: make(chan struct{})}
	go func() {
		defer close(relay.done)
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go relay.pass(conn)
		}
	}()
	return relay, nil
}

// Address returns the address of the relay, as IP:port.
func (relay *Relay) Address() string { return relay.listener.Addr().String() }

// Done is closed once no more connections are accepted.
func (relay *Relay) Done() <-chan struct{} { return relay.done }

// Close ends the relay and its connections.
func (relay *Relay) Close() {
	_ = relay.listener.Close()
	relay.Reset()
}

// Disturb silences one or both directions, and delays what is passed on.
func (relay *Relay) Disturb(silent, mute bool, delay time.Duration) {
	relay.mutex.Lock()
	defer relay.mutex.Unlock()
	relay.silent, relay.mute, relay.delay = silent, mute, delay
}

// Reset ends all connections without the usual end.
func (relay *Relay) Reset() {
	relay.mutex.Lock()
	defer relay.mutex.Unlock()
	for conn := range relay.open {
		if tcp, isTCP := conn.(*net.TCPConn); isTCP {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

func (relay *Relay) pass(conn net.Conn) {
	onward, err := net.Dial("tcp", relay.target)
	if err != nil {
		_ = conn.Close()
		return
	}
	relay.mutex.Lock()
	relay.open[conn], relay.open[onward] = struct{}{}, struct{}{}
	relay.mutex.Unlock()
	var ways sync.WaitGroup
	ways.Go(func() { relay.copy(onward, conn, func() bool { return relay.silent }) })
	ways.Go(func() { relay.copy(conn, onward, func() bool { return relay.mute }) })
	ways.Wait()
	relay.mutex.Lock()
	defer relay.mutex.Unlock()
	delete(relay.open, conn)
	delete(relay.open, onward)
}

// copy passes one direction on. Dropped bytes would be lost in the middle of a connection, so one that has lost some
// stays silent until it ends, as if its packets were not acknowledged.
func (relay *Relay) copy(to, from net.Conn, dropped func() bool) {
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
