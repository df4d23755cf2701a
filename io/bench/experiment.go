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
	// WarmUp is not counted.
	WarmUp time.Duration `ini:"warm_up"`
	Seed   int64         `ini:"seed"`
}

// fleetShape describes the deployment of an experiment.
type fleetShape struct {
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
	// Skew is the exponent of the popularity of adapters.
	Skew float64 `ini:"skew"`
	// ShiftEvery is the time after which a part of the popular adapters changes places with others.
	ShiftEvery time.Duration `ini:"shift_every"`
	ShiftPart  float64       `ini:"shift_part"`
	MeanTokens int           `ini:"mean_tokens"`
	// BatchPart is the fraction of overnight requests.
	BatchPart float64 `ini:"batch_part"`
}

// tenant is a workspace of the workload.
type tenant struct {
	name string
	// Part is the workspace's fraction of adapters and requests.
	Part float64 `ini:"part"`
	// Rate and Burst are its limit, in tokens per second and tokens.
	Rate  float64 `ini:"rate_tokens_per_second"`
	Burst float64 `ini:"burst_tokens"`
	// Factor multiplies its requests.
	Factor float64 `ini:"factor"`
}

// trouble is a fault at a time of the experiment.
type trouble struct {
	name string
	At   time.Duration `ini:"at"`
	// Kind is engine_restart, engine_lost, store_slow or daemon_stopped.
	Kind string `ini:"kind"`
	// Target is the number of the engine or daemon, counted from 1.
	Target int `ini:"target"`
}

// plan is a whole experiment file.
type plan struct {
	experiment experiment
	shape      fleetShape
	workload   workload
	tenants    []tenant
	troubles   []trouble
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
			faults = append(faults, plan.section(section)...)
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

func (plan *plan) section(section *decl.Section) []decl.Fault {
	switch section.Kind() {
	case "experiment":
		return section.Decode(&plan.experiment)
	case "deployment":
		return section.Decode(&plan.shape)
	case "workload":
		return section.Decode(&plan.workload)
	case "workspace":
		tenant := tenant{name: section.Name(), Factor: 1}
		faults := section.Decode(&tenant)
		plan.tenants = append(plan.tenants, tenant)
		return faults
	case "fault":
		trouble := trouble{name: section.Name()}
		faults := section.Decode(&trouble)
		plan.troubles = append(plan.troubles, trouble)
		return faults
	default:
		return []decl.Fault{section.Fault("", fmt.Sprintf("unknown section [%s]", section.Kind()))}
	}
}

// check bounds the experiment in time and size.
func (plan *plan) check(file *decl.File) []decl.Fault {
	var faults []decl.Fault
	require := func(holds bool, message string) {
		if !holds {
			faults = append(faults, decl.NewFault(file.Name(), 0, "", message))
		}
	}
	require(plan.experiment.Length > plan.experiment.WarmUp && plan.experiment.Length <= time.Hour, "length must be longer than warm_up and at most 1h")
	require(plan.shape.Hosts >= 1 && plan.shape.Hosts <= 20 && plan.shape.Engines >= 1 && plan.shape.Engines <= 100, "1 to 20 hosts and 1 to 100 engines are possible")
	require(plan.shape.Slots >= 1 && plan.shape.DataCentres >= 1, "slots and data_centres must be at least 1")
	require(plan.shape.LoadsPerSecond > 0 && plan.shape.Parallel >= 1 && plan.shape.FullSpeed >= 1, "loads_per_second, parallel and full_speed must be positive")
	require(plan.workload.Adapters >= 1 && plan.workload.RequestsPerSecond > 0 && plan.workload.MeanTokens >= 1, "adapters, requests_per_second and mean_tokens must be positive")
	require(len(plan.tenants) > 0, "at least one workspace is needed")
	for _, trouble := range plan.troubles {
		switch trouble.Kind {
		case "engine_restart", "engine_lost", "store_slow", "daemon_stopped":
		default:
			require(false, fmt.Sprintf("fault %q: unknown kind %q", trouble.name, trouble.Kind))
		}
	}
	return faults
}
