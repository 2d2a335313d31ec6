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

// decode takes a chunked body apart that comes in pieces of a size.
func decode(text []byte, piece int) (content []byte, c ChunkedDecoder, used int, err error) {
	for used < len(text) && !c.Done() && err == nil {
		var n int
		var got []byte
		n, got, err = c.Next(text[used:min(len(text), used+piece)])
		content = append(content, got...)
		used += n
	}
	return content, c, used, err
}

func TestChunks(t *testing.T) {
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
		for piece := 1; piece <= len(text); piece++ {
			content, c, used, err := decode([]byte(text+"GET / HTTP/1.1"), piece)
			if err != nil || !c.Done() || used != len(text) || string(content) != want.content || !reflect.DeepEqual(c.Trailer, want.trailer) {
				t.Fatalf("%q in pieces of %d: %q, %v, used %d, trailer %v, %v", text, piece, content, c.Done(), used, c.Trailer, err)
			}
		}
	}
}

// Each of these ends where it is read one way by some and another way by others, or costs more
// to read than it brings.
func TestRefusedChunks(t *testing.T) {
	for name, text := range map[string]string{
		"no size":                       "\r\na\r\n0\r\n\r\n",
		"a size that is none":           "x\r\n",
		"a size with a sign":            "-1\r\na\r\n",
		"a size with 0x":                "0x1\r\na\r\n",
		"a size with a space":           "1 \r\na\r\n",
		"a size too large":              "fffffffffffffffff\r\n",
		"a size that ends in LF":        "1\na\r\n0\r\n\r\n",
		"CR alone behind a size":        "1\ra\r\n0\r\n\r\n",
		"a chunk that ends in LF":       "1\r\na\n0\r\n\r\n",
		"a chunk that is longer":        "1\r\nab\r\n0\r\n\r\n",
		"a control in an extension":     "1;a\x00\r\na\r\n0\r\n\r\n",
		"a long extension":              "1;" + strings.Repeat("a", maxLine) + "\r\na\r\n0\r\n\r\n",
		"extensions on each byte":       strings.Repeat("1;"+strings.Repeat("a", 100)+"\r\na\r\n", 1000) + "0\r\n\r\n",
		"a trailer that ends in LF":     "0\r\nX-A: a\n\r\n",
		"a trailer that is none":        "0\r\nnothing\r\n\r\n",
		"a long trailer":                "0\r\nX-A: " + strings.Repeat("a", maxTrailer) + "\r\n\r\n",
		"a length behind the chunks":    "0\r\nContent-Length: 1\r\n\r\n",
		"an encoding behind the chunks": "0\r\nTransfer-Encoding: chunked\r\n\r\n",
	} {
		for _, piece := range []int{1, 7, len(text)} {
			if _, c, _, err := decode([]byte(text), piece); err == nil || c.Done() {
				t.Errorf("%s, in pieces of %d: %v, %v", name, piece, c.Done(), err)
			}
		}
	}
}

// Content read past the Chunks is content all the same.
func TestChunksReadPast(t *testing.T) {
	var c ChunkedDecoder
	if used, content, err := c.Next([]byte("5\r\n")); used != 3 || content != nil || err != nil || c.Remaining() != 5 {
		t.Fatal(used, content, err, c.Remaining())
	}
	c.Consume(3)
	if used, content, err := c.Next([]byte("de\r\n")); used != 2 || string(content) != "de" || err != nil {
		t.Fatal(used, content, err)
	}
	if used, _, err := c.Next([]byte("\r\n0\r\n\r\nx")); used != 7 || err != nil || !c.Done() || c.Remaining() != 0 {
		t.Fatal(used, err, c.Done())
	}
}

// A body that is taken here net/http's reader takes too, with the same content, and the pieces
// that it comes in make no difference.
func FuzzChunks(f *testing.F) {
	for _, s := range []string{"0\r\n\r\n", "1\r\na\r\n0\r\n\r\n", "a;b=c\r\n0123456789\r\n0\r\nX-A: b\r\n\r\n", "1 \r\na\r\n0\r\n\r\n", "F\r\n"} {
		f.Add([]byte(s), 3)
	}
	f.Fuzz(func(t *testing.T, text []byte, piece int) {
		whole, c, used, err := decode(text, len(text)+1)
		parts, d, usedParts, errParts := decode(text, max(1, piece))
		if !bytes.Equal(whole, parts) || c.Done() != d.Done() || used != usedParts || (err == nil) != (errParts == nil) {
			t.Fatalf("%q: %q, %d, %v; in pieces of %d %q, %d, %v", text, whole, used, err, piece, parts, usedParts, errParts)
		}
		if !c.Done() || err != nil {
			return
		}
		want, werr := io.ReadAll(httputil.NewChunkedReader(bytes.NewReader(text)))
		if werr != nil || !bytes.Equal(whole, want) {
			t.Fatalf("%q: %q, net/http has %q, %v", text, whole, want, werr)
		}
	})
}
