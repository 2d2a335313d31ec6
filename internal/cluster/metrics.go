package cluster

import (
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
)

// Metrics registers what is counted of this gateway's part.
func (f *Fleet) Metrics(r prometheus.Registerer) {
	counter := func(name, help string, from *atomic.Uint64) {
		r.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "dunemoor_fleet_" + name, Help: help}, func() float64 { return float64(from.Load()) }))
	}
	gauge := func(name, help string, value func() float64) {
		r.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "dunemoor_fleet_" + name, Help: help}, value))
	}
	c := &f.carrier.Counts
	counter("frames_sent_total", "Frames sent to other gateways, also those that only say that a connection is there.", &c.Sent)
	counter("frame_bytes_sent_total", "Bytes of frames sent to other gateways, without headers of IP and TCP.", &c.SentBytes)
	counter("frames_received_total", "Frames that came from other gateways.", &c.Received)
	counter("frames_lost_total", "Frames not sent: their gateway was away, or too much waited for it.", &c.Lost)
	counter("frames_garbled_total", "Frames that could not be read; their connection was ended.", &c.Garbled)
	counter("connections_refused_total", "Connections refused, by us or by the other side: key, fleet, format, name.", &c.Refused)
	counter("connections_total", "Connections made to other gateways.", &c.Connects)
	counter("snapshots_sent_total", "Snapshots of the record sent whole.", &c.Snapshots)
	counter("duty_changes_total", "Changes of hands of duties, as the leader of the record saw them.", &f.counts.changes)
	counter("news_fenced_total", "Words of owners of before that were not taken here.", &f.counts.fenced)
	if len(f.cfg.Relays) > 0 {
		f.relayMetrics(counter, gauge, r)
	}
	gauge("term", "The record's term as known here.", func() float64 { return float64(f.Status().Term) })
	gauge("commit_index", "Index up to which the record is committed, as known here.", func() float64 { return float64(f.Status().Commit) })
	gauge("applied_index", "Index up to which the record is applied here.", func() float64 { return float64(f.Status().Applied) })
	gauge("leader", "1 where this gateway leads the record.", func() float64 {
		if f.Status().Role == "leader" {
			return 1
		}
		return 0
	})
	gauge("session", "1 where this gateway has a session with its fleet.", func() float64 {
		if f.Status().Session != 0 {
			return 1
		}
		return 0
	})
	gauge("duties_held", "Duties that this gateway owns.", func() float64 {
		s, n := f.Status(), 0
		for _, d := range s.Leases {
			if d.Holder == s.Name {
				n++
			}
		}
		return float64(n)
	})
	counter("disk_bytes_written_total", "Bytes written to the fleet's log.", &f.counts.written)
	counter("disk_syncs_total", "Fsyncs of the fleet's log.", &f.counts.synced)
	r.MustRegister(f.syncs)
}

// relayMetrics are those of a fleet with relays.
func (f *Fleet) relayMetrics(counter func(name, help string, from *atomic.Uint64), gauge func(name, help string, value func() float64), r prometheus.Registerer) {
	c := &f.carrier.Counts
	counter("stream_bytes_received_total", "Bytes of frames that came by streams; frame_bytes_sent_total has what went.", &c.ReceivedBytes)
	total := func(name, help string, value func(*Status) uint64) {
		r.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "dunemoor_fleet_" + name, Help: help},
			func() float64 { return float64(value(f.Status())) }))
	}
	if !f.isRelay(f.cfg.Name) {
		gauge("relay_connected", "1 where this gateway has a stream to a relay.", func() float64 {
			if f.Status().Relay.Name != "" {
				return 1
			}
			return 0
		})
		total("relay_moves_total", "Streams to relays that were taken.", func(s *Status) uint64 { return s.Relay.Moves })
		total("relay_ends_total", "Streams to relays, and tries, that ended, for any cause; the status has them by cause.", func(s *Status) (n uint64) {
			for _, k := range s.Relay.Ends {
				n += k
			}
			return n
		})
		return
	}
	gauge("streams", "Gateways that are connected with this relay.", func() float64 { return float64(f.Status().Streams.Streams) })
	gauge("streams_bound", "Gateways that this relay takes as things are.", func() float64 { return float64(f.Status().Streams.Bound) })
	gauge("routes", "Gateways that are known to be connected with any relay.", func() float64 { return float64(f.Status().Streams.Routes) })
	gauge("relays_up", "Relays that are connected with this one both ways, and itself.", func() float64 { return float64(len(f.Status().Streams.Relays)) })
	counter("streams_behind_total", "Streams that were ended as too much waited for their gateway.", &c.StreamsBehind)
	total("streams_joined_total", "Streams of gateways that were taken.", func(s *Status) uint64 { return s.Streams.Joins })
	total("streams_refused_total", "Streams of gateways that were not taken, for want of room or of time.", func(s *Status) uint64 { return s.Streams.Refused })
	total("streams_cut_total", "Streams that this relay cut: silent, too far behind, or known later elsewhere.", func(s *Status) uint64 { return s.Streams.Cuts })
	total("records_dropped_total", "Words that were not passed on: they came late, twice, or for nobody that is known.", func(s *Status) uint64 { return s.Streams.Dropped })
	total("records_garbled_total", "Words that could not be read; those beside them were passed on.", func(s *Status) uint64 { return s.Streams.Bad })
}
