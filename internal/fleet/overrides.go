package fleet

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"net/url"
	"time"

	"dunemoor/internal/admin"
	"dunemoor/internal/cluster/lease"
	"dunemoor/internal/cluster/node"
)

// Paths of operators' calls about hosts, with their parameters.
const (
	PathDrain   = "/admin/fleet/drain"   // pool, host, until, reason
	PathUndrain = "/admin/fleet/undrain" // pool, host
)

// maxSupersededRetries is how often an override is proposed that another command of this gateway has
// overtaken.
const maxSupersededRetries = 8

// Drained returns the hosts that operators want drained, by pool, as known here.
func (f *Fleet) Drained() map[string][]string {
	hosts := map[string][]string{}
	for _, o := range f.cluster.Overrides().List {
		hosts[o.Pool] = append(hosts[o.Pool], o.Host)
	}
	return hosts
}

// overridesChanged is called by the cluster's loop.
func (f *Fleet) overridesChanged(set *node.OverrideSet) {
	slog.Info("operator overrides changed", "hosts", len(set.List), "index", set.ModRevision)
	f.applyOverrides()
}

// applyOverrides applies the present overrides in the gateway, if that serves.
func (f *Fleet) applyOverrides() {
	f.overridesMu.Lock()
	defer f.overridesMu.Unlock()
	if f.drain != nil {
		f.drain(f.Drained())
	}
}

// proposeOverride proposes to add or remove an override, again if it was superseded.
func (f *Fleet) proposeOverride(ctx context.Context, op lease.Op, o *lease.Override) (r lease.Result, err error) {
	for range maxSupersededRetries {
		r, err = f.cluster.Propose(ctx, lease.Command{Op: op, Override: o})
		if err != nil || r.Code != lease.Superseded {
			break
		}
	}
	return r, err
}

// parseOverride reads the parameters of a call. The error is for the caller.
func parseOverride(v url.Values) (*lease.Override, error) {
	o := &lease.Override{Pool: v.Get("pool"), Host: v.Get("host"), Reason: v.Get("reason")}
	if o.Pool == "" || o.Host == "" {
		return nil, errMissing("pool or host")
	}
	if text := v.Get("until"); text != "" {
		d, err := time.ParseDuration(text)
		if err != nil || d <= 0 || d > lease.MaxOverrideDuration {
			return nil, fmt.Errorf("until: %q is no time like \"2h\", up to %v", text, lease.MaxOverrideDuration)
		}
		o.Remaining = d
	}
	return o, nil
}

// overrideCalls returns the operators' calls about hosts.
func (f *Fleet) overrideCalls() map[string]admin.Call {
	return map[string]admin.Call{
		PathDrain: postCall(func(ctx context.Context, v url.Values) response {
			o, err := parseOverride(v)
			if err != nil {
				return badRequest(err)
			}
			if _, ok := f.pool(o.Pool); !ok {
				return response{http.StatusConflict, fmt.Sprintf("refused: this gateway has no pool %s\n", o.Pool)}
			}
			return resultResponse(f.proposeOverride(ctx, lease.OpDrainHost, o))
		}),
		PathUndrain: postCall(func(ctx context.Context, v url.Values) response {
			o, err := parseOverride(v)
			if err != nil {
				return badRequest(err)
			}
			return resultResponse(f.proposeOverride(ctx, lease.OpUndrainHost, o))
		}),
	}
}
