// Package loop hands functions to the one goroutine that owns a part's state.
package loop

import (
	"context"
	"time"
)

// Loop is a queue of functions for one goroutine, until it ends.
type Loop struct {
	ctx   context.Context
	tasks chan func(now time.Time)
}

// New returns a loop that ends with a context. Its queue holds so many functions before Post waits.
func New(ctx context.Context, size int) *Loop {
	return &Loop{ctx: ctx, tasks: make(chan func(time.Time), size)}
}

// Tasks returns the queue, for the goroutine that runs the functions.
func (loop *Loop) Tasks() <-chan func(now time.Time) { return loop.tasks }

// Done is closed once the loop has ended.
func (loop *Loop) Done() <-chan struct{} { return loop.ctx.Done() }

// Post queues a function, unless the loop has ended.
func (loop *Loop) Post(task func(now time.Time)) {
	select {
	case loop.tasks <- task:
	case <-loop.ctx.Done():
	}
}

// Do queues a function and waits for it. It says no if the loop or the context has ended before.
func (loop *Loop) Do(ctx context.Context, task func(now time.Time)) bool {
	finished := make(chan struct{})
	loop.Post(func(now time.Time) {
		defer close(finished)
		task(now)
	})
	select {
	case <-finished:
		return true
	case <-ctx.Done():
		return false
	case <-loop.ctx.Done():
		return false
	}
}
