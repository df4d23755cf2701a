// Package limit keeps every workspace within its rate and burst across all hosts, without a central token bucket.
//
// The rate and burst of a workspace are divided into shares over several hosts. Hosts lend parts of their shares to
// each other for a bounded time. A lender stops using a lent part before it responds, and uses it again only after the
// borrower is certain to have stopped using it, so the shares in use never add up to more than the limit.
package limit

import (
	"time"

	"lentilproxy/core/conf"

	"github.com/cespare/xxhash/v2"
)

const (
	// MaxShareHosts is the greatest number of hosts that a limit is divided over.
	MaxShareHosts = 8
	// LoanDuration is how long a loan lasts unless it is extended.
	LoanDuration = 2 * time.Second
	// LoanMargin is how much longer a loan lasts for its lender than for its borrower.
	LoanMargin = 100 * time.Millisecond
	// Quarantine is how long a restarted host leaves its shares unused, since it has lost the record of what it lent.
	Quarantine = 4 * time.Second
)

// Share returns the fraction of a workspace's limit that a host holds according to a roster.
//
// Until the roster is settled, a host holds the smaller of its old and its new share.
func Share(roster *conf.Roster, workspace, host string) float64 {
	share := shareAmong(roster.Members, workspace, host)
	if roster.Settled {
		return share
	}
	return min(share, shareAmong(roster.Previous, workspace, host))
}

func shareAmong(members []conf.Member, workspace, host string) float64 {
	hosts := ShareHosts(members, workspace)
	for _, candidate := range hosts {
		if candidate.Name == host {
			return 1 / float64(len(hosts))
		}
	}
	return 0
}

// ShareHosts returns the hosts that hold shares of a workspace's limit, chosen by rendezvous hashing.
func ShareHosts(members []conf.Member, workspace string) []conf.Member {
	if len(members) <= MaxShareHosts {
		return members
	}
	hosts := make([]conf.Member, 0, MaxShareHosts+1)
	scores := make([]uint64, 0, MaxShareHosts+1)
	for _, member := range members {
		score := xxhash.Sum64String(workspace + "\x00" + member.Name)
		position := len(hosts)
		for position > 0 && scores[position-1] < score {
			position--
		}
		if position == MaxShareHosts {
			continue
		}
		hosts = insert(hosts, position, member)
		scores = insert(scores, position, score)
		hosts = hosts[:min(len(hosts), MaxShareHosts)]
		scores = scores[:min(len(scores), MaxShareHosts)]
	}
	return hosts
}

func insert[T any](items []T, position int, item T) []T {
	items = append(items, item)
	copy(items[position+1:], items[position:])
	items[position] = item
	return items
}
