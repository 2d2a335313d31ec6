package fastcgi

import (
	"bytes"
	"fmt"
)

// callLog implements ServerHandler and ClientHandler. It records the calls as lines of text.
type callLog struct {
	lines  []string
	bodies map[uint16][]byte
}

func newCallLog() *callLog { return &callLog{bodies: map[uint16][]byte{}} }

func (l *callLog) add(format string, args ...any) {
	l.lines = append(l.lines, fmt.Sprintf(format, args...))
}

func (l *callLog) Request(id uint16, params []byte, keepConn bool, err error) {
	l.add("request %d %q keep=%t %v", id, params, keepConn, err)
}

func (l *callLog) Body(id uint16, part []byte, end bool) {
	l.bodies[id] = append(l.bodies[id], part...)
	if end {
		l.add("body %d %q", id, l.bodies[id])
	}
}

func (l *callLog) Abort(id uint16) { l.add("abort %d", id) }

func (l *callLog) Reply(record []byte) { l.add("reply % x", record) }

func (l *callLog) Stdout(id uint16, part []byte) { l.bodies[id] = append(l.bodies[id], part...) }

func (l *callLog) Stderr(uint16, []byte) {}

func (l *callLog) EndRequest(id uint16, body EndRequestBody) {
	l.add("end %d %q %v", id, l.bodies[id], body)
}

func (l *callLog) Values(values Values) { l.add("values %+v", values) }

func (l *callLog) UnsolicitedRecord() { l.add("unsolicited") }

// requestRecords returns the records of a complete request.
func requestRecords(id uint16, flags uint8, params, body string) []byte {
	b := AppendBeginRequest(nil, id, BeginRequestBody{Role: Responder, Flags: flags})
	b = AppendStream(b, Params, id, []byte(params))
	b = AppendStreamEnd(b, Params, id)
	b = AppendStream(b, Stdin, id, []byte(body))
	return AppendStreamEnd(b, Stdin, id)
}

// padded returns a record with padding. This package itself writes only records without padding.
func padded(t Type, id uint16, content string, paddingBytes int) []byte {
	b := AppendHeader(nil, Header{Type: t, ID: id, ContentBytes: len(content), PaddingBytes: paddingBytes})
	b = append(b, content...)
	return append(b, make([]byte, paddingBytes)...)
}

func join(parts ...[]byte) []byte { return bytes.Join(parts, nil) }
