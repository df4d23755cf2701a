package soak

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"lentilproxy/core/value"
	"lentilproxy/platform/stub"
)

// Bounds of the promises, as stated by the operators of the demonstration deployment.
const (
	// settleTime is the period after a disturbance in which time bounds are not checked.
	settleTime = 3 * time.Second
	// configBound is the time within which a configuration takes effect, and drainBound the time within which a draining
	// server no longer gets new requests.
	configBound = 2 * time.Second
	drainBound  = 2 * time.Second
	// evacuationBound is the time within which nothing is sent to an evacuated data centre any more, and coldBound that within which
	// all hosts know that a server has become cold.
	evacuationBound = 3 * time.Second
	coldBound       = 2 * time.Second
	// rollbackSlack is how long a slow host may still accept a withdrawn key after it first refused it.
	rollbackSlack = 2 * time.Second
	// quotaWindow is the period over which used tokens are summed. The sum may exceed the limit by the share quotaOverage
	// and, in addition, by quotaAllowance.
	quotaWindow  = 8 * time.Second
	quotaOverage = 0.1
	// leaseGap is the minimum time between orders of different hosts to one server.
	leaseGap = 3 * time.Second
	// resumeSlack is how long after the end of a pause the host's orders from before the pause may still arrive.
	resumeSlack = 300 * time.Millisecond
	// cutSlack is how long after the timeout of its route a response may be cut off.
	cutSlack = 200 * time.Millisecond
	// minServedShare is the minimum share of requests that are served after all disturbances have ended.
	minServedShare = 0.9
	// maxReportedViolations is the maximum number of violations reported for one promise.
	maxReportedViolations = 5

	clockFormat = "15:04:05.000"
)

// attempt is one request of a caller and its response.
type attempt struct {
	id   string
	host string
	// runID identifies the run of the host's process.
	runID   int
	path    string
	key     string
	adapter string
	// parts are the parts of the prompt, and crashing reports whether one of them crashes engines.
	parts    []string
	crashing bool
	// firstOnConnection reports whether the request was the first one on its connection.
	firstOnConnection bool
	sentAt            time.Time
	endedAt           time.Time
	status            int
	signed            bool
	// answered is the identifier of the request that the response names, or empty.
	answered string
	body     string
	err      error
}

func (attempt *attempt) served() bool { return attempt.err == nil && attempt.status == http.StatusOK }

// repeatable reports whether the request may be executed more than once.
func (attempt *attempt) repeatable() bool {
	return attempt.path == stub.StockPath || attempt.path == stub.ResumePath
}

// timedOut reports whether the response was cut off at the timeout of the request's route.
func (attempt *attempt) timedOut() bool {
	after := attempt.endedAt.Sub(attempt.sentAt) - time.Duration(stub.NewConfig().Timeout)*time.Millisecond
	return after >= 0 && after <= cutSlack
}

func (attempt *attempt) String() string {
	return fmt.Sprintf("request %s %s at %s, sent %s, ended %s, status %d, error %v", attempt.id, attempt.path, attempt.host,
		attempt.sentAt.Format(clockFormat), attempt.endedAt.Format(clockFormat), attempt.status, attempt.err)
}

// arrival is a request that reached a backend server.
type arrival struct {
	stub.Arrival
	server string
}

// disturbance is a disturbance of one host, or of allHosts. Its until is zero while it lasts.
type disturbance struct {
	kind  Kind
	host  string
	from  time.Time
	until time.Time
}

// record holds the observations of a run.
type record struct {
	attempts     []*attempt
	arrivals     map[string][]arrival
	disturbances []*disturbance
	// orders holds the orders that each server received, in order of arrival.
	orders [][]stub.Order
	// declared, withdrawn and drained hold the times at which keys were declared, keys were withdrawn and servers began
	// to drain.
	declared  map[string]time.Time
	withdrawn map[string]time.Time
	drained   map[string]time.Time
	// evacuated holds the servers in the data centre that was evacuated in the periods evacuations, and evacuatedOrders the orders that
	// they received. colds are the periods in which servers were cold.
	evacuated       value.Set[string]
	evacuatedOrders []stub.Order
	evacuations     []period
	colds           []period
	endedAt         time.Time
}

// kindsNotDelayingRows are the kinds of disturbance that do not delay a host's reads of the store's rows.
var kindsNotDelayingRows = []Kind{KindPeersCut, KindOneWay, KindReset, KindDelay, KindErrors, KindCrash, KindHistory, KindReload, KindCopies}

// undisturbed reports whether no disturbance affected a host from settleTime before a period until its end. Kinds in
// except are ignored.
func (record *record) undisturbed(host string, from, until time.Time, except ...Kind) bool {
	for _, disturbance := range record.disturbances {
		if disturbance.host != allHosts && disturbance.host != host || slices.Contains(except, disturbance.kind) {
			continue
		}
		if disturbance.from.Before(until) && (disturbance.until.IsZero() || disturbance.until.After(from.Add(-settleTime))) {
			return false
		}
	}
	return true
}

// executions returns how many times servers began to execute a request.
func (record *record) executions(attempt *attempt) int {
	executions := 0
	for _, arrival := range record.arrivals[attempt.id] {
		if arrival.Ran {
			executions++
		}
	}
	return executions
}

// check returns the violations, at most maxReportedViolations for each promise.
func (record *record) check() []string {
	var violations []string
	for _, promise := range []struct {
		name  string
		check func(report func(format string, args ...any))
	}{
		{"at most once", record.checkAtMostOnce},
		{"true refusals", record.checkRefusals},
		{"whole answers", record.checkComplete},
		{"keys and workspaces", record.checkKeys},
		{"configuration in force", record.checkInForce},
		{"configuration never back", record.checkRollback},
		{"limits", record.checkLimits},
		{"draining", record.checkDrain},
		{"evacuation", record.checkEvacuation},
		{"cold servers", record.checkCold},
		{"one giver of orders", record.checkOrders},
		{"planned stops", record.checkStops},
		{"recovery", record.checkRecovery},
		{"crashing requests", record.checkCrashingRequests},
		{"sound requests", record.checkSoundRequests},
	} {
		count := 0
		promise.check(func(format string, args ...any) {
			if count++; count <= maxReportedViolations {
				violations = append(violations, promise.name+": "+fmt.Sprintf(format, args...))
			}
		})
	}
	return violations
}

func (record *record) checkAtMostOnce(report func(format string, args ...any)) {
	for _, attempt := range record.attempts {
		if executions := record.executions(attempt); executions > 1 && !attempt.repeatable() {
			report("%d executions of %s", executions, attempt)
		}
	}
}

func (record *record) checkRefusals(report func(format string, args ...any)) {
	for _, attempt := range record.attempts {
		refused := attempt.status == http.StatusTooManyRequests || attempt.status == http.StatusServiceUnavailable
		if refused && !attempt.signed && !attempt.repeatable() && record.executions(attempt) > 0 {
			report("refused as not executed, but a server executed it: %s", attempt)
		}
	}
}

// checkComplete finds responses with bytes that are not HTTP or belong to another request, joined responses, streams with missing
// or repeated events, and responses that look complete and are not.
func (record *record) checkComplete(report func(format string, args ...any)) {
	for _, attempt := range record.attempts {
		if attempt.status == 0 && attempt.err == nil {
			continue
		}
		whole := attempt.answered == "" || attempt.answered == attempt.id
		switch {
		case errors.Is(attempt.err, stub.ErrMalformed):
			whole = false
		case attempt.status == http.StatusOK:
			whole = whole && attempt.signed && record.expectedBody(attempt)
		case attempt.status != 0:
			// Servers send no body with errors, and hosts send JSON.
			whole = whole && (attempt.body == "" || attempt.err != nil || json.Valid([]byte(attempt.body)))
		}
		if !whole {
			report("signed %t, response to %q, body %q: %s", attempt.signed, attempt.answered, attempt.body, attempt)
		}
	}
}

// expectedBody reports whether a body is what a server sent in response to the request, or its beginning if the response broke off.
func (record *record) expectedBody(attempt *attempt) bool {
	stream := stub.StreamFor(attempt.id, streamEvents)
	if attempt.adapter != "" && attempt.err != nil {
		return strings.HasPrefix(stream, attempt.body)
	}
	if attempt.adapter != "" && attempt.body == stream {
		return true
	}
	for _, arrival := range record.arrivals[attempt.id] {
		if !arrival.Ran {
			continue
		}
		answer := stub.Answer(arrival.server, attempt.id)
		switch {
		case attempt.adapter != "":
			// A host cannot know that a stream without framing goes on if it ended between two events.
			if arrival.EndedEarly && strings.HasPrefix(stream, attempt.body) && (attempt.body == "" || strings.HasSuffix(attempt.body, "\n\n")) {
				return true
			}
		case attempt.body == answer, attempt.err != nil && strings.HasPrefix(answer, attempt.body):
			return true
		}
	}
	return false
}

func (record *record) checkKeys(report func(format string, args ...any)) {
	for _, attempt := range record.attempts {
		for _, arrival := range record.arrivals[attempt.id] {
			if arrival.Workspace != stub.Workspace || arrival.KeyLeaked || arrival.Body != "content "+attempt.id {
				report("workspace %q, key passed on %t, body %q: %s", arrival.Workspace, arrival.KeyLeaked, arrival.Body, attempt)
			}
		}
		if attempt.key == stub.Key && (attempt.status == http.StatusUnauthorized || attempt.status == http.StatusNotFound) {
			report("a valid key or an existing route was refused: %s", attempt)
		}
	}
	sent := map[string]bool{}
	for _, attempt := range record.attempts {
		sent[attempt.id] = true
	}
	for id := range record.arrivals {
		if !sent[id] {
			report("a server received request %s, which no caller sent", id)
		}
	}
}

// checkInForce finds keys that are accepted later than configBound after their withdrawal, or refused later than
// configBound after their declaration.
func (record *record) checkInForce(report func(format string, args ...any)) {
	late := func(attempt *attempt, since time.Time) bool {
		return attempt.sentAt.Sub(since) > configBound && record.undisturbed(attempt.host, since, attempt.sentAt, kindsNotDelayingRows...)
	}
	for _, attempt := range record.attempts {
		withdrawnAt, withdrawn := record.withdrawn[attempt.key]
		declaredAt, declared := record.declared[attempt.key]
		switch {
		case withdrawn && attempt.served() && late(attempt, withdrawnAt):
			report("key withdrawn at %s: %s", withdrawnAt.Format(clockFormat), attempt)
		case declared && attempt.status == http.StatusUnauthorized && (!withdrawn || attempt.endedAt.Before(withdrawnAt)) && late(attempt, declaredAt):
			report("key declared at %s: %s", declaredAt.Format(clockFormat), attempt)
		}
	}
}

// checkRollback finds withdrawn keys that a host's process has refused and later accepted.
func (record *record) checkRollback(report func(format string, args ...any)) {
	type processKey struct {
		host  string
		runID int
		key   string
	}
	firstRefusal := map[processKey]time.Time{}
	for _, attempt := range record.attempts {
		process := processKey{attempt.host, attempt.runID, attempt.key}
		withdrawnAt, withdrawn := record.withdrawn[attempt.key]
		if !withdrawn || attempt.status != http.StatusUnauthorized || attempt.sentAt.Before(withdrawnAt) {
			continue
		}
		if earlier, found := firstRefusal[process]; !found || attempt.endedAt.Before(earlier) {
			firstRefusal[process] = attempt.endedAt
		}
	}
	for _, attempt := range record.attempts {
		refusedAt, found := firstRefusal[processKey{attempt.host, attempt.runID, attempt.key}]
		if found && attempt.served() && attempt.sentAt.Sub(refusedAt) > rollbackSlack {
			report("the key was already refused at %s: %s", refusedAt.Format(clockFormat), attempt)
		}
	}
}

func (record *record) checkLimits(report func(format string, args ...any)) {
	type execution struct {
		at     time.Time
		tokens int
	}
	var executions []execution
	for _, attempt := range record.attempts {
		for _, arrival := range record.arrivals[attempt.id] {
			if arrival.Ran {
				executions = append(executions, execution{arrival.At, arrival.Tokens})
				break // Only the first execution of a request counts.
			}
		}
	}
	slices.SortFunc(executions, func(left, right execution) int { return left.at.Compare(right.at) })
	// The burst of the workspace's limit equals the tokens of one second.
	allowed := (tokenRate*quotaWindow.Seconds()+tokenRate)*(1+quotaOverage) + quotaAllowance
	sum, first := 0, 0
	for _, last := range executions {
		sum += last.tokens
		for last.at.Sub(executions[first].at) > quotaWindow {
			sum -= executions[first].tokens
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
			if drained && attempt.sentAt.Sub(drainedAt) > drainBound && record.undisturbed(attempt.host, drainedAt, arrival.At, kindsNotDelayingRows...) {
				report("%s has been draining since %s: %s", arrival.server, drainedAt.Format(clockFormat), attempt)
			}
		}
	}
}

// checkEvacuation finds requests and orders that reached servers of an evacuated data centre.
func (record *record) checkEvacuation(report func(format string, args ...any)) {
	late := func(host string, at time.Time) bool {
		return slices.ContainsFunc(record.evacuations, func(evacuation period) bool {
			return at.Sub(evacuation.from) > evacuationBound && at.Before(evacuation.until) &&
				record.undisturbed(host, evacuation.from, at, kindsNotDelayingRows...)
		})
	}
	for _, attempt := range record.attempts {
		for _, arrival := range record.arrivals[attempt.id] {
			if record.evacuated.Has(arrival.server) && late(attempt.host, arrival.At) {
				report("%s received it at %s: %s", arrival.server, arrival.At.Format(clockFormat), attempt)
			}
		}
	}
	for _, order := range record.evacuatedOrders {
		if late(order.Holder, order.At) {
			report("%s sent an order for %s at %s", order.Holder, order.Adapter, order.At.Format(clockFormat))
		}
	}
}

// checkCold finds cold servers that received more requests within a second than their bound. It skips servers that became cold while
// a disturbance may have kept a host from learning of it.
func (record *record) checkCold(report func(format string, args ...any)) {
	for _, cold := range record.colds {
		cold.from = cold.from.Add(coldBound)
		if slices.ContainsFunc(record.disturbances, func(disturbance *disturbance) bool {
			return !record.undisturbed(disturbance.host, cold.from.Add(-coldBound), cold.from, append([]Kind{KindStop, KindKill}, kindsNotDelayingRows...)...)
		}) {
			continue
		}
		arrivals := record.arrivalsIn(cold)
		for first, last := 0, 0; last < len(arrivals); last++ {
			for arrivals[last].Sub(arrivals[first]) >= time.Second {
				first++
			}
			if count := last - first + 1; count > coldRate*coldOverage+coldAllowance {
				report("%d requests to %s in the second before %s", count, cold.server, arrivals[last].Format(clockFormat))
			}
		}
	}
}

// arrivalsIn returns the times at which requests reached the server of a period within it.
func (record *record) arrivalsIn(period period) []time.Time {
	var arrivals []time.Time
	for _, attempt := range record.attempts {
		for _, arrival := range record.arrivals[attempt.id] {
			if arrival.server == period.server && arrival.At.After(period.from) && arrival.At.Before(period.until) {
				arrivals = append(arrivals, arrival.At)
			}
		}
	}
	slices.SortFunc(arrivals, time.Time.Compare)
	return arrivals
}

// checkOrders finds servers that received orders from two hosts within leaseGap, orders of two hosts with the same
// fencing token, or an order with an older fencing token than an earlier order. Orders that a pause may have delayed
// are only checked for shared tokens.
func (record *record) checkOrders(report func(format string, args ...any)) {
	for _, orders := range record.orders {
		holders := map[int64]string{}
		var newest, last stub.Order
		for _, order := range orders {
			if holder, found := holders[order.Token]; found && holder != order.Holder {
				report("%s and %s used token %d", holder, order.Holder, order.Token)
			}
			holders[order.Token] = order.Holder
			if record.affectedByPause(order.Holder, order.At) {
				continue
			}
			switch {
			case order.Token < newest.Token:
				report("%s used token %d after %d of %s at %s", order.Holder, order.Token, newest.Token, newest.Holder, order.At.Format(clockFormat))
			case last.Holder != "" && last.Holder != order.Holder && order.At.Sub(last.At) < leaseGap:
				report("%s sent an order %s after %s, at %s", order.Holder, order.At.Sub(last.At), last.Holder, order.At.Format(clockFormat))
			default:
				newest = order
			}
			last = order
		}
	}
}

// affectedByPause reports whether a host was paused at a point in time or had resumed less than resumeSlack before
// it.
func (record *record) affectedByPause(host string, at time.Time) bool {
	for _, disturbance := range record.disturbances {
		if disturbance.kind == KindPause && disturbance.host == host && at.After(disturbance.from) && (disturbance.until.IsZero() || at.Before(disturbance.until.Add(resumeSlack))) {
			return true
		}
	}
	return false
}

// checkStops finds requests that failed although nothing but a planned stop disturbed their host.
func (record *record) checkStops(report func(format string, args ...any)) {
	for _, attempt := range record.attempts {
		if attempt.err == nil || !record.undisturbed(attempt.host, attempt.sentAt, attempt.endedAt, KindStop) {
			continue
		}
		// A request may fail if the host closes the connection while the request is being sent. The host must not have
		// forwarded it, unless its timeout has passed, and must not keep the first request on a connection waiting for
		// longer than drainBound.
		lost := attempt.firstOnConnection && attempt.endedAt.Sub(attempt.sentAt) > drainBound
		if len(record.arrivals[attempt.id]) > 0 {
			lost = !attempt.timedOut()
		}
		if lost {
			report("%s", attempt)
		}
	}
}

func (record *record) checkRecovery(report func(format string, args ...any)) {
	served, total := 0, 0
	unserved := map[string]int{}
	for _, attempt := range record.attempts {
		if attempt.sentAt.Before(record.endedAt.Add(-quietPeriod)) || attempt.status == http.StatusTooManyRequests || attempt.status == http.StatusUnauthorized || attempt.crashing {
			continue
		}
		total++
		if attempt.served() {
			served++
			continue
		}
		unserved[fmt.Sprintf("status %d, error %v", attempt.status, attempt.err)]++
	}
	if float64(served) < minServedShare*float64(total) || total == 0 {
		report("%d of %d requests were served in the last %s; others by outcome: %v", served, total, quietPeriod, unserved)
	}
}
