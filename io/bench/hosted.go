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

// hostedWait bounds the time of each step of the demonstration.
const hostedWait = 20 * time.Second

type hostedCommand struct {
	Verbose bool `long:"verbose" description:"print the daemons' logs"`

	out io.Writer
}

// hosted is a walk through the main job on the operators' platform.
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
		hosted.chat, hosted.order, hosted.withdraw, hosted.stop,
	} {
		if err := step(); err != nil {
			return fmt.Errorf("step %d: %w", hosted.step, err)
		}
	}
	hosted.sayf("everything went as it should")
	return nil
}

func (hosted *hosted) sayf(format string, args ...any) {
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

// startPlatform runs the store with a configuration, an engine and a plain server.
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
		hosted.store.Put("servers", server.ID(), server.Entry("ready"))
	}
	hosted.sayf("the store runs at %s, with a configuration and two registered servers", hosted.address)
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
	hosted.sayf("two daemons run, for callers at %s and %s", hosted.hosts[0].Callers(), hosted.hosts[1].Callers())
	return nil
}

// ask repeats a request until it gets a status.
func (hosted *hosted) ask(path, key, adapter string, want int) (stub.Response, error) {
	ctx, cancel := context.WithTimeout(context.Background(), hostedWait)
	defer cancel()
	for {
		answer, err := stub.Send(ctx, hosted.hosts[0].Callers(), path, key, adapter, "content")
		if err == nil && answer.Status == want {
			return answer, nil
		}
		select {
		case <-time.After(serverPause):
		case <-ctx.Done():
			return answer, fmt.Errorf("the last answer was %d: %w", answer.Status, ctx.Err())
		}
	}
}

// serverPause is the time between two attempts of a demonstration.
const serverPause = 50 * time.Millisecond

func (hosted *hosted) chat() error {
	answer, err := hosted.ask(stub.ChatPath, stub.Key, "a1", http.StatusOK)
	if err != nil {
		return err
	}
	hosted.sayf("the engine has loaded adapter a1 and streamed %d events", strings.Count(answer.Body, "id:"))
	return nil
}

func (hosted *hosted) order() error {
	answer, err := hosted.ask(stub.OrderPath, stub.Key, "", http.StatusOK)
	if err != nil {
		return err
	}
	hosted.sayf("an order was placed: %q", answer.Body)
	return nil
}

// withdraw takes the key away by a new configuration.
func (hosted *hosted) withdraw() error {
	config := stub.NewConfig()
	config.Version, config.Keys = 2, []string{"another-key"}
	config.Apply(hosted.store)
	startedAt := time.Now()
	if _, err := hosted.ask(stub.OrderPath, stub.Key, "", http.StatusUnauthorized); err != nil {
		return err
	}
	hosted.sayf("the key was withdrawn, and refused after %d ms", time.Since(startedAt).Milliseconds())
	return nil
}

func (hosted *hosted) stop() error {
	startedAt := time.Now()
	hosted.hosts[0].Stop()
	hosted.sayf("the first daemon has handed over its server and ended after %d ms", time.Since(startedAt).Milliseconds())
	return nil
}
