package coord

import (
	"errors"
	"time"

	"lentilproxy"
	"lentilproxy/core/mirror"
	"lentilproxy/io/clock"
)

const (
	// changesWait is how long the store may keep a question for changes waiting. A connection that fell silent is noticed
	// after it, which has to fit into the time in which a configuration is in force.
	changesWait = 1200 * time.Millisecond
	// serversInterval is the least time between two questions for changed servers: their entries change all the time, and
	// a server that leaves may get requests for 2 s.
	serversInterval = 500 * time.Millisecond
	// minRetry and maxRetry bound the wait after a failed call; it doubles.
	minRetry = 50 * time.Millisecond
	maxRetry = 400 * time.Millisecond
	// lapseGrace is the time after an outage of the store in which servers that are alive register again.
	lapseGrace = 2200 * time.Millisecond
	// outageAfter is how long a table must have been out of reach for entries to lapse.
	outageAfter = time.Second
)

// follow keeps a mirror of one table: a scan, then the changes from there on.
func (control *control) follow(table string, copied *mirror.Mirror, interval time.Duration) {
	coordinator := control.coordinator
	scan, after, retry := true, int64(0), minRetry
	for coordinator.ctx.Err() == nil {
		var page lentilproxy.Page
		var err error
		askedAt := clock.Now()
		if scan {
			page, err = coordinator.rows.Scan(coordinator.ctx, table)
		} else {
			page, err = coordinator.rows.Changes(coordinator.ctx, table, after, changesWait)
		}
		switch {
		case errors.Is(err, lentilproxy.ErrHistoryLost):
			coordinator.log.Info("history dropped; scanning", "table", table, "after", after)
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
		retry = minRetry
		whole := scan
		if !coordinator.do(func(now time.Time) { control.readPage(now, table, copied, page, whole) }) {
			return
		}
		scan, after = false, page.Version
		if rest := interval - clock.Now().Sub(askedAt); rest > 0 && !coordinator.pause(rest) {
			return
		}
	}
}

// unreadable notes that a table cannot be read.
func (control *control) unreadable(now time.Time, table string, askedAt time.Time, err error) {
	if _, known := control.outages[table]; known {
		return
	}
	control.outages[table] = askedAt
	control.coordinator.log.Info("dependency lost", "dependency", "store", "table", table, "error", err.Error(),
		"version", control.mirrorOf(table).Newest(), "at_ms", now.UnixMilli())
}

func (control *control) mirrorOf(table string) *mirror.Mirror {
	if operators, _ := control.coordinator.source.Tables(); table == operators {
		return control.operators
	}
	return control.servers
}

// readPage takes a page of the store in.
func (control *control) readPage(now time.Time, table string, copied *mirror.Mirror, page lentilproxy.Page, whole bool) {
	if since, lost := control.outages[table]; lost {
		delete(control.outages, table)
		away := now.Sub(since)
		control.coordinator.log.Info("dependency regained", "dependency", "store", "table", table, "away_ms", away.Milliseconds(), "version", page.Version)
		if copied == control.servers && away > outageAfter {
			control.returned = now
		}
	}
	take := copied.Apply
	if whole {
		take = copied.Replace
	}
	changed := take(page)
	if changed || len(control.lapsed) > 0 {
		control.publish(now)
	}
}
