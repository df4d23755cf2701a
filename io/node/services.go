package node

import (
	"time"

	"lentilproxy/core/route"
	"lentilproxy/core/value"
)

// ServiceSlot is the right to send one request to a server of a plain service. It has to be released.
type ServiceSlot struct {
	node    *Node
	server  string
	address string
}

// Server returns the name of the backend server.
func (slot *ServiceSlot) Server() string { return slot.server }

// Address returns IP:port of the backend server.
func (slot *ServiceSlot) Address() string { return slot.address }

// Release ends the use of the server.
func (slot *ServiceSlot) Release() {
	slot.node.traffic.mutex.Lock()
	defer slot.node.traffic.mutex.Unlock()
	slot.node.traffic.routes.RequestEnded(slot.server)
}

// ReserveService reserves a server of a plain service, or returns nil.
func (node *Node) ReserveService(service, affinity string, avoid value.Set[string]) *ServiceSlot {
	addresses := map[string]string{}
	var candidates []route.Candidate
	for _, resource := range node.View().state.ServiceServers(service) {
		if !resource.BackendServer.Draining {
			addresses[resource.Name] = resource.BackendServer.Address
			candidates = append(candidates, candidate(resource))
		}
	}
	node.traffic.mutex.Lock()
	defer node.traffic.mutex.Unlock()
	name, found := node.traffic.routes.Pick(time.Now(), candidates, affinity, avoid)
	if !found {
		return nil
	}
	node.traffic.routes.RequestStarted(name)
	return &ServiceSlot{node: node, server: name, address: addresses[name]}
}
