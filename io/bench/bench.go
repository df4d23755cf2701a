// Package bench runs the stand-ins of outside systems, the demonstration and the measurements.
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

// Defaults of the stand-ins, after the smaller deployment.
const (
	defaultLoadTime  = 250 * time.Millisecond
	defaultFullSpeed = 16
)

type commands struct {
	Table   tableCommand   `command:"table" description:"stand-in for the platform's table service and host list"`
	Weights weightsCommand `command:"weights" description:"stand-in for the weight store"`
	Engine  engineCommand  `command:"engine" description:"stand-in for a model engine"`
	Service serviceCommand `command:"service" description:"stand-in for a plain service"`
	Load    loadCommand    `command:"load" description:"run a load experiment and report on it"`
	Demo    demoCommand    `command:"demo" description:"run the main job on embedded stand-ins"`
	Hosted  hostedCommand  `command:"hosted" description:"run the main job on a stand-in of the operators' platform"`
	Soak    soakCommand    `command:"soak" description:"disturb daemons that run as processes, and check their promises"`
}

// errFailed is the cause of a run that did not go as it should.
var errFailed = errors.New("failed")

// Main runs one command and returns its exit code.
func Main(args []string, output, failures io.Writer) int {
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
		_, _ = fmt.Fprintln(failures, "lentildev:", err)
		return ExitUsage
	default:
		_, _ = fmt.Fprintln(failures, "lentildev:", err)
		return ExitFailed
	}
}

// standIn are the options of all stand-ins.
type standIn struct {
	Listen string `long:"listen" value-name:"IP:PORT" default:"127.0.0.1:0" description:"address to serve"`

	out io.Writer
}

// serve serves a handler until the process is told to stop.
func (stand *standIn) serve(handler http.Handler) error {
	server, err := fake.Serve(stand.Listen, handler)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintln(stand.out, "listening on", server.Address())
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	server.Close()
	return nil
}

type tableCommand struct{ standIn }

// Execute implements flags.Commander.
func (command *tableCommand) Execute([]string) error { return command.serve(fake.NewTable()) }

type weightsCommand struct {
	standIn
	LoadTime  time.Duration `long:"load-time" default:"250ms" description:"time of a load at full speed"`
	FullSpeed int           `long:"full-speed" default:"2" description:"loads at once at full speed"`
	PerSecond float64       `long:"per-second" default:"3" description:"loads a second that the store allows"`
}

// Execute implements flags.Commander.
func (command *weightsCommand) Execute([]string) error {
	return command.serve(fake.NewWeights(fake.WeightsOptions{
		LoadTime: command.LoadTime, FullSpeed: command.FullSpeed, LoadsPerSecond: command.PerSecond, Parallel: command.FullSpeed,
	}))
}

type engineCommand struct {
	standIn
	Slots         int           `long:"slots" default:"4" description:"adapters that fit"`
	Weights       string        `long:"weights" value-name:"IP:PORT" description:"weight store; without one, loads take no time"`
	ChecksFencing bool          `long:"checks-fencing" description:"refuse orders with an old fencing number"`
	StepTime      time.Duration `long:"step-time" default:"10ms" description:"time of a decoding step"`
	StepGrowth    time.Duration `long:"step-growth" default:"500us" description:"time added to a step for each running request"`
	RestartTime   time.Duration `long:"restart-time" default:"500ms" description:"time away after a crash"`
}

// Execute implements flags.Commander.
func (command *engineCommand) Execute([]string) error {
	return command.serve(fake.NewEngine(fake.EngineOptions{
		Slots: command.Slots, Weights: command.Weights, ChecksFencing: command.ChecksFencing,
		StepTime: command.StepTime, StepTimePerRequest: command.StepGrowth, RestartTime: command.RestartTime,
	}))
}

type serviceCommand struct{ standIn }

// Execute implements flags.Commander.
func (command *serviceCommand) Execute([]string) error { return command.serve(fake.NewService()) }
