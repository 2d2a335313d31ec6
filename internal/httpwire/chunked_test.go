package httpwire

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httputil"
	"reflect"
	"strings"
	"testing"
)

// decode decodes a chunked body that arrives in pieces of pieceSize bytes.
func decode(text []byte, pieceSize int) (content []byte, decoder ChunkedDecoder, used int, err error) {
	for used < len(text) && !decoder.Done() && err == nil {
		var n int
		var part []byte
		n, part, err = decoder.Next(text[used:min(len(text), used+pieceSize)])
		content = append(content, part...)
		used += n
	}
	return content, decoder, used, err
}

func TestChunkedDecoder(t *testing.T) {
	long := strings.Repeat("x", 1000)
	for text, want := range map[string]struct {
		content string
		trailer http.Header
	}{
		"0\r\n\r\n":           {"", http.Header{}},
		"1\r\na\r\n0\r\n\r\n": {"a", http.Header{}},
		"3e8;a=b;c=\"d\"\r\n" + long + "\r\n0\r\n\r\n":                   {long, http.Header{}},
		"00A\r\n0123456789\r\n1\r\n0\r\n000\r\nx-a: b\r\nX-A: c\r\n\r\n": {"01234567890", http.Header{"X-A": {"b", "c"}}},
	} {
		for pieceSize := 1; pieceSize <= len(text); pieceSize++ {
			content, decoder, used, err := decode([]byte(text+"GET / HTTP/1.1"), pieceSize)
			if err != nil || !decoder.Done() {
				t.Fatalf("decode(%q) in pieces of %d: done %t, error %v, want done without an error", text, pieceSize, decoder.Done(), err)
			}
			if used != len(text) || string(content) != want.content {
				t.Fatalf("decode(%q) in pieces of %d: used %d, content %q, want %d, %q", text, pieceSize, used, content, len(text), want.content)
			}
			if !reflect.DeepEqual(decoder.Trailer, want.trailer) {
				t.Fatalf("decode(%q) in pieces of %d: trailer %v, want %v", text, pieceSize, decoder.Trailer, want.trailer)
			}
		}
	}
}

// Each of these bodies is interpreted differently by different implementations, or has more framing than the limits
// allow.
func TestChunkedDecoderRejectsMalformedBody(t *testing.T) {
	for name, text := range map[string]string{
		"no size":                      "\r\na\r\n0\r\n\r\n",
		"size not hexadecimal":         "x\r\n",
		"size with sign":               "-1\r\na\r\n",
		"size with 0x":                 "0x1\r\na\r\n",
		"size with space":              "1 \r\na\r\n",
		"size too large":               "fffffffffffffffff\r\n",
		"size line ends in LF":         "1\na\r\n0\r\n\r\n",
		"size followed by CR alone":    "1\ra\r\n0\r\n\r\n",
		"chunk ends in LF":             "1\r\na\n0\r\n\r\n",
		"chunk longer than its size":   "1\r\nab\r\n0\r\n\r\n",
		"control in extension":         "1;a\x00\r\na\r\n0\r\n\r\n",
		"long extension":               "1;" + strings.Repeat("a", maxSizeLineBytes) + "\r\na\r\n0\r\n\r\n",
		"extension on each byte":       strings.Repeat("1;"+strings.Repeat("a", 100)+"\r\na\r\n", 1000) + "0\r\n\r\n",
		"trailer line ends in LF":      "0\r\nX-A: a\n\r\n",
		"trailer without colon":        "0\r\nnothing\r\n\r\n",
		"long trailer":                 "0\r\nX-A: " + strings.Repeat("a", maxTrailerBytes) + "\r\n\r\n",
		"Content-Length in trailer":    "0\r\nContent-Length: 1\r\n\r\n",
		"Transfer-Encoding in trailer": "0\r\nTransfer-Encoding: chunked\r\n\r\n",
	} {
		for _, pieceSize := range []int{1, 7, len(text)} {
			if _, decoder, _, err := decode([]byte(text), pieceSize); err == nil || decoder.Done() {
				t.Errorf("%s, in pieces of %d: error %v, done %t, want an error", name, pieceSize, err, decoder.Done())
			}
		}
	}
}

func TestChunkedDecoderCountsContentReadDirectly(t *testing.T) {
	var decoder ChunkedDecoder
	used, content, err := decoder.Next([]byte("5\r\n"))
	if used != 3 || content != nil || err != nil || decoder.Remaining() != 5 {
		t.Fatalf("size line: used %d, content %q, error %v, remaining %d, want 3, none, nil, 5", used, content, err, decoder.Remaining())
	}
	decoder.Consume(3)
	if used, content, err = decoder.Next([]byte("de\r\n")); used != 2 || string(content) != "de" || err != nil {
		t.Fatalf("rest of the chunk: used %d, content %q, error %v, want 2, \"de\", nil", used, content, err)
	}
	used, _, err = decoder.Next([]byte("\r\n0\r\n\r\nx"))
	if used != 7 || err != nil || !decoder.Done() || decoder.Remaining() != 0 {
		t.Fatalf("last chunk: used %d, error %v, done %t, remaining %d, want 7, nil, true, 0", used, err, decoder.Done(), decoder.Remaining())
	}
}

// Each body that this decoder accepts is also accepted by net/http, with the same content. The result does not depend
// on the pieces in which the body arrives.
func FuzzChunkedDecoder(f *testing.F) {
	for _, seed := range []string{"0\r\n\r\n", "1\r\na\r\n0\r\n\r\n", "a;b=c\r\n0123456789\r\n0\r\nX-A: b\r\n\r\n", "1 \r\na\r\n0\r\n\r\n", "F\r\n"} {
		f.Add([]byte(seed), 3)
	}
	f.Fuzz(func(t *testing.T, text []byte, pieceSize int) {
		content, decoder, used, err := decode(text, len(text)+1)
		contentOfPieces, decoderOfPieces, usedOfPieces, errOfPieces := decode(text, max(1, pieceSize))
		if !bytes.Equal(content, contentOfPieces) || decoder.Done() != decoderOfPieces.Done() || used != usedOfPieces || (err == nil) != (errOfPieces == nil) {
			t.Fatalf("%q in one piece: got content %q, used %d, error %v; in pieces of %d: got %q, %d, %v", text, content, used, err, pieceSize, contentOfPieces, usedOfPieces, errOfPieces)
		}
		if !decoder.Done() || err != nil {
			return
		}
		want, wantErr := io.ReadAll(httputil.NewChunkedReader(bytes.NewReader(text)))
		if wantErr != nil || !bytes.Equal(content, want) {
			t.Fatalf("%q: got content %q, net/http returns %q, error %v", text, content, want, wantErr)
		}
	})
}

// A decoder of responses accepts white space after a size and any trailer field, as some servers send them; a decoder of
// requests rejects both.
func TestChunkedDecoderFromServerIsLenient(t *testing.T) {
	for _, text := range []string{
		"1 \r\na\r\n0\r\n\r\n",
		"1\t;x=y\r\na\r\n0  \r\n\r\n",
		"1\r\na\r\n0\r\nContent-Length: 1\r\n\r\n",
	} {
		for _, fromServer := range []bool{true, false} {
			decoder := ChunkedDecoder{FromServer: fromServer}
			var content []byte
			var err error
			for rest := []byte(text); len(rest) > 0 && err == nil; {
				var used int
				var part []byte
				used, part, err = decoder.Next(rest)
				content = append(content, part...)
				rest = rest[used:]
			}
			if isAccepted := err == nil && decoder.Done() && string(content) == "a"; isAccepted != fromServer {
				t.Errorf("%q, from a server %t: accepted %t, error %v", text, fromServer, isAccepted, err)
			}
		}
	}
}
