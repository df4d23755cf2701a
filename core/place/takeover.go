package place

import (
	"maps"
	"time"

	"lentilproxy/core/value"
)

// UpdateEngine records the instances that an engine reported as loaded in response to a request sent at askedAt.
// Instances that the manager does not track, such as those of other epochs, occupy their slots until no host can use
// them. The manager stops tracking instances that were ready before the request and are not in the report.
func (manager *Manager) UpdateEngine(now, askedAt time.Time, name string, loaded []string) {
	engine := manager.engines[name]
	if engine == nil {
		return
	}
	engine.up = true
	engine.noLoadsUntil = time.Time{}
	present := value.NewSet(loaded...)
	maps.DeleteFunc(engine.open, func(instance string, until time.Time) bool { return present.Has(instance) || !askedAt.Before(until) })
	for _, instance := range loaded {
		if _, tracked := manager.instances[instance]; tracked {
			continue
		}
		if _, seen := engine.untracked[instance]; !seen {
			engine.untracked[instance] = manager.unloadableAt(now, instance)
		}
	}
	for instance := range engine.untracked {
		if !present.Has(instance) {
			delete(engine.untracked, instance)
		}
	}
	for instance, entry := range manager.instances {
		expected := entry.stage == stageReady || entry.stage == stageRevoking
		if entry.engine == name && expected && !present.Has(instance) && entry.readyAt.Before(askedAt) {
			manager.untrack(entry)
		}
	}
}

// Census lists the instances of earlier owners that one host still uses. A new owner requests it when it takes over.
type Census struct {
	Host string  `json:"host"`
	Uses []Usage `json:"uses"`
	// Complete reports whether the host has given up all older permits except those in use.
	Complete bool `json:"complete"`
}

// TakeOver tracks the instances that an engine holds from an earlier epoch. It may only be called when no order of the
// earlier owner can take effect any more: the engine checks fencing tokens, or the earlier owner has confirmed that
// none of its orders is under way.
func (manager *Manager) TakeOver(now time.Time, engineName string, loaded []string, census []Census) {
	engine := manager.engines[engineName]
	if engine == nil {
		return
	}
	for _, name := range loaded {
		model, _, valid := SplitInstance(name)
		if !valid || manager.instances[name] != nil {
			continue
		}
		delete(engine.untracked, name)
		entry := &instance{
			name: name, model: model, engine: engineName, stage: stageReady, permits: map[string]*permitGrant{}, lastUse: now, readyAt: now,
		}
		for _, report := range census {
			entry.addUsage(now, report)
		}
		manager.track(entry)
	}
}

// addUsage records a host's use of an instance. A host that did not respond may use it until MaxInstanceUse has passed.
func (instance *instance) addUsage(now time.Time, report Census) {
	if !report.Complete {
		instance.permits[report.Host] = &permitGrant{until: now.Add(PermitDuration), inFlight: 1}
		return
	}
	for _, usage := range report.Uses {
		if usage.Instance == instance.name {
			instance.permits[report.Host] = &permitGrant{until: now.Add(PermitDuration), inFlight: usage.InFlight}
		}
	}
}

// ReleaseUnused allows the untracked instances of an engine that no host uses to be unloaded at once, provided that
// every host has given up its older permits.
func (manager *Manager) ReleaseUnused(now time.Time, engineName string, census []Census) {
	engine := manager.engines[engineName]
	if engine == nil {
		return
	}
	used := value.NewSet[string]()
	for _, report := range census {
		if !report.Complete {
			return
		}
		for _, usage := range report.Uses {
			used.Add(usage.Instance)
		}
	}
	for name := range engine.untracked {
		if !used.Has(name) {
			engine.untracked[name] = now
		}
	}
}

// unloadableAt returns the time by which all requests on an untracked instance have certainly ended.
func (manager *Manager) unloadableAt(now time.Time, name string) time.Time {
	if _, epoch, found := SplitInstance(name); !found || epoch != manager.epoch {
		return now.Add(MaxInstanceUse)
	}
	// An instance of this epoch for which no host got a permit can be unloaded at once.
	return latest(now, manager.inUseUntil[name])
}

func latest(left, right time.Time) time.Time {
	if left.After(right) {
		return left
	}
	return right
}

// EngineDown stops tracking the instances of an engine that is down, deregistered or restarted. Instances that are
// being loaded stay tracked until the load ends.
func (manager *Manager) EngineDown(name string) {
	engine := manager.engines[name]
	if engine == nil {
		return
	}
	engine.up = false
	clear(engine.untracked)
	for _, entry := range manager.instances {
		if entry.engine == name && entry.stage != stageLoading {
			manager.untrack(entry)
		}
	}
}

// MarkMissing stops tracking an instance that a host could not use on its engine. The engine gets no loads until its
// next report, or until MissingInstanceBackoff has passed.
func (manager *Manager) MarkMissing(now time.Time, name string) {
	entry := manager.instances[name]
	if entry == nil || entry.stage != stageReady {
		return
	}
	if engine := manager.engines[entry.engine]; engine != nil {
		engine.noLoadsUntil = now.Add(MissingInstanceBackoff)
	}
	manager.untrack(entry)
}
