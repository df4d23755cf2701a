package daemon

import (
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"lentilproxy/core/decl"
	"lentilproxy/core/setup"

	"github.com/go-logr/logr"
	"github.com/jessevdk/go-flags"
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
	return run(settings, options.Config, output, failures)
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

func run(settings *setup.Settings, path string, output, failures io.Writer) int {
	if settings.Platform.Store != "" {
		return runHosted(settings, path, output, failures)
	}
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

// settingsInterval is the time between two looks whether the settings file has changed without a signal.
const settingsInterval = 2 * time.Second

// runHosted runs a daemon on the operators' platform until a signal ends it.
func runHosted(settings *setup.Settings, path string, output, failures io.Writer) int {
	lines := NewLineWriter(output)
	defer lines.Close()
	log := NewLog(lines)
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	hosted, err := NewHosted(settings, log)
	if err != nil {
		_, _ = fmt.Fprintln(failures, "lentild:", err)
		return ExitFailed
	}
	watch := watcher{path: path}
	watch.changed()
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	for {
		select {
		case received := <-signals:
			if received != syscall.SIGHUP {
				hosted.Stop()
				return ExitOK
			}
			log.Info("settings signalled")
			watch.changed()
		case <-ticker.C:
			if !watch.changed() {
				continue
			}
		}
		reload(hosted, log, path)
	}
}

// reload takes the settings file in if it is valid.
func reload(hosted *Hosted, log logr.Logger, path string) {
	settings, faults := readSettings(path)
	if len(faults) > 0 {
		log.Info("settings rejected; the last good ones stay", "fault", faults[0].String(), "faults", len(faults))
		return
	}
	hosted.Reload(settings)
}

// watcher notices that a file has changed.
type watcher struct {
	path     string
	modified time.Time
	size     int64
}

func (watcher *watcher) changed() bool {
	status, err := os.Stat(watcher.path)
	if err != nil || (status.ModTime().Equal(watcher.modified) && status.Size() == watcher.size) {
		return false
	}
	watcher.modified, watcher.size = status.ModTime(), status.Size()
	return true
}
