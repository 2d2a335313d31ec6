package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// bodyFraming is how the end of a body is marked.
type bodyFraming string

// Framings of bodies. A request can't be ended by the end of its connection.
const (
	framedByLength bodyFraming = "length"
	framedByChunks bodyFraming = "chunked"
	framedByClose  bodyFraming = "close"
)

// header returns the header field that announces the framing of a body.
func (f bodyFraming) header(length int) string {
	switch f {
	case framedByLength:
		return fmt.Sprintf("Content-Length: %d\r\n", length)
	case framedByChunks:
		return "Transfer-Encoding: chunked\r\n"
	default:
		return "Connection: close\r\n"
	}
}

// encode returns a body in its framing, with chunks of the given size.
func (f bodyFraming) encode(content []byte, chunkBytes int) []byte {
	if f != framedByChunks {
		return content
	}
	var b bytes.Buffer
	for rest := content; len(rest) > 0; rest = rest[min(chunkBytes, len(rest)):] {
		part := rest[:min(chunkBytes, len(rest))]
		fmt.Fprintf(&b, "%x\r\n%s\r\n", len(part), part)
	}
	b.WriteString("0\r\n\r\n")
	return b.Bytes()
}

// testClass is a class of requests of a platform configuration.
type testClass struct {
	name    string
	effect  string
	method  string
	timeout time.Duration
}

// testClasses are a class of each effect, with the timeouts of a deployment with short deadlines.
var testClasses = []testClass{
	{"lookup", "idempotent", http.MethodGet, 1500 * time.Millisecond},
	{"book", "at_most_once", http.MethodPost, 600 * time.Millisecond},
	{"report", "deduplicated", http.MethodPost, 1500 * time.Millisecond},
}

// configWithClasses returns a platform configuration with testClasses, whose saved endpoint list has the given hosts.
func configWithClasses(hosts ...string) string {
	var config map[string]any
	json.Unmarshal([]byte(platformConfig(hosts...)), &config)
	var list []map[string]any
	for _, c := range testClasses {
		list = append(list, map[string]any{
			"name": c.name, "effect": c.effect, "group": "all", "window": 2_500_000,
			"hard_limit": c.timeout.Microseconds(), "promise": c.timeout.Microseconds(),
		})
	}
	config["settings"].(map[string]any)["classes"] = list
	text, _ := json.Marshal(config)
	return string(text)
}

// requestHeader returns the request line and header section of a request of a class, without the field for its framing and
// the empty line.
func (c testClass) requestHeader(id string) string {
	header := fmt.Sprintf("%s /api/1 HTTP/1.1\r\nHost: a\r\nX-Request-ID: %s\r\nX-Priority-Class: %s\r\nX-Timeout: %.3f\r\n",
		c.method, id, c.name, c.timeout.Seconds())
	if c.effect == "deduplicated" {
		header += "Idempotency-Key: key-" + id + "\r\n"
	}
	return header
}

// startScriptedHost starts a host that runs a function for each connection, whose receive buffer is small.
func startScriptedHost(t testing.TB, serve func(net.Conn)) (addr string) {
	t.Helper()
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) (err error) {
		controlErr := raw.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 16<<10)
		})
		return errors.Join(controlErr, err)
	}}
	listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				serve(c)
			}()
		}
	}()
	return listener.Addr().String()
}

// A long response that its host writes in parts, with pauses between and within its chunks, reaches the client whole, and by
// one attempt. Its first bytes come in time; the last may come after the timeout of the request.
func TestResponseInPartsIsNotCutOff(t *testing.T) {
	const length = 145137
	const parts = 5
	const pause = 320 * time.Millisecond
	content := bytes.Repeat([]byte("0123456789abcdef"), length/16+1)[:length]
	for _, framing := range []bodyFraming{framedByLength, framedByChunks, framedByClose} {
		for _, class := range testClasses {
			t.Run(fmt.Sprintf("%s %s", framing, class.name), func(t *testing.T) {
				t.Parallel()
				var attempts atomic.Int64
				addr := startScriptedHost(t, func(c net.Conn) {
					if _, err := readRequest(c); err != nil {
						return
					}
					attempts.Add(1)
					io.WriteString(c, "HTTP/1.1 200 OK\r\n"+framing.header(length)+"\r\n")
					encoded := framing.encode(content, 1000)
					size := len(encoded)/parts + 1
					for rest := encoded; len(rest) > 0; rest = rest[min(size, len(rest)):] {
						if _, err := c.Write(rest[:min(size, len(rest))]); err != nil {
							return
						}
						time.Sleep(pause)
					}
				})
				p := start(t, configWithClasses(addr, addr), freeAddress(t))
				p.waitReady(t)
				status, body, err := sendShortRequest(p.address(), class)
				if status != 200 || err != nil || !bytes.Equal(body, content) || attempts.Load() != 1 {
					t.Errorf("got status %d, %d bytes, error %v, %d attempts, want 200, %d bytes by 1 attempt", status, len(body), err, attempts.Load(), length)
				}
			})
		}
	}
}

// readRequest reads a request with its body from a connection of its own.
func readRequest(c net.Conn) (*http.Request, error) {
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return nil, err
	}
	_, err = io.Copy(io.Discard, r.Body)
	return r, err
}

// sendShortRequest sends a request with a body of at most a byte on a connection of its own.
func sendShortRequest(address string, class testClass) (status int, body []byte, err error) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return 0, nil, err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(waitTimeout))
	request := class.requestHeader(fmt.Sprintf("short-%d", lastID.Add(1))) + "\r\n"
	if class.method == http.MethodPost {
		request = strings.TrimSuffix(request, "\r\n") + "Content-Length: 1\r\n\r\nx"
	}
	io.WriteString(c, request)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, nil, err
	}
	body, err = io.ReadAll(response.Body)
	return response.StatusCode, body, err
}
