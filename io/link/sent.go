package link

import (
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// maxSent is the number of requests that a pool remembers, to recognise responses to them within other ones.
const maxSent = 16384

// sentRequests holds the hashes of the IDs of the last requests that a pool has sent. It is safe for concurrent use.
type sentRequests struct {
	mutex  sync.Mutex
	hashes []uint64
	// next is the index of the oldest hash once there are maxSent.
	next int
}

// add records a request.
func (sentRequests *sentRequests) add(id string) {
	sentRequests.mutex.Lock()
	defer sentRequests.mutex.Unlock()
	if hash := xxhash.Sum64String(id); len(sentRequests.hashes) < maxSent {
		sentRequests.hashes = append(sentRequests.hashes, hash)
	} else {
		sentRequests.hashes[sentRequests.next] = hash
		sentRequests.next = (sentRequests.next + 1) % maxSent
	}
}

// has reports whether a request is among the last ones.
func (sentRequests *sentRequests) has(id string) bool {
	sentRequests.mutex.Lock()
	defer sentRequests.mutex.Unlock()
	return slices.Contains(sentRequests.hashes, xxhash.Sum64String(id))
}
