// Command fakes starts a small fleet of fake nodes on loopback addresses, writes a gateway configuration for it, sends a
// number of requests through that gateway, and counts their outcomes. It then exits; the exit code is 1 if a rule was
// violated.
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
	"syscall"
	"time"

	"dunemoor/internal/experiment/fakes"
)

const (
	maxNodes = 64
	// retries is the maximum number of times that clients retry a rejected request.
	retries = 2
	// healthInterval is the interval at which the gateway's health is polled until it is ready.
	healthInterval = 50 * time.Millisecond
)

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintf(os.Stderr, "fakes: %v\n", err)
		os.Exit(1)
	}
}

// options are the values of the flags.
type options struct {
	nodes      int
	rate       float64
	count      int
	cores      int
	work       time.Duration
	gateway    string
	configFile string
	appliance  string
	wait       time.Duration
	faults     string
	seed       uint64
}

func parseOptions(args []string) (*options, error) {
	o := &options{}
	flags := flag.NewFlagSet("fakes", flag.ContinueOnError)
	flags.IntVar(&o.nodes, "nodes", 6, "number of nodes, 1 to 64")
	flags.Float64Var(&o.rate, "rate", 100, "requests per second")
	flags.IntVar(&o.count, "count", 2000, "total number of requests")
	flags.IntVar(&o.cores, "cores", 4, "number of requests that a node executes concurrently")
	flags.DurationVar(&o.work, "work", 20*time.Millisecond, "mean execution time of a request")
	flags.StringVar(&o.gateway, "gateway", "127.0.0.1:9000", "address of the gateway")
	flags.StringVar(&o.configFile, "config", "", "write the gateway's configuration to this `file`")
	flags.StringVar(&o.appliance, "appliance", "", "start a node for each member in this appliance `file`, and send requests that match its routes")
	flags.DurationVar(&o.wait, "wait", time.Minute, "timeout for the gateway to become ready")
	flags.StringVar(&o.faults, "fault", "", "faults, like \"crash:0@3s+4s,hang:2@8s+2s\"")
	flags.Uint64Var(&o.seed, "seed", 1, "seed of execution times and arrivals")
	if err := flags.Parse(args); err != nil {
		return nil, err
	}
	if o.nodes < 1 || o.nodes > maxNodes {
		return nil, fmt.Errorf("-nodes: %d is not from 1 to %d", o.nodes, maxNodes)
	}
	return o, nil
}

// behaviour returns the behaviour of nodes without a fault.
func (o *options) behaviour() fakes.Behaviour {
	return fakes.Behaviour{Work: o.work, Cores: o.cores, Warmup: 3 * time.Second, WarmupStartShare: 0.4}
}

// experiment is a fleet of nodes, and the classes of requests that clients send to its gateway.
type experiment struct {
	fleet      *fakes.Fleet
	classes    []fakes.Class
	gateway    string // HTTP address of the gateway
	fcgiServer string // FastCGI address of the gateway; "": none
}

func run(args []string) error {
	o, err := parseOptions(args)
	if err != nil {
		return err
	}
	e, err := startExperiment(o)
	if err != nil {
		return err
	}
	defer e.fleet.Close()
	faults, err := parseFaults(o.faults, len(e.fleet.Nodes))
	if err != nil {
		return err
	}
	if err := e.printStart(o); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := waitReady(ctx, "http://"+e.gateway, o.wait); err != nil {
		return err
	}
	for _, f := range faults {
		time.AfterFunc(f.at, func() { f.inject(e.fleet, o.behaviour()) })
	}
	if err := e.runLoad(ctx, o); err != nil {
		return err
	}
	count := e.fleet.Ledger.Count()
	printCount(&count)
	if violations := count.Violations(); violations != "" {
		return fmt.Errorf("rules violated: %s", violations)
	}
	return nil
}

// startExperiment starts the nodes, for an appliance's file or with the default classes.
func startExperiment(o *options) (*experiment, error) {
	if o.appliance != "" {
		return startForAppliance(o)
	}
	fleet, err := fakes.StartFleet(o.nodes, o.seed, o.behaviour())
	if err != nil {
		return nil, err
	}
	return &experiment{fleet: fleet, classes: fakes.DefaultClasses(), gateway: o.gateway}, nil
}

// printStart writes the gateway's configuration if -config is set, and prints the command that starts the gateway.
func (e *experiment) printStart(o *options) error {
	switch {
	case o.appliance != "":
		fmt.Printf("%d nodes are up; start the gateway: bin/dunemoor -appliance %s\n", len(e.fleet.Nodes)+len(e.fleet.Responders), o.appliance)
	case o.configFile != "":
		config := e.fleet.PlatformConfig("n0", e.gateway, e.classes)
		if err := os.WriteFile(o.configFile, config, 0o600); err != nil {
			return err
		}
		fmt.Printf("%d nodes are up; start the gateway: GW_CONFIG=%s bin/dunemoor\n", o.nodes, o.configFile)
	}
	return nil
}

// waitReady polls the gateway's health until it responds with status 200.
func waitReady(ctx context.Context, url string, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for {
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, url+"/_health", nil)
		if err != nil {
			return err
		}
		if response, err := http.DefaultClient.Do(r); err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("gateway at %s did not become ready", url)
		case <-time.After(healthInterval):
		}
	}
}

// runLoad sends all requests. If the gateway has a FastCGI listener, half of them are sent through a WebServer.
func (e *experiment) runLoad(ctx context.Context, o *options) error {
	load := fakes.Load{
		URL: "http://" + e.gateway, Rate: o.rate, Count: o.count, Classes: e.classes, Seed: o.seed, Retries: retries,
	}
	loads := []*fakes.Load{&load}
	if e.fcgiServer != "" {
		server := &fakes.WebServer{Addr: e.fcgiServer}
		defer server.Close()
		byFastCGI := load
		byFastCGI.Transport = server
		byFastCGI.Seed = o.seed + 1
		byFastCGI.Rate = load.Rate / 2
		byFastCGI.Count = max(load.Count/2, 1)
		load.Rate = byFastCGI.Rate
		load.Count = max(load.Count-byFastCGI.Count, 1)
		loads = append(loads, &byFastCGI)
	}
	results := make(chan error, len(loads))
	for _, l := range loads {
		go func() { results <- l.Run(ctx, e.fleet.Ledger) }()
	}
	var err error
	for range loads {
		err = cmp.Or(err, <-results)
	}
	return err
}

// printCount prints the numbers of outcomes by class.
func printCount(c *fakes.Count) {
	names := make([]string, 0, len(c.ByClass))
	for name := range c.ByClass {
		names = append(names, name)
	}
	slices.Sort(names)
	fmt.Printf("%-20s %8s %8s %8s %8s %8s\n", "class", "asked", "served", "refused", "failed", "lost")
	for _, name := range names {
		outcomes := c.ByClass[name]
		requests := 0
		for _, n := range outcomes {
			requests += n
		}
		lost := outcomes[fakes.ConnectionLost] + outcomes[fakes.Unanswered] + outcomes[fakes.Open]
		fmt.Printf("%-20s %8d %8d %8d %8d %8d\n", name, requests, outcomes[fakes.Served], outcomes[fakes.Rejected], outcomes[fakes.Failed], lost)
	}
	unanswered := c.Outcomes[fakes.Unanswered] + c.Outcomes[fakes.Open]
	fmt.Printf("%d runs on the nodes, %d ran twice that must not, %d unanswered\n", c.Executions, len(c.RanTwice), unanswered)
}
