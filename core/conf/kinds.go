// Package conf defines the resources that operators declare, validates them, and derives the configuration state from
// a sequence of changes.
package conf

import (
	"slices"
	"time"

	"lentilproxy/core/value"
)

// Kind is the name of a resource type.
type Kind string

// The kinds of resources. Only daemons write roster and owner resources.
const (
	KindWorkspace     Kind = "workspace"
	KindKey           Kind = "key"
	KindAdapter       Kind = "adapter"
	KindVersion       Kind = "version"
	KindRoute         Kind = "route"
	KindBackendServer Kind = "backend_server"
	KindDataCentre    Kind = "data_centre"
	KindLimit         Kind = "limit"
	KindRoster        Kind = "roster"
	KindOwner         Kind = "owner"
)

// RosterName is the name of the only roster resource.
const RosterName = "main"

// OperatorKinds lists the kinds that operators may declare, in the order of their dependencies.
var OperatorKinds = []Kind{KindWorkspace, KindLimit, KindKey, KindDataCentre, KindBackendServer, KindAdapter, KindVersion, KindRoute}

// Ref identifies a resource.
type Ref struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

// String returns kind/name.
func (ref Ref) String() string { return string(ref.Kind) + "/" + ref.Name }

// Resource is one declared resource. Exactly the field of its kind is set.
//
// Its fields are exported because it is a wire message.
type Resource struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
	// Generation counts the changes of this resource.
	Generation int64 `json:"generation"`
	// Revision is the configuration revision of the last change.
	Revision int64 `json:"revision"`

	Workspace     *Workspace     `json:"workspace,omitempty"`
	APIKey        *Key           `json:"key,omitempty"`
	Adapter       *Adapter       `json:"adapter,omitempty"`
	Version       *Version       `json:"version,omitempty"`
	Route         *Route         `json:"route,omitempty"`
	BackendServer *BackendServer `json:"backend_server,omitempty"`
	DataCentre    *DataCentre    `json:"data_centre,omitempty"`
	Limit         *Limit         `json:"limit,omitempty"`
	Roster        *Roster        `json:"roster,omitempty"`
	Owner         *Owner         `json:"owner,omitempty"`
}

// Ref returns the identity of the resource.
func (resource *Resource) Ref() Ref { return Ref{Kind: resource.Kind, Name: resource.Name} }

// Complete reports whether exactly the field of the resource's kind is set.
func (resource *Resource) Complete() bool {
	present := map[Kind]bool{
		KindWorkspace: resource.Workspace != nil, KindKey: resource.APIKey != nil, KindAdapter: resource.Adapter != nil,
		KindVersion: resource.Version != nil, KindRoute: resource.Route != nil, KindLimit: resource.Limit != nil,
		KindBackendServer: resource.BackendServer != nil, KindRoster: resource.Roster != nil, KindOwner: resource.Owner != nil,
		KindDataCentre: resource.DataCentre != nil,
	}
	for kind, set := range present {
		if set != (kind == resource.Kind) {
			return false
		}
	}
	return present[resource.Kind]
}

// Workspace is a group of callers with common API keys, adapters and rate limit.
type Workspace struct {
	// Weight is the share of contended capacity, relative to the weights of other workspaces.
	Weight int64 `json:"weight" ini:"weight"`
}

// Key is the API key of a caller. Only a hash of the key is stored.
type Key struct {
	Workspace string `json:"workspace" ini:"workspace"`
	// Hash is the hexadecimal SHA-256 digest of the whole key.
	Hash      string `json:"hash" ini:"hash"`
	Withdrawn bool   `json:"withdrawn,omitempty" ini:"withdrawn"`
}

// Adapter is a LoRA adapter, named workspace/adapter.
type Adapter struct {
	BaseModel      string `json:"base_model" ini:"base_model"`
	DefaultVersion string `json:"default_version" ini:"default_version"`
	// Open adapters can be called without a key.
	Open bool `json:"open,omitempty" ini:"open"`
}

// Version is one version of an adapter, named workspace/adapter@version.
type Version struct {
	// Source is the name of the object in the weight store.
	Source string `json:"source" ini:"source"`
}

// Route exposes a plain service, which is one that runs no models. Its name is the path segment after /services/.
type Route struct {
	// Workspaces lists the workspaces that may call the route. It is ignored if the route is open.
	Workspaces []string `json:"workspaces,omitempty" ini:"workspaces"`
	Open       bool     `json:"open,omitempty" ini:"open"`
	// Repeatable routes may be retried. Requests on other routes need an idempotency key and run at most once.
	Repeatable bool `json:"repeatable,omitempty" ini:"repeatable"`
	// DedupWindow is how long the outcome of a request is stored under its idempotency key.
	DedupWindow time.Duration `json:"dedup_window,omitempty" ini:"dedup_window"`
	// Timeout bounds one request.
	Timeout time.Duration `json:"timeout,omitempty" ini:"timeout"`
	// CostTokens is charged to the workspace for one request.
	CostTokens int64 `json:"cost_tokens,omitempty" ini:"cost_tokens"`
}

// BackendServer is a model engine or a server of a plain service.
type BackendServer struct {
	Address    string `json:"address" ini:"address"`
	DataCentre string `json:"data_centre" ini:"data_centre"`
	// Service is the name of the route that a plain service serves. It is empty for an engine.
	Service string `json:"service,omitempty" ini:"service"`
	// BaseModel, Slots and Pool apply to engines only. Slots is the number of adapters that fit on the engine, and
	// Pool is the group of engines whose placement one host decides.
	BaseModel string `json:"base_model,omitempty" ini:"base_model"`
	Slots     int    `json:"slots,omitempty" ini:"slots"`
	Pool      string `json:"pool,omitempty" ini:"pool"`
	// MaxInFlight bounds the concurrent requests from one host to the server.
	MaxInFlight int `json:"max_in_flight,omitempty" ini:"max_in_flight"`
	// ChecksFencing marks an engine that rejects orders with an outdated fencing token.
	ChecksFencing bool `json:"checks_fencing,omitempty" ini:"checks_fencing"`
	// Draining servers get no new work.
	Draining bool `json:"draining,omitempty" ini:"draining"`
}

// DataCentre is a data centre. One that is not declared does not drain.
type DataCentre struct {
	// Draining means that none of the data centre's backend servers gets new work.
	Draining bool `json:"draining,omitempty" ini:"draining"`
}

// Limit is the token bucket of a workspace, shared by all hosts. It is named after the workspace.
type Limit struct {
	RateTokensPerSecond float64 `json:"rate_tokens_per_second" ini:"rate_tokens_per_second"`
	BurstTokens         float64 `json:"burst_tokens" ini:"burst_tokens"`
}

// Member is one host of the roster.
type Member struct {
	Name        string `json:"name"`
	DataCentre  string `json:"data_centre"`
	PeerAddress string `json:"peer_address"`
}

// Roster lists the hosts that hold shares of limits and count towards quorums.
type Roster struct {
	Members []Member `json:"members"`
	// Previous lists the members of the preceding roster. They count towards quorums until this roster is settled.
	Previous []Member `json:"previous,omitempty"`
	Settled  bool     `json:"settled"`
}

// Has reports whether a host is a current member.
func (roster *Roster) Has(name string) bool {
	return hasMember(roster.Members, name)
}

func hasMember(members []Member, name string) bool {
	for _, member := range members {
		if member.Name == name {
			return true
		}
	}
	return false
}

// AllMembers returns the current and previous members without duplicates.
func (roster *Roster) AllMembers() []Member {
	all := append([]Member(nil), roster.Members...)
	for _, member := range roster.Previous {
		if !hasMember(all, member.Name) {
			all = append(all, member)
		}
	}
	return all
}

// Member returns a current or previous member by its name.
func (roster *Roster) Member(name string) (Member, bool) {
	for _, member := range roster.AllMembers() {
		if member.Name == name {
			return member, true
		}
	}
	return Member{}, false
}

// Others returns all current and previous members except the named host.
func (roster *Roster) Others(name string) []Member {
	return slices.DeleteFunc(roster.AllMembers(), func(member Member) bool { return member.Name == name })
}

// Quorum reports whether the hosts include more than half of the members and, until the roster is settled, more than
// half of the previous members.
func (roster *Roster) Quorum(hosts value.Set[string]) bool {
	if !majority(roster.Members, hosts) {
		return false
	}
	return roster.Settled || majority(roster.Previous, hosts)
}

func majority(members []Member, hosts value.Set[string]) bool {
	count := 0
	for _, member := range members {
		if hosts.Has(member.Name) {
			count++
		}
	}
	return 2*count > len(members)
}

// Owner is the host that decides placement for one pool.
type Owner struct {
	// Host is empty after the owner has resigned.
	Host        string `json:"host"`
	Incarnation int64  `json:"incarnation,omitempty"`
	// Epoch increases with each new owner. It is the fencing token of the owner's orders.
	Epoch int64 `json:"epoch"`
	// Previous is the former owner, or "" if it resigned with no orders in flight or there was none. The new owner waits
	// until the former one can no longer act.
	Previous string `json:"previous,omitempty"`
}
