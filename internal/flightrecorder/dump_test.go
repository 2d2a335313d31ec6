package flightrecorder

import (
	"os"
	"path/filepath"
	"testing"
	"time"
)

// A dump is a file named after the gateway and the time. WriteDump leaves no other file in the directory.
func TestWriteDumpNamesTheFileByGatewayAndTime(t *testing.T) {
	dir := t.TempDir()
	path, err := WriteDump(dir, "n0", time.Unix(1e9, 0), []byte("dump"))
	if err != nil || filepath.Base(path) != "flight-n0-20010909T014640.000Z.dmf" {
		t.Fatalf("got path %s, error %v, want flight-n0-20010909T014640.000Z.dmf and no error", path, err)
	}
	if data, _ := os.ReadFile(path); string(data) != "dump" {
		t.Errorf("got contents %q, want \"dump\"", data)
	}
	if _, err := WriteDump(filepath.Join(dir, "none"), "n0", time.Now(), nil); err == nil {
		t.Error("missing directory: got no error")
	}
	if files, _ := os.ReadDir(dir); len(files) != 1 {
		t.Errorf("got %d files, want 1", len(files))
	}
}
