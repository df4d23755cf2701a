package coord

import (
	"sync"
	"time"

	"lentilproxy/core/sched"
	"lentilproxy/core/slots"
	"lentilproxy/core/spec"
)

// grantMargin is how much longer than its request a grant lasts whose end is not reported.
const grantMargin = time.Second

// uses holds the grants for the servers whose lease holder this host is. The controller of a server decides on evictions while it
// holds the mutex, so that no grant is given for an adapter that is about to be unloaded.
type uses struct {
	mutex   sync.Mutex
	servers map[spec.Incarnation]*slots.Grants
}

// use is the result of asking for a grant. It is neither granted nor missing if this host is not the server's lease holder.
type use struct {
	ticket  int64
	granted bool
	missing bool
}

func newUses() *uses { return &uses{servers: map[spec.Incarnation]*slots.Grants{}} }

// begin, with uses locked, starts to give grants for a server.
func (uses *uses) begin(incarnation spec.Incarnation) *slots.Grants {
	grants := slots.NewGrants()
	uses.servers[incarnation] = grants
	return grants
}

// stop stops to give grants for a server.
func (uses *uses) stop(incarnation spec.Incarnation) {
	uses.mutex.Lock()
	defer uses.mutex.Unlock()
	delete(uses.servers, incarnation)
}

// take asks for a grant for a request.
func (uses *uses) take(now time.Time, incarnation spec.Incarnation, ticket int64, params paceParams) use {
	uses.mutex.Lock()
	defer uses.mutex.Unlock()
	grants := uses.servers[incarnation]
	if grants == nil || params.LeftMS <= 0 {
		return use{ticket: ticket}
	}
	until := now.Add(time.Duration(params.LeftMS)*time.Millisecond + grantMargin)
	granted := grants.Take(now, ticket, params.Adapter, params.MinVersion, params.Memory, until)
	return use{ticket: ticket, granted: granted, missing: !granted}
}

// issued reports whether this host gives grants for a server.
func (uses *uses) issued(incarnation spec.Incarnation) bool {
	uses.mutex.Lock()
	defer uses.mutex.Unlock()
	return uses.servers[incarnation] != nil
}

func (uses *uses) end(incarnation spec.Incarnation, ticket int64) {
	uses.mutex.Lock()
	defer uses.mutex.Unlock()
	if grants := uses.servers[incarnation]; grants != nil {
		grants.End(ticket)
	}
}

// load returns the load of a server by the requests with a grant, without the prompt tokens that are unread.
func (uses *uses) load(incarnation spec.Incarnation) sched.Usage {
	uses.mutex.Lock()
	defer uses.mutex.Unlock()
	if grants := uses.servers[incarnation]; grants != nil {
		return sched.Usage{Running: grants.Active(), Tokens: grants.Tokens()}
	}
	return sched.Usage{}
}

// locked calls a function while no grants are given.
func (uses *uses) locked(function func()) {
	uses.mutex.Lock()
	defer uses.mutex.Unlock()
	function()
}
