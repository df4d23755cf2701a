package coord

import (
	"context"
	"time"

	"lentilproxy"
	"lentilproxy/core/lease"
	"lentilproxy/io/clock"
)

// renewRetryDelay is the wait after a failed attempt to join or renew.
const renewRetryDelay = 250 * time.Millisecond

// maintainLease renews the host's lease, expels hosts whose leases have ended, and claims servers without a holder.
func (control *control) maintainLease() {
	coordinator := control.coordinator
	for coordinator.ctx.Err() == nil {
		startedAt := clock.Now()
		due, renewed := control.renewLease(startedAt)
		if !renewed {
			due = startedAt.Add(renewRetryDelay)
		}
		if remaining := due.Sub(clock.Now()); remaining > 0 && !coordinator.pause(remaining) {
			return
		}
	}
}

// commit commits a transaction, which is counted under a purpose.
func (coordinator *Coordinator) commit(ctx context.Context, purpose lentilproxy.StorePurpose, transaction lentilproxy.Transaction) (lentilproxy.CommitResult, error) {
	return coordinator.store.Commit(lentilproxy.WithStorePurpose(ctx, purpose), transaction)
}

// renewLease renews the host's lease and claims servers. It returns when the next renewal is due, and reports whether all of it
// succeeded.
func (control *control) renewLease(startedAt time.Time) (due time.Time, renewed bool) {
	coordinator := control.coordinator
	joined := false
	if !coordinator.do(func(time.Time) { joined = control.registry.Joined() }) {
		return time.Time{}, false
	}
	if !joined && !control.scanFleet() {
		// A host must have read the rows of the other hosts before it joins.
		return time.Time{}, false
	}
	sentAt, result, wait, err := control.renew()
	if coordinator.ctx.Err() != nil {
		return time.Time{}, false
	}
	due = startedAt.Add(wait)
	if wait < lease.RenewInterval {
		due = clock.Now().Add(wait) // The wait counts from the response of the writer.
	}
	coordinator.do(func(now time.Time) { control.applyRenewal(sentAt, now, result, err) })
	if err != nil || !result.Committed {
		return time.Time{}, false
	}
	return due, control.expelAndClaim()
}

func (control *control) applyRenewal(sentAt, now time.Time, result lentilproxy.CommitResult, err error) {
	coordinator := control.coordinator
	leased, joined := control.registry.Leased(now), control.registry.Joined()
	switch {
	case err != nil:
		coordinator.metrics.Counter("lease_renewals_failed").Inc(1)
		if !leased && control.renewalFailingSince.IsZero() {
			control.renewalFailingSince = sentAt
			coordinator.log.Info("dependency lost", "dependency", "lease", "error", err.Error(), "held", len(control.registry.HeldServers()))
		}
	case !result.Committed:
		if control.registry.RenewalRefused(now, result.Conflicts) {
			coordinator.log.Info("lease lost", "reason", "another host has expelled this one")
			coordinator.traffic.recordExpulsion()
			control.updateControllers(now, coordinator.View())
		}
	default:
		control.recordResponse(now, sentAt)
		control.registry.Renewed(sentAt, now, result.Version)
		coordinator.leaseUntil.Store(sentAt.Add(lease.Term).UnixNano())
		if !control.renewalFailingSince.IsZero() {
			coordinator.log.Info("dependency regained", "dependency", "lease", "away_ms", now.Sub(control.renewalFailingSince).Milliseconds())
			control.renewalFailingSince = time.Time{}
		}
	}
	if !joined && control.registry.Joined() {
		coordinator.traffic.recordJoin(now)
	}
}

// scanFleet reads the rows of hosts and holders before the host joins.
func (control *control) scanFleet() bool {
	coordinator := control.coordinator
	sentAt := clock.Now()
	page, err := coordinator.store.Scan(coordinator.ctx, lease.Table)
	if err != nil {
		coordinator.metrics.Counter("fleet_scans_failed").Inc(1)
		return false
	}
	return coordinator.do(func(now time.Time) {
		control.fleet.applyRead(sentAt, page, tableRead{scan: true, exact: true})
		control.applyProof(now, sentAt, control.fleet, true)
	})
}

// observeFleet applies the mirrored rows of hosts and holders.
func (control *control) observeFleet(now time.Time) {
	rows := make([]lentilproxy.Row, 0, len(control.fleet.Rows()))
	for _, row := range control.fleet.Rows() {
		if !row.Deleted {
			rows = append(rows, row)
		}
	}
	control.registry.ObserveContent(control.fleet.provenAt, control.fleet.exactAt, now, rows)
	control.observeBlocks(now)
	control.updatePeers(now)
	control.updateControllers(now, control.coordinator.View())
	control.divideLimits(now)
}

// expelAndClaim expels a host whose lease has ended, deletes the rows of deregistered servers, and claims servers. It
// returns false if the claims failed or the coordinator has ended.
func (control *control) expelAndClaim() bool {
	coordinator := control.coordinator
	var expulsion, formerCleanup, blockCleanup, cleanup lentilproxy.Transaction
	var expelled string
	var needExpulsion, needFormerCleanup, needBlockCleanup, needCleanup, needClaims bool
	var claims lease.Claims
	if !coordinator.do(func(now time.Time) {
		expulsion, expelled, needExpulsion = control.registry.Expulsion()
		formerCleanup, needFormerCleanup = control.registry.FormerCleanup()
		blockCleanup, needBlockCleanup = control.expiredBlock(now)
		claims, needClaims = control.registry.Claims(now, control.engineServers())
		if control.registry.Leased(now) && !control.outage.Ongoing() {
			cleanup, needCleanup = control.registry.Cleanup(control.isRegistered)
		}
	}) {
		return false
	}
	if needExpulsion {
		result, err := coordinator.commit(coordinator.ctx, lentilproxy.PurposeExpulsion, expulsion)
		coordinator.log.Info("host expelled", "host", expelled, "committed", result.Committed, "failed", err != nil)
	}
	if needFormerCleanup {
		if _, err := coordinator.commit(coordinator.ctx, lentilproxy.PurposeCleanup, formerCleanup); err != nil {
			coordinator.log.Info("failed to delete the rows of former hosts", "error", err.Error())
		}
	}
	if needBlockCleanup {
		if _, err := coordinator.commit(coordinator.ctx, lentilproxy.PurposeCleanup, blockCleanup); err != nil {
			coordinator.log.Info("failed to delete the row of a block that has ended", "error", err.Error())
		}
	}
	if needCleanup {
		if _, err := coordinator.commit(coordinator.ctx, lentilproxy.PurposeCleanup, cleanup); err != nil {
			coordinator.log.Info("failed to delete the rows of deregistered servers", "error", err.Error())
		}
	}
	if !needClaims {
		return true
	}
	result, err := coordinator.commit(coordinator.ctx, lentilproxy.PurposeClaim, claims.Transaction)
	if err != nil || !result.Committed {
		// The next scan shows which hosts hold them.
		coordinator.metrics.Counter("claims_failed").Inc(1)
		return false
	}
	return coordinator.do(func(now time.Time) {
		control.registry.Claimed(now, claims, result.Version)
		coordinator.log.Info("servers claimed", "servers", claims.Servers, "token", result.Version)
		control.updateControllers(now, coordinator.View())
	})
}

// divideLimits divides the limits over the hosts that count as members.
func (control *control) divideLimits(now time.Time) {
	hosts := control.registry.Hosts()
	names := make([]string, 0, len(hosts))
	for _, host := range hosts {
		names = append(names, host.Name)
	}
	control.membership.ApplyScan(control.registry.ScannedAt(), names, control.registry.FormerHosts())
	division := control.membership.Divide(now)
	if division.Isolated != control.isolated || division.Members != control.members {
		control.coordinator.log.Info("limits divided", "members", division.Members, "before", control.members, "isolated", division.Isolated,
			"scan_age_ms", now.Sub(control.registry.ScannedAt()).Milliseconds())
	}
	control.members, control.isolated = division.Members, division.Isolated
	control.coordinator.traffic.setDivision(now, division.Members, division.Fraction)
}

// engineServers returns the servers that run models and thus accept orders.
func (control *control) engineServers() []string {
	view := control.coordinator.View()
	var names []string
	for name, server := range view.Servers {
		if service, found := view.Config.Service(server.Service); found && service.Engine != nil {
			names = append(names, name)
		}
	}
	return names
}

// isRegistered reports whether a server is registered, or may register again after an outage of the store.
func (control *control) isRegistered(server string) bool {
	row, found := control.servers.Rows()[server]
	_, lapsed := control.lapsedUntil[server]
	return found && !row.Deleted || lapsed
}

// releaseServers releases the host's servers, so that other hosts claim them without waiting for the end of its lease.
func (control *control) releaseServers(ctx context.Context) {
	coordinator := control.coordinator
	var release lentilproxy.Transaction
	var held bool
	if !coordinator.do(func(now time.Time) {
		release, held = control.registry.Release()
		coordinator.leaseUntil.Store(0)
		control.updateControllers(now, coordinator.View())
	}) || !held {
		return
	}
	if _, err := coordinator.commit(ctx, lentilproxy.PurposeRelease, release); err != nil {
		coordinator.log.Info("failed to release servers; other hosts claim them after the lease has ended", "error", err.Error())
	}
}
