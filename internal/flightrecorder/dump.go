package flightrecorder

import (
	"cmp"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

const (
	dumpNameFormat = "flight-%s-%s.dmf"     // arguments: name of the gateway, time
	dumpTimeFormat = "20060102T150405.000Z" // in UTC
)

// WriteDump writes a dump to a file in dir that is named after the gateway and the time, and returns its path. The
// file gets its name when it is complete, so that other programs never read a partial dump.
func WriteDump(dir, gateway string, at time.Time, dump []byte) (string, error) {
	path := filepath.Join(dir, fmt.Sprintf(dumpNameFormat, gateway, at.UTC().Format(dumpTimeFormat)))
	temporary, err := os.CreateTemp(dir, ".flight-*")
	if err != nil {
		return "", err
	}
	_, err = temporary.Write(dump)
	err = cmp.Or(err, temporary.Sync(), temporary.Close())
	if err == nil {
		err = os.Rename(temporary.Name(), path)
	}
	if err != nil {
		os.Remove(temporary.Name())
		return "", err
	}
	return path, nil
}
