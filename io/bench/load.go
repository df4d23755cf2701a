package bench

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"lentilproxy/core/conf"
	"lentilproxy/core/setup"
	"lentilproxy/io/admin"
	"lentilproxy/io/fake"
)

const (
	rosterTimeout = 30 * time.Second
	// The fault store_slow adds storeSlowdown to the time of each load for slowStoreDuration.
	storeSlowdown     = 750 * time.Millisecond
	slowStoreDuration = 10 * time.Second
	applyBatch        = 400
	maxTokens         = 400
	callerTimeout     = 60 * time.Second
)

type loadCommand struct {
	File   string  `short:"f" long:"file" value-name:"FILE" required:"true" description:"experiment file (INI)"`
	Policy string  `long:"policy" choice:"demand" choice:"least_loaded" choice:"rendezvous" description:"placement policy instead of the file's"`
	Seeds  []int64 `long:"seed" description:"seed instead of the file's; may be repeated"`
	HTML   string  `long:"html" value-name:"FILE" description:"write the report as a page"`
	JSON   bool    `long:"json" description:"print the reports as JSON lines"`

	out io.Writer
}

// Execute implements flags.Commander.
func (command *loadCommand) Execute([]string) error {
	plan, err := readPlan(command.File)
	if err != nil {
		return err
	}
	if command.Policy != "" {
		plan.fleet.Policy = command.Policy
	}
	seeds := command.Seeds
	if len(seeds) == 0 {
		seeds = []int64{plan.experiment.Seed}
	}
	var reports []loadReport
	for _, seed := range seeds {
		run := &loadRun{deployment: newDeployment(), plan: plan, seed: seed}
		report, err := run.run()
		run.close()
		if err != nil {
			return err
		}
		reports = append(reports, report)
		if command.JSON {
			err = json.NewEncoder(command.out).Encode(report)
		} else {
			_, err = io.WriteString(command.out, report.text())
		}
		if err != nil {
			return err
		}
	}
	if command.HTML != "" {
		return writeLoadPage(command.HTML, reports)
	}
	return nil
}

// outcome is the result of one request as the caller receives it.
type outcome struct {
	arrival arrival
	// status is 200 only for a complete response. It is 0 if the host was unreachable or the stream ended early.
	status   int
	code     string
	executed string
	// adapterWait is the time that the request waited for its adapter.
	adapterWait time.Duration
	// firstToken is the time to the first token.
	firstToken time.Duration
	// centralGranted reports whether one central token bucket would grant the request.
	centralGranted bool
}

// loadRun is one run of an experiment.
type loadRun struct {
	*deployment
	plan     *plan
	seed     int64
	engines  []*fake.Engine
	servers  []*fake.Server
	weights  *fake.Weights
	keys     map[string]string
	started  time.Time
	mutex    sync.Mutex
	outcomes []outcome
}

func (run *loadRun) run() (loadReport, error) {
	if err := run.build(); err != nil {
		return loadReport{}, err
	}
	before := run.readCounters()
	run.started = time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), run.plan.experiment.Length+callerTimeout)
	defer cancel()
	for _, injection := range run.plan.injections {
		time.AfterFunc(injection.At, func() { run.inject(injection) })
	}
	var group sync.WaitGroup
	buckets := run.centralBuckets()
	for _, arrival := range run.plan.arrivals(run.seed) {
		time.Sleep(time.Until(run.started.Add(arrival.at)))
		centralGranted := buckets[arrival.workspace].charge(arrival.at, cost(arrival))
		group.Go(func() {
			outcome := run.send(ctx, arrival)
			outcome.centralGranted = centralGranted
			run.mutex.Lock()
			defer run.mutex.Unlock()
			run.outcomes = append(run.outcomes, outcome)
		})
	}
	group.Wait()
	return newLoadReport(run, before, run.readCounters()), nil
}

// build starts the fakes and daemons and applies the resources.
func (run *loadRun) build() error {
	fleet := run.plan.fleet
	run.weights = fake.NewWeights(fake.WeightsOptions{
		LoadTime: fleet.LoadTime, FullSpeed: fleet.FullSpeed, LoadsPerSecond: fleet.LoadsPerSecond, Parallel: fleet.Parallel,
	})
	weightsAddress, err := run.serveFake(run.weights)
	if err != nil {
		return err
	}
	var resources []conf.Resource
	for number := range fleet.Engines {
		engine := fake.NewEngine(fake.EngineOptions{
			Slots: fleet.Slots, Weights: weightsAddress, ChecksFencing: true, StepTime: fleet.StepTime, StepTimePerRequest: fleet.StepGrowth,
			RestartTime: time.Second,
		})
		address, err := run.serveFake(engine)
		if err != nil {
			return err
		}
		run.engines = append(run.engines, engine)
		run.servers = append(run.servers, run.fakes[len(run.fakes)-1])
		resources = append(resources, conf.Resource{
			Kind: conf.KindBackendServer, Name: fmt.Sprintf("engine-%d", number+1),
			BackendServer: &conf.BackendServer{
				Address: address, DataCentre: dataCentre(number, fleet), BaseModel: "base-1", Slots: fleet.Slots,
				Pool: conf.DefaultPool, MaxInFlight: conf.DefaultMaxInFlight, ChecksFencing: true,
			},
		})
	}
	err = run.startDaemons(fleet.Hosts, logr.Discard(), func(number int, settings *setup.Settings) {
		settings.Host.DataCentre = dataCentre(number, fleet)
		settings.Weights = setup.Weights{LoadsPerSecond: fleet.LoadsPerSecond, Parallel: fleet.Parallel, Policy: fleet.Policy}
	})
	if err == nil {
		err = run.awaitRoster(rosterTimeout)
	}
	if err == nil {
		err = run.applyResources(resources)
	}
	return err
}

func dataCentre(number int, fleet fleet) string {
	return fmt.Sprintf("dc-%d", 1+number%fleet.DataCentres)
}

func (run *loadRun) applyResources(resources []conf.Resource) error {
	for _, workspace := range run.plan.workspaces {
		resources = append(resources,
			conf.Resource{Kind: conf.KindWorkspace, Name: workspace.name, Workspace: &conf.Workspace{Weight: 1}},
			conf.Resource{Kind: conf.KindLimit, Name: workspace.name, Limit: &conf.Limit{RateTokensPerSecond: workspace.Rate, BurstTokens: workspace.Burst}})
	}
	if _, err := run.apply(resources); err != nil {
		return err
	}
	run.keys = map[string]string{}
	for _, workspace := range run.plan.workspaces {
		var granted admin.GrantResult
		if err := run.callOperatorAPI("/v1/keys/grant", admin.GrantRequest{Workspace: workspace.name}, &granted); err != nil {
			return err
		}
		run.keys[workspace.name] = granted.Key
		if err := run.applyAdapters(workspace); err != nil {
			return err
		}
	}
	return nil
}

func (run *loadRun) applyAdapters(workspace workspace) error {
	count := run.plan.adapterCount(workspace)
	for first := 0; first < count; first += applyBatch {
		var batch []conf.Resource
		for number := first; number < min(first+applyBatch, count); number++ {
			name := adapterName(workspace.name, number)
			batch = append(batch,
				conf.Resource{Kind: conf.KindAdapter, Name: name, Adapter: &conf.Adapter{BaseModel: "base-1", DefaultVersion: "v1"}},
				conf.Resource{Kind: conf.KindVersion, Name: name + "@v1", Version: &conf.Version{Source: name}})
		}
		if _, err := run.apply(batch); err != nil {
			return err
		}
	}
	return nil
}

func (run *loadRun) inject(injection injection) {
	switch injection.Kind {
	case "engine_restart":
		run.engines[injection.Target-1].Restart()
	case "engine_lost":
		run.servers[injection.Target-1].Close()
	case "store_slow":
		run.weights.SetFault(fake.WeightsFault{SlowMS: int(storeSlowdown.Milliseconds())})
		time.AfterFunc(slowStoreDuration, func() { run.weights.SetFault(fake.WeightsFault{}) })
	case "daemon_stopped":
		run.daemons[injection.Target-1].Stop()
	}
}

// bucket is a central token bucket, the reference for the limit that the daemons enforce together. It is charged for
// the same arrivals.
type bucket struct {
	rate, burst, level float64
	at                 time.Duration
}

// charge takes tokens from the bucket and reports whether it held enough.
func (bucket *bucket) charge(at time.Duration, tokens float64) bool {
	bucket.level = min(bucket.burst, bucket.level+bucket.rate*(at-bucket.at).Seconds())
	bucket.at = at
	if bucket.level < tokens {
		return false
	}
	bucket.level -= tokens
	return true
}

func (run *loadRun) centralBuckets() map[string]*bucket {
	buckets := map[string]*bucket{}
	for _, workspace := range run.plan.workspaces {
		buckets[workspace.name] = &bucket{rate: workspace.Rate, burst: workspace.Burst, level: workspace.Burst}
	}
	return buckets
}

// cost returns the tokens that the daemons charge for a request: max_tokens, and one token for the prompt.
func cost(arrival arrival) float64 { return float64(min(arrival.tokens, maxTokens) + 1) }

// send sends one request and reads the streamed response.
func (run *loadRun) send(ctx context.Context, arrival arrival) outcome {
	outcome := outcome{arrival: arrival}
	priority := "interactive"
	if arrival.batch {
		priority = "batch"
	}
	body := fmt.Sprintf(`{"model":%q,"prompt":"x","stream":true,"max_tokens":%d,"priority":%q}`, arrival.adapter, min(arrival.tokens, maxTokens), priority)
	url := "http://" + run.daemons[arrival.host].CallersAddress() + "/v1/completions"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return outcome
	}
	request.Header.Set("Authorization", "Bearer "+run.keys[arrival.workspace])
	startedAt := time.Now()
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		outcome.code = "unreachable"
		return outcome
	}
	defer func() { _ = response.Body.Close() }()
	outcome.adapterWait = adapterWait(response.Header)
	if response.StatusCode != http.StatusOK {
		outcome.status = response.StatusCode
		var envelope struct {
			Error struct {
				Code     string `json:"code"`
				Executed string `json:"executed"`
			} `json:"error"`
		}
		_ = json.NewDecoder(response.Body).Decode(&envelope)
		outcome.code, outcome.executed = envelope.Error.Code, envelope.Error.Executed
		return outcome
	}
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		if outcome.firstToken == 0 && strings.HasPrefix(scanner.Text(), "data: {") {
			outcome.firstToken = time.Since(startedAt)
		}
		if scanner.Text() == "data: [DONE]" {
			outcome.status = http.StatusOK
		}
	}
	if outcome.status == 0 {
		outcome.code = "cut"
	}
	return outcome
}

// adapterWait returns the time that a request waited for its adapter, from the Server-Timing header.
func adapterWait(header http.Header) time.Duration {
	text, found := strings.CutPrefix(header.Get("Server-Timing"), "load;dur=")
	if !found {
		return 0
	}
	milliseconds, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0
	}
	return time.Duration(milliseconds * float64(time.Millisecond))
}

// counters holds the counts of the fake weight store and the fake engines at one point in time.
type counters struct {
	loads     int64
	overLimit int64
	tokens    int64
	steps     float64
}

func (run *loadRun) readCounters() counters {
	stats := run.weights.Stats()
	counters := counters{loads: stats.Loads, overLimit: stats.OverLimit}
	for _, engine := range run.engines {
		stats := engine.Stats()
		counters.tokens += stats.Tokens
		counters.steps += stats.Steps
	}
	return counters
}
