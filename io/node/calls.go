package node

import (
	"context"
	"encoding/json"
	"time"

	"lentilproxy/core/conf"
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
	methodSuspect = "crash.run"
)

// callTimeout bounds calls to which peers respond without waiting.
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
	Request place.PermitRequest `json:"want"`
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
	// Running is the number of running requests that each engine reports.
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
	// Idle reports whether no order to an engine of the pool can be under way, from the host or an earlier owner.
	Idle bool `json:"idle"`
}

// handle serves a peer's call. It runs in a goroutine of the connection.
func (control *control) handle(ctx context.Context, method string, params json.RawMessage) (any, error) {
	switch method {
	case methodStatus:
		return handleInControl(ctx, control, params, control.handleStatus)
	case methodNotify:
		return handleInControl(ctx, control, params, control.handleNotify)
	case methodChanges:
		return handleInControl(ctx, control, params, control.handleChanges)
	case methodReport:
		return handleInControl(ctx, control, params, control.handleReport)
	case methodSuspect:
		return handleDirectly(params, control.node.traffic.handleSuspect)
	case methodCensus:
		return handleInControl(ctx, control, params, control.handleCensus)
	case methodAcquire:
		return control.handleAcquire(ctx, params)
	case loans.MethodBorrow:
		return handleDirectly(params, control.node.traffic.lend)
	case loans.MethodReturn:
		return handleDirectly(params, control.node.traffic.acceptReturn)
	case methodRevoke:
		return handleDirectly(params, control.node.traffic.handleRevoke)
	default:
		if result, handled, err := control.node.blocks.Handle(method, params); handled {
			return result, err
		}
		return nil, oops.Code("unknown_method").Errorf("unknown method %q", method)
	}
}

// handleInControl decodes the parameters of a call and runs it in the control goroutine.
func handleInControl[P, R any](ctx context.Context, control *control, params json.RawMessage, call func(now time.Time, params P) R) (any, error) {
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

// handleDirectly decodes the parameters of a call and runs it in the goroutine of the connection.
func handleDirectly[P, R any](params json.RawMessage, call func(now time.Time, params P) R) (any, error) {
	decoded, err := peer.Decode[P](params)
	if err != nil {
		return nil, err
	}
	return call(time.Now(), decoded), nil
}

func (control *control) status(now time.Time) fresh.Status {
	status := fresh.Status{
		Host: control.node.Name(), Incarnation: control.incarnation, Ready: control.ready, Revision: control.state.Revision(),
	}
	if at, proven := control.tracker.ProvenAt(); proven {
		status.ProofAge, status.HasProof = now.Sub(at), true
	}
	return status
}

func (control *control) handleStatus(now time.Time, params statusParams) fresh.Status {
	control.recordCaller(now, params)
	return control.status(now)
}

// recordCaller records the revision that a caller reports. It is no proof of freshness, since the call may have been
// delayed.
func (control *control) recordCaller(now time.Time, from statusParams) {
	control.tracker.Acknowledge(from.Host, from.Revision)
	if from.Revision > control.state.Revision() {
		control.fetchFromPeer(now, from.Host)
	}
}

func (control *control) handleNotify(now time.Time, params notifyParams) fresh.Status {
	if control.ready && follows(control.state, params.Changes) {
		control.applyChanges(now, params.Changes)
	}
	control.recordCaller(now, params.From)
	return control.status(now)
}

// follows reports whether changes from a peer are complete and consecutive, and leave no gap after a state.
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

func (control *control) handleChanges(_ time.Time, params changesParams) changesResult {
	if len(control.recentChanges) == 0 || control.recentChanges[0].Revision > params.After+1 {
		return changesResult{}
	}
	var changes []conf.Change
	for _, change := range control.recentChanges {
		if change.Revision > params.After {
			changes = append(changes, change)
		}
	}
	return changesResult{Changes: changes}
}

// suspectParams states that a suspect is to run on a server, that its run has ended, or that the server has crashed.
type suspectParams struct {
	Server   string `json:"server"`
	Instance string `json:"instance,omitempty"`
	Run      string `json:"run,omitempty"`
	Ended    bool   `json:"ended,omitempty"`
	Crashed  bool   `json:"crashed,omitempty"`
}

// suspectResult reports whether the suspect may run, and whether the server has crashed since it loaded the instance.
type suspectResult struct {
	Started bool `json:"started,omitempty"`
	Lost    bool `json:"lost,omitempty"`
}
