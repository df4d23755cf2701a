package soak

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is a kind of disturbance.
type Kind string

// The kinds of disturbance.
const (
	KindStop        Kind = "stop"         // SIGTERM, then a restart
	KindKill        Kind = "kill"         // SIGKILL, then a restart
	KindPause       Kind = "pause"        // SIGSTOP, then SIGCONT
	KindReload      Kind = "reload"       // SIGHUP, which reloads the settings
	KindStoreCut    Kind = "store_cut"    // one host's traffic to and from the store is dropped
	KindStoreAway   Kind = "store_away"   // the store returns errors or does not respond
	KindStoreSlow   Kind = "store_slow"   // the store's responses are delayed
	KindStoreLost   Kind = "store_lost"   // transactions take effect but their responses are lost
	KindHistory     Kind = "history"      // the store drops its change history
	KindPeersCut    Kind = "peers_cut"    // all traffic on connections from peers to one host is dropped
	KindOneWay      Kind = "one_way"      // one host's responses to its peers are dropped
	KindReset       Kind = "reset"        // connections to one backend server are reset
	KindDelay       Kind = "delay"        // traffic to and from one backend server is delayed
	KindCrash       Kind = "crash"        // a backend server crashes and is replaced
	KindDrain       Kind = "drain"        // a backend server drains, stops and is replaced
	KindErrors      Kind = "errors"       // a backend server responds with errors
	KindKeyTaken    Kind = "key_taken"    // a key is withdrawn and replaced by a new one
	KindVersion     Kind = "version"      // a new version of an adapter is announced
	KindManyConfigs Kind = "many_configs" // several configurations are written in quick succession
	KindCrashPart   Kind = "crash_part"   // requests that share a prompt part crash the engines that run them
	KindCopies      Kind = "copies"       // backend servers send responses twice, cut them off, and reject requests
	KindEvacuate    Kind = "evacuate"     // the data centre of some backend servers is evacuated
	KindColdReturn  Kind = "cold_return"  // a backend server without a model becomes cold
)

// kinds lists the kinds that a plan draws. It draws indexes, so their order is part of what a seed produces. Each plan
// contains the others once, so that they are not drawn.
var kinds = []Kind{
	KindStop, KindKill, KindPause, KindReload, KindStoreCut, KindStoreAway, KindStoreSlow, KindStoreLost, KindHistory, KindPeersCut, KindOneWay,
	KindReset, KindDelay, KindCrash, KindDrain, KindErrors, KindKeyTaken, KindVersion, KindManyConfigs,
}

// Event is one planned disturbance.
type Event struct {
	At       time.Duration
	Duration time.Duration
	Kind     Kind
	// Target is the index of a host, backend server or adapter, modulo their number. In KindStoreAway, the store does not
	// respond if Target is even, and returns errors otherwise.
	Target int
}

const (
	// quietPeriod is the time without disturbances at the start, in which the hosts discover each other. Two such periods
	// follow the last disturbance: the system has to recover in the first, and checkRecovery checks the second.
	quietPeriod = 5 * time.Second
	// minMeanInterval and maxMeanInterval bound the mean time between two disturbances, which is drawn from the seed.
	// Time bounds can only be checked in periods without disturbances, so some seeds have to leave such periods.
	minMeanInterval = 500 * time.Millisecond
	maxMeanInterval = 5 * time.Second
	// maxDuration bounds the duration of one disturbance.
	maxDuration = 4 * time.Second
	// maxCrashPartDuration is the duration of KindCrashPart in runs that are long enough.
	maxCrashPartDuration = 14 * time.Second
	// maxCopiesDuration is the duration of KindCopies in runs that are long enough, and copiesDisturbances the number of
	// disturbances of processes while it lasts, besides those that are drawn independently.
	maxCopiesDuration  = 10 * time.Second
	copiesDisturbances = 4
	// maxEvacuation is the duration of KindEvacuate and KindColdReturn in runs that are long enough.
	maxEvacuation = 8 * time.Second
)

// Plan returns the disturbances of a run of the given length, as determined by the seed. Disturbances may overlap,
// and some are repeated on further targets.
func Plan(seed uint64, length time.Duration) []Event {
	random := rand.New(rand.NewPCG(seed, seed))
	meanInterval := minMeanInterval + time.Duration(random.Int64N(int64(maxMeanInterval-minMeanInterval)))
	var events []Event
	for at := quietPeriod; at < length-2*quietPeriod; at += time.Duration(random.ExpFloat64() * float64(meanInterval)) {
		event := Event{
			At: at, Duration: time.Duration(random.Int64N(int64(maxDuration))), Kind: kinds[random.IntN(len(kinds))], Target: random.IntN(1 << 16),
		}
		events = append(events, event)
		for random.IntN(4) == 0 {
			event.At += event.Duration + time.Duration(random.Int64N(int64(time.Second)))
			event.Target++
			events = append(events, event)
		}
	}
	events = append(append(events, crashPartEvent(seed, length)), copiesEvents(seed, length)...)
	events = append(events, evacuationEvents(seed, length)...)
	events = slices.DeleteFunc(events, func(event Event) bool { return event.At+event.Duration > length-2*quietPeriod })
	slices.SortStableFunc(events, func(left, right Event) int { return int(left.At - right.At) })
	return events
}

// crashPartEvent returns the event in which requests share a part that crashes engines. It lasts long enough to be stopped
// while it lasts.
func crashPartEvent(seed uint64, length time.Duration) Event {
	random := rand.New(rand.NewPCG(seed, ^seed))
	duration := min(maxCrashPartDuration, length-3*quietPeriod-time.Second)
	latest := length - 2*quietPeriod - duration - quietPeriod
	return Event{
		At: quietPeriod + time.Duration(random.Int64N(max(1, int64(latest)))), Duration: duration, Kind: KindCrashPart, Target: random.IntN(1 << 16),
	}
}

// evacuationEvents returns the events in which a data centre is evacuated, and in which a server becomes cold.
func evacuationEvents(seed uint64, length time.Duration) []Event {
	random := rand.New(rand.NewPCG(seed, seed+1))
	duration := min(maxEvacuation, length-3*quietPeriod-time.Second)
	latest := length - 3*quietPeriod - duration
	var events []Event
	for _, kind := range []Kind{KindEvacuate, KindColdReturn} {
		events = append(events, Event{
			At: quietPeriod + time.Duration(random.Int64N(max(1, int64(latest)))), Duration: duration, Kind: kind, Target: random.IntN(1 << 16),
		})
	}
	return events
}

// copiesEvents returns the event in which backend servers send responses twice, and events in which hosts are killed, paused and
// stopped while it lasts.
func copiesEvents(seed uint64, length time.Duration) []Event {
	random := rand.New(rand.NewPCG(^seed, seed))
	duration := min(maxCopiesDuration, length-3*quietPeriod-time.Second)
	latest := length - 3*quietPeriod - duration
	events := []Event{{
		At: quietPeriod + time.Duration(random.Int64N(max(1, int64(latest)))), Duration: duration, Kind: KindCopies, Target: random.IntN(1 << 16),
	}}
	for range copiesDisturbances {
		events = append(events, Event{
			At: events[0].At + time.Duration(random.Int64N(max(1, int64(duration)))), Duration: time.Duration(random.Int64N(int64(maxDuration) / 2)),
			Kind: []Kind{KindKill, KindPause, KindStop}[random.IntN(3)], Target: random.IntN(1 << 16),
		})
	}
	return events
}
