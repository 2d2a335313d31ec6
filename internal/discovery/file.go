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
	// fileInterval is the interval at which a file is read, and thus the maximum delay until a change is noticed. Polling
	// needs no privileges, and works with renames, links and network file systems.
	fileInterval = time.Second
	// maxFileBytes is the maximum size of a file. A list of 5,000 hosts takes less than 1 MB.
	maxFileBytes = 16 << 20
)

// File is a source of an endpoint list that is read from a file, in the format of a full list of the discovery service. It
// sends the list to a Sink at the start and after each change. If the file can't be read or is malformed, the last valid
// list stays in use.
type File struct {
	path     string
	Interval time.Duration // interval between two reads; must be set before Run

	lastText   []byte // content at the last read, valid or not; nil if the last read failed
	lastLogged string // text of the last logged error, to log it only once; "" after a valid list
	received   bool   // a valid list has been read
}

// NewFile returns a File that reads the file at path.
func NewFile(path string) *File { return &File{path: path, Interval: fileInterval} }

// Run reads the file immediately and then at every Interval, until ctx is done.
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

// read reads the file and sends its list if it has changed.
func (f *File) read(to Sink) {
	text, err := readBounded(f.path, maxFileBytes)
	if err != nil {
		f.lastText = nil // the list is sent again when the file is readable again, even if it is the same
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

// logError logs an error of a read, unless it is the same as that of the previous read.
func (f *File) logError(err error) {
	if err.Error() == f.lastLogged {
		return
	}
	f.lastLogged = err.Error()
	slog.Error("read endpoint file failed, keeping the last list", "err", err)
}

// ReadFile reads an endpoint list from a file.
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

// fileForm is the structure of a file. It has all keys of the discovery service's lists, as unknown keys are errors.
// Weights are accepted but not used.
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

// ParseError is an error in a file of hosts.
type ParseError struct {
	Path string
	Line int // counted from 1
	Text string
}

func (e *ParseError) Error() string { return fmt.Sprintf("%s:%d: %s", e.Path, e.Line, e.Text) }

// fileParser parses a file of hosts.
type fileParser struct {
	path string
	text []byte
}

// errorAt returns a ParseError for the line at a byte offset of the text.
func (p *fileParser) errorAt(offset int64, format string, args ...any) error {
	before := p.text[:min(max(offset, 0), int64(len(p.text)))]
	return &ParseError{p.path, 1 + bytes.Count(before, []byte("\n")), fmt.Sprintf(format, args...)}
}

// ParseFile parses the text of a file of hosts. As files are written by people, parsing is strict: an unknown field, a
// duplicate ID or a malformed address is a ParseError. So is an empty list, as a truncated file must not remove all hosts.
func ParseFile(path string, text []byte) (MemberList, error) {
	p := &fileParser{path, text}
	form, err := p.decode()
	if err != nil {
		return MemberList{}, err
	}
	list := MemberList{Version: form.Version, Full: true}
	if len(form.Servers) == 0 {
		return MemberList{}, p.errorAt(0, "servers: the list is empty or missing")
	}
	ids := map[string]bool{}
	at := int64(0) // offset of the current host, which is searched for after the previous one
	for i := range form.Servers {
		m := &form.Servers[i]
		if k := bytes.Index(text[at:], []byte(`"`+m.ID+`"`)); k >= 0 {
			at += int64(k) + 1
		}
		switch {
		case m.ID == "":
			return MemberList{}, p.errorAt(at, "host %d: id is missing", i+1)
		case ids[m.ID]:
			return MemberList{}, p.errorAt(at, "id: %q is listed twice", m.ID)
		case m.State != StateReady && m.State != StateDraining:
			return MemberList{}, p.errorAt(at, "host %s: state: %q is neither ready nor draining", m.ID, m.State)
		}
		if _, port, err := net.SplitHostPort(m.Addr); err != nil || port == "" {
			return MemberList{}, p.errorAt(at, "host %s: addr: %q is not a host:port address", m.ID, m.Addr)
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
			return form, p.errorAt(int64(len(p.text)), "the file is truncated")
		case errors.As(err, &syntaxError):
			return form, p.errorAt(syntaxError.Offset, "%v", err)
		case errors.As(err, &typeError):
			return form, p.errorAt(typeError.Offset, "%s: is a %s, must be of type %s", typeError.Field, typeError.Value, typeError.Type)
		}
		return form, p.errorAt(d.InputOffset(), "%v", err)
	}
	if d.More() {
		return form, p.errorAt(d.InputOffset(), "unexpected data after the list")
	}
	return form, nil
}
