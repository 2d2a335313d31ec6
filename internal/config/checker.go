package config

import (
	"net"
	"strconv"
	"strings"
)

// checker converts and validates the settings of a file, and collects the errors. Its read methods validate a section and
// store it in the Appliance or return it. Its check methods only add errors; some of them also record names and addresses
// in maps to find duplicates.
type checker struct {
	*Text
	errors []error
}

// addErrorf adds an error at a key of the n-th TOML table with the given name, counted from 0.
func (c *checker) addErrorf(table string, n int, key, format string, args ...any) {
	line := c.Line(table, n, key)
	if c.Skipped(line) {
		return // the line has already been reported as undecodable
	}
	field := strings.TrimPrefix(table+"."+key, ".")
	c.errors = append(c.errors, c.Errorf(line, strings.TrimSuffix(field, "."), format, args...))
}

// checkRange adds an error if a value is not between low and high, or is NaN.
func (c *checker) checkRange(table string, n int, key string, value, low, high float64) {
	if !isBetween(value, low, high) {
		c.addErrorf(table, n, key, outOfRangeFormat, value, low, high)
	}
}

// outOfRangeFormat is the format of the error for a value out of range.
const outOfRangeFormat = "%v is not between %v and %v"

// isBetween reports whether a value is between low and high, inclusively. NaN is not.
func isBetween(value, low, high float64) bool { return value >= low && value <= high }

// maxNameBytes is the maximum length of a name. Names appear in logs, file names and status lines.
const maxNameBytes = 64

// checkName adds an error if a name has characters that are not safe in logs, file names and terminals. An empty name is
// accepted; callers check for it.
func (c *checker) checkName(table string, n int, name string) { c.checkNameAt(table, n, "name", name) }

// checkNameAt is checkName for a name at another key.
func (c *checker) checkNameAt(table string, n int, key, name string) {
	if len(name) > maxNameBytes {
		c.addErrorf(table, n, key, "is longer than %d characters", maxNameBytes)
		return
	}
	for _, r := range name {
		if !isAlphanumeric(r) && !strings.ContainsRune("-_.:[]", r) {
			c.addErrorf(table, n, key, "%q contains %q: use only letters, digits, '-', '_', '.' and ':'", name, r)
			return
		}
	}
}

// checkUniqueName adds an error if a name is missing or taken. taken maps each name found so far to its table index.
func (c *checker) checkUniqueName(table string, n int, name string, taken map[string]int) {
	first, isTaken := taken[name]
	switch {
	case name == "":
		c.addErrorf(table, n, "name", "is missing")
	case isTaken:
		c.addErrorf(table, n, "name", "%q is taken (line %d)", name, c.Line(table, first, "name"))
	}
	taken[name] = n
}

// checkUniqueAddress adds an error if an address is not a host:port address or is taken. taken maps each address found so
// far to the name of its entry.
func (c *checker) checkUniqueAddress(table string, n int, name, address string, taken map[string]string) {
	if !isHostPort(address, 1) {
		c.addErrorf(table, n, "address", "%q is not a host:port address", address)
	} else if other := taken[address]; other != "" {
		c.addErrorf(table, n, "address", "%q is already the address of %s", address, other)
	}
	taken[address] = name
}

func isAlphanumeric(r rune) bool {
	return r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9'
}

// maxUnixPath is the maximum length of a Unix socket path including the terminating NUL byte (unix(7)).
const maxUnixPath = 108

// isUnixPath reports whether an address is "unix:" and the absolute path of a Unix domain socket.
func isUnixPath(addr string) bool {
	path, ok := strings.CutPrefix(addr, "unix:")
	return ok && strings.HasPrefix(path, "/") && len(path) < maxUnixPath
}

// isHostPort reports whether an address has the form host:port with a port of at least minPort. Only listeners may have
// port 0.
func isHostPort(addr string, minPort uint64) bool {
	_, port, err := net.SplitHostPort(addr)
	if err != nil {
		return false
	}
	n, err := strconv.ParseUint(port, 10, 16)
	return err == nil && n >= minPort
}
