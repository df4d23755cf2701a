package coord

import (
	"context"
	"time"

	"lentilproxy/core/slots"
	"lentilproxy/core/spec"
	"lentilproxy/io/clock"
)

// LoadOutcome is the answer to the load request for an adapter on a server.
type LoadOutcome string

// The outcomes of a load request.
const (
	LoadReady LoadOutcome = "ready"
	// LoadRejected means that the server has no place for a further adapter now.
	LoadRejected LoadOutcome = "full"
	// LoadTimeout means that the adapter did not arrive in time.
	LoadTimeout LoadOutcome = "timeout"
	// LoadNoHolder means that nobody gives orders to the server, or that its holder could not be asked.
	LoadNoHolder LoadOutcome = "no_holder"
)

const (
	// maxLoadWait bounds the wait for one adapter; a load takes a quarter of a second if the server takes orders.
	maxLoadWait = 2 * time.Second
	// loadMargin is how much longer the asking host waits than the holder.
	loadMargin = 150 * time.Millisecond
)

type loadParams struct {
	Server  string  `json:"server"`
	Born    int64   `json:"born"`
	Adapter string  `json:"adapter"`
	Demand  float64 `json:"demand"`
	WaitMS  int64   `json:"wait_ms"`
}

type loadResult struct {
	Outcome LoadOutcome `json:"outcome"`
	Version int64       `json:"version,omitempty"`
}

// loadKey identifies a load request, which all requests of a host that have it share.
type loadKey struct {
	life    spec.Incarnation
	adapter string
}

type pendingLoad struct {
	done    chan struct{}
	outcome LoadOutcome
}

// Load has an adapter loaded on a server and waits until it can be used there.
func (coordinator *Coordinator) Load(ctx context.Context, server spec.Server, adapter string) LoadOutcome {
	pending := coordinator.request(server, adapter)
	select {
	case <-pending.done:
		return pending.outcome
	case <-ctx.Done():
		return LoadTimeout
	}
}

// Copy has a further copy of an adapter loaded, without waiting for it.
func (coordinator *Coordinator) Copy(server spec.Server, adapter string) {
	coordinator.request(server, adapter)
}

// request returns the load request for an adapter on a server, which all that ask for the same share.
func (coordinator *Coordinator) request(server spec.Server, adapter string) *pendingLoad {
	return coordinator.traffic.join(loadKey{life: server.Incarnation(), adapter: adapter}, func(pending *pendingLoad) {
		go coordinator.pursue(server, adapter, pending)
	})
}

// pursue asks the holder of a server and shares its answer.
func (coordinator *Coordinator) pursue(server spec.Server, adapter string, pending *pendingLoad) {
	params := loadParams{Server: server.ID, Born: server.StartedMillis, Adapter: adapter, Demand: 1, WaitMS: maxLoadWait.Milliseconds()}
	result := coordinator.askHolder(params)
	if result.Outcome == LoadReady {
		coordinator.traffic.arrived(server, adapter, result.Version)
	}
	pending.outcome = result.Outcome
	coordinator.traffic.leave(loadKey{life: server.Incarnation(), adapter: adapter})
	close(pending.done)
}

func (coordinator *Coordinator) askHolder(params loadParams) loadResult {
	address, own := coordinator.traffic.holderOf(params.Server)
	if own {
		return coordinator.traffic.control.load(coordinator.ctx, params)
	}
	if address == "" {
		return loadResult{Outcome: LoadNoHolder}
	}
	ctx, cancel := context.WithTimeout(coordinator.ctx, maxLoadWait+loadMargin)
	defer cancel()
	var result loadResult
	if err := coordinator.peers.Call(ctx, address, methodLoad, params, &result); err != nil {
		coordinator.log.Info("holder not reached", "server", params.Server, "peer", address, "adapter", params.Adapter, "error", err.Error())
		return loadResult{Outcome: LoadNoHolder}
	}
	return result
}

// slowLoad is the time from which on a load request that took long is written to the log.
const slowLoad = 500 * time.Millisecond

// load answers a load request for an adapter on a server that this host holds.
func (control *control) load(ctx context.Context, params loadParams) loadResult {
	startedAt := clock.Now()
	result := control.awaitLoad(ctx, params)
	waited := clock.Now().Sub(startedAt)
	if waited < slowLoad {
		return result
	}
	control.coordinator.do(func(now time.Time) {
		fields := []any{"server", params.Server, "adapter", params.Adapter, "outcome", result.Outcome, "ms", waited.Milliseconds()}
		if controller := control.controllers[params.Server]; controller != nil {
			census := controller.slots.Counts(now)
			fields = append(fields, "places", census.Capacity, "ready", census.Ready, "in_use", census.InUse, "loading", census.Loading,
				"requested", census.Requested, "leaving", census.Unloading, "busy", census.Busy, "synced", census.Synced)
		}
		control.coordinator.log.Info("adapter late", fields...)
	})
	return result
}

func (control *control) awaitLoad(ctx context.Context, params loadParams) loadResult {
	deadline := clock.Now().Add(time.Duration(params.WaitMS) * time.Millisecond)
	first := true
	for {
		var result loadResult
		var changed chan struct{}
		if !control.coordinator.do(func(now time.Time) { result, changed = control.loadState(now, params, first) }) {
			return loadResult{Outcome: LoadNoHolder}
		}
		first = false
		if result.Outcome != "" {
			return result
		}
		left := deadline.Sub(clock.Now())
		if left <= 0 {
			return loadResult{Outcome: LoadTimeout}
		}
		timer := time.NewTimer(left)
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
		if ctx.Err() != nil {
			return loadResult{Outcome: LoadTimeout}
		}
	}
}

// loadState looks at a load request once. An empty outcome means that it is worth waiting.
func (control *control) loadState(now time.Time, params loadParams, first bool) (loadResult, chan struct{}) {
	controller := control.controllers[params.Server]
	if controller == nil || controller.server.StartedMillis != params.Born || controller.server.Draining {
		return loadResult{Outcome: LoadNoHolder}, nil
	}
	if _, holds := control.registry.FencingToken(now, params.Server); !holds {
		return loadResult{Outcome: LoadNoHolder}, nil
	}
	var answer slots.LoadState
	if first {
		answer = controller.slots.Request(now, params.Adapter, params.Demand)
		controller.rouse()
	} else {
		answer = controller.slots.State(now, params.Adapter)
	}
	switch answer {
	case slots.LoadReady:
		return loadResult{Outcome: LoadReady, Version: controller.slots.Ready()[params.Adapter]}, nil
	case slots.LoadRejected:
		return loadResult{Outcome: LoadRejected}, nil
	default:
		return loadResult{}, controller.changed
	}
}
