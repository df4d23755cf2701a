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

// popularity chooses adapters of one workspace by rank, with a power law.
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

// shift exchanges a part of the most popular adapters with others.
func (popularity *popularity) shift(random *rand.Rand, part float64) {
	top := max(1, len(popularity.names)/20)
	for rank := range top {
		if random.Float64() < part {
			other := random.IntN(len(popularity.names))
			popularity.names[rank], popularity.names[other] = popularity.names[other], popularity.names[rank]
		}
	}
}

// adaptersOf returns the number of adapters of a workspace.
func (plan *plan) adaptersOf(tenant tenant) int {
	sum := 0.0
	for _, other := range plan.tenants {
		sum += other.Part
	}
	return max(1, int(float64(plan.workload.Adapters)*tenant.Part/sum))
}

// arrivals returns the requests of an experiment; the same seed yields the same ones.
func (plan *plan) arrivals(seed int64) []arrival {
	random := rand.New(rand.NewPCG(uint64(seed), 1))
	var all []arrival
	sum := 0.0
	for _, tenant := range plan.tenants {
		sum += tenant.Part
	}
	for _, tenant := range plan.tenants {
		popular := newPopularity(tenant.name, plan.adaptersOf(tenant), plan.workload.Skew)
		rate := plan.workload.RequestsPerSecond * tenant.Part / sum * tenant.Factor
		all = append(all, plan.arrivalsOf(random, tenant.name, popular, rate)...)
	}
	sort.SliceStable(all, func(left, right int) bool { return all[left].at < all[right].at })
	return all
}

func (plan *plan) arrivalsOf(random *rand.Rand, workspace string, popular *popularity, rate float64) []arrival {
	var found []arrival
	shifted := time.Duration(0)
	for at := time.Duration(0); ; {
		at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		if at >= plan.experiment.Length {
			return found
		}
		if every := plan.workload.ShiftEvery; every > 0 && at-shifted >= every {
			popular.shift(random, plan.workload.ShiftPart)
			shifted = at
		}
		found = append(found, arrival{
			at: at, workspace: workspace, adapter: popular.choose(random), host: random.IntN(plan.shape.Hosts),
			tokens: 1 + int(random.ExpFloat64()*float64(plan.workload.MeanTokens)), batch: random.Float64() < plan.workload.BatchPart,
		})
	}
}
