package config

import (
	"net"
	"strconv"
	"strings"
)

// checker reads a file and collects its errors. Methods that read set a part of the Appliance and check it; methods that
// check add errors, and what they find taken to the sets of names that they are given.
type checker struct {
	*Text
	errors []error
}

// addErrorf adds an error at a key of the n-th table of a name.
func (c *checker) addErrorf(table string, n int, key, format string, args ...any) {
	line := c.Line(table, n, key)
	if c.LeftOut(line) {
		return // it was reported when the line was read
	}
	field := strings.TrimPrefix(table+"."+key, ".")
	c.errors = append(c.errors, c.Errorf(line, strings.TrimSuffix(field, "."), format, args...))
}

// checkRange adds an error where a value is out of bounds, or no number.
func (c *checker) checkRange(table string, n int, key string, value, low, high float64) {
	if !isBetween(value, low, high) {
		c.addErrorf(table, n, key, notBetween, value, low, high)
	}
}

// notBetween is the text of the error for a value that is not between two bounds.
const notBetween = "%v is not between %v and %v"

// isBetween reports whether a value is within bounds, which count as within. NaN is not.
func isBetween(value, low, high float64) bool { return value >= low && value <= high }

// maxNameBytes is how long a name may be: names are in logs, file names and status lines.
const maxNameBytes = 64

// checkName adds an error where a name could not be in a log, a file name or a terminal as it is. The caller reports an
// empty one.
func (c *checker) checkName(table string, n int, name string) { c.checkNameAt(table, n, "name", name) }

// checkNameAt is checkName for a name at another key.
func (c *checker) checkNameAt(table string, n int, key, name string) {
	if len(name) > maxNameBytes {
		c.addErrorf(table, n, key, "is longer than %d characters", maxNameBytes)
		return
	}
	for _, r := range name {
		if !isAlphanumeric(r) && !strings.ContainsRune("-_.:[]", r) {
			c.addErrorf(table, n, key, "%q has %q in it: letters, digits, '-', '_', '.' and ':' only", name, r)
			return
		}
	}
}

// checkUniqueName adds an error where a name is missing or taken. taken has the index of each name so far.
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

// checkUniqueAddress adds an error where an address is no host:port or that of another. taken has the name at each address
// so far.
func (c *checker) checkUniqueAddress(table string, n int, name, address string, taken map[string]string) {
	if !isHostPort(address, 1) {
		c.addErrorf(table, n, "address", "%q is no host:port", address)
	} else if other := taken[address]; other != "" {
		c.addErrorf(table, n, "address", "%q is that of %s", address, other)
	}
	taken[address] = name
}

func isAlphanumeric(r rune) bool {
	return r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9'
}

// maxUnixPath is the longest path of a socket, with the byte that ends it (unix(7)).
const maxUnixPath = 108

// isUnixPath reports whether an address names a socket of the file system.
func isUnixPath(addr string) bool {
	path, ok := strings.CutPrefix(addr, "unix:")
	return ok && strings.HasPrefix(path, "/") && len(path) < maxUnixPath
}

// isHostPort reports whether an address is host:port; port 0 is for listeners only.
func isHostPort(addr string, minPort uint64) bool {
	_, port, err := net.SplitHostPort(addr)
	if err != nil {
		return false
	}
	n, err := strconv.ParseUint(port, 10, 16)
	return err == nil && n >= minPort
}
