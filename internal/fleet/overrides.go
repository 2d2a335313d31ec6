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

// Paths of the operators' calls that concern hosts. The comments list the parameters.
const (
	PathDrain   = "/admin/fleet/drain"   // pool, host, until, reason
	PathUndrain = "/admin/fleet/undrain" // pool, host
)

// maxSupersededRetries is how often an override is proposed in total if later commands of this gateway overtake
// it.
const maxSupersededRetries = 8

// Drained returns the hosts that operators have drained, by pool, as known to this gateway.
func (f *Fleet) Drained() map[string][]string {
	hosts := map[string][]string{}
	for _, o := range f.cluster.Overrides().List {
		hosts[o.Pool] = append(hosts[o.Pool], o.Host)
	}
	return hosts
}

// overridesChanged is called by the cluster's loop when the overrides have changed.
func (f *Fleet) overridesChanged(set *node.OverrideSet) {
	slog.Info("operator overrides changed", "hosts", len(set.List), "index", set.ModRevision)
	f.applyOverrides()
}

// applyOverrides applies the current overrides to the gateway, once that serves.
func (f *Fleet) applyOverrides() {
	f.overridesMu.Lock()
	defer f.overridesMu.Unlock()
	if f.drain != nil {
		f.drain(f.Drained())
	}
}

// proposeOverride proposes to add or remove an override, and retries if the command was superseded.
func (f *Fleet) proposeOverride(ctx context.Context, op lease.Op, o *lease.Override) (r lease.Result, err error) {
	for range maxSupersededRetries {
		r, err = f.cluster.Propose(ctx, lease.Command{Op: op, Override: o})
		if err != nil || r.Code != lease.Superseded {
			break
		}
	}
	return r, err
}

// parseOverride parses the parameters of a call. The text of its error is sent to the caller.
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

// overrideCalls returns the operators' calls that concern hosts, by path.
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
