package proc

import (
	"bufio"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"
)

// timing is when the parts of a stream came, from the request on.
type timing struct {
	first time.Duration
	gaps  []time.Duration
}

func timeStream(b *testing.B, url, key, body string) timing {
	b.Helper()
	request, err := http.NewRequest(http.MethodPost, url+"/v1/completions", strings.NewReader(body))
	if err != nil {
		b.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+key)
	began := time.Now()
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	var measured timing
	last := began
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		if !strings.HasPrefix(scanner.Text(), "data: {") {
			continue
		}
		now := time.Now()
		if measured.first == 0 {
			measured.first = now.Sub(began)
		} else {
			measured.gaps = append(measured.gaps, now.Sub(last))
		}
		last = now
	}
	if len(measured.gaps) == 0 {
		b.Fatalf("%s answered %s", url, response.Status)
	}
	return measured
}

func quantile(durations []time.Duration, part float64) float64 {
	slices.Sort(durations)
	return float64(durations[int(part*float64(len(durations)-1))].Microseconds())
}

// BenchmarkLatency compares streams through a daemon with the same streams straight from the engine, in turn.
func BenchmarkLatency(b *testing.B) {
	const pairs, tokens = 200, 20
	fleet := newFleet(b, fleetOptions{hosts: 2, engines: 1, engineFlags: []string{"--step-time", "5ms", "--step-growth", "0"}})
	through := completionBody("shop/a1", tokens)
	if !send(fleet.hosts[0], "/v1/completions", fleet.key, through).whole() {
		b.Fatal("the adapter is not served")
	}
	var models struct {
		Data []struct {
			ID string `json:"id"`
		} `json:"data"`
	}
	if !getJSON("http://"+fleet.engines[0]+"/v1/models", &models) {
		b.Fatal("the engine does not answer")
	}
	straight := completionBody(models.Data[0].ID, tokens)
	var firstThrough, firstStraight, gapThrough, gapStraight []time.Duration
	for range pairs {
		measured := timeStream(b, "http://"+fleet.hosts[0].callers, fleet.key, through)
		firstThrough, gapThrough = append(firstThrough, measured.first), append(gapThrough, measured.gaps...)
		measured = timeStream(b, "http://"+fleet.engines[0], "none", straight)
		firstStraight, gapStraight = append(firstStraight, measured.first), append(gapStraight, measured.gaps...)
	}
	for _, part := range []struct {
		name string
		part float64
	}{{"p50", 0.5}, {"p95", 0.95}} {
		b.ReportMetric(quantile(firstThrough, part.part)-quantile(firstStraight, part.part), "first_added_us_"+part.name)
		b.ReportMetric(quantile(gapThrough, part.part)-quantile(gapStraight, part.part), "gap_added_us_"+part.name)
	}
	b.ReportMetric(0, "ns/op")
}
