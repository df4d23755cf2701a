package daemon

import (
	"net/http"

	registry "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// newMetrics returns the scope of a daemon's metrics, the handler that serves them, and the function that closes the
// scope.
func newMetrics() (scope tally.Scope, handler http.Handler, closeMetrics func() error) {
	metricsRegistry := registry.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: metricsRegistry, Gatherer: metricsRegistry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "lentil", CachedReporter: reporter, Separator: prometheus.DefaultSeparator,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts, OmitCardinalityMetrics: true,
	}, metricsInterval)
	return scope, reporter.HTTPHandler(), closer.Close
}
