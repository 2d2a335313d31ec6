package config

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"strconv"
	"syscall"
	"time"

	"dunemoor/balancer"
	"dunemoor/internal/discovery"
	"dunemoor/internal/protocol"
)

// Platform is the configuration of a platform gateway.
type Platform struct {
	Name   string
	Listen string // address on which clients connect
	Admin  string // address of the admin API; "" disables it
	// ClientsFD is the descriptor of a listening socket for clients that is held by the platform and shared with other
	// processes. If it is 0, there is none, and the gateway listens on Listen itself.
	ClientsFD int
	Discovery string // address of the discovery service
	Seed      uint64

	Cores    float64 // 0 for all cores
	MemoryMB int     // MiB; 0 for DefaultMemoryMB
	Sockets  int     // limit of file descriptors of the process

	Known    discovery.MemberList // the last endpoint list that this gateway had, used until discovery sends one
	Settings balancer.Settings

	// Indexes that the balancer uses for the names in requests and endpoint lists.
	Classes map[string]int
	Tenants map[string]int
	Zones   map[string]int
	Kinds   map[string]int

	ConnIdle    time.Duration // idle time after which hosts close a connection
	DialTimeout time.Duration // timeout for establishing a connection to a host

	keys *keySet // keys of the file, which a reloaded file must have too
}

// Defaults and bounds of the platform configuration.
const (
	defaultConnIdle    = time.Minute
	defaultDialTimeout = 250 * time.Millisecond
	// maxCapDuration is the maximum of the durations in the settings object.
	maxCapDuration = time.Hour
	// firstFreeDescriptor is the first descriptor after standard input, output and error.
	firstFreeDescriptor = 3
)

// Names of environment variables.
const (
	envConfig    = "GW_CONFIG"
	envName      = "GW_NAME"
	envListen    = "GW_LISTEN"
	envDiscovery = "GW_DISCOVERY"
	envAdmin     = "GW_ADMIN"
	envFD        = "GW_FD"
)

// Memory returns the memory limit of the process in bytes.
func (c *Platform) Memory() int64 { return int64(cmp.Or(c.MemoryMB, DefaultMemoryMB)) << 20 }

// platformFile is the structure of the file named by GW_CONFIG.
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

	fd int // value of GW_FD; 0 if it is not set
}

// settingsFile has the keys of the settings object that are needed in addition to protocol.ParseSettings. max_attempts is
// read by both: here it is only checked.
type settingsFile struct {
	Classes []namedEntry
	Tenants []namedEntry
	Zones   []string `json:"azs"`
	Kinds   []string
	Caps    struct {
		MaxAttempts *float64 `json:"max_attempts"`
		ConnIdle    float64  `json:"conn_idle"`    // microseconds
		DialTimeout float64  `json:"dial_timeout"` // microseconds
	}
}

type namedEntry struct{ Name string }

// LoadPlatform reads and validates the file named by GW_CONFIG. The other GW_ variables take precedence over the values
// of the file. An error is one line that names the invalid field or environment variable.
func LoadPlatform(getenv func(string) string) (*Platform, error) {
	path := getenv(envConfig)
	if path == "" {
		return nil, errors.New(envConfig + ": not set")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", envConfig, err)
	}
	var f platformFile
	var all any
	for _, v := range []any{&f, &all} {
		if err := json.Unmarshal(text, v); err != nil {
			return nil, fmt.Errorf("%s: %s: %w", envConfig, path, err)
		}
	}
	if err := f.applyEnvironment(getenv); err != nil {
		return nil, err
	}
	c, err := f.config()
	if err != nil {
		return nil, err
	}
	c.keys = newKeySet(all)
	c.limitSockets()
	return c, nil
}

// applyEnvironment replaces values of the file by those of environment variables.
func (f *platformFile) applyEnvironment(getenv func(string) string) error {
	for _, v := range []struct {
		name string
		to   *string
	}{{envName, &f.Name}, {envListen, &f.Listen}, {envDiscovery, &f.Discovery}, {envAdmin, &f.Admin}} {
		if s := getenv(v.name); s != "" {
			*v.to = s
		}
	}
	s := getenv(envFD)
	if s == "" {
		return nil
	}
	fd, err := strconv.Atoi(s)
	if err != nil || fd < firstFreeDescriptor {
		return fmt.Errorf("%s: %q is not a descriptor number of %d or above", envFD, s, firstFreeDescriptor)
	}
	f.fd = fd
	return nil
}

// limitSockets lowers Sockets to RLIMIT_NOFILE if that is lower, as the process can't open more descriptors.
func (c *Platform) limitSockets() {
	var files syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files) == nil && files.Cur < uint64(c.Sockets) {
		slog.Warn("RLIMIT_NOFILE is lower than limits.sockets", "sockets", c.Sockets, "RLIMIT_NOFILE", files.Cur)
		c.Sockets = int(files.Cur)
	}
}

// ReloadPlatform reads the file again. On a reload, the discovery address of the file takes precedence over GW_DISCOVERY,
// which cannot change after the start of the process. The file must have all keys of the first one, so that a key left
// out by mistake is not applied as its default.
func ReloadPlatform(getenv func(string) string, first *Platform) (*Platform, error) {
	c, err := LoadPlatform(func(name string) string {
		if name == envDiscovery {
			return ""
		}
		return getenv(name)
	})
	if err != nil {
		return nil, err
	}
	if key := first.keys.missing(c.keys, ""); key != "" {
		return nil, fmt.Errorf("%s: %s: missing", envConfig, key)
	}
	return c, nil
}

// config validates the file and converts it to a Platform.
func (f *platformFile) config() (*Platform, error) {
	c := &Platform{
		ClientsFD: f.fd, Name: f.Name, Listen: f.Listen, Admin: f.Admin, Discovery: f.Discovery,
		Cores: f.Limits.Cores, MemoryMB: f.Limits.MemoryMB, Sockets: f.Limits.Sockets, Known: f.Known,
	}
	if err := f.checkAddresses(); err != nil {
		return nil, err
	}
	var err error
	if c.Seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil {
		return nil, fmt.Errorf("seed: %q is not a hexadecimal number of at most 64 bits", f.Seed)
	}
	if err := c.checkLimits(); err != nil {
		return nil, err
	}
	if len(f.Settings) == 0 {
		return nil, errors.New("settings: missing")
	}
	if c.Settings, err = protocol.ParseSettings(f.Settings); err != nil {
		return nil, err
	}
	if _, err := balancer.New(c.Settings, c.Seed); err != nil {
		return nil, err // the error names the field
	}
	var n settingsFile
	if err := json.Unmarshal(f.Settings, &n); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if m := n.Caps.MaxAttempts; m != nil && !(*m > 0) {
		return nil, fmt.Errorf("settings: caps.max_attempts: %v is not greater than 0", *m)
	}
	if err := c.setNames(&n); err != nil {
		return nil, err
	}
	if c.ConnIdle, err = microseconds("caps.conn_idle", n.Caps.ConnIdle, defaultConnIdle); err != nil {
		return nil, err
	}
	c.DialTimeout, err = microseconds("caps.dial_timeout", n.Caps.DialTimeout, defaultDialTimeout)
	return c, err
}

func (f *platformFile) checkAddresses() error {
	addresses := []struct{ field, address string }{{"listen", f.Listen}, {"discovery", f.Discovery}}
	if f.Admin != "" {
		addresses = append(addresses, struct{ field, address string }{"admin", f.Admin})
	}
	for _, a := range addresses {
		if _, _, err := net.SplitHostPort(a.address); err != nil {
			return fmt.Errorf("%s: %q is not a host:port address", a.field, a.address)
		}
	}
	return nil
}

// checkLimits checks the limits and sets their defaults.
func (c *Platform) checkLimits() error {
	switch {
	case c.Cores < 0:
		return fmt.Errorf("limits.cores: %v is below 0", c.Cores)
	case c.MemoryMB < 0:
		return fmt.Errorf("limits.memory_mb: %d is below 0", c.MemoryMB)
	case c.Sockets < 0 || c.Sockets > 0 && c.Sockets < minSockets:
		return fmt.Errorf("limits.sockets: %d is too low, the minimum is %d", c.Sockets, minSockets)
	}
	c.Sockets = cmp.Or(c.Sockets, defaultSockets)
	return nil
}

// setNames sets the indexes of classes, tenants, zones and kinds.
func (c *Platform) setNames(n *settingsFile) (err error) {
	namesOf := func(list []namedEntry) (names []string) {
		for _, x := range list {
			names = append(names, x.Name)
		}
		return names
	}
	for _, x := range []struct {
		field string
		list  []string
		to    *map[string]int
	}{{"classes", namesOf(n.Classes), &c.Classes}, {"tenants", namesOf(n.Tenants), &c.Tenants}, {"azs", n.Zones, &c.Zones}, {"kinds", n.Kinds, &c.Kinds}} {
		if *x.to, err = indexNames(x.field, x.list); err != nil {
			return err
		}
	}
	return nil
}

// indexNames maps each name to its index in the list. The balancer uses the same indexes.
func indexNames(field string, list []string) (map[string]int, error) {
	m := make(map[string]int, len(list))
	for i, name := range list {
		if name == "" {
			return nil, fmt.Errorf("settings: %s: entry %d has no name", field, i)
		}
		if _, exists := m[name]; exists {
			return nil, fmt.Errorf("settings: %s: %q is listed twice", field, name)
		}
		m[name] = i
	}
	return m, nil
}

// microseconds converts a number of microseconds to a duration; 0 stands for the default.
func microseconds(field string, us float64, defaultValue time.Duration) (time.Duration, error) {
	if us == 0 {
		return defaultValue, nil
	}
	if !(us > 0 && us < float64(maxCapDuration/time.Microsecond)) {
		return 0, fmt.Errorf("settings: %s: %v is not between 0 and an hour", field, us)
	}
	return time.Duration(us * float64(time.Microsecond)), nil
}
