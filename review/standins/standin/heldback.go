package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"sync"
	"time"

	"dunemoor-review/kit"
)

const (
	heldChunk  = 64 << 10  // size of a chunk of the answer
	heldTotal  = 256 << 10 // size of the answer
	heldFirst  = 128 << 10 // what the host gives at once
	heldPiece  = 8000      // size of each of the pieces that follow
	heldPieces = 5
	heldPause  = 3 * time.Second // between two pieces
	heldLimit  = 2 * time.Second // the rule
)

// written is a point of an answer: the bytes of its body that the host had given at a time.
type written struct {
	bytes int
	at    time.Time
}

// heldHost is a host whose answers are long and chunked, and which takes seconds to write them, in pieces.
type heldHost struct {
	mu     sync.Mutex
	points map[string][]written // by request id
}

func (h *heldHost) serve(ln net.Listener, record *kit.Record, pause time.Duration) {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			in := bufio.NewReader(conn)
			for {
				r, err := http.ReadRequest(in)
				if err != nil {
					return
				}
				h.answer(conn, r.Header.Get("X-Request-ID"), record, pause)
			}
		}()
	}
}

// answer writes a whole answer, in pieces.
func (h *heldHost) answer(conn net.Conn, id string, record *kit.Record, pause time.Duration) {
	content := bytes.Repeat([]byte(id), heldTotal/len(id))
	var encoded bytes.Buffer
	ends := []int{} // ends of the pieces in the body
	w := httputil.NewChunkedWriter(&encoded)
	for i := 0; i < len(content); i += heldChunk {
		w.Write(content[i:min(len(content), i+heldChunk)])
	}
	w.Close()
	encoded.WriteString("\r\n")
	io.WriteString(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
	overhead := len(fmt.Sprintf("%x\r\n\r\n", heldChunk))
	rest, sent := encoded.Bytes(), 0
	for i := range heldPieces + 2 {
		n := heldPiece
		switch i {
		case 0:
			n = heldFirst + 3*overhead - len("\r\n")
		case heldPieces + 1:
			n = len(rest)
		default:
			time.Sleep(pause)
		}
		conn.Write(rest[:n])
		rest = rest[n:]
		sent += n
		inBody := sent - 3*overhead + len("\r\n")
		if len(rest) == 0 {
			inBody = len(content)
		}
		ends = append(ends, inBody)
		h.mu.Lock()
		h.points[id] = append(h.points[id], written{inBody, time.Now()})
		h.mu.Unlock()
		record.Logf("host: %d bytes of the answer to %s are written", ends[i], id)
	}
}

func init() { cases["heldback"] = heldBackCase }

// heldBackCase: a host takes seconds to write a long answer, in pieces.
func heldBackCase(e *kit.Env) (int, error) {
	pause := heldPause
	if !e.Trouble {
		pause = 0
	}
	h := &heldHost{points: map[string][]written{}}
	var addrs []string
	for range 3 {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return 0, err
		}
		addrs = append(addrs, ln.Addr().String())
		go h.serve(ln, e.Record, pause)
	}
	d, err := kit.StartDiscovery(e.Record, "discovery", kit.Members(addrs, 3))
	if err != nil {
		return 0, err
	}
	g, err := e.StartGateway("n1", kit.Config("n1", kit.FreeAddress(), d.Addr, d.Known(), kit.Settings("automatic")))
	if err != nil {
		return 0, err
	}
	defer g.Stop()
	conn, err := net.Dial("tcp", g.Addr)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	q := &kit.Request{ID: kit.NewID(), Class: "lookup", Timeout: 3 * time.Second}
	conn.Write(q.Encode())
	e.Record.Logf("client: %s is written", q.ID)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	e.Record.Logf("client: status %d", resp.StatusCode)
	received, err := readPoints(resp.Body)
	e.Record.Logf("client: %d bytes received, error %v", received[len(received)-1].bytes, err)
	return h.judge(e, q.ID, received), nil
}

// readPoints reads a body to its end and returns when which part of it had arrived.
func readPoints(body io.Reader) (points []written, err error) {
	buf := make([]byte, 64<<10)
	total := 0
	for {
		n, err := body.Read(buf)
		total += n
		points = append(points, written{total, time.Now()})
		if err != nil {
			return points, err
		}
	}
}

// judge compares when the host had written a part of the answer with when the client had it.
func (h *heldHost) judge(e *kit.Env, id string, received []written) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	worst := time.Duration(0)
	for _, p := range h.points[id] {
		for _, got := range received {
			if got.bytes < p.bytes {
				continue
			}
			lag := got.at.Sub(p.at)
			e.Record.LogAt(got.at, "client: has the first %d bytes, %.3f s after the host gave them", p.bytes, lag.Seconds())
			worst = max(worst, lag)
			break
		}
	}
	return e.Record.Verdict(worst >= heldLimit, "a part of the answer was held back for %.3f s", worst.Seconds())
}
