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
	// Epoch is the epoch of the owner that granted the permit.
	Epoch int64 `json:"epoch"`
	// Serial increases with each permit that the owner grants.
	Serial int64 `json:"serial"`
	// Duration is how long new requests may be sent, counted from the time at which the permit was requested.
	Duration time.Duration `json:"duration"`
}

// Usage is a host's use of an instance since its last report.
type Usage struct {
	Instance string `json:"instance"`
	InFlight int    `json:"in_flight"`
	Requests int    `json:"requests"`
	// Returned reports whether the host has given up its permit.
	Returned bool `json:"returned,omitempty"`
	// Epoch and Serial are those of the last permit that the host received; a newer permit is not returned.
	Epoch  int64 `json:"epoch,omitempty"`
	Serial int64 `json:"serial,omitempty"`
	// Engine is the engine of the instance; it is not sent because owners track it.
	Engine string `json:"-"`
}

// heldPermit is a permit and the requests that are sent under it.
type heldPermit struct {
	permit Permit
	// until is when new requests must no longer be sent.
	until    time.Time
	inFlight int
	requests int
	lastUse  time.Time
	revoked  bool
	// lost reports whether the engine no longer has the instance.
	lost bool
	// reportedInFlight is the number of requests in flight in the last report.
	reportedInFlight int
}

// PermitTracker tracks the permits of one host and the requests under them. It is not safe for concurrent use.
type PermitTracker struct {
	permits map[string]*heldPermit
	// models maps a model to the instances for which the host has a permit.
	models map[string]value.Set[string]
	// returned permits are reported until the owner confirms the report.
	returned map[string]Usage
	// tombstones are the revoked instances; permits for them are refused until any permit still on its way has ended.
	tombstones map[string]tombstone
	// minEpoch is the oldest epoch whose permits are accepted for each engine: a permit of an earlier owner may arrive
	// after the host has reported its usage to a newer owner.
	minEpoch map[string]int64
}

// tombstone rejects permits for an instance up to an epoch.
type tombstone struct {
	until time.Time
	epoch int64
}

// NewPermitTracker returns a tracker without permits.
func NewPermitTracker() *PermitTracker {
	return &PermitTracker{
		permits:    map[string]*heldPermit{},
		models:     map[string]value.Set[string]{},
		returned:   map[string]Usage{},
		tombstones: map[string]tombstone{},
		minEpoch:   map[string]int64{},
	}
}

// Add records a permit that was requested at sentAt. It ignores permits that are revoked or of an epoch that is over.
func (tracker *PermitTracker) Add(sentAt time.Time, permit Permit) {
	if permit.Epoch < tracker.minEpoch[permit.Engine] {
		return
	}
	if tombstone, found := tracker.tombstones[permit.Instance]; found && permit.Epoch <= tombstone.epoch {
		return
	}
	delete(tracker.returned, permit.Instance)
	until := sentAt.Add(permit.Duration)
	held := tracker.permits[permit.Instance]
	if held == nil {
		held = &heldPermit{permit: permit, lastUse: sentAt}
		tracker.permits[permit.Instance] = held
		if tracker.models[permit.Model] == nil {
			tracker.models[permit.Model] = value.NewSet[string]()
		}
		tracker.models[permit.Model].Add(permit.Instance)
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

// Usable returns the permits for a model under which new requests may be sent.
func (tracker *PermitTracker) Usable(now time.Time, model string) []Permit {
	var usable []Permit
	for _, instance := range value.Sorted(tracker.models[model]) {
		held := tracker.permits[instance]
		if !held.revoked && now.Before(held.until) {
			usable = append(usable, held.permit)
		}
	}
	return usable
}

// StartRequest counts a request under a permit, and reports whether the permit allows it.
func (tracker *PermitTracker) StartRequest(now time.Time, instance string) bool {
	held := tracker.permits[instance]
	if held == nil || held.revoked || !now.Before(held.until) {
		return false
	}
	held.inFlight++
	held.requests++
	held.lastUse = now
	return true
}

// Valid reports whether a counted request may still be sent now.
func (tracker *PermitTracker) Valid(now time.Time, instance string) bool {
	held := tracker.permits[instance]
	return held != nil && !held.lost && now.Before(held.until)
}

// FinishRequest counts the end of a request, and reports whether the permit is to be returned now.
func (tracker *PermitTracker) FinishRequest(instance string) (returned bool) {
	held := tracker.permits[instance]
	if held == nil {
		return false
	}
	held.inFlight--
	if held.inFlight > 0 || !held.revoked {
		return false
	}
	tracker.drop(instance)
	return true
}

// Revoke ends the permits for those of the instances that no request uses, and returns the names of these instances.
// It refuses permits for them that are still on their way. Permits with requests in flight, and permits of later epochs
// than the given one, stay as they are.
func (tracker *PermitTracker) Revoke(now time.Time, epoch int64, instances []string) (returned []string) {
	for _, instance := range instances {
		held := tracker.permits[instance]
		if held != nil && (held.inFlight > 0 || held.permit.Epoch > epoch) {
			continue
		}
		if held != nil {
			tracker.drop(instance)
		}
		tracker.tombstones[instance] = tombstone{until: now.Add(PermitDuration), epoch: epoch}
		returned = append(returned, instance)
	}
	return returned
}

// MarkLost ends the permit for an instance that its engine no longer has.
func (tracker *PermitTracker) MarkLost(instance string) {
	held := tracker.permits[instance]
	if held == nil {
		return
	}
	held.revoked, held.lost = true, true
	if held.inFlight == 0 {
		tracker.drop(instance)
	}
}

// RevokeAll ends the permits of epochs up to the given one on some engines, and returns the usage of the instances with
// requests in flight.
func (tracker *PermitTracker) RevokeAll(now time.Time, epoch int64, engines value.Set[string]) []Usage {
	for name := range engines {
		tracker.minEpoch[name] = max(tracker.minEpoch[name], epoch+1)
	}
	var inUse []Usage
	for _, instance := range value.Sorted(tracker.permits) {
		held := tracker.permits[instance]
		if held.permit.Epoch > epoch || !engines.Has(held.permit.Engine) {
			continue
		}
		if held.inFlight > 0 {
			held.revoked = true
			inUse = append(inUse, Usage{Instance: instance, InFlight: held.inFlight})
			continue
		}
		tracker.Revoke(now, epoch, []string{instance})
	}
	return inUse
}

// drop ends a permit, and keeps its return for the next report.
func (tracker *PermitTracker) drop(instance string) {
	held := tracker.permits[instance]
	tracker.returned[instance] = Usage{
		Instance: instance, Engine: held.permit.Engine, Returned: true,
		Epoch: held.permit.Epoch, Serial: held.permit.Serial,
	}
	delete(tracker.permits, instance)
	delete(tracker.models[held.permit.Model], instance)
	if len(tracker.models[held.permit.Model]) == 0 {
		delete(tracker.models, held.permit.Model)
	}
}

// CollectUsage returns the usage to report to the owners, and resets the counts of requests. Permits that ended without
// requests in flight are returned; permits that were not used since the last report are left out.
func (tracker *PermitTracker) CollectUsage(now time.Time) []Usage {
	for instance, tombstone := range tracker.tombstones {
		if now.After(tombstone.until) {
			delete(tracker.tombstones, instance)
		}
	}
	var usages []Usage
	for _, instance := range value.Sorted(tracker.permits) {
		held := tracker.permits[instance]
		if held.inFlight == 0 && !now.Before(held.until) {
			tracker.drop(instance)
			continue
		}
		if held.requests == 0 && held.inFlight == held.reportedInFlight && held.inFlight == 0 {
			continue
		}
		usages = append(usages, Usage{
			Instance: instance, Engine: held.permit.Engine, InFlight: held.inFlight, Requests: held.requests,
		})
		held.reportedInFlight = held.inFlight
		held.requests = 0
	}
	for _, instance := range value.Sorted(tracker.returned) {
		usages = append(usages, tracker.returned[instance])
	}
	return usages
}

// ConfirmReport records that the owner has received a report.
func (tracker *PermitTracker) ConfirmReport(usages []Usage) {
	for _, usage := range usages {
		if usage.Returned && tracker.returned[usage.Instance] == usage {
			delete(tracker.returned, usage.Instance)
		}
	}
}

// Count returns the number of permits.
func (tracker *PermitTracker) Count() int { return len(tracker.permits) }
