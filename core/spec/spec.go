// Package spec holds what operators and backend servers declare, decoded into the project's own types: routes,
// services, workspaces, limits, registered servers and adapter versions.
package spec

import (
	"crypto/sha256"
	"sort"
	"strings"
	"time"
)

// Kind says what may happen to a request of a route more than once.
type Kind int

// The kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota
	// NonIdempotent requests run at most once.
	NonIdempotent
	// Streaming requests are answered by a series of events, and run at most once unless they may be resumed.
	Streaming
)

// Target is a service that a route leads to, with its relative weight.
type Target struct {
	Service string
	Weight  int
}

// Route leads requests of a host and path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout bounds the time until the end of an answer.
	Timeout time.Duration
	// Objective is the latency that callers expect, to the first event of a stream.
	Objective time.Duration
	// GapObjective is the longest pause between events that callers expect of a stream.
	GapObjective time.Duration
	MaxAttempts  int
	// Priority is 0 for the most urgent requests.
	Priority int
	// Open routes need no key.
	Open bool
	// Resumable streams may go on at another server.
	Resumable bool
	Targets   []Target
}

// Repeatable says whether a request may be sent again after it may have run.
func (route *Route) Repeatable() bool { return route.Kind == Idempotent }

const (
	// minPatience, objectivePatience and gapPatience say when callers abandon a stream without an event: after the longest
	// of two seconds, four objectives and eight pauses.
	minPatience       = 2 * time.Second
	objectivePatience = 4
	gapPatience       = 8
)

// Patience returns how long callers wait for the first event of a stream, or for the whole of another answer.
func (route *Route) Patience() time.Duration {
	if route.Kind != Streaming {
		return route.Timeout
	}
	return min(route.Timeout, max(minPatience, objectivePatience*route.Objective, gapPatience*route.GapObjective))
}

// Model is a base model with its adapters.
type Model struct {
	Name      string
	WeightsMB float64
	AdapterMB float64
	LoadTime  time.Duration
}

// Engine describes the servers of a service that run models.
type Engine struct {
	Slots int
	// CacheTokens is the memory of one server for prompts and generated tokens.
	CacheTokens int64
	// WeightsMB is the memory of one server for weights and adapters.
	WeightsMB float64
	// AdapterCapacity is the number of adapters that one server may hold.
	AdapterCapacity int
	// LoadsPerSecond bounds the loads of base models from the weight store over all servers.
	LoadsPerSecond float64
	Models         map[string]Model
}

// Places returns the number of adapters of a model that fit into one server beside the model.
func (engine *Engine) Places(model string) int {
	known := engine.Models[model]
	places := engine.AdapterCapacity
	if known.AdapterMB > 0 {
		places = min(places, int((engine.WeightsMB-known.WeightsMB)/known.AdapterMB))
	}
	return max(0, places)
}

// Service is a set of servers that run the same requests.
type Service struct {
	Name string
	// ConnectionLimit bounds the connections to one server from all hosts.
	ConnectionLimit int
	// Engine is nil for plain services.
	Engine *Engine
}

// Workspace is a tenant.
type Workspace struct {
	Name string
	// Priority goes before the priority of the route if it is set.
	Priority    int
	HasPriority bool
	// Rate is in tokens per second, or in requests if the workspace is not metered by tokens; 0 stands for no limit.
	Rate  float64
	Burst float64
	// Metered workspaces are charged by tokens.
	Metered bool
	// DefaultTokens is charged for requests that do not say their size.
	DefaultTokens float64
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// KeyHash is the SHA-256 digest of an API key.
type KeyHash [sha256.Size]byte

// HashKey returns the digest of a presented key.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// Config is one version of the operators' configuration. It is immutable.
type Config struct {
	version    int64
	routes     map[string][]Route
	services   map[string]Service
	workspaces map[string]Workspace
	keys       map[KeyHash]string
	limits     Limits
}

// Resources are the parts of a configuration.
type Resources struct {
	Version    int64
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	// Keys maps digests of API keys to workspaces.
	Keys   map[KeyHash]string
	Limits Limits
}

// NewConfig returns the configuration of the given resources.
func NewConfig(resources Resources) *Config {
	config := &Config{
		version: resources.Version, routes: map[string][]Route{}, services: map[string]Service{},
		workspaces: map[string]Workspace{}, keys: resources.Keys, limits: resources.Limits,
	}
	for _, route := range resources.Routes {
		config.routes[route.Host] = append(config.routes[route.Host], route)
	}
	for _, routes := range config.routes {
		// The first match of a host's routes is then the longest one.
		sort.SliceStable(routes, func(left, right int) bool { return len(routes[left].Prefix) > len(routes[right].Prefix) })
	}
	for _, service := range resources.Services {
		config.services[service.Name] = service
	}
	for _, workspace := range resources.Workspaces {
		config.workspaces[workspace.Name] = workspace
	}
	return config
}

// Version returns the version of the configuration; 0 stands for none.
func (config *Config) Version() int64 { return config.version }

// Limits returns the bounds on callers' requests.
func (config *Config) Limits() Limits { return config.limits }

// Match returns the route with the longest prefix of a path at a host, or nil.
func (config *Config) Match(host, path string) *Route {
	if name, _, found := strings.Cut(host, ":"); found {
		host = name
	}
	routes := config.routes[strings.ToLower(host)]
	for index := range routes {
		if strings.HasPrefix(path, routes[index].Prefix) {
			return &routes[index]
		}
	}
	return nil
}

// Service returns a service.
func (config *Config) Service(name string) (Service, bool) {
	service, found := config.services[name]
	return service, found
}

// Workspaces returns all workspaces by name.
func (config *Config) Workspaces() map[string]Workspace { return config.workspaces }

// Keyed says whether the configuration has workspaces, so that closed routes need a key.
func (config *Config) Keyed() bool { return len(config.workspaces) > 0 }

// Owner returns the workspace that holds a presented key.
func (config *Config) Owner(key string) (Workspace, bool) {
	if key == "" {
		return Workspace{}, false
	}
	name, found := config.keys[HashKey(key)]
	if !found {
		return Workspace{}, false
	}
	workspace, found := config.workspaces[name]
	return workspace, found
}
