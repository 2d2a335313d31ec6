package config

import (
	"cmp"
	"net/url"
	"slices"
	"strings"
	"time"

	"dunemoor/internal/route"
)

// Bounds of pools.
const (
	maxPools       = 256 // every pool has a balancer and a share of the memory
	maxMembers     = 5000
	maxFallback    = 7 // a request has only four attempts in all pools of its chain (engine.MaxAttempts)
	minPoolSockets = 4 // descriptors; each request in flight needs one, and hosts are replaced by others
	maxParams      = 100
	maxParamName   = 127 // bytes; FastCGI encodes the length of a longer name in four bytes
	// shareTolerance allows for rounding errors in a sum of shares.
	shareTolerance = 1e-9
)

// fixedParams are the FastCGI parameters that can't be set by a file.
var fixedParams = []string{"CONTENT_LENGTH", "REQUEST_METHOD", "HTTP_PROXY"}

// readPools reads the pools.
func (c *checker) readPools(a *Appliance, f *applianceFile) {
	if len(f.Pool) == 0 {
		c.addErrorf("", 0, "pool", "is missing: at least one [[pool]] is required")
	}
	if len(f.Pool) > maxPools {
		c.addErrorf("pool", maxPools, "", "more than %d pools", maxPools)
	}
	index := map[string]int{}
	for i, x := range f.Pool {
		p := Pool{
			Name: x.Name, File: x.MembersFile, Discovery: x.Discovery,
			MinShare: cmp.Or(x.Need, route.DefaultMinShare), Fallback: x.Fallback, SocketShare: x.Sockets,
			SlowStart: SlowStart{Share: x.ColdFrom, Window: time.Duration(x.WarmAfter)},
			Protocol:  cmp.Or(x.Protocol, HTTP1), ScriptRoot: x.ScriptRoot, Params: x.Params, HealthCheckPath: x.Check,
		}
		c.checkHealthCheckPath(i, &p, f.Fleet != nil)
		c.checkPoolProtocol(i, &p)
		c.checkName("pool", i, x.Name)
		first, isTaken := index[x.Name]
		switch {
		case isTaken:
			c.addErrorf("pool", i, "name", "%q is taken (line %d)", x.Name, c.Line("pool", first, "name"))
		case x.Name == "":
			c.addErrorf("pool", i, "name", "is missing")
		}
		if !isTaken {
			index[x.Name] = i
		}
		c.checkSource(i, &x)
		c.checkRange("pool", i, "need", p.MinShare, 0.01, 1)
		c.checkRange("pool", i, "sockets", p.SocketShare, 0, 1)
		c.checkRange("pool", i, "cold_from", p.SlowStart.Share, 0, 1)
		c.checkRange("pool", i, "warm_after", p.SlowStart.Window.Seconds(), 0, maxTimeout.Seconds())
		p.Members = c.readMembers(i, &x, p.Protocol)
		a.Pools = append(a.Pools, p)
	}
	c.checkSocketShares(a)
	for i := range a.Pools {
		c.checkFallback(i, &a.Pools[i], index)
	}
}

// checkSource checks that a pool has exactly one source of members.
func (c *checker) checkSource(i int, x *poolFile) {
	sources := 0
	for _, has := range []bool{len(x.Members) > 0, x.MembersFile != "", x.Discovery != ""} {
		if has {
			sources++
		}
	}
	if sources != 1 {
		c.addErrorf("pool", i, "name", "exactly one of members, members_file and discovery is required, it has %d", sources)
	}
	if x.Discovery != "" && !isHostPort(x.Discovery, 1) {
		c.addErrorf("pool", i, "discovery", "%q is not a host:port address", x.Discovery)
	}
}

// readMembers reads the static list of members of a pool.
func (c *checker) readMembers(i int, x *poolFile, protocol string) (list []Member) {
	if len(x.Members) > maxMembers {
		c.addErrorf("pool", i, "members", "more than %d members", maxMembers)
	}
	ids := map[string]bool{}
	for _, m := range x.Members {
		m.ID = cmp.Or(m.ID, m.Address)
		if !isHostPort(m.Address, 1) && !(protocol == FastCGI && isUnixPath(m.Address)) {
			c.addErrorf("pool", i, "members", "%q is not a host:port address", m.Address)
		}
		if ids[m.ID] {
			c.addErrorf("pool", i, "members", "%q is listed twice", m.ID)
		}
		ids[m.ID] = true
		list = append(list, Member(m))
	}
	return list
}

// checkFallback checks the fallback pools of a pool.
func (c *checker) checkFallback(i int, p *Pool, index map[string]int) {
	if len(p.Fallback) > maxFallback {
		c.addErrorf("pool", i, "fallback", "has %d pools, the maximum is %d", len(p.Fallback), maxFallback)
	}
	for k, name := range p.Fallback {
		switch _, exists := index[name]; {
		case !exists:
			c.addErrorf("pool", i, "fallback", "%q: there is no pool with this name", name)
		case name == p.Name:
			c.addErrorf("pool", i, "fallback", "%q is the pool itself", name)
		case slices.Contains(p.Fallback[:k], name):
			c.addErrorf("pool", i, "fallback", "%q is listed twice", name)
		}
	}
}

// checkPoolProtocol checks the protocol of a pool and the settings that depend on it.
func (c *checker) checkPoolProtocol(i int, p *Pool) {
	if !slices.Contains(protocols, p.Protocol) {
		c.addErrorf("pool", i, "protocol", "%q is not one of %s", p.Protocol, strings.Join(protocols, ", "))
	}
	if p.Protocol == FastCGI {
		c.checkFastCGIPool(i, p)
		return
	}
	if p.ScriptRoot != "" {
		c.addErrorf("pool", i, "script_root", "is for pools with protocol = %q", FastCGI)
	}
	if len(p.Params) > 0 {
		c.addErrorf("pool", i, "params", "is for pools with protocol = %q", FastCGI)
	}
}

func (c *checker) checkFastCGIPool(i int, p *Pool) {
	if p.ScriptRoot != "" && !strings.HasPrefix(p.ScriptRoot, "/") {
		c.addErrorf("pool", i, "script_root", "%q is not an absolute path", p.ScriptRoot)
	}
	if len(p.Params) > maxParams {
		c.addErrorf("pool", i, "params", "has %d parameters, the maximum is %d", len(p.Params), maxParams)
	}
	for name, value := range p.Params {
		switch {
		case !isParamName(name):
			c.addErrorf("pool", i, "params", "%q is not a parameter name: use capital letters, digits and '_'", name)
		case slices.Contains(fixedParams, name):
			c.addErrorf("pool", i, "params", "%q can't be changed: it determines how a message is parsed, or can mislead programs", name)
		case strings.ContainsRune(value, 0):
			c.addErrorf("pool", i, "params", "%s: %q contains a NUL byte", name, value)
		}
	}
}

func isParamName(name string) bool {
	return name != "" && len(name) <= maxParamName && !strings.ContainsFunc(name, func(r rune) bool {
		return !(r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '_')
	})
}

// checkSocketShares checks that the descriptors for hosts are sufficient for all pools.
func (c *checker) checkSocketShares(a *Appliance) {
	sum := 0.0
	unset := 0
	for i, p := range a.Pools {
		sum += p.SocketShare
		if p.SocketShare == 0 {
			unset++
		}
		if sum > 1+shareTolerance {
			c.addErrorf("pool", i, "sockets", "the shares of this and the preceding pools add up to %.3g, which is more than 1", sum)
			return
		}
	}
	if unset == 0 || a.Limits.Sockets < minSockets {
		return
	}
	each := (1 - sum) / float64(unset) * HostSockets(a.Limits.Sockets)
	if each < minPoolSockets {
		c.addErrorf("limits", 0, "sockets", "%d is too low: %d pools would have %.1f descriptors each for their hosts, the minimum is %d", a.Limits.Sockets, unset, each, minPoolSockets)
	}
}

// checkHealthCheckPath checks the health check path of a pool.
func (c *checker) checkHealthCheckPath(i int, p *Pool, inFleet bool) {
	switch {
	case p.HealthCheckPath == "":
	case !inFleet:
		c.addErrorf("pool", i, "check", "needs [fleet]: one gateway of a fleet checks the hosts for all its gateways")
	case p.Protocol == FastCGI:
		c.addErrorf("pool", i, "check", "is for pools with protocol = %q", HTTP1)
	case !isRequestPath(p.HealthCheckPath):
		c.addErrorf("pool", i, "check", "%q is not a path like \"/alive\"", p.HealthCheckPath)
	}
}

func isRequestPath(path string) bool {
	u, err := url.ParseRequestURI(path)
	return err == nil && strings.HasPrefix(path, "/") && u.Fragment == "" &&
		!strings.ContainsFunc(path, func(r rune) bool { return r <= ' ' || r >= 0x7f })
}
