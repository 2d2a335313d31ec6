package config

import (
	"strings"
	"testing"
	"time"
)

func TestLoadRecordingReadsAllFields(t *testing.T) {
	dir := t.TempDir()
	c, err := LoadRecording(writeTempFile(t, "flight.toml", "ring_kb = 256\nview_every = \"100ms\"\ndir = \""+dir+"\"\n[trigger]\nrefused = 0.25\nwithin = \"2s\"\n"))
	if err != nil {
		t.Fatal(err)
	}
	if c.RingBytes != 256<<10 || c.ViewInterval != 100*time.Millisecond || c.Dir != dir || c.MaxFileBytes != defaultFileBytes ||
		c.Trigger.RejectedShare != 0.25 || c.Trigger.Window != 2*time.Second || c.Trigger.MinInterval != defaultTriggerMinInterval || c.Trigger.MinResponses != defaultTriggerMinResponses {
		t.Errorf("recording %+v, want the values of the file (256 KiB, a view each 100ms, the directory, a share of 0.25 in 2s) and defaults", c)
	}
	if c, err = LoadRecording(writeTempFile(t, "flight.toml", "")); err != nil || c.RingBytes != defaultRingBytes || c.Trigger.RejectedShare != 0 {
		t.Errorf("empty file: recording %+v, error %v, want defaults", c, err)
	}
}

// Each error is one line with file, line and field.
func TestLoadRecordingErrorNamesLineAndField(t *testing.T) {
	for text, want := range map[string]string{
		"ring_kb = 1":                                ":1: ring_kb: 1 is not between 128 and",
		"\nring_kb = \"a lot\"":                      ":2: ring_kb: ",
		"ring = 5":                                   ":1: ring: there is no such setting",
		"\n[trigger]\nshare = 0.5":                   ":3: trigger.share: there is no such setting",
		"view_every = \"5 parsecs\"":                 ":1: view_every: ",
		"[trigger]\nrefused = 20":                    ":2: trigger.refused: 20 is not between 0 and 1",
		"[trigger]\n\nrefused = 0.2":                 ":3: trigger.refused: dir is not set",
		"dir = \"/none/such\"":                       ":1: dir: /none/such is not a directory",
		"file = \"/none/such/x.dmf\"":                ":1: file: /none/such/x.dmf is not in an existing directory",
		"ring_kb = 256\nfile_mb = ":                  ":2: ",
		"dir = \"/tmp\"\n[trigger]\nwithin = \"0s\"": ":3: trigger.within: 0 is not between 0.1 and",
	} {
		path := writeTempFile(t, "flight.toml", text)
		_, err := LoadRecording(path)
		if err == nil || !strings.HasPrefix(err.Error(), path+want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: error %v, want %q", text, err, want)
		}
	}
	if _, err := LoadRecording("/none/such.toml"); err == nil || !strings.Contains(err.Error(), "/none/such.toml") {
		t.Errorf("missing file: error %v, want one that names it", err)
	}
}
