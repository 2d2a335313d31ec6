package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"net/url"
	"time"

	"dunemoor/internal/admin"
	"dunemoor/internal/cluster"
	"dunemoor/internal/cluster/lease"
)

// Paths of the operators' calls. The comments list the parameters.
const (
	PathFleet         = "/admin/fleet"
	PathMetrics       = "/admin/metrics"
	PathTransfer      = "/admin/fleet/move"   // duty, to
	PathRelease       = "/admin/fleet/resign" // duty
	PathAddReplica    = "/admin/fleet/add"    // gateway
	PathRemoveReplica = "/admin/fleet/remove" // gateway
)

const (
	// transferTimeout is how long a call waits for a transfer. The lease of a holder that has failed expires
	// within that time. The status is polled every transferPollInterval.
	transferTimeout      = 3 * time.Second
	transferPollInterval = 20 * time.Millisecond
)

// response is the plain-text response to a call.
type response struct {
	status int
	text   string
}

// errMissing is the error of a call that lacks a parameter, whose name is the value.
type errMissing string

func (e errMissing) Error() string { return string(e) + " is missing" }

func badRequest(err error) response { return response{http.StatusBadRequest, err.Error() + "\n"} }

// postCall returns a call by POST, for calls that change something.
func postCall(do func(context.Context, url.Values) response) admin.Call {
	return admin.Call{Method: http.MethodPost, Do: func(ctx context.Context, v url.Values) (int, string, string) {
		r := do(ctx, v)
		return r.status, r.text, ""
	}}
}

// require returns an error for the first parameter that is missing, or nil.
func require(v url.Values, names ...string) error {
	for _, name := range names {
		if v.Get(name) == "" {
			return errMissing(name)
		}
	}
	return nil
}

// Calls returns the operators' calls that concern the fleet, by path.
func (f *Fleet) Calls() map[string]admin.Call {
	calls := map[string]admin.Call{
		PathFleet:   {Method: http.MethodGet, Do: f.statusCall},
		PathMetrics: {Method: http.MethodGet, Do: f.metricsCall()},
		PathTransfer: postCall(func(ctx context.Context, v url.Values) response {
			if err := require(v, "duty", "to"); err != nil {
				return badRequest(err)
			}
			return f.transfer(ctx, v.Get("duty"), v.Get("to"))
		}),
		PathRelease: postCall(func(ctx context.Context, v url.Values) response {
			if err := require(v, "duty"); err != nil {
				return badRequest(err)
			}
			return f.transfer(ctx, v.Get("duty"), "")
		}),
		PathAddReplica:    f.replicaCall(lease.OpAddReplica),
		PathRemoveReplica: f.replicaCall(lease.OpRemoveReplica),
	}
	maps.Copy(calls, f.overrideCalls())
	return calls
}

// statusCall returns the status of the fleet as JSON.
func (f *Fleet) statusCall(context.Context, url.Values) (int, string, string) {
	text, err := json.MarshalIndent(f.cluster.Status(), "", "  ")
	if err != nil {
		return http.StatusInternalServerError, err.Error() + "\n", ""
	}
	return http.StatusOK, string(text) + "\n", "application/json"
}

// replicaCall returns the call that adds or removes a replica.
func (f *Fleet) replicaCall(op lease.Op) admin.Call {
	return postCall(func(ctx context.Context, v url.Values) response {
		if err := require(v, "gateway"); err != nil {
			return badRequest(err)
		}
		return resultResponse(f.cluster.Propose(ctx, lease.Command{Op: op, Name: v.Get("gateway")}))
	})
}

// transfer transfers a lease to another gateway, or to any gateway if target is empty, and waits until the
// status of this gateway shows the new holder.
func (f *Fleet) transfer(ctx context.Context, name, target string) response {
	oldHolder, oldToken := f.holder(name)
	r := resultResponse(f.cluster.Propose(ctx, lease.Command{Op: lease.OpTransfer, Lease: name, Target: target}))
	alreadyThere := target != "" && oldHolder == target
	if r.status != http.StatusOK || alreadyThere {
		return r
	}
	deadline := time.Now().Add(transferTimeout)
	for {
		holder, token := f.holder(name)
		isNewGrant := holder != "" && token != oldToken
		isWanted := target == "" || holder == target
		if isNewGrant && isWanted {
			return response{http.StatusOK, fmt.Sprintf("done: %s owns it, token %d\n", holder, token)}
		}
		if time.Now().After(deadline) {
			text := fmt.Sprintf("asked, and not seen to have happened after %v: see the fleet's duties\n", transferTimeout)
			return response{http.StatusGatewayTimeout, text}
		}
		select {
		case <-ctx.Done():
			return response{http.StatusGatewayTimeout, ctx.Err().Error() + "\n"}
		case <-time.After(transferPollInterval):
		}
	}
}

// holder returns the holder of a lease and its token, as known to this gateway.
func (f *Fleet) holder(name string) (holder string, token uint64) {
	for _, l := range f.cluster.Status().Leases {
		if l.Name == name {
			return l.Holder, l.Token
		}
	}
	return "", 0
}

// resultResponse returns the response for the result of a command.
func resultResponse(r lease.Result, err error) response {
	switch {
	case errors.Is(err, cluster.ErrIndeterminate):
		return response{http.StatusGatewayTimeout, err.Error() + "\n"}
	case err != nil:
		return response{http.StatusServiceUnavailable, err.Error() + "\n"}
	case r.Code == lease.NoSession:
		return response{http.StatusServiceUnavailable, "this gateway has no session with its fleet, nothing was done\n"}
	case r.Code != lease.OK && r.Reason != "":
		return response{http.StatusConflict, fmt.Sprintf("refused: %s\n", r.Reason)}
	case r.Code != lease.OK:
		return response{http.StatusConflict, fmt.Sprintf("refused: %s\n", r.Code)}
	}
	return response{http.StatusOK, "done\n"}
}
