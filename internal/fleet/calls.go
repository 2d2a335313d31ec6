package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"

	"lynxspool/internal/admin"
	"lynxspool/internal/cluster"
	"lynxspool/internal/cluster/lease"
)

// Paths of the operators' calls.
const (
	PathFleet   = "/admin/fleet"
	PathMetrics = "/admin/metrics"
	PathMove    = "/admin/fleet/move"   // duty, to
	PathResign  = "/admin/fleet/resign" // duty
	PathAdd     = "/admin/fleet/add"    // gateway
	PathRemove  = "/admin/fleet/remove" // gateway
)

// Calls are the operators' calls about the fleet.
func (f *Fleet) Calls() map[string]admin.Call {
	command := func(make func(url.Values) (lease.Command, string)) admin.Call {
		return admin.Call{Method: http.MethodPost, Do: func(ctx context.Context, with url.Values) (int, string, string) {
			c, missing := make(with)
			if missing != "" {
				return http.StatusBadRequest, missing + " is missing\n", ""
			}
			return answer(f.c.Do(ctx, c))
		}}
	}
	need := func(with url.Values, keys ...string) string {
		for _, k := range keys {
			if with.Get(k) == "" {
				return k
			}
		}
		return ""
	}
	return map[string]admin.Call{
		PathFleet: {Method: http.MethodGet, Do: func(context.Context, url.Values) (int, string, string) {
			text, err := json.MarshalIndent(f.c.Status(), "", "  ")
			if err != nil {
				return http.StatusInternalServerError, err.Error() + "\n", ""
			}
			return http.StatusOK, string(text) + "\n", "application/json"
		}},
		PathMetrics: {Method: http.MethodGet, Do: f.metrics()},
		PathMove: command(func(v url.Values) (lease.Command, string) {
			return lease.Command{Op: lease.Move, Duty: v.Get("duty"), To: v.Get("to")}, need(v, "duty", "to")
		}),
		PathResign: command(func(v url.Values) (lease.Command, string) {
			return lease.Command{Op: lease.Move, Duty: v.Get("duty")}, need(v, "duty")
		}),
		PathAdd: command(func(v url.Values) (lease.Command, string) {
			return lease.Command{Op: lease.Keep, Name: v.Get("gateway")}, need(v, "gateway")
		}),
		PathRemove: command(func(v url.Values) (lease.Command, string) {
			return lease.Command{Op: lease.Leave, Name: v.Get("gateway")}, need(v, "gateway")
		}),
	}
}

// answer words what came of a command: done, refused, or not known.
func answer(r lease.Result, err error) (int, string, string) {
	switch {
	case errors.Is(err, cluster.ErrUnknown):
		return http.StatusGatewayTimeout, err.Error() + "\n", ""
	case err != nil:
		return http.StatusServiceUnavailable, err.Error() + "\n", ""
	case r.Code == lease.NoSession:
		return http.StatusServiceUnavailable, "this gateway has no session with its fleet, nothing was done\n", ""
	case r.Code != lease.OK:
		why := r.Why
		if why == "" {
			why = string(r.Code)
		}
		return http.StatusConflict, fmt.Sprintf("refused: %s\n", why), ""
	}
	return http.StatusOK, "done\n", ""
}
