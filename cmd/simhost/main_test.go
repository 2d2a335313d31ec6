package main

import (
	"bytes"
	"encoding/binary"
	"io"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

const settings = `{"balancers": 1, "caps": {"cancel": true}, "step": 1000,
	"classes": [{"effect": "idempotent", "promise": 300000, "hard_limit": 1200000}]}`

// Codes of records in frames.
const (
	codeStart      = 0
	codeList       = 1
	codeRequest    = 2
	codeAttemptEnd = 4
	codeTimer      = 6
	codeStop       = 9
	codeSend       = 64
	codeCrash      = 73
)

func le32(v ...uint32) (b []byte) {
	for _, x := range v {
		b = binary.LittleEndian.AppendUint32(b, x)
	}
	return b
}

func record(code byte, fields ...[]byte) []byte {
	body := bytes.Join(fields, nil)
	return append(append([]byte{code}, le32(uint32(len(body)))...), body...)
}

func batch(clock uint64, records ...[]byte) []byte {
	b := binary.LittleEndian.AppendUint64(nil, clock)
	b = append(b, le32(uint32(len(records)))...)
	b = append(b, bytes.Join(records, nil)...)
	return append(le32(uint32(len(b))), b...)
}

func startInstance(instance uint32, settings string) []byte {
	return record(codeStart, le32(instance, 1, 0, uint32(len(settings))), []byte(settings))
}

var address = []byte{10, 0, 0, 1, 0x28, 0x23}

func endpointList(instance uint32) []byte {
	return record(codeList, le32(instance), []byte{3}, make([]byte, 8), le32(1),
		make([]byte, 8), []byte{0}, address, make([]byte, 4), []byte{3}, make([]byte, 4))
}

func request(instance, id uint32) []byte {
	return record(codeRequest, le32(instance, id), []byte{0, 0, 0}, le32(0, 1000000), make([]byte, 9))
}

// reply reads one reply and returns the codes of its records with their bodies.
func reply(t *testing.T, r io.Reader) (codes []byte, bodies [][]byte) {
	t.Helper()
	var head [8]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		t.Fatalf("read reply: %v", err)
	}
	data := make([]byte, binary.LittleEndian.Uint32(head[:])-4)
	if _, err := io.ReadFull(r, data); err != nil {
		t.Fatal(err)
	}
	for range binary.LittleEndian.Uint32(head[4:]) {
		n := binary.LittleEndian.Uint32(data[1:])
		codes = append(codes, data[0])
		bodies = append(bodies, data[5:5+n])
		data = data[5+n:]
	}
	if len(data) != 0 {
		t.Fatalf("got %d bytes after the records of the reply, want none", len(data))
	}
	return codes, bodies
}

// startRun calls run in a goroutine, with pipes as its input and output.
func startRun(t *testing.T) (in *io.PipeWriter, out *io.PipeReader, done chan error) {
	inR, inW := io.Pipe()
	outR, outW := io.Pipe()
	done = make(chan error, 1)
	go func() {
		err := run(inR, outW)
		inR.CloseWithError(io.ErrClosedPipe)
		outW.Close()
		done <- err
	}()
	return inW, outR, done
}

func TestRunRepliesToEachBatch(t *testing.T) {
	in, out, done := startRun(t)
	in.Write(batch(1000))
	if codes, _ := reply(t, out); len(codes) != 0 {
		t.Errorf("empty batch: got actions %v, want none", codes)
	}
	in.Write(batch(2000, startInstance(3, settings), endpointList(3), request(3, 77)))
	codes, bodies := reply(t, out)
	i := bytes.IndexByte(codes, codeSend)
	if i < 0 || !bytes.Equal(bodies[i][:14], append(le32(3, 77), address...)) {
		t.Fatalf("got actions %v %x, want a Send of request 77", codes, bodies)
	}
	ended := record(codeAttemptEnd, le32(3, 77), []byte{0, 0}, address, []byte{100, 0}, le32(500), []byte{1, 0})
	in.Write(batch(3000, ended, request(9, 78))) // instance 9 was never started
	if codes, _ := reply(t, out); len(codes) != 0 {
		t.Errorf("after the end of the attempt: got actions %v, want none", codes)
	}
	in.Write(batch(4000, record(codeStop, le32(3)), request(3, 79)))
	if codes, _ := reply(t, out); len(codes) != 0 {
		t.Errorf("stopped instance: got actions %v, want none", codes)
	}
	in.Close()
	if err := <-done; err != nil {
		t.Errorf("end of input: got error %v, want none", err)
	}
}

func TestInvalidSettingsCrashOnlyTheirInstance(t *testing.T) {
	in, out, done := startRun(t)
	in.Write(batch(1, startInstance(1, `{"balancers": 1}`), startInstance(2, `nonsense`), startInstance(3, settings), endpointList(3),
		request(1, 5), request(3, 6)))
	codes, bodies := reply(t, out)
	var crashed []string
	sent := false
	for i, c := range codes {
		if c == codeCrash {
			crashed = append(crashed, string(bodies[i][6:]))
		}
		sent = sent || c == codeSend && bodies[i][0] == 3
	}
	if len(crashed) != 2 || !strings.Contains(crashed[0], "there are none") || !sent {
		t.Errorf("got crashes %q, instance 3 sent: %v; want two crashes, the first for a missing list of classes, and a Send of instance 3", crashed, sent)
	}
	in.Close()
	if err := <-done; err != nil {
		t.Error(err)
	}
}

func TestInstancesDoNotAffectEachOther(t *testing.T) {
	actionsOf := func(instances ...uint32) map[uint32]string {
		in, out, done := startRun(t)
		got := map[uint32]string{}
		for step := range uint64(40) {
			var records [][]byte
			for _, i := range instances {
				if step == 0 {
					records = append(records, startInstance(i, settings), endpointList(i))
				}
				records = append(records, request(i, uint32(step)))
			}
			in.Write(batch(1000*(step+1), records...))
			_, bodies := reply(t, out)
			for _, b := range bodies {
				i := binary.LittleEndian.Uint32(b)
				got[i] += string(b)
			}
		}
		in.Close()
		<-done
		return got
	}
	both := actionsOf(1, 2)
	for _, i := range []uint32{1, 2} {
		if alone := actionsOf(i)[i]; alone != both[i] || alone == "" {
			t.Errorf("instance %d with another instance: got actions %x, want %x as without it", i, both[i], alone)
		}
	}
}

func TestProgramExitStatus(t *testing.T) {
	bin := filepath.Join(t.TempDir(), "simhost")
	if out, err := exec.Command("go", "build", "-o", bin, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	good := batch(1, startInstance(3, settings))
	for _, tt := range []struct {
		name   string
		in     []byte
		status int
		want   string
	}{
		{"complete", good, 0, ""},
		{"truncated", good[:len(good)-2], 1, "batch 1: at byte 173: input ends"},
		{"oversized", append(bytes.Clone(good), 255, 255, 255, 255), 1, "batch 2: at byte 175: frame length"},
		{"inconsistent", batch(1, record(codeTimer, le32(3))), 1, "at byte 16: record"},
	} {
		cmd := exec.Command(bin)
		var stderr bytes.Buffer
		cmd.Stdin = bytes.NewReader(tt.in)
		cmd.Stderr = &stderr
		timer := time.AfterFunc(time.Minute, func() { cmd.Process.Kill() })
		cmd.Run()
		timer.Stop()
		text := stderr.String()
		status := cmd.ProcessState.ExitCode()
		if status != tt.status || !strings.Contains(text, tt.want) || strings.Count(text, "\n") > 1 {
			t.Errorf("%s: got exit status %d and %q on standard error, want %d and one line with %q", tt.name, status, text, tt.status, tt.want)
		}
	}
}
