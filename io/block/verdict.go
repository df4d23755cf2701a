package block

import (
	"context"
	"maps"
	"slices"
	"time"

	"lentilproxy/core/crash"
)

// VerdictParams tells a host of a block that was found or lifted.
type VerdictParams struct {
	Host   string      `json:"host"`
	Block  crash.Block `json:"block"`
	Lifted bool        `json:"lifted,omitempty"`
}

// Verdict is a block that is in force on a host.
type Verdict struct {
	Block       crash.Block `json:"block"`
	RemainingMS int64       `json:"remaining_ms"`
}

// VerdictsParams ask a host for the verdicts in force.
type VerdictsParams struct {
	// Host is the host that asks. Hosts that correlate crashes, or may soon, get the reports of crashes too.
	Host string `json:"host,omitempty"`
	// Informed is set once the host has got reports of crashes.
	Informed bool `json:"informed,omitempty"`
}

// VerdictsResult holds verdicts of a host: in the response to a report, those on the requests that were reported.
type VerdictsResult struct {
	Verdicts []Verdict `json:"verdicts,omitempty"`
	// Reports holds what the verdicts to come will rest on, for a host that starts.
	Reports []ReportParams `json:"reports,omitempty"`
}

// SuspendParams names requests to suspend, or to release, by the parts that identify them.
type SuspendParams struct {
	Parts    []crash.Part `json:"parts"`
	Released bool         `json:"released,omitempty"`
}

// scheduleCheck schedules an analysis, unless one is scheduled already. The mutex must be held.
func (exchanger *Exchanger) scheduleCheck(now time.Time) {
	if !exchanger.checkAt.IsZero() || exchanger.checking {
		return
	}
	wait := crash.SettleTime + time.Duration(exchanger.rank())*standInDelay
	wait = max(wait, exchanger.queriedAt.Add(minQueryInterval).Sub(now))
	exchanger.checkAt = now.Add(wait)
	exchanger.spawn(wait, exchanger.check)
}

// check asks other hosts about the suspects, and then the servers, and blocks the suspects that have not run without a crash on
// any. It asks a few hosts first, which suffices for parts that are in common use.
func (exchanger *Exchanger) check() {
	exchanger.mutex.Lock()
	exchanger.checkAt, exchanger.checking, exchanger.queriedAt = time.Time{}, true, exchanger.clock()
	exchanger.mutex.Unlock()
	addresses := exchanger.shuffledPeers()
	sample := min(len(addresses), sampleSize)
	for _, some := range [][]string{addresses[:sample], addresses[sample:]} {
		if params := exchanger.questions(); len(params.Parts) > 0 && len(some) > 0 {
			exchanger.query(some, params)
		}
	}
	exchanger.probeServers(exchanger.questions().Incarnations)
	exchanger.decide()
}

// probeServers finds out which servers that seem to have crashed respond. One that is avoided because of broken responses gets
// no requests that would show it.
func (exchanger *Exchanger) probeServers(incarnations []string) {
	exchanger.each(incarnations, func(incarnation string) {
		ctx, cancel := context.WithTimeout(exchanger.ctx, callTimeout)
		defer cancel()
		askedAt := exchanger.clock()
		if !exchanger.probe(ctx, incarnation) {
			return
		}
		exchanger.mutex.Lock()
		defer exchanger.mutex.Unlock()
		exchanger.log.Info("server that broke off requests has not crashed", "life", incarnation)
		exchanger.history.Responded(askedAt, incarnation)
		exchanger.analyzer.ObserveServer(incarnation, askedAt)
	})
}

// questions returns the questions about the suspects that remain after what this host has seen itself.
func (exchanger *Exchanger) questions() QueryParams {
	exchanger.mutex.Lock()
	defer exchanger.mutex.Unlock()
	now := exchanger.clock()
	blocks := exchanger.list.All(now)
	parts, incarnations := exchanger.analyzer.Suspects(now, blocks)
	for _, part := range parts {
		exchanger.analyzer.Observe(part, exchanger.history.Sighting(part))
	}
	exchanger.observeServers(incarnations)
	parts, incarnations = exchanger.analyzer.Suspects(now, blocks)
	return QueryParams{Parts: parts, Incarnations: incarnations}
}

// observeServers applies what this host has seen of servers. The mutex must be held.
func (exchanger *Exchanger) observeServers(incarnations []string) {
	for _, incarnation := range incarnations {
		exchanger.analyzer.ObserveServer(incarnation, exchanger.history.RespondedAt(incarnation))
	}
}

// decide blocks what the evidence suffices for, and schedules another analysis if a crash has not settled yet.
func (exchanger *Exchanger) decide() {
	exchanger.mutex.Lock()
	now := exchanger.clock()
	exchanger.checking = false
	blocks := exchanger.analyzer.Decide(now, exchanger.list.All(now))
	for _, block := range blocks {
		exchanger.list.Add(now, block, now.Add(crash.BlockDuration))
		exchanger.log.Info("requests blocked", "parts", loggedParts(block), "core", len(block.Core), "origin", exchanger.host)
		exchanger.metrics.Counter("requests_blocked").Inc(1)
	}
	if parts, _ := exchanger.analyzer.Suspects(now, exchanger.list.All(now)); len(parts) > 0 {
		exchanger.scheduleCheck(now)
	}
	exchanger.mutex.Unlock()
	for _, block := range blocks {
		exchanger.spawn(0, func() { exchanger.store.Save(exchanger.ctx, block) })
		exchanger.spawn(0, func() { exchanger.spread(block, false) })
	}
}

// spread tells all other hosts of a block that was found or lifted, those that do not respond several times, as long as
// that is still so. The others get it from the store, or in the response to a report.
func (exchanger *Exchanger) spread(block crash.Block, lifted bool) {
	addresses := exchanger.shuffledPeers()
	for range verdictTries {
		exchanger.mutex.Lock()
		current := exchanger.list.Has(exchanger.clock(), block) != lifted
		exchanger.mutex.Unlock()
		if !current {
			return
		}
		addresses = exchanger.broadcast(addresses, methodBlock, VerdictParams{Host: exchanger.host, Block: block, Lifted: lifted})
		if len(addresses) == 0 || !exchanger.pause(verdictRetryDelay) {
			return
		}
	}
	exchanger.metrics.Counter("blocks_undelivered").Inc(int64(len(addresses)))
}

// handleBlock handles a block that another host has found or lifted.
func (exchanger *Exchanger) handleBlock(params VerdictParams) bool {
	if !params.Lifted {
		exchanger.Apply(exchanger.clock(), []crash.Block{params.Block}, params.Host)
		return true
	}
	exchanger.mutex.Lock()
	defer exchanger.mutex.Unlock()
	if exchanger.list.Remove(params.Block) {
		exchanger.log.Info("requests unblocked", "parts", loggedParts(params.Block), "origin", params.Host)
	}
	return true
}

// handleVerdicts returns the verdicts in force to a host that has started.
func (exchanger *Exchanger) handleVerdicts(params VerdictsParams) VerdictsResult {
	exchanger.mutex.Lock()
	defer exchanger.mutex.Unlock()
	now := exchanger.clock()
	result := exchanger.verdicts(now, func(crash.Block) bool { return true })
	if params.Informed || !exchanger.holdsReports(params.Host) {
		return result
	}
	for _, held := range exchanger.reports {
		result.Reports = append(result.Reports, held.params.later(now.Sub(held.at).Milliseconds()))
	}
	return result
}

// holdsReports reports whether another host is one of those that keep the reports of crashes.
func (exchanger *Exchanger) holdsReports(host string) bool {
	if host == "" || host == exchanger.host {
		return false
	}
	peers := maps.Clone(exchanger.peers())
	peers[host] = ""
	return slices.Index(exchanger.ranked(peers), host) < reportHolders
}

// verdicts returns some of the verdicts in force. The mutex must be held.
func (exchanger *Exchanger) verdicts(now time.Time, include func(block crash.Block) bool) VerdictsResult {
	var result VerdictsResult
	for _, block := range exchanger.list.All(now) {
		if include(block) {
			result.Verdicts = append(result.Verdicts, Verdict{Block: block, RemainingMS: exchanger.list.Remaining(now, block).Milliseconds()})
		}
	}
	return result
}

// learn asks a few other hosts for the verdicts in force, and for the reports of crashes until one of them has some, as soon
// as this host knows any.
func (exchanger *Exchanger) learn() {
	for len(exchanger.peers()) == 0 {
		if !exchanger.pause(learnInterval) {
			return
		}
	}
	addresses, others := exchanger.analysts()
	answered, informed := 0, false
	// Hosts that start together do not all get the reports from the same one.
	first := exchanger.position() % max(1, len(addresses))
	for _, address := range slices.Concat(addresses[first:], addresses[:first], others) {
		askedAt := exchanger.clock()
		var result VerdictsResult
		if exchanger.callOne(address, methodVerdicts, VerdictsParams{Host: exchanger.host, Informed: informed}, &result) != nil {
			continue
		}
		exchanger.learnFrom(askedAt, result.Verdicts, address)
		if !informed {
			for _, report := range result.Reports[:min(len(result.Reports), maxHeldReports)] {
				exchanger.handleReport(report)
			}
			informed = len(result.Reports) > 0
		}
		if answered++; answered == analystCount {
			return
		}
	}
}

// learnFrom adds verdicts that were in force on another host at a time.
func (exchanger *Exchanger) learnFrom(at time.Time, verdicts []Verdict, origin string) {
	for _, verdict := range verdicts {
		exchanger.apply(exchanger.clock(), verdict.Block, at.Add(time.Duration(verdict.RemainingMS)*time.Millisecond), origin)
	}
}

// suspend refuses repeated requests that may be the cause of crashes, here and on the other hosts. The mutex must be held.
func (exchanger *Exchanger) suspend(now time.Time) {
	exchanger.suspendAndTell(now, exchanger.analyzer.Repeated(now, exchanger.list.All(now)))
}

// suspendAndTell suspends requests here, and on the other hosts in the background. The mutex must be held.
func (exchanger *Exchanger) suspendAndTell(now time.Time, parts []crash.Part) {
	exchanger.suspended = append(exchanger.suspended, exchanger.suspendHere(now, parts)...)
	if len(exchanger.suspended) > 0 && !exchanger.telling {
		exchanger.telling = true
		exchanger.spawn(0, exchanger.tellSuspended)
	}
}

// tellSuspended tells the other hosts of the requests that were suspended, in rounds that are minSuspendInterval apart.
func (exchanger *Exchanger) tellSuspended() {
	for {
		exchanger.mutex.Lock()
		parts := exchanger.suspended
		exchanger.suspended = nil
		exchanger.telling = len(parts) > 0
		exchanger.mutex.Unlock()
		if len(parts) == 0 {
			return
		}
		exchanger.log.Info("repeated requests suspended", "requests", len(parts))
		exchanger.broadcast(exchanger.shuffledPeers(), methodSuspend, SuspendParams{Parts: parts[:min(len(parts), maxReportRequests)]})
		if !exchanger.pause(minSuspendInterval) {
			return
		}
	}
}

// Suspend refuses a request that may crash servers for a while, here and on the other hosts. The other hosts are told before
// it returns, as far as they respond within callTimeout.
func (exchanger *Exchanger) Suspend(now time.Time, parts []crash.Part) {
	exchanger.mutex.Lock()
	suspended := exchanger.suspendHere(now, parts)
	exchanger.mutex.Unlock()
	exchanger.suspendElsewhere(suspended)
}

// suspendHere suspends requests on this host, and returns those that were not suspended yet. The mutex must be held.
func (exchanger *Exchanger) suspendHere(now time.Time, parts []crash.Part) []crash.Part {
	var suspended []crash.Part
	for _, part := range parts {
		if exchanger.list.Suspend(now, part) {
			suspended = append(suspended, part)
		}
	}
	return suspended
}

// suspendElsewhere suspends requests on the other hosts, and waits until they have responded, at most for callTimeout.
func (exchanger *Exchanger) suspendElsewhere(parts []crash.Part) {
	if len(parts) == 0 {
		return
	}
	told := make(chan struct{})
	exchanger.spawn(0, func() {
		defer close(told)
		exchanger.broadcast(exchanger.shuffledPeers(), methodSuspend, SuspendParams{Parts: parts})
	})
	timer := time.NewTimer(callTimeout)
	defer timer.Stop()
	select {
	case <-told:
	case <-timer.C:
	}
}

// handleSuspend handles the repeated requests that another host has found.
func (exchanger *Exchanger) handleSuspend(params SuspendParams) bool {
	exchanger.mutex.Lock()
	defer exchanger.mutex.Unlock()
	now := exchanger.clock()
	for _, part := range params.Parts[:min(len(params.Parts), maxReportRequests)] {
		if params.Released {
			exchanger.list.Release(part)
		} else {
			exchanger.list.Suspend(now, part)
		}
	}
	return true
}

// release ends the suspension of a request that has survived, here and on the other hosts. The mutex must be held.
func (exchanger *Exchanger) release(now time.Time, parts []crash.Part) {
	suspects := exchanger.list.Suspects(now, parts)
	if len(suspects) == 0 {
		return
	}
	for _, part := range suspects {
		exchanger.list.Release(part)
	}
	exchanger.spawn(0, func() {
		exchanger.broadcast(exchanger.shuffledPeers(), methodSuspend, SuspendParams{Parts: suspects, Released: true})
	})
}
