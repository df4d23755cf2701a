package daemon

import (
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"lentilproxy/core/decl"
	"lentilproxy/core/setup"

	"github.com/go-logr/logr"
	"github.com/go-logr/zerologr"
	"github.com/jessevdk/go-flags"
	"github.com/rs/zerolog"
)

// Exit codes of the daemon.
const (
	ExitOK       = 0
	ExitFailed   = 1
	ExitSettings = 2
)

type arguments struct {
	Config string `short:"c" long:"config" value-name:"FILE" description:"settings file (INI)" required:"true"`
	Check  bool   `long:"check" description:"check the settings and exit"`
}

// Main runs the daemon with command-line arguments and returns its exit code.
func Main(args []string, output, failures io.Writer) int {
	var options arguments
	parser := flags.NewParser(&options, flags.HelpFlag|flags.PassDoubleDash)
	parser.Name = "lentild"
	if _, err := parser.ParseArgs(args); err != nil {
		return explain(err, output, failures)
	}
	settings, faults := readSettings(options.Config)
	if len(faults) > 0 {
		for _, fault := range faults {
			_, _ = fmt.Fprintln(failures, fault)
		}
		return ExitSettings
	}
	if options.Check {
		_, _ = fmt.Fprintln(output, "settings are valid")
		return ExitOK
	}
	return run(settings, output, failures)
}

func explain(err error, output, failures io.Writer) int {
	var flagsError *flags.Error
	if errors.As(err, &flagsError) && flagsError.Type == flags.ErrHelp {
		_, _ = fmt.Fprintln(output, err)
		return ExitOK
	}
	_, _ = fmt.Fprintln(failures, err)
	return ExitSettings
}

func readSettings(path string) (*setup.Settings, []decl.Fault) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, []decl.Fault{decl.NewFault(path, 0, "", err.Error())}
	}
	file, faults := decl.Parse(path, content)
	if file == nil {
		return nil, faults
	}
	settings, more := setup.Parse(file)
	return settings, append(faults, more...)
}

// NewLog returns a log of JSON lines.
func NewLog(output io.Writer) logr.Logger {
	zerologr.NameFieldName = "part"
	logger := zerolog.New(output).With().Timestamp().Logger()
	return zerologr.New(&logger)
}

func run(settings *setup.Settings, output, failures io.Writer) int {
	daemon, err := New(settings, WithLog(NewLog(output)))
	if err != nil {
		_, _ = fmt.Fprintln(failures, "lentild:", err)
		return ExitFailed
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-signals:
	case <-daemon.Failed():
	}
	daemon.Stop()
	if err = daemon.Err(); err != nil {
		_, _ = fmt.Fprintln(failures, "lentild:", err)
		return ExitFailed
	}
	return ExitOK
}
