// Package place decides which adapters are loaded on which engines.
//
// One host owns a pool of engines. It loads and unloads instances, and grants the other hosts permits to use them.
// A permit has two deadlines: no new request is sent after the first, and every request has ended by the second. An
// instance is unloaded only when all its permits are returned or past their second deadline, so an owner that was
// paused never unloads an instance that is serving a request. Each ownership of a pool has an epoch, which is the
// fencing token of its orders and part of the names of the instances that it loads. An owner never unloads instances of
// another epoch before their permits have certainly ended.
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
	// RequestDeadline is the longest time that a request may run after it was sent.
	RequestDeadline = 60 * time.Second
	// ClockDriftMargin covers the drift between two hosts' clocks during a permit.
	ClockDriftMargin = time.Second
	// MaxInstanceUse is how long an instance may be in use after its owner last granted a permit.
	MaxInstanceUse = PermitDuration + RequestDeadline + ClockDriftMargin
	// LoadBackoff is the wait after a failed load; it doubles with each further failure.
	LoadBackoff = 250 * time.Millisecond
	// MaxLoadTime is how long an engine may take for a load, whether the owner gets a response or not.
	MaxLoadTime = 30 * time.Second
	// MaxLoadFailures is the number of consecutive failures after which requests for an adapter are refused.
	MaxLoadFailures = 4
	// MissingInstanceBackoff is how long an engine gets no loads after a host failed to reach an instance on it.
	MissingInstanceBackoff = 1500 * time.Millisecond
	// ReplicaInFlight is the number of requests in flight per copy of a model from which another copy is loaded.
	ReplicaInFlight = 8
	// ReplicaInterval is the time between two searches for a model that needs another copy.
	ReplicaInterval = 500 * time.Millisecond
	// LoadFailureExpiry is how long the load failures of an adapter count.
	LoadFailureExpiry = 10 * time.Second
)

// InstanceName returns the name of an instance on its engine: workspace/adapter@version#epoch.number.
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

// PermitRequest describes the adapter version for which a host requests a permit.
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
	// Avoid lists the instances that the host found missing or failing.
	Avoid []string `json:"avoid,omitempty"`
}

// OrderKind is the type of an order.
type OrderKind int

// The kinds of orders.
const (
	OrderLoad OrderKind = iota
	OrderUnload
	OrderRevoke
)

// Order is an operation for the owner to carry out.
type Order struct {
	Kind     OrderKind
	Engine   string
	Instance string
	Source   string
	// Hosts are the hosts to ask for the return of their permits; only OrderRevoke has them.
	Hosts []string
}

// Reply is the response to the permit request with a ticket.
type Reply struct {
	Ticket int64
	Permit Permit
	// Refusal is the reason why no permit is granted, or RefuseNone.
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
	// RefusePaused means that all engines that the host may use have asked for no requests beyond the request's deadline.
	RefusePaused Refusal = "paused"
)

// EngineSpec declares one engine of the pool.
type EngineSpec struct {
	Name       string
	DataCentre string
	BaseModel  string
	// Slots is the number of adapters that the engine can hold at once.
	Slots    int
	Draining bool
}

// Budget limits the rate and the concurrency of loads in a pool.
type Budget struct {
	perSecond float64
	parallel  int
	tokens    float64
	updated   time.Time
}

// NewBudget returns a budget with a number of loads per second and of concurrent loads.
func NewBudget(perSecond float64, parallel int) *Budget {
	return &Budget{perSecond: perSecond, parallel: parallel, tokens: float64(parallel)}
}

// Allows reports whether a load may start while a number of others are running.
func (budget *Budget) Allows(now time.Time, running int) bool {
	budget.refill(now)
	return running < budget.parallel && budget.tokens >= 1
}

// Take charges one load.
func (budget *Budget) Take(now time.Time) {
	budget.refill(now)
	budget.tokens--
}

func (budget *Budget) refill(now time.Time) {
	if !budget.updated.IsZero() && now.After(budget.updated) {
		elapsed := now.Sub(budget.updated).Seconds()
		budget.tokens = min(float64(budget.parallel), budget.tokens+elapsed*budget.perSecond)
	}
	if now.After(budget.updated) {
		budget.updated = now
	}
}
