package sched

import (
	"time"

	"lentilproxy/core/spec"
)

// Run is a request in progress on a server. It has to be ended exactly once.
type Run struct {
	server         string
	adapter        string
	startedMillis  int64
	usage          Usage
	backlogAtStart int64
	sentAt         time.Time
	hasFirstToken  bool
	expectation    expectation
}

// Server returns the server of the run.
func (run *Run) Server() string { return run.server }

// Adapter returns the adapter that the run uses, or "".
func (run *Run) Adapter() string { return run.adapter }

// Start counts a request that is about to be sent to a server.
func (scheduler *Scheduler) Start(now time.Time, server spec.Server, job Job) *Run {
	run := &Run{
		server: server.ID, adapter: job.Ref.Adapter, startedMillis: server.StartedMillis, sentAt: now,
		usage: Usage{Running: 1, Backlog: job.PromptTokens, Tokens: job.PromptTokens + job.OutputTokens},
	}
	scheduler.expect(run, job)
	if state := scheduler.serverOf(run); state != nil {
		state.runs[run] = struct{}{}
		run.backlogAtStart = state.usage(now).Backlog + job.PromptTokens
		state.own = state.own.plus(run.usage)
	}
	return run
}

func (scheduler *Scheduler) serverOf(run *Run) *serverState {
	if state := scheduler.servers[run.server]; state != nil && state.startedMillis == run.startedMillis {
		return state
	}
	return nil
}

// RecordFirstToken removes the request's prompt from the backlog and updates the server's time per prompt token.
func (scheduler *Scheduler) RecordFirstToken(now time.Time, run *Run) {
	if run.hasFirstToken {
		return
	}
	run.hasFirstToken = true
	state := scheduler.serverOf(run)
	if state == nil {
		return
	}
	state.own.Backlog -= run.usage.Backlog
	if run.backlogAtStart >= minMeasuredBacklog {
		tokenTime := min(max((now.Sub(run.sentAt)-baseLatency)/time.Duration(run.backlogAtStart), minTokenTime), maxTokenTime)
		state.tokenTime += time.Duration(tokenTimeWeight * float64(tokenTime-state.tokenTime))
	}
}

// End removes a finished request from the server's usage.
func (scheduler *Scheduler) End(run *Run) {
	state := scheduler.serverOf(run)
	if state == nil {
		return
	}
	delete(state.runs, run)
	if !run.hasFirstToken {
		state.own.Backlog -= run.usage.Backlog
	}
	state.own.Running -= run.usage.Running
	state.own.Tokens -= run.usage.Tokens
}
