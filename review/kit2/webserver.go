package kit2

import (
	"encoding/binary"
	"errors"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Record types of FastCGI 1.0.
const (
	beginRequest = 1
	endRequest   = 3
	params       = 4
	stdin        = 5
	stdout       = 6
)

// WebServer is one connection of a web server, which sends its clients' requests side by side by FastCGI 1.0, with
// FCGI_KEEP_CONN.
type WebServer struct {
	conn    net.Conn
	writeMu sync.Mutex

	mu     sync.Mutex
	open   map[uint16]*Exchange
	lastID uint16
	err    error
}

// Exchange is a request on the connection of a web server.
type Exchange struct {
	ID      uint16
	Name    string
	Written time.Time // when the last byte of the request was written
	Ended   time.Time // when END_REQUEST came, or the connection ended
	Status  int       // 0: no answer
	Err     error     // why there is no answer
	Done    chan struct{}
	output  []byte
}

// DialFastCGI connects a web server with a gateway.
func DialFastCGI(addr string) (*WebServer, error) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	w := &WebServer{conn: conn, open: map[uint16]*Exchange{}}
	go w.read()
	return w, nil
}

// Close ends the connection.
func (w *WebServer) Close() { w.conn.Close() }

// Failed returns why the connection has ended, or nil.
func (w *WebServer) Failed() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.err
}

// Begin sends the parameters of a request. length is that of the body, which Send and End send.
func (w *WebServer) Begin(name, method, path string, length int) (*Exchange, error) {
	x := &Exchange{Name: name, Done: make(chan struct{})}
	w.mu.Lock()
	for w.lastID++; w.lastID == 0 || w.open[w.lastID] != nil; w.lastID++ {
	}
	x.ID = w.lastID
	err := w.err
	w.open[x.ID] = x
	w.mu.Unlock()
	if err != nil {
		return nil, err
	}
	var p []byte
	for _, pair := range [][2]string{
		{"REQUEST_METHOD", method}, {"REQUEST_URI", path}, {"HTTP_HOST", "a"}, {"HTTP_X_REQUEST_ID", name},
		{"CONTENT_LENGTH", strconv.Itoa(length)}, {"REMOTE_ADDR", "127.0.0.1"},
	} {
		p = append(append(append(p, byte(len(pair[0])), byte(len(pair[1]))), pair[0]...), pair[1]...)
	}
	b := record(nil, beginRequest, x.ID, []byte{0, 1, 1, 0, 0, 0, 0, 0})
	b = record(record(b, params, x.ID, p), params, x.ID, nil)
	return x, w.write(b)
}

// Send sends a part of a request's body.
func (w *WebServer) Send(x *Exchange, part []byte) error {
	return w.write(record(nil, stdin, x.ID, part))
}

// End ends a request's body.
func (w *WebServer) End(x *Exchange) error {
	err := w.write(record(nil, stdin, x.ID, nil))
	if err == nil {
		w.mu.Lock()
		x.Written = time.Now()
		w.mu.Unlock()
	}
	return err
}

// Get sends a whole request without a body.
func (w *WebServer) Get(name, path string) (*Exchange, error) {
	x, err := w.Begin(name, "GET", path, 0)
	if err != nil {
		return nil, err
	}
	return x, w.End(x)
}

// State returns the times and the status of a request.
func (w *WebServer) State(x *Exchange) (written, ended time.Time, status int, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return x.Written, x.Ended, x.Status, x.Err
}

func (w *WebServer) write(b []byte) error {
	w.writeMu.Lock()
	defer w.writeMu.Unlock()
	_, err := w.conn.Write(b)
	return err
}

func record(b []byte, kind byte, id uint16, content []byte) []byte {
	b = append(b, 1, kind)
	b = binary.BigEndian.AppendUint16(b, id)
	b = binary.BigEndian.AppendUint16(b, uint16(len(content)))
	return append(append(b, 0, 0), content...)
}

func (w *WebServer) read() {
	var err error
	for err == nil {
		err = w.readRecord()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.err = err
	for _, x := range w.open {
		x.Ended, x.Err = time.Now(), err
		close(x.Done)
	}
	clear(w.open)
}

func (w *WebServer) readRecord() error {
	var head [8]byte
	if _, err := io.ReadFull(w.conn, head[:]); err != nil {
		return err
	}
	length := binary.BigEndian.Uint16(head[4:])
	content := make([]byte, int(length)+int(head[6]))
	if _, err := io.ReadFull(w.conn, content); err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	id := binary.BigEndian.Uint16(head[2:])
	x := w.open[id]
	if x == nil {
		return nil
	}
	switch head[1] {
	case stdout:
		x.output = append(x.output, content[:length]...)
	case endRequest:
		x.Ended = time.Now()
		if x.Status = status(string(x.output)); x.Status == 0 {
			x.Err = errors.New("END_REQUEST without an answer")
		}
		delete(w.open, id)
		close(x.Done)
	}
	return nil
}

// status returns the status of an answer, 0 if it has no header section.
func status(output string) int {
	head, _, whole := strings.Cut(output, "\r\n\r\n")
	if !whole {
		return 0
	}
	for line := range strings.SplitSeq(head, "\r\n") {
		if value, ok := strings.CutPrefix(line, "Status: "); ok {
			code, _, _ := strings.Cut(value, " ")
			n, _ := strconv.Atoi(code)
			return n
		}
	}
	return 200
}
