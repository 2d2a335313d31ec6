package hollow

import (
	"net/netip"
	"time"
)

// Names of metrics that Rates are computed from, without their prefix.
const (
	metricDiskSyncs      = "disk_syncs_total"
	metricFrameBytesSent = "frame_bytes_sent_total"
	metricFramesSent     = "frames_sent_total"
)

// Account is what a process has used up to a time.
type Account struct {
	At         time.Time
	CPU        time.Duration // since its start
	Resident   uint64        // bytes
	Heap       uint64        // bytes, by the process's own report; of a host
	Goroutines int           // by the process's own report; of a host
	Conns      int           // ends of open connections between members of the fleet
	Traffic    Traffic       // of these connections since they were opened

	// Counts are the metrics of the only member of a process, as in Status.
	Counts map[string]float64

	traffic map[uint32]Traffic // of each of these connections, by the inode of its socket
}

// Accounts are the accounts of all processes that run, and what the loopback device has carried.
type Accounts struct {
	Of             map[*Process]*Account
	Bytes, Packets uint64 // of the loopback device, since the machine's start

	traffic map[uint32]Traffic // of all connections of the machine, by the inode of their socket
}

// Account returns the accounts at present. With own set they include the processes' own reports and metrics,
// which cost the processes some work.
func (f *Fleet) Account(own bool) (*Accounts, error) { return f.account(own, nil) }

// AccountBut returns the accounts at present, with the processes' own reports and metrics but for those of a
// process that carries out a request and doesn't reply meanwhile.
func (f *Fleet) AccountBut(busy *Process) (*Accounts, error) { return f.account(true, busy) }

func (f *Fleet) account(own bool, busy *Process) (*Accounts, error) {
	all := &Accounts{Of: map[*Process]*Account{}, traffic: map[uint32]Traffic{}}
	for _, p := range f.Processes {
		if !p.Runs() {
			continue
		}
		a := &Account{traffic: map[uint32]Traffic{}}
		all.Of[p] = a
		if !own || p == busy {
			continue
		}
		if err := a.readOwn(p); err != nil {
			return nil, err
		}
	}
	for p, a := range all.Of {
		if err := a.readKernel(p.cmd.Process.Pid); err != nil {
			return nil, err
		}
	}
	if err := f.accountTraffic(all); err != nil {
		return nil, err
	}
	return all, nil
}

// readOwn adds a process's own report, and the metrics of its member if it has only one.
func (a *Account) readOwn(p *Process) error {
	report, err := p.Report()
	if err != nil {
		return err
	}
	if report != nil {
		a.Heap = report.Heap
		a.Goroutines = report.Goroutines
	}
	if len(p.Names) > 1 {
		return nil
	}
	status, err := p.Status(true)
	if err != nil {
		return err
	}
	a.Counts = status[p.Names[0]].Counts
	return nil
}

// readKernel adds the CPU time and the memory of a process.
func (a *Account) readKernel(pid int) (err error) {
	if a.CPU, err = cpuTime(pid); err != nil {
		return err
	}
	if a.Resident, err = residentMemory(pid); err != nil {
		return err
	}
	a.At = time.Now()
	return nil
}

// accountTraffic adds the traffic of all connections, of the loopback device, and of each process's connections
// to other members.
func (f *Fleet) accountTraffic(all *Accounts) error {
	conns, err := listConns()
	if err != nil {
		return err
	}
	if all.Bytes, all.Packets, err = Loopback(); err != nil {
		return err
	}
	between := map[uint32]Traffic{} // of connections between members
	for _, c := range conns {
		if c.inode == 0 {
			continue // its process has closed it
		}
		all.traffic[c.inode] = c.Traffic
		if f.isMember(c.local) || f.isMember(c.remote) {
			between[c.inode] = c.Traffic
		}
	}
	for p, a := range all.Of {
		sockets, err := socketInodes(p.cmd.Process.Pid)
		if err != nil {
			return err
		}
		for inode := range sockets {
			traffic, ok := between[inode]
			if !ok {
				continue
			}
			a.Conns++
			a.traffic[inode] = traffic
			a.Traffic = a.Traffic.plus(traffic)
		}
	}
	return nil
}

// isMember reports whether members of the fleet take connections of others at an address.
func (f *Fleet) isMember(address netip.AddrPort) bool { return f.layout.peers[address] }

// Rates are what a process used between two accounts, a second unless noted.
type Rates struct {
	CPU     float64       // milliseconds
	Traffic               // in the whole span, of connections that are open at its end
	Span    time.Duration // between the accounts
	Syncs   float64       // of the disk
	Counted float64       // bytes of frames sent, by the process's own metrics
	Frames  float64       // sent, by the process's own metrics
}

// Since returns a process's rates since an earlier account.
func (a *Account) Since(earlier *Account) Rates {
	span := a.At.Sub(earlier.At)
	seconds := span.Seconds()
	r := Rates{Span: span}
	r.CPU = float64((a.CPU - earlier.CPU).Microseconds()) / 1000 / seconds
	for inode, traffic := range a.traffic {
		r.Traffic = r.Traffic.plus(traffic.since(earlier.traffic[inode]))
	}
	rate := func(metric string) float64 { return (a.Counts[metric] - earlier.Counts[metric]) / seconds }
	r.Syncs = rate(metricDiskSyncs)
	r.Counted = rate(metricFrameBytesSent)
	r.Frames = rate(metricFramesSent)
	return r
}

// PerSecond returns a count of the span as a rate.
func (r Rates) PerSecond(count uint64) float64 { return float64(count) / r.Span.Seconds() }

// Sent returns the bytes with headers that were sent since earlier accounts: by the ends of all connections that
// are open now, and by the loopback device.
func (a *Accounts) Sent(earlier *Accounts) (ends, device uint64) {
	for inode, traffic := range a.traffic {
		sent := traffic.since(earlier.traffic[inode])
		ends += sent.BytesOut + HeaderBytes*sent.PacketsOut
	}
	return ends, a.Bytes - earlier.Bytes
}
