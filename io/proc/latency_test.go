package proc

import (
	"bufio"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"
)

// streamTiming contains the time from the request to the first event of a stream, and the times between its events.
type streamTiming struct {
	firstEvent time.Duration
	gaps       []time.Duration
}

func measureStream(b *testing.B, url, key, body string) streamTiming {
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
	var measured streamTiming
	last := began
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		if !strings.HasPrefix(scanner.Text(), "data: {") {
			continue
		}
		now := time.Now()
		if measured.firstEvent == 0 {
			measured.firstEvent = now.Sub(began)
		} else {
			measured.gaps = append(measured.gaps, now.Sub(last))
		}
		last = now
	}
	if len(measured.gaps) == 0 {
		b.Fatalf("%s responded with %s and fewer than two events", url, response.Status)
	}
	return measured
}

func quantile(durations []time.Duration, fraction float64) float64 {
	slices.Sort(durations)
	return float64(durations[int(fraction*float64(len(durations)-1))].Microseconds())
}

// BenchmarkLatency alternates between streams through a daemon and the same streams directly from the engine, and
// reports the latency that the daemon adds.
func BenchmarkLatency(b *testing.B) {
	const pairs, tokens = 200, 20
	fleet := newFleet(b, fleetOptions{hosts: 2, engines: 1, engineFlags: []string{"--step-time", "5ms", "--step-growth", "0"}})
	proxied := completionBody("shop/a1", tokens)
	if !send(fleet.hosts[0], "/v1/completions", fleet.key, proxied).complete() {
		b.Fatal("the adapter is not served")
	}
	var models struct {
		Data []struct {
			ID string `json:"id"`
		} `json:"data"`
	}
	if !getJSON("http://"+fleet.engines[0]+"/v1/models", &models) {
		b.Fatal("the engine does not respond")
	}
	direct := completionBody(models.Data[0].ID, tokens)
	var firstProxied, firstDirect, gapsProxied, gapsDirect []time.Duration
	for range pairs {
		measured := measureStream(b, "http://"+fleet.hosts[0].callerAddress, fleet.key, proxied)
		firstProxied, gapsProxied = append(firstProxied, measured.firstEvent), append(gapsProxied, measured.gaps...)
		measured = measureStream(b, "http://"+fleet.engines[0], "none", direct)
		firstDirect, gapsDirect = append(firstDirect, measured.firstEvent), append(gapsDirect, measured.gaps...)
	}
	for _, percentile := range []struct {
		name     string
		fraction float64
	}{{"p50", 0.5}, {"p95", 0.95}} {
		b.ReportMetric(quantile(firstProxied, percentile.fraction)-quantile(firstDirect, percentile.fraction), "first_added_us_"+percentile.name)
		b.ReportMetric(quantile(gapsProxied, percentile.fraction)-quantile(gapsDirect, percentile.fraction), "gap_added_us_"+percentile.name)
	}
	b.ReportMetric(0, "ns/op")
}
