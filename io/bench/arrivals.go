package bench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"
)

// arrival is one request of the workload.
type arrival struct {
	at        time.Duration
	workspace string
	adapter   string
	tokens    int
	batch     bool
	host      int
}

// popularity draws adapters of one workspace. The probability of an adapter is proportional to rank^-skew, where the
// most popular adapter has rank 1.
type popularity struct {
	names      []string
	cumulative []float64
}

func newPopularity(workspace string, count int, skew float64) *popularity {
	popularity := &popularity{}
	sum := 0.0
	for rank := range count {
		sum += math.Pow(float64(rank+1), -skew)
		popularity.names = append(popularity.names, adapterName(workspace, rank))
		popularity.cumulative = append(popularity.cumulative, sum)
	}
	return popularity
}

func adapterName(workspace string, number int) string {
	return fmt.Sprintf("%s/a%05d", workspace, number)
}

func (popularity *popularity) choose(random *rand.Rand) string {
	total := popularity.cumulative[len(popularity.cumulative)-1]
	rank := sort.SearchFloat64s(popularity.cumulative, random.Float64()*total)
	return popularity.names[min(rank, len(popularity.names)-1)]
}

// shift swaps each adapter of the top 5% with a random one, with probability fraction.
func (popularity *popularity) shift(random *rand.Rand, fraction float64) {
	topCount := max(1, len(popularity.names)/20)
	for rank := range topCount {
		if random.Float64() < fraction {
			other := random.IntN(len(popularity.names))
			popularity.names[rank], popularity.names[other] = popularity.names[other], popularity.names[rank]
		}
	}
}

// adapterCount returns the number of adapters of a workspace.
func (plan *plan) adapterCount(workspace workspace) int {
	sum := 0.0
	for _, other := range plan.workspaces {
		sum += other.Fraction
	}
	return max(1, int(float64(plan.workload.Adapters)*workspace.Fraction/sum))
}

// arrivals returns the requests of an experiment, in the order of their times. They depend only on the plan and the
// seed.
func (plan *plan) arrivals(seed int64) []arrival {
	random := rand.New(rand.NewPCG(uint64(seed), 1))
	var all []arrival
	sum := 0.0
	for _, workspace := range plan.workspaces {
		sum += workspace.Fraction
	}
	for _, workspace := range plan.workspaces {
		popular := newPopularity(workspace.name, plan.adapterCount(workspace), plan.workload.Skew)
		rate := plan.workload.RequestsPerSecond * workspace.Fraction / sum * workspace.Factor
		all = append(all, plan.workspaceArrivals(random, workspace.name, popular, rate)...)
	}
	sort.SliceStable(all, func(left, right int) bool { return all[left].at < all[right].at })
	return all
}

func (plan *plan) workspaceArrivals(random *rand.Rand, workspace string, popular *popularity, rate float64) []arrival {
	var arrivals []arrival
	lastShift := time.Duration(0)
	for at := time.Duration(0); ; {
		at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		if at >= plan.experiment.Length {
			return arrivals
		}
		if every := plan.workload.ShiftEvery; every > 0 && at-lastShift >= every {
			popular.shift(random, plan.workload.ShiftFraction)
			lastShift = at
		}
		arrivals = append(arrivals, arrival{
			at: at, workspace: workspace, adapter: popular.choose(random), host: random.IntN(plan.fleet.Hosts),
			tokens: 1 + int(random.ExpFloat64()*float64(plan.workload.MeanTokens)), batch: random.Float64() < plan.workload.BatchFraction,
		})
	}
}
