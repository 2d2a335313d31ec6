package simwire

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"io"
	"math"
	"reflect"
	"runtime"
	"strings"
	"testing"
	"time"

	"dunemoor/balancer"
)

// frame returns the frame of a batch of records, each of which is a code and its fields.
func frame(clock uint64, records ...[]byte) []byte {
	b := binary.LittleEndian.AppendUint64(nil, clock)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(records)))
	for _, r := range records {
		b = append(b, r[0])
		b = binary.LittleEndian.AppendUint32(b, uint32(len(r)-1))
		b = append(b, r[1:]...)
	}
	return append(binary.LittleEndian.AppendUint32(nil, uint32(len(b))), b...)
}

func unhex(t *testing.T, s string) []byte {
	t.Helper()
	b, err := hex.DecodeString(strings.ReplaceAll(s, " ", ""))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// readAll reads one batch.
func readAll(data []byte) (clock time.Duration, events []Event, err error) {
	r := NewReader(bytes.NewReader(data))
	if clock, err = r.Batch(); err != nil {
		return clock, nil, err
	}
	for {
		var e Event
		more, err := r.Next(&e)
		if !more || err != nil {
			return clock, events, err
		}
		e.Hosts = append([]balancer.Host(nil), e.Hosts...)
		events = append(events, e)
	}
}

func TestReaderDecodesEvents(t *testing.T) {
	host := balancer.HostID(0x00232b_074a120a)
	tests := []struct {
		name   string
		fields string
		want   Event
	}{
		{"request", "02 03000000 c4913a5d 01 0200 e02e0000 80a90300 640ad2557c3bf091 03",
			Event{Code: Request, Instance: 3, Request: balancer.Request{
				ID: 0x5d3a91c4, Class: 1, Tenant: 2, Remaining: 240 * time.Millisecond, Duplicate: true}}},
		{"attempt end", "04 03000000 c4913a5d 0100 0a124a07 2b23 2e01 44480000 01 01 0000803f",
			Event{Code: AttemptEnd, Instance: 3, Outcome: balancer.Outcome{Request: 0x5d3a91c4, Attempt: 1,
				Result: balancer.Full, Elapsed: 18500 * time.Microsecond, Closed: true}}},
		{"timer", "06 03000000 4d00000000000000", Event{Code: Timer, Instance: 3, Token: 77}},
		{"client gone", "05 05000000 192b6f0e",
			Event{Code: ClientGone, Instance: 5, Request: balancer.Request{ID: 0x0e6f2b19}}},
		{"attempt started", "03 03000000 c4913a5d 0200 0a124a07 2b23 22240000",
			Event{Code: ResponseStarted, Instance: 3, Request: balancer.Request{ID: 0x5d3a91c4}, Attempt: 2}},
		{"list", "01 03000000 04 2900000000000000 01000000 20145d0000000000 01 0a124a07 2b23 0100 0200 00 0000c07f",
			Event{Code: EndpointList, Instance: 3, List: balancer.ListChanges, Hosts: []balancer.Host{{ID: host,
				Zone: 1, Cell: 2, Kind: 1, State: balancer.Draining, Started: 0x5d1420 * time.Microsecond}}}},
		{"health check end", "07 03000000 6400 78050000 0a9011f2 5423 00", Event{Code: HealthCheckEnd, Instance: 3}},
		{"peer message", "08 03000000 0200 0400 68692037", Event{Code: PeerMessage, Instance: 3}},
		{"stop", "09 03000000", Event{Code: Stop, Instance: 3}},
	}
	for _, tt := range tests {
		now, got, err := readAll(frame(8411738, unhex(t, tt.fields)))
		if err != nil || now != 8411738*time.Microsecond || len(got) != 1 {
			t.Errorf("%s: got clock %v, %d events, error %v, want clock 8.411738s, 1 event, no error", tt.name, now, len(got), err)
			continue
		}
		if len(got[0].Hosts) == 0 {
			got[0].Hosts = nil
		}
		if !reflect.DeepEqual(got[0], tt.want) {
			t.Errorf("%s:\ngot  %+v\nwant %+v", tt.name, got[0], tt.want)
		}
	}
}

func TestReaderRejectsMalformedFrames(t *testing.T) {
	timer := unhex(t, "06 03000000 4d00000000000000")
	complete := frame(1, timer)
	count := func(n uint32) []byte {
		b := bytes.Clone(complete)
		binary.LittleEndian.PutUint32(b[12:], n)
		return b
	}
	size := func(n uint32) []byte {
		b := bytes.Clone(complete)
		binary.LittleEndian.PutUint32(b[17:], n)
		return b
	}
	tests := []struct {
		name string
		data []byte
		want string
	}{
		{"truncated in the length", complete[:3], "at byte 3: input ends inside the length"},
		{"truncated in the header", complete[:9], "at byte 9: input ends inside"},
		{"truncated in a record", complete[:20], "at byte 20: input ends inside"},
		{"length too small", []byte{1, 0, 0, 0, 0}, "at byte 0: frame length 1"},
		{"length too large", []byte{255, 255, 255, 255}, "frame length"},
		{"length beyond the input", []byte{0, 0, 0, 48, 1, 2}, "at byte 6: input ends inside"},
		{"clock out of range", frame(math.MaxUint64), "clock"},
		{"record count too large", count(2), "record header is truncated"},
		{"record count too small", count(0), "after the last record"},
		{"record exceeds the frame", size(1 << 31), "exceeds the frame"},
		{"record too short", frame(1, timer[:9]), "too short"},
		{"record too long", frame(1, append(bytes.Clone(timer), 0)), "1 trailing bytes"},
		{"unknown event", frame(1, []byte{99, 0, 0, 0, 0}), "unknown event code 99"},
		{"unknown outcome", frame(1, unhex(t, "04 03000000 c4913a5d 0100 0a124a07 2b23 0900 44480000 01 00")),
			"unknown outcome 9"},
		{"unknown list mode", frame(1, unhex(t, "01 03000000 09 2900000000000000 00000000")), "list mode 9"},
		{"entry count beyond the record", frame(1, unhex(t, "01 03000000 01 2900000000000000 ffffffff")), "4294967295 entries"},
		{"unknown host state", frame(1, unhex(t, "01 03000000 01 2900000000000000 01000000"+
			"20145d0000000000 01 0a124a07 2b23 0100 0200 09 0000c07f")), "host state 9"},
	}
	for _, tt := range tests {
		_, _, err := readAll(tt.data)
		if err == nil || err == io.EOF || !strings.Contains(err.Error(), tt.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: got error %v, want one line with %q", tt.name, err, tt.want)
		}
	}
	if _, _, err := readAll(nil); err != io.EOF {
		t.Errorf("end between frames: got %v, want io.EOF", err)
	}
}

func TestReaderAllocatesByBytesReceivedNotByDeclaredLength(t *testing.T) {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	if _, _, err := readAll([]byte{0, 0, 0, 60, 1, 2, 3}); err == nil {
		t.Fatal("truncated frame: got no error")
	}
	runtime.ReadMemStats(&after)
	if n := after.TotalAlloc - before.TotalAlloc; n > 1<<20 {
		t.Errorf("got %d bytes allocated for three received bytes of a frame, want at most %d", n, 1<<20)
	}
}

func TestWriterEncodesActions(t *testing.T) {
	host := balancer.HostID(0x00232b_074a120a)
	tests := []struct {
		act  balancer.Action
		want string
	}{
		// Action.At is the latest time to send the attempt. The field in the frame is the time at which the attempt is
		// abandoned, which is not used.
		{balancer.Action{Kind: balancer.Send, Request: 0x5d3a91c4, Host: host, At: 8492506 * time.Microsecond},
			"40 16000000 03000000 c4913a5d 0a124a07 2b23 0000000000000000"},
		{balancer.Action{Kind: balancer.Reject, Request: 0x5d3a91c4, RetryAfter: 250 * time.Millisecond},
			"41 0c000000 03000000 c4913a5d 90d00300"},
		{balancer.Action{Kind: balancer.Fail, Request: 0x0e6f2b19}, "42 08000000 03000000 192b6f0e"},
		{balancer.Action{Kind: balancer.Cancel, Request: 0x5d3a91c4, Attempt: 2},
			"43 0a000000 03000000 c4913a5d 0200"},
		{balancer.Action{Kind: balancer.Wake, At: 8911482*time.Microsecond - 1, Token: 77},
			"44 14000000 03000000 7afa870000000000 4d00000000000000"},
		{balancer.Action{Kind: balancer.Log, Text: "hi 7"}, "48 0a000000 03000000 0400 68692037"},
		{balancer.Action{Kind: balancer.Close, Host: 0x232b074a120a}, "46 0a000000 03000000 0a124a07 2b23"},
		{balancer.Action{Kind: balancer.Poll}, "4a 05000000 03000000 01"},
	}
	for _, tt := range tests {
		var out bytes.Buffer
		w := NewWriter(&out)
		w.Action(3, &tt.act)
		if err := w.Flush(); err != nil {
			t.Fatal(err)
		}
		body := unhex(t, tt.want)
		want := binary.LittleEndian.AppendUint32(nil, uint32(len(body)+4))
		want = append(append(want, 1, 0, 0, 0), body...)
		if !bytes.Equal(out.Bytes(), want) {
			t.Errorf("kind %d:\ngot  %x\nwant %x", tt.act.Kind, out.Bytes(), want)
		}
	}
}
