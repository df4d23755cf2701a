// Package place decides which adapters are loaded on which engines.
//
// One host owns a pool of engines. It loads and unloads instances, and gives the other hosts permits to use them.
// A permit has two ends: no new request is sent after the first, and every request has ended by the second. An
// instance is unloaded only when all its permits are returned or past their second end, so an owner that was
// paused never unloads what serves. Instance names contain the owner's epoch; an owner never touches another
// epoch's instances before their permits have surely ended.
package place

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

const (
	// PermitDuration is how long new requests may be sent under a permit.
	PermitDuration = 5 * time.Second
	// RenewBefore is how long before its end a permit in use is renewed.
	RenewBefore = PermitDuration * 3 / 5
	// RequestDeadline is the longest that a request may run once it was sent.
	RequestDeadline = 60 * time.Second
	// ClockDriftMargin covers the difference between two hosts' clocks over a permit.
	ClockDriftMargin = time.Second
	// MaxInstanceUse is how long an instance may be in use after its owner last gave a permit.
	MaxInstanceUse = PermitDuration + RequestDeadline + ClockDriftMargin
	// LoadBackoff is the wait after a failed load; it doubles with each further failure.
	LoadBackoff = 250 * time.Millisecond
	// MaxLoadFailures is the number of failures in a row after which requests for an adapter are refused.
	MaxLoadFailures = 4
	// MissingInstanceBackoff is how long an engine gets no load after a host failed to reach an instance on it.
	MissingInstanceBackoff = 1500 * time.Millisecond
	// ReplicaInFlight is the number of requests in flight on each copy of a model above which another is loaded.
	ReplicaInFlight = 8
	// ReplicaInterval is the time between two looks for models that need another copy.
	ReplicaInterval = 500 * time.Millisecond
	// LoadFailureExpiry is how long the failures of an adapter are remembered.
	LoadFailureExpiry = 10 * time.Second
)

// InstanceName returns the name under which an engine knows an instance: workspace/adapter@version#epoch.number.
func InstanceName(model string, epoch, number int64) string {
	return fmt.Sprintf("%s#%d.%d", model, epoch, number)
}

// SplitInstance returns the model and the epoch of an instance name.
func SplitInstance(instance string) (model string, epoch int64, found bool) {
	model, generation, found := strings.Cut(instance, "#")
	if !found {
		return "", 0, false
	}
	first, _, found := strings.Cut(generation, ".")
	if !found {
		return "", 0, false
	}
	epoch, err := strconv.ParseInt(first, 10, 64)
	return model, epoch, err == nil
}

// PermitRequest describes the adapter version that a host asks a permit for.
type PermitRequest struct {
	// Model is workspace/adapter@version.
	Model     string `json:"model"`
	Workspace string `json:"workspace"`
	BaseModel string `json:"base_model"`
	Source    string `json:"source"`
	// Batch requests wait behind interactive ones.
	Batch bool `json:"batch,omitempty"`
	// Weight is the workspace's share of loads.
	Weight int64 `json:"weight"`
	// Avoid names instances that the host found missing or failing.
	Avoid []string `json:"avoid,omitempty"`
}

// OrderKind is the type of an order.
type OrderKind int

// The orders that a manager gives.
const (
	OrderLoad OrderKind = iota
	OrderUnload
	OrderRevoke
)

// Order is what the owner has to do next.
type Order struct {
	Kind     OrderKind
	Engine   string
	Instance string
	Source   string
	// Hosts are to be asked to return their permits, for OrderRevoke.
	Hosts []string
}

// Reply answers a host that waited for a permit.
type Reply struct {
	Ticket int64
	Permit Permit
	// Refusal is the reason for not granting, or "".
	Refusal Refusal
}

// Refusal is a reason not to grant a permit.
type Refusal string

// The refusals.
const (
	RefuseNone     Refusal = ""
	RefuseTimeout  Refusal = "load_timeout"
	RefuseLoad     Refusal = "load_failed"
	RefuseNoEngine Refusal = "no_engine"
	RefuseNotOwner Refusal = "not_owner"
	RefuseStale    Refusal = "host_stale"
)

// EngineSpec declares one engine of the pool.
type EngineSpec struct {
	Name       string
	DataCentre string
	BaseModel  string
	Slots      int
	Draining   bool
}

// Budget bounds loads over the whole pool.
type Budget struct {
	perSecond float64
	parallel  int
	tokens    float64
	updated   time.Time
}

// NewBudget returns a budget of loads per second and loads at once.
func NewBudget(perSecond float64, parallel int) *Budget {
	return &Budget{perSecond: perSecond, parallel: parallel, tokens: float64(parallel)}
}

// Allows says whether a load may start while others run.
func (budget *Budget) Allows(now time.Time, running int) bool {
	budget.settle(now)
	return running < budget.parallel && budget.tokens >= 1
}

// Take charges one load.
func (budget *Budget) Take(now time.Time) {
	budget.settle(now)
	budget.tokens--
}

func (budget *Budget) settle(now time.Time) {
	if !budget.updated.IsZero() && now.After(budget.updated) {
		elapsed := now.Sub(budget.updated).Seconds()
		budget.tokens = min(float64(budget.parallel), budget.tokens+elapsed*budget.perSecond)
	}
	if now.After(budget.updated) {
		budget.updated = now
	}
}
