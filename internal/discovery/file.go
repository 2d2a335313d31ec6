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
	// fileInterval is how often a file is read: a change is noticed within it. Polling needs no privileges, and works with
	// renames, links and network disks.
	fileInterval = time.Second
	// maxFileBytes bounds a file: 5,000 hosts are under 1 MB.
	maxFileBytes = 16 << 20
)

// File sends the endpoint list of a file, in the form of discovery's full list, and again when it changes. A file that
// can't be read or is malformed changes nothing: the last good list stays in use.
type File struct {
	path     string
	Interval time.Duration // between two reads; set before Run

	lastText   []byte // that was read, valid or not; nil if the last read failed
	lastLogged string // text of the last error, so that it is logged once; "" after a valid list
	received   bool   // a valid list was read
}

// NewFile returns a File.
func NewFile(path string) *File { return &File{path: path, Interval: fileInterval} }

// Run reads the file until ctx ends, for the first time at once.
func (f *File) Run(ctx context.Context, to Sink) {
	tick := time.NewTicker(f.Interval)
	defer tick.Stop()
	for {
		f.read(to)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// read reads the file and sends the list if it has changed.
func (f *File) read(to Sink) {
	text, err := readBounded(f.path, maxFileBytes)
	if err != nil {
		f.lastText = nil // a file that is back is sent again, also if it is the same
		f.logError(err)
		return
	}
	isUnchanged := f.lastText != nil && bytes.Equal(text, f.lastText)
	if isUnchanged {
		return
	}
	f.lastText = text
	list, err := ParseFile(f.path, text)
	if err != nil {
		f.logError(err)
		return
	}
	if f.received || f.lastLogged != "" {
		slog.Info("endpoint file loaded", "file", f.path, "hosts", len(list.Servers))
	}
	f.received = true
	f.lastLogged = ""
	to.UpdateEndpoints(balancer.ListFull, list)
}

// logError logs an error of a read, unless the read before had the same.
func (f *File) logError(err error) {
	if err.Error() == f.lastLogged {
		return
	}
	f.lastLogged = err.Error()
	slog.Error("read endpoint file failed, keeping the last list", "err", err)
}

// ReadFile reads the endpoint list of a file.
func ReadFile(path string) (MemberList, error) {
	text, err := readBounded(path, maxFileBytes)
	if err != nil {
		return MemberList{}, err
	}
	return ParseFile(path, text)
}

// readBounded reads a file of at most limit bytes.
func readBounded(path string, limit int64) ([]byte, error) {
	in, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer in.Close()
	text, err := io.ReadAll(io.LimitReader(in, limit+1))
	if err == nil && int64(len(text)) > limit {
		err = fmt.Errorf("%s: more than %d bytes", path, limit)
	}
	return text, err
}

// fileForm is the form of a file. It has all keys of discovery, as unknown ones are errors; weights are not used.
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

// ParseError is an error in a file of hosts, at a line counted from 1.
type ParseError struct {
	Path string
	Line int
	Text string
}

func (e *ParseError) Error() string { return fmt.Sprintf("%s:%d: %s", e.Path, e.Line, e.Text) }

// fileParser reads a file of hosts.
type fileParser struct {
	path string
	text []byte
}

// errorAt returns a ParseError at an offset of the text.
func (p *fileParser) errorAt(offset int64, format string, args ...any) error {
	before := p.text[:min(max(offset, 0), int64(len(p.text)))]
	return &ParseError{p.path, 1 + bytes.Count(before, []byte("\n")), fmt.Sprintf(format, args...)}
}

// ParseFile reads the text of a file of hosts. It is strict, as files are written by people: an unknown field, a duplicate ID
// or a malformed address is a ParseError. So is an empty list: a file that was cut short must not remove all hosts.
func ParseFile(path string, text []byte) (MemberList, error) {
	p := &fileParser{path, text}
	form, err := p.decode()
	if err != nil {
		return MemberList{}, err
	}
	list := MemberList{Version: form.Version, Full: true}
	if len(form.Servers) == 0 {
		return MemberList{}, p.errorAt(0, "servers: there is none")
	}
	ids := map[string]bool{}
	at := int64(0) // each host is looked for after the one before
	for i := range form.Servers {
		m := &form.Servers[i]
		if k := bytes.Index(text[at:], []byte(`"`+m.ID+`"`)); k >= 0 {
			at += int64(k) + 1
		}
		switch {
		case m.ID == "":
			return MemberList{}, p.errorAt(at, "host %d: it has no id", i+1)
		case ids[m.ID]:
			return MemberList{}, p.errorAt(at, "id: %q is there twice", m.ID)
		case m.State != StateReady && m.State != StateDraining:
			return MemberList{}, p.errorAt(at, "host %s: state: %q is neither ready nor draining", m.ID, m.State)
		}
		if _, port, err := net.SplitHostPort(m.Addr); err != nil || port == "" {
			return MemberList{}, p.errorAt(at, "host %s: addr: %q is no host:port", m.ID, m.Addr)
		}
		ids[m.ID] = true
		list.Servers = append(list.Servers, Member{
			ID: m.ID, Addr: m.Addr, Zone: m.Zone, Kind: m.Kind, Cell: m.Cell, State: m.State, StartedMS: m.StartedMS,
		})
	}
	return list, nil
}

// decode decodes the JSON of a file.
func (p *fileParser) decode() (form fileForm, err error) {
	d := json.NewDecoder(bytes.NewReader(p.text))
	d.DisallowUnknownFields()
	if err := d.Decode(&form); err != nil {
		var syntaxError *json.SyntaxError
		var typeError *json.UnmarshalTypeError
		switch {
		case errors.Is(err, io.ErrUnexpectedEOF):
			return form, p.errorAt(int64(len(p.text)), "it is cut short")
		case errors.As(err, &syntaxError):
			return form, p.errorAt(syntaxError.Offset, "%v", err)
		case errors.As(err, &typeError):
			return form, p.errorAt(typeError.Offset, "%s: is a %s, wants a %s", typeError.Field, typeError.Value, typeError.Type)
		}
		return form, p.errorAt(d.InputOffset(), "%v", err)
	}
	if d.More() {
		return form, p.errorAt(d.InputOffset(), "something follows the list")
	}
	return form, nil
}
