// Package limit keeps every workspace within its rate and burst over all hosts together, without a central bucket.
//
// The rate and burst of a workspace are divided into shares over its home hosts. Hosts lend parts of their shares
// to each other for a bounded time. A lender gives a part up before it answers, and takes it back only after the
// borrower has surely stopped using it, so shares in use never add up to more than the limit.
package limit

import (
	"time"

	"lentilproxy/core/conf"

	"github.com/cespare/xxhash/v2"
)

const (
	// MaxHomes is the greatest number of hosts that a limit is divided over.
	MaxHomes = 8
	// LoanDuration is how long a loan lasts unless it is extended.
	LoanDuration = 2 * time.Second
	// LoanMargin is how much longer the lender waits than the borrower uses a loan.
	LoanMargin = 100 * time.Millisecond
	// Quarantine is how long a restarted host keeps its shares unused, since it forgot what it has lent.
	Quarantine = 4 * time.Second
)

// Share returns the fraction of a workspace's limit that a host holds by a roster.
//
// Until the roster is settled, a host holds the smaller of its old and its new share.
func Share(roster *conf.Roster, workspace, host string) float64 {
	share := shareIn(roster.Members, workspace, host)
	if roster.Settled {
		return share
	}
	return min(share, shareIn(roster.Previous, workspace, host))
}

func shareIn(members []conf.Member, workspace, host string) float64 {
	homes := Homes(members, workspace)
	for _, home := range homes {
		if home.Name == host {
			return 1 / float64(len(homes))
		}
	}
	return 0
}

// Homes returns the hosts that hold shares of a workspace, chosen by rendezvous hashing.
func Homes(members []conf.Member, workspace string) []conf.Member {
	if len(members) <= MaxHomes {
		return members
	}
	homes := make([]conf.Member, 0, MaxHomes+1)
	scores := make([]uint64, 0, MaxHomes+1)
	for _, member := range members {
		score := xxhash.Sum64String(workspace + "\x00" + member.Name)
		place := len(homes)
		for place > 0 && scores[place-1] < score {
			place--
		}
		if place == MaxHomes {
			continue
		}
		homes = insert(homes, place, member)
		scores = insert(scores, place, score)
		homes = homes[:min(len(homes), MaxHomes)]
		scores = scores[:min(len(scores), MaxHomes)]
	}
	return homes
}

func insert[T any](items []T, place int, item T) []T {
	items = append(items, item)
	copy(items[place+1:], items[place:])
	items[place] = item
	return items
}
