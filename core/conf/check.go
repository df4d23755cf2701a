package conf

import (
	"fmt"
	"net/netip"
	"regexp"
	"strings"
)

// MaxNameBytes bounds the name of a resource.
const MaxNameBytes = 200

var (
	plainName   = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]*$`)
	adapterName = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]*/[a-z0-9][a-z0-9._-]*$`)
	versionName = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]*/[a-z0-9][a-z0-9._-]*@[a-z0-9][a-z0-9._-]*$`)
)

// Problem is a reason to reject a change.
type Problem struct {
	ref     Ref
	field   string
	message string
}

// Ref returns the reference of the invalid resource.
func (problem Problem) Ref() Ref { return problem.ref }

// Field returns the name of the invalid field, or "" if the problem concerns the whole resource.
func (problem Problem) Field() string { return problem.field }

// Message returns the description of the problem.
func (problem Problem) Message() string { return problem.message }

// String formats the problem as kind/name: message.
func (problem Problem) String() string { return fmt.Sprintf("%s: %s", problem.ref, problem.message) }

// Check returns the problems that a change causes, where next is the state after the change.
func Check(next *State, change Change) []Problem {
	var problems []Problem
	for index := range change.Puts {
		resource := &change.Puts[index]
		problems = append(problems, checkResource(next, resource)...)
	}
	for _, ref := range change.Deletes {
		problems = append(problems, checkDelete(next, ref)...)
	}
	return problems
}

func checkResource(next *State, resource *Resource) []Problem {
	var problems []Problem
	report := func(field, format string, args ...any) {
		problems = append(problems, Problem{ref: resource.Ref(), field: field, message: fmt.Sprintf(format, args...)})
	}
	if !resource.Complete() {
		report("", "the resource must have the fields of its kind, and no others")
		return problems
	}
	if !validName(resource) {
		report("", "the name must be %s, of at most %d bytes", nameFormat(resource.Kind), MaxNameBytes)
		return problems
	}
	switch resource.Kind {
	case KindWorkspace:
		checkWorkspace(resource.Workspace, report)
	case KindKey:
		checkKey(next, resource.APIKey, report)
	case KindAdapter:
		checkAdapter(next, resource, report)
	case KindVersion:
		checkVersion(next, resource, report)
	case KindRoute:
		checkRoute(next, resource.Route, report)
	case KindBackendServer:
		checkServer(next, resource.BackendServer, report)
	case KindLimit:
		checkLimit(next, resource, report)
	case KindDataCentre, KindRoster, KindOwner:
	default:
		report("", "unknown kind %q", resource.Kind)
	}
	return problems
}

type reporter func(field, format string, args ...any)

func validName(resource *Resource) bool {
	if len(resource.Name) > MaxNameBytes {
		return false
	}
	switch resource.Kind {
	case KindAdapter:
		return adapterName.MatchString(resource.Name)
	case KindVersion:
		return versionName.MatchString(resource.Name)
	default:
		return plainName.MatchString(resource.Name)
	}
}

func nameFormat(kind Kind) string {
	switch kind {
	case KindAdapter:
		return "workspace/adapter"
	case KindVersion:
		return "workspace/adapter@version"
	default:
		return "lower-case letters, digits and . _ -"
	}
}

func checkWorkspace(workspace *Workspace, report reporter) {
	if workspace == nil {
		report("", "workspace is missing")
	} else if workspace.Weight < 1 {
		report("weight", "weight must be at least 1")
	}
}

func checkKey(next *State, key *Key, report reporter) {
	if key == nil {
		report("", "key is missing")
		return
	}
	if next.Workspace(key.Workspace) == nil {
		report("workspace", "workspace %q does not exist", key.Workspace)
	}
	if len(key.Hash) != 64 {
		report("hash", "hash must be a SHA-256 digest of 64 hexadecimal digits")
	}
}

func checkAdapter(next *State, resource *Resource, report reporter) {
	adapter := resource.Adapter
	if adapter == nil {
		report("", "adapter is missing")
		return
	}
	workspace, _, _ := strings.Cut(resource.Name, "/")
	if next.Workspace(workspace) == nil {
		report("", "workspace %q does not exist", workspace)
	}
	if adapter.BaseModel == "" {
		report("base_model", "base_model is missing")
	}
	if next.Version(resource.Name+"@"+adapter.DefaultVersion) == nil {
		report("default_version", "version %q does not exist", resource.Name+"@"+adapter.DefaultVersion)
	}
}

func checkVersion(next *State, resource *Resource, report reporter) {
	if resource.Version == nil {
		report("", "version is missing")
		return
	}
	adapter, _, _ := strings.Cut(resource.Name, "@")
	if next.Adapter(adapter) == nil {
		report("", "adapter %q does not exist", adapter)
	}
	if resource.Version.Source == "" {
		report("source", "source is missing")
	}
}

func checkRoute(next *State, route *Route, report reporter) {
	if route == nil {
		report("", "route is missing")
		return
	}
	if !route.Open && len(route.Workspaces) == 0 {
		report("workspaces", "a route needs workspaces, or open = true")
	}
	for _, workspace := range route.Workspaces {
		if next.Workspace(workspace) == nil {
			report("workspaces", "workspace %q does not exist", workspace)
		}
	}
	if !route.Repeatable && route.DedupWindow <= 0 {
		report("dedup_window", "a route that is not repeatable needs dedup_window")
	}
	if route.CostTokens < 0 {
		report("cost_tokens", "cost_tokens must not be negative")
	}
}

func checkServer(next *State, server *BackendServer, report reporter) {
	if server == nil {
		report("", "backend_server is missing")
		return
	}
	if _, err := netip.ParseAddrPort(server.Address); err != nil {
		report("address", "address %q is not IP:port", server.Address)
	}
	if server.DataCentre == "" {
		report("data_centre", "data_centre is missing")
	}
	if server.Service != "" {
		if next.Route(server.Service) == nil {
			report("service", "route %q does not exist", server.Service)
		}
		return
	}
	if server.Slots < 1 {
		report("slots", "an engine needs at least 1 slot")
	}
	if server.BaseModel == "" {
		report("base_model", "an engine needs base_model")
	}
}

func checkLimit(next *State, resource *Resource, report reporter) {
	limit := resource.Limit
	if limit == nil {
		report("", "limit is missing")
		return
	}
	if next.Workspace(resource.Name) == nil {
		report("", "workspace %q does not exist", resource.Name)
	}
	if limit.RateTokensPerSecond <= 0 {
		report("rate_tokens_per_second", "rate_tokens_per_second must be positive")
	}
	if limit.BurstTokens <= 0 {
		report("burst_tokens", "burst_tokens must be positive")
	}
}

func checkDelete(next *State, ref Ref) []Problem {
	var problems []Problem
	report := func(dependent Ref) {
		problems = append(problems, Problem{ref: ref, message: fmt.Sprintf("is in use by %s", dependent)})
	}
	for _, kind := range OperatorKinds {
		for _, resource := range next.kinds[kind] {
			if uses(resource, ref) {
				report(resource.Ref())
				return problems
			}
		}
	}
	return problems
}

func uses(resource *Resource, ref Ref) bool {
	switch ref.Kind {
	case KindWorkspace:
		return usesWorkspace(resource, ref.Name)
	case KindAdapter:
		return resource.Kind == KindVersion && strings.HasPrefix(resource.Name, ref.Name+"@")
	case KindVersion:
		return resource.Kind == KindAdapter && resource.Name+"@"+resource.Adapter.DefaultVersion == ref.Name
	case KindRoute:
		return resource.Kind == KindBackendServer && resource.BackendServer.Service == ref.Name
	default:
		return false
	}
}

func usesWorkspace(resource *Resource, workspace string) bool {
	switch resource.Kind {
	case KindKey:
		return resource.APIKey.Workspace == workspace
	case KindAdapter:
		return strings.HasPrefix(resource.Name, workspace+"/")
	case KindLimit:
		return resource.Name == workspace
	case KindRoute:
		for _, name := range resource.Route.Workspaces {
			if name == workspace {
				return true
			}
		}
	default:
	}
	return false
}
