package engine

import (
	"hash/fnv"
	"log/slog"
	"time"

	"dunemoor/balancer"
	"dunemoor/internal/discovery"
)

// host is a host as the loop knows it.
type host struct {
	Endpoint
	id, addr   string
	zone, kind string
	ready      bool
}

// hostID is the same for an ID at every gateway and after every restart.
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
		delete(p.hosts, id) // attempts in flight keep it
	}
	p.zones.forget(p.hosts, func(h *host) string { return h.zone })
	p.kinds.forget(p.hosts, func(h *host) string { return h.kind })
	p.countReadyHosts()
}

// updateHost applies an entry of the list, and returns it for the balancer. ok is false where it is left out.
func (p *Pool) updateHost(now balancer.Time, m *discovery.Member) (entry balancer.Host, ok bool) {
	entry = balancer.Host{
		ID: hostID(m.ID), Zone: p.zones.number(m.Zone), Cell: m.Cell, Kind: p.kinds.number(m.Kind),
		State: m.HostState(), Started: balancer.Time(m.StartedMS) * balancer.Time(time.Millisecond),
	}
	h := p.hosts[entry.ID]
	switch {
	case h == nil && entry.State == balancer.Removed:
		return entry, false // it was removed before it was known
	case h == nil:
		h = &host{Endpoint: p.cfg.Transport.Host(m.ID), id: m.ID}
		p.hosts[entry.ID] = h
		if p.record != nil {
			p.record.rec.NameHost(now, entry.ID, m.ID)
		}
	case h.id != m.ID:
		// Two names with one HostID would be taken for one host.
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
