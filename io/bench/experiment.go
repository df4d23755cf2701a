package bench

import (
	"fmt"
	"os"
	"strings"
	"time"

	"lentilproxy/core/decl"
)

// experiment describes one measured run.
type experiment struct {
	Name   string        `ini:"name"`
	Length time.Duration `ini:"length"`
	// WarmUp is the time at the start whose requests the report leaves out.
	WarmUp time.Duration `ini:"warm_up"`
	Seed   int64         `ini:"seed"`
}

// fleet describes the hosts, engines and weight store of an experiment.
type fleet struct {
	Hosts   int    `ini:"hosts"`
	Engines int    `ini:"engines"`
	Slots   int    `ini:"slots"`
	Policy  string `ini:"policy"`
	// DataCentres is the number of data centres that hosts and engines are spread over.
	DataCentres    int           `ini:"data_centres"`
	LoadsPerSecond float64       `ini:"loads_per_second"`
	Parallel       int           `ini:"parallel"`
	LoadTime       time.Duration `ini:"load_time"`
	FullSpeed      int           `ini:"full_speed"`
	StepTime       time.Duration `ini:"step_time"`
	StepGrowth     time.Duration `ini:"step_growth"`
}

// workload describes the arrivals.
type workload struct {
	Adapters          int     `ini:"adapters"`
	RequestsPerSecond float64 `ini:"requests_per_second"`
	// Skew is the exponent of the power law by which the popularity of adapters falls with their rank.
	Skew float64 `ini:"skew"`
	// ShiftEvery is the time between two changes of popularity. Each change swaps a fraction ShiftFraction of the most
	// popular adapters with random ones.
	ShiftEvery    time.Duration `ini:"shift_every"`
	ShiftFraction float64       `ini:"shift_part"`
	MeanTokens    int           `ini:"mean_tokens"`
	// BatchFraction is the fraction of requests with batch priority, which stand for overnight jobs.
	BatchFraction float64 `ini:"batch_part"`
}

// workspace is a workspace of the workload.
type workspace struct {
	name string
	// Fraction is the workspace's fraction of the adapters and, before Factor, of the requests. The fractions of all
	// workspaces need not add up to 1.
	Fraction float64 `ini:"part"`
	// Rate and Burst are the limit of the workspace, in tokens per second and tokens.
	Rate  float64 `ini:"rate_tokens_per_second"`
	Burst float64 `ini:"burst_tokens"`
	// Factor multiplies the rate of requests. The report assumes that a workspace with a factor above 1 exceeds its
	// limit.
	Factor float64 `ini:"factor"`
}

// injection is a fault that is injected during the experiment.
type injection struct {
	name string
	// At is the time since the start of the experiment.
	At time.Duration `ini:"at"`
	// Kind is engine_restart, engine_lost, store_slow or daemon_stopped.
	Kind string `ini:"kind"`
	// Target is the number of the engine or daemon, counted from 1.
	Target int `ini:"target"`
}

// plan is the content of an experiment file.
type plan struct {
	experiment experiment
	fleet      fleet
	workload   workload
	workspaces []workspace
	injections []injection
}

func readPlan(path string) (*plan, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	file, faults := decl.Parse(path, content)
	plan := &plan{}
	if file != nil {
		for _, section := range file.Sections() {
			faults = append(faults, plan.decodeSection(section)...)
		}
		faults = append(faults, plan.check(file)...)
	}
	if len(faults) == 0 {
		return plan, nil
	}
	lines := make([]string, 0, len(faults))
	for _, fault := range faults {
		lines = append(lines, fault.String())
	}
	return nil, fmt.Errorf("%w:\n%s", errFailed, strings.Join(lines, "\n"))
}

func (plan *plan) decodeSection(section *decl.Section) []decl.Fault {
	switch section.Kind() {
	case "experiment":
		return section.Decode(&plan.experiment)
	case "deployment":
		return section.Decode(&plan.fleet)
	case "workload":
		return section.Decode(&plan.workload)
	case "workspace":
		workspace := workspace{name: section.Name(), Factor: 1}
		faults := section.Decode(&workspace)
		plan.workspaces = append(plan.workspaces, workspace)
		return faults
	case "fault":
		injection := injection{name: section.Name()}
		faults := section.Decode(&injection)
		plan.injections = append(plan.injections, injection)
		return faults
	default:
		return []decl.Fault{section.Fault("", fmt.Sprintf("unknown section [%s]", section.Kind()))}
	}
}

// check returns the faults of a plan whose length or size is out of range or that lacks a required value.
func (plan *plan) check(file *decl.File) []decl.Fault {
	var faults []decl.Fault
	require := func(valid bool, message string) {
		if !valid {
			faults = append(faults, decl.NewFault(file.Name(), 0, "", message))
		}
	}
	require(plan.experiment.Length > plan.experiment.WarmUp && plan.experiment.Length <= time.Hour, "length must be longer than warm_up and at most 1h")
	require(plan.fleet.Hosts >= 1 && plan.fleet.Hosts <= 20 && plan.fleet.Engines >= 1 && plan.fleet.Engines <= 100, "hosts must be 1 to 20 and engines 1 to 100")
	require(plan.fleet.Slots >= 1 && plan.fleet.DataCentres >= 1, "slots and data_centres must be at least 1")
	require(plan.fleet.LoadsPerSecond > 0 && plan.fleet.Parallel >= 1 && plan.fleet.FullSpeed >= 1, "loads_per_second, parallel and full_speed must be positive")
	require(plan.workload.Adapters >= 1 && plan.workload.RequestsPerSecond > 0 && plan.workload.MeanTokens >= 1, "adapters, requests_per_second and mean_tokens must be positive")
	require(len(plan.workspaces) > 0, "at least one workspace is needed")
	for _, injection := range plan.injections {
		switch injection.Kind {
		case "engine_restart", "engine_lost", "store_slow", "daemon_stopped":
		default:
			require(false, fmt.Sprintf("fault %q: unknown kind %q", injection.name, injection.Kind))
		}
	}
	return faults
}
