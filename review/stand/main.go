//go:build review

// Command stand plays the cases of the review: it starts daemons as processes, with stand-ins for the platform, the
// servers and the callers around them, and checks one rule.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// maxRunTime bounds a case.
const maxRunTime = 112 * time.Second

var cases = map[string]func(stand *stand) (broken bool, err error){}

// stand is the surroundings of one case.
type stand struct {
	folder  string
	trouble bool
	started time.Time
	// hosts is the number of daemons that were started.
	hosts int

	mutex  sync.Mutex
	record *os.File
	closes []func()
}

// logf writes a line to the record.
func (stand *stand) logf(format string, args ...any) {
	stand.mutex.Lock()
	defer stand.mutex.Unlock()
	_, _ = fmt.Fprintf(stand.record, "%8.3f  %s\n", time.Since(stand.started).Seconds(), fmt.Sprintf(format, args...))
}

// onClose registers a function to be called at the end, in reverse order.
func (stand *stand) onClose(function func()) {
	stand.mutex.Lock()
	defer stand.mutex.Unlock()
	stand.closes = append(stand.closes, function)
}

func (stand *stand) close() {
	stand.mutex.Lock()
	closes := stand.closes
	stand.closes = nil
	stand.mutex.Unlock()
	for index := len(closes) - 1; index >= 0; index-- {
		closes[index]()
	}
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE FOLDER")
		return exitFailed
	}
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer func() { _ = os.RemoveAll(folder) }()
	record, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer func() { _ = record.Close() }()
	stand := &stand{folder: folder, trouble: os.Getenv("TROUBLE") != "0", started: time.Now(), record: record}
	type result struct {
		broken bool
		err    error
	}
	results := make(chan result, 1)
	go func() {
		broken, err := cases[os.Args[1]](stand)
		results <- result{broken, err}
	}()
	outcome := result{err: fmt.Errorf("the case took more than %v", maxRunTime)}
	select {
	case outcome = <-results:
	case <-time.After(maxRunTime):
	}
	stand.close()
	switch {
	case outcome.err != nil:
		stand.logf("the case could not run: %v", outcome.err)
		fmt.Println("the case could not run:", outcome.err)
		return exitFailed
	case outcome.broken:
		stand.logf("the rule was broken")
		fmt.Println("the rule was broken")
		return exitBroken
	default:
		stand.logf("the rule held")
		fmt.Println("the rule held")
		return exitHeld
	}
}
