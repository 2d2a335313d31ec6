package main

import (
	"cmp"
	"context"
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"dunemoor/internal/experiment/fakes"
	"dunemoor/internal/experiment/scaletest"
	"dunemoor/internal/experiment/scaletest/hollow"
)

// targetGateways is the size of a fleet to design for.
const targetGateways = 4700

// Limits of the resources that a gateway may use for its fleet at that size.
const (
	maxControlBytes  = 3000 // per second, in both directions, including headers
	maxControlCPU    = 11   // ms per second
	maxControlMemory = 64   // MB
)

// Layout of the fleets that are measured.
const (
	fleetReplicas      = 5
	smallFleetReplicas = 3
	// singleGateways is the number of gateways that have a process of their own: the replicas, and three others.
	singleGateways = 8
	// sharedProcesses is the number of processes that the other gateways share.
	sharedProcesses = 8
	// A fleet with relays has singleGateways in addition to the relays, and relaySharedProcesses that the other
	// gateways share.
	fleetRelays          = 16
	smallFleetRelays     = 3
	relaySharedProcesses = 48
	// fleetTimeout is the timeout of each wait for an event or a state of a fleet.
	fleetTimeout = 90 * time.Second
)

const bytesPerMB = 1 << 20

// trafficNote is the note in reports that explains the figures of traffic.
const trafficNote = "bytes and packets are those of both directions, counted by the kernel (TCP_INFO); bytes include 52 bytes of IP and TCP headers per segment"

// hollowHostCommand returns the hidden command that runs a process of hollow gateways.
func hollowHostCommand() *cobra.Command {
	return &cobra.Command{
		Use: "hollow-host", Hidden: true, Args: cobra.NoArgs, Short: "Run hollow gateways, controlled by requests on standard input, until its end",
		RunE: func(*cobra.Command, []string) error { return hollow.Serve(os.Stdin, os.Stdout) },
	}
}

// startHollowFleet creates and starts a fleet, and returns when it is complete. The caller must call stop.
func startHollowFleet(ctx context.Context, env *scaleEnv, options hollow.Options) (_ *hollow.Fleet, stop func(), err error) {
	if options.Dir, err = env.makeDir("fleet"); err != nil {
		return nil, nil, err
	}
	self, err := os.Executable()
	if err != nil {
		return nil, nil, err
	}
	discovery := fakes.StartDiscovery(fakes.Member{ID: "h1", Addr: "127.0.0.1:9", State: "ready", Kind: "a", Weight: 1})
	options.HostCommand = []string{self, "scale", "hollow-host"}
	options.DiscoveryAddress = discovery.Addr()
	options.BootstrapReplicas = fleetReplicas
	if options.Gateways < singleGateways {
		options.BootstrapReplicas = min(smallFleetReplicas, options.Gateways)
	}
	options.SingleMembers = options.Relays + singleGateways
	processes := sharedProcesses
	if options.Relays > 0 {
		processes = relaySharedProcesses
	}
	options.GatewaysPerProcess = max(1, (options.Gateways-singleGateways+processes-1)/processes)
	f, err := hollow.New(options)
	if err != nil {
		discovery.Close()
		return nil, nil, err
	}
	stop = func() {
		f.Close()
		discovery.Close()
		os.RemoveAll(options.Dir)
	}
	if err = f.Start(ctx); err == nil {
		err = f.WaitComplete(ctx, fleetTimeout)
	}
	if err != nil {
		text, _ := os.ReadFile(options.Dir + "/log")
		stop()
		return nil, nil, fmt.Errorf("%d gateways: %w; end of the log:\n%s", options.Gateways, err, text[max(0, len(text)-2000):])
	}
	return f, stop, nil
}

// settleTime returns how long a fleet stays at rest before it is measured.
func (env *scaleEnv) settleTime() time.Duration {
	if env.small {
		return 500 * time.Millisecond
	}
	return 3 * time.Second
}

// countTime returns how long a fleet at rest is measured.
func (env *scaleEnv) countTime() time.Duration {
	if env.small {
		return time.Second
	}
	return 6 * time.Second
}

// forEachFleet starts a fleet of each size, waits for the settle time, and calls measure.
func forEachFleet(ctx context.Context, env *scaleEnv, sizes []int, options func(size int) hollow.Options, measure func(f *hollow.Fleet, size int) error) error {
	for _, size := range sizes {
		f, stop, err := startHollowFleet(ctx, env, options(size))
		if err != nil {
			return err
		}
		time.Sleep(env.settleTime())
		err = measure(f, size)
		stop()
		if err != nil {
			return err
		}
	}
	return nil
}

// hollowFleet returns the options of a fleet of hollow gateways that have one pool.
func hollowFleet(gateways int) hollow.Options { return hollow.Options{Gateways: gateways, Pools: 1} }

// fleetRates is the resource usage of a fleet in a time span.
type fleetRates struct {
	rates         map[*hollow.Process]hollow.Rates
	last          *hollow.FleetUsage
	sentBytes     uint64 // sent by all ends of connections, including headers
	loopbackBytes uint64
	span          time.Duration
}

// measureUsage measures the resource usage of a fleet at rest during a time span.
func measureUsage(ctx context.Context, f *hollow.Fleet, span time.Duration) (*fleetRates, error) {
	if _, err := f.Usage(true); err != nil { // discarded: the first call costs the processes more than later ones
		return nil, err
	}
	first, err := f.Usage(true)
	if err != nil {
		return nil, err
	}
	if err := sleep(ctx, span); err != nil {
		return nil, err
	}
	// Read the kernel's figures before the processes' own reports, which cost the processes CPU time and traffic.
	last, err := f.Usage(false)
	if err != nil {
		return nil, err
	}
	own, err := f.Usage(true)
	if err != nil {
		return nil, err
	}
	u := &fleetRates{rates: map[*hollow.Process]hollow.Rates{}, last: last, span: span}
	for p, process := range last.ByProcess {
		process.Heap = own.ByProcess[p].Heap
		process.Goroutines = own.ByProcess[p].Goroutines
		rates := process.Since(first.ByProcess[p])
		ownRates := own.ByProcess[p].Since(first.ByProcess[p])
		rates.DiskSyncs = ownRates.DiskSyncs
		rates.FrameBytesSent = ownRates.FrameBytesSent
		u.rates[p] = rates
	}
	u.sentBytes, u.loopbackBytes = last.SentSince(first)
	return u, nil
}

// describeTraffic describes the total traffic as counted at the ends of connections and by the loopback device.
func (u *fleetRates) describeTraffic() string {
	seconds := u.span.Seconds()
	return fmt.Sprintf("all ends of connections sent %d bytes/s including headers, and the loopback device transferred %d", int(float64(u.sentBytes)/seconds), int(float64(u.loopbackBytes)/seconds))
}

// processMeasure returns a figure of a process, such as fleetRates.bytes does.
type processMeasure func(*hollow.Process) float64

// bytes returns the traffic in both directions, including headers, in bytes per second as counted by the kernel.
func (u *fleetRates) bytes(p *hollow.Process) float64 {
	r := u.rates[p]
	return r.PerSecond(r.Bytes())
}

// packets returns the segments in both directions per second, as counted by the kernel.
func (u *fleetRates) packets(p *hollow.Process) float64 {
	r := u.rates[p]
	return r.PerSecond(r.Packets())
}

// payloadSent returns the payload bytes sent per second, as counted by the kernel.
func (u *fleetRates) payloadSent(p *hollow.Process) float64 {
	r := u.rates[p]
	return r.PerSecond(r.BytesOut)
}

// frameBytesSent returns the bytes of frames sent per second, as counted by the process itself.
func (u *fleetRates) frameBytesSent(p *hollow.Process) float64 { return u.rates[p].FrameBytesSent }

// cpu returns the CPU time in milliseconds per second.
func (u *fleetRates) cpu(p *hollow.Process) float64 { return u.rates[p].CPU }

// syncs returns the number of fsyncs of the write-ahead log per second.
func (u *fleetRates) syncs(p *hollow.Process) float64 { return u.rates[p].DiskSyncs }

// conns returns the number of ends of connections to other members at the end of the span.
func (u *fleetRates) conns(p *hollow.Process) float64 { return float64(u.last.ByProcess[p].Conns) }

func (u *fleetRates) goroutines(p *hollow.Process) float64 {
	return float64(u.last.ByProcess[p].Goroutines)
}

// resident returns the resident memory in MB (2^20 bytes).
func (u *fleetRates) resident(p *hollow.Process) float64 {
	return float64(u.last.ByProcess[p].Resident) / bytesPerMB
}

// heap returns the memory in use by objects and stacks in MB (2^20 bytes), as reported by the process.
func (u *fleetRates) heap(p *hollow.Process) float64 {
	return float64(u.last.ByProcess[p].Heap) / bytesPerMB
}

// medianOf returns the median of a figure over processes.
func medianOf(processes []*hollow.Process, value processMeasure) float64 {
	var values []float64
	for _, p := range processes {
		values = append(values, value(p))
	}
	return median(values)
}

// median returns the median of a list, or 0 if the list is empty. It sorts the list.
func median(list []float64) float64 {
	slices.Sort(list)
	if len(list) == 0 {
		return 0
	}
	return (list[(len(list)-1)/2] + list[len(list)/2]) / 2
}

// shownRoles are the roles of a fleet without relays, in the order of the reports.
var shownRoles = []string{roleLeader, roleReplica, roleMember}

// processesByRole returns the processes with a single gateway by the gateway's role. Of each role it returns only
// those that hold no lease, if there are any.
func processesByRole(f *hollow.Fleet) map[string][]*hollow.Process {
	leases := f.LeaseCounts()
	leader := f.Leader()
	byRole := map[string][]*hollow.Process{}
	for i, p := range f.Processes {
		switch {
		case p == leader:
			byRole[roleLeader] = append(byRole[roleLeader], p)
		case i < f.BootstrapReplicas:
			byRole[roleReplica] = append(byRole[roleReplica], p)
		case len(p.Names) == 1:
			byRole[roleMember] = append(byRole[roleMember], p)
		}
	}
	for role, list := range byRole {
		idle := slices.DeleteFunc(slices.Clone(list), func(p *hollow.Process) bool { return leases[p.Names[0]] > 0 })
		if len(idle) > 0 {
			byRole[role] = idle
		}
	}
	return byRole
}

// sortByRole sorts the series by their names in the order of shownRoles, and returns them.
func (s *seriesSet) sortByRole() []scaletest.Series {
	slices.SortStableFunc(s.list, func(a, b scaletest.Series) int {
		return cmp.Compare(slices.Index(shownRoles, a.Name), slices.Index(shownRoles, b.Name))
	})
	return s.list
}

// watchPeak samples the traffic of the loopback device until stop is called. stop returns the traffic of the busiest
// second in bytes.
func watchPeak() (stop func() float64) {
	done := make(chan struct{})
	result := make(chan float64)
	go func() { result <- loopbackPeak(done) }()
	return func() float64 {
		close(done)
		return <-result
	}
}

const peakSampleInterval = 50 * time.Millisecond

func loopbackPeak(done <-chan struct{}) float64 {
	type sample struct {
		at    time.Time
		bytes uint64
	}
	var window []sample
	peak := 0.0
	tick := time.NewTicker(peakSampleInterval)
	defer tick.Stop()
	for {
		if bytes, _, err := hollow.Loopback(); err == nil {
			now := time.Now()
			window = append(window, sample{now, bytes})
			for len(window) > 1 && now.Sub(window[0].at) > time.Second {
				window = window[1:]
			}
			peak = max(peak, float64(bytes-window[0].bytes))
		}
		select {
		case <-done:
			return peak
		case <-tick.C:
		}
	}
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}
