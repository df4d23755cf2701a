package bench

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/go-logr/logr"

	"lentilproxy/core/conf"
	"lentilproxy/core/decl"
	"lentilproxy/core/setup"
	"lentilproxy/io/admin"
	"lentilproxy/io/daemon"
	"lentilproxy/io/fake"
)

const (
	pollInterval    = 50 * time.Millisecond
	clientTimeout   = 30 * time.Second
	anyLocalAddress = "127.0.0.1:0"
)

// deployment is a complete deployment in one process: fakes and daemons.
type deployment struct {
	fakes   []*fake.Server
	daemons []*daemon.Daemon
	client  *http.Client
}

func newDeployment() *deployment {
	return &deployment{client: &http.Client{Timeout: clientTimeout}}
}

func (deployment *deployment) close() {
	done := make(chan struct{}, len(deployment.daemons))
	for _, running := range deployment.daemons {
		go func() {
			running.Stop()
			done <- struct{}{}
		}()
	}
	for range deployment.daemons {
		<-done
	}
	for _, fakeServer := range deployment.fakes {
		fakeServer.Close()
	}
}

// serveFake serves a fake on a free local port and returns its address.
func (deployment *deployment) serveFake(handler http.Handler) (string, error) {
	server, err := fake.Serve(anyLocalAddress, handler)
	if err != nil {
		return "", err
	}
	deployment.fakes = append(deployment.fakes, server)
	return server.Address(), nil
}

// startDaemons runs the fake table service and daemons. If change is not nil, it may modify the default settings of
// each daemon before the daemon starts.
func (deployment *deployment) startDaemons(count int, log logr.Logger, change func(number int, settings *setup.Settings)) error {
	tableAddress, err := deployment.serveFake(fake.NewTable())
	if err != nil {
		return err
	}
	for number := range count {
		settings := defaultSettings(fmt.Sprintf("host-%d", number+1), tableAddress)
		if change != nil {
			change(number, settings)
		}
		running, err := daemon.New(settings, daemon.WithLog(log))
		if err != nil {
			return err
		}
		deployment.daemons = append(deployment.daemons, running)
	}
	return nil
}

func defaultSettings(name, tableAddress string) *setup.Settings {
	return &setup.Settings{
		Host: setup.Host{Name: name, DataCentre: "dc-1"},
		Listen: setup.Listen{
			Callers: anyLocalAddress, Operators: anyLocalAddress, Peers: anyLocalAddress, AdvertisePeers: anyLocalAddress,
		},
		Platform: setup.Platform{Table: tableAddress},
		Weights:  setup.Weights{LoadsPerSecond: setup.DefaultLoadsPerSec, Parallel: setup.DefaultParallel, Policy: setup.DefaultPolicy},
		Traffic: setup.Traffic{
			MaxBodyBytes: setup.DefaultMaxBodyBytes, QueueTimeout: setup.DefaultQueueTimeout,
			StopTimeout: setup.DefaultStopTimeout, DefaultMaxTokens: setup.DefaultMaxTokens,
		},
	}
}

// awaitRoster waits until all daemons are ready and each of them has a settled roster of all daemons.
func (deployment *deployment) awaitRoster(timeout time.Duration) error {
	return awaitCondition(timeout, "a settled roster of ready daemons", func() bool {
		for _, running := range deployment.daemons {
			roster := running.Node().View().State().Roster()
			if !running.Node().Ready(time.Now()) || !roster.Settled || len(roster.Members) != len(deployment.daemons) {
				return false
			}
		}
		return true
	})
}

func awaitCondition(timeout time.Duration, what string, condition func() bool) error {
	deadline := time.Now().Add(timeout)
	for !condition() {
		if time.Now().After(deadline) {
			return fmt.Errorf("%w: %s not reached within %s", errFailed, what, timeout)
		}
		time.Sleep(pollInterval)
	}
	return nil
}

func parseResources(content []byte) ([]conf.Resource, error) {
	file, faults := decl.Parse("resources", content)
	if len(faults) == 0 {
		var resources []conf.Resource
		if resources, faults = conf.ParseResources(file); len(faults) == 0 {
			return resources, nil
		}
	}
	return nil, fmt.Errorf("%w: %v", errFailed, faults[0])
}

// apply applies resources through the first daemon and waits until they are accepted.
func (deployment *deployment) apply(resources []conf.Resource) (admin.ApplyResult, error) {
	var applied admin.ApplyResult
	if err := deployment.callOperatorAPI("/v1/apply", admin.ApplyRequest{Resources: resources}, &applied); err != nil {
		return applied, err
	}
	if !applied.Accepted.Status {
		return applied, fmt.Errorf("%w: the resources were not accepted: %+v", errFailed, applied)
	}
	return applied, nil
}

// callOperatorAPI sends a request to the operators' interface of the first daemon and decodes the response into result.
func (deployment *deployment) callOperatorAPI(path string, body, result any) error {
	content, err := json.Marshal(body)
	if err != nil {
		return err
	}
	response, err := deployment.client.Post("http://"+deployment.daemons[0].OperatorsAddress()+path, "application/json", bytes.NewReader(content))
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	return json.NewDecoder(response.Body).Decode(result)
}
