package kit

// Class is a class of requests in the settings.
type Class struct {
	Name, Effect, Group string
	DeadlineMS, AimMS   int
	WindowMS            int
	Worth               float64
}

// Classes are the classes of a small deployment: one that is safe to repeat, one that must never run twice, and one that
// the hosts of a cell drop repeats of.
var Classes = []Class{
	{"lookup", "idempotent", "all", 4000, 1500, 5000, 1},
	{"uplift-book", "at_most_once", "all", 1000, 500, 5000, 5},
	{"missed-bin", "deduplicated", "cell", 4000, 1500, 2500, 2},
}

// Settings returns the settings object for one gateway. discovery is "automatic" (pushed) or "subscribe" (asked for).
func Settings(discovery string) map[string]any {
	var classes []map[string]any
	for _, c := range Classes {
		classes = append(classes, map[string]any{
			"name": c.Name, "effect": c.Effect, "group": c.Group, "importance": c.Worth, "late_worth": 0.0,
			"hard_limit": c.DeadlineMS * 1000, "promise": c.AimMS * 1000, "window": c.WindowMS * 1000, "streaming": false,
		})
	}
	return map[string]any{
		"azs": []string{"hall-a"}, "zone": 0, "balancers": 1, "rank": 0, "stage": 0, "step": 5000,
		"tiers": []string{"calendar-web"}, "kinds": []string{"mid-1c"}, "tenants": []any{}, "workload": "proxy",
		"weights": "live", "worth_by": "request", "over_share_worth": 0.1,
		"classes": classes, "clients": map[string]any{"marks_retry": true}, "discovery": discovery,
		"caps": map[string]any{
			"cancel": true, "conn_idle": 60000000, "cpu_us_per_request": 0.0, "cpu_us_per_s": 400000,
			"dial_timeout": 250000, "max_attempts": 4, "max_open": 20000, "max_retry_after": 2000000,
			"may_duplicate": false, "peers": false, "probes": true, "retry_after": true, "streams_per_conn": 100,
		},
		"obligations": map[string]any{
			"ask_within": 10000000, "cold_from": 0.3, "drain_grace": 500000, "fall": 1500000,
			"grace_to_answer": 20000, "overload_factor": 2.5, "warm_after": 9000000,
		},
		"report": map[string]any{"columns": []string{"rif", "q", "rate"}, "via": "on_probe"},
	}
}

// Config returns the configuration of a gateway.
func Config(name, listen, discovery string, known List, settings map[string]any) map[string]any {
	return map[string]any{
		"name": name, "listen": listen, "discovery": discovery, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"known":  known, "settings": settings,
	}
}
