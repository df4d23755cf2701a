package coord

import (
	"errors"
	"slices"
	"time"

	"lentilproxy"
	"lentilproxy/core/lease"
	"lentilproxy/core/mirror"
	"lentilproxy/io/clock"
)

const (
	// operatorsReadAge, serversReadAge and fleetReadAge are the ages of a proof from which on a host reads a table
	// itself. A host has to receive changes by operators and the deregistration of servers within 2 s; the rows of
	// hosts only have to stay fresh for limits.
	operatorsReadAge = 450 * time.Millisecond
	serversReadAge   = 500 * time.Millisecond
	fleetReadAge     = time.Second
	// rankDelay is added to these ages for each host that precedes this one in the order of names, up to maxRank hosts.
	// Thus usually only the first host reads, and the others receive proofs and rows from it.
	rankDelay = 350 * time.Millisecond
	maxRank   = 2
	// minRetry and maxRetry bound the wait after a failed read, which doubles with each failure in succession.
	minRetry = 50 * time.Millisecond
	maxRetry = 400 * time.Millisecond
	// lapseGrace is the time after an outage of the store in which running servers register again.
	lapseGrace = 2200 * time.Millisecond
	// minOutage is the shortest outage of the store during which registrations of running servers may have expired.
	minOutage = time.Second
)

// tableMirror is a mirror of a table with the proof of its freshness.
type tableMirror struct {
	*mirror.Mirror
	name string
	// readAge is the age of the proof from which on the host reads the table itself.
	readAge time.Duration
	// provenAt is the latest time as of which the mirror is known to be complete, from a read by this host or by a
	// peer.
	provenAt time.Time
	// failingSince is when the first failed read since the last successful one was sent, or zero.
	failingSince time.Time
	// pulling reports whether rows are being requested from a peer, and pulledAt is when they last were. Requests are
	// at least pullInterval apart. A large row takes a while on a slow link, and further requests meanwhile would
	// congest it.
	pulling      bool
	pulledAt     time.Time
	pullInterval time.Duration
	// filter reports whether a changed row is relevant. Other changes are dropped.
	filter func(row lentilproxy.Row) bool
}

func newTableMirror(name string, readAge, pullInterval time.Duration) *tableMirror {
	return &tableMirror{Mirror: mirror.New(), name: name, readAge: readAge, pullInterval: pullInterval}
}

// follow keeps a mirror up to date. It reads the table whenever there is no recent enough proof by another host. The
// first read is a scan; later ones return the changes since the last read.
func (control *control) follow(table *tableMirror) {
	coordinator := control.coordinator
	scan, after, retry := true, int64(0), minRetry
	for coordinator.ctx.Err() == nil {
		var wait time.Duration
		if !coordinator.do(func(now time.Time) { wait = control.timeUntilRead(now, table) }) {
			return
		}
		if wait > 0 {
			if !coordinator.pause(wait) {
				return
			}
			continue
		}
		var page lentilproxy.Page
		var err error
		requestedAt := clock.Now()
		if scan {
			page, err = coordinator.store.Scan(coordinator.ctx, table.name)
		} else {
			page, err = coordinator.store.Changes(coordinator.ctx, table.name, after, 0)
		}
		switch {
		case errors.Is(err, lentilproxy.ErrHistoryLost):
			coordinator.log.Info("the store has dropped the requested history; scanning the table", "table", table.name, "after", after)
			scan = true
			continue
		case err != nil:
			coordinator.post(func(now time.Time) { control.recordReadFailure(now, table, requestedAt, err) })
			if !coordinator.pause(retry) {
				return
			}
			retry = min(2*retry, maxRetry)
			continue
		}
		scanned := scan
		if !coordinator.do(func(now time.Time) { control.applyPage(now, requestedAt, table, page, scanned) }) {
			return
		}
		scan, after, retry = false, page.Version, minRetry
	}
}

// timeUntilRead returns the time until this host should read a table itself.
func (control *control) timeUntilRead(now time.Time, table *tableMirror) time.Duration {
	if table.provenAt.IsZero() {
		return 0
	}
	threshold := table.readAge + time.Duration(min(control.rank(), maxRank))*rankDelay
	return table.provenAt.Add(threshold).Sub(now)
}

// rank returns the number of hosts that precede this one in the order of names.
func (control *control) rank() int {
	names := make([]string, 0, len(control.peers))
	for name := range control.peers {
		names = append(names, name)
	}
	slices.Sort(names)
	index, _ := slices.BinarySearch(names, control.coordinator.settings.Host.Name)
	return index
}

// recordReadFailure records that a read of a table has failed.
func (control *control) recordReadFailure(now time.Time, table *tableMirror, requestedAt time.Time, err error) {
	if !table.failingSince.IsZero() {
		return
	}
	table.failingSince = requestedAt
	control.coordinator.log.Info("dependency lost", "dependency", "store", "table", table.name, "error", err.Error(),
		"version", table.CompleteTo(), "proof_age_ms", now.Sub(table.provenAt).Milliseconds())
}

// applyPage applies a page read from the store.
func (control *control) applyPage(now, requestedAt time.Time, table *tableMirror, page lentilproxy.Page, scanned bool) {
	if !table.failingSince.IsZero() {
		outage := now.Sub(table.failingSince)
		table.failingSince = time.Time{}
		control.coordinator.log.Info("dependency regained", "dependency", "store", "table", table.name, "away_ms", outage.Milliseconds(),
			"version", page.Version)
		if table == control.servers && outage > minOutage {
			control.storeRecoveredAt = now
		}
	}
	if table.filter != nil {
		page.Rows = slices.DeleteFunc(page.Rows, func(row lentilproxy.Row) bool { return !scanned && !table.filter(row) })
	}
	apply := table.Apply
	if scanned {
		apply = table.MergeWhole
	}
	control.applyProof(now, requestedAt, table, apply(page))
}

// applyProof records that a mirror was complete at provenAt, and publishes its changes.
func (control *control) applyProof(now, provenAt time.Time, table *tableMirror, changed bool) {
	if provenAt.After(table.provenAt) {
		table.provenAt = provenAt
		control.coordinator.operatorsProvenAt.Store(control.operators.provenAt.UnixNano())
		control.coordinator.serversProvenAt.Store(control.servers.provenAt.UnixNano())
		control.coordinator.traffic.proveHosts(control.fleet.provenAt)
	}
	switch {
	case table == control.fleet:
		if changed || provenAt.Sub(control.registry.ScannedAt()) >= lease.RenewInterval/2 {
			control.observeFleet(now)
		}
	case changed || (table == control.servers && len(control.lapsedUntil) > 0):
		control.publish(now)
	}
}

// tables returns the mirrors of all tables.
func (control *control) tables() []*tableMirror {
	return []*tableMirror{control.operators, control.servers, control.fleet}
}
