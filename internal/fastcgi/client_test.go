package fastcgi

import (
	"errors"
	"fmt"
	"slices"
	"testing"
)

// Records for a request that has ended or never existed are reported as unsolicited and don't affect other requests.
// Records that an application must not send are errors.
func TestClientChecksOrderOfRecords(t *testing.T) {
	complete := func(id uint16) []byte { return AppendEndRequest(nil, id, EndRequestBody{AppStatus: 3}) }
	stdout := func(id uint16, s string) []byte { return padded(Stdout, id, s, 3) }
	endCall := func(id int, output string) string { return fmt.Sprintf("end %d %q {3 REQUEST_COMPLETE}", id, output) }
	for _, test := range []struct {
		name      string
		input     []byte
		wantErr   error
		wantCalls []string
	}{
		{"two interleaved requests", join(stdout(1, "a"), stdout(2, "x"), stdout(1, "b"), padded(Stderr, 1, "oh", 0), stdout(2, "y"), complete(2), stdout(1, ""), complete(1)), nil, []string{endCall(2, "xy"), endCall(1, "ab")}},
		{"output after end of request", join(complete(1), stdout(1, "late"), stdout(2, "x"), complete(2)), nil, []string{endCall(1, ""), "unsolicited", endCall(2, "x")}},
		{"output after end of STDOUT", join(stdout(1, "a"), stdout(1, ""), stdout(1, "b"), complete(1)), nil, []string{"unsolicited", endCall(1, "a")}},
		{"END_REQUEST of unknown request", join(complete(9), complete(1)), nil, []string{"unsolicited", endCall(1, "")}},
		{"END_REQUEST of seven bytes", padded(EndRequest, 1, "1234567", 0), ErrBody, nil},
		{"output with id 0", stdout(0, "x"), ErrBody, nil},
		{"record of a web server", AppendBeginRequest(nil, 1, BeginRequestBody{}), ErrOrder, nil},
		{"rejection", AppendEndRequest(nil, 1, EndRequestBody{ProtocolStatus: Overloaded}), nil, []string{`end 1 "" {0 OVERLOADED}`}},
		{"values", AppendRecord(nil, GetValuesResult, 0, AppendPair(AppendPair(AppendPair(nil, MaxConns, "7"), MaxReqs, "many"), MpxsConns, "1")), nil, []string{"values {MaxConns:7 MaxRequests:0 Multiplexes:true}"}},
		{"unknown type", AppendUnknownType(nil, 9), nil, nil},
	} {
		calls := newCallLog()
		client := NewClient(calls)
		if first, second := client.OpenRequest(), client.OpenRequest(); first != 1 || second != 2 {
			t.Fatalf("got ids %d and %d, want 1 and 2", first, second)
		}
		if err := client.Feed(test.input); !errors.Is(err, test.wantErr) {
			t.Errorf("%s: got error %v, want %v", test.name, err, test.wantErr)
		}
		if !slices.Equal(calls.lines, test.wantCalls) {
			t.Errorf("%s: got calls %q, want %q", test.name, calls.lines, test.wantCalls)
		}
	}
}

// An id is not reused before all others have been used, so that a late record of a request that has ended is not
// attributed to another request.
func TestClientReusesIDsAsLateAsPossible(t *testing.T) {
	client := NewClient(newCallLog())
	openID := client.OpenRequest()
	seen := map[uint16]bool{}
	for range 1<<16 - 2 {
		id := client.OpenRequest()
		if id == 0 || id == openID || seen[id] {
			t.Fatalf("got id %d, want one that has not been used", id)
		}
		seen[id] = true
		client.ForgetRequest(id)
	}
	if got := client.NumOpen(); got != 1 {
		t.Errorf("got %d open requests, want 1", got)
	}
}
