package gossip

import "time"

// maxReordering bounds the time between two statements of a source that arrive in the other order: they are sent by calls, which end
// after a fraction of it. An older one shows that the clock of the source has started again.
const maxReordering = 10 * time.Second

// Statement identifies the state of a data centre as one of its relays has stated it.
type Statement struct {
	// Source is the relay, and Stamp the time of its clock when it made the statement.
	Source string
	Stamp  int64
	// AsOf is the time of the receiver's clock that the oldest part of the state is at least as new as.
	AsOf time.Time
}

// Replaces reports whether a statement is newer than the last one.
func (statement Statement) Replaces(last Statement) bool {
	if statement.Source == last.Source {
		return statement.Stamp > last.Stamp || statement.Stamp < last.Stamp-int64(maxReordering)
	}
	return statement.AsOf.After(last.AsOf)
}
