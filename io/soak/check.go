package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"lentilproxy/platform/stub"
)

// Bounds of the promises, as the demonstration deployment's operators state them.
const (
	// settleTime is how long after a disturbance bounds in time do not hold.
	settleTime = 3 * time.Second
	// configBound is the time in which a configuration is in force, drainBound that in which a server gets nothing new.
	configBound = 2 * time.Second
	drainBound  = 2 * time.Second
	// rollbackSlack is the time after which a host does not go back to what it knew before, also if it is slow.
	rollbackSlack = 2 * time.Second
	// quotaWindow and quotaOverage define the tolerated excess over a limit, beside quotaAllowance.
	quotaWindow  = 8 * time.Second
	quotaOverage = 0.1
	// leaseGap is the least time between orders of two hosts to one server.
	leaseGap = 3 * time.Second
	// thawSlack is the time in which orders of a host that was paused may still arrive.
	thawSlack = 300 * time.Millisecond
	// recovered is the share of requests that has to be served once everything is back.
	recovered = 0.9
	// maxViolations bounds the report of one promise.
	maxViolations = 5

	clockFormat = "15:04:05.000"
)

// attempt is one request of a caller.
type attempt struct {
	id      string
	host    string
	life    int
	path    string
	key     string
	adapter string
	// first says that it was the first one on its connection.
	first   bool
	sentAt  time.Time
	endedAt time.Time
	status  int
	signed  bool
	body    string
	err     error
}

func (attempt *attempt) served() bool { return attempt.err == nil && attempt.status == http.StatusOK }

// repeatable says whether the request may run more than once.
func (attempt *attempt) repeatable() bool {
	return attempt.path == stub.StockPath || attempt.path == stub.ResumePath
}

func (attempt *attempt) String() string {
	return fmt.Sprintf("request %s %s at %s, sent %s, ended %s, status %d, error %v", attempt.id, attempt.path, attempt.host,
		attempt.sentAt.Format(clockFormat), attempt.endedAt.Format(clockFormat), attempt.status, attempt.err)
}

type arrival struct {
	stub.Arrival
	server string
}

// trouble is a disturbance of a host, or of everybody.
type trouble struct {
	kind  Kind
	who   string
	from  time.Time
	until time.Time
}

// record is what was seen in a run.
type record struct {
	attempts []*attempt
	arrivals map[string][]arrival
	troubles []*trouble
	// orders holds the orders of each server in the order of their arrival.
	orders   [][]stub.Order
	declared map[string]time.Time
	taken    map[string]time.Time
	drained  map[string]time.Time
	endedAt  time.Time
}

// unconcerned are the disturbances that do not keep a host from knowing what the store says.
var unconcerned = []Kind{KindPeersCut, KindOneWay, KindReset, KindDelay, KindErrors, KindCrash, KindHistory, KindReload}

// undisturbed says whether nothing disturbed a host from settleTime before a span to its end.
func (record *record) undisturbed(host string, from, until time.Time, but ...Kind) bool {
	for _, trouble := range record.troubles {
		if trouble.who != everybody && trouble.who != host || slices.Contains(but, trouble.kind) {
			continue
		}
		if trouble.from.Before(until) && (trouble.until.IsZero() || trouble.until.After(from.Add(-settleTime))) {
			return false
		}
	}
	return true
}

// runs returns the runs of a request.
func (record *record) runs(attempt *attempt) int {
	runs := 0
	for _, arrival := range record.arrivals[attempt.id] {
		if arrival.Ran {
			runs++
		}
	}
	return runs
}

// check returns what broke a promise, a few lines for each.
func (record *record) check() []string {
	var violations []string
	for _, promise := range []struct {
		name  string
		check func(report func(format string, args ...any))
	}{
		{"at most once", record.checkOnce},
		{"true refusals", record.checkRefusals},
		{"whole answers", record.checkWhole},
		{"keys and workspaces", record.checkKeys},
		{"configuration in force", record.checkInForce},
		{"configuration never back", record.checkNeverBack},
		{"limits", record.checkLimit},
		{"draining", record.checkDrain},
		{"one giver of orders", record.checkOrders},
		{"planned stops", record.checkStops},
		{"recovery", record.checkRecovery},
	} {
		count := 0
		promise.check(func(format string, args ...any) {
			if count++; count <= maxViolations {
				violations = append(violations, promise.name+": "+fmt.Sprintf(format, args...))
			}
		})
	}
	return violations
}

func (record *record) checkOnce(report func(format string, args ...any)) {
	for _, attempt := range record.attempts {
		if runs := record.runs(attempt); runs > 1 && !attempt.repeatable() {
			report("%d runs of %s", runs, attempt)
		}
	}
}

func (record *record) checkRefusals(report func(format string, args ...any)) {
	for _, attempt := range record.attempts {
		refused := attempt.status == http.StatusTooManyRequests || attempt.status == http.StatusServiceUnavailable
		if refused && !attempt.signed && !attempt.repeatable() && record.runs(attempt) > 0 {
			report("refused as not run, and has run: %s", attempt)
		}
	}
}

func (record *record) checkWhole(report func(format string, args ...any)) {
	for _, attempt := range record.attempts {
		if !attempt.served() {
			continue
		}
		whole := strings.HasPrefix(attempt.body, "answer of ")
		if attempt.adapter != "" {
			whole = attempt.body == stub.Stream(streamEvents)
		}
		if !whole || !attempt.signed {
			report("signed %t, body %q: %s", attempt.signed, attempt.body, attempt)
		}
	}
}

func (record *record) checkKeys(report func(format string, args ...any)) {
	for _, attempt := range record.attempts {
		for _, arrival := range record.arrivals[attempt.id] {
			if arrival.Workspace != stub.Workspace || arrival.KeyLeaked || arrival.Body != "content "+attempt.id {
				report("workspace %q, key passed on %t, body %q: %s", arrival.Workspace, arrival.KeyLeaked, arrival.Body, attempt)
			}
		}
		if attempt.key == stub.Key && (attempt.status == http.StatusUnauthorized || attempt.status == http.StatusNotFound) {
			report("a key and route that were always there were refused: %s", attempt)
		}
	}
	known := map[string]bool{}
	for _, attempt := range record.attempts {
		known[attempt.id] = true
	}
	for id := range record.arrivals {
		if !known[id] {
			report("a server got request %s, which nobody sent", id)
		}
	}
}

// checkInForce finds keys that are accepted long after their withdrawal, or refused long after their declaration.
func (record *record) checkInForce(report func(format string, args ...any)) {
	late := func(attempt *attempt, since time.Time) bool {
		return attempt.sentAt.Sub(since) > configBound && record.undisturbed(attempt.host, since, attempt.sentAt, unconcerned...)
	}
	for _, attempt := range record.attempts {
		takenAt, taken := record.taken[attempt.key]
		declaredAt, declared := record.declared[attempt.key]
		switch {
		case taken && attempt.served() && late(attempt, takenAt):
			report("key withdrawn at %s: %s", takenAt.Format(clockFormat), attempt)
		case declared && attempt.status == http.StatusUnauthorized && (!taken || attempt.endedAt.Before(takenAt)) && late(attempt, declaredAt):
			report("key declared at %s: %s", declaredAt.Format(clockFormat), attempt)
		}
	}
}

// checkNeverBack finds keys that one life of a host has refused as withdrawn and then accepted.
func (record *record) checkNeverBack(report func(format string, args ...any)) {
	type view struct {
		host string
		life int
		key  string
	}
	refused := map[view]time.Time{}
	for _, attempt := range record.attempts {
		seen := view{attempt.host, attempt.life, attempt.key}
		takenAt, taken := record.taken[attempt.key]
		if !taken || attempt.status != http.StatusUnauthorized || attempt.sentAt.Before(takenAt) {
			continue
		}
		if before, found := refused[seen]; !found || attempt.endedAt.Before(before) {
			refused[seen] = attempt.endedAt
		}
	}
	for _, attempt := range record.attempts {
		refusedAt, found := refused[view{attempt.host, attempt.life, attempt.key}]
		if found && attempt.served() && attempt.sentAt.Sub(refusedAt) > rollbackSlack {
			report("the key was refused at %s before: %s", refusedAt.Format(clockFormat), attempt)
		}
	}
}

func (record *record) checkLimit(report func(format string, args ...any)) {
	type run struct {
		at     time.Time
		tokens int
	}
	var runs []run
	for _, attempt := range record.attempts {
		for _, arrival := range record.arrivals[attempt.id] {
			if arrival.Ran {
				runs = append(runs, run{arrival.At, arrival.Tokens})
				break // Only a request's first run counts.
			}
		}
	}
	slices.SortFunc(runs, func(left, right run) int { return left.at.Compare(right.at) })
	allowed := (rate*quotaWindow.Seconds()+rate)*(1+quotaOverage) + quotaAllowance
	sum, first := 0, 0
	for _, last := range runs {
		sum += last.tokens
		for last.at.Sub(runs[first].at) > quotaWindow {
			sum -= runs[first].tokens
			first++
		}
		if float64(sum) > allowed {
			report("%d tokens in the %s before %s, where %.0f are allowed", sum, quotaWindow, last.at.Format(clockFormat), allowed)
		}
	}
}

func (record *record) checkDrain(report func(format string, args ...any)) {
	for _, attempt := range record.attempts {
		for _, arrival := range record.arrivals[attempt.id] {
			drainedAt, drained := record.drained[arrival.server]
			if drained && attempt.sentAt.Sub(drainedAt) > drainBound && record.undisturbed(attempt.host, drainedAt, arrival.At, unconcerned...) {
				report("%s drains since %s: %s", arrival.server, drainedAt.Format(clockFormat), attempt)
			}
		}
	}
}

// checkOrders finds hosts that give orders to one server by turns, or with each other's or older fencing tokens.
func (record *record) checkOrders(report func(format string, args ...any)) {
	for _, orders := range record.orders {
		holders := map[int64]string{}
		var newest, last stub.Order
		for _, order := range orders {
			if holder, found := holders[order.Token]; found && holder != order.Holder {
				report("%s and %s used token %d", holder, order.Holder, order.Token)
			}
			holders[order.Token] = order.Holder
			if record.thawed(order.Holder, order.At) {
				continue
			}
			switch {
			case order.Token < newest.Token:
				report("%s used token %d after %d of %s at %s", order.Holder, order.Token, newest.Token, newest.Holder, order.At.Format(clockFormat))
			case last.Holder != "" && last.Holder != order.Holder && order.At.Sub(last.At) < leaseGap:
				report("%s ordered %s after %s, at %s", order.Holder, order.At.Sub(last.At), last.Holder, order.At.Format(clockFormat))
			default:
				newest = order
			}
			last = order
		}
	}
}

// thawed says whether a host was paused until just before an instant.
func (record *record) thawed(host string, at time.Time) bool {
	for _, trouble := range record.troubles {
		if trouble.kind == KindPause && trouble.who == host && at.After(trouble.from) && (trouble.until.IsZero() || at.Before(trouble.until.Add(thawSlack))) {
			return true
		}
	}
	return false
}

// checkStops finds requests that were lost with the planned stop of their host, and with no other disturbance.
func (record *record) checkStops(report func(format string, args ...any)) {
	for _, attempt := range record.attempts {
		if attempt.err == nil || !record.undisturbed(attempt.host, attempt.sentAt, attempt.endedAt, KindStop) {
			continue
		}
		// A request that crosses the end of its connection was not passed on.
		if len(record.arrivals[attempt.id]) > 0 || attempt.first && attempt.endedAt.Sub(attempt.sentAt) > drainBound {
			report("%s", attempt)
		}
	}
}

func (record *record) checkRecovery(report func(format string, args ...any)) {
	served, asked := 0, 0
	for _, attempt := range record.attempts {
		if attempt.sentAt.Before(record.endedAt.Add(-calm)) || attempt.status == http.StatusTooManyRequests || attempt.status == http.StatusUnauthorized {
			continue
		}
		asked++
		if attempt.served() {
			served++
		}
	}
	if float64(served) < recovered*float64(asked) || asked == 0 {
		report("%d of %d requests were served in the last %s", served, asked, calm)
	}
}
