package crash

import (
	"fmt"
	"slices"
	"time"

	"lentilproxy/core/value"

	"github.com/cespare/xxhash/v2"
)

const (
	// historySize is the number of parts, and serverHistorySize the number of server incarnations, that a host remembers.
	historySize       = 8192
	serverHistorySize = 4096
)

// Part identifies something that requests have in common: a part of their prompts, an adapter, or their whole content.
type Part uint64

// wholeRequest marks parts that identify the whole content of requests.
const wholeRequest Part = 1 << 63

// PromptPart returns the identity of a part of prompts.
func PromptPart(id string) Part { return Part(xxhash.Sum64String(id)) &^ wholeRequest }

// Shared returns the parts that other requests may have too.
func Shared(parts []Part) []Part {
	return slices.DeleteFunc(slices.Clone(parts), Part.whole)
}

// Whole returns the parts that identify the whole content of requests.
func Whole(parts []Part) []Part {
	return slices.DeleteFunc(slices.Clone(parts), func(part Part) bool { return !part.whole() })
}

// whole reports whether the part identifies the whole content of requests.
func (part Part) whole() bool { return part&wholeRequest != 0 }

// AdapterPart returns the identity of a version of an adapter, whose weights may crash servers.
func AdapterPart(adapter string, version int64) Part {
	return Part(xxhash.Sum64String(fmt.Sprintf("%s\x00%d", adapter, version))) &^ wholeRequest
}

// Parts returns the parts by which requests are compared, without duplicates: the given parts of the prompt, the digest of
// the whole request unless it is empty, and further ones.
func Parts(prompt []string, digest string, further ...Part) []Part {
	parts := make([]Part, 0, len(prompt)+len(further)+1)
	for _, id := range prompt {
		parts = append(parts, PromptPart(id))
	}
	parts = append(parts, further...)
	if digest != "" {
		parts = append(parts, Part(xxhash.Sum64String(digest))|wholeRequest)
	}
	slices.Sort(parts)
	return slices.Compact(parts)
}

// containsAll reports whether sorted parts contain all parts of a sorted subset.
func containsAll(parts, subset []Part) bool {
	for _, part := range subset {
		if _, found := slices.BinarySearch(parts, part); !found {
			return false
		}
	}
	return true
}

// intersect removes from sorted parts those that others, sorted too, lack.
func intersect(parts, others []Part) []Part {
	index := 0
	return slices.DeleteFunc(parts, func(part Part) bool {
		for index < len(others) && others[index] < part {
			index++
		}
		return index == len(others) || others[index] != part
	})
}

// Sighting holds the latest times at which requests with a part turned out not to crash their servers. Zero means never.
type Sighting struct {
	// BegunAt is when a server sent the first event of such a request, and SurvivedAt when one ended well. A request may crash
	// its server at any time before.
	BegunAt    time.Time
	SurvivedAt time.Time
}

// merge returns the later times of two sightings.
func (sighting Sighting) merge(other Sighting) Sighting {
	if other.BegunAt.After(sighting.BegunAt) {
		sighting.BegunAt = other.BegunAt
	}
	if other.SurvivedAt.After(sighting.SurvivedAt) {
		sighting.SurvivedAt = other.SurvivedAt
	}
	return sighting
}

// History holds what one host has seen of requests that did not crash their servers. Its size is bounded. It is not safe
// for concurrent use.
type History struct {
	parts   *value.Recent[Part, Sighting]
	servers *value.Recent[string, time.Time]
}

// NewHistory returns an empty history.
func NewHistory() *History {
	return &History{parts: value.NewRecent[Part, Sighting](historySize), servers: value.NewRecent[string, time.Time](serverHistorySize)}
}

// Begun records the first event of a request.
func (history *History) Begun(now time.Time, parts []Part) {
	for _, part := range parts {
		history.parts.Put(part, history.Sighting(part).merge(Sighting{BegunAt: now}))
	}
}

// Survived records that a request ended well.
func (history *History) Survived(now time.Time, parts []Part) {
	for _, part := range parts {
		history.parts.Put(part, Sighting{BegunAt: now, SurvivedAt: now})
	}
}

// Repeated reports whether a request like one with the given parts has been sent before and got a response.
func (history *History) Repeated(parts []Part) bool {
	return slices.ContainsFunc(parts, func(part Part) bool { return part.whole() && !history.Sighting(part).BegunAt.IsZero() })
}

// Responded records that a server incarnation has sent a part of a response.
func (history *History) Responded(now time.Time, incarnation string) {
	history.servers.Put(incarnation, now)
}

// Sighting returns when requests with a part last did not crash their servers.
func (history *History) Sighting(part Part) Sighting {
	sighting, _ := history.parts.Get(part)
	return sighting
}

// RespondedAt returns when a server incarnation last sent a part of a response; zero if that is not known.
func (history *History) RespondedAt(incarnation string) time.Time {
	at, _ := history.servers.Get(incarnation)
	return at
}
