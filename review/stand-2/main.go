//go:build review

// Command stand-2 plays the cases of the second review that are scripts: it starts lentild as processes on loopback addresses, beside
// stand-ins of the platform, the backend servers and the callers, and judges what these see.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// The exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases maps the names of cases to the functions that play them. They return whether the rule was broken.
var cases = map[string]func(stand *stand) (broken bool, err error){
	"hidden":  playHidden,
	"late":    playLate,
	"filled":  playFilled,
	"drain":   playDrain,
	"loans":   playLoans,
	"lowered": playLowered,
}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand-2 CASE RECORD")
		return exitNotRun
	}
	stand, err := newStand(os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	interrupts := make(chan os.Signal, 1)
	signal.Notify(interrupts, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupts
		stand.close()
		os.Exit(exitNotRun)
	}()
	broken, err := cases[os.Args[1]](stand)
	if err != nil {
		stand.record("the case could not run: %v", err)
	}
	stand.close()
	switch {
	case err != nil:
		return exitNotRun
	case broken:
		return exitBroken
	default:
		return exitHeld
	}
}
