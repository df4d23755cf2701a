package sched

import (
	"math"
	"sort"
	"time"

	"lentilproxy/core/spec"
	"lentilproxy/core/value"

	"github.com/cespare/xxhash/v2"
)

// Job is a request that needs a server.
type Job struct {
	// Ref is empty for requests of plain services.
	Ref spec.AdapterRef
	// Version is the adapter version that has to answer; 0 for any.
	Version int64
	Prompt  int64
	Output  int64
	// Avoid are the servers that this request must not be sent to.
	Avoid value.Set[string]
	// Full are the servers that had no place for the adapter lately.
	Full value.Set[string]
}

// Choice is the server for a request.
type Choice struct {
	Server spec.Server
	// Load says that the adapter has to be loaded there first.
	Load bool
	// Copy is a server that should load a further copy of the adapter, or is empty.
	Copy string
	// Expected is the time after which the first token is expected.
	Expected time.Duration
}

// candidate is a server that could run a request.
type candidate struct {
	entry    spec.Server
	known    *server
	expected time.Duration
	ejected  bool
	holds    bool
	rank     uint64
}

// Choose returns the server for a request of a service, if there is one.
func (table *Table) Choose(now time.Time, service spec.Service, servers map[string]spec.Server, job Job) (Choice, bool) {
	candidates := table.candidates(now, service, servers, job)
	if len(candidates) == 0 {
		return Choice{}, false
	}
	if service.Engine == nil || job.Ref.Model == "" {
		return chosen(candidates[least(candidates)]), true
	}
	holders := holding(candidates)
	if len(holders) == 0 {
		home, found := homeOf(candidates, math.MaxInt64, job.Full)
		if !found {
			return Choice{}, false
		}
		choice := chosen(home)
		choice.Load, choice.Expected = true, choice.Expected+loadLatency
		return choice, true
	}
	best := holders[least(holders)]
	choice := chosen(best)
	if job.Ref.Adapter == "" {
		return choice, true
	}
	other, found := homeOf(candidates, best.expected/2, job.Full)
	if !found || (!best.ejected && best.expected < copyAbove) {
		return choice, true
	}
	if best.ejected || best.expected > other.expected+2*loadLatency {
		// Waiting for a load elsewhere is faster than the queue here.
		choice = chosen(other)
		choice.Load, choice.Expected = true, choice.Expected+loadLatency
		return choice, true
	}
	if now.Sub(table.copied[job.Ref]) >= copyInterval {
		if len(table.copied) >= maxCopyEntries {
			clear(table.copied)
		}
		table.copied[job.Ref] = now
		choice.Copy = other.entry.ID
	}
	return choice, true
}

func chosen(candidate candidate) Choice {
	return Choice{Server: candidate.entry, Expected: candidate.expected}
}

func (table *Table) candidates(now time.Time, service spec.Service, servers map[string]spec.Server, job Job) []candidate {
	var candidates []candidate
	fleet := table.errorRate(now, service.Name, servers)
	for name, entry := range servers {
		known := table.servers[name]
		if known == nil || entry.Service != service.Name || entry.Draining || job.Avoid.Has(name) {
			continue
		}
		if job.Ref.Model != "" && known.held.Model != job.Ref.Model {
			continue
		}
		option := candidate{
			entry: entry, known: known, ejected: table.ejected(now, name, known, fleet),
			rank: xxhash.Sum64String(job.Ref.Adapter + "\x00" + name),
		}
		if version, found := known.held.Adapters[job.Ref.Adapter]; found {
			option.holds = job.Version == 0 || version >= job.Version
		}
		if job.Ref.Adapter == "" {
			option.holds = true
		}
		option.expected = table.expected(now, service, entry, known, job)
		candidates = append(candidates, option)
	}
	sort.Slice(candidates, func(left, right int) bool { return candidates[left].rank > candidates[right].rank })
	return candidates
}

// expected returns the time until the first token, or a measure of load for plain services.
func (table *Table) expected(now time.Time, service spec.Service, entry spec.Server, known *server, job Job) time.Duration {
	usage := known.usage(now)
	if service.Engine == nil {
		load := usage.Running
		if entry.DataCentre != table.dataCentre {
			load += remotePenalty
		}
		return time.Duration(load) * time.Millisecond * time.Duration(max(1, 100/max(1, entry.Slots)))
	}
	expected := baseLatency + known.pace*time.Duration(usage.Backlog+job.Prompt)
	slots := max(1, entry.Slots)
	if over := usage.Running + 1 - slots; over > 0 {
		expected += fullPenalty * time.Duration(over) / time.Duration(slots)
	}
	if cache := service.Engine.CacheTokens; cache > 0 {
		if over := usage.Tokens + job.Prompt + job.Output - cache; over > 0 {
			expected += time.Duration(float64(fullPenalty) * float64(over) / float64(cache))
		}
	}
	return expected
}

// least returns the index of the candidate with the least expected latency. Ejected ones come last.
func least(candidates []candidate) int {
	best := 0
	for index := range candidates {
		left, right := candidates[index], candidates[best]
		if left.ejected != right.ejected {
			if right.ejected {
				best = index
			}
			continue
		}
		if left.expected < right.expected {
			best = index
		}
	}
	return best
}

func holding(candidates []candidate) []candidate {
	var holders []candidate
	for _, candidate := range candidates {
		if candidate.holds {
			holders = append(holders, candidate)
		}
	}
	return holders
}

// homeOf returns the first server in an adapter's order that could load it and is not much busier than the least busy
// one. The order stays the same, so that a server is asked again for what it held lately.
func homeOf(candidates []candidate, below time.Duration, full value.Set[string]) (candidate, bool) {
	lowest := time.Duration(math.MaxInt64)
	usable := func(option candidate) bool {
		return !full.Has(option.entry.ID) && option.known.held.Orderable && !option.holds && !option.ejected && option.expected < below
	}
	for _, option := range candidates {
		if usable(option) {
			lowest = min(lowest, option.expected)
		}
	}
	for _, option := range candidates {
		if usable(option) && option.expected <= lowest+homeSlack {
			return option, true
		}
	}
	return candidate{}, false
}
