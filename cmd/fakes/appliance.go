package main

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"dunemoor/balancer"
	"dunemoor/internal/config"
	"dunemoor/internal/experiment/fakes"
	"dunemoor/internal/route"
)

// uploadSize is the size of the request body, in bytes, for a route that doesn't accept GET. It exceeds the
// buffer of a gateway.
const uploadSize = 256 << 10

// uploadText is repeated to form that body.
const uploadText = "a photo "

// idempotencies maps the values of package balancer to those of package fakes.
var idempotencies = map[balancer.Idempotency]fakes.Idempotency{
	balancer.Idempotent:        fakes.Idempotent,
	balancer.IdempotentWithKey: fakes.IdempotentWithKey,
	balancer.NonIdempotent:     fakes.NonIdempotent,
}

// startForAppliance starts a node for each pool member in an appliance's file. Clients send requests that match its routes
// to the first listener of each protocol.
func startForAppliance(o *options) (*experiment, error) {
	a, errs := config.LoadAppliance(o.appliance)
	if len(errs) > 0 {
		return nil, errors.Join(errs...)
	}
	e := &experiment{fleet: fakes.NewFleet(fakes.NewLedger()), gateway: o.gateway}
	for _, l := range slices.Backward(a.Listeners) {
		if l.Protocol == config.FastCGI {
			e.fcgiServer = l.Address
		} else {
			e.gateway = l.Address
		}
	}
	for i := range a.Pools {
		if err := startMembers(e.fleet, &a.Pools[i], o); err != nil {
			e.fleet.Close()
			return nil, err
		}
	}
	if len(e.fleet.Nodes) == 0 {
		e.fleet.Close()
		return nil, fmt.Errorf("%s: no HTTP pool lists members", o.appliance)
	}
	for i, r := range a.Table.Routes() {
		e.classes = append(e.classes, routeClasses(a, r, i)...)
	}
	return e, nil
}

// startMembers starts a node or responder for each member of a pool.
func startMembers(fleet *fakes.Fleet, p *config.Pool, o *options) error {
	for i, m := range p.Members {
		group := fmt.Sprint(p.Name, m.Cell)
		seed := o.seed + uint64(i)
		if p.Protocol == config.FastCGI {
			r, err := fakes.StartResponderAt(m.Address, m.ID, group, fleet.Ledger, seed, o.work)
			if err != nil {
				return err
			}
			fleet.Responders = append(fleet.Responders, r)
			continue
		}
		n, err := fakes.StartNodeAt(m.Address, m.ID, group, fleet.Ledger, seed, o.behaviour())
		if err != nil {
			return err
		}
		fleet.Nodes = append(fleet.Nodes, n)
	}
	return nil
}

// routeClasses returns the classes of requests to send to a route: one class if the route sets its class, else one for
// each class of the appliance.
func routeClasses(a *config.Appliance, r *route.Route, index int) []fakes.Class {
	host := ""
	if len(r.Hosts) > 0 {
		host = strings.Replace(r.Hosts[0], "*", "any", 1)
	}
	settings := a.Routes[index]
	if settings.Class != "" {
		class := fakes.Class{
			Name: r.Name, Share: 1, Timeout: settings.Timeout, Path: r.Path, Host: host, WithoutPlatformHeaders: true,
		}
		acceptsGet := len(r.Methods) == 0 || slices.Contains(r.Methods, "GET")
		if !acceptsGet {
			class.Idempotency = fakes.NonIdempotent
			class.Body = strings.Repeat(uploadText, uploadSize/len(uploadText))
		}
		return []fakes.Class{class}
	}
	var classes []fakes.Class
	for _, c := range a.Classes {
		classes = append(classes, fakes.Class{
			Name:        r.Name + "/" + c.Name,
			ClassHeader: c.Name,
			Idempotency: idempotencies[c.Idempotency],
			Share:       1,
			Timeout:     c.Deadline,
			DedupWindow: c.DedupWindow,
			Path:        r.Path,
			Host:        host,
			Body:        "something to do",
		})
	}
	return classes
}
