package cost

import (
	"math/bits"
	"slices"
)

const (
	// windowSize is the number of observations that a window keeps.
	windowSize = 64
	// shiftSize is the number of recent observations that are checked for a shift. If at least shiftCount of them are
	// beyond the same decile of the window, only they are kept. Without a shift, that happens once in 150,000 observations.
	shiftSize  = 12
	shiftCount = 8
	// minShiftWindow is the number of observations from which the deciles are known well enough to detect a shift.
	minShiftWindow = 32
)

// window holds the last observations of a class, and drops the older ones when the work shifts.
type window struct {
	// ring holds the observations in their order, the newest before next.
	ring   [windowSize]float32
	sorted [windowSize]float32
	count  int
	next   int
	// above and below hold a bit for each recent observation that was beyond a decile, the newest in the lowest bit.
	above, below uint32
}

// quantile returns a quantile of the observations, of which there must be at least one.
func (window *window) quantile(fraction float64) float64 {
	return float64(window.sorted[int(fraction*float64(window.count-1)+0.5)])
}

func (window *window) add(observation float32) {
	if window.count >= minShiftWindow {
		window.recordSide(observation)
	}
	if window.count == windowSize {
		window.remove(window.ring[window.next])
	}
	position, _ := slices.BinarySearch(window.sorted[:window.count], observation)
	copy(window.sorted[position+1:window.count+1], window.sorted[position:window.count])
	window.sorted[position] = observation
	window.count++
	window.ring[window.next] = observation
	window.next = (window.next + 1) % windowSize
	if bits.OnesCount32(window.above) >= shiftCount || bits.OnesCount32(window.below) >= shiftCount {
		window.keepRecent()
	}
}

// recordSide records whether an observation is beyond a decile.
func (window *window) recordSide(observation float32) {
	const mask = 1<<shiftSize - 1
	window.above, window.below = window.above<<1&mask, window.below<<1&mask
	if float64(observation) > window.quantile(decileHigh) {
		window.above |= 1
	}
	if float64(observation) < window.quantile(decileLow) {
		window.below |= 1
	}
}

func (window *window) remove(observation float32) {
	position, _ := slices.BinarySearch(window.sorted[:window.count], observation)
	copy(window.sorted[position:window.count-1], window.sorted[position+1:window.count])
	window.count--
}

// keepRecent drops all but the last shiftSize observations.
func (window *window) keepRecent() {
	ring, next := window.ring, window.next
	window.count, window.next, window.above, window.below = 0, 0, 0, 0
	for offset := shiftSize; offset > 0; offset-- {
		window.add(ring[(next+windowSize-offset)%windowSize])
	}
}
