package flightrecorder

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"strings"
	"testing"
)

// If a recording is truncated at any byte of its last block, only that block is lost.
func TestTruncatedRecordingLosesItsLastBlock(t *testing.T) {
	s := randomTraffic(1, 1200)
	var out bufferSink
	record(t, s, 1, Options{Sink: &out})
	data := out.Bytes()
	starts := blockOffsets(t, data)
	if len(starts) < 4 {
		t.Fatalf("got %d blocks, want at least 4", len(starts))
	}
	complete := replayed(t, data[:starts[len(starts)-1]])
	for cut := starts[len(starts)-1] + 1; cut < len(data); cut += 1 + (len(data)-cut)/50 {
		rep := replayed(t, data[:cut])
		if rep.Divergence != nil || rep.Events != complete.Events || len(rep.Losses) != 1 {
			t.Fatalf("truncated at %d of %d: got %d events, want %d; got losses %q, divergence %v, want one loss and no divergence",
				cut, len(data), rep.Events, complete.Events, rep.Losses, rep.Divergence)
		}
	}
}

// Damage to a recording is reported and affects only the damaged blocks; the replay continues from the next checkpoint.
func TestReplayContinuesAfterDamage(t *testing.T) {
	s := randomTraffic(2, 9000)
	var out bufferSink
	record(t, s, 2, Options{RingBytes: 3 * minRingBytes, Sink: &out})
	data := out.Bytes()
	starts := blockOffsets(t, data)
	// The damaged block is one without a checkpoint in the next two, which would hide the loss.
	hasRecords := func(block int) bool { return data[starts[block]+5] == blockRecords }
	k := len(starts) / 3
	for !(hasRecords(k) && hasRecords(k+1) && hasRecords(k+2)) {
		k++
	}
	for _, c := range []struct {
		name string
		loss string
		data []byte
	}{
		{"flipped bit", "torn", flipped(data, starts[k]+headerSize+50)},
		{"damaged header", "no part of a recording", flipped(data, starts[k]+9)},
		{"missing block", "follows block", append(append([]byte{}, data[:starts[k]]...), data[starts[k+1]:]...)},
		{"zeroes", "torn", zeroed(data, starts[k]+100, starts[k+1]+100)},
	} {
		rep := replayed(t, c.data)
		if rep.Divergence != nil {
			t.Errorf("%s: got divergence %v, want none", c.name, rep.Divergence)
		}
		if !strings.Contains(strings.Join(rep.Losses, "; "), c.loss) {
			t.Errorf("%s: got losses %q, want one with %q", c.name, rep.Losses, c.loss)
		}
		if rep.SkippedEvents == 0 || rep.SkippedEvents > rep.Events {
			t.Errorf("%s: got %d events replayed and %d skipped, want some skipped, at most as many as replayed", c.name, rep.Events, rep.SkippedEvents)
		}
	}
	// Nothing is lost if there are log lines between the blocks, for example because both are written to one stream.
	var mixed []byte
	for i, at := range starts {
		end := len(data)
		if i+1 < len(starts) {
			end = starts[i+1]
		}
		mixed = append(mixed, data[at:end]...)
		mixed = append(mixed, fmt.Sprintf("time=%d level=INFO msg=\"host is back\"\n", i)...)
	}
	rep := replayed(t, mixed)
	if rep.Divergence != nil || rep.Events != replayed(t, data).Events {
		t.Errorf("log lines between blocks: got %d events, divergence %v; want all events and no divergence", rep.Events, rep.Divergence)
	}
}

// flipped returns a copy of data with one bit of the byte at an offset flipped.
func flipped(data []byte, at int) []byte {
	data = bytes.Clone(data)
	data[at] ^= 4
	return data
}

// zeroed returns a copy of data with some bytes set to zero.
func zeroed(data []byte, from, to int) []byte {
	data = bytes.Clone(data)
	clear(data[from:to])
	return data
}

// Replay returns an error for a recording of another version and for a stream without a block.
func TestReaderRejectsOtherVersionsAndOtherFiles(t *testing.T) {
	var out bufferSink
	record(t, randomTraffic(1, 100), 1, Options{Sink: &out})
	data := out.Bytes()
	h := header{}
	h.decode(data)
	payload := data[headerSize:firstBlockSize(t, data)]
	h.encode(data, payload)
	data[4] = Version + 1
	fixHeaderSum(data)
	_, err := Replay(NewReader(bytes.NewReader(data)), nil, nil)
	var version *VersionError
	if !errors.As(err, &version) || version.Found != Version+1 {
		t.Errorf("other version: got error %v, want a VersionError of %d", err, Version+1)
	}
	for _, text := range []string{"", "x", strings.Repeat("no recording ", 20000)} {
		if _, err := Replay(NewReader(strings.NewReader(text)), nil, nil); err != ErrNoRecording {
			t.Errorf("%d bytes of text: got error %v, want ErrNoRecording", len(text), err)
		}
	}
}

// repeatingReader is a stream that repeats data up to a total size.
type repeatingReader struct {
	data      []byte
	remaining int64 // number of bytes still to be read
	position  int   // index in data of the next byte
}

func (r *repeatingReader) Read(b []byte) (int, error) {
	if r.remaining <= 0 {
		return 0, io.EOF
	}
	n := copy(b, r.data[r.position:])
	r.position = (r.position + n) % len(r.data)
	r.remaining -= int64(n)
	return n, nil
}

// Reading a recording of 1 GB takes no more memory than a small one. The test reads only the blocks, because reading
// all events would take a minute.
func TestReaderMemoryDoesNotGrowWithTheRecording(t *testing.T) {
	if testing.Short() {
		t.Skip("reads 1 GB")
	}
	var out bufferSink
	record(t, randomTraffic(1, 1200), 1, Options{Sink: &out})
	data := out.Bytes()
	r := NewReader(&repeatingReader{data: data, remaining: 1 << 30})
	n := 0
	for {
		if err := r.nextBlock(); err == io.EOF {
			break
		} else if err != nil {
			t.Fatal(err)
		}
		r.pending = r.pending[:0]
		r.records.data = nil
		n++
	}
	if want := (1 << 30) / len(data) * len(blockOffsets(t, data)); n < want {
		t.Errorf("got %d blocks, want at least %d", n, want)
	}
	if cap(r.payload) > 1<<20 {
		t.Errorf("got a buffer of %d bytes, want at most %d", cap(r.payload), 1<<20)
	}
}

// fixHeaderSum sets the checksum of the header.
func fixHeaderSum(b []byte) {
	binary.LittleEndian.PutUint32(b[36:], crc32.Checksum(b[:summedHeaderSize], castagnoli))
}

// FuzzReader checks that a replay of any bytes ends without a panic.
func FuzzReader(f *testing.F) {
	var out bufferSink
	record(f, randomTraffic(1, 40), 1, Options{Sink: &out, ViewInterval: 10 * ms})
	f.Add(out.Bytes())
	f.Add([]byte(magic))
	f.Fuzz(func(t *testing.T, data []byte) {
		// The checksums are corrected, so that the code behind their checks is reached.
		fixed := bytes.Clone(data)
		for n := 0; n+headerSize <= len(fixed); n++ {
			if string(fixed[n:n+4]) != magic {
				continue
			}
			length := int(fixed[n+20]) | int(fixed[n+21])<<8
			if end := n + headerSize + length; end <= len(fixed) {
				fixed[n+22], fixed[n+23] = 0, 0
				binary.LittleEndian.PutUint32(fixed[n+32:], crc32.Checksum(fixed[n+headerSize:end], castagnoli))
				fixHeaderSum(fixed[n:])
			}
		}
		for _, b := range [][]byte{data, fixed} {
			Replay(NewReader(bytes.NewReader(b)), nil, nil)
		}
	})
}
