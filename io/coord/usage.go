package coord

import (
	"maps"
	"time"

	"lentilproxy/core/sched"
)

// maxReordering bounds the time between two messages of a peer that arrive in the other order. They are sent by calls, which end after
// callTimeout, and their IDs are times.
const maxReordering = 5 * time.Second

// usageHistory holds the usage in the last messages from one host to another one, oldest first.
type usageHistory []messageUsage

type messageUsage struct {
	id    int64
	usage map[string]sched.Usage
	// loaded maps the servers that the sender holds to what they have loaded. It and its content are never changed.
	loaded map[string]loadedUpdate
}

// add adds the usage in a message. Messages before base are dropped: no later message refers to them.
func (history *usageHistory) add(base int64, added messageUsage) {
	kept := usageHistory{}
	for index, message := range *history {
		if message.id >= base && index > len(*history)-keptUsages {
			kept = append(kept, message)
		}
	}
	kept = append(kept, added)
	*history = kept
}

// newest returns the ID of the last message, or 0.
func (history usageHistory) newest() int64 {
	if len(history) == 0 {
		return 0
	}
	return history[len(history)-1].id
}

// find returns the usage in a message, if it is still known.
func (history usageHistory) find(id int64) (messageUsage, bool) {
	for _, message := range history {
		if message.id == id && id > 0 {
			return message, true
		}
	}
	return messageUsage{}, false
}

// confirmUsage records the last message whose usage the peer has, or 0 if it has none, as after a restart.
func (peer *peerState) confirmUsage(id int64) {
	if id == 0 || id > peer.usageBase {
		peer.usageBase = id
	}
}

// addState adds the host's usage and what its servers have loaded to a message for the peer: the whole, or what differs from a message
// that the peer has.
func (peer *peerState) addState(message *gossipMessage, usage map[string]sched.Usage, loaded map[string]loadedUpdate) {
	if !peer.sendsContents {
		message.Usage = usage
		return
	}
	base, found := peer.sentUsage.find(peer.usageBase)
	if found {
		message.UsageBase = peer.usageBase
	}
	message.UsageChanges, message.LoadedChanges = map[string][]int64{}, map[string]loadedChange{}
	for server, current := range usage {
		if before, known := base.usage[server]; !known || before != current {
			message.UsageChanges[server] = current.Compact()
		}
	}
	for server := range base.usage {
		if _, used := usage[server]; !used {
			message.UsageChanges[server] = nil
		}
	}
	for server, current := range loaded {
		before, known := base.loaded[server]
		if change, changed := current.since(before, known); changed {
			message.LoadedChanges[server] = change
		}
	}
	for server := range base.loaded {
		if _, held := loaded[server]; !held {
			message.LoadedChanges[server] = loadedChange{}
		}
	}
	peer.sentUsage.add(message.UsageBase, messageUsage{id: message.ID, usage: usage, loaded: loaded})
}

// completeState replaces the differences in a peer's message by the whole usage and by all that the changed servers have loaded. If the
// message that they refer to is not known, which happens to messages that were under way while this host restarted, there is none until
// the next message.
func (peer *peerState) completeState(message *gossipMessage) {
	switch newest := peer.receivedUsage.newest(); {
	case message.ID >= newest:
	case newest-message.ID < int64(maxReordering):
		last, _ := peer.receivedUsage.find(newest) // A later message has arrived before this one.
		message.Usage = last.usage
		return
	default:
		peer.receivedUsage = nil // The peer's clock has started again.
	}
	if message.UsageChanges == nil {
		return // The peer sends the whole state.
	}
	base, found := peer.receivedUsage.find(message.UsageBase)
	if message.UsageBase != 0 && !found {
		return
	}
	state := messageUsage{id: message.ID, usage: maps.Clone(base.usage), loaded: maps.Clone(base.loaded)}
	if state.usage == nil {
		state.usage = map[string]sched.Usage{}
	}
	if state.loaded == nil {
		state.loaded = map[string]loadedUpdate{}
	}
	for server, values := range message.UsageChanges {
		if len(values) == 0 {
			delete(state.usage, server)
			continue
		}
		state.usage[server] = sched.ExpandUsage(values)
	}
	message.Loaded = map[string]loadedUpdate{}
	for server, change := range message.LoadedChanges {
		update, held := change.apply(base.loaded[server])
		if !held {
			delete(state.loaded, server)
			continue
		}
		state.loaded[server], message.Loaded[server] = update, update
	}
	peer.receivedCount++
	if peer.receivedCount%fullMessageEvery == 1 {
		// Traffic drops what it gets for a server that it does not know yet.
		message.Loaded = maps.Clone(state.loaded)
	}
	message.Usage = state.usage
	peer.receivedUsage.add(message.UsageBase, state)
}

// loadedChange is what differs in a server's loaded adapters. It is empty if the sender does not hold the server any more.
type loadedChange struct {
	StartedMillis int64  `json:"born,omitempty"`
	Model         string `json:"model,omitempty"`
	Orderable     bool   `json:"orderable,omitempty"`
	Held          bool   `json:"held,omitempty"`
	// Whole reports whether Adapters are all adapters, rather than those that were added or have another version.
	Whole    bool             `json:"whole,omitempty"`
	Adapters map[string]int64 `json:"adapters,omitempty"`
	Removed  []string         `json:"removed,omitempty"`
}

// since returns what differs from an earlier state, if that is known, and reports whether anything does.
func (update loadedUpdate) since(before loadedUpdate, known bool) (loadedChange, bool) {
	change := loadedChange{StartedMillis: update.StartedMillis, Model: update.Loaded.Model, Orderable: update.Loaded.Orderable, Held: true}
	if !known || update.StartedMillis != before.StartedMillis {
		change.Whole, change.Adapters = true, update.Loaded.Adapters
		return change, true
	}
	change.Adapters = map[string]int64{}
	for adapter, version := range update.Loaded.Adapters {
		if known, found := before.Loaded.Adapters[adapter]; !found || known != version {
			change.Adapters[adapter] = version
		}
	}
	for adapter := range before.Loaded.Adapters {
		if _, found := update.Loaded.Adapters[adapter]; !found {
			change.Removed = append(change.Removed, adapter)
		}
	}
	same := update.Loaded.Model == before.Loaded.Model && update.Loaded.Orderable == before.Loaded.Orderable
	return change, !same || len(change.Adapters) > 0 || len(change.Removed) > 0
}

// apply returns the state after a change of an earlier state. It reports false if the sender does not hold the server any more.
func (change loadedChange) apply(before loadedUpdate) (loadedUpdate, bool) {
	if !change.Held {
		return loadedUpdate{}, false
	}
	adapters := map[string]int64{}
	if !change.Whole {
		maps.Copy(adapters, before.Loaded.Adapters)
	}
	maps.Copy(adapters, change.Adapters)
	for _, adapter := range change.Removed {
		delete(adapters, adapter)
	}
	loaded := sched.Loaded{Model: change.Model, Orderable: change.Orderable, Adapters: adapters}
	return loadedUpdate{StartedMillis: change.StartedMillis, Loaded: loaded}, true
}
