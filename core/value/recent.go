package value

// Recent is a map of bounded size that forgets the entries that were not put for the longest time. It is not safe for
// concurrent use.
type Recent[K comparable, V any] struct {
	capacity int
	// current holds the entries that were put since previous was replaced.
	current, previous map[K]V
}

// NewRecent returns an empty map that keeps at least the last capacity entries that were put, and at most twice as many.
func NewRecent[K comparable, V any](capacity int) *Recent[K, V] {
	return &Recent[K, V]{capacity: max(1, capacity), current: map[K]V{}}
}

// Get returns the value of a key, if it is present.
func (recent *Recent[K, V]) Get(key K) (V, bool) {
	if found, present := recent.current[key]; present {
		return found, true
	}
	found, present := recent.previous[key]
	return found, present
}

// Put sets the value of a key.
func (recent *Recent[K, V]) Put(key K, content V) {
	if _, present := recent.current[key]; !present && len(recent.current) >= recent.capacity {
		recent.current, recent.previous = make(map[K]V, recent.capacity), recent.current
	}
	recent.current[key] = content
}

// Len returns an upper bound of the number of entries.
func (recent *Recent[K, V]) Len() int { return len(recent.current) + len(recent.previous) }
