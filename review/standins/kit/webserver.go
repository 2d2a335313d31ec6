package kit

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strconv"
	"time"
)

// Types of FastCGI records (FastCGI 1.0, 8).
const (
	fcgiBegin  = 1
	fcgiEnd    = 3
	fcgiParams = 4
	fcgiStdin  = 5
	fcgiStdout = 6
)

// maxRecord is the length of the content of the longest record that the web server sends.
const maxRecord = 32 << 10

// fcgiRecord returns a record of request 1.
func fcgiRecord(kind byte, content []byte) []byte {
	header := []byte{1, kind, 0, 1, byte(len(content) >> 8), byte(len(content)), 0, 0}
	return append(header, content...)
}

// fcgiParam appends a name with its value (FastCGI 1.0, 3.4).
func fcgiParam(b []byte, name, value string) []byte {
	for _, n := range []int{len(name), len(value)} {
		if n < 128 {
			b = append(b, byte(n))
		} else {
			b = binary.BigEndian.AppendUint32(b, uint32(n)|1<<31)
		}
	}
	return append(append(b, name...), value...)
}

// params returns the parameters of a request: the headers of the protocol as a web server passes them on.
func (q *Request) params(path string) []byte {
	var b []byte
	for _, p := range [][2]string{
		{"REQUEST_METHOD", "POST"}, {"REQUEST_URI", path}, {"SERVER_PROTOCOL", "HTTP/1.1"}, {"HTTP_HOST", "service.internal"},
		{"HTTP_X_REQUEST_ID", q.ID}, {"HTTP_X_PRIORITY_CLASS", q.Class}, {"HTTP_X_TIMEOUT", fmt.Sprintf("%.3f", q.Timeout.Seconds())},
		{"CONTENT_LENGTH", strconv.Itoa(len(q.Body))},
	} {
		b = fcgiParam(b, p[0], p[1])
	}
	return b
}

// SendFastCGI sends a POST as a web server does, on a connection of its own: parameters, the body in records of STDIN, and
// after a pause the record that ends STDIN. The answer is waited for up to a time after that record.
func SendFastCGI(addr, path string, q *Request, pause, wait time.Duration) (o Outcome) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return Outcome{Err: err}
	}
	defer conn.Close()
	out := fcgiRecord(fcgiBegin, []byte{0, 1, 0, 0, 0, 0, 0, 0}) // a responder; the connection ends with the request
	out = append(out, fcgiRecord(fcgiParams, q.params(path))...)
	out = append(out, fcgiRecord(fcgiParams, nil)...)
	for b := q.Body; len(b) > 0; {
		n := min(len(b), maxRecord)
		out = append(out, fcgiRecord(fcgiStdin, b[:n])...)
		b = b[n:]
	}
	conn.SetDeadline(time.Now().Add(pause + wait))
	if _, o.Err = conn.Write(out); o.Err != nil {
		return o
	}
	time.Sleep(pause)
	if _, o.Err = conn.Write(fcgiRecord(fcgiStdin, nil)); o.Err != nil {
		return o
	}
	o.Sent = time.Now()
	var stdout []byte
	if stdout, o.Err = readFastCGI(conn); o.Err != nil {
		return o
	}
	head, body, _ := bytes.Cut(stdout, []byte("\r\n\r\n"))
	fmt.Sscanf(string(head), "Status: %d", &o.Status)
	o.At, o.Body = time.Now(), string(body)
	return o
}

// readFastCGI reads records up to END_REQUEST and returns the content of STDOUT.
func readFastCGI(r io.Reader) (stdout []byte, err error) {
	header := make([]byte, 8)
	for {
		if _, err := io.ReadFull(r, header); err != nil {
			return nil, err
		}
		length := int(binary.BigEndian.Uint16(header[4:]))
		content := make([]byte, length+int(header[6]))
		if _, err := io.ReadFull(r, content); err != nil {
			return nil, err
		}
		switch header[1] {
		case fcgiStdout:
			stdout = append(stdout, content[:length]...)
		case fcgiEnd:
			return stdout, nil
		}
	}
}
