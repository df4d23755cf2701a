// Package setup holds a daemon's settings and their checks.
package setup

import (
	"fmt"
	"net/netip"
	"strings"
	"time"

	"lentilproxy/core/decl"
)

// Defaults of settings that may be left out.
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
	// DefaultLeaseGap is the time between the orders of two holders of a server.
	DefaultLeaseGap = 3 * time.Second
	// DefaultStopGrace is how long a process has from the signal to its end.
	DefaultStopGrace = 8 * time.Second
)

// Host names the daemon's host.
type Host struct {
	Name       string `ini:"name"`
	DataCentre string `ini:"data_centre"`
}

// Listen holds the addresses to listen on, as IP:port.
type Listen struct {
	Callers   string `ini:"callers"`
	Operators string `ini:"operators"`
	// Ready and Metrics are for the balancer's questions and for metrics, on the operators' platform only.
	Ready   string `ini:"ready"`
	Metrics string `ini:"metrics"`
	Peers   string `ini:"peers"`
	// AdvertisePeers is the address that other daemons use, if it differs from Peers.
	AdvertisePeers string `ini:"advertise_peers"`
}

// Platform holds the addresses of the platform's services.
type Platform struct {
	// Table is the table service of a deployment that is declared by lentilctl.
	Table string `ini:"table"`
	// Store is the store of the operators' platform, which takes the place of the table service.
	Store string `ini:"store"`
}

// Bounds are figures that operators set for a deployment on their platform.
type Bounds struct {
	// RetryRatio and RetryAllowance bound the requests of one service that are sent to a second server, as a part of its
	// requests and as a number in each RetryWindow, over all hosts.
	RetryRatio     float64       `ini:"retry_ratio"`
	RetryAllowance float64       `ini:"retry_allowance"`
	RetryWindow    time.Duration `ini:"retry_window"`
	// LeaseGap is the least time between the orders of two hosts to one server.
	LeaseGap time.Duration `ini:"lease_gap"`
	// StopGrace is how long a process has from the signal to its end.
	StopGrace time.Duration `ini:"stop_grace"`
	// QuotaAllowance is the number of tokens by which a workspace may exceed its limit in a window, over all hosts.
	QuotaAllowance float64 `ini:"quota_allowance"`
}

// Weights bounds the loads from the weight store over the whole deployment.
type Weights struct {
	LoadsPerSecond float64 `ini:"loads_per_second"`
	Parallel       int     `ini:"parallel"`
	// Policy is demand, least_loaded or rendezvous.
	Policy string `ini:"policy"`
}

// Traffic bounds callers' requests.
type Traffic struct {
	MaxBodyBytes int64 `ini:"max_body_bytes"`
	// QueueTimeout bounds the wait for an adapter.
	QueueTimeout time.Duration `ini:"queue_timeout"`
	// StopTimeout bounds a planned stop.
	StopTimeout time.Duration `ini:"stop_timeout"`
	// DefaultMaxTokens is charged for requests that do not say max_tokens.
	DefaultMaxTokens int64 `ini:"default_max_tokens"`
}

// Objective is a service-level objective for a workspace and a class of requests.
type Objective struct {
	Name string
	// Workspace is empty for all workspaces.
	Workspace string `ini:"workspace"`
	// Indicator is availability, first_token, token_gap or load_stall.
	Indicator string `ini:"indicator"`
	// Target is the fraction of good events, such as 0.95.
	Target float64 `ini:"target"`
	// Threshold is the greatest good latency.
	Threshold time.Duration `ini:"threshold"`
	// Period is the time that the error budget is for.
	Period time.Duration `ini:"period"`
}

// Settings are the checked settings of one daemon.
type Settings struct {
	Host       Host
	Listen     Listen
	Platform   Platform
	Weights    Weights
	Traffic    Traffic
	Bounds     Bounds
	Objectives []Objective
}

// DefaultBounds returns the bounds of a deployment that declares none.
func DefaultBounds() Bounds {
	return Bounds{
		RetryRatio: DefaultRetryRatio, RetryAllowance: DefaultRetryAllowance, RetryWindow: DefaultRetryWindow,
		LeaseGap: DefaultLeaseGap, StopGrace: DefaultStopGrace,
	}
}

// Parse reads and checks settings. It returns every fault that it finds.
func Parse(file *decl.File) (*Settings, []decl.Fault) {
	settings := &Settings{
		Weights: Weights{LoadsPerSecond: DefaultLoadsPerSec, Parallel: DefaultParallel, Policy: DefaultPolicy},
		Traffic: Traffic{
			MaxBodyBytes: DefaultMaxBodyBytes, QueueTimeout: DefaultQueueTimeout,
			StopTimeout: DefaultStopTimeout, DefaultMaxTokens: DefaultMaxTokens,
		},
		Bounds: DefaultBounds(),
	}
	reader := &reader{settings: settings, seen: map[string]*decl.Section{}}
	for _, section := range file.Sections() {
		reader.section(section)
	}
	for _, name := range []string{"host", "listen", "platform"} {
		if reader.seen[name] == nil {
			reader.faults = append(reader.faults, decl.NewFault(file.Name(), 0, "", fmt.Sprintf("section [%s] is missing", name)))
		}
	}
	return settings, reader.faults
}

type reader struct {
	settings *Settings
	seen     map[string]*decl.Section
	faults   []decl.Fault
}

func (reader *reader) section(section *decl.Section) {
	reader.seen[section.Kind()] = section
	settings := reader.settings
	switch section.Kind() {
	case "host":
		reader.decode(section, &settings.Host)
		reader.require(section, "name", settings.Host.Name)
		reader.require(section, "data_centre", settings.Host.DataCentre)
	case "listen":
		reader.decode(section, &settings.Listen)
		reader.listen(section)
	case "platform":
		reader.decode(section, &settings.Platform)
		reader.platform(section)
	case "weights":
		reader.decode(section, &settings.Weights)
		reader.weights(section)
	case "traffic":
		reader.decode(section, &settings.Traffic)
		reader.positive(section, "max_body_bytes", settings.Traffic.MaxBodyBytes)
		reader.positive(section, "queue_timeout", int64(settings.Traffic.QueueTimeout))
		reader.positive(section, "stop_timeout", int64(settings.Traffic.StopTimeout))
		reader.positive(section, "default_max_tokens", settings.Traffic.DefaultMaxTokens)
	case "bounds":
		reader.decode(section, &settings.Bounds)
		reader.bounds(section)
	case "objective":
		reader.objective(section)
	default:
		reader.report(section, "", fmt.Sprintf("unknown section [%s]", section.Kind()))
	}
}

func (reader *reader) decode(section *decl.Section, target any) {
	if section.Name() != "" && section.Kind() != "objective" {
		reader.report(section, "", "this section takes no name")
	}
	reader.faults = append(reader.faults, section.Decode(target)...)
}

func (reader *reader) report(section *decl.Section, key, message string) {
	reader.faults = append(reader.faults, section.Fault(key, message))
}

func (reader *reader) require(section *decl.Section, key, content string) {
	if content == "" {
		reader.report(section, key, key+" is missing")
	}
}

func (reader *reader) positive(section *decl.Section, key string, number int64) {
	if number <= 0 {
		reader.report(section, key, key+" must be positive")
	}
}

func (reader *reader) address(section *decl.Section, key, content string) {
	if _, err := netip.ParseAddrPort(content); err != nil {
		reader.report(section, key, fmt.Sprintf("%s: %q is not IP:port", key, content))
	}
}

// platform checks that exactly one of the two stores is named.
func (reader *reader) platform(section *decl.Section) {
	platform := reader.settings.Platform
	switch {
	case platform.Table != "" && platform.Store != "":
		reader.report(section, "store", "store and table exclude each other")
	case platform.Store != "":
		reader.address(section, "store", platform.Store)
	default:
		reader.address(section, "table", platform.Table)
	}
}

func (reader *reader) bounds(section *decl.Section) {
	bounds := &reader.settings.Bounds
	if bounds.RetryRatio < 0 || bounds.RetryRatio > 1 {
		reader.report(section, "retry_ratio", "retry_ratio must lie between 0 and 1")
	}
	for _, entry := range []struct {
		key    string
		number float64
	}{{"retry_allowance", bounds.RetryAllowance}, {"quota_allowance", bounds.QuotaAllowance}} {
		if entry.number < 0 {
			reader.report(section, entry.key, entry.key+" must not be negative")
		}
	}
	reader.positive(section, "retry_window", int64(bounds.RetryWindow))
	reader.positive(section, "lease_gap", int64(bounds.LeaseGap))
	reader.positive(section, "stop_grace", int64(bounds.StopGrace))
}

func (reader *reader) listen(section *decl.Section) {
	listen := &reader.settings.Listen
	used := map[string]string{}
	entries := []struct{ key, content string }{{"callers", listen.Callers}, {"operators", listen.Operators}, {"peers", listen.Peers}}
	if listen.Ready != "" || listen.Metrics != "" {
		entries = []struct{ key, content string }{
			{"callers", listen.Callers}, {"ready", listen.Ready}, {"peers", listen.Peers}, {"metrics", listen.Metrics},
		}
	}
	for _, entry := range entries {
		reader.address(section, entry.key, entry.content)
		// Port 0 lets the system choose, so it may stand more than once.
		if first, twice := used[entry.content]; twice && entry.content != "" && !strings.HasSuffix(entry.content, ":0") {
			reader.report(section, entry.key, fmt.Sprintf("%s is the same address as %s", entry.key, first))
		}
		used[entry.content] = entry.key
	}
	if listen.AdvertisePeers == "" {
		listen.AdvertisePeers = listen.Peers
		return
	}
	reader.address(section, "advertise_peers", listen.AdvertisePeers)
}

func (reader *reader) weights(section *decl.Section) {
	weights := reader.settings.Weights
	if weights.LoadsPerSecond <= 0 {
		reader.report(section, "loads_per_second", "loads_per_second must be positive")
	}
	reader.positive(section, "parallel", int64(weights.Parallel))
	switch weights.Policy {
	case "demand", "least_loaded", "rendezvous":
	default:
		reader.report(section, "policy", fmt.Sprintf("policy %q is none of demand, least_loaded, rendezvous", weights.Policy))
	}
}

func (reader *reader) objective(section *decl.Section) {
	objective := Objective{Name: section.Name(), Period: 30 * 24 * time.Hour}
	reader.decode(section, &objective)
	reader.require(section, "name", objective.Name)
	switch objective.Indicator {
	case "availability":
	case "first_token", "token_gap", "load_stall":
		reader.positive(section, "threshold", int64(objective.Threshold))
	default:
		reader.report(section, "indicator", fmt.Sprintf("indicator %q is none of availability, first_token, token_gap, load_stall", objective.Indicator))
	}
	if objective.Target <= 0 || objective.Target >= 1 {
		reader.report(section, "target", "target must lie between 0 and 1")
	}
	reader.positive(section, "period", int64(objective.Period))
	reader.settings.Objectives = append(reader.settings.Objectives, objective)
}
