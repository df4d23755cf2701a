package mirror

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// fullMeshHosts is the number of hosts up to which all of them hear of each other in every gossip interval, so that a proof of the
	// one reader reaches the others at once.
	fullMeshHosts = 11
	// fewHosts is the number of hosts up to which a table has one reader.
	fewHosts = 30
	// fewDelay is how much older than the first reader's a proof has to be before the next host reads, for each of up to maxFewRank
	// preceding hosts, with few hosts.
	fewDelay   = 350 * time.Millisecond
	maxFewRank = 2
	// Readers is the number of hosts that read a table regularly with more hosts. With two, a proof spreads from two sources, and the
	// loss of one of them delays nothing.
	Readers = 2
	// secondDelay and thirdDelay are how much older a proof has to be before the second and the third host reads, with more hosts.
	secondDelay = 150 * time.Millisecond
	thirdDelay  = 700 * time.Millisecond
	// lateAge is the age of a proof from which on any other host reads, and lateSpread the time over which these reads are spread. In
	// sum they leave some hundred milliseconds of the 2 s within which changes have to be known.
	lateAge    = 1400 * time.Millisecond
	lateSpread = 250 * time.Millisecond
	// askAge is the age of a proof from which on a host asks a reader for its proof, with more hosts. The calls of gossip are not spread evenly: some hosts make none for more than a second, and proofs arrive in
	// responses only.
	askAge = 800 * time.Millisecond
	// AskInterval is the time between two such calls.
	AskInterval = 250 * time.Millisecond
	// askedHosts is the number of first hosts in the order of readers that are asked in turn.
	askedHosts = 3
)

// Rank returns the number of peers that precede a host in the order of readers of a table. The order is by rendezvous hashing: it
// differs between tables, needs no agreement, and the loss of a host does not change the order of the others.
func Rank(table, self string, peers []string) int {
	rank, own := 0, readerHash(table, self)
	for _, peer := range peers {
		if hash := readerHash(table, peer); hash > own || hash == own && peer < self {
			rank++
		}
	}
	return rank
}

func readerHash(table, host string) uint64 {
	return xxhash.Sum64String("reader\x00" + table + "\x00" + host)
}

// FewHosts reports whether a number of hosts is small enough for one reader.
func FewHosts(hosts int) bool { return hosts <= fewHosts }

// ReadAge returns the age of a proof from which on a host reads a table itself. The first host reads at the age base.
func ReadAge(base time.Duration, rank, hosts int) time.Duration {
	switch {
	case hosts <= fullMeshHosts || FewHosts(hosts) && rank <= maxFewRank:
		return base + time.Duration(min(rank, maxFewRank))*fewDelay
	case rank == 0:
		return base
	case rank == 1:
		return base + secondDelay
	case rank == Readers:
		return base + thirdDelay
	default:
		return max(lateAge, base+thirdDelay) + lateSpread*time.Duration(rank)/time.Duration(hosts)
	}
}

// AskAge returns the age of a proof from which on a host asks a peer for its proof. It reports false if the host does not ask.
func AskAge(base time.Duration, hosts int) (time.Duration, bool) {
	return max(askAge, base+secondDelay), hosts > fullMeshHosts
}

// Asked returns the peer that a host asks for a proof, or an empty name if there are no peers. The attempts since the last proof go
// to two of the first hosts in the order of readers, and then to any host, since the readers may not reach the store.
func Asked(table, self string, peers []string, attempt int) string {
	if len(peers) == 0 {
		return ""
	}
	draw := readerHash(table, self) + uint64(attempt)
	if attempt >= 2 {
		return peers[xxhash.Sum64String(self+"\x00"+strconv.Itoa(attempt))%uint64(len(peers))]
	}
	first := make([]string, 0, askedHosts+1)
	for _, peer := range peers {
		hash := readerHash(table, peer)
		index := len(first)
		for index > 0 && readerHash(table, first[index-1]) < hash {
			index--
		}
		if first = slices.Insert(first, index, peer); len(first) > askedHosts {
			first = first[:askedHosts]
		}
	}
	return first[draw%uint64(len(first))]
}
