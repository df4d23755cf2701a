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
	// operatorsAge, serversAge and fleetAge are the ages of a proof from which on a host reads a table itself. Changes of
	// the operators and leaving servers have to be known within 2 s; the rows of hosts only have to stay fresh for limits.
	operatorsAge = 450 * time.Millisecond
	serversAge   = 500 * time.Millisecond
	fleetAge     = time.Second
	// rankAge is added for each host that comes before in the order of names, so that usually only the first one reads and
	// the others learn from its digests; maxRank bounds the sum.
	rankAge = 350 * time.Millisecond
	maxRank = 2
	// minRetry and maxRetry bound the wait after a failed call; it doubles.
	minRetry = 50 * time.Millisecond
	maxRetry = 400 * time.Millisecond
	// lapseGrace is the time after an outage of the store in which servers that are alive register again.
	lapseGrace = 2200 * time.Millisecond
	// outageAfter is how long a table must have been out of reach for entries to lapse.
	outageAfter = time.Second
)

// copied is a mirror of a table with the proof of its age.
type copied struct {
	*mirror.Mirror
	table string
	// readAge is the age of the proof from which on the host reads the table itself.
	readAge time.Duration
	// provenAt is the latest instant as of which the mirror is known to be complete, by a read of this host or of a peer.
	provenAt time.Time
	// lostSince is when the first of the failed reads since the last good one was sent.
	lostSince time.Time
	// pulling says that a peer is being asked for rows, pulledAt when, at intervals of at least pullInterval. A large row
	// takes a while on a slow link, and asking others meanwhile would only fill it.
	pulling      bool
	pulledAt     time.Time
	pullInterval time.Duration
	// filter drops rows whose change does not matter.
	filter func(row lentilproxy.Row) bool
}

func newCopied(table string, readAge, pullInterval time.Duration) *copied {
	return &copied{Mirror: mirror.New(), table: table, readAge: readAge, pullInterval: pullInterval}
}

// follow keeps a mirror of one table, by reading it whenever no proof of another host is young enough: a scan first,
// then the changes from there on.
func (control *control) follow(table *copied) {
	coordinator := control.coordinator
	scan, after, retry := true, int64(0), minRetry
	for coordinator.ctx.Err() == nil {
		var rest time.Duration
		if !coordinator.do(func(now time.Time) { rest = control.untilRead(now, table) }) {
			return
		}
		if rest > 0 {
			if !coordinator.pause(rest) {
				return
			}
			continue
		}
		var page lentilproxy.Page
		var err error
		askedAt := clock.Now()
		if scan {
			page, err = coordinator.rows.Scan(coordinator.ctx, table.table)
		} else {
			page, err = coordinator.rows.Changes(coordinator.ctx, table.table, after, 0)
		}
		switch {
		case errors.Is(err, lentilproxy.ErrHistoryLost):
			coordinator.log.Info("history dropped; scanning", "table", table.table, "after", after)
			scan = true
			continue
		case err != nil:
			coordinator.post(func(now time.Time) { control.unreadable(now, table, askedAt, err) })
			if !coordinator.pause(retry) {
				return
			}
			retry = min(2*retry, maxRetry)
			continue
		}
		whole := scan
		if !coordinator.do(func(now time.Time) { control.readPage(now, askedAt, table, page, whole) }) {
			return
		}
		scan, after, retry = false, page.Version, minRetry
	}
}

// untilRead returns the time until this host should read a table itself.
func (control *control) untilRead(now time.Time, table *copied) time.Duration {
	if table.provenAt.IsZero() {
		return 0
	}
	threshold := table.readAge + time.Duration(min(control.rank(), maxRank))*rankAge
	return table.provenAt.Add(threshold).Sub(now)
}

// rank returns the number of hosts that come before this one in the order of names.
func (control *control) rank() int {
	names := make([]string, 0, len(control.peers))
	for name := range control.peers {
		names = append(names, name)
	}
	slices.Sort(names)
	index, _ := slices.BinarySearch(names, control.coordinator.settings.Host.Name)
	return index
}

// unreadable notes that a table cannot be read.
func (control *control) unreadable(now time.Time, table *copied, askedAt time.Time, err error) {
	if !table.lostSince.IsZero() {
		return
	}
	table.lostSince = askedAt
	control.coordinator.log.Info("dependency lost", "dependency", "store", "table", table.table, "error", err.Error(),
		"version", table.NewestRowVersion(), "proof_age_ms", now.Sub(table.provenAt).Milliseconds())
}

// readPage takes a page of the store in.
func (control *control) readPage(now, askedAt time.Time, table *copied, page lentilproxy.Page, whole bool) {
	if !table.lostSince.IsZero() {
		away := now.Sub(table.lostSince)
		table.lostSince = time.Time{}
		control.coordinator.log.Info("dependency regained", "dependency", "store", "table", table.table, "away_ms", away.Milliseconds(),
			"version", page.Version)
		if table == control.servers && away > outageAfter {
			control.returned = now
		}
	}
	if table.filter != nil {
		page.Rows = slices.DeleteFunc(page.Rows, func(row lentilproxy.Row) bool { return !whole && !table.filter(row) })
	}
	take := table.Apply
	if whole {
		take = table.Replace
	}
	control.took(now, askedAt, table, take(page))
}

// took publishes what has changed in a table that was proven to be complete as of an instant.
func (control *control) took(now, provenAt time.Time, table *copied, changed bool) {
	if provenAt.After(table.provenAt) {
		table.provenAt = provenAt
		control.coordinator.operatorsProven.Store(control.operators.provenAt.UnixNano())
		control.coordinator.serversProven.Store(control.servers.provenAt.UnixNano())
	}
	switch {
	case table == control.fleet:
		if changed || provenAt.Sub(control.registry.ScannedAt()) >= lease.RenewInterval/2 {
			control.observeFleet(now)
		}
	case changed || (table == control.servers && len(control.lapsed) > 0):
		control.publish(now)
	}
}

// tables returns the mirrors by the names of their tables.
func (control *control) tables() []*copied {
	return []*copied{control.operators, control.servers, control.fleet}
}
