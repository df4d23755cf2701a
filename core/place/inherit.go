package place

import (
	"time"

	"lentilproxy/core/value"
)

// UpdateEngine records what an engine says it has loaded, asked for at an instant. Instances of other epochs keep their
// slots until no host can use them; own instances that are missing are forgotten.
func (manager *Manager) UpdateEngine(now, askedAt time.Time, name string, loaded []string) {
	known := manager.engines[name]
	if known == nil {
		return
	}
	known.up = true
	known.doubtUntil = time.Time{}
	present := value.NewSet(loaded...)
	for _, held := range loaded {
		if _, own := manager.instances[held]; own {
			continue
		}
		if _, seen := known.foreign[held]; !seen {
			known.foreign[held] = manager.freeAt(now, held)
		}
	}
	for held := range known.foreign {
		if !present.Has(held) {
			delete(known.foreign, held)
		}
	}
	for held, entry := range manager.instances {
		settled := entry.stage == stageReady || entry.stage == stageRevoking
		if entry.engine == name && settled && !present.Has(held) && entry.readyAt.Before(askedAt) {
			manager.forget(entry)
		}
	}
}

// Census is what one host still uses of the instances that earlier owners loaded.
type Census struct {
	Host string  `json:"host"`
	Uses []Usage `json:"uses"`
	// Complete hosts gave up all their older permits but those in use.
	Complete bool `json:"complete"`
}

// TakeOver takes over the instances that an engine holds from an earlier epoch. No order of the earlier owner may
// reach the engine any more: it checks fencing numbers, or the earlier owner confirmed that it has ended.
func (manager *Manager) TakeOver(now time.Time, engineName string, loaded []string, census []Census) {
	known := manager.engines[engineName]
	if known == nil {
		return
	}
	for _, name := range loaded {
		model, _, valid := SplitInstance(name)
		if !valid || manager.instances[name] != nil {
			continue
		}
		delete(known.foreign, name)
		entry := &instance{
			name: name, model: model, engine: engineName, stage: stageReady, permits: map[string]*granted{}, lastUse: now, readyAt: now,
		}
		for _, report := range census {
			entry.inherit(now, report)
		}
		manager.book(entry)
	}
}

// inherit books a host's use of an instance; a host that did not answer may use it until MaxHold is over.
func (entry *instance) inherit(now time.Time, report Census) {
	if !report.Complete {
		entry.permits[report.Host] = &granted{until: now.Add(PermitDuration), inFlight: 1}
		return
	}
	for _, use := range report.Uses {
		if use.Instance == entry.name {
			entry.permits[report.Host] = &granted{until: now.Add(PermitDuration), inFlight: use.InFlight}
		}
	}
}

// ReleaseUnused ends the wait for instances of earlier epochs that no host uses, once every host gave up its permits.
func (manager *Manager) ReleaseUnused(now time.Time, engineName string, census []Census) {
	known := manager.engines[engineName]
	if known == nil {
		return
	}
	used := value.NewSet[string]()
	for _, report := range census {
		if !report.Complete {
			return
		}
		for _, use := range report.Uses {
			used.Add(use.Instance)
		}
	}
	for name := range known.foreign {
		if !used.Has(name) {
			known.foreign[name] = now
		}
	}
}

// freeAt returns when an instance that is not in the books has surely ended all its uses.
func (manager *Manager) freeAt(now time.Time, name string) time.Time {
	if _, epoch, found := SplitInstance(name); !found || epoch != manager.epoch {
		return now.Add(MaxInstanceUse)
	}
	// An own instance that no host was given is free at once.
	return later(now, manager.inUse[name])
}

func later(left, right time.Time) time.Time {
	if left.After(right) {
		return left
	}
	return right
}

// EngineDown forgets the instances of an engine that is gone or restarted.
func (manager *Manager) EngineDown(name string) {
	known := manager.engines[name]
	if known == nil {
		return
	}
	known.up = false
	clear(known.foreign)
	for _, entry := range manager.instances {
		if entry.engine == name && entry.stage != stageLoading {
			manager.forget(entry)
		}
	}
}

// MarkMissing records that a host could not use an instance at its engine. The engine gets no load until it was heard again,
// or a while has passed.
func (manager *Manager) MarkMissing(now time.Time, name string) {
	entry := manager.instances[name]
	if entry == nil || entry.stage != stageReady {
		return
	}
	if known := manager.engines[entry.engine]; known != nil {
		known.doubtUntil = now.Add(MissingInstanceBackoff)
	}
	manager.forget(entry)
}
