package sched

import (
	"time"

	"lentilproxy/core/spec"
)

// Run is a request under way on a server. It has to be ended once.
type Run struct {
	server  string
	adapter string
	born    int64
	usage   Usage
	backlog int64
	sentAt  time.Time
	first   bool
}

// Server returns the server of the run.
func (run *Run) Server() string { return run.server }

// Adapter returns the adapter that the run uses, or "".
func (run *Run) Adapter() string { return run.adapter }

// Start counts a request that is about to be sent.
func (table *Table) Start(now time.Time, entry spec.Server, job Job) *Run {
	run := &Run{
		server: entry.ID, adapter: job.Ref.Adapter, born: entry.Born, sentAt: now,
		usage: Usage{Running: 1, Backlog: job.Prompt, Tokens: job.Prompt + job.Output},
	}
	if known := table.running(run); known != nil {
		run.backlog = known.usage(now).Backlog + job.Prompt
		known.own = known.own.plus(run.usage)
	}
	return run
}

func (table *Table) running(run *Run) *server {
	if known := table.servers[run.server]; known != nil && known.born == run.born {
		return known
	}
	return nil
}

// First counts the first token of a request.
func (table *Table) First(now time.Time, run *Run) {
	if run.first {
		return
	}
	run.first = true
	known := table.running(run)
	if known == nil {
		return
	}
	known.own.Backlog -= run.usage.Backlog
	if run.backlog >= paceTokens {
		pace := min(max((now.Sub(run.sentAt)-baseLatency)/time.Duration(run.backlog), minPace), maxPace)
		known.pace += time.Duration(paceWeight * float64(pace-known.pace))
	}
}

// End counts the end of a request.
func (table *Table) End(run *Run) {
	known := table.running(run)
	if known == nil {
		return
	}
	if !run.first {
		known.own.Backlog -= run.usage.Backlog
	}
	known.own.Running -= run.usage.Running
	known.own.Tokens -= run.usage.Tokens
}
