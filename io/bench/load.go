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
	rosterWait = 30 * time.Second
	// storeSlowdown is what a slow store adds to each load.
	storeSlowdown = 750 * time.Millisecond
	troubleLength = 10 * time.Second
	applyBatch    = 400
	maxTokens     = 400
	callerTimeout = 60 * time.Second
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
		plan.shape.Policy = command.Policy
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

// result is what a caller saw of one request.
type result struct {
	arrival arrival
	// status is 200 only for whole answers; 0 stands for a cut one.
	status   int
	code     string
	executed string
	// load is the time that the request waited for its adapter, and first the time to its first token.
	load  time.Duration
	first time.Duration
	// central says that one central bucket would have granted the request.
	central bool
}

// loadRun is one run of an experiment.
type loadRun struct {
	*deployment
	plan    *plan
	seed    int64
	engines []*fake.Engine
	servers []*fake.Server
	weights *fake.Weights
	keys    map[string]string
	started time.Time
	mutex   sync.Mutex
	results []result
}

func (run *loadRun) run() (loadReport, error) {
	if err := run.build(); err != nil {
		return loadReport{}, err
	}
	before := run.readings()
	run.started = time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), run.plan.experiment.Length+callerTimeout)
	defer cancel()
	for _, trouble := range run.plan.troubles {
		time.AfterFunc(trouble.At, func() { run.cause(trouble) })
	}
	var group sync.WaitGroup
	buckets := run.buckets()
	for _, arrival := range run.plan.arrivals(run.seed) {
		time.Sleep(time.Until(run.started.Add(arrival.at)))
		central := buckets[arrival.workspace].spend(arrival.at, cost(arrival))
		group.Go(func() {
			outcome := run.send(ctx, arrival)
			outcome.central = central
			run.mutex.Lock()
			defer run.mutex.Unlock()
			run.results = append(run.results, outcome)
		})
	}
	group.Wait()
	return newLoadReport(run, before, run.readings()), nil
}

// build starts the stand-ins and daemons and declares the resources.
func (run *loadRun) build() error {
	shape := run.plan.shape
	run.weights = fake.NewWeights(fake.WeightsOptions{
		LoadTime: shape.LoadTime, FullSpeed: shape.FullSpeed, LoadsPerSecond: shape.LoadsPerSecond, Parallel: shape.Parallel,
	})
	weightsAddress, err := run.stand(run.weights)
	if err != nil {
		return err
	}
	var resources []conf.Resource
	for number := range shape.Engines {
		engine := fake.NewEngine(fake.EngineOptions{
			Slots: shape.Slots, Weights: weightsAddress, ChecksFencing: true, StepTime: shape.StepTime, StepTimePerRequest: shape.StepGrowth,
			RestartTime: time.Second,
		})
		address, err := run.stand(engine)
		if err != nil {
			return err
		}
		run.engines = append(run.engines, engine)
		run.servers = append(run.servers, run.stands[len(run.stands)-1])
		resources = append(resources, conf.Resource{
			Kind: conf.KindBackendServer, Name: fmt.Sprintf("engine-%d", number+1),
			BackendServer: &conf.BackendServer{
				Address: address, DataCentre: dataCentre(number, shape), BaseModel: "base-1", Slots: shape.Slots,
				Pool: conf.DefaultPool, MaxInFlight: conf.DefaultMaxInFlight, ChecksFencing: true,
			},
		})
	}
	err = run.startDaemons(shape.Hosts, logr.Discard(), func(number int, settings *setup.Settings) {
		settings.Host.DataCentre = dataCentre(number, shape)
		settings.Weights = setup.Weights{LoadsPerSecond: shape.LoadsPerSecond, Parallel: shape.Parallel, Policy: shape.Policy}
	})
	if err == nil {
		err = run.awaitRoster(rosterWait)
	}
	if err == nil {
		err = run.declare(resources)
	}
	return err
}

func dataCentre(number int, shape fleetShape) string {
	return fmt.Sprintf("dc-%d", 1+number%shape.DataCentres)
}

func (run *loadRun) declare(resources []conf.Resource) error {
	for _, tenant := range run.plan.tenants {
		resources = append(resources,
			conf.Resource{Kind: conf.KindWorkspace, Name: tenant.name, Workspace: &conf.Workspace{Weight: 1}},
			conf.Resource{Kind: conf.KindLimit, Name: tenant.name, Limit: &conf.Limit{RateTokensPerSecond: tenant.Rate, BurstTokens: tenant.Burst}})
	}
	if _, err := run.apply(resources); err != nil {
		return err
	}
	run.keys = map[string]string{}
	for _, tenant := range run.plan.tenants {
		var granted admin.GrantResult
		if err := run.operate("/v1/keys/grant", admin.GrantRequest{Workspace: tenant.name}, &granted); err != nil {
			return err
		}
		run.keys[tenant.name] = granted.Key
		if err := run.declareAdapters(tenant); err != nil {
			return err
		}
	}
	return nil
}

func (run *loadRun) declareAdapters(tenant tenant) error {
	count := run.plan.adaptersOf(tenant)
	for first := 0; first < count; first += applyBatch {
		var batch []conf.Resource
		for number := first; number < min(first+applyBatch, count); number++ {
			name := adapterName(tenant.name, number)
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

// cause makes a fault happen.
func (run *loadRun) cause(trouble trouble) {
	switch trouble.Kind {
	case "engine_restart":
		run.engines[trouble.Target-1].Restart()
	case "engine_lost":
		run.servers[trouble.Target-1].Close()
	case "store_slow":
		run.weights.SetFault(fake.WeightsFault{SlowMS: int(storeSlowdown.Milliseconds())})
		time.AfterFunc(troubleLength, func() { run.weights.SetFault(fake.WeightsFault{}) })
	case "daemon_stopped":
		run.daemons[trouble.Target-1].Stop()
	}
}

// bucket is one central token bucket, fed with the same arrivals as the daemons.
type bucket struct {
	rate, burst, level float64
	at                 time.Duration
}

func (bucket *bucket) spend(at time.Duration, tokens float64) bool {
	bucket.level = min(bucket.burst, bucket.level+bucket.rate*(at-bucket.at).Seconds())
	bucket.at = at
	if bucket.level < tokens {
		return false
	}
	bucket.level -= tokens
	return true
}

func (run *loadRun) buckets() map[string]*bucket {
	buckets := map[string]*bucket{}
	for _, tenant := range run.plan.tenants {
		buckets[tenant.name] = &bucket{rate: tenant.Rate, burst: tenant.Burst, level: tenant.Burst}
	}
	return buckets
}

// cost is what the daemons charge: the answer, and one token for the prompt.
func cost(arrival arrival) float64 { return float64(min(arrival.tokens, maxTokens) + 1) }

// send sends one request and reads its stream.
func (run *loadRun) send(ctx context.Context, arrival arrival) result {
	outcome := result{arrival: arrival}
	priority := "interactive"
	if arrival.batch {
		priority = "batch"
	}
	body := fmt.Sprintf(`{"model":%q,"prompt":"x","stream":true,"max_tokens":%d,"priority":%q}`, arrival.adapter, min(arrival.tokens, maxTokens), priority)
	url := "http://" + run.daemons[arrival.host].Callers() + "/v1/completions"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return outcome
	}
	request.Header.Set("Authorization", "Bearer "+run.keys[arrival.workspace])
	began := time.Now()
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		outcome.code = "unreachable"
		return outcome
	}
	defer func() { _ = response.Body.Close() }()
	outcome.load = loadTime(response.Header)
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
		if outcome.first == 0 && strings.HasPrefix(scanner.Text(), "data: {") {
			outcome.first = time.Since(began)
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

// loadTime reads the time that a request waited for its adapter.
func loadTime(header http.Header) time.Duration {
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

// readings are the stand-ins' counts at an instant.
type readings struct {
	loads     int64
	overLimit int64
	tokens    int64
	steps     float64
}

func (run *loadRun) readings() readings {
	stats := run.weights.Stats()
	read := readings{loads: stats.Loads, overLimit: stats.OverLimit}
	for _, engine := range run.engines {
		counted := engine.Stats()
		read.tokens += counted.Tokens
		read.steps += counted.Steps
	}
	return read
}
