package bench

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"lentilproxy/core/setup"
	"lentilproxy/io/daemon"
	"lentilproxy/platform/stub"

	"github.com/go-logr/logr"
)

// hostedTimeout bounds the time until a request of the demonstration gets the expected status.
const hostedTimeout = 20 * time.Second

type hostedCommand struct {
	Verbose bool `long:"verbose" description:"print the daemons' logs"`

	out io.Writer
}

// hosted runs the main use cases step by step on a stub of the operators' platform.
type hosted struct {
	out     io.Writer
	store   *stub.Store
	server  *http.Server
	address string
	servers []*stub.Server
	hosts   []*daemon.Hosted
	step    int
}

// Execute implements flags.Commander.
func (command *hostedCommand) Execute([]string) error {
	log := logr.Discard()
	if command.Verbose {
		log = daemon.NewLog(os.Stderr)
	}
	hosted := &hosted{out: command.out, store: stub.NewStore()}
	defer hosted.close()
	for _, step := range []func() error{
		hosted.startPlatform,
		func() error { return hosted.startHosts(log) },
		hosted.sendChat, hosted.sendOrder, hosted.withdrawKey, hosted.stopFirstHost,
	} {
		if err := step(); err != nil {
			return fmt.Errorf("step %d: %w", hosted.step, err)
		}
	}
	hosted.printStepf("all steps succeeded")
	return nil
}

func (hosted *hosted) printStepf(format string, args ...any) {
	hosted.step++
	_, _ = fmt.Fprintf(hosted.out, "%d. %s\n", hosted.step, fmt.Sprintf(format, args...))
}

func (hosted *hosted) close() {
	for _, host := range hosted.hosts {
		host.Kill()
	}
	for _, server := range hosted.servers {
		server.Close()
	}
	if hosted.server != nil {
		_ = hosted.server.Close()
	}
}

// startPlatform runs the store with a configuration, an engine and a plain server, and registers both servers.
func (hosted *hosted) startPlatform() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	hosted.address = listener.Addr().String()
	hosted.server = &http.Server{Handler: hosted.store, ReadHeaderTimeout: time.Second}
	go func() { _ = hosted.server.Serve(listener) }()
	config := stub.NewConfig()
	config.Apply(hosted.store)
	engine, err := stub.NewServer("engine-1", stub.ServiceChat, stub.WithModel(stub.Model, config.AdapterCapacity))
	if err != nil {
		return err
	}
	plain, err := stub.NewServer("plain-1", stub.ServiceOrders)
	if err != nil {
		return err
	}
	hosted.servers = []*stub.Server{engine, plain}
	for _, server := range hosted.servers {
		hosted.store.Put("servers", server.ID(), server.Registration("ready"))
	}
	hosted.printStepf("the store runs at %s, with a configuration and two registered servers", hosted.address)
	return nil
}

func (hosted *hosted) startHosts(log logr.Logger) error {
	for _, name := range []string{"host-1", "host-2"} {
		host, err := daemon.NewHosted(&setup.Settings{
			Host:     setup.Host{Name: name, DataCentre: "dc-1"},
			Listen:   setup.Listen{Callers: "127.0.0.1:0", Ready: "127.0.0.1:0", Peers: "127.0.0.1:0", AdvertisePeers: "127.0.0.1:0", Metrics: "127.0.0.1:0"},
			Platform: setup.Platform{Store: hosted.address},
			Bounds:   setup.DefaultBounds(),
		}, log)
		if err != nil {
			return err
		}
		hosted.hosts = append(hosted.hosts, host)
	}
	hosted.printStepf("two daemons are running; callers use %s and %s", hosted.hosts[0].CallersAddress(), hosted.hosts[1].CallersAddress())
	return nil
}

// requestUntil repeats a request to the first host until the response has the given status.
func (hosted *hosted) requestUntil(path, key, adapter string, status int) (stub.Response, error) {
	ctx, cancel := context.WithTimeout(context.Background(), hostedTimeout)
	defer cancel()
	for {
		response, err := stub.Send(ctx, hosted.hosts[0].CallersAddress(), path, key, adapter, "content")
		if err == nil && response.Status == status {
			return response, nil
		}
		select {
		case <-time.After(retryInterval):
		case <-ctx.Done():
			return response, fmt.Errorf("the last response had status %d: %w", response.Status, ctx.Err())
		}
	}
}

// retryInterval is the time between two attempts of a request.
const retryInterval = 50 * time.Millisecond

func (hosted *hosted) sendChat() error {
	response, err := hosted.requestUntil(stub.ChatPath, stub.Key, "a1", http.StatusOK)
	if err != nil {
		return err
	}
	hosted.printStepf("the engine loaded adapter a1 and streamed %d events", strings.Count(response.Body, "id:"))
	return nil
}

func (hosted *hosted) sendOrder() error {
	response, err := hosted.requestUntil(stub.OrderPath, stub.Key, "", http.StatusOK)
	if err != nil {
		return err
	}
	hosted.printStepf("an order was placed: %q", response.Body)
	return nil
}

// withdrawKey publishes a configuration without the key and waits until the key is refused.
func (hosted *hosted) withdrawKey() error {
	config := stub.NewConfig()
	config.Version, config.Keys = 2, []string{"another-key"}
	config.Apply(hosted.store)
	startedAt := time.Now()
	if _, err := hosted.requestUntil(stub.OrderPath, stub.Key, "", http.StatusUnauthorized); err != nil {
		return err
	}
	hosted.printStepf("the key was withdrawn, and refused after %d ms", time.Since(startedAt).Milliseconds())
	return nil
}

func (hosted *hosted) stopFirstHost() error {
	startedAt := time.Now()
	hosted.hosts[0].Stop()
	hosted.printStepf("the first daemon handed over its server and stopped after %d ms", time.Since(startedAt).Milliseconds())
	return nil
}
