package coord

import (
	"context"
	"time"

	"lentilproxy/core/slots"
	"lentilproxy/core/spec"
	"lentilproxy/io/clock"
)

// WantOutcome is the answer to the wish for an adapter on a server.
type WantOutcome string

// The outcomes of a wish.
const (
	WantReady WantOutcome = "ready"
	// WantFull means that the server has no place for a further adapter now.
	WantFull WantOutcome = "full"
	// WantTimeout means that the adapter did not arrive in time.
	WantTimeout WantOutcome = "timeout"
	// WantNoHolder means that nobody gives orders to the server, or that its holder could not be asked.
	WantNoHolder WantOutcome = "no_holder"
)

const (
	// maxWantWait bounds the wait for one adapter; a load takes a quarter of a second if the server takes orders.
	maxWantWait = 2 * time.Second
	// wantMargin is how much longer the asking host waits than the holder.
	wantMargin = 150 * time.Millisecond
)

type wantParams struct {
	Server  string  `json:"server"`
	Born    int64   `json:"born"`
	Adapter string  `json:"adapter"`
	Demand  float64 `json:"demand"`
	WaitMS  int64   `json:"wait_ms"`
}

type wantResult struct {
	Outcome WantOutcome `json:"outcome"`
	Version int64       `json:"version,omitempty"`
}

// wantKey identifies a wish, which all requests of a host that have it share.
type wantKey struct {
	life    spec.Life
	adapter string
}

type pendingWant struct {
	done    chan struct{}
	outcome WantOutcome
	// joined counts the requests that share the wish.
	joined float64
}

// Want has an adapter loaded on a server and waits until it can be used there.
func (coordinator *Coordinator) Want(ctx context.Context, server spec.Server, adapter string) WantOutcome {
	pending := coordinator.traffic.join(wantKey{life: server.Life(), adapter: adapter}, func(pending *pendingWant) {
		go coordinator.pursue(server, adapter, pending)
	})
	select {
	case <-pending.done:
		return pending.outcome
	case <-ctx.Done():
		return WantTimeout
	}
}

// Copy has a further copy of an adapter loaded, without waiting for it.
func (coordinator *Coordinator) Copy(server spec.Server, adapter string) {
	coordinator.traffic.join(wantKey{life: server.Life(), adapter: adapter}, func(pending *pendingWant) {
		go coordinator.pursue(server, adapter, pending)
	})
}

// pursue asks the holder of a server and shares its answer.
func (coordinator *Coordinator) pursue(server spec.Server, adapter string, pending *pendingWant) {
	params := wantParams{Server: server.ID, Born: server.Born, Adapter: adapter, Demand: 1, WaitMS: maxWantWait.Milliseconds()}
	result := coordinator.askHolder(params)
	if result.Outcome == WantReady {
		coordinator.traffic.arrived(server, adapter, result.Version)
	}
	pending.outcome = result.Outcome
	coordinator.traffic.leave(wantKey{life: server.Life(), adapter: adapter})
	close(pending.done)
}

func (coordinator *Coordinator) askHolder(params wantParams) wantResult {
	address, own := coordinator.traffic.holderOf(params.Server)
	if own {
		return coordinator.traffic.control.want(coordinator.ctx, params)
	}
	if address == "" {
		return wantResult{Outcome: WantNoHolder}
	}
	ctx, cancel := context.WithTimeout(coordinator.ctx, maxWantWait+wantMargin)
	defer cancel()
	var result wantResult
	if err := coordinator.peers.Call(ctx, address, methodWant, params, &result); err != nil {
		coordinator.log.Info("holder not reached", "server", params.Server, "peer", address, "adapter", params.Adapter, "error", err.Error())
		return wantResult{Outcome: WantNoHolder}
	}
	return result
}

// slowWant is the time from which on a wish that took long is written to the log.
const slowWant = 500 * time.Millisecond

// want answers a wish for an adapter on a server that this host holds.
func (control *control) want(ctx context.Context, params wantParams) wantResult {
	startedAt := clock.Now()
	result := control.awaitWish(ctx, params)
	waited := clock.Now().Sub(startedAt)
	if waited < slowWant {
		return result
	}
	control.coordinator.do(func(now time.Time) {
		fields := []any{"server", params.Server, "adapter", params.Adapter, "outcome", result.Outcome, "ms", waited.Milliseconds()}
		if keeper := control.keepers[params.Server]; keeper != nil {
			census := keeper.slots.Census(now)
			fields = append(fields, "places", census.Places, "ready", census.Ready, "in_use", census.InUse, "loading", census.Loading,
				"wanted", census.Wanted, "leaving", census.Leaving, "busy", census.Busy, "synced", census.Synced)
		}
		control.coordinator.log.Info("adapter late", fields...)
	})
	return result
}

func (control *control) awaitWish(ctx context.Context, params wantParams) wantResult {
	deadline := clock.Now().Add(time.Duration(params.WaitMS) * time.Millisecond)
	first := true
	for {
		var result wantResult
		var changed chan struct{}
		if !control.coordinator.do(func(now time.Time) { result, changed = control.wish(now, params, first) }) {
			return wantResult{Outcome: WantNoHolder}
		}
		first = false
		if result.Outcome != "" {
			return result
		}
		left := deadline.Sub(clock.Now())
		if left <= 0 {
			return wantResult{Outcome: WantTimeout}
		}
		timer := time.NewTimer(left)
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
		if ctx.Err() != nil {
			return wantResult{Outcome: WantTimeout}
		}
	}
}

// wish looks at a wish once. An empty outcome means that it is worth waiting.
func (control *control) wish(now time.Time, params wantParams, first bool) (wantResult, chan struct{}) {
	keeper := control.keepers[params.Server]
	if keeper == nil || keeper.server.Born != params.Born || keeper.server.Draining {
		return wantResult{Outcome: WantNoHolder}, nil
	}
	if _, holds := control.book.Holds(now, params.Server); !holds {
		return wantResult{Outcome: WantNoHolder}, nil
	}
	var answer slots.Wish
	if first {
		answer = keeper.slots.Want(now, params.Adapter, params.Demand)
		keeper.rouse()
	} else {
		answer = keeper.slots.Check(now, params.Adapter)
	}
	switch answer {
	case slots.WishReady:
		return wantResult{Outcome: WantReady, Version: keeper.slots.Ready()[params.Adapter]}, nil
	case slots.WishFull:
		return wantResult{Outcome: WantFull}, nil
	default:
		return wantResult{}, keeper.changed
	}
}
