package conf

import (
	"maps"
	"sort"
)

// Change is one revision of the configuration.
type Change struct {
	Revision int64 `json:"revision"`
	// Token is the idempotency token of the request that made the change.
	Token   string     `json:"token"`
	Puts    []Resource `json:"puts,omitempty"`
	Deletes []Ref      `json:"deletes,omitempty"`
}

// Complete reports whether every resource that the change puts is complete.
func (change Change) Complete() bool {
	for index := range change.Puts {
		if !change.Puts[index].Complete() {
			return false
		}
	}
	return true
}

// State is the immutable configuration at one revision.
type State struct {
	revision int64
	kinds    map[Kind]map[string]*Resource
}

// NewState returns an empty configuration at revision 0.
func NewState() *State {
	return &State{kinds: map[Kind]map[string]*Resource{}}
}

// LoadState returns the configuration that consists of the resources, at the given revision.
func LoadState(revision int64, resources []Resource) *State {
	state := NewState()
	state.revision = revision
	for index := range resources {
		resource := &resources[index]
		state.table(resource.Kind)[resource.Name] = resource
	}
	return state
}

func (state *State) table(kind Kind) map[string]*Resource {
	if state.kinds[kind] == nil {
		state.kinds[kind] = map[string]*Resource{}
	}
	return state.kinds[kind]
}

// Revision returns the revision of the state.
func (state *State) Revision() int64 { return state.revision }

// Apply returns the state after the changes. It skips changes that are not newer than the state.
func (state *State) Apply(changes ...Change) *State {
	next := &State{revision: state.revision, kinds: maps.Clone(state.kinds)}
	cloned := map[Kind]bool{}
	writable := func(kind Kind) map[string]*Resource {
		if !cloned[kind] {
			next.kinds[kind] = maps.Clone(next.table(kind))
			cloned[kind] = true
		}
		return next.kinds[kind]
	}
	for _, change := range changes {
		if change.Revision <= next.revision {
			continue
		}
		for index := range change.Puts {
			resource := change.Puts[index]
			writable(resource.Kind)[resource.Name] = &resource
		}
		for _, ref := range change.Deletes {
			delete(writable(ref.Kind), ref.Name)
		}
		next.revision = change.Revision
	}
	return next
}

// Get returns a resource, or nil.
func (state *State) Get(ref Ref) *Resource { return state.kinds[ref.Kind][ref.Name] }

// Count returns the number of resources of a kind.
func (state *State) Count(kind Kind) int { return len(state.kinds[kind]) }

// List returns the resources of a kind, sorted by name.
func (state *State) List(kind Kind) []*Resource {
	list := make([]*Resource, 0, len(state.kinds[kind]))
	for _, resource := range state.kinds[kind] {
		list = append(list, resource)
	}
	sort.Slice(list, func(left, right int) bool { return list[left].Name < list[right].Name })
	return list
}

// Workspace returns a workspace, or nil.
func (state *State) Workspace(name string) *Workspace {
	if resource := state.Get(Ref{KindWorkspace, name}); resource != nil {
		return resource.Workspace
	}
	return nil
}

// Key returns a key by its identifier, or nil.
func (state *State) Key(name string) *Key {
	if resource := state.Get(Ref{KindKey, name}); resource != nil {
		return resource.APIKey
	}
	return nil
}

// Adapter returns an adapter by workspace/adapter, or nil.
func (state *State) Adapter(name string) *Adapter {
	if resource := state.Get(Ref{KindAdapter, name}); resource != nil {
		return resource.Adapter
	}
	return nil
}

// Version returns a version by workspace/adapter@version, or nil.
func (state *State) Version(name string) *Version {
	if resource := state.Get(Ref{KindVersion, name}); resource != nil {
		return resource.Version
	}
	return nil
}

// Route returns a route, or nil.
func (state *State) Route(name string) *Route {
	if resource := state.Get(Ref{KindRoute, name}); resource != nil {
		return resource.Route
	}
	return nil
}

// Limit returns the limit of a workspace, or nil.
func (state *State) Limit(workspace string) *Limit {
	if resource := state.Get(Ref{KindLimit, workspace}); resource != nil {
		return resource.Limit
	}
	return nil
}

// Owner returns the owner of a pool, or the zero value if there is none.
func (state *State) Owner(pool string) Owner {
	if resource := state.Get(Ref{KindOwner, pool}); resource != nil {
		return *resource.Owner
	}
	return Owner{}
}

// Roster returns the roster. It is empty and settled before the first host joins.
func (state *State) Roster() *Roster {
	if resource := state.Get(Ref{KindRoster, RosterName}); resource != nil {
		return resource.Roster
	}
	return &Roster{Settled: true}
}

// Engines returns the backend servers that run models, sorted by name.
func (state *State) Engines() []*Resource {
	return state.servers(func(server *BackendServer) bool { return server.Service == "" })
}

// ServiceServers returns the backend servers of a plain service, sorted by name.
func (state *State) ServiceServers(service string) []*Resource {
	return state.servers(func(server *BackendServer) bool { return server.Service == service })
}

// Draining reports whether a backend server gets no new work, since it or its data centre drains.
func (state *State) Draining(server *BackendServer) bool {
	if server.Draining {
		return true
	}
	resource := state.Get(Ref{KindDataCentre, server.DataCentre})
	return resource != nil && resource.DataCentre.Draining
}

// HasDataCentre reports whether a backend server is in a data centre.
func (state *State) HasDataCentre(name string) bool {
	return len(state.servers(func(server *BackendServer) bool { return server.DataCentre == name })) > 0
}

func (state *State) servers(wanted func(*BackendServer) bool) []*Resource {
	var servers []*Resource
	for _, resource := range state.List(KindBackendServer) {
		if wanted(resource.BackendServer) {
			servers = append(servers, resource)
		}
	}
	return servers
}
