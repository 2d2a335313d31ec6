package fastcgi

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
)

func TestServerHandlesAnyPieceSizeAndPadding(t *testing.T) {
	long := strings.Repeat("0123456789", 7_000)
	stream := join(
		padded(GetValues, 0, string(AppendPair(AppendPair(nil, MpxsConns, ""), "OTHER", "")), 5),
		AppendBeginRequest(nil, 1, BeginRequestBody{Responder, KeepConn}), AppendBeginRequest(nil, 2, BeginRequestBody{Responder, 0}),
		padded(Params, 1, "abc", 255), padded(Params, 2, "x", 0), padded(Params, 1, "def", 1), padded(Params, 1, "", 200), padded(Params, 2, "", 7),
		AppendStream(nil, Stdin, 1, []byte(long)), padded(Stdin, 2, "two", 3), padded(Stdin, 2, "", 0), padded(Type(77), 2, "what", 3),
		AppendStreamEnd(nil, Stdin, 1), padded(AbortRequest, 2, "", 0), padded(Type(99), 0, "?", 1),
	)
	want := []string{
		fmt.Sprintf("reply % x", AppendRecord(nil, GetValuesResult, 0, AppendPair(nil, MpxsConns, "1"))),
		`request 1 "abcdef" keep=true <nil>`, `request 2 "x" keep=false <nil>`, `body 2 "two"`, fmt.Sprintf("body 1 %q", long), "abort 2",
		fmt.Sprintf("reply % x", AppendUnknownType(nil, 99)),
	}
	for seed := range uint64(25) {
		rng := rand.New(rand.NewPCG(seed, 0))
		maxPiece := []int{1, 2, 9, 100, 70_000}[seed%5]
		calls := newCallLog()
		server := NewServer(calls, 5)
		for rest := stream; len(rest) > 0; {
			n := min(1+rng.IntN(maxPiece), len(rest))
			if err := server.Feed(rest[:n]); err != nil {
				t.Fatalf("seed %d: %v", seed, err)
			}
			rest = rest[n:]
		}
		if !slices.Equal(calls.lines, want) {
			t.Fatalf("seed %d: got calls %.300q, want %.300q", seed, calls.lines, want)
		}
	}
}

// No input causes a panic of a Client or Server or makes it exceed its limits, and the result does not depend on the
// pieces in which the input arrives.
func FuzzClientAndServer(f *testing.F) {
	f.Add(requestRecords(1, 1, "\x01\x01ab", "body"), uint8(3))
	f.Add(join(padded(GetValues, 0, "\x0f\x00FCGI_MPXS_CONNS", 1), AppendBeginRequest(nil, 1, BeginRequestBody{2, 0}), requestRecords(2, 0, "", "")), uint8(1))
	f.Add(join(padded(Stdout, 1, "Status: 200\r\n\r\n", 5), AppendEndRequest(nil, 1, EndRequestBody{}), padded(Stdout, 1, "x", 0)), uint8(200))
	f.Fuzz(func(t *testing.T, input []byte, pieceSize uint8) {
		feed := func(step int) (lines []string) {
			serverCalls, clientCalls := newCallLog(), newCallLog()
			server, client := NewServer(serverCalls, 5), NewClient(clientCalls)
			client.OpenRequest()
			client.OpenRequest()
			var serverErr, clientErr error
			for rest := input; len(rest) > 0; rest = rest[min(step, len(rest)):] {
				part := rest[:min(step, len(rest))]
				if serverErr == nil {
					serverErr = server.Feed(part)
				}
				if clientErr == nil {
					clientErr = client.Feed(part)
				}
			}
			if got := server.NumOpen(); got > MaxRequestsPerConn {
				t.Errorf("server: got %d open requests, want at most %d", got, MaxRequestsPerConn)
			}
			if got := client.NumOpen(); got > 2 {
				t.Errorf("client: got %d open requests, want at most 2", got)
			}
			lines = append(serverCalls.lines, clientCalls.lines...)
			return append(lines, fmt.Sprint(serverErr, clientErr))
		}
		inOnePiece, inPieces := feed(len(input)+1), feed(int(pieceSize)+1)
		if !slices.Equal(inOnePiece, inPieces) {
			t.Errorf("input in one piece: got calls %q; in pieces of %d bytes: got calls %q", inOnePiece, int(pieceSize)+1, inPieces)
		}
		ParseResponseHeader(input)
		ForEachParam(input, func(name, value []byte) error { return nil })
	})
}
