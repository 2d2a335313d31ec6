package hollow

// HeaderBytes are the headers of a TCP segment over IPv4 as the kernel sends it here: 20 of IP, 20 of TCP and 12
// of TCP's timestamps. What a link adds is not included (Ethernet: 18, and 20 of preamble and gap).
const HeaderBytes = 52

// Traffic is what the kernel counts of connections. Bytes are payload, counted again where it is retransmitted;
// packets are all segments, including those that only acknowledge.
type Traffic struct{ BytesOut, BytesIn, PacketsOut, PacketsIn uint64 }

// Packets returns the packets of both directions.
func (t Traffic) Packets() uint64 { return t.PacketsOut + t.PacketsIn }

// Bytes returns the bytes of both directions, with headers.
func (t Traffic) Bytes() uint64 { return t.BytesOut + t.BytesIn + HeaderBytes*t.Packets() }

func (t Traffic) plus(other Traffic) Traffic {
	return Traffic{
		BytesOut:   t.BytesOut + other.BytesOut,
		BytesIn:    t.BytesIn + other.BytesIn,
		PacketsOut: t.PacketsOut + other.PacketsOut,
		PacketsIn:  t.PacketsIn + other.PacketsIn,
	}
}

// since returns the traffic since an earlier count of the same inode. Lower counts are those of a new socket with
// that inode, all of whose traffic is later.
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
