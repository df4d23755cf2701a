package coord

import (
	"context"
	"encoding/json"

	"lentilproxy/io/loans"
	"lentilproxy/io/peer"

	"github.com/samber/oops"
)

// Methods between hosts.
const (
	methodGossip = "fleet.digest"
	methodRows   = "fleet.rows"
	methodLoad   = "fleet.load"
	// methodRenew asks another host to write a renewal of the caller's lease.
	methodRenew = "fleet.renew"
	// methodPace asks when a prompt may be sent; methodRead and methodPause report the end of its read and a pause.
	methodPace  = "fleet.pace"
	methodRead  = "fleet.read"
	methodPause = "fleet.pause"
	// methodGrantEnd reports the end of a request with a grant.
	methodGrantEnd = "fleet.done"
	// methodTake asks the dispatcher of a plain service for a server, and methodDone reports the ends of requests.
	methodTake = "dispatch.take"
	methodDone = "dispatch.done"
)

// handle dispatches a call of a peer to the method's handler.
func (control *control) handle(ctx context.Context, method string, params json.RawMessage) (any, error) {
	switch method {
	case methodGossip:
		return respond(params, control.handleGossip)
	case methodRows:
		return respond(params, control.rowsSince)
	case methodLoad:
		return respond(params, func(params loadParams) loadResult { return control.handleLoad(ctx, params) })
	case loans.MethodBorrow:
		return respond(params, control.coordinator.traffic.loans.Lend)
	case loans.MethodReturn:
		return respond(params, control.coordinator.traffic.loans.AcceptReturns)
	case methodRenew:
		return respond(params, func(params renewParams) renewResult { return control.renewals.handle(ctx, params) })
	case methodPace:
		return respond(params, func(params paceParams) paceResult { return control.coordinator.traffic.pacers.handlePace(ctx, params) })
	case methodRead:
		return respond(params, control.coordinator.traffic.pacers.handleRead)
	case methodGrantEnd:
		return respond(params, control.coordinator.traffic.pacers.handleEnd)
	case methodPause:
		return respond(params, control.coordinator.traffic.pacers.handlePause)
	case methodTake:
		return respond(params, func(params takeParams) takeResult {
			return control.coordinator.traffic.dispatchers.handleTake(ctx, params)
		})
	case methodDone:
		return respond(params, control.coordinator.traffic.dispatchers.handleDone)
	default:
		if result, handled, err := control.coordinator.blocks.Handle(method, params); handled {
			return result, err
		}
		return nil, oops.Code("unknown_method").Errorf("unknown method %q", method)
	}
}

func respond[P, R any](params json.RawMessage, handle func(P) R) (any, error) {
	decoded, err := peer.Decode[P](params)
	if err != nil {
		return nil, err
	}
	return handle(decoded), nil
}
