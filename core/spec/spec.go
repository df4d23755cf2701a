// Package spec defines the resources that operators and backend servers declare: routes, services, workspaces, limits,
// registered servers and adapter versions.
package spec

import (
	"crypto/sha256"
	"sort"
	"strings"
	"time"
)

// Kind determines how often requests of a route may run and how servers respond to them.
type Kind int

// The kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota
	// NonIdempotent requests run at most once.
	NonIdempotent
	// Streaming requests get a series of events as response, and run at most once unless the route is resumable.
	Streaming
)

// Target is a service that receives requests of a route, with its relative weight.
type Target struct {
	Service string
	Weight  int
}

// Route forwards requests for an HTTP host and path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout bounds the time until the end of a response.
	Timeout time.Duration
	// Objective is the latency objective; for streams, it applies to the first event.
	Objective time.Duration
	// GapObjective is the objective for the longest pause between events of a stream.
	GapObjective time.Duration
	MaxAttempts  int
	// Priority is 0 for the most urgent requests.
	Priority int
	// Open routes need no API key.
	Open bool
	// Resumable streams may continue on another server.
	Resumable bool
	Targets   []Target
}

// Repeatable reports whether a request that may have run may be sent again.
func (route *Route) Repeatable() bool { return route.Kind == Idempotent }

const (
	// minFirstEventTimeout, objectiveTimeoutFactor and gapTimeoutFactor define when callers abandon a stream without an
	// event: after the longest of two seconds, four times the latency objective and eight times the gap objective.
	minFirstEventTimeout   = 2 * time.Second
	objectiveTimeoutFactor = 4
	gapTimeoutFactor       = 8
)

// FirstEventTimeout returns how long callers wait for the first event of a stream, or for a complete response that is
// not a stream.
func (route *Route) FirstEventTimeout() time.Duration {
	if route.Kind != Streaming {
		return route.Timeout
	}
	return min(route.Timeout, max(minFirstEventTimeout, objectiveTimeoutFactor*route.Objective, gapTimeoutFactor*route.GapObjective))
}

// Model is a base model with its adapters.
type Model struct {
	Name      string
	WeightsMB float64
	AdapterMB float64
	LoadTime  time.Duration
}

// Engine describes the servers of a service that runs models.
type Engine struct {
	Slots int
	// CacheTokens is one server's memory for prompts and generated tokens, in tokens.
	CacheTokens int64
	// WeightsMB is one server's memory for model weights and adapters.
	WeightsMB float64
	// AdapterCapacity is the number of adapters that one server may load.
	AdapterCapacity int
	// LoadsPerSecond bounds the rate at which all servers together load base models from the weight store.
	LoadsPerSecond float64
	Models         map[string]Model
}

// AdapterCapacityFor returns the number of adapters that fit on one server in addition to their model.
func (engine *Engine) AdapterCapacityFor(name string) int {
	model := engine.Models[name]
	capacity := engine.AdapterCapacity
	if model.AdapterMB > 0 {
		capacity = min(capacity, int((engine.WeightsMB-model.WeightsMB)/model.AdapterMB))
	}
	return max(0, capacity)
}

// Service is a set of interchangeable servers.
type Service struct {
	Name string
	// ConnectionLimit bounds the connections to one server from all hosts.
	ConnectionLimit int
	// Engine is nil for services that run no models.
	Engine *Engine
	// ColdStart is the time for which a server that has started is cold, and ColdRate the number of requests per second that it
	// tolerates meanwhile; 0 means no limit.
	ColdStart time.Duration
	ColdRate  float64
}

// Workspace is a group of callers with common API keys, priority and rate limit.
type Workspace struct {
	Name string
	// Priority overrides the priority of the route if HasPriority is set.
	Priority    int
	HasPriority bool
	// Rate is in tokens per second, or in requests if the workspace is not metered by tokens; 0 means no limit.
	Rate  float64
	Burst float64
	// Metered workspaces are charged by tokens.
	Metered bool
	// DefaultTokens is charged for requests that do not declare their size.
	DefaultTokens float64
}

// Limits bound the size and duration of callers' requests.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// KeyHash is the SHA-256 digest of an API key.
type KeyHash [sha256.Size]byte

// HashKey returns the digest of an API key.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// Config is one immutable version of the operators' configuration.
type Config struct {
	version    int64
	routes     map[string][]Route
	services   map[string]Service
	workspaces map[string]Workspace
	keys       map[KeyHash]string
	limits     Limits
	// gapObjectives maps services to the shortest gap objective of the routes to them.
	gapObjectives map[string]time.Duration
}

// Resources are the resources that make up a configuration.
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
		gapObjectives: map[string]time.Duration{},
	}
	for _, route := range resources.Routes {
		config.routes[route.Host] = append(config.routes[route.Host], route)
		for _, target := range route.Targets {
			if shortest, found := config.gapObjectives[target.Service]; route.GapObjective > 0 && (!found || route.GapObjective < shortest) {
				config.gapObjectives[target.Service] = route.GapObjective
			}
		}
	}
	for _, routes := range config.routes {
		// Match returns the first match, which has to be the longest prefix.
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

// Version returns the version of the configuration; 0 means none.
func (config *Config) Version() int64 { return config.version }

// Limits returns the bounds on callers' requests.
func (config *Config) Limits() Limits { return config.limits }

// Match returns the route of an HTTP host with the longest prefix of the path, or nil.
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

// Service returns the service with a name.
func (config *Config) Service(name string) (Service, bool) {
	service, found := config.services[name]
	return service, found
}

// GapObjective returns the shortest gap objective of the routes to a service, or 0 if there is none.
func (config *Config) GapObjective(service string) time.Duration {
	return config.gapObjectives[service]
}

// Workspaces returns all workspaces by name.
func (config *Config) Workspaces() map[string]Workspace { return config.workspaces }

// RequiresKeys reports whether routes that are not open need a key, which is the case if there are workspaces.
func (config *Config) RequiresKeys() bool { return len(config.workspaces) > 0 }

// WorkspaceByKey returns the workspace that a presented API key belongs to.
func (config *Config) WorkspaceByKey(key string) (Workspace, bool) {
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
