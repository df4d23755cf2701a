package cost

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	eventTokens = 5
	gap         = 20 * time.Millisecond
	prompt      = 20 * time.Microsecond
)

// drawn draws the traffic of one test from a fixed seed, and shows it to a predictor.
type drawn struct {
	*rand.Rand
	predictor *Predictor
}

func newDrawn() drawn { return drawn{Rand: rand.New(rand.NewPCG(1, 2)), predictor: New()} }

// tokens draws a number of generated tokens between 1 and a maximum, with a wide spread around a median.
func (drawn drawn) tokens(median float64, maximum int64) float64 {
	return min(max(1, median*math.Exp(0.8*drawn.NormFloat64())), float64(maximum))
}

// run shows a request that generates some tokens, and returns the events of its stream.
func (drawn drawn) run(server string, slowness float64, request Request, tokens float64) int {
	events := int(math.Ceil(tokens / eventTokens))
	first := baseTime + time.Duration(float64(request.PromptTokens)*slowness*float64(prompt))
	last := first + time.Duration(float64(events-1)*slowness*float64(gap))
	drawn.predictor.Observe(server, request, Observed{Events: events, FirstEvent: first, LastEvent: last, Duration: last, Unread: request.PromptTokens})
	return events
}

func chat(workspace string) Request {
	return Request{Route: "chat", Workspace: workspace, Adapter: "a", PromptTokens: 800, OutputTokens: 275}
}

// errorsOf returns the median and the 90th percentile of errors as factors.
func errorsOf(errors []float64) (median, high float64) {
	slices.Sort(errors)
	return math.Exp(errors[len(errors)/2]), math.Exp(errors[len(errors)*9/10])
}

// Guards against a predictor that is no better than equal costs or the announced output, and against a 90th percentile
// that is exceeded much more often than by a tenth of the requests. All chat requests announce 275 tokens and generate 66
// on average; six workspaces differ, three requests in ten have an estimate, and one in ten of these is wrong by a factor
// of up to 30. A second route generates much of a larger announced output.
func TestErrorsOnDrawnTraffic(t *testing.T) {
	is := is.New(t)
	drawn := newDrawn()
	var learned, same, announced, scaled, seen []float64
	beyond, chats, sum := 0, 0, 0.0
	for number := range 6000 {
		workspace := drawn.IntN(6)
		request, tokens := chat(fmt.Sprint("w", workspace)), drawn.tokens([]float64{15, 25, 35, 50, 90, 160}[workspace], 275)
		if workspace == 5 && drawn.Float64() < 0.5 {
			request.Route, request.OutputTokens = "summary", 600
			tokens = drawn.tokens(300, 600)
		}
		if drawn.Float64() < 0.3 {
			request.EstimatedTokens = int64(math.Ceil(tokens * math.Exp(0.15*drawn.NormFloat64())))
			if drawn.Float64() < 0.1 {
				request.EstimatedTokens = int64(math.Ceil(tokens * math.Exp(3.4*(2*drawn.Float64()-1))))
			}
		}
		forecast, levels := drawn.predictor.Forecast(request), drawn.predictor.levels(request)
		baseline := quantiles{}
		if forecast.Learned() {
			baseline = quantilesOf(levels, baselineOf(request), request)
		}
		events := float64(drawn.run("s", 1, request, tokens))
		if request.Route == "chat" {
			sum += tokens
			chats++
		}
		if number < 500 {
			seen = append(seen, events)
			slices.Sort(seen)
			continue
		}
		if events > forecast.High() {
			beyond++
		}
		difference := func(predicted float64) float64 { return math.Abs(math.Log(predicted / events)) }
		learned = append(learned, difference(forecast.Median()))
		same = append(same, difference(seen[len(seen)/2]))
		announced = append(announced, difference(float64(request.OutputTokens)/eventTokens))
		scaled = append(scaled, difference(baseline.median))
	}
	median, high := errorsOf(learned)
	sameMedian, sameHigh := errorsOf(same)
	announcedMedian, announcedHigh := errorsOf(announced)
	scaledMedian, scaledHigh := errorsOf(scaled)
	t.Logf("error factors at the median and the 90th percentile: learned %.2f %.2f, all the same %.2f %.2f, announced %.2f %.2f, announced and scaled %.2f %.2f; beyond the 90th percentile %.3f; chat tokens %.0f",
		median, high, sameMedian, sameHigh, announcedMedian, announcedHigh, scaledMedian, scaledHigh, float64(beyond)/float64(len(learned)), sum/float64(chats))
	is.True(median < 0.85*sameMedian)
	is.True(high < 0.85*sameHigh)
	is.True(median < 0.85*scaledMedian)
	is.True(high < 0.85*scaledHigh)
	is.True(median < 0.6*announcedMedian)
	is.True(high < 0.6*announcedHigh)
	is.True(float64(beyond)/float64(len(learned)) < 0.15)
}

// Guards against one prediction for two kinds of requests in one route, whether they differ by adapter, by the size of the
// prompt or by the announced output.
func TestTwoKindsInOneRoute(t *testing.T) {
	for name, change := range map[string]func(request *Request){
		"adapter":   func(request *Request) { request.Adapter = "b" },
		"prompt":    func(request *Request) { request.PromptTokens = 6000 },
		"announced": func(request *Request) { request.OutputTokens = 2000 },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			drawn := newDrawn()
			long := chat("w")
			change(&long)
			for range 200 {
				drawn.run("s", 1, chat("w"), drawn.tokens(20, 275))
				drawn.run("s", 1, long, drawn.tokens(220, long.OutputTokens))
			}
			is.True(drawn.predictor.Forecast(chat("w")).Median() < 8)
			is.True(drawn.predictor.Forecast(long).Median() > 25)
		})
	}
}

// Guards against slow forgetting: the requests of one workspace grow tenfold, while those of another stay as they are.
func TestWorkspaceThatGrows(t *testing.T) {
	is := is.New(t)
	drawn := newDrawn()
	for range 150 {
		drawn.run("s", 1, chat("grows"), drawn.tokens(20, 275))
		drawn.run("s", 1, chat("stays"), drawn.tokens(20, 275))
	}
	is.True(drawn.predictor.Forecast(chat("grows")).Median() < 8)
	for range 16 {
		drawn.run("s", 1, chat("grows"), drawn.tokens(200, 275))
		drawn.run("s", 1, chat("stays"), drawn.tokens(20, 275))
	}
	is.True(drawn.predictor.Forecast(chat("grows")).Median() > 20)
	is.True(drawn.predictor.Forecast(chat("stays")).Median() < 8)
}

// Guards against a mean of old and new work after a shift of the whole route, in either direction.
func TestShift(t *testing.T) {
	is := is.New(t)
	drawn := newDrawn()
	for _, median := range []float64{20, 200, 20} {
		for range 150 {
			drawn.run("s", 1, chat("w"), drawn.tokens(median, 275))
		}
		for range 24 {
			drawn.run("s", 1, chat("w"), drawn.tokens(220-median, 275))
		}
		predicted, want := drawn.predictor.Forecast(chat("w")).Median()*eventTokens, 220-median
		is.True(predicted > want/2 && predicted < want*2)
	}
}

// Guards against trust in a caller that announces little and gets much: its cost must be learned, its memory may exceed the
// announcement, and what others are expected to need must not change.
func TestCallerThatAnnouncesLittle(t *testing.T) {
	is := is.New(t)
	drawn := newDrawn()
	liar := chat("liar")
	liar.OutputTokens = 10
	for range 200 {
		drawn.run("s", 1, chat("honest"), drawn.tokens(50, 275))
		drawn.run("s", 1, liar, 1000)
	}
	of := func(request Request) Estimate { return drawn.predictor.On("s", drawn.predictor.Forecast(request)) }
	is.True(of(liar).Work > 3500*time.Millisecond)
	is.True(of(liar).TokensHigh >= 800+400)
	is.True(of(chat("honest")).Work < time.Second)
	is.True(of(chat("honest")).TokensHigh > 800+100 && of(chat("honest")).TokensHigh <= 800+275)
}

// Guards against a new server that counts as fast or slow before it was measured, and against a slow one that is not found.
func TestNewServer(t *testing.T) {
	is := is.New(t)
	drawn := newDrawn()
	unknown := drawn.predictor.On("new", drawn.predictor.Forecast(chat("w")))
	is.True(!unknown.Learned)
	is.Equal(unknown.TokensHigh, int64(1075)) // the announced tokens
	for range 100 {
		drawn.run("old", 1, chat("w"), drawn.tokens(50, 275))
		drawn.predictor.Observe("old", Request{Route: "orders"}, Observed{Duration: 60 * time.Millisecond})
	}
	for name, request := range map[string]Request{"stream": chat("w"), "plain": {Route: "orders"}} {
		on := func(server string) Estimate { return drawn.predictor.On(server, drawn.predictor.Forecast(request)) }
		is.True(on("new").Learned)
		is.Equal(on("new").Work.Round(time.Millisecond), on("old").Work.Round(time.Millisecond))
		for range 60 {
			if name == "stream" {
				drawn.run("new", 3, request, drawn.tokens(50, 275))
				continue
			}
			drawn.predictor.Observe("new", request, Observed{Duration: 180 * time.Millisecond})
			drawn.predictor.Observe("old", request, Observed{Duration: 60 * time.Millisecond})
		}
		is.True(on("new").Work > 2*on("old").Work)
	}
}

// Guards against errors beyond the stated bound: the output follows the announcement exactly whenever the predictor prefers
// something else to it, and otherwise does not. Over any number of requests, the sum of its errors may exceed that of the
// announced output by MaxExcess + MaxError for each FallbackObservations requests begun.
func TestNeverMuchWorseThanAnnounced(t *testing.T) {
	is := is.New(t)
	drawn := newDrawn()
	var excess []float64
	for range 20_000 {
		request := chat("")
		request.OutputTokens = 40 << drawn.IntN(6)
		forecast := drawn.predictor.Forecast(request)
		levels := drawn.predictor.levels(request)
		if !forecast.Learned() {
			drawn.run("s", 1, request, float64(request.OutputTokens))
			continue
		}
		baseline := quantilesOf(levels, baselineOf(request), request).median
		tokens := baseline * eventTokens
		if math.Abs(math.Log(forecast.Median()/baseline)) < 0.2 {
			tokens = drawn.tokens(30, 1<<20)
		}
		events := float64(drawn.run("s", 1, request, tokens))
		loss := func(predicted float64) float64 { return min(MaxError, math.Abs(math.Log(predicted/events))) }
		excess = append(excess, loss(forecast.Median())-loss(baseline))
	}
	for _, length := range []int{1, 16, FallbackObservations, 500, 5000} {
		worst, sum := 0.0, 0.0
		for index, each := range excess {
			if sum += each; index >= length {
				sum -= excess[index-length]
			}
			worst = max(worst, sum)
		}
		bound := (MaxExcess + MaxError) * math.Ceil(float64(length)/FallbackObservations)
		t.Logf("%d requests: worst excess %.2f, bound %.2f", length, worst, bound+MaxExcess+MaxError)
		is.True(worst <= bound+MaxExcess+MaxError) // one further excursion may have begun before the interval
	}
}

// Guards against memory that grows with the number of workspaces, adapters and servers.
func TestMemoryIsBounded(t *testing.T) {
	is := is.New(t)
	drawn := newDrawn()
	for number := range 5000 {
		request := chat(fmt.Sprint(number))
		request.Adapter = request.Workspace
		drawn.run(request.Workspace, 1, request, 50)
	}
	is.True(drawn.predictor.classes.Len() <= 2*maxClasses)
	is.True(drawn.predictor.servers.Len() <= 2*maxServers)
	is.True(drawn.predictor.Forecast(chat("w")).Learned())
}

// Guards against a window whose sorted copy differs from the observations that it holds.
func TestWindow(t *testing.T) {
	is := is.New(t)
	drawn := newDrawn()
	var window window
	var all []float32
	for range 500 {
		all = append(all, float32(drawn.IntN(40)))
		window.add(all[len(all)-1])
		want := slices.Clone(all[len(all)-window.count:])
		slices.Sort(want)
		is.Equal(window.sorted[:window.count], want)
	}
}

// Guards against a bias towards short requests: one that is cut late counts, one that is cut early does not.
func TestCutRequests(t *testing.T) {
	is := is.New(t)
	drawn := newDrawn()
	for range 100 {
		drawn.run("s", 1, chat("w"), 100)
	}
	before := drawn.predictor.Forecast(chat("w"))
	for range 50 {
		drawn.predictor.Observe("s", chat("w"), Observed{Events: 1, Cut: true})
	}
	is.Equal(drawn.predictor.Forecast(chat("w")), before)
	for range 50 {
		drawn.predictor.Observe("s", chat("w"), Observed{Events: 50, Cut: true})
	}
	is.True(drawn.predictor.Forecast(chat("w")).Median() > 40)
}
