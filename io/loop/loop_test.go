package loop

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestFunctionsRunInOrder(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	loop := New(ctx, 4)
	go func() {
		for {
			select {
			case task := <-loop.Tasks():
				task(time.Now())
			case <-loop.Done():
				return
			}
		}
	}()
	var order []int
	for number := range 3 {
		loop.Post(func(time.Time) { order = append(order, number) })
	}
	is.True(loop.Do(ctx, func(time.Time) { order = append(order, 3) }))
	is.Equal(order, []int{0, 1, 2, 3})
	cancel()
	is.True(!loop.Do(context.Background(), func(time.Time) {}))
}

func TestDoReturnsWhenContextEnds(t *testing.T) {
	is := is.New(t)
	loop := New(context.Background(), 1)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	is.True(!loop.Do(ctx, func(time.Time) {})) // No goroutine runs the functions.
}
