package cluster

import (
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
)

// metricPrefix begins the names of all metrics of this package.
const metricPrefix = "dunemoor_fleet_"

func newWriteHistogram() prometheus.Histogram {
	return prometheus.NewHistogram(prometheus.HistogramOpts{
		Name: metricPrefix + "write_seconds", Help: "Time of a write to the fleet's log with its fsync.",
		Buckets: prometheus.ExponentialBuckets(0.0001, 2, 16),
	})
}

// registry registers metrics of this package.
type registry struct{ prometheus.Registerer }

// counter registers a counter that is counted elsewhere.
func (r registry) counter(name, help string, value *atomic.Uint64) {
	r.counterFunc(name, help, func() float64 { return float64(value.Load()) })
}

func (r registry) counterFunc(name, help string, value func() float64) {
	r.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: metricPrefix + name, Help: help}, value))
}

func (r registry) gauge(name, help string, value func() float64) {
	r.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: metricPrefix + name, Help: help}, value))
}

// flag registers a gauge that is 1 where a condition holds.
func (r registry) flag(name, help string, condition func() bool) {
	r.gauge(name, help, func() float64 {
		if condition() {
			return 1
		}
		return 0
	})
}

// RegisterMetrics registers the metrics of this gateway's part.
func (c *Cluster) RegisterMetrics(registerer prometheus.Registerer) {
	r := registry{registerer}
	n := &c.transport.Counters
	r.counter("frames_sent_total", "Frames sent to other gateways, also those that only say that a connection is there.", &n.FramesSent)
	r.counter("frame_bytes_sent_total", "Bytes of frames sent to other gateways, without headers of IP and TCP.", &n.BytesSent)
	r.counter("frames_received_total", "Frames that came from other gateways.", &n.FramesReceived)
	r.counter("frames_lost_total", "Frames not sent: their gateway was away, or too much waited for it.", &n.FramesLost)
	r.counter("frames_garbled_total", "Frames that could not be read; their connection was ended.", &n.FramesMalformed)
	r.counter("connections_refused_total", "Connections refused, by us or by the other side: key, fleet, format, name.", &n.ConnsRejected)
	r.counter("connections_total", "Connections made to other gateways.", &n.Dials)
	r.counter("snapshots_sent_total", "Snapshots of the record sent whole.", &n.SnapshotsSent)
	r.counter("duty_changes_total", "Changes of hands of duties, as the leader of the record saw them.", &c.counters.transfers)
	r.counter("news_fenced_total", "Words of owners of before that were not taken here.", &c.counters.stalePublications)
	if len(c.cfg.Relays) > 0 {
		c.registerRelayMetrics(r)
	}
	r.gauge("term", "The record's term as known here.", func() float64 { return float64(c.Status().Term) })
	r.gauge("commit_index", "Index up to which the record is committed, as known here.", func() float64 { return float64(c.Status().Commit) })
	r.gauge("applied_index", "Index up to which the record is applied here.", func() float64 { return float64(c.Status().Applied) })
	r.flag("leader", "1 where this gateway leads the record.", func() bool { return c.Status().Role == roleLeader })
	r.flag("session", "1 where this gateway has a session with its fleet.", func() bool { return c.Status().Session != 0 })
	r.gauge("duties_held", "Duties that this gateway owns.", c.leasesHeld)
	r.counter("disk_bytes_written_total", "Bytes written to the fleet's log.", &c.counters.bytesWritten)
	r.counter("disk_syncs_total", "Fsyncs of the fleet's log.", &c.counters.syncs)
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
	r.counter("stream_bytes_received_total", "Bytes of frames that came by streams; frame_bytes_sent_total has what went.", &c.transport.Counters.StreamBytesReceived)
	if c.isRelay(c.cfg.Name) {
		c.registerRouterMetrics(r)
	} else {
		c.registerClientMetrics(r)
	}
}

// registerClientMetrics registers the metrics of a gateway with a stream to a relay.
func (c *Cluster) registerClientMetrics(r registry) {
	r.flag("relay_connected", "1 where this gateway has a stream to a relay.", func() bool { return c.Status().Relay.Name != "" })
	r.counterFunc("relay_moves_total", "Streams to relays that were taken.", func() float64 { return float64(c.Status().Relay.Moves) })
	r.counterFunc("relay_ends_total", "Streams to relays, and tries, that ended, for any cause; the status has them by cause.", func() (n float64) {
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
	r.gauge("streams", "Gateways that are connected with this relay.", func() float64 { return float64(c.Status().Streams.Streams) })
	r.gauge("streams_bound", "Gateways that this relay takes as things are.", func() float64 { return float64(c.Status().Streams.Limit) })
	r.gauge("routes", "Gateways that are known to be connected with any relay.", func() float64 { return float64(c.Status().Streams.Routes) })
	r.gauge("relays_up", "Relays that are connected with this one both ways, and itself.", func() float64 { return float64(len(c.Status().Streams.Relays)) })
	r.counter("streams_behind_total", "Streams that were ended as too much waited for their gateway.", &c.transport.Counters.StreamsOverrun)
	r.counterFunc("streams_joined_total", "Streams of gateways that were taken.", streams(func(s *StreamsStatus) uint64 { return s.Joins }))
	r.counterFunc("streams_refused_total", "Streams of gateways that were not taken, for want of room or of time.", streams(func(s *StreamsStatus) uint64 { return s.Rejected }))
	r.counterFunc("streams_cut_total", "Streams that this relay cut: silent, too far behind, or known later elsewhere.", streams(func(s *StreamsStatus) uint64 { return s.Closed }))
	r.counterFunc("records_dropped_total", "Words that were not passed on: they came late, twice, or for nobody that is known.", streams(func(s *StreamsStatus) uint64 { return s.Dropped }))
	r.counterFunc("records_garbled_total", "Words that could not be read; those beside them were passed on.", streams(func(s *StreamsStatus) uint64 { return s.Malformed }))
}
