package node

import (
	"cmp"
	"context"
	"encoding/json"
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
	// ownerSilence is how long an owner may be silent before another host proposes itself.
	ownerSilence = 2500 * time.Millisecond
	// engineFailures is the number of status reads in a row that fail before an engine counts as down.
	engineFailures = 3
	// maxWaiting bounds the requests for permits that an owner keeps.
	maxWaiting = 2000
	// freshWait bounds how long an order waits for the owner to be fresh again.
	freshWait = 5 * time.Second
)

// ownedPool is a pool that this host owns, or is about to.
type ownedPool struct {
	name      string
	owner     conf.Owner
	manager   *place.Manager
	active    bool
	entering  bool
	resigning bool
	tickets   map[int64]chan acquireResult
	failures  map[string]int
	running   map[string]int
	// orders counts the orders to engines that are under way.
	orders int
}

func (control *control) newOwnedPool(name string, owner conf.Owner) *ownedPool {
	weights := control.node.settings.Weights
	owned := &ownedPool{
		name: name, owner: owner, tickets: map[int64]chan acquireResult{}, failures: map[string]int{}, running: map[string]int{},
		manager: place.NewManager(owner.Epoch,
			place.WithBudget(place.NewBudget(weights.LoadsPerSecond, weights.Parallel)),
			place.WithPolicy(newPolicy(weights.Policy))),
	}
	owned.manager.Configure(specs(control.state, name))
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

// specs returns the engines of a pool.
func specs(state *conf.State, pool string) []place.EngineSpec {
	var found []place.EngineSpec
	for _, resource := range state.Engines() {
		server := resource.BackendServer
		if server.Pool == pool {
			found = append(found, place.EngineSpec{
				Name: resource.Name, DataCentre: server.DataCentre, BaseModel: server.BaseModel,
				Slots: server.Slots, Draining: server.Draining,
			})
		}
	}
	return found
}

func pools(state *conf.State) value.Set[string] {
	names := value.NewSet[string]()
	for _, resource := range state.Engines() {
		names.Add(resource.BackendServer.Pool)
	}
	return names
}

// configureOwned follows a new state: pools that another host owns now are dropped at once.
func (control *control) configureOwned() {
	for name, owned := range control.owned {
		if !control.owns(name) || control.state.Owner(name).Epoch != owned.owner.Epoch {
			control.drop(name)
			continue
		}
		owned.manager.Configure(specs(control.state, name))
	}
}

func (control *control) owns(pool string) bool {
	owner := control.state.Owner(pool)
	return owner.Host == control.node.Name() && owner.Incarnation == control.incarnation
}

func (control *control) drop(pool string) {
	for _, ticket := range control.owned[pool].tickets {
		ticket <- acquireResult{Refusal: place.RefuseNotOwner}
	}
	delete(control.owned, pool)
}

// reviewOwners enters pools that this host owns and proposes this host for pools without a live owner.
func (control *control) reviewOwners(now time.Time, done func()) {
	defer done()
	if control.node.leaving() || !control.tracker.Fresh(now) {
		return
	}
	for _, pool := range value.Sorted(pools(control.state)) {
		owner := control.state.Owner(pool)
		switch {
		case control.owns(pool):
			control.enter(now, pool, owner)
		case control.vacant(now, owner) && control.candidate(now, pool, owner):
			control.proposeOwner(pool, owner)
		}
	}
}

// vacant says whether a pool needs another owner. A premature proposal is safe, since the former owner is waited for.
func (control *control) vacant(now time.Time, owner conf.Owner) bool {
	if owner.Host == "" || owner.Host == control.node.Name() {
		return true
	}
	if control.directory.Terminated(now, owner.Host) {
		return true
	}
	return now.Sub(control.heardAt[owner.Host]) > ownerSilence && now.Sub(control.freshSince(now)) > ownerSilence
}

// freshSince returns when this host started to listen to peers.
func (control *control) freshSince(now time.Time) time.Time {
	if control.startedAt.IsZero() {
		control.startedAt = now
	}
	return control.startedAt
}

// candidate says whether this host is the first choice among the live members.
func (control *control) candidate(now time.Time, pool string, owner conf.Owner) bool {
	own := rank(pool, control.node.Name())
	for _, known := range control.state.Roster().Members {
		alive := now.Sub(control.heardAt[known.Name]) <= ownerSilence
		if known.Name != owner.Host && known.Name != control.node.Name() && alive && rank(pool, known.Name) > own {
			return false
		}
	}
	return control.state.Roster().Has(control.node.Name())
}

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

// pollEngines reads what the engines of owned pools hold.
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
		askedAt := time.Now()
		status, err := client.Status(ctx)
		return func(now time.Time) {
			if err != nil {
				owned.failures[name]++
				if owned.failures[name] == engineFailures {
					owned.manager.EngineDown(name)
					control.node.log.Info("engine down", "pool", owned.name, "engine", name)
				}
				return
			}
			owned.failures[name] = 0
			owned.running[name] = status.Running
			owned.manager.UpdateEngine(now, askedAt, name, status.Instances)
		}
	})
}

// stepOwned carries out what the owned pools decide.
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
		control.carryOut(owned, order)
	}
}

func (control *control) carryOut(owned *ownedPool, order place.Order) {
	if order.Kind == place.OrderRevoke {
		for _, host := range order.Hosts {
			control.revoke(owned, host, order.Instance)
		}
		return
	}
	client := control.engineClients(owned.name)[order.Engine]
	if client == nil {
		return
	}
	owned.orders++
	control.orders[owned.name]++
	count := func() {
		owned.orders--
		control.orders[owned.name]--
	}
	control.background(count, func(ctx context.Context) func(time.Time) {
		err := control.node.order(ctx, client, owned, order)
		return func(now time.Time) { control.carriedOut(now, owned, order, err) }
	})
}

// order sends an order, as long as this host may act as owner.
func (node *Node) order(ctx context.Context, client lentilproxy.Engine, owned *ownedPool, order place.Order) error {
	if err := node.awaitOwnership(ctx, owned.name, owned.owner); err != nil {
		return err
	}
	if order.Kind == place.OrderLoad {
		return client.Load(ctx, lentilproxy.LoadOrder{Instance: order.Instance, Source: order.Source, FencingToken: owned.owner.Epoch})
	}
	return client.Unload(ctx, lentilproxy.UnloadOrder{Instance: order.Instance, FencingToken: owned.owner.Epoch})
}

func (node *Node) awaitOwnership(ctx context.Context, pool string, owner conf.Owner) error {
	deadline := time.Now().Add(freshWait)
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

func (control *control) carriedOut(now time.Time, owned *ownedPool, order place.Order, err error) {
	if order.Kind == place.OrderLoad {
		owned.manager.FinishLoad(now, order.Instance, err == nil)
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

func (control *control) revoke(owned *ownedPool, host, instance string) {
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
				// The host keeps the permit until it ends; it may still use it until then.
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
		return node.pool.Call(ctx, known.PeerAddress, method, params, result)
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
		ticket := owned.manager.Acquire(now, params.Host, params.Want, now.Add(params.Timeout))
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

func (control *control) onReport(now time.Time, params reportParams) reportResult {
	owned := control.owned[params.Pool]
	if owned == nil || !owned.active || !control.tracker.Fresh(now) {
		return reportResult{}
	}
	return reportResult{Owner: true, Renewed: owned.manager.Report(now, params.Host, params.Uses), Running: maps.Clone(owned.running)}
}
