package cost

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against load times that are used before enough loads are known, that follow a weight store that slows down by a factor of three
// only after many loads, that stay slow without further loads, or that trust copies which are gone.
func TestLoadTimes(t *testing.T) {
	is := is.New(t)
	now, initial := time.Unix(1000, 0), 280*time.Millisecond
	loads := NewLoads(initial)
	observe := func(kind LoadKind, durations ...time.Duration) time.Duration {
		for _, duration := range durations {
			now = now.Add(300 * time.Millisecond)
			loads.Observe(now, kind, duration)
		}
		return loads.Expected(now, kind)
	}
	fast, store, slow := 25*time.Millisecond, 250*time.Millisecond, 750*time.Millisecond
	is.Equal(observe(StoreLoad, store, store, store), initial)
	is.Equal(observe(StoreLoad, store), store)
	is.Equal(loads.Expected(now, CopyLoad), store) // Not known yet, but no slower than the store.
	is.Equal(observe(CopyLoad, fast, fast, fast, fast), fast)

	is.True(observe(StoreLoad, slow, slow, slow, slow, slow, slow) > 600*time.Millisecond) // 1.8 s
	is.Equal(loads.Expected(now, CopyLoad), fast)
	is.True(observe(StoreLoad, store, store, store, store, store, store) < 400*time.Millisecond)

	is.True(observe(CopyLoad, store, fast, store, fast, store, fast) > 80*time.Millisecond)
	is.Equal(observe(StoreLoad, time.Hour) < time.Second, true)
	is.Equal(loads.Expected(now.Add(loadLifetime), StoreLoad), initial)
	now = now.Add(loadLifetime)
	is.Equal(observe(StoreLoad, slow, slow, slow), initial)
	is.Equal(observe(StoreLoad, slow), slow)
}
