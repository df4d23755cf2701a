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
	"lentilproxy/io/hold"

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
func Main(args []string, stdout, stderr io.Writer) int {
	var options arguments
	parser := flags.NewParser(&options, flags.HelpFlag|flags.PassDoubleDash)
	parser.Name = "lentild"
	if _, err := parser.ParseArgs(args); err != nil {
		return reportArgsError(err, stdout, stderr)
	}
	settings, faults := readSettings(options.Config)
	if len(faults) > 0 {
		for _, fault := range faults {
			_, _ = fmt.Fprintln(stderr, fault)
		}
		return ExitSettings
	}
	if options.Check {
		_, _ = fmt.Fprintln(stdout, "settings are valid")
		return ExitOK
	}
	return run(settings, options.Config, stdout, stderr)
}

func reportArgsError(err error, stdout, stderr io.Writer) int {
	var flagsError *flags.Error
	if errors.As(err, &flagsError) && flagsError.Type == flags.ErrHelp {
		_, _ = fmt.Fprintln(stdout, err)
		return ExitOK
	}
	_, _ = fmt.Fprintln(stderr, err)
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

func run(settings *setup.Settings, path string, stdout, stderr io.Writer) int {
	hold.LimitRuntime(hold.Memory(settings.Host.MemoryLimitMB))
	if settings.Platform.Store != "" {
		return runHosted(settings, path, stdout, stderr)
	}
	daemon, err := New(settings, WithLog(NewLog(stdout)))
	if err != nil {
		_, _ = fmt.Fprintln(stderr, "lentild:", err)
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
		_, _ = fmt.Fprintln(stderr, "lentild:", err)
		return ExitFailed
	}
	return ExitOK
}

// settingsPollInterval is the time between two checks of the settings file, whose changes apply even without a signal.
const settingsPollInterval = 2 * time.Second

// runHosted runs a daemon on the operators' platform until a signal ends it.
func runHosted(settings *setup.Settings, path string, stdout, stderr io.Writer) int {
	lines := NewLineWriter(stdout)
	defer lines.Close()
	log := NewLog(lines)
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	hosted, err := NewHosted(settings, log)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, "lentild:", err)
		return ExitFailed
	}
	watcher := fileWatcher{path: path}
	watcher.changed()
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	for {
		select {
		case received := <-signals:
			if received != syscall.SIGHUP {
				hosted.Stop()
				return ExitOK
			}
			log.Info("received SIGHUP; reloading the settings")
			watcher.changed()
		case <-ticker.C:
			if !watcher.changed() {
				continue
			}
		}
		reload(hosted, log, path)
	}
}

// reload applies the settings file if it is valid.
func reload(hosted *Hosted, log logr.Logger, path string) {
	settings, faults := readSettings(path)
	if len(faults) > 0 {
		log.Info("settings rejected; keeping the last valid ones", "fault", faults[0].String(), "faults", len(faults))
		return
	}
	hosted.Reload(settings)
}

// fileWatcher detects changes of a file by its modification time and size.
type fileWatcher struct {
	path     string
	modified time.Time
	size     int64
}

func (fileWatcher *fileWatcher) changed() bool {
	status, err := os.Stat(fileWatcher.path)
	if err != nil || (status.ModTime().Equal(fileWatcher.modified) && status.Size() == fileWatcher.size) {
		return false
	}
	fileWatcher.modified, fileWatcher.size = status.ModTime(), status.Size()
	return true
}
