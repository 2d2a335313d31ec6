package config

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Duration is a duration in a configuration file, such as "250ms".
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is not a duration like \"250ms\"", text)
	}
	*d = Duration(parsed)
	return nil
}

// Size is a number of bytes in a configuration file, such as 500, "64KiB", "50MiB" or "1GiB".
type Size int64

// sizeUnits has the binary logarithm of each unit.
var sizeUnits = map[string]int{"KiB": 10, "MiB": 20, "GiB": 30}

// UnmarshalTOML implements toml.Unmarshaler.
func (s *Size) UnmarshalTOML(v any) error {
	switch v := v.(type) {
	case int64:
		if v < 0 {
			return fmt.Errorf("%d is below 0", v)
		}
		*s = Size(v)
		return nil
	case string:
		for unit, shift := range sizeUnits {
			number, ok := strings.CutSuffix(v, unit)
			if !ok {
				continue
			}
			if n, err := strconv.ParseUint(number, 10, 32); err == nil {
				*s = Size(n << shift)
				return nil
			}
		}
	}
	return fmt.Errorf("%v is not a size like 500, \"64KiB\" or \"50MiB\"", v)
}
