package slots

import (
	"math"
	"sort"
	"time"

	"lentilproxy"
	"lentilproxy/core/spec"
)

// victim returns the adapter that is least likely to be asked for again and is not in use, or "".
func (keeper *Keeper) victim(now time.Time) string {
	best, least := "", math.Inf(1)
	for name, known := range keeper.entries {
		if known.phase != ready || known.replacing || keeper.inUse(now, name) {
			continue
		}
		if demand := known.demandNow(now); demand < least || (demand == least && name < best) {
			best, least = name, demand
		}
	}
	return best
}

// Retire announces that adapters make room, so that the next load finds a free place. It says whether one was found.
func (keeper *Keeper) Retire(now time.Time) bool {
	if !keeper.synced || !keeper.hasModel {
		return false
	}
	free := keeper.places - keeper.taken()
	for _, known := range keeper.entries {
		if known.phase == retiring || known.phase == leaving {
			free++
		}
	}
	retired := false
	for ; free < keeper.places/reservePart; free++ {
		name := keeper.victim(now)
		if name == "" {
			break
		}
		keeper.entries[name].phase, keeper.entries[name].retiredAt = retiring, now
		retired = true
	}
	return retired
}

// Next returns the next order to send, if there is one. Every order has to be answered before the next.
func (keeper *Keeper) Next(now time.Time, mayLoadModel bool) (lentilproxy.Order, bool) {
	if !keeper.synced || now.Before(keeper.busyUntil) {
		return lentilproxy.Order{}, false
	}
	if !keeper.hasModel {
		return keeper.nextModel(now, mayLoadModel)
	}
	for _, choose := range []func(time.Time) (lentilproxy.Order, bool){
		keeper.nextReplacement, keeper.nextLoad, keeper.nextPoll, keeper.nextUnload,
	} {
		if order, found := choose(now); found {
			return order, true
		}
	}
	return lentilproxy.Order{}, false
}

// nextModel loads the base model of a server that restarted empty.
func (keeper *Keeper) nextModel(now time.Time, mayLoad bool) (lentilproxy.Order, bool) {
	ordered := !keeper.modelOrderAt.IsZero()
	if keeper.model == "" || (!ordered && !mayLoad) || (ordered && now.Sub(keeper.modelOrderAt) < pollSlow) {
		return lentilproxy.Order{}, false
	}
	return keeper.order(lentilproxy.Load, "", 0), true
}

func (keeper *Keeper) order(kind lentilproxy.OrderKind, adapter string, version int64) lentilproxy.Order {
	return lentilproxy.Order{
		Kind: kind, Ref: spec.AdapterRef{Model: keeper.model, Adapter: adapter}, Version: version, Sequence: keeper.sequence,
	}
}

// nextPoll asks whether an adapter has arrived or left, by repeating its order.
func (keeper *Keeper) nextPoll(now time.Time) (lentilproxy.Order, bool) {
	for _, name := range keeper.names() {
		known := keeper.entries[name]
		if now.Sub(known.polledAt) < keeper.pollInterval(now, name) {
			continue
		}
		switch {
		case known.phase == loading || known.replacing:
			return keeper.order(lentilproxy.Load, name, keeper.versions[name]), true
		case known.phase == leaving:
			return keeper.order(lentilproxy.Unload, name, 0), true
		}
	}
	return lentilproxy.Order{}, false
}

// pollInterval returns the time between two questions about an adapter.
func (keeper *Keeper) pollInterval(now time.Time, adapter string) time.Duration {
	known := keeper.entries[adapter]
	if _, kept := keeper.recent[adapter]; kept || known.phase == leaving {
		return pollFast
	}
	return max(pollSlow, storeTime-now.Sub(known.orderAt))
}

// nextReplacement loads the newest version in place of an older one.
func (keeper *Keeper) nextReplacement(now time.Time) (lentilproxy.Order, bool) {
	if keeper.inTransit() >= MaxInTransit {
		return lentilproxy.Order{}, false
	}
	for _, name := range keeper.names() {
		known := keeper.entries[name]
		if known.phase == ready && !known.replacing && known.version < keeper.versions[name] && !keeper.inUse(now, name) {
			return keeper.order(lentilproxy.Load, name, keeper.versions[name]), true
		}
	}
	return lentilproxy.Order{}, false
}

// nextLoad loads the adapter that is wanted most, or makes room for it.
func (keeper *Keeper) nextLoad(now time.Time) (lentilproxy.Order, bool) {
	best := keeper.mostWanted(now)
	if best == "" || keeper.inTransit() >= MaxInTransit {
		return lentilproxy.Order{}, false
	}
	if keeper.taken() < keeper.places {
		return keeper.order(lentilproxy.Load, best, keeper.versions[best]), true
	}
	// There was no time to announce it.
	if name := keeper.oldestRetiring(now); name != "" {
		return keeper.order(lentilproxy.Unload, name, 0), true
	}
	if keeper.makingRoom() {
		return lentilproxy.Order{}, false
	}
	if victim := keeper.victim(now); victim != "" {
		return keeper.order(lentilproxy.Unload, victim, 0), true
	}
	return lentilproxy.Order{}, false
}

// mostWanted returns the adapter to load next, or "". One that the server loads fast comes first.
func (keeper *Keeper) mostWanted(now time.Time) string {
	best, fast, most := "", false, -1.0
	storeBusy := keeper.fromStore() >= MaxFromStore
	for _, name := range keeper.names() {
		known := keeper.entries[name]
		if known.phase != wanted {
			continue
		}
		if now.Sub(known.wantedAt) > wantLifetime {
			delete(keeper.entries, name)
			continue
		}
		_, kept := keeper.recent[name]
		if !kept && (storeBusy || fast) {
			continue
		}
		if demand := known.demandNow(now); demand > most || (kept && !fast) {
			best, fast, most = name, kept, demand
		}
	}
	return best
}

// nextUnload unloads an adapter whose announcement everybody has got.
func (keeper *Keeper) nextUnload(now time.Time) (lentilproxy.Order, bool) {
	name := keeper.oldestRetiring(now)
	if name == "" || now.Sub(keeper.entries[name].retiredAt) < noticeTime {
		return lentilproxy.Order{}, false
	}
	return keeper.order(lentilproxy.Unload, name, 0), true
}

// oldestRetiring returns the adapter that was announced first to make room and that nobody uses, or "".
func (keeper *Keeper) oldestRetiring(now time.Time) string {
	oldest := ""
	for _, name := range keeper.names() {
		known := keeper.entries[name]
		if known.phase == retiring && !keeper.inUse(now, name) && (oldest == "" || known.retiredAt.Before(keeper.entries[oldest].retiredAt)) {
			oldest = name
		}
	}
	return oldest
}

func (keeper *Keeper) names() []string {
	names := make([]string, 0, len(keeper.entries))
	for name := range keeper.entries {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
