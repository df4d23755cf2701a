package place

import (
	"time"

	"lentilproxy/core/value"
)

// Permit allows a host to send requests to one instance.
type Permit struct {
	Instance string `json:"instance"`
	Model    string `json:"model"`
	Engine   string `json:"engine"`
	// Epoch is that of the owner who gave the permit.
	Epoch int64 `json:"epoch"`
	// Serial grows with each permit that the owner gives.
	Serial int64 `json:"serial"`
	// Duration is how long new requests may be sent, from the instant at which the permit was asked for.
	Duration time.Duration `json:"duration"`
}

// Usage reports what a host did with an instance since its last report.
type Usage struct {
	Instance string `json:"instance"`
	InFlight int    `json:"in_flight"`
	Requests int    `json:"requests"`
	// Returned permits are not used any more.
	Returned bool `json:"returned,omitempty"`
	// Epoch and Serial are those of the last permit that the host received; a later one is not returned.
	Epoch  int64 `json:"epoch,omitempty"`
	Serial int64 `json:"serial,omitempty"`
	// Engine is where the instance is; owners know it themselves.
	Engine string `json:"-"`
}

type heldPermit struct {
	permit   Permit
	until    time.Time
	inFlight int
	requests int
	lastUse  time.Time
	revoked  bool
	// lost permits are for an instance that its engine no longer has.
	lost bool
	// reported is the number of requests in flight in the last report.
	reported int
}

// PermitTracker keeps the permits of one host. It is not safe for concurrent use.
type PermitTracker struct {
	permits map[string]*heldPermit
	models  map[string]value.Set[string]
	// returned permits are reported until the owner confirms.
	returned map[string]Usage
	// revoked instances are refused until any permit that is still on its way has ended.
	revoked map[string]tombstone
	// floor is the oldest epoch whose permits are taken for each engine: a permit may arrive after the host has told
	// a newer owner what it uses.
	floor map[string]int64
}

type tombstone struct {
	until time.Time
	epoch int64
}

// NewPermitTracker returns a holder without permits.
func NewPermitTracker() *PermitTracker {
	return &PermitTracker{
		permits:  map[string]*heldPermit{},
		models:   map[string]value.Set[string]{},
		returned: map[string]Usage{},
		revoked:  map[string]tombstone{},
		floor:    map[string]int64{},
	}
}

// Add records a permit that was asked for at an instant.
func (holder *PermitTracker) Add(sentAt time.Time, permit Permit) {
	if permit.Epoch < holder.floor[permit.Engine] {
		return
	}
	if grave, found := holder.revoked[permit.Instance]; found && permit.Epoch <= grave.epoch {
		return
	}
	delete(holder.returned, permit.Instance)
	until := sentAt.Add(permit.Duration)
	held := holder.permits[permit.Instance]
	if held == nil {
		held = &heldPermit{permit: permit, lastUse: sentAt}
		holder.permits[permit.Instance] = held
		if holder.models[permit.Model] == nil {
			holder.models[permit.Model] = value.NewSet[string]()
		}
		holder.models[permit.Model].Add(permit.Instance)
	}
	if held.revoked && permit.Epoch > held.permit.Epoch {
		held.revoked = false
		held.until = until
	}
	if permit.Epoch > held.permit.Epoch || (permit.Epoch == held.permit.Epoch && permit.Serial > held.permit.Serial) {
		held.permit.Epoch, held.permit.Serial = permit.Epoch, permit.Serial
	}
	if !held.revoked && until.After(held.until) {
		held.until = until
	}
}

// Usable returns the permits for a model that new requests may be sent under.
func (holder *PermitTracker) Usable(now time.Time, model string) []Permit {
	var usable []Permit
	for _, instance := range value.Sorted(holder.models[model]) {
		held := holder.permits[instance]
		if !held.revoked && now.Before(held.until) {
			usable = append(usable, held.permit)
		}
	}
	return usable
}

// StartRequest counts a request under a permit, and says no if the permit has ended.
func (holder *PermitTracker) StartRequest(now time.Time, instance string) bool {
	held := holder.permits[instance]
	if held == nil || held.revoked || !now.Before(held.until) {
		return false
	}
	held.inFlight++
	held.requests++
	held.lastUse = now
	return true
}

// Valid says whether a counted request may still be sent now.
func (holder *PermitTracker) Valid(now time.Time, instance string) bool {
	held := holder.permits[instance]
	return held != nil && !held.lost && now.Before(held.until)
}

// FinishRequest counts the end of a request, and says whether the permit is to be returned now.
func (holder *PermitTracker) FinishRequest(instance string) (returned bool) {
	held := holder.permits[instance]
	if held == nil {
		return false
	}
	held.inFlight--
	if held.inFlight > 0 || !held.revoked {
		return false
	}
	holder.drop(instance)
	return true
}

// Revoke ends the permits for instances that no request uses, and returns those; the others are left as they are.
// Permits of later epochs than the given one are not concerned.
func (holder *PermitTracker) Revoke(now time.Time, epoch int64, instances []string) (returned []string) {
	for _, instance := range instances {
		held := holder.permits[instance]
		if held != nil && (held.inFlight > 0 || held.permit.Epoch > epoch) {
			continue
		}
		if held != nil {
			holder.drop(instance)
		}
		holder.revoked[instance] = tombstone{until: now.Add(PermitDuration), epoch: epoch}
		returned = append(returned, instance)
	}
	return returned
}

// MarkLost ends the permit for an instance that its engine no longer has.
func (holder *PermitTracker) MarkLost(instance string) {
	held := holder.permits[instance]
	if held == nil {
		return
	}
	held.revoked, held.lost = true, true
	if held.inFlight == 0 {
		holder.drop(instance)
	}
}

// RevokeAll ends the permits of epochs up to the given one on some engines, and returns what is still in use.
func (holder *PermitTracker) RevokeAll(now time.Time, epoch int64, engines value.Set[string]) []Usage {
	for name := range engines {
		holder.floor[name] = max(holder.floor[name], epoch+1)
	}
	var inUse []Usage
	for _, instance := range value.Sorted(holder.permits) {
		held := holder.permits[instance]
		if held.permit.Epoch > epoch || !engines.Has(held.permit.Engine) {
			continue
		}
		if held.inFlight > 0 {
			held.revoked = true
			inUse = append(inUse, Usage{Instance: instance, InFlight: held.inFlight})
			continue
		}
		holder.Revoke(now, epoch, []string{instance})
	}
	return inUse
}

func (holder *PermitTracker) drop(instance string) {
	held := holder.permits[instance]
	holder.returned[instance] = Usage{
		Instance: instance, Engine: held.permit.Engine, Returned: true,
		Epoch: held.permit.Epoch, Serial: held.permit.Serial,
	}
	delete(holder.permits, instance)
	delete(holder.models[held.permit.Model], instance)
	if len(holder.models[held.permit.Model]) == 0 {
		delete(holder.models, held.permit.Model)
	}
}

// CollectUsage returns what to report to the owners, and resets the counts. Permits that ended unused are returned; those
// that stayed unused since the last report are left out.
func (holder *PermitTracker) CollectUsage(now time.Time) []Usage {
	for instance, grave := range holder.revoked {
		if now.After(grave.until) {
			delete(holder.revoked, instance)
		}
	}
	var uses []Usage
	for _, instance := range value.Sorted(holder.permits) {
		held := holder.permits[instance]
		if held.inFlight == 0 && !now.Before(held.until) {
			holder.drop(instance)
			continue
		}
		if held.requests == 0 && held.inFlight == held.reported && held.inFlight == 0 {
			continue
		}
		uses = append(uses, Usage{
			Instance: instance, Engine: held.permit.Engine, InFlight: held.inFlight, Requests: held.requests,
		})
		held.reported = held.inFlight
		held.requests = 0
	}
	for _, instance := range value.Sorted(holder.returned) {
		uses = append(uses, holder.returned[instance])
	}
	return uses
}

// ConfirmReport records that the owner took a report.
func (holder *PermitTracker) ConfirmReport(uses []Usage) {
	for _, use := range uses {
		if use.Returned && holder.returned[use.Instance] == use {
			delete(holder.returned, use.Instance)
		}
	}
}

// Count returns the number of permits.
func (holder *PermitTracker) Count() int { return len(holder.permits) }
