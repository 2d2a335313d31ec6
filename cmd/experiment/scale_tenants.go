package main

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"dunemoor/internal/experiment/scaletest"
	"dunemoor/internal/ratelimit"
)

func init() {
	registerScale(&scalePart{
		name: "tenants", by: "tenant", sizes: []int{32, 64, 128, 256, 512, 1024}, smallSizes: []int{4, 8, 16, 40}, duration: "a quarter of a minute",
		about: "tenants in the configuration file: memory and CPU of a start; and the tenant limiter alone, in this process, up to all tenants",
		run:   measureTenants,
	})
}

func measureTenants(ctx context.Context, env *scaleEnv, sizes []int) (*scaletest.Report, error) {
	s := &seriesSet{by: "tenant", targetSize: targetTenants}
	for _, size := range sizes {
		head, err := configHead()
		if err != nil {
			return nil, err
		}
		if err := s.addGateway(ctx, env, size, head+tenantsConfig(size)+poolsConfig(1, 1)+routesConfig(1, 1), false); err != nil {
			return nil, err
		}
	}
	limiterSizes := []int{32, 1024, 10_000, 100_000, targetTenants}
	if env.small {
		limiterSizes = []int{1000, 3000, 10_000, 30_000}
	}
	for _, size := range limiterSizes {
		s.addTenantLimiter(size)
	}
	r := &scaletest.Report{Series: s.list, Notes: []string{memoryNote,
		"the limiter alone iterates over all tenants at each request, while it holds its lock (internal/ratelimit/tenants.go: Tenants.fill)"}}
	const beyond = 1025
	var err error
	r.Breaks, err = startBeyondLimit(ctx, env, beyond, "tenant", "internal/config: maxTenants", tenantsConfig(beyond)+poolsConfig(1, 1)+routesConfig(1, 1))
	return r, err
}

// tenantRequestTime is the duration of the measurement of requests to the limiter.
const tenantRequestTime = 200 * time.Millisecond

// addTenantLimiter measures the limiter of tenants without a gateway, in this process.
func (s *seriesSet) addTenantLimiter(size int) {
	list := make([]ratelimit.Tenant, size)
	for i := range list {
		list[i] = ratelimit.Tenant{Name: fmt.Sprint("tenant-", i), Weight: 1}
	}
	before := heapBytes()
	tenants := ratelimit.NewTenants(list, ratelimit.TenantLimits{Rate: 1e7, Concurrent: 1 << 20})
	s.add(size, "the shares alone: memory", "KB", 4, (heapBytes()-before)/1024)
	runtime.KeepAlive(list) // the list must be part of both heap sizes
	now := ratelimit.Time(0)
	requests := 0
	startedAt := time.Now()
	for time.Since(startedAt) < tenantRequestTime {
		now += ratelimit.Time(time.Millisecond)
		i := requests * scatterFactor % size
		if tenants.Begin(now, i) == ratelimit.Admitted {
			tenants.End(i)
		}
		requests++
	}
	runtime.KeepAlive(tenants)
	s.add(size, "the shares alone: a request", "us", 0.01, mean(startedAt, requests)/1e3)
}
