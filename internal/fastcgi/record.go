// Package fastcgi is the record layer of FastCGI 1.0 (the specification of 29 April 1996, by
// section): records, name-value pairs and the bodies that have a form. It does no I/O and
// allocates nothing per record; what it is given may come in pieces of any size.
package fastcgi

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// Version is the one version there is (8, FCGI_VERSION_1).
const Version = 1

// Type of a record (8).
type Type uint8

// Types.
const (
	BeginRequest    Type = 1
	AbortRequest    Type = 2
	EndRequest      Type = 3
	Params          Type = 4
	Stdin           Type = 5
	Stdout          Type = 6
	Stderr          Type = 7
	Data            Type = 8
	GetValues       Type = 9
	GetValuesResult Type = 10
	UnknownType     Type = 11
)

var typeNames = [...]string{"0", "BEGIN_REQUEST", "ABORT_REQUEST", "END_REQUEST", "PARAMS", "STDIN", "STDOUT", "STDERR",
	"DATA", "GET_VALUES", "GET_VALUES_RESULT", "UNKNOWN_TYPE"}

// String names the type as the specification does.
func (t Type) String() string {
	if int(t) < len(typeNames) {
		return typeNames[t]
	}
	return fmt.Sprintf("type %d", uint8(t))
}

// Role that a BEGIN_REQUEST asks for (5.1).
type Role uint16

// Responder is the one role that is served: what CGI programs do (6.2).
const Responder Role = 1

// KeepConn is the flag of a BEGIN_REQUEST by which the responder leaves the connection open (5.1).
const KeepConn = 1

// Status is the protocol status of an END_REQUEST (5.5).
type Status uint8

// Statuses.
const (
	RequestComplete Status = 0
	CantMultiplex   Status = 1 // one request at a time on this connection
	Overloaded      Status = 2 // out of some resource: it was not run
	UnknownRole     Status = 3
)

var statusNames = [...]string{"REQUEST_COMPLETE", "CANT_MPX_CONN", "OVERLOADED", "UNKNOWN_ROLE"}

// String names the status as the specification does.
func (s Status) String() string {
	if int(s) < len(statusNames) {
		return statusNames[s]
	}
	return fmt.Sprintf("status %d", uint8(s))
}

const (
	// HeadLen is the length of a record's head (3.3).
	HeadLen = 8
	// MaxContent is what a record holds at most, by its 16 bits of length (3.3).
	MaxContent = 1<<16 - 1
	// MaxContentOut is what is put into a record: a multiple of 8, so that none needs padding,
	// as 3.3 advises.
	MaxContentOut = MaxContent &^ 7
)

// Names of what GET_VALUES asks for (4.1).
const (
	MaxConns  = "FCGI_MAX_CONNS"
	MaxReqs   = "FCGI_MAX_REQS"
	MpxsConns = "FCGI_MPXS_CONNS"
)

// Head is that of a record.
type Head struct {
	Type    Type
	ID      uint16 // 0: it concerns the connection (3.3, management records)
	Content int
	Padding int
}

// ErrVersion says that bytes are no record of version 1: all that follows on the connection is
// lost, as nothing tells where the next begins.
var ErrVersion = errors.New("fastcgi: this is no record of version 1")

// ParseHead reads a head of HeadLen bytes.
func ParseHead(b []byte) (Head, error) {
	_ = b[HeadLen-1]
	if b[0] != Version {
		return Head{}, ErrVersion
	}
	return Head{
		Type: Type(b[1]), ID: binary.BigEndian.Uint16(b[2:]),
		Content: int(binary.BigEndian.Uint16(b[4:])), Padding: int(b[6]),
	}, nil
}

// AppendHead puts a head behind b.
func AppendHead(b []byte, h Head) []byte {
	return append(b, Version, byte(h.Type), byte(h.ID>>8), byte(h.ID), byte(h.Content>>8), byte(h.Content), byte(h.Padding), 0)
}

// AppendRecord puts a record with a content of MaxContent bytes at most behind b.
func AppendRecord(b []byte, t Type, id uint16, content []byte) []byte {
	return append(AppendHead(b, Head{Type: t, ID: id, Content: len(content)}), content...)
}

// AppendStream puts a part of a stream behind b, in as many records as it takes; none for no
// bytes, as an empty record ends the stream (3.3).
func AppendStream(b []byte, t Type, id uint16, part []byte) []byte {
	for len(part) > 0 {
		n := min(len(part), MaxContentOut)
		b = AppendRecord(b, t, id, part[:n])
		part = part[n:]
	}
	return b
}

// AppendStreamEnd puts the record behind b that ends a stream (3.3).
func AppendStreamEnd(b []byte, t Type, id uint16) []byte { return AppendHead(b, Head{Type: t, ID: id}) }

// BeginRequestBody is the body of a BEGIN_REQUEST (5.1).
type BeginRequestBody struct {
	Role  Role
	Flags uint8
}

// ErrBody says that the body of a record has not its form.
var ErrBody = errors.New("fastcgi: the body of a record has not its form")

// ParseBegin reads the body of a BEGIN_REQUEST.
func ParseBegin(b []byte) (BeginRequestBody, error) {
	if len(b) != 8 {
		return BeginRequestBody{}, ErrBody
	}
	return BeginRequestBody{Role: Role(binary.BigEndian.Uint16(b)), Flags: b[2]}, nil
}

// AppendBeginRequest puts a BEGIN_REQUEST behind b.
func AppendBeginRequest(b []byte, id uint16, g BeginRequestBody) []byte {
	b = AppendHead(b, Head{Type: BeginRequest, ID: id, Content: 8})
	return append(b, byte(g.Role>>8), byte(g.Role), g.Flags, 0, 0, 0, 0, 0)
}

// EndRequestBody is the body of an END_REQUEST (5.5).
type EndRequestBody struct {
	AppStatus      uint32 // the program's exit status
	ProtocolStatus Status
}

// ParseEnd reads the body of an END_REQUEST.
func ParseEnd(b []byte) (EndRequestBody, error) {
	if len(b) != 8 {
		return EndRequestBody{}, ErrBody
	}
	return EndRequestBody{AppStatus: binary.BigEndian.Uint32(b), ProtocolStatus: Status(b[4])}, nil
}

// AppendEndRequest puts an END_REQUEST behind b.
func AppendEndRequest(b []byte, id uint16, e EndRequestBody) []byte {
	b = AppendHead(b, Head{Type: EndRequest, ID: id, Content: 8})
	b = binary.BigEndian.AppendUint32(b, e.AppStatus)
	return append(b, byte(e.ProtocolStatus), 0, 0, 0)
}

// AppendUnknown puts an UNKNOWN_TYPE behind b, the answer to a management record that is not
// understood (4.2).
func AppendUnknown(b []byte, t Type) []byte {
	b = AppendHead(b, Head{Type: UnknownType, Content: 8})
	return append(b, byte(t), 0, 0, 0, 0, 0, 0, 0)
}

// AppendPair puts a name-value pair behind b: lengths of one byte up to 127, of four beyond (3.4).
func AppendPair(b []byte, name, value string) []byte {
	b = appendLength(b, len(name))
	b = appendLength(b, len(value))
	b = append(b, name...)
	return append(b, value...)
}

func appendLength(b []byte, n int) []byte {
	if n < 1<<7 {
		return append(b, byte(n))
	}
	return binary.BigEndian.AppendUint32(b, uint32(n)|1<<31)
}

// Pair takes a name-value pair off the front of b. What comes back is part of b. ok is false
// where b ends within it.
func Pair(b []byte) (name, value, rest []byte, ok bool) {
	n, b, ok := length(b)
	if !ok {
		return nil, nil, nil, false
	}
	v, b, ok := length(b)
	if !ok || n > len(b) || v > len(b)-n {
		return nil, nil, nil, false
	}
	return b[:n], b[n : n+v], b[n+v:], true
}

func length(b []byte) (n int, rest []byte, ok bool) {
	if len(b) == 0 {
		return 0, nil, false
	}
	if b[0] < 1<<7 {
		return int(b[0]), b[1:], true
	}
	if len(b) < 4 {
		return 0, nil, false
	}
	return int(binary.BigEndian.Uint32(b) & (1<<31 - 1)), b[4:], true
}
