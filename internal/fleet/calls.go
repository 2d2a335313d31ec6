package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"dunemoor/internal/admin"
	"dunemoor/internal/cluster"
	"dunemoor/internal/cluster/lease"
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
			return answer(f.c.Propose(ctx, c))
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
	calls := map[string]admin.Call{
		PathFleet: {Method: http.MethodGet, Do: func(context.Context, url.Values) (int, string, string) {
			text, err := json.MarshalIndent(f.c.Status(), "", "  ")
			if err != nil {
				return http.StatusInternalServerError, err.Error() + "\n", ""
			}
			return http.StatusOK, string(text) + "\n", "application/json"
		}},
		PathMetrics: {Method: http.MethodGet, Do: f.metrics()},
		PathMove: {Method: http.MethodPost, Do: func(ctx context.Context, v url.Values) (int, string, string) {
			if missing := need(v, "duty", "to"); missing != "" {
				return http.StatusBadRequest, missing + " is missing\n", ""
			}
			return f.move(ctx, v.Get("duty"), v.Get("to"))
		}},
		PathResign: {Method: http.MethodPost, Do: func(ctx context.Context, v url.Values) (int, string, string) {
			if missing := need(v, "duty"); missing != "" {
				return http.StatusBadRequest, missing + " is missing\n", ""
			}
			return f.move(ctx, v.Get("duty"), "")
		}},
		PathAdd: command(func(v url.Values) (lease.Command, string) {
			return lease.Command{Op: lease.OpAddReplica, Name: v.Get("gateway")}, need(v, "gateway")
		}),
		PathRemove: command(func(v url.Values) (lease.Command, string) {
			return lease.Command{Op: lease.OpRemoveReplica, Name: v.Get("gateway")}, need(v, "gateway")
		}),
	}
	f.wordCalls(calls)
	return calls
}

// How long a planned change of hands is waited for, and how often it is looked.
const (
	movedMost  = 3 * time.Second // an owner that is gone has lapsed by then
	movedEvery = 20 * time.Millisecond
)

// move has a duty given to another gateway, and waits until that has happened as far as it is
// known here.
func (f *Fleet) move(ctx context.Context, duty, to string) (int, string, string) {
	owner, token := f.holder(duty)
	code, text, kind := answer(f.c.Propose(ctx, lease.Command{Op: lease.OpTransfer, Lease: duty, Target: to}))
	if code != http.StatusOK || to != "" && owner == to {
		return code, text, kind
	}
	end := time.Now().Add(movedMost)
	for {
		if now, next := f.holder(duty); now != "" && next != token && (to == "" || now == to) {
			return http.StatusOK, fmt.Sprintf("done: %s owns it, token %d\n", now, next), ""
		}
		if time.Now().After(end) {
			return http.StatusGatewayTimeout, fmt.Sprintf("asked, and not seen to have happened after %v: see the fleet's duties\n", movedMost), ""
		}
		select {
		case <-ctx.Done():
			return http.StatusGatewayTimeout, ctx.Err().Error() + "\n", ""
		case <-time.After(movedEvery):
		}
	}
}

// holder is who owns a duty, as it is known here.
func (f *Fleet) holder(duty string) (owner string, token uint64) {
	for _, d := range f.c.Status().Leases {
		if d.Name == duty {
			return d.Holder, d.Token
		}
	}
	return "", 0
}

// answer words what came of a command: done, refused, or not known.
func answer(r lease.Result, err error) (int, string, string) {
	switch {
	case errors.Is(err, cluster.ErrIndeterminate):
		return http.StatusGatewayTimeout, err.Error() + "\n", ""
	case err != nil:
		return http.StatusServiceUnavailable, err.Error() + "\n", ""
	case r.Code == lease.NoSession:
		return http.StatusServiceUnavailable, "this gateway has no session with its fleet, nothing was done\n", ""
	case r.Code != lease.OK:
		why := r.Reason
		if why == "" {
			why = string(r.Code)
		}
		return http.StatusConflict, fmt.Sprintf("refused: %s\n", why), ""
	}
	return http.StatusOK, "done\n", ""
}
