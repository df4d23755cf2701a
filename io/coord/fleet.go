package coord

import (
	"context"
	"time"

	"lentilproxy"
	"lentilproxy/core/lease"
	"lentilproxy/io/clock"
)

// joinRetry is the wait after a failed attempt to join or renew.
const joinRetry = 250 * time.Millisecond

// keepLeases renews the host's lease, watches those of the others, and claims servers that have no holder.
func (control *control) keepLeases() {
	coordinator := control.coordinator
	for coordinator.ctx.Err() == nil {
		startedAt := clock.Now()
		wait := lease.RenewInterval
		if !control.renewOnce() {
			wait = joinRetry
		}
		if rest := wait - clock.Now().Sub(startedAt); rest > 0 && !coordinator.pause(rest) {
			return
		}
	}
}

// renewOnce says whether the lease was renewed and the table read.
func (control *control) renewOnce() bool {
	coordinator := control.coordinator
	joined := false
	coordinator.do(func(time.Time) { joined = control.registry.Joined() })
	if !joined && !control.scanFleet() {
		// Whoever joins must have seen who is there.
		return false
	}
	var renewal lentilproxy.Transaction
	if !coordinator.do(func(time.Time) { renewal = control.registry.Renewal() }) {
		return false
	}
	sentAt := clock.Now()
	result, err := coordinator.rows.Commit(coordinator.ctx, renewal)
	coordinator.do(func(now time.Time) { control.renewed(sentAt, now, result, err) })
	if err != nil || !result.Committed {
		return false
	}
	return control.claim()
}

func (control *control) renewed(sentAt, now time.Time, result lentilproxy.CommitResult, err error) {
	coordinator := control.coordinator
	leased := control.registry.Leased(now)
	switch {
	case err != nil:
		coordinator.metrics.Counter("lease_renewals_failed").Inc(1)
		if !leased && control.renewalLost.IsZero() {
			control.renewalLost = sentAt
			coordinator.log.Info("dependency lost", "dependency", "lease", "error", err.Error(), "held", len(control.registry.HeldServers()))
		}
	case !result.Committed:
		if control.registry.RenewalRefused(now, result.Conflicts) {
			coordinator.log.Info("lease lost", "reason", "another host has expelled this one")
			control.updateControllers(now, coordinator.View())
		}
	default:
		control.registry.Renewed(sentAt, now, result.Version)
		coordinator.leaseUntil.Store(sentAt.Add(lease.Term).UnixNano())
		if !control.renewalLost.IsZero() {
			coordinator.log.Info("dependency regained", "dependency", "lease", "away_ms", now.Sub(control.renewalLost).Milliseconds())
			control.renewalLost = time.Time{}
		}
	}
}

// scanFleet reads the rows of hosts and holders before the host joins.
func (control *control) scanFleet() bool {
	coordinator := control.coordinator
	sentAt := clock.Now()
	page, err := coordinator.rows.Scan(coordinator.ctx, lease.Table)
	if err != nil {
		coordinator.metrics.Counter("fleet_scans_failed").Inc(1)
		return false
	}
	return coordinator.do(func(now time.Time) { control.took(now, sentAt, control.fleet, control.fleet.Replace(page)) })
}

// observeFleet takes the mirrored rows of hosts and holders in.
func (control *control) observeFleet(now time.Time) {
	rows := make([]lentilproxy.Row, 0, len(control.fleet.Rows()))
	for _, row := range control.fleet.Rows() {
		if !row.Deleted {
			rows = append(rows, row)
		}
	}
	control.registry.Observe(control.fleet.provenAt, now, rows)
	control.updatePeers(now)
	control.updateControllers(now, control.coordinator.View())
	control.shareLimits(now)
}

// claim expels hosts whose leases have ended, and claims servers.
func (control *control) claim() bool {
	coordinator := control.coordinator
	var expulsion, cleanup lentilproxy.Transaction
	var expelled string
	var expel, clean, wanted bool
	var claims lease.Claims
	if !coordinator.do(func(now time.Time) {
		expulsion, expelled, expel = control.registry.Expulsion()
		claims, wanted = control.registry.Claims(now, control.engines())
		if control.registry.Leased(now) && control.servers.lostSince.IsZero() {
			cleanup, clean = control.registry.Cleanup(control.present)
		}
	}) {
		return false
	}
	if expel {
		result, err := coordinator.rows.Commit(coordinator.ctx, expulsion)
		coordinator.log.Info("host expelled", "host", expelled, "committed", result.Committed, "failed", err != nil)
	}
	if clean {
		if _, err := coordinator.rows.Commit(coordinator.ctx, cleanup); err != nil {
			coordinator.log.Info("rows of servers that are gone stay", "error", err.Error())
		}
	}
	if !wanted {
		return true
	}
	result, err := coordinator.rows.Commit(coordinator.ctx, claims.Transaction)
	if err != nil || !result.Committed {
		// The next scan tells who holds them.
		coordinator.metrics.Counter("claims_failed").Inc(1)
		return false
	}
	return coordinator.do(func(now time.Time) {
		control.registry.Claimed(now, claims, result.Version)
		coordinator.log.Info("servers claimed", "servers", claims.Servers, "token", result.Version)
		control.updateControllers(now, coordinator.View())
	})
}

// shareLimits divides the limits over the hosts that take part.
func (control *control) shareLimits(now time.Time) {
	hosts := control.registry.Hosts()
	names := make([]string, 0, len(hosts))
	for _, host := range hosts {
		names = append(names, host.Name)
	}
	control.membership.ApplyScan(control.registry.ScannedAt(), names)
	division := control.membership.Divide(now)
	if division.Isolated != control.isolated || division.Members != control.members {
		control.coordinator.log.Info("limits divided", "members", division.Members, "before", control.members, "isolated", division.Isolated,
			"scan_age_ms", now.Sub(control.registry.ScannedAt()).Milliseconds())
	}
	control.members, control.isolated = division.Members, division.Isolated
	control.coordinator.traffic.share(now, division.Members, division.Fraction)
}

// engines returns the servers that take orders.
func (control *control) engines() []string {
	view := control.coordinator.View()
	var names []string
	for name, server := range view.Servers {
		if service, found := view.Config.Service(server.Service); found && service.Engine != nil {
			names = append(names, name)
		}
	}
	return names
}

func (control *control) present(server string) bool {
	row, found := control.servers.Rows()[server]
	return found && !row.Deleted
}

// handOver gives up the host's servers, so that others claim them without waiting for the end of its lease.
func (control *control) handOver(ctx context.Context) {
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
	if _, err := coordinator.rows.Commit(ctx, release); err != nil {
		coordinator.log.Info("servers not handed over; their leases have to end", "error", err.Error())
	}
}
