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
	// queueCheck is how often a request that waits looks whether this host may still serve it.
	queueCheck = 100 * time.Millisecond
	// acquireRetry is the wait before the owner of a pool is asked again.
	acquireRetry = 50 * time.Millisecond
)

// Slot is the right to send one request to one instance. It has to be released.
type Slot struct {
	node    *Node
	permit  place.Permit
	address string
	once    sync.Once
}

// Instance returns the name under which the engine knows the instance.
func (slot *Slot) Instance() string { return slot.permit.Instance }

// Engine returns the name of the backend server.
func (slot *Slot) Engine() string { return slot.permit.Engine }

// Address returns IP:port of the backend server.
func (slot *Slot) Address() string { return slot.address }

// Valid says whether the request may still be sent at an instant.
func (slot *Slot) Valid(now time.Time) bool {
	slot.node.traffic.mutex.Lock()
	defer slot.node.traffic.mutex.Unlock()
	return slot.node.traffic.holder.Valid(now, slot.permit.Instance)
}

// Release ends the use of the instance.
func (slot *Slot) Release() {
	slot.once.Do(func() {
		traffic := slot.node.traffic
		traffic.mutex.Lock()
		traffic.routes.RequestEnded(slot.permit.Engine)
		returned := traffic.holder.FinishRequest(slot.permit.Instance)
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
	want    place.PermitRequest
	avoid   value.Set[string]
	granted chan *Slot
}

// question identifies a question for a permit, which all requests that need its answer share.
type question struct {
	model string
	batch bool
}

// Reserve waits for an instance of an adapter version and reserves it for one request, in the order of the queue. The
// servers in avoid are used only if there is no other.
func (node *Node) Reserve(ctx context.Context, want place.PermitRequest, cost float64, avoid value.Set[string]) (*Slot, place.Refusal) {
	deadline, _ := ctx.Deadline()
	waiter := node.traffic.enqueue(time.Now(), want, cost, deadline, avoid)
	slot, refusal := node.wait(ctx, waiter)
	if slot == nil {
		node.traffic.leave(waiter)
	}
	return slot, refusal
}

func (node *Node) wait(ctx context.Context, waiter *waiter) (*Slot, place.Refusal) {
	for {
		if !node.Fresh(time.Now()) {
			return nil, place.RefuseStale
		}
		if slot := waiter.take(); slot != nil {
			return slot, place.RefuseNone
		}
		if ctx.Err() != nil {
			return nil, place.RefuseTimeout
		}
		if !node.traffic.permitted(time.Now(), waiter) {
			if refusal := node.obtain(ctx, waiter); refusal != place.RefuseNone && refusal != place.RefuseNotOwner {
				return nil, refusal
			}
			continue
		}
		select {
		case slot := <-waiter.granted:
			return slot, place.RefuseNone
		case <-time.After(queueCheck):
		case <-ctx.Done():
		}
	}
}

func (waiter *waiter) take() *Slot {
	select {
	case slot := <-waiter.granted:
		return slot
	default:
		return nil
	}
}

// obtain asks for a permit, or waits for the answer to the same question of another request.
func (node *Node) obtain(ctx context.Context, waiter *waiter) place.Refusal {
	view := node.View()
	pool, found := poolFor(view.state, waiter.want.BaseModel)
	if !found {
		return place.RefuseNoEngine
	}
	asked := question{model: waiter.want.Model, batch: waiter.want.Batch}
	answered, first := node.traffic.ask(asked)
	if !first {
		select {
		case <-answered:
		case <-ctx.Done():
		}
		return place.RefuseNone
	}
	defer node.traffic.answered(asked)
	refusal := node.acquire(ctx, view.state, pool, waiter.want)
	if refusal == place.RefuseNotOwner {
		select {
		case <-time.After(acquireRetry):
		case <-ctx.Done():
		}
	}
	return refusal
}

func (traffic *traffic) ask(asked question) (answered chan struct{}, first bool) {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	if answered = traffic.asking[asked]; answered != nil {
		return answered, false
	}
	answered = make(chan struct{})
	traffic.asking[asked] = answered
	return answered, true
}

func (traffic *traffic) answered(asked question) {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	close(traffic.asking[asked])
	delete(traffic.asking, asked)
}

func (traffic *traffic) enqueue(now time.Time, want place.PermitRequest, cost float64, deadline time.Time, avoid value.Set[string]) *waiter {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	traffic.number++
	waiter := &waiter{
		item: queue.Item{
			ID: traffic.number, Workspace: want.Workspace, Weight: want.Weight, Cost: cost, Batch: want.Batch, Deadline: deadline,
		},
		want: want, avoid: avoid, granted: make(chan *Slot, 1),
	}
	traffic.waiters[waiter.item.ID] = waiter
	traffic.queue.Push(waiter.item)
	traffic.dispatch(now)
	return waiter
}

// leave takes a request out of the queue. A slot that it was given meanwhile is released.
func (traffic *traffic) leave(waiter *waiter) {
	traffic.mutex.Lock()
	delete(traffic.waiters, waiter.item.ID)
	traffic.queue.Remove(waiter.item.ID)
	traffic.mutex.Unlock()
	if slot := waiter.take(); slot != nil {
		slot.Release()
	}
}

// dispatch gives slots to the requests that wait, in their order; it must be called with the mutex held.
func (traffic *traffic) dispatch(now time.Time) {
	state := traffic.node.View().state
	for {
		var slot *Slot
		item, found := traffic.queue.Next(now, func(item queue.Item) bool {
			waiter := traffic.waiters[item.ID]
			slot = traffic.take(now, state, waiter.want.Model, waiter.avoid)
			return slot != nil
		})
		if !found {
			return
		}
		traffic.waiters[item.ID].granted <- slot
		delete(traffic.waiters, item.ID)
	}
}

// permitted says whether the host has a permit that the request could use once there is room. Otherwise the servers
// that it avoids are the only ones, and are allowed from now on.
func (traffic *traffic) permitted(now time.Time, waiter *waiter) bool {
	state := traffic.node.View().state
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	avoided := false
	for _, permit := range traffic.holder.Usable(now, waiter.want.Model) {
		resource := state.Get(conf.Ref{Kind: conf.KindBackendServer, Name: permit.Engine})
		if resource == nil || resource.BackendServer.Draining {
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

// take starts a request on the best instance of a model, or returns nil; it must be called with the mutex held.
func (traffic *traffic) take(now time.Time, state *conf.State, model string, avoid value.Set[string]) *Slot {
	permits := map[string]place.Permit{}
	var candidates []route.Candidate
	for _, permit := range traffic.holder.Usable(now, model) {
		resource := state.Get(conf.Ref{Kind: conf.KindBackendServer, Name: permit.Engine})
		if resource == nil || resource.BackendServer.Draining {
			continue
		}
		permits[permit.Engine] = permit
		candidates = append(candidates, candidate(resource))
	}
	name, found := traffic.routes.Pick(now, candidates, model, avoid)
	if !found || !traffic.holder.StartRequest(now, permits[name].Instance) {
		return nil
	}
	traffic.routes.RequestStarted(name)
	address := state.Get(conf.Ref{Kind: conf.KindBackendServer, Name: name}).BackendServer.Address
	return &Slot{node: traffic.node, permit: permits[name], address: address}
}

func candidate(resource *conf.Resource) route.Candidate {
	server := resource.BackendServer
	return route.Candidate{Server: resource.Name, DataCentre: server.DataCentre, MaxInFlight: server.MaxInFlight}
}

// acquire asks the owner of a pool for a permit.
func (node *Node) acquire(ctx context.Context, state *conf.State, pool string, want place.PermitRequest) place.Refusal {
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
	params := acquireParams{Host: node.Name(), Pool: pool, Want: want, Timeout: timeout}
	// A call that outlives the proof would keep the caller waiting although this host can do nothing for it.
	ctx, cancel := node.whileFresh(ctx)
	defer cancel()
	if err := node.callHost(ctx, known, methodAcquire, params, &result); err != nil {
		return place.RefuseNotOwner
	}
	if result.Refusal == place.RefuseNone {
		node.traffic.mutex.Lock()
		defer node.traffic.mutex.Unlock()
		// The permit counts from the question. After a long load it may have ended, and is asked for again.
		node.traffic.holder.Add(sentAt, result.Permit)
		node.traffic.dispatch(time.Now())
	}
	return result.Refusal
}

// whileFresh returns a context that ends soon after the host turns stale.
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

// Lost reports that an engine does not have an instance, although this host holds a permit for it.
func (node *Node) Lost(instance string) {
	node.traffic.mutex.Lock()
	defer node.traffic.mutex.Unlock()
	node.traffic.holder.MarkLost(instance)
}
