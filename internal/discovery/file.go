package discovery

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"time"

	"dunemoor/balancer"
)

const (
	// fileEvery is how often a file is looked at: a change is told within it. Polling needs
	// no privileges and sees renames, links and network disks alike.
	fileEvery = time.Second
	// fileMost bounds a file: 5,000 hosts are under 1 MB.
	fileMost = 16 << 20
)

// File tells of the hosts in a file, in the form of discovery's whole list, and again when
// that changes. A file that can't be read or used changes nothing: the last good one stands.
type File struct {
	path  string
	Every time.Duration // between two looks; set before Run

	seen []byte // as it was last, good or bad
	said string // the last error, so that each is logged once
	told bool   // a good one has been
}

// NewFile returns a File.
func NewFile(path string) *File { return &File{path: path, Every: fileEvery} }

// Run looks at the file until ctx ends, at once for the first time.
func (f *File) Run(ctx context.Context, to Sink) {
	tick := time.NewTicker(f.Every)
	defer tick.Stop()
	for {
		f.look(to)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// look reads the file and tells of it if it has changed.
func (f *File) look(to Sink) {
	text, err := readMost(f.path, fileMost)
	if err == nil {
		if f.seen != nil && bytes.Equal(text, f.seen) {
			return
		}
		f.seen = text
		var list MemberList
		if list, err = ParseFile(f.path, text); err == nil {
			if f.told || f.said != "" {
				slog.Info("host list read", "file", f.path, "hosts", len(list.Servers))
			}
			f.told, f.said = true, ""
			to.UpdateEndpoints(balancer.ListFull, list)
			return
		}
	} else {
		f.seen = nil // when it is back it is read anew
	}
	if err.Error() != f.said {
		f.said = err.Error()
		slog.Error("host list not read, the last one stands", "err", err)
	}
}

// ReadFile reads the list of hosts in a file.
func ReadFile(path string) (MemberList, error) {
	text, err := readMost(path, fileMost)
	if err != nil {
		return MemberList{}, err
	}
	return ParseFile(path, text)
}

func readMost(path string, most int64) ([]byte, error) {
	in, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer in.Close()
	text, err := io.ReadAll(io.LimitReader(in, most+1))
	if err == nil && int64(len(text)) > most {
		err = fmt.Errorf("%s: more than %d bytes", path, most)
	}
	return text, err
}

// fileForm is the form of a file, with all that discovery may say: weights are not used.
type fileForm struct {
	Version uint64 `json:"version"`
	Full    bool   `json:"full"`
	Servers []struct {
		ID        string  `json:"id"`
		Addr      string  `json:"addr"`
		Zone      string  `json:"zone"`
		Kind      string  `json:"kind"`
		Cell      int     `json:"cell"`
		State     string  `json:"state"`
		Weight    float64 `json:"weight"`
		StartedMS int64   `json:"started_ms"`
	} `json:"servers"`
}

// ParseFile reads the text of a file of hosts. It is strict, as whoever writes it is not a
// program: an unknown field, an id twice or an address that is none is an error with its
// line. An empty list is one, so that a file cut short does not take all hosts away.
func ParseFile(path string, text []byte) (MemberList, error) {
	var form fileForm
	bad := func(offset int64, format string, args ...any) (MemberList, error) {
		line := 1 + bytes.Count(text[:min(max(offset, 0), int64(len(text)))], []byte("\n"))
		return MemberList{}, fmt.Errorf("%s:%d: %s", path, line, fmt.Sprintf(format, args...))
	}
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(&form); err != nil {
		var syntax *json.SyntaxError
		var typ *json.UnmarshalTypeError
		switch {
		case errors.Is(err, io.ErrUnexpectedEOF):
			return bad(int64(len(text)), "it is cut short")
		case errors.As(err, &syntax):
			return bad(syntax.Offset, "%v", err)
		case errors.As(err, &typ):
			return bad(typ.Offset, "%s: is a %s, wants a %s", typ.Field, typ.Value, typ.Type)
		}
		return bad(d.InputOffset(), "%v", err)
	}
	if d.More() {
		return bad(d.InputOffset(), "something follows the list")
	}
	list := MemberList{Version: form.Version, Full: true}
	if len(form.Servers) == 0 {
		return bad(0, "servers: there is none")
	}
	ids := map[string]bool{}
	at := int64(0) // each host is looked for behind the one before
	for i := range form.Servers {
		m := &form.Servers[i]
		if k := bytes.Index(text[at:], []byte(`"`+m.ID+`"`)); k >= 0 {
			at += int64(k) + 1
		}
		switch {
		case m.ID == "":
			return bad(at, "host %d: it has no id", i+1)
		case ids[m.ID]:
			return bad(at, "id: %q is there twice", m.ID)
		case m.State != "ready" && m.State != "draining":
			return bad(at, "host %s: state: %q is neither ready nor draining", m.ID, m.State)
		}
		if _, port, err := net.SplitHostPort(m.Addr); err != nil || port == "" {
			return bad(at, "host %s: addr: %q is no host:port", m.ID, m.Addr)
		}
		ids[m.ID] = true
		list.Servers = append(list.Servers, Member{m.ID, m.Addr, m.Zone, m.Kind, m.Cell, m.State, m.StartedMS})
	}
	return list, nil
}
