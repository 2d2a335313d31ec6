package config

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"dunemoor/balancer"
	"dunemoor/internal/discovery"
	"dunemoor/internal/wire"
)

// Platform is what a gateway is told at its start by the platform that runs it.
type Platform struct {
	Name   string
	Listen string // where clients connect
	Admin  string // the second address, for calls of operators; "": none
	// ClientsFD is the descriptor of a socket that listens for clients, held by the platform
	// and shared with other processes; 0: there is none, and Listen is ours to open.
	ClientsFD int
	Discovery string // where the list of hosts comes from
	Seed      uint64

	Cores    float64
	MemoryMB int
	Sockets  int // file descriptors that the process may hold

	Known    discovery.MemberList // the hosts as this gateway last had them
	Settings balancer.Settings

	// Names as they stand in requests and lists; the module knows their index.
	Classes map[string]int
	Tenants map[string]int
	Zones   map[string]int
	Kinds   map[string]int

	shape *shape // of the file: what one that is read later must have

	ConnIdle    time.Duration // a host closes a connection that was idle this long
	DialTimeout time.Duration // a connection that is not up by then has failed
}

// Defaults of what the file may leave out.
const (
	defaultConnIdle    = time.Minute
	defaultDialTimeout = 250 * time.Millisecond
)

// Memory is how many bytes the process may fill.
func (c *Platform) Memory() int64 { return int64(cmp.Or(c.MemoryMB, DefaultMemoryMB)) << 20 }

// platformFile is the form of GW_CONFIG.
type platformFile struct {
	Name      string
	Listen    string
	Admin     string
	Discovery string
	Seed      string
	Limits    struct {
		Cores    float64
		MemoryMB int `json:"memory_mb"`
		Sockets  int
	}
	Known    discovery.MemberList
	Settings json.RawMessage

	fd int // GW_FD
}

// names is what the settings object holds beside the module's part.
type names struct {
	Classes []named
	Tenants []named
	Zones   []string `json:"azs"`
	Kinds   []string
	Caps    struct {
		MaxAttempts *float64 `json:"max_attempts"`
		ConnIdle    float64  `json:"conn_idle"`    // microseconds
		DialTimeout float64  `json:"dial_timeout"` // microseconds
	}
}

type named struct{ Name string }

// LoadPlatform reads the configuration from the file that GW_CONFIG names; the other
// GW_ variables go before what the file says. An error is one plain line that
// names the field at fault.
func LoadPlatform(getenv func(string) string) (*Platform, error) {
	path := getenv("GW_CONFIG")
	if path == "" {
		return nil, errors.New("GW_CONFIG: not set")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("GW_CONFIG: %w", err)
	}
	var f platformFile
	if err := json.Unmarshal(text, &f); err != nil {
		return nil, fmt.Errorf("GW_CONFIG: %s: %w", path, err)
	}
	for _, v := range []struct {
		name string
		to   *string
	}{{"GW_NAME", &f.Name}, {"GW_LISTEN", &f.Listen}, {"GW_DISCOVERY", &f.Discovery}, {"GW_ADMIN", &f.Admin}} {
		if s := getenv(v.name); s != "" {
			*v.to = s
		}
	}
	if s := getenv("GW_FD"); s != "" {
		if f.fd, err = strconv.Atoi(s); err != nil || f.fd < 3 {
			return nil, fmt.Errorf("GW_FD: %q is no number of a descriptor from 3 on", s)
		}
	}
	c, err := f.config()
	if err != nil {
		return nil, err
	}
	var all any
	if err := json.Unmarshal(text, &all); err != nil {
		return nil, fmt.Errorf("GW_CONFIG: %s: %w", path, err)
	}
	c.shape = shapeOf(all)
	// What the system does not let the process have can't be parted among clients and hosts.
	var files syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files) == nil && files.Cur < uint64(c.Sockets) {
		slog.Warn("fewer descriptors than limits.sockets", "sockets", c.Sockets, "RLIMIT_NOFILE", files.Cur)
		c.Sockets = int(files.Cur)
	}
	return c, nil
}

// ReloadPlatform reads the file anew. Here its discovery goes before GW_DISCOVERY, which
// the process was started with and cannot have changed since. What the file had at the start
// it must have still: it guards against taking for a wish what was left out by mistake.
func ReloadPlatform(getenv func(string) string, first *Platform) (*Platform, error) {
	c, err := LoadPlatform(func(name string) string {
		if name == "GW_DISCOVERY" {
			return ""
		}
		return getenv(name)
	})
	if err != nil {
		return nil, err
	}
	if key := first.shape.lacks(c.shape, ""); key != "" {
		return nil, fmt.Errorf("GW_CONFIG: %s: missing", key)
	}
	return c, nil
}

// shape is which keys a JSON value has, without what they hold.
type shape struct {
	keys map[string]*shape // of an object
	each *shape            // what all objects of a list have; nil: there are none
	list bool
}

// shapeOf is the shape of a decoded value; null is no value.
func shapeOf(v any) *shape {
	switch v := v.(type) {
	case map[string]any:
		s := &shape{keys: make(map[string]*shape, len(v))}
		for key, x := range v {
			if x != nil {
				s.keys[key] = shapeOf(x)
			}
		}
		return s
	case []any:
		s := &shape{list: true}
		for _, x := range v {
			e := shapeOf(x)
			if e.keys == nil {
				continue
			}
			if s.each == nil {
				s.each = e
			} else {
				s.each = s.each.common(e)
			}
		}
		return s
	}
	return &shape{}
}

// common is what two objects have both.
func (s *shape) common(o *shape) *shape {
	both := &shape{keys: map[string]*shape{}}
	for key, x := range s.keys {
		if y := o.keys[key]; y != nil && x.keys != nil && y.keys != nil {
			both.keys[key] = x.common(y)
		} else if y != nil {
			both.keys[key] = x
		}
	}
	return both
}

// lacks names a key of s that o lacks, "" if there is none.
func (s *shape) lacks(o *shape, at string) string {
	if s.list && !o.list {
		return at
	}
	if s.each != nil && o.each != nil {
		return s.each.lacks(o.each, at+"[]")
	}
	for _, key := range slices.Sorted(maps.Keys(s.keys)) {
		x, in := o.keys[key], strings.TrimPrefix(at+"."+key, ".")
		if x == nil {
			return in
		}
		if missing := s.keys[key].lacks(x, in); missing != "" {
			return missing
		}
	}
	return ""
}

func (f *platformFile) config() (*Platform, error) {
	c := &Platform{
		ClientsFD: f.fd, Name: f.Name, Listen: f.Listen, Admin: f.Admin, Discovery: f.Discovery,
		Cores: f.Limits.Cores, MemoryMB: f.Limits.MemoryMB, Sockets: f.Limits.Sockets, Known: f.Known,
	}
	addrs := []struct{ field, addr string }{{"listen", f.Listen}, {"discovery", f.Discovery}}
	if f.Admin != "" {
		addrs = append(addrs, struct{ field, addr string }{"admin", f.Admin})
	}
	for _, a := range addrs {
		if _, _, err := net.SplitHostPort(a.addr); err != nil {
			return nil, fmt.Errorf("%s: %q is no host:port", a.field, a.addr)
		}
	}
	var err error
	if c.Seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil {
		return nil, fmt.Errorf("seed: %q is no hexadecimal number of 64 bits", f.Seed)
	}
	switch {
	case c.Cores < 0:
		return nil, fmt.Errorf("limits.cores: %v is below 0", c.Cores)
	case c.MemoryMB < 0:
		return nil, fmt.Errorf("limits.memory_mb: %d is below 0", c.MemoryMB)
	case c.Sockets < 0 || c.Sockets > 0 && c.Sockets < 64:
		return nil, fmt.Errorf("limits.sockets: %d is too few, 64 at least", c.Sockets)
	case c.Sockets == 0:
		c.Sockets = defaultSockets
	}
	if len(f.Settings) == 0 {
		return nil, errors.New("settings: missing")
	}
	if c.Settings, err = wire.ParseSettings(f.Settings); err != nil {
		return nil, err
	}
	if _, err := balancer.New(c.Settings, c.Seed); err != nil {
		return nil, err // it names the field
	}
	var n names
	if err := json.Unmarshal(f.Settings, &n); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if m := n.Caps.MaxAttempts; m != nil && !(*m > 0) {
		return nil, fmt.Errorf("settings: caps.max_attempts: %v is not above 0", *m)
	}
	for _, t := range []struct {
		field string
		list  []named
		to    *map[string]int
	}{{"classes", n.Classes, &c.Classes}, {"tenants", n.Tenants, &c.Tenants}} {
		list := make([]string, len(t.list))
		for i, e := range t.list {
			list[i] = e.Name
		}
		if *t.to, err = index(t.field, list); err != nil {
			return nil, err
		}
	}
	if c.Zones, err = index("azs", n.Zones); err != nil {
		return nil, err
	}
	if c.Kinds, err = index("kinds", n.Kinds); err != nil {
		return nil, err
	}
	if c.ConnIdle, err = micros("caps.conn_idle", n.Caps.ConnIdle, defaultConnIdle); err != nil {
		return nil, err
	}
	c.DialTimeout, err = micros("caps.dial_timeout", n.Caps.DialTimeout, defaultDialTimeout)
	return c, err
}

// index numbers names in the order of the settings, as the module does.
func index(field string, list []string) (map[string]int, error) {
	m := make(map[string]int, len(list))
	for i, name := range list {
		if name == "" {
			return nil, fmt.Errorf("settings: %s: entry %d has no name", field, i)
		}
		if _, twice := m[name]; twice {
			return nil, fmt.Errorf("settings: %s: %q is there twice", field, name)
		}
		m[name] = i
	}
	return m, nil
}

// micros converts a span in microseconds; 0 stands for the default.
func micros(field string, us float64, def time.Duration) (time.Duration, error) {
	if us == 0 {
		return def, nil
	}
	if !(us > 0 && us < float64(time.Hour/time.Microsecond)) {
		return 0, fmt.Errorf("settings: %s: %v is not between 0 and an hour", field, us)
	}
	return time.Duration(us * float64(time.Microsecond)), nil
}
