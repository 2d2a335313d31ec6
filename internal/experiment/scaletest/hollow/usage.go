package hollow

import (
	"net/netip"
	"time"
)

// Names, without their prefix, of metrics from which Rates are computed.
const (
	metricDiskSyncs      = "disk_syncs_total"
	metricFrameBytesSent = "frame_bytes_sent_total"
)

// ProcessUsage is the resource usage of a process up to a time.
type ProcessUsage struct {
	At         time.Time
	CPU        time.Duration // CPU time since the start of the process
	Resident   uint64        // resident memory in bytes
	Heap       uint64        // bytes in use by objects and stacks, as reported by the process; only for hollow hosts
	Goroutines int           // number of goroutines, as reported by the process; only for hollow hosts
	Conns      int           // number of ends of open connections to other members of the fleet
	Traffic    Traffic       // traffic of these connections since they were opened

	// Metrics are the metrics of the process's member if it has only one, as in Status.
	Metrics map[string]float64

	traffic map[uint32]Traffic // traffic of each of these connections, by the inode of its socket
}

// FleetUsage is the resource usage of all running processes up to a time, and the traffic of the loopback device.
type FleetUsage struct {
	ByProcess      map[*Process]*ProcessUsage
	Bytes, Packets uint64 // traffic of the loopback device since the machine was booted

	traffic map[uint32]Traffic // traffic of all connections of the machine, by the inode of their socket
}

// Usage returns the fleet's usage up to now. If own is set, it includes the processes' own reports and metrics, which
// cost the processes some CPU time.
func (f *Fleet) Usage(own bool) (*FleetUsage, error) { return f.usage(own, nil) }

// UsageExcept returns the fleet's usage up to now, including the processes' own reports and metrics, except those of
// a process that is busy with another request and can't reply.
func (f *Fleet) UsageExcept(busy *Process) (*FleetUsage, error) { return f.usage(true, busy) }

func (f *Fleet) usage(own bool, busy *Process) (*FleetUsage, error) {
	all := &FleetUsage{ByProcess: map[*Process]*ProcessUsage{}, traffic: map[uint32]Traffic{}}
	for _, p := range f.Processes {
		if !p.IsRunning() {
			continue
		}
		u := &ProcessUsage{traffic: map[uint32]Traffic{}}
		all.ByProcess[p] = u
		if !own || p == busy {
			continue
		}
		if err := u.readOwn(p); err != nil {
			return nil, err
		}
	}
	for p, u := range all.ByProcess {
		if err := u.readKernel(p.cmd.Process.Pid); err != nil {
			return nil, err
		}
	}
	if err := f.readTraffic(all); err != nil {
		return nil, err
	}
	return all, nil
}

// readOwn reads a process's own report, and the metrics of its member if it has only one.
func (u *ProcessUsage) readOwn(p *Process) error {
	report, err := p.Report()
	if err != nil {
		return err
	}
	if report != nil {
		u.Heap = report.Heap
		u.Goroutines = report.Goroutines
	}
	if len(p.Names) > 1 {
		return nil
	}
	status, err := p.Status(true)
	if err != nil {
		return err
	}
	u.Metrics = status[p.Names[0]].Metrics
	return nil
}

// readKernel reads the CPU time and the memory of a process from the kernel.
func (u *ProcessUsage) readKernel(pid int) (err error) {
	if u.CPU, err = cpuTime(pid); err != nil {
		return err
	}
	if u.Resident, err = residentMemory(pid); err != nil {
		return err
	}
	u.At = time.Now()
	return nil
}

// readTraffic reads the traffic of all connections, of the loopback device, and of each process's connections to
// other members.
func (f *Fleet) readTraffic(all *FleetUsage) error {
	conns, err := listConns()
	if err != nil {
		return err
	}
	if all.Bytes, all.Packets, err = Loopback(); err != nil {
		return err
	}
	between := map[uint32]Traffic{} // traffic of connections between members
	for _, c := range conns {
		if c.inode == 0 {
			continue // the process has closed the socket
		}
		all.traffic[c.inode] = c.Traffic
		if f.isMember(c.local) || f.isMember(c.remote) {
			between[c.inode] = c.Traffic
		}
	}
	for p, u := range all.ByProcess {
		sockets, err := socketInodes(p.cmd.Process.Pid)
		if err != nil {
			return err
		}
		for inode := range sockets {
			traffic, ok := between[inode]
			if !ok {
				continue
			}
			u.Conns++
			u.traffic[inode] = traffic
			u.Traffic = u.Traffic.plus(traffic)
		}
	}
	return nil
}

// isMember reports whether a member of the fleet accepts connections from other members at an address.
func (f *Fleet) isMember(address netip.AddrPort) bool { return f.layout.peers[address] }

// Rates are the resource usage of a process between two measurements, per second unless noted otherwise.
type Rates struct {
	CPU            float64       // CPU time in milliseconds
	Traffic                      // total over the whole span, of connections that are open at its end
	Span           time.Duration // between the measurements
	DiskSyncs      float64       // number of fsyncs of the write-ahead log
	FrameBytesSent float64       // bytes of frames sent, from the process's own metrics
}

// Since returns the rates of a process since an earlier measurement.
func (u *ProcessUsage) Since(earlier *ProcessUsage) Rates {
	span := u.At.Sub(earlier.At)
	seconds := span.Seconds()
	r := Rates{Span: span}
	r.CPU = float64((u.CPU - earlier.CPU).Microseconds()) / 1000 / seconds
	for inode, traffic := range u.traffic {
		r.Traffic = r.Traffic.plus(traffic.since(earlier.traffic[inode]))
	}
	rate := func(metric string) float64 { return (u.Metrics[metric] - earlier.Metrics[metric]) / seconds }
	r.DiskSyncs = rate(metricDiskSyncs)
	r.FrameBytesSent = rate(metricFrameBytesSent)
	return r
}

// PerSecond converts a count over the span to a rate per second.
func (r Rates) PerSecond(count uint64) float64 { return float64(count) / r.Span.Seconds() }

// SentSince returns the bytes, including headers, that were sent since an earlier measurement: by all ends of
// connections that are open now, and by the loopback device.
func (u *FleetUsage) SentSince(earlier *FleetUsage) (ends, device uint64) {
	for inode, traffic := range u.traffic {
		sent := traffic.since(earlier.traffic[inode])
		ends += sent.BytesOut + HeaderBytes*sent.PacketsOut
	}
	return ends, u.Bytes - earlier.Bytes
}
