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

const checksHelp = "Tries of hosts on behalf of the fleet: good, bad, or fenced by a host that knows a later owner."

// metrics answers a scraper, in the text format of Prometheus.
func (f *Fleet) metrics() func(context.Context, url.Values) (int, string, string) {
	r := prometheus.NewRegistry()
	r.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	f.c.RegisterMetrics(r)
	for pool, l := range f.lists {
		r.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "dunemoor_discovery_watches_total", Help: "Watches of discovery begun from this gateway, of a pool whose list the fleet tells.",
			ConstLabels: prometheus.Labels{"pool": pool},
		}, func() float64 { return float64(l.calls.Load()) }))
	}
	for _, k := range f.checks {
		for _, x := range []struct {
			name, result, help string
			from               *atomic.Uint64
		}{
			{"checks_total", "good", checksHelp, &k.good},
			{"checks_total", "bad", checksHelp, &k.bad},
			{"checks_total", "fenced", checksHelp, &k.fenced},
			{"hints_total", "", "Hosts that the fleet's checker said may be worth a try, as heard here.", &k.hints},
		} {
			labels := prometheus.Labels{"pool": k.pool}
			if x.result != "" {
				labels["result"] = x.result
			}
			r.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "dunemoor_fleet_" + x.name, Help: x.help, ConstLabels: labels},
				func() float64 { return float64(x.from.Load()) }))
		}
	}
	return func(context.Context, url.Values) (int, string, string) {
		all, err := r.Gather()
		if err != nil {
			return http.StatusInternalServerError, err.Error() + "\n", ""
		}
		var b bytes.Buffer
		format := expfmt.NewFormat(expfmt.TypeTextPlain)
		e := expfmt.NewEncoder(&b, format)
		for _, m := range all {
			if err := e.Encode(m); err != nil {
				return http.StatusInternalServerError, err.Error() + "\n", ""
			}
		}
		return http.StatusOK, b.String(), string(format)
	}
}
