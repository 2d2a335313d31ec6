// Command fakes starts a small fleet of stand-in nodes on loopback, writes a gateway's
// configuration for it, asks that gateway for a while, and counts what became of it all. It
// ends by itself; the exit code is 1 if a rule was broken.
package main

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"dunemoor/internal/experiment/fakes"
)

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintf(os.Stderr, "fakes: %v\n", err)
		os.Exit(1)
	}
}

// fault is one entry of -fault: what happens to which node, when, and for how long.
type fault struct {
	mode string
	node int
	at   time.Duration
	last time.Duration
}

var modes = map[string]fakes.Mode{
	"full": fakes.Full, "errors": fakes.Errors, "hang": fakes.Hang, "reset": fakes.ResetAt, "close": fakes.CloseAt,
	"silent": fakes.Silent,
}

// parseFaults reads "crash:0@3s+4s,hang:2@8s+2s".
func parseFaults(text string, nodes int) (list []fault, err error) {
	for _, s := range strings.FieldsFunc(text, func(r rune) bool { return r == ',' }) {
		mode, rest, ok1 := strings.Cut(s, ":")
		node, rest, ok2 := strings.Cut(rest, "@")
		at, last, ok3 := strings.Cut(rest, "+")
		f := fault{mode: mode}
		_, known := modes[mode]
		if !ok1 || !ok2 || !ok3 || !known && mode != "crash" && mode != "drain" {
			return nil, fmt.Errorf("-fault: %q is not like \"crash:0@3s+4s\"; kinds: crash, silent, drain, full, errors, hang, reset, close", s)
		}
		if f.node, err = strconv.Atoi(node); err != nil || f.node < 0 || f.node >= nodes {
			return nil, fmt.Errorf("-fault: %q: node %q is not from 0 to %d", s, node, nodes-1)
		}
		if f.at, err = time.ParseDuration(at); err != nil {
			return nil, fmt.Errorf("-fault: %q: %v", s, err)
		}
		if f.last, err = time.ParseDuration(last); err != nil {
			return nil, fmt.Errorf("-fault: %q: %v", s, err)
		}
		list = append(list, f)
	}
	return list, nil
}

func run(args []string) error {
	flags := flag.NewFlagSet("fakes", flag.ContinueOnError)
	nodes := flags.Int("nodes", 6, "nodes, 1 to 64")
	rate := flags.Float64("rate", 100, "requests a second")
	count := flags.Int("count", 2000, "requests in all")
	cores := flags.Int("cores", 4, "requests that a node works on at once")
	work := flags.Duration("work", 20*time.Millisecond, "mean work of a request")
	listen := flags.String("gateway", "127.0.0.1:9000", "where the gateway listens or will")
	config := flags.String("config", "", "write the gateway's configuration to this `file`")
	box := flags.String("appliance", "", "stand in for the members of the pools in this appliance's `file`, and ask by its routes")
	wait := flags.Duration("wait", time.Minute, "how long the gateway may take to get ready")
	faults := flags.String("fault", "", "what goes wrong, like \"crash:0@3s+4s,hang:2@8s+2s\"")
	seed := flags.Uint64("seed", 1, "of work and arrivals")
	if err := flags.Parse(args); err != nil {
		return err
	}
	if *nodes < 1 || *nodes > 64 {
		return fmt.Errorf("-nodes: %d is not from 1 to 64", *nodes)
	}
	healthy := fakes.Behaviour{Work: *work, Cores: *cores, Cold: 3 * time.Second, ColdFrom: 0.4}
	var fleet *fakes.Fleet
	classes := fakes.DefaultClasses()
	web := "" // where web servers ask by FastCGI; "": nowhere
	var err error
	if *box != "" {
		fleet, classes, err = standFor(*box, *seed, healthy, listen, &web)
	} else {
		fleet, err = fakes.StartFleet(*nodes, *seed, healthy)
	}
	if err != nil {
		return err
	}
	defer fleet.Close()
	list, err := parseFaults(*faults, len(fleet.Nodes))
	if err != nil {
		return err
	}
	switch {
	case *box != "":
		fmt.Printf("%d nodes are up; start the gateway: bin/dunemoor -appliance %s\n", len(fleet.Nodes)+len(fleet.Responders), *box)
	case *config != "":
		if err := os.WriteFile(*config, fleet.Config("n0", *listen, classes), 0o600); err != nil {
			return err
		}
		fmt.Printf("%d nodes are up; start the gateway: GW_CONFIG=%s bin/dunemoor\n", *nodes, *config)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	url := "http://" + *listen
	if err := ready(ctx, url, *wait); err != nil {
		return err
	}
	for _, f := range list {
		time.AfterFunc(f.at, func() { happen(fleet, f, healthy) })
	}
	load := fakes.Load{URL: url, Rate: *rate, Count: *count, Classes: classes, Seed: *seed, Retries: 2}
	ends, loads := make(chan error, 2), 1
	if web != "" {
		server := &fakes.WebServer{Addr: web}
		defer server.Close()
		by := load // half of the clients ask through a web server
		by.Transport, by.Seed = server, *seed+1
		by.Rate, by.Count = by.Rate/2, max(by.Count/2, 1)
		load.Rate, load.Count = by.Rate, max(load.Count-by.Count, 1)
		loads++
		go func() { ends <- by.Run(ctx, fleet.Ledger) }()
	}
	go func() { ends <- load.Run(ctx, fleet.Ledger) }()
	for range loads {
		err = cmp.Or(err, <-ends)
	}
	if err != nil {
		return err
	}
	c := fleet.Ledger.Count()
	print(&c)
	if broken := c.Violations(); broken != "" {
		return fmt.Errorf("rules broken: %s", broken)
	}
	return nil
}

// happen has a fault begin, and end after its time.
func happen(fleet *fakes.Fleet, f fault, healthy fakes.Behaviour) {
	n := fleet.Nodes[f.node]
	fmt.Printf("%s: %s\n", n.Name, f.mode)
	back := func() { n.Behave(healthy) }
	switch f.mode {
	case "crash":
		n.Crash()
		back = func() {
			if err := n.Start(); err != nil {
				fmt.Fprintf(os.Stderr, "standin: %s: %v\n", n.Name, err)
				return
			}
			fleet.List(f.node, "ready")
		}
	case "silent":
		b := healthy
		b.Mode = fakes.Silent
		n.Behave(b)
		back = func() { // the machine is back: what was open is reset
			n.Behave(healthy)
			n.Crash()
			if err := n.Start(); err != nil {
				fmt.Fprintf(os.Stderr, "standin: %s: %v\n", n.Name, err)
			}
		}
	case "drain":
		fleet.List(f.node, "draining")
		back = func() { fleet.List(f.node, "ready") }
	default:
		b := healthy
		b.Mode, b.Byte = modes[f.mode], 20
		n.Behave(b)
	}
	time.AfterFunc(f.last, func() {
		back()
		fmt.Printf("%s: well again\n", n.Name)
	})
}

// ready waits until the gateway says that it can serve.
func ready(ctx context.Context, url string, most time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, most)
	defer cancel()
	for {
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, url+"/_health", nil)
		if err != nil {
			return err
		}
		if resp, err := http.DefaultClient.Do(r); err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("no gateway is ready at %s", url)
		case <-time.After(50 * time.Millisecond):
		}
	}
}

func print(c *fakes.Count) {
	names := make([]string, 0, len(c.ByClass))
	for name := range c.ByClass {
		names = append(names, name)
	}
	slices.Sort(names)
	fmt.Printf("%-20s %8s %8s %8s %8s %8s\n", "class", "asked", "served", "refused", "failed", "lost")
	for _, name := range names {
		by := c.ByClass[name]
		asked := 0
		for _, n := range by {
			asked += n
		}
		fmt.Printf("%-20s %8d %8d %8d %8d %8d\n", name, asked, by[fakes.Served], by[fakes.Rejected], by[fakes.Failed],
			by[fakes.ConnectionLost]+by[fakes.Unanswered]+by[fakes.Open])
	}
	fmt.Printf("%d runs on the nodes, %d ran twice that must not, %d unanswered\n", c.Executions, len(c.RanTwice), c.Outcomes[fakes.Unanswered]+c.Outcomes[fakes.Open])
}
