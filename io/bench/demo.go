package bench

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"lentilproxy/core/setup"
	"lentilproxy/io/admin"
	"lentilproxy/io/daemon"
	"lentilproxy/io/fake"

	"github.com/go-logr/logr"
)

const (
	demoDaemons   = 2
	demoReadyWait = 20 * time.Second
	demoWithdrawn = 4 * time.Second
	demoTokens    = 8
)

type demoCommand struct {
	Verbose bool `long:"verbose" description:"print the daemons' logs"`

	out io.Writer
}

// demo is a walk through the main job.
type demo struct {
	*deployment
	out     io.Writer
	service *fake.Service
	key     string
	keyName string
	step    int
}

// Execute implements flags.Commander.
func (command *demoCommand) Execute([]string) error {
	demo := &demo{deployment: newDeployment(), out: command.out}
	defer demo.close()
	log := logr.Discard()
	if command.Verbose {
		log = daemon.NewLog(os.Stderr)
	}
	for _, step := range []func() error{
		func() error { return demo.start(log) },
		demo.declare, demo.complete, demo.order, demo.withdraw, demo.stop,
	} {
		if err := step(); err != nil {
			return fmt.Errorf("step %d: %w", demo.step, err)
		}
	}
	demo.sayf("everything went as it should")
	return nil
}

func (demo *demo) sayf(format string, args ...any) {
	demo.step++
	_, _ = fmt.Fprintf(demo.out, "%d. %s\n", demo.step, fmt.Sprintf(format, args...))
}

// start runs the table stand-in and two daemons.
func (demo *demo) start(log logr.Logger) error {
	if err := demo.startDaemons(demoDaemons, log, nil); err != nil {
		return err
	}
	demo.sayf("two daemons run, for callers at %s and %s", demo.daemons[0].Callers(), demo.daemons[1].Callers())
	return demo.awaitRoster(demoReadyWait)
}

// declare applies the resources and makes a key, through the first daemon.
func (demo *demo) declare() error {
	weights, err := demo.stand(fake.NewWeights(fake.WeightsOptions{
		LoadTime: defaultLoadTime, FullSpeed: defaultFullSpeed, LoadsPerSecond: setup.DefaultLoadsPerSec, Parallel: setup.DefaultParallel,
	}))
	if err != nil {
		return err
	}
	engine, err := demo.stand(fake.NewEngine(fake.EngineOptions{Slots: 4, Weights: weights, StepTime: 20 * time.Millisecond}))
	if err != nil {
		return err
	}
	demo.service = fake.NewService()
	service, err := demo.stand(demo.service)
	if err != nil {
		return err
	}
	resources, err := parseResources(fmt.Appendf(nil, demoResources, engine, service))
	if err != nil {
		return err
	}
	applied, err := demo.apply(resources)
	if err != nil {
		return err
	}
	demo.sayf("%d resources are accepted as revision %d", len(resources), applied.Revision)
	var granted admin.GrantResult
	if err = demo.operate("/v1/keys/grant", admin.GrantRequest{Workspace: "shop"}, &granted); err != nil {
		return err
	}
	demo.key, demo.keyName = granted.Key, granted.Name
	demo.sayf("key %s was granted to workspace shop", granted.Name)
	return nil
}

func (demo *demo) post(daemonNumber int, path, idempotencyKey, body string) (*http.Response, error) {
	url := "http://" + demo.daemons[daemonNumber].Callers() + path
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+demo.key)
	request.Header.Set("Content-Type", "application/json")
	if idempotencyKey != "" {
		request.Header.Set("Idempotency-Key", idempotencyKey)
	}
	return demo.client.Do(request)
}

func completionBody(tokens int) string {
	return fmt.Sprintf(`{"model":"ribs@v2","prompt":"A rib is bent. What now?","stream":true,"max_tokens":%d}`, tokens)
}

// complete streams a completion through the second daemon.
func (demo *demo) complete() error {
	response, err := demo.post(1, "/v1/completions", "", completionBody(demoTokens))
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	events := strings.Count(string(content), "data: {")
	if response.StatusCode != http.StatusOK || events != demoTokens || !strings.Contains(string(content), "data: [DONE]") {
		return fmt.Errorf("%w: the completion is not whole: %s %s", errFailed, response.Status, content)
	}
	demo.sayf("host-2 streamed %d events of a completion on %s", events, response.Header.Get("X-Lentil-Version"))
	return nil
}

// order sends one order twice, to different daemons.
func (demo *demo) order() error {
	var answers []string
	for number := range demo.daemons {
		response, err := demo.post(number, "/services/orders/new", "order-17", `{"item":"rib"}`)
		if err != nil {
			return err
		}
		content, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err != nil {
			return err
		}
		if response.StatusCode != http.StatusCreated {
			return fmt.Errorf("%w: the order was answered %s %s", errFailed, response.Status, content)
		}
		answers = append(answers, string(content))
	}
	if runs := demo.service.Stats().Executions["order-17"]; runs != 1 || answers[0] != answers[1] {
		return fmt.Errorf("%w: the order ran %d times, answers %v", errFailed, runs, answers)
	}
	demo.sayf("the order ran once, and both daemons gave the same answer")
	return nil
}

// withdraw ends the key while a completion streams.
func (demo *demo) withdraw() error {
	response, err := demo.post(1, "/v1/completions", "", completionBody(1000))
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	began := time.Now()
	var withdrawn admin.ApplyResult
	if err = demo.operate("/v1/keys/withdraw", admin.NamedRequest{Name: demo.keyName}, &withdrawn); err != nil {
		return err
	}
	content, _ := io.ReadAll(response.Body)
	took := time.Since(began)
	if took > demoWithdrawn || strings.Contains(string(content), "[DONE]") || !strings.Contains(string(content), "key_withdrawn") {
		return fmt.Errorf("%w: the stream did not end with the key (%s)", errFailed, took)
	}
	again, err := demo.post(0, "/v1/completions", "", completionBody(1))
	if err != nil {
		return err
	}
	_ = again.Body.Close()
	if again.StatusCode != http.StatusUnauthorized {
		return fmt.Errorf("%w: the withdrawn key was answered %s", errFailed, again.Status)
	}
	demo.sayf("the key was withdrawn: the open stream ended after %d ms, and new requests are refused", took.Milliseconds())
	return nil
}

func (demo *demo) stop() error {
	for _, running := range demo.daemons {
		running.Stop()
		if err := running.Err(); err != nil {
			return err
		}
	}
	demo.sayf("both daemons stopped in good order")
	return nil
}

const demoResources = `
[workspace "shop"]
weight = 1

[limit "shop"]
rate_tokens_per_second = 2000
burst_tokens = 4000

[adapter "shop/ribs"]
base_model = base-1
default_version = v1

[version "shop/ribs@v1"]
source = ribs/1

[version "shop/ribs@v2"]
source = ribs/2

[backend_server "engine-1"]
address = %s
data_centre = dc-1
base_model = base-1
slots = 4

[route "orders"]
workspaces = shop
dedup_window = 24h

[backend_server "orders-1"]
address = %s
data_centre = dc-1
service = orders
`
