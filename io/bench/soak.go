package bench

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"lentilproxy/io/soak"
)

// soakCommand runs daemons as processes, injects faults and checks for violations.
type soakCommand struct {
	Seeds   []uint64      `long:"seed" description:"seed of a run; may be repeated" default:"1"`
	Length  time.Duration `long:"length" description:"length of each run" default:"40s"`
	Hosts   int           `long:"hosts" description:"number of daemons" default:"4"`
	Engines int           `long:"engines" description:"number of fake engines" default:"3"`
	Plain   int           `long:"plain" description:"number of fake plain servers" default:"2"`
	Callers int           `long:"callers" description:"number of callers" default:"16"`
	Program string        `long:"lentild" value-name:"FILE" description:"path of lentild; by default in the folder of this program"`
	Logs    string        `long:"logs" value-name:"FOLDER" description:"folder for the logs of runs with violations" default:"soak-logs"`

	out io.Writer
}

// Execute implements flags.Commander.
func (command *soakCommand) Execute([]string) error {
	if command.Hosts < 1 || command.Engines < 1 || command.Plain < 1 || command.Callers < 1 {
		return fmt.Errorf("hosts, engines, plain servers and callers must be at least 1: %w", errFailed)
	}
	program := command.Program
	if program == "" {
		executable, err := os.Executable()
		if err != nil {
			return err
		}
		program = filepath.Join(filepath.Dir(executable), "lentild")
	}
	failedRuns := 0
	for _, seed := range command.Seeds {
		folder := filepath.Join(command.Logs, fmt.Sprint("seed-", seed))
		if err := os.MkdirAll(folder, 0o750); err != nil {
			return err
		}
		report, err := soak.Run(soak.Options{
			Seed: seed, Length: command.Length, Hosts: command.Hosts, Engines: command.Engines, PlainServers: command.Plain, Callers: command.Callers,
			Program: program, Folder: folder,
		})
		if err != nil {
			return err
		}
		_, _ = fmt.Fprintf(command.out, "seed %d: %d disturbances, %d of %d requests served, %d broken promises\n",
			seed, len(report.Events), report.Served, report.Requests, len(report.Violations))
		for _, violation := range report.Violations {
			_, _ = fmt.Fprintf(command.out, "  %s\n", violation)
		}
		if len(report.Violations) > 0 {
			failedRuns++
			continue
		}
		// Only the logs of runs with violations are kept.
		if err = os.RemoveAll(folder); err != nil {
			return err
		}
	}
	if failedRuns > 0 {
		return fmt.Errorf("%d of %d runs had violations: %w", failedRuns, len(command.Seeds), errFailed)
	}
	return nil
}
