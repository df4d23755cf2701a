package node

import (
	"context"
	"sync"
	"time"

	"lentilproxy/core/conf"
	"lentilproxy/core/fresh"
	"lentilproxy/core/place"
	"lentilproxy/core/queue"
	"lentilproxy/core/route"
	"lentilproxy/core/value"
)

const (
	// queueCheckInterval is how often a waiting request checks whether this host may still serve it.
	queueCheckInterval = 100 * time.Millisecond
	// acquireRetryDelay is the wait before another permit request to the owner of a pool.
	acquireRetryDelay = 50 * time.Millisecond
)

// Slot reserves an instance for one request. It must be released.
type Slot struct {
	node    *Node
	permit  place.Permit
	address string
	once    sync.Once
}

// Instance returns the name of the instance on its engine.
func (slot *Slot) Instance() string { return slot.permit.Instance }

// Engine returns the name of the backend server.
func (slot *Slot) Engine() string { return slot.permit.Engine }

// Address returns IP:port of the backend server.
func (slot *Slot) Address() string { return slot.address }

// Valid reports whether the request may still be sent at a point in time.
func (slot *Slot) Valid(now time.Time) bool {
	slot.node.traffic.mutex.Lock()
	defer slot.node.traffic.mutex.Unlock()
	return slot.node.traffic.permits.Valid(now, slot.permit.Instance)
}

// Release ends the use of the instance.
func (slot *Slot) Release() {
	slot.once.Do(func() {
		traffic := slot.node.traffic
		traffic.mutex.Lock()
		traffic.balancer.RequestEnded(slot.permit.Engine)
		returned := traffic.permits.FinishRequest(slot.permit.Instance)
		traffic.dispatch(time.Now())
		traffic.mutex.Unlock()
		if returned {
			slot.node.loop.Post(func(now time.Time) { traffic.control.reportPermits(now, func() {}) })
		}
	})
}

// waiter is a request that waits for an instance.
type waiter struct {
	item    queue.Item
	request place.PermitRequest
	avoid   value.Set[string]
	granted chan *Slot
}

// acquireKey identifies a call for a permit. Concurrent requests with the same key share one call.
type acquireKey struct {
	model string
	batch bool
}

// Reserve waits for an instance of an adapter version and reserves it for one request, in the order of the queue. The
// servers in avoid are used only if there are no others.
func (node *Node) Reserve(ctx context.Context, request place.PermitRequest, cost float64, avoid value.Set[string]) (*Slot, place.Refusal) {
	deadline, _ := ctx.Deadline()
	waiter := node.traffic.enqueue(time.Now(), request, cost, deadline, avoid)
	slot, refusal := node.wait(ctx, waiter)
	if slot == nil {
		node.traffic.dequeue(waiter)
	}
	return slot, refusal
}

func (node *Node) wait(ctx context.Context, waiter *waiter) (*Slot, place.Refusal) {
	for {
		if !node.Fresh(time.Now()) {
			return nil, place.RefuseStale
		}
		if slot := waiter.grantedSlot(); slot != nil {
			return slot, place.RefuseNone
		}
		if ctx.Err() != nil {
			return nil, place.RefuseTimeout
		}
		if pause := node.traffic.modelPause(time.Now(), waiter.request.Model); pause > 0 && time.Now().Add(pause).After(waiter.item.Deadline) {
			return nil, place.RefusePaused
		}
		if !node.traffic.hasPermit(time.Now(), waiter) {
			if refusal := node.acquireOnce(ctx, waiter); refusal != place.RefuseNone && refusal != place.RefuseNotOwner {
				return nil, refusal
			}
			continue
		}
		select {
		case slot := <-waiter.granted:
			return slot, place.RefuseNone
		case <-time.After(queueCheckInterval):
		case <-ctx.Done():
		}
	}
}

func (waiter *waiter) grantedSlot() *Slot {
	select {
	case slot := <-waiter.granted:
		return slot
	default:
		return nil
	}
}

// acquireOnce requests a permit, or waits until another request's call with the same key has ended.
func (node *Node) acquireOnce(ctx context.Context, waiter *waiter) place.Refusal {
	view := node.View()
	pool, found := poolFor(view.state, waiter.request.BaseModel)
	if !found {
		return place.RefuseNoEngine
	}
	key := acquireKey{model: waiter.request.Model, batch: waiter.request.Batch}
	finished, first := node.traffic.startAcquire(key)
	if !first {
		select {
		case <-finished:
		case <-ctx.Done():
		}
		return place.RefuseNone
	}
	defer node.traffic.finishAcquire(key)
	refusal := node.acquire(ctx, view.state, pool, waiter.request)
	if refusal == place.RefuseNotOwner {
		select {
		case <-time.After(acquireRetryDelay):
		case <-ctx.Done():
		}
	}
	return refusal
}

func (traffic *traffic) startAcquire(key acquireKey) (finished chan struct{}, first bool) {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	if finished = traffic.acquiring[key]; finished != nil {
		return finished, false
	}
	finished = make(chan struct{})
	traffic.acquiring[key] = finished
	return finished, true
}

func (traffic *traffic) finishAcquire(key acquireKey) {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	close(traffic.acquiring[key])
	delete(traffic.acquiring, key)
}

func (traffic *traffic) enqueue(now time.Time, request place.PermitRequest, cost float64, deadline time.Time, avoid value.Set[string]) *waiter {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	traffic.lastID++
	waiter := &waiter{
		item: queue.Item{
			ID: traffic.lastID, Workspace: request.Workspace, Weight: request.Weight, Cost: cost, Batch: request.Batch, Deadline: deadline,
		},
		request: request, avoid: avoid, granted: make(chan *Slot, 1),
	}
	traffic.waiters[waiter.item.ID] = waiter
	traffic.queue.Push(waiter.item)
	traffic.dispatch(now)
	return waiter
}

// dequeue removes a request from the queue, and releases a slot that was granted to it in the meantime.
func (traffic *traffic) dequeue(waiter *waiter) {
	traffic.mutex.Lock()
	delete(traffic.waiters, waiter.item.ID)
	traffic.queue.Remove(waiter.item.ID)
	traffic.mutex.Unlock()
	if slot := waiter.grantedSlot(); slot != nil {
		slot.Release()
	}
}

// dispatch grants slots to waiting requests in the order of the queue. It must be called with the mutex held.
func (traffic *traffic) dispatch(now time.Time) {
	state := traffic.node.View().state
	for {
		var slot *Slot
		item, found := traffic.queue.Next(now, func(item queue.Item) bool {
			waiter := traffic.waiters[item.ID]
			slot = traffic.startRequest(now, state, waiter.request.Model, waiter.avoid)
			return slot != nil
		})
		if !found {
			return
		}
		traffic.waiters[item.ID].granted <- slot
		delete(traffic.waiters, item.ID)
	}
}

// hasPermit reports whether the host has a permit that the request can use once there is free capacity. If all such
// permits are for servers that the request avoids, it may use these servers from now on.
func (traffic *traffic) hasPermit(now time.Time, waiter *waiter) bool {
	state := traffic.node.View().state
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	avoided := false
	for _, permit := range traffic.permits.Usable(now, waiter.request.Model) {
		resource := state.Get(conf.Ref{Kind: conf.KindBackendServer, Name: permit.Engine})
		if resource == nil || state.Draining(resource.BackendServer) {
			continue
		}
		if !waiter.avoid.Has(permit.Engine) {
			return true
		}
		avoided = true
	}
	if avoided {
		waiter.avoid = nil
		traffic.dispatch(now)
	}
	return avoided
}

// poolFor returns the pool that runs a base model.
func poolFor(state *conf.State, baseModel string) (string, bool) {
	for _, resource := range state.Engines() {
		if resource.BackendServer.BaseModel == baseModel {
			return resource.BackendServer.Pool, true
		}
	}
	return "", false
}

// startRequest reserves the best instance of a model for a request, or returns nil. It must be called with the mutex
// held.
func (traffic *traffic) startRequest(now time.Time, state *conf.State, model string, avoid value.Set[string]) *Slot {
	permits, candidates := traffic.permitted(now, state, model)
	name, found := traffic.balancer.Pick(now, candidates, model, avoid)
	if !found || !traffic.permits.StartRequest(now, permits[name].Instance) {
		return nil
	}
	traffic.balancer.RequestStarted(name)
	address := state.Get(conf.Ref{Kind: conf.KindBackendServer, Name: name}).BackendServer.Address
	return &Slot{node: traffic.node, permit: permits[name], address: address}
}

// permitted returns the permits for a model by engine, and these engines as candidates. It must be called with the mutex held.
func (traffic *traffic) permitted(now time.Time, state *conf.State, model string) (map[string]place.Permit, []route.Candidate) {
	permits := map[string]place.Permit{}
	var candidates []route.Candidate
	for _, permit := range traffic.permits.Usable(now, model) {
		resource := state.Get(conf.Ref{Kind: conf.KindBackendServer, Name: permit.Engine})
		if resource == nil || state.Draining(resource.BackendServer) {
			continue
		}
		permits[permit.Engine] = permit
		candidates = append(candidates, candidate(resource))
	}
	return permits, candidates
}

func candidate(resource *conf.Resource) route.Candidate {
	server := resource.BackendServer
	return route.Candidate{Server: resource.Name, DataCentre: server.DataCentre, MaxInFlight: server.MaxInFlight}
}

// acquire requests a permit from the owner of a pool.
func (node *Node) acquire(ctx context.Context, state *conf.State, pool string, request place.PermitRequest) place.Refusal {
	owner := state.Owner(pool)
	known, found := state.Roster().Member(owner.Host)
	if !found {
		return place.RefuseNotOwner
	}
	timeout := time.Duration(0)
	if deadline, limited := ctx.Deadline(); limited {
		timeout = time.Until(deadline)
	}
	sentAt := time.Now()
	var result acquireResult
	params := acquireParams{Host: node.Name(), Pool: pool, Request: request, Timeout: timeout}
	// A stale host cannot serve the request, so the caller must not wait for this call any longer.
	ctx, cancel := node.whileFresh(ctx)
	defer cancel()
	if err := node.callHost(ctx, known, methodAcquire, params, &result); err != nil {
		return place.RefuseNotOwner
	}
	if result.Refusal == place.RefuseNone {
		node.traffic.mutex.Lock()
		defer node.traffic.mutex.Unlock()
		// The permit's duration counts from sentAt. If it has expired during a long load, it is requested again.
		node.traffic.permits.Add(sentAt, result.Permit)
		node.traffic.dispatch(time.Now())
	}
	return result.Refusal
}

// whileFresh returns a context that is cancelled soon after the host becomes stale.
func (node *Node) whileFresh(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		ticker := time.NewTicker(fresh.MaxProofAge / 4)
		defer ticker.Stop()
		for node.Fresh(time.Now()) {
			select {
			case <-ticker.C:
			case <-ctx.Done():
				return
			}
		}
		cancel()
	}()
	return ctx, cancel
}

// MarkLost records that an engine does not have an instance for which this host holds a permit.
func (node *Node) MarkLost(instance string) {
	node.traffic.mutex.Lock()
	defer node.traffic.mutex.Unlock()
	node.traffic.permits.MarkLost(instance)
}
