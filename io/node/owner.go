package node

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"maps"
	"time"

	"lentilproxy"
	"lentilproxy/core/conf"
	"lentilproxy/core/place"
	"lentilproxy/core/value"
	"lentilproxy/io/engine"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/oops"
)

const (
	// ownerTimeout is how long after the last response of an owner another host proposes itself.
	ownerTimeout = 2500 * time.Millisecond
	// maxEngineFailures is the number of consecutive failed status requests after which an engine counts as down.
	maxEngineFailures = 3
	// maxWaiting bounds the permit requests that wait at an owner.
	maxWaiting = 2000
	// maxFreshWait bounds how long an order waits until the owner is fresh again.
	maxFreshWait = 5 * time.Second
)

// ownedPool is a pool that this host owns or is taking over.
type ownedPool struct {
	name       string
	owner      conf.Owner
	manager    *place.Manager
	active     bool
	takingOver bool
	resigning  bool
	// tickets holds the channels that receive the results of waiting permit requests, by ticket.
	tickets map[int64]chan acquireResult
	// failures counts the consecutive failed status requests to each engine, and running holds the number of running
	// requests that each engine last reported.
	failures map[string]int
	running  map[string]int
	// activeOrders counts the orders to engines that are under way.
	activeOrders int
}

func (control *control) newOwnedPool(name string, owner conf.Owner) *ownedPool {
	weights := control.node.settings.Weights
	owned := &ownedPool{
		name: name, owner: owner, tickets: map[int64]chan acquireResult{}, failures: map[string]int{}, running: map[string]int{},
		manager: place.NewManager(owner.Epoch,
			place.WithBudget(place.NewBudget(weights.LoadsPerSecond, weights.Parallel)),
			place.WithPolicy(newPolicy(weights.Policy))),
	}
	owned.manager.Configure(engineSpecs(control.state, name))
	return owned
}

func newPolicy(name string) lentilproxy.PlacementPolicy {
	switch name {
	case "least_loaded":
		return place.NewLeastLoadedPolicy()
	case "rendezvous":
		return place.NewRendezvousPolicy()
	default:
		return place.NewDemandPolicy()
	}
}

// engineSpecs returns the specs of the engines of a pool.
func engineSpecs(state *conf.State, pool string) []place.EngineSpec {
	var found []place.EngineSpec
	for _, resource := range state.Engines() {
		server := resource.BackendServer
		if server.Pool == pool {
			found = append(found, place.EngineSpec{
				Name: resource.Name, DataCentre: server.DataCentre, BaseModel: server.BaseModel,
				Slots: server.Slots, Draining: state.Draining(server),
			})
		}
	}
	return found
}

func poolNames(state *conf.State) value.Set[string] {
	names := value.NewSet[string]()
	for _, resource := range state.Engines() {
		names.Add(resource.BackendServer.Pool)
	}
	return names
}

// configureOwned applies a new state to the owned pools. Pools that have another owner or epoch now are dropped at
// once.
func (control *control) configureOwned() {
	for name, owned := range control.owned {
		if !control.owns(name) || control.state.Owner(name).Epoch != owned.owner.Epoch {
			control.dropOwned(name)
			continue
		}
		owned.manager.Configure(engineSpecs(control.state, name))
	}
}

func (control *control) owns(pool string) bool {
	owner := control.state.Owner(pool)
	return owner.Host == control.node.Name() && owner.Incarnation == control.incarnation
}

func (control *control) dropOwned(pool string) {
	for _, ticket := range control.owned[pool].tickets {
		ticket <- acquireResult{Refusal: place.RefuseNotOwner}
	}
	delete(control.owned, pool)
}

// reviewOwners takes over the pools that this host owns according to the configuration, and proposes this host for
// pools without a responsive owner.
func (control *control) reviewOwners(now time.Time, done func()) {
	defer done()
	if control.node.leaving() || !control.tracker.Fresh(now) {
		return
	}
	for _, pool := range value.Sorted(poolNames(control.state)) {
		owner := control.state.Owner(pool)
		switch {
		case control.owns(pool):
			control.startTakeover(now, pool, owner)
		case control.vacant(now, pool, owner) && control.isPreferredOwner(now, pool, owner):
			control.proposeOwner(pool, owner)
		}
	}
}

// vacant reports whether a pool needs another owner. A premature proposal is safe, since the new owner waits until the
// former one cannot act any more.
func (control *control) vacant(now time.Time, pool string, owner conf.Owner) bool {
	if owner.Host == "" || owner.Host == control.node.Name() {
		return true
	}
	if control.directory.Terminated(owner.Host) {
		return true
	}
	silentFor := min(now.Sub(control.respondedAt[owner.Host]), now.Sub(control.ownerKnownSince(now, pool, owner)))
	return silentFor > ownerTimeout
}

// knownOwner is an owner of a pool and the time since which this host knows it.
type knownOwner struct {
	owner conf.Owner
	since time.Time
}

// ownerKnownSince returns since when this host knows the owner of a pool. It calls owners often, but other hosts rarely, so
// a host that has not responded lately may not have been called before it became the owner.
func (control *control) ownerKnownSince(now time.Time, pool string, owner conf.Owner) time.Time {
	if known := control.knownOwners[pool]; known.owner != owner || known.since.IsZero() {
		control.knownOwners[pool] = knownOwner{owner: owner, since: now}
	}
	return control.knownOwners[pool].since
}

// isPreferredOwner reports whether this host ranks first for a pool among the responsive members, except the present
// owner.
func (control *control) isPreferredOwner(now time.Time, pool string, owner conf.Owner) bool {
	own := rank(pool, control.node.Name())
	for _, known := range control.state.Roster().Members {
		responsive := now.Sub(control.respondedAt[known.Name]) <= ownerTimeout
		if known.Name != owner.Host && known.Name != control.node.Name() && responsive && rank(pool, known.Name) > own {
			return false
		}
	}
	return control.state.Roster().Has(control.node.Name())
}

// rank returns the rendezvous hash of a host for a pool.
func rank(pool, host string) uint64 { return xxhash.Sum64String(pool + "\x00" + host) }

func (control *control) proposeOwner(pool string, old conf.Owner) {
	if control.proposing {
		return
	}
	control.proposing = true
	next := conf.Owner{
		Host: control.node.Name(), Incarnation: control.incarnation, Epoch: old.Epoch + 1, Previous: cmp.Or(old.Host, old.Previous),
	}
	control.background(func() { control.proposing = false }, func(ctx context.Context) func(time.Time) {
		outcome := control.node.commitOwner(ctx, pool, old, next)
		return func(time.Time) {
			control.node.log.Info("proposed as owner", "pool", pool, "epoch", next.Epoch, "outcome", outcome.Status)
		}
	})
}

func (node *Node) commitOwner(ctx context.Context, pool string, old, next conf.Owner) CommitOutcome {
	return node.Commit(ctx, newToken(), func(state *conf.State) (conf.Change, []conf.Problem, bool) {
		resource := conf.Resource{Kind: conf.KindOwner, Name: pool, Owner: &next}
		return conf.Change{Puts: []conf.Resource{resource}}, nil, state.Owner(pool) == old
	})
}

func (control *control) engineClients(pool string) map[string]*engine.Client {
	clients := map[string]*engine.Client{}
	for _, resource := range control.state.Engines() {
		if resource.BackendServer.Pool == pool {
			clients[resource.Name] = engine.New(resource.BackendServer.Address, control.node.backends)
		}
	}
	return clients
}

// pollEngines requests from the engines of owned pools which instances they hold.
func (control *control) pollEngines(_ time.Time, done func()) {
	defer done()
	for _, owned := range control.owned {
		if !owned.active {
			continue
		}
		for name, client := range control.engineClients(owned.name) {
			control.pollEngine(owned, name, client)
		}
	}
}

func (control *control) pollEngine(owned *ownedPool, name string, client *engine.Client) {
	control.background(func() {}, func(ctx context.Context) func(time.Time) {
		sentAt := time.Now()
		status, err := client.Status(ctx)
		return func(now time.Time) {
			if err != nil {
				owned.failures[name]++
				if owned.failures[name] == maxEngineFailures {
					owned.manager.EngineDown(name)
					control.node.log.Info("engine down", "pool", owned.name, "engine", name)
				}
				return
			}
			owned.failures[name] = 0
			owned.running[name] = status.Running
			owned.manager.UpdateEngine(now, sentAt, name, status.Instances)
		}
	})
}

// stepOwned carries out the decisions of the managers of owned pools.
func (control *control) stepOwned(now time.Time) {
	if !control.tracker.Fresh(now) {
		return
	}
	for _, owned := range control.owned {
		if owned.active && !owned.resigning {
			control.step(now, owned)
		}
	}
}

func (control *control) step(now time.Time, owned *ownedPool) {
	replies, orders := owned.manager.Step(now)
	for _, reply := range replies {
		if ticket := owned.tickets[reply.Ticket]; ticket != nil {
			delete(owned.tickets, reply.Ticket)
			ticket <- acquireResult{Permit: reply.Permit, Refusal: reply.Refusal}
		}
	}
	for _, order := range orders {
		control.execute(owned, order)
	}
}

func (control *control) execute(owned *ownedPool, order place.Order) {
	if order.Kind == place.OrderRevoke {
		for _, host := range order.Hosts {
			control.requestRevocation(owned, host, order.Instance)
		}
		return
	}
	client := control.engineClients(owned.name)[order.Engine]
	if client == nil {
		return
	}
	owned.activeOrders++
	control.activeOrders[owned.name]++
	finish := func() {
		owned.activeOrders--
		control.activeOrders[owned.name]--
	}
	control.background(finish, func(ctx context.Context) func(time.Time) {
		err := control.node.sendOrder(ctx, client, owned, order)
		return func(now time.Time) { control.finishOrder(now, owned, order, err) }
	})
}

// sendOrder sends an order to an engine once this host may act as owner.
func (node *Node) sendOrder(ctx context.Context, client lentilproxy.Engine, owned *ownedPool, order place.Order) error {
	if err := node.awaitOwnership(ctx, owned.name, owned.owner); err != nil {
		return err
	}
	if order.Kind == place.OrderLoad {
		return client.Load(ctx, lentilproxy.LoadOrder{Instance: order.Instance, Source: order.Source, FencingToken: owned.owner.Epoch})
	}
	return client.Unload(ctx, lentilproxy.UnloadOrder{Instance: order.Instance, FencingToken: owned.owner.Epoch})
}

func (node *Node) awaitOwnership(ctx context.Context, pool string, owner conf.Owner) error {
	deadline := time.Now().Add(maxFreshWait)
	for {
		view := node.View()
		now := time.Now()
		if view.state.Owner(pool) != owner {
			return oops.Code("not_owner").Errorf("the pool has another owner")
		}
		if view.Fresh(now) {
			return nil
		}
		if now.After(deadline) {
			return oops.Code("stale").Errorf("this host is not fresh")
		}
		select {
		case <-time.After(tickInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (control *control) finishOrder(now time.Time, owned *ownedPool, order place.Order, err error) {
	if order.Kind == place.OrderLoad {
		if errors.Is(err, lentilproxy.ErrNoResponse) {
			owned.manager.LoadUnanswered(now, order.Instance)
			control.node.log.Info("load without a response", "pool", owned.name, "engine", order.Engine, "instance", order.Instance, "error", err.Error())
		} else {
			owned.manager.FinishLoad(now, order.Instance, err == nil)
		}
		control.node.metrics.Counter("loads").Inc(1)
		if err != nil {
			control.node.metrics.Counter("load_failures").Inc(1)
		}
	} else {
		owned.manager.FinishUnload(now, order.Engine, order.Instance, err == nil)
		control.node.metrics.Counter("unloads").Inc(1)
	}
	if control.owned[owned.name] == owned && control.tracker.Fresh(now) && !owned.resigning {
		control.step(now, owned)
	}
}

func (control *control) requestRevocation(owned *ownedPool, host, instance string) {
	known, found := control.state.Roster().Member(host)
	if !found {
		return
	}
	params := revokeParams{Epoch: owned.owner.Epoch, Instances: []string{instance}}
	control.background(func() {}, func(ctx context.Context) func(time.Time) {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		var result revokeResult
		err := control.node.callHost(ctx, known, methodRevoke, params, &result)
		return func(now time.Time) {
			switch {
			case err != nil:
				// The permit stays valid until it expires, since the host may still use it.
				return
			case len(result.Returned) == 0:
				owned.manager.CancelRevocation(now, host, instance)
			default:
				owned.manager.ReturnPermits(host, result.Returned)
			}
			control.stepOwned(now)
		}
	})
}

// callHost calls a method of a host, which may be this one.
func (node *Node) callHost(ctx context.Context, known conf.Member, method string, params, result any) error {
	if known.Name != node.Name() {
		return node.peers.Call(ctx, known.PeerAddress, method, params, result)
	}
	reply, err := node.traffic.control.handle(ctx, method, mustEncode(params))
	if err != nil {
		return err
	}
	return json.Unmarshal(mustEncode(reply), result)
}

func (control *control) handleAcquire(ctx context.Context, raw json.RawMessage) (any, error) {
	var params acquireParams
	if err := json.Unmarshal(raw, &params); err != nil {
		return nil, oops.Code("bad_params").Wrap(err)
	}
	reply := make(chan acquireResult, 1)
	control.node.loop.Post(func(now time.Time) {
		owned := control.owned[params.Pool]
		if owned == nil || !owned.active || owned.resigning || !control.tracker.Fresh(now) || owned.manager.Waiting() >= maxWaiting {
			reply <- acquireResult{Refusal: place.RefuseNotOwner}
			return
		}
		ticket := owned.manager.Acquire(now, params.Host, params.Request, now.Add(params.Timeout))
		owned.tickets[ticket] = reply
		control.step(now, owned)
	})
	select {
	case result := <-reply:
		return result, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-control.node.background.Done():
		return acquireResult{Refusal: place.RefuseNotOwner}, nil
	}
}

func (control *control) handleReport(now time.Time, params reportParams) reportResult {
	owned := control.owned[params.Pool]
	if owned == nil || !owned.active || !control.tracker.Fresh(now) {
		return reportResult{}
	}
	return reportResult{Owner: true, Renewed: owned.manager.Report(now, params.Host, params.Uses), Running: maps.Clone(owned.running)}
}
