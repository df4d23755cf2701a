//go:build review

package main

import (
	"bytes"
	"net"
	"sync"
)

// relay forwards connections to a server, and can reset a part of those that belong to one daemon. It knows a daemon's
// connections by the identifiers of the requests on them, which begin with the name of the daemon that got them.
type relay struct {
	listener net.Listener
	target   string

	mutex sync.Mutex
	links map[*relayLink]bool
}

type relayLink struct {
	front, back *net.TCPConn
	owner       string
}

func newRelay(target string) (*relay, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	relay := &relay{listener: listener, target: target, links: map[*relayLink]bool{}}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go relay.forward(conn.(*net.TCPConn))
		}
	}()
	return relay, nil
}

func (relay *relay) address() string { return relay.listener.Addr().String() }

func (relay *relay) close() {
	_ = relay.listener.Close()
	relay.mutex.Lock()
	defer relay.mutex.Unlock()
	for link := range relay.links {
		_ = link.front.Close()
		_ = link.back.Close()
	}
}

// linksOf returns the open connections of a daemon.
func (relay *relay) linksOf(owner string) []*relayLink {
	relay.mutex.Lock()
	defer relay.mutex.Unlock()
	var links []*relayLink
	for link := range relay.links {
		if link.owner == owner {
			links = append(links, link)
		}
	}
	return links
}

// reset resets both ends of a connection.
func (link *relayLink) reset() {
	for _, conn := range []*net.TCPConn{link.front, link.back} {
		_ = conn.SetLinger(0)
		_ = conn.Close()
	}
}

func (relay *relay) forward(front *net.TCPConn) {
	back, err := net.Dial("tcp", relay.target)
	if err != nil {
		_ = front.Close()
		return
	}
	link := &relayLink{front: front, back: back.(*net.TCPConn)}
	relay.mutex.Lock()
	relay.links[link] = true
	relay.mutex.Unlock()
	var group sync.WaitGroup
	group.Go(func() { relay.copy(link, link.back, link.front, true) })
	group.Go(func() { relay.copy(link, link.front, link.back, false) })
	group.Wait()
	relay.mutex.Lock()
	defer relay.mutex.Unlock()
	delete(relay.links, link)
}

func (relay *relay) copy(link *relayLink, to, from *net.TCPConn, requests bool) {
	defer func() {
		_ = to.Close()
		_ = from.Close()
	}()
	buffer := make([]byte, 16<<10)
	for {
		count, err := from.Read(buffer)
		if requests {
			if _, rest, found := bytes.Cut(buffer[:count], []byte(names.ID+": ")); found && len(rest) >= ownerLength {
				relay.mutex.Lock()
				link.owner = string(rest[:ownerLength])
				relay.mutex.Unlock()
			}
		}
		if count > 0 {
			if _, writeErr := to.Write(buffer[:count]); writeErr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
