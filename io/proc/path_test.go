package proc

import (
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"lentilproxy/io/fake"
)

func TestEndToEnd(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	fleet := newFleet(t, fleetOptions{hosts: 2, engines: 2})
	first, second := fleet.hosts[0], fleet.hosts[1]

	for _, host := range fleet.hosts {
		got := send(host, "/v1/completions", fleet.key, completionBody("shop/a1@v2", 5))
		is.True(got.complete())                                                                 // the stream is complete
		is.Equal(strings.Count(got.body, "data: {"), 5)                                         // every token is one event
		is.Equal(got.header.Get("X-Lentil-Version"), "shop/a1@v2")                              // the response header names the version
		is.True(strings.Contains(got.body, `"model":"shop/a1@v2"`))                             // and so does each event
		is.Equal(send(host, "/v1/completions", "", completionBody("shop/open", 2)).status, 200) // an open adapter needs no key
	}

	body := strings.NewReplacer("true", "false").Replace(completionBody("a1", 3))
	unstreamed := send(first, "/v1/chat/completions", fleet.key, body)
	is.Equal(unstreamed.status, http.StatusOK)
	is.True(strings.Contains(unstreamed.body, `"completion_tokens":3`))

	order := `{"item":"rib"}`
	placed := send(first, "/services/orders/new", fleet.key, order, "Idempotency-Key", "k1")
	again := send(second, "/services/orders/new", fleet.key, order, "Idempotency-Key", "k1")
	is.Equal(placed.status, http.StatusCreated)
	is.Equal(placed.body, again.body) // the recorded response is returned
	is.Equal(again.header.Get("X-Lentil-Replayed"), "true")
	is.Equal(send(second, "/services/orders/new", fleet.key, `{"item":"other"}`, "Idempotency-Key", "k1").refusal.Code, "idempotency_key_reused")
	is.Equal(send(first, "/services/orders/new", fleet.key, order).refusal.Code, "idempotency_key_required")
	is.Equal(send(first, "/services/stock/rib", fleet.key, order).status, http.StatusCreated)

	var stats fake.ServiceStats
	is.True(getJSON("http://"+fleet.service+fake.PathStats, &stats))
	is.Equal(stats.Executions["k1"], 1) // the order ran once
	is.Equal(stats.KeysSeen, 0)         // no backend server received a key
	var engine fake.EngineStats
	is.True(getJSON("http://"+fleet.engines[0]+fake.PathStats, &engine))
	is.Equal(engine.KeysSeen, int64(0))

	for _, host := range fleet.hosts {
		for _, path := range []string{"/healthz", "/readyz", "/metrics"} {
			response, err := http.Get("http://" + host.operatorAddress + path)
			is.NoErr(err)
			is.Equal(response.StatusCode, http.StatusOK)
			is.NoErr(response.Body.Close())
		}
	}
	for _, host := range fleet.hosts {
		is.True(!strings.Contains(strings.Join(host.outputLines(), "\n"), "lk_")) // no key appears in the logs
	}
}

func TestRefusals(t *testing.T) {
	t.Parallel()
	fleet := newFleet(t, fleetOptions{hosts: 1, engines: 1, limit: "rate_tokens_per_second = 1\nburst_tokens = 100\n"})
	host := fleet.hosts[0]
	other, _ := fleet.grantKey("stall")
	small := completionBody("shop/a1", 2)
	for _, test := range []struct {
		name, path, key, body string
		status                int
		code                  string
	}{
		{"no key", "/v1/completions", "", small, 401, "key_missing"},
		{"wrong key", "/v1/completions", "lk_aa_bb", small, 401, "key_unknown"},
		{"not a key", "/v1/completions", "hello", small, 401, "key_unknown"},
		{"another workspace's key", "/v1/completions", other, small, 403, "wrong_workspace"},
		{"unknown adapter", "/v1/completions", fleet.key, completionBody("shop/zzz", 2), 404, "unknown_model"},
		{"unknown version", "/v1/completions", fleet.key, completionBody("shop/a1@v9", 2), 404, "unknown_model"},
		{"malformed body", "/v1/completions", fleet.key, "{", 400, "bad_request"},
		{"no model", "/v1/completions", fleet.key, "{}", 400, "bad_request"},
		{"too many tokens", "/v1/completions", fleet.key, completionBody("shop/a1", 0), 400, "bad_request"},
		{"oversized body", "/v1/completions", fleet.key, `{"model":"` + strings.Repeat("a", 1<<20) + `"}`, 413, "body_too_large"},
		{"over the burst", "/v1/completions", fleet.key, completionBody("shop/a1", 500), 413, "over_burst"},
		{"key in the body", "/v1/completions", fleet.key, `{"model":"shop/a1","prompt":"` + fleet.key + `"}`, 400, "key_in_request"},
		{"unknown route", "/services/zzz/x", fleet.key, "{}", 404, "unknown_route"},
		{"another workspace's route", "/services/stock/x", other, "{}", 403, "wrong_workspace"},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			got := send(host, test.path, test.key, test.body)
			is.NoErr(got.err)
			is.Equal(got.refusal, refusal{Code: test.code, Executed: "no"})
			is.Equal(got.status, test.status)
		})
	}
	t.Run("over the rate", func(t *testing.T) {
		is := is.New(t)
		var got response
		for range 5 {
			got = send(host, "/v1/completions", fleet.key, completionBody("shop/a1", 40))
		}
		is.Equal(got.refusal, refusal{Code: "over_rate", Executed: "no"})
		is.Equal(got.status, http.StatusTooManyRequests)
		is.True(got.header.Get("Retry-After") != "")
	})
	t.Run("withdrawn key", func(t *testing.T) {
		is := is.New(t)
		_, code := runCtl(t, host.operatorAddress, "key", "withdraw", fleet.keyName)
		is.Equal(code, 0)
		got := send(host, "/v1/completions", fleet.key, small)
		is.Equal(got.refusal, refusal{Code: "key_withdrawn", Executed: "no"})
	})
}

// A daemon that receives SIGTERM completes its open streams, and reports that it is not ready meanwhile.
func TestPlannedStop(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	fleet := newFleet(t, fleetOptions{hosts: 2, engines: 1})
	host := fleet.hosts[0]
	finished := make(chan response, 1)
	go func() { finished <- send(host, "/v1/completions", fleet.key, completionBody("shop/a1", 300)) }()
	await(t, startTimeout, "the stream runs", func() bool {
		var stats fake.EngineStats
		return getJSON("http://"+fleet.engines[0]+fake.PathStats, &stats) && stats.Running == 1
	})
	host.signal(syscall.SIGTERM)
	await(t, time.Second, "the daemon is not ready", func() bool { return !host.ready() })
	got := <-finished
	is.True(got.complete())
	is.Equal(strings.Count(got.body, "data: {"), 300)
	<-host.exited
	is.Equal(host.exitCode, 0)
	is.True(send(fleet.hosts[1], "/v1/completions", fleet.key, completionBody("shop/a1", 2)).complete()) // the other daemon keeps serving
}

func TestSettings(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "bad.ini")
	is.NoErr(os.WriteFile(path, []byte("[host]\nname = a\nname = b\ncolour = red\n[listen]\ncallers = nowhere\noperators = 127.0.0.1:1\npeers = 127.0.0.1:1\n[zzz]\n"), 0o600))
	bad := startProcess(t, "lentild", "--check", "--config", path)
	<-bad.exited
	output := strings.Join(bad.outputLines(), "\n")
	is.Equal(bad.exitCode, 2)
	for _, fault := range []string{
		path + ":3: host: name is set twice, first in line 2", path + ":4: host: unknown key \"colour\"",
		path + ":1: host: data_centre is missing", path + ":6: listen: callers: \"nowhere\" is not IP:port",
		path + ":8: listen: peers is the same address as operators", path + ":9: zzz: unknown section [zzz]",
		path + ":0: section [platform] is missing",
	} {
		is.True(strings.Contains(output, fault)) // every fault is reported with its file and line
	}
	table := startFake(t, "table")
	is.NoErr(os.WriteFile(path, []byte("[host]\nname = a\ndata_centre = d\n[listen]\ncallers = "+table+"\noperators = 127.0.0.1:0\npeers = 127.0.0.1:0\n[platform]\ntable = "+table+"\n"), 0o600))
	taken := startProcess(t, "lentild", "--config", path)
	<-taken.exited
	is.Equal(taken.exitCode, 1)
	is.Equal(len(taken.outputLines()), 1) // a port in use is reported in a single line
	is.True(strings.Contains(taken.outputLines()[0], "address already in use"))
}

// Of two operators who send conflicting changes to different daemons at once, only one succeeds. The refusal of an
// outdated change reports the expected and the current generation.
func TestConcurrentOperators(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	fleet := newFleet(t, fleetOptions{hosts: 2, engines: 1})
	path := filepath.Join(t.TempDir(), "change.ini")
	is.NoErr(os.WriteFile(path, []byte("[workspace \"shop\"]\nweight = 7\n"), 0o600))
	output, code := runCtl(t, fleet.hosts[0].operatorAddress, "apply", "-f", path, "--dry-run")
	is.Equal(code, 0)
	is.True(strings.Contains(output, "weight: 1 -> 7"))
	type object map[string]any
	apply := func(host *host, weight int) (result struct {
		Outcome string           `json:"outcome"`
		Faults  []map[string]any `json:"faults"`
	},
	) {
		is.NoErr(postJSON("http://"+host.operatorAddress+"/v1/apply", object{
			"resources":   []object{{"kind": "workspace", "name": "shop", "workspace": object{"weight": weight}}},
			"generations": object{"workspace/shop": 1},
		}, &result))
		return result
	}
	outcomes := make([]string, 2)
	runConcurrently(2, func(number int) { outcomes[number] = apply(fleet.hosts[number], 2+number).Outcome })
	is.True(outcomes[0] != outcomes[1]) // the outcomes differ: only one change succeeds
	outdated := apply(fleet.hosts[0], 9)
	is.Equal(outdated.Outcome, "rejected")
	is.True(strings.Contains(outdated.Faults[0]["message"].(string), "generation 1 was expected, but 2 is in the configuration since revision"))
	output, code = runCtl(t, fleet.hosts[1].operatorAddress, "delete", "workspace", "shop")
	is.Equal(code, 3)
	is.True(strings.Contains(output, "is in use by"))
	is.NoErr(os.WriteFile(path, []byte("[workspace \"x\"]\nweight = 0\n[adapter \"shop/q\"]\nbase_model = b\ndefault_version = v1\nsize = 3\n"), 0o600))
	output, code = runCtl(t, fleet.hosts[0].operatorAddress, "apply", "-f", path)
	is.Equal(code, 2)
	is.True(strings.Contains(output, path+":6: adapter shop/q: unknown key \"size\""))
}
