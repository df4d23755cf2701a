package setup

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"lentilproxy/core/decl"
)

const valid = `
[host]
name = host-1
data_centre = dc-1
[listen]
callers = 127.0.0.1:8080
operators = 127.0.0.1:8081
peers = 127.0.0.1:8082
[platform]
table = 127.0.0.1:7000
[objective "fast"]
indicator = first_token
target = 0.95
threshold = 1200ms
`

func parse(content string) (*Settings, string) {
	file, faults := decl.Parse("test.ini", []byte(content))
	settings, more := Parse(file)
	return settings, fmt.Sprint(append(faults, more...))
}

func TestParse(t *testing.T) {
	is := is.New(t)
	settings, faults := parse(valid)
	is.Equal(faults, "[]")
	is.Equal(settings.Listen.AdvertisePeers, "127.0.0.1:8082")
	is.Equal(settings.Traffic.MaxBodyBytes, int64(DefaultMaxBodyBytes))
	is.Equal(settings.Objectives[0].Threshold, 1200*time.Millisecond)
	is.Equal(settings.Objectives[0].Name, "fast")
	is.True(!settings.Admission.LearnCost)
	for _, test := range []struct{ change, with, fault string }{
		{"name = host-1", "", "test.ini:2: host: name is missing"},
		{"127.0.0.1:8081", "127.0.0.1:8080", "test.ini:7: listen: operators is the same address as callers"},
		{"127.0.0.1:7000", "table.example:1", `test.ini:10: platform: table: "table.example:1" is not IP:port`},
		{"0.95", "95", "test.ini:13: objective fast: target must be between 0 and 1"},
		{"first_token", "speed", `test.ini:12: objective fast: indicator "speed" is none of`},
		{"[platform]", "[traffic]\nqueue_timeout = 0s\n[weights]\npolicy = best\nparallel = 0\n[platform]", `policy "best" is none of`},
		{"[platform]", "[traffic]\nqueue_timeout = 0s\n[platform]", "test.ini:10: traffic: queue_timeout must be positive"},
		{"[host]", "[host]\n[host]", "test.ini:3: host: declared twice, first in line 2"},
		{"[host]", "stray\n[host]", "test.ini:2: key outside of any section"},
		{"[host]", "[host \"x\"]", "this section takes no name"},
	} {
		_, faults = parse(strings.Replace(valid, test.change, test.with, 1))
		is.True(strings.Contains(faults, test.fault)) // the message contains the line of the fault
	}
}

const hosted = `
[host]
name = host-1
data_centre = dc-1
[listen]
callers = 127.0.0.1:8080
ready = 127.0.0.1:8081
peers = 127.0.0.1:8082
metrics = 127.0.0.1:8083
[platform]
store = 127.0.0.1:7000
[bounds]
retry_ratio = 0.2
retry_window = 10s
lease_gap = 3000ms
quota_allowance = 110000
[admission]
learn_cost = on
`

func TestParseHosted(t *testing.T) {
	is := is.New(t)
	settings, faults := parse(hosted)
	is.Equal(faults, "[]")
	is.Equal(settings.Bounds.LeaseGap, 3*time.Second)
	is.Equal(settings.Bounds.RetryAllowance, DefaultRetryAllowance)
	is.Equal(settings.Bounds.StopGrace, DefaultStopGrace)
	is.True(settings.Admission.LearnCost)
	for _, test := range []struct{ change, with, fault string }{
		{"store = ", "table = 127.0.0.1:7001\nstore = ", "store and table are mutually exclusive"},
		{"store = 127.0.0.1:7000", "store = somewhere", `store: "somewhere" is not IP:port`},
		{"metrics = 127.0.0.1:8083", "", `metrics: "" is not IP:port`},
		{"127.0.0.1:8083", "127.0.0.1:8081", "metrics is the same address as ready"},
		{"retry_ratio = 0.2", "retry_ratio = 2", "retry_ratio must be between 0 and 1"},
		{"quota_allowance = 110000", "quota_allowance = -1", "quota_allowance must not be negative"},
		{"lease_gap = 3000ms", "lease_gap = 0s", "lease_gap must be positive"},
		{"learn_cost = on", "learn_cost = much", `learn_cost: "much" is neither true nor false`},
		{"retry_window = 10s", "retry_window = long", `retry_window: "long" is not a duration`},
	} {
		_, faults = parse(strings.Replace(hosted, test.change, test.with, 1))
		is.True(strings.Contains(faults, test.fault))
	}
}

// A platform that states no limits leaves their placeholders empty, which must neither be a fault nor a limit of 0 bytes.
func TestParseLimitsOfHost(t *testing.T) {
	for lines, want := range map[string]struct {
		memory, descriptors, processor float64
		fault                          string
	}{
		"": {},
		"memory_limit_mb =\ndescriptor_limit = \n":         {},
		"memory_limit_mb = 144\ndescriptor_limit = 3000\n": {memory: 144, descriptors: 3000},
		"memory_limit_mb = 144.5\n":                        {memory: 144.5},
		"memory_limit_mb = -1\n":                           {memory: -1, fault: "memory_limit_mb must not be negative"},
		"descriptor_limit = many\n":                        {fault: `descriptor_limit: "many" is not a number`},
		"processor_share =\nprocessor_cores = \n":          {},
		"processor_share = 0.5\n":                          {processor: 0.5},
		"processor_share = 0.5\nprocessor_cores = 2\n":     {processor: 1},
		"processor_share = -1\n":                           {processor: -1, fault: "processor_share must not be negative"},
	} {
		t.Run(lines, func(t *testing.T) {
			is := is.New(t)
			settings, faults := parse(strings.Replace(hosted, "[listen]\n", lines+"[listen]\n", 1))
			is.True(strings.Contains(faults, want.fault) && (want.fault != "" || faults == "[]"))
			is.Equal(settings.Host.MemoryLimitMB, want.memory)
			is.Equal(settings.Host.DescriptorLimit, want.descriptors)
			is.Equal(settings.Host.Processor(), want.processor)
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	f.Add([]byte("[host\nname\n=x\n[objective \"a]\ntarget=NaN\n"))
	f.Fuzz(func(t *testing.T, content []byte) {
		file, faults := decl.Parse("fuzz.ini", content)
		if file == nil && len(faults) == 0 {
			t.Fatal("a file that cannot be parsed has no fault")
		}
		if file != nil {
			Parse(file)
		}
	})
}

// Guards against a host that does not start because the platform's settings lack the bounds of cold servers, and against other values
// that may be empty.
func TestBoundsOfColdServersMayBeEmpty(t *testing.T) {
	is := is.New(t)
	settings, faults := parse(valid + "[bounds]\ncold_overage = \ncold_allowance =\n")
	is.Equal(faults, "[]")
	is.Equal(settings.Bounds, DefaultBounds())
	settings, faults = parse(valid + "[bounds]\ncold_overage = 1.5\ncold_allowance = 5\n")
	is.Equal(faults, "[]")
	is.Equal(settings.Bounds.ColdOverage, 1.5)
	is.Equal(settings.Bounds.ColdAllowance, 5.0)
	for key, fault := range map[string]string{"cold_overage = -1": "must not be negative", "cold_allowance = x": "is not a number", "retry_ratio = ": "is not a number"} {
		_, faults = parse(valid + "[bounds]\n" + key + "\n")
		is.True(strings.Contains(faults, fault))
	}
}
