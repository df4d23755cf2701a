// Package bench implements the commands of lentildev: fakes of the external systems, demonstrations, load experiments
// and soak tests.
package bench

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"lentilproxy/io/fake"

	"github.com/jessevdk/go-flags"
)

// Exit codes.
const (
	ExitOK     = 0
	ExitFailed = 1
	ExitUsage  = 2
)

// Defaults of the fake weight store. They match the smaller deployment, examples/load/guarda-chuva.ini.
const (
	defaultLoadTime  = 250 * time.Millisecond
	defaultFullSpeed = 16
)

type commands struct {
	Table   tableCommand   `command:"table" description:"run a fake of the platform's table service and host list"`
	Weights weightsCommand `command:"weights" description:"run a fake weight store"`
	Engine  engineCommand  `command:"engine" description:"run a fake model engine"`
	Service serviceCommand `command:"service" description:"run a fake plain service"`
	Load    loadCommand    `command:"load" description:"run a load experiment and print a report"`
	Demo    demoCommand    `command:"demo" description:"run the main use cases on embedded daemons and fakes"`
	Hosted  hostedCommand  `command:"hosted" description:"run the main use cases on a stub of the operators' platform"`
	Soak    soakCommand    `command:"soak" description:"run daemons as processes, inject faults and check for violations"`
}

// errFailed is wrapped by the errors of failed checks and invalid input.
var errFailed = errors.New("failed")

// Main runs one command and returns its exit code.
func Main(args []string, output, errorOutput io.Writer) int {
	options := &commands{}
	options.Table.out = output
	options.Weights.out = output
	options.Engine.out = output
	options.Service.out = output
	options.Demo.out = output
	options.Hosted.out = output
	options.Soak.out = output
	options.Load.out = output
	parser := flags.NewParser(options, flags.HelpFlag|flags.PassDoubleDash)
	parser.Name = "lentildev"
	_, err := parser.ParseArgs(args)
	var flagsError *flags.Error
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &flagsError) && flagsError.Type == flags.ErrHelp:
		_, _ = fmt.Fprintln(output, err)
		return ExitOK
	case errors.As(err, &flagsError):
		_, _ = fmt.Fprintln(errorOutput, "lentildev:", err)
		return ExitUsage
	default:
		_, _ = fmt.Fprintln(errorOutput, "lentildev:", err)
		return ExitFailed
	}
}

// fakeServer holds the options that all fakes share.
type fakeServer struct {
	Listen string `long:"listen" value-name:"IP:PORT" default:"127.0.0.1:0" description:"address to serve"`

	out io.Writer
}

// serve serves a handler until the process receives SIGTERM or SIGINT.
func (fakeServer *fakeServer) serve(handler http.Handler) error {
	server, err := fake.Serve(fakeServer.Listen, handler)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintln(fakeServer.out, "listening on", server.Address())
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	server.Close()
	return nil
}

type tableCommand struct{ fakeServer }

// Execute implements flags.Commander.
func (command *tableCommand) Execute([]string) error { return command.serve(fake.NewTable()) }

type weightsCommand struct {
	fakeServer
	LoadTime  time.Duration `long:"load-time" default:"250ms" description:"duration of a load at full speed"`
	FullSpeed int           `long:"full-speed" default:"2" description:"number of concurrent loads at full speed"`
	PerSecond float64       `long:"per-second" default:"3" description:"loads per second that the store allows"`
}

// Execute implements flags.Commander.
func (command *weightsCommand) Execute([]string) error {
	return command.serve(fake.NewWeights(fake.WeightsOptions{
		LoadTime: command.LoadTime, FullSpeed: command.FullSpeed, LoadsPerSecond: command.PerSecond, Parallel: command.FullSpeed,
	}))
}

type engineCommand struct {
	fakeServer
	Slots         int           `long:"slots" default:"4" description:"number of adapter slots"`
	Weights       string        `long:"weights" value-name:"IP:PORT" description:"weight store; without one, loads take no time"`
	ChecksFencing bool          `long:"checks-fencing" description:"refuse orders with an old fencing token"`
	StepTime      time.Duration `long:"step-time" default:"10ms" description:"duration of a decoding step"`
	StepGrowth    time.Duration `long:"step-growth" default:"500us" description:"time added to a step for each running request"`
	RestartTime   time.Duration `long:"restart-time" default:"500ms" description:"downtime after a crash"`
}

// Execute implements flags.Commander.
func (command *engineCommand) Execute([]string) error {
	return command.serve(fake.NewEngine(fake.EngineOptions{
		Slots: command.Slots, Weights: command.Weights, ChecksFencing: command.ChecksFencing,
		StepTime: command.StepTime, StepTimePerRequest: command.StepGrowth, RestartTime: command.RestartTime,
	}))
}

type serviceCommand struct{ fakeServer }

// Execute implements flags.Commander.
func (command *serviceCommand) Execute([]string) error { return command.serve(fake.NewService()) }
