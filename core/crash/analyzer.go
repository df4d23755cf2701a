package crash

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// CrashesToBlock is the number of crashes after which requests with a part are blocked, if none of them has begun in
	// the meantime.
	CrashesToBlock = 3
	// BegunCrashesToBlock is the number of crashes, including those of servers that fail together, if some requests with a part
	// that other requests have too have begun but none has survived.
	BegunCrashesToBlock = 5
	// SettleTime is the age that a crash needs to count: other hosts may still hear from the server, or from requests
	// with the same parts.
	SettleTime = 400 * time.Millisecond
	// crashSpacing is the time between two crashes from which on they count separately, even if all requests were sent before
	// the first: servers that fail together do so at once, whereas a request may wait for long before it begins.
	crashSpacing = 250 * time.Millisecond
	// evidenceTime is how long a crash counts.
	evidenceTime = RefusalDuration
	// AliveSlack is how long after its crash bytes that a server sent before may be read.
	AliveSlack = 250 * time.Millisecond
	// AbandonedTime is how long after its caller has left a server may go on with a request while it responds to others: the
	// usual time limit of requests.
	AbandonedTime = 3 * time.Second
	// sentSlack is how much later than its crash a request that was in flight there may seem to have been sent: reports of several
	// hosts take different times. Requests that were sent later, up to AliveSlack, count less: most of them were sent after the crash.
	sentSlack = 50 * time.Millisecond
	// maxCrashes bounds the crashes that are kept, and maxEvidenceParts the parts of all requests of all of them.
	maxCrashes       = 128
	maxEvidenceParts = 16 * maxCrashParts
	// maxCrashParts bounds the parts of all requests of one crash. A request whose head has the usual limit has at most a quarter of them.
	maxCrashParts = 16384
	// maxBlockParts bounds the parts of one block: those of a request whose head has the usual limit.
	maxBlockParts = maxCrashParts / 4
	// maxSuspects bounds the parts that other hosts are asked about.
	maxSuspects = 64
	// maxSightings bounds the parts whose sightings are kept.
	maxSightings = 2 * maxCrashParts
)

// Request is a request that was in flight when its server crashed.
type Request struct {
	// Parts is sorted.
	Parts  []Part
	SentAt time.Time
}

// evidence is a crash and the requests that may have caused it.
type evidence struct {
	server string
	// known reports whether the incarnation of the server is known.
	known bool
	// inferred reports whether the crash only showed later. Then at is the last time at which a request on the server ended.
	inferred bool
	at       time.Time
	// foundAt is when the crash was first recorded.
	foundAt  time.Time
	requests []Request
	size     int
	// distinct holds the sorted parts of all requests, or nothing after a change.
	distinct []Part
}

// Analyzer finds the parts of requests that crash servers, from the requests that were in flight at each crash. It is not
// safe for concurrent use.
//
// A part counts as the cause once it was in flight at CrashesToBlock crashes, and no request with it has survived since the
// first of them. Servers that fail together count once: a further crash must be crashSpacing later, or a request with the part
// must have been sent after the one before. If some requests with the part have begun, BegunCrashesToBlock servers must have
// crashed in all; some of them may have failed together. Of several such parts the most specific one of those that were certainly
// in flight at the most crashes is blocked, along with the parts that always accompany it, unless these have been seen to be sound.
type Analyzer struct {
	crashes   map[string]*evidence
	sightings map[Part]Sighting
}

// NewAnalyzer returns an analyzer without evidence.
func NewAnalyzer() *Analyzer {
	return &Analyzer{crashes: map[string]*evidence{}, sightings: map[Part]Sighting{}}
}

// Record records requests that were in flight when a server crashed. Without an incarnation, crashes of the server
// within crashWindow count as one.
func (analyzer *Analyzer) Record(now, at time.Time, server, incarnation string, requests []Request) {
	known, _ := analyzer.evidenceOf(now, at, server, incarnation)
	if known.inferred || at.Before(known.at) {
		known.at, known.inferred = at, false
	}
	for _, request := range requests {
		// What listens in front of a crashed server may still accept connections and close them.
		if !request.SentAt.After(known.at.Add(AliveSlack)) {
			known.add(request)
		}
	}
}

// RecordInferred records requests without a complete response on a server that turned out later to have crashed. The last of
// them ended at a time, which may be before or after the crash.
func (analyzer *Analyzer) RecordInferred(now, at time.Time, server, incarnation string, requests []Request) {
	known, found := analyzer.evidenceOf(now, at, server, incarnation)
	if !found {
		known.inferred = true
	}
	if known.inferred && at.After(known.at) {
		known.at = at
	}
	for _, request := range requests {
		if known.inferred || !request.SentAt.After(known.at.Add(AliveSlack)) {
			known.add(request)
		}
	}
}

// evidenceOf returns the evidence on the crash that a report is about, and whether there was any before.
func (analyzer *Analyzer) evidenceOf(now, at time.Time, server, incarnation string) (known *evidence, found bool) {
	key := analyzer.keyOf(at, server, incarnation)
	if known, found = analyzer.crashes[key]; found {
		return known, true
	}
	analyzer.prune(now)
	known = &evidence{server: server, known: incarnation != "", at: at, foundAt: now}
	analyzer.crashes[key] = known
	return known, false
}

// add adds a request. Those with the most parts are dropped beyond maxCrashParts, so that callers who invent parts do not
// displace others.
func (known *evidence) add(request Request) {
	if len(request.Parts) == 0 {
		return
	}
	known.requests, known.distinct = append(known.requests, request), nil
	known.size += len(request.Parts)
	for known.size > maxCrashParts {
		largest := 0
		for index, other := range known.requests {
			if len(other.Parts) >= len(known.requests[largest].Parts) {
				largest = index
			}
		}
		known.size -= len(known.requests[largest].Parts)
		known.requests = slices.Delete(known.requests, largest, largest+1)
	}
}

// keyOf returns the key of the crash that a report is about.
func (analyzer *Analyzer) keyOf(at time.Time, server, incarnation string) string {
	if incarnation != "" {
		return incarnation
	}
	for key, known := range analyzer.crashes {
		if !known.known && known.server == server && at.Sub(known.at).Abs() < crashWindow {
			return key
		}
	}
	return fmt.Sprintf("%s@%d", server, at.UnixNano())
}

// prune drops crashes that no longer count, and the oldest ones while there are too many or their requests have too many parts.
func (analyzer *Analyzer) prune(now time.Time) {
	size := 0
	keys := make([]string, 0, len(analyzer.crashes))
	for key, known := range analyzer.crashes {
		if now.Sub(known.at) >= evidenceTime {
			delete(analyzer.crashes, key)
			continue
		}
		size += known.size
		keys = append(keys, key)
	}
	if len(keys) < maxCrashes && size <= maxEvidenceParts {
		return
	}
	slices.SortFunc(keys, func(left, right string) int { return analyzer.crashes[left].at.Compare(analyzer.crashes[right].at) })
	for _, key := range keys {
		if len(analyzer.crashes) < maxCrashes && size <= maxEvidenceParts {
			break
		}
		size -= analyzer.crashes[key].size
		delete(analyzer.crashes, key)
	}
}

// Observe records when requests with a part last did not crash their servers, as seen by any host.
func (analyzer *Analyzer) Observe(part Part, sighting Sighting) {
	known, found := analyzer.sightings[part]
	if !found && len(analyzer.sightings) >= maxSightings {
		analyzer.forgetSightings()
	}
	analyzer.sightings[part] = known.merge(sighting)
}

// forgetSightings drops the sightings of parts of which no crash is known.
func (analyzer *Analyzer) forgetSightings() {
	kept := map[Part]Sighting{}
	for _, known := range analyzer.crashes {
		for _, request := range known.requests {
			for _, part := range request.Parts {
				if sighting, found := analyzer.sightings[part]; found && len(kept) < maxSightings/2 {
					kept[part] = sighting
				}
			}
		}
	}
	analyzer.sightings = kept
}

// ObserveServer records when a server incarnation last responded. If that was after its crash, there was no crash. If it was
// between the last request and the discovery of an inferred crash, the server may still have run one of the requests then. That
// counts against these requests as a whole only, since their parts are those of all requests that callers have given up.
func (analyzer *Analyzer) ObserveServer(incarnation string, respondedAt time.Time) {
	known := analyzer.crashes[incarnation]
	if known == nil || !known.known || !respondedAt.After(known.at.Add(AliveSlack)) {
		return
	}
	if !known.inferred || respondedAt.After(known.at.Add(AbandonedTime)) || respondedAt.After(known.foundAt.Add(AliveSlack)) {
		delete(analyzer.crashes, incarnation)
		return
	}
	requests := known.requests
	known.requests, known.distinct, known.size = nil, nil, 0
	for _, request := range requests {
		known.add(Request{Parts: Whole(request.Parts), SentAt: request.SentAt})
	}
}

// Full reports whether a further crash would displace an earlier one.
func (analyzer *Analyzer) Full() bool { return len(analyzer.crashes) >= maxCrashes }

// Incarnations returns the server incarnations that are recorded as crashed.
func (analyzer *Analyzer) Incarnations() []string {
	var incarnations []string
	for key, known := range analyzer.crashes {
		if known.known {
			incarnations = append(incarnations, key)
		}
	}
	return incarnations
}

// suspicion is the evidence against one part.
type suspicion struct {
	part Part
	// strikes counts the crashes against the part, those of servers that fail together once, and first and last are the times of
	// the first and last of them.
	strikes int
	first   time.Time
	last    time.Time
	// certain is the number of strikes at which a request with the part was sent before the crash, and lastCertain reports
	// whether the last one is among them.
	certain     int
	lastCertain bool
	// requests are all requests with the part at those crashes.
	requests []Request
	// crashes are the keys of all those crashes.
	crashes []string
}

// suspicions returns the evidence against all parts, given the blocks that explain crashes already. Crashes after until do
// not count.
func (analyzer *Analyzer) suspicions(until time.Time, blocks []Block) map[Part]*suspicion {
	keys := make([]string, 0, len(analyzer.crashes))
	for key, known := range analyzer.crashes {
		if !known.at.After(until) {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(left, right string) int {
		return cmp.Or(analyzer.crashes[left].at.Compare(analyzer.crashes[right].at), cmp.Compare(left, right))
	})
	found, recurring := map[Part]*suspicion{}, analyzer.recurring(keys)
	for _, key := range keys {
		known := analyzer.crashes[key]
		explanations := known.explanations(blocks)
		for part, requests := range known.requestsWith(recurring) {
			if !known.at.After(analyzer.sightings[part].SurvivedAt) || explainedWithout(explanations, part) {
				continue
			}
			against := found[part]
			if against == nil {
				against = &suspicion{part: part, first: known.at}
				found[part] = against
			}
			against.add(key, known.at, requests)
		}
	}
	return found
}

// recurring returns the parts of requests at CrashesToRefuse crashes or more. Most parts of long prompts are at one.
func (analyzer *Analyzer) recurring(keys []string) map[Part]struct{} {
	var all []Part
	for _, key := range keys {
		all = append(all, analyzer.crashes[key].parts()...)
	}
	slices.Sort(all)
	recurring := map[Part]struct{}{}
	for index := CrashesToRefuse - 1; index < len(all); index++ {
		if all[index] == all[index-CrashesToRefuse+1] {
			recurring[all[index]] = struct{}{}
		}
	}
	return recurring
}

// parts returns the parts of all requests, without duplicates.
func (known *evidence) parts() []Part {
	if known.distinct == nil {
		for _, request := range known.requests {
			known.distinct = append(known.distinct, request.Parts...)
		}
		slices.Sort(known.distinct)
		known.distinct = slices.Compact(known.distinct)
	}
	return known.distinct
}

// requestsWith returns the requests with each of some parts.
func (known *evidence) requestsWith(parts map[Part]struct{}) map[Part][]Request {
	requests := map[Part][]Request{}
	for _, request := range known.requests {
		for _, part := range request.Parts {
			if _, wanted := parts[part]; wanted {
				requests[part] = append(requests[part], request)
			}
		}
	}
	return requests
}

// explanations returns the blocks of which a request was in flight at the crash.
func (known *evidence) explanations(blocks []Block) []Block {
	var explanations []Block
	for _, block := range blocks {
		if slices.ContainsFunc(known.requests, func(request Request) bool { return containsAll(request.Parts, block.Parts) }) {
			explanations = append(explanations, block)
		}
	}
	return explanations
}

// explainedWithout reports whether a block explains a crash without a part.
func explainedWithout(explanations []Block, part Part) bool {
	return slices.ContainsFunc(explanations, func(block Block) bool { return !containsAll(block.Core, []Part{part}) })
}

// add adds the requests with the part at one crash.
func (against *suspicion) add(key string, at time.Time, requests []Request) {
	against.requests = append(against.requests, requests...)
	against.crashes = append(against.crashes, key)
	sentLater := func(request Request) bool { return request.SentAt.After(against.last) }
	if against.strikes == 0 || at.Sub(against.last) >= crashSpacing || slices.ContainsFunc(requests, sentLater) {
		against.strikes++
		against.last, against.lastCertain = at, false
	}
	if !against.lastCertain && slices.ContainsFunc(requests, func(request Request) bool { return !request.SentAt.After(at.Add(sentSlack)) }) {
		against.certain++
		against.lastCertain = true
	}
}

// proven reports whether the evidence suffices for a verdict.
func (analyzer *Analyzer) proven(against *suspicion) bool {
	begun := !against.part.whole() && analyzer.sightings[against.part].BegunAt.After(against.first)
	return against.strikes >= CrashesToBlock && (!begun || len(against.crashes) >= BegunCrashesToBlock)
}

// Repeated returns the parts that identify requests that were in flight at CrashesToRefuse crashes and have not survived
// since. They can be suspended before it is certain that they are the cause, since that concerns no other request.
func (analyzer *Analyzer) Repeated(now time.Time, blocks []Block) []Part {
	var parts []Part
	for part, against := range analyzer.suspicions(now, blocks) {
		if part.whole() && against.strikes >= CrashesToRefuse {
			parts = append(parts, part)
		}
	}
	return parts
}

// Suspects returns the parts against which there is enough evidence, those that explain the most crashes first, and the
// server incarnations that crashed, as far as the blocks do not explain it. Other hosts may have seen that they are sound.
func (analyzer *Analyzer) Suspects(now time.Time, blocks []Block) (parts []Part, incarnations []string) {
	cover := analyzer.coverOf(blocks, nil)
	for _, against := range analyzer.allProven(analyzer.suspicions(now, blocks)) {
		if len(parts) == maxSuspects {
			break
		}
		if cover(against) {
			continue
		}
		parts = append(parts, against.part)
		for _, key := range against.crashes {
			if analyzer.crashes[key].known && !slices.Contains(incarnations, key) {
				incarnations = append(incarnations, key)
			}
		}
	}
	return parts, incarnations
}

// allProven returns the suspicions with enough evidence for a verdict, those that explain the most crashes first.
func (analyzer *Analyzer) allProven(suspicions map[Part]*suspicion) []*suspicion {
	var proven []*suspicion
	for _, against := range suspicions {
		if analyzer.proven(against) {
			proven = append(proven, against)
		}
	}
	slices.SortFunc(proven, comparePower)
	return proven
}

// comparePower orders suspicions by the crashes that they explain, the most first, those before which a request was certainly
// sent before others, and then by the number of requests.
func comparePower(left, right *suspicion) int {
	return cmp.Or(cmp.Compare(right.certain, left.certain), cmp.Compare(right.strikes, left.strikes), cmp.Compare(len(left.requests), len(right.requests)), cmp.Compare(left.part, right.part))
}

// narrower reports whether the requests of a suspicion are some of those of another one.
func (against *suspicion) narrower(other *suspicion) bool {
	return len(against.requests) < len(other.requests) &&
		!slices.ContainsFunc(against.requests, func(request Request) bool { return !containsAll(request.Parts, []Part{other.part}) })
}

// covered reports whether one of the blocks refuses all requests that a further block would refuse.
func covered(blocks []Block, further Block) bool {
	return slices.ContainsFunc(blocks, func(block Block) bool { return containsAll(further.Parts, block.Parts) })
}

// coverOf returns a function that reports whether the block of a suspicion would be covered by those in force. Many parts of a long prompt
// have the same requests, and thus the same block.
func (analyzer *Analyzer) coverOf(blocks []Block, suspicions map[Part]*suspicion) func(against *suspicion) bool {
	known := map[uint64]bool{}
	return func(against *suspicion) bool {
		if len(blocks) == 0 {
			return false
		}
		key, shared := analyzer.requestsKey(against)
		if result, found := known[key]; shared && found {
			return result
		}
		result := covered(blocks, analyzer.blockOf(against, suspicions))
		if shared {
			known[key] = result
		}
		return result
	}
}

// requestsKey returns a hash of the requests of a suspicion, and reports whether all suspicions with these requests have the same block. A
// part that has begun since is in its own block only.
func (analyzer *Analyzer) requestsKey(against *suspicion) (key uint64, shared bool) {
	var hash xxhash.Digest
	hash.Reset()
	for _, request := range against.requests {
		// Requests of the same crash share no parts in memory.
		_, _ = fmt.Fprintf(&hash, "%p %d ", &request.Parts[0], len(request.Parts))
	}
	return hash.Sum64(), !analyzer.sightings[against.part].BegunAt.After(against.first)
}

// Decide returns the requests to block, in addition to those of the blocks in force.
func (analyzer *Analyzer) Decide(now time.Time, blocks []Block) []Block {
	var added []Block
	for len(added) < MaxBlocks {
		block, found := analyzer.next(now, slices.Concat(blocks, added))
		if !found {
			break
		}
		added = append(added, block)
	}
	return added
}

// next returns the block that explains the most crashes, narrowed down to the most specific requests that suffice for a
// verdict.
func (analyzer *Analyzer) next(now time.Time, blocks []Block) (Block, bool) {
	suspicions := analyzer.suspicions(now.Add(-SettleTime), blocks)
	var chosen *suspicion
	cover := analyzer.coverOf(blocks, suspicions)
	for _, against := range analyzer.allProven(suspicions) {
		if (chosen == nil || against.narrower(chosen)) && !cover(against) {
			chosen = against
		}
	}
	if chosen == nil {
		return Block{}, false
	}
	return analyzer.blockOf(chosen, suspicions), true
}

// blockOf returns the block of a part with the parts that always accompany it, unless these have begun since.
func (analyzer *Analyzer) blockOf(against *suspicion, suspicions map[Part]*suspicion) Block {
	common := slices.Clone(against.requests[0].Parts)
	for _, request := range against.requests[1:] {
		common = intersect(common, request.Parts)
	}
	common = slices.DeleteFunc(common, func(part Part) bool {
		return part != against.part && analyzer.sightings[part].BegunAt.After(against.first)
	})
	block := Block{Parts: narrowed(common, against.part)}
	common = block.Parts
	for _, part := range common {
		other := suspicions[part]
		if part == against.part || (other != nil && len(other.requests) == len(against.requests)) {
			block.Core = append(block.Core, part)
		}
	}
	return block
}

// narrowed returns at most maxBlockParts of sorted parts, one of which is among them.
func narrowed(parts []Part, needed Part) []Part {
	if len(parts) <= maxBlockParts {
		return parts
	}
	index, _ := slices.BinarySearch(parts, needed)
	first := min(max(0, index-maxBlockParts/2), len(parts)-maxBlockParts)
	return parts[first : first+maxBlockParts]
}
