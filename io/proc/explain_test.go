package proc

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"

	"lentilproxy/io/fake"
	"lentilproxy/io/gate"
	"lentilproxy/io/node"
)

// explain runs lentilctl explain until no request is in flight, as a request ends a moment after its caller has received the
// response. It returns the answer and the exit code.
func (fleet *fleet) explain(host *host, args ...string) (explanation gate.Explanation, code int) {
	fleet.t.Helper()
	await(fleet.t, startTimeout, "no request is in flight", func() bool {
		explanation, code = fleet.explainOnce(host, args...)
		return !slices.ContainsFunc(explanation.Servers, func(candidate node.Candidate) bool { return candidate.InFlight > 0 })
	})
	return explanation, code
}

func (fleet *fleet) explainOnce(host *host, args ...string) (explanation gate.Explanation, code int) {
	fleet.t.Helper()
	output, code := runCtl(fleet.t, host.operatorAddress, append([]string{"--output", "json", "explain"}, args...)...)
	if err := json.Unmarshal([]byte(output), &explanation); err != nil {
		fleet.t.Fatalf("explain ended with %d: %s", code, output)
	}
	return explanation, code
}

// Guards against an explanation that differs from the choice made right afterwards, and against one that sends or charges
// something itself.
func TestExplainTellsTheChoice(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	// The limit does not refill, so that any charge shows.
	fleet := newFleet(t, fleetOptions{hosts: 1, engines: 2, limit: "rate_tokens_per_second = 0.001\nburst_tokens = 200\n"})
	host := fleet.hosts[0]
	addresses := map[string]string{"stock-1": fleet.service}
	resources := ""
	for number := 2; number <= 4; number++ {
		name := fmt.Sprintf("stock-%d", number)
		addresses[name] = startFake(t, "service")
		resources += fmt.Sprintf("[backend_server %q]\naddress = %s\ndata_centre = dc-1\nservice = stock\n\n", name, addresses[name])
	}
	fleet.apply(resources)
	executions := func(server, key string) int {
		var stats fake.ServiceStats
		is.True(getJSON("http://"+addresses[server]+fake.PathStats, &stats))
		return stats.Executions[key]
	}
	drained := ""
	for number := range 12 {
		if number == 6 {
			explanation, _ := fleet.explain(host, "-w", "shop", "-d", `{"item":6}`, "/services/stock/rib")
			drained = explanation.Chosen
			_, code := runCtl(t, host.operatorAddress, "drain", drained)
			is.Equal(code, 0)
		}
		body, key := fmt.Sprintf(`{"item":%d}`, number), fmt.Sprint("k", number)
		explanation, code := fleet.explain(host, "-w", "shop", "-d", body, "/services/stock/rib")
		is.Equal(code, 0)
		is.Equal(len(explanation.Servers), 4)
		is.True(explanation.Fresh && explanation.ProofAgeMS >= 0)
		is.True(explanation.Chosen != "" && explanation.Chosen != drained)
		is.Equal(executions(explanation.Chosen, key), 0)
		is.Equal(send(host, "/services/stock/rib", fleet.key, body, "Idempotency-Key", key).status, http.StatusCreated)
		is.Equal(executions(explanation.Chosen, key), 1)
		for _, candidate := range explanation.Servers {
			is.Equal(candidate.Reason == "draining", candidate.Server == drained)
		}
	}
	_, code := fleet.explain(host, "-w", "shop", "/services/unknown/rib")
	is.Equal(code, 3)

	small := completionBody("shop/a1", 2)
	await(t, startTimeout, "the pool has an owner", func() bool {
		before, code := fleet.explain(host, "-w", "shop", "-d", small, "/v1/completions")
		is.Equal(code, 0)
		is.Equal(before.Chosen, "") // The adapter is loaded nowhere.
		return before.Owner == host.name
	})
	is.Equal(send(host, "/v1/completions", fleet.key, small).status, http.StatusOK)
	after, _ := fleet.explain(host, "-w", "shop", "-d", small, "/v1/completions")
	again, _ := fleet.explain(host, "-w", "shop", "-d", small, "/v1/completions")
	is.True(after.Chosen != "")
	is.Equal(int(after.Limit.Tokens), int(again.Limit.Tokens))
	ran := func() int64 {
		var stats fake.EngineStats
		number, err := strconv.Atoi(strings.TrimPrefix(after.Chosen, "engine-"))
		is.NoErr(err)
		is.True(getJSON("http://"+fleet.engines[number-1]+fake.PathStats, &stats))
		return stats.Completions
	}
	earlier := ran()
	is.Equal(send(host, "/v1/completions", fleet.key, small).status, http.StatusOK)
	is.Equal(ran(), earlier+1)
	large, code := fleet.explain(host, "-w", "shop", "-d", completionBody("shop/a1", 5000), "/v1/completions")
	is.Equal(code, 3)
	is.Equal(string(large.Refusal.Code), send(host, "/v1/completions", fleet.key, completionBody("shop/a1", 5000)).refusal.Code)
}
