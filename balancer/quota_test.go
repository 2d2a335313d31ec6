package balancer

import (
	"testing"
	"time"
)

func TestOverQuotaRequestWaitsBehindOthers(t *testing.T) {
	settings := testSettings()
	settings.Tenants = []Tenant{{Quota: 1}, {Quota: 1000}}
	settings.OverQuotaWeight = 0.05
	g := newTestGateway(t, settings)
	requestOf := func(tenant int) RequestID {
		g.next++
		g.b.Request(g.now, Request{ID: g.next, Tenant: tenant, Remaining: time.Second})
		return g.next
	}
	requestOf(0)
	overQuota := requestOf(0)
	withinQuota := requestOf(1)
	list := testHosts(1)
	g.b.TakeActions(nil)
	g.updateEndpoints(ListFull, list...)
	order := map[RequestID]int{}
	for i, a := range g.actions {
		order[a.Request] = i
	}
	if len(order) != 3 || order[withinQuota] > order[overQuota] {
		t.Errorf("actions %v, want 3 with request %d before request %d", g.actions, withinQuota, overQuota)
	}
}
