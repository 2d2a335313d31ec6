package engine

import (
	"hash/fnv"
	"log/slog"
	"time"

	"dunemoor/balancer"
	"dunemoor/internal/discovery"
)

// host is a host of a pool, as listed last. It is used only by the loop.
type host struct {
	Endpoint
	id, addr   string
	zone, kind string
	ready      bool
}

// hostID returns the HostID of a host's ID. It is a hash, and so the same at every gateway and after every restart.
func hostID(id string) balancer.HostID {
	h := fnv.New64a()
	h.Write([]byte(id))
	return balancer.HostID(h.Sum64())
}

// UpdateEndpoints applies an update of the endpoint list.
func (p *Pool) UpdateEndpoints(kind balancer.ListKind, list discovery.MemberList) {
	p.engine.post(func(now balancer.Time) {
		if !p.ended {
			p.updateEndpoints(now, kind, list)
			p.perform(now)
		}
	})
}

func (p *Pool) updateEndpoints(now balancer.Time, kind balancer.ListKind, list discovery.MemberList) {
	if kind == balancer.ListFailed {
		p.balancer.UpdateEndpoints(now, kind, nil)
		return
	}
	listed := map[balancer.HostID]bool{}
	entries := make([]balancer.Host, 0, len(list.Servers))
	var removed []balancer.HostID
	for i := range list.Servers {
		entry, ok := p.updateHost(now, &list.Servers[i])
		if !ok {
			continue
		}
		listed[entry.ID] = true
		entries = append(entries, entry)
		if entry.State == balancer.Removed {
			removed = append(removed, entry.ID)
		}
	}
	if kind != balancer.ListChanges {
		for id, h := range p.hosts {
			if !listed[id] {
				removed = append(removed, id)
				h.Update("", 0, false)
			}
		}
	}
	p.balancer.UpdateEndpoints(now, kind, entries)
	for _, id := range removed {
		delete(p.hosts, id) // attempts in flight still refer to the host
	}
	p.zones.prune(p.hosts, func(h *host) string { return h.zone })
	p.kinds.prune(p.hosts, func(h *host) string { return h.kind })
	p.countReadyHosts()
}

// updateHost applies an entry of the endpoint list, and returns the balancer's entry for the host. ok is false if the
// entry is to be left out.
func (p *Pool) updateHost(now balancer.Time, m *discovery.Member) (entry balancer.Host, ok bool) {
	entry = balancer.Host{
		ID: hostID(m.ID), Zone: p.zones.number(m.Zone), Cell: m.Cell, Kind: p.kinds.number(m.Kind),
		State: m.HostState(), Started: balancer.Time(m.StartedMS) * balancer.Time(time.Millisecond),
	}
	h := p.hosts[entry.ID]
	switch {
	case h == nil && entry.State == balancer.Removed:
		return entry, false // the host was removed before it was first listed
	case h == nil:
		h = &host{Endpoint: p.cfg.Transport.Host(m.ID), id: m.ID}
		p.hosts[entry.ID] = h
		if p.recorder != nil {
			p.recorder.rec.NameHost(now, entry.ID, m.ID)
		}
	case h.id != m.ID:
		// Two IDs with the same HostID would be treated as one host.
		slog.Error("endpoint ignored: its ID collides with that of another", "host", m.ID, "other", h.id)
		return entry, false
	}
	h.zone, h.kind, h.addr, h.ready = m.Zone, m.Kind, m.Addr, entry.State == balancer.Ready
	h.Update(m.Addr, m.StartedMS, h.ready)
	return entry, true
}

func (p *Pool) countReadyHosts() {
	p.readyHosts = 0
	for _, h := range p.hosts {
		if h.ready {
			p.readyHosts++
		}
	}
	p.ready.Store(p.readyHosts > 0)
}
