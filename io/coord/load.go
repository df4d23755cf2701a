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
	// LoadLate means that the adapter cannot be loaded before the request's deadline.
	LoadLate LoadOutcome = "late"
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
	// Priority is that of the waiting request, 0 for the most urgent ones. It is absent without grants, and in calls of hosts that do not
	// state it. The other fields belong to it: DeadlineMS is the time until the adapter has to be loaded, LeftMS the time that the caller
	// has left, and Repeated reports that another server has refused the request before.
	Priority   *int   `json:"priority,omitempty"`
	Workspace  string `json:"workspace,omitempty"`
	DeadlineMS int64  `json:"deadline_ms,omitempty"`
	LeftMS     int64  `json:"left_ms,omitempty"`
	Digest     string `json:"digest,omitempty"`
	Repeated   bool   `json:"repeated,omitempty"`
}

type loadResult struct {
	Outcome LoadOutcome `json:"outcome"`
	Version int64       `json:"version,omitempty"`
	// LoadMS is the time from the holder's order to the end of the load, or until now if the load has not ended. It is missing if the
	// adapter was loaded already or the load has not begun, and in results of hosts of the previous version.
	LoadMS int64 `json:"load_ms,omitempty"`
	// Reason, ExpectedMS and RetryMS belong to the outcome late: the time until the adapter could be loaded, and until the caller should
	// return. Ahead is the number of loads that were ahead when the request arrived.
	Reason     slots.Reason `json:"reason,omitempty"`
	ExpectedMS int64        `json:"expected_ms,omitempty"`
	RetryMS    int64        `json:"retry_ms,omitempty"`
	Ahead      int          `json:"ahead,omitempty"`
	// Ordered reports that the request was put in order.
	Ordered bool `json:"ordered,omitempty"`
}

// loadKey identifies a load request. All requests of a host with the same key share it.
type loadKey struct {
	incarnation spec.Incarnation
	adapter     string
	urgency     urgency
}

type pendingLoad struct {
	done   chan struct{}
	result LoadResult
}

// Load requests that an adapter be loaded on a server, and waits for the outcome.
func (coordinator *Coordinator) Load(ctx context.Context, server spec.Server, request LoadRequest) LoadResult {
	startedAt := clock.Now()
	deadline := startedAt.Add(request.Deadline)
	if result, known := coordinator.knownLate(startedAt, server, request); known {
		return result
	}
	for {
		pending, joined := coordinator.requestLoad(server, request)
		select {
		case <-pending.done:
		case <-ctx.Done():
			return LoadResult{Outcome: LoadTimeout}
		}
		result := pending.result
		if result.Outcome != LoadLate || !joined || request.Deadline > 0 && result.Expected.After(deadline) {
			return result
		}
		// The load is late for the request that it was asked for, but not for this one.
		now := clock.Now()
		request.Due -= now.Sub(startedAt)
		request.Deadline = deadline.Sub(now)
		startedAt = now
	}
}

// Replicate requests that another copy of an adapter be loaded on a server, without waiting for it.
func (coordinator *Coordinator) Replicate(server spec.Server, adapter string) {
	coordinator.requestLoad(server, LoadRequest{Adapter: adapter, Replica: true})
}

// requestLoad returns the load request for an adapter on a server. It starts one unless one is in progress.
func (coordinator *Coordinator) requestLoad(server spec.Server, request LoadRequest) (pending *pendingLoad, joined bool) {
	key := loadKey{incarnation: server.Incarnation(), adapter: request.Adapter}
	ordered := !request.Replica && coordinator.traffic.grantsInUse()
	if ordered {
		key.urgency = urgencyOf(clock.Now(), request)
	}
	joined = true
	pending = coordinator.traffic.joinLoad(key, func(pending *pendingLoad) {
		joined = false
		params := loadParams{
			Server: server.ID, StartedMillis: server.StartedMillis, Adapter: request.Adapter, Demand: 1, WaitMS: maxLoadWait.Milliseconds(),
			DueMS: max(0, request.Due.Milliseconds()),
		}
		if ordered {
			request.apply(&params)
		}
		go coordinator.runLoad(server, params, key, pending)
	})
	return pending, joined
}

// runLoad sends a load request to the lease holder of the server and stores the outcome.
func (coordinator *Coordinator) runLoad(server spec.Server, params loadParams, key loadKey, pending *pendingLoad) {
	result := coordinator.callHolder(params)
	coordinator.traffic.recordLoad(clock.Now(), server, params.Adapter, result)
	if result.Outcome == LoadReady {
		coordinator.traffic.addAdapter(server, params.Adapter, result.Version)
	}
	pending.result = coordinator.recordLoad(clock.Now(), key, result)
	coordinator.traffic.removeLoad(key)
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
	var waits loadWait
	for {
		var result loadResult
		if !control.coordinator.do(func(now time.Time) {
			control.coordinator.traffic.pacers.uses.locked(func() { result = control.checkLoad(now, params, &waits) })
			if result.Outcome != "" {
				control.leaveLoad(params, &waits)
			}
		}) {
			return loadResult{Outcome: LoadNoHolder}
		}
		if result.Outcome != "" {
			return result
		}
		now := clock.Now()
		if now.Before(deadline) && ctx.Err() == nil {
			waits.await(ctx, now, deadline)
			continue
		}
		control.coordinator.post(func(time.Time) { control.leaveLoad(params, &waits) })
		return loadResult{Outcome: LoadTimeout, Ahead: waits.ahead, Ordered: waits.id != 0, LoadMS: result.LoadMS}
	}
}

// checkLoad, with uses locked, returns the current result of a load request. An empty outcome means that the load may still succeed. The
// first check of a request also registers it with the controller.
func (control *control) checkLoad(now time.Time, params loadParams, waits *loadWait) loadResult {
	controller := control.controllers[params.Server]
	if controller == nil || controller.server.StartedMillis != params.StartedMillis || controller.server.Draining || controller.server.Evacuated {
		return loadResult{Outcome: LoadNoHolder}
	}
	if _, holds := control.registry.FencingToken(now, params.Server); !holds {
		return loadResult{Outcome: LoadNoHolder}
	}
	if control.coordinator.traffic.Wait(now, controller.server.Incarnation()) > 0 {
		return loadResult{Outcome: LoadNoHolder}
	}
	answer := control.askSlots(now, controller, params, waits)
	var took time.Duration
	if waits.changed != nil {
		took = controller.slots.LoadTime(now, params.Adapter)
	}
	switch answer.State {
	case slots.LoadReady:
		return loadResult{Outcome: LoadReady, Version: controller.slots.Ready()[params.Adapter], Ahead: answer.Ahead, LoadMS: took.Milliseconds()}
	case slots.LoadRejected:
		return loadResult{Outcome: LoadRejected, Ahead: answer.Ahead}
	case slots.LoadLate:
		return loadResult{
			Outcome: LoadLate, Reason: answer.Reason, ExpectedMS: max(1, answer.Expected.Sub(now).Milliseconds()),
			RetryMS: answer.RetryAfter.Milliseconds(), Ahead: answer.Ahead,
		}
	default:
		waits.changed, waits.checkAt, waits.ahead = controller.changed, answer.CheckAt, answer.Ahead
		return loadResult{LoadMS: took.Milliseconds()}
	}
}
