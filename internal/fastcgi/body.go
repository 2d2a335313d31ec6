package fastcgi

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// fixedBodyBytes is the length of the body of BEGIN_REQUEST, END_REQUEST and UNKNOWN_TYPE records.
const fixedBodyBytes = 8

// ErrBody reports a record whose body is not valid for its type. Its text is sent to clients in response bodies.
var ErrBody = errors.New("fastcgi: the body of a record has not its form")

// Role is the role of the application in a BEGIN_REQUEST (5.1).
type Role uint16

// Responder is the role of CGI programs (6.2). It is the only role that is supported.
const Responder Role = 1

// KeepConn is the flag of a BEGIN_REQUEST that instructs the application not to close the connection after the request
// (5.1).
const KeepConn = 1

// BeginRequestBody is the body of a BEGIN_REQUEST record (5.1).
type BeginRequestBody struct {
	Role  Role
	Flags uint8
}

// ParseBeginRequest parses the body of a BEGIN_REQUEST record. The error is ErrBody.
func ParseBeginRequest(b []byte) (BeginRequestBody, error) {
	if len(b) != fixedBodyBytes {
		return BeginRequestBody{}, ErrBody
	}
	return BeginRequestBody{Role: Role(binary.BigEndian.Uint16(b)), Flags: b[2]}, nil
}

// AppendBeginRequest appends a BEGIN_REQUEST record to b and returns the extended slice.
func AppendBeginRequest(b []byte, id uint16, body BeginRequestBody) []byte {
	b = AppendHeader(b, Header{Type: BeginRequest, ID: id, ContentBytes: fixedBodyBytes})
	b = binary.BigEndian.AppendUint16(b, uint16(body.Role))
	return append(b, body.Flags, 0, 0, 0, 0, 0)
}

// Status is the protocol status of an END_REQUEST (5.5).
type Status uint8

// Protocol statuses. All except RequestComplete mean that the request was rejected and has not been processed.
const (
	RequestComplete Status = 0
	CantMultiplex   Status = 1 // the application processes only one request at a time per connection
	Overloaded      Status = 2 // a resource of the application is exhausted
	UnknownRole     Status = 3 // the application does not support the role
)

var statusNames = [...]string{
	RequestComplete: "REQUEST_COMPLETE",
	CantMultiplex:   "CANT_MPX_CONN",
	Overloaded:      "OVERLOADED",
	UnknownRole:     "UNKNOWN_ROLE",
}

// String returns the name of the status in the specification.
func (s Status) String() string {
	if int(s) < len(statusNames) {
		return statusNames[s]
	}
	return fmt.Sprintf("status %d", uint8(s))
}

// EndRequestBody is the body of an END_REQUEST record (5.5).
type EndRequestBody struct {
	AppStatus      uint32 // application status, which is the exit status of a CGI program
	ProtocolStatus Status
}

// ParseEndRequest parses the body of an END_REQUEST record. The error is ErrBody.
func ParseEndRequest(b []byte) (EndRequestBody, error) {
	if len(b) != fixedBodyBytes {
		return EndRequestBody{}, ErrBody
	}
	return EndRequestBody{AppStatus: binary.BigEndian.Uint32(b), ProtocolStatus: Status(b[4])}, nil
}

// AppendEndRequest appends an END_REQUEST record to b and returns the extended slice.
func AppendEndRequest(b []byte, id uint16, body EndRequestBody) []byte {
	b = AppendHeader(b, Header{Type: EndRequest, ID: id, ContentBytes: fixedBodyBytes})
	b = binary.BigEndian.AppendUint32(b, body.AppStatus)
	return append(b, byte(body.ProtocolStatus), 0, 0, 0)
}

// AppendUnknownType appends an UNKNOWN_TYPE record to b and returns the extended slice. It is the reply to a management
// record whose type t the application does not support (4.2).
func AppendUnknownType(b []byte, t Type) []byte {
	b = AppendHeader(b, Header{Type: UnknownType, ContentBytes: fixedBodyBytes})
	return append(b, byte(t), 0, 0, 0, 0, 0, 0, 0)
}
