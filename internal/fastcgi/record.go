// Package fastcgi implements the FastCGI 1.0 protocol: records, name-value pairs, the state machines of both sides of a
// connection, and the CGI header section of a response. It does no I/O and allocates no memory per record. Input may
// arrive in pieces of any size. Section numbers in comments refer to the FastCGI specification of 29 April 1996, unless
// an RFC is named.
package fastcgi

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// Version is the protocol version in the header of each record, and the only one that exists (8, FCGI_VERSION_1).
const Version = 1

// Type is the type of a record (8).
type Type uint8

// Types of records.
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

var typeNames = [...]string{
	0:               "0",
	BeginRequest:    "BEGIN_REQUEST",
	AbortRequest:    "ABORT_REQUEST",
	EndRequest:      "END_REQUEST",
	Params:          "PARAMS",
	Stdin:           "STDIN",
	Stdout:          "STDOUT",
	Stderr:          "STDERR",
	Data:            "DATA",
	GetValues:       "GET_VALUES",
	GetValuesResult: "GET_VALUES_RESULT",
	UnknownType:     "UNKNOWN_TYPE",
}

// String returns the name of the type in the specification.
func (t Type) String() string {
	if int(t) < len(typeNames) {
		return typeNames[t]
	}
	return fmt.Sprintf("type %d", uint8(t))
}

const (
	// HeaderBytes is the length of a record's header in bytes (3.3).
	HeaderBytes = 8
	// MaxContentBytes is the maximum content length of a record, whose length field has 16 bits (3.3).
	MaxContentBytes = 1<<16 - 1
	// MaxUnpaddedBytes is the maximum content length that is a multiple of 8 bytes. Section 3.3 recommends records that
	// are aligned to 8 bytes, and such records need no padding.
	MaxUnpaddedBytes = MaxContentBytes &^ 7
)

// Header is the header of a record (3.3).
type Header struct {
	Type         Type
	ID           uint16 // request id; 0 for management records, which apply to the connection
	ContentBytes int
	PaddingBytes int
}

// ErrVersion reports bytes that are not a record of version 1. The rest of the input can't be decoded, because the
// start of the next record is unknown. Its text is sent to clients in response bodies.
var ErrVersion = errors.New("fastcgi: this is no record of version 1")

// ParseHeader parses a record header from the first HeaderBytes bytes of b. The error is ErrVersion.
func ParseHeader(b []byte) (Header, error) {
	_ = b[HeaderBytes-1]
	if b[0] != Version {
		return Header{}, ErrVersion
	}
	return Header{
		Type:         Type(b[1]),
		ID:           binary.BigEndian.Uint16(b[2:]),
		ContentBytes: int(binary.BigEndian.Uint16(b[4:])),
		PaddingBytes: int(b[6]),
	}, nil
}

// AppendHeader appends a record header to b and returns the extended slice.
func AppendHeader(b []byte, h Header) []byte {
	b = append(b, Version, byte(h.Type))
	b = binary.BigEndian.AppendUint16(b, h.ID)
	b = binary.BigEndian.AppendUint16(b, uint16(h.ContentBytes))
	return append(b, byte(h.PaddingBytes), 0)
}

// AppendRecord appends a record without padding to b and returns the extended slice. The content must not be longer
// than MaxContentBytes.
func AppendRecord(b []byte, t Type, id uint16, content []byte) []byte {
	b = AppendHeader(b, Header{Type: t, ID: id, ContentBytes: len(content)})
	return append(b, content...)
}

// AppendStream appends a part of a stream to b, in as many records as required, and returns the extended slice. It
// appends nothing for an empty part, because an empty record would end the stream (3.3).
func AppendStream(b []byte, t Type, id uint16, part []byte) []byte {
	for len(part) > 0 {
		n := min(len(part), MaxUnpaddedBytes)
		b = AppendRecord(b, t, id, part[:n])
		part = part[n:]
	}
	return b
}

// AppendStreamEnd appends the empty record that ends a stream (3.3) to b and returns the extended slice.
func AppendStreamEnd(b []byte, t Type, id uint16) []byte {
	return AppendHeader(b, Header{Type: t, ID: id})
}
