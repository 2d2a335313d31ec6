package main

import (
	"context"
	"fmt"
	"net"
	"strings"

	"dunemoor/internal/experiment/scaletest"
	"dunemoor/internal/route"
)

// Sizes to design for; docs/CAPACITY.md lists them with their sources.
const (
	targetRoutes  = 55_000
	targetPools   = 7700 // one per service
	targetHosts   = 180_000
	targetTenants = 680_000
	targetChanges = 19_000 // per day
)

// Dimensions of the configurations that are measured.
const (
	manyPools     = 250
	manyHosts     = 20 // number of hosts of each pool
	smallPools    = 10 // used instead of manyPools in a small run
	routesPerHost = 10 // number of paths for each host name
	hostsPerCell  = 3
)

// configName is the name of the configuration file. Errors in the file begin with it.
const configName = "box.toml"

// memoryNote is the note in reports that explains the figures of processes.
const memoryNote = "memory_mb = 4096, so that the garbage collector is not under pressure; 1 MB is 2^20 bytes; CPU is that of all threads, in ticks of 10 ms"

// listenerHost is the address of the measured program's listener. Its port is free from here until the program listens, and
// an outgoing connection on the loopback network, which has the address 127.0.0.1, must not get it meanwhile.
const listenerHost = "127.0.0.84"

// configHead returns the beginning of a configuration. Its memory limit is so high that the garbage collector doesn't
// run more often because of it: the measurement shows the resources that a size needs, not the behavior under memory
// pressure.
func configHead() (string, error) {
	listener, err := net.Listen("tcp", listenerHost+":0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return fmt.Sprintf("name = \"box\"\n[limits]\nmemory_mb = 4096\nsockets = 8192\n[[listener]]\naddress = %q\n"+
		"[[class]]\nname = \"lookup\"\neffect = \"safe\"\naim = \"1s\"\ndeadline = \"10s\"\nworth = 1\n", listener.Addr()), nil
}

// hostAddress returns the i-th address of the loopback network on which no process listens.
func hostAddress(i int) string { return fmt.Sprintf("127.%d.%d.%d:9", 100+i>>16, i>>8&255, i&255) }

// poolsConfig returns the tables of pools with a number of hosts each.
func poolsConfig(pools, hosts int) string {
	var b strings.Builder
	for p := range pools {
		fmt.Fprintf(&b, "[[pool]]\nname = \"pool-%d\"\nmembers = [\n", p)
		for h := range hosts {
			fmt.Fprintf(&b, "  { id = \"p%d-h%d\", address = %q, zone = \"z%d\", cell = %d },\n", p, h, hostAddress(p*hosts+h), h%3, h/hostsPerCell)
		}
		b.WriteString("]\n")
	}
	return b.String()
}

// routeRules returns routes to pools, with routesPerHost paths for each host name.
func routeRules(routes, pools int) (rules []route.Rule) {
	for i := range routes {
		rules = append(rules, route.Rule{
			Name: fmt.Sprintf("route-%d", i), Line: i + 1, Hosts: []string{fmt.Sprintf("shop-%d.example.org", i/routesPerHost)}, Path: fmt.Sprintf("/part-%d", i%routesPerHost),
			Split: []route.Share{{Pool: fmt.Sprintf("pool-%d", i%pools), Weight: 1}},
		})
	}
	return rules
}

// routesConfig returns the routes of routeRules as tables of a configuration.
func routesConfig(routes, pools int) string {
	var b strings.Builder
	for _, r := range routeRules(routes, pools) {
		fmt.Fprintf(&b, "[[route]]\nname = %q\nhosts = [%q]\npath = %q\npool = %q\nclass = \"lookup\"\n", r.Name, r.Hosts[0], r.Path, r.Split[0].Pool)
	}
	return b.String()
}

// tenantsConfig returns the tables of tenants and of the limits that they share.
func tenantsConfig(tenants int) string {
	var b strings.Builder
	b.WriteString("[limits.tenants]\nrate = 100000\nconcurrent = 10000\n")
	for i := range tenants {
		fmt.Fprintf(&b, "[[tenant]]\nname = \"tenant-%d\"\n", i)
	}
	return b.String()
}

// startBeyondLimit starts the program with a configuration that exceeds a limit. It returns a break with the error of
// the program, or none if the program accepts the configuration.
func startBeyondLimit(ctx context.Context, env *scaleEnv, size int, by, where, config string) ([]scaletest.Break, error) {
	head, err := configHead()
	if err != nil {
		return nil, err
	}
	g, err := startGateway(ctx, env, head+config)
	if err != nil {
		text := err.Error()
		if i := strings.Index(text, configName+":"); i >= 0 {
			text = text[i:]
		}
		return []scaletest.Break{{By: by, Size: float64(size), What: text, Where: where}}, nil
	}
	g.process.Kill()
	return nil, nil
}
