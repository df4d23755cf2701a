package node

import (
	"time"

	"lentilproxy/core/conf"
)

// leavingTime is how long this host sends no requests to a server that is leaving, until the change that drains it is in
// force.
const leavingTime = 30 * time.Second

// ServerLeaving records that a server has said that it is leaving. It gets no further requests from this host, and is
// drained on all hosts.
func (node *Node) ServerLeaving(server string) {
	node.traffic.mutex.Lock()
	first := node.traffic.balancer.Notices().Leave(time.Now(), server, leavingTime)
	node.traffic.mutex.Unlock()
	if !first {
		return
	}
	node.log.Info("backend server is leaving", "server", server)
	node.loop.Post(func(time.Time) { node.traffic.control.drainServer(server) })
}

// ServerPaused records that a server has asked for no requests from this host for a while.
func (node *Node) ServerPaused(server string, wait time.Duration) {
	traffic := node.traffic
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	traffic.balancer.Notices().Pause(time.Now(), server, wait)
	node.log.Info("backend server asked for a pause", "server", server, "pause_ms", wait.Milliseconds())
	// Requests that wait for the server are not released by others.
	time.AfterFunc(wait, func() {
		traffic.mutex.Lock()
		defer traffic.mutex.Unlock()
		traffic.dispatch(time.Now())
	})
}

// ServicePause returns the time until the first server of a plain service takes requests again, or 0 if one does now.
func (node *Node) ServicePause(service string) time.Duration {
	var names []string
	state := node.View().state
	for _, resource := range state.ServiceServers(service) {
		if !state.Draining(resource.BackendServer) {
			names = append(names, resource.Name)
		}
	}
	node.traffic.mutex.Lock()
	defer node.traffic.mutex.Unlock()
	return node.traffic.balancer.Notices().PauseOf(time.Now(), names)
}

// ModelPause returns the time until the first engine that this host may use for an adapter version takes requests again, or
// 0 if one does now or there is none.
func (node *Node) ModelPause(model string) time.Duration {
	return node.traffic.modelPause(time.Now(), model)
}

func (traffic *traffic) modelPause(now time.Time, model string) time.Duration {
	state := traffic.node.View().state
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	var names []string
	for _, permit := range traffic.permits.Usable(now, model) {
		if resource := state.Get(conf.Ref{Kind: conf.KindBackendServer, Name: permit.Engine}); resource != nil && !state.Draining(resource.BackendServer) {
			names = append(names, permit.Engine)
		}
	}
	return traffic.balancer.Notices().PauseOf(now, names)
}
