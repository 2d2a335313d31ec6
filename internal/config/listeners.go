package config

import (
	"cmp"
	"net"
	"net/netip"
	"slices"
	"strings"
)

// readAdmin reads the address of the admin API. It must be a loopback address, as callers are not authenticated and can
// drain the gateway.
func (c *checker) readAdmin(a *Appliance, addr string) {
	a.Admin = addr
	if addr == "" {
		return
	}
	host, _, _ := net.SplitHostPort(addr)
	ip, err := netip.ParseAddr(host)
	isLoopback := err == nil && ip.IsLoopback()
	if !isLoopback || !isHostPort(addr, 0) {
		c.addErrorf("", 0, "admin", "%q is not a loopback address like \"127.0.0.1:8090\"", addr)
	}
}

// readListeners reads the listeners for clients.
func (c *checker) readListeners(a *Appliance, f *applianceFile) {
	if len(f.Listener) == 0 {
		c.addErrorf("", 0, "listener", "is missing: at least one [[listener]] is required")
	}
	for i, l := range f.Listener {
		l.Protocol = cmp.Or(l.Protocol, HTTP1)
		c.checkListener(i, &l)
		l.Name = cmp.Or(l.Name, l.Address)
		for k, o := range a.Listeners {
			if o.Address == l.Address {
				c.addErrorf("listener", i, "address", "%q is the address of another listener (line %d)", l.Address, c.Line("listener", k, "address"))
			} else if o.Name == l.Name {
				c.addErrorf("listener", i, "name", "%q is taken (line %d)", l.Name, c.Line("listener", k, "name"))
			}
		}
		a.Listeners = append(a.Listeners, Listener{
			Name: l.Name, Address: l.Address, Protocol: l.Protocol, ProxyProtocol: l.ProxyProtocol, TrustedProxies: c.readTrustedProxies(i, l.Trusted),
		})
	}
}

// checkListener checks the settings of one listener.
func (c *checker) checkListener(i int, l *listenerFile) {
	if !slices.Contains(protocols, l.Protocol) {
		c.addErrorf("listener", i, "protocol", "%q is not one of %s", l.Protocol, strings.Join(protocols, ", "))
	}
	if !isHostPort(l.Address, 0) && !(l.Protocol == FastCGI && isUnixPath(l.Address)) {
		c.addErrorf("listener", i, "address", "%q is not an address like \"127.0.0.1:8080\"", l.Address)
	}
	if l.Protocol == FastCGI && l.ProxyProtocol {
		c.addErrorf("listener", i, "proxy_protocol", "is for http1 listeners: web servers pass the client's address in REMOTE_ADDR")
	}
	c.checkName("listener", i, l.Name)
}

// readTrustedProxies reads the addresses and networks of trusted proxies.
func (c *checker) readTrustedProxies(i int, list []string) (prefixes []netip.Prefix) {
	for _, text := range list {
		prefix, ok := parseNetwork(text)
		if !ok {
			c.addErrorf("listener", i, "trusted", "%q is not an address or network like \"10.0.0.0/8\"", text)
		}
		prefixes = append(prefixes, prefix)
	}
	return prefixes
}

// parseNetwork parses a network in CIDR notation whose host bits are zero, or a single address, which is returned as a
// network with only that address.
func parseNetwork(text string) (prefix netip.Prefix, ok bool) {
	if addr, err := netip.ParseAddr(text); err == nil {
		return netip.PrefixFrom(addr, addr.BitLen()), true
	}
	prefix, err := netip.ParsePrefix(text)
	return prefix, err == nil && prefix.Masked() == prefix
}
