package main

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"dunemoor/balancer"
	"dunemoor/internal/config"
	"dunemoor/internal/experiment/fakes"
)

// photo is the size of what is sent where a route takes nothing but POST: more than is held.
const photo = 256 << 10

// standFor starts a node for each member that an appliance's file lists, and makes classes of
// requests by its routes. listen becomes the address of the first listener.
func standFor(path string, seed uint64, b fakes.Behaviour, listen, web *string) (*fakes.Fleet, []fakes.Class, error) {
	a, wrong := config.LoadAppliance(path)
	if len(wrong) > 0 {
		return nil, nil, errors.Join(wrong...)
	}
	for _, l := range slices.Backward(a.Listeners) {
		if l.Protocol == config.FastCGI {
			*web = l.Address
		} else {
			*listen = l.Address
		}
	}
	fleet := fakes.NewFleet(fakes.NewLedger())
	for _, p := range a.Pools {
		for i, m := range p.Members {
			if p.Protocol == config.FastCGI {
				r, err := fakes.StartResponderAt(m.Address, m.ID, fmt.Sprint(p.Name, m.Cell), fleet.Ledger, seed+uint64(i), b.Work)
				if err != nil {
					fleet.Close()
					return nil, nil, err
				}
				fleet.Responders = append(fleet.Responders, r)
				continue
			}
			n, err := fakes.StartNodeAt(m.Address, m.ID, fmt.Sprint(p.Name, m.Cell), fleet.Ledger, seed+uint64(i), b)
			if err != nil {
				fleet.Close()
				return nil, nil, err
			}
			fleet.Nodes = append(fleet.Nodes, n)
		}
	}
	if len(fleet.Nodes) == 0 {
		return nil, nil, fmt.Errorf("%s: no pool has members of its own", path)
	}
	var classes []fakes.Class
	for i, r := range a.Table.Routes() {
		own := a.Routes[i]
		host := ""
		if len(r.Hosts) > 0 {
			host = strings.Replace(r.Hosts[0], "*", "any", 1)
		}
		if own.Class != "" {
			effect, body := fakes.Idempotent, ""
			if len(r.Methods) > 0 && !slices.Contains(r.Methods, "GET") {
				effect, body = fakes.NonIdempotent, strings.Repeat("a photo ", photo/8)
			}
			classes = append(classes, fakes.Class{
				Name: r.Name, Idempotency: effect, Body: body, Share: 1, Timeout: own.Timeout, Path: r.Path, Host: host, WithoutPlatformHeaders: true,
			})
			continue
		}
		for _, c := range a.Classes {
			effect := map[balancer.Idempotency]fakes.Idempotency{
				balancer.Idempotent: fakes.Idempotent, balancer.IdempotentWithKey: fakes.IdempotentWithKey, balancer.NonIdempotent: fakes.NonIdempotent,
			}[c.Idempotency]
			classes = append(classes, fakes.Class{
				Name: r.Name + "/" + c.Name, ClassHeader: c.Name, Idempotency: effect, Share: 1, Timeout: c.Deadline, Window: c.DedupWindow,
				Path: r.Path, Host: host, Body: "something to do",
			})
		}
	}
	return fleet, classes, nil
}
