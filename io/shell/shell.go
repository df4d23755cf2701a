// Package shell implements the operators' command-line client.
package shell

import (
	"errors"
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"
)

// Exit codes of the command line.
const (
	ExitOK = 0
	// ExitFailed means that the daemon could not be reached, or that it failed.
	ExitFailed = 1
	// ExitUsage means that the arguments or the resources are wrong; nothing was changed.
	ExitUsage = 2
	// ExitConflict means that the daemon rejected the change; nothing was changed.
	ExitConflict = 3
	// ExitPending means that the change is committed but not yet in force everywhere.
	ExitPending = 4
	// ExitUnknown means that the change may or may not have taken effect.
	ExitUnknown = 5
)

// exitError is an error that holds the exit code of the command.
type exitError struct {
	code    int
	message string
}

// Error implements error.
func (exitError *exitError) Error() string { return exitError.message }

func fail(code int, format string, args ...any) error {
	return &exitError{code: code, message: fmt.Sprintf(format, args...)}
}

// globals are the options of all commands.
type globals struct {
	Address string `short:"a" long:"address" value-name:"IP:PORT" default:"127.0.0.1:8081" env:"LENTIL_OPERATORS" description:"operators' address of any daemon"`
	Output  string `short:"o" long:"output" choice:"table" choice:"json" default:"table" description:"output format"`

	Apply    applyCommand    `command:"apply" description:"declare the resources of files"`
	Get      getCommand      `command:"get" description:"list the resources of a kind"`
	Describe describeCommand `command:"describe" description:"show one resource in full"`
	Watch    watchCommand    `command:"watch" description:"print each new revision and when it is in force"`
	Delete   deleteCommand   `command:"delete" description:"remove a resource"`
	Key      keyCommands     `command:"key" description:"grant and withdraw keys"`
	Drain    drainCommand    `command:"drain" description:"take a backend server or a data centre out of service, or back"`
	Explain  explainCommand  `command:"explain" description:"show where a request would go now, and why, without sending it"`
	Status   statusCommand   `command:"status" description:"show hosts, the revisions that they hold, pools and limits"`
	Report   reportCommands  `command:"report" description:"print reports"`
	Complete completeCommand `command:"completion" description:"print the completion script for bash"`

	out io.Writer
}

type keyCommands struct {
	Grant    grantCommand    `command:"grant" description:"create a key for a workspace; it is shown only once"`
	Withdraw withdrawCommand `command:"withdraw" description:"withdraw a key, also for requests in progress"`
}

type reportCommands struct {
	Burn burnCommand `command:"burn" description:"report how fast error budgets are consumed"`
}

// Main runs one command and returns its exit code.
func Main(args []string, output, failures io.Writer) int {
	options := &globals{out: output}
	options.bind()
	parser := flags.NewParser(options, flags.HelpFlag|flags.PassDoubleDash)
	parser.Name = "lentilctl"
	parser.LongDescription = help
	_, err := parser.ParseArgs(args)
	var (
		flagsError *flags.Error
		exit       *exitError
	)
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &flagsError) && flagsError.Type == flags.ErrHelp:
		_, _ = fmt.Fprintln(output, err)
		return ExitOK
	case errors.As(err, &exit):
		if exit.message != "" {
			_, _ = fmt.Fprintln(failures, "lentilctl:", exit.message)
		}
		return exit.code
	default:
		_, _ = fmt.Fprintln(failures, "lentilctl:", err)
		return ExitUsage
	}
}

// bind gives each command the global options.
func (globals *globals) bind() {
	globals.Apply.globals = globals
	globals.Get.globals = globals
	globals.Describe.globals = globals
	globals.Watch.globals = globals
	globals.Delete.globals = globals
	globals.Key.Grant.globals = globals
	globals.Key.Withdraw.globals = globals
	globals.Drain.globals = globals
	globals.Explain.globals = globals
	globals.Status.globals = globals
	globals.Report.Burn.globals = globals
	globals.Complete.globals = globals
}

const help = `Declares and watches the resources of a lentilproxy deployment through any of its daemons.

Examples:
  lentilctl apply -f shop.ini            declare the resources of a file, all or none
  lentilctl apply -f shop.ini --dry-run  show what would change
  lentilctl key grant shop               create a key for workspace shop
  lentilctl key withdraw 4f1c2a          withdraw that key
  lentilctl drain engine-1               send no new work to engine-1
  lentilctl status                       show hosts, pools and limits
  lentilctl explain -w shop /services/stock/rib
                                         show where such a request would go now

Exit codes: 0 done, 1 failed, 2 wrong arguments or resources, 3 rejected, 4 committed but not yet in force
everywhere, 5 unknown whether it took effect. For explain: 0 the request would be sent or would wait, 3 it would be
refused.`
