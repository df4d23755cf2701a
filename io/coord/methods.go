package coord

import (
	"context"
	"encoding/json"

	"lentilproxy/core/crash"
	"lentilproxy/io/loans"
	"lentilproxy/io/peer"

	"github.com/samber/oops"
)

// Methods between hosts.
const (
	methodDigest = "fleet.digest"
	methodRows   = "fleet.rows"
	methodLoad   = "fleet.load"
	methodDeath  = "fleet.death"
)

type deathParams struct {
	Death crash.Report `json:"death"`
}

// handle answers a call of a peer.
func (control *control) handle(ctx context.Context, method string, params json.RawMessage) (any, error) {
	switch method {
	case methodDigest:
		return answer(params, control.takeDigest)
	case methodRows:
		return answer(params, control.rowsSince)
	case methodLoad:
		return answer(params, func(params loadParams) loadResult { return control.load(ctx, params) })
	case loans.MethodBorrow:
		return answer(params, control.coordinator.traffic.loans.Lend)
	case loans.MethodReturn:
		return answer(params, control.coordinator.traffic.loans.AcceptReturns)
	case methodDeath:
		return answer(params, control.coordinator.traffic.takeDeath)
	default:
		return nil, oops.Code("unknown_method").Errorf("unknown method %q", method)
	}
}

func answer[P, R any](params json.RawMessage, serve func(P) R) (any, error) {
	decoded, err := peer.Decode[P](params)
	if err != nil {
		return nil, err
	}
	return serve(decoded), nil
}
