package node

import (
	"time"

	"lentilproxy/core/conf"
	"lentilproxy/core/route"
	"lentilproxy/core/value"
)

// ServiceSlot reserves a server of a plain service for one request. It must be released.
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
	slot.node.traffic.balancer.RequestEnded(slot.server)
}

// ReserveService reserves a server of a plain service that is not in avoid, or returns nil.
func (node *Node) ReserveService(service, affinity string, avoid value.Set[string]) *ServiceSlot {
	addresses, candidates := serviceCandidates(node.View().state, service)
	node.traffic.mutex.Lock()
	defer node.traffic.mutex.Unlock()
	name, found := node.traffic.balancer.Pick(time.Now(), candidates, affinity, avoid)
	if !found {
		return nil
	}
	node.traffic.balancer.RequestStarted(name)
	return &ServiceSlot{node: node, server: name, address: addresses[name]}
}

// serviceCandidates returns the servers of a plain service that may be used, with their addresses.
func serviceCandidates(state *conf.State, service string) (addresses map[string]string, candidates []route.Candidate) {
	addresses = map[string]string{}
	for _, resource := range state.ServiceServers(service) {
		if !state.Draining(resource.BackendServer) {
			addresses[resource.Name] = resource.BackendServer.Address
			candidates = append(candidates, candidate(resource))
		}
	}
	return addresses, candidates
}
