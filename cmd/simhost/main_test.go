package main

import (
	"bytes"
	"encoding/binary"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

const settings = `{"balancers": 1, "caps": {"cancel": true}, "step": 1000,
	"classes": [{"effect": "idempotent", "promise": 300000, "hard_limit": 1200000}]}`

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

func hello(inst uint32, env string) []byte {
	return record(0, le32(inst, 1, 0, uint32(len(env))), []byte(env))
}

var addr = []byte{10, 0, 0, 1, 0x28, 0x23}

func members(inst uint32) []byte {
	return record(1, le32(inst), []byte{3}, make([]byte, 8), le32(1),
		make([]byte, 8), []byte{0}, addr, make([]byte, 4), []byte{3}, make([]byte, 4))
}

func request(inst, id uint32) []byte {
	return record(2, le32(inst, id), []byte{0, 0, 0}, le32(0, 1000000), make([]byte, 9))
}

// reply reads one reply and returns the codes of its records with their bodies.
func reply(t *testing.T, r io.Reader) (codes []byte, bodies [][]byte) {
	t.Helper()
	var head [8]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		t.Fatalf("no reply: %v", err)
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
		t.Fatalf("%d bytes behind the reply's records", len(data))
	}
	return codes, bodies
}

// begin runs the adapter on pipes.
func begin(t *testing.T) (in *io.PipeWriter, out *io.PipeReader, done chan error) {
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

func TestServesOverPipes(t *testing.T) {
	in, out, done := begin(t)
	in.Write(batch(1000))
	if codes, _ := reply(t, out); len(codes) != 0 {
		t.Errorf("empty batch answered with %v", codes)
	}
	in.Write(batch(2000, hello(3, settings), members(3), request(3, 77)))
	codes, bodies := reply(t, out)
	i := bytes.IndexByte(codes, 64)
	if i < 0 || !bytes.Equal(bodies[i][:14], append(le32(3, 77), addr...)) {
		t.Fatalf("actions %v %x, want a send of request 77", codes, bodies)
	}
	ended := record(4, le32(3, 77), []byte{0, 0}, addr, []byte{100, 0}, le32(500), []byte{1, 0})
	in.Write(batch(3000, ended, request(9, 78))) // 9 was never started
	if codes, _ := reply(t, out); len(codes) != 0 {
		t.Errorf("actions %v after the end", codes)
	}
	in.Write(batch(4000, record(9, le32(3)), request(3, 79)))
	if codes, _ := reply(t, out); len(codes) != 0 {
		t.Errorf("actions %v of a halted instance", codes)
	}
	in.Close()
	if err := <-done; err != nil {
		t.Errorf("at the end of input: %v", err)
	}
}

func TestBadSettingsCrashOneInstance(t *testing.T) {
	in, out, done := begin(t)
	in.Write(batch(1, hello(1, `{"balancers": 1}`), hello(2, `nonsense`), hello(3, settings), members(3),
		request(1, 5), request(3, 6)))
	codes, bodies := reply(t, out)
	var crashed []string
	sent := false
	for i, c := range codes {
		if c == 73 {
			crashed = append(crashed, string(bodies[i][6:]))
		}
		sent = sent || c == 64 && bodies[i][0] == 3
	}
	if len(crashed) != 2 || !strings.Contains(crashed[0], "there are none") || !sent {
		t.Errorf("crashes %q, instance 3 sent: %v", crashed, sent)
	}
	in.Close()
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// Instances share nothing: two in one process act as each would alone.
func TestInstancesShareNothing(t *testing.T) {
	play := func(insts ...uint32) map[uint32]string {
		in, out, done := begin(t)
		got := map[uint32]string{}
		for step := range uint64(40) {
			var recs [][]byte
			for _, i := range insts {
				if step == 0 {
					recs = append(recs, hello(i, settings), members(i))
				}
				recs = append(recs, request(i, uint32(step)))
			}
			in.Write(batch(1000*(step+1), recs...))
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
	both := play(1, 2)
	for _, i := range []uint32{1, 2} {
		if alone := play(i)[i]; alone != both[i] || alone == "" {
			t.Errorf("instance %d acts differently in company", i)
		}
	}
}

func TestBuiltProgram(t *testing.T) {
	bin := filepath.Join(t.TempDir(), "simhost")
	if out, err := exec.Command("go", "build", "-o", bin, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	good := batch(1, hello(3, settings))
	for _, tt := range []struct {
		name string
		in   []byte
		code int
		want string
	}{
		{"clean end", good, 0, ""},
		{"truncated", good[:len(good)-2], 1, "batch 1: at byte 173: input ends"},
		{"oversized", append(bytes.Clone(good), 255, 255, 255, 255), 1, "batch 2: at byte 175: frame length"},
		{"inconsistent", batch(1, record(6, le32(3))), 1, "at byte 16: record"},
	} {
		cmd := exec.Command(bin)
		var stderr bytes.Buffer
		cmd.Stdin, cmd.Stderr, cmd.Env = bytes.NewReader(tt.in), &stderr, os.Environ()
		timer := time.AfterFunc(time.Minute, func() { cmd.Process.Kill() })
		cmd.Run()
		timer.Stop()
		text := stderr.String()
		if cmd.ProcessState.ExitCode() != tt.code || !strings.Contains(text, tt.want) || strings.Count(text, "\n") > 1 {
			t.Errorf("%s: exit %d, said %q, want %d and %q", tt.name, cmd.ProcessState.ExitCode(), text, tt.code, tt.want)
		}
	}
}
