// Package conf holds the resources that operators declare, their checks, and the configuration state that a
// sequence of changes leads to.
package conf

import (
	"slices"
	"time"

	"lentilproxy/core/value"
)

// Kind names a type of resource.
type Kind string

// The kinds of resources. Roster and owner rows are written by daemons only.
const (
	KindWorkspace     Kind = "workspace"
	KindKey           Kind = "key"
	KindAdapter       Kind = "adapter"
	KindVersion       Kind = "version"
	KindRoute         Kind = "route"
	KindBackendServer Kind = "backend_server"
	KindLimit         Kind = "limit"
	KindRoster        Kind = "roster"
	KindOwner         Kind = "owner"
)

// RosterName is the name of the only roster resource.
const RosterName = "main"

// OperatorKinds are the kinds that operators may declare, in the order of their dependencies.
var OperatorKinds = []Kind{KindWorkspace, KindLimit, KindKey, KindBackendServer, KindAdapter, KindVersion, KindRoute}

// Ref identifies a resource.
type Ref struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

// String returns kind/name.
func (ref Ref) String() string { return string(ref.Kind) + "/" + ref.Name }

// Resource is one declared resource; exactly the field of its kind is set.
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
	Limit         *Limit         `json:"limit,omitempty"`
	Roster        *Roster        `json:"roster,omitempty"`
	Owner         *Owner         `json:"owner,omitempty"`
}

// Ref returns the identity of the resource.
func (resource *Resource) Ref() Ref { return Ref{Kind: resource.Kind, Name: resource.Name} }

// Complete says whether exactly the field of the resource's kind is set.
func (resource *Resource) Complete() bool {
	present := map[Kind]bool{
		KindWorkspace: resource.Workspace != nil, KindKey: resource.APIKey != nil, KindAdapter: resource.Adapter != nil,
		KindVersion: resource.Version != nil, KindRoute: resource.Route != nil, KindLimit: resource.Limit != nil,
		KindBackendServer: resource.BackendServer != nil, KindRoster: resource.Roster != nil, KindOwner: resource.Owner != nil,
	}
	for kind, set := range present {
		if set != (kind == resource.Kind) {
			return false
		}
	}
	return present[resource.Kind]
}

// Workspace is a tenant.
type Workspace struct {
	// Weight is the share of contended capacity relative to other workspaces.
	Weight int64 `json:"weight" ini:"weight"`
}

// Key is a caller's credential; only the hash of the secret is stored.
type Key struct {
	Workspace string `json:"workspace" ini:"workspace"`
	// Hash is the hexadecimal SHA-256 digest of the secret.
	Hash      string `json:"hash" ini:"hash"`
	Withdrawn bool   `json:"withdrawn,omitempty" ini:"withdrawn"`
}

// Adapter is a LoRA adapter, named workspace/adapter.
type Adapter struct {
	BaseModel      string `json:"base_model" ini:"base_model"`
	DefaultVersion string `json:"default_version" ini:"default_version"`
	// Open adapters run without a key.
	Open bool `json:"open,omitempty" ini:"open"`
}

// Version is one version of an adapter, named workspace/adapter@version.
type Version struct {
	// Source is the object in the weight store.
	Source string `json:"source" ini:"source"`
}

// Route leads to a plain service; its name is the path segment after /services/.
type Route struct {
	// Workspaces may call the route; ignored when it is open.
	Workspaces []string `json:"workspaces,omitempty" ini:"workspaces"`
	Open       bool     `json:"open,omitempty" ini:"open"`
	// Repeatable routes may be retried; others need an idempotency key and run at most once.
	Repeatable bool `json:"repeatable,omitempty" ini:"repeatable"`
	// DedupWindow is how long an outcome is remembered.
	DedupWindow time.Duration `json:"dedup_window,omitempty" ini:"dedup_window"`
	// Timeout bounds one request.
	Timeout time.Duration `json:"timeout,omitempty" ini:"timeout"`
	// CostTokens is charged to the workspace for one request.
	CostTokens int64 `json:"cost_tokens,omitempty" ini:"cost_tokens"`
}

// BackendServer is a model engine, or a server of a plain service.
type BackendServer struct {
	Address    string `json:"address" ini:"address"`
	DataCentre string `json:"data_centre" ini:"data_centre"`
	// Service is the route that a plain service belongs to; it is empty for an engine.
	Service string `json:"service,omitempty" ini:"service"`
	// BaseModel, Slots and Pool concern engines only.
	BaseModel string `json:"base_model,omitempty" ini:"base_model"`
	Slots     int    `json:"slots,omitempty" ini:"slots"`
	Pool      string `json:"pool,omitempty" ini:"pool"`
	// MaxInFlight bounds the requests sent to the server at once by one host.
	MaxInFlight int `json:"max_in_flight,omitempty" ini:"max_in_flight"`
	// ChecksFencing says that the engine refuses orders with an old fencing number.
	ChecksFencing bool `json:"checks_fencing,omitempty" ini:"checks_fencing"`
	// Draining servers get no new work.
	Draining bool `json:"draining,omitempty" ini:"draining"`
}

// Limit is the token bucket of a workspace over all hosts together; it is named after the workspace.
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

// Roster lists the hosts that hold shares and count for majorities.
type Roster struct {
	Members []Member `json:"members"`
	// Previous is the roster before this one; it counts until the roster is settled.
	Previous []Member `json:"previous,omitempty"`
	Settled  bool     `json:"settled"`
}

// Has says whether a host is a member.
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

// Everybody returns members and previous members without duplicates.
func (roster *Roster) Everybody() []Member {
	all := append([]Member(nil), roster.Members...)
	for _, member := range roster.Previous {
		if !hasMember(all, member.Name) {
			all = append(all, member)
		}
	}
	return all
}

// Member returns a member or previous member by its name.
func (roster *Roster) Member(name string) (Member, bool) {
	for _, member := range roster.Everybody() {
		if member.Name == name {
			return member, true
		}
	}
	return Member{}, false
}

// Others returns everybody but one host.
func (roster *Roster) Others(name string) []Member {
	return slices.DeleteFunc(roster.Everybody(), func(member Member) bool { return member.Name == name })
}

// Quorum says whether the hosts are more than half of the members, and of the previous ones until the roster is
// settled.
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
	Epoch       int64  `json:"epoch"`
	// Previous is the host that has to be waited for, or "".
	Previous string `json:"previous,omitempty"`
}
