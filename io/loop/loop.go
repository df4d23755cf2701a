// Package loop queues functions for a single goroutine that owns a component's state.
package loop

import (
	"context"
	"time"
)

// Loop is a queue of functions that one goroutine runs in order.
type Loop struct {
	ctx   context.Context
	tasks chan func(now time.Time)
}

// New returns a loop that ends when the context is cancelled. Post blocks while size functions are queued.
func New(ctx context.Context, size int) *Loop {
	return &Loop{ctx: ctx, tasks: make(chan func(time.Time), size)}
}

// Tasks returns the channel from which the goroutine receives the functions to run.
func (loop *Loop) Tasks() <-chan func(now time.Time) { return loop.tasks }

// Done returns a channel that is closed once the loop has ended.
func (loop *Loop) Done() <-chan struct{} { return loop.ctx.Done() }

// Post queues a function. It waits while the queue is full, and does nothing if the loop has ended.
func (loop *Loop) Post(task func(now time.Time)) {
	select {
	case loop.tasks <- task:
	case <-loop.ctx.Done():
	}
}

// Do queues a function and waits until it has run. It returns false if the loop ends or the context is cancelled before
// that; the function may still run later.
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
