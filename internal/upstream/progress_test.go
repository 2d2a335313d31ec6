package upstream

import (
	"testing"

	"dunemoor/internal/body"
)

// If a host that may have received the whole request is not reported, the request is retried or rejected after it has run.
func TestUploadProgressIsCompleteWithLastByte(t *testing.T) {
	streamed := func(length int64) body.Body {
		return body.NewStreamed([]byte("ab"), body.NewStream(emptyStream{}, length))
	}
	for _, test := range []struct {
		name    string
		body    body.Body
		content []int // bytes of content by write
		end     int   // bytes written of the marker that ends the body
		want    bool
	}{
		{"buffered", body.NewBuffered([]byte("ab")), nil, 0, true},
		{"empty", body.NewBuffered(nil), nil, 0, true},
		{"nothing of the stream", streamed(10), nil, 0, false},
		{"one byte less than the length", streamed(10), []int{3, 4}, 0, false},
		{"the length", streamed(10), []int{3, 5}, 0, true},
		{"unknown length, content", streamed(-1), []int{3, 5}, 0, false},
		{"unknown length, start of the end", streamed(-1), []int{3, 5}, 1, true},
		{"unknown length, failed write of the end", streamed(-1), []int{3, 5}, 0, false},
	} {
		progress := NewUploadProgress(test.body)
		for _, n := range test.content {
			progress.ContentWritten(n)
		}
		progress.EndWritten(test.end)
		if got := progress.MayBeComplete(); got != test.want {
			t.Errorf("%s: got %t, want %t", test.name, got, test.want)
		}
	}
}
