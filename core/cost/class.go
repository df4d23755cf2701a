package cost

import "math"

// The levels of classes, from the most general to the most special.
const (
	levelRoute = iota
	levelWorkspace
	levelAdapter
	levelSize
	levelCount
)

// The scales in which the output of a class is learned.
const (
	scaleAbsolute = iota
	scaleAnnounced
	scaleEstimated
	scaleCount
)

const (
	// minOutput is the least output that is told apart from none, in events or milliseconds.
	minOutput = 0.1
	// minClass is the number of observations from which a window is used.
	minClass = 8
	// rounding is more than the relative error of outputs that are kept as 32-bit logarithms.
	rounding = 1e-5
	// ratioPeriod is the number of observations after which the largest ratio of events to announced tokens is replaced.
	ratioPeriod = 256
	// decileLow and decileHigh are the quantiles that bound the usual output.
	decileLow  = 0.1
	decileHigh = 0.9
)

// classKey identifies a class. Of its fields beside route and level, only those of the level are set.
type classKey struct {
	route  string
	level  int
	name   string
	prompt int
	output int
}

// class is what was learned of the requests of one class.
type class struct {
	windows [scaleCount]window
	judge   judge
	// observed counts observations, up to a bound.
	observed int
	// The following fields are used at the level of routes only.
	stream    bool
	eventTime float64
	tokenTime float64
	kept      float64
	// ratio and previousRatio are the largest ratios of events to announced tokens in the current and the previous period.
	ratio         float64
	previousRatio float64
	ratioCount    int
}

// quantiles describes the output of a class.
type quantiles struct {
	mean, median, high float64
}

func keysOf(request Request) [levelCount]classKey {
	return [levelCount]classKey{
		levelRoute:     {route: request.Route, level: levelRoute},
		levelWorkspace: {route: request.Route, level: levelWorkspace, name: request.Workspace},
		levelAdapter:   {route: request.Route, level: levelAdapter, name: request.Adapter},
		levelSize:      {route: request.Route, level: levelSize, prompt: sizeOf(request.PromptTokens), output: sizeOf(request.OutputTokens)},
	}
}

// levels returns the classes of a request; nil where there is none yet.
func (predictor *Predictor) levels(request Request) (levels [levelCount]*class) {
	for level, key := range keysOf(request) {
		levels[level], _ = predictor.classes.Get(key)
	}
	return levels
}

// makeLevels returns the classes of a request, and makes those that are missing.
func (predictor *Predictor) makeLevels(request Request) (levels [levelCount]*class) {
	for level, key := range keysOf(request) {
		found, present := predictor.classes.Get(key)
		if !present {
			found = &class{}
		}
		predictor.classes.Put(key, found)
		levels[level] = found
	}
	return levels
}

// scaleOf returns the logarithm of the size that outputs are relative to. ok is false if the request does not state it.
func scaleOf(request Request, scale int) (size float64, ok bool) {
	switch scale {
	case scaleAnnounced:
		return math.Log(float64(max(1, request.OutputTokens))), request.OutputTokens > 0
	case scaleEstimated:
		estimated := request.EstimatedTokens
		if request.OutputTokens > 0 {
			// No response is longer than announced, whatever the caller estimates.
			estimated = min(estimated, request.OutputTokens)
		}
		return math.Log(float64(max(1, estimated))), request.EstimatedTokens > 0
	default:
		return 0, true
	}
}

// add adds an output, as a logarithm, to the windows.
func (class *class) add(request Request, output float64) {
	class.observed = min(class.observed+1, math.MaxInt32)
	for scale := range class.windows {
		if size, ok := scaleOf(request, scale); ok {
			class.windows[scale].add(float32(output - size))
		}
	}
}

// recordRatio records the ratio of events to announced tokens. Responses that are longer than announced say nothing about the
// size of events.
func (class *class) recordRatio(request Request, events int) {
	if events == 0 || int64(events*minEventTokens) > request.OutputTokens {
		return
	}
	class.ratio = max(class.ratio, float64(events)/float64(request.OutputTokens))
	if class.ratioCount++; class.ratioCount >= ratioPeriod {
		class.previousRatio, class.ratio, class.ratioCount = class.ratio, 0, 0
	}
}

// eventTokens returns an upper bound of the tokens of an event: the events of a response do not hold more than it announced.
func (class *class) eventTokens() float64 {
	if ratio := max(class.ratio, class.previousRatio); ratio > 0 {
		return min(max(1/ratio, minEventTokens), maxEventTokens)
	}
	return maxEventTokens
}

// quantilesOf returns the output that one pair of level and scale predicts.
func quantilesOf(levels [levelCount]*class, expert int, request Request) quantiles {
	window := &levels[expert/scaleCount].windows[expert%scaleCount]
	size, _ := scaleOf(request, expert%scaleCount)
	if window.count == 0 {
		// No request of the route has announced its output so far.
		window, size = &levels[levelRoute].windows[scaleAbsolute], 0
	}
	if window.count == 0 {
		return quantiles{}
	}
	low, median, high := math.Exp(window.quantile(decileLow)+size), math.Exp(window.quantile(0.5)+size), math.Exp(window.quantile(decileHigh)+size)
	// Swanson's rule approximates the mean of a skewed distribution.
	return quantiles{mean: 0.3*low + 0.4*median + 0.3*high, median: median, high: high * (1 + rounding)}
}
