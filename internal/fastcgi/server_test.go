package fastcgi

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
)

// Records that are out of order, have an invalid length or reuse an id that is in use are errors. Records for unknown
// requests are ignored. Requests that can't be processed are ended with a protocol status.
func TestServerChecksOrderOfRecords(t *testing.T) {
	begin := func(id uint16) []byte { return AppendBeginRequest(nil, id, BeginRequestBody{Responder, KeepConn}) }
	endReply := func(id uint16, status Status) string {
		return fmt.Sprintf("reply % x", AppendEndRequest(nil, id, EndRequestBody{ProtocolStatus: status}))
	}
	var manyRequests []byte
	var overloadReplies []string
	for id := range uint16(MaxRequestsPerConn + 2) {
		manyRequests = append(manyRequests, begin(id+1)...)
		if id >= MaxRequestsPerConn {
			overloadReplies = append(overloadReplies, endReply(id+1, Overloaded))
		}
	}
	shortBegin := padded(BeginRequest, 1, "1234567", 0)
	otherVersion := append([]byte(nil), begin(1)...)
	otherVersion[0] = 2
	for _, test := range []struct {
		name      string
		input     []byte
		wantErr   error
		wantCalls []string
	}{
		{"other version", otherVersion, ErrVersion, nil},
		{"BEGIN_REQUEST of seven bytes", shortBegin, ErrBody, nil},
		{"id in use", join(begin(1), begin(1)), ErrInUse, nil},
		{"id in use by complete request", join(requestRecords(1, 1, "p", ""), begin(1)), ErrInUse, []string{`request 1 "p" keep=true <nil>`, `body 1 ""`}},
		{"parameters after their end", join(begin(1), AppendStreamEnd(nil, Params, 1), padded(Params, 1, "x", 0)), ErrOrder, []string{`request 1 "" keep=true <nil>`}},
		{"body before end of parameters", join(begin(1), padded(Stdin, 1, "x", 0)), ErrOrder, nil},
		{"body after its end", join(requestRecords(1, 1, "", "a"), padded(Stdin, 1, "b", 0)), ErrOrder, []string{`request 1 "" keep=true <nil>`, `body 1 "a"`}},
		{"records of unknown requests", join(padded(Params, 7, "x", 1), padded(Stdin, 7, "x", 0), padded(AbortRequest, 7, "", 0), AppendStreamEnd(nil, Stdin, 7)), nil, nil},
		{"other role", AppendBeginRequest(nil, 3, BeginRequestBody{2, 0}), nil, []string{endReply(3, UnknownRole)}},
		{"too many requests", manyRequests, nil, overloadReplies},
		{"abort before end of parameters", join(begin(4), padded(Params, 4, "x", 0), AppendStreamEnd(nil, AbortRequest, 4), padded(Params, 4, "y", 0), AppendStreamEnd(nil, Params, 4)), nil, []string{endReply(4, RequestComplete)}},
		{"two aborts", join(requestRecords(4, 1, "", ""), AppendStreamEnd(nil, AbortRequest, 4), AppendStreamEnd(nil, AbortRequest, 4)), nil, []string{`request 4 "" keep=true <nil>`, `body 4 ""`, "abort 4"}},
		{"DATA, which only other roles use", join(begin(5), padded(Data, 5, "x", 0)), nil, nil},
		{"GET_VALUES too long", padded(GetValues, 0, strings.Repeat("x", maxValuesBytes+1), 0), ErrOrder, nil},
		{"GET_VALUES malformed", padded(GetValues, 0, "\x05x", 0), ErrBody, nil},
		{"BEGIN_REQUEST with id 0", AppendBeginRequest(nil, 0, BeginRequestBody{Responder, 0}), nil, []string{fmt.Sprintf("reply % x", AppendUnknownType(nil, BeginRequest))}},
		{"parameters too long", join(begin(6), AppendStream(nil, Params, 6, make([]byte, 3*MaxParamsBytes)), AppendStreamEnd(nil, Params, 6)), nil, []string{`request 6 "" keep=true fastcgi: parameters too long`}},
		{"padding only", bytes.Repeat(padded(Stdin, 9, "", 255), 300), nil, nil},
	} {
		calls := newCallLog()
		server := NewServer(calls, 5)
		if err := server.Feed(test.input); !errors.Is(err, test.wantErr) {
			t.Errorf("%s: got error %v, want %v", test.name, err, test.wantErr)
		}
		if !slices.Equal(calls.lines, test.wantCalls) {
			t.Errorf("%s: got calls %q, want %q", test.name, calls.lines, test.wantCalls)
		}
	}
}

func TestServerAcceptsIDAgainAfterRequestEnded(t *testing.T) {
	calls := newCallLog()
	server := NewServer(calls, 5)
	for range 3 {
		if err := server.Feed(requestRecords(1, 1, "p", "")); err != nil {
			t.Fatal(err)
		}
		server.RequestEnded(1)
	}
	if server.NumOpen() != 0 || len(calls.lines) != 6 {
		t.Errorf("got %d open requests and calls %q, want 0 open requests and 6 calls", server.NumOpen(), calls.lines)
	}
}
