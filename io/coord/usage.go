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
}

// add adds the usage in a message. Messages before base are dropped: no later message refers to them.
func (history *usageHistory) add(id, base int64, usage map[string]sched.Usage) {
	kept := usageHistory{}
	for index, message := range *history {
		if message.id >= base && index > len(*history)-keptUsages {
			kept = append(kept, message)
		}
	}
	kept = append(kept, messageUsage{id: id, usage: usage})
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
func (history usageHistory) find(id int64) (map[string]sched.Usage, bool) {
	for _, message := range history {
		if message.id == id && id > 0 {
			return message.usage, true
		}
	}
	return nil, false
}

// confirmUsage records the last message whose usage the peer has, or 0 if it has none, as after a restart.
func (peer *peerState) confirmUsage(id int64) {
	if id == 0 || id > peer.usageBase {
		peer.usageBase = id
	}
}

// addUsage adds the host's usage to a message for the peer: the whole, or what differs from a message that the peer has.
func (peer *peerState) addUsage(message *gossipMessage, usage map[string]sched.Usage) {
	if !peer.sendsContents {
		message.Usage = usage
		return
	}
	base, found := peer.sentUsage.find(peer.usageBase)
	if found {
		message.UsageBase = peer.usageBase
	}
	message.UsageChanges = map[string][]int64{}
	for server, current := range usage {
		if before, known := base[server]; !known || before != current {
			message.UsageChanges[server] = current.Compact()
		}
	}
	for server := range base {
		if _, used := usage[server]; !used {
			message.UsageChanges[server] = nil
		}
	}
	peer.sentUsage.add(message.ID, message.UsageBase, usage)
}

// completeUsage replaces the differences in a peer's message by the whole usage. If the message that they refer to is not known, which
// happens to messages that were under way while this host restarted, the usage is empty until the next message.
func (peer *peerState) completeUsage(message *gossipMessage) {
	switch newest := peer.receivedUsage.newest(); {
	case message.ID >= newest:
	case newest-message.ID < int64(maxReordering):
		message.Usage, _ = peer.receivedUsage.find(newest) // A later message has arrived before this one.
		return
	default:
		peer.receivedUsage = nil // The peer's clock has started again.
	}
	if message.UsageChanges == nil {
		return // The peer sends the whole usage.
	}
	base, found := peer.receivedUsage.find(message.UsageBase)
	if message.UsageBase != 0 && !found {
		return
	}
	usage := maps.Clone(base)
	if usage == nil {
		usage = map[string]sched.Usage{}
	}
	for server, values := range message.UsageChanges {
		if len(values) == 0 {
			delete(usage, server)
			continue
		}
		usage[server] = sched.ExpandUsage(values)
	}
	message.Usage = usage
	peer.receivedUsage.add(message.ID, message.UsageBase, usage)
}
