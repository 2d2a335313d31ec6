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

// Paths of the operators' words.
const (
	PathDrain   = "/admin/fleet/drain"   // pool, host, until, reason
	PathUndrain = "/admin/fleet/undrain" // pool, host
)

// Drained is the hosts that operators want drained, by pool, as it is known here.
func (f *Fleet) Drained() map[string][]string {
	hosts := map[string][]string{}
	for _, w := range f.c.Overrides().List {
		hosts[w.Pool] = append(hosts[w.Pool], w.Host)
	}
	return hosts
}

// hearWords has the words take effect here; it comes from the fleet's loop, one at a time.
func (f *Fleet) hearWords(w *node.OverrideSet) {
	slog.Info("operators' words", "hosts", len(w.List), "index", w.ModRevision)
	f.say()
}

// say has the words take effect in the gateway, where that serves. Whoever comes last has the
// newest.
func (f *Fleet) say() {
	f.saying.Lock()
	defer f.saying.Unlock()
	if f.drain != nil {
		f.drain(f.Drained())
	}
}

// lateMost is how often a word is said again that another command of this gateway has overtaken.
const lateMost = 8

// do has a word written, again where nothing was done as it came late.
func (f *Fleet) do(ctx context.Context, c lease.Command) (r lease.Result, err error) {
	for range lateMost {
		if r, err = f.c.Propose(ctx, c); err != nil || r.Code != lease.Superseded {
			break
		}
	}
	return r, err
}

// wordCalls are the operators' calls about hosts.
func (f *Fleet) wordCalls(calls map[string]admin.Call) {
	word := func(v url.Values) (*lease.Override, string) {
		w := &lease.Override{Pool: v.Get("pool"), Host: v.Get("host"), Reason: v.Get("reason")}
		if w.Pool == "" || w.Host == "" {
			return nil, "pool or host is missing"
		}
		if text := v.Get("until"); text != "" {
			d, err := time.ParseDuration(text)
			if err != nil || d <= 0 || d > lease.MaxOverrideDuration {
				return nil, fmt.Sprintf("until: %q is no time like \"2h\", up to %v", text, lease.MaxOverrideDuration)
			}
			w.Remaining = d
		}
		return w, ""
	}
	calls[PathDrain] = admin.Call{Method: http.MethodPost, Do: func(ctx context.Context, v url.Values) (int, string, string) {
		w, wrong := word(v)
		if wrong != "" {
			return http.StatusBadRequest, wrong + "\n", ""
		}
		if _, ok := f.poolNamed(w.Pool); !ok {
			return http.StatusConflict, fmt.Sprintf("refused: this gateway has no pool %s\n", w.Pool), ""
		}
		return answer(f.do(ctx, lease.Command{Op: lease.OpDrainHost, Override: w}))
	}}
	calls[PathUndrain] = admin.Call{Method: http.MethodPost, Do: func(ctx context.Context, v url.Values) (int, string, string) {
		w, wrong := word(v)
		if wrong != "" {
			return http.StatusBadRequest, wrong + "\n", ""
		}
		return answer(f.do(ctx, lease.Command{Op: lease.OpUndrainHost, Override: w}))
	}}
}
