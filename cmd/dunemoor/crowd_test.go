package main

import (
	"fmt"
	"io"
	"math"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	// crowdClients is how many clients are connected at once, nearly as many as the limit of descriptors allows.
	crowdClients = 450
	// crowdMemoryMiB is the memory limit of the gateway under test.
	crowdMemoryMiB = 64
	// crowdTime is how long the clients of a crowd stay.
	crowdTime = 2 * time.Second
)

// buildProgram builds the program without the race detector, which needs several times the memory.
func buildProgram(t testing.TB) (path string) {
	t.Helper()
	path = filepath.Join(t.TempDir(), "dunemoor")
	if out, err := exec.Command("go", "build", "-o", path, ".").CombinedOutput(); err != nil {
		t.Fatalf("build: %v: %s", err, out)
	}
	return path
}

// startBuilt runs a program that buildProgram has built, and waits until it is ready.
func startBuilt(t testing.TB, path, config string) *program {
	t.Helper()
	file := filepath.Join(t.TempDir(), "config.json")
	writeFile(t, file, config)
	p := newProgram(file, freeAddress(t))
	p.Path, p.Args[0] = path, path
	p.url = "http://" + strings.TrimPrefix(p.Env[len(p.Env)-1], "GW_LISTEN=")
	p.run(t)
	p.waitReady(t)
	return p
}

// memoryMiB returns the anonymous memory of a process, or 0 after its end.
func memoryMiB(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, rest, found := strings.Cut(string(text), "RssAnon:")
	if !found {
		return 0
	}
	kib, _ := strconv.Atoi(strings.Fields(rest)[0])
	return kib >> 10
}

// dialWithSmallBuffer opens a connection whose receive buffer is small, so that a slow reader soon blocks its writer.
func dialWithSmallBuffer(address string) (net.Conn, error) {
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) (err error) {
		controlErr := raw.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 8<<10)
		})
		if controlErr != nil {
			return controlErr
		}
		return err
	}}
	return dialer.Dial("tcp", address)
}

// manyFields returns a header section of a size that has as many fields as possible, with different names.
func manyFields(bytes int) string { return fields(bytes, math.MaxInt) }

// fields returns a header section of a size with at most the given number of fields, with different names.
func fields(bytes, most int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789"
	var b strings.Builder
	for i := 0; b.Len() < bytes && i < most; i++ {
		b.WriteByte(letters[i%len(letters)])
		b.WriteByte(letters[i/len(letters)%len(letters)])
		if i >= len(letters)*len(letters) {
			b.WriteByte(letters[i/len(letters)/len(letters)%len(letters)])
		}
		b.WriteString(":\r\n")
	}
	return b.String()
}

// crowdBehaviour is what each client of a crowd does on its connection until it is closed.
type crowdBehaviour func(c net.Conn, id string)

// repeatSlowly writes a text every 50 ms until the connection is closed.
func repeatSlowly(c net.Conn, text string) {
	for {
		if _, err := io.WriteString(c, text); err != nil {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// crowds are the behaviours that a crowd may have.
var crowds = map[string]crowdBehaviour{
	"slow writers": func(c net.Conn, id string) {
		io.WriteString(c, testClasses[2].requestHeader(id)+framedByLength.header(8<<20)+"\r\n")
		repeatSlowly(c, strings.Repeat("x", 4<<10))
	},
	"slow writers of small chunks": func(c net.Conn, id string) {
		io.WriteString(c, testClasses[2].requestHeader(id)+framedByChunks.header(0)+"\r\n")
		repeatSlowly(c, strings.Repeat("1\r\nx\r\n", 700))
	},
	"half requests": func(c net.Conn, id string) {
		io.WriteString(c, testClasses[2].requestHeader(id)+framedByLength.header(8<<20)+"\r\n"+strings.Repeat("x", 300<<10))
		io.Copy(io.Discard, c)
	},
	"many fields": func(c net.Conn, id string) {
		header := testClasses[2].requestHeader(id)
		const maxHeaderBytes = 12 << 10
		io.WriteString(c, header+manyFields(maxHeaderBytes-len(header)-100)+framedByLength.header(8<<20)+"\r\n")
		repeatSlowly(c, strings.Repeat("x", 4<<10))
	},
	"as many fields as allowed": func(c net.Conn, id string) {
		io.WriteString(c, testClasses[2].requestHeader(id)+fields(10<<10, 90)+framedByLength.header(8<<20)+"\r\n")
		repeatSlowly(c, strings.Repeat("x", 4<<10))
	},
	"many fields, half": func(c net.Conn, id string) {
		header := testClasses[2].requestHeader(id)
		repeatSlowly(c, header+manyFields(11<<10))
	},
	"slow readers, length":                      readLongResponse("length"),
	"slow readers, chunked":                     readLongResponse("chunked"),
	"slow readers, close":                       readLongResponse("close"),
	"slow readers, many fields in the response": readLongResponse("fields"),
	"slow readers of short responses":           readLongResponse("short"),
}

// readLongResponse returns a behaviour that asks for a long response and reads it slowly.
func readLongResponse(kind string) crowdBehaviour {
	return func(c net.Conn, id string) {
		header := strings.Replace(testClasses[0].requestHeader(id), "/api/1", "/api/"+kind, 1)
		io.WriteString(c, header+"\r\n")
		io.Copy(io.Discard, slowReader{c, 32 << 10})
	}
}

// startCrowdHost starts a host that responds to GET requests with long bodies, and reads the bodies of others.
func startCrowdHost(t testing.TB) (addr string) {
	content := make([]byte, 8<<20)
	return startScriptedHost(t, func(c net.Conn) {
		request, err := readRequest(c)
		if err != nil {
			return
		}
		switch kind := strings.TrimPrefix(request.URL.Path, "/api/"); kind {
		case "1":
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood")
		case "fields":
			io.WriteString(c, "HTTP/1.1 200 OK\r\n"+manyFields(15<<10)+framedByLength.header(len(content))+"\r\n")
			c.Write(content)
		case "short":
			io.WriteString(c, "HTTP/1.1 200 OK\r\n"+framedByLength.header(60<<10)+"\r\n")
			c.Write(content[:60<<10])
		default:
			framing := bodyFraming(kind)
			io.WriteString(c, "HTTP/1.1 200 OK\r\n"+framing.header(len(content))+"\r\n")
			c.Write(framing.encode(content, 1<<10))
		}
	})
}

// The gateway stays within its memory limit while hundreds of clients at once write slowly, stop within a long request,
// send header sections with as many fields as fit, or read long responses slowly.
func TestCrowdStaysWithinMemoryLimit(t *testing.T) {
	path := buildProgram(t)
	for name, behaviour := range crowds {
		t.Run(name, func(t *testing.T) {
			config := strings.Replace(configWithClasses(startCrowdHost(t), startCrowdHost(t)), `"memory_mb":192`, fmt.Sprintf(`"memory_mb":%d`, crowdMemoryMiB), 1)
			p := startBuilt(t, path, config)
			most := runCrowd(t, p, behaviour)
			t.Logf("%d MiB at most", most)
			if most > crowdMemoryMiB {
				t.Errorf("got %d MiB, want at most %d", most, crowdMemoryMiB)
			}
			if status, _, err := sendShortRequest(p.address(), testClasses[2]); err != nil {
				t.Errorf("after the crowd: got status %d, error %v, want a response", status, err)
			}
		})
	}
}

// runCrowd connects crowdClients clients for crowdTime, and returns the most memory of the gateway in MiB meanwhile.
func runCrowd(t testing.TB, p *program, behaviour crowdBehaviour) (most int) {
	t.Helper()
	var clients sync.WaitGroup
	var conns []net.Conn
	for range crowdClients {
		c, err := dialWithSmallBuffer(p.address())
		if err != nil {
			t.Fatal(err)
		}
		conns = append(conns, c)
		clients.Go(func() {
			behaviour(c, fmt.Sprintf("crowd-%d", lastID.Add(1)))
			c.Close()
		})
	}
	for end := time.Now().Add(crowdTime); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		most = max(most, memoryMiB(p.Process.Pid))
	}
	for _, c := range conns {
		c.Close()
	}
	clients.Wait()
	return most
}
