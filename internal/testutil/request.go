package testutil

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
)

// requestTimeout is the value of the X-Timeout header, in seconds.
const requestTimeout = "60"

// lastID is the number from which NewID made the last request id.
var lastID atomic.Int64

// NewID returns a request id that is unique in this process.
func NewID() string { return fmt.Sprintf("%016x", lastID.Add(1)) }

// SendRequest sends a request with the headers of the platform on a connection of its own, and returns the
// response and its body. Requests of the class "look" use GET, others POST. headers are alternating names and
// values.
func SendRequest(t testing.TB, url, class, path, body string, headers ...string) (*http.Response, string) {
	t.Helper()
	method := http.MethodPost
	if class == "look" {
		method = http.MethodGet
	}
	r, err := http.NewRequest(method, url+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("X-Priority-Class", class)
	r.Header.Set("X-Request-ID", NewID())
	r.Header.Set("X-Timeout", requestTimeout)
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: WaitTimeout}
	response, err := client.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response, string(text)
}

// LookRequest returns the bytes of a valid request of the class "look".
func LookRequest(id string) string {
	return "GET /api/1 HTTP/1.1\r\nHost: a\r\nX-Priority-Class: look\r\nX-Timeout: " + requestTimeout +
		"\r\nX-Request-ID: " + id + "\r\n\r\n"
}

// RoundTrip sends a LookRequest on a connection and reads the response. It returns an error unless the body
// is that of OKResponse.
func RoundTrip(c net.Conn) error {
	if _, err := io.WriteString(c, LookRequest(NewID())); err != nil {
		return err
	}
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return err
	}
	if text, err := io.ReadAll(response.Body); string(text) != "good" {
		return fmt.Errorf("got status %d, body %q, error %v, want the body %q", response.StatusCode, text, err, "good")
	}
	return nil
}
