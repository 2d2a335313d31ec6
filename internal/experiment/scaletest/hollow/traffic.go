package hollow

// HeaderBytes is the size of the headers of a TCP segment over IPv4 as the kernel sends it: 20 bytes of IP, 20 of TCP
// and 12 of TCP timestamps. Overhead of the link layer is not included (Ethernet: 18 bytes, plus 20 of preamble and
// gap).
const HeaderBytes = 52

// Traffic is the traffic of connections as counted by the kernel. Bytes are payload bytes, including retransmitted
// ones; packets are all segments, including pure acknowledgments.
type Traffic struct{ BytesOut, BytesIn, PacketsOut, PacketsIn uint64 }

// Packets returns the number of packets in both directions.
func (t Traffic) Packets() uint64 { return t.PacketsOut + t.PacketsIn }

// Bytes returns the number of bytes in both directions, including headers.
func (t Traffic) Bytes() uint64 { return t.BytesOut + t.BytesIn + HeaderBytes*t.Packets() }

func (t Traffic) plus(other Traffic) Traffic {
	return Traffic{
		BytesOut:   t.BytesOut + other.BytesOut,
		BytesIn:    t.BytesIn + other.BytesIn,
		PacketsOut: t.PacketsOut + other.PacketsOut,
		PacketsIn:  t.PacketsIn + other.PacketsIn,
	}
}

// since returns the traffic since an earlier count for the same inode. If the counts are lower, the inode belongs to
// a new socket, all of whose traffic is later than the earlier count.
func (t Traffic) since(earlier Traffic) Traffic {
	isNewSocket := t.PacketsOut < earlier.PacketsOut || t.PacketsIn < earlier.PacketsIn
	if isNewSocket {
		return t
	}
	return Traffic{
		BytesOut:   t.BytesOut - earlier.BytesOut,
		BytesIn:    t.BytesIn - earlier.BytesIn,
		PacketsOut: t.PacketsOut - earlier.PacketsOut,
		PacketsIn:  t.PacketsIn - earlier.PacketsIn,
	}
}
