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

// startTakeover starts the takeover of a pool once the former owner cannot act any more: it has acknowledged the new
// owner, or a quorum has held that revision for fresh.TakeoverDelay.
func (control *control) startTakeover(now time.Time, pool string, owner conf.Owner) {
	owned := control.owned[pool]
	if owned == nil || owned.owner.Epoch != owner.Epoch {
		owned = control.newOwnedPool(pool, owner)
		control.owned[pool] = owned
	}
	if owned.active || owned.takingOver || owned.resigning {
		return
	}
	revision := control.state.Get(conf.Ref{Kind: conf.KindOwner, Name: pool}).Revision
	former := owner.Previous
	acknowledged := former != control.node.Name() && control.tracker.Acknowledged(revision).Has(former)
	if former != "" && !acknowledged && control.inForceFor(now, revision) < fresh.TakeoverDelay {
		return
	}
	owned.takingOver = true
	control.takeCensus(owned)
}

// engineReport is the status of one engine at the takeover of its pool.
type engineReport struct {
	name   string
	status engine.Status
	err    error
}

// takeCensus requests from every host which instances it still uses, and from every engine which instances it holds.
// Then this host starts to act as owner.
func (control *control) takeCensus(owned *ownedPool) {
	members := control.state.Roster().AllMembers()
	engines := control.engineClients(owned.name)
	params := censusParams{Pool: owned.name, Epoch: owned.owner.Epoch}
	control.background(func() {}, func(ctx context.Context) func(time.Time) {
		census, idle := control.node.requestCensus(ctx, members, params)
		reports := readEngines(ctx, engines)
		return func(now time.Time) {
			owned.takingOver = false
			if control.owned[owned.name] != owned {
				return
			}
			control.activate(now, owned, census, idle, reports)
		}
	})
}

func (node *Node) requestCensus(ctx context.Context, members []conf.Member, params censusParams) ([]place.Census, map[string]bool) {
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

func readEngines(ctx context.Context, clients map[string]*engine.Client) []engineReport {
	reports := make([]engineReport, 0, len(clients))
	var mutex sync.Mutex
	var group sync.WaitGroup
	for name, client := range clients {
		group.Go(func() {
			status, err := client.Status(ctx)
			mutex.Lock()
			defer mutex.Unlock()
			reports = append(reports, engineReport{name: name, status: status, err: err})
		})
	}
	group.Wait()
	return reports
}

func (control *control) activate(now time.Time, owned *ownedPool, census []place.Census, idle map[string]bool, reports []engineReport) {
	former := owned.owner.Previous
	formerIdle := former == "" || idle[former]
	if !formerIdle {
		control.formerOrdersUntil[owned.name] = now.Add(place.MaxInstanceUse)
	}
	for _, report := range reports {
		if report.err != nil {
			continue
		}
		resource := control.state.Get(conf.Ref{Kind: conf.KindBackendServer, Name: report.name})
		if resource == nil {
			continue
		}
		// On an engine that does not check fencing tokens, an order of the former owner may still take effect, unless
		// that owner has reported that it is idle.
		if resource.BackendServer.ChecksFencing || formerIdle {
			owned.manager.TakeOver(now, report.name, report.status.Instances, census)
		}
		owned.manager.UpdateEngine(now, now, report.name, report.status.Instances)
		owned.manager.ReleaseUnused(now, report.name, census)
	}
	owned.active = true
	control.node.log.Info("acting as owner", "pool", owned.name, "epoch", owned.owner.Epoch)
}

// idle reports whether no order to the engines of a pool can be under way, neither from this host nor from an earlier
// owner.
func (control *control) idle(now time.Time, pool string) bool {
	return control.activeOrders[pool] == 0 && !now.Before(control.formerOrdersUntil[pool])
}

func (control *control) handleCensus(now time.Time, params censusParams) censusResult {
	engines := value.NewSet[string]()
	for _, spec := range engineSpecs(control.state, params.Pool) {
		engines.Add(spec.Name)
	}
	return censusResult{Uses: control.node.traffic.revokeOlder(now, params.Epoch-1, engines), Idle: control.idle(now, params.Pool)}
}

// resignPools resigns from each pool that this host owns once the orders of the pool have ended.
func (node *Node) resignPools(ctx context.Context) {
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
			if !control.idle(now, owned.name) {
				next.Previous = node.Name()
			}
		})
		outcome := node.commitOwner(ctx, owned.name, owned.owner, next)
		node.log.Info("resigned as owner", "pool", owned.name, "epoch", owned.owner.Epoch, "outcome", outcome.Status)
	}
	if len(resigned) > 0 {
		node.awaitInForce(ctx)
	}
}

func (node *Node) awaitOrders(ctx context.Context, owned *ownedPool) {
	for {
		idle := false
		if !node.loop.Do(ctx, func(time.Time) { idle = owned.activeOrders == 0 }) || idle {
			return
		}
		select {
		case <-time.After(tickInterval):
		case <-ctx.Done():
			return
		}
	}
}

// awaitInForce waits, at most for callTimeout, until the last commit is in force on all hosts, so that none of them has
// to wait for this host later.
func (node *Node) awaitInForce(ctx context.Context) {
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
