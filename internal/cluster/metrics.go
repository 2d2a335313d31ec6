package cluster

import (
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
)

// metricPrefix is the prefix of all metric names of this package.
const metricPrefix = "dunemoor_fleet_"

func newWriteHistogram() prometheus.Histogram {
	return prometheus.NewHistogram(prometheus.HistogramOpts{
		Name: metricPrefix + "write_seconds", Help: "Time of a write to the write-ahead log with its fsync.",
		Buckets: prometheus.ExponentialBuckets(0.0001, 2, 16),
	})
}

// registry registers metrics of this package under metricPrefix.
type registry struct{ prometheus.Registerer }

// counter registers a counter whose value is kept in value.
func (r registry) counter(name, help string, value *atomic.Uint64) {
	r.counterFunc(name, help, func() float64 { return float64(value.Load()) })
}

func (r registry) counterFunc(name, help string, value func() float64) {
	r.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: metricPrefix + name, Help: help}, value))
}

func (r registry) gauge(name, help string, value func() float64) {
	r.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: metricPrefix + name, Help: help}, value))
}

// flag registers a gauge that is 1 while a condition holds, and 0 otherwise.
func (r registry) flag(name, help string, condition func() bool) {
	r.gauge(name, help, func() float64 {
		if condition() {
			return 1
		}
		return 0
	})
}

// RegisterMetrics registers the metrics of this gateway's membership in the fleet.
func (c *Cluster) RegisterMetrics(registerer prometheus.Registerer) {
	r := registry{registerer}
	n := &c.transport.Counters
	r.counter("frames_sent_total", "Frames sent to other gateways, keepalives included.", &n.FramesSent)
	r.counter("frame_bytes_sent_total", "Bytes of frames sent to other gateways, without headers of IP and TCP.", &n.BytesSent)
	r.counter("frames_received_total", "Frames received from other gateways.", &n.FramesReceived)
	r.counter("frames_lost_total", "Frames lost: their gateway could not be reached, or its queue was full.", &n.FramesLost)
	r.counter("frames_garbled_total", "Malformed frames; their connections were closed.", &n.FramesMalformed)
	r.counter("connections_refused_total", "Connections rejected by either side, for key, fleet, format or name.", &n.ConnsRejected)
	r.counter("connections_total", "Connections opened to other gateways.", &n.Dials)
	r.counter("snapshots_sent_total", "Snapshots of the coordination state sent.", &n.SnapshotsSent)
	r.counter("duty_changes_total", "Leases granted or freed, as seen by the leader.", &c.counters.transfers)
	r.counter("news_fenced_total", "Publications of former lease holders that were rejected.", &c.counters.stalePublications)
	if len(c.cfg.Relays) > 0 {
		c.registerRelayMetrics(r)
	}
	r.gauge("term", "Raft term as known here.", func() float64 { return float64(c.Status().Term) })
	r.gauge("commit_index", "Committed index of the log, as known here.", func() float64 { return float64(c.Status().Commit) })
	r.gauge("applied_index", "Index of the log up to which the state is applied here.", func() float64 { return float64(c.Status().Applied) })
	r.flag("leader", "1 if this gateway is the leader.", func() bool { return c.Status().Role == roleLeader })
	r.flag("session", "1 if this gateway has a session.", func() bool { return c.Status().Session != 0 })
	r.gauge("duties_held", "Leases that this gateway holds.", c.leasesHeld)
	r.counter("disk_bytes_written_total", "Bytes written to the write-ahead log.", &c.counters.bytesWritten)
	r.counter("disk_syncs_total", "Fsyncs of the write-ahead log.", &c.counters.syncs)
	r.MustRegister(c.writeSeconds)
}

func (c *Cluster) leasesHeld() (n float64) {
	s := c.Status()
	for _, l := range s.Leases {
		if l.Holder == s.Name {
			n++
		}
	}
	return n
}

// registerRelayMetrics registers the metrics of a fleet with relays.
func (c *Cluster) registerRelayMetrics(r registry) {
	r.counter("stream_bytes_received_total", "Bytes of frames received by streams; frame_bytes_sent_total counts those sent.", &c.transport.Counters.StreamBytesReceived)
	if c.isRelay(c.cfg.Name) {
		c.registerRouterMetrics(r)
	} else {
		c.registerClientMetrics(r)
	}
}

// registerClientMetrics registers the metrics of a gateway with a stream to a relay.
func (c *Cluster) registerClientMetrics(r registry) {
	r.flag("relay_connected", "1 if this gateway has a stream to a relay.", func() bool { return c.Status().Relay.Name != "" })
	r.counterFunc("relay_moves_total", "Streams that a relay has accepted.", func() float64 { return float64(c.Status().Relay.Moves) })
	r.counterFunc("relay_ends_total", "Streams to relays and attempts that ended, for any cause; the status has them by cause.", func() (n float64) {
		for _, count := range c.Status().Relay.Ends {
			n += float64(count)
		}
		return n
	})
}

// registerRouterMetrics registers the metrics of a relay.
func (c *Cluster) registerRouterMetrics(r registry) {
	streams := func(value func(*StreamsStatus) uint64) func() float64 {
		return func() float64 { return float64(value(c.Status().Streams)) }
	}
	r.gauge("streams", "Gateways with a stream to this relay.", func() float64 { return float64(c.Status().Streams.Streams) })
	r.gauge("streams_bound", "Present limit of streams at this relay.", func() float64 { return float64(c.Status().Streams.Limit) })
	r.gauge("routes", "Gateways known to have a stream to any relay.", func() float64 { return float64(c.Status().Streams.Routes) })
	r.gauge("relays_up", "Relays connected with this one in both directions, and itself.", func() float64 { return float64(len(c.Status().Streams.Relays)) })
	r.counter("streams_behind_total", "Streams closed as too much waited for their gateway.", &c.transport.Counters.StreamsOverrun)
	r.counterFunc("streams_joined_total", "Streams of gateways that were accepted.", streams(func(s *StreamsStatus) uint64 { return s.Joins }))
	r.counterFunc("streams_refused_total", "Streams of gateways that were rejected, for want of capacity or as there were too many joins.", streams(func(s *StreamsStatus) uint64 { return s.Rejected }))
	r.counterFunc("streams_cut_total", "Streams that this relay closed: silent, too far behind, or superseded at another relay.", streams(func(s *StreamsStatus) uint64 { return s.Closed }))
	r.counterFunc("records_dropped_total", "Records dropped: they came late, twice, or for an unknown gateway.", streams(func(s *StreamsStatus) uint64 { return s.Dropped }))
	r.counterFunc("records_garbled_total", "Malformed records; others in the same frame were forwarded.", streams(func(s *StreamsStatus) uint64 { return s.Malformed }))
}
