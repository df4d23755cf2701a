// Package setup parses and validates the settings of a daemon.
package setup

import (
	"fmt"
	"math"
	"net/netip"
	"strings"
	"time"

	"lentilproxy/core/decl"
)

// Defaults of optional settings.
const (
	DefaultMaxBodyBytes = 1 << 20
	DefaultQueueTimeout = 10 * time.Second
	DefaultStopTimeout  = 90 * time.Second
	DefaultMaxTokens    = 256
	DefaultLoadsPerSec  = 3.0
	DefaultParallel     = 2
	DefaultPolicy       = "demand"
	// DefaultRetryRatio, DefaultRetryAllowance and DefaultRetryWindow bound the requests sent to a second server.
	DefaultRetryRatio     = 0.1
	DefaultRetryAllowance = 10.0
	DefaultRetryWindow    = 10 * time.Second
	// DefaultLeaseGap is the minimum time between the orders of two consecutive lease holders to one server.
	DefaultLeaseGap = 3 * time.Second
	// DefaultConfigApply is the time within which a change of the configuration has to be in force.
	DefaultConfigApply = 2 * time.Second
	// DefaultStopGrace is the time from the stop signal until the process must have ended.
	DefaultStopGrace = 8 * time.Second
)

// Host identifies the daemon's host, and states what its process may use.
type Host struct {
	Name       string `ini:"name"`
	DataCentre string `ini:"data_centre"`
	// MemoryLimitMB is the memory that the process may use, in units of 1,000,000 bytes, and DescriptorLimit the number of file
	// descriptors. 0 means that the settings state none.
	MemoryLimitMB   float64 `ini:"memory_limit_mb,optional"`
	DescriptorLimit float64 `ini:"descriptor_limit,optional"`
	// ProcessorShare is the fraction of a processor core that the host has, for each of ProcessorCores. 0 means that the settings state
	// none; ProcessorCores 0 counts as 1.
	ProcessorShare float64 `ini:"processor_share,optional"`
	ProcessorCores float64 `ini:"processor_cores,optional"`
}

// Processor returns the processor cores that the host has, or 0 if the settings do not state it.
func (host Host) Processor() float64 {
	if host.ProcessorCores == 0 {
		return host.ProcessorShare
	}
	return host.ProcessorShare * host.ProcessorCores
}

// Listen holds the addresses to listen on, as IP:port.
type Listen struct {
	Callers   string `ini:"callers"`
	Operators string `ini:"operators"`
	// Ready serves the load balancer's readiness checks and Metrics serves metrics, both on the operators' platform only.
	Ready   string `ini:"ready"`
	Metrics string `ini:"metrics"`
	Peers   string `ini:"peers"`
	// AdvertisePeers is the address at which other daemons reach this one. It defaults to Peers.
	AdvertisePeers string `ini:"advertise_peers"`
}

// Platform holds the addresses of the platform's services.
type Platform struct {
	// Table is the address of the table service, for deployments that operators configure with lentilctl.
	Table string `ini:"table"`
	// Store is the address of the store of the operators' platform, which replaces the table service.
	Store string `ini:"store"`
}

// Bounds holds the limits that operators set for a deployment on their platform. It is logged under its field names.
type Bounds struct {
	// RetryRatio and RetryAllowance bound the requests of one service that are sent to a second server, over all hosts:
	// a fraction RetryRatio of its requests, plus RetryAllowance requests in each RetryWindow.
	RetryRatio     float64       `ini:"retry_ratio"`
	RetryAllowance float64       `ini:"retry_allowance"`
	RetryWindow    time.Duration `ini:"retry_window"`
	// LeaseGap is the minimum time between the orders of two hosts to one server.
	LeaseGap time.Duration `ini:"lease_gap"`
	// StopGrace is the time from the stop signal until the process must have ended.
	StopGrace time.Duration `ini:"stop_grace"`
	// QuotaAllowance is the number of tokens by which a workspace may exceed its limit in a window, over all hosts.
	QuotaAllowance float64 `ini:"quota_allowance"`
	// ColdOverage and ColdAllowance bound the requests that all hosts send to one cold server in any second: the rate that its service
	// tolerates times ColdOverage, plus ColdAllowance. They may be empty; ColdOverage 0 counts as 1.
	ColdOverage   float64 `ini:"cold_overage,optional"`
	ColdAllowance float64 `ini:"cold_allowance,optional"`
	// ConfigApplyMS is the time in milliseconds within which a change of the configuration has to be in force on all hosts; 0 or nothing
	// stands for DefaultConfigApply.
	ConfigApplyMS float64 `ini:"config_apply_ms,optional"`
}

// ConfigApply returns the time within which a change of the configuration has to be in force on all hosts.
func (bounds Bounds) ConfigApply() time.Duration {
	if bounds.ConfigApplyMS <= 0 {
		return DefaultConfigApply
	}
	return time.Duration(bounds.ConfigApplyMS * float64(time.Millisecond))
}

// Admission holds how the deployment admits requests and chooses servers.
type Admission struct {
	// LearnCost makes hosts learn what requests cost, and choose servers by their remaining work.
	LearnCost bool `ini:"learn_cost"`
}

// Weights bounds the adapter loads from the weight store over the whole deployment.
type Weights struct {
	LoadsPerSecond float64 `ini:"loads_per_second"`
	// Parallel is the maximum number of concurrent loads.
	Parallel int `ini:"parallel"`
	// Policy is the placement policy: demand, least_loaded or rendezvous.
	Policy string `ini:"policy"`
}

// Traffic holds the limits of callers' requests.
type Traffic struct {
	MaxBodyBytes int64 `ini:"max_body_bytes"`
	// QueueTimeout is the maximum time that a request waits for an adapter.
	QueueTimeout time.Duration `ini:"queue_timeout"`
	// StopTimeout is the maximum time of a graceful stop.
	StopTimeout time.Duration `ini:"stop_timeout"`
	// DefaultMaxTokens is charged for requests that omit max_tokens.
	DefaultMaxTokens int64 `ini:"default_max_tokens"`
}

// Objective is a service-level objective for a workspace and a class of requests.
type Objective struct {
	Name string
	// Workspace is empty if the objective covers all workspaces.
	Workspace string `ini:"workspace"`
	// Indicator is availability, first_token, token_gap or load_stall.
	Indicator string `ini:"indicator"`
	// Target is the fraction of good events, such as 0.95.
	Target float64 `ini:"target"`
	// Threshold is the maximum latency of a good event.
	Threshold time.Duration `ini:"threshold"`
	// Period is the time that the error budget covers.
	Period time.Duration `ini:"period"`
}

// Settings holds the settings of one daemon.
type Settings struct {
	Host       Host
	Listen     Listen
	Platform   Platform
	Weights    Weights
	Traffic    Traffic
	Bounds     Bounds
	Admission  Admission
	Objectives []Objective
}

// DefaultBounds returns the bounds of a deployment whose settings omit them.
func DefaultBounds() Bounds {
	return Bounds{
		RetryRatio: DefaultRetryRatio, RetryAllowance: DefaultRetryAllowance, RetryWindow: DefaultRetryWindow,
		LeaseGap: DefaultLeaseGap, StopGrace: DefaultStopGrace,
	}
}

// Parse decodes and validates settings. It returns all faults that it finds.
func Parse(file *decl.File) (*Settings, []decl.Fault) {
	settings := &Settings{
		Weights: Weights{LoadsPerSecond: DefaultLoadsPerSec, Parallel: DefaultParallel, Policy: DefaultPolicy},
		Traffic: Traffic{
			MaxBodyBytes: DefaultMaxBodyBytes, QueueTimeout: DefaultQueueTimeout,
			StopTimeout: DefaultStopTimeout, DefaultMaxTokens: DefaultMaxTokens,
		},
		Bounds: DefaultBounds(),
	}
	parser := &parser{settings: settings, seen: map[string]*decl.Section{}}
	for _, section := range file.Sections() {
		parser.parseSection(section)
	}
	for _, name := range []string{"host", "listen", "platform"} {
		if parser.seen[name] == nil {
			parser.faults = append(parser.faults, decl.NewFault(file.Name(), 0, "", fmt.Sprintf("section [%s] is missing", name)))
		}
	}
	return settings, parser.faults
}

type parser struct {
	settings *Settings
	seen     map[string]*decl.Section
	faults   []decl.Fault
}

func (parser *parser) parseSection(section *decl.Section) {
	parser.seen[section.Kind()] = section
	settings := parser.settings
	switch section.Kind() {
	case "host":
		parser.decode(section, &settings.Host)
		parser.require(section, "name", settings.Host.Name)
		parser.require(section, "data_centre", settings.Host.DataCentre)
		parser.requireNotNegative(section, "memory_limit_mb", settings.Host.MemoryLimitMB)
		parser.requireNotNegative(section, "descriptor_limit", settings.Host.DescriptorLimit)
		parser.requireNotNegative(section, "processor_share", settings.Host.ProcessorShare)
		parser.requireNotNegative(section, "processor_cores", settings.Host.ProcessorCores)
	case "listen":
		parser.decode(section, &settings.Listen)
		parser.checkListen(section)
	case "platform":
		parser.decode(section, &settings.Platform)
		parser.checkPlatform(section)
	case "weights":
		parser.decode(section, &settings.Weights)
		parser.checkWeights(section)
	case "traffic":
		parser.decode(section, &settings.Traffic)
		parser.requirePositive(section, "max_body_bytes", settings.Traffic.MaxBodyBytes)
		parser.requirePositive(section, "queue_timeout", int64(settings.Traffic.QueueTimeout))
		parser.requirePositive(section, "stop_timeout", int64(settings.Traffic.StopTimeout))
		parser.requirePositive(section, "default_max_tokens", settings.Traffic.DefaultMaxTokens)
	case "bounds":
		parser.decode(section, &settings.Bounds)
		parser.checkBounds(section)
	case "admission":
		parser.decode(section, &settings.Admission)
	case "objective":
		parser.parseObjective(section)
	default:
		parser.report(section, "", fmt.Sprintf("unknown section [%s]", section.Kind()))
	}
}

func (parser *parser) decode(section *decl.Section, target any) {
	if section.Name() != "" && section.Kind() != "objective" {
		parser.report(section, "", "this section takes no name")
	}
	parser.faults = append(parser.faults, section.Decode(target)...)
}

func (parser *parser) report(section *decl.Section, key, message string) {
	parser.faults = append(parser.faults, section.Fault(key, message))
}

func (parser *parser) require(section *decl.Section, key, content string) {
	if content == "" {
		parser.report(section, key, key+" is missing")
	}
}

func (parser *parser) requirePositive(section *decl.Section, key string, number int64) {
	if number <= 0 {
		parser.report(section, key, key+" must be positive")
	}
}

func (parser *parser) requireNotNegative(section *decl.Section, key string, number float64) {
	if !(number >= 0) || math.IsInf(number, 1) {
		parser.report(section, key, key+" must not be negative")
	}
}

func (parser *parser) requireAddress(section *decl.Section, key, content string) {
	if _, err := netip.ParseAddrPort(content); err != nil {
		parser.report(section, key, fmt.Sprintf("%s: %q is not IP:port", key, content))
	}
}

// checkPlatform checks that exactly one of store and table is set.
func (parser *parser) checkPlatform(section *decl.Section) {
	platform := parser.settings.Platform
	switch {
	case platform.Table != "" && platform.Store != "":
		parser.report(section, "store", "store and table are mutually exclusive")
	case platform.Store != "":
		parser.requireAddress(section, "store", platform.Store)
	default:
		parser.requireAddress(section, "table", platform.Table)
	}
}

func (parser *parser) checkBounds(section *decl.Section) {
	bounds := &parser.settings.Bounds
	if bounds.RetryRatio < 0 || bounds.RetryRatio > 1 {
		parser.report(section, "retry_ratio", "retry_ratio must be between 0 and 1")
	}
	for _, entry := range []struct {
		key    string
		number float64
	}{
		{"retry_allowance", bounds.RetryAllowance},
		{"quota_allowance", bounds.QuotaAllowance},
		{"cold_overage", bounds.ColdOverage},
		{"cold_allowance", bounds.ColdAllowance},
		{"config_apply_ms", bounds.ConfigApplyMS},
	} {
		if entry.number < 0 {
			parser.report(section, entry.key, entry.key+" must not be negative")
		}
	}
	parser.requirePositive(section, "retry_window", int64(bounds.RetryWindow))
	parser.requirePositive(section, "lease_gap", int64(bounds.LeaseGap))
	parser.requirePositive(section, "stop_grace", int64(bounds.StopGrace))
}

func (parser *parser) checkListen(section *decl.Section) {
	listen := &parser.settings.Listen
	used := map[string]string{}
	entries := []struct{ key, content string }{{"callers", listen.Callers}, {"operators", listen.Operators}, {"peers", listen.Peers}}
	if listen.Ready != "" || listen.Metrics != "" {
		entries = []struct{ key, content string }{
			{"callers", listen.Callers}, {"ready", listen.Ready}, {"peers", listen.Peers}, {"metrics", listen.Metrics},
		}
	}
	for _, entry := range entries {
		parser.requireAddress(section, entry.key, entry.content)
		// With port 0 the system chooses a free port, so such an address may appear more than once.
		if first, duplicate := used[entry.content]; duplicate && entry.content != "" && !strings.HasSuffix(entry.content, ":0") {
			parser.report(section, entry.key, fmt.Sprintf("%s is the same address as %s", entry.key, first))
		}
		used[entry.content] = entry.key
	}
	if listen.AdvertisePeers == "" {
		listen.AdvertisePeers = listen.Peers
		return
	}
	parser.requireAddress(section, "advertise_peers", listen.AdvertisePeers)
}

func (parser *parser) checkWeights(section *decl.Section) {
	weights := parser.settings.Weights
	if weights.LoadsPerSecond <= 0 {
		parser.report(section, "loads_per_second", "loads_per_second must be positive")
	}
	parser.requirePositive(section, "parallel", int64(weights.Parallel))
	switch weights.Policy {
	case "demand", "least_loaded", "rendezvous":
	default:
		parser.report(section, "policy", fmt.Sprintf("policy %q is none of demand, least_loaded, rendezvous", weights.Policy))
	}
}

func (parser *parser) parseObjective(section *decl.Section) {
	objective := Objective{Name: section.Name(), Period: 30 * 24 * time.Hour}
	parser.decode(section, &objective)
	parser.require(section, "name", objective.Name)
	switch objective.Indicator {
	case "availability":
	case "first_token", "token_gap", "load_stall":
		parser.requirePositive(section, "threshold", int64(objective.Threshold))
	default:
		parser.report(section, "indicator", fmt.Sprintf("indicator %q is none of availability, first_token, token_gap, load_stall", objective.Indicator))
	}
	if objective.Target <= 0 || objective.Target >= 1 {
		parser.report(section, "target", "target must be between 0 and 1")
	}
	parser.requirePositive(section, "period", int64(objective.Period))
	parser.settings.Objectives = append(parser.settings.Objectives, objective)
}
