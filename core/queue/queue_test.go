package queue

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var epoch = time.Unix(1_700_000_000, 0)

func all(Item) bool { return true }

// Workspaces that always have requests waiting are served in proportion to their weights. Relative to their weights,
// any two differ by at most the cost of one request of each.
func TestWeightedShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		queue := New()
		workspaces := rapid.IntRange(2, 5).Draw(t, "workspaces")
		weights := make([]int64, workspaces)
		served := make([]float64, workspaces)
		const maxCost = 50
		id := int64(0)
		push := func(number int) {
			id++
			queue.Push(Item{
				ID: id, Workspace: fmt.Sprint(number), Weight: weights[number], Deadline: epoch.Add(time.Hour),
				Cost: rapid.Float64Range(1, maxCost).Draw(t, "cost"),
			})
		}
		for number := range workspaces {
			weights[number] = rapid.Int64Range(1, 4).Draw(t, "weight")
			// A workspace may have a much longer backlog than the others.
			for range rapid.SampledFrom([]int{2, 2, 40}).Draw(t, "backlog") {
				push(number)
			}
		}
		for range rapid.IntRange(1, 200).Draw(t, "served") {
			item, found := queue.Next(epoch, all)
			if !found {
				t.Fatal("no waiting request was served")
			}
			var number int
			_, _ = fmt.Sscan(item.Workspace, &number)
			served[number] += item.Cost
			push(number)
		}
		for first := range workspaces {
			for second := range workspaces {
				gap := served[first]/float64(weights[first]) - served[second]/float64(weights[second])
				bound := maxCost/float64(weights[first]) + maxCost/float64(weights[second])
				if gap > bound {
					t.Fatalf("workspace %d was served %f more, relative to its weight, than %d", first, gap, second)
				}
			}
		}
	})
}

func TestOrder(t *testing.T) {
	is := is.New(t)
	queue := New()
	late := epoch.Add(time.Minute)
	queue.Push(Item{ID: 1, Workspace: "a", Cost: 1, Batch: true, Deadline: late})
	queue.Push(Item{ID: 2, Workspace: "a", Cost: 100, Deadline: late})
	queue.Push(Item{ID: 3, Workspace: "b", Cost: 1, Deadline: late})
	queue.Push(Item{ID: 4, Workspace: "c", Cost: 1, Deadline: epoch.Add(-time.Second)})
	var order []int64
	for {
		item, found := queue.Next(epoch, all)
		if !found {
			break
		}
		order = append(order, item.ID)
	}
	is.Equal(order, []int64{3, 2, 1}) // the expired request is not served
	queue.Remove(4)
	is.Equal(queue.Len(), 0)
}
