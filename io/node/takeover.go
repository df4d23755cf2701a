package node

import (
	"context"
	"sync"
	"time"

	"lentilproxy/core/conf"
	"lentilproxy/core/fresh"
	"lentilproxy/core/place"
	"lentilproxy/core/value"
	"lentilproxy/io/engine"
)

// enter makes this host act as owner once the former one cannot act any more.
func (control *control) enter(now time.Time, pool string, owner conf.Owner) {
	owned := control.owned[pool]
	if owned == nil || owned.owner.Epoch != owner.Epoch {
		owned = control.newOwnedPool(pool, owner)
		control.owned[pool] = owned
	}
	if owned.active || owned.entering || owned.resigning {
		return
	}
	revision := control.state.Get(conf.Ref{Kind: conf.KindOwner, Name: pool}).Revision
	former := owner.Previous
	acknowledged := former != control.node.Name() && control.tracker.Acknowledged(revision).Has(former)
	if former != "" && !acknowledged && control.inForceFor(now, revision) < fresh.TakeoverDelay {
		return
	}
	owned.entering = true
	control.takeCensus(owned)
}

// engineView is what one engine said when its pool was taken over.
type engineView struct {
	name   string
	status engine.Status
	err    error
}

// takeCensus asks every host what it still uses, and every engine what it holds, and then starts to act as owner.
func (control *control) takeCensus(owned *ownedPool) {
	members := control.state.Roster().AllMembers()
	engines := control.engineClients(owned.name)
	params := censusParams{Pool: owned.name, Epoch: owned.owner.Epoch}
	control.background(func() {}, func(ctx context.Context) func(time.Time) {
		census, idle := control.node.askCensus(ctx, members, params)
		views := readEngines(ctx, engines)
		return func(now time.Time) {
			owned.entering = false
			if control.owned[owned.name] != owned {
				return
			}
			control.activate(now, owned, census, idle, views)
		}
	})
}

func (node *Node) askCensus(ctx context.Context, members []conf.Member, params censusParams) ([]place.Census, map[string]bool) {
	census := make([]place.Census, len(members))
	idles := make([]bool, len(members))
	var group sync.WaitGroup
	for index, known := range members {
		group.Go(func() {
			var result censusResult
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			err := node.callHost(ctx, known, methodCensus, params, &result)
			census[index] = place.Census{Host: known.Name, Uses: result.Uses, Complete: err == nil}
			idles[index] = err == nil && result.Idle
		})
	}
	group.Wait()
	idle := map[string]bool{}
	for index, known := range members {
		idle[known.Name] = idles[index]
	}
	return census, idle
}

func readEngines(ctx context.Context, clients map[string]*engine.Client) []engineView {
	views := make([]engineView, 0, len(clients))
	var mutex sync.Mutex
	var group sync.WaitGroup
	for name, client := range clients {
		group.Go(func() {
			status, err := client.Status(ctx)
			mutex.Lock()
			defer mutex.Unlock()
			views = append(views, engineView{name: name, status: status, err: err})
		})
	}
	group.Wait()
	return views
}

func (control *control) activate(now time.Time, owned *ownedPool, census []place.Census, idle map[string]bool, views []engineView) {
	former := owned.owner.Previous
	clean := former == "" || idle[former]
	if !clean {
		control.unclean[owned.name] = now.Add(place.MaxInstanceUse)
	}
	for _, view := range views {
		if view.err != nil {
			continue
		}
		resource := control.state.Get(conf.Ref{Kind: conf.KindBackendServer, Name: view.name})
		if resource == nil {
			continue
		}
		// Without fencing, an order of the former owner may still be on its way unless it says otherwise.
		if resource.BackendServer.ChecksFencing || clean {
			owned.manager.TakeOver(now, view.name, view.status.Instances, census)
		}
		owned.manager.UpdateEngine(now, now, view.name, view.status.Instances)
		owned.manager.ReleaseUnused(now, view.name, census)
	}
	owned.active = true
	control.node.log.Info("acting as owner", "pool", owned.name, "epoch", owned.owner.Epoch)
}

// clean says whether no order to the engines of a pool can be under way, neither this host's nor one of an owner
// before it.
func (control *control) clean(now time.Time, pool string) bool {
	return control.orders[pool] == 0 && !now.Before(control.unclean[pool])
}

func (control *control) onCensus(now time.Time, params censusParams) censusResult {
	engines := value.NewSet[string]()
	for _, spec := range specs(control.state, params.Pool) {
		engines.Add(spec.Name)
	}
	return censusResult{Uses: control.node.traffic.revokeOlder(now, params.Epoch-1, engines), Idle: control.clean(now, params.Pool)}
}

// handOver resigns from the pools that this host owns, once no order is under way.
func (node *Node) handOver(ctx context.Context) {
	control := node.traffic.control
	var resigned []*ownedPool
	node.loop.Do(ctx, func(time.Time) {
		for _, owned := range control.owned {
			owned.resigning = true
			resigned = append(resigned, owned)
		}
	})
	for _, owned := range resigned {
		node.awaitOrders(ctx, owned)
		next := conf.Owner{Epoch: owned.owner.Epoch}
		node.loop.Do(ctx, func(now time.Time) {
			if !control.clean(now, owned.name) {
				next.Previous = node.Name()
			}
		})
		outcome := node.commitOwner(ctx, owned.name, owned.owner, next)
		node.log.Info("resigned as owner", "pool", owned.name, "epoch", owned.owner.Epoch, "outcome", outcome.Status)
	}
	if len(resigned) > 0 {
		node.announce(ctx)
	}
}

func (node *Node) awaitOrders(ctx context.Context, owned *ownedPool) {
	for {
		idle := false
		if !node.loop.Do(ctx, func(time.Time) { idle = owned.orders == 0 }) || idle {
			return
		}
		select {
		case <-time.After(tickInterval):
		case <-ctx.Done():
			return
		}
	}
}

// announce waits until a peer knows of the last commit, so that nobody waits for this host.
func (node *Node) announce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	revision := node.View().state.Revision()
	for {
		acceptance, err := node.Acceptance(ctx, revision)
		if err != nil || acceptance.InForce {
			return
		}
		select {
		case <-time.After(tickInterval):
		case <-ctx.Done():
			return
		}
	}
}
