package fresh

import (
	"fmt"
	"sort"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"lentilproxy/core/conf"
	"lentilproxy/core/value"
)

var epoch = time.Unix(1_700_000_000, 0)

// entry is one revision of the model's log.
type entry struct {
	roster *conf.Roster
	// accepted is when a quorum first held the revision; it is valid if done is set.
	accepted time.Time
	done     bool
}

type message struct {
	at      time.Time
	deliver func()
}

type modelHost struct {
	name        string
	tracker     *Tracker
	held        int64
	incarnation int64
	ready       bool
}

// model is a fleet with a table that is temporarily unavailable, and messages that are delayed arbitrarily or lost.
type model struct {
	t           *rapid.T
	now         time.Time
	unavailable bool
	log         []entry
	hosts       []*modelHost
	// holders are the hosts that have ever held each revision.
	holders  []value.Set[string]
	inFlight []message
}

func newModel(t *rapid.T, count int) *model {
	model := &model{t: t, now: epoch}
	var members []conf.Member
	for number := range count {
		name := fmt.Sprintf("host-%d", number)
		members = append(members, conf.Member{Name: name})
		model.hosts = append(model.hosts, &modelHost{name: name, tracker: NewTracker(name)})
	}
	size := rapid.IntRange(1, count).Draw(t, "members")
	model.append(&conf.Roster{Members: members[:size], Settled: true})
	return model
}

func (model *model) append(roster *conf.Roster) {
	model.log = append(model.log, entry{roster: roster})
	model.holders = append(model.holders, value.NewSet[string]())
}

func (model *model) head() int64 { return int64(len(model.log)) }

// hold moves a host to a newer revision and records which revisions a quorum now holds.
func (model *model) hold(host *modelHost, revision int64) {
	if revision <= host.held {
		return
	}
	host.held = revision
	host.tracker.Hold(revision, model.log[revision-1].roster)
	for index := range revision {
		model.holders[index].Add(host.name)
		state := &model.log[index]
		if !state.done && state.roster.Quorum(model.holders[index]) {
			state.done, state.accepted = true, model.now
		}
	}
}

func (model *model) commit() {
	last := model.log[len(model.log)-1]
	next := last.roster
	switch {
	case !last.roster.Settled:
		if last.done && model.now.Sub(last.accepted) >= TakeoverDelay {
			next = &conf.Roster{Members: last.roster.Members, Settled: true}
		}
	case rapid.Bool().Draw(model.t, "roster"):
		var members []conf.Member
		for _, number := range rapid.SliceOfNDistinct(rapid.IntRange(0, len(model.hosts)-1), 1, len(model.hosts), rapid.ID[int]).Draw(model.t, "next") {
			members = append(members, conf.Member{Name: model.hosts[number].name})
		}
		next = &conf.Roster{Members: members, Previous: last.roster.Members}
	}
	// A commit after an unsettled roster must keep that roster, so that its acceptance implies that of the roster.
	model.append(next)
}

func (model *model) status(host *modelHost) Status {
	status := Status{Host: host.name, Incarnation: host.incarnation, Ready: host.ready, Revision: host.held}
	if at, proven := host.tracker.ProvenAt(); proven {
		status.HasProof, status.ProofAge = true, model.now.Sub(at)
	}
	return status
}

// deliverLater runs a step after a random message delay, or never.
func (model *model) deliverLater(step func()) {
	wait := rapid.SampledFrom([]int{1, 1, 1, 100, 400, 2500, -1}).Draw(model.t, "delay")
	if wait >= 0 {
		model.inFlight = append(model.inFlight, message{at: model.now.Add(time.Duration(wait) * time.Millisecond), deliver: step})
	}
}

// readTable reads the head and the changes. The response is the state at the time at which the request arrives.
func (model *model) readTable(host *modelHost) {
	sentAt, incarnation := model.now, host.incarnation
	model.deliverLater(func() {
		if model.unavailable {
			return
		}
		revision := model.head()
		model.deliverLater(func() {
			if host.incarnation != incarnation {
				return
			}
			host.tracker.RecordRead(revision, sentAt)
			model.deliverLater(func() {
				if host.incarnation == incarnation {
					model.hold(host, revision)
					host.ready = true
				}
			})
		})
	})
}

func (model *model) ask(host, other *modelHost) {
	sentAt, incarnation := model.now, host.incarnation
	model.deliverLater(func() {
		status := model.status(other)
		model.deliverLater(func() {
			if host.incarnation != incarnation {
				return
			}
			if host.tracker.RecordStatus(status, sentAt) && host.ready {
				model.hold(host, status.Revision)
			}
		})
	})
}

// round runs random actions of the hosts and advances the clock.
func (model *model) round() {
	switch rapid.IntRange(0, 19).Draw(model.t, "event") {
	case 0, 1, 2:
		if !model.unavailable {
			model.commit()
		}
	case 3, 4:
		model.unavailable = !model.unavailable
	case 5, 6, 7:
		host := model.hosts[rapid.IntRange(0, len(model.hosts)-1).Draw(model.t, "restarted")]
		host.tracker, host.held, host.ready = NewTracker(host.name), 0, false
		host.incarnation++
	}
	for _, host := range model.hosts {
		switch rapid.IntRange(0, 5).Draw(model.t, "action") {
		case 0, 1:
			model.readTable(host)
		case 2:
			model.ask(host, model.hosts[rapid.IntRange(0, len(model.hosts)-1).Draw(model.t, "other")])
		case 3:
			for _, other := range model.hosts {
				model.ask(host, other)
			}
		}
	}
	model.advance(model.now.Add(500 * time.Millisecond))
}

func (model *model) advance(until time.Time) {
	for {
		sort.SliceStable(model.inFlight, func(left, right int) bool { return model.inFlight[left].at.Before(model.inFlight[right].at) })
		if len(model.inFlight) == 0 || model.inFlight[0].at.After(until) {
			break
		}
		next := model.inFlight[0]
		model.inFlight = model.inFlight[1:]
		model.now = next.at
		next.deliver()
		model.check()
	}
	model.now = until
	model.check()
}

// check fails if a host acts on a revision although a newer one was accepted more than MaxProofAge ago.
func (model *model) check() {
	for _, host := range model.hosts {
		if !host.ready || !host.tracker.Fresh(model.now) {
			continue
		}
		for index := host.held; index < model.head(); index++ {
			newer := model.log[index]
			if newer.done && model.now.Sub(newer.accepted) > MaxProofAge {
				model.t.Fatalf("%s acts on revision %d, but %d was accepted %s ago", host.name, host.held, index+1, model.now.Sub(newer.accepted))
			}
		}
	}
}

// No host acts on a revision for longer than MaxProofAge after a newer one was accepted. This holds despite lost and
// delayed messages, restarts, an unavailable table and roster changes.
func TestNoHostActsOnOldRevision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := newModel(t, rapid.IntRange(1, 6).Draw(t, "hosts"))
		for range rapid.IntRange(10, 60).Draw(t, "rounds") {
			model.round()
		}
	})
}

// While the table is unavailable, a host that receives statuses from a majority stays fresh. A host that receives none
// turns stale within MaxProofAge.
func TestTableUnavailable(t *testing.T) {
	is := is.New(t)
	roster := &conf.Roster{Settled: true}
	for number := range 5 {
		roster.Members = append(roster.Members, conf.Member{Name: fmt.Sprintf("host-%d", number)})
	}
	tracker := NewTracker("host-0")
	tracker.Hold(7, roster)
	tracker.RecordRead(7, epoch)
	is.True(tracker.Fresh(epoch.Add(MaxProofAge)))
	is.True(!tracker.Fresh(epoch.Add(MaxProofAge + time.Millisecond)))

	now := epoch.Add(10 * time.Second)
	status := func(number int) Status {
		return Status{Host: fmt.Sprintf("host-%d", number), Ready: true, Revision: 7, Incarnation: 1}
	}
	tracker.RecordStatus(status(1), now)
	is.True(!tracker.Fresh(now)) // two of five are not a majority
	empty := status(2)
	empty.Ready = false
	tracker.RecordStatus(empty, now)
	is.True(!tracker.Fresh(now)) // a host that has not read the table does not count
	tracker.RecordStatus(status(2), now)
	is.True(tracker.Fresh(now))

	newer := status(3)
	newer.Revision = 8
	is.True(tracker.RecordStatus(newer, now))
	is.True(tracker.Fresh(now)) // only one host holds revision 8, so it is not accepted
	late := now.Add(MaxProofAge).Add(time.Second)
	tracker.RecordStatus(Status{Host: "host-4", Ready: true, Revision: 7, HasProof: true, ProofAge: 5 * time.Second}, late)
	is.True(!tracker.Fresh(late)) // a peer's proof keeps its age
}
