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
	demoDaemons         = 2
	demoReadyTimeout    = 20 * time.Second
	demoWithdrawTimeout = 4 * time.Second
	demoTokens          = 8
)

type demoCommand struct {
	Verbose bool `long:"verbose" description:"print the daemons' logs"`

	out io.Writer
}

// demo runs the main use cases step by step against two embedded daemons.
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
		demo.applyResources, demo.streamCompletion, demo.sendOrderTwice, demo.withdrawKey, demo.stopDaemons,
	} {
		if err := step(); err != nil {
			return fmt.Errorf("step %d: %w", demo.step, err)
		}
	}
	demo.printStepf("all steps succeeded")
	return nil
}

func (demo *demo) printStepf(format string, args ...any) {
	demo.step++
	_, _ = fmt.Fprintf(demo.out, "%d. %s\n", demo.step, fmt.Sprintf(format, args...))
}

// start runs the fake table service and two daemons, and waits until the daemons are ready.
func (demo *demo) start(log logr.Logger) error {
	if err := demo.startDaemons(demoDaemons, log, nil); err != nil {
		return err
	}
	demo.printStepf("two daemons are running; callers use %s and %s", demo.daemons[0].CallersAddress(), demo.daemons[1].CallersAddress())
	return demo.awaitRoster(demoReadyTimeout)
}

// applyResources starts the fake weight store and backend servers, applies the resources and grants a key. It uses the
// first daemon.
func (demo *demo) applyResources() error {
	weights, err := demo.serveFake(fake.NewWeights(fake.WeightsOptions{
		LoadTime: defaultLoadTime, FullSpeed: defaultFullSpeed, LoadsPerSecond: setup.DefaultLoadsPerSec, Parallel: setup.DefaultParallel,
	}))
	if err != nil {
		return err
	}
	engine, err := demo.serveFake(fake.NewEngine(fake.EngineOptions{Slots: 4, Weights: weights, StepTime: 20 * time.Millisecond}))
	if err != nil {
		return err
	}
	demo.service = fake.NewService()
	service, err := demo.serveFake(demo.service)
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
	demo.printStepf("%d resources were accepted as revision %d", len(resources), applied.Revision)
	var granted admin.GrantResult
	if err = demo.callOperatorAPI("/v1/keys/grant", admin.GrantRequest{Workspace: "shop"}, &granted); err != nil {
		return err
	}
	demo.key, demo.keyName = granted.Key, granted.Name
	demo.printStepf("key %s was granted to workspace shop", granted.Name)
	return nil
}

func (demo *demo) post(daemonNumber int, path, idempotencyKey, body string) (*http.Response, error) {
	url := "http://" + demo.daemons[daemonNumber].CallersAddress() + path
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

// streamCompletion streams a completion through the second daemon.
func (demo *demo) streamCompletion() error {
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
		return fmt.Errorf("%w: the completion is incomplete: %s %s", errFailed, response.Status, content)
	}
	demo.printStepf("host-2 streamed %d events of a completion on %s", events, response.Header.Get("X-Lentil-Version"))
	return nil
}

// sendOrderTwice sends one order with the same idempotency key to both daemons.
func (demo *demo) sendOrderTwice() error {
	var bodies []string
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
			return fmt.Errorf("%w: unexpected response to the order: %s %s", errFailed, response.Status, content)
		}
		bodies = append(bodies, string(content))
	}
	if executions := demo.service.Stats().Executions["order-17"]; executions != 1 || bodies[0] != bodies[1] {
		return fmt.Errorf("%w: the order was executed %d times, responses %v", errFailed, executions, bodies)
	}
	demo.printStepf("the order was executed once, and both daemons returned the same response")
	return nil
}

// withdrawKey withdraws the key while a completion is streaming.
func (demo *demo) withdrawKey() error {
	response, err := demo.post(1, "/v1/completions", "", completionBody(1000))
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	startedAt := time.Now()
	var withdrawn admin.ApplyResult
	if err = demo.callOperatorAPI("/v1/keys/withdraw", admin.NamedRequest{Name: demo.keyName}, &withdrawn); err != nil {
		return err
	}
	content, _ := io.ReadAll(response.Body)
	elapsed := time.Since(startedAt)
	if elapsed > demoWithdrawTimeout || strings.Contains(string(content), "[DONE]") || !strings.Contains(string(content), "key_withdrawn") {
		return fmt.Errorf("%w: the stream did not end in time after the key was withdrawn (%s)", errFailed, elapsed)
	}
	again, err := demo.post(0, "/v1/completions", "", completionBody(1))
	if err != nil {
		return err
	}
	_ = again.Body.Close()
	if again.StatusCode != http.StatusUnauthorized {
		return fmt.Errorf("%w: unexpected response to a request with the withdrawn key: %s", errFailed, again.Status)
	}
	demo.printStepf("the key was withdrawn: the open stream ended after %d ms, and new requests are refused", elapsed.Milliseconds())
	return nil
}

func (demo *demo) stopDaemons() error {
	for _, running := range demo.daemons {
		running.Stop()
		if err := running.Err(); err != nil {
			return err
		}
	}
	demo.printStepf("both daemons stopped without errors")
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
