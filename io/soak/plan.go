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
	KindStop        Kind = "stop"         // SIGTERM, and a new start
	KindKill        Kind = "kill"         // SIGKILL, and a new start
	KindPause       Kind = "pause"        // SIGSTOP, later SIGCONT
	KindReload      Kind = "reload"       // SIGHUP after the settings have changed
	KindStoreCut    Kind = "store_cut"    // one host's connections to the store are silenced
	KindStoreAway   Kind = "store_away"   // the store answers nobody
	KindStoreSlow   Kind = "store_slow"   // the store's answers are late
	KindStoreLost   Kind = "store_lost"   // transactions take effect without an answer
	KindHistory     Kind = "history"      // the store forgets its history
	KindPeersCut    Kind = "peers_cut"    // one host's connections from its peers are silenced
	KindOneWay      Kind = "one_way"      // what a host answers its peers is dropped
	KindReset       Kind = "reset"        // connections to one backend server are reset
	KindDelay       Kind = "delay"        // connections to one backend server are delayed
	KindCrash       Kind = "crash"        // a backend server crashes; another one comes
	KindDrain       Kind = "drain"        // a backend server drains, and comes back
	KindErrors      Kind = "errors"       // a backend server answers with errors
	KindKeyTaken    Kind = "key_taken"    // a key is withdrawn
	KindVersion     Kind = "version"      // a new version of an adapter is announced
	KindManyConfigs Kind = "many_configs" // configurations follow each other closely
)

// kinds are all kinds, in the order in which a plan draws them.
var kinds = []Kind{
	KindStop, KindKill, KindPause, KindReload, KindStoreCut, KindStoreAway, KindStoreSlow, KindStoreLost, KindHistory, KindPeersCut, KindOneWay,
	KindReset, KindDelay, KindCrash, KindDrain, KindErrors, KindKeyTaken, KindVersion, KindManyConfigs,
}

// Event is one disturbance.
type Event struct {
	At   time.Duration
	For  time.Duration
	Kind Kind
	// Target is the number of a host or backend server, taken modulo their count.
	Target int
}

const (
	// calm is the time without disturbances at the beginning, in which the hosts learn of each other, and at the end, in
	// which everything has to come back.
	calm = 5 * time.Second
	// minPace and maxPace bound the mean time between two disturbances, which the seed decides: bounds in time can only be
	// checked where some time passes without any.
	minPace = 500 * time.Millisecond
	maxPace = 5 * time.Second
	// maxFor bounds one disturbance.
	maxFor = 4 * time.Second
)

// Plan returns the disturbances of a run of some length, by its seed. They overlap, and come in series.
func Plan(seed uint64, length time.Duration) []Event {
	random := rand.New(rand.NewPCG(seed, seed))
	pace := minPace + time.Duration(random.Int64N(int64(maxPace-minPace)))
	var events []Event
	for at := calm; at < length-2*calm; at += time.Duration(random.ExpFloat64() * float64(pace)) {
		event := Event{
			At: at, For: time.Duration(random.Int64N(int64(maxFor))), Kind: kinds[random.IntN(len(kinds))], Target: random.IntN(1 << 16),
		}
		events = append(events, event)
		for random.IntN(4) == 0 {
			event.At += event.For + time.Duration(random.Int64N(int64(time.Second)))
			event.Target++
			events = append(events, event)
		}
	}
	events = slices.DeleteFunc(events, func(event Event) bool { return event.At+event.For > length-2*calm })
	slices.SortStableFunc(events, func(left, right Event) int { return int(left.At - right.At) })
	return events
}
