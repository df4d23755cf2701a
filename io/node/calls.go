package node

import (
	"context"
	"encoding/json"
	"time"

	"lentilproxy/core/conf"
	"lentilproxy/core/crash"
	"lentilproxy/core/fresh"
	"lentilproxy/core/place"
	"lentilproxy/io/loans"
	"lentilproxy/io/peer"

	"github.com/samber/oops"
)

// Methods of the protocol between daemons.
const (
	methodStatus  = "view.status"
	methodNotify  = "view.notify"
	methodChanges = "view.changes"
	methodAcquire = "place.acquire"
	methodReport  = "place.report"
	methodRevoke  = "place.revoke"
	methodCensus  = "place.census"
	methodDeath   = "guard.death"
	methodSuspect = "guard.suspect"
)

// callTimeout bounds a call to a peer that answers at once.
const callTimeout = 700 * time.Millisecond

type statusParams struct {
	Host        string `json:"host"`
	Incarnation int64  `json:"incarnation"`
	Revision    int64  `json:"revision"`
}

type notifyParams struct {
	From    statusParams  `json:"from"`
	Changes []conf.Change `json:"changes"`
}

type changesParams struct {
	After int64 `json:"after"`
}

type changesResult struct {
	Changes []conf.Change `json:"changes"`
}

type acquireParams struct {
	Host    string              `json:"host"`
	Pool    string              `json:"pool"`
	Want    place.PermitRequest `json:"want"`
	Timeout time.Duration       `json:"timeout"`
}

type acquireResult struct {
	Permit  place.Permit  `json:"permit"`
	Refusal place.Refusal `json:"refusal,omitempty"`
}

type reportParams struct {
	Host string        `json:"host"`
	Pool string        `json:"pool"`
	Uses []place.Usage `json:"uses"`
}

type reportResult struct {
	Owner   bool           `json:"owner"`
	Renewed []place.Permit `json:"renewed,omitempty"`
	// Running is the number of requests that each engine says it runs.
	Running map[string]int `json:"running,omitempty"`
}

type revokeParams struct {
	Epoch     int64    `json:"epoch"`
	Instances []string `json:"instances"`
}

type revokeResult struct {
	Returned []string `json:"returned"`
}

type censusParams struct {
	Pool  string `json:"pool"`
	Epoch int64  `json:"epoch"`
}

type censusResult struct {
	Uses []place.Usage `json:"uses"`
	// Idle says that the host has no order to an engine of the pool under way.
	Idle bool `json:"idle"`
}

// handle answers a peer's call. It runs in a goroutine of the connection.
func (control *control) handle(ctx context.Context, method string, params json.RawMessage) (any, error) {
	switch method {
	case methodStatus:
		return answer(ctx, control, params, control.onStatus)
	case methodNotify:
		return answer(ctx, control, params, control.onNotify)
	case methodChanges:
		return answer(ctx, control, params, control.onChanges)
	case methodReport:
		return answer(ctx, control, params, control.onReport)
	case methodCensus:
		return answer(ctx, control, params, control.onCensus)
	case methodAcquire:
		return control.handleAcquire(ctx, params)
	case loans.MethodBorrow:
		return direct(params, control.node.traffic.lend)
	case loans.MethodReturn:
		return direct(params, control.node.traffic.takeBack)
	case methodRevoke:
		return direct(params, control.node.traffic.onRevoke)
	case methodSuspect:
		return direct(params, control.node.traffic.onSuspect)
	case methodDeath:
		return direct(params, control.node.traffic.onDeath)
	default:
		return nil, oops.Code("unknown_method").Errorf("unknown method %q", method)
	}
}

// answer decodes a call and lets the control goroutine answer it.
func answer[P, R any](ctx context.Context, control *control, params json.RawMessage, call func(now time.Time, params P) R) (any, error) {
	decoded, err := peer.Decode[P](params)
	if err != nil {
		return nil, err
	}
	var result R
	if !control.node.loop.Do(ctx, func(now time.Time) { result = call(now, decoded) }) {
		return nil, oops.Code("node_stopping").Errorf("the node is stopping")
	}
	return result, nil
}

// direct decodes a call and answers it in the goroutine of the connection.
func direct[P, R any](params json.RawMessage, call func(now time.Time, params P) R) (any, error) {
	decoded, err := peer.Decode[P](params)
	if err != nil {
		return nil, err
	}
	return call(time.Now(), decoded), nil
}

func (control *control) status(now time.Time) fresh.Status {
	reply := fresh.Status{
		Host: control.node.Name(), Incarnation: control.incarnation, Ready: control.ready, Revision: control.state.Revision(),
	}
	if at, proven := control.tracker.ProvenAt(); proven {
		reply.ProofAge, reply.HasProof = now.Sub(at), true
	}
	return reply
}

func (control *control) onStatus(now time.Time, params statusParams) fresh.Status {
	control.meet(now, params)
	return control.status(now)
}

// meet notes what a caller says of itself. It proves nothing about freshness, since the call may have waited.
func (control *control) meet(now time.Time, from statusParams) {
	control.tracker.Acknowledge(from.Host, from.Revision)
	if from.Revision > control.state.Revision() {
		control.fetchFromPeer(now, from.Host)
	}
}

func (control *control) onNotify(now time.Time, params notifyParams) fresh.Status {
	if control.ready && follows(control.state, params.Changes) {
		control.adopt(now, params.Changes)
	}
	control.meet(now, params.From)
	return control.status(now)
}

// follows says whether changes of a peer are whole, in order, and leave no gap after a state.
func follows(state *conf.State, changes []conf.Change) bool {
	if len(changes) == 0 || changes[0].Revision > state.Revision()+1 {
		return false
	}
	for index, change := range changes {
		if !change.Complete() || change.Revision != changes[0].Revision+int64(index) {
			return false
		}
	}
	return true
}

func (control *control) onChanges(_ time.Time, params changesParams) changesResult {
	if len(control.tail) == 0 || control.tail[0].Revision > params.After+1 {
		return changesResult{}
	}
	var changes []conf.Change
	for _, change := range control.tail {
		if change.Revision > params.After {
			changes = append(changes, change)
		}
	}
	return changesResult{Changes: changes}
}

// suspectParams asks whether a suspect runs on a server.
type suspectParams struct {
	Server string `json:"server"`
}

// deathParams reports the death of a backend server.
type deathParams = crash.Report
