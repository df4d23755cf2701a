package slots

import "time"

// Grants records which requests may use the adapters of one incarnation of a server. Hosts ask for a grant before they send a
// request and report its end, so that the server's lease holder knows at any time which adapters are in use. It is not safe for
// concurrent use.
type Grants struct {
	// loaded maps the adapters that requests may use to their versions.
	loaded map[string]int64
	active map[int64]grant
	// running counts the active grants, and demand those since the last call of TakeDemand, by adapter.
	running map[string]int
	demand  map[string]float64
	// tokens is the cache memory that the active requests may use.
	tokens int64
}

type grant struct {
	adapter string
	// tokens is the cache memory that the request may use.
	tokens int64
	until  time.Time
}

// NewGrants returns the grants of a server for which nothing is known to be loaded.
func NewGrants() *Grants {
	return &Grants{active: map[int64]grant{}, running: map[string]int{}, demand: map[string]float64{}}
}

// SetLoaded replaces the adapters that requests may use.
func (grants *Grants) SetLoaded(loaded map[string]int64) { grants.loaded = loaded }

// Take grants the use of at least a version of an adapter to a request, unless it is not loaded. The grant ends at a point in
// time if the request's end is not reported. An empty adapter stands for the base model.
func (grants *Grants) Take(now time.Time, ticket int64, adapter string, minVersion, tokens int64, until time.Time) bool {
	grants.expire(now)
	if version, found := grants.loaded[adapter]; adapter != "" && (!found || version < minVersion) {
		return false
	}
	grants.active[ticket] = grant{adapter: adapter, tokens: tokens, until: until}
	grants.tokens += tokens
	grants.running[adapter]++
	grants.demand[adapter]++
	return true
}

// End ends a grant.
func (grants *Grants) End(ticket int64) {
	known, found := grants.active[ticket]
	if !found {
		return
	}
	delete(grants.active, ticket)
	grants.tokens -= known.tokens
	if grants.running[known.adapter]--; grants.running[known.adapter] == 0 {
		delete(grants.running, known.adapter)
	}
}

// Running returns the number of active grants for an adapter.
func (grants *Grants) Running(adapter string) int { return grants.running[adapter] }

// Active returns the number of active grants.
func (grants *Grants) Active() int { return len(grants.active) }

// Tokens returns the cache memory that the requests with a grant may use.
func (grants *Grants) Tokens() int64 { return grants.tokens }

// TakeDemand returns the number of grants by adapter since the last call.
func (grants *Grants) TakeDemand() map[string]float64 {
	taken := grants.demand
	grants.demand = map[string]float64{}
	return taken
}

// expire ends the grants whose end was not reported in time, since their host has crashed or could not be reached.
func (grants *Grants) expire(now time.Time) {
	for ticket, known := range grants.active {
		if !now.Before(known.until) {
			grants.End(ticket)
		}
	}
}
