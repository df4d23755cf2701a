// Package value holds small generic value types.
package value

import (
	"maps"
	"slices"
)

// Set is a set of comparable values.
type Set[T comparable] map[T]struct{}

// NewSet returns a set of the given items.
func NewSet[T comparable](items ...T) Set[T] {
	set := make(Set[T], len(items))
	for _, item := range items {
		set.Add(item)
	}
	return set
}

// Add adds an item to the set.
func (set Set[T]) Add(item T) {
	set[item] = struct{}{}
}

// Has reports whether the item is in the set.
func (set Set[T]) Has(item T) bool {
	_, found := set[item]
	return found
}

// Sorted returns the keys of a map or set in ascending order.
func Sorted[M ~map[K]V, K ~string, V any](items M) []K {
	return slices.Sorted(maps.Keys(items))
}

// Option is a value that may be absent.
type Option[T any] struct {
	item  T
	valid bool
}

// Some returns an option that holds an item.
func Some[T any](item T) Option[T] {
	return Option[T]{item: item, valid: true}
}

// None returns an empty option.
func None[T any]() Option[T] {
	return Option[T]{}
}

// Get returns the item and whether it is present.
func (option Option[T]) Get() (T, bool) {
	return option.item, option.valid
}
