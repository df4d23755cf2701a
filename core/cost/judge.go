package cost

import "math"

const (
	// expertCount is the number of pairs of level and scale.
	expertCount = levelCount * scaleCount
	// lossDecay is the factor by which the weight of an error falls with each further observation.
	lossDecay = 0.97
	// fewPenalty is the error that is added to an expert for its few observations, divided by their number.
	fewPenalty = 1.0
	// minJudge is the number of observations from which a workspace's own errors decide instead of those of the route.
	minJudge = 12
	// MaxError bounds the error that counts for a single request: a factor of 64, as a natural logarithm.
	MaxError = 4.16
	// MaxExcess is the sum of errors, beyond those of the announced output, at which the announced output is used instead.
	MaxExcess = 4.0
	// FallbackObservations is the number of observations for which the announced output is then used.
	FallbackObservations = 64
)

// judge records which experts, that is, pairs of level and scale, had the least errors. Errors are absolute differences of
// logarithms, so that too much and too little by the same factor count alike.
type judge struct {
	losses  [expertCount]float32
	weights [expertCount]float32
	// excess is the sum of recent errors beyond those of the announced output; it is never below 0.
	excess float64
	// fallback is the number of observations for which the announced output is still used.
	fallback int
}

// judgeOf returns the judge that decides for a request: that of the workspace, or of the route until it has seen enough.
func judgeOf(levels [levelCount]*class) *judge {
	if workspace := levels[levelWorkspace]; workspace != nil && workspace.observed >= minJudge {
		return &workspace.judge
	}
	return &levels[levelRoute].judge
}

// baselineOf returns the expert for the announced output. Without an announced output, it is the usual output of the route.
func baselineOf(request Request) int {
	if request.OutputTokens > 0 {
		return levelRoute*scaleCount + scaleAnnounced
	}
	return levelRoute*scaleCount + scaleAbsolute
}

// choose returns the expert to be used for a request.
func (judge *judge) choose(levels [levelCount]*class, request Request) int {
	if judge.fallback > 0 {
		return baselineOf(request)
	}
	return judge.best(levels, request)
}

// best returns the expert with the least recent error.
func (judge *judge) best(levels [levelCount]*class, request Request) int {
	best, least := baselineOf(request), math.Inf(1)
	for expert := range expertCount {
		class := levels[expert/scaleCount]
		if class == nil || class.windows[expert%scaleCount].count < minClass || judge.weights[expert] == 0 {
			continue
		}
		if _, ok := scaleOf(request, expert%scaleCount); !ok {
			continue
		}
		if loss := float64(judge.losses[expert]+fewPenalty) / float64(judge.weights[expert]); loss < least {
			best, least = expert, loss
		}
	}
	return best
}

// judgeAll records the errors that the experts would have made for an observed output, a logarithm.
func judgeAll(levels [levelCount]*class, request Request, output float64) {
	var errors [expertCount]float64
	for expert := range errors {
		errors[expert] = -1
		class := levels[expert/scaleCount]
		if _, ok := scaleOf(request, expert%scaleCount); ok && class.windows[expert%scaleCount].count > 0 {
			errors[expert] = min(math.Abs(math.Log(max(quantilesOf(levels, expert, request).median, minOutput))-output), MaxError)
		}
	}
	deciding := judgeOf(levels)
	deciding.account(errors, deciding.choose(levels, request), baselineOf(request))
	for _, judge := range []*judge{&levels[levelRoute].judge, &levels[levelWorkspace].judge} {
		judge.record(errors)
	}
}

// account keeps the sum of errors beyond those of the baseline, and falls back to the baseline when it is too large.
func (judge *judge) account(errors [expertCount]float64, chosen, baseline int) {
	if judge.fallback > 0 {
		judge.fallback--
		return
	}
	if errors[chosen] < 0 || errors[baseline] < 0 {
		return
	}
	if judge.excess = max(0, judge.excess+errors[chosen]-errors[baseline]); judge.excess > MaxExcess {
		judge.excess, judge.fallback = 0, FallbackObservations
	}
}

func (judge *judge) record(errors [expertCount]float64) {
	for expert, err := range errors {
		if err >= 0 {
			judge.losses[expert] = lossDecay*judge.losses[expert] + float32(err)
			judge.weights[expert] = lossDecay*judge.weights[expert] + 1
		}
	}
}
