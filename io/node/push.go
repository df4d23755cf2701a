package node

import (
	"slices"
	"time"

	"lentilproxy/core/conf"
)

const (
	// pushDuration is how long a host notifies its peers of its own commit.
	pushDuration = 8 * time.Second
	// maxPushedChanges bounds the changes in one notification. Peers that lack more ask for them.
	maxPushedChanges = 2
)

// notice is what a peer was told of this host's own commits.
type notice struct {
	// revision is the newest revision whose change was sent to the peer.
	revision int64
	// active reports whether a notification has not ended yet.
	active bool
}

// startPush notifies the peers of this host's own commit until all have acknowledged it.
func (control *control) startPush(now time.Time) {
	control.pushUntil = now.Add(pushDuration)
	control.push(now, func() {})
}

// push notifies the peers that have not acknowledged this host's own commits. A peer that is slow to respond gets no second
// notification meanwhile, which would slow it down further.
func (control *control) push(now time.Time, done func()) {
	defer done()
	if now.After(control.pushUntil) {
		clear(control.notices)
		return
	}
	acknowledged := control.tracker.Acknowledged(control.state.Revision())
	for _, known := range control.peers() {
		if !acknowledged.Has(known.Name) {
			control.notify(known)
		}
	}
}

// notify sends a peer this host's revision, and the last changes that it was not sent before. A peer that lacks others
// asks for them.
func (control *control) notify(known conf.Member) {
	told := control.notices[known.Name]
	if told == nil {
		told = &notice{}
		control.notices[known.Name] = told
	}
	if told.active {
		return
	}
	changes := control.unsentChanges(max(told.revision, control.tracker.AcknowledgedBy(known.Name)))
	told.revision, told.active = control.state.Revision(), true
	params := notifyParams{From: control.selfStatus(), Changes: changes}
	control.call(known, methodNotify, params, func() { told.active = false })
}

// unsentChanges returns those of the last changes that follow a revision, at most maxPushedChanges.
func (control *control) unsentChanges(revision int64) []conf.Change {
	changes := control.recentChanges[max(0, len(control.recentChanges)-maxPushedChanges):]
	first := slices.IndexFunc(changes, func(change conf.Change) bool { return change.Revision > revision })
	if first < 0 {
		return nil
	}
	return changes[first:]
}
