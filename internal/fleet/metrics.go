package fleet

import (
	"bytes"
	"context"
	"net/http"
	"net/url"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/common/expfmt"
)

const checksHelp = "Health checks on behalf of the fleet: good, bad, or fenced by a host that knows a later holder of the lease."

// registry returns a registry with all metrics of the gateway's membership.
func (f *Fleet) registry() *prometheus.Registry {
	r := prometheus.NewRegistry()
	r.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	f.cluster.RegisterMetrics(r)
	f.registerPoolMetrics(r)
	return r
}

// registerPoolMetrics registers the counters of each pool.
func (f *Fleet) registerPoolMetrics(r *prometheus.Registry) {
	for pool, l := range f.endpointLists {
		registerCounter(r, "dunemoor_discovery_watches_total", "Watches of discovery begun by this gateway, of a pool whose list the fleet publishes.",
			prometheus.Labels{"pool": pool}, &l.watches)
	}
	for _, c := range f.healthChecks {
		registerCounter(r, "dunemoor_fleet_checks_total", checksHelp, prometheus.Labels{"pool": c.pool, "result": "good"}, &c.passed)
		registerCounter(r, "dunemoor_fleet_checks_total", checksHelp, prometheus.Labels{"pool": c.pool, "result": "bad"}, &c.failed)
		registerCounter(r, "dunemoor_fleet_checks_total", checksHelp, prometheus.Labels{"pool": c.pool, "result": "fenced"}, &c.fenced)
		registerCounter(r, "dunemoor_fleet_hints_total", "Hosts that have passed a health check of the fleet, as received here.",
			prometheus.Labels{"pool": c.pool}, &c.received)
	}
}

func registerCounter(r *prometheus.Registry, name, help string, labels prometheus.Labels, value *atomic.Uint64) {
	opts := prometheus.CounterOpts{Name: name, Help: help, ConstLabels: labels}
	r.MustRegister(prometheus.NewCounterFunc(opts, func() float64 { return float64(value.Load()) }))
}

// metricsCall returns the call that Prometheus scrapes, in its text format.
func (f *Fleet) metricsCall() func(context.Context, url.Values) (int, string, string) {
	r := f.registry()
	return func(context.Context, url.Values) (int, string, string) {
		families, err := r.Gather()
		if err != nil {
			return http.StatusInternalServerError, err.Error() + "\n", ""
		}
		var b bytes.Buffer
		format := expfmt.NewFormat(expfmt.TypeTextPlain)
		e := expfmt.NewEncoder(&b, format)
		for _, m := range families {
			if err := e.Encode(m); err != nil {
				return http.StatusInternalServerError, err.Error() + "\n", ""
			}
		}
		return http.StatusOK, b.String(), string(format)
	}
}
