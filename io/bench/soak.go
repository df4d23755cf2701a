package bench

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"lentilproxy/io/soak"
)

// soakCommand plays disturbances against daemons that run as processes.
type soakCommand struct {
	Seed    []uint64      `long:"seed" description:"seed of a run; may be repeated" default:"1"`
	Length  time.Duration `long:"length" description:"length of each run" default:"40s"`
	Hosts   int           `long:"hosts" description:"number of daemons" default:"4"`
	Engines int           `long:"engines" description:"number of stand-ins of engines" default:"3"`
	Plain   int           `long:"plain" description:"number of stand-ins of plain servers" default:"2"`
	Callers int           `long:"callers" description:"number of callers" default:"16"`
	Program string        `long:"lentild" value-name:"FILE" description:"the daemon; by default the one beside this program"`
	Logs    string        `long:"logs" value-name:"FOLDER" description:"where runs that broke a promise leave their logs" default:"soak-logs"`

	out io.Writer
}

// Execute implements flags.Commander.
func (command *soakCommand) Execute([]string) error {
	if command.Hosts < 1 || command.Engines < 1 || command.Plain < 1 || command.Callers < 1 {
		return fmt.Errorf("hosts, engines, plain servers and callers have to be 1 or more: %w", errFailed)
	}
	program := command.Program
	if program == "" {
		self, err := os.Executable()
		if err != nil {
			return err
		}
		program = filepath.Join(filepath.Dir(self), "lentild")
	}
	broken := 0
	for _, seed := range command.Seed {
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
			broken++
			continue
		}
		// Only runs that broke a promise leave something.
		if err = os.RemoveAll(folder); err != nil {
			return err
		}
	}
	if broken > 0 {
		return fmt.Errorf("%d of %d runs broke a promise: %w", broken, len(command.Seed), errFailed)
	}
	return nil
}
