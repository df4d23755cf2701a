package coord

import (
	"context"
	"time"

	"lentilproxy/core/slots"
	"lentilproxy/core/spec"
	"lentilproxy/io/clock"
)

// LoadOutcome is the outcome of the request to load an adapter on a server.
type LoadOutcome string

// The outcomes of a load request.
const (
	LoadReady LoadOutcome = "ready"
	// LoadRejected means that the server has no free capacity for another adapter now.
	LoadRejected LoadOutcome = "full"
	// LoadTimeout means that the adapter was not loaded in time.
	LoadTimeout LoadOutcome = "timeout"
	// LoadNoHolder means that no lease holder can order the load: there is none, it did not respond, or the server is
	// draining, wants no orders or has restarted.
	LoadNoHolder LoadOutcome = "no_holder"
)

const (
	// maxLoadWait bounds the wait for one adapter. A load takes a quarter of a second if the server accepts orders.
	maxLoadWait = 2 * time.Second
	// loadCallMargin is how much longer the calling host waits than the holder.
	loadCallMargin = 150 * time.Millisecond
)

type loadParams struct {
	Server        string  `json:"server"`
	StartedMillis int64   `json:"born"`
	Adapter       string  `json:"adapter"`
	Demand        float64 `json:"demand"`
	WaitMS        int64   `json:"wait_ms"`
	// DueMS is the time until the request should have its first event; 0 if the load is not for a waiting request.
	DueMS int64 `json:"due_ms,omitempty"`
}

type loadResult struct {
	Outcome LoadOutcome `json:"outcome"`
	Version int64       `json:"version,omitempty"`
	// LoadMS is the time from the holder's order to the end of the load, or until now if the load has not ended. It is missing if the
	// adapter was loaded already or the load has not begun, and in results of hosts of the previous version.
	LoadMS int64 `json:"load_ms,omitempty"`
}

// loadKey identifies a load request. All requests of a host with the same key share it.
type loadKey struct {
	incarnation spec.Incarnation
	adapter     string
}

type pendingLoad struct {
	done    chan struct{}
	outcome LoadOutcome
}

// Load requests that an adapter be loaded on a server, and waits for the outcome.
// Due is the time until the waiting request should have its first event.
func (coordinator *Coordinator) Load(ctx context.Context, server spec.Server, adapter string, due time.Duration) LoadOutcome {
	pending := coordinator.requestLoad(server, adapter, due)
	select {
	case <-pending.done:
		return pending.outcome
	case <-ctx.Done():
		return LoadTimeout
	}
}

// Replicate requests that another copy of an adapter be loaded on a server, without waiting for it.
func (coordinator *Coordinator) Replicate(server spec.Server, adapter string) {
	coordinator.requestLoad(server, adapter, 0)
}

// requestLoad returns the load request for an adapter on a server. It starts one unless one is in progress.
func (coordinator *Coordinator) requestLoad(server spec.Server, adapter string, due time.Duration) *pendingLoad {
	return coordinator.traffic.joinLoad(loadKey{incarnation: server.Incarnation(), adapter: adapter}, func(pending *pendingLoad) {
		go coordinator.runLoad(server, adapter, due, pending)
	})
}

// runLoad sends a load request to the lease holder of the server and stores the outcome.
func (coordinator *Coordinator) runLoad(server spec.Server, adapter string, due time.Duration, pending *pendingLoad) {
	params := loadParams{
		Server: server.ID, StartedMillis: server.StartedMillis, Adapter: adapter, Demand: 1, WaitMS: maxLoadWait.Milliseconds(),
		DueMS: max(0, due.Milliseconds()),
	}
	result := coordinator.callHolder(params)
	coordinator.traffic.recordLoad(clock.Now(), server, adapter, result)
	if result.Outcome == LoadReady {
		coordinator.traffic.addAdapter(server, adapter, result.Version)
	}
	pending.outcome = result.Outcome
	coordinator.traffic.removeLoad(loadKey{incarnation: server.Incarnation(), adapter: adapter})
	close(pending.done)
}

func (coordinator *Coordinator) callHolder(params loadParams) loadResult {
	address, own := coordinator.traffic.holderOf(params.Server)
	if own {
		return coordinator.traffic.control.handleLoad(coordinator.ctx, params)
	}
	if address == "" {
		return loadResult{Outcome: LoadNoHolder}
	}
	ctx, cancel := context.WithTimeout(coordinator.ctx, maxLoadWait+loadCallMargin)
	defer cancel()
	var result loadResult
	if err := coordinator.peers.Call(ctx, address, methodLoad, params, &result); err != nil {
		coordinator.log.Info("lease holder unreachable", "server", params.Server, "peer", address, "adapter", params.Adapter, "error", err.Error())
		return loadResult{Outcome: LoadNoHolder}
	}
	return result
}

// slowLoadThreshold is the duration from which on a load request is logged.
const slowLoadThreshold = 500 * time.Millisecond

// handleLoad handles a load request for an adapter on a server that this host holds.
func (control *control) handleLoad(ctx context.Context, params loadParams) loadResult {
	startedAt := clock.Now()
	result := control.awaitLoad(ctx, params)
	waited := clock.Now().Sub(startedAt)
	if waited < slowLoadThreshold {
		return result
	}
	control.coordinator.do(func(now time.Time) {
		fields := []any{"server", params.Server, "adapter", params.Adapter, "outcome", result.Outcome, "ms", waited.Milliseconds()}
		if controller := control.controllers[params.Server]; controller != nil {
			var counts slots.Counts
			control.coordinator.traffic.pacers.uses.locked(func() { counts = controller.slots.Counts(now) })
			fields = append(fields, "places", counts.Capacity, "ready", counts.Ready, "in_use", counts.InUse, "loading", counts.Loading,
				"requested", counts.Requested, "leaving", counts.Unloading, "busy", counts.Busy, "synced", counts.Synced)
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
		if !control.coordinator.do(func(now time.Time) {
			control.coordinator.traffic.pacers.uses.locked(func() { result, changed = control.checkLoad(now, params, first) })
		}) {
			return loadResult{Outcome: LoadNoHolder}
		}
		first = false
		if result.Outcome != "" {
			return result
		}
		remaining := deadline.Sub(clock.Now())
		if remaining <= 0 {
			return loadResult{Outcome: LoadTimeout, LoadMS: result.LoadMS}
		}
		timer := time.NewTimer(remaining)
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

// checkLoad returns the current result of a load request. An empty outcome means that the load may still succeed; the
// channel is closed after the next change. The first check of a request also registers it with the controller.
func (control *control) checkLoad(now time.Time, params loadParams, first bool) (loadResult, chan struct{}) {
	controller := control.controllers[params.Server]
	if controller == nil || controller.server.StartedMillis != params.StartedMillis || controller.server.Draining || controller.server.Evacuated {
		return loadResult{Outcome: LoadNoHolder}, nil
	}
	if _, holds := control.registry.FencingToken(now, params.Server); !holds {
		return loadResult{Outcome: LoadNoHolder}, nil
	}
	if control.coordinator.traffic.Wait(now, controller.server.Incarnation()) > 0 {
		return loadResult{Outcome: LoadNoHolder}, nil
	}
	var state slots.LoadState
	if first {
		due := now.Add(time.Duration(params.DueMS) * time.Millisecond)
		state = controller.slots.RequestBy(now, params.Adapter, params.Demand, due)
		controller.wakeUp()
	} else {
		state = controller.slots.State(now, params.Adapter)
	}
	var took time.Duration
	if !first {
		took = controller.slots.LoadTime(now, params.Adapter)
	}
	switch state {
	case slots.LoadReady:
		return loadResult{Outcome: LoadReady, Version: controller.slots.Ready()[params.Adapter], LoadMS: took.Milliseconds()}, nil
	case slots.LoadRejected:
		return loadResult{Outcome: LoadRejected}, nil
	default:
		return loadResult{LoadMS: took.Milliseconds()}, controller.changed
	}
}
